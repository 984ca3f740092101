//! The queues of waiting items, the sub-schedulers and the main scheduler.

use crate::deficits::DeficitRoundRobin;
use std::collections::BTreeMap;

/// Quantum of the plan with the largest weight, as a share of each resource's total.
const MAX_QUANTUM_SHARE: f64 = 0.01;
/// Smallest weight relative to the largest one.
const MIN_RELATIVE_WEIGHT: f64 = 1e-6;
/// Number of quanta that a counter may hold beyond the largest waiting need.
const SPARE_QUANTA: f64 = 2.0;
/// Availabilities that differ by less than this count as equal.
const AVAILABILITY_TOLERANCE: f64 = 1e-9;
/// Relative margin by which a counter has to exceed a need, so that sums of quanta cover it even if they are
/// rounded down.
const ROUNDING_MARGIN: f64 = 1e-12;

/// Options of a plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanOptions {
    /// The plan's weight relative to the other plans. A weight that is not above zero counts as the smallest
    /// one.
    pub weight: f64,
}

/// An item that the scheduler released, with what was charged for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Released<K, const R: usize> {
    /// The plan under which the item was queued.
    pub plan: usize,
    /// The caller's key of the item.
    pub key: K,
    /// What the item needs of each resource, as a share of the total.
    pub need: [f64; R],
}

/// A waiting item that a scan has reached.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<'a, K, const R: usize> {
    /// The plan under which the item is queued.
    pub plan: usize,
    /// The caller's key of the item.
    pub key: &'a K,
    /// What the item needs of each resource, as a share of the total.
    pub need: &'a [f64; R],
    /// Whether the availability covers the need. Otherwise the item cannot be released in this call.
    pub is_covered: bool,
}

/// A waiting item.
#[derive(Clone, Copy, Debug)]
struct Waiting<K, const R: usize> {
    key: K,
    need: [f64; R],
}

/// The location of a waiting item: its queue and its position there.
#[derive(Clone, Copy, Debug)]
struct QueueEntry {
    resource: usize,
    plan: usize,
    position: i64,
    is_parked: bool,
}

/// The items of one plan whose dominant resource is the same, by position.
type Queue<K, const R: usize> = BTreeMap<i64, Waiting<K, R>>;

/// The result of a scan over the heads of the queues.
enum ScanResult {
    /// An item that can be released.
    Item(QueueEntry),
    /// No item yet. After this many rounds, the deficits cover an item that the availability already covers.
    Rounds(f64),
    /// No item that the availability covers and the caller accepts.
    Nothing,
}

/// Queues per plan and dominant resource, with the main scheduler and the sub-schedulers.
///
/// `K` is the key of an item, `R` the number of resources. Needs and availabilities are shares of the total
/// of a resource (1.0 is all of it). A key can wait only once.
#[derive(Clone, Debug)]
pub struct Queues<K: Copy + Ord, const R: usize> {
    /// For each resource, one queue per plan.
    queues: [Vec<Queue<K, R>>; R],
    /// For each resource and plan, the items that are parked, at their positions in the queue.
    parked: [Vec<Queue<K, R>>; R],
    deficits: DeficitRoundRobin<R>,
    /// What each plan gains of every resource per round.
    quanta: Vec<f64>,
    index: BTreeMap<K, QueueEntry>,
    plan_lengths: Vec<usize>,
    /// Position of the next item that is queued at the front.
    next_front_position: i64,
    /// Position of the next item that is queued at the back.
    next_back_position: i64,
    /// The resource whose sub-scheduler sent last. Among equally available resources, the following one is
    /// served next.
    last_served_resource: usize,
}

impl<K: Copy + Ord, const R: usize> Queues<K, R> {
    /// Empty queues for plans with these weights.
    pub fn new(plans: &[PlanOptions]) -> Self {
        const { assert!(R > 0, "mQoS needs a resource") };
        Queues {
            queues: std::array::from_fn(|_| vec![Queue::new(); plans.len()]),
            parked: std::array::from_fn(|_| vec![Queue::new(); plans.len()]),
            deficits: DeficitRoundRobin::new(plans.len()),
            quanta: quanta(plans),
            index: BTreeMap::new(),
            plan_lengths: vec![0; plans.len()],
            next_front_position: -1,
            next_back_position: 0,
            last_served_resource: R - 1,
        }
    }

