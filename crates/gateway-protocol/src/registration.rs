//! Registrations: the requests that roll servers and operators send to a registry, and the registry's
//! responses.

use crate::list::Target;
use serde::{Deserialize, Serialize};

/// The URL path of registrations at the registry's address for registrars.
pub const REGISTRATIONS_PATH: &str = "/v1/registrations";

/// The body with which a server registers itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// Address and port on which the server listens.
    pub endpoint: String,
    /// The zone of the server.
    #[serde(default)]
    pub az: String,
    /// The machine model.
    #[serde(default)]
    pub model: String,
    /// The cell of the server.
    #[serde(default)]
    pub pod_group: u32,
    /// The capacity of the server relative to other servers.
    #[serde(default = "one")]
    pub capacity_hint: f64,
    /// The start time of the server, as Unix time in milliseconds. Identifies the incarnation of the server.
    pub boot_ms: u64,
    /// The length of the lease: how long the server stays listed without a renewal.
    pub lease_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// All registrations at one version of the list.
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
    /// The remaining time of the lease; 0 if the lease has expired.
    pub lease_left_ms: u64,
}
