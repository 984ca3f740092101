//! Placement without a leader: respects capacities, labels and anti-affinity, places gangs completely, and
//! preempts at the lowest cost.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use scheduler::ids::{AttemptKey, StepKey, TaskKey};
use scheduler::placement::{Demand, Fleet, Preemption, Resources, Victim, WorkerFacts, WorkerKey};
use std::collections::{BTreeMap, BTreeSet};

const STEP: StepKey = StepKey { job: 1, time: 0, step: 0 };
const OTHER_STEP: StepKey = StepKey { job: 2, time: 0, step: 0 };

fn resources(cpu: u64, mem_mb: u64, gpu: u64) -> Resources {
    Resources { cpu, mem_mb, gpu }
}

fn worker(capacity: Resources, rack: &str) -> WorkerFacts {
    WorkerFacts {
        capacity,
        labels: vec!["a".to_owned(), rack.to_owned()],
        rack: Some(rack.to_owned()),
        zone: "z1".to_owned(),
        usable: true,
        ejected: false,
        pace: 1.0,
        success_rate: 1.0,
    }
}

fn demand(need: Resources) -> Demand<'static> {
    Demand {
        need,
        constraint: None,
        affinity: None,
        anti_affinity: None,
        step: STEP,
        rack_local: false,
        avoid: &[],
        tasks_to_pack: 0,
    }
}

/// A fleet of workers with keys from 0 and equal capacity, two per rack.
fn fleet(workers: u64, capacity: Resources) -> Fleet {
    let mut fleet = Fleet::new();
    for key in 0..workers {
        fleet.upsert(key, worker(capacity, &format!("r{}", key / 2)));
    }
    fleet
}

fn attempt(index: u32) -> AttemptKey {
    AttemptKey { task: TaskKey { job: 9, time: 0, step: 0, index }, attempt: 1 }
}

#[test]
fn packs_tasks_of_a_step_on_one_worker() {
    let mut fleet = fleet(3, resources(8000, 8000, 0));
    fleet.reserve(0, OTHER_STEP, resources(5000, 1000, 0));
    fleet.reserve(1, OTHER_STEP, resources(1000, 1000, 0));
    let task = Demand { tasks_to_pack: 4, ..demand(resources(2000, 100, 0)) };
    assert_eq!(
        fleet.place(&demand(resources(2000, 100, 0))),
        Some(0),
        "a single task goes to the worker with the least capacity left"
    );
    assert_eq!(fleet.place(&task), Some(2), "all four tasks fit");
    fleet.reserve(2, STEP, resources(2000, 100, 0));
    assert_eq!(
        fleet.place(&Demand { tasks_to_pack: 3, ..task }),
        Some(2),
        "the worker already runs a task of the step"
    );
    assert_eq!(fleet.place(&Demand { tasks_to_pack: 1, step: OTHER_STEP, ..task }), Some(0));
    let apart = Demand { anti_affinity: Some(1), ..task };
    assert_eq!(fleet.place(&apart), Some(0), "a worker may run at most one task of the step");
}

#[test]
fn prefers_the_fullest_worker_that_fits() {
    let mut fleet = fleet(3, resources(8000, 8000, 0));
    fleet.reserve(1, OTHER_STEP, resources(5000, 1000, 0));
    fleet.reserve(2, OTHER_STEP, resources(7000, 1000, 0));
    assert_eq!(fleet.place(&demand(resources(2000, 100, 0))), Some(1));
    assert_eq!(fleet.place(&demand(resources(1000, 100, 0))), Some(2));
    assert_eq!(fleet.place(&demand(resources(8000, 100, 0))), Some(0));
    assert_eq!(fleet.place(&demand(resources(8001, 100, 0))), None);
}

