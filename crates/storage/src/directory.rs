//! Abstraction of the directory in which a store keeps its files.

use std::io;

/// A flat directory of files.
///
/// File data is durable once [`Directory::sync`] has returned for the file. Created, renamed and removed
/// names are durable once [`Directory::sync_directory`] has returned.
pub trait Directory {
    /// An open file. The handle stays valid when the file is renamed.
    type File;

    /// Creates an empty file.
    ///
    /// # Errors
    ///
    /// `AlreadyExists` if a file with this name exists, otherwise the error that the disk reports.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Opens an existing file for [`append`](Directory::append).
    ///
    /// # Errors
    ///
    /// `NotFound` if the file does not exist, otherwise the error that the disk reports.
    fn open(&self, name: &str) -> io::Result<Self::File>;

    /// Reads the complete content of a file.
    ///
    /// # Errors
    ///
    /// `NotFound` if the file does not exist, otherwise the error that the disk reports.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Appends `bytes` to the file.
    ///
    /// # Errors
    ///
    /// The error that the disk reports. After an error, any part of the bytes may have been written.
    fn append(&self, file: &mut Self::File, bytes: &[u8]) -> io::Result<()>;

    /// Makes the content and the length of the file durable.
    ///
    /// # Errors
    ///
    /// The error that the disk reports. After an error, it is unknown which data is durable.
    fn sync(&self, file: &mut Self::File) -> io::Result<()>;

    /// Truncates the file to `length` bytes.
    ///
    /// # Errors
    ///
    /// The error that the disk reports.
    fn truncate(&self, file: &mut Self::File, length: u64) -> io::Result<()>;

    /// Renames the file `from` to `to`, replacing an existing file `to`.
    ///
    /// # Errors
    ///
    /// `NotFound` if the file does not exist, otherwise the error that the disk reports.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// `NotFound` if the file does not exist, otherwise the error that the disk reports.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Lists the names of all files, in no particular order.
    ///
    /// # Errors
    ///
    /// The error that the disk reports.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Makes the current names of all files durable.
    ///
    /// # Errors
    ///
    /// The error that the disk reports. After an error, it is unknown which names are durable.
    fn sync_directory(&self) -> io::Result<()>;
}
