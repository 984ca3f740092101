//! The first waiting step (head) of each plan, and how long it has been the head.

use crate::ids::StepKey;

use super::steps::{PlanHead, StepKind};
use super::Service;

impl Service {
    /// Returns the first plan head of this kind, in order of priority, that has been the head since `since`
    /// or longer.
    pub(in crate::leader) fn waiting_head(&self, since: u64, kind: StepKind) -> Option<StepKey> {
        let is_gang = kind == StepKind::Gang;
        let waits = |head: &&PlanHead| {
            head.since <= since && self.ready.get(&head.step).is_some_and(|ready| ready.gang == is_gang)
        };
        self.plan_heads.iter().flatten().find(waits).map(|head| head.step)
    }

    /// Updates the head of each plan.
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

    /// Restarts the wait of a step that is the head of its plan, because one of its tasks was started.
    pub(super) fn reset_head_wait(&mut self, step: StepKey, now: u64) {
        for head in self.plan_heads.iter_mut().flatten() {
            if head.step == step {
                head.since = now;
            }
        }
    }

    /// Returns up to `limit` waiting steps of the first plan other than gangs, in queue order. Steps for which no
    /// attempts were found to preempt are left out for a while.
    pub(in crate::leader) fn urgent_steps(&self, limit: usize, now: u64) -> Vec<StepKey> {
        let may_preempt =
            |step: &&StepKey| self.ready.get(step).is_some_and(|ready| ready.no_preemption_until <= now);
        self.urgent.values().filter(may_preempt).take(limit).copied().collect()
    }
}