#[test]
fn task_without_gpu_avoids_gpu_workers() {
    let mut fleet = Fleet::new();
    fleet.upsert(0, worker(resources(8000, 8000, 4), "r0"));
    fleet.upsert(1, worker(resources(16000, 16000, 0), "r0"));
    assert_eq!(fleet.place(&demand(resources(4000, 100, 0))), Some(1));
    fleet.reserve(1, OTHER_STEP, resources(16000, 0, 0));
    assert_eq!(fleet.place(&demand(resources(4000, 100, 0))), Some(0));
    assert_eq!(fleet.place(&demand(resources(1, 1, 4))), Some(0));
    assert_eq!(fleet.place(&demand(resources(1, 1, 5))), None);
}

#[test]
fn prefers_the_rack_of_the_data() {
    let mut fleet = fleet(6, resources(4000, 4000, 0));
    let near = Demand { affinity: Some("r2"), ..demand(resources(3000, 1, 0)) };
    assert_eq!(fleet.place(&near), Some(4));
    fleet.reserve(4, OTHER_STEP, resources(2000, 0, 0));
    assert_eq!(fleet.place(&near), Some(5));
    fleet.reserve(5, OTHER_STEP, resources(2000, 0, 0));
    assert_eq!(fleet.place(&near), Some(0));
    let unknown = Demand { affinity: Some("r9"), ..near };
    assert_eq!(fleet.place(&unknown), Some(0));
}

#[test]
fn slow_and_failing_workers_are_chosen_last() {
    let mut fleet = Fleet::new();
    let slow = WorkerFacts { pace: 0.3, ..worker(resources(4000, 4000, 0), "r0") };
    let failing = WorkerFacts { success_rate: 0.1, ..worker(resources(4000, 4000, 0), "r0") };
    fleet.upsert(0, slow);
    fleet.upsert(1, failing);
    fleet.upsert(2, worker(resources(9000, 9000, 0), "r0"));
    let task = demand(resources(4000, 10, 0));
    for expected in [Some(2), Some(2), Some(0), Some(1), None] {
        assert_eq!(fleet.place(&task), expected);
        expected.map(|worker| fleet.reserve(worker, STEP, task.need));
    }
}

#[test]
fn avoided_worker_is_chosen_last() {
    let mut fleet = fleet(2, resources(4000, 4000, 0));
    let task = Demand { avoid: &[0], ..demand(resources(3000, 1, 0)) };
    assert_eq!(fleet.place(&task), Some(1));
    fleet.reserve(1, OTHER_STEP, resources(3000, 1, 0));
    assert_eq!(fleet.place(&task), Some(0));
}

#[test]
fn places_only_on_usable_workers_with_the_label() {
    let mut fleet = fleet(2, resources(4000, 4000, 0));
    let task = Demand { constraint: Some("r1"), ..demand(resources(1, 1, 0)) };
    let impossible = Demand { constraint: Some("b"), ..task };
    assert_eq!(fleet.place(&task), None);
    assert!(!fleet.could_ever_fit(&task) && !fleet.could_ever_fit(&impossible));
    fleet.upsert(7, WorkerFacts { usable: false, ..worker(resources(4000, 4000, 0), "r1") });
    assert_eq!(fleet.place(&task), None);
    assert!(fleet.could_ever_fit(&task), "the worker may become usable");
    fleet.upsert(7, worker(resources(4000, 4000, 0), "r1"));
    assert_eq!(fleet.place(&task), Some(7));
    assert!(fleet.remove(7));
    assert_eq!(fleet.place(&task), None);
}

#[test]
fn anti_affinity_counts_tasks_of_the_same_step_only() {
    let mut fleet = fleet(1, resources(9000, 9000, 0));
    let task = Demand { anti_affinity: Some(2), ..demand(resources(1000, 1, 0)) };
    fleet.reserve(0, OTHER_STEP, task.need);
    fleet.reserve(0, STEP, task.need);
    assert_eq!(fleet.place(&task), Some(0));
    fleet.reserve(0, STEP, task.need);
    assert_eq!(fleet.place(&task), None);
    assert!(fleet.release(0, STEP, task.need));
    assert_eq!(fleet.place(&task), Some(0));
    assert!(!fleet.could_ever_fit(&Demand { anti_affinity: Some(0), ..task }));
}

