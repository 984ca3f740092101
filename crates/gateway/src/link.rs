//! An HTTP/1.1 connection to a roll server that counts the bytes written for each attempt.
//!
//! A connection is polled by the attempt that uses it, and not at all while it is idle: dropping the attempt
//! closes the connection, so that a late answer cannot reach another request, and an exchange wakes only one
//! task.

use crate::bodies::Payload;
use crate::pool::connection::{LinkState, Open, Reusable};
use gateway_decisions::Ending;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The read buffer of a connection to a roll server; an answer with a longer head is an error.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// How much of an attempt's request has been written to its socket.
#[derive(Default)]
pub struct Progress {
    /// Whether the attempt has a connection.
    pub connected: Cell<bool>,
    pub written: Cell<usize>,
    /// The number of written bytes from which the request may be complete; 0 while unknown.
    pub required: Cell<usize>,
    /// When the request was written; None once the answer has begun.
    pub unanswered_since: Cell<Option<Instant>>,
    counted: Cell<bool>,
}

impl Progress {
    /// Returns whether the last byte may have been written. `required` counts the bytes that hyper is asked
    /// to write, and hyper can only add to them, so a request that was written completely never counts as
    /// incomplete.
    pub fn may_have_run(&self) -> bool {
        let required = self.required.get();
        required > 0 && self.written.get() >= required
    }

    /// Returns the ending of the attempt if its connection breaks now.
    pub fn ending_when_broken(&self) -> Ending {
        if self.may_have_run() {
            Ending::Cut
        } else {
            Ending::NoRoute
        }
    }
}

/// State that a connection and its socket share.
struct SharedState {
    /// The attempt that uses the connection.
    progress: RefCell<Rc<Progress>>,
    /// The number of attempts written completely, over all connections.
    forwards: Rc<Cell<u64>>,
    /// Whether to peek at the socket itself, and not only rely on the event loop's notifications.
    peek: Cell<bool>,
    peeked: Cell<LinkState>,
}

/// A connection to a roll server, with its HTTP layer and its socket.
pub struct Link {
    sender: SendRequest<Payload>,
    io: http1::Connection<CountingSocket, Payload>,
    closed: Option<LinkState>,
    shared: Rc<SharedState>,
}

impl Link {
    /// Sends one request and waits for the head of its answer. Returns None if the connection broke first.
    pub async fn send(
        &mut self,
        request: Request<Payload>,
        progress: &Rc<Progress>,
    ) -> Option<Response<Incoming>> {
        self.shared.progress.replace(progress.clone());
        let answer = self.sender.send_request(request);
        drive(&mut self.io, &mut self.closed, answer).await?.ok()
    }

    /// Polls the connection together with a future that waits for it. Returns None if the connection ended
    /// before the future completed.
    pub async fn drive<F: Future>(&mut self, waiting: F) -> Option<F::Output> {
        drive(&mut self.io, &mut self.closed, waiting).await
    }

    /// Polls only the connection. Returns whether it has ended.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> bool {
        poll(&mut self.io, &mut self.closed, cx)
    }
}

impl Reusable for Link {
    fn link_state(&mut self) -> LinkState {
        let mut cx = Context::from_waker(Waker::noop());
        let shared = &self.shared;
        shared.peek.set(true);
        shared.peeked.set(LinkState::Ready);
        poll(&mut self.io, &mut self.closed, &mut cx);
        shared.peek.set(false);
        match self.closed {
            Some(closed) => closed,
            None if !self.sender.is_ready() => LinkState::Busy,
            None => shared.peeked.get(),
        }
    }
}

fn poll(
    io: &mut http1::Connection<CountingSocket, Payload>,
    closed: &mut Option<LinkState>,
    cx: &mut Context<'_>,
) -> bool {
    if closed.is_none() {
        match Pin::new(io).poll(cx) {
            Poll::Ready(Ok(())) => *closed = Some(LinkState::Closed),
            Poll::Ready(Err(_)) => *closed = Some(LinkState::Broken),
            Poll::Pending => {}
        }
    }
    closed.is_some()
}

async fn drive<F: Future>(
    io: &mut http1::Connection<CountingSocket, Payload>,
    closed: &mut Option<LinkState>,
    waiting: F,
) -> Option<F::Output> {
    let mut waiting = pin!(waiting);
    std::future::poll_fn(|cx| {
        let ended = poll(io, closed, cx);
        match waiting.as_mut().poll(cx) {
            Poll::Ready(output) => Poll::Ready(Some(output)),
            Poll::Pending if ended => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        }
    })
    .await
}

/// Opens connections to roll servers.
pub struct Dialer {
    /// The number of attempts written completely since the start.
    pub forwards: Rc<Cell<u64>>,
}

impl Open for Dialer {
    type Link = Link;

    async fn open(&self, address: SocketAddr) -> io::Result<Link> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let shared = Rc::new(SharedState {
            progress: RefCell::default(),
            forwards: self.forwards.clone(),
            peek: Cell::new(false),
            peeked: Cell::new(LinkState::Ready),
        });
        let io = CountingSocket { io: TokioIo::new(stream), shared: shared.clone() };
        let (sender, io) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(io)
            .await
            .map_err(io::Error::other)?;
        Ok(Link { sender, io, closed: None, shared })
    }
}

/// A socket that counts the bytes written for the current attempt.
struct CountingSocket {
    io: TokioIo<TcpStream>,
    shared: Rc<SharedState>,
}

impl CountingSocket {
    fn count(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(n)) = &written {
            let progress = self.shared.progress.borrow();
            progress.written.set(progress.written.get() + n);
            if progress.may_have_run() && !progress.counted.replace(true) {
                self.shared.forwards.set(self.shared.forwards.get() + 1);
            }
        }
        written
    }

    /// Checks for input that the event loop has not been notified of yet.
    fn peek(&self) -> LinkState {
        match SockRef::from(self.io.inner()).peek(&mut [MaybeUninit::uninit()]) {
            Ok(0) => LinkState::Closed,
            Ok(_) => LinkState::Broken,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => LinkState::Ready,
            Err(_) => LinkState::Broken,
        }
    }
}

impl Read for CountingSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.io).poll_read(cx, buf);
        if read.is_pending() && self.shared.peek.get() {
            self.shared.peeked.set(self.peek());
        }
        read
    }
}

impl Write for CountingSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(cx, buf);
        self.count(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.count(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
