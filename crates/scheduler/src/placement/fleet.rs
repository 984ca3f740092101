//! The workers of one service and the capacity reserved on them.

use super::blocks::{block_start, slot_range, Block, SLOTS_PER_BLOCK};
use super::failed_searches::FailedSearches;
use super::free_capacity::FreeCapacityIndex;
use super::resources::Resources;
use super::slot::{Slot, StepCount, Symbol, Symbols, WorkerKey};
use crate::ids::StepKey;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};

/// Number of starts that one worker may have to confirm. This is enough to keep all order calls to the worker busy
/// during a commit, and bounds what the next leader finds in doubt.
const MAX_PENDING_STARTS: u32 = 32;
/// Number of starts that a worker which had reached the maximum has to confirm before it takes further ones.
const RESUMING_PENDING_STARTS: u32 = MAX_PENDING_STARTS / 2;

/// Upper bound of a worker's capacity. Larger values are clamped, so that sums over a fleet stay exact.
const MAX_CAPACITY: Resources = Resources { cpu: 1 << 40, mem_mb: 1 << 40, gpu: 1 << 40 };

/// Properties of a worker that placement uses.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerFacts {
    /// Total capacity for tasks.
    pub capacity: Resources,
    /// Labels that tasks can request by a constraint.
    pub labels: Vec<String>,
    /// The rack of the worker, if known.
    pub rack: Option<String>,
    /// The zone of the worker.
    pub zone: String,
    /// Whether the worker may take starts.
    pub usable: bool,
    /// Whether the worker is ejected as an outlier and would be usable otherwise. It may then take starts
    /// that no other worker can take.
    pub ejected: bool,
    /// Speed relative to other workers of its kind, 0 to 1: 1 is the usual speed, lower values are slower.
    pub pace: f64,
    /// Expected fraction of its attempts that succeed, 0 to 1.
    pub success_rate: f64,
}

/// The workers of one service, the capacity reserved on them, and totals over the workers that may take
/// starts, including ejected ones.
///
/// The totals, the indexes and the blocks always match the slots: every change of a slot goes through
/// `change_slot`, `add_slot` or `remove_slot`. Blocks do not depend on reservations. These functions also record
/// the workers that can take more than before, so that no capacity is given back without notice: whoever waits for
/// capacity is woken by [`Fleet::take_freed`] and [`Fleet::take_improved`].
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    pub(super) slots: Vec<Slot>,
    pub(super) labels: Symbols,
    pub(super) racks: Symbols,
    /// The largest capacity of any worker, for each resource separately.
    pub(super) largest: Resources,
    /// Whether the first candidate in the order of keys is chosen among workers of similar quality, instead
    /// of the one with the least capacity left over.
    pub(super) first_fit: bool,
    /// Upper bounds for each block of `SLOTS_PER_BLOCK` slots.
    blocks: Vec<Block>,
    /// Index of the slots by free capacity.
    pub(super) free_index: FreeCapacityIndex,
    /// The workers in each rack.
    by_rack: BTreeMap<Symbol, Vec<WorkerKey>>,
    /// The workers on which each step's tasks have reservations.
    by_step: BTreeMap<StepKey, Vec<WorkerKey>>,
    position_by_key: BTreeMap<WorkerKey, usize>,
    total: Resources,
    free: Resources,
    /// Number of ejected workers.
    ejected: usize,
    /// Searches that found no worker since capacity was last released or a worker last changed.
    pub(super) failed_searches: RefCell<FailedSearches>,
    /// Workers that can take more since `take_freed` was last called: capacity was released on them, or they may take
    /// starts that they could not take before.
    freed: BTreeSet<WorkerKey>,
    /// Those of them that are new, may take starts again, or have other properties than before.
    improved: BTreeSet<WorkerKey>,
    /// Number of slots and blocks examined by searches since the last call of `take_examined_count`.
    examined_count: Cell<u64>,
}

impl Fleet {
    /// Creates an empty fleet.
    pub fn new() -> Self {
        Fleet::default()
    }

    /// Creates an empty fleet in which the first candidate in the order of keys is chosen among workers of
    /// similar quality, instead of the one with the least capacity left over.
    pub fn first_fit() -> Self {
        Fleet { first_fit: true, ..Fleet::default() }
    }

