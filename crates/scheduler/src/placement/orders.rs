//! The workers that may take starts by what is free there, so that a search begins with those that have enough.

use std::collections::BTreeMap;

use super::resources::{Resources, RESOURCE_COUNT};
use super::slot::{Slot, Symbol};

/// What is free on a worker of one resource, and the position of its slot.
type Entry = (u64, usize);

/// The slots that may take starts, if only as the last resort: all of them, and those with each label.
#[derive(Clone, Debug, Default)]
pub(super) struct Orders {
    all: FreeOrders,
    by_label: BTreeMap<Symbol, FreeOrders>,
}

impl Orders {
    /// A slot is at this position now.
    pub(super) fn insert(&mut self, position: usize, slot: &Slot) {
        if !slot.may_take_starts() {
            return;
        }
        self.all.insert(position, slot);
        for label in &slot.labels {
            self.by_label.entry(*label).or_default().insert(position, slot);
        }
    }

    /// The slot at this position is to change, or goes.
    pub(super) fn remove(&mut self, position: usize, slot: &Slot) {
        if !slot.may_take_starts() {
            return;
        }
        self.all.remove(position, slot);
        for label in &slot.labels {
            if let Some(orders) = self.by_label.get_mut(label) {
                orders.remove(position, slot);
            }
        }
    }

    /// The slots with a label; without one, all. None if no slot has the label.
    pub(super) fn with_label(&self, label: Option<Symbol>) -> Option<&FreeOrders> {
        label.map_or(Some(&self.all), |label| self.by_label.get(&label))
    }
}

/// For each resource, slots by what is free of it.
#[derive(Clone, Debug, Default)]
pub(super) struct FreeOrders {
    by_resource: [Vec<Entry>; RESOURCE_COUNT],
}

impl FreeOrders {
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

    /// The slots that have at least `least` of a resource, those with the least of it first.
    pub(super) fn with_at_least(&self, resource: usize, least: u64) -> &[Entry] {
        let entries = &self.by_resource[resource];
        let first = entries.partition_point(|(free, _)| *free < least);
        &entries[first..]
    }

    /// The slots that have enough of the resource of which the fewest have enough for `need`.
    pub(super) fn fewest_with(&self, need: Resources) -> &[Entry] {
        let needs = need.amounts().into_iter().enumerate();
        let enough = needs.map(|(resource, least)| self.with_at_least(resource, least));
        enough.min_by_key(|entries| entries.len()).unwrap_or_default()
    }
}
