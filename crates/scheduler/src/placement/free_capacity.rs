//! Index of the workers that may take starts by free capacity, so that a search visits only workers with
//! enough of a resource.

use std::collections::BTreeMap;

use super::resources::{Resources, RESOURCE_COUNT};
use super::slot::{Slot, Symbol};

/// Free amount of one resource on a worker, and the position of the worker's slot.
type Entry = (u64, usize);

/// Index of the slots that may take starts, including those of ejected workers: all of them, and those with
/// each label.
#[derive(Clone, Debug, Default)]
pub(super) struct FreeCapacityIndex {
    all: SortedSlots,
    by_label: BTreeMap<Symbol, SortedSlots>,
}

impl FreeCapacityIndex {
    /// Adds a slot at a position.
    pub(super) fn insert(&mut self, position: usize, slot: &Slot) {
        if !slot.may_take_starts() {
            return;
        }
        self.all.insert(position, slot);
        for label in &slot.labels {
            self.by_label.entry(*label).or_default().insert(position, slot);
        }
    }

    /// Removes the slot at a position. The caller calls this before the slot changes.
    pub(super) fn remove(&mut self, position: usize, slot: &Slot) {
        if !slot.may_take_starts() {
            return;
        }
        self.all.remove(position, slot);
        for label in &slot.labels {
            if let Some(free_index) = self.by_label.get_mut(label) {
                free_index.remove(position, slot);
            }
        }
    }

    /// The slots with a label, or all slots if `label` is `None`. Returns `None` if no slot has ever had
    /// the label.
    pub(super) fn with_label(&self, label: Option<Symbol>) -> Option<&SortedSlots> {
        label.map_or(Some(&self.all), |label| self.by_label.get(&label))
    }
}

/// For each resource, the slots sorted by its free amount.
#[derive(Clone, Debug, Default)]
pub(super) struct SortedSlots {
    by_resource: [Vec<Entry>; RESOURCE_COUNT],
}

impl SortedSlots {
    fn insert(&mut self, position: usize, slot: &Slot) {
        for (entries, free) in self.by_resource.iter_mut().zip(slot.free().amounts()) {
            let at = entries.partition_point(|entry| *entry < (free, position));
            entries.insert(at, (free, position));
        }
    }

    fn remove(&mut self, position: usize, slot: &Slot) {
        for (entries, free) in self.by_resource.iter_mut().zip(slot.free().amounts()) {
            if let Ok(at) = entries.binary_search(&(free, position)) {
                entries.remove(at);
            }
        }
    }

    /// The slots with at least `least` free of a resource, by rising free amount.
    pub(super) fn with_at_least(&self, resource: usize, least: u64) -> &[Entry] {
        let entries = &self.by_resource[resource];
        let first = entries.partition_point(|(free, _)| *free < least);
        &entries[first..]
    }

    /// The slots with enough of one resource for `need`. The resource is the one of which the fewest slots
    /// have enough, so that the list is as short as possible.
    pub(super) fn fewest_candidates(&self, need: Resources) -> &[Entry] {
        let needs = need.amounts().into_iter().enumerate();
        let enough = needs.map(|(resource, least)| self.with_at_least(resource, least));
        enough.min_by_key(|entries| entries.len()).unwrap_or_default()
    }
}
