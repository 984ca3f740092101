//! Timers of the leader.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// What is to be done at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Timer {
    /// Poll the session of this worker.
    Session(u64),
    /// Reconsider whether this worker may take starts.
    Worker(u64),
    /// Poll sessions that wait for it.
    PollWorkers,
    /// Read the platform's list.
    ReadInstances,
    /// Take workers out of use whose listing has become too old.
    ExpireListings,
    /// Examine running attempts.
    ExamineAttempts,
    /// Start tasks that fall due.
    Schedule,
    /// Continue admission.
    Admit,
    /// Release the starts of gangs whose members can all start.
    ReleaseGangs,
}

/// At most one time for each timer.
#[derive(Debug, Default)]
pub(super) struct Timers {
    /// All settings by time; those that were replaced are skipped.
    heap: BinaryHeap<Reverse<(u64, Timer)>>,
    /// The valid setting of each timer.
    current: HashMap<Timer, u64>,
}

impl Timers {
    /// Sets a timer, in place of an earlier setting.
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

    /// Removes a timer's setting.
    pub(super) fn cancel(&mut self, timer: Timer) {
        self.current.remove(&timer);
    }

    /// Takes out the next timer that is due.
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

    /// When the next timer is due.
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
