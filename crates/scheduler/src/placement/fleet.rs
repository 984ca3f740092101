//! The workers of one service and what is reserved on them.

use super::blocks::{first_of_block, position_range, Block, BLOCK_SIZE};
use super::orders::Orders;
use super::resources::Resources;
use super::shortages::Shortages;
use super::slot::{Slot, StepCount, Symbol, Symbols, WorkerKey};
use crate::ids::StepKey;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// The most of a resource that a worker is taken to have: sums over a fleet stay exact.
const MAX_CAPACITY: Resources = Resources { cpu: 1 << 40, mem_mb: 1 << 40, gpu: 1 << 40 };

/// What is known of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerFacts {
    /// All that tasks may use there.
    pub capacity: Resources,
    /// What tasks may ask for by their constraints.
    pub labels: Vec<String>,
    /// Its rack, if it is known.
    pub rack: Option<String>,
    /// Its zone.
    pub zone: String,
    /// Whether it may take starts.
    pub usable: bool,
    /// Whether it is ejected as an outlier and nothing else speaks against it: it may take starts that no other worker
    /// can.
    pub ejected: bool,
    /// How fast it works: 1 as its kind, below 1 slower.
    pub pace: f64,
    /// The fraction of its attempts expected to succeed, 0 to 1.
    pub success_rate: f64,
}

/// The workers of one service, what is reserved on them, and the sums over those that may take starts, if only as
/// the last resort.
///
/// The sums, the orders and the blocks always equal those over the slots: every change of a slot goes through
/// `change`, `add_slot` or `remove_slot`. Blocks do not depend on what is reserved.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    pub(super) slots: Vec<Slot>,
    pub(super) labels: Symbols,
    pub(super) racks: Symbols,
    /// The most that any worker has of each resource.
    pub(super) largest: Resources,
    /// Of workers of like quality, the first one in order of keys is taken in position of the fullest.
    pub(super) first_fit: bool,
    /// What each run of `BLOCK_SIZE` slots has.
    blocks: Vec<Block>,
    /// The slots in order of what is free there.
    pub(super) orders: Orders,
    /// The workers of each rack.
    by_rack: BTreeMap<Symbol, Vec<WorkerKey>>,
    /// The workers on which tasks of a step have a reservation.
    by_step: BTreeMap<StepKey, Vec<WorkerKey>>,
    index: BTreeMap<WorkerKey, usize>,
    total: Resources,
    free: Resources,
    /// How many workers are ejected.
    ejected: usize,
    /// Searches that found no worker since capacity was last freed.
    pub(super) shortages: RefCell<Shortages>,
    /// How many slots searches have examined since the last call of `take_examined_count`.
    examined_count: Cell<u64>,
}

impl Fleet {
    /// A fleet without workers.
    pub fn new() -> Self {
        Fleet::default()
    }

    /// A fleet without workers in which, of workers of like quality, the first that suits is taken and not the fullest.
    pub fn first_fit() -> Self {
        Fleet { first_fit: true, ..Fleet::default() }
    }

    /// Adds a worker, or brings what is known of it up to date. Reservations stay.
    pub fn upsert(&mut self, key: WorkerKey, facts: WorkerFacts) {
        self.shortages.get_mut().clear();
        let labels = facts.labels.iter().map(|label| self.labels.number(label)).collect();
        let rack = facts.rack.as_deref().map(|rack| self.racks.number(rack));
        let quality = clamped_factor(facts.pace) * clamped_factor(facts.success_rate);
        let (capacity, usable, ejected) = (facts.capacity.min(MAX_CAPACITY), facts.usable, facts.ejected);
        match self.index.get(&key).copied() {
            Some(position) => {
                let before = self.slots[position].capacity;
                self.leave_rack(position);
                self.change(position, |slot| {
                    (slot.capacity, slot.quality) = (capacity, quality);
                    (slot.usable, slot.ejected) = (usable, ejected);
                    (slot.rack, slot.labels) = (rack, labels);
                });
                self.join_rack(position);
                self.update_block(position / BLOCK_SIZE);
                self.largest = self.largest.max(capacity);
                if is_largest_somewhere(before, self.largest) && !before.fits_in(capacity) {
                    self.recompute_largest();
                }
            }
            None => {
                let (reserved, steps) = (Resources::ZERO, Vec::new());
                self.add_slot(Slot {
                    key,
                    capacity,
                    reserved,
                    usable,
                    ejected,
                    quality,
                    rack,
                    labels,
                    steps,
                });
                self.largest = self.largest.max(capacity);
            }
        }
    }

