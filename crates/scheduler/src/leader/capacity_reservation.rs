//! A reservation of capacity on one worker for a waiting step.

use crate::ids::StepKey;
use crate::placement::{Resources, WorkerKey};

/// Capacity that is reserved on a worker for a step.
#[derive(Debug, Clone, Copy)]
pub(super) struct CapacityReservation {
    step: StepKey,
    worker: WorkerKey,
    reserved: Resources,
    since: u64,
}

impl CapacityReservation {
    /// Creates a reservation that began at `since`, in nanoseconds of the monotonic clock.
    pub(super) fn new(step: StepKey, worker: WorkerKey, reserved: Resources, since: u64) -> Self {
        Self { step, worker, reserved, since }
    }

    /// The same reservation with another amount.
    pub(super) fn resized(self, reserved: Resources) -> Self {
        Self { reserved, ..self }
    }

    /// The step that the capacity is reserved for.
    pub(super) fn step(&self) -> StepKey {
        self.step
    }

    /// The worker on which the capacity is reserved.
    pub(super) fn worker(&self) -> WorkerKey {
        self.worker
    }

    /// The amount reserved so far.
    pub(super) fn reserved(&self) -> Resources {
        self.reserved
    }

    /// When the reservation began, in nanoseconds of the monotonic clock.
    pub(super) fn since(&self) -> u64 {
        self.since
    }

    /// The key under which the fleet books the reservation. No real step has this key.
    pub(super) fn reservation_key(&self) -> StepKey {
        StepKey { job: self.step.job, time: u32::MAX, step: u32::MAX }
    }
}
