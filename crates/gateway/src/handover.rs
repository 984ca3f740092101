//! Two processes, one gateway: a successor takes over from the process that runs, and both tell each other
//! what they do until one of them ends.
//!
//! Each process listens on a Unix socket under its gateway's name in `$TMPDIR`. Notes are lines of JSON. What
//! they mean is the module's and the server's business.

use crate::driver::Driver;
use crate::notes::{Note, State};
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

/// How long a predecessor may take to hand over: a dead one must not hold up the start.
const PATIENCE: Duration = Duration::from_millis(800);
const PAUSE: Duration = Duration::from_millis(50);
/// Notes that may wait for the other process to read them. One that does not read is given up.
pub const BACKLOG: usize = 4096;
/// The longest path that a socket's address holds, with some room.
const LONGEST_PATH: usize = 100;

/// Where a gateway's processes meet.
pub struct Place {
    path: PathBuf,
    /// Open while `path` leads through it.
    _dir: Option<File>,
}

impl Place {
    /// None if nobody gave a folder to meet in.
    pub fn of(gateway: &str) -> Option<Self> {
        let dir = PathBuf::from(env::var_os("TMPDIR").filter(|d| !d.is_empty())?);
        let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
        let name: String = gateway.chars().take(32).map(plain).collect();
        let file = format!("{name}.handover");
        let path = dir.join(&file);
        if path.as_os_str().len() <= LONGEST_PATH {
            return Some(Place { path, _dir: None });
        }
        // The address of a socket is short; a folder that is open has a short name too.
        let dir = File::open(dir).ok()?;
        Some(Place { path: format!("/proc/self/fd/{}/{file}", dir.as_raw_fd()).into(), _dir: Some(dir) })
    }

    /// Takes the place over: a stale socket, or the predecessor's, gives way to this process's.
    pub fn listen(&self) -> io::Result<UnixListener> {
        let own = self.path.with_extension(format!("{}", std::process::id()));
        let _ = fs::remove_file(&own);
        let listener = UnixListener::bind(&own)?;
        fs::rename(&own, &self.path)?;
        Ok(listener)
    }

    /// Asks the process that runs, if one does, for its state.
    pub async fn join(&self) -> Option<(Link, State)> {
        let talk = async {
            let mut link = Link::new(UnixStream::connect(&self.path).await?);
            link.write(&Note::Hello).await?;
            match link.read().await? {
                Some(Note::State(state)) => Ok((link, *state)),
                _ => Err(io::Error::other("no state came")),
            }
        };
        match timeout(PATIENCE, talk).await {
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

pub struct Link {
    from: BufReader<OwnedReadHalf>,
    to: OwnedWriteHalf,
}

impl Link {
    fn new(stream: UnixStream) -> Self {
        let (from, to) = stream.into_split();
        Link { from: BufReader::new(from), to }
    }

    async fn read(&mut self) -> io::Result<Option<Note>> {
        read(&mut self.from).await
    }

    async fn write(&mut self, note: &Note) -> io::Result<()> {
        write(&mut self.to, note).await
    }
}

/// None at the end of the link.
async fn read(from: &mut BufReader<OwnedReadHalf>) -> io::Result<Option<Note>> {
    let mut line = Vec::new();
    if from.read_until(b'\n', &mut line).await? == 0 {
        return Ok(None);
    }
    Ok(Some(serde_json::from_slice(&line)?))
}

async fn write(to: &mut OwnedWriteHalf, note: &Note) -> io::Result<()> {
    let mut line = serde_json::to_vec(note)?;
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
                Ok((stream, _)) if !self.driver.paired() => {
                    let link = Link::new(stream);
                    spawn_local(self.clone().hand_over(link));
                }
                Ok(_) => tracing::info!("handover: a successor is there already"),
                Err(_) => sleep(PAUSE).await,
            }
        }
    }

    async fn hand_over(self, mut link: Link) {
        let hello = timeout(PATIENCE, link.read()).await;
        if !matches!(hello, Ok(Ok(Some(Note::Hello)))) || self.driver.paired() {
            return;
        }
        let (notes, told) = mpsc::channel(BACKLOG);
        let (rev, targets, snapshot) = self.driver.hand_over(notes);
        let state = State { rev, targets, snapshot, away: self.server.sends_away() };
        tracing::info!("handover: a successor starts");
        if link.write(&Note::State(Box::new(state))).await.is_ok() {
            self.talk(link, told).await;
        } else {
            self.ended();
        }
    }

    /// Goes on from what a predecessor handed over, as one with it until it ends.
    pub fn take_over(self, link: Link, state: State) {
        let (notes, told) = mpsc::channel(BACKLOG);
        self.driver.take_over(notes, state.rev, state.targets, state.snapshot);
        self.server.send_away(state.away);
        spawn_local(self.talk(link, told));
    }

    /// Both ways until the link ends.
    async fn talk(self, link: Link, mut told: mpsc::Receiver<Note>) {
        let Link { mut from, mut to } = link;
        let hears = async {
            while let Some(note) = read(&mut from).await? {
                self.heard(note);
            }
            Ok::<_, io::Error>(())
        };
        let tells = async {
            while let Some(note) = told.recv().await {
                write(&mut to, &note).await?;
            }
            Ok::<_, io::Error>(())
        };
        let end = tokio::select! { end = hears => end, end = tells => end };
        match end {
            Ok(()) => tracing::info!("handover: the other process has ended"),
            Err(e) => tracing::warn!("handover: the other process is lost: {e}"),
        }
        self.ended();
    }

    fn heard(&self, note: Note) {
        match note {
            Note::Ready => self.server.hand_over(true),
            Note::Share(share) => self.driver.beside(share),
            Note::Disable { server } => self.driver.ban(server),
            Note::Enable { server } => self.driver.unban(server),
            Note::Away { on } => self.server.send_away(on),
            // Out of turn.
            Note::Hello | Note::State(_) => {}
        }
    }

    fn ended(&self) {
        self.driver.alone();
        self.server.hand_over(false);
    }
}
