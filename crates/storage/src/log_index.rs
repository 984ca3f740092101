//! In-memory index of the log. Holds the last index and the terms of the entries, not the entries themselves.

/// A run of entries with the same term. It starts at index `first` and ends before the next run.
#[derive(Debug, Clone, Copy)]
struct TermRun {
    first: u64,
    term: u64,
}

/// Last index and terms of the log.
#[derive(Debug, Default)]
pub(crate) struct LogIndex {
    last: u64,
    runs: Vec<TermRun>,
}

impl LogIndex {
    /// Index of the last entry, or of the snapshot if that is greater; 0 if there is neither.
    pub(crate) fn last(&self) -> u64 {
        self.last
    }

    /// Term of the entry at `index`; `None` if the log does not contain the entry.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index > self.last {
            return None;
        }
        let after = self.runs.partition_point(|run| run.first <= index);
        let run = self.runs.get(after.checked_sub(1)?)?;
        Some(run.term)
    }

    /// Adds the next entry.
    pub(crate) fn append(&mut self, index: u64, term: u64) {
        let same_term = self.runs.last().is_some_and(|run| run.term == term);
        if !same_term {
            self.runs.push(TermRun { first: index, term });
        }
        self.last = index;
    }

    /// Removes the entries from index `from` on.
    pub(crate) fn truncate(&mut self, from: u64) {
        self.runs.retain(|run| run.first < from);
        self.last = self.last.min(from.saturating_sub(1));
    }

    /// Removes the entries up to `index`, which a new snapshot covers.
    pub(crate) fn compact(&mut self, index: u64) {
        if self.last <= index {
            self.reset(index);
            return;
        }
        let after = self.runs.partition_point(|run| run.first <= index + 1);
        let dropped = after.saturating_sub(1);
        self.runs.drain(..dropped);
        if let Some(run) = self.runs.first_mut() {
            run.first = run.first.max(index + 1);
        }
    }

    /// Removes all entries. The log continues after `index`.
    pub(crate) fn reset(&mut self, index: u64) {
        self.runs.clear();
        self.last = index;
    }
}
