//! The status that a gateway reports at `/-/status` to operators and their tools.

use serde::{Deserialize, Serialize};

/// The status of a gateway. Tools can read the status of an older or newer gateway: missing fields get their
/// default values, unknown fields are ignored.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    /// The gateway's name, as configured.
    pub name: String,
    /// The version of the program.
    pub version: String,
    /// Milliseconds since the start of the process.
    pub uptime_ms: u64,
    /// Whether requests can be served.
    pub ready: bool,
    /// Whether an operator has put the gateway into draining, which sends clients away.
    pub draining: bool,
    /// Whether a new process has taken over from this one.
    pub successor: bool,
    /// Requests that were accepted and have not ended.
    pub outstanding: u64,
    /// The number of roll servers in the list.
    pub discovered: usize,
    /// The number of roll servers in the list that the gateway has ejected.
    pub ejected: usize,
    /// The names of roll servers that operators have disabled.
    pub out_by_hand: Vec<String>,
    /// The list in use.
    pub list: ListAge,
    /// The gateway's estimate of how full the roll servers are.
    pub fullness: Fullness,
    /// Latencies by class and outcome.
    pub latency: Vec<Latency>,
    /// The number of log lines that were lost.
    pub log_lost: u64,
}

/// The gateway's estimate of how full the roll servers are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Fullness {
    /// The share of the roll servers' capacity that the gateway uses; 1 while responses arrive in time.
    pub open: f64,
    /// The limit of attempts in flight; below 1 the gateway pauses between attempts.
    pub room: f64,
    /// Requests that wait for capacity.
    pub waiting: usize,
    /// The number of retries that may be sent now.
    pub repeats: f64,
}

/// The list in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ListAge {
    /// The version of the list, as numbered by discovery.
    pub version: u64,
    /// Milliseconds since discovery last sent the list or confirmed that there is none newer.
    pub age_ms: u64,
}

/// The outcome of a request for its client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RequestOutcome {
    /// The client received a response that it can use.
    Succeeded,
    /// The gateway rejected the request.
    Declined,
    /// The client received no response, or a failure.
    #[default]
    Aborted,
}

/// The latency of the requests of one class with one outcome, from the last byte of the request to the last
/// byte of its response.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Latency {
    /// The class of the requests.
    pub class: String,
    /// The outcome of the requests.
    pub outcome: RequestOutcome,
    /// The number of requests.
    pub count: u64,
    /// The median latency.
    pub p50_ms: f64,
    /// The 99th percentile of the latency.
    pub p99_ms: f64,
    /// The maximum latency.
    pub most_ms: f64,
}
