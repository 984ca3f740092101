//! A client's connection, and its socket as the HTTP layer reads and writes it. The server inspects the
//! socket as well: an idle connection may only be closed if no request has begun to arrive.

use socket2::SockRef;
use std::cell::Cell;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant};

/// A client that accepts nothing of its answer for this long is disconnected.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(15);

/// How often a client is checked for disconnection while unread bytes follow its request.
const PEEK_INTERVAL: Duration = Duration::from_millis(50);

/// How long a close waits for the peer's close if the socket holds bytes that will not be read.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
const LINGER_READ_BYTES: usize = 4096;

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    /// Whether bytes have arrived since the last request: the incomplete head of the next one.
    pub request_begun: Cell<bool>,
    /// When the socket stopped accepting output; None while it does.
    pub write_blocked_since: Cell<Option<Instant>>,
    /// The next answer is the last one on this connection.
    pub close_after_answer: Cell<bool>,
    /// An answer has announced that it is the last: whatever arrives after it is not a request.
    pub last_answered: Cell<bool>,
    /// The close is lingering, so that the end of the last answer reaches the client.
    pub lingering: Cell<bool>,
    /// Ends a lingering close immediately, because its slot is needed for a new connection.
    pub stop_lingering: Notify,
    pub connected: Instant,
    /// Whether a request on this connection has been answered, even if with an error.
    pub answered_before: Cell<bool>,
    /// When the connection became idle; None while a request is in progress.
    pub idle_since: Cell<Option<Instant>>,
    pub close: Notify,
}

impl Client {
    pub fn new(stream: TcpStream, connected: Instant) -> Self {
        let idle_since = Cell::new(Some(connected));
        let (answered_before, request_begun, write_blocked_since, close_after_answer, close) =
            Default::default();
        let (last_answered, lingering, stop_lingering) = Default::default();
        Client {
            stream,
            request_begun,
            write_blocked_since,
            close_after_answer,
            last_answered,
            lingering,
            stop_lingering,
            connected,
            answered_before,
            idle_since,
            close,
        }
    }

    /// Returns whether a request is in progress, or an answer has not been written completely.
    pub fn is_owed_answer(&self) -> bool {
        self.idle_since.get().is_none() || self.write_blocked_since.get().is_some() || self.lingering.get()
    }

    /// Returns whether the client has not read its answer for too long.
    pub fn is_write_stalled(&self, now: Instant) -> bool {
        self.write_blocked_since.get().is_some_and(|at| now.saturating_duration_since(at) >= UNREAD_TIMEOUT)
    }

    /// Returns whether the socket holds unread bytes, including those that the event loop has not been
    /// notified of yet.
    pub fn has_unread_input(&self) -> bool {
        let peeked = SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_ok_and(|n| n > 0)
    }

    /// Reads and discards input until the peer closes, `stop_lingering` is notified or `LINGER_TIMEOUT` is
    /// over. Closing a socket with unread bytes sends a reset, which discards the part of the last answer
    /// that is still in the send buffer.
    pub async fn linger(&self) {
        self.lingering.set(true);
        tokio::select! {
            _ = timeout(LINGER_TIMEOUT, self.discard_until_closed()) => {}
            () = self.stop_lingering.notified() => {}
        }
    }

    /// Reads and discards input until the peer closes or the connection fails.
    async fn discard_until_closed(&self) {
        let mut discarded = [0; LINGER_READ_BYTES];
        while self.stream.readable().await.is_ok() {
            match self.stream.try_read(&mut discarded) {
                Ok(1..) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                _ => return,
            }
        }
    }

    /// Waits until the client has closed its connection. The HTTP layer notices that only if no bytes follow
    /// the request.
    pub async fn disconnected(&self) {
        loop {
            let Ok(ready) = self.stream.ready(Interest::READABLE).await else { return };
            if ready.is_read_closed() {
                return;
            }
            // `try_io` clears the readiness only if there is nothing to read, so that the next event wakes
            // this task again.
            let peek = || SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
            match self.stream.try_io(Interest::READABLE, peek) {
                Ok(1..) => sleep(PEEK_INTERVAL).await,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                _ => return,
            }
        }
    }
}

/// The client's socket for the HTTP layer; records input and blocked output in [`Client`].
pub struct ClientSocket(pub Rc<Client>);

impl AsyncRead for ClientSocket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let client = &self.0;
        loop {
            ready!(client.stream.poll_read_ready(cx))?;
            match client.stream.try_read(buf.initialize_unfilled()) {
                Ok(n) => {
                    buf.advance(n);
                    if n > 0 {
                        client.request_begun.set(true);
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl ClientSocket {
    /// Runs `write` when the socket is writable, and records since when writing is blocked.
    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn() -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            match write() {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    let since = self.0.write_blocked_since.get().unwrap_or_else(Instant::now);
                    self.0.write_blocked_since.set(Some(since));
                }
                written => {
                    self.0.write_blocked_since.set(None);
                    return Poll::Ready(written);
                }
            }
        }
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, || self.0.stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, || self.0.stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }
}
