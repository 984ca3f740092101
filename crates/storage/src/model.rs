//! A directory in memory that simulates power loss, a full disk, failing syncs, and halts in the middle of an
//! operation.
//!
//! The model is stricter than a real disk: a new name is durable only once the directory is synced, even if
//! the file was synced before.

mod inode;
mod state;

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::directory::Directory;
use crate::model::state::{Handle, State};

/// A directory in memory. Clones share the same state, so that a test can inject faults into the disk of an
/// open store.
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
    /// Creates an empty directory. `seed` determines which changes a power loss keeps, loses or tears.
    pub fn new(seed: u64) -> Self {
        ModelDirectory { state: Arc::new(Mutex::new(State::new(seed))) }
    }

    /// Simulates a power loss: each change that was not synced is kept, lost or torn, and open files become
    /// unusable.
    pub fn lose_power(&self) {
        self.lock().lose_power();
    }

    /// Simulates the end of the process: all written data is kept, synced or not, and open files become
    /// unusable.
    pub fn kill(&self) {
        self.lock().kill();
    }

    /// Lets `operations` more changing operations complete and halts the next one in the middle. The halted
    /// operation and all later ones fail until [`lose_power`](Self::lose_power) or [`kill`](Self::kill) is
    /// called.
    pub fn halt_after(&self, operations: u64) {
        self.lock().halt_after(operations);
    }

    /// Returns whether [`halt_after`](Self::halt_after) has halted an operation.
    pub fn is_halted(&self) -> bool {
        self.lock().is_halted()
    }

    /// Number of changing operations so far, including failed ones.
    pub fn operations(&self) -> u64 {
        self.lock().operations()
    }

    /// Lets the next `successes` syncs of files or of the directory succeed and the following `failures`
    /// syncs fail.
    pub fn fail_syncs(&self, successes: u64, failures: u64) {
        self.lock().fail_syncs(successes, failures);
    }

    /// Limits the total size of all files to `capacity` bytes; `None` removes the limit.
    pub fn set_capacity(&self, capacity: Option<u64>) {
        self.lock().set_capacity(capacity);
    }

    /// Total size of all files in bytes.
    pub fn used_bytes(&self) -> u64 {
        self.lock().used_bytes()
    }

    /// Durably replaces the content of a file, to simulate damage or to prepare a disk.
    pub fn overwrite(&self, name: &str, content: &[u8]) {
        self.lock().overwrite(name, content);
    }

    /// Simulates the loss of the disk: the directory is empty afterwards.
    pub fn erase(&self) {
        self.lock().erase();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // The state is usable after a panic in another thread, because a panic leaves no operation
        // incomplete.
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
