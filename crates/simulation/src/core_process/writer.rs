//! The log writer. As in the control role's writer thread, one write is in progress at a time and waiting
//! writes are merged.

use std::collections::VecDeque;

use consensus::Snapshot;
use log_records::{snapshot_to_stored, LogChange, LogWrite};
use storage::model::ModelDirectory;
use storage::{StorageError, Store};

/// Result of a finished write.
#[derive(Debug)]
pub enum Written {
    /// All changes up to a ticket are durable.
    Log {
        /// The newest durable ticket.
        ticket: u64,
    },
    /// A snapshot of this process's own state is durable.
    Snapshot(Snapshot),
    /// The disk is full or failed; the same write is retried.
    Retry,
    /// The store failed for the given reason and cannot continue.
    Failed(String),
}

/// The queue of writes to a modelled disk.
pub struct Writer {
    store: Store<ModelDirectory>,
    directory: ModelDirectory,
    queue: VecDeque<LogWrite>,
    in_progress: Option<LogWrite>,
}

impl Writer {
    /// Creates a writer that owns the store.
    pub fn new(store: Store<ModelDirectory>, directory: ModelDirectory) -> Self {
        Writer { store, directory, queue: VecDeque::new(), in_progress: None }
    }

    /// Queues a write. Returns true if the disk was idle and starts this write now.
    pub fn push(&mut self, write: LogWrite) -> bool {
        self.queue.push_back(write);
        self.in_progress.is_none() && self.begin()
    }

    /// Starts the next write, merging waiting changes into it. Returns false if none waits.
    fn begin(&mut self) -> bool {
        let Some(mut first) = self.queue.pop_front() else { return false };
        if let LogWrite::Change(change) = &mut first {
            while let Some(next) = self.queue.pop_front() {
                if let Err(next) = change.merge_next(next) {
                    self.queue.push_front(next);
                    break;
                }
            }
        }
        self.in_progress = Some(first);
        true
    }

    /// Finishes the write in progress. Returns its result and whether another write starts.
    pub fn finish(&mut self) -> (Option<Written>, bool) {
        let Some(write) = self.in_progress.take() else { return (None, false) };
        match self.carry_out(&write) {
            Ok(()) => {
                let written = match write {
                    LogWrite::Change(LogChange { ticket, .. }) => Written::Log { ticket },
                    LogWrite::Snapshot(snapshot) => Written::Snapshot(snapshot),
                };
                let more = self.begin();
                (Some(written), more)
            }
            Err(StorageError::Full { .. } | StorageError::Io { .. }) => {
                self.in_progress = Some(write);
                (Some(Written::Retry), false)
            }
            Err(error) => (Some(Written::Failed(error.to_string())), false),
        }
    }

    fn carry_out(&mut self, write: &LogWrite) -> Result<(), StorageError> {
        match write {
            LogWrite::Change(LogChange { snapshot, batch, .. }) => {
                if let Some(snapshot) = snapshot {
                    self.store.save_snapshot(snapshot)?;
                }
                self.store.write(batch)
            }
            LogWrite::Snapshot(snapshot) => self.store.save_snapshot(&snapshot_to_stored(snapshot)),
        }
    }

    /// Interrupts the write in progress after the given number of disk operations, because the process dies.
    pub fn halt(&mut self, operations: u64) {
        if let Some(write) = self.in_progress.take() {
            self.directory.halt_after(operations);
            // The next start finds out whether the write was completed.
            let _ = self.carry_out(&write);
        }
    }
}
