//! The part of the log that is kept in memory.

use std::collections::VecDeque;

use crate::types::{Entry, Index, Payload, Term};

/// The log entries after the base. The base is the last compacted entry, or index 0 if nothing has been
/// compacted.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    base_index: Index,
    base_term: Term,
    entries: VecDeque<Entry>,
}

impl Log {
    /// Creates a log with this base and no entries.
    pub fn new(base_index: Index, base_term: Term) -> Log {
        Log { base_index, base_term, entries: VecDeque::new() }
    }

    /// Index of the last compacted entry.
    pub fn base_index(&self) -> Index {
        self.base_index
    }

    pub fn last_index(&self) -> Index {
        self.base_index + self.entries.len() as u64
    }

    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Returns the term of an entry, or `None` before the base and after the last entry.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Appends an entry. Its index must be the last index plus 1.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push_back(entry);
    }

    /// Whether any entry in memory contains a command.
    pub fn has_command(&self) -> bool {
        self.entries.iter().any(|entry| matches!(entry.payload, Payload::Command(_)))
    }

    /// Removes the entries from this index on.
    pub fn truncate_from(&mut self, index: Index) {
        let remaining = index.saturating_sub(self.base_index + 1);
        self.entries.truncate(usize::try_from(remaining).unwrap_or(usize::MAX));
    }

    /// Returns the index up to which entries can be compacted such that, of the entries up to `last`, the
    /// newest `retained_entries` stay, but no more than fit in `retained_bytes`.
    pub fn compaction_point(&self, last: Index, retained_entries: u64, retained_bytes: usize) -> Index {
        let earliest = last.saturating_sub(retained_entries).max(self.base_index);
        let mut point = last.min(self.last_index());
        let mut bytes = 0;
        while point > earliest {
            bytes += self.get(point).map_or(0, Entry::size);
            if bytes > retained_bytes {
                break;
            }
            point -= 1;
        }
        point
    }

    /// Removes the entries up to and including this index, which must be in memory.
    pub fn compact_to(&mut self, index: Index) {
        let Some(term) = self.term_at(index) else { return };
        let dropped = (index - self.base_index) as usize;
        self.entries.drain(..dropped);
        self.base_index = index;
        self.base_term = term;
    }

    /// Returns copies of the entries from this index on that fit in `max_bytes`, but at least one entry if
    /// there is one.
    pub fn batch(&self, from: Index, max_bytes: usize) -> Vec<Entry> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        let mut index = from;
        while let Some(entry) = self.get(index) {
            bytes += entry.size();
            if bytes > max_bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
            index += 1;
        }
        batch
    }

    /// Returns copies of the entries from `first` to `last`, inclusive.
    pub fn range(&self, first: Index, last: Index) -> Vec<Entry> {
        (first..=last).filter_map(|index| self.get(index).cloned()).collect()
    }

    /// Returns the first index, but not below `least`, from which on all entries up to `index` have the same
    /// term.
    pub fn first_of_term(&self, index: Index, least: Index) -> Index {
        let term = self.term_at(index);
        let mut first = index;
        while first > least && self.term_at(first - 1) == term {
            first -= 1;
        }
        first.max(least)
    }
}
