//! The workers that may take starts by what is free there, so that a search begins with those that have enough.

use super::fleet::Slot;
use super::resources::{Resources, RESOURCES};

/// What is free on a worker of one resource, and the position of its slot.
type Entry = (u64, usize);

/// For each resource, the slots that may take starts, if only as the last resort, by what is free of it.
#[derive(Clone, Debug, Default)]
pub(super) struct FreeOrders {
    by_resource: [Vec<Entry>; RESOURCES],
}

impl FreeOrders {
    /// A slot is at this position now.
    pub(super) fn insert(&mut self, position: usize, slot: &Slot) {
        if !slot.may_take_starts() {
            return;
        }
        for (entries, free) in self.by_resource.iter_mut().zip(slot.free().amounts()) {
            let at = entries.partition_point(|entry| *entry < (free, position));
            entries.insert(at, (free, position));
        }
    }

    /// The slot at this position is to change, or goes.
    pub(super) fn remove(&mut self, position: usize, slot: &Slot) {
        if !slot.may_take_starts() {
            return;
        }
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
