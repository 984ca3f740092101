//! Commands of the lab: plays scenarios in simulated time and compares what they show.

use crate::table::table;
use crate::{Outcome, Setup};
use ::lab::{play_all, Breach, Report, Scenario, CATALOGUE};
use clap::{Args, Subcommand};
use serde_json::json;
use shell::config::Wrong;
use shell::program::print;
use std::path::{Path, PathBuf};
use std::time::Instant;

#[derive(Subcommand)]
pub enum Command {
    /// Shows the scenarios that come with the lab, and what each claims
    List,
    /// Prints one of them, to be changed
    Print { name: String },
    /// Checks scenario files, tells all that is wrong with them and plays nothing
    Check { files: Vec<PathBuf> },
    /// Starts a registry, gateways, stand-ins for roll servers and clients on this machine, kills a server, shows a table
    Demo(crate::demo::Demo),
    /// Plays scenarios, each with every seed
    Run(Run),
    /// Plays scripts of random faults, looking for one in which a rule is broken
    Search {
        /// What the faults come on top of
        #[arg(default_value = "calm")]
        base: String,
        /// How many scripts are played
        #[arg(long, value_name = "N", default_value_t = 100, value_parser = clap::value_parser!(u64).range(1..=1_000_000))]
        count: u64,
        /// The seed of the first of them
        #[arg(long, value_name = "N", default_value_t = 1)]
        first: u64,
        /// Where the smallest scenario that breaks the rule is written
        #[arg(long, value_name = "FILE", default_value = "found.toml")]
        to: PathBuf,
    },
    /// Plays two scenarios with the same seeds and tells what the second changes
    Compare {
        base: String,
        variant: String,
        #[command(flatten)]
        seeds: Seeds,
    },
}

#[derive(Args)]
pub struct Run {
    /// Names of the catalogue, or files; the whole catalogue without any
    scenarios: Vec<String>,
    #[command(flatten)]
    seeds: Seeds,
}

#[derive(Args)]
pub struct Seeds {
    /// How many seeds are played
    #[arg(long, value_name = "N", default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    seeds: u64,
    /// The first of them
    #[arg(long, value_name = "N", default_value_t = 1)]
    first: u64,
}

impl Seeds {
    fn all(&self) -> Vec<u64> {
        (0..self.seeds).map(|n| self.first.wrapping_add(n)).collect()
    }
}

/// A name of the catalogue, or a file.
fn scenario(name: &str) -> Result<Scenario, Wrong> {
    match CATALOGUE.iter().find(|(known, _)| *known == name) {
        Some((_, text)) => Scenario::parse(text.as_bytes()),
        None if name.contains(['.', '/']) => Scenario::load(Path::new(name)),
        None => {
            let names: Vec<&str> = CATALOGUE.iter().map(|(name, _)| *name).collect();
            Err(Wrong::one(format!(
                "{name:?} is no scenario: a file, or one of {} is wanted",
                names.join(", ")
            )))
        }
    }
}

pub fn run(setup: &Setup, command: Command) -> Result<Outcome, Wrong> {
    match command {
        Command::List => list(setup),
        Command::Print { name } => match CATALOGUE.iter().find(|(known, _)| *known == name) {
            Some((_, text)) => print(text).map(|()| Outcome::All),
            None => scenario(&name).map(|_| Outcome::All),
        },
        Command::Check { files } => {
            let wrong: Vec<String> =
                files.iter().filter_map(|file| Scenario::load(file).err()).flat_map(|w| w.0).collect();
            if !wrong.is_empty() {
                return Err(Wrong(wrong));
            }
            print("ok\n").map(|()| Outcome::All)
        }
        Command::Search { base, count, first, to } => search(&base, first, count, &to),
        // Its sockets are on the event loop: the caller runs it.
        Command::Demo(_) => Ok(Outcome::None),
        Command::Run(run) => play(setup, &run),
        Command::Compare { base, variant, seeds } => compare(setup, &base, &variant, &seeds),
    }
}

