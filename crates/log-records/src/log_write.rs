//! Pending writes to the store, and the rule for merging them into one write with one sync.

use crate::merge::{merge_batch, MAX_MERGED_ENTRIES};
use consensus::Snapshot;
use storage::{StoredSnapshot, WriteBatch};

/// A write to the store. Writes are executed in the order in which they were queued.
#[derive(Clone, Debug)]
pub enum LogWrite {
    /// Makes a change of the log durable.
    Change(LogChange),
    /// Saves a snapshot of this process's own state.
    Snapshot(Snapshot),
}

/// A change of the log that is to become durable.
#[derive(Clone, Debug)]
pub struct LogChange {
    /// Identifies the change. The ticket is reported once the change is durable.
    pub ticket: u64,
    /// Snapshot received from the leader. It is written before the batch.
    pub snapshot: Option<StoredSnapshot>,
    /// Hard state, truncation and entries to write.
    pub batch: WriteBatch,
}

impl LogChange {
    /// Merges the next queued write into this change. The merged change has the ticket of the later write.
    ///
    /// # Errors
    ///
    /// Returns `later` if it must be written separately: it is a snapshot, it contains a snapshot, or this
    /// change already has [`MAX_MERGED_ENTRIES`] entries.
    pub fn merge_next(&mut self, later: LogWrite) -> Result<(), LogWrite> {
        match later {
            LogWrite::Change(LogChange { ticket, snapshot: None, batch })
                if self.batch.entries.len() < MAX_MERGED_ENTRIES =>
            {
                merge_batch(&mut self.batch, batch);
                self.ticket = ticket;
                Ok(())
            }
            later => Err(later),
        }
    }
}
