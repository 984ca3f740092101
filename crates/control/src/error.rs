//! Errors that end the control role.

use crate::operator_api::ApiError;
use messages::FrameError;
use quick_error::quick_error;
use scheduler::state::SnapshotError;
use std::io;
use std::net::SocketAddr;
use storage::StorageError;

/// Kinds of I/O errors of the data directory that persist until the machine or its settings are changed.
const PERMANENT_KINDS: [io::ErrorKind; 4] = [
    io::ErrorKind::NotFound,
    io::ErrorKind::PermissionDenied,
    io::ErrorKind::NotADirectory,
    io::ErrorKind::ReadOnlyFilesystem,
];

quick_error! {
    /// Errors that end the process. The platform then starts the process again.
    #[derive(Debug)]
    pub enum ControlError {
        /// The settings have no data directory.
        NoDataDirectory {
            display("DataDir is not set: the control role keeps its state on a disk, run it on machines that have one")
        }
        /// The settings have no `Control` address.
        NoControlAddress {
            display("ListenAddrs.Control is not set: make the role serve control_plane in the deploy file")
        }
        /// The data directory cannot be used.
        DataDirectory(error: io::Error) {
            display("DataDir cannot be used ({error}): check that it exists and is writable")
        }
        /// The store failed in a way that a retry does not fix.
        Storage(error: StorageError) {
            from()
            display("{error}")
        }
        /// The stored log or snapshot cannot be decoded.
        Stored(error: FrameError) {
            display("the stored log cannot be read ({error}): run the version that wrote it, or clear DataDir so that the machine joins again under a new identity")
        }
        /// The state in a snapshot cannot be restored.
        Snapshot(index: u64, error: SnapshotError) {
            display("the snapshot at entry {index}: {error}")
        }
        /// The runtime cannot start.
        Runtime(error: io::Error) {
            display("the runtime cannot start ({error}): check the limits of file descriptors and threads")
        }
        /// The address for connections from peers cannot be bound.
        Listen(address: SocketAddr, error: io::Error) {
            display("cannot listen on {address} ({error}): check that PortRange is free on this machine")
        }
        /// The operator's API cannot be served.
        Api(error: ApiError) {
            from()
            display("{error}")
        }
    }
}

impl ControlError {
    /// Whether the error comes from the disk and may pass by itself, for example because the disk is full.
    pub fn is_transient(&self) -> bool {
        match self {
            ControlError::DataDirectory(error) | ControlError::Storage(StorageError::Io { error, .. }) => {
                !PERMANENT_KINDS.contains(&error.kind())
            }
            ControlError::Storage(error) => error.is_full(),
            _ => false,
        }
    }
}
