//! Rate limit on status queries to all workers, so that a backlog of attempts in an unknown state does not
//! take up the leader's time.

use std::collections::BTreeSet;

use crate::placement::WorkerKey;
use crate::time::NANOS_PER_S;

/// Maximum rate of status queries to all workers together, averaged over longer times.
const MAX_STATUS_QUERIES_PER_S: u64 = 1_000;

/// Workers that are queried more often than the regular lease renewals.
#[derive(Debug, Default)]
pub(super) struct StatusQueryBudget {
    workers: BTreeSet<WorkerKey>,
}

impl StatusQueryBudget {
    /// Returns the minimum time between two status queries to one worker, in nanoseconds. All workers in the
    /// set get the same share of the rate.
    pub(super) fn spacing(&self) -> u64 {
        let workers = u64::try_from(self.workers.len()).unwrap_or(u64::MAX);
        workers.saturating_mul(NANOS_PER_S / MAX_STATUS_QUERIES_PER_S)
    }

    /// Records whether a worker needs status queries.
    pub(super) fn set_needed(&mut self, worker: WorkerKey, needed: bool) {
        match needed {
            true => self.workers.insert(worker),
            false => self.workers.remove(&worker),
        };
    }
}
