//! Merging of pending writes to the log into one write with one sync.

use storage::WriteBatch;

/// Number of entries from which a caller merges no further write into a batch.
pub const MAX_MERGED_ENTRIES: usize = 4_096;

/// Merges a later batch into `batch`. Writing the merged batch leaves the same log as writing both batches in
/// order.
pub fn merge_batch(batch: &mut WriteBatch, later: WriteBatch) {
    batch.hard_state = later.hard_state.or(batch.hard_state);
    if let Some(from) = later.truncate_from {
        let first = batch.entries.first().map(|entry| entry.index);
        batch.entries.retain(|entry| entry.index < from);
        if first.is_none_or(|first| from < first) {
            batch.truncate_from = Some(batch.truncate_from.map_or(from, |earlier| earlier.min(from)));
        }
    }
    batch.entries.extend(later.entries);
}