    /// Adds a worker or updates its properties. Reservations are kept.
    pub fn upsert(&mut self, key: WorkerKey, facts: WorkerFacts) {
        self.failed_searches.get_mut().clear();
        let labels = facts.labels.iter().map(|label| self.labels.intern(label)).collect();
        let rack = facts.rack.as_deref().map(|rack| self.racks.intern(rack));
        let quality = clamped_factor(facts.pace) * clamped_factor(facts.success_rate);
        let (capacity, usable, ejected) = (facts.capacity.min(MAX_CAPACITY), facts.usable, facts.ejected);
        match self.position_by_key.get(&key).copied() {
            Some(position) => {
                let former = self.slots[position].clone();
                let before = former.capacity;
                self.remove_from_rack(position);
                self.change_slot(position, |slot| {
                    (slot.capacity, slot.quality) = (capacity, quality);
                    (slot.usable, slot.ejected) = (usable, ejected);
                    (slot.rack, slot.labels) = (rack, labels);
                });
                self.record_improvement(position, &former);
                self.add_to_rack(position);
                self.update_block(position / SLOTS_PER_BLOCK);
                self.largest = self.largest.max(capacity);
                if is_largest_in_any_resource(before, self.largest) && !before.fits_in(capacity) {
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
                    pending_starts: 0,
                    awaits_confirmations_since: None,
                });
                self.largest = self.largest.max(capacity);
            }
        }
    }

    /// Removes a worker and its reservations. Returns whether the worker was known.
    pub fn remove(&mut self, key: WorkerKey) -> bool {
        let Some(position) = self.position_by_key.remove(&key) else { return false };
        self.remove_slot(position);
        self.recompute_largest();
        true
    }

    /// Reserves `need` for a task of `step` on a worker. A reservation beyond the capacity is accepted too,
    /// because an attempt may have been placed before the worker's capacity shrank. Returns false and
    /// changes nothing if the worker is unknown.
    pub fn reserve(&mut self, key: WorkerKey, step: StepKey, need: Resources) -> bool {
        let Some(position) = self.position_by_key.get(&key).copied() else { return false };
        if self.slots[position].tasks_of(&step) == 0 {
            self.by_step.entry(step).or_default().push(key);
        }
        self.change_slot(position, |slot| {
            slot.reserved = slot.reserved.plus(need);
            match slot.steps.iter_mut().find(|count| count.step == step) {
                Some(count) => count.tasks = count.tasks.saturating_add(1),
                None => slot.steps.push(StepCount { step, tasks: 1 }),
            }
        });
        true
    }

    /// Releases `need`, which a task of `step` had reserved on a worker. Returns false and changes nothing
    /// if no task of the step has a reservation there or if less than `need` is reserved on the worker.
    pub fn release(&mut self, key: WorkerKey, step: StepKey, need: Resources) -> bool {
        let Some(position) = self.position_by_key.get(&key).copied() else { return false };
        let slot = &self.slots[position];
        let Some(step_position) = slot.steps.iter().position(|count| count.step == step) else {
            return false;
        };
        if !need.fits_in(slot.reserved) {
            return false;
        }
        self.failed_searches.get_mut().clear();
        self.change_slot(position, |slot| {
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

    /// Changes how much a step without an own task on the worker has reserved there, from `before` to `after`. Returns
    /// false and changes nothing if less than `before` is reserved on the worker.
    pub fn resize_reservation(&mut self, key: WorkerKey, before: Resources, after: Resources) -> bool {
        let Some(position) = self.position_by_key.get(&key).copied() else { return false };
        if !before.fits_in(self.slots[position].reserved) {
            return false;
        }
        self.failed_searches.get_mut().clear();
        self.change_slot(position, |slot| slot.reserved = slot.reserved.minus(before).plus(after));
        true
    }

    /// Takes the workers that can take more since this was last called: capacity was released on them, or they may
    /// take starts that they could not take before.
    pub fn take_freed(&mut self) -> BTreeSet<WorkerKey> {
        std::mem::take(&mut self.freed)
    }

    /// Takes the workers that are new, may take starts again, or have other properties since this was last called.
    pub fn take_improved(&mut self) -> BTreeSet<WorkerKey> {
        std::mem::take(&mut self.improved)
    }

    /// Whether any worker can take more since `take_freed` was last called.
    pub fn has_freed(&self) -> bool {
        !self.freed.is_empty()
    }

    /// Records that a start on a worker was decided. Once `MAX_PENDING_STARTS` are not confirmed, the worker takes no
    /// single task; gangs are placed as a whole and do not have this limit. `now` is compared with that of
    /// [`Fleet::packs_on_busy_worker`] only.
    pub fn start_pending(&mut self, key: WorkerKey, now: u64) {
        let Some(position) = self.position_by_key.get(&key).copied() else { return };
        let slot = &mut self.slots[position];
        slot.pending_starts += 1;
        if slot.pending_starts >= MAX_PENDING_STARTS {
            slot.awaits_confirmations_since.get_or_insert(now);
        }
    }

    /// Records that a start on a worker is confirmed, or will not take place. The worker takes further tasks once few
    /// starts are left to confirm.
    pub fn start_settled(&mut self, key: WorkerKey) {
        let Some(position) = self.position_by_key.get(&key).copied() else { return };
        let slot = &mut self.slots[position];
        slot.pending_starts = slot.pending_starts.saturating_sub(1);
        if slot.awaits_confirmations_since.is_none() || slot.pending_starts > RESUMING_PENDING_STARTS {
            return;
        }
        slot.awaits_confirmations_since = None;
        self.failed_searches.get_mut().clear();
        self.freed.insert(key);
    }

    /// Total capacity of all workers that may take starts, including ejected ones.
    pub fn total(&self) -> Resources {
        self.total
    }

    /// Free capacity of all workers that may take starts, including ejected ones.
    pub fn free(&self) -> Resources {
        self.free
    }

    /// Free capacity of one worker; `None` if the worker is unknown.
    pub fn free_on(&self, key: WorkerKey) -> Option<Resources> {
        self.slot(key).map(Slot::free)
    }

    /// Number of workers and blocks examined by searches since the last call of `take_examined_count`, a
    /// measure of the work that placement has done.
    pub fn examined_count(&self) -> u64 {
        self.examined_count.get()
    }

    /// Returns [`Fleet::examined_count`] and resets it to zero.
    pub fn take_examined_count(&self) -> u64 {
        self.examined_count.take()
    }

    /// Iterates over the slots of all blocks that `may_hold` accepts. The predicate is called when the
    /// iteration reaches the block. Each block and each slot counts as examined when it is reached.
    pub(super) fn examine<'a>(
        &'a self,
        may_hold: impl Fn(&Block) -> bool + 'a,
    ) -> impl Iterator<Item = &'a Slot> + 'a {
        let blocks = self.blocks.iter().enumerate().inspect(|_| self.count_examined());
        let candidates = blocks.filter(move |(_, block)| may_hold(block));
        let slots = candidates.flat_map(|(number, _)| &self.slots[slot_range(number, self.slots.len())]);
        slots.inspect(|_| self.count_examined())
    }

    /// Counts one examined worker or block.
    pub(super) fn count_examined(&self) {
        self.examined_count.set(self.examined_count.get() + 1);
    }

    /// Number of known workers.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether the fleet has no workers.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    pub(super) fn slot(&self, key: WorkerKey) -> Option<&Slot> {
        self.position_by_key.get(&key).map(|position| &self.slots[*position])
    }

    /// Recomputes the largest capacity of any worker from the blocks.
    fn recompute_largest(&mut self) {
        self.largest = self.blocks.iter().fold(Resources::ZERO, |most, block| most.max(block.largest));
    }

    /// Changes a slot and updates the totals and the index by free capacity.
    fn change_slot(&mut self, position: usize, change: impl FnOnce(&mut Slot)) {
        let slot = &mut self.slots[position];
        let (before, free_before) = (totals_of(slot), slot.free());
        self.free_index.remove(position, slot);
        change(slot);
        self.free_index.insert(position, slot);
        let after = totals_of(slot);
        if slot.may_take_starts() && !slot.free().fits_in(free_before) {
            self.freed.insert(slot.key);
        }
        self.ejected = self.ejected + after.ejected - before.ejected;
        self.total = self.total.minus(before.total).plus(after.total);
        self.free = self.free.minus(before.free).plus(after.free);
        debug_assert!(self.free.fits_in(self.total), "more is free than there is");
    }

    /// Records that a worker may take starts that it could not take before its properties changed.
    fn record_improvement(&mut self, position: usize, former: &Slot) {
        let slot = &self.slots[position];
        let may_start_again =
            (slot.usable && !former.usable) || (slot.may_take_starts() && !former.may_take_starts());
        let has_changed = !slot.capacity.fits_in(former.capacity)
            || slot.labels != former.labels
            || slot.rack != former.rack;
        if may_start_again || (slot.may_take_starts() && has_changed) {
            self.freed.insert(slot.key);
            self.improved.insert(slot.key);
        }
    }

    fn add_slot(&mut self, slot: Slot) {
        if slot.may_take_starts() {
            self.freed.insert(slot.key);
            self.improved.insert(slot.key);
        }
        let totals = totals_of(&slot);
        self.ejected += totals.ejected;
        self.total = self.total.plus(totals.total);
        self.free = self.free.plus(totals.free);
        let position = self.slots.len();
        self.position_by_key.insert(slot.key, position);
        self.free_index.insert(position, &slot);
        self.slots.push(slot);
        self.add_to_rack(position);
        self.update_block(position / SLOTS_PER_BLOCK);
    }

    /// Removes a slot. The last slot moves to its position.
    fn remove_slot(&mut self, position: usize) {
        self.remove_from_rack(position);
        let last = self.slots.len() - 1;
        self.free_index.remove(last, &self.slots[last]);
        if position < last {
            self.free_index.remove(position, &self.slots[position]);
            self.free_index.insert(position, &self.slots[last]);
        }
        let slot = self.slots.swap_remove(position);
        self.freed.remove(&slot.key);
        self.improved.remove(&slot.key);
        for count in &slot.steps {
            remove_key(&mut self.by_step, count.step, slot.key);
        }
        let totals = totals_of(&slot);
        self.ejected -= totals.ejected;
        self.total = self.total.minus(totals.total);
        self.free = self.free.minus(totals.free);
        if let Some(moved) = self.slots.get(position) {
            self.position_by_key.insert(moved.key, position);
            self.update_block(position / SLOTS_PER_BLOCK);
        }
        self.update_block(self.slots.len() / SLOTS_PER_BLOCK);
    }

    /// Whether at least one worker is ejected.
    pub(super) fn has_ejected(&self) -> bool {
        self.ejected > 0
    }

    /// Whether any worker was ever in this rack.
    pub fn knows_rack(&self, rack: &str) -> bool {
        self.racks.find(rack).is_some()
    }

    fn add_to_rack(&mut self, position: usize) {
        let slot = &self.slots[position];
        if let Some(rack) = slot.rack {
            self.by_rack.entry(rack).or_default().push(slot.key);
        }
    }

    fn remove_from_rack(&mut self, position: usize) {
        let slot = &self.slots[position];
        if let Some(rack) = slot.rack {
            remove_key(&mut self.by_rack, rack, slot.key);
        }
    }

    /// Iterates over the workers of a rack. Each one counts as examined when it is reached.
    pub(super) fn rack_slots(&self, rack: Option<Symbol>) -> impl Iterator<Item = &Slot> {
        self.slots_of(rack.and_then(|rack| self.by_rack.get(&rack)))
    }

    /// Iterates over the workers on which tasks of a step have reservations. Each one counts as examined
    /// when it is reached.
    pub(super) fn step_slots(&self, step: &StepKey) -> impl Iterator<Item = &Slot> {
        self.slots_of(self.by_step.get(step))
    }

    fn slots_of<'a>(&'a self, keys: Option<&'a Vec<WorkerKey>>) -> impl Iterator<Item = &'a Slot> {
        let slots = keys.into_iter().flatten().filter_map(|key| self.slot(*key));
        slots.inspect(|_| self.count_examined())
    }

    /// The slot at a position, counted as examined.
    pub(super) fn examine_slot(&self, position: usize) -> &Slot {
        self.count_examined();
        &self.slots[position]
    }

    /// Recomputes a block from its slots, or drops it if it has no slots.
    fn update_block(&mut self, number: usize) {
        if block_start(number) >= self.slots.len() {
            self.blocks.truncate(number);
            return;
        }
        let block = Block::of(&self.slots[slot_range(number, self.slots.len())]);
        match self.blocks.get_mut(number) {
            Some(current) => *current = block,
            None => self.blocks.push(block),
        }
    }
}

