//! Trials: plays scenarios with real processes, optionally beside the lab's simulation of the same scenario.

use crate::options::CommonOptions;
use crate::outcome::Outcome;
use crate::scenarios::scenario;
use crate::table::table;
use clap::{Args, Subcommand};
use gateway_process_trial::process::Program;
use gateway_process_trial::{quantile, Figures, TrialResult};
use gateway_simulation::page::{Line, Page};
use gateway_simulation::report::FLEET_STATS_COLUMNS;
use gateway_simulation::stats::FIGURES;
use gateway_simulation::{Report, Scenario};
use program_support::config::Errors;
use program_support::program::print;
use serde_json::json;
use std::fs;
use std::path::{Path, PathBuf};

#[derive(Subcommand)]
pub enum Command {
    /// Plays scenarios with real gateways among stand-ins, with faults on the links between them
    Run(Run),
    /// Checks scenarios as a trial needs them, tells all that is wrong with them and starts nothing
    Check { scenarios: Vec<String> },
}

#[derive(Args)]
pub struct Run {
    /// Names of the lab's catalogue, or files
    #[arg(required = true)]
    scenarios: Vec<String>,
    /// How many seeds are played, one after the other
    #[arg(long, value_name = "N", default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
    /// The first of them
    #[arg(long, value_name = "N", default_value_t = 1)]
    first: u64,
    /// Where the programs lie; beside this one without it
    #[arg(long, value_name = "FOLDER")]
    programs: Option<PathBuf>,
    /// Shows the lab's play of the same scenario beside it
    #[arg(long)]
    lab: bool,
    /// Where a line for each play (JSON), its seconds (CSV) and a page are written
    #[arg(long, value_name = "FOLDER")]
    to: Option<PathBuf>,
}

/// Runs a command. On a signal the caller drops the future, which ends all programs.
///
/// A broken rule gives `Failure`; if all rules are kept but a play's figures are void, `PartialSuccess`.
pub async fn run(options: &CommonOptions, command: &Command) -> Result<Outcome, Errors> {
    let (names, run) = match command {
        Command::Run(run) => (&run.scenarios, Some(run)),
        Command::Check { scenarios } => (scenarios, None),
    };
    // All scenarios are read and checked before the first program is started.
    let all = names.iter().map(|name| {
        let scenario = scenario(name)?;
        gateway_process_trial::check(&scenario).map_err(|errors| errors.in_file(Path::new(name)))?;
        Ok(scenario)
    });
    let all: Vec<Scenario> = all.collect::<Result<_, Errors>>()?;
    let Some(run) = run else { return print("ok\n").map(|()| Outcome::Success) };
    let programs = match &run.programs {
        Some(folder) => folder.clone(),
        None => Program::own_folder()?,
    };
    let (mut rules_kept, mut any_void) = (true, false);
    for scenario in &all {
        for seed in (0..run.seeds).map(|n| run.first.wrapping_add(n)) {
            let TrialResult { mut figures, breach } =
                gateway_process_trial::play(scenario, seed, &programs).await?;
            figures.report.seed = seed;
            rules_kept &= breach.is_none();
            any_void |= figures.void.is_some();
            let lab = run.lab.then(|| gateway_simulation::play(scenario, seed));
            let lab = lab.and_then(Result::ok);
            if let Some(to) = &run.to {
                let breach = breach.as_ref().map(ToString::to_string);
                let page =
                    play_page(scenario, &figures, breach, lab.as_ref()).html().map_err(Errors::single)?;
                write_play(to, &figures, &page)
                    .map_err(|e| Errors::single(format!("{}: {e}", to.display())))?;
            }
            if options.json {
                let breach = breach.as_ref().map(ToString::to_string);
                print(format!("{}\n", json!({"trial": figures, "breach": breach, "lab": lab})))?;
                continue;
            }
            print(format!(
                "{} with seed {seed}\n{}",
                scenario.name,
                figures_table(scenario, &figures, lab.as_ref())
            ))?;
            if let Some(reason) = &figures.void {
                print(format!("void: {reason}\n"))?;
            }
            print(breach.map_or("rules kept\n".to_string(), |breach| breach.to_string()))?;
        }
    }
    Ok(match (rules_kept, any_void) {
        (false, _) => Outcome::Failure,
        (true, true) => Outcome::PartialSuccess,
        (true, false) => Outcome::Success,
    })
}

/// Appends the play's figures to `SCENARIO.jsonl` as a line, and writes its counts by second to
/// `SCENARIO-SEED.csv` and its page to `SCENARIO-SEED.html`.
fn write_play(to: &Path, figures: &Figures, page: &str) -> std::io::Result<()> {
    use std::io::Write;
    fs::create_dir_all(to)?;
    let name = &figures.report.scenario;
    let mut lines = fs::File::options().create(true).append(true).open(to.join(format!("{name}.jsonl")))?;
    writeln!(lines, "{}", serde_json::to_string(figures)?)?;
    let mut rows = "second,asked,in_time,list_calls,list_turned_away,connections,sent,beyond_quota,tries,\
                    refused_with_room\n"
        .to_string();
    for (n, [asked, served]) in figures.report.seconds.iter().enumerate() {
        let list = figures.list.get(n).copied().unwrap_or_default();
        let opened = figures.opened.get(n).copied().unwrap_or_default();
        let quota = figures.report.quota.get(n).copied().unwrap_or_default();
        rows += &format!("{n},{asked},{served},{},{},{opened}", list[0], list[1]);
        quota.iter().for_each(|count| rows += &format!(",{count}"));
        rows += "\n";
    }
    fs::write(to.join(format!("{name}-{}.csv", figures.report.seed)), rows)?;
    fs::write(to.join(format!("{name}-{}.html", figures.report.seed)), page)
}

