//! A client's connection, and its socket as the HTTP layer reads and writes it. The server keeps the socket in
//! sight beside it: whether a request has begun to come in decides whether an idle connection may close.

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

/// A client that takes nothing of its answer for so long is let go.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(15);

/// How often a client is checked of which bytes lie behind its request.
const PEEK_INTERVAL: Duration = Duration::from_millis(50);

/// How long a close lingers for the peer's own close, where bytes lie in the socket that nobody reads.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
const LINGER_READ_BYTES: usize = 4096;

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    /// Whether bytes have come since its last request: a next one, of which the head is incomplete.
    pub request_begun: Cell<bool>,
    /// Since when it has taken nothing of what is to be written to it.
    pub write_blocked_since: Cell<Option<Instant>>,
    /// Its next answer is to be the last.
    pub close_after_answer: Cell<bool>,
    /// An answer has said that it is the last: what still comes is no request.
    pub last_answered: Cell<bool>,
    /// Its close lingers, so that the end of its last answer reaches it.
    pub lingering: Cell<bool>,
    /// Ends a lingering close at once: its slot is wanted for a new connection.
    pub stop_lingering: Notify,
    pub connected: Instant,
    /// Whether a request of it has been read and answered, be it with an error.
    pub answered_before: Cell<bool>,
    /// Since when it has had no request in hand.
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

    /// Whether it has a request in hand, or an answer that has not left this program.
    pub fn is_owed_answer(&self) -> bool {
        self.idle_since.get().is_none() || self.write_blocked_since.get().is_some() || self.lingering.get()
    }

    /// Whether it has left its answer unread for too long.
    pub fn is_write_stalled(&self, now: Instant) -> bool {
        self.write_blocked_since.get().is_some_and(|at| now.saturating_duration_since(at) >= UNREAD_TIMEOUT)
    }

    /// Whether bytes wait in the socket, also those that the event loop has not been notified of yet.
    pub fn has_unread_input(&self) -> bool {
        let peeked = SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_ok_and(|n| n > 0)
    }

    /// Reads and drops what still comes until the peer closes too, `stop_lingering` is notified or `LINGER_TIMEOUT` is over. A
    /// close over unread bytes would be a reset, which throws away what the send buffer holds of the last answer.
    pub async fn linger(&self) {
        self.lingering.set(true);
        tokio::select! {
            _ = timeout(LINGER_TIMEOUT, self.discard_until_closed()) => {}
            () = self.stop_lingering.notified() => {}
        }
    }

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

    /// Waits until it has closed its connection. The HTTP layer sees that only where no bytes lie behind the request.
    pub async fn disconnected(&self) {
        loop {
            let Ok(ready) = self.stream.ready(Interest::READABLE).await else { return };
            if ready.is_read_closed() {
                return;
            }
            // Taken as read only where nothing is there, so that the next event wakes again.
            let peek = || SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
            match self.stream.try_io(Interest::READABLE, peek) {
                Ok(1..) => sleep(PEEK_INTERVAL).await,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                _ => return,
            }
        }
    }
}

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
