//! Searches for workers skip workers that cannot fit. They must choose the same worker as a scan over all
//! workers.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use scheduler::ids::StepKey;
use scheduler::placement::{Demand, Fleet, Resources, WorkerFacts, WorkerKey, RESOURCE_COUNT};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Enough workers for several blocks of the search, of which the last block is incomplete.
const MAX_WORKERS: u64 = 100;

fn random_below(g: &mut Gen, bound: u64) -> u64 {
    u64::arbitrary(g) % bound
}

fn resources(g: &mut Gen, cpu: u64, mem_mb: u64, gpu: u64) -> Resources {
    Resources { cpu: random_below(g, cpu), mem_mb: random_below(g, mem_mb), gpu: random_below(g, gpu) }
}

#[derive(Clone, Debug)]
struct Task {
    need: Resources,
    step: u32,
    label: Option<u64>,
    rack: Option<u64>,
    anti_affinity: Option<u32>,
    avoid: Vec<WorkerKey>,
    tasks_to_pack: u64,
}

impl Arbitrary for Task {
    fn arbitrary(g: &mut Gen) -> Self {
        Task {
            need: resources(g, 9, 9, 2),
            step: random_below(g, 3) as u32,
            label: (random_below(g, 3) == 0).then(|| random_below(g, 4)),
            rack: (random_below(g, 3) == 0).then(|| random_below(g, 6)),
            anti_affinity: (random_below(g, 3) == 0).then(|| random_below(g, 3) as u32),
            avoid: (0..random_below(g, 3)).map(|_| random_below(g, MAX_WORKERS)).collect(),
            tasks_to_pack: random_below(g, 5),
        }
    }
}

#[derive(Clone, Debug)]
enum Change {
    Upsert { key: WorkerKey, capacity: Resources, label: u64, rack: Option<u64>, standing: u64, pace: f64 },
    Remove { key: WorkerKey },
    Reserve { key: WorkerKey, step: u32, need: Resources },
    Release { key: WorkerKey, choice: usize },
    Place(Task),
}

impl Arbitrary for Change {
    fn arbitrary(g: &mut Gen) -> Self {
        let key = random_below(g, MAX_WORKERS);
        match random_below(g, 16) {
            0..=6 => Change::Upsert {
                key,
                capacity: resources(g, 20, 20, 3),
                label: random_below(g, 3),
                rack: (random_below(g, 5) > 0).then(|| random_below(g, 5)),
                standing: random_below(g, 6),
                pace: *g.choose(&[1.0, 1.0, 0.9, 0.75, 0.4, 0.0]).unwrap_or(&1.0),
            },
            7 => Change::Remove { key },
            8..=11 => Change::Reserve { key, step: random_below(g, 3) as u32, need: resources(g, 9, 9, 2) },
            12 => Change::Release { key, choice: random_below(g, 8) as usize },
            _ => Change::Place(Task::arbitrary(g)),
        }
    }
}

/// A worker of the model.
#[derive(Clone, Debug, Default)]
struct Worker {
    capacity: Resources,
    label: u64,
    rack: Option<u64>,
    usable: bool,
    ejected: bool,
    pace: f64,
    reserved: Vec<(u32, Resources)>,
}

impl Worker {
    fn free(&self) -> Resources {
        self.reserved.iter().fold(self.capacity, |free, (_, need)| free.minus(*need))
    }

    fn tasks_of(&self, step: u32) -> u32 {
        self.reserved.iter().filter(|(of, _)| *of == step).count() as u32
    }
}

/// A fleet and a simple model of it.
#[derive(Default)]
struct ModelledFleet {
    fleet: Fleet,
    workers: BTreeMap<WorkerKey, Worker>,
    /// All racks that workers have had so far. Placement knows these racks.
    racks: Vec<u64>,
}

/// Order of the workers in a full scan: more tasks of the step that fit, less capacity left, lower key.
type Rank = (std::cmp::Reverse<u64>, f64, WorkerKey);

