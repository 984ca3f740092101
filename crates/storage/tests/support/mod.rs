//! Helpers shared by the tests: temporary directories and constructors of batches.
#![allow(dead_code)] // each test file uses only a part of the helpers

pub mod script;

use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use storage::model::ModelDirectory;
use storage::{
    Directory, FileDirectory, HardState, Recovered, StorageError, Store, StoreOptions, StoredEntry,
    StoredSnapshot, WriteBatch,
};

/// Options with small segments, so that a few entries fill a segment.
pub const SMALL: StoreOptions = StoreOptions { segment_bytes: 300 };

/// A directory that a test can open repeatedly.
pub trait Fixture {
    type Directory: Directory;

    fn new() -> Self;

    fn directory(&self) -> Self::Directory;
}

/// A temporary directory of the operating system.
pub struct FileFixture {
    path: PathBuf,
}

impl Fixture for FileFixture {
    type Directory = FileDirectory;

    fn new() -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("storage-test-{}-{number}", std::process::id());
        FileFixture { path: std::env::temp_dir().join(name) }
    }

    fn directory(&self) -> FileDirectory {
        FileDirectory::new(&self.path).expect("temporary directory")
    }
}

impl Drop for FileFixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

/// A simulated directory.
pub struct ModelFixture {
    pub disk: ModelDirectory,
}

impl Fixture for ModelFixture {
    type Directory = ModelDirectory;

    fn new() -> Self {
        ModelFixture { disk: ModelDirectory::new(1) }
    }

    fn directory(&self) -> ModelDirectory {
        self.disk.clone()
    }
}

pub fn open<D: Directory>(directory: D) -> (Store<D>, Recovered) {
    Store::open(directory, SMALL).expect("store opens")
}

pub fn open_error<D: Directory>(directory: D) -> StorageError {
    match Store::open(directory, SMALL) {
        Ok(_) => panic!("the store opened without an error"),
        Err(error) => error,
    }
}

pub fn entry(index: u64, term: u64) -> StoredEntry {
    let payload = format!("payload of {index} in {term}").into_bytes();
    StoredEntry { index, term, kind: (index % 3) as u8, payload }
}

pub fn entries(indexes: std::ops::RangeInclusive<u64>, term: u64) -> Vec<StoredEntry> {
    indexes.map(|index| entry(index, term)).collect()
}

pub fn append(indexes: std::ops::RangeInclusive<u64>, term: u64) -> WriteBatch {
    WriteBatch { entries: entries(indexes, term), ..WriteBatch::default() }
}

pub fn vote(term: u64, vote: Option<u64>) -> WriteBatch {
    WriteBatch { hard_state: Some(HardState { term, vote }), ..WriteBatch::default() }
}

pub fn snapshot(index: u64, term: u64) -> StoredSnapshot {
    let data = format!("state after {index}, ").repeat(8).into_bytes();
    StoredSnapshot { index, term, membership: vec![1, 2, 3], data: Arc::new(data) }
}

/// Returns the sorted names of all files.
pub fn names<D: Directory>(directory: &D) -> Vec<String> {
    let mut names = directory.list().expect("list");
    names.sort();
    names
}

/// Returns the names of the segment files, oldest first.
pub fn segments<D: Directory>(directory: &D) -> Vec<String> {
    names(directory).into_iter().filter(|name| name.starts_with("segment-")).collect()
}

/// Replaces the content of a file durably.
pub fn rewrite<D: Directory>(directory: &D, name: &str, content: &[u8]) {
    directory.remove(name).expect("remove");
    let mut file = directory.create(name).expect("create");
    directory.append(&mut file, content).expect("append");
    directory.sync(&mut file).expect("sync");
    directory.sync_directory().expect("sync the directory");
}

/// Flips one bit of the byte at `offset`.
pub fn damage<D: Directory>(directory: &D, name: &str, offset: usize) {
    let mut content = directory.read(name).expect("read");
    content[offset] ^= 0x10;
    rewrite(directory, name, &content);
}
