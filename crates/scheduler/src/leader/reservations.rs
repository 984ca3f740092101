//! Capacity reservations for tasks that are too large for the capacity that small tasks leave free.
//!
//! Once a step has found no capacity for a while, capacity that is freed on one worker is reserved for the
//! step's next task until the task fits there. Reserved capacity stands idle, so that a reservation is bounded
//! both ways:
//!
//! - It is made only on a worker on which enough of what runs is expected to end. Lasting tasks are not.
//! - It ends once it has kept capacity for a while from a step whose job has nothing running, or from a lasting
//!   task; and in any case after a time. Then no reservation is made until the other steps have had their turn.
//!
//! The second bound does not rely on any estimate of run times.

use crate::ids::StepKey;
use crate::placement::{Resources, WorkerKey};
use crate::state::State;
use crate::time::NANOS_PER_MS;

use super::attempts::Attempts;
use super::capacity_reservation::CapacityReservation;
use super::demand::{demand_of, need_of};
use super::event_loop::Leader;
use super::mechanisms::Mechanism;
use super::service::{ReadyStep, Service, StepKind};
use super::timers::Timer;
use super::worker_entry::WorkerEntry;

/// How long a step waits without capacity before capacity is reserved for it.
const RESERVATION_WAIT_NS: u64 = 1_000 * NANOS_PER_MS;
/// Maximum duration of a reservation.
const MAX_RESERVATION_NS: u64 = 10_000 * NANOS_PER_MS;
/// How long reservations may keep capacity from a step that must not wait for long. A job may have nothing running
/// for at most 3 s while there is capacity, and a pause for a gang may come before or after.
const MAX_DENIAL_NS: u64 = 1_000 * NANOS_PER_MS;
/// How long no reservation is made after one had to end before its task started.
const RESERVATION_PAUSE_NS: u64 = 5_000 * NANOS_PER_MS;
/// Time between two searches for a worker after a search without a result.
const SEARCH_INTERVAL_NS: u64 = 250 * NANOS_PER_MS;
/// Number of denied steps that are examined in one pass. If there are more, one of them counts as having to start.
const MAX_DENIED_STEPS_EXAMINED: usize = 64;

impl Leader {
    /// Reserves capacity for the step that has waited longest, and starts the step's next task once it fits.
    pub(super) fn update_reservation(&mut self, state: &State, position: usize) {
        if !self.uses(Mechanism::CapacityReservations) {
            return;
        }
        if let Some(reservation) = self.services[position].reservation.take() {
            self.renew_reservation(state, position, reservation);
        }
        let service = &self.services[position];
        if service.reservation.is_none() && self.now >= service.reservations_resume_at {
            self.create_reservation(state, position);
        }
    }

    fn renew_reservation(&mut self, state: &State, position: usize, reservation: CapacityReservation) {
        let (step, worker) = (reservation.step(), reservation.worker());
        let usable = self.workers.get(&worker).is_some_and(|entry| entry.is_usable(self.now));
        let service = &self.services[position];
        let first = service.ready(step).and_then(|ready| ready.tasks.first().copied());
        let (Some(index), true) = (first, usable) else {
            return self.services[position].release_reservation(reservation);
        };
        let free = service.fleet.free_on(worker).unwrap_or(Resources::ZERO);
        let available = free.plus(reservation.reserved());
        let need = state.open_stage(step).map_or(Resources::ZERO, need_of);
        let fits_there = need.fits_in(available) && service.fleet.takes_single_tasks(worker);
        if fits_there {
            self.services[position].release_reservation(reservation);
        }
        if self.start_task(state, position, step.task(index)) {
            if !fits_there {
                self.services[position].release_reservation(reservation);
            }
            return self.services[position].task_started_outside_queue(step, index, self.now);
        }
        if fits_there || self.has_to_end(position, reservation) {
            if !fits_there {
                self.services[position].release_reservation(reservation);
            }
            return self.pause_reservations(position);
        }
        self.resize_reservation(position, reservation, need.min(available));
    }

    /// Changes how much is reserved on the reservation's worker.
    fn resize_reservation(&mut self, position: usize, reservation: CapacityReservation, reserved: Resources) {
        let service = &mut self.services[position];
        service.fleet.resize_reservation(reservation.worker(), reservation.reserved(), reserved);
        service.reservation = Some(reservation.resized(reserved));
        self.timers.set_no_later(reservation.since() + MAX_RESERVATION_NS, Timer::Admit);
    }

    /// Ends the reservation if it keeps capacity from a step of the first priority for one of a later priority. This
    /// costs nothing, unlike the preemption of an attempt. Returns whether it did.
    pub(super) fn yield_reservation_to(&mut self, position: usize, urgent: StepKey) -> bool {
        let service = &mut self.services[position];
        let Some(reservation) = service.reservation else { return false };
        let has_later_priority = service.ready(reservation.step()).is_some_and(|ready| ready.plan > 0);
        if !has_later_priority || !service.steps_denied_by(reservation).any(|(step, _)| step == urgent) {
            return false;
        }
        service.reservation = None;
        service.release_reservation(reservation);
        self.pause_reservations(position);
        true
    }

