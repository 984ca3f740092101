//! Checks whether a valid configuration may replace the current one.

use quick_error::quick_error;

use crate::operator_configuration::OperatorConfiguration;

quick_error! {
    /// Why a configuration may not replace the current one.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum VersionError {
        /// The configuration builds on another version than the current one, or on none.
        NotCurrent(builds_on: Option<u64>, current: u64) {
            display(
                "the configuration builds on version {}, but {current} is current: read it, and send the change on top of it with If-Match: {current}",
                builds_on.map_or_else(|| "(none)".to_owned(), |version| version.to_string())
            )
        }
        /// The version is not greater than the current one.
        NotNewer(version: u64, current: u64) {
            display("Version {version} does not exceed the current version {current}: choose a higher number")
        }
        /// The `If-Match` header is not a version.
        BadIfMatch {
            display("If-Match must be the number of the version built on (0 for the first): correct the header")
        }
    }
}

impl OperatorConfiguration {
    /// Checks that this configuration may replace version `current` (0: no configuration yet). `builds_on` is
    /// the version in the `If-Match` header. The caller must handle an exact repeat of the current
    /// configuration before.
    ///
    /// # Errors
    ///
    /// If the configuration does not build on the current version, or its own version is not greater.
    pub fn check_against(&self, current: u64, builds_on: Option<u64>) -> Result<(), VersionError> {
        if builds_on != Some(current) {
            return Err(VersionError::NotCurrent(builds_on, current));
        }
        if self.version() <= current {
            return Err(VersionError::NotNewer(self.version(), current));
        }
        Ok(())
    }
}

/// Parses the value of an `If-Match` header: a version, with or without quotes.
///
/// # Errors
///
/// If the value is not a version.
pub fn parse_if_match(value: &str) -> Result<u64, VersionError> {
    let value = value.trim();
    let quoted = value.strip_prefix('"').and_then(|inner| inner.strip_suffix('"'));
    let digits = quoted.unwrap_or(value);
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(VersionError::BadIfMatch);
    }
    digits.parse().map_err(|_| VersionError::BadIfMatch)
}
