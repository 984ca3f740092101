//! A directory in memory that can lose power, be full, fail to sync, and stop in the middle of an operation.
//!
//! The model is harsher than the real disk: a new name lasts only once the directory is synced, even if its file was.

mod inode;
mod state;

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::directory::Directory;
use crate::model::state::{Handle, State};

/// A modelled directory. Clones share it, so that a test can inject faults into the disk of an open store.
#[derive(Debug, Clone)]
pub struct ModelDirectory {
    state: Arc<Mutex<State>>,
}

/// An open file of a [`ModelDirectory`].
#[derive(Debug)]
pub struct ModelFile {
    handle: Handle,
}

impl ModelDirectory {
    /// An empty directory. `seed` determines what a loss of power loses.
    pub fn new(seed: u64) -> Self {
        ModelDirectory { state: Arc::new(Mutex::new(State::new(seed))) }
    }

    /// Loses power: each change that was not synced is kept, lost or torn, and open files become unusable.
    pub fn lose_power(&self) {
        self.lock().lose_power();
    }

    /// The process ends: all that was written stays, synced or not, and open files become unusable.
    pub fn kill(&self) {
        self.lock().kill();
    }

    /// After this many more operations that change anything, the next one stops in the middle, and it and all after it
    /// fail until [`lose_power`](Self::lose_power) or [`kill`](Self::kill).
    pub fn halt_after(&self, operations: u64) {
        self.lock().halt_after(operations);
    }

    /// Whether an operation was stopped by [`halt_after`](Self::halt_after).
    pub fn is_halted(&self) -> bool {
        self.lock().is_halted()
    }

    /// Operations so far that change anything, failed ones included.
    pub fn operations(&self) -> u64 {
        self.lock().operations()
    }

    /// Of the next syncs of files and of the directory, `successes` succeed, then `failures` fail.
    pub fn fail_syncs(&self, successes: u64, failures: u64) {
        self.lock().fail_syncs(successes, failures);
    }

    /// Limits the bytes of all files together; `None`: no limit.
    pub fn set_capacity(&self, capacity: Option<u64>) {
        self.lock().set_capacity(capacity);
    }

    /// Bytes of all files together.
    pub fn used_bytes(&self) -> u64 {
        self.lock().used_bytes()
    }

    /// Replaces the content of a file, durably: damage, or a prepared disk.
    pub fn overwrite(&self, name: &str, content: &[u8]) {
        self.lock().overwrite(name, content);
    }

    /// The disk is lost: the directory is empty.
    pub fn erase(&self) {
        self.lock().erase();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // A panic in another thread leaves no operation of the model incomplete.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Directory for ModelDirectory {
    type File = ModelFile;

    fn create(&self, name: &str) -> io::Result<ModelFile> {
        let handle = self.lock().create(name)?;
        Ok(ModelFile { handle })
    }

    fn open(&self, name: &str) -> io::Result<ModelFile> {
        let handle = self.lock().open(name)?;
        Ok(ModelFile { handle })
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.lock().read(name)
    }

    fn append(&self, file: &mut ModelFile, bytes: &[u8]) -> io::Result<()> {
        self.lock().append(file.handle, bytes)
    }

    fn sync(&self, file: &mut ModelFile) -> io::Result<()> {
        self.lock().sync(file.handle)
    }

    fn truncate(&self, file: &mut ModelFile, length: u64) -> io::Result<()> {
        self.lock().truncate(file.handle, length)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.lock().rename(from, to)
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.lock().remove(name)
    }

    fn list(&self) -> io::Result<Vec<String>> {
        self.lock().list()
    }

    fn sync_directory(&self) -> io::Result<()> {
        self.lock().sync_directory()
    }
}