impl ModelledFleet {
    fn apply(&mut self, change: &Change) -> bool {
        match change {
            Change::Upsert { key, capacity, label, rack, standing, pace } => {
                let worker = self.workers.entry(*key).or_default();
                (worker.capacity, worker.label, worker.rack, worker.pace) = (*capacity, *label, *rack, *pace);
                (worker.usable, worker.ejected) = (*standing > 1, *standing == 1);
                self.racks.extend(*rack);
                let facts = facts_of(worker);
                self.fleet.upsert(*key, facts);
                true
            }
            Change::Remove { key } => self.fleet.remove(*key) == self.workers.remove(key).is_some(),
            Change::Reserve { key, step, need } => {
                let worker = self.workers.get_mut(key);
                let is_known = worker.is_some();
                worker.into_iter().for_each(|worker| worker.reserved.push((*step, *need)));
                self.fleet.reserve(*key, step_key(*step), *need) == is_known
            }
            Change::Release { key, choice } => {
                let Some(worker) = self.workers.get_mut(key) else { return true };
                if *choice >= worker.reserved.len() {
                    return true;
                }
                let (step, need) = worker.reserved.remove(*choice);
                self.fleet.release(*key, step_key(step), need)
            }
            Change::Place(task) => self.searches_match_full_scan(task),
        }
    }

    fn is_in_affinity_rack(&self, task: &Task, worker: &Worker) -> bool {
        task.rack.filter(|rack| self.racks.contains(rack)).is_none_or(|rack| worker.rack == Some(rack))
    }

    fn fits(&self, task: &Task, worker: &Worker) -> bool {
        task.need.fits_in(worker.free())
            && task.label.is_none_or(|label| label == worker.label)
            && task.anti_affinity.is_none_or(|limit| worker.tasks_of(task.step) < limit)
    }

    fn quality(&self, task: &Task, key: WorkerKey, worker: &Worker) -> f64 {
        let distance = if self.is_in_affinity_rack(task, worker) { 1.0 } else { 0.5 };
        worker.pace * distance * if task.avoid.contains(&key) { 1e-3 } else { 1.0 }
    }

    fn rank(&self, task: &Task, key: WorkerKey, worker: &Worker) -> Rank {
        let left_of_step = task.anti_affinity.map(|limit| u64::from(limit - worker.tasks_of(task.step)));
        let packed = match task.tasks_to_pack {
            0 => 0,
            _ if worker.tasks_of(task.step) > 0 => u64::MAX,
            limit => task.need.times_in(worker.free(), limit.min(left_of_step.unwrap_or(u64::MAX))),
        };
        let capacities = self.workers.values().map(|worker| worker.capacity);
        let largest = capacities.fold(Resources::ZERO, Resources::max);
        let needed = task.need.shares_of(largest);
        let left = worker.free().minus(task.need).shares_of(largest);
        let dominant =
            (1..RESOURCE_COUNT).fold(0, |most, next| if needed[next] > needed[most] { next } else { most });
        let other_resources = left.iter().sum::<f64>() - left[dominant];
        let spared = if task.need.gpu == 0 && worker.free().gpu > 0 { 2.0 } else { 0.0 };
        (std::cmp::Reverse(packed), left[dominant] + 0.25 * other_resources + spared, key)
    }

    /// The worker that a scan over all workers accepted by `allowed` chooses.
    fn scan(&self, task: &Task, allowed: impl Fn(&Worker) -> bool) -> Option<WorkerKey> {
        let suiting = || self.workers.iter().filter(|(_, worker)| allowed(worker) && self.fits(task, worker));
        let best = suiting().map(|(key, worker)| self.quality(task, *key, worker)).reduce(f64::max)?;
        let alike = suiting().filter(|(key, worker)| self.quality(task, **key, worker) >= 0.8 * best);
        let ranks = alike.map(|(key, worker)| self.rank(task, *key, worker));
        let by_rank = |a: &Rank, b: &Rank| a.partial_cmp(b).unwrap_or(Ordering::Equal);
        ranks.min_by(by_rank).map(|(_, _, key)| key)
    }

