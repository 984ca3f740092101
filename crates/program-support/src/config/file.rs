//! Reading a configuration file as bytes, and its text as a value.

use super::wrong::Errors;
use serde_json::Value;
use std::fs::{self, File, Metadata};
use std::io::Read;
use std::os::unix::fs::MetadataExt;
use std::path::Path;

/// The longest file, in bytes. A configuration may hold a list of some hundred servers; what is longer is no configuration.
const MAX_LENGTH: u64 = 16 << 20;
/// How often a file that changes under the reader is read again.
const READ_ATTEMPTS: usize = 5;

/// The form of a file, by the end of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileFormat {
    /// TOML, as staff write it.
    Toml,
    /// JSON, as the platform writes it.
    Json,
}

impl FileFormat {
    /// TOML if the name ends in `.toml`, else JSON.
    pub fn of(file: &Path) -> Self {
        if file.extension().is_some_and(|e| e.eq_ignore_ascii_case("toml")) {
            FileFormat::Toml
        } else {
            FileFormat::Json
        }
    }

    /// What the text says, in whichever form.
    ///
    /// # Errors
    ///
    /// The text is not of this form; a fault of TOML names its line.
    pub fn parse(self, text: &[u8]) -> Result<Value, Errors> {
        match self {
            FileFormat::Json => serde_json::from_slice(text).map_err(|e| Errors::single(e.to_string())),
            FileFormat::Toml => {
                let text =
                    std::str::from_utf8(text).map_err(|e| Errors::single(format!("not UTF-8: {e}")))?;
                // The parser's own error draws line, column and position on several lines: one line says it here.
                toml::from_str(text).map_err(|e| {
                    let at = e.span().map_or(0, |span| span.start).min(text.len());
                    let line = text.as_bytes()[..at].iter().filter(|b| **b == b'\n').count() + 1;
                    Errors::single(format!("line {line}: {}", e.message()))
                })
            }
        }
    }
}

/// Reads a file that may be replaced meanwhile. One that is written anew in place is read again until it no
/// longer changes.
///
/// # Errors
///
/// It cannot be read, is no file, is longer than 16 MiB, or changes at each attempt.
pub fn read(path: &Path) -> Result<Vec<u8>, Errors> {
    let named = |e: std::io::Error| Errors::single(e.to_string()).in_file(path);
    let state = |m: &Metadata| (m.ino(), m.len(), m.mtime(), m.mtime_nsec());
    for _ in 0..READ_ATTEMPTS {
        let file = File::open(path).map_err(named)?;
        let before = file.metadata().map_err(named)?;
        if !before.is_file() {
            return Err(Errors::single("not a file").in_file(path));
        }
        if before.len() > MAX_LENGTH {
            return Err(Errors::single(format!("{} bytes: {MAX_LENGTH} at most", before.len())).in_file(path));
        }
        let mut text = Vec::new();
        file.take(MAX_LENGTH + 1).read_to_end(&mut text).map_err(named)?;
        let after = fs::metadata(path).map_err(named)?;
        if state(&before) == state(&after) && text.len() as u64 == after.len() {
            return Ok(text);
        }
    }
    Err(Errors::single("it changes while it is read").in_file(path))
}
