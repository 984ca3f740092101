//! The state that a process of a gateway hands over to its successor.

use crate::interface::names::{Name, Time};
use crate::state::customer::Customer;
use crate::state::server::Servers;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Everything that a successor process needs to continue: what the gateway has learned, and its customers'
/// quotas. Times are on the clock that both processes read.
///
/// The serialized names are those of the first version, because the other process may run any version.
#[derive(Clone, Serialize, Deserialize)]
pub struct Snapshot {
    #[serde(rename = "born")]
    pub(crate) started: Time,
    pub(crate) servers: Servers,
    #[serde(rename = "banned")]
    pub(crate) disabled: BTreeSet<Name>,
    #[serde(rename = "put_back")]
    pub(crate) enabled_at: BTreeMap<Name, Time>,
    pub(crate) customers: BTreeMap<Name, Customer>,
    pub(crate) mean_units: f64,
    #[serde(rename = "usual")]
    pub(crate) mean_answer_seconds: Vec<f64>,
    #[serde(rename = "open")]
    pub(crate) open_share: f64,
    #[serde(rename = "hold")]
    pub(crate) mean_attempt_seconds: f64,
    #[serde(rename = "others")]
    pub(crate) mean_reported_load: f64,
    #[serde(rename = "calm")]
    pub(crate) unloaded_seconds_per_unit: f64,
}

impl std::fmt::Debug for Snapshot {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "snapshot of {} servers and {} customers", self.servers.len(), self.customers.len())
    }
}

impl Snapshot {
    /// Servers that operators have disabled.
    pub fn disabled(&self) -> impl Iterator<Item = &Name> {
        self.disabled.iter()
    }
}
