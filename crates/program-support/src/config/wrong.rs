//! Error messages about a configuration, or about anything else that ends a program.

use std::fmt;
use std::path::Path;

/// One or more error messages about a configuration, or about what ended a program. Each message is one line.
#[derive(Debug, PartialEq)]
pub struct Errors(pub Vec<String>);

impl Errors {
    /// A single error.
    pub fn single(what: impl fmt::Display) -> Self {
        Errors(vec![what.to_string()])
    }

    /// Prefixes each message with the path of the file.
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