fn search(base: &str, first: u64, count: u64, to: &Path) -> Result<Outcome, Wrong> {
    let base = scenario(base)?;
    let Some(found) = ::lab::search::search(&base, first, count) else {
        print(format!("no rule is broken in {count} scripts from seed {first} on\n"))?;
        return Ok(Outcome::All);
    };
    std::fs::write(to, found.scenario.text()).map_err(|e| Wrong::one(format!("{}: {e}", to.display())))?;
    print(format!("seed {}, written to {}\n{}", found.seed, to.display(), found.breach))?;
    Ok(Outcome::None)
}

fn list(setup: &Setup) -> Result<Outcome, Wrong> {
    let all: Vec<Scenario> = CATALOGUE.iter().map(|(name, _)| scenario(name)).collect::<Result<_, _>>()?;
    if setup.json {
        let each: Vec<_> = all.iter().map(|s| json!({"name": s.name, "claim": s.claim})).collect();
        print(format!("{:#}\n", json!(each)))?;
    } else {
        print(table(&["scenario", "claim"], all.into_iter().map(|s| vec![s.name, s.claim]).collect()))?;
    }
    Ok(Outcome::All)
}

fn play(setup: &Setup, run: &Run) -> Result<Outcome, Wrong> {
    let names: Vec<String> = match run.scenarios.is_empty() {
        true => CATALOGUE.iter().map(|(name, _)| name.to_string()).collect(),
        false => run.scenarios.clone(),
    };
    // All are read before any is played.
    let all: Vec<Scenario> = names.iter().map(|name| scenario(name)).collect::<Result<_, _>>()?;
    let seeds = run.seeds.all();
    let (mut rows, mut kept) = (Vec::new(), 0);
    for s in &all {
        let begun = Instant::now();
        let results = play_all(s, &seeds);
        let took = begun.elapsed().as_secs_f64();
        let reports: Vec<&Report> = results.iter().filter_map(|r| r.as_ref().ok()).collect();
        let breaches: Vec<&Breach> = results.iter().filter_map(|r| r.as_ref().err().map(|b| &**b)).collect();
        kept += usize::from(breaches.is_empty());
        if setup.json {
            // A line each, so that what was played before a stop stands.
            for report in &reports {
                let line = serde_json::to_string(report).map_err(|e| Wrong::one(e.to_string()))?;
                print(format!("{line}\n"))?;
            }
            for breach in &breaches {
                print(format!("{}\n", json!({"scenario": s.name, "breach": breach.to_string()})))?;
            }
            continue;
        }
        for breach in &breaches {
            print(format!("{}: {breach}", s.name))?;
        }
        rows.push(row(&s.name, &reports, breaches.len(), took));
    }
    if !setup.json {
        let head = [
            "scenario",
            "worth",
            "late ends",
            "refused with room",
            "failed",
            "attempts",
            "crossings",
            "connections",
            "p99 ms",
            "fallen",
            "breaches",
            "million events/s",
        ];
        print(table(&head, rows))?;
    }
    Ok(Outcome::of(kept, all.len()))
}

/// What is told of a report: a figure, as a share of its requests where that says more.
type Figure = (&'static str, fn(&Report) -> f64);

fn share(part: u64, report: &Report) -> f64 {
    part as f64 / report.requests.max(1) as f64
}

const FIGURES: [Figure; 8] = [
    ("worth served", |r| r.worth),
    ("late ends a request", |r| share(r.late_ends, r)),
    ("refused with room", |r| share(r.refused_with_room, r)),
    ("failed", |r| share(r.failed, r)),
    ("attempts a request", |r| share(r.attempts, r)),
    ("crossings a request", |r| share(r.crossings, r)),
    ("connections a request", |r| share(r.connections, r)),
    ("p99 ms", |r| r.p99_ms),
];

/// The median, and the least and the most in brackets where there are several.
fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    match values.as_slice() {
        [] => "-".to_string(),
        [one] => format!("{one:.3}"),
        [least, .., most] => format!("{:.3} ({least:.3} to {most:.3})", median(&values)),
    }
}

