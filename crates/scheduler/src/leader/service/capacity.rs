//! Handling of freed capacity: which blocked steps may be placed again.
//!
//! The fleet records each worker that can take more, so that no change that frees capacity can forget to wake the
//! steps that wait. One turn needs only one pass over the classes of blocked steps.

use std::collections::BTreeSet;

use mqos::{PlanOptions, Queues};

use crate::ids::StepKey;
use crate::placement::{Resources, WorkerKey};

use super::blocking::DemandClass;
use super::steps::{ReadyStep, Wait, WEIGHTS};
use super::Service;
use crate::leader::capacity_reservation::CapacityReservation;

impl Service {
    /// Returns whether something changed that may allow a step to start.
    pub(in crate::leader) fn needs_admission(&self) -> bool {
        self.admission_requested || self.fleet.has_freed()
    }

    /// Requests an admission pass.
    pub(in crate::leader) fn request_admission(&mut self) {
        self.admission_requested = true;
    }

    /// Updates the queues with the changes since the last admission pass.
    pub(in crate::leader) fn prepare_pass(&mut self, now: u64) {
        self.admission_requested = false;
        let improved = self.fleet.take_improved();
        if !improved.is_empty() {
            self.update_shares();
            self.reconsider_steps_without_worker(&improved);
        }
        self.unblock_steps(now);
        self.update_plan_heads(now);
    }

    /// Blocks a step until what it waits for has come.
    pub(super) fn block(&mut self, step: StepKey, wait: Wait) {
        let Some(ready) = self.ready.get_mut(&step) else { return };
        ready.has_waited_by_choice |= matches!(wait, Wait::BetterCapacity(_));
        let (class, order) = (ready.class.clone(), ready.order);
        self.queues.park(&step);
        if let Wait::BetterCapacity(at) | Wait::Confirmations(at) = wait {
            self.blocked.add_retry(step, at);
            // The next step of the class may have reasons not to wait.
            return self.unblock_next(&class);
        }
        if self.fleet.could_ever_carry(class.need(), class.constraint()) {
            return self.blocked.add_without_capacity(step, &class, order);
        }
        self.blocked.add_without_worker(step, &class, order);
        self.remove_from_heads(step);
    }

    /// Lets a blocked step be placed again.
    fn unblock(&mut self, step: StepKey) {
        let Some(ready) = self.ready.get(&step) else { return };
        if self.blocked.remove(&step, &ready.class, ready.order) {
            self.queues.unpark(&step);
            self.add_to_heads(step);
        }
    }

    /// Unblocks the first step of a class that found no capacity.
    pub(super) fn unblock_next(&mut self, class: &DemandClass) {
        if let Some(step) = self.blocked.first_of(class) {
            self.unblock(step);
        }
    }

    /// Unblocks, of each class that fits on a worker with freed capacity, the first step; and the steps whose wait
    /// for better capacity is over or that fit there.
    fn unblock_steps(&mut self, now: u64) {
        let workers = self.fleet.take_freed();
        let free = workers.iter().filter_map(|key| self.fleet.free_on(*key));
        let max_free = free.fold(Resources::ZERO, Resources::max);
        let has_room = |class: &DemandClass| {
            let (need, constraint) = (class.need(), class.constraint());
            need.fits_in(max_free) && workers.iter().any(|key| self.fleet.has_room(*key, need, constraint))
        };
        let mut unblocked = self.blocked.first_of_each(has_room);
        let step_fits = |step: &StepKey| self.ready.get(step).is_some_and(|ready| has_room(&ready.class));
        unblocked.extend(self.blocked.due_retries(now, step_fits));
        unblocked.into_iter().for_each(|step| self.unblock(step));
    }

    /// Returns the first blocked step of each class of demands.
    pub(in crate::leader) fn blocked_classes(&self) -> impl Iterator<Item = StepKey> + '_ {
        self.blocked.first_of_all_classes()
    }

    /// Releases the capacity of a reservation.
    pub(in crate::leader) fn release_reservation(&mut self, reservation: CapacityReservation) {
        let (worker, key) = (reservation.worker(), reservation.reservation_key());
        self.fleet.release(worker, key, reservation.reserved());
    }

    /// Returns the blocked steps that could start on the reserved worker if its capacity were not reserved. Of a gang,
    /// at least one member could.
    pub(in crate::leader) fn steps_denied_by(
        &self,
        reservation: CapacityReservation,
    ) -> impl Iterator<Item = (StepKey, &ReadyStep)> {
        let worker = reservation.worker();
        let available = self.fleet.free_on(worker).map(|free| free.plus(reservation.reserved()));
        let available = available.unwrap_or(Resources::ZERO);
        let total = self.fleet.free().plus(reservation.reserved());
        let fits = move |class: &DemandClass| {
            class.need().fits_in(available)
                && self.fleet.could_carry(worker, class.need(), class.constraint())
        };
        let denied = self.blocked.steps_of(fits).filter_map(|step| Some((step, self.ready.get(&step)?)));
        denied.filter(move |(step, ready)| {
            *step != reservation.step() && ready.need.fits_in(total) && fits(&ready.class)
        })
    }

    /// Handles workers that became usable: steps that no worker could carry before are blocked for want of capacity
    /// only, if one of these workers could carry them.
    fn reconsider_steps_without_worker(&mut self, workers: &BTreeSet<WorkerKey>) {
        let Self { blocked, fleet, .. } = self;
        let could_carry = |class: &DemandClass| {
            workers.iter().any(|key| fleet.could_carry(*key, class.need(), class.constraint()))
        };
        for step in blocked.worker_found(could_carry) {
            self.add_to_heads(step);
        }
    }

    /// Returns the earliest time at which a wait for better capacity ends.
    pub(in crate::leader) fn next_retry_at(&self) -> Option<u64> {
        self.blocked.next_retry_at()
    }

    /// Returns how often the shares of all waiting steps were computed since the last call.
    pub(in crate::leader) fn take_share_updates(&mut self) -> u64 {
        std::mem::take(&mut self.share_updates)
    }

    /// Recomputes the shares of all queue entries if the total capacity changed by over a tenth.
    fn update_shares(&mut self) {
        let total = self.fleet.total();
        if !differs_by_over_a_tenth(total, self.shares_total) {
            return;
        }
        for step in self.blocked.take_all() {
            self.add_to_heads(step);
        }
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
