//! Writes that wait for the disk, and which of them become one write with one sync.

use crate::merge::{merge_batch, MAX_MERGED_ENTRIES};
use consensus::Snapshot;
use storage::{StoredSnapshot, WriteBatch};

/// A write to the store. Writes are carried out in the order in which they were queued.
#[derive(Clone, Debug)]
pub enum LogWrite {
    /// Make a change of the log durable.
    Change(LogChange),
    /// Save a snapshot of this process's own state.
    Snapshot(Snapshot),
}

/// A change of the log.
#[derive(Clone, Debug)]
pub struct LogChange {
    /// Reported once the change is durable.
    pub ticket: u64,
    /// A snapshot that came from the leader; it is written before the batch.
    pub snapshot: Option<StoredSnapshot>,
    /// The hard state and the entries.
    pub batch: WriteBatch,
}

impl LogChange {
    /// Merges the write that was queued next into this one, which then stands for both: its ticket is the later one.
    ///
    /// # Errors
    ///
    /// Gives `later` back if it must be a write of its own: it is or brings a snapshot, or this change has as many
    /// entries as one write may have.
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
