//! An answer that is streamed to its client.

use crate::bodies::{Grant, SMALL_BODY_BYTES};
use crate::link::{Dialer, Link};
use crate::pool::close_reason::CloseReason;
use crate::pool::connection::PooledConnection;
use crate::pool::Pool;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant, Sleep};

/// A backend that sends nothing for this long in the middle of an answer counts as broken; so does one that
/// reads nothing of a request's body for this long.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the connection of a complete answer to the pool. Without framing the answer ends with the
/// connection, which is then closed.
pub fn release(pool: &Pool<Dialer>, connection: PooledConnection<Link>, framed: bool) {
    if framed {
        pool.give_back(connection);
    } else {
        connection.close(CloseReason::Ended);
    }
}

/// An answer that is streamed from a backend to a client at the client's pace. Dropping it ends the attempt.
pub struct Download {
    connection: Option<PooledConnection<Link>>,
    body: Incoming,
    /// Data that was received before the answer was found to need streaming.
    first: VecDeque<Bytes>,
    grant: Option<Grant>,
    length: Option<u64>,
    framed: bool,
    stall_timer: Pin<Box<Sleep>>,
    waiting: bool,
    /// The number of bytes that have been passed on to the client.
    bytes_passed_on: usize,
    /// When the client's time is over.
    deadline: Option<Pin<Box<Sleep>>>,
    pool: Rc<Pool<Dialer>>,
}

impl Download {
    /// Creates the stream of an answer. `first` holds the data that was received before streaming began, and
    /// `grant` is the memory that it counts against.
    pub fn new(
        pool: &Rc<Pool<Dialer>>,
        connection: PooledConnection<Link>,
        body: Incoming,
        first: VecDeque<Bytes>,
        grant: Option<Grant>,
        length: Option<u64>,
        framed: bool,
    ) -> Self {
        Download {
            connection: Some(connection),
            body,
            first,
            grant,
            length,
            framed,
            stall_timer: Box::pin(sleep(Duration::ZERO)),
            waiting: false,
            bytes_passed_on: 0,
            deadline: None,
            pool: pool.clone(),
        }
    }

    /// Returns whether the whole answer has been passed on.
    pub fn done(&self) -> bool {
        self.connection.is_none() && self.first.is_empty()
    }

    /// Sets the client's deadline. A small answer must be complete by then. A large one must only have begun:
    /// the rest may arrive later.
    pub fn set_deadline(&mut self, deadline: Instant) {
        self.deadline =
            self.length.is_none_or(|l| l <= SMALL_BODY_BYTES as u64).then(|| Box::pin(sleep_until(deadline)));
    }

    /// Returns whether a small answer is incomplete at the client's deadline.
    fn overdue(&mut self, cx: &mut Context<'_>) -> bool {
        if self.bytes_passed_on > SMALL_BODY_BYTES {
            self.deadline = None;
        }
        self.deadline.as_mut().is_some_and(|deadline| deadline.as_mut().poll(cx).is_ready())
    }

    fn finish(&mut self) {
        if let Some(connection) = self.connection.take() {
            release(&self.pool, connection, self.framed);
        }
    }
}

impl Body for Download {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let me = &mut *self;
        if let Some(data) = me.first.pop_front() {
            me.bytes_passed_on += data.len();
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        me.grant = None;
        if me.connection.is_some() && me.overdue(cx) {
            return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
        }
        let Some(connection) = me.connection.as_mut() else { return Poll::Ready(None) };
        let closed = connection.link.poll(cx);
        match Pin::new(&mut me.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                me.waiting = false;
                me.bytes_passed_on += frame.data_ref().map_or(0, Bytes::len);
                // After the last byte of a declared length the body may not be polled again.
                if me.body.is_end_stream() {
                    me.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(e))) => Poll::Ready(Some(Err(io::Error::other(e)))),
            Poll::Ready(None) => {
                me.finish();
                Poll::Ready(None)
            }
            Poll::Pending if closed => Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into()))),
            Poll::Pending => {
                if !std::mem::replace(&mut me.waiting, true) {
                    me.stall_timer.as_mut().reset(Instant::now() + STALL_TIMEOUT);
                }
                me.stall_timer.as_mut().poll(cx).map(|()| Some(Err(io::ErrorKind::TimedOut.into())))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        // Called before the first part is taken; after that the framing is fixed.
        self.length.map_or(SizeHint::default(), SizeHint::with_exact)
    }
}