    /// Queues an item behind those of its plan and dominant resource. Returns false, and changes nothing, if
    /// the plan does not exist or the key is already waiting.
    pub fn push(&mut self, plan: usize, key: K, need: [f64; R]) -> bool {
        let position = self.next_back_position;
        self.next_back_position += 1;
        self.insert(plan, key, need, position)
    }

    /// Queues an item before those of its plan and dominant resource. Meant for an item that was released and
    /// has to be scheduled again. Returns false, and changes nothing, if the plan does not exist or the key
    /// is already waiting.
    pub fn push_front(&mut self, plan: usize, key: K, need: [f64; R]) -> bool {
        let position = self.next_front_position;
        self.next_front_position -= 1;
        self.insert(plan, key, need, position)
    }

    /// Queues an item at a position that the caller chooses, behind the items of its plan and dominant
    /// resource with lower positions. Returns false, and changes nothing, if the plan does not exist, the key
    /// is already waiting, or another item has the position.
    ///
    /// A caller that uses this method chooses all positions itself and does not call [`Queues::push`] or
    /// [`Queues::push_front`].
    pub fn push_at(&mut self, plan: usize, key: K, need: [f64; R], position: i64) -> bool {
        let resource = dominant(&need.map(non_negative));
        let has =
            |queues: &[Queue<K, R>]| queues.get(plan).is_some_and(|queue| queue.contains_key(&position));
        let is_occupied = has(&self.queues[resource]) || has(&self.parked[resource]);
        !is_occupied && self.insert(plan, key, need, position)
    }

    fn insert(&mut self, plan: usize, key: K, need: [f64; R], position: i64) -> bool {
        if plan >= self.plan_lengths.len() || self.index.contains_key(&key) {
            return false;
        }
        let need = need.map(non_negative);
        let resource = dominant(&need);
        let waiting = Waiting { key, need };
        self.queues[resource][plan].insert(position, waiting);
        self.index.insert(key, QueueEntry { resource, plan, position, is_parked: false });
        self.plan_lengths[plan] += 1;
        true
    }

    /// Takes an item out of its queue. Returns whether it was waiting.
    pub fn remove(&mut self, key: &K) -> bool {
        let Some(entry) = self.index.get(key).copied() else { return false };
        self.take(entry);
        true
    }

    /// Keeps an item out of all scans until [`Queues::unpark`] is called. It keeps its position, and its plan
    /// counts as waiting. Returns whether the item was waiting and not parked.
    pub fn park(&mut self, key: &K) -> bool {
        self.set_parked(key, true)
    }

    /// Returns a parked item to its position in its queue. Returns whether the item was parked.
    pub fn unpark(&mut self, key: &K) -> bool {
        self.set_parked(key, false)
    }

    fn set_parked(&mut self, key: &K, is_parked: bool) -> bool {
        let Some(entry) = self.index.get_mut(key).filter(|entry| entry.is_parked != is_parked) else {
            return false;
        };
        let QueueEntry { resource, plan, position, .. } = *entry;
        entry.is_parked = is_parked;
        let (queue, parked) = (&mut self.queues[resource][plan], &mut self.parked[resource][plan]);
        let (from, to) = if is_parked { (queue, parked) } else { (parked, queue) };
        to.extend(from.remove(&position).map(|waiting| (position, waiting)));
        true
    }

    fn take(&mut self, entry: QueueEntry) -> Option<Waiting<K, R>> {
        let queues = if entry.is_parked { &mut self.parked } else { &mut self.queues };
        let queue = &mut queues[entry.resource][entry.plan];
        let waiting = queue.remove(&entry.position)?;
        self.index.remove(&waiting.key);
        self.plan_lengths[entry.plan] -= 1;
        if self.plan_lengths[entry.plan] == 0 {
            // Nothing of the plan waits, so it accumulates no deficit.
            (0..R).for_each(|resource| self.deficits.gain(resource, entry.plan, 0.0, 0.0));
        }
        Some(waiting)
    }

    /// Takes out and charges the next item to release. Returns `None` if `availability` (the free share of
    /// each resource) covers no head of a queue.
    pub fn next(&mut self, availability: &[f64; R]) -> Option<Released<K, R>> {
        self.next_where(availability, 1, |_, _, _| true)
    }

