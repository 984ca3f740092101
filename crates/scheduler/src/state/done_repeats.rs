//! Set of the repeats of a scheduled job that are done, stored as ranges because a job may have 100,000
//! repeats.

use std::collections::BTreeMap;

/// A set of repeats, stored as ranges that neither touch nor overlap.
#[derive(Debug, Default, Clone, PartialEq)]
pub(super) struct DoneRepeats {
    /// Maps the first repeat of a range to the repeat after its last.
    ranges: BTreeMap<u32, u32>,
    /// Number of repeats in all ranges.
    count: u32,
}

impl DoneRepeats {
    /// Whether `repeat` is in the set.
    pub(super) fn contains(&self, repeat: u32) -> bool {
        let before = self.ranges.range(..=repeat).next_back();
        before.is_some_and(|(_, end)| repeat < *end)
    }

    /// Number of repeats in the set.
    pub(super) fn count(&self) -> u32 {
        self.count
    }

    /// The first repeat from `repeat` on that is not in the set.
    pub(super) fn next_open(&self, repeat: u32) -> u32 {
        match self.ranges.range(..=repeat).next_back() {
            Some((_, end)) if repeat < *end => *end,
            _ => repeat,
        }
    }

    /// Adds `length` repeats from `start` on. None of them may be in the set.
    pub(super) fn insert(&mut self, start: u32, length: u32) {
        let Some(end) = start.checked_add(length) else { return };
        if length == 0 || self.contains(start) {
            return;
        }
        self.count = self.count.saturating_add(length);
        let end = self.ranges.remove(&end).unwrap_or(end);
        let joined = self.ranges.range_mut(..start).next_back().filter(|(_, before)| **before == start);
        match joined {
            Some((_, before)) => *before = end,
            None => {
                self.ranges.insert(start, end);
            }
        }
    }

    /// Start and length of each range, in ascending order.
    pub(super) fn ranges(&self) -> impl Iterator<Item = (u32, u32)> + '_ {
        self.ranges.iter().map(|(start, end)| (*start, end - start))
    }
}
