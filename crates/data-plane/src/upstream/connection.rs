//! Opens, reads and writes the socket of a connection to a member of the core.

use messages::peer::PeerFrame;
use messages::{decode, FrameReader};
use quick_error::quick_error;
use socket2::{SockRef, TcpKeepalive};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// How long sent bytes may stay unacknowledged before the connection is considered broken
/// (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time after which TCP sends the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(3);
/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which the connection is considered broken.
const KEEPALIVE_PROBES: u32 = 3;
/// Buffer capacity that is reserved before each read, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

quick_error! {
    /// Why a connection to a member of the core ended.
    #[derive(Debug)]
    pub enum ConnectionError {
        /// A system call failed, or the other side closed the connection.
        Io(error: io::Error) {
            from()
            display("the connection broke ({error}), reconnecting after a backoff")
        }
        /// The other side sent bytes that are not a valid frame.
        Frame(error: messages::FrameError) {
            from()
            display("{error}")
        }
    }
}

/// Buffer of bytes that wait to be written to a connection.
#[derive(Debug, Default)]
pub struct Outgoing {
    bytes: RefCell<Vec<u8>>,
    added: Notify,
}

impl Outgoing {
    /// Appends complete frames, which the connection's task writes when it runs next.
    pub fn push(&self, frames: Vec<u8>) {
        let mut bytes = self.bytes.borrow_mut();
        if bytes.is_empty() {
            *bytes = frames;
        } else {
            bytes.extend_from_slice(&frames);
        }
        self.added.notify_one();
    }

    fn take(&self) -> Vec<u8> {
        std::mem::take(&mut *self.bytes.borrow_mut())
    }
}

/// Opens a connection to `address` and sets its TCP options.
pub async fn open(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    let socket = SockRef::from(&stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_tcp_keepalive(&keepalive)?;
    Ok(stream)
}

/// Reads and writes until the connection ends; calls `received` for each frame. Returns why the connection
/// ended.
pub async fn serve(
    mut stream: TcpStream,
    outgoing: &Outgoing,
    received: impl FnMut(PeerFrame),
) -> ConnectionError {
    let (reader, writer) = stream.split();
    let ended = tokio::select! {
        ended = read(reader, received) => ended,
        ended = write(writer, outgoing) => ended,
    };
    match ended {
        Ok(()) => ConnectionError::Io(io::ErrorKind::UnexpectedEof.into()),
        Err(error) => error,
    }
}

async fn read(mut reader: ReadHalf<'_>, mut received: impl FnMut(PeerFrame)) -> Result<(), ConnectionError> {
    let mut frames = FrameReader::new();
    loop {
        frames.buffer().reserve(READ_BUFFER_BYTES);
        if reader.read_buf(frames.buffer()).await? == 0 {
            return Ok(());
        }
        while let Some(frame) = frames.next_frame()? {
            received(decode(&frame)?);
        }
    }
}

async fn write(mut writer: WriteHalf<'_>, outgoing: &Outgoing) -> Result<(), ConnectionError> {
    loop {
        let bytes = outgoing.take();
        if bytes.is_empty() {
            outgoing.added.notified().await;
            continue;
        }
        writer.write_all(&bytes).await?;
    }
}