/// The columns of the table of figures.
const FIGURES_HEADER: [&str; 3] = ["figure", "processes", "lab"];

/// Formats the figures of a play as a table for the terminal.
fn figures_table(scenario: &Scenario, f: &Figures, lab: Option<&Report>) -> String {
    table(&FIGURES_HEADER, figures_rows(scenario, f, lab))
}

/// The HTML page of a play, with its figures and plots by second.
fn play_page(scenario: &Scenario, f: &Figures, breach: Option<String>, lab: Option<&Report>) -> Page {
    let plot_line = |name: &str, values: Vec<u32>| {
        (name.to_string(), values.into_iter().enumerate().map(|(n, v)| (n as f64, f64::from(v))).collect())
    };
    fn column<const N: usize>(seconds: &[[u32; N]], index: usize) -> Vec<u32> {
        seconds.iter().map(|second| second[index]).collect()
    }
    let mut requests = vec![
        plot_line("asked", column(&f.report.seconds, 0)),
        plot_line("in time", column(&f.report.seconds, 1)),
    ];
    requests.extend(lab.map(|lab| plot_line("in time, lab", column(&lab.seconds, 1))));
    let calls = vec![plot_line("calls", column(&f.list, 0)), plot_line("turned away", column(&f.list, 1))];
    let quota = &f.report.quota;
    let mut quotas =
        vec![plot_line("beyond quota", column(quota, 1)), plot_line("refused with room", column(quota, 3))];
    quotas.extend(lab.map(|lab| plot_line("beyond quota, lab", column(&lab.quota, 1))));
    let plot = |title: &str, lines: Vec<Line>| (title.to_string(), "By second.".to_string(), lines);
    Page {
        name: format!("{} with seed {}", scenario.name, f.report.seed),
        question: scenario.claim.clone(),
        breaches: breach.map(|breach| ("this play".to_string(), breach)).into_iter().collect(),
        head: FIGURES_HEADER.to_vec(),
        rows: figures_rows(scenario, f, lab),
        plots: vec![
            plot("requests", requests),
            plot("calls for the list", calls),
            plot("new connections to servers", vec![plot_line("connections", f.opened.clone())]),
            plot("quotas", quotas),
        ],
    }
}

/// The rows of the table of figures: name, value in the trial, value in the lab.
fn figures_rows(scenario: &Scenario, f: &Figures, lab: Option<&Report>) -> Vec<Vec<String>> {
    let or_dash = |value: Option<String>| value.unwrap_or_else(|| "-".to_string());
    let mut rows = Vec::new();
    for (name, figure) in FIGURES {
        let lab = lab.map(|report| format!("{:.3}", figure(report)));
        rows.push(vec![name.to_string(), format!("{:.3}", figure(&f.report)), or_dash(lab)]);
    }
    let mut row = |name: &str, value: String, lab: Option<String>| {
        rows.push(vec![name.to_string(), value, or_dash(lab)]);
    };
    let fallen = |report: &Report| report.fallen.to_string();
    row("requests", f.report.requests.to_string(), lab.map(|r| r.requests.to_string()));
    row("fallen", fallen(&f.report), lab.map(fallen));
    let ready: Vec<String> =
        [0.5, 0.9, 1.0].iter().map(|part| format!("{:.2}", quantile(&f.ready_s, *part))).collect();
    row("ready after s: half, nine in ten, last", ready.join(", "), None);
    row("starts that became ready, of gateways", format!("{} of {}", f.ready_s.len(), f.gateways), None);
    let sum = |index: usize| f.list.iter().map(|second| second[index]).sum::<u32>();
    row(
        "list: calls, turned away, most calls in a second",
        format!("{}, {}, {}", sum(0), sum(1), Figures::max_in_one_second(&f.list, 0)),
        None,
    );
    let opened: u32 = f.opened.iter().sum();
    let most = f.opened.iter().max().copied().unwrap_or(0);
    row("connections to servers, most in a second", format!("{opened}, {most}"), None);
    for (name, from, to) in scenario.phases() {
        let quotas = |report: &Report| {
            let [beyond, room] = report.quota_shares(from, to);
            format!("{beyond:.3}, {room:.3}")
        };
        row(&format!("{name}: beyond quota, refused with room"), quotas(&f.report), lab.map(quotas));
        let goodput_summary = |report: &Report| report.fleet_stats(from, to).to_string();
        row(&format!("{name}: {FLEET_STATS_COLUMNS}"), goodput_summary(&f.report), lab.map(goodput_summary));
    }
    let recovery_time = |report: &Report| {
        let after = scenario.last_fault_end_s()?;
        report.recovery_time_s(after).map(|s| format!("{s:.1}"))
    };
    row(
        "full service after the last fault, s",
        or_dash(recovery_time(&f.report)),
        lab.and_then(recovery_time),
    );
    let median_and_most = |all: &[u64]| format!("{}, {}", quantile(all, 0.5), quantile(all, 1.0));
    row("processor ms a second: median, most", median_and_most(&f.processor_ms), None);
    row("memory kB: median, most", median_and_most(&f.memory_kb), None);
    row("descriptors: median, most", median_and_most(&f.descriptors), None);
    let [usual, worst] = f.late_ms;
    row("this program late by ms: 99th of a hundred, most", format!("{usual:.1}, {worst:.1}"), None);
    rows
}
