//! Scan of the queues: takes out the next step that can start, and returns it to its queue.

use mqos::Released;

use crate::ids::StepKey;
use crate::placement::{Fleet, RESOURCE_COUNT};

use super::steps::{Candidate, Choice, NextStep};
use super::Service;

/// Maximum number of waiting steps of a queue that are scanned for one that has capacity.
const SCAN_DEPTH: usize = 32;

impl Service {
    /// Takes the next step out of its queue and returns it with the workers that `choose` selected. Steps
    /// without capacity keep their position. Once the fleet has examined `examined_limit` workers, no search
    /// for a further step begins.
    pub(in crate::leader) fn next_step(
        &mut self,
        examined_limit: u64,
        mut choose: impl FnMut(&Fleet, Candidate) -> Choice,
    ) -> NextStep {
        let availability = self.fleet.free().shares_of(self.fleet.total());
        let Self { queues, blocked, ready, fleet, .. } = self;
        // The first step with capacity of each queue. The queues may ask for the same step again.
        let mut chosen: Vec<(StepKey, Choice)> = Vec::new();
        let mut limit_reached = false;
        let released = queues.next_where(&availability, SCAN_DEPTH, |_, step, _| {
            if blocked.contains_key(step) {
                return false;
            }
            if chosen.iter().any(|(of, _)| of == step) {
                return true;
            }
            let Some(waiting) = ready.get(step) else { return false };
            let Some(first) = waiting.tasks.first() else { return false };
            if fleet.examined_count() >= examined_limit {
                limit_reached = true;
                return false;
            }
            let (task, since) = (step.task(*first), waiting.since);
            let choice = choose(fleet, Candidate { task, since, waiting_tasks: waiting.tasks.len() as u64 });
            let retry_at = match choice {
                Choice::NoCapacity => None,
                Choice::RetryAt(at) => Some(at),
                Choice::Task(_) | Choice::Gang(_) | Choice::NotWaiting => {
                    chosen.push((*step, choice));
                    return true;
                }
            };
            blocked.insert(*step, waiting.blocked(retry_at));
            false
        });
        let Some(released) = released else {
            return if limit_reached { NextStep::LimitReached } else { NextStep::None };
        };
        let choice = chosen.into_iter().find(|(step, _)| *step == released.key);
        NextStep::Step(released, choice.map_or(Choice::NoCapacity, |(_, choice)| choice))
    }

    /// Returns a released step to its position after the start of some of its tasks, so that its next task
    /// waits there.
    pub(in crate::leader) fn released_step_started(
        &mut self,
        released: &Released<StepKey, RESOURCE_COUNT>,
        started: &[u32],
        now: u64,
    ) {
        self.reset_head_wait(released.key, now);
        let Some(ready) = self.ready.get_mut(&released.key) else { return };
        for index in started {
            ready.tasks.remove(index);
        }
        if ready.tasks.is_empty() {
            self.remove_step(released.key);
            return;
        }
        self.push_to_queue(released.key);
    }

    /// Returns a released step to its queue and refunds its cost, because no task was started.
    pub(in crate::leader) fn return_released_step(&mut self, released: &Released<StepKey, RESOURCE_COUNT>) {
        self.queues.refund(released);
        self.push_to_queue(released.key);
    }
}
