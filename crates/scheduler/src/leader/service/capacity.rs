//! Handling of freed capacity: which blocked steps may be placed again.
//!
//! Workers with freed capacity are collected, so that one turn needs only one pass over the blocked steps.

use mqos::{PlanOptions, Queues};

use crate::ids::StepKey;
use crate::placement::{Resources, WorkerKey};

use super::steps::WEIGHTS;
use super::Service;

impl Service {
    /// Records that capacity was freed on a worker, so that blocked steps that fit there may be placed again.
    pub(in crate::leader) fn capacity_freed(&mut self, worker: WorkerKey) {
        self.needs_admission = true;
        self.freed_on.push(worker);
    }

    /// Records that a worker was added or may take starts again.
    pub(in crate::leader) fn worker_usable(&mut self, worker: WorkerKey) {
        self.capacity_freed(worker);
        self.workers_became_usable = true;
    }

    /// Updates the queues with the changes since the last admission pass.
    pub(in crate::leader) fn prepare_pass(&mut self, now: u64) {
        self.needs_admission = false;
        self.update_shares();
        self.unblock_steps(now);
        self.update_plan_heads(now);
    }

    /// Unblocks the steps that fit on a worker with freed capacity, and the steps whose wait for better
    /// capacity is over.
    fn unblock_steps(&mut self, now: u64) {
        let mut workers = std::mem::take(&mut self.freed_on);
        workers.sort_unstable();
        workers.dedup();
        let free: Vec<Resources> = workers.iter().filter_map(|key| self.fleet.free_on(*key)).collect();
        let max_free = free.iter().fold(Resources::ZERO, |max_free, free| max_free.max(*free));
        let fits = |need: Resources| need.fits_in(max_free) && free.iter().any(|free| need.fits_in(*free));
        let wait_is_over = |retry_at: Option<u64>| retry_at.is_some_and(|at| at <= now);
        self.blocked.retain(|_, blocked| !wait_is_over(blocked.retry_at) && !fits(blocked.need));
        workers.clear();
        self.freed_on = workers;
    }

    /// Returns the earliest time at which a wait for better capacity ends.
    pub(in crate::leader) fn next_retry_at(&self) -> Option<u64> {
        self.blocked.values().filter_map(|blocked| blocked.retry_at).min()
    }

    /// Returns how often the shares of all waiting steps were computed since the last call.
    pub(in crate::leader) fn take_share_updates(&mut self) -> u64 {
        std::mem::take(&mut self.share_updates)
    }

    /// Recomputes the shares of all queue entries if workers that became usable changed the total capacity by
    /// over a tenth.
    fn update_shares(&mut self) {
        let total = self.fleet.total();
        let became_usable = std::mem::take(&mut self.workers_became_usable);
        if !became_usable || !differs_by_over_a_tenth(total, self.shares_total) {
            return;
        }
        self.blocked.clear();
        self.shares_total = total;
        self.share_updates += 1;
        self.queues = Queues::new(&WEIGHTS.map(|weight| PlanOptions { weight }));
        let steps: Vec<StepKey> = self.ready.keys().copied().collect();
        for step in steps {
            self.push_to_queue(step);
        }
    }
}

/// Returns whether any resource differs by over a tenth, so that the shares of the queue entries must be
/// recomputed.
fn differs_by_over_a_tenth(total: Resources, before: Resources) -> bool {
    let changed = |now: u64, before: u64| now.abs_diff(before).saturating_mul(10) > before;
    changed(total.cpu, before.cpu) || changed(total.mem_mb, before.mem_mb) || changed(total.gpu, before.gpu)
}