    fn searches_match_full_scan(&self, task: &Task) -> bool {
        let label = task.label.map(|label| format!("l{label}"));
        let rack = task.rack.map(|rack| format!("r{rack}"));
        let demand = Demand {
            need: task.need,
            constraint: label.as_deref(),
            affinity: rack.as_deref(),
            anti_affinity: task.anti_affinity,
            step: step_key(task.step),
            rack_local: false,
            avoid: &task.avoid,
            tasks_to_pack: task.tasks_to_pack,
        };
        let has_label = |worker: &Worker| task.label.is_none_or(|label| label == worker.label);
        let could = |worker: &Worker| has_label(worker) && task.need.fits_in(worker.capacity);
        let any = |fits: &dyn Fn(&Worker) -> bool| self.workers.values().any(fits);
        let is_barred = task.anti_affinity == Some(0);
        let fleet = &self.fleet;
        fleet.place(&demand) == self.scan(task, |worker| worker.usable)
            && fleet.place_in_affinity_rack(&demand)
                == self.scan(task, |worker| worker.usable && self.is_in_affinity_rack(task, worker))
            && fleet.place_as_last_resort(&demand)
                == self.scan(task, |worker| worker.usable || worker.ejected)
            && fleet.may_fit(&demand) == (!is_barred && any(&|worker| worker.usable && could(worker)))
            && fleet.may_fit_in_affinity_rack(&demand)
                == any(&|worker| worker.usable && could(worker) && self.is_in_affinity_rack(task, worker))
            && fleet.may_fit_ejected(&demand) == any(&|worker| worker.ejected && could(worker))
            && fleet.could_fit_not_ejected(&demand) == any(&|worker| !worker.ejected && could(worker))
            && fleet.could_ever_fit(&demand) == (!is_barred && any(&could))
            && [false, true].into_iter().all(|odd_only| {
                let is_allowed = |key: &WorkerKey| !odd_only || key % 2 == 1;
                fleet.closest_to_fitting(&demand, is_allowed)
                    == self.closest_to_fitting(task, &|key, worker| is_allowed(&key) && could(worker))
            })
    }

    fn closest_to_fitting(
        &self,
        task: &Task,
        could: &dyn Fn(WorkerKey, &Worker) -> bool,
    ) -> Option<WorkerKey> {
        let candidates = self.workers.iter().filter(|(key, worker)| worker.usable && could(**key, worker));
        let shortfall = |worker: &Worker| {
            let lacking = task.need.minus(worker.free()).shares_of(task.need);
            lacking.into_iter().fold(0.0, f64::max)
        };
        let shortfalls = candidates.map(|(key, worker)| (shortfall(worker), *key));
        shortfalls.min_by(|a, b| a.partial_cmp(b).unwrap_or(Ordering::Equal)).map(|(_, key)| key)
    }
}

fn facts_of(worker: &Worker) -> WorkerFacts {
    WorkerFacts {
        capacity: worker.capacity,
        labels: vec![format!("l{}", worker.label)],
        rack: worker.rack.map(|rack| format!("r{rack}")),
        zone: String::new(),
        usable: worker.usable,
        ejected: worker.ejected,
        pace: worker.pace,
        success_rate: 1.0,
    }
}

fn step_key(step: u32) -> StepKey {
    StepKey { job: 1, time: 0, step }
}

#[test]
fn searches_choose_the_same_worker_as_a_full_scan() {
    fn property(changes: Vec<Change>) -> bool {
        let mut model = ModelledFleet::default();
        changes.iter().all(|change| model.apply(change))
    }
    let mut quickcheck = QuickCheck::new().rng(Gen::new(600)).tests(400);
    quickcheck.quickcheck(property as fn(Vec<Change>) -> bool);
}

#[test]
fn search_on_a_full_fleet_examines_few_workers() {
    const WORKERS: u64 = 1_100;
    let (capacity, taken) =
        (Resources { cpu: 8_000, mem_mb: 16_000, gpu: 0 }, Resources { cpu: 7_500, mem_mb: 9_000, gpu: 0 });
    let mut fleet = Fleet::new();
    let worker = Worker { capacity, usable: true, pace: 1.0, ..Worker::default() };
    for key in 0..WORKERS {
        fleet.upsert(key, facts_of(&worker));
        fleet.reserve(key, step_key(9), taken);
    }
    let demand = Demand {
        need: Resources { cpu: 1_000, mem_mb: 1_000, gpu: 0 },
        constraint: None,
        affinity: None,
        anti_affinity: None,
        step: step_key(0),
        rack_local: false,
        avoid: &[],
        tasks_to_pack: 1,
    };
    fleet.take_examined_count();
    assert_eq!(fleet.place(&demand), None);
    assert!(fleet.examined_count() < WORKERS / 10, "{} workers were examined", fleet.examined_count());
}
