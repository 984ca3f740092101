//! How many connections to workers the process may keep open, within its limit of descriptors.
//!
//! This is bookkeeping only: it counts open connections and selects the idle one to close, the longest idle first.

use std::collections::BTreeMap;

/// Descriptors reserved for files: the log, snapshots, settings, pages.
const FILE_DESCRIPTORS: u64 = 200;
/// Descriptors reserved for connections to peers, edges, the platform and operator_calls.
const OTHER_CONNECTIONS: u64 = 300;

/// Share of the descriptors that all connections together may take, in percent. Bursts in which all connections to
/// workers are in use, and connections that are closing, need the rest.
const CONNECTIONS_PERCENT: u64 = 70;

/// Connections to workers that fit beside the others, of `max_descriptors` of the process (0: no limit is known).
///
/// Under very low limits workers still get half.
pub fn max_worker_connections(max_descriptors: u64) -> usize {
    if max_descriptors == 0 {
        return usize::MAX;
    }
    let rest = max_descriptors.saturating_sub(FILE_DESCRIPTORS + OTHER_CONNECTIONS);
    let share = max_descriptors.saturating_mul(CONNECTIONS_PERCENT) / 100;
    let usual = rest.min(share.saturating_sub(OTHER_CONNECTIONS));
    usize::try_from(usual.max(max_descriptors / 2)).unwrap_or(usize::MAX)
}

/// Names an idle connection that may be closed. Rises with time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdleTicket(u64);

/// Open connections, and those of them that are idle and may be closed, with their owners.
///
/// `open` counts idle connections too. An idle connection is in `idle` under its ticket until it is used again, closed
/// for another reason (`no_longer_idle`) or selected for closing (`take_excess`); whoever closes one calls `closed`.
#[derive(Debug)]
pub struct ConnectionBudget<Owner> {
    limit: usize,
    open: usize,
    next_ticket: u64,
    idle: BTreeMap<IdleTicket, Owner>,
}

impl<Owner> ConnectionBudget<Owner> {
    /// No connections, of at most `limit`.
    pub fn new(limit: usize) -> Self {
        ConnectionBudget { limit, open: 0, next_ticket: 0, idle: BTreeMap::new() }
    }

    /// Sets the limit. `take_excess` selects the connections over it.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Open connections, idle ones included.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Whether one more connection fits within the limit, if need be in place of an idle one.
    pub fn has_room(&self) -> bool {
        self.open < self.limit || !self.idle.is_empty()
    }

    /// One more connection is being opened.
    pub fn opened(&mut self) {
        self.open += 1;
    }

    /// A connection that has no ticket closed.
    pub fn closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// An open connection of `owner` became idle and may be closed.
    pub fn became_idle(&mut self, owner: Owner) -> IdleTicket {
        let ticket = IdleTicket(self.next_ticket);
        self.next_ticket += 1;
        self.idle.insert(ticket, owner);
        ticket
    }

    /// An idle connection is used again, or closed for another reason: its ticket ends.
    pub fn no_longer_idle(&mut self, ticket: IdleTicket) {
        self.idle.remove(&ticket);
    }

    /// The longest idle connection, if more are open than the limit. Its ticket ends; `closed` must follow.
    ///
    /// Connections in use are never selected, so that the limit may be exceeded while all are in use.
    pub fn take_excess(&mut self) -> Option<(IdleTicket, Owner)> {
        if self.open <= self.limit {
            return None;
        }
        self.idle.pop_first()
    }
}
