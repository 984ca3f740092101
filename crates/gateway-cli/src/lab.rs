//! Commands of the lab, which plays scenarios in simulated time.

mod compare;
mod play;
mod seeds;

use crate::outcome::Outcome;
use crate::scenarios::scenario;
use crate::setup::Setup;
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

pub fn run(setup: &Setup, command: Command) -> Result<Outcome, Errors> {
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
                return Err(Errors(wrong));
            }
            print("ok\n").map(|()| Outcome::All)
        }
        Command::Search { base, count, first, to } => search(&base, first, count, &to),
        Command::Experiment { file, to } => experiment(setup, &file, &to),
        // Its sockets are on the event loop: the caller runs it.
        Command::Demo(_) => Ok(Outcome::None),
        Command::Run(run) => play(setup, &run),
        Command::Compare { base, variant, seeds } => compare(setup, &base, &variant, &seeds),
    }
}

fn experiment(setup: &Setup, file: &Path, to: &Path) -> Result<Outcome, Errors> {
    let experiment = Experiment::load(file)?;
    let bar = ProgressBar::with_draw_target(None, ProgressDrawTarget::stderr());
    let results = experiment.play(to, |done, all| {
        bar.set_length(all);
        bar.set_position(done);
    })?;
    bar.finish_and_clear();
    let page = results.write(to)?;
    if setup.json {
        print(format!(
            "{:#}\n",
            json!({"plays": results.plays.len(), "page": page, "table": results.table()})
        ))?;
    } else {
        let head = ["variant", "figure", "plays", "median (least to most)", "difference to the first, 95%"];
        print(table(&head, results.table().into_iter().map(Vec::from).collect()))?;
        print(format!("\n{}\n", page.display()))?;
    }
    let broken: Vec<String> =
        results.breaches().map(|(variant, what)| format!("{variant}: {what}")).collect();
    if broken.is_empty() {
        Ok(Outcome::All)
    } else {
        Err(Errors(broken))
    }
}

fn search(base: &str, first: u64, count: u64, to: &Path) -> Result<Outcome, Errors> {
    let base = scenario(base)?;
    let Some(found) = gateway_simulation::search::search(&base, first, count) else {
        print(format!("no rule is broken in {count} scripts from seed {first} on\n"))?;
        return Ok(Outcome::All);
    };
    std::fs::write(to, found.scenario.text())
        .map_err(|e| Errors::single(format!("{}: {e}", to.display())))?;
    print(format!("seed {}, written to {}\n{}", found.seed, to.display(), found.breach))?;
    Ok(Outcome::None)
}

fn list(setup: &Setup) -> Result<Outcome, Errors> {
    let all: Vec<Scenario> = CATALOGUE.iter().map(|(name, _)| scenario(name)).collect::<Result<_, _>>()?;
    if setup.json {
        let each: Vec<_> = all.iter().map(|s| json!({"name": s.name, "claim": s.claim})).collect();
        print(format!("{:#}\n", json!(each)))?;
    } else {
        print(table(&["scenario", "claim"], all.into_iter().map(|s| vec![s.name, s.claim]).collect()))?;
    }
    Ok(Outcome::All)
}