    /// Forgets a worker and its reservations. Returns whether it was known.
    pub fn remove(&mut self, key: WorkerKey) -> bool {
        let Some(position) = self.index.remove(&key) else { return false };
        self.remove_slot(position);
        self.recompute_largest();
        true
    }

    /// Reserves what a task of `step` needs on a worker. Accepted also beyond the capacity: an attempt
    /// may be found there that was placed before the worker's capacity shrank. Returns false, and changes
    /// nothing, if the worker isn't known.
    pub fn reserve(&mut self, key: WorkerKey, step: StepKey, need: Resources) -> bool {
        let Some(position) = self.index.get(&key).copied() else { return false };
        if self.slots[position].tasks_of(&step) == 0 {
            self.by_step.entry(step).or_default().push(key);
        }
        self.change(position, |slot| {
            slot.reserved = slot.reserved.plus(need);
            match slot.steps.iter_mut().find(|count| count.step == step) {
                Some(count) => count.tasks = count.tasks.saturating_add(1),
                None => slot.steps.push(StepCount { step, tasks: 1 }),
            }
        });
        true
    }

    /// Gives back what a task of `step` had reserved on a worker. Returns false, and changes nothing, if no
    /// task of the step has a reservation there, or nothing so large.
    pub fn release(&mut self, key: WorkerKey, step: StepKey, need: Resources) -> bool {
        let Some(position) = self.index.get(&key).copied() else { return false };
        let slot = &self.slots[position];
        let Some(step_position) = slot.steps.iter().position(|count| count.step == step) else {
            return false;
        };
        if !need.fits_in(slot.reserved) {
            return false;
        }
        self.shortages.get_mut().clear();
        self.change(position, |slot| {
            slot.reserved = slot.reserved.minus(need);
            slot.steps[step_position].tasks -= 1;
            if slot.steps[step_position].tasks == 0 {
                slot.steps.swap_remove(step_position);
            }
        });
        if self.slots[position].tasks_of(&step) == 0 {
            remove_key(&mut self.by_step, step, key);
        }
        true
    }

    /// What all workers that may take starts have together, ejected ones among them.
    pub fn total(&self) -> Resources {
        self.total
    }

    /// What is left on all workers that may take starts together, ejected ones among them.
    pub fn free(&self) -> Resources {
        self.free
    }

    /// What is left on one worker, if it is known.
    pub fn free_on(&self, key: WorkerKey) -> Option<Resources> {
        self.slot(key).map(Slot::free)
    }

    /// How many workers, and blocks of them, searches have examined since the last call of `take_examined_count`: the work
    /// that placement has done.
    pub fn examined_count(&self) -> u64 {
        self.examined_count.get()
    }

    /// As [`Fleet::examined_count`], and counts from zero again.
    pub fn take_examined_count(&self) -> u64 {
        self.examined_count.take()
    }

