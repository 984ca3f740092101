//! What a play shows.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// The figures of one play, of requests that came after the uncounted start. A client that asks again makes a new request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub scenario: String,
    pub seed: u64,
    pub requests: u64,
    /// Served within the class's aim, and later but within the client's time.
    pub on_time: u64,
    pub late: u64,
    pub refused: u64,
    /// Refused though at least half of the customer's quota was there.
    pub refused_with_room: u64,
    pub failed: u64,
    /// Requests that were sent, and those of them beyond the customer's quota.
    #[serde(default)]
    pub passed: u64,
    #[serde(default)]
    pub beyond: u64,
    /// Left by their client, or lost with their gateway.
    pub gone: u64,
    /// The worth of what was served in time, as a part of what was asked within quotas.
    pub worth: f64,
    pub attempts: u64,
    /// Attempts that ended without an answer in time: silence, or no connection.
    pub late_ends: u64,
    /// Attempts that were turned away.
    pub turned_away: u64,
    /// Attempts to another zone than the gateway's.
    pub crossings: u64,
    /// New connections to servers.
    pub connections: u64,
    /// Servers that were pushed over while cold.
    pub fallen: u64,
    /// Work that served no answer, as a part of all work.
    pub wasted: f64,
    /// Times of what was served, in milliseconds.
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// Of each second: requests that came, and those of them that were served in time.
    pub seconds: Vec<[u32; 2]>,
    /// At the end of each second: the work that all servers can do which want something new, in warm cores, and the part
    /// of it in use.
    pub cores: Vec<[f64; 2]>,
    /// Events that were played, the uncounted start with them.
    pub events: u64,
}

/// Times up to ten minutes, to three digits.
pub(crate) fn times() -> Histogram<u64> {
    // The bounds are good ones.
    Histogram::new_with_bounds(1, 600_000_000, 3).unwrap_or_else(|e| unreachable!("{e}"))
}
