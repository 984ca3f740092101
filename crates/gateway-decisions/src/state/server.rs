//! The listed servers and what the gateway has learned about each.

use crate::interface::names::{Name, Time};
use crate::interface::servers::{Health, Node};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Connection limit of a server that has never refused a connection: larger than any number of file
/// descriptors.
pub(crate) const NO_CONNECTION_LIMIT: f64 = 1e9;

fn no_connection_limit() -> f64 {
    NO_CONNECTION_LIMIT
}

/// Servers by name. All choices among servers iterate in this order.
pub(crate) type Servers = BTreeMap<Name, Server>;

/// A count of observations and of the bad ones among them. Both decay, so that newer observations weigh more.
/// Serialized as a pair of numbers.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub(crate) struct DecayedRate {
    pub(crate) observations: f64,
    pub(crate) bad: f64,
}

impl From<(f64, f64)> for DecayedRate {
    fn from((observations, bad): (f64, f64)) -> Self {
        DecayedRate { observations, bad }
    }
}

impl From<DecayedRate> for (f64, f64) {
    fn from(rate: DecayedRate) -> Self {
        (rate.observations, rate.bad)
    }
}

/// A server of the list.
///
/// The serialized names are those of the first version, because the other process of this gateway may run any
/// version.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct Server {
    pub(crate) zone: u32,
    pub(crate) cell: u32,
    pub(crate) health: Health,
    /// Capacity relative to a standard server (1.0).
    pub(crate) rating: f64,
    /// Start of its process; 0 if it started long ago.
    #[serde(rename = "since")]
    pub(crate) started: Time,
    /// Attempts that this process has in flight at the server.
    #[serde(skip)]
    pub(crate) in_flight: u32,
    /// Whether the server is in this gateway's subset. Requests go to the subset while one of its servers can
    /// take them.
    #[serde(skip)]
    pub(crate) in_subset: bool,
    /// Attempts that the other process of this gateway has in flight at the server.
    #[serde(skip)]
    pub(crate) peer_in_flight: u32,
    /// Connections that this process has open to the server, as of the last end of an attempt.
    #[serde(skip)]
    pub(crate) open_connections: u32,
    /// Maximum number of this gateway's attempts in flight at the server. Timely answers raise it, rejections
    /// and late answers lower it.
    #[serde(rename = "room")]
    pub(crate) concurrency_limit: f64,
    #[serde(rename = "narrowed")]
    pub(crate) limit_lowered_at: Time,
    /// EWMA of the server's answer time divided by the mean answer time of the request's class.
    #[serde(rename = "slow")]
    pub(crate) slowness: f64,
    /// Rates of bad outcomes of recent attempts: first one per class (bad: the attempt failed), then one per
    /// plan (bad: rejected as full).
    #[serde(rename = "ends")]
    pub(crate) outcomes: Vec<DecayedRate>,
    /// Time up to which `outcomes` have decayed.
    #[serde(rename = "ended")]
    pub(crate) outcomes_at: Time,
    /// EWMA of the seconds that the server has needed per unit since its start.
    #[serde(rename = "pace")]
    pub(crate) seconds_per_unit: f64,
    /// Number of answers in `seconds_per_unit`.
    #[serde(rename = "paced")]
    pub(crate) pace_samples: u32,
    /// Time of the last answer. If an attempt was sent while none was in flight, the time of that attempt.
    #[serde(rename = "heard")]
    pub(crate) last_heard: Time,
    /// Number of this gateway's connections that the server can bear, learned from refused connections.
    #[serde(rename = "bears", default = "no_connection_limit")]
    pub(crate) connection_limit: f64,
    /// The connection limit last announced to the caller; 0 before the first announcement.
    #[serde(skip)]
    pub(crate) announced_connections: u32,
    /// Requests of other gateways at the server, as it last reported.
    #[serde(rename = "others")]
    pub(crate) reported_load: f64,
    /// Time of that report.
    #[serde(rename = "reported")]
    pub(crate) reported_at: Time,
}

impl Server {
    /// A server of which only the list entry is known. `outcomes` is the number of outcome rates to keep.
    pub(crate) fn new(node: &Node, concurrency_limit: f64, outcomes: usize, now: Time) -> Self {
        Server {
            zone: node.zone,
            cell: node.cell,
            health: node.health,
            rating: node.rating,
            started: node.since,
            in_flight: 0,
            in_subset: false,
            peer_in_flight: 0,
            open_connections: 0,
            concurrency_limit,
            limit_lowered_at: now,
            slowness: 1.0,
            outcomes: vec![DecayedRate::default(); outcomes],
            outcomes_at: now,
            seconds_per_unit: 0.0,
            pace_samples: 0,
            last_heard: now,
            connection_limit: NO_CONNECTION_LIMIT,
            announced_connections: 0,
            reported_load: 0.0,
            reported_at: 0,
        }
    }

    /// Discards what was learned about the process before its restart.
    pub(crate) fn reset_after_restart(&mut self, concurrency_limit: f64) {
        self.concurrency_limit = concurrency_limit;
        self.slowness = 1.0;
        self.pace_samples = 0;
        self.connection_limit = NO_CONNECTION_LIMIT;
        self.outcomes.fill(DecayedRate::default());
    }

    /// Attempts that both processes of this gateway have in flight at the server.
    pub(crate) fn gateway_in_flight(&self) -> f64 {
        f64::from(self.in_flight + self.peer_in_flight)
    }
}