    /// The slots of all blocks that `may_hold` accepts; it is asked when the iteration reaches the block. Each block
    /// and each slot counts as examined once it is reached.
    pub(super) fn examine<'a>(
        &'a self,
        may_hold: impl Fn(&Block) -> bool + 'a,
    ) -> impl Iterator<Item = &'a Slot> + 'a {
        let blocks = self.blocks.iter().enumerate().inspect(|_| self.count_examined());
        let candidates = blocks.filter(move |(_, block)| may_hold(block));
        let slots = candidates.flat_map(|(number, _)| &self.slots[position_range(number, self.slots.len())]);
        slots.inspect(|_| self.count_examined())
    }

    /// Counts an examined worker or block.
    pub(super) fn count_examined(&self) {
        self.examined_count.set(self.examined_count.get() + 1);
    }

    /// How many workers are known.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no worker is known.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    pub(super) fn slot(&self, key: WorkerKey) -> Option<&Slot> {
        self.index.get(&key).map(|position| &self.slots[*position])
    }

    /// Finds the most that any worker has.
    fn recompute_largest(&mut self) {
        self.largest = self.blocks.iter().fold(Resources::ZERO, |most, block| most.max(block.largest));
    }

    /// Changes a slot and keeps the sums and the orders.
    fn change(&mut self, position: usize, change: impl FnOnce(&mut Slot)) {
        let slot = &mut self.slots[position];
        let before = sums(slot);
        self.orders.remove(position, slot);
        change(slot);
        self.orders.insert(position, slot);
        let after = sums(slot);
        self.ejected = self.ejected + after.ejected - before.ejected;
        self.total = self.total.minus(before.total).plus(after.total);
        self.free = self.free.minus(before.free).plus(after.free);
        debug_assert!(self.free.fits_in(self.total), "more is free than there is");
    }

    fn add_slot(&mut self, slot: Slot) {
        let sums = sums(&slot);
        self.ejected += sums.ejected;
        self.total = self.total.plus(sums.total);
        self.free = self.free.plus(sums.free);
        let position = self.slots.len();
        self.index.insert(slot.key, position);
        self.orders.insert(position, &slot);
        self.slots.push(slot);
        self.join_rack(position);
        self.update_block(position / BLOCK_SIZE);
    }

    /// Takes a slot out; the last one takes its position.
    fn remove_slot(&mut self, position: usize) {
        self.leave_rack(position);
        let last = self.slots.len() - 1;
        self.orders.remove(last, &self.slots[last]);
        if position < last {
            self.orders.remove(position, &self.slots[position]);
            self.orders.insert(position, &self.slots[last]);
        }
        let slot = self.slots.swap_remove(position);
        for count in &slot.steps {
            remove_key(&mut self.by_step, count.step, slot.key);
        }
        let sums = sums(&slot);
        self.ejected -= sums.ejected;
        self.total = self.total.minus(sums.total);
        self.free = self.free.minus(sums.free);
        if let Some(moved) = self.slots.get(position) {
            self.index.insert(moved.key, position);
            self.update_block(position / BLOCK_SIZE);
        }
        self.update_block(self.slots.len() / BLOCK_SIZE);
    }

    /// Whether any worker is ejected.
    pub(super) fn has_ejected(&self) -> bool {
        self.ejected > 0
    }

    /// Whether any worker ever was in this rack.
    pub fn knows_rack(&self, rack: &str) -> bool {
        self.racks.find(rack).is_some()
    }

    fn join_rack(&mut self, position: usize) {
        let slot = &self.slots[position];
        if let Some(rack) = slot.rack {
            self.by_rack.entry(rack).or_default().push(slot.key);
        }
    }

    fn leave_rack(&mut self, position: usize) {
        let slot = &self.slots[position];
        if let Some(rack) = slot.rack {
            remove_key(&mut self.by_rack, rack, slot.key);
        }
    }

    /// The workers of a rack, each counted as examined once it is reached.
    pub(super) fn rack_slots(&self, rack: Option<Symbol>) -> impl Iterator<Item = &Slot> {
        self.slots_of(rack.and_then(|rack| self.by_rack.get(&rack)))
    }

    /// The workers on which tasks of a step have a reservation, each counted as examined once it is reached.
    pub(super) fn step_slots(&self, step: &StepKey) -> impl Iterator<Item = &Slot> {
        self.slots_of(self.by_step.get(step))
    }

    fn slots_of<'a>(&'a self, keys: Option<&'a Vec<WorkerKey>>) -> impl Iterator<Item = &'a Slot> {
        let slots = keys.into_iter().flatten().filter_map(|key| self.slot(*key));
        slots.inspect(|_| self.count_examined())
    }

    /// The slot of an entry of the orders, counted as examined.
    pub(super) fn examine_position(&self, position: usize) -> &Slot {
        self.count_examined();
        &self.slots[position]
    }

    /// Computes a block from its slots; one without slots is dropped.
    fn update_block(&mut self, number: usize) {
        if first_of_block(number) >= self.slots.len() {
            self.blocks.truncate(number);
            return;
        }
        let block = Block::of(&self.slots[position_range(number, self.slots.len())]);
        match self.blocks.get_mut(number) {
            Some(current) => *current = block,
            None => self.blocks.push(block),
        }
    }
}

/// Takes a worker out of a list of workers, and the list out once it is empty.
fn remove_key<K: Ord>(lists: &mut BTreeMap<K, Vec<WorkerKey>>, of: K, key: WorkerKey) {
    let Some(keys) = lists.get_mut(&of) else { return };
    keys.retain(|other| *other != key);
    if keys.is_empty() {
        lists.remove(&of);
    }
}

/// Whether a capacity is the largest in any resource: without it the largest may be less.
fn is_largest_somewhere(capacity: Resources, largest: Resources) -> bool {
    capacity.cpu == largest.cpu || capacity.mem_mb == largest.mem_mb || capacity.gpu == largest.gpu
}

/// What a worker adds to the sums of the fleet.
struct Sums {
    total: Resources,
    free: Resources,
    ejected: usize,
}

fn sums(slot: &Slot) -> Sums {
    let ejected = usize::from(slot.ejected);
    if slot.may_take_starts() {
        Sums { total: slot.capacity, free: slot.free(), ejected }
    } else {
        Sums { total: Resources::ZERO, free: Resources::ZERO, ejected }
    }
}

/// A factor that can be compared: between 0 and 1.
fn clamped_factor(factor: f64) -> f64 {
    if factor.is_nan() {
        0.0
    } else {
        factor.clamp(0.0, 1.0)
    }
}
