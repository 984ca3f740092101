//! Connects the decision logic of the gateway to the simulator: reads batches of events from standard input
//! and writes replies to standard output, one line each. Makes no decisions of its own.

mod action;
mod event;
mod message;
mod session;

use clap::{Parser, Subcommand};
use program_support::config::Errors;
use program_support::log;
use program_support::program::{finish, print};
use schemars::JsonSchema;
use serde::Deserialize;
use session::Session;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

/// The gateway's decisions on the simulator's wire: batches of events on standard input, replies on standard output.
///
/// Exit codes: 0 the input has ended, 1 failed, 2 wrong arguments.
#[derive(Parser)]
#[command(name = "sprucehatch-simulator-adapter", version)]
struct Arguments {
    /// A TOML file with `log`, the options of the log
    #[arg(long, value_name = "FILE", global = true)]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serves the wire until the input ends
    Run,
    /// Checks the configuration, tells all that is wrong with it and starts nothing
    CheckConfig,
}

#[derive(Deserialize, JsonSchema, Default)]
#[serde(default, deny_unknown_fields)]
struct File {
    log: log::Options,
}

fn main() -> ExitCode {
    let Arguments { config, command } = Arguments::parse();
    let file = match config {
        Some(path) => program_support::config::load::<File>(&path, "").map(|loaded| loaded.settings),
        None => Ok(File::default()),
    };
    let done = file.and_then(|file| match command.unwrap_or(Command::Run) {
        Command::Run => {
            log::start(&file.log).map_err(Errors::single)?;
            Session::default().run(io::stdin().lock(), io::stdout().lock()).map_err(Errors::single)
        }
        Command::CheckConfig => print("ok\n"),
    });
    finish("sprucehatch-simulator-adapter", done.map(|()| ExitCode::SUCCESS))
}
