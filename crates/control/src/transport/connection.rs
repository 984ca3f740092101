//! Reads and writes the frames of one connection until it ends.

use super::outbox::Outbox;
use crate::event_queue::EventSender;
use crate::events::{ConnectionId, DriverEvent};
use messages::peer::PeerFrame;
use messages::{decode, FrameError, FrameReader};
use quick_error::quick_error;
use std::io;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::WriteHalf;
use tokio::net::TcpStream;
use tokio::select;
use tokio::time::{timeout_at, Instant};

/// A connection is closed as stalled once the peer has accepted no byte for this long.
const STALL_LIMIT: Duration = Duration::from_secs(1);
/// Buffer space reserved for each read.
const READ_BYTES: usize = 16 * 1024;
/// A write buffer larger than this is shrunk after use.
const MAX_IDLE_BUFFER_BYTES: usize = 256 * 1024;

quick_error! {
    /// Why a connection between processes ended.
    #[derive(Debug)]
    pub enum ConnectionError {
        /// The transport failed.
        Io(error: io::Error) {
            from()
            display("the connection failed ({error}): the side that opened it will open it again")
        }
        /// The peer sent an invalid frame.
        Frame(error: FrameError) {
            from()
            display("{error}")
        }
        /// The peer closed the connection.
        Closed {
            display("the peer closed the connection")
        }
        /// The peer accepts no bytes.
        Stalled {
            display("the peer accepted no byte for {} ms: check whether its machine is overloaded or unreachable", STALL_LIMIT.as_millis())
        }
        /// More bytes were queued than a peer that reads would leave unread.
        Overflow {
            display("the peer left too many replies unread: check whether its machine is overloaded or unreachable")
        }
        /// The driver is gone.
        Stopped {
            display("the process is stopping")
        }
    }
}

/// The bytes being written, and the time since which the socket has accepted none.
#[derive(Default)]
struct WriteBuffer {
    bytes: Vec<u8>,
    written: usize,
    stalled_at: Option<Instant>,
}

impl WriteBuffer {
    fn is_done(&self) -> bool {
        self.written == self.bytes.len()
    }

    /// Writes until this buffer and the outbox are empty, or until the socket's buffer is full.
    fn advance(&mut self, socket: &WriteHalf<'_>, outbox: &Outbox) -> Result<(), ConnectionError> {
        loop {
            if self.is_done() && !self.refill(outbox)? {
                return Ok(());
            }
            match socket.try_write(&self.bytes[self.written..]) {
                Ok(taken) => {
                    self.written += taken;
                    self.stalled_at = None;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.stalled_at.get_or_insert_with(Instant::now);
                    return Ok(());
                }
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// Takes the bytes queued in the outbox. Returns false if there are none.
    fn refill(&mut self, outbox: &Outbox) -> Result<bool, ConnectionError> {
        self.written = 0;
        self.bytes.clear();
        self.bytes.shrink_to(MAX_IDLE_BUFFER_BYTES);
        if !outbox.take_into(&mut self.bytes) {
            return Err(ConnectionError::Overflow);
        }
        Ok(!self.bytes.is_empty())
    }

    /// Waits until the socket accepts bytes; fails once it has accepted none for `STALL_LIMIT`.
    async fn writable(&self, socket: &WriteHalf<'_>) -> Result<(), ConnectionError> {
        let since = self.stalled_at.unwrap_or_else(Instant::now);
        match timeout_at(since + STALL_LIMIT, socket.writable()).await {
            Ok(ready) => Ok(ready?),
            Err(_) => Err(ConnectionError::Stalled),
        }
    }
}

/// Transfers frames in both directions until the connection ends, and returns why it ended. `first` is sent
/// before all queued frames.
pub async fn run_connection(
    stream: &mut TcpStream,
    first: Vec<u8>,
    outbox: &Outbox,
    connection: ConnectionId,
    events: &EventSender,
) -> ConnectionError {
    outbox.set_connected(true);
    let error = match transfer_frames(stream, first, outbox, connection, events).await {
        Ok(infallible) => match infallible {},
        Err(error) => error,
    };
    outbox.set_connected(false);
    error
}

async fn transfer_frames(
    stream: &mut TcpStream,
    first: Vec<u8>,
    outbox: &Outbox,
    connection: ConnectionId,
    events: &EventSender,
) -> Result<std::convert::Infallible, ConnectionError> {
    let (mut read, write) = stream.split();
    let mut frames = FrameReader::new();
    let mut write_buffer = WriteBuffer { bytes: first, ..WriteBuffer::default() };
    loop {
        write_buffer.advance(&write, outbox)?;
        frames.buffer().reserve(READ_BYTES);
        select! {
            biased;
            taken = read.read_buf(frames.buffer()) => {
                if taken? == 0 {
                    return Err(ConnectionError::Closed);
                }
                deliver(&mut frames, connection, events).await?;
            }
            () = outbox.wait(), if write_buffer.is_done() => {}
            ready = write_buffer.writable(&write), if !write_buffer.is_done() => ready?,
        }
    }
}

/// Sends every complete received frame to the driver.
async fn deliver(
    frames: &mut FrameReader,
    connection: ConnectionId,
    events: &EventSender,
) -> Result<(), ConnectionError> {
    while let Some(bytes) = frames.next_frame()? {
        let frame: PeerFrame = decode(&bytes)?;
        let event = DriverEvent::Frame { connection, body: frame.body };
        events.send(event).await.map_err(|_| ConnectionError::Stopped)?;
    }
    Ok(())
}
