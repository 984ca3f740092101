//! Errors of the store.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// Error of a store operation. The store stays usable unless a variant says otherwise.
    ///
    /// `file` is the name of the affected file, `action` the attempted operation, and `offset` the position
    /// in the file in bytes.
    #[derive(Debug)]
    #[allow(missing_docs)] // The macro does not accept doc comments on fields.
    pub enum StorageError {
        /// The disk is full. The operation has no effect; a later attempt may succeed.
        Full { action: &'static str, file: String } {
            display("disk full while trying to {} {}: free space or raise the disk limit, then try again",
                action, file)
        }
        /// The disk reported another error. The operation has no effect while the store is open. After a
        /// restart, its changes may be found on the disk completely or in part, as after a power loss during
        /// the operation.
        Io { action: &'static str, file: String, error: io::Error } {
            display("cannot {} {}: {}; check the disk and its permissions, then try again",
                action, file, error)
            source(error)
        }
        /// Content that was durable is damaged.
        Corrupt { file: String, offset: u64, reason: &'static str } {
            display("{} is damaged at byte {} ({}): \
                remove this machine's data so that it joins as a new member",
                file, offset, reason)
        }
        /// A file that was durable is missing.
        Missing { file: String } {
            display("{} is missing: remove this machine's data so that it joins as a new member", file)
        }
        /// The batch does not continue the log. The next entry must have the index `expected`.
        OutOfOrder { expected: u64, found: u64 } {
            display("entry {} does not continue the log, which expects entry {}: \
                truncate the log first, or send the missing entries",
                found, expected)
        }
        /// The batch exceeds the maximum batch size.
        TooLarge { bytes: u64, limit: u64 } {
            display("a batch of {} bytes is over the limit of {}: split it", bytes, limit)
        }
    }
}

impl StorageError {
    /// Returns whether the operation failed because the disk is full.
    pub fn is_full(&self) -> bool {
        matches!(self, StorageError::Full { .. })
    }

    pub(crate) fn from_io(action: &'static str, file: &str, error: io::Error) -> Self {
        let file = file.to_owned();
        match error.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge => {
                StorageError::Full { action, file }
            }
            _ => StorageError::Io { action, file, error },
        }
    }

    pub(crate) fn corrupt(file: &str, offset: u64, reason: &'static str) -> Self {
        StorageError::Corrupt { file: file.to_owned(), offset, reason }
    }
}
