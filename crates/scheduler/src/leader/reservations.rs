//! Capacity reservations for tasks that are too large for the capacity that small tasks leave free.
//!
//! Once a step has found no capacity for a while, capacity that is freed on one worker is reserved for the
//! step's next task until the task fits there.

use crate::ids::StepKey;
use crate::placement::{Resources, WorkerKey};
use crate::state::State;
use crate::time::NANOS_PER_MS;

use super::capacity_reservation::CapacityReservation;
use super::demand::{demand_of, need_of};
use super::event_loop::Leader;
use super::mechanisms::Mechanism;
use super::service::StepKind;

/// How long a step waits without capacity before capacity is reserved for it.
const RESERVATION_WAIT_NS: u64 = 1_000 * NANOS_PER_MS;

/// Returns the smaller amount of each resource.
fn component_min(a: Resources, b: Resources) -> Resources {
    Resources { cpu: a.cpu.min(b.cpu), mem_mb: a.mem_mb.min(b.mem_mb), gpu: a.gpu.min(b.gpu) }
}

impl Leader {
    /// Reserves capacity for the step that has waited longest, and starts the step's next task once it fits.
    pub(super) fn update_reservation(&mut self, state: &State, position: usize) {
        if !self.uses(Mechanism::CapacityReservations) {
            return;
        }
        if let Some(reservation) = self.services[position].reservation.take() {
            self.renew_reservation(state, position, reservation);
        }
        if self.services[position].reservation.is_none() {
            self.create_reservation(state, position);
        }
    }

    fn renew_reservation(&mut self, state: &State, position: usize, reservation: CapacityReservation) {
        let service = &mut self.services[position];
        service.fleet.release(reservation.worker(), reservation.reservation_key(), reservation.reserved());
        let usable = self.workers.get(&reservation.worker()).is_some_and(|entry| entry.is_usable(self.now));
        let first = service.ready(reservation.step()).and_then(|ready| ready.tasks.first().copied());
        let (Some(index), true) = (first, usable) else {
            service.capacity_freed(reservation.worker());
            return;
        };
        if self.start_task(state, position, reservation.step().task(index)) {
            self.services[position].task_started_outside_queue(reservation.step(), index, self.now);
            return;
        }
        self.reserve_capacity(state, position, reservation.step(), reservation.worker());
    }

    fn create_reservation(&mut self, state: &State, position: usize) {
        let Some(since) = self.now.checked_sub(RESERVATION_WAIT_NS) else { return };
        let Some(step) = self.services[position].waiting_head(since, StepKind::Single) else { return };
        let Some(stage) = state.open_stage(step).filter(|stage| stage.anti_affinity == 0) else { return };
        let demand = demand_of(step, stage, &[]);
        let fleet = &self.services[position].fleet;
        let Some(worker) = fleet.closest_to_fitting(&demand) else { return };
        // If the task fits, this pass starts it. A reservation would take the capacity away from the task.
        let fits = fleet.free_on(worker).is_some_and(|free| demand.need.fits_in(free));
        if !fits {
            self.reserve_capacity(state, position, step, worker);
        }
    }

    /// Reserves the free capacity of the worker, up to what the step's next task needs.
    fn reserve_capacity(&mut self, state: &State, position: usize, step: StepKey, worker: WorkerKey) {
        let stage = state.open_stage(step);
        let Some(stage) = stage.filter(|stage| stage.anti_affinity == 0) else { return };
        let service = &mut self.services[position];
        let Some(free) = service.fleet.free_on(worker) else { return };
        let reserved = component_min(need_of(stage), free);
        let reservation = CapacityReservation::new(step, worker, reserved);
        service.fleet.reserve(worker, reservation.reservation_key(), reserved);
        service.reservation = Some(reservation);
    }
}
