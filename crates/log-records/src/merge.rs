//! Merging of pending writes of the log into one write with one sync.

use storage::WriteBatch;

/// Limit of entries that the callers merge into one write.
pub const MAX_MERGED_ENTRIES: usize = 4_096;

/// Merges a later write into an earlier one, so that writing the result leaves the log that writing both would.
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