#[test]
fn rejects_releases_without_a_reservation() {
    let mut fleet = fleet(1, resources(9000, 9000, 0));
    assert!(!fleet.release(0, STEP, resources(1, 1, 0)));
    assert!(!fleet.release(5, STEP, resources(1, 1, 0)));
    assert!(!fleet.reserve(5, STEP, resources(1, 1, 0)));
    fleet.reserve(0, STEP, resources(5, 5, 0));
    assert!(!fleet.release(0, STEP, resources(6, 1, 0)));
    assert!(fleet.release(0, STEP, resources(5, 5, 0)));
    assert_eq!(fleet.free(), fleet.total());
}

#[test]
fn capacity_below_the_reservations_leaves_nothing_free() {
    let mut fleet = fleet(1, resources(9000, 9000, 0));
    fleet.reserve(0, STEP, resources(8000, 1000, 0));
    fleet.upsert(0, worker(resources(4000, 9000, 0), "r0"));
    assert_eq!(fleet.free(), resources(0, 8000, 0));
    assert_eq!(fleet.place(&demand(resources(1, 1, 0))), None);
    assert!(fleet.release(0, STEP, resources(8000, 1000, 0)));
    assert_eq!(fleet.free(), resources(4000, 9000, 0));
}

#[test]
fn places_a_rack_local_gang_in_one_rack() {
    let mut fleet = fleet(6, resources(4000, 4000, 0));
    let gang = Demand { rack_local: true, ..demand(resources(2000, 1, 0)) };
    assert_eq!(fleet.place_gang(&gang, 4), Some(vec![0, 0, 1, 1]));
    assert_eq!(fleet.place_gang(&gang, 5), None);
    assert!(fleet.could_ever_fit_gang(&gang, 4) && !fleet.could_ever_fit_gang(&gang, 5));
    fleet.reserve(1, OTHER_STEP, resources(1000, 0, 0));
    fleet.reserve(2, OTHER_STEP, resources(1000, 0, 0));
    assert_eq!(fleet.place_gang(&gang, 4), Some(vec![4, 4, 5, 5]));
    let tight = fleet.place_gang(&gang, 3);
    assert_eq!(
        tight,
        Some(vec![0, 0, 1]),
        "the rack with just enough capacity is preferred to the empty rack"
    );
    let near = Demand { affinity: Some("r2"), ..gang };
    assert_eq!(fleet.place_gang(&near, 3), Some(vec![4, 4, 5]));
}

#[test]
fn gang_fills_the_rack_of_its_data_first() {
    let mut fleet = fleet(6, resources(4000, 4000, 0));
    fleet.reserve(0, OTHER_STEP, resources(4000, 0, 0));
    let gang = Demand { affinity: Some("r0"), ..demand(resources(2000, 1, 0)) };
    assert_eq!(fleet.place_gang(&gang, 6), Some(vec![1, 1, 2, 2, 3, 3]));
    assert_eq!(fleet.place_gang(&gang, 10).map(|members| members.len()), Some(10));
    assert_eq!(fleet.place_gang(&gang, 11), None);
    assert_eq!(fleet.place_gang(&gang, 0), Some(vec![]));
    assert_eq!(fleet.place_gang(&demand(Resources::ZERO), usize::MAX), None);
}

#[test]
fn ejected_worker_is_a_last_resort() {
    let mut fleet = fleet(2, resources(4000, 4000, 0));
    let ejected = WorkerFacts { usable: false, ejected: true, ..worker(resources(4000, 4000, 0), "r1") };
    fleet.upsert(7, WorkerFacts { labels: vec!["only".to_owned()], ..ejected });
    let task = demand(resources(3000, 1, 0));
    assert!(fleet.may_fit(&task) && fleet.could_fit_not_ejected(&task) && fleet.may_fit_ejected(&task));
    let labelled = Demand { constraint: Some("only"), ..task };
    assert_eq!(fleet.place(&labelled), None);
    assert!(!fleet.may_fit(&labelled) && !fleet.could_fit_not_ejected(&labelled));
    assert!(fleet.may_fit_ejected(&labelled));
    assert_eq!(fleet.place_as_last_resort(&labelled), Some(7));
    let gang = Demand { rack_local: true, ..labelled };
    assert_eq!(fleet.place_gang(&gang, 1), None);
    assert!(!fleet.may_fit_gang(&gang, 1));
    assert_eq!(fleet.place_gang_as_last_resort(&gang, 1), Some(vec![7]));
    assert_eq!(fleet.place_gang_as_last_resort(&gang, 2), None);
    fleet.reserve(7, STEP, resources(3000, 1, 0));
    assert_eq!(fleet.place_as_last_resort(&labelled), None);
    assert!(fleet.may_fit_ejected(&labelled), "the worker fits once capacity is released");
}