/// Removes a worker from the list under `of`, and removes the list once it is empty.
fn remove_key<K: Ord>(lists: &mut BTreeMap<K, Vec<WorkerKey>>, of: K, key: WorkerKey) {
    let Some(keys) = lists.get_mut(&of) else { return };
    keys.retain(|other| *other != key);
    if keys.is_empty() {
        lists.remove(&of);
    }
}

/// Whether a capacity equals the largest one in any resource, so that `largest` may shrink without it.
fn is_largest_in_any_resource(capacity: Resources, largest: Resources) -> bool {
    capacity.cpu == largest.cpu || capacity.mem_mb == largest.mem_mb || capacity.gpu == largest.gpu
}

/// The contribution of one worker to the totals of the fleet.
struct Totals {
    total: Resources,
    free: Resources,
    ejected: usize,
}

fn totals_of(slot: &Slot) -> Totals {
    let ejected = usize::from(slot.ejected);
    if slot.may_take_starts() {
        Totals { total: slot.capacity, free: slot.free(), ejected }
    } else {
        Totals { total: Resources::ZERO, free: Resources::ZERO, ejected }
    }
}

/// Clamps a factor to the range 0 to 1; NaN becomes 0.
fn clamped_factor(factor: f64) -> f64 {
    if factor.is_nan() {
        0.0
    } else {
        factor.clamp(0.0, 1.0)
    }
}
