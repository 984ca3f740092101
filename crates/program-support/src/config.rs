//! Reads configuration files, in TOML or in the platform's JSON. All errors are reported at once, each with
//! the file, the key, the value and the expected value.
//!
//! The types of a program define its configuration. Their JSON schema is generated, and the content of a file
//! is checked against it before it is deserialized. The check supports the schema keywords that the generator
//! writes for such types. A complete JSON schema validator would add more code than the gateway itself has,
//! so it is used only in the tests, to verify this check.

mod check;
mod expectation;
mod file;
mod key_path;
mod merge;
mod schema;
mod wrong;

pub use check::{check, check_at, UnknownKeys};
pub use file::{read, FileFormat};
pub use merge::{differences, overlay};
pub use schema::schema;
pub use wrong::Errors;

use schemars::JsonSchema;
use serde_json::Value;
use std::path::{Path, PathBuf};

/// A loaded configuration.
pub struct Loaded<T> {
    /// The configuration in the types of the program.
    pub settings: T,
    /// The content of the file, on top of the defaults.
    pub value: Value,
}

/// Reads a TOML or JSON file into the types of a program, on top of `defaults` (TOML), and validates all of
/// it. Unknown keys are rejected, since these files are written by operators.
///
/// # Errors
///
/// The file cannot be read, or its content is invalid. Each message names the file.
pub fn load<T>(path: &Path, defaults: &str) -> Result<Loaded<T>, Errors>
where
    T: JsonSchema + serde::de::DeserializeOwned,
{
    let text = read(path)?;
    from_text(&text, FileFormat::of(path), defaults).map_err(|wrong| wrong.in_file(path))
}

/// Like [`load`], for the content of a file.
///
/// # Errors
///
/// All errors in the text.
pub fn from_text<T>(text: &[u8], form: FileFormat, defaults: &str) -> Result<Loaded<T>, Errors>
where
    T: JsonSchema + serde::de::DeserializeOwned,
{
    let mut value = FileFormat::Toml.parse(defaults.as_bytes())?;
    overlay(&mut value, form.parse(text)?);
    from_value(value)
}

/// Like [`load`], for a parsed file with the defaults already merged.
///
/// # Errors
///
/// All errors in the value.
pub fn from_value<T>(value: Value) -> Result<Loaded<T>, Errors>
where
    T: JsonSchema + serde::de::DeserializeOwned,
{
    check(&schema::<T>(), &value, UnknownKeys::Rejected)?;
    let settings = T::deserialize(&value).map_err(Errors::single)?;
    Ok(Loaded { settings, value })
}

/// Returns the path of the configuration file, from the command line (`argument`) or the environment
/// (`variable`).
///
/// # Errors
///
/// Both are set, to different paths.
pub fn configuration_path(argument: Option<PathBuf>, variable: &str) -> Result<Option<PathBuf>, Errors> {
    let from_environment = std::env::var_os(variable).filter(|v| !v.is_empty()).map(PathBuf::from);
    match (argument, from_environment) {
        (Some(a), Some(b)) if a != b => Err(Errors::single(format!(
            "two configurations are given: --config {} and {variable}={}; only one is allowed",
            a.display(),
            b.display()
        ))),
        (a, b) => Ok(a.or(b)),
    }
}

#[cfg(test)]
mod tests;
