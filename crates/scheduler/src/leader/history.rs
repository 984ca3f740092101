//! The most recently finished attempts, for job reports.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::ids::AttemptKey;
use crate::state::AttemptOutcome;

/// Maximum number of finished attempts kept, which take some tens of kilobytes.
const MAX_FINISHED_ATTEMPTS: usize = 1_024;

/// A finished attempt. Times are in nanoseconds of the monotonic clock.
#[derive(Debug, Clone)]
pub(super) struct FinishedAttempt {
    pub(super) key: AttemptKey,
    pub(super) instance: Arc<str>,
    pub(super) outcome: AttemptOutcome,
    pub(super) started_at: Option<u64>,
    pub(super) ended_at: u64,
    pub(super) percent: u32,
}

/// The most recently finished attempts, oldest first.
#[derive(Debug, Default)]
pub(super) struct AttemptHistory {
    newest: VecDeque<FinishedAttempt>,
}

impl AttemptHistory {
    /// Adds an attempt and drops the oldest one if the history is full.
    pub(super) fn push(&mut self, attempt: FinishedAttempt) {
        if self.newest.len() >= MAX_FINISHED_ATTEMPTS {
            self.newest.pop_front();
        }
        self.newest.push_back(attempt);
    }

    /// Iterates over the kept attempts of a job, oldest first.
    pub(super) fn of_job(&self, job: u64) -> impl Iterator<Item = &FinishedAttempt> {
        self.newest.iter().filter(move |attempt| attempt.key.task.job == job)
    }
}
