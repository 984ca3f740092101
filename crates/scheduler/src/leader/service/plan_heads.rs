//! The first waiting step of each plan, and how long it has waited as such.

use crate::ids::StepKey;

use super::steps::{PlanHead, StepKind};
use super::Service;

impl Service {
    /// Of the plans' heads, in order of priority, the first of this kind that has waited as such since `since` or
    /// longer.
    pub(in crate::leader) fn waiting_head(&self, since: u64, kind: StepKind) -> Option<StepKey> {
        let is_gang = kind == StepKind::Gang;
        let waits = |head: &&PlanHead| {
            head.since <= since && self.ready.get(&head.step).is_some_and(|ready| ready.gang == is_gang)
        };
        self.plan_heads.iter().flatten().find(waits).map(|head| head.step)
    }

    /// Records the first step of each plan.
    pub(super) fn update_plan_heads(&mut self, now: u64) {
        for (plan, head) in self.plan_heads.iter_mut().enumerate() {
            let first = self
                .by_plan_and_order
                .range((plan, i64::MIN)..=(plan, i64::MAX))
                .next()
                .map(|(_, step)| *step);
            if head.map(|head| head.step) != first {
                *head = first.map(|step| PlanHead { step, since: now });
            }
        }
    }

    /// A task of the step was started: if the step is the head of its plan, its wait begins anew.
    pub(super) fn reset_head_wait(&mut self, step: StepKey, now: u64) {
        for head in self.plan_heads.iter_mut().flatten() {
            if head.step == step {
                head.since = now;
            }
        }
    }

    /// Waiting steps of the first plan other than gangs, the oldest first.
    pub(in crate::leader) fn urgent_steps(&self, limit: usize) -> Vec<StepKey> {
        self.urgent.values().take(limit).copied().collect()
    }
}
