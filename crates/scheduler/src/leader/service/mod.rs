//! One service: its workers, and the steps whose tasks wait for a start there.
//!
//! The queues hold steps, not tasks. All tasks of a step have the same demand, so that one entry per step
//! represents its next task. After each start the entry returns to the step's position until no task is left,
//! which keeps older jobs first.

mod blocking;
mod capacity;
mod plan_heads;
mod report;
mod scan;
mod steps;

use std::collections::BTreeMap;

use mqos::{PlanOptions, Queues};

use crate::ids::{StepKey, TaskKey};
use crate::placement::{Fleet, Resources, RESOURCE_COUNT};

use super::capacity_reservation::CapacityReservation;
use super::mechanisms::{Mechanism, Mechanisms};
use super::start_delay::StartDelay;

pub(super) use steps::{
    plan_of, Candidate, Choice, EnqueueRequest, NextStep, QueueEnd, ReadyStep, ScanLimits, StepKind,
};

use blocking::{BlockedSteps, DemandClass};
use steps::{PlanHead, WEIGHTS};

/// Workers and waiting steps of one service.
#[derive(Debug)]
pub(super) struct Service {
    pub(super) fleet: Fleet,
    /// Whether there is a queue for each plan and dominant resource. Otherwise there is a single queue in
    /// order of arrival.
    fair: bool,
    /// One entry for each waiting step, blocked steps included.
    queues: Queues<StepKey, RESOURCE_COUNT>,
    /// Steps with tasks that wait for a start.
    ready: BTreeMap<StepKey, ReadyStep>,
    /// Steps that found no capacity, and for which no capacity that fits has been freed since. They are parked in
    /// their queues.
    blocked: BlockedSteps,
    /// All waiting steps that some worker could carry, by plan and order.
    by_plan_and_order: BTreeMap<(usize, i64), StepKey>,
    /// Those of them that are of the first plan and no gangs, by order. Attempts may be preempted for them.
    urgent: BTreeMap<i64, StepKey>,
    /// The first step of each plan.
    plan_heads: [Option<PlanHead>; WEIGHTS.len()],
    /// Recent start delays of the steps of each plan.
    start_delays: [StartDelay; WEIGHTS.len()],
    /// Whether an admission pass was requested. Changes of the fleet need no request.
    admission_requested: bool,
    /// Whether any worker has ever reported progress.
    pub(super) progress_reported: bool,
    /// The earliest time of the next preemption for the first plan.
    pub(super) next_preemption_at: u64,
    /// The capacity that is reserved for a step.
    pub(super) reservation: Option<CapacityReservation>,
    /// Since when reservations have kept capacity from a step that must not wait for long.
    pub(super) capacity_denied_since: Option<u64>,
    /// No reservation begins before this time.
    pub(super) reservations_resume_at: u64,
    /// When the last admission pause for a gang began.
    pub(super) gang_pause_started_at: u64,
    /// The total capacity that the shares of the queue entries refer to.
    shares_total: Resources,
    /// How often the shares of all waiting steps were computed since `take_share_updates` was last called.
    share_updates: u64,
    /// The order last assigned to a step at the front. Decreases with each such step.
    front_order: i64,
    /// The order last assigned to a step at the back. Increases with each such step.
    back_order: i64,
}

impl Service {
    pub(super) fn new(mechanisms: &Mechanisms) -> Self {
        let best_fit = mechanisms.uses(Mechanism::BestFit);
        Self {
            fleet: if best_fit { Fleet::new() } else { Fleet::first_fit() },
            fair: mechanisms.uses(Mechanism::FairQueues),
            queues: Queues::new(&WEIGHTS.map(|weight| PlanOptions { weight })),
            ready: BTreeMap::new(),
            blocked: BlockedSteps::default(),
            by_plan_and_order: BTreeMap::new(),
            urgent: BTreeMap::new(),
            plan_heads: [None; WEIGHTS.len()],
            start_delays: [StartDelay::default(); WEIGHTS.len()],
            next_preemption_at: 0,
            reservation: None,
            capacity_denied_since: None,
            reservations_resume_at: 0,
            gang_pause_started_at: 0,
            admission_requested: false,
            progress_reported: false,
            shares_total: Resources::ZERO,
            share_updates: 0,
            front_order: 0,
            back_order: 0,
        }
    }

