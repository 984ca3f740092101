//! The connection pool for roll servers: open connections, the attempts that wait for one, and how
//! connections are reused or closed.
//!
//! The decision engine sets the connection limits, and the pool enforces them. A checkout takes the limit
//! recently used idle connection, so that the others reach the idle timeout. If no connection is idle, the
//! attempt waits for whichever comes first: a connection that another attempt returns, or a new one that is
//! opened for it. A new connection that is no longer needed is kept if the limits allow. Attempts that wait
//! for the same server are served in the order of their arrival.
//!
//! Each connection belongs to a generation of its server. A generation ends when the list gives the server
//! another address or start time, and when the server accepts no new requests. Connections of a past
//! generation are not checked out, kept or written to.

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
    /// Servers that an operator disabled. The decision engine already excludes them; the pool uses this set
    /// to stop an attempt that still waits for its connection.
    disabled: RefCell<HashSet<Name>>,
    counts: Rc<ConnectionCounts>,
    /// The maximum number of connections to all servers together, and to a single server that has no limit of
    /// its own.
    max_connections: Cell<usize>,
    connect_timeout: Duration,
    idle_timeout: Duration,
    staleness: RefCell<Staleness>,
}

impl<O: Open> Pool<O> {
    /// Creates a pool that never reuses a connection after it has been idle for `idle_timeout`.
    pub fn new(
        opener: O,
        max_connections: usize,
        connect_timeout: Duration,
        idle_timeout: Duration,
    ) -> Rc<Self> {
        Rc::new(Pool {
            opener,
            servers: RefCell::default(),
            disabled: RefCell::default(),
            counts: Rc::default(),
            max_connections: Cell::new(max_connections),
            connect_timeout,
            idle_timeout,
            staleness: RefCell::new(Staleness::new(Instant::now())),
        })
    }

    /// Returns the opener that establishes connections.
    pub fn opener(&self) -> &O {
        &self.opener
    }

    // ---- Servers ----

    /// Returns whether at least one server accepts requests.
    pub fn any_ready(&self) -> bool {
        self.servers.borrow().iter().any(|(name, s)| self.usable(name, s))
    }

    /// Returns whether the server accepts requests and is not disabled.
    fn usable(&self, name: &Name, server: &Server<O::Link>) -> bool {
        server.ready && !self.disabled.borrow().contains(name)
    }

    /// Returns the number of listed servers.
    pub fn listed(&self) -> usize {
        self.servers.borrow().values().filter(|s| s.listed).count()
    }

    /// Returns whether a server of this name is listed, or disabled by an operator while it is missing from
    /// the list.
    pub fn knows(&self, name: &str) -> bool {
        self.servers.borrow().get(name).is_some_and(|s| s.listed) || self.disabled.borrow().contains(name)
    }

    /// Returns the servers that an operator disabled, sorted by name.
    pub fn disabled(&self) -> Vec<Name> {
        let mut disabled: Vec<Name> = self.disabled.borrow().iter().cloned().collect();
        disabled.sort();
        disabled
    }

    /// Disables a server for an operator: no new request is written to it, and its idle connections are
    /// closed.
    pub fn disable(&self, name: &Name) {
        self.disabled.borrow_mut().insert(name.clone());
        if let Some(s) = self.servers.borrow_mut().get_mut(name) {
            s.end_generation();
            s.waiting.clear();
        }
    }

    /// Enables a server that an operator disabled.
    pub fn enable(&self, name: &Name) {
        self.disabled.borrow_mut().remove(name);
    }

    /// Applies an update of the server list. Closes connections to an old address, to a process that has been
    /// replaced, and to a server that accepts no new requests.
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
            let server = servers.entry(name.clone()).or_insert_with(|| Server::new(address, t.boot_ms, now));
            if server.apply_listing(address, t.boot_ms, t.state == State::Ready, now) {
                moved.push(name);
            }
        }
        // A server with connections in use stays until they are closed, because they count against its limit.
        servers.retain(|_, s| s.listed || s.connections.get() > 0);
        drop(servers);
        // Attempts that wait for a server that has moved continue with its new address.
        moved.iter().for_each(|name| self.open_for_waiters(name));
    }

    // ---- Limits ----

    /// Sets the maximum number of connections to all servers together.
    pub fn set_limit(&self, limit: usize) {
        self.max_connections.set(limit);
        while self.counts.total.get() > limit && self.close_longest_idle() {}
        self.counts.freed();
    }

    /// Sets the maximum number of connections to one server.
    pub fn set_server_limit(&self, name: &Name, limit: usize) {
        if let Some(s) = self.servers.borrow_mut().get_mut(name) {
            let excess = s.connections.get().saturating_sub(limit).min(s.idle.len());
            close(s.idle.drain(..excess), CloseReason::Room);
            s.max_connections = limit;
        }
        self.counts.freed();
    }

    /// Closes the connection that has been idle the longest. Returns false if no connection is idle.
    pub fn close_longest_idle(&self) -> bool {
        let mut servers = self.servers.borrow_mut();
        let idle = servers.values_mut().filter(|s| !s.idle.is_empty());
        let Some(oldest) = idle.min_by_key(|s| s.idle[0].last_used) else { return false };
        oldest.idle.remove(0).close(CloseReason::Room);
        true
    }

    /// Returns the number of connections to a server that are open or being opened.
    pub fn connections_to(&self, name: &Name) -> usize {
        self.servers.borrow().get(name).map_or(0, |s| s.connections.get())
    }

    /// Returns the pool's figures for operators.
    pub fn figures(&self) -> PoolFigures {
        let idle = self.servers.borrow().values().map(|s| s.idle.len()).sum();
        PoolFigures { idle, ..self.counts.figures.borrow().clone() }
    }
}
