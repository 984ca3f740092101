//! Plays scenarios and shows their figures, and how the fleet fares by phase.

use super::seeds::Seeds;
use crate::outcome::Outcome;
use crate::scenarios::scenario;
use crate::setup::Setup;
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

const FIGURES_HEAD: [&str; 13] = [
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
const PHASES_HEAD: [&str; 8] = [
    "scenario",
    "phase",
    "goodput of possible",
    "attempts a first one",
    "turned away a second",
    "in vain a second",
    "most at one server",
    "full service after s",
];

pub fn play(setup: &Setup, run: &Run) -> Result<Outcome, Errors> {
    let names: Vec<String> = match run.scenarios.is_empty() {
        true => CATALOGUE.iter().map(|(name, _)| name.to_string()).collect(),
        false => run.scenarios.clone(),
    };
    // All are read before any is played.
    let all: Vec<Scenario> = names.iter().map(|name| scenario(name)).collect::<Result<_, _>>()?;
    let seeds = run.seeds.all();
    let (mut rows, mut phases, mut kept) = (Vec::new(), Vec::new(), 0);
    for s in &all {
        let begun = Instant::now();
        let results = play_all(s, &seeds);
        let took = begun.elapsed().as_secs_f64();
        let reports: Vec<&Report> = results.iter().filter_map(|r| r.as_ref().ok()).collect();
        let breaches: Vec<&Breach> = results.iter().filter_map(|r| r.as_ref().err().map(|b| &**b)).collect();
        kept += usize::from(breaches.is_empty());
        if setup.json {
            print_lines(s, &reports, &breaches)?;
            continue;
        }
        for breach in &breaches {
            print(format!("{}: {breach}", s.name))?;
        }
        rows.push(row(&s.name, &reports, breaches.len(), took));
        phases.extend(by_phase(s, &reports));
    }
    if !setup.json {
        print(table(&FIGURES_HEAD, rows))?;
        if run.phases {
            print(format!("\n{}", table(&PHASES_HEAD, phases)))?;
        }
    }
    Ok(Outcome::of(kept, all.len()))
}

/// A line of JSON for each play, so that what was played before a stop is complete.
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

fn row(name: &str, reports: &[&Report], breaches: usize, took: f64) -> Vec<String> {
    let mut cells = vec![name.to_string()];
    cells.extend(FIGURES.iter().map(|(_, figure)| spread(reports.iter().map(|r| figure(r)).collect())));
    let fallen: u64 = reports.iter().map(|r| r.fallen).sum();
    let events: u64 = reports.iter().map(|r| r.events).sum();
    cells.extend([
        fallen.to_string(),
        breaches.to_string(),
        format!("{:.2}", events as f64 / took.max(1e-9) / 1e6),
    ]);
    cells
}

/// How the fleet fares in each phase of a scenario; at the end of the last fault, how long until all is served again.
fn by_phase(scenario: &Scenario, reports: &[&Report]) -> Vec<Vec<String>> {
    let end = scenario.last_fault_end_s();
    let phases = scenario.phases().into_iter().map(|(name, from, to)| {
        let all: Vec<FleetStats> = reports.iter().map(|r| r.fleet_stats(from, to)).collect();
        let each = |of: fn(&FleetStats) -> f64| spread(all.iter().map(of).collect());
        let recovered = end.filter(|end| end.round() as usize == from).map(|end| {
            // One that never did counts as the rest of the play.
            let rest = scenario.seconds - end;
            spread(reports.iter().map(|r| r.recovery_time_s(end).unwrap_or(rest)).collect())
        });
        vec![
            scenario.name.clone(),
            name,
            each(|f| f.goodput),
            each(|f| f.attempts),
            each(|f| f.rejected_per_s),
            each(|f| f.futile_per_s),
            each(|f| f64::from(f.max_futile_per_server)),
            recovered.unwrap_or_default(),
        ]
    });
    phases.collect()
}
