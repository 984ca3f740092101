//! Plays scenarios and prints their metrics, optionally also by phase.

use super::seeds::Seeds;
use crate::options::CommonOptions;
use crate::outcome::Outcome;
use crate::scenarios::scenario;
use crate::table::table;
use clap::Args;
use gateway_simulation::report::FleetStats;
use gateway_simulation::stats::{spread, FIGURES};
use gateway_simulation::{play_all, Breach, Report, Scenario, CATALOGUE};
use program_support::config::Errors;
use program_support::program::print;
use serde_json::json;
use std::time::Instant;

#[derive(Args)]
pub struct Run {
    /// Names of the catalogue, or files; the whole catalogue without any
    scenarios: Vec<String>,
    #[command(flatten)]
    seeds: Seeds,
    /// Shows how the fleet fares between two changes of what is wrong, against what its servers could do
    #[arg(long)]
    phases: bool,
}

/// The columns of the table of metrics.
const METRICS_HEADER: [&str; 13] = [
    "scenario",
    "worth",
    "late ends",
    "refused with room",
    "beyond quota",
    "failed",
    "attempts",
    "crossings",
    "connections",
    "p99 ms",
    "fallen",
    "breaches",
    "million events/s",
];
/// The columns of the table of phases.
const PHASES_HEADER: [&str; 8] = [
    "scenario",
    "phase",
    "goodput of possible",
    "attempts a first one",
    "turned away a second",
    "in vain a second",
    "most at one server",
    "full service after s",
];

/// Plays each scenario with every seed and prints the results. A scenario succeeds if no play breaks a rule.
pub fn play(options: &CommonOptions, run: &Run) -> Result<Outcome, Errors> {
    let names: Vec<String> = match run.scenarios.is_empty() {
        true => CATALOGUE.iter().map(|(name, _)| name.to_string()).collect(),
        false => run.scenarios.clone(),
    };
    // All scenarios are read before the first is played, so that a wrong name fails at once.
    let all: Vec<Scenario> = names.iter().map(|name| scenario(name)).collect::<Result<_, _>>()?;
    let seeds = run.seeds.all();
    let (mut rows, mut phases, mut without_breach) = (Vec::new(), Vec::new(), 0);
    for s in &all {
        let started = Instant::now();
        let results = play_all(s, &seeds);
        let elapsed_s = started.elapsed().as_secs_f64();
        let reports: Vec<&Report> = results.iter().filter_map(|r| r.as_ref().ok()).collect();
        let breaches: Vec<&Breach> = results.iter().filter_map(|r| r.as_ref().err().map(|b| &**b)).collect();
        without_breach += usize::from(breaches.is_empty());
        if options.json {
            print_lines(s, &reports, &breaches)?;
            continue;
        }
        for breach in &breaches {
            print(format!("{}: {breach}", s.name))?;
        }
        rows.push(metrics_row(&s.name, &reports, breaches.len(), elapsed_s));
        phases.extend(phase_rows(s, &reports));
    }
    if !options.json {
        print(table(&METRICS_HEADER, rows))?;
        if run.phases {
            print(format!("\n{}", table(&PHASES_HEADER, phases)))?;
        }
    }
    Ok(Outcome::from_counts(without_breach, all.len()))
}

/// Prints a line of JSON for each play of a scenario, so that the results of finished scenarios are complete
/// if the command is stopped.
fn print_lines(scenario: &Scenario, reports: &[&Report], breaches: &[&Breach]) -> Result<(), Errors> {
    for report in reports {
        let line = serde_json::to_string(report).map_err(Errors::single)?;
        print(format!("{line}\n"))?;
    }
    for breach in breaches {
        print(format!("{}\n", json!({"scenario": scenario.name, "breach": breach.to_string()})))?;
    }
    Ok(())
}

/// The row of metrics for all plays of a scenario, which took `elapsed_s` seconds of real time.
fn metrics_row(name: &str, reports: &[&Report], breaches: usize, elapsed_s: f64) -> Vec<String> {
    let mut cells = vec![name.to_string()];
    cells.extend(FIGURES.iter().map(|(_, figure)| spread(reports.iter().map(|r| figure(r)).collect())));
    let fallen: u64 = reports.iter().map(|r| r.fallen).sum();
    let events: u64 = reports.iter().map(|r| r.events).sum();
    cells.extend([
        fallen.to_string(),
        breaches.to_string(),
        format!("{:.2}", events as f64 / elapsed_s.max(1e-9) / 1e6),
    ]);
    cells
}

/// The rows of metrics for each phase of a scenario. The phase that begins at the end of the last fault also
/// shows the time until full service is restored.
fn phase_rows(scenario: &Scenario, reports: &[&Report]) -> Vec<Vec<String>> {
    let end = scenario.last_fault_end_s();
    let phases = scenario.phases().into_iter().map(|(name, from, to)| {
        let all: Vec<FleetStats> = reports.iter().map(|r| r.fleet_stats(from, to)).collect();
        let spread_of = |of: fn(&FleetStats) -> f64| spread(all.iter().map(of).collect());
        let recovered = end.filter(|end| end.round() as usize == from).map(|end| {
            // A play that never recovers counts as the rest of its duration.
            let rest = scenario.seconds - end;
            spread(reports.iter().map(|r| r.recovery_time_s(end).unwrap_or(rest)).collect())
        });
        vec![
            scenario.name.clone(),
            name,
            spread_of(|f| f.goodput),
            spread_of(|f| f.attempts),
            spread_of(|f| f.rejected_per_s),
            spread_of(|f| f.futile_per_s),
            spread_of(|f| f64::from(f.max_futile_per_server)),
            recovered.unwrap_or_default(),
        ]
    });
    phases.collect()
}
