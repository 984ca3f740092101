//! A connection of the pool, and the counts that limit the connections.

use crate::pool::close_reason::CloseReason;
use crate::pool::figures::PoolFigures;
use gateway_decisions::Name;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The state of an open connection between two requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    Ready,
    /// An exchange on the connection has not ended.
    Busy,
    /// The server closed the connection in an orderly way.
    Closed,
    /// The connection was reset, or the server sent bytes that belong to no request.
    Broken,
}

/// A connection that can serve more than one request.
pub trait Reusable: 'static {
    fn link_state(&mut self) -> LinkState;
}

/// Opens connections.
pub trait Open: 'static {
    type Link: Reusable;
    fn open(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Link>>;
}

/// Why an attempt got no connection. In all these cases nothing was written to the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// The server accepts no new requests.
    NotAccepting,
    /// The connection limits of this gateway left no capacity in time.
    AtCapacity,
    /// The process has no file descriptors left.
    OutOfDescriptors,
    /// The server's machine refused the connection.
    Refused,
    /// The connection was not established within the connect timeout.
    ConnectTimeout,
}

/// Counts of all connections, idle, in use or being opened.
#[derive(Default)]
pub struct ConnectionCounts {
    /// Connections that are open or being opened.
    pub total: Cell<usize>,
    pub figures: RefCell<PoolFigures>,
    /// The number of attempts that wait for a connection, and the signal that a slot has become free.
    pub waiting: Cell<usize>,
    pub freed: Notify,
}

impl ConnectionCounts {
    /// Signals that a slot has become free, if any attempt waits for one.
    pub fn freed(&self) {
        if self.waiting.get() > 0 {
            self.freed.notify_one();
        }
    }
}

/// A connection's slot in the connection limits, held from before it is opened until after it is closed.
pub struct Slot {
    pub counts: Rc<ConnectionCounts>,
    pub server_connections: Rc<Cell<usize>>,
    /// The number of connections being opened in this generation of the server; None once this connection is
    /// open.
    pub opening: Option<Rc<Cell<usize>>>,
    pub cause: CloseReason,
}

impl Slot {
    /// Takes the slot of a connection that is about to be opened.
    pub fn new(
        counts: &Rc<ConnectionCounts>,
        server_connections: &Rc<Cell<usize>>,
        opening: &Rc<Cell<usize>>,
    ) -> Self {
        counts.total.set(counts.total.get() + 1);
        server_connections.set(server_connections.get() + 1);
        opening.set(opening.get() + 1);
        let mut f = counts.figures.borrow_mut();
        f.opening += 1;
        f.peak = f.peak.max(counts.total.get());
        Slot {
            counts: counts.clone(),
            server_connections: server_connections.clone(),
            opening: Some(opening.clone()),
            cause: CloseReason::GivenUp,
        }
    }

    /// Records that the connection is open.
    pub fn opened(&mut self) {
        if let Some(opening) = self.opening.take() {
            opening.set(opening.get() - 1);
            let mut f = self.counts.figures.borrow_mut();
            f.opening -= 1;
            (f.open, f.opened) = (f.open + 1, f.opened + 1);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.counts.total.set(self.counts.total.get() - 1);
        self.server_connections.set(self.server_connections.get() - 1);
        let mut f = self.counts.figures.borrow_mut();
        match self.opening.take() {
            Some(opening) => {
                opening.set(opening.get() - 1);
                (f.opening, f.failed) = (f.opening - 1, f.failed + 1);
            }
            None => {
                f.open -= 1;
                *f.closed.entry(self.cause).or_default() += 1;
            }
        }
        self.counts.freed();
    }
}

/// A connection of the pool, either idle or checked out by one attempt.
pub struct PooledConnection<L> {
    // Declared before `slot` and so dropped first: the descriptor is free by the time that the slot is.
    pub link: L,
    pub slot: Slot,
    pub server: Name,
    pub generation: u64,
    pub last_used: Instant,
    pub use_count: u32,
    /// How long the connection had been idle at its checkout; None if it had not been used before.
    pub idle_time: Option<Duration>,
}

impl<L> PooledConnection<L> {
    /// Closes the connection for this reason. A connection that is dropped without this call counts as given
    /// up.
    pub fn close(mut self, cause: CloseReason) {
        self.slot.cause = cause;
    }
}

/// The result of a checkout: a connection, or why there is none.
pub type Checkout<L> = Result<PooledConnection<L>, Unavailable>;