    /// Like [`Queues::next`], but releases an item only if `accept` (plan, key, need) returns true, and looks
    /// at up to `depth` items of each queue, in order. Items that the availability or `accept` excludes are
    /// skipped and keep their places.
    ///
    /// `accept` may be called more than once for an item in one call.
    pub fn next_where<F>(
        &mut self,
        availability: &[f64; R],
        depth: usize,
        mut accept: F,
    ) -> Option<Released<K, R>>
    where
        F: FnMut(usize, &K, &[f64; R]) -> bool,
    {
        self.next_candidate(availability, depth, |candidate| {
            candidate.is_covered && accept(candidate.plan, candidate.key, candidate.need)
        })
    }

    /// Like [`Queues::next_where`], but calls `accept` also for items that the availability does not cover, which
    /// are never released. A caller that parks what it does not accept finds the items behind them in its next
    /// call.
    pub fn next_candidate<F>(
        &mut self,
        availability: &[f64; R],
        depth: usize,
        mut accept: F,
    ) -> Option<Released<K, R>>
    where
        F: FnMut(Candidate<'_, K, R>) -> bool,
    {
        let entry = match self.find_candidate(availability, depth, &mut accept) {
            ScanResult::Item(entry) => entry,
            ScanResult::Nothing => return None,
            ScanResult::Rounds(rounds) => {
                self.wrap(rounds, depth);
                match self.find_candidate(availability, depth, &mut accept) {
                    ScanResult::Item(entry) => entry,
                    ScanResult::Rounds(_) | ScanResult::Nothing => return None,
                }
            }
        };
        let waiting = self.queues[entry.resource][entry.plan].get(&entry.position)?;
        let need = waiting.need;
        self.deficits.charge(entry.plan, &need);
        let waiting = self.take(entry)?;
        self.last_served_resource = entry.resource;
        Some(Released { plan: entry.plan, key: waiting.key, need })
    }

    /// Returns the deficit that was charged for a released item that was not used.
    pub fn refund(&mut self, released: &Released<K, R>) {
        if self.plan_lengths.get(released.plan).is_some_and(|length| *length > 0) {
            for (resource, need) in released.need.iter().enumerate() {
                self.deficits.gain(resource, released.plan, *need, f64::INFINITY);
            }
        }
    }

    /// The main scheduler: runs the sub-schedulers in order of availability until one finds an item.
    fn find_candidate<F>(&mut self, availability: &[f64; R], depth: usize, accept: &mut F) -> ScanResult
    where
        F: FnMut(Candidate<'_, K, R>) -> bool,
    {
        let mut least_rounds = f64::INFINITY;
        for resource in self.resource_order(availability) {
            match self.visit_plans(resource, availability, depth, accept) {
                ScanResult::Item(entry) => return ScanResult::Item(entry),
                ScanResult::Rounds(rounds) => least_rounds = least_rounds.min(rounds),
                ScanResult::Nothing => {}
            }
        }
        if least_rounds.is_finite() {
            ScanResult::Rounds(least_rounds)
        } else {
            ScanResult::Nothing
        }
    }

    /// The resources by descending availability. Equally available ones come in round-robin order.
    fn resource_order(&self, availability: &[f64; R]) -> [usize; R] {
        let mut order: [usize; R] =
            std::array::from_fn(|offset| (self.last_served_resource + 1 + offset) % R);
        let level =
            |resource: &usize| (non_negative(availability[*resource]) / AVAILABILITY_TOLERANCE).round();
        order.sort_by(|a, b| level(b).total_cmp(&level(a)));
        order
    }

    /// One turn of a sub-scheduler: the pointer visits every plan once and stops at an item that can be
    /// released.
    fn visit_plans<F>(
        &mut self,
        resource: usize,
        availability: &[f64; R],
        depth: usize,
        accept: &mut F,
    ) -> ScanResult
    where
        F: FnMut(Candidate<'_, K, R>) -> bool,
    {
        let plans = self.plan_lengths.len();
        let mut least_rounds = f64::INFINITY;
        for _ in 0..plans {
            let plan = self.deficits.plan(resource);
            for (position, waiting) in self.queues[resource][plan].iter().take(depth) {
                let is_covered = fits(&waiting.need, availability);
                let candidate = Candidate { plan, key: &waiting.key, need: &waiting.need, is_covered };
                if !accept(candidate) || !is_covered {
                    continue;
                }
                if self.deficits.covers(plan, &waiting.need) {
                    return ScanResult::Item(QueueEntry {
                        resource,
                        plan,
                        position: *position,
                        is_parked: false,
                    });
                }
                let counters = self.deficits.counters(plan);
                least_rounds =
                    least_rounds.min(rounds_until_covered(counters, &waiting.need, self.quanta[plan]));
                break;
            }
            self.deficits.advance(resource);
        }
        if least_rounds.is_finite() {
            ScanResult::Rounds(least_rounds)
        } else {
            ScanResult::Nothing
        }
    }

    /// Lets all pointers wrap `rounds` times at once: plans with waiting items gain their quanta. The needs
    /// of the first `depth` items of each queue, and of as many parked ones, limit what a counter may hold.
    fn wrap(&mut self, rounds: f64, depth: usize) {
        for plan in 0..self.plan_lengths.len() {
            if self.plan_lengths[plan] == 0 {
                continue;
            }
            let mut largest = [0.0; R];
            let queues = self.queues.iter().chain(&self.parked);
            for waiting in queues.flat_map(|queues| queues[plan].values().take(depth)) {
                for (largest, need) in largest.iter_mut().zip(&waiting.need) {
                    *largest = need.max(*largest);
                }
            }
            let quantum = self.quanta[plan];
            for (resource, largest) in largest.iter().enumerate() {
                self.deficits.gain(resource, plan, rounds * quantum, largest + SPARE_QUANTA * quantum);
            }
        }
    }

    /// Number of waiting items.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether no item is waiting.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Number of waiting items of a plan.
    pub fn plan_len(&self, plan: usize) -> usize {
        self.plan_lengths.get(plan).copied().unwrap_or(0)
    }

    /// Whether an item is waiting.
    pub fn contains(&self, key: &K) -> bool {
        self.index.contains_key(key)
    }

    /// All waiting items in the order of their keys, with their plans.
    pub fn iter(&self) -> impl Iterator<Item = (K, usize)> + '_ {
        self.index.iter().map(|(key, entry)| (*key, entry.plan))
    }

    /// What a plan may still take of each resource before its next quantum; `None` if the plan does not
    /// exist.
    pub fn deficits(&self, plan: usize) -> Option<[f64; R]> {
        (plan < self.plan_lengths.len()).then(|| *self.deficits.counters(plan))
    }
}

/// What each plan gains per round, proportional to its weight.
fn quanta(plans: &[PlanOptions]) -> Vec<f64> {
    let valid_weight = |plan: &PlanOptions| if plan.weight.is_finite() { plan.weight.max(0.0) } else { 0.0 };
    let largest = plans.iter().map(valid_weight).fold(f64::MIN_POSITIVE, f64::max);
    let relative = |plan: &PlanOptions| (valid_weight(plan) / largest).max(MIN_RELATIVE_WEIGHT);
    plans.iter().map(|plan| MAX_QUANTUM_SHARE * relative(plan)).collect()
}

/// Number of rounds until a plan's counters cover a need.
fn rounds_until_covered<const R: usize>(counters: &[f64; R], need: &[f64; R], quantum: f64) -> f64 {
    let rounds =
        |(need, counter): (&f64, &f64)| ((need + ROUNDING_MARGIN * (1.0 + need) - counter) / quantum).ceil();
    need.iter().zip(counters).map(rounds).fold(0.0, f64::max)
}

/// The share as a number of at least zero; 0 for NaN.
fn non_negative(share: f64) -> f64 {
    if share.is_nan() {
        0.0
    } else {
        share.max(0.0)
    }
}

/// The resource of which the largest share is needed.
fn dominant<const R: usize>(need: &[f64; R]) -> usize {
    let mut dominant = 0;
    for resource in 1..R {
        if need[resource] > need[dominant] {
            dominant = resource;
        }
    }
    dominant
}

/// Whether the availability of every resource covers the need.
fn fits<const R: usize>(need: &[f64; R], availability: &[f64; R]) -> bool {
    need.iter().zip(availability).all(|(need, free)| *need <= *free + AVAILABILITY_TOLERANCE)
}
