//! A reservation of capacity on one worker for a waiting step.

use crate::ids::StepKey;
use crate::placement::{Resources, WorkerKey};

/// Capacity that is reserved on a worker for a step.
#[derive(Debug, Clone, Copy)]
pub(super) struct CapacityReservation {
    step: StepKey,
    worker: WorkerKey,
    reserved: Resources,
}

impl CapacityReservation {
    pub(super) fn new(step: StepKey, worker: WorkerKey, reserved: Resources) -> Self {
        Self { step, worker, reserved }
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

    /// The key under which the fleet books the reservation. No real step has this key.
    pub(super) fn reservation_key(&self) -> StepKey {
        StepKey { job: self.step.job, time: u32::MAX, step: u32::MAX }
    }
}
