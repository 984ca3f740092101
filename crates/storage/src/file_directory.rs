//! Implementation of [`Directory`] for a directory of the operating system.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crate::directory::Directory;

/// A directory of the operating system.
#[derive(Debug)]
pub struct FileDirectory {
    path: PathBuf,
    /// Handle of the directory itself, used to sync file names.
    handle: File,
}

impl FileDirectory {
    /// Opens the directory, and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// The error that the operating system reports.
    pub fn new(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        Self::existing(path)
    }

    /// Opens an existing directory.
    ///
    /// # Errors
    ///
    /// The error that the operating system reports.
    pub fn existing(path: &Path) -> io::Result<Self> {
        let handle = File::open(path)?;
        Ok(FileDirectory { path: path.to_owned(), handle })
    }
}

impl Directory for FileDirectory {
    type File = File;

    fn create(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().append(true).create_new(true).open(self.path.join(name))
    }

    fn open(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().append(true).open(self.path.join(name))
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn append(&self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }

    fn sync(&self, file: &mut File) -> io::Result<()> {
        file.sync_data()
    }

    fn truncate(&self, file: &mut File, length: u64) -> io::Result<()> {
        file.set_len(length)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            // Names that are not UTF-8 cannot belong to the store.
            if let Ok(name) = entry?.file_name().into_string() {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn sync_directory(&self) -> io::Result<()> {
        self.handle.sync_all()
    }
}