    /// Lets other steps of the service have their turn before the next reservation.
    fn pause_reservations(&mut self, position: usize) {
        self.services[position].reservations_resume_at = self.now + RESERVATION_PAUSE_NS;
    }

    /// Returns whether the reservation must make way for other steps.
    fn has_to_end(&self, position: usize, reservation: CapacityReservation) -> bool {
        let denied_since = self.services[position].capacity_denied_since;
        self.now >= reservation.since() + MAX_RESERVATION_NS
            || denied_since.is_some_and(|since| self.now >= since + MAX_DENIAL_NS)
    }

    fn create_reservation(&mut self, state: &State, position: usize) {
        let Some(since) = self.now.checked_sub(RESERVATION_WAIT_NS) else { return };
        let Some(step) = self.services[position].waiting_head(since, StepKind::Single) else { return };
        let Some(stage) = state.open_stage(step).filter(|stage| stage.anti_affinity == 0) else { return };
        let demand = demand_of(step, stage, &[]);
        let Self { services, workers, attempts, now, .. } = self;
        let fleet = &services[position].fleet;
        let becomes_free = |worker: &WorkerKey| {
            let free = fleet.free_on(*worker).unwrap_or(Resources::ZERO);
            let freed = workers.get(worker).map(|entry| freed_in_time(entry, attempts, *now));
            demand.need.fits_in(free.plus(freed.unwrap_or(Resources::ZERO)))
        };
        let Some(worker) = fleet.closest_to_fitting(&demand, becomes_free) else {
            services[position].reservations_resume_at = *now + SEARCH_INTERVAL_NS;
            return;
        };
        // If the task fits, this pass starts it. A reservation would take the capacity away from the task.
        let fits = fleet.free_on(worker).is_some_and(|free| demand.need.fits_in(free));
        if !fits {
            self.reserve_capacity(state, position, step, worker);
        }
    }

    /// Reserves the free capacity of the worker, up to what the step's next task needs.
    fn reserve_capacity(&mut self, state: &State, position: usize, step: StepKey, worker: WorkerKey) {
        let Some(stage) = state.open_stage(step) else { return };
        let service = &mut self.services[position];
        let Some(free) = service.fleet.free_on(worker) else { return };
        let reserved = need_of(stage).min(free);
        let reservation = CapacityReservation::new(step, worker, reserved, self.now);
        service.fleet.reserve(worker, reservation.reservation_key(), reserved);
        service.reservation = Some(reservation);
        self.timers.set_no_later(self.now + MAX_RESERVATION_NS, Timer::Admit);
    }

    /// Records since when reservations have kept capacity from a step that must not wait for long. Must be called at
    /// the end of each pass, when all steps that found no capacity are blocked.
    pub(super) fn note_denied_steps(&mut self, state: &State, position: usize) {
        let Self { services, attempts, now, .. } = self;
        let service = &mut services[position];
        let denied = first_denial(state, service, attempts, *now);
        service.capacity_denied_since = match (service.capacity_denied_since, denied) {
            (Some(known), Some(since)) => Some(known.min(since)),
            (_, denied) => denied,
        };
        if let Some(since) = service.capacity_denied_since {
            self.timers.set_no_later(since + MAX_DENIAL_NS, Timer::Admit);
        }
    }
}

/// Returns since when the reservation has kept capacity from a step that must not wait for long, as far as this pass
/// shows: a step that has waited by choice before counts from the start of its wait.
fn first_denial(state: &State, service: &Service, attempts: &Attempts, now: u64) -> Option<u64> {
    let reservation = service.reservation?;
    let must_start = |step: StepKey| {
        attempts.is_job_idle(step.job) || state.open_stage(step).is_some_and(|stage| stage.long_running)
    };
    let denied_since = |ready: &ReadyStep| if ready.has_waited_by_choice { ready.since } else { now };
    let mut first = None;
    for (examined, (step, ready)) in service.steps_denied_by(reservation).enumerate() {
        if examined >= MAX_DENIED_STEPS_EXAMINED {
            return Some(first.unwrap_or(now));
        }
        if must_start(step) {
            let since = denied_since(ready);
            first = Some(first.map_or(since, |known: u64| known.min(since)));
        }
    }
    first
}

/// Returns the capacity of a worker that attempts are expected to free within the duration of a reservation.
fn freed_in_time(entry: &WorkerEntry, attempts: &Attempts, now: u64) -> Resources {
    let assigned = entry.assigned.iter().filter_map(|key| attempts.get(key));
    let ends_in_time = assigned.filter(|attempt| {
        let is_short = attempt.remaining_ms(now) <= MAX_RESERVATION_NS / NANOS_PER_MS;
        attempt.stopping || (!attempt.long_running && is_short)
    });
    ends_in_time.fold(Resources::ZERO, |sum, attempt| sum.plus(attempt.need))
}
