//! The pool's state of one roll server.

use crate::pool::close_reason::CloseReason;
use crate::pool::connection::{Checkout, PooledConnection};
use crate::staleness::Staleness;
use std::cell::Cell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A server's entry in the list, its connections, and the attempts that wait for one.
pub struct Server<L> {
    pub address: Option<SocketAddr>,
    pub boot_ms: u64,
    pub listed: bool,
    pub ready: bool,
    pub generation: u64,
    /// The maximum number of connections, and the current number: open or being opened, of all generations.
    pub max_connections: usize,
    pub connections: Rc<Cell<usize>>,
    /// Connections that are being opened in the current generation.
    pub opening: Rc<Cell<usize>>,
    /// Idle connections, the most recently used one last.
    pub idle: Vec<PooledConnection<L>>,
    /// Attempts that wait for a connection, in the order of their arrival.
    pub waiting: VecDeque<oneshot::Sender<Checkout<L>>>,
    pub staleness: Staleness,
    /// When the server last began an answer on any connection.
    pub last_answer: Instant,
}

impl<L> Server<L> {
    /// Creates the state of a server that has just been added to the list.
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

    /// Applies the server's entry in the list. Returns whether this ended the current generation of
    /// connections.
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

    /// Handles the removal of the server from the list.
    pub fn mark_unlisted(&mut self) {
        self.end_generation();
        self.waiting.clear();
        (self.listed, self.ready) = (false, false);
    }

    /// Ends the current generation: idle connections are closed, and connections in use or being opened will
    /// not be reused.
    pub fn end_generation(&mut self) {
        self.generation += 1;
        self.opening = Rc::default();
        close(self.idle.drain(..), CloseReason::Listed);
    }
}

/// Closes all these connections for the same reason.
pub fn close<L>(links: impl IntoIterator<Item = PooledConnection<L>>, cause: CloseReason) {
    links.into_iter().for_each(|p| p.close(cause));
}
