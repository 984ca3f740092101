//! One roll server as the pool knows it.

use crate::pool::close_reason::CloseReason;
use crate::pool::connection::{Checkout, Pooled};
use crate::staleness::Staleness;
use std::cell::Cell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Its entry in the list, its connections, and the attempts that wait for one.
pub struct Server<L> {
    pub address: Option<SocketAddr>,
    pub boot_ms: u64,
    pub listed: bool,
    pub ready: bool,
    pub generation: u64,
    /// The most connections, and how many there are: up or being opened, of all generations.
    pub max_connections: usize,
    pub connections: Rc<Cell<usize>>,
    /// Those of them that are being opened in this generation.
    pub opening: Rc<Cell<usize>>,
    /// The one used last at the end.
    pub idle: Vec<Pooled<L>>,
    /// In the order they came.
    pub waiting: VecDeque<oneshot::Sender<Checkout<L>>>,
    pub staleness: Staleness,
    /// When any answer last began.
    pub last_answer: Instant,
}

impl<L> Server<L> {
    /// A server that the list has just named.
    pub fn new(address: Option<SocketAddr>, boot_ms: u64, now: Instant) -> Self {
        Server {
            address,
            boot_ms,
            listed: true,
            ready: false,
            generation: 0,
            max_connections: usize::MAX,
            connections: Rc::default(),
            opening: Rc::default(),
            idle: Vec::new(),
            waiting: VecDeque::new(),
            staleness: Staleness::new(now),
            last_answer: now,
        }
    }

    /// The list names it so. Whether a generation of its connections has ended by that.
    pub fn apply_listing(
        &mut self,
        address: Option<SocketAddr>,
        boot_ms: u64,
        ready: bool,
        now: Instant,
    ) -> bool {
        (self.listed, self.ready) = (true, ready);
        let restarted = self.boot_ms != boot_ms;
        let moved = !ready || self.address != address || restarted;
        if moved {
            self.end_generation();
        }
        if restarted {
            self.staleness = Staleness::new(now);
        }
        (self.address, self.boot_ms) = (address, boot_ms);
        if !ready {
            self.waiting.clear();
        }
        moved
    }

    /// The list names it no more.
    pub fn mark_unlisted(&mut self) {
        self.end_generation();
        self.waiting.clear();
        (self.listed, self.ready) = (false, false);
    }

    /// Nothing that is open, or waits, is of use any more.
    pub fn end_generation(&mut self) {
        self.generation += 1;
        self.opening = Rc::default();
        close(self.idle.drain(..), CloseReason::Listed);
    }
}

/// Closes all of these for one reason.
pub fn close<L>(links: impl IntoIterator<Item = Pooled<L>>, cause: CloseReason) {
    links.into_iter().for_each(|p| p.close(cause));
}
