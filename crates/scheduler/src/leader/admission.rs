//! Admission: decides which waiting task starts next. mQoS releases a step, placement chooses a worker, and
//! the leader proposes the start.

use messages::job::{AttemptStart, Stage};
use mqos::Released;

use crate::ids::{AttemptKey, StepKey, TaskKey};
use crate::placement::WorkerKey;
use crate::state::{State, Work};
use crate::time::NANOS_PER_MS;

use super::demand::demand_of;
use super::event_loop::Leader;
use super::placement_choice::{choose, PlacementContext};
use super::service::{Choice, NextStep, ScanLimits, Service};
use super::timers::Timer;
use super::turn_budget::TurnBudget;

/// Delay before the next turn while more steps wait.
const NEXT_TURN_DELAY_NS: u64 = NANOS_PER_MS;

impl Leader {
    /// Starts the tasks for which there is capacity, in all services that need an admission pass. If the
    /// turn's budget runs out, the next turn continues with the service at which this one stopped.
    pub(super) fn admit(&mut self, state: &State) {
        if self.fenced {
            return;
        }
        let mut budget = self.admission_budget.for_turn(self.now);
        let (first, count) = (self.next_service, self.services.len());
        for position in (0..count).map(|turn| (first + turn) % count) {
            if !self.services[position].needs_admission() {
                continue;
            }
            self.next_service = position;
            if budget.is_spent() {
                break;
            }
            self.admit_within(state, position, &mut budget);
        }
        self.admission_budget = budget;
        if self.services.iter().any(Service::needs_admission) {
            self.timers.set_no_later(self.now + NEXT_TURN_DELAY_NS, Timer::Admit);
        }
    }

    /// Runs one admission pass over the waiting steps of a service. If the budget runs out, the service still
    /// needs a pass.
    fn admit_within(&mut self, state: &State, position: usize, budget: &mut TurnBudget) {
        self.work.admission_passes += 1;
        let examined_before = self.services[position].fleet.examined_count();
        self.services[position].prepare_pass(self.now);
        self.start_urgent(state, position);
        self.update_reservation(state, position);
        if !self.pauses_for_gang(state, position) {
            let examined_limit = examined_before + budget.workers();
            self.start_waiting(state, position, examined_limit, budget);
        }
        self.note_denied_steps(state, position);
        let service = &self.services[position];
        budget.spend_workers(service.fleet.examined_count() - examined_before);
        if let Some(at) = service.next_retry_at() {
            self.timers.set_no_later(at, Timer::Admit);
        }
    }

    /// Starts waiting tasks in queue order until nothing fits or the budget runs out.
    fn start_waiting(
        &mut self,
        state: &State,
        position: usize,
        examined_limit: u64,
        budget: &mut TurnBudget,
    ) {
        while !budget.is_spent() {
            let Self { services, attempts, failed_on, settings, now, work, .. } = self;
            let context = PlacementContext::new(state, attempts, failed_on, settings, *now);
            let mut limits = ScanLimits { workers_examined: examined_limit, steps: budget.steps() };
            let next = services[position].next_step(&mut limits, |fleet, candidate| {
                work.steps_examined += 1;
                choose(&context, fleet, candidate)
            });
            budget.spend_steps(budget.steps() - limits.steps);
            match next {
                NextStep::Step(released, choice) => {
                    budget.spend_starts(choice.start_count());
                    self.start_released(state, position, &released, choice);
                }
                NextStep::None => {
                    self.preempt_for_urgent(state, position);
                    return;
                }
                NextStep::LimitReached => break,
            }
        }
        self.services[position].request_admission();
    }

    fn start_released(
        &mut self,
        state: &State,
        position: usize,
        released: &Released<StepKey, 3>,
        choice: Choice,
    ) {
        let step = released.key;
        match choice {
            Choice::Task(worker) => {
                let first =
                    self.services[position].ready(step).and_then(|ready| ready.tasks.first().copied());
                let Some(index) = first else { return self.services[position].remove_step(step) };
                self.propose_task(state, step.task(index), worker);
                self.services[position].released_step_started(released, &[index], self.now);
            }
            Choice::Gang(workers) => {
                self.propose_gang(state, step, &workers);
                self.services[position].remove_step(step);
            }
            Choice::NoCapacity | Choice::RetryAt(_) | Choice::AwaitConfirmations(_) => {
                self.services[position].return_released_step(released);
            }
            Choice::NotWaiting => self.services[position].remove_step(step),
        }
    }

    /// Places a task and proposes its start. Returns false if no worker has capacity for the task.
    pub(super) fn start_task(&mut self, state: &State, position: usize, task: TaskKey) -> bool {
        let Some(work) = state.open_work(task.job) else { return false };
        let Some(stage) = work.stage(task.step) else { return false };
        let avoid = self.failed_on.get(&task).map_or(&[][..], Vec::as_slice);
        let demand = demand_of(task.step_key(), stage, avoid);
        let Some(worker) = self.services[position].fleet.place(&demand) else { return false };
        self.propose_task(state, task, worker);
        true
    }

    fn propose_task(&mut self, state: &State, task: TaskKey, worker: WorkerKey) {
        let Some(work) = state.open_work(task.job) else { return };
        let Some(stage) = work.stage(task.step) else { return };
        let key = AttemptKey { task, attempt: work.last_attempt(task) + 1 };
        self.record_start_delay(work, task.step_key());
        self.propose_start(work, stage, key, worker);
    }

    /// Proposes the start of a gang: member `i` starts on `workers[i]`.
    pub(super) fn propose_gang(&mut self, state: &State, step: StepKey, workers: &[WorkerKey]) {
        let Some(work) = state.open_work(step.job) else { return };
        let Some(stage) = work.stage(step.step) else { return };
        let attempt = work.last_attempt(step.task(0)) + 1;
        self.record_start_delay(work, step);
        for (index, worker) in workers.iter().enumerate() {
            let key = AttemptKey { task: step.task(index as u32), attempt };
            self.propose_start(work, stage, key, *worker);
        }
    }

    fn record_start_delay(&mut self, work: &Work, step: StepKey) {
        let position = self.service_position(&work.submit().service);
        self.services[position].record_start_delay(step, self.now);
    }

    /// Reserves capacity for an attempt and adds its start to the next proposal.
    fn propose_start(&mut self, work: &Work, stage: &Stage, key: AttemptKey, worker: WorkerKey) {
        let Some(entry) = self.workers.get_mut(&worker) else { return };
        let instance = entry.instance.to_string();
        if !std::mem::replace(&mut entry.incarnation_logged, true) {
            self.batch.incarnation(entry.incarnation());
        }
        self.batch.start(AttemptStart { task: Some(key.task.into()), attempt: key.attempt, instance });
        self.occupy(work, stage, key, worker, false);
    }
}
