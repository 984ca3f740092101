//! Which sessions of workers are polled next, and how many workers are contacted for the first time at once.
//!
//! A new leader has to talk to every worker. One turn polls a bounded number of them, so that the driver can send
//! heartbeats in between. Workers that carry attempts come first. The others are contacted as fast as they answer: each
//! first contact costs a connection and a call.

use std::collections::VecDeque;

use crate::placement::WorkerKey;
use crate::time::NANOS_PER_MS;

/// Sessions that one turn polls at most.
pub(super) const POLLS_PER_TURN: usize = 64;
/// First contacts in flight.
const MAX_FIRST_CONTACTS_IN_FLIGHT: usize = 64;
/// A first contact without an answer stops counting after this time, in nanoseconds.
const FIRST_CONTACT_TIMEOUT_NS: u64 = 100 * NANOS_PER_MS;

/// Sessions that wait to be polled, in two classes.
#[derive(Debug, Default)]
pub(super) struct PollQueue {
    ordinary: VecDeque<WorkerKey>,
    /// Workers that carry nothing and have not answered yet.
    first_contacts: VecDeque<WorkerKey>,
    /// First contacts in flight and when they stop counting, the earliest first.
    in_flight: VecDeque<(u64, WorkerKey)>,
}

impl PollQueue {
    /// Adds a session.
    pub(super) fn push(&mut self, key: WorkerKey) {
        self.ordinary.push_back(key);
    }

    /// Adds the session of a worker that carries nothing and has not answered yet.
    pub(super) fn push_first_contact(&mut self, key: WorkerKey) {
        self.first_contacts.push_back(key);
    }

    /// Takes out the session to poll next, if one may be polled now.
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

    /// A worker was called for the first time.
    pub(super) fn contact_started(&mut self, key: WorkerKey, now: u64) {
        self.in_flight.push_back((now + FIRST_CONTACT_TIMEOUT_NS, key));
    }

    /// The call to a worker has ended.
    pub(super) fn contact_ended(&mut self, key: WorkerKey) {
        self.in_flight.retain(|(_, contacted)| *contacted != key);
    }

    fn expire_contacts(&mut self, now: u64) {
        while self.in_flight.front().is_some_and(|(until, _)| *until <= now) {
            self.in_flight.pop_front();
        }
    }

    /// When the next session may be polled; `None` if none waits.
    pub(super) fn next_due(&self, now: u64) -> Option<u64> {
        let is_full = self.in_flight.len() >= MAX_FIRST_CONTACTS_IN_FLIGHT;
        match (self.ordinary.is_empty(), self.first_contacts.is_empty()) {
            (true, true) => None,
            (true, false) if is_full => self.in_flight.front().map(|(until, _)| (*until).max(now)),
            _ => Some(now),
        }
    }
}
