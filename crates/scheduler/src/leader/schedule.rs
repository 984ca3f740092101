//! The next due time of each job that runs at times of day, however often it repeats.

use std::collections::BTreeSet;

/// A time of a job and when it is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DueTime {
    /// Time of day in milliseconds since 1970.
    pub(super) due_ms: u64,
    pub(super) job: u64,
    /// Which of the job's repeats, counted from 0.
    pub(super) time: u32,
}

/// The next time of each scheduled job, in order of their due times.
#[derive(Debug, Default)]
pub(super) struct Schedule {
    by_due_time: BTreeSet<DueTime>,
}

impl Schedule {
    pub(super) fn insert(&mut self, due: DueTime) {
        self.by_due_time.insert(due);
    }

    /// The time that is due first.
    pub(super) fn first(&self) -> Option<DueTime> {
        self.by_due_time.first().copied()
    }

    /// Takes out the time that is due first.
    pub(super) fn pop_first(&mut self) -> Option<DueTime> {
        self.by_due_time.pop_first()
    }
}
