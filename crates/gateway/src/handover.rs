//! Two processes, one gateway: a successor takes over from the process that runs, and both send each other
//! what they do until one of them ends.
//!
//! Each process listens on a Unix socket under its gateway's name in `$TMPDIR`. Messages are lines of JSON. What
//! they mean is the module's and the server's business.

use crate::driver::Driver;
use crate::peer_message::{PeerMessage, State};
use crate::server::Server;
use std::env;
use std::fs::{self, File};
use std::io;
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// How long a predecessor may take to hand over: a dead one must not delay the start.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(800);
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Messages that may wait for the other process to read them. One that does not read is given up.
pub const MAX_QUEUED_MESSAGES: usize = 4096;
/// The longest path that fits a socket's address, with a margin.
const MAX_SOCKET_PATH_BYTES: usize = 100;

/// Where a gateway's processes meet.
pub struct HandoverSocket {
    path: PathBuf,
    /// Open while `path` leads through it.
    _dir: Option<File>,
}

impl HandoverSocket {
    /// None if nobody gave a folder to meet in.
    pub fn of(gateway: &str) -> Option<Self> {
        let dir = PathBuf::from(env::var_os("TMPDIR").filter(|d| !d.is_empty())?);
        let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
        let name: String = gateway.chars().take(32).map(plain).collect();
        let file = format!("{name}.handover");
        let path = dir.join(&file);
        if path.as_os_str().len() <= MAX_SOCKET_PATH_BYTES {
            return Some(HandoverSocket { path, _dir: None });
        }
        // The address of a socket is short; a folder that is open has a short name too.
        let dir = File::open(dir).ok()?;
        Some(HandoverSocket {
            path: format!("/proc/self/fd/{}/{file}", dir.as_raw_fd()).into(),
            _dir: Some(dir),
        })
    }

    /// Takes the address over: a stale socket, or the predecessor's, gives way to this process's.
    pub fn listen(&self) -> io::Result<UnixListener> {
        let own = self.path.with_extension(format!("{}", std::process::id()));
        let _ = fs::remove_file(&own);
        let listener = UnixListener::bind(&own)?;
        fs::rename(&own, &self.path)?;
        Ok(listener)
    }

    /// Asks the process that runs, if one does, for its state.
    pub async fn request_state(&self) -> Option<(PeerConnection, State)> {
        let talk = async {
            let mut connection = PeerConnection::new(UnixStream::connect(&self.path).await?);
            connection.write(&PeerMessage::Hello).await?;
            match connection.read().await? {
                Some(PeerMessage::State(state)) => Ok((connection, *state)),
                _ => Err(io::Error::other("no state came")),
            }
        };
        match timeout(HANDOVER_TIMEOUT, talk).await {
            Ok(Ok(joined)) => Some(joined),
            // Nobody was ever there, or is any more: the usual start.
            Ok(Err(e)) if matches!(e.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused) => {
                None
            }
            Ok(Err(e)) => {
                tracing::warn!("handover: {e}; starting without it");
                None
            }
            Err(_) => {
                tracing::warn!("handover: the predecessor is silent; starting without it");
                None
            }
        }
    }
}

pub struct PeerConnection {
    from: BufReader<OwnedReadHalf>,
    to: OwnedWriteHalf,
}

impl PeerConnection {
    fn new(stream: UnixStream) -> Self {
        let (from, to) = stream.into_split();
        PeerConnection { from: BufReader::new(from), to }
    }

    async fn read(&mut self) -> io::Result<Option<PeerMessage>> {
        read(&mut self.from).await
    }

    async fn write(&mut self, message: &PeerMessage) -> io::Result<()> {
        write(&mut self.to, message).await
    }
}

/// None at the end of the connection.
async fn read(from: &mut BufReader<OwnedReadHalf>) -> io::Result<Option<PeerMessage>> {
    let mut line = Vec::new();
    if from.read_until(b'\n', &mut line).await? == 0 {
        return Ok(None);
    }
    Ok(Some(serde_json::from_slice(&line)?))
}

async fn write(to: &mut OwnedWriteHalf, message: &PeerMessage) -> io::Result<()> {
    let mut line = serde_json::to_vec(message)?;
    line.push(b'\n');
    to.write_all(&line).await
}

/// What of this process the other one hears of and acts on.
#[derive(Clone)]
pub struct Handover {
    pub driver: Rc<Driver>,
    pub server: Rc<Server>,
}

impl Handover {
    /// Hands over to successors, one at a time.
    pub async fn serve(self, listener: UnixListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if !self.driver.has_peer() => {
                    let connection = PeerConnection::new(stream);
                    spawn_local(self.clone().hand_over(connection));
                }
                Ok(_) => tracing::info!("handover: a successor is there already"),
                Err(_) => sleep(ACCEPT_RETRY_PAUSE).await,
            }
        }
    }

    async fn hand_over(self, mut connection: PeerConnection) {
        let hello = timeout(HANDOVER_TIMEOUT, connection.read()).await;
        if !matches!(hello, Ok(Ok(Some(PeerMessage::Hello)))) || self.driver.has_peer() {
            return;
        }
        let (messages, outgoing) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let (rev, targets, snapshot) = self.driver.hand_over(messages);
        let state = State { rev, targets, snapshot, away: self.server.drains_clients() };
        tracing::info!("handover: a successor starts");
        if connection.write(&PeerMessage::State(Box::new(state))).await.is_ok() {
            self.exchange_messages(connection, outgoing).await;
        } else {
            self.handle_peer_end();
        }
    }

    /// Goes on from what a predecessor handed over, as one with it until it ends.
    pub fn take_over(self, connection: PeerConnection, state: State) {
        let (messages, outgoing) = mpsc::channel(MAX_QUEUED_MESSAGES);
        self.driver.take_over(messages, state.rev, state.targets, state.snapshot);
        self.server.set_client_drain(state.away);
        spawn_local(self.exchange_messages(connection, outgoing));
    }

    /// Both ways until the connection ends.
    async fn exchange_messages(self, connection: PeerConnection, mut outgoing: mpsc::Receiver<PeerMessage>) {
        let PeerConnection { mut from, mut to } = connection;
        let receiving = async {
            while let Some(message) = read(&mut from).await? {
                self.handle_message(message);
            }
            Ok::<_, io::Error>(())
        };
        let sending = async {
            while let Some(message) = outgoing.recv().await {
                write(&mut to, &message).await?;
            }
            Ok::<_, io::Error>(())
        };
        let end = tokio::select! { end = receiving => end, end = sending => end };
        match end {
            Ok(()) => tracing::info!("handover: the other process has ended"),
            Err(e) => tracing::warn!("handover: the other process is lost: {e}"),
        }
        self.handle_peer_end();
    }

    fn handle_message(&self, message: PeerMessage) {
        match message {
            PeerMessage::Ready => self.server.set_successor(true),
            PeerMessage::Share(share) => self.driver.peer_share(share),
            PeerMessage::Disable { server } => self.driver.apply_disable(server),
            PeerMessage::Enable { server } => self.driver.apply_enable(server),
            PeerMessage::Away { on } => self.server.set_client_drain(on),
            // Out of turn.
            PeerMessage::Hello | PeerMessage::State(_) => {}
        }
    }

    fn handle_peer_end(&self) {
        self.driver.peer_ended();
        self.server.set_successor(false);
    }
}