#[test]
fn gang_respects_anti_affinity_and_avoids_slow_workers() {
    let mut fleet = fleet(4, resources(8000, 8000, 0));
    fleet.upsert(0, WorkerFacts { pace: 0.2, ..worker(resources(8000, 8000, 0), "r0") });
    let gang = Demand { anti_affinity: Some(1), ..demand(resources(1000, 1, 0)) };
    assert_eq!(fleet.place_gang(&gang, 2), Some(vec![2, 3]));
    assert_eq!(fleet.place_gang(&gang, 3), Some(vec![2, 3, 1]));
    assert_eq!(fleet.place_gang(&gang, 4).map(|members| members.len()), Some(4));
    assert_eq!(fleet.place_gang(&gang, 5), None);
}

#[test]
fn preempts_the_cheapest_attempts_of_one_worker() {
    let mut fleet = fleet(2, resources(8000, 8000, 0));
    let victim = |worker, index, cpu, cost| {
        let need = resources(cpu, 100, 0);
        Victim { worker, attempt: attempt(index), need, cost }
    };
    let victims =
        [victim(0, 0, 4000, 9.0), victim(0, 1, 4000, 8.0), victim(1, 2, 2000, 1.0), victim(1, 3, 6000, 3.0)];
    for running in &victims {
        fleet.reserve(running.worker, OTHER_STEP, running.need);
    }
    let small = demand(resources(1000, 1, 0));
    assert_eq!(fleet.preempt(&small, &victims), Some(Preemption { worker: 1, attempts: vec![attempt(2)] }));
    let medium = demand(resources(5000, 1, 0));
    assert_eq!(
        fleet.preempt(&medium, &victims),
        Some(Preemption { worker: 1, attempts: vec![attempt(3)] }),
        "stopping the cheaper attempt is not necessary"
    );
    let entire = demand(resources(8000, 1, 0));
    assert_eq!(
        fleet.preempt(&entire, &victims),
        Some(Preemption { worker: 1, attempts: vec![attempt(2), attempt(3)] })
    );
    assert_eq!(fleet.preempt(&demand(resources(8001, 1, 0)), &victims), None);
    assert_eq!(fleet.preempt(&Demand { constraint: Some("r9"), ..small }, &victims), None);
    assert_eq!(fleet.preempt(&small, &[]), None);
}

/// A worker of a random fleet.
#[derive(Clone, Debug)]
struct RandomWorker {
    capacity: Resources,
    rack: Option<u8>,
    label: u8,
    usable: bool,
    pace: f64,
}

/// A task or gang with random requirements.
#[derive(Clone, Debug)]
struct RandomTask {
    need: Resources,
    label: Option<u8>,
    rack: Option<u8>,
    anti_affinity: Option<u32>,
    step: u32,
    rack_local: bool,
    count: usize,
}

fn random_below(g: &mut Gen, bound: u64) -> u64 {
    u64::arbitrary(g) % bound
}

impl Arbitrary for RandomWorker {
    fn arbitrary(g: &mut Gen) -> Self {
        RandomWorker {
            capacity: resources(random_below(g, 20), random_below(g, 20), random_below(g, 5)),
            rack: (random_below(g, 5) > 0).then(|| random_below(g, 4) as u8),
            label: random_below(g, 3) as u8,
            usable: random_below(g, 8) > 0,
            pace: *g.choose(&[1.0, 0.9, 0.4, 0.0, f64::NAN, 3.0]).unwrap_or(&1.0),
        }
    }
}

