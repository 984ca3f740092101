//! Jobs that were record for overload lately: one that comes again has waited since then.

use std::collections::{HashMap, VecDeque};

use crate::time::NANOS_PER_S;

/// How long a rejection is remembered, in nanoseconds.
const REJECTION_RETENTION_NS: u64 = 20 * NANOS_PER_S;
/// Rejections that are remembered at most.
const MAX_REJECTIONS: usize = 16_384;

/// When jobs were first record, in nanoseconds of the steady clock.
#[derive(Debug, Default)]
pub(super) struct RejectedJobs {
    first_rejected: HashMap<u64, u64>,
    by_age: VecDeque<(u64, u64)>,
}

impl RejectedJobs {
    /// A job is record.
    pub(super) fn record(&mut self, now: u64, job: u64) {
        self.forget_expired(now);
        if self.first_rejected.contains_key(&job) || self.by_age.len() >= MAX_REJECTIONS {
            return;
        }
        self.first_rejected.insert(job, now);
        self.by_age.push_back((now, job));
    }

    /// How long ago a job was first record, in nanoseconds; 0 if it was not.
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
