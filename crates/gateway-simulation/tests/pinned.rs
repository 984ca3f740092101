//! Compares every figure of the reports of each scenario, with its own faults and with random faults, byte by
//! byte with `fixtures/reports.txt`.
//!
//! Changes that do not affect decisions leave the file as it is. A change that alters a decision on purpose
//! regenerates the file and says so in its commit: `WRITE_REPORTS=1 cargo test -p gateway-simulation --test
//! pinned`.

use gateway_simulation::search::with_random_faults;
use gateway_simulation::{play, Scenario, CATALOGUE};
use rayon::prelude::*;
use std::path::Path;

const PINNED: &str = include_str!("fixtures/reports.txt");
/// Environment variable that makes the test write the file instead of comparing.
const WRITE_VARIABLE: &str = "WRITE_REPORTS";
const SEED: u64 = 11;
/// Maximum length of a play; all faults of the built-in scenarios begin within it.
const MAX_PLAY_S: f64 = 18.0;

/// Returns a shorter scenario with fewer gateways, servers and customers, fast enough for an unoptimized
/// build.
fn small(text: &str) -> Scenario {
    let mut scenario = Scenario::parse(text.as_bytes()).unwrap_or_else(|error| panic!("{error}"));
    scenario.seconds = scenario.seconds.min(MAX_PLAY_S);
    scenario.gateways.count = scenario.gateways.count.min(8);
    scenario.servers.count = 9;
    scenario.plans.iter_mut().for_each(|plan| plan.customers = (plan.customers / 10).max(4));
    scenario
}

/// Returns a report's figures in their order, without their names, which may change without a change of
/// decisions.
fn figures(scenario: &Scenario) -> String {
    let report = match play(scenario, SEED) {
        Ok(report) => report,
        Err(breach) => return format!("a rule is broken at {}", breach.at),
    };
    let text = serde_json::to_string(&report).expect("a report is JSON");
    let mut figures = String::new();
    let mut rest = text.as_str();
    while let Some(end) = rest.find("\":") {
        let start = rest[..end].rfind('"').expect("names are quoted");
        figures.push_str(&rest[..start]);
        rest = &rest[end + 2..];
    }
    figures + rest
}

#[test]
fn decisions_match_recorded_reports_with_and_without_random_faults() {
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
    if std::env::var_os(WRITE_VARIABLE).is_some() {
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
