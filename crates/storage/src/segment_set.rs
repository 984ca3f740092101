//! The segments of a store, and the selection of those that a snapshot makes obsolete.

use crate::names;

/// A segment on the disk.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SegmentInfo {
    pub number: u64,
    /// Number of bytes that are durable and belong to the log.
    pub bytes: u64,
    /// Last index of the log when the segment was started. Older segments contain no entries after it.
    pub last_index_before: u64,
}

impl SegmentInfo {
    /// Name of the segment file.
    pub(crate) fn name(&self) -> String {
        names::segment(self.number)
    }
}

/// The segments that the log needs: the active segment, to which batches are appended, and older ones. The
/// segment numbers are contiguous.
#[derive(Debug)]
pub(crate) struct SegmentSet {
    /// In ascending order of numbers.
    older: Vec<SegmentInfo>,
    active: SegmentInfo,
}

impl SegmentSet {
    /// Creates a set with only the active segment.
    pub(crate) fn new(active: SegmentInfo) -> Self {
        SegmentSet { older: Vec::new(), active }
    }

    /// Makes `next` the active segment.
    pub(crate) fn push(&mut self, next: SegmentInfo) {
        let previous = std::mem::replace(&mut self.active, next);
        self.older.push(previous);
    }

    /// The segment to which batches are appended.
    pub(crate) fn active(&self) -> SegmentInfo {
        self.active
    }

    /// Adds the size of an appended batch to the active segment.
    pub(crate) fn grow(&mut self, bytes: u64) {
        self.active.bytes += bytes;
    }

    /// Number of the first segment that is needed to read the log after a snapshot up to `index`.
    pub(crate) fn first_needed_after(&self, index: u64) -> u64 {
        let mut newest_first = std::iter::once(&self.active).chain(self.older.iter().rev());
        let needed = newest_first.find(|segment| segment.last_index_before <= index);
        // The oldest segment starts at the previous snapshot or earlier.
        needed.or(self.older.first()).unwrap_or(&self.active).number
    }

    /// Removes and returns the segments with a number lower than `number`.
    pub(crate) fn drop_before(&mut self, number: u64) -> Vec<SegmentInfo> {
        let dropped = self.older.partition_point(|segment| segment.number < number);
        self.older.drain(..dropped).collect()
    }

    /// Total size of all segments in bytes.
    pub(crate) fn bytes(&self) -> u64 {
        let older: u64 = self.older.iter().map(|segment| segment.bytes).sum();
        older + self.active.bytes
    }
}