/// Of values in order.
fn median(sorted: &[f64]) -> f64 {
    let half = sorted.len() / 2;
    match sorted {
        [] => 0.0,
        _ if sorted.len() % 2 == 1 => sorted[half],
        _ => (sorted[half - 1] + sorted[half]) / 2.0,
    }
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

/// The interval that holds the mean of paired differences with a chance of 95%, by Student's t.
fn interval(differences: &[f64]) -> Option<(f64, f64)> {
    /// The 97.5% quantile by degrees of freedom; beyond the last, that of the normal distribution with a little room.
    const T: [f64; 30] = [
        12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145,
        2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048,
        2.045, 2.042,
    ];
    let count = differences.len();
    if count < 2 {
        return None;
    }
    let n = count as f64;
    let mean = differences.iter().sum::<f64>() / n;
    let variance = differences.iter().map(|d| (d - mean).powi(2)).sum::<f64>() / (n - 1.0);
    let half = T.get(count - 2).copied().unwrap_or(2.0) * (variance / n).sqrt();
    Some((mean - half, mean + half))
}

fn compare(setup: &Setup, base: &str, variant: &str, seeds: &Seeds) -> Result<Outcome, Wrong> {
    let (a, b) = (scenario(base)?, scenario(variant)?);
    let seeds = seeds.all();
    let (a, b) = (play_all(&a, &seeds), play_all(&b, &seeds));
    let broken: Vec<String> =
        a.iter().chain(&b).filter_map(|r| r.as_ref().err()).map(|b| b.to_string()).collect();
    if !broken.is_empty() {
        return Err(Wrong(broken));
    }
    let pairs: Vec<(&Report, &Report)> =
        a.iter().zip(&b).filter_map(|(a, b)| Some((a.as_ref().ok()?, b.as_ref().ok()?))).collect();
    let mut told = Vec::new();
    for (name, figure) in FIGURES {
        let differences: Vec<f64> = pairs.iter().map(|(a, b)| figure(b) - figure(a)).collect();
        let base = spread(pairs.iter().map(|(a, _)| figure(a)).collect());
        let variant = spread(pairs.iter().map(|(_, b)| figure(b)).collect());
        told.push((name, base, variant, interval(&differences)));
    }
    if setup.json {
        let each = told.iter().map(|(name, base, variant, interval)| {
            json!({"figure": name, "base": base, "variant": variant, "difference_95": interval})
        });
        print(format!("{:#}\n", each.collect::<serde_json::Value>()))?;
    } else {
        let rows = told.into_iter().map(|(name, base, variant, interval)| {
            let interval =
                interval.map_or("-".to_string(), |(least, most)| format!("{least:+.4} to {most:+.4}"));
            vec![name.to_string(), base, variant, interval]
        });
        print(table(&["figure", "base", "variant", "mean difference, 95%"], rows.collect()))?;
    }
    Ok(Outcome::All)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn medians_and_intervals_are_those_of_the_books() {
        assert_eq!((median(&[1.0, 2.0, 9.0]), median(&[1.0, 2.0, 4.0, 9.0])), (2.0, 3.0));
        assert_eq!(spread(vec![3.0, 1.0, 2.0]), "2.000 (1.000 to 3.000)");
        // Mean 2, standard deviation 1, three of them: 2 ± 4.303 / sqrt 3.
        let (least, most) = interval(&[1.0, 2.0, 3.0]).unwrap();
        assert!((least + 0.4843).abs() < 1e-3 && (most - 4.4843).abs() < 1e-3, "{least} to {most}");
        assert_eq!(interval(&[1.0]), None);
        assert_eq!(interval(&[0.5, 0.5]), Some((0.5, 0.5)));
    }
}
