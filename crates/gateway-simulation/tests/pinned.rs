//! What the decisions do in each scenario, and under random faults on top of it, pinned: every figure of the reports,
//! byte by byte, against those in `fixtures/reports.txt`.
//!
//! A change that is meant to change nothing leaves the file as it is. One that changes a decision on purpose writes the
//! file anew and says so in its commit: `WRITE_REPORTS=1 cargo test -p gateway-simulation --test pinned`.

use gateway_simulation::search::with_random_faults;
use gateway_simulation::{play, Scenario, CATALOGUE};
use rayon::prelude::*;
use std::path::Path;

const PINNED: &str = include_str!("fixtures/reports.txt");
/// Set to write the reports in place of comparing them.
const WRITE: &str = "WRITE_REPORTS";
const SEED: u64 = 11;
/// Seconds of a play, all faults of the catalogue among them.
const SECONDS: f64 = 18.0;

/// A shorter play of fewer gateways, for a build that is not optimized.
fn small(text: &str) -> Scenario {
    let mut scenario = Scenario::parse(text.as_bytes()).unwrap_or_else(|error| panic!("{error}"));
    scenario.seconds = scenario.seconds.min(SECONDS);
    scenario.gateways.count = scenario.gateways.count.min(8);
    scenario.servers.count = 9;
    scenario.plans.iter_mut().for_each(|plan| plan.customers = (plan.customers / 10).max(4));
    scenario
}

/// A report's figures in their order, without their names: these are no decisions.
fn figures(scenario: &Scenario) -> String {
    let report = match play(scenario, SEED) {
        Ok(report) => report,
        Err(breach) => return format!("a rule is broken at {}", breach.at),
    };
    let text = serde_json::to_string(&report).expect("a report is JSON");
    let mut figures = String::new();
    let mut rest = text.as_str();
    while let Some(end) = rest.find("\":") {
        let start = rest[..end].rfind('"').expect("a name stands between quotes");
        figures.push_str(&rest[..start]);
        rest = &rest[end + 2..];
    }
    figures + rest
}

#[test]
fn the_decisions_are_what_they_were_in_every_scenario_and_under_random_faults() {
    let scenarios: Vec<(String, Scenario)> = CATALOGUE
        .iter()
        .enumerate()
        .flat_map(|(position, (name, text))| {
            let plain = small(text);
            let faulty = with_random_faults(&plain, SEED + position as u64);
            [((*name).to_owned(), plain), (format!("{name} with random faults"), faulty)]
        })
        .collect();
    let played: Vec<String> =
        scenarios.par_iter().map(|(name, scenario)| format!("{name}: {}", figures(scenario))).collect();
    if std::env::var_os(WRITE).is_some() {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/reports.txt");
        std::fs::write(&path, played.join("\n") + "\n").expect("the reports can be written");
        return;
    }
    let pinned: Vec<&str> = PINNED.lines().collect();
    assert_eq!(pinned.len(), played.len(), "the file has a line for each play");
    for (played, pinned) in played.iter().zip(pinned) {
        assert_eq!(played, pinned);
    }
}
