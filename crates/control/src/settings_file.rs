//! Reads the settings file of the process.

use configuration::{ProcessSettings, SettingsError};
use quick_error::quick_error;
use std::fs;
use std::path::{Path, PathBuf};

quick_error! {
    /// Why the settings cannot be read.
    #[derive(Debug)]
    pub enum SettingsFileError {
        /// The file cannot be read.
        Io(path: PathBuf, error: std::io::Error) {
            display("the settings file {} cannot be read ({error}): see that it exists; the former settings stay in use", path.display())
        }
        /// The content of the file is invalid.
        Content(error: SettingsError) {
            from()
            display("{error}; the former settings stay in use")
        }
    }
}

/// Reads the settings in the file at `path`.
///
/// # Errors
///
/// Fails if the file cannot be read or its content is invalid.
pub fn read(path: &Path) -> Result<ProcessSettings, SettingsFileError> {
    let text = fs::read_to_string(path).map_err(|error| SettingsFileError::Io(path.to_owned(), error))?;
    Ok(ProcessSettings::read(&text)?)
}
