//! One connection of the pool, and the counts that limit all of them.

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

/// How an open connection stands between two requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    Ready,
    /// An exchange on it has not ended.
    Busy,
    /// Closed by the other side, in order.
    Closed,
    /// Reset, or bytes came that nobody asked for.
    Broken,
}

/// A connection that may serve more than one request.
pub trait Reusable: 'static {
    fn link_state(&mut self) -> LinkState;
}

/// Opens connections.
pub trait Open: 'static {
    type Link: Reusable;
    fn open(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Link>>;
}

/// Why an attempt got no connection. None of these wrote anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// The server wants nothing new.
    NotAccepting,
    /// The limits of this gateway left no capacity in time.
    AtCapacity,
    /// The process may open nothing more.
    OutOfDescriptors,
    /// The server's machine refused.
    Refused,
    /// The connection never came up.
    ConnectTimeout,
}

/// What all connections are counted in, wherever they are.
#[derive(Default)]
pub struct ConnectionCounts {
    /// Up or being opened.
    pub total: Cell<usize>,
    pub figures: RefCell<PoolFigures>,
    /// Attempts that wait, and the signal that a slot has become free meanwhile.
    pub waiting: Cell<usize>,
    pub freed: Notify,
}

impl ConnectionCounts {
    /// A slot has become free: wakes those who wait for one.
    pub fn freed(&self) {
        if self.waiting.get() > 0 {
            self.freed.notify_one();
        }
    }
}

/// A connection's share of the limits, from before it is opened until after it is closed.
pub struct Slot {
    pub counts: Rc<ConnectionCounts>,
    pub server_connections: Rc<Cell<usize>>,
    /// Those being opened in this generation of the server; none once it is up.
    pub opening: Option<Rc<Cell<usize>>>,
    pub cause: CloseReason,
}

impl Slot {
    /// The slot of a connection that is about to be opened.
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

    /// The connection is up.
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

/// A connection in the hands of one attempt, or idle.
pub struct Pooled<L> {
    // Before its slot: the descriptor is free by the time that its slot is.
    pub link: L,
    pub slot: Slot,
    pub server: Name,
    pub generation: u64,
    pub last_used: Instant,
    pub use_count: u32,
    /// How long it had idled when it was handed out, if it had been used before.
    pub idle_time: Option<Duration>,
}

impl<L> Pooled<L> {
    /// Closes it for this reason; left alone it counts as given up.
    pub fn close(mut self, cause: CloseReason) {
        self.slot.cause = cause;
    }
}

/// A connection for an attempt, or why there is none.
pub type Checkout<L> = Result<Pooled<L>, Unavailable>;
