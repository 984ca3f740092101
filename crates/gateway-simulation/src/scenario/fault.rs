//! The faults of a scenario and their times.

use crate::scenario::defaults::one;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Trouble {
    /// Servers die at once and start again, cold, at the end.
    Kill,
    /// Servers say nothing until the end.
    Silent,
    /// Servers take `factor` times as long.
    Slow,
    /// Servers fail requests with the chance `factor`.
    Fail,
    /// Servers turn all away at once.
    Refuse,
    /// Servers are drained, and each is started again in turn, over the whole time.
    Release,
    /// What is said over the link does not arrive, and goes on when the fault ends; new connections do not come up. With
    /// a zone in place of a link: the zone's gateways and servers, and those of other zones, do not reach each other.
    Cut,
    /// Connections over the link are reset, new ones too.
    Reset,
    /// What is said over the link takes `factor` milliseconds longer.
    Delay,
    /// The share of the gateways is killed and starts again from nothing after half a second.
    Restart,
    /// The share of the gateways is restarted one after the other, over the whole time: with SIGTERM, where there are
    /// processes.
    Rolling,
    /// The share of the gateways stands still: with SIGSTOP, where there are processes.
    Pause,
    /// The share of the gateways gets SIGHUP, where there are processes.
    Hangup,
    /// Changes of the list are told at the end.
    ListDown,
    /// Customers ask `factor` times as much.
    Flood,
    /// The meter tells nothing.
    MeterDown,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Fault {
    pub kind: Trouble,
    #[schemars(range(min = 0.0, max = 86_400.0))]
    pub at_s: f64,
    #[serde(default = "one")]
    #[schemars(range(min = 0.0, max = 86_400.0))]
    pub for_s: f64,
    /// The link that it strikes, as `zone a except n3 -> zone b`: see [`crate::link`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(length(max = 1000))]
    pub link: Option<String>,
    /// The zone that it strikes; all without it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// The part of the zone, or of all, that it strikes.
    #[serde(default = "one")]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub share: f64,
    #[serde(default = "one")]
    #[schemars(range(min = 0.0, max = 1000.0))]
    pub factor: f64,
}
