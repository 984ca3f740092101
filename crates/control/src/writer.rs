//! The thread that writes and syncs the log, so that a slow disk delays no message.

use crate::error::ControlError;
use consensus::Snapshot;
use log_records::{snapshot_to_stored, LogChange, LogWrite};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use storage::{FileDirectory, StorageError, Store};
use tokio::sync::mpsc::UnboundedSender;

/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// A result of the writer thread.
#[derive(Debug)]
pub enum Written {
    /// All changes of the log up to this ticket are durable.
    Log {
        /// Ticket of the newest durable change.
        ticket: u64,
    },
    /// A snapshot of this process's own state is durable.
    Snapshot(Snapshot),
    /// The store failed in a way that a retry does not fix.
    Failed(StorageError),
}

/// Handle of the writer thread.
///
/// Writes are executed and reported (`Written`) in order. Dropping the handle waits until all queued writes
/// are done, or until a failed write would be retried.
pub struct Writer {
    writes: Option<Sender<LogWrite>>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread; it owns the store until the writer is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the operating system cannot start a thread.
    pub fn start(
        store: Store<FileDirectory>,
        written: UnboundedSender<Written>,
    ) -> Result<Self, ControlError> {
        let (writes, queue) = mpsc::channel();
        let worker = WriterThread { store, queue, written, next: None };
        let thread = thread::Builder::new().name("log-writer".to_owned()).spawn(move || worker.run());
        let thread = thread.map_err(ControlError::Runtime)?;
        Ok(Writer { writes: Some(writes), thread: Some(thread) })
    }

    /// Queues a write.
    pub fn push(&self, write: LogWrite) {
        let sent = self.writes.as_ref().map(|writes| writes.send(write));
        if !matches!(sent, Some(Ok(()))) {
            log::error!("the log writer thread has ended: restart the process");
        }
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        drop(self.writes.take());
        if let Some(thread) = self.thread.take() {
            if thread.join().is_err() {
                log::error!("the log writer thread has panicked");
            }
        }
    }
}

/// The driver or the process is stopping.
struct Stopped;

struct WriterThread {
    store: Store<FileDirectory>,
    queue: Receiver<LogWrite>,
    written: UnboundedSender<Written>,
    /// A received write that could not be merged with the write before it.
    next: Option<LogWrite>,
}

impl WriterThread {
    fn run(mut self) {
        while let Some(write) = self.receive() {
            let result = match write {
                LogWrite::Change(change) => self.write_change(change),
                LogWrite::Snapshot(snapshot) => self.save_own_snapshot(snapshot),
            };
            if result.is_err() {
                return;
            }
        }
    }

    fn receive(&mut self) -> Option<LogWrite> {
        self.next.take().or_else(|| self.queue.recv().ok())
    }

    /// Writes a change together with those queued behind it, with a single sync. A snapshot from the leader
    /// is saved first, so that changes queued meanwhile are merged too.
    fn write_change(&mut self, mut change: LogChange) -> Result<(), Stopped> {
        if let Some(snapshot) = &change.snapshot {
            self.persist(|store| store.save_snapshot(snapshot))?;
        }
        while let Ok(later) = self.queue.try_recv() {
            if let Err(later) = change.merge_next(later) {
                self.next = Some(later);
                break;
            }
        }
        self.persist(|store| store.write(&change.batch))?;
        self.report(Written::Log { ticket: change.ticket })
    }

    fn save_own_snapshot(&mut self, snapshot: Snapshot) -> Result<(), Stopped> {
        let stored = snapshot_to_stored(&snapshot);
        self.persist(|store| store.save_snapshot(&stored))?;
        self.report(Written::Snapshot(snapshot))
    }

    /// Executes a write, and retries until it succeeds. Until then nothing is reported as durable, and the
    /// group continues without this disk.
    fn persist(
        &mut self,
        mut write: impl FnMut(&mut Store<FileDirectory>) -> Result<(), StorageError>,
    ) -> Result<(), Stopped> {
        loop {
            match write(&mut self.store) {
                Ok(()) => return Ok(()),
                Err(error @ (StorageError::Full { .. } | StorageError::Io { .. })) => {
                    log::error!("{error}");
                    self.wait_before_retry()?;
                }
                Err(error) => {
                    self.report(Written::Failed(error))?;
                    return Err(Stopped);
                }
            }
        }
    }

    /// Waits for the retry delay. Fails if the process is stopping.
    fn wait_before_retry(&self) -> Result<(), Stopped> {
        if self.written.is_closed() {
            return Err(Stopped);
        }
        thread::sleep(RETRY_DELAY);
        Ok(())
    }

    fn report(&self, written: Written) -> Result<(), Stopped> {
        self.written.send(written).map_err(|_| Stopped)
    }
}
