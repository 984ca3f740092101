//! A gateway's status, as it reports it at `/-/status` for people and their tools.

use serde::{Deserialize, Serialize};

/// The status of a gateway. Tools also read that of an older or newer one: fields that are missing have their defaults,
/// unknown ones are ignored.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    /// The gateway's name, as configured.
    pub name: String,
    /// The version of the program.
    pub version: String,
    /// Since the start of the process.
    pub uptime_ms: u64,
    /// Whether requests can be served.
    pub ready: bool,
    /// Whether operators have clients sent away.
    pub draining: bool,
    /// Whether a new process has taken over.
    pub successor: bool,
    /// Requests taken but not ended.
    pub outstanding: u64,
    /// Roll servers in the list.
    pub discovered: usize,
    /// Roll servers in the list that are avoided.
    pub ejected: usize,
    /// The names of roll servers that operators have disabled.
    pub out_by_hand: Vec<String>,
    /// The list in use.
    pub list: ListAge,
    /// How full the roll servers look to the gateway.
    pub fullness: Fullness,
    /// Latencies by class and outcome.
    pub latency: Vec<Latency>,
    /// Lines of the log that were lost.
    pub log_lost: u64,
}

/// How full the roll servers look to the gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Fullness {
    /// The part of the capacity of roll servers that is used: 1 while answers are in time.
    pub open: f64,
    /// Attempts that may be in flight at once; below 1 the gateway pauses between two.
    pub room: f64,
    /// Requests that wait for capacity.
    pub waiting: usize,
    /// Retries that may be sent now.
    pub repeats: f64,
}

/// The list in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ListAge {
    /// The version, as discovery numbers it.
    pub version: u64,
    /// Since discovery last sent it or had nothing newer.
    pub age_ms: u64,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RequestOutcome {
    /// With an answer that the client can use.
    Succeeded,
    /// With a rejection by the gateway.
    Declined,
    /// Without an answer, or with a failure.
    #[default]
    Aborted,
}

/// How long requests of a class took that ended so, from their last byte to the last of their answer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Latency {
    /// The class of the requests.
    pub class: String,
    /// How they ended.
    pub outcome: RequestOutcome,
    /// How many they were.
    pub count: u64,
    /// The median.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The maximum.
    pub most_ms: f64,
}
