//! Timers of the leader.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// The action of a timer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Timer {
    /// Poll the session of this worker.
    Session(u64),
    /// Check again whether this worker may take starts.
    Worker(u64),
    /// Poll sessions that wait in the poll queue.
    PollWorkers,
    /// Read the platform's instance list.
    ReadInstances,
    /// Stop placing tasks on workers whose listing has expired.
    ExpireListings,
    /// Examine running attempts.
    ExamineAttempts,
    /// Enqueue the steps of scheduled jobs that fall due.
    Schedule,
    /// Continue admission.
    Admit,
    /// Send the start orders of gangs whose members can all start.
    ReleaseGangs,
}

/// A set of timers, with at most one time for each timer.
#[derive(Debug, Default)]
pub(super) struct Timers {
    /// All times that were set, earliest first. Times that were replaced are skipped.
    heap: BinaryHeap<Reverse<(u64, Timer)>>,
    /// The valid time of each timer.
    current: HashMap<Timer, u64>,
}

impl Timers {
    /// Sets a timer and replaces its earlier time.
    pub(super) fn set(&mut self, at: u64, timer: Timer) {
        if self.current.insert(timer, at) != Some(at) {
            self.heap.push(Reverse((at, timer)));
        }
    }

    /// Sets a timer unless it is set for that time or an earlier one.
    pub(super) fn set_no_later(&mut self, at: u64, timer: Timer) {
        if self.current.get(&timer).is_none_or(|current| at < *current) {
            self.set(at, timer);
        }
    }

    /// Cancels a timer.
    pub(super) fn cancel(&mut self, timer: Timer) {
        self.current.remove(&timer);
    }

    /// Takes the next timer that is due.
    pub(super) fn pop_due(&mut self, now: u64) -> Option<Timer> {
        loop {
            let Reverse((at, timer)) = *self.heap.peek()?;
            if at > now {
                return None;
            }
            self.heap.pop();
            if self.current.get(&timer) == Some(&at) {
                self.current.remove(&timer);
                return Some(timer);
            }
        }
    }

    /// Returns when the next timer is due.
    pub(super) fn next(&mut self) -> Option<u64> {
        loop {
            let Reverse((at, timer)) = *self.heap.peek()?;
            if self.current.get(&timer) == Some(&at) {
                return Some(at);
            }
            self.heap.pop();
        }
    }
}
