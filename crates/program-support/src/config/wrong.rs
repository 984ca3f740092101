//! What is wrong with a configuration, and with whatever else ends a program.

use std::fmt;
use std::path::Path;

/// What is wrong with a configuration, or ended a program: one line for each fault.
#[derive(Debug, PartialEq)]
pub struct Errors(pub Vec<String>);

impl Errors {
    /// One fault.
    pub fn single(what: impl fmt::Display) -> Self {
        Errors(vec![what.to_string()])
    }

    /// The same faults, each with the file's name.
    pub fn in_file(self, file: &Path) -> Self {
        Errors(self.0.into_iter().map(|what| format!("{}: {what}", file.display())).collect())
    }
}

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("\n"))
    }
}

impl std::error::Error for Errors {}
