//! Discrete-event simulation of the systems around gateways: clients, servers, network and faults. The
//! gateways run their real decision logic.
//!
//! [`play`] runs a [`Scenario`] once with a seed and returns a [`Report`], or the first [`Breach`] of a rule
//! with its trace. The same seed gives the same report, bit for bit: a play runs on one thread, events of the
//! same time run in the order in which they were scheduled, and nothing depends on the iteration order of a
//! hash table. Several plays run in parallel.
#![forbid(unsafe_code)]

pub mod customer;
pub mod experiment;
pub mod link;
pub mod oracle;
pub mod page;
pub mod report;
pub mod scenario;
pub mod search;
pub mod server;
pub mod stats;
pub mod units;
mod world;

pub use oracle::{Breach, Rule};
pub use report::Report;
pub use scenario::Scenario;
pub use world::{play, play_with, Decider};

use program_support::config::{self, Errors, FileFormat};
use rayon::prelude::*;
use serde_json::Value;
use std::path::Path;

/// Plays a scenario with each seed, in parallel on all processors. Returns the results in the order of the
/// seeds.
pub fn play_all(scenario: &Scenario, seeds: &[u64]) -> Vec<Result<Report, Box<Breach>>> {
    seeds.par_iter().map(|seed| play(scenario, *seed)).collect()
}

/// Returns the scenario with this name from the catalogue, or the contents of the file with this name.
///
/// # Errors
///
/// If there is neither, or the file cannot be read or parsed.
pub fn find(name: &str) -> Result<Value, Errors> {
    match CATALOGUE.iter().find(|(entry, _)| *entry == name) {
        Some((_, text)) => FileFormat::Toml.parse(text.as_bytes()),
        None if name.contains(['.', '/']) => {
            let path = Path::new(name);
            config::read(path)
                .and_then(|text| FileFormat::Toml.parse(&text).map_err(|wrong| wrong.in_file(path)))
        }
        None => {
            let names: Vec<&str> = CATALOGUE.iter().map(|(name, _)| *name).collect();
            Err(Errors::single(format!(
                "{name:?} is no scenario: a file, or one of {} is wanted",
                names.join(", ")
            )))
        }
    }
}

/// The built-in scenarios by name.
pub const CATALOGUE: &[(&str, &str)] = &[
    ("calm", include_str!("../scenarios/calm.toml")),
    ("release", include_str!("../scenarios/release.toml")),
    ("join", include_str!("../scenarios/join.toml")),
    ("zone-loss", include_str!("../scenarios/zone-loss.toml")),
    ("split", include_str!("../scenarios/split.toml")),
    ("herd", include_str!("../scenarios/herd.toml")),
    ("overload", include_str!("../scenarios/overload.toml")),
    ("retry-storm", include_str!("../scenarios/retry-storm.toml")),
    ("thin", include_str!("../scenarios/thin.toml")),
    ("cold-start", include_str!("../scenarios/cold-start.toml")),
    ("storm-kill", include_str!("../scenarios/storm-kill.toml")),
    ("storm-slow", include_str!("../scenarios/storm-slow.toml")),
    ("storm-refuse", include_str!("../scenarios/storm-refuse.toml")),
    ("storm-flood", include_str!("../scenarios/storm-flood.toml")),
    ("storm-zone", include_str!("../scenarios/storm-zone.toml")),
];
