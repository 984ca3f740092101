//! The order in which worker sessions are polled, and the limit on concurrent first contacts.
//!
//! A new leader has to contact every worker. One turn polls a limited number of sessions so that the driver
//! can send heartbeats in between. Workers with attempts come first. All other workers are contacted at the
//! rate at which they respond, because each first contact costs a connection and a call.

use std::collections::VecDeque;

use crate::placement::WorkerKey;
use crate::time::NANOS_PER_MS;

/// Maximum number of sessions that one turn polls.
pub(super) const POLLS_PER_TURN: usize = 64;
/// Maximum number of first contacts in flight.
const MAX_FIRST_CONTACTS_IN_FLIGHT: usize = 64;
/// Time after which a first contact without a response no longer counts as in flight.
const FIRST_CONTACT_TIMEOUT_NS: u64 = 100 * NANOS_PER_MS;

/// Sessions that wait to be polled, in two classes.
#[derive(Debug, Default)]
pub(super) struct PollQueue {
    ordinary: VecDeque<WorkerKey>,
    /// Workers that have no attempts and have not responded yet.
    first_contacts: VecDeque<WorkerKey>,
    /// First contacts in flight and the times at which they stop counting, earliest first.
    in_flight: VecDeque<(u64, WorkerKey)>,
}

impl PollQueue {
    /// Adds the session of a worker that has attempts or has responded before.
    pub(super) fn push(&mut self, key: WorkerKey) {
        self.ordinary.push_back(key);
    }

    /// Adds the session of a worker that has no attempts and has not responded yet.
    pub(super) fn push_first_contact(&mut self, key: WorkerKey) {
        self.first_contacts.push_back(key);
    }

    /// Takes the next session to poll, or returns `None` if no session may be polled now.
    pub(super) fn pop(&mut self, now: u64) -> Option<WorkerKey> {
        if let Some(key) = self.ordinary.pop_front() {
            return Some(key);
        }
        self.expire_contacts(now);
        if self.in_flight.len() >= MAX_FIRST_CONTACTS_IN_FLIGHT {
            return None;
        }
        self.first_contacts.pop_front()
    }

    /// Records the first call to a worker.
    pub(super) fn contact_started(&mut self, key: WorkerKey, now: u64) {
        self.in_flight.push_back((now + FIRST_CONTACT_TIMEOUT_NS, key));
    }

    /// Records the end of a call to a worker.
    pub(super) fn contact_ended(&mut self, key: WorkerKey) {
        self.in_flight.retain(|(_, contacted)| *contacted != key);
    }

    fn expire_contacts(&mut self, now: u64) {
        while self.in_flight.front().is_some_and(|(until, _)| *until <= now) {
            self.in_flight.pop_front();
        }
    }

    /// Returns when the next session may be polled, or `None` if no session waits.
    pub(super) fn next_due(&self, now: u64) -> Option<u64> {
        let is_full = self.in_flight.len() >= MAX_FIRST_CONTACTS_IN_FLIGHT;
        match (self.ordinary.is_empty(), self.first_contacts.is_empty()) {
            (true, true) => None,
            (true, false) if is_full => self.in_flight.front().map(|(until, _)| (*until).max(now)),
            _ => Some(now),
        }
    }
}
