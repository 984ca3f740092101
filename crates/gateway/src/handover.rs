//! The handover between two processes of one gateway (graceful restart): a successor takes over the state of
//! the running process, and both exchange updates until one of them ends.
//!
//! Each process listens on a Unix socket in `$TMPDIR` that is named after its gateway. Messages are lines of
//! JSON. The decision engine and the server define what the messages mean.

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

/// How long a predecessor may take to send its state: an unresponsive one must not delay the start.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(800);
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The maximum number of messages that wait for the other process to read them. A process that does not read
/// them is disconnected.
pub const MAX_QUEUED_MESSAGES: usize = 4096;
/// The longest path that fits into a Unix socket address, with a margin.
const MAX_SOCKET_PATH_BYTES: usize = 100;

/// The Unix socket on which the processes of a gateway find each other.
pub struct HandoverSocket {
    path: PathBuf,
    /// Kept open while `path` refers to it.
    _dir: Option<File>,
}

impl HandoverSocket {
    /// Returns the socket of this gateway, or None if `TMPDIR` is not set or cannot be opened.
    pub fn of(gateway: &str) -> Option<Self> {
        let dir = PathBuf::from(env::var_os("TMPDIR").filter(|d| !d.is_empty())?);
        let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
        let name: String = gateway.chars().take(32).map(plain).collect();
        let file = format!("{name}.handover");
        let path = dir.join(&file);
        if path.as_os_str().len() <= MAX_SOCKET_PATH_BYTES {
            return Some(HandoverSocket { path, _dir: None });
        }
        // A socket address is limited in length; an open folder has a short path in `/proc`.
        let dir = File::open(dir).ok()?;
        Some(HandoverSocket {
            path: format!("/proc/self/fd/{}/{file}", dir.as_raw_fd()).into(),
            _dir: Some(dir),
        })
    }

    /// Binds this process's socket and replaces a stale one, or that of the predecessor.
    pub fn listen(&self) -> io::Result<UnixListener> {
        let own = self.path.with_extension(format!("{}", std::process::id()));
        let _ = fs::remove_file(&own);
        let listener = UnixListener::bind(&own)?;
        fs::rename(&own, &self.path)?;
        Ok(listener)
    }

    /// Requests the state of the running process, if there is one.
    pub async fn request_state(&self) -> Option<(PeerConnection, State)> {
        let talk = async {
            let mut connection = PeerConnection::new(UnixStream::connect(&self.path).await?);
            connection.write(&PeerMessage::Hello).await?;
            match connection.read().await? {
                Some(PeerMessage::State(state)) => Ok((connection, *state)),
                _ => Err(io::Error::other("the predecessor sent no state")),
            }
        };
        match timeout(HANDOVER_TIMEOUT, talk).await {
            Ok(Ok(joined)) => Some(joined),
            // No predecessor exists: this is a normal start.
            Ok(Err(e)) if matches!(e.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused) => {
                None
            }
            Ok(Err(e)) => {
                tracing::warn!("handover: {e}; starting without the predecessor's state");
                None
            }
            Err(_) => {
                tracing::warn!(
                    "handover: the predecessor did not answer in time; starting without its state"
                );
                None
            }
        }
    }
}

/// A connection to the other process of this gateway.
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

/// Reads a message. Returns None at the end of the connection.
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

/// The parts of this process that send messages to the other process and apply its messages.
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
                Ok(_) => tracing::info!("handover: rejected a second successor, one is connected"),
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

    /// Continues with the state of a predecessor and exchanges messages with it until it ends.
    pub fn take_over(self, connection: PeerConnection, state: State) {
        let (messages, outgoing) = mpsc::channel(MAX_QUEUED_MESSAGES);
        self.driver.take_over(messages, state.rev, state.targets, state.snapshot);
        self.server.set_client_drain(state.away);
        spawn_local(self.exchange_messages(connection, outgoing));
    }

    /// Exchanges messages in both directions until the connection ends.
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
            Err(e) => tracing::warn!("handover: the connection to the other process failed: {e}"),
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
            // These messages are not expected at this point.
            PeerMessage::Hello | PeerMessage::State(_) => {}
        }
    }

    fn handle_peer_end(&self) {
        self.driver.peer_ended();
        self.server.set_successor(false);
    }
}
