//! The pace of status queries over all workers: a backlog of uncertain attempts must not take the leader's time.

use std::collections::BTreeSet;

use crate::placement::WorkerKey;
use crate::time::NANOS_PER_S;

/// Status queries a second to all workers together, over longer times.
const MAX_STATUS_QUERIES_PER_S: u64 = 1_000;

/// Workers that are asked beyond the ordinary pace of lease renewals.
#[derive(Debug, Default)]
pub(super) struct StatusQueryBudget {
    workers: BTreeSet<WorkerKey>,
}

impl StatusQueryBudget {
    /// Least time between two status queries to one worker, in nanoseconds: each gets the same share of the budget.
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
