//! Registrations: what roll servers and operators send to a registry, and its answers.

use crate::list::Target;
use serde::{Deserialize, Serialize};

/// The path of registrations at a registry's address for registrars.
pub const REGISTRATIONS_PATH: &str = "/v1/registrations";

/// A server announces itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// Where it listens: address and port.
    pub endpoint: String,
    /// Its zone.
    #[serde(default)]
    pub az: String,
    /// Its kind of machine.
    #[serde(default)]
    pub model: String,
    /// Its cell.
    #[serde(default)]
    pub pod_group: u32,
    /// Its size beside others.
    #[serde(default = "one")]
    pub capacity_hint: f64,
    /// Its start, as Unix time in milliseconds: it tells starts of one server apart.
    pub boot_ms: u64,
    /// How long it is listed without a renewal.
    pub lease_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// All registrations, at one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Registrations {
    /// The version of the list.
    pub rev: u64,
    /// All entries of the list.
    pub registrations: Vec<Registration>,
}

/// An entry of the list and its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Registration {
    /// The entry.
    #[serde(flatten)]
    pub target: Target,
    /// The length of the lease.
    pub lease_ms: u64,
    /// What is left of the lease.
    pub lease_left_ms: u64,
}
