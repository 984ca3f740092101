//! Steps whose tasks wait for a start, and what placement decides about them.

use std::collections::BTreeSet;

use mqos::Released;

use crate::ids::{StepKey, TaskKey};
use crate::placement::{Resources, WorkerKey, RESOURCES};

/// Weights of the plans, by priority. Lower priorities share the last one.
pub(super) const WEIGHTS: [f64; 6] = [32.0, 16.0, 8.0, 4.0, 2.0, 1.0];

/// The plan of a priority.
pub(in crate::leader) fn plan_of(priority: u32) -> usize {
    (priority as usize).min(WEIGHTS.len() - 1)
}

/// A step with tasks that wait for a start.
#[derive(Debug, Clone)]
pub(in crate::leader) struct ReadyStep {
    pub(in crate::leader) plan: usize,
    /// What one entry of the queue needs: a task, or a whole gang.
    pub(in crate::leader) need: Resources,
    /// What one task needs, or one member of the gang.
    pub(super) task_need: Resources,
    /// The tasks that wait. Of a gang, all members at once.
    pub(in crate::leader) tasks: BTreeSet<u32>,
    pub(in crate::leader) gang: bool,
    /// Until when no further attempts are preempted for it.
    pub(in crate::leader) preempted_until: u64,
    /// Since when it waits.
    pub(in crate::leader) since: u64,
    /// Position among the steps of its service.
    pub(super) order: i64,
}

/// A step that found no capacity.
#[derive(Debug, Clone, Copy)]
pub(super) struct BlockedStep {
    /// What one task of it needs, or one member of its gang.
    pub(super) need: Resources,
    /// When it is placed again though no capacity was freed.
    pub(super) retry_at: Option<u64>,
}

/// What placement decides about a step whose turn it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(in crate::leader) enum Choice {
    /// Its next task goes there.
    Task(WorkerKey),
    /// Its gang goes there, member by member.
    Gang(Vec<WorkerKey>),
    /// No worker has capacity for it.
    NoCapacity,
    /// There is capacity, but better capacity is worth waiting for until then.
    RetryAt(u64),
    /// It no longer waits.
    NotWaiting,
}

/// What a scan of the queues found.
#[derive(Debug)]
pub(in crate::leader) enum NextStep {
    /// The step whose turn it is, taken out of its queue, and where it goes.
    Step(Released<StepKey, RESOURCES>, Choice),
    /// No step that is not blocked has capacity.
    None,
    /// None yet, and more workers were examined than the scan may examine.
    LimitReached,
}

/// Where a step enters its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::leader) enum QueueEnd {
    /// Before the steps that wait already: its job has begun.
    Front,
    /// Behind the steps that wait already.
    Back,
}

/// How the tasks of a step are started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::leader) enum StepKind {
    /// All at once.
    Gang,
    /// Each by itself.
    Single,
}

/// The first waiting step of a plan.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlanHead {
    pub(super) step: StepKey,
    /// Since when it has waited as such without a start.
    pub(super) since: u64,
}

/// The next task of a step whose turn it is.
#[derive(Debug, Clone, Copy)]
pub(in crate::leader) struct Candidate {
    pub(in crate::leader) task: TaskKey,
    /// Since when its step waits.
    pub(in crate::leader) since: u64,
    /// How many tasks of the step wait, it among them.
    pub(in crate::leader) waiting_tasks: u64,
}

/// Tasks of a step that are to wait for a start.
#[derive(Debug, Clone)]
pub(in crate::leader) struct EnqueueRequest {
    pub(in crate::leader) step: StepKey,
    pub(in crate::leader) plan: usize,
    /// What one task needs, or one member of the gang.
    pub(in crate::leader) task_need: Resources,
    pub(in crate::leader) gang: bool,
    pub(in crate::leader) tasks: BTreeSet<u32>,
    pub(in crate::leader) end: QueueEnd,
    /// Since when it waits.
    pub(in crate::leader) since: u64,
}

impl Choice {
    /// How many attempts it starts; at least one, since a step has had its turn.
    pub(in crate::leader) fn start_count(&self) -> u64 {
        match self {
            Choice::Gang(workers) => workers.len().max(1) as u64,
            Choice::Task(_) | Choice::NoCapacity | Choice::RetryAt(_) | Choice::NotWaiting => 1,
        }
    }
}

impl ReadyStep {
    /// Whether attempts may be preempted for it.
    pub(super) fn is_urgent(&self) -> bool {
        self.plan == 0 && !self.gang
    }

    /// The step as one that found no capacity.
    pub(super) fn blocked(&self, retry_at: Option<u64>) -> BlockedStep {
        BlockedStep { need: self.task_need, retry_at }
    }
}
