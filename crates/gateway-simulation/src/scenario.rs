//! What is played: the fleet, its servers, the network, the clients and the faults, as a TOML file says it. Times are in
//! seconds or milliseconds, as their names say.

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
    /// A gateway's zone, by the weights: the zones take turns until each has its part.
    pub fn zone_of_gateway(&self, gateway: usize) -> usize {
        let (weights, zones) = (&self.gateways.weights, self.zones.len());
        if weights.is_empty() {
            return gateway % zones;
        }
        let all: u64 = weights.iter().map(|w| u64::from(*w)).sum();
        let mut place = gateway as u64 % all;
        for (zone, weight) in weights.iter().enumerate() {
            match place.checked_sub(u64::from(*weight)) {
                Some(rest) => place = rest,
                None => return zone,
            }
        }
        0
    }

    /// A class, by the classes' shares; `draw` is from 0 to 1.
    pub fn class(&self, draw: f64) -> usize {
        let mut left = draw * self.classes.iter().map(|c| c.share).sum::<f64>();
        for (n, class) in self.classes.iter().enumerate() {
            left -= class.share;
            if left < 0.0 {
                return n;
            }
        }
        self.classes.len() - 1
    }

    /// Those that a fault strikes, in a random order: gateways, or servers.
    pub fn fault_targets(&self, fault: &Fault, rng: &mut impl Rng) -> Vec<usize> {
        let zone = fault.zone.as_ref().and_then(|z| self.zones.iter().position(|name| name == z));
        let (count, of): (u32, fn(&Self, usize) -> usize) = match fault.kind {
            Trouble::Restart | Trouble::Rolling | Trouble::Pause | Trouble::Hangup => {
                (self.gateways.count, Self::zone_of_gateway)
            }
            _ => (self.servers.count, Self::zone_of_server),
        };
        let mut all: Vec<usize> =
            (0..count as usize).filter(|n| zone.is_none_or(|zone| of(self, *n) == zone)).collect();
        all.shuffle(rng);
        all.truncate((all.len() as f64 * fault.share).round() as usize);
        all
    }

    /// The first seconds, and the time between two changes of what is wrong: a name, the first second and the one after it.
    pub fn phases(&self) -> Vec<(String, usize, usize)> {
        let mut ends: Vec<usize> = vec![5, self.seconds.ceil() as usize];
        for fault in &self.faults {
            ends.extend([fault.at_s, fault.at_s + fault.for_s].map(|at| at.round() as usize));
            // What a fault leaves behind shows soon after it.
            ends.push((fault.at_s + fault.for_s).round() as usize + 4);
        }
        ends.retain(|end| *end <= self.seconds.ceil() as usize);
        ends.sort_unstable();
        ends.dedup();
        let begins = [0].into_iter().chain(ends.iter().copied());
        let spans = begins.zip(&ends).filter(|(from, to)| from < to);
        spans.map(|(a, b)| (format!("{a} to {b} s"), a, *b)).collect()
    }

    /// When the last fault ends, in seconds.
    pub fn last_fault_end_s(&self) -> Option<f64> {
        self.faults.iter().map(|f| f.at_s + f.for_s).reduce(f64::max)
    }

    pub fn zone_of_server(&self, server: usize) -> usize {
        server % self.zones.len()
    }

    pub fn cell_of_server(&self, server: usize) -> u32 {
        (server / self.zones.len() / 4) as u32
    }

    /// The first of the gateways that a customer's requests come through.
    pub fn first_gateway(&self, customer: u32) -> usize {
        (customer as usize).wrapping_mul(7919) % self.gateways.count as usize
    }

    /// The scenario as a file that is read again as it is.
    pub fn text(&self) -> String {
        // Names, numbers and lists are always worded.
        toml::to_string(self).unwrap_or_default()
    }
}
