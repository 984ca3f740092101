//! sprucehatch-gateway: runs one gateway as a process.

use clap::{Parser, Subcommand};
use program_support::config::{configuration_path, Errors};
use program_support::log;
use program_support::program::{finish, print};
use sprucehatch_gateway::{config, inherited, Config, Host};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::spawn_local;

/// The gateway in front of the roll servers.
///
/// Without a command it runs. The configuration is the file that --config or LB_CONFIG names: TOML if its name ends in
/// .toml, else the platform's JSON. LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_OPS go before the file; LB_INHERITED_FD
/// names the descriptor of the clients' listening socket, and TMPDIR the folder where two processes of one gateway meet.
///
/// Exit codes: 0 done, 1 failed, 2 wrong arguments.
#[derive(Parser)]
#[command(name = "sprucehatch-gateway", version)]
struct Arguments {
    /// The configuration file.
    #[arg(long, value_name = "FILE", global = true)]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Runs the gateway until SIGTERM; SIGHUP has the configuration read again
    Run,
    /// Checks the configuration, tells all that is wrong with it and starts nothing
    CheckConfig,
    /// Prints the TOML configuration with the values that are used for what a file leaves out
    PrintDefaults,
    /// Prints the JSON schema of the configuration
    PrintSchema,
}

fn main() -> ExitCode {
    let Arguments { config, command } = Arguments::parse();
    let done = match command.unwrap_or(Command::Run) {
        Command::Run => run(config),
        Command::CheckConfig => check_config(config),
        Command::PrintDefaults => print(config::DEFAULTS),
        Command::PrintSchema => print(format!("{:#}\n", config::schema())),
    };
    finish("sprucehatch-gateway", done.map(|()| ExitCode::SUCCESS))
}

/// Returns the path of the configuration file, from the command line or `LB_CONFIG`.
fn config_path(argument: Option<PathBuf>) -> Result<PathBuf, Errors> {
    let none = || Errors::single("LB_CONFIG is not set: it or --config names the configuration file");
    configuration_path(argument, "LB_CONFIG")?.ok_or_else(none)
}

fn environment(variable: &str) -> Option<String> {
    std::env::var(variable).ok()
}

fn check_config(argument: Option<PathBuf>) -> Result<(), Errors> {
    let path = config_path(argument)?;
    config::load(&path, environment)?;
    print(format!("{}: ok\n", path.display()))
}

fn run(argument: Option<PathBuf>) -> Result<(), Errors> {
    // This comes first: the number must not refer to a descriptor that this program opens itself.
    let inherited = match std::env::var_os("LB_INHERITED_FD") {
        Some(fd) => {
            let listener = inherited::listener(&fd.to_string_lossy());
            Some(listener.map_err(|e| Errors::single(format!("LB_INHERITED_FD: {e}")))?)
        }
        None => None,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(Default::default())
        .map_err(|e| Errors::single(format!("cannot start the event loop: {e}")))?;
    // Spawned as a task: waking the future of `block_on` itself costs a write to an eventfd each time.
    runtime
        .block_on(async { spawn_local(serve(argument, inherited)).await })
        .unwrap_or_else(|e| Err(Errors::single(format!("the gateway's task failed: {e}"))))
}

/// Installs a signal handler.
fn listen_for(kind: SignalKind) -> Result<Signal, Errors> {
    signal(kind).map_err(|e| Errors::single(format!("cannot listen for signals: {e}")))
}

async fn serve(argument: Option<PathBuf>, inherited: Option<std::net::TcpListener>) -> Result<(), Errors> {
    // The handlers are installed before anything that takes time: a SIGHUP must never end the program.
    let mut hangup = listen_for(SignalKind::hangup())?;
    let (mut term, mut int) = (listen_for(SignalKind::terminate())?, listen_for(SignalKind::interrupt())?);
    let path = config_path(argument)?;
    let config = config::load(&path, environment)?;
    log::start(&config.log).map_err(Errors::single)?;
    let mut current = config.clone();
    let host = Host::start(config, inherited).await.map_err(Errors::single)?;
    let reload_handle = host.reload_handle();
    spawn_local(async move {
        while hangup.recv().await.is_some() {
            if let Some(config) = reload(&path, &current) {
                reload_handle.apply(&config);
                current = config;
            }
        }
    });
    let stop = async {
        tokio::select! { _ = term.recv() => {}, _ = int.recv() => {} }
    };
    host.serve(stop).await.map_err(Errors::single)
}

/// Reads the configuration file again, without the environment, which dates from the start and may be
/// outdated. If the file is invalid, nothing changes, and the log tells the operator why.
fn reload(path: &Path, before: &Config) -> Option<Config> {
    let config = match config::load(path, |_| None) {
        Ok(config) => config,
        Err(wrong) => {
            tracing::error!("configuration not taken, the old one stands: {}", wrong.0.join("; "));
            return None;
        }
    };
    let (taken, kept) = config::changes(before, &config);
    let listed = |keys: &[String]| if keys.is_empty() { "none".to_string() } else { keys.join(", ") };
    tracing::info!(
        taken = listed(&taken),
        from_a_restart_on = listed(&kept),
        "configuration read again: changed keys"
    );
    if let Some(Err(what)) = log::get().map(|log| log.set_options(config.log.clone())) {
        tracing::error!("{what}");
    }
    Some(config)
}
