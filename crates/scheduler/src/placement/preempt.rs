//! Choice of the attempts to stop so that a task that may preempt others gets the capacity it needs.

use super::fleet::Fleet;
use super::matching::{Demand, Matcher};
use super::resources::Resources;
use super::slot::{Slot, WorkerKey};
use crate::ids::AttemptKey;

/// A running attempt that may be preempted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Victim {
    /// The worker on which the attempt runs.
    pub worker: WorkerKey,
    /// The attempt.
    pub attempt: AttemptKey,
    /// Resources reserved for the attempt on the worker.
    pub need: Resources,
    /// Cost of stopping the attempt. The unit is the caller's choice, the same for all victims.
    pub cost: f64,
}

/// Attempts to stop on one worker, which frees enough capacity for a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Preemption {
    /// The worker on which all of the attempts run.
    pub worker: WorkerKey,
    /// The attempts to stop. Empty if the worker has enough free capacity already.
    pub attempts: Vec<AttemptKey>,
}

/// A set of victims to stop on one worker, with its total cost.
struct VictimSet<'a> {
    worker: WorkerKey,
    victims: Vec<&'a Victim>,
    cost: f64,
}

/// The remaining victims on a worker, and the cheapest set among them that frees enough capacity.
struct Host<'a> {
    victims: Vec<&'a Victim>,
    cheapest: VictimSet<'a>,
}

impl Fleet {
    /// The cheapest attempts on a single worker whose end frees enough capacity for the task; `None` if no
    /// worker can free enough. Anti-affinity must allow the task on the worker even before the attempts
    /// end.
    pub fn preempt(&self, demand: &Demand, candidates: &[Victim]) -> Option<Preemption> {
        self.preempt_for_each(demand, candidates, 1).pop()
    }

    /// Like [`Fleet::preempt`], for up to `tasks` tasks of a step one after the other. Each attempt is
    /// stopped for one of them only. The list ends after the first task for which no attempt has to be
    /// stopped.
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
            let Some(position) = cheapest_host(&hosts) else { break };
            let Host { victims, cheapest } = hosts.remove(position);
            let attempts: Vec<AttemptKey> = cheapest.victims.iter().map(|victim| victim.attempt).collect();
            let is_free_already = attempts.is_empty();
            let left = victims.into_iter().filter(|victim| !attempts.contains(&victim.attempt)).collect();
            if let Some(host) = self.host(&matcher, left) {
                hosts.insert(position, host);
            }
            preemptions.push(Preemption { worker: cheapest.worker, attempts });
            if is_free_already {
                break;
            }
        }
        preemptions
    }

    /// A host with these victims, if the task may be placed there once some of them have stopped.
    fn host<'a>(&self, matcher: &Matcher, victims: Vec<&'a Victim>) -> Option<Host<'a>> {
        self.count_examined();
        let cheapest = self.cheapest_on(matcher, &victims)?;
        Some(Host { victims, cheapest })
    }

    /// The cheapest set of one worker's victims that frees enough capacity: a single victim, or several if
    /// they cost less.
    fn cheapest_on<'a>(&self, matcher: &Matcher, victims: &[&'a Victim]) -> Option<VictimSet<'a>> {
        let slot = self.slot(victims.first()?.worker)?;
        if !slot.usable || !matcher.satisfies_constraints(slot) || matcher.anti_affinity_headroom(slot) == 0 {
            return None;
        }
        let need = matcher.demand.need;
        let most_freed = victims.iter().fold(Resources::ZERO, |sum, victim| sum.plus(victim.need));
        if !frees_enough(slot, need, most_freed) {
            return None;
        }
        let single = victims.iter().filter(|victim| frees_enough(slot, need, victim.need));
        let single = single.reduce(|a, b| if b.cost.total_cmp(&a.cost).is_lt() { b } else { a });
        let single = single.map(|victim| victim_set(slot.key, vec![*victim]));
        match (single, cheapest_set(slot, need, victims)) {
            (Some(single), Some(several)) if is_cheaper(&several, &single) => Some(several),
            (Some(single), _) => Some(single),
            (None, several) => several,
        }
    }
}

/// The position of the host with the cheapest set; the first one among equals.
fn cheapest_host(hosts: &[Host]) -> Option<usize> {
    let positions = 0..hosts.len();
    positions.reduce(
        |best, other| if is_cheaper(&hosts[other].cheapest, &hosts[best].cheapest) { other } else { best },
    )
}

/// Selects victims by rising cost until enough capacity is freed, then drops those that are not needed, the
/// most expensive first.
fn cheapest_set<'a>(slot: &Slot, need: Resources, victims: &[&'a Victim]) -> Option<VictimSet<'a>> {
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
    Some(victim_set(slot.key, taken))
}

fn victim_set(worker: WorkerKey, victims: Vec<&Victim>) -> VictimSet<'_> {
    let cost = victims.iter().map(|victim| victim.cost).sum();
    VictimSet { worker, victims, cost }
}

/// Whether `a` costs less than `b`, or the same with fewer victims.
fn is_cheaper(a: &VictimSet, b: &VictimSet) -> bool {
    let cost = a.cost.total_cmp(&b.cost);
    cost.then(a.victims.len().cmp(&b.victims.len())).is_lt()
}

/// Whether `need` fits on the worker once `freed` is released.
fn frees_enough(slot: &Slot, need: Resources, freed: Resources) -> bool {
    slot.reserved.minus(freed).plus(need).fits_in(slot.capacity)
}
