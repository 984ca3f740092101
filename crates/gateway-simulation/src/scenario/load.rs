//! The load: classes of requests, plans with their customers, and the clients' retries.

use crate::scenario::defaults::one;
use crate::units::{ns, MS};
use gateway_decisions::Time;
use rand::Rng;
use rand_distr::{Distribution, Exp1};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Spread {
    Fixed,
    Exponential,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Runs {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Repeats {
    All,
    Zone,
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Kind {
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// Its part of the requests, as a weight.
    #[serde(default = "one")]
    #[schemars(range(min = 0.0, max = 1e6))]
    pub share: f64,
    /// The mean work of a request on a warm core.
    #[schemars(range(min = 0.001, max = 600_000.0))]
    pub work_ms: f64,
    #[serde(default = "exponential")]
    pub spread: Spread,
    #[schemars(range(min = 1.0, max = 600_000.0))]
    pub aim_ms: f64,
    #[schemars(range(min = 1.0, max = 600_000.0))]
    pub deadline_ms: f64,
    #[serde(default = "safe")]
    pub effect: Runs,
    /// Which servers drop the repeats of a key, and for how long.
    #[serde(default = "all")]
    pub group: Repeats,
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 600_000.0))]
    pub key_ms: f64,
    #[serde(default = "one")]
    #[schemars(range(min = 0.0, max = 1e6))]
    pub points: f64,
}

impl Kind {
    /// Draws the work of one request on a warm core, in nanoseconds.
    pub fn work(&self, rng: &mut impl Rng) -> Time {
        let draw: f64 = match self.spread {
            Spread::Fixed => 1.0,
            Spread::Exponential => Exp1.sample(rng),
        };
        ns(self.work_ms * draw, MS).max(1)
    }
}

fn exponential() -> Spread {
    Spread::Exponential
}

fn safe() -> Runs {
    Runs::Safe
}

fn all() -> Repeats {
    Repeats::All
}

/// A plan and its customers.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Tariff {
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    #[schemars(range(min = 1, max = 1_000_000))]
    pub customers: u32,
    /// Requests a second of each customer, one unit each.
    #[schemars(range(min = 0.0, max = 1e6))]
    pub demand: f64,
    /// Units a second of its quota, and the most that it holds; a rate of 0 means no quota.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1e9))]
    pub rate: f64,
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1e9))]
    pub depth: f64,
    /// The same of its ceiling.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1e9))]
    pub ceiling_rate: f64,
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1e9))]
    pub ceiling_burst: f64,
    #[serde(default = "one")]
    #[schemars(range(min = 0.0, max = 1e6))]
    pub worth: f64,
    /// The gateways that a customer's requests come through.
    #[serde(default = "few")]
    #[schemars(range(min = 1, max = 2000))]
    pub spread: u32,
}

fn few() -> u32 {
    3
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Clients {
    /// How often a client asks again after a refusal or failure, and how long it waits before, on average.
    #[schemars(range(max = 100))]
    pub repeats: u32,
    #[schemars(range(min = 1.0, max = 600_000.0))]
    pub pause_ms: f64,
    /// The part that waits as long as it is advised to.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub heeds: f64,
    /// The part that leaves before its time is over.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub leaves: f64,
}

impl Clients {
    /// Draws the delay in nanoseconds before a client that was not served retries; `None` if the client has
    /// used all its retries. `advice` is the advised delay in nanoseconds, 0 if none was given.
    pub fn retry_delay(&self, repeats: u32, advice: Time, rng: &mut impl Rng) -> Option<Time> {
        if repeats >= self.repeats {
            return None;
        }
        let draw: f64 = Exp1.sample(rng);
        let delay = ns(self.pause_ms * draw, MS);
        let heeds_advice = advice > 0 && rng.random::<f64>() < self.heeds;
        Some(if heeds_advice { delay.max(advice) } else { delay }.max(1))
    }
}

impl Default for Clients {
    fn default() -> Self {
        Clients { repeats: 1, pause_ms: 500.0, heeds: 0.5, leaves: 0.0 }
    }
}
