//! Limits the number of connections to workers, within the process's limit of file descriptors.
//!
//! This module only does the bookkeeping: it counts open connections and selects which idle connection to
//! close, the longest idle first.

use std::collections::BTreeMap;

/// File descriptors reserved for files: the log, snapshots, settings and pages.
const FILE_DESCRIPTORS: u64 = 200;
/// File descriptors reserved for connections to peers, edges, the platform and callers of the operator's API.
const OTHER_CONNECTIONS: u64 = 300;

/// Maximum share of the file descriptors that all connections together may use, in percent. The rest is
/// needed for bursts in which all connections to workers are in use, and for connections that are closing.
const CONNECTIONS_PERCENT: u64 = 70;

/// Maximum number of connections to workers, given the process's limit of `max_descriptors` (0: limit
/// unknown).
///
/// If the limit is very low, connections to workers still get half of it.
pub fn max_worker_connections(max_descriptors: u64) -> usize {
    if max_descriptors == 0 {
        return usize::MAX;
    }
    let rest = max_descriptors.saturating_sub(FILE_DESCRIPTORS + OTHER_CONNECTIONS);
    let share = max_descriptors.saturating_mul(CONNECTIONS_PERCENT) / 100;
    let usual = rest.min(share.saturating_sub(OTHER_CONNECTIONS));
    usize::try_from(usual.max(max_descriptors / 2)).unwrap_or(usize::MAX)
}

/// Identifies an idle connection that may be closed. Later tickets are greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdleTicket(u64);

/// Number of open connections, and the owners of the idle connections that may be closed.
///
/// `open` includes idle connections. An idle connection stays in `idle` under its ticket until it is used
/// again or closed for another reason (`no_longer_idle`), or is selected for closing (`take_excess`). Whoever
/// closes a connection calls `closed`.
#[derive(Debug)]
pub struct ConnectionBudget<Owner> {
    limit: usize,
    open: usize,
    next_ticket: u64,
    idle: BTreeMap<IdleTicket, Owner>,
}

impl<Owner> ConnectionBudget<Owner> {
    /// Creates a budget of at most `limit` connections, none of them open.
    pub fn new(limit: usize) -> Self {
        ConnectionBudget { limit, open: 0, next_ticket: 0, idle: BTreeMap::new() }
    }

    /// Sets the limit. `take_excess` selects the connections over it.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Number of open connections, including idle ones.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Whether one more connection fits within the limit, if necessary in place of an idle one.
    pub fn has_room(&self) -> bool {
        self.open < self.limit || !self.idle.is_empty()
    }

    /// Counts a connection that is being opened.
    pub fn opened(&mut self) {
        self.open += 1;
    }

    /// Counts a closed connection, which must have no ticket any more.
    pub fn closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Registers that an open connection of `owner` is idle and may be closed.
    pub fn became_idle(&mut self, owner: Owner) -> IdleTicket {
        let ticket = IdleTicket(self.next_ticket);
        self.next_ticket += 1;
        self.idle.insert(ticket, owner);
        ticket
    }

    /// Removes the ticket of an idle connection that is used again or was closed for another reason.
    pub fn no_longer_idle(&mut self, ticket: IdleTicket) {
        self.idle.remove(&ticket);
    }

    /// Selects the longest idle connection for closing if more connections are open than the limit allows.
    /// The ticket is removed; the caller must close the connection and call `closed`.
    ///
    /// Connections in use are never selected, so the limit may be exceeded while all connections are in use.
    pub fn take_excess(&mut self) -> Option<(IdleTicket, Owner)> {
        if self.open <= self.limit {
            return None;
        }
        self.idle.pop_first()
    }
}
