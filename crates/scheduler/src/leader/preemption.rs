//! Preemption for the highest priority: attempts of lower priorities are stopped where that loses the least
//! work.

use crate::ids::{AttemptKey, StepKey};
use crate::placement::Victim;
use crate::state::State;
use crate::time::NANOS_PER_MS;

use super::attempts::Attempt;
use super::demand::demand_of;
use super::event_loop::Leader;
use super::mechanisms::Mechanism;
use super::service::Service;
use super::timers::Timer;

/// Maximum number of steps of the highest priority for which attempts are preempted in one turn.
const PREEMPTING_STEPS_PER_TURN: usize = 4;
/// Maximum number of tasks of one step for which attempts are preempted in one turn.
const PREEMPTING_TASKS_PER_STEP: usize = 8;
/// Minimum time between two searches for attempts to preempt.
const PREEMPTION_INTERVAL_NS: u64 = 20 * NANOS_PER_MS;
/// How long other steps have precedence after nothing was found to preempt for a step.
const PREEMPTION_PAUSE_NS: u64 = 100 * NANOS_PER_MS;
/// How long a step waits for attempts to end by themselves before others are preempted for it.
const VOLUNTARY_RELEASE_WAIT_NS: u64 = 50 * NANOS_PER_MS;
/// How long a step waits for the capacity of preempted attempts, in addition to `stop_ms`.
const PREEMPTED_CAPACITY_WAIT_NS: u64 = 300 * NANOS_PER_MS;

impl Leader {
    /// Starts tasks for which attempts were preempted before other tasks take the freed capacity.
    pub(super) fn start_urgent(&mut self, state: &State, position: usize) {
        for step in self.services[position].urgent_steps(PREEMPTING_STEPS_PER_TURN, self.now) {
            let awaits_preempted_capacity = |service: &Service, now: u64| {
                service.ready(step).is_some_and(|ready| ready.preempted_until > now)
            };
            while awaits_preempted_capacity(&self.services[position], self.now) {
                let first =
                    self.services[position].ready(step).and_then(|ready| ready.tasks.first().copied());
                let Some(index) = first else { break };
                if !self.start_task(state, position, step.task(index)) {
                    break;
                }
                self.services[position].task_started_outside_queue(step, index, self.now);
            }
        }
    }

    /// Stops attempts of lower priorities for tasks of the highest priority that found no capacity.
    pub(super) fn preempt_for_urgent(&mut self, state: &State, position: usize) {
        let urgent = self.services[position].urgent_steps(PREEMPTING_STEPS_PER_TURN, self.now);
        if urgent.is_empty() || !self.uses(Mechanism::Preemption) {
            return;
        }
        if self.now < self.services[position].next_preemption_at {
            self.timers.set_no_later(self.services[position].next_preemption_at, Timer::Admit);
            return;
        }
        self.services[position].next_preemption_at = self.now + PREEMPTION_INTERVAL_NS;
        let mut victims = None;
        for step in urgent {
            let Some(ready) = self.services[position].ready(step) else { continue };
            let due = ready.preempted_until.max(ready.since + VOLUNTARY_RELEASE_WAIT_NS);
            if due > self.now {
                self.timers.set_no_later(due, Timer::Admit);
                continue;
            }
            if self.yield_reservation_to(position, step) {
                continue;
            }
            let mut remaining_victims = victims.take().unwrap_or_else(|| self.victims(position));
            if !remaining_victims.is_empty() {
                self.preempt_for_step(state, position, step, &mut remaining_victims);
            }
            victims = Some(remaining_victims);
        }
    }

    /// Returns the attempts that may be stopped for the highest priority. Gang members are excluded because
    /// the whole gang would lose its work.
    fn victims(&self, position: usize) -> Vec<Victim> {
        let may_stop = |attempt: &Attempt| {
            attempt.service == position && attempt.plan > 0 && !attempt.stopping && !attempt.gang
        };
        let candidates = self.attempts.iter().filter(|(_, attempt)| may_stop(attempt));
        candidates
            .map(|(key, attempt)| Victim {
                worker: attempt.worker,
                attempt: *key,
                need: attempt.need,
                cost: attempt.stop_cost_core_s(self.now) / attempt.plan as f64,
            })
            .collect()
    }

    fn preempt_for_step(&mut self, state: &State, position: usize, step: StepKey, victims: &mut Vec<Victim>) {
        let Some(stage) = state.open_stage(step) else { return };
        let waiting = self.services[position].ready(step).map_or(0, |ready| ready.tasks.len());
        let demand = demand_of(step, stage, &[]);
        let tasks = waiting.min(PREEMPTING_TASKS_PER_STEP);
        let preemptions = self.services[position].fleet.preempt_for_each(&demand, victims, tasks);
        let stopped: Vec<AttemptKey> =
            preemptions.into_iter().flat_map(|preemption| preemption.attempts).collect();
        if stopped.is_empty() {
            if let Some(ready) = self.services[position].ready_mut(step) {
                ready.no_preemption_until = self.now + PREEMPTION_PAUSE_NS;
            }
            return;
        }
        victims.retain(|victim| !stopped.contains(&victim.attempt));
        for key in stopped {
            self.stop_attempt(key);
        }
        let until = self.now + self.settings.stop_ms * NANOS_PER_MS + PREEMPTED_CAPACITY_WAIT_NS;
        if let Some(ready) = self.services[position].ready_mut(step) {
            ready.preempted_until = until;
        }
    }
}
