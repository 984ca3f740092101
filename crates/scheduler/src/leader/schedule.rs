//! The next due time of each scheduled job, regardless of how often the job repeats.

use std::collections::BTreeSet;

/// An occurrence of a job and its due time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DueTime {
    /// Time of day in milliseconds since 1970.
    pub(super) due_ms: u64,
    pub(super) job: u64,
    /// Index of the occurrence among the job's repeats, counted from 0.
    pub(super) time: u32,
}

/// The next occurrence of each scheduled job, ordered by due time.
#[derive(Debug, Default)]
pub(super) struct Schedule {
    by_due_time: BTreeSet<DueTime>,
}

impl Schedule {
    pub(super) fn insert(&mut self, due: DueTime) {
        self.by_due_time.insert(due);
    }

    /// Returns the occurrence that is due first.
    pub(super) fn first(&self) -> Option<DueTime> {
        self.by_due_time.first().copied()
    }

    /// Takes the occurrence that is due first.
    pub(super) fn pop_first(&mut self) -> Option<DueTime> {
        self.by_due_time.pop_first()
    }
}
