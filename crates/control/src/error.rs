//! Errors that end the control role.

use crate::operator_api::ApiError;
use messages::FrameError;
use quick_error::quick_error;
use scheduler::state::SnapshotError;
use std::io;
use std::net::SocketAddr;
use storage::StorageError;

/// Kinds of errors of the data folder that last until somebody changes the machine or its settings.
const LASTING_KINDS: [io::ErrorKind; 4] = [
    io::ErrorKind::NotFound,
    io::ErrorKind::PermissionDenied,
    io::ErrorKind::NotADirectory,
    io::ErrorKind::ReadOnlyFilesystem,
];

quick_error! {
    /// Errors that end the process. The platform starts it again.
    #[derive(Debug)]
    pub enum ControlError {
        /// The settings give no folder.
        NoDataDirectory {
            display("DataDir is not set: the control role keeps its state on a disk, run it on machines that have one")
        }
        /// The settings give no `Control` address.
        NoControlAddress {
            display("ListenAddrs.Control is not set: let the role serve control_plane in the deploy file")
        }
        /// The folder cannot be used.
        DataDirectory(error: io::Error) {
            display("DataDir cannot be used ({error}): see that it exists and can be written to")
        }
        /// The store failed in a way that a retry does not repair.
        Storage(error: StorageError) {
            from()
            display("{error}")
        }
        /// The stored log or snapshot cannot be decoded.
        Stored(error: FrameError) {
            display("the stored log cannot be read ({error}): run the version that wrote it, or clear DataDir so that the machine joins anew")
        }
        /// The state in a snapshot cannot be restored.
        Snapshot(index: u64, error: SnapshotError) {
            display("the snapshot at entry {index}: {error}")
        }
        /// The runtime cannot start.
        Runtime(error: io::Error) {
            display("the runtime cannot start ({error}): see whether descriptors or threads run out")
        }
        /// The address for peers is not free.
        Listen(address: SocketAddr, error: io::Error) {
            display("cannot listen on {address} ({error}): see that PortRange is free on this machine")
        }
        /// The operator's API cannot be served.
        Api(error: ApiError) {
            from()
            display("{error}")
        }
    }
}

impl ControlError {
    /// Whether the disk refuses something that it may allow a moment later, as when it is full.
    pub fn may_pass(&self) -> bool {
        match self {
            ControlError::DataDirectory(error) | ControlError::Storage(StorageError::Io { error, .. }) => {
                !LASTING_KINDS.contains(&error.kind())
            }
            ControlError::Storage(error) => error.is_full(),
            _ => false,
        }
    }
}
