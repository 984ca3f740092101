//! Scan of the queues: takes out the next step that can start, and returns it to its queue.

use std::collections::BTreeMap;

use mqos::Released;

use crate::ids::StepKey;
use crate::placement::{Fleet, RESOURCE_COUNT};

use super::steps::{Candidate, Choice, NextStep, ScanLimits, Wait};
use super::Service;

/// Maximum number of steps of a queue that one scan examines. Those without capacity are blocked, so that the next
/// scan reaches the steps behind them.
const SCAN_DEPTH: usize = 32;

/// The result of a scan of at most `SCAN_DEPTH` steps of each queue.
struct Scan {
    released: Option<(Released<StepKey, RESOURCE_COUNT>, Choice)>,
    /// The steps without capacity, and what each of them waits for.
    blocked: BTreeMap<StepKey, Wait>,
    limit_reached: bool,
}

impl Service {
    /// Takes the next step out of its queue and returns it with the workers that `choose` selected. Steps
    /// without capacity keep their position and are blocked.
    pub(in crate::leader) fn next_step(
        &mut self,
        limits: &mut ScanLimits,
        mut choose: impl FnMut(&Fleet, Candidate) -> Choice,
    ) -> NextStep {
        loop {
            let scan = self.scan(limits, &mut choose);
            let has_blocked = !scan.blocked.is_empty();
            for (step, wait) in scan.blocked {
                self.block(step, wait);
            }
            if let Some((released, choice)) = scan.released {
                return NextStep::Step(released, choice);
            }
            if scan.limit_reached {
                return NextStep::LimitReached;
            }
            if !has_blocked {
                return NextStep::None;
            }
        }
    }

    fn scan(
        &mut self,
        limits: &mut ScanLimits,
        choose: &mut impl FnMut(&Fleet, Candidate) -> Choice,
    ) -> Scan {
        // In the unit of the needs, which refer to an earlier total until the shares are computed again.
        let availability = self.fleet.free().shares_of(self.shares_total);
        let Self { queues, ready, fleet, .. } = self;
        let mut blocked: BTreeMap<StepKey, Wait> = BTreeMap::new();
        // The first step with capacity of each queue. The queues may ask for the same step again.
        let mut chosen: Vec<(StepKey, Choice)> = Vec::new();
        let mut limit_reached = false;
        let released = queues.next_candidate(&availability, SCAN_DEPTH, |candidate| {
            let step = candidate.key;
            if blocked.contains_key(step) {
                return false;
            }
            if chosen.iter().any(|(of, _)| of == step) {
                return true;
            }
            let Some(waiting) = ready.get(step) else { return false };
            let Some(first) = waiting.tasks.first() else { return false };
            if !candidate.is_covered {
                blocked.insert(*step, Wait::Capacity);
                return false;
            }
            if limits.steps == 0 || fleet.examined_count() >= limits.workers_examined {
                limit_reached = true;
                return false;
            }
            limits.steps -= 1;
            let (task, since) = (step.task(*first), waiting.since);
            let choice = choose(fleet, Candidate { task, since, waiting_tasks: waiting.tasks.len() as u64 });
            let wait = match choice {
                Choice::NoCapacity => Wait::Capacity,
                Choice::RetryAt(at) => Wait::BetterCapacity(at),
                Choice::AwaitConfirmations(at) => Wait::Confirmations(at),
                Choice::Task(_) | Choice::Gang(_) | Choice::NotWaiting => {
                    chosen.push((*step, choice));
                    return true;
                }
            };
            blocked.insert(*step, wait);
            false
        });
        let released = released.map(|released| {
            let choice = chosen.into_iter().find(|(step, _)| *step == released.key);
            (released, choice.map_or(Choice::NoCapacity, |(_, choice)| choice))
        });
        Scan { released, blocked, limit_reached }
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
