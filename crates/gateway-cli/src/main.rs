//! `sprucehatch`, the operators' command line: parses the arguments and runs the command.

mod demo;
mod gateways;
mod lab;
mod options;
mod outcome;
mod registry;
mod scenarios;
mod table;
mod trial;

use clap::{CommandFactory, Parser, Subcommand};
use gateways::Format;
use options::CommonArguments;
use outcome::Outcome;
use program_support::config::Errors;
use program_support::program::{finish, print};
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
    options: CommonArguments,
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
        return print(text).map(|()| Outcome::Success);
    }
    let options = options::read(&arguments.options)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(Default::default())
        .map_err(|e| Errors::single(format!("cannot start the event loop: {e}")))?;
    runtime.block_on(async {
        match arguments.command {
            Command::Status => gateways::status(&options).await,
            Command::Watch { every_ms, count } => {
                gateways::watch(&options, Duration::from_millis(every_ms), count).await
            }
            Command::Metrics { format } => gateways::metrics(&options, format).await,
            Command::Drain => gateways::post(&options, "/-/drain").await,
            Command::Resume => gateways::post(&options, "/-/resume").await,
            Command::Disable { server } => {
                gateways::post(&options, &gateways::roll_server_path(&server, "disable")).await
            }
            Command::Enable { server } => {
                gateways::post(&options, &gateways::roll_server_path(&server, "enable")).await
            }
            Command::Log { level: None, .. } => gateways::show_json(&options, "/-/log").await,
            Command::Log { level: Some(level), module } => {
                let module =
                    module.map(|m| format!("&module={}", gateways::percent_encoded(&m))).unwrap_or_default();
                gateways::post(&options, &format!("/-/log?level={level}{module}")).await
            }
            Command::Registry(command) => registry::run(&options, command).await,
            Command::Lab(lab::Command::Demo(demo)) => run_until_signal(demo::run(&options, &demo)).await,
            Command::Lab(command) => lab::run(&options, command),
            Command::Trial(command) => run_until_signal(trial::run(&options, &command)).await,
            Command::CheckConfig => print("ok\n").map(|()| Outcome::Success),
            Command::Completions { .. } => Ok(Outcome::Success),
        }
    })
}

/// Runs a command that starts other programs. SIGINT, SIGTERM or SIGHUP cancels the command, which ends every
/// program that it started.
async fn run_until_signal(command: impl Future<Output = Result<Outcome, Errors>>) -> Result<Outcome, Errors> {
    let listen =
        |kind| signal(kind).map_err(|e| Errors::single(format!("cannot install signal handlers: {e}")));
    let (mut interrupt, mut terminate) = (listen(SignalKind::interrupt())?, listen(SignalKind::terminate())?);
    let mut hangup = listen(SignalKind::hangup())?;
    tokio::select! {
        biased;
        outcome = command => outcome,
        _ = interrupt.recv() => Err(Errors::single("stopped by a signal; all started programs have ended")),
        _ = terminate.recv() => Err(Errors::single("stopped by a signal; all started programs have ended")),
        _ = hangup.recv() => Err(Errors::single("stopped by a signal; all started programs have ended")),
    }
}
