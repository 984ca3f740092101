//! Report of the queues and deficits of a service.

use admin::{FirstStep, PlanReport, QueueReport, ReservedCapacity, ResourceShares};

use crate::ids::StepKey;
use crate::leader::amounts::amounts_of;
use crate::placement::WorkerKey;
use crate::time::NANOS_PER_MS;

use super::steps::WEIGHTS;
use super::Service;

impl Service {
    /// Number of steps with tasks that wait for a start.
    pub(in crate::leader) fn waiting_steps(&self) -> usize {
        self.ready.len()
    }

    /// Number of waiting steps that found no capacity.
    pub(in crate::leader) fn blocked_steps(&self) -> usize {
        self.blocked.len()
    }

    /// Returns the current queues and capacity. `name_of` returns the instance ID of a worker.
    pub(in crate::leader) fn report(
        &self,
        service: &str,
        now: u64,
        name_of: impl Fn(WorkerKey) -> String,
    ) -> QueueReport {
        let plans = (0..WEIGHTS.len()).filter_map(|plan| self.plan_report(plan, now));
        let reserved_capacity = self.reservation.map(|reservation| ReservedCapacity {
            job: configuration::job_id::format(reservation.step().job),
            step: reservation.step().step,
            instance: name_of(reservation.worker()),
            held: amounts_of(reservation.reserved()),
        });
        QueueReport {
            service: service.to_owned(),
            workers: self.fleet.len() as u32,
            usable_workers: 0,
            total: amounts_of(self.fleet.total()),
            free: amounts_of(self.fleet.free()),
            plans: plans.collect(),
            reserved_capacity,
        }
    }

    /// Returns the report of one plan, or `None` if nothing waits and there is no deficit.
    fn plan_report(&self, plan: usize, now: u64) -> Option<PlanReport> {
        let [cpu, mem_mb, gpu] = self.queues.deficits(plan)?;
        let deficits = ResourceShares { cpu, mem_mb, gpu };
        let waiting = self.ready.iter().filter(|(_, ready)| ready.plan == plan);
        let (mut waiting_steps, mut waiting_tasks, mut steps_without_capacity) = (0, 0, 0);
        for (step, ready) in waiting {
            waiting_steps += 1;
            steps_without_capacity += u32::from(self.lacks_capacity(*step));
            waiting_tasks += ready.tasks.len() as u64;
        }
        if waiting_steps == 0 && deficits == ResourceShares::default() {
            return None;
        }
        let first = self.by_plan_and_order.range((plan, i64::MIN)..=(plan, i64::MAX)).next();
        Some(PlanReport {
            priority: plan as u32,
            weight: WEIGHTS[plan],
            deficits,
            waiting_steps,
            waiting_tasks,
            steps_without_capacity,
            first: first.map(|(_, step)| self.first_step_report(plan, *step, now)),
        })
    }

    /// Returns whether a waiting step found no capacity, or needs more than the free capacity of all workers
    /// together.
    fn lacks_capacity(&self, step: StepKey) -> bool {
        let free = self.fleet.free();
        self.blocked.contains(&step) || self.ready.get(&step).is_some_and(|ready| !ready.need.fits_in(free))
    }

    fn first_step_report(&self, plan: usize, step: StepKey, now: u64) -> FirstStep {
        let since = self.plan_heads[plan].filter(|head| head.step == step).map_or(now, |head| head.since);
        FirstStep {
            job: configuration::job_id::format(step.job),
            time: step.time,
            step: step.step,
            waiting_tasks: self.ready.get(&step).map_or(0, |ready| ready.tasks.len() as u32),
            first_for_ms: now.saturating_sub(since) / NANOS_PER_MS,
            no_capacity: self.lacks_capacity(step),
        }
    }
}
