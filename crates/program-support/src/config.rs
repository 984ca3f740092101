//! Reading a configuration: TOML, or the platform's JSON. All faults are reported at once, each with file, key, value
//! and what is wanted there.
//!
//! The types of a program say what its configuration holds; their JSON schema is generated, and what a file says is
//! checked against it before it is read into the types. The keywords used are those that the generator writes for
//! such types. Rejected for the programs, and used as the judge in the tests: a complete validator of JSON schema,
//! which brings more code than the gateway itself.

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

/// A configuration as a program reads it.
pub struct Loaded<T> {
    /// The program's types.
    pub settings: T,
    /// What the file said, with the defaults under it.
    pub value: Value,
}

/// Reads a TOML or JSON file into the program's types, on top of `defaults`, and checks all of it. For files that staff
/// write: unknown keys are rejected.
///
/// # Errors
///
/// The file cannot be read, or holds faults; each is named with the file.
pub fn load<T>(path: &Path, defaults: &str) -> Result<Loaded<T>, Errors>
where
    T: JsonSchema + serde::de::DeserializeOwned,
{
    let text = read(path)?;
    from_text(&text, FileFormat::of(path), defaults).map_err(|wrong| wrong.in_file(path))
}

/// As [`load`], of a text.
///
/// # Errors
///
/// The faults of the text.
pub fn from_text<T>(text: &[u8], form: FileFormat, defaults: &str) -> Result<Loaded<T>, Errors>
where
    T: JsonSchema + serde::de::DeserializeOwned,
{
    let mut value = FileFormat::Toml.parse(defaults.as_bytes())?;
    overlay(&mut value, form.parse(text)?);
    from_value(value)
}

/// As [`load`], of what a text says.
///
/// # Errors
///
/// The faults of the value.
pub fn from_value<T>(value: Value) -> Result<Loaded<T>, Errors>
where
    T: JsonSchema + serde::de::DeserializeOwned,
{
    check(&schema::<T>(), &value, UnknownKeys::Rejected)?;
    let settings = T::deserialize(&value).map_err(Errors::single)?;
    Ok(Loaded { settings, value })
}

/// The one file that holds the configuration, of those that the command line and the environment name.
///
/// # Errors
///
/// Both name one, and not the same.
pub fn configuration_path(argument: Option<PathBuf>, variable: &str) -> Result<Option<PathBuf>, Errors> {
    let from_environment = std::env::var_os(variable).filter(|v| !v.is_empty()).map(PathBuf::from);
    match (argument, from_environment) {
        (Some(a), Some(b)) if a != b => Err(Errors::single(format!(
            "two configurations are given: --config {} and {variable}={}; one is wanted",
            a.display(),
            b.display()
        ))),
        (a, b) => Ok(a.or(b)),
    }
}

#[cfg(test)]
mod tests;