impl Arbitrary for RandomTask {
    fn arbitrary(g: &mut Gen) -> Self {
        RandomTask {
            need: resources(random_below(g, 8), random_below(g, 8), random_below(g, 3)),
            label: bool::arbitrary(g).then(|| random_below(g, 4) as u8),
            rack: bool::arbitrary(g).then(|| random_below(g, 5) as u8),
            anti_affinity: bool::arbitrary(g).then(|| random_below(g, 4) as u32),
            step: random_below(g, 3) as u32,
            rack_local: bool::arbitrary(g),
            count: random_below(g, 7) as usize,
        }
    }
}

/// A fleet with random workers, and a simple model of its reservations.
struct ModelledFleet {
    workers: Vec<RandomWorker>,
    fleet: Fleet,
    reserved: BTreeMap<WorkerKey, Vec<(StepKey, Resources)>>,
}

impl ModelledFleet {
    fn new(workers: Vec<RandomWorker>) -> Self {
        let mut fleet = Fleet::new();
        for (key, random) in workers.iter().enumerate() {
            let facts = WorkerFacts {
                capacity: random.capacity,
                labels: vec![format!("l{}", random.label)],
                rack: random.rack.map(|rack| format!("r{rack}")),
                zone: String::new(),
                usable: random.usable,
                ejected: false,
                pace: random.pace,
                success_rate: 1.0,
            };
            fleet.upsert(key as WorkerKey, facts);
        }
        ModelledFleet { workers, fleet, reserved: BTreeMap::new() }
    }

    fn free(&self, key: WorkerKey) -> Resources {
        let used = self.reserved.get(&key).into_iter().flatten();
        used.fold(self.workers[key as usize].capacity, |free, (_, need)| free.minus(*need))
    }

    /// Whether the task may be placed on the worker according to the model.
    fn allows(&self, key: WorkerKey, task: &RandomTask) -> bool {
        let random = &self.workers[key as usize];
        let reserved = self.reserved.get(&key).into_iter().flatten();
        let tasks_of_step = reserved.filter(|(step, _)| step.step == task.step).count();
        random.usable
            && task.label.is_none_or(|label| label == random.label)
            && task.anti_affinity.is_none_or(|most| tasks_of_step < most as usize)
            && task.need.fits_in(self.free(key))
    }

    fn reserve(&mut self, key: WorkerKey, task: &RandomTask) {
        let step = StepKey { step: task.step, ..STEP };
        self.fleet.reserve(key, step, task.need);
        self.reserved.entry(key).or_default().push((step, task.need));
    }

    fn keys(&self) -> std::ops::Range<WorkerKey> {
        0..self.workers.len() as WorkerKey
    }

    fn totals_match(&self) -> bool {
        let usable = || self.keys().filter(|key| self.workers[*key as usize].usable);
        let total = usable().fold(Resources::ZERO, |sum, key| sum.plus(self.workers[key as usize].capacity));
        let free = usable().fold(Resources::ZERO, |sum, key| sum.plus(self.free(key)));
        (self.fleet.total(), self.fleet.free()) == (total, free)
    }

    /// Reserves a task on each of these workers in turn. Returns whether all of them were allowed.
    fn reserve_all(&mut self, keys: &[WorkerKey], task: &RandomTask) -> bool {
        keys.iter().all(|key| {
            let allowed = self.allows(*key, task);
            self.reserve(*key, task);
            allowed
        })
    }

    /// Whether a gang fits on these workers, found by filling one worker after the other.
    fn gang_fits(&self, keys: &[WorkerKey], task: &RandomTask) -> bool {
        // Only the model is used, the fleet stays empty.
        let (workers, reserved) = (self.workers.clone(), self.reserved.clone());
        let mut trial = ModelledFleet { workers, fleet: Fleet::new(), reserved };
        let mut placed = 0;
        for key in keys {
            while placed < task.count && trial.allows(*key, task) {
                trial.reserve(*key, task);
                placed += 1;
            }
        }
        placed == task.count
    }

