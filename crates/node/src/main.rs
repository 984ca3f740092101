//! The program `sprucehatch-node`: runs one role of the system per process, and the operators' commands.

mod arguments;
mod checks;
mod error;

use arguments::{Arguments, Request, Role};
use configuration::ProcessSettings;
use error::NodeError;
use flexi_logger::{DeferredNow, LogSpecification, Logger, LoggerHandle};
use log::Record;
use process_signals::ProcessRuntime;
use std::io::{self, stdout, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Environment variable that holds the path of the settings file.
const SETTINGS_VARIABLE: &str = "SPRUCEHATCH_CONFIG";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sprucehatch-node: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run() -> Result<(), NodeError> {
    let arguments = match arguments::read(std::env::args().skip(1).collect())? {
        Request::Help(text) => {
            print!("{text}");
            return Ok(());
        }
        Request::Ctl(words) => return Ok(ctl::run(&words, &mut stdout().lock())?),
        Request::Inspect { path, json } => return Ok(ctl::inspect::run(&path, json, &mut stdout().lock())?),
        Request::InspectConfiguration { path } => {
            return Ok(ctl::inspect::configuration(&path, &mut stdout().lock())?);
        }
        Request::CheckSettings { path, role } => {
            return checks::check_settings(&path, role, &mut stdout().lock());
        }
        Request::CheckConfiguration { path } => {
            return checks::check_configuration(&path, &mut stdout().lock())
        }
        Request::Demo { duration } => return run_demo(duration),
        Request::Run(arguments) => arguments,
    };
    // Comes before all other steps: a signal that arrives before the handlers are installed ends the process.
    let process = ProcessRuntime::start().map_err(NodeError::Runtime)?;
    run_role(process, &arguments)
}

/// Runs the demonstration with processes of the same executable.
fn run_demo(duration: Duration) -> Result<(), NodeError> {
    let program = std::env::current_exe().map_err(NodeError::OwnPath)?;
    let report = demo::run(&program, duration)?;
    write!(stdout(), "{report}").map_err(NodeError::Output)
}

fn run_role(process: ProcessRuntime, arguments: &Arguments) -> Result<(), NodeError> {
    let _logger = start_logger(arguments)?;
    let path = settings_path()?;
    let settings = read_settings(&path)?;
    match arguments.role {
        Role::DataPlane => {
            data_plane::run(process, settings, path).map_err(|error| NodeError::Role(error.to_string()))
        }
        Role::Control => control::run(process, settings, path, arguments.mechanisms.clone())
            .map_err(|error| NodeError::Role(error.to_string())),
    }
}

/// Starts a logger that writes to standard error until the returned handle is dropped.
fn start_logger(arguments: &Arguments) -> Result<LoggerHandle, NodeError> {
    let specification = LogSpecification::parse(&arguments.log)
        .map_err(|error| NodeError::LogSpecification(error.to_string()))?;
    let logger = Logger::with(specification).format(write_line).log_to_stderr();
    logger.start().map_err(|error| NodeError::Logger(error.to_string()))
}

/// Writes a log line: time, level, target and message. Messages end with their fields as `name=value`.
fn write_line(out: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    write!(out, "{} {} {}: {}", now.format_rfc3339(), record.level(), record.target(), record.args())
}

fn settings_path() -> Result<PathBuf, NodeError> {
    let path = std::env::var_os(SETTINGS_VARIABLE).filter(|path| !path.is_empty());
    path.map(PathBuf::from).ok_or(NodeError::NoSettingsPath)
}

fn read_settings(path: &PathBuf) -> Result<ProcessSettings, NodeError> {
    let text = std::fs::read_to_string(path).map_err(|error| NodeError::ReadSettings(path.clone(), error))?;
    ProcessSettings::read(&text).map_err(|error| NodeError::Settings(path.clone(), error))
}
