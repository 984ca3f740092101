//! Steps that found no capacity. They are parked in their queues, so that they hide no step behind them.
//!
//! Steps of one demand class find capacity or fail together. When capacity is freed, only the first blocked step
//! of each class that it suits is placed again, and once that step has no waiting task left, the next one of its
//! class. So the cost does not depend on how many steps are blocked.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::StepKey;
use crate::placement::{Resources, RESOURCE_COUNT};

/// What decides whether there is capacity for a step. Steps of the same class fail for lack of capacity together.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::leader) struct DemandClass {
    plan: usize,
    /// Amounts of each resource that one task or one gang member needs.
    need: [u64; RESOURCE_COUNT],
    /// The label that the worker must have; empty if there is none.
    constraint: String,
    /// The step, if its own tasks decide too: a gang, or a step that limits its tasks on one worker.
    step: Option<StepKey>,
}

/// Why a step is blocked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BlockReason {
    /// There is capacity, but it is worth waiting for better capacity until this time.
    RetryAt(u64),
    /// No worker has capacity.
    NoCapacity,
    /// No known worker could carry a task of the step even if it were empty.
    NoSuchWorker,
}

/// Blocked steps of one class, by their position among the steps of the service.
type StepsByOrder = BTreeMap<i64, StepKey>;

/// All blocked steps of a service.
#[derive(Debug, Default)]
pub(super) struct BlockedSteps {
    reasons: BTreeMap<StepKey, BlockReason>,
    retries: BTreeSet<(u64, StepKey)>,
    without_capacity: BTreeMap<DemandClass, StepsByOrder>,
    without_worker: BTreeMap<DemandClass, StepsByOrder>,
}

impl DemandClass {
    pub(super) fn new(plan: usize, need: Resources, constraint: String, step: Option<StepKey>) -> Self {
        DemandClass { plan, need: need.amounts(), constraint, step }
    }

    /// What one task or one gang member needs.
    pub(in crate::leader) fn need(&self) -> Resources {
        let [cpu, mem_mb, gpu] = self.need;
        Resources { cpu, mem_mb, gpu }
    }

    /// The label that the worker must have.
    pub(in crate::leader) fn constraint(&self) -> Option<&str> {
        (!self.constraint.is_empty()).then_some(self.constraint.as_str())
    }
}

impl BlockedSteps {
    pub(super) fn len(&self) -> usize {
        self.reasons.len()
    }

    pub(super) fn contains(&self, step: &StepKey) -> bool {
        self.reasons.contains_key(step)
    }

    /// Adds a step that is placed again at `at`, or before if capacity is freed.
    pub(super) fn add_retry(&mut self, step: StepKey, at: u64) {
        self.reasons.insert(step, BlockReason::RetryAt(at));
        self.retries.insert((at, step));
    }

    /// Adds a step for which no worker has capacity.
    pub(super) fn add_without_capacity(&mut self, step: StepKey, class: &DemandClass, order: i64) {
        self.reasons.insert(step, BlockReason::NoCapacity);
        self.without_capacity.entry(class.clone()).or_default().insert(order, step);
    }

    /// Adds a step that no known worker could carry.
    pub(super) fn add_without_worker(&mut self, step: StepKey, class: &DemandClass, order: i64) {
        self.reasons.insert(step, BlockReason::NoSuchWorker);
        self.without_worker.entry(class.clone()).or_default().insert(order, step);
    }

    /// Removes a step. Returns whether it was blocked.
    pub(super) fn remove(&mut self, step: &StepKey, class: &DemandClass, order: i64) -> bool {
        let Some(reason) = self.reasons.remove(step) else { return false };
        match reason {
            BlockReason::RetryAt(at) => drop(self.retries.remove(&(at, *step))),
            BlockReason::NoCapacity => remove_ordered(&mut self.without_capacity, class, order),
            BlockReason::NoSuchWorker => remove_ordered(&mut self.without_worker, class, order),
        }
        true
    }

    /// Returns the first step of each class that is blocked for want of capacity or of a worker.
    pub(super) fn first_of_all_classes(&self) -> impl Iterator<Item = StepKey> + '_ {
        let classes = self.without_capacity.values().chain(self.without_worker.values());
        classes.filter_map(|steps| steps.values().next().copied())
    }

    /// Returns the first step of a class that is blocked for want of capacity.
    pub(super) fn first_of(&self, class: &DemandClass) -> Option<StepKey> {
        let steps = self.without_capacity.get(class).or_else(|| self.without_worker.get(class))?;
        steps.values().next().copied()
    }

    /// Returns the first step of each class without capacity that `suits` accepts.
    pub(super) fn first_of_each(&self, suits: impl Fn(&DemandClass) -> bool) -> Vec<StepKey> {
        let suited = self.without_capacity.iter().filter(|(class, _)| suits(class));
        suited.filter_map(|(_, steps)| steps.values().next().copied()).collect()
    }

    /// Returns the steps without capacity of the classes that `suits` accepts, and all steps that wait for better
    /// capacity.
    pub(super) fn steps_of<'a>(
        &'a self,
        suits: impl Fn(&DemandClass) -> bool + 'a,
    ) -> impl Iterator<Item = StepKey> + 'a {
        let suited = self.without_capacity.iter().filter(move |(class, _)| suits(class));
        let without_capacity = suited.flat_map(|(_, steps)| steps.values());
        without_capacity.chain(self.retries.iter().map(|(_, step)| step)).copied()
    }

    /// Moves the classes that `suits` accepts from those that no worker could carry to those without capacity.
    /// Returns their steps.
    pub(super) fn worker_found(&mut self, suits: impl Fn(&DemandClass) -> bool) -> Vec<StepKey> {
        let mut found = Vec::new();
        let classes: Vec<DemandClass> =
            self.without_worker.keys().filter(|class| suits(class)).cloned().collect();
        for class in classes {
            let Some(steps) = self.without_worker.remove(&class) else { continue };
            found.extend(steps.values().copied());
            self.without_capacity.entry(class).or_default().extend(steps);
        }
        for step in &found {
            self.reasons.insert(*step, BlockReason::NoCapacity);
        }
        found
    }

    /// Returns the steps that wait for better capacity: those whose wait is over, and those that `suits` accepts.
    pub(super) fn due_retries(&self, now: u64, suits: impl Fn(&StepKey) -> bool) -> Vec<StepKey> {
        let due = self.retries.iter().filter(|(at, step)| *at <= now || suits(step));
        due.map(|(_, step)| *step).collect()
    }

    /// Returns the earliest time at which a wait for better capacity ends.
    pub(super) fn next_retry_at(&self) -> Option<u64> {
        self.retries.first().map(|(at, _)| *at)
    }

    /// Removes all steps and returns them.
    pub(super) fn take_all(&mut self) -> Vec<StepKey> {
        let all = std::mem::take(self);
        all.reasons.into_keys().collect()
    }
}

fn remove_ordered(classes: &mut BTreeMap<DemandClass, StepsByOrder>, class: &DemandClass, order: i64) {
    let Some(steps) = classes.get_mut(class) else { return };
    steps.remove(&order);
    if steps.is_empty() {
        classes.remove(class);
    }
}
