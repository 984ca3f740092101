//! The newest finished attempts, for the reports of jobs.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::ids::AttemptKey;
use crate::state::AttemptOutcome;

/// Finished attempts that are kept: some tens of kilobytes.
const MAX_FINISHED_ATTEMPTS: usize = 1_024;

/// A finished attempt. Times are nanoseconds of the steady clock.
#[derive(Debug, Clone)]
pub(super) struct FinishedAttempt {
    pub(super) key: AttemptKey,
    pub(super) instance: Arc<str>,
    pub(super) outcome: AttemptOutcome,
    pub(super) started_at: Option<u64>,
    pub(super) ended_at: u64,
    pub(super) percent: u32,
}

/// The newest finished attempts, the oldest first.
#[derive(Debug, Default)]
pub(super) struct AttemptHistory {
    newest: VecDeque<FinishedAttempt>,
}

impl AttemptHistory {
    /// Adds an attempt, in place of the oldest if there are too many.
    pub(super) fn push(&mut self, attempt: FinishedAttempt) {
        if self.newest.len() >= MAX_FINISHED_ATTEMPTS {
            self.newest.pop_front();
        }
        self.newest.push_back(attempt);
    }

    /// The kept attempts of a job, the oldest first.
    pub(super) fn of_job(&self, job: u64) -> impl Iterator<Item = &FinishedAttempt> {
        self.newest.iter().filter(move |attempt| attempt.key.task.job == job)
    }
}
