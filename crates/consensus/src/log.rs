//! The entries of the log that are in memory.

use std::collections::VecDeque;

use crate::types::{Entry, Index, Payload, Term};

/// Entries after a base, which is the last entry that was compacted away (0 at first).
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    base_index: Index,
    base_term: Term,
    entries: VecDeque<Entry>,
}

impl Log {
    /// A log without entries after this base.
    pub fn new(base_index: Index, base_term: Term) -> Log {
        Log { base_index, base_term, entries: VecDeque::new() }
    }

    /// The last entry that was compacted away.
    pub fn base_index(&self) -> Index {
        self.base_index
    }

    pub fn last_index(&self) -> Index {
        self.base_index + self.entries.len() as u64
    }

    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// The entry's term; `None` before the base and after the end.
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

    /// Appends an entry; its index must follow the last.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push_back(entry);
    }

    /// Whether an entry in memory holds a command.
    pub fn has_command(&self) -> bool {
        self.entries.iter().any(|entry| matches!(entry.payload, Payload::Command(_)))
    }

    /// Drops entries from this index on.
    pub fn truncate_from(&mut self, index: Index) {
        let remaining = index.saturating_sub(self.base_index + 1);
        self.entries.truncate(usize::try_from(remaining).unwrap_or(usize::MAX));
    }

    /// The index up to which entries can be compacted if, up to `last`, this many of them and these bytes are retained.
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

    /// Drops entries up to this index, which must be in memory.
    pub fn compact_to(&mut self, index: Index) {
        let Some(term) = self.term_at(index) else { return };
        let dropped = (index - self.base_index) as usize;
        self.entries.drain(..dropped);
        self.base_index = index;
        self.base_term = term;
    }

    /// Copies of entries from this index on: at least one if there is one, then as many as fit in the bytes.
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

    /// Copies of the entries from `first` to `last`, both included.
    pub fn range(&self, first: Index, last: Index) -> Vec<Entry> {
        (first..=last).filter_map(|index| self.get(index).cloned()).collect()
    }

    /// The first entry of the run of equal terms that includes this index, not before `least`.
    pub fn first_of_term(&self, index: Index, least: Index) -> Index {
        let term = self.term_at(index);
        let mut first = index;
        while first > least && self.term_at(first - 1) == term {
            first -= 1;
        }
        first.max(least)
    }
}
