//! The attempts to stop so that a task that may preempt gets the capacity it needs.

use super::fleet::Fleet;
use super::matching::{Demand, Matcher};
use super::resources::Resources;
use super::slot::{Slot, WorkerKey};
use crate::ids::AttemptKey;

/// A running attempt that may be stopped.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Victim {
    /// Where it runs.
    pub worker: WorkerKey,
    /// Which attempt it is.
    pub attempt: AttemptKey,
    /// What it has reserved there.
    pub need: Resources,
    /// What would be lost by stopping it, in any one unit.
    pub cost: f64,
}

/// The attempts to stop, and the worker on which that frees enough for a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Preemption {
    /// The worker, on which all of them run.
    pub worker: WorkerKey,
    /// The attempts to stop.
    pub attempts: Vec<AttemptKey>,
}

/// A worker, the victims to stop there, and what that costs.
struct Choice<'a> {
    worker: WorkerKey,
    victims: Vec<&'a Victim>,
    cost: f64,
}

/// The victims that are left on a worker, and the cheapest choice among them.
struct Host<'a> {
    victims: Vec<&'a Victim>,
    choice: Choice<'a>,
}

impl Fleet {
    /// The cheapest attempts, all on one worker, whose end frees enough capacity for the task; none if
    /// that is possible on no worker. Anti-affinity must allow the task there without them.
    pub fn preempt(&self, demand: &Demand, candidates: &[Victim]) -> Option<Preemption> {
        self.preempt_for_each(demand, candidates, 1).pop()
    }

    /// As [`Fleet::preempt`] for up to `tasks` tasks of a step in turn: each attempt is stopped for one of them. Nothing
    /// follows a task for which no attempt needs to be stopped.
    pub fn preempt_for_each(&self, demand: &Demand, candidates: &[Victim], tasks: usize) -> Vec<Preemption> {
        let Some(matcher) = Matcher::new(self, demand) else { return Vec::new() };
        let mut sorted: Vec<&Victim> = candidates.iter().collect();
        sorted.sort_by_key(|victim| (victim.worker, victim.attempt));
        sorted.dedup_by_key(|victim| (victim.worker, victim.attempt));
        let by_worker = sorted.chunk_by(|a, b| a.worker == b.worker);
        let mut hosts: Vec<Host> =
            by_worker.filter_map(|victims| self.host(&matcher, victims.to_vec())).collect();
        let mut preemptions = Vec::new();
        while preemptions.len() < tasks {
            let Some(cheapest) = cheapest_host(&hosts) else { break };
            let Host { victims, choice } = hosts.remove(cheapest);
            let attempts: Vec<AttemptKey> = choice.victims.iter().map(|victim| victim.attempt).collect();
            let is_free_already = attempts.is_empty();
            let left = victims.into_iter().filter(|victim| !attempts.contains(&victim.attempt)).collect();
            if let Some(host) = self.host(&matcher, left) {
                hosts.insert(cheapest, host);
            }
            preemptions.push(Preemption { worker: choice.worker, attempts });
            if is_free_already {
                break;
            }
        }
        preemptions
    }

    /// A worker with these victims, if the task may go there once some of them are stopped.
    fn host<'a>(&self, matcher: &Matcher, victims: Vec<&'a Victim>) -> Option<Host<'a>> {
        self.count_examined();
        let choice = self.cheapest_on(matcher, &victims)?;
        Some(Host { victims, choice })
    }

    /// The cheapest of one worker's victims that free enough there: a single one, or a set where that costs less.
    fn cheapest_on<'a>(&self, matcher: &Matcher, victims: &[&'a Victim]) -> Option<Choice<'a>> {
        let slot = self.slot(victims.first()?.worker)?;
        if !slot.usable || !matcher.allows(slot) || matcher.tasks_left(slot) == 0 {
            return None;
        }
        let need = matcher.demand.need;
        let most_freed = victims.iter().fold(Resources::ZERO, |sum, victim| sum.plus(victim.need));
        if !frees_enough(slot, need, most_freed) {
            return None;
        }
        let single = victims.iter().filter(|victim| frees_enough(slot, need, victim.need));
        let single = single.reduce(|a, b| if b.cost.total_cmp(&a.cost).is_lt() { b } else { a });
        let single = single.map(|victim| choice_of(slot.key, vec![*victim]));
        match (single, cheapest_set(slot, need, victims)) {
            (Some(single), Some(several)) if cheaper(&several, &single) => Some(several),
            (Some(single), _) => Some(single),
            (None, several) => several,
        }
    }
}

/// The position of the first host whose choice is the cheapest.
fn cheapest_host(hosts: &[Host]) -> Option<usize> {
    let positions = 0..hosts.len();
    positions
        .reduce(|best, other| if cheaper(&hosts[other].choice, &hosts[best].choice) { other } else { best })
}

/// Takes victims by rising cost until enough is free, then spares those that aren't needed, the most expensive first.
fn cheapest_set<'a>(slot: &Slot, need: Resources, victims: &[&'a Victim]) -> Option<Choice<'a>> {
    let mut by_cost = victims.to_vec();
    by_cost.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    let mut freed = Resources::ZERO;
    let mut taken = Vec::new();
    for victim in by_cost {
        if frees_enough(slot, need, freed) {
            break;
        }
        freed = freed.plus(victim.need);
        taken.push(victim);
    }
    if !frees_enough(slot, need, freed) {
        return None;
    }
    for position in (0..taken.len()).rev() {
        let without = freed.minus(taken[position].need);
        if frees_enough(slot, need, without) {
            freed = without;
            taken.remove(position);
        }
    }
    Some(choice_of(slot.key, taken))
}

fn choice_of(worker: WorkerKey, victims: Vec<&Victim>) -> Choice<'_> {
    let cost = victims.iter().map(|victim| victim.cost).sum();
    Choice { worker, victims, cost }
}

/// Whether `a` costs less than `b`, or as much with fewer victims.
fn cheaper(a: &Choice, b: &Choice) -> bool {
    let cost = a.cost.total_cmp(&b.cost);
    cost.then(a.victims.len().cmp(&b.victims.len())).is_lt()
}

/// Whether `need` fits on the worker once `freed` is released.
fn frees_enough(slot: &Slot, need: Resources, freed: Resources) -> bool {
    slot.reserved.minus(freed).plus(need).fits_in(slot.capacity)
}
