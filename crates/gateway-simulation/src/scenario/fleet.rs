//! The fleet: gateways, servers, the network between them and the list of servers.

use crate::scenario::defaults::one;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Gateways {
    #[schemars(range(min = 1, max = 2000))]
    pub count: u32,
    /// How many of them are in each zone, as weights; evenly without it.
    #[serde(default)]
    #[schemars(length(max = 32))]
    pub weights: Vec<u32>,
    /// The least time between two rounds of decisions.
    #[serde(default = "tick")]
    #[schemars(range(min = 0.01, max = 1000.0))]
    pub tick_ms: f64,
    /// The most attempts of one request.
    #[serde(default = "tries")]
    #[schemars(range(min = 1, max = 5))]
    pub tries: u32,
}

fn tick() -> f64 {
    2.0
}

fn tries() -> u32 {
    3
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Servers {
    #[schemars(range(min = 1, max = 2000))]
    pub count: u32,
    /// Requests that a server works on at once.
    #[schemars(range(min = 1, max = 256))]
    pub cores: u32,
    /// Requests that may wait there; what comes beyond is turned away.
    #[serde(default = "waiting")]
    #[schemars(range(max = 100_000))]
    pub waiting: u32,
    /// How long a start takes to be warm, and the part of its capacity that it begins with.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 3600.0))]
    pub cold_s: f64,
    #[serde(default = "one")]
    #[schemars(range(min = 0.01, max = 1.0))]
    pub cold_from: f64,
    /// A cold server that is sent more than this multiple of its capacity over so long falls over.
    #[serde(default = "multiple")]
    #[schemars(range(min = 1.0, max = 1000.0))]
    pub fall_multiple: f64,
    #[serde(default = "fall")]
    #[schemars(range(min = 0.01, max = 3600.0))]
    pub fall_s: f64,
    /// Work of a new connection.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1000.0))]
    pub handshake_ms: f64,
    /// Connections that a server holds; what comes on more is turned away. 0 for as many as come. With processes.
    #[serde(default)]
    #[schemars(range(max = 100_000))]
    pub connections: u32,
    /// How long a connection may idle.
    #[serde(default = "idle")]
    #[schemars(range(min = 0.0, max = 3600.0))]
    pub idle_s: f64,
}

fn waiting() -> u32 {
    64
}

fn multiple() -> f64 {
    3.0
}

fn fall() -> f64 {
    1.5
}

fn idle() -> f64 {
    15.0
}

/// One way, in milliseconds, within a zone and between two; and how late changes of the list are told, at most.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Network {
    #[schemars(range(min = 0.0, max = 10_000.0))]
    pub near_ms: f64,
    #[schemars(range(min = 0.0, max = 10_000.0))]
    pub far_ms: f64,
    #[schemars(range(min = 0.0, max = 600_000.0))]
    pub list_ms: f64,
    /// What an attempt that crosses zones costs, as a share of a first one.
    #[schemars(range(min = 0.0, max = 1000.0))]
    pub crossing_price: f64,
}

impl Default for Network {
    fn default() -> Self {
        Network { near_ms: 0.3, far_ms: 1.0, list_ms: 200.0, crossing_price: 0.0 }
    }
}

/// Where gateways read the list of servers, with processes; the lab tells each gateway by itself.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct List {
    /// Whether it is the real registry, in place of a stand-in.
    pub registry: bool,
    /// Calls a second that are answered; 0 for as many as come.
    #[schemars(range(min = 0.0, max = 1e6))]
    pub capacity: f64,
    /// A call that would wait longer than this is turned away by a stand-in.
    #[schemars(range(min = 0.0, max = 3600.0))]
    pub line_s: f64,
    /// Whether a stand-in tells those that it turns away when to call again.
    pub hint: bool,
    /// Whether gateways start with the list as it was when the play began.
    pub known: bool,
    /// Whether the play, its clients too, begins with the start of all gateways; else once all are ready.
    pub together: bool,
}

impl Default for List {
    fn default() -> Self {
        List { registry: false, capacity: 0.0, line_s: 1.0, hint: false, known: false, together: false }
    }
}
