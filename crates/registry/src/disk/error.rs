//! Errors when the list is opened from disk.

use quick_error::quick_error;
use std::io;
use std::path::PathBuf;

quick_error! {
    /// Why the stored files are not a valid list.
    #[derive(Debug)]
    pub enum ContentError {
        /// A record of the log is damaged in a way that a crash during a write cannot cause.
        LogDamaged(at: usize) {
            display("the log is damaged at byte {at}")
        }
        /// The payload of a log record is not a valid change, though its checksum is correct.
        LogRecord(at: usize, error: serde_json::Error) {
            display("the log at byte {at}: {error}")
        }
        /// The log lacks a version but contains later ones.
        VersionMissing(version: u64, at: usize) {
            display("the log lacks version {version} at byte {at}")
        }
        /// The checksum or length of the snapshot is wrong.
        SnapshotDamaged {
            display("the snapshot is damaged")
        }
        /// The snapshot is not a valid list, though its checksum is correct.
        Snapshot(error: serde_json::Error) {
            display("the snapshot: {error}")
        }
        /// The log has records but the snapshot is missing.
        NoSnapshot {
            display("there is a log but no snapshot")
        }
    }
}

quick_error! {
    /// Why the list cannot be opened from disk.
    #[derive(Debug)]
    pub enum DiskError {
        /// A file or the folder cannot be read or written.
        Io(path: PathBuf, error: io::Error) {
            display("{}: {error}", path.display())
        }
        /// The files in the folder are not a valid list.
        Content(dir: PathBuf, error: ContentError) {
            display("{}: {error}", dir.display())
        }
    }
}
