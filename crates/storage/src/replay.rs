//! Rebuilds the log from the records of the segments.

use crate::log_index::LogIndex;
use crate::record::Record;
use crate::segment_set::{SegmentInfo, SegmentSet};
use crate::types::{HardState, StoredEntry};

/// State of the log after the records replayed so far.
pub(crate) struct Replay {
    snapshot_index: u64,
    pub hard_state: HardState,
    /// Entries after the snapshot.
    pub entries: Vec<StoredEntry>,
    pub log: LogIndex,
    /// Segments read so far; `None` before the first segment.
    pub segments: Option<SegmentSet>,
}

impl Replay {
    /// Starts from a snapshot up to `snapshot_index`; 0 if there is no snapshot.
    pub(crate) fn new(snapshot_index: u64) -> Self {
        let mut log = LogIndex::default();
        log.reset(snapshot_index);
        Replay { snapshot_index, hard_state: HardState::default(), entries: Vec::new(), log, segments: None }
    }

    /// Continues with the next segment.
    pub(crate) fn begin_segment(&mut self, number: u64, bytes: u64) {
        let segment = SegmentInfo { number, bytes, last_index_before: self.log.last() };
        match &mut self.segments {
            Some(segments) => segments.push(segment),
            None => self.segments = Some(SegmentSet::new(segment)),
        }
    }

    /// Applies a record. The error is the reason why the record cannot follow the previous ones.
    pub(crate) fn apply(&mut self, record: Record) -> Result<(), &'static str> {
        match record {
            Record::HardState(state) => self.hard_state = state,
            Record::Truncation(from) => self.truncate(from),
            Record::Entry(entry) => return self.append(entry),
        }
        Ok(())
    }

    fn truncate(&mut self, from: u64) {
        let first = self.snapshot_index.saturating_add(1);
        let from = from.max(first);
        self.log.truncate(from);
        let remaining = usize::try_from(from - first).unwrap_or(usize::MAX);
        self.entries.truncate(remaining);
    }

    fn append(&mut self, entry: StoredEntry) -> Result<(), &'static str> {
        if entry.index <= self.snapshot_index {
            return Ok(());
        }
        if entry.index != self.log.last().saturating_add(1) {
            return Err("entry does not follow the previous one");
        }
        self.log.append(entry.index, entry.term);
        self.entries.push(entry);
        Ok(())
    }
}
