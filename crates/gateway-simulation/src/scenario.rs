//! Scenarios: the fleet, servers, network, clients and faults of a play, as described in a TOML file. Times
//! are in seconds or milliseconds, as the suffixes of their names say.

mod check;
mod defaults;
mod fault;
mod fleet;
mod load;
mod settings;

pub use crate::scenario::fault::{Fault, Trouble};
pub use crate::scenario::fleet::{Gateways, List, Network, Servers};
pub use crate::scenario::load::{Clients, Kind, Repeats, Runs, Spread, Tariff};
use rand::seq::SliceRandom;
use rand::Rng;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A scenario.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Scenario {
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// What it is to show.
    pub claim: String,
    /// How long it goes, and how much of its start is not counted.
    #[schemars(range(min = 0.1, max = 86_400.0))]
    pub seconds: f64,
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 86_400.0))]
    pub uncounted_s: f64,
    /// The names of the zones.
    #[schemars(length(min = 1, max = 32))]
    pub zones: Vec<String>,
    pub gateways: Gateways,
    pub servers: Servers,
    #[serde(default)]
    pub network: Network,
    #[serde(default)]
    pub list: List,
    #[schemars(length(min = 1, max = 32))]
    pub classes: Vec<Kind>,
    #[schemars(length(min = 1, max = 32))]
    pub plans: Vec<Tariff>,
    #[serde(default)]
    pub clients: Clients,
    #[serde(default)]
    pub faults: Vec<Fault>,
}

impl Scenario {
    /// Returns a gateway's zone. Consecutive gateways fill the zones in order according to the weights;
    /// without weights the zones take turns.
    pub fn zone_of_gateway(&self, gateway: usize) -> usize {
        let (weights, zones) = (&self.gateways.weights, self.zones.len());
        if weights.is_empty() {
            return gateway % zones;
        }
        let total: u64 = weights.iter().map(|w| u64::from(*w)).sum();
        let mut position = gateway as u64 % total;
        for (zone, weight) in weights.iter().enumerate() {
            match position.checked_sub(u64::from(*weight)) {
                Some(rest) => position = rest,
                None => return zone,
            }
        }
        0
    }

    /// Selects a class according to the classes' shares; `draw` is from 0 to 1.
    pub fn class(&self, draw: f64) -> usize {
        let mut remaining = draw * self.classes.iter().map(|c| c.share).sum::<f64>();
        for (n, class) in self.classes.iter().enumerate() {
            remaining -= class.share;
            if remaining < 0.0 {
                return n;
            }
        }
        self.classes.len() - 1
    }

    /// Returns the gateways or servers that a fault affects, in random order.
    pub fn fault_targets(&self, fault: &Fault, rng: &mut impl Rng) -> Vec<usize> {
        let zone = fault.zone.as_ref().and_then(|z| self.zones.iter().position(|name| name == z));
        let (count, zone_of): (u32, fn(&Self, usize) -> usize) = match fault.kind {
            Trouble::Restart | Trouble::Rolling | Trouble::Pause | Trouble::Hangup => {
                (self.gateways.count, Self::zone_of_gateway)
            }
            _ => (self.servers.count, Self::zone_of_server),
        };
        let mut targets: Vec<usize> =
            (0..count as usize).filter(|n| zone.is_none_or(|zone| zone_of(self, *n) == zone)).collect();
        targets.shuffle(rng);
        targets.truncate((targets.len() as f64 * fault.share).round() as usize);
        targets
    }

    /// Splits the play at 5 s, at the start and end of each fault and 4 s after its end. Returns the name of
    /// each phase, its first second and the second after its last.
    pub fn phases(&self) -> Vec<(String, usize, usize)> {
        let mut ends: Vec<usize> = vec![5, self.seconds.ceil() as usize];
        for fault in &self.faults {
            ends.extend([fault.at_s, fault.at_s + fault.for_s].map(|at| at.round() as usize));
            // The after-effects of a fault show within a few seconds of its end.
            ends.push((fault.at_s + fault.for_s).round() as usize + 4);
        }
        ends.retain(|end| *end <= self.seconds.ceil() as usize);
        ends.sort_unstable();
        ends.dedup();
        let begins = [0].into_iter().chain(ends.iter().copied());
        let spans = begins.zip(&ends).filter(|(from, to)| from < to);
        spans.map(|(a, b)| (format!("{a} to {b} s"), a, *b)).collect()
    }

    /// Returns the end of the last fault, in seconds.
    pub fn last_fault_end_s(&self) -> Option<f64> {
        self.faults.iter().map(|f| f.at_s + f.for_s).reduce(f64::max)
    }

    pub fn zone_of_server(&self, server: usize) -> usize {
        server % self.zones.len()
    }

    pub fn cell_of_server(&self, server: usize) -> u32 {
        (server / self.zones.len() / 4) as u32
    }

    /// Returns the first of the consecutive gateways that receive a customer's requests.
    pub fn first_gateway(&self, customer: u32) -> usize {
        (customer as usize).wrapping_mul(7919) % self.gateways.count as usize
    }

    /// Returns the scenario as TOML, which parses to the same scenario.
    pub fn text(&self) -> String {
        // Serialization of names, numbers and lists cannot fail.
        toml::to_string(self).unwrap_or_default()
    }
}