    /// Adds tasks to the waiting tasks of their step.
    pub(super) fn enqueue(&mut self, waiting: EnqueueRequest) {
        if waiting.tasks.is_empty() {
            return;
        }
        self.request_admission();
        if let Some(ready) = self.ready.get_mut(&waiting.step) {
            ready.tasks.extend(waiting.tasks);
            return;
        }
        let order = self.next_order(waiting.end);
        let members = if waiting.gang { waiting.tasks.len() as u64 } else { 1 };
        let own_class = (waiting.gang || waiting.limits_tasks_per_worker).then_some(waiting.step);
        let ready = ReadyStep {
            class: DemandClass::new(waiting.plan, waiting.task_need, waiting.constraint, own_class),
            plan: waiting.plan,
            need: waiting.task_need.times(members),
            tasks: waiting.tasks,
            gang: waiting.gang,
            preempted_until: 0,
            no_preemption_until: 0,
            since: waiting.since,
            has_waited_by_choice: false,
            order,
        };
        self.ready.insert(waiting.step, ready);
        self.add_to_heads(waiting.step);
        self.push_to_queue(waiting.step);
    }

    /// Adds an entry for a waiting step to its queue, at the step's position.
    fn push_to_queue(&mut self, step: StepKey) {
        let Some(ready) = self.ready.get(&step) else { return };
        let (plan, need) = self.queue_entry_of(ready);
        self.queues.push_at(plan, step, need, ready.order);
    }

    /// Returns the plan of a step's queue, and the need of one entry as shares of the total capacity.
    fn queue_entry_of(&self, ready: &ReadyStep) -> (usize, [f64; RESOURCE_COUNT]) {
        let need = ready.need.shares_of(self.shares_total);
        if self.fair {
            return (ready.plan, need);
        }
        (0, [need[0], 0.0, 0.0])
    }

    fn next_order(&mut self, end: QueueEnd) -> i64 {
        match end {
            QueueEnd::Front => {
                self.front_order -= 1;
                self.front_order
            }
            QueueEnd::Back => {
                self.back_order += 1;
                self.back_order
            }
        }
    }

    /// Records that a task was started on capacity freed for it, without its step being released by the
    /// queues.
    pub(super) fn task_started_outside_queue(&mut self, step: StepKey, index: u32, now: u64) {
        self.reset_head_wait(step, now);
        self.remove_task(step.task(index));
    }

    /// Removes a step.
    pub(super) fn remove_step(&mut self, step: StepKey) {
        self.queues.remove(&step);
        self.remove_from_heads(step);
        if let Some(reservation) = self.reservation.take_if(|reservation| reservation.step() == step) {
            self.release_reservation(reservation);
        }
        let Some(ready) = self.ready.remove(&step) else { return };
        if !self.blocked.remove(&step, &ready.class, ready.order) {
            self.unblock_next(&ready.class);
        }
    }

    /// Adds a waiting step to the heads of plans and to the steps for which attempts may be preempted.
    fn add_to_heads(&mut self, step: StepKey) {
        let Some(ready) = self.ready.get(&step) else { return };
        self.by_plan_and_order.insert((ready.plan, ready.order), step);
        if ready.is_urgent() {
            self.urgent.insert(ready.order, step);
        }
    }

    /// Reverts `add_to_heads`.
    fn remove_from_heads(&mut self, step: StepKey) {
        let Some(ready) = self.ready.get(&step) else { return };
        self.by_plan_and_order.remove(&(ready.plan, ready.order));
        if ready.is_urgent() {
            self.urgent.remove(&ready.order);
        }
    }

    /// Removes all steps of a job.
    pub(super) fn remove_job(&mut self, job: u64) {
        let first = StepKey { job, time: 0, step: 0 };
        let last = StepKey { job, time: u32::MAX, step: u32::MAX };
        let steps: Vec<StepKey> = self.ready.range(first..=last).map(|(step, _)| *step).collect();
        for step in steps {
            self.remove_step(step);
        }
    }

    /// Removes a task that is done or was started without a release by the queues.
    pub(super) fn remove_task(&mut self, task: TaskKey) {
        let step = task.step_key();
        let Some(ready) = self.ready.get_mut(&step) else { return };
        ready.tasks.remove(&task.index);
        if ready.tasks.is_empty() {
            self.remove_step(step);
        }
    }

    /// Records the wait of a step of which a task, or the gang, is being started.
    pub(super) fn record_start_delay(&mut self, step: StepKey, now: u64) {
        if let Some(ready) = self.ready.get(&step) {
            self.start_delays[ready.plan].record(now, now.saturating_sub(ready.since));
        }
    }

    /// Returns the minimum recent wait of the plan's steps before a start, in nanoseconds.
    pub(super) fn start_delay(&mut self, plan: usize, now: u64) -> u64 {
        self.start_delays[plan].minimum(now)
    }

    /// Returns a waiting step.
    pub(super) fn ready(&self, step: StepKey) -> Option<&ReadyStep> {
        self.ready.get(&step)
    }

    /// Returns a waiting step.
    pub(super) fn ready_mut(&mut self, step: StepKey) -> Option<&mut ReadyStep> {
        self.ready.get_mut(&step)
    }
}
