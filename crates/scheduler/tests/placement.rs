//! Placement on its own: nothing past a capacity, a label or an anti-affinity, complete gangs, cheap
//! preemption.

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

/// Workers 0, 1, .. of one size, two to a rack.
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
fn packed_tasks_go_where_most_of_them_fit_and_stay_there() {
    let mut fleet = fleet(3, resources(8000, 8000, 0));
    fleet.reserve(0, OTHER_STEP, resources(5000, 1000, 0));
    fleet.reserve(1, OTHER_STEP, resources(1000, 1000, 0));
    let task = Demand { tasks_to_pack: 4, ..demand(resources(2000, 100, 0)) };
    assert_eq!(
        fleet.place(&demand(resources(2000, 100, 0))),
        Some(0),
        "alone: where the least capacity is left"
    );
    assert_eq!(fleet.place(&task), Some(2), "all four fit");
    fleet.reserve(2, STEP, resources(2000, 100, 0));
    assert_eq!(fleet.place(&Demand { tasks_to_pack: 3, ..task }), Some(2), "one of the step is there");
    assert_eq!(fleet.place(&Demand { tasks_to_pack: 1, step: OTHER_STEP, ..task }), Some(0));
    let apart = Demand { anti_affinity: Some(1), ..task };
    assert_eq!(fleet.place(&apart), Some(0), "no worker may have more than one");
}

#[test]
fn the_fullest_worker_that_fits_is_taken_so_that_large_holes_stay() {
    let mut fleet = fleet(3, resources(8000, 8000, 0));
    fleet.reserve(1, OTHER_STEP, resources(5000, 1000, 0));
    fleet.reserve(2, OTHER_STEP, resources(7000, 1000, 0));
    assert_eq!(fleet.place(&demand(resources(2000, 100, 0))), Some(1));
    assert_eq!(fleet.place(&demand(resources(1000, 100, 0))), Some(2));
    assert_eq!(fleet.place(&demand(resources(8000, 100, 0))), Some(0));
    assert_eq!(fleet.place(&demand(resources(8001, 100, 0))), None);
}

