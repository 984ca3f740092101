//! Jobs that were recently rejected because of overload. If such a job is submitted again, its wait counts
//! from the first rejection.

use std::collections::{HashMap, VecDeque};

use crate::time::NANOS_PER_S;

/// How long a rejection is remembered.
const REJECTION_RETENTION_NS: u64 = 20 * NANOS_PER_S;
/// Maximum number of remembered rejections.
const MAX_REJECTIONS: usize = 16_384;

/// When jobs were first rejected, in nanoseconds of the monotonic clock.
#[derive(Debug, Default)]
pub(super) struct RejectedJobs {
    first_rejected: HashMap<u64, u64>,
    /// Time of the first rejection and job ID, oldest first.
    by_age: VecDeque<(u64, u64)>,
}

impl RejectedJobs {
    /// Records the rejection of a job.
    pub(super) fn record(&mut self, now: u64, job: u64) {
        self.forget_expired(now);
        if self.first_rejected.contains_key(&job) || self.by_age.len() >= MAX_REJECTIONS {
            return;
        }
        self.first_rejected.insert(job, now);
        self.by_age.push_back((now, job));
    }

    /// Returns the time since the first rejection of a job in nanoseconds, or 0 if the job was not rejected.
    pub(super) fn time_since_rejection(&self, now: u64, job: u64) -> u64 {
        self.first_rejected.get(&job).map_or(0, |first| now.saturating_sub(*first))
    }

    fn forget_expired(&mut self, now: u64) {
        while self.by_age.front().is_some_and(|(at, _)| at + REJECTION_RETENTION_NS <= now) {
            if let Some((_, job)) = self.by_age.pop_front() {
                self.first_rejected.remove(&job);
            }
        }
    }
}
