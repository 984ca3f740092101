//! Durable log of a replicated state machine.
//!
//! The store keeps log entries and the hard state in segment files, snapshots in files beside them, and the
//! identity of the node that owns the disk.
//!
//! [`Store::open`] recovers the state on the disk. [`Store::write`] appends a batch and returns once the
//! batch is synced. [`Store::save_snapshot`] replaces the log up to an index. The store accesses the disk
//! through the [`Directory`] trait: [`FileDirectory`] implements it for a directory of the operating system,
//! [`model::ModelDirectory`] for a directory in memory that can simulate a power loss.
//!
//! Assumptions about the disk: file data is durable once the file is synced, and the creation, renaming or
//! removal of a file is durable once the directory is synced. If power is lost earlier, each write may be
//! found complete, missing or torn, and each name change may be found done or undone, independently of the
//! others.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod codec;
mod directory;
mod error;
mod file_directory;
mod identity;
mod inspect;
mod log_index;
pub mod model;
mod names;
mod record;
mod recovery;
mod replay;
mod segment;
mod segment_set;
mod snapshot;
mod store;
mod types;

pub use directory::Directory;
pub use error::StorageError;
pub use file_directory::FileDirectory;
pub use inspect::{inspect, FileContent, InspectedFile, InspectedLog, Inspection, SegmentHealth};
pub use store::Store;
pub use types::{HardState, Identity, Recovered, StoreOptions, StoredEntry, StoredSnapshot, WriteBatch};
