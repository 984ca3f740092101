//! A check for tests: no step may stay blocked while there is capacity for it and nothing will place it again.

use std::fmt;
use std::sync::Arc;

use crate::ids::StepKey;
use crate::placement::WorkerKey;
use crate::state::State;

use super::event_loop::Leader;
use super::service::Service;

/// A blocked step that has capacity, and that no recorded change or timer will place again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MissedWakeUp {
    /// The step.
    pub step: StepKey,
    /// Instance name of a worker that has capacity for it.
    pub instance: Arc<str>,
}

impl fmt::Display for MissedWakeUp {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let StepKey { job, time, step } = self.step;
        write!(
            formatter,
            "job {job:016x}, time {time}, step {step} is blocked though {} has room",
            self.instance
        )
    }
}

impl Leader {
    /// Returns a step that is blocked for want of capacity although there is capacity, if there is one. Must be called
    /// after `flush`, with the same state. Only tests and simulations call this.
    pub fn missed_wake_up(&self, state: &State) -> Option<MissedWakeUp> {
        if self.fenced {
            return None;
        }
        let idle = self.services.iter().filter(|service| !service.needs_admission());
        let unpaused = idle.filter(|service| !self.is_paused_for_gang(service));
        unpaused.flat_map(|service| service.blocked_classes().map(move |step| (service, step))).find_map(
            |(service, step)| {
                let worker = self.worker_with_room(state, service, step)?;
                Some(MissedWakeUp { step, instance: self.workers.get(&worker)?.instance.clone() })
            },
        )
    }

    /// Returns a worker that has room for the next start of a blocked step.
    fn worker_with_room(&self, state: &State, service: &Service, step: StepKey) -> Option<WorkerKey> {
        let stage = state.open_stage(step)?;
        let ready = service.ready(step)?;
        let tasks = if ready.gang { u64::from(stage.count) } else { 1 };
        let limit = |worker: WorkerKey| {
            if stage.anti_affinity == 0 {
                return u64::MAX;
            }
            let on_worker = self.attempts.of_step(step).filter(|(_, attempt)| attempt.worker == worker);
            u64::from(stage.anti_affinity).saturating_sub(on_worker.count() as u64)
        };
        service.fleet.any_with_room(ready.class.need(), ready.class.constraint(), tasks, limit)
    }
}
