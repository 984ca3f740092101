//! The pool of connections to roll servers: which are open, who waits for one, and what becomes of each.
//!
//! How many there may be is the module's decision; the pool keeps within it. An attempt takes the connection that was
//! used last, so that the rest age out. If none is idle it waits for what comes first: a connection that
//! another attempt gives back, or one that is opened for it. One that was opened and not needed is kept if the
//! limits allow. Those who wait at a server are served in turn.
//!
//! A connection belongs to a generation of its server, which ends when the list has another address or start, and
//! when the server wants nothing new. Nothing of a past generation is handed out, kept or written to.

mod checkout;
pub mod close_reason;
pub mod connection;
mod feedback;
pub mod figures;
mod maintenance;
mod server;
#[cfg(test)]
pub mod tests;

use crate::pool::close_reason::CloseReason;
use crate::pool::connection::{ConnectionCounts, Open};
use crate::pool::figures::PoolFigures;
use crate::pool::server::{close, Server};
use crate::staleness::Staleness;
use gateway_decisions::{Name, Scope};
use gateway_protocol::list::{State, Target};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The connections to all servers.
pub struct Pool<O: Open> {
    opener: O,
    servers: RefCell<HashMap<Name, Server<O::Link>>>,
    /// Out by hand. The module decides it; here it stops a send that still waits for its connection.
    disabled: RefCell<HashSet<Name>>,
    counts: Rc<ConnectionCounts>,
    /// The most connections over all servers, and at one that has no limit of its own.
    max_connections: Cell<usize>,
    connect_timeout: Duration,
    idle_timeout: Duration,
    staleness: RefCell<Staleness>,
}

impl<O: Open> Pool<O> {
    /// No connection is used that has been idle for `idle_timeout`.
    pub fn new(opener: O, most: usize, connect_timeout: Duration, idle_timeout: Duration) -> Rc<Self> {
        Rc::new(Pool {
            opener,
            servers: RefCell::default(),
            disabled: RefCell::default(),
            counts: Rc::default(),
            max_connections: Cell::new(most),
            connect_timeout,
            idle_timeout,
            staleness: RefCell::new(Staleness::new(Instant::now())),
        })
    }

    /// What opens connections.
    pub fn opener(&self) -> &O {
        &self.opener
    }

    // ---- Servers ----

    /// Whether a request could go to any server.
    pub fn any_ready(&self) -> bool {
        self.servers.borrow().iter().any(|(name, s)| self.usable(name, s))
    }

    fn usable(&self, name: &Name, server: &Server<O::Link>) -> bool {
        server.ready && !self.disabled.borrow().contains(name)
    }

    /// How many are in the list.
    pub fn listed(&self) -> usize {
        self.servers.borrow().values().filter(|s| s.listed).count()
    }

    /// Whether anyone has this name: a listed server, or one out by hand that the list lacks for now.
    pub fn knows(&self, name: &str) -> bool {
        self.servers.borrow().get(name).is_some_and(|s| s.listed) || self.disabled.borrow().contains(name)
    }

    /// Those out by hand, in order.
    pub fn disabled(&self) -> Vec<Name> {
        let mut disabled: Vec<Name> = self.disabled.borrow().iter().cloned().collect();
        disabled.sort();
        disabled
    }

    /// Out by hand: nothing new is written to it, and its idle connections go.
    pub fn disable(&self, name: &Name) {
        self.disabled.borrow_mut().insert(name.clone());
        if let Some(s) = self.servers.borrow_mut().get_mut(name) {
            s.end_generation();
            s.waiting.clear();
        }
    }

    /// Back by hand.
    pub fn enable(&self, name: &Name) {
        self.disabled.borrow_mut().remove(name);
    }

    /// Applies an update of the list. Connections to an old address, an old process or a server that wants
    /// nothing new are of no use.
    pub fn update(self: &Rc<Self>, scope: Scope, targets: &[Target]) {
        let now = Instant::now();
        let mut servers = self.servers.borrow_mut();
        if scope != Scope::Changes {
            let named: HashSet<&str> = targets.iter().map(|t| t.uid.as_str()).collect();
            servers
                .iter_mut()
                .filter(|(name, _)| !named.contains(&***name))
                .for_each(|(_, s)| s.mark_unlisted());
        }
        let mut moved = Vec::new();
        for t in targets {
            if t.state == State::Gone {
                if let Some(s) = servers.get_mut(t.uid.as_str()) {
                    s.mark_unlisted();
                }
                continue;
            }
            let address = t.endpoint.parse().ok();
            let name: Name = t.uid.as_str().into();
            let known = servers.entry(name.clone()).or_insert_with(|| Server::new(address, t.boot_ms, now));
            if known.apply_listing(address, t.boot_ms, t.state == State::Ready, now) {
                moved.push(name);
            }
        }
        // What is still out keeps its server's count until it is closed.
        servers.retain(|_, s| s.listed || s.connections.get() > 0);
        drop(servers);
        // Who waits at a server that has moved goes on to its new address.
        moved.iter().for_each(|name| self.open_for_waiters(name));
    }

    // ---- Limits ----

    /// The most connections over all servers.
    pub fn set_limit(&self, most: usize) {
        self.max_connections.set(most);
        while self.counts.total.get() > most && self.close_longest_idle() {}
        self.counts.freed();
    }

    /// The most connections to one server.
    pub fn set_server_limit(&self, name: &Name, most: usize) {
        if let Some(s) = self.servers.borrow_mut().get_mut(name) {
            let over = s.connections.get().saturating_sub(most).min(s.idle.len());
            close(s.idle.drain(..over), CloseReason::Room);
            s.max_connections = most;
        }
        self.counts.freed();
    }

    /// Closes the connection that has been idle for longest. Whether there was one.
    pub fn close_longest_idle(&self) -> bool {
        let mut servers = self.servers.borrow_mut();
        let idle = servers.values_mut().filter(|s| !s.idle.is_empty());
        let Some(oldest) = idle.min_by_key(|s| s.idle[0].last_used) else { return false };
        oldest.idle.remove(0).close(CloseReason::Room);
        true
    }

    /// Connections to a server that are up or being opened.
    pub fn connections_to(&self, name: &Name) -> usize {
        self.servers.borrow().get(name).map_or(0, |s| s.connections.get())
    }

    /// What staff see.
    pub fn figures(&self) -> PoolFigures {
        let idle = self.servers.borrow().values().map(|s| s.idle.len()).sum();
        PoolFigures { idle, ..self.counts.figures.borrow().clone() }
    }
}
