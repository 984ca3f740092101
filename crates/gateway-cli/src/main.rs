//! sprucehatch: the operators' command line.

mod demo;
mod gateways;
mod lab;
mod outcome;
mod registry;
mod scenarios;
mod setup;
mod table;
mod trial;

use clap::{CommandFactory, Parser, Subcommand};
use gateways::Format;
use outcome::Outcome;
use program_support::config::Errors;
use program_support::program::{finish, print};
use setup::SetupArguments;
use std::future::Future;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};

/// Watches and steers gateways and registries.
///
/// Gateways are called at their operators' addresses, all at once; each call stands by itself, and those that fail are
/// shown beside those that do not.
///
/// Exit codes: 0 all that were called said yes; 1 none did, or the command failed; 2 wrong arguments; 3 some said yes and
/// some did not.
#[derive(Parser)]
#[command(name = "sprucehatch", version)]
struct Arguments {
    #[command(flatten)]
    setup: SetupArguments,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Shows each gateway: its state, requests, roll servers, list and latencies
    Status,
    /// Shows the gateways as a table that is refreshed
    Watch {
        /// Between two looks, in milliseconds
        #[arg(long, value_name = "N", default_value_t = 1000, value_parser = clap::value_parser!(u64).range(100..=3_600_000))]
        every_ms: u64,
        /// Ends after so many looks
        #[arg(long, value_name = "N")]
        count: Option<u64>,
    },
    /// Prints the figures
    Metrics {
        #[arg(long, value_enum, default_value_t = Format::Json)]
        format: Format,
    },
    /// Has clients sent away
    Drain,
    /// Ends a drain
    Resume,
    /// Takes a roll server out by hand
    Disable {
        /// Its name in the list
        #[arg(value_name = "ROLL-SERVER")]
        server: String,
    },
    /// Puts a roll server back
    Enable {
        #[arg(value_name = "ROLL-SERVER")]
        server: String,
    },
    /// Shows the log's level, or changes it
    Log {
        #[arg(long)]
        level: Option<program_support::log::Level>,
        /// The module whose level it is; without it that of all others
        #[arg(long, value_name = "PATH", requires = "level")]
        module: Option<String>,
    },
    /// Reads and changes a registry's list
    #[command(subcommand)]
    Registry(registry::Command),
    /// Plays scenarios in simulated time with the real decisions
    #[command(subcommand)]
    Lab(lab::Command),
    /// Plays scenarios with real processes and faults on the links between them
    #[command(subcommand)]
    Trial(trial::Command),
    /// Checks the configuration, tells all that is wrong with it and calls nobody
    CheckConfig,
    /// Prints what a shell completes this command line with
    Completions { shell: clap_complete::Shell },
}

fn main() -> ExitCode {
    finish("sprucehatch", run(Arguments::parse()).map(ExitCode::from))
}

fn run(arguments: Arguments) -> Result<Outcome, Errors> {
    if let Command::Completions { shell } = arguments.command {
        let mut text = Vec::new();
        clap_complete::generate(shell, &mut Arguments::command(), "sprucehatch", &mut text);
        return print(text).map(|()| Outcome::All);
    }
    let setup = setup::read(&arguments.setup)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(Default::default())
        .map_err(|e| Errors::single(format!("cannot start the event loop: {e}")))?;
    runtime.block_on(async {
        match arguments.command {
            Command::Status => gateways::status(&setup).await,
            Command::Watch { every_ms, count } => {
                gateways::watch(&setup, Duration::from_millis(every_ms), count).await
            }
            Command::Metrics { format } => gateways::metrics(&setup, format).await,
            Command::Drain => gateways::post(&setup, "/-/drain").await,
            Command::Resume => gateways::post(&setup, "/-/resume").await,
            Command::Disable { server } => {
                gateways::post(&setup, &gateways::server_path(&server, "disable")).await
            }
            Command::Enable { server } => {
                gateways::post(&setup, &gateways::server_path(&server, "enable")).await
            }
            Command::Log { level: None, .. } => gateways::show_json(&setup, "/-/log").await,
            Command::Log { level: Some(level), module } => {
                let module = module.map(|m| format!("&module={}", gateways::encoded(&m))).unwrap_or_default();
                gateways::post(&setup, &format!("/-/log?level={level}{module}")).await
            }
            Command::Registry(command) => registry::run(&setup, command).await,
            Command::Lab(lab::Command::Demo(demo)) => until_stopped(demo::run(&setup, &demo)).await,
            Command::Lab(command) => lab::run(&setup, command),
            Command::Trial(command) => until_stopped(trial::run(&setup, &command)).await,
            Command::CheckConfig => print("ok\n").map(|()| Outcome::All),
            Command::Completions { .. } => Ok(Outcome::All),
        }
    })
}

/// Runs a command that starts other programs. A signal ends it and all that it started.
async fn until_stopped(what: impl Future<Output = Result<Outcome, Errors>>) -> Result<Outcome, Errors> {
    let on = |kind| signal(kind).map_err(|e| Errors::single(format!("signals: {e}")));
    let (mut int, mut term) = (on(SignalKind::interrupt())?, on(SignalKind::terminate())?);
    let mut hangup = on(SignalKind::hangup())?;
    tokio::select! {
        biased;
        outcome = what => outcome,
        _ = int.recv() => Err(Errors::single("stopped; everything is ended")),
        _ = term.recv() => Err(Errors::single("stopped; everything is ended")),
        _ = hangup.recv() => Err(Errors::single("stopped; everything is ended")),
    }
}
