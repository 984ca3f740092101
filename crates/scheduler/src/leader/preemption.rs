//! Room for the first priority: attempts of later priorities are stopped where that loses least.

use crate::ids::{AttemptKey, StepKey};
use crate::placement::Victim;
use crate::state::State;

use super::admission::demand_of;
use super::mechanisms::Mechanism;
use super::timers::Timer;
use super::{Leader, NANOS_PER_MS};

/// Steps of the first priority for which room is made in one turn.
const STEPS_PER_TURN: usize = 4;
/// Tasks of one step for which room is made in one turn.
const TASKS_PER_STEP: usize = 8;
/// Least time between two looks for attempts to stop, in nanoseconds.
const PREEMPTION_INTERVAL: u64 = 20 * NANOS_PER_MS;
/// How long a step waits for room to be freed by itself before attempts are stopped for it, in nanoseconds.
const OWN_ROOM: u64 = 50 * NANOS_PER_MS;
/// Beyond the time of a stop, how long is waited for the room that was made, in nanoseconds.
const PATIENCE: u64 = 300 * NANOS_PER_MS;

impl Leader {
    /// Starts tasks for which room was made, before others take it.
    pub(super) fn start_urgent(&mut self, state: &State, position: usize) {
        for step in self.services[position].urgent(STEPS_PER_TURN) {
            let waits_for_room = |service: &super::service::Service, now: u64| {
                service.ready(step).is_some_and(|ready| ready.preempted_until > now)
            };
            while waits_for_room(&self.services[position], self.now) {
                let first =
                    self.services[position].ready(step).and_then(|ready| ready.tasks.first().copied());
                let Some(index) = first else { break };
                if !self.start_task(state, position, step.task(index)) {
                    break;
                }
                self.services[position].started_directly(step, index, self.now);
            }
        }
    }

    /// Stops attempts of later priorities for tasks of the first one that found no room.
    pub(super) fn make_room_for_urgent(&mut self, state: &State, position: usize) {
        let urgent = self.services[position].urgent(STEPS_PER_TURN);
        if urgent.is_empty() || !self.uses(Mechanism::Preemption) {
            return;
        }
        if self.now < self.services[position].next_preemption {
            self.timers.set_no_later(self.services[position].next_preemption, Timer::Admit);
            return;
        }
        self.services[position].next_preemption = self.now + PREEMPTION_INTERVAL;
        let mut victims = None;
        for step in urgent {
            let Some(ready) = self.services[position].ready(step) else { continue };
            let due = ready.preempted_until.max(ready.since + OWN_ROOM);
            if due > self.now {
                self.timers.set_no_later(due, Timer::Admit);
                continue;
            }
            let mut left = victims.take().unwrap_or_else(|| self.victims(position));
            if !left.is_empty() {
                self.make_room_for(state, position, step, &mut left);
            }
            victims = Some(left);
        }
    }

    /// Attempts that may be stopped for the first priority. A gang would lose the work of all its members.
    fn victims(&self, position: usize) -> Vec<Victim> {
        let may_stop = |attempt: &super::attempts::Attempt| {
            attempt.service == position && attempt.plan > 0 && !attempt.stopping && !attempt.gang
        };
        let candidates = self.attempts.iter().filter(|(_, attempt)| may_stop(attempt));
        candidates
            .map(|(key, attempt)| Victim {
                worker: attempt.worker,
                attempt: *key,
                need: attempt.need,
                cost: attempt.unsaved_core_s(self.now) / attempt.plan as f64,
            })
            .collect()
    }

    fn make_room_for(&mut self, state: &State, position: usize, step: StepKey, victims: &mut Vec<Victim>) {
        let Some(stage) = state.open_work(step.job).and_then(|work| work.stage(step.step)) else { return };
        let waiting = self.services[position].ready(step).map_or(0, |ready| ready.tasks.len());
        let demand = demand_of(step, stage, &[]);
        let mut made_room = false;
        for _ in 0..waiting.min(TASKS_PER_STEP) {
            let Some((_, stopped)) = self.services[position].fleet.preempt(&demand, victims) else { break };
            if stopped.is_empty() {
                break;
            }
            victims.retain(|victim| !stopped.contains(&victim.attempt));
            self.stop_all(&stopped);
            made_room = true;
        }
        if !made_room {
            return;
        }
        let until = self.now + self.settings.stop_ms * NANOS_PER_MS + PATIENCE;
        if let Some(ready) = self.services[position].ready_mut(step) {
            ready.preempted_until = until;
        }
    }

    fn stop_all(&mut self, attempts: &[AttemptKey]) {
        for key in attempts {
            self.stop_attempt(*key);
        }
    }
}
