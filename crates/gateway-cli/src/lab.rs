//! Commands of the lab, the simulation that plays scenarios in simulated time.

mod compare;
mod play;
mod seeds;

use crate::options::CommonOptions;
use crate::outcome::Outcome;
use crate::scenarios::scenario;
use crate::table::table;
use clap::Subcommand;
use compare::compare;
use gateway_simulation::experiment::Experiment;
use gateway_simulation::{Scenario, CATALOGUE};
use indicatif::{ProgressBar, ProgressDrawTarget};
use play::{play, Run};
use program_support::config::Errors;
use program_support::program::print;
use seeds::Seeds;
use serde_json::json;
use std::path::{Path, PathBuf};

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
    /// Plays an experiment: variants of a scenario with the same seeds. One that was stopped is gone on with
    Experiment {
        file: PathBuf,
        /// Where results, tables and the page are written
        #[arg(long, value_name = "FOLDER", default_value = "results")]
        to: PathBuf,
    },
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

/// Runs a command of the lab. `main` runs `Demo` itself.
pub fn run(options: &CommonOptions, command: Command) -> Result<Outcome, Errors> {
    match command {
        Command::List => list(options),
        Command::Print { name } => match CATALOGUE.iter().find(|(known, _)| *known == name) {
            Some((_, text)) => print(text).map(|()| Outcome::Success),
            None => scenario(&name).map(|_| Outcome::Success),
        },
        Command::Check { files } => {
            let errors: Vec<String> =
                files.iter().filter_map(|file| Scenario::load(file).err()).flat_map(|e| e.0).collect();
            if !errors.is_empty() {
                return Err(Errors(errors));
            }
            print("ok\n").map(|()| Outcome::Success)
        }
        Command::Search { base, count, first, to } => search(&base, first, count, &to),
        Command::Experiment { file, to } => experiment(options, &file, &to),
        // The demo uses sockets on the event loop, so `main` runs it.
        Command::Demo(_) => Ok(Outcome::Failure),
        Command::Run(run) => play(options, &run),
        Command::Compare { base, variant, seeds } => compare(options, &base, &variant, &seeds),
    }
}

/// Plays an experiment with a progress bar, and writes and prints its results. Fails if a rule is broken.
fn experiment(options: &CommonOptions, file: &Path, to: &Path) -> Result<Outcome, Errors> {
    let experiment = Experiment::load(file)?;
    let bar = ProgressBar::with_draw_target(None, ProgressDrawTarget::stderr());
    let results = experiment.play(to, |done, all| {
        bar.set_length(all);
        bar.set_position(done);
    })?;
    bar.finish_and_clear();
    let page = results.write(to)?;
    if options.json {
        print(format!(
            "{:#}\n",
            json!({"plays": results.plays.len(), "page": page, "table": results.table()})
        ))?;
    } else {
        let header = ["variant", "figure", "plays", "median (least to most)", "difference to the first, 95%"];
        print(table(&header, results.table().into_iter().map(Vec::from).collect()))?;
        print(format!("\n{}\n", page.display()))?;
    }
    let breaches: Vec<String> =
        results.breaches().map(|(variant, what)| format!("{variant}: {what}")).collect();
    if breaches.is_empty() {
        Ok(Outcome::Success)
    } else {
        Err(Errors(breaches))
    }
}

/// Searches random fault scripts for a broken rule and writes the smallest scenario found to `to`.
fn search(base: &str, first: u64, count: u64, to: &Path) -> Result<Outcome, Errors> {
    let base = scenario(base)?;
    let Some(found) = gateway_simulation::search::search(&base, first, count) else {
        print(format!("no rule is broken in {count} scripts from seed {first} on\n"))?;
        return Ok(Outcome::Success);
    };
    std::fs::write(to, found.scenario.text())
        .map_err(|e| Errors::single(format!("{}: {e}", to.display())))?;
    print(format!("seed {}, written to {}\n{}", found.seed, to.display(), found.breach))?;
    Ok(Outcome::Failure)
}

/// Prints the scenarios of the catalogue with their claims.
fn list(options: &CommonOptions) -> Result<Outcome, Errors> {
    let all: Vec<Scenario> = CATALOGUE.iter().map(|(name, _)| scenario(name)).collect::<Result<_, _>>()?;
    if options.json {
        let each: Vec<_> = all.iter().map(|s| json!({"name": s.name, "claim": s.claim})).collect();
        print(format!("{:#}\n", json!(each)))?;
    } else {
        print(table(&["scenario", "claim"], all.into_iter().map(|s| vec![s.name, s.claim]).collect()))?;
    }
    Ok(Outcome::Success)
}
