//! The log levels, under the names that settings and operators use.

use quick_error::quick_error;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use tracing_subscriber::filter::LevelFilter;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[allow(missing_docs)] // The names are the usual ones, and doc comments would change the printed schema.
pub enum Level {
    Off,
    Error,
    Warn,
    #[default]
    Info,
    Debug,
    Trace,
}

/// All levels by name, the least verbose first.
pub(super) const LEVELS: [(&str, Level); 6] = [
    ("off", Level::Off),
    ("error", Level::Error),
    ("warn", Level::Warn),
    ("info", Level::Info),
    ("debug", Level::Debug),
    ("trace", Level::Trace),
];

quick_error! {
    /// Why a text is not a level.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum LevelError {
        /// The text is not the name of a level.
        Unknown(text: String) {
            display("level is {text:?}: off, error, warn, info, debug or trace is wanted")
        }
    }
}

impl FromStr for Level {
    type Err = LevelError;

    fn from_str(text: &str) -> Result<Self, LevelError> {
        let known = LEVELS.iter().find(|(name, _)| *name == text);
        known.map(|(_, level)| *level).ok_or_else(|| LevelError::Unknown(text.to_string()))
    }
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = LEVELS.iter().find(|(_, level)| level == self).map_or("", |(name, _)| name);
        f.write_str(name)
    }
}

impl From<Level> for LevelFilter {
    fn from(level: Level) -> Self {
        match level {
            Level::Off => LevelFilter::OFF,
            Level::Error => LevelFilter::ERROR,
            Level::Warn => LevelFilter::WARN,
            Level::Info => LevelFilter::INFO,
            Level::Debug => LevelFilter::DEBUG,
            Level::Trace => LevelFilter::TRACE,
        }
    }
}
