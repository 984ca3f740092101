//! A stream whose writes fail after a deadline.
//!
//! A request is handed to the task of its connection, which writes the request when that task runs. The
//! deadline is therefore checked here, at the time at which bytes are written.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The deadline of the request being written, shared by the stream and the owner of the connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct WriteDeadline {
    state: Rc<Cell<DeadlineState>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct DeadlineState {
    expires_at: Option<Instant>,
    has_written: bool,
    has_expired: bool,
}

impl WriteDeadline {
    /// Starts a request of which no byte may be written at or after `expires_at`.
    pub(crate) fn begin_request(&self, expires_at: Option<Instant>) {
        self.state.set(DeadlineState { expires_at, has_written: false, has_expired: false });
    }

    /// Whether the request expired before any byte of it was written.
    pub(crate) fn has_expired_unsent(&self) -> bool {
        let state = self.state.get();
        state.has_expired && !state.has_written
    }

    fn check(&self) -> io::Result<()> {
        let state = self.state.get();
        if state.expires_at.is_some_and(|expiry| Instant::now() >= expiry) {
            self.state.set(DeadlineState { has_expired: true, ..state });
            return Err(io::Error::new(io::ErrorKind::TimedOut, "the request has expired"));
        }
        Ok(())
    }

    fn record_write(&self, outcome: &Poll<io::Result<usize>>) {
        if matches!(outcome, Poll::Ready(Ok(1..))) {
            self.state.set(DeadlineState { has_written: true, ..self.state.get() });
        }
    }
}

/// A connection whose writes fail once the deadline has passed.
#[derive(Debug)]
pub(crate) struct LimitedStream {
    stream: TcpStream,
    deadline: WriteDeadline,
}

impl LimitedStream {
    /// Limits the writes to `stream`.
    pub(crate) fn new(stream: TcpStream, deadline: WriteDeadline) -> Self {
        LimitedStream { stream, deadline }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.deadline.check()?;
        let outcome = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.deadline.record_write(&outcome);
        outcome
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.deadline.check()?;
        let outcome = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.deadline.record_write(&outcome);
        outcome
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