    /// The workers by rack. A worker without a rack forms a group of its own.
    fn racks(&self) -> Vec<Vec<WorkerKey>> {
        let mut racks: BTreeMap<(Option<u8>, WorkerKey), Vec<WorkerKey>> = BTreeMap::new();
        for key in self.keys() {
            let rack = self.workers[key as usize].rack;
            let group = if rack.is_none() { key } else { 0 };
            racks.entry((rack, group)).or_default().push(key);
        }
        racks.into_values().collect()
    }
}

fn with_demand<T>(task: &RandomTask, use_it: impl FnOnce(&Demand) -> T) -> T {
    let label = task.label.map(|label| format!("l{label}"));
    let rack = task.rack.map(|rack| format!("r{rack}"));
    use_it(&Demand {
        need: task.need,
        constraint: label.as_deref(),
        affinity: rack.as_deref(),
        anti_affinity: task.anti_affinity,
        step: StepKey { step: task.step, ..STEP },
        rack_local: task.rack_local,
        avoid: &[0],
        tasks_to_pack: u64::from(task.step) * 4,
    })
}

#[test]
fn places_a_task_exactly_if_some_worker_is_allowed() {
    fn property(workers: Vec<RandomWorker>, tasks: Vec<RandomTask>) -> bool {
        let mut model = ModelledFleet::new(workers);
        tasks.iter().all(|task| {
            let chosen = with_demand(task, |demand| model.fleet.place(demand));
            let possible = model.keys().any(|key| model.allows(key, task));
            let is_correct = match chosen {
                Some(key) => model.reserve_all(&[key], task),
                None => !possible,
            };
            is_correct && model.totals_match()
        })
    }
    QuickCheck::new().tests(1000).quickcheck(property as fn(Vec<RandomWorker>, Vec<RandomTask>) -> bool);
}

#[test]
fn places_a_gang_completely_or_not_at_all() {
    fn property(workers: Vec<RandomWorker>, gangs: Vec<RandomTask>) -> bool {
        let mut model = ModelledFleet::new(workers);
        gangs.iter().all(|gang| {
            let chosen = with_demand(gang, |demand| model.fleet.place_gang(demand, gang.count));
            let Some(members) = chosen else {
                let anywhere: Vec<WorkerKey> = model.keys().collect();
                let groups = if gang.rack_local { model.racks() } else { vec![anywhere] };
                let known = gang.label.is_none_or(|label| model.workers.iter().any(|w| w.label == label));
                return !known || !groups.iter().any(|keys| model.gang_fits(keys, gang));
            };
            let racks = model.racks();
            let spread: BTreeSet<usize> =
                members.iter().filter_map(|key| racks.iter().position(|rack| rack.contains(key))).collect();
            let together = !gang.rack_local || spread.len() <= 1;
            members.len() == gang.count
                && together
                && model.reserve_all(&members, gang)
                && model.totals_match()
        })
    }
    QuickCheck::new().tests(1000).quickcheck(property as fn(Vec<RandomWorker>, Vec<RandomTask>) -> bool);
}

#[test]
fn preemption_frees_enough_and_stops_nothing_needlessly() {
    fn property(workers: Vec<RandomWorker>, running: Vec<RandomTask>, task: RandomTask) -> bool {
        let mut model = ModelledFleet::new(workers);
        let mut victims = Vec::new();
        for (index, random) in running.iter().enumerate() {
            let Some(worker) = with_demand(random, |demand| model.fleet.place(demand)) else { continue };
            model.reserve(worker, random);
            let cost = (index * 7 % 5) as f64;
            victims.push(Victim { worker, attempt: attempt(index as u32), need: random.need, cost });
        }
        let Some(Preemption { worker, attempts: chosen }) =
            with_demand(&task, |demand| model.fleet.preempt(demand, &victims))
        else {
            return true;
        };
        let fits = |spared: Option<AttemptKey>| {
            let stopped = victims.iter().filter(|victim| chosen.contains(&victim.attempt));
            let stopped = stopped.filter(|victim| Some(victim.attempt) != spared);
            let freed = stopped.fold(model.free(worker), |free, victim| free.plus(victim.need));
            task.need.fits_in(freed)
        };
        let is_on_chosen_worker = |attempt: &AttemptKey| {
            victims.iter().any(|victim| victim.attempt == *attempt && victim.worker == worker)
        };
        chosen.iter().all(is_on_chosen_worker)
            && fits(None)
            && chosen.iter().all(|attempt| !fits(Some(*attempt)))
    }
    let property = property as fn(Vec<RandomWorker>, Vec<RandomTask>, RandomTask) -> bool;
    QuickCheck::new().tests(1000).quickcheck(property);
}

