//! Steps whose tasks wait for a start, and the placement decisions on them.

use std::collections::BTreeSet;

use mqos::Released;

use super::blocking::DemandClass;
use crate::ids::{StepKey, TaskKey};
use crate::placement::{Resources, WorkerKey, RESOURCE_COUNT};

/// Weights of the plans, by priority. All lower priorities share the last plan.
pub(super) const WEIGHTS: [f64; 6] = [32.0, 16.0, 8.0, 4.0, 2.0, 1.0];

/// Returns the plan of a priority.
pub(in crate::leader) fn plan_of(priority: u32) -> usize {
    (priority as usize).min(WEIGHTS.len() - 1)
}

/// A step with tasks that wait for a start.
#[derive(Debug, Clone)]
pub(in crate::leader) struct ReadyStep {
    pub(in crate::leader) plan: usize,
    /// Resources of one queue entry: a task, or a whole gang.
    pub(in crate::leader) need: Resources,
    /// The steps that find capacity or fail together with this one.
    pub(in crate::leader) class: DemandClass,
    /// The indices of the waiting tasks. For a gang, always all members.
    pub(in crate::leader) tasks: BTreeSet<u32>,
    pub(in crate::leader) gang: bool,
    /// No further attempts are preempted for the step until this time.
    pub(in crate::leader) preempted_until: u64,
    /// No attempts are searched that could be preempted for the step until this time, because none were found.
    pub(in crate::leader) no_preemption_until: u64,
    /// When the step began to wait.
    pub(in crate::leader) since: u64,
    /// Whether the step once waited for better capacity than there was.
    pub(in crate::leader) has_waited_by_choice: bool,
    /// Position among the steps of its service.
    pub(super) order: i64,
}

/// The placement decision on the next step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(in crate::leader) enum Choice {
    /// The step's next task starts on this worker.
    Task(WorkerKey),
    /// The gang starts on these workers: member `i` on the worker at index `i`.
    Gang(Vec<WorkerKey>),
    /// No worker has capacity for the step.
    NoCapacity,
    /// There is capacity, but it is worth waiting for better capacity until this time.
    RetryAt(u64),
    /// A worker with tasks of the step has capacity, and first has starts to confirm. The step is placed again at this
    /// time.
    AwaitConfirmations(u64),
    /// The step no longer waits.
    NotWaiting,
}

/// What a blocked step waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Wait {
    /// Any capacity.
    Capacity,
    /// Better capacity, until this time.
    BetterCapacity(u64),
    /// Confirmations of starts, until this time.
    Confirmations(u64),
}

/// The result of a scan of the queues.
#[derive(Debug)]
pub(in crate::leader) enum NextStep {
    /// The next step, taken out of its queue, and its placement.
    Step(Released<StepKey, RESOURCE_COUNT>, Choice),
    /// No step can start now: each scanned step is blocked or has no capacity.
    None,
    /// The scan examined as many workers or steps as allowed before it found a step.
    LimitReached,
}

/// Limits on the cost of a search for the next step.
#[derive(Debug, Clone, Copy)]
pub(in crate::leader) struct ScanLimits {
    /// Once the fleet has examined so many workers, no search for a further step begins.
    pub(in crate::leader) workers_examined: u64,
    /// Number of steps that may still be examined.
    pub(in crate::leader) steps: u64,
}

/// The end at which a step enters its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::leader) enum QueueEnd {
    /// Ahead of the waiting steps, because the step's job has begun.
    Front,
    /// Behind the waiting steps.
    Back,
}

/// How the tasks of a step start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::leader) enum StepKind {
    /// All tasks start together.
    Gang,
    /// Each task starts by itself.
    Single,
}

/// The first waiting step of a plan.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlanHead {
    pub(super) step: StepKey,
    /// Since when the step has been the head without the start of a task.
    pub(super) since: u64,
}

/// The next task of a scanned step.
#[derive(Debug, Clone, Copy)]
pub(in crate::leader) struct Candidate {
    pub(in crate::leader) task: TaskKey,
    /// When the step began to wait.
    pub(in crate::leader) since: u64,
    /// Number of waiting tasks of the step, including this one.
    pub(in crate::leader) waiting_tasks: u64,
}

/// Tasks of a step that are added to the queue.
#[derive(Debug, Clone)]
pub(in crate::leader) struct EnqueueRequest {
    pub(in crate::leader) step: StepKey,
    pub(in crate::leader) plan: usize,
    /// Resources of one task or one gang member.
    pub(in crate::leader) task_need: Resources,
    /// The label that the worker must have; empty if there is none.
    pub(in crate::leader) constraint: String,
    pub(in crate::leader) gang: bool,
    /// Whether the step limits the number of its tasks on one worker.
    pub(in crate::leader) limits_tasks_per_worker: bool,
    pub(in crate::leader) tasks: BTreeSet<u32>,
    pub(in crate::leader) end: QueueEnd,
    /// When the tasks began to wait.
    pub(in crate::leader) since: u64,
}

impl Choice {
    /// Returns the number of starts that the decision costs the turn's budget. This is at least one, because
    /// the scan of a step has a cost even without a start.
    pub(in crate::leader) fn start_count(&self) -> u64 {
        match self {
            Choice::Gang(workers) => workers.len().max(1) as u64,
            Choice::Task(_)
            | Choice::NoCapacity
            | Choice::RetryAt(_)
            | Choice::AwaitConfirmations(_)
            | Choice::NotWaiting => 1,
        }
    }
}

impl ReadyStep {
    /// Returns whether attempts may be preempted for the step.
    pub(super) fn is_urgent(&self) -> bool {
        self.plan == 0 && !self.gang
    }
}
