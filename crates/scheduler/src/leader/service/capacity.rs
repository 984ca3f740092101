//! Capacity that becomes free: which blocked steps may be placed again.

use mqos::{PlanOptions, Queues};

use crate::ids::StepKey;
use crate::placement::{Resources, WorkerKey};

use super::steps::WEIGHTS;
use super::Service;

impl Service {
    /// Capacity was freed on a worker: the blocked steps that fit there may be placed again.
    pub(in crate::leader) fn capacity_freed(&mut self, worker: WorkerKey) {
        let Some(free) = self.fleet.free_on(worker) else { return };
        self.due = true;
        self.blocked.retain(|_, blocked| blocked.need.is_some_and(|need| !need.fits_in(free)));
    }

    /// Unblocks steps whose wait for better capacity has ended.
    pub(in crate::leader) fn end_expired_waits(&mut self, now: u64) {
        self.blocked.retain(|_, blocked| blocked.retry_at.is_none_or(|at| at > now));
    }

    /// When the next wait for better capacity ends.
    pub(in crate::leader) fn next_retry_at(&self) -> Option<u64> {
        self.blocked.values().filter_map(|blocked| blocked.retry_at).min()
    }

    /// How often the shares of all waiting steps were computed since the last call.
    pub(in crate::leader) fn take_share_updates(&mut self) -> u64 {
        std::mem::take(&mut self.share_updates)
    }

    /// A worker was added, or may take starts again.
    pub(in crate::leader) fn worker_usable(&mut self, worker: WorkerKey) {
        self.capacity_freed(worker);
        let total = self.fleet.total();
        if !differs_by_a_tenth(total, self.shares_total) {
            return;
        }
        self.blocked.clear();
        self.shares_total = total;
        self.share_updates += 1;
        self.queues = Queues::new(&WEIGHTS.map(|weight| PlanOptions { weight }));
        let mut steps: Vec<(i64, StepKey)> =
            self.ready.iter().map(|(step, ready)| (ready.order, *step)).collect();
        steps.sort_unstable();
        for (_, step) in steps {
            let Some(ready) = self.ready.get(&step) else { continue };
            let (plan, need) = self.queue_of(ready);
            self.queues.push(plan, step, need);
        }
    }
}

/// Whether the shares of the queues' entries are to be computed again: the total has changed by over a tenth.
fn differs_by_a_tenth(total: Resources, before: Resources) -> bool {
    let changed = |now: u64, before: u64| now.abs_diff(before).saturating_mul(10) > before;
    changed(total.cpu, before.cpu) || changed(total.mem_mb, before.mem_mb) || changed(total.gpu, before.gpu)
}
