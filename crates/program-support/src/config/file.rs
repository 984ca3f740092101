//! Reads a configuration file as bytes, and parses its text.

use super::wrong::Errors;
use serde_json::Value;
use std::fs::{self, File, Metadata};
use std::io::Read;
use std::os::unix::fs::MetadataExt;
use std::path::Path;

/// The largest accepted file. A configuration may contain a list of several hundred servers; a longer file is
/// not a configuration.
const MAX_FILE_BYTES: u64 = 16 << 20;
/// How often a file is read until it does not change during the read.
const READ_ATTEMPTS: usize = 5;

/// The format of a file, determined by its extension.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileFormat {
    /// TOML, written by operators.
    Toml,
    /// JSON, written by the platform.
    Json,
}

impl FileFormat {
    /// Returns TOML if the name ends in `.toml`, else JSON.
    pub fn of(file: &Path) -> Self {
        if file.extension().is_some_and(|e| e.eq_ignore_ascii_case("toml")) {
            FileFormat::Toml
        } else {
            FileFormat::Json
        }
    }

    /// Parses a text in this format.
    ///
    /// # Errors
    ///
    /// The text is not valid in this format. A TOML error names its line.
    pub fn parse(self, text: &[u8]) -> Result<Value, Errors> {
        match self {
            FileFormat::Json => serde_json::from_slice(text).map_err(|e| Errors::single(e.to_string())),
            FileFormat::Toml => {
                let text =
                    std::str::from_utf8(text).map_err(|e| Errors::single(format!("not UTF-8: {e}")))?;
                // The parser's own error message has several lines with the line, column and position.
                toml::from_str(text).map_err(|e| {
                    let at = e.span().map_or(0, |span| span.start).min(text.len());
                    let line = text.as_bytes()[..at].iter().filter(|b| **b == b'\n').count() + 1;
                    Errors::single(format!("line {line}: {}", e.message()))
                })
            }
        }
    }
}

/// Reads a file that may be replaced during the read. A file that is rewritten in place is read again until
/// it no longer changes.
///
/// # Errors
///
/// The file cannot be read, is not a regular file, is longer than 16 MiB, or changes during each attempt.
pub fn read(path: &Path) -> Result<Vec<u8>, Errors> {
    let named = |e: std::io::Error| Errors::single(e.to_string()).in_file(path);
    let fingerprint = |m: &Metadata| (m.ino(), m.len(), m.mtime(), m.mtime_nsec());
    for _ in 0..READ_ATTEMPTS {
        let file = File::open(path).map_err(named)?;
        let before = file.metadata().map_err(named)?;
        if !before.is_file() {
            return Err(Errors::single("not a file").in_file(path));
        }
        if before.len() > MAX_FILE_BYTES {
            return Err(
                Errors::single(format!("{} bytes: {MAX_FILE_BYTES} at most", before.len())).in_file(path)
            );
        }
        let mut text = Vec::new();
        file.take(MAX_FILE_BYTES + 1).read_to_end(&mut text).map_err(named)?;
        let after = fs::metadata(path).map_err(named)?;
        if fingerprint(&before) == fingerprint(&after) && text.len() as u64 == after.len() {
            return Ok(text);
        }
    }
    Err(Errors::single("the file changes while it is read").in_file(path))
}
