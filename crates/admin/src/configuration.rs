//! The history of accepted configurations.

use serde::{Deserialize, Serialize};

/// One accepted configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ConfigurationVersion {
    /// The `Version` of the configuration.
    pub version: u64,
    /// The version that it was built on; 0 for the first one.
    pub builds_on: u64,
    /// FNV-1a hash of its bytes, 128 bits in hex.
    pub digest: String,
}

/// All accepted configurations that are kept.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ConfigurationHistory {
    /// In the order of their acceptance; the last one is in force.
    pub versions: Vec<ConfigurationVersion>,
}