#[test]
fn a_task_without_gpus_leaves_them_free_where_there_is_a_choice() {
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
fn a_task_goes_to_the_rack_of_its_data_and_elsewhere_only_if_that_is_full() {
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
fn a_clearly_slower_or_less_trusted_worker_comes_last() {
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
fn a_worker_to_be_avoided_is_taken_only_where_no_other_suits() {
    let mut fleet = fleet(2, resources(4000, 4000, 0));
    let task = Demand { avoid: &[0], ..demand(resources(3000, 1, 0)) };
    assert_eq!(fleet.place(&task), Some(1));
    fleet.reserve(1, OTHER_STEP, resources(3000, 1, 0));
    assert_eq!(fleet.place(&task), Some(0));
}

#[test]
fn labels_and_usability_bind() {
    let mut fleet = fleet(2, resources(4000, 4000, 0));
    let task = Demand { constraint: Some("r1"), ..demand(resources(1, 1, 0)) };
    let impossible = Demand { constraint: Some("b"), ..task };
    assert_eq!(fleet.place(&task), None);
    assert!(!fleet.could_ever_fit(&task) && !fleet.could_ever_fit(&impossible));
    fleet.upsert(7, WorkerFacts { usable: false, ..worker(resources(4000, 4000, 0), "r1") });
    assert_eq!(fleet.place(&task), None);
    assert!(fleet.could_ever_fit(&task), "it may become usable");
    fleet.upsert(7, worker(resources(4000, 4000, 0), "r1"));
    assert_eq!(fleet.place(&task), Some(7));
    assert!(fleet.remove(7));
    assert_eq!(fleet.place(&task), None);
}

#[test]
fn anti_affinity_counts_the_tasks_of_the_same_step_only() {
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
fn what_is_released_must_have_been_reserved() {
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
fn a_capacity_that_shrinks_below_what_is_reserved_leaves_nothing_free() {
    let mut fleet = fleet(1, resources(9000, 9000, 0));
    fleet.reserve(0, STEP, resources(8000, 1000, 0));
    fleet.upsert(0, worker(resources(4000, 9000, 0), "r0"));
    assert_eq!(fleet.free(), resources(0, 8000, 0));
    assert_eq!(fleet.place(&demand(resources(1, 1, 0))), None);
    assert!(fleet.release(0, STEP, resources(8000, 1000, 0)));
    assert_eq!(fleet.free(), resources(4000, 9000, 0));
}

#[test]
fn a_rack_local_gang_is_placed_in_one_rack_or_not_at_all() {
    let mut fleet = fleet(6, resources(4000, 4000, 0));
    let gang = Demand { rack_local: true, ..demand(resources(2000, 1, 0)) };
    assert_eq!(fleet.place_gang(&gang, 4), Some(vec![0, 0, 1, 1]));
    assert_eq!(fleet.place_gang(&gang, 5), None);
    assert!(fleet.could_ever_fit_gang(&gang, 4) && !fleet.could_ever_fit_gang(&gang, 5));
    fleet.reserve(1, OTHER_STEP, resources(1000, 0, 0));
    fleet.reserve(2, OTHER_STEP, resources(1000, 0, 0));
    assert_eq!(fleet.place_gang(&gang, 4), Some(vec![4, 4, 5, 5]));
    let tight = fleet.place_gang(&gang, 3);
    assert_eq!(tight, Some(vec![0, 0, 1]), "a rack with just the capacity keeps the empty rack free");
    let near = Demand { affinity: Some("r2"), ..gang };
    assert_eq!(fleet.place_gang(&near, 3), Some(vec![4, 4, 5]));
}

#[test]
fn a_gang_spreads_over_few_racks_from_that_of_its_data() {
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
fn an_ejected_worker_is_taken_only_as_the_last_resort() {
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
    assert!(fleet.may_fit_ejected(&labelled), "once it has the capacity");
}

#[test]
fn a_gang_heeds_anti_affinity_and_avoids_slow_members() {
    let mut fleet = fleet(4, resources(8000, 8000, 0));
    fleet.upsert(0, WorkerFacts { pace: 0.2, ..worker(resources(8000, 8000, 0), "r0") });
    let gang = Demand { anti_affinity: Some(1), ..demand(resources(1000, 1, 0)) };
    assert_eq!(fleet.place_gang(&gang, 2), Some(vec![2, 3]));
    assert_eq!(fleet.place_gang(&gang, 3), Some(vec![2, 3, 1]));
    assert_eq!(fleet.place_gang(&gang, 4).map(|members| members.len()), Some(4));
    assert_eq!(fleet.place_gang(&gang, 5), None);
}

#[test]
fn the_cheapest_victims_on_one_worker_are_preempted() {
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
        "the cheap one isn't needed"
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

/// A task, or a gang, of a random script.
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

fn below(g: &mut Gen, bound: u64) -> u64 {
    u64::arbitrary(g) % bound
}

impl Arbitrary for RandomWorker {
    fn arbitrary(g: &mut Gen) -> Self {
        RandomWorker {
            capacity: resources(below(g, 20), below(g, 20), below(g, 5)),
            rack: (below(g, 5) > 0).then(|| below(g, 4) as u8),
            label: below(g, 3) as u8,
            usable: below(g, 8) > 0,
            pace: *g.choose(&[1.0, 0.9, 0.4, 0.0, f64::NAN, 3.0]).unwrap_or(&1.0),
        }
    }
}

impl Arbitrary for RandomTask {
    fn arbitrary(g: &mut Gen) -> Self {
        RandomTask {
            need: resources(below(g, 8), below(g, 8), below(g, 3)),
            label: bool::arbitrary(g).then(|| below(g, 4) as u8),
            rack: bool::arbitrary(g).then(|| below(g, 5) as u8),
            anti_affinity: bool::arbitrary(g).then(|| below(g, 4) as u32),
            step: below(g, 3) as u32,
            rack_local: bool::arbitrary(g),
            count: below(g, 7) as usize,
        }
    }
}

/// A random fleet with a plain account of what is reserved.
struct Script {
    workers: Vec<RandomWorker>,
    fleet: Fleet,
    reserved: BTreeMap<WorkerKey, Vec<(StepKey, Resources)>>,
}

impl Script {
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
        Script { workers, fleet, reserved: BTreeMap::new() }
    }

    fn free(&self, key: WorkerKey) -> Resources {
        let used = self.reserved.get(&key).into_iter().flatten();
        used.fold(self.workers[key as usize].capacity, |free, (_, need)| free.minus(*need))
    }

    /// Whether the plain account lets a task of these terms onto the worker.
    fn allows(&self, key: WorkerKey, task: &RandomTask) -> bool {
        let random = &self.workers[key as usize];
        let reserved = self.reserved.get(&key).into_iter().flatten();
        let same = reserved.filter(|(step, _)| step.step == task.step).count();
        random.usable
            && task.label.is_none_or(|label| label == random.label)
            && task.anti_affinity.is_none_or(|most| same < most as usize)
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

    fn sums_agree(&self) -> bool {
        let usable = || self.keys().filter(|key| self.workers[*key as usize].usable);
        let total = usable().fold(Resources::ZERO, |sum, key| sum.plus(self.workers[key as usize].capacity));
        let free = usable().fold(Resources::ZERO, |sum, key| sum.plus(self.free(key)));
        (self.fleet.total(), self.fleet.free()) == (total, free)
    }

    /// Whether the workers chosen can take one member each, in turn; reserves them.
    fn take_all(&mut self, keys: &[WorkerKey], task: &RandomTask) -> bool {
        keys.iter().all(|key| {
            let allowed = self.allows(*key, task);
            self.reserve(*key, task);
            allowed
        })
    }

    /// Whether a gang fits on these workers, by filling each of them.
    fn gang_fits(&self, keys: &[WorkerKey], task: &RandomTask) -> bool {
        // The account alone is used: the fleet stays empty.
        let (workers, reserved) = (self.workers.clone(), self.reserved.clone());
        let mut trial = Script { workers, fleet: Fleet::new(), reserved };
        let mut placed = 0;
        for key in keys {
            while placed < task.count && trial.allows(*key, task) {
                trial.reserve(*key, task);
                placed += 1;
            }
        }
        placed == task.count
    }

    /// The workers rack by rack; those of an unknown rack each alone.
    fn racks(&self) -> Vec<Vec<WorkerKey>> {
        let mut racks: BTreeMap<(Option<u8>, WorkerKey), Vec<WorkerKey>> = BTreeMap::new();
        for key in self.keys() {
            let rack = self.workers[key as usize].rack;
            let alone = if rack.is_none() { key } else { 0 };
            racks.entry((rack, alone)).or_default().push(key);
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
fn a_task_is_placed_where_it_may_be_and_whenever_it_may_be_somewhere() {
    fn holds(workers: Vec<RandomWorker>, tasks: Vec<RandomTask>) -> bool {
        let mut script = Script::new(workers);
        tasks.iter().all(|task| {
            let chosen = with_demand(task, |demand| script.fleet.place(demand));
            let possible = script.keys().any(|key| script.allows(key, task));
            let right = match chosen {
                Some(key) => script.take_all(&[key], task),
                None => !possible,
            };
            right && script.sums_agree()
        })
    }
    QuickCheck::new().tests(1000).quickcheck(holds as fn(Vec<RandomWorker>, Vec<RandomTask>) -> bool);
}

#[test]
fn a_gang_is_placed_completely_or_not_at_all() {
    fn holds(workers: Vec<RandomWorker>, gangs: Vec<RandomTask>) -> bool {
        let mut script = Script::new(workers);
        gangs.iter().all(|gang| {
            let chosen = with_demand(gang, |demand| script.fleet.place_gang(demand, gang.count));
            let Some(members) = chosen else {
                let anywhere: Vec<WorkerKey> = script.keys().collect();
                let groups = if gang.rack_local { script.racks() } else { vec![anywhere] };
                let known = gang.label.is_none_or(|label| script.workers.iter().any(|w| w.label == label));
                return !known || !groups.iter().any(|keys| script.gang_fits(keys, gang));
            };
            let racks = script.racks();
            let spread: BTreeSet<usize> =
                members.iter().filter_map(|key| racks.iter().position(|rack| rack.contains(key))).collect();
            let together = !gang.rack_local || spread.len() <= 1;
            members.len() == gang.count && together && script.take_all(&members, gang) && script.sums_agree()
        })
    }
    QuickCheck::new().tests(1000).quickcheck(holds as fn(Vec<RandomWorker>, Vec<RandomTask>) -> bool);
}

#[test]
fn preemption_frees_enough_on_one_worker_and_stops_nothing_needlessly() {
    fn holds(workers: Vec<RandomWorker>, running: Vec<RandomTask>, task: RandomTask) -> bool {
        let mut script = Script::new(workers);
        let mut victims = Vec::new();
        for (index, random) in running.iter().enumerate() {
            let Some(worker) = with_demand(random, |demand| script.fleet.place(demand)) else { continue };
            script.reserve(worker, random);
            let cost = (index * 7 % 5) as f64;
            victims.push(Victim { worker, attempt: attempt(index as u32), need: random.need, cost });
        }
        let Some(Preemption { worker, attempts: chosen }) =
            with_demand(&task, |demand| script.fleet.preempt(demand, &victims))
        else {
            return true;
        };
        let fits = |spared: Option<AttemptKey>| {
            let stopped = victims.iter().filter(|victim| chosen.contains(&victim.attempt));
            let stopped = stopped.filter(|victim| Some(victim.attempt) != spared);
            let freed = stopped.fold(script.free(worker), |free, victim| free.plus(victim.need));
            task.need.fits_in(freed)
        };
        let here = |attempt: &AttemptKey| {
            victims.iter().any(|victim| victim.attempt == *attempt && victim.worker == worker)
        };
        chosen.iter().all(here) && fits(None) && chosen.iter().all(|attempt| !fits(Some(*attempt)))
    }
    let holds = holds as fn(Vec<RandomWorker>, Vec<RandomTask>, RandomTask) -> bool;
    QuickCheck::new().tests(1000).quickcheck(holds);
}

#[test]
fn a_task_that_could_ever_fit_is_placed_on_an_empty_usable_fleet() {
    fn holds(workers: Vec<RandomWorker>, task: RandomTask) -> bool {
        let usable = workers.into_iter().map(|random| RandomWorker { usable: true, ..random }).collect();
        let script = Script::new(usable);
        let fits = with_demand(&task, |demand| script.fleet.could_ever_fit(demand));
        let gang_fits = with_demand(&task, |demand| script.fleet.could_ever_fit_gang(demand, task.count));
        let placed = with_demand(&task, |demand| script.fleet.place(demand)).is_some();
        let gang = with_demand(&task, |demand| script.fleet.place_gang(demand, task.count)).is_some();
        (fits, gang_fits) == (placed, gang)
    }
    QuickCheck::new().tests(1000).quickcheck(holds as fn(Vec<RandomWorker>, RandomTask) -> bool);
}

#[test]
fn near_the_data_means_on_its_rack_or_anywhere_if_there_is_no_such_rack() {
    let mut fleet = fleet(4, resources(4000, 4000, 0));
    let near = Demand { affinity: Some("r1"), ..demand(resources(3000, 1, 0)) };
    assert_eq!(fleet.place_in_affinity_rack(&near), Some(2));
    fleet.reserve(2, OTHER_STEP, resources(2000, 1, 0));
    fleet.reserve(3, OTHER_STEP, resources(2000, 1, 0));
    assert_eq!(fleet.place_in_affinity_rack(&near), None);
    assert!(fleet.may_fit_in_affinity_rack(&near), "both have the capacity once it is given back");
    assert!(!fleet.may_fit_in_affinity_rack(&Demand { need: resources(4001, 1, 0), ..near }));
    for key in [2, 3] {
        fleet.upsert(key, WorkerFacts { usable: false, ..worker(resources(4000, 4000, 0), "r1") });
    }
    assert!(!fleet.may_fit_in_affinity_rack(&near), "neither takes starts");
    let unknown = Demand { affinity: Some("r9"), ..near };
    assert_eq!(fleet.place_in_affinity_rack(&unknown), Some(0));
}

#[test]
fn a_fleet_whose_capacities_changed_chooses_as_one_that_never_had_others() {
    fn holds(changes: Vec<(u8, u8, u8, u8)>, needs: Vec<(u8, u8, u8)>) -> bool {
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
    let holds = holds as fn(Vec<(u8, u8, u8, u8)>, Vec<(u8, u8, u8)>) -> bool;
    QuickCheck::new().tests(2000).quickcheck(holds);
}