#[test]
fn task_that_could_ever_fit_is_placed_on_an_empty_fleet() {
    fn property(workers: Vec<RandomWorker>, task: RandomTask) -> bool {
        let usable = workers.into_iter().map(|random| RandomWorker { usable: true, ..random }).collect();
        let model = ModelledFleet::new(usable);
        let fits = with_demand(&task, |demand| model.fleet.could_ever_fit(demand));
        let gang_fits = with_demand(&task, |demand| model.fleet.could_ever_fit_gang(demand, task.count));
        let placed = with_demand(&task, |demand| model.fleet.place(demand)).is_some();
        let gang = with_demand(&task, |demand| model.fleet.place_gang(demand, task.count)).is_some();
        (fits, gang_fits) == (placed, gang)
    }
    QuickCheck::new().tests(1000).quickcheck(property as fn(Vec<RandomWorker>, RandomTask) -> bool);
}

#[test]
fn affinity_to_an_unknown_rack_allows_any_worker() {
    let mut fleet = fleet(4, resources(4000, 4000, 0));
    let near = Demand { affinity: Some("r1"), ..demand(resources(3000, 1, 0)) };
    assert_eq!(fleet.place_in_affinity_rack(&near), Some(2));
    fleet.reserve(2, OTHER_STEP, resources(2000, 1, 0));
    fleet.reserve(3, OTHER_STEP, resources(2000, 1, 0));
    assert_eq!(fleet.place_in_affinity_rack(&near), None);
    assert!(fleet.may_fit_in_affinity_rack(&near), "both workers fit once capacity is released");
    assert!(!fleet.may_fit_in_affinity_rack(&Demand { need: resources(4001, 1, 0), ..near }));
    for key in [2, 3] {
        fleet.upsert(key, WorkerFacts { usable: false, ..worker(resources(4000, 4000, 0), "r1") });
    }
    assert!(!fleet.may_fit_in_affinity_rack(&near), "neither worker is usable");
    let unknown = Demand { affinity: Some("r9"), ..near };
    assert_eq!(fleet.place_in_affinity_rack(&unknown), Some(0));
}

#[test]
fn capacity_changes_leave_no_trace_in_choices() {
    fn property(changes: Vec<(u8, u8, u8, u8)>, needs: Vec<(u8, u8, u8)>) -> bool {
        let mut changed = Fleet::new();
        let mut last = BTreeMap::new();
        for (key, cpu, mem_mb, gpu) in changes {
            let capacity = resources(cpu.into(), mem_mb.into(), gpu.into());
            changed.upsert(u64::from(key % 6), worker(capacity, "r0"));
            last.insert(u64::from(key % 6), capacity);
        }
        let mut fresh = Fleet::new();
        last.into_iter().for_each(|(key, capacity)| fresh.upsert(key, worker(capacity, "r0")));
        needs.into_iter().all(|(cpu, mem_mb, gpu)| {
            let need = demand(resources(u64::from(cpu) / 2, u64::from(mem_mb) / 2, u64::from(gpu) / 2));
            changed.place(&need) == fresh.place(&need)
        })
    }
    let property = property as fn(Vec<(u8, u8, u8, u8)>, Vec<(u8, u8, u8)>) -> bool;
    QuickCheck::new().tests(2000).quickcheck(property);
}
