//! Parses the command line of the program.

use crate::error::NodeError;
use control::{Mechanism, Mechanisms};
use getopts::{Matches, Options};
use log::LevelFilter;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

const BRIEF: &str = "Usage: sprucehatch-node <data-plane|control> [options]
       sprucehatch-node ctl <command> ...              commands on a running group, see ctl --help
       sprucehatch-node inspect DATADIR [--json|--config] the data of a core process that is down
       sprucehatch-node check-settings FILE [--role R] check a settings file
       sprucehatch-node check-config FILE              check an operator's configuration
       sprucehatch-node demo [--seconds N]             the whole system on loopback; its leader is killed midway

Runs one role of the cluster scheduler. The settings file is named by SPRUCEHATCH_CONFIG.";
/// Default duration of the demonstration, in seconds.
const DEFAULT_DEMO_S: u64 = 20;
/// Allowed durations of the demonstration, in seconds.
const DEMO_RANGE_S: RangeInclusive<u64> = 4..=300;
/// Default log specification. Lower levels would log more lines, and writing them costs processor time.
const DEFAULT_LOG: &str = "warn";

/// The role of a process in the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Serves clients over HTTP and forwards their requests to the core.
    DataPlane,
    /// Runs a member of the replicated core, which schedules the jobs.
    Control,
}

impl Role {
    /// Returns the role with this name, if there is one.
    pub fn named(name: &str) -> Option<Self> {
        [Role::DataPlane, Role::Control].into_iter().find(|role| role.name() == name)
    }

    /// The name of the role on the command line and in the deploy file.
    pub fn name(self) -> &'static str {
        match self {
            Role::DataPlane => "data-plane",
            Role::Control => "control",
        }
    }
}

/// The arguments for running a role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arguments {
    /// The role to run.
    pub role: Role,
    /// What is logged, as a specification of flexi_logger.
    pub log: String,
    /// Mechanisms of the leader that are disabled, in order to measure their effect.
    pub mechanisms: Mechanisms,
}

/// The action that the command line selects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Print this help text.
    Help(String),
    /// Run a command on a running group; holds the words after `ctl`.
    Ctl(Vec<String>),
    /// Inspect a data folder.
    Inspect {
        /// Path of the folder.
        path: PathBuf,
        /// Whether to print JSON instead of tables.
        json: bool,
    },
    /// Print the newest configuration in a data folder.
    InspectConfiguration {
        /// Path of the folder.
        path: PathBuf,
    },
    /// Check a settings file.
    CheckSettings {
        /// Path of the file.
        path: PathBuf,
        /// The role to check the settings for; if none, the role that the file names.
        role: Option<Role>,
    },
    /// Check an operator's configuration.
    CheckConfiguration {
        /// Path of the file.
        path: PathBuf,
    },
    /// Run the demonstration.
    Demo {
        /// How long jobs are submitted.
        duration: Duration,
    },
    /// Run a role.
    Run(Arguments),
}

/// Parses the arguments that follow the program's name.
///
/// # Errors
///
/// [`NodeError::Usage`] if the arguments are invalid.
pub fn read(arguments: Vec<String>) -> Result<Request, NodeError> {
    if let Some((first, rest)) = arguments.split_first() {
        if first == "ctl" {
            return Ok(Request::Ctl(rest.to_vec()));
        }
    }
    let options = options();
    let matches = options.parse(arguments).map_err(|error| NodeError::Usage(error.to_string()))?;
    if matches.opt_present("help") {
        return Ok(Request::Help(options.usage(BRIEF)));
    }
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["inspect", path] => {
            allow(&matches, &["json", "config"])?;
            if matches.opt_present("config") {
                return Ok(Request::InspectConfiguration { path: path.into() });
            }
            Ok(Request::Inspect { path: path.into(), json: matches.opt_present("json") })
        }
        ["check-settings", path] => {
            allow(&matches, &["role"])?;
            let role = matches.opt_str("role").map(|name| read_role(&name)).transpose()?;
            Ok(Request::CheckSettings { path: path.into(), role })
        }
        ["demo"] => {
            allow(&matches, &["seconds"])?;
            Ok(Request::Demo { duration: read_seconds(matches.opt_str("seconds"))? })
        }
        ["check-config", path] => {
            allow(&matches, &[])?;
            Ok(Request::CheckConfiguration { path: path.into() })
        }
        [role] => {
            allow(&matches, &["log", "without"])?;
            let mechanisms = read_mechanisms(matches.opt_str("without"))?;
            let log = read_log(matches.opt_str("log").as_deref().unwrap_or(DEFAULT_LOG))?;
            Ok(Request::Run(Arguments { role: read_role(role)?, log, mechanisms }))
        }
        _ => Err(NodeError::Usage("exactly one role or command must be given".to_owned())),
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optopt(
        "",
        "log",
        "what a role logs: a level (off, error, warn, info, debug, trace), also by target, as in info,control=debug",
        "SPEC",
    );
    options.optopt(
        "",
        "without",
        "control: mechanisms that are switched off to measure their worth (docs/policy-rounds.md), with commas between",
        "NAMES",
    );
    options.optflag("", "json", "inspect: print JSON in place of tables");
    options.optflag(
        "",
        "config",
        "inspect: print the newest configuration, as it was sent, and nothing else",
    );
    options.optopt("", "seconds", "demo: how long jobs are sent (20 if not given)", "SECONDS");
    options.optopt("", "role", "check-settings: the role that the file is for", "ROLE");
    options
}

/// Rejects options that are not in `allowed`.
fn allow(matches: &Matches, allowed: &[&str]) -> Result<(), NodeError> {
    let given = ["log", "without", "json", "config", "role", "seconds"]
        .into_iter()
        .filter(|name| matches.opt_present(name));
    match given.into_iter().find(|name| !allowed.contains(name)) {
        Some(name) => Err(NodeError::Usage(format!("--{name} does not apply to this command"))),
        None => Ok(()),
    }
}

/// Checks and normalizes a log specification: a comma-separated list of levels, each for all targets or, as
/// `TARGET=LEVEL`, for the targets that begin with `TARGET`. Targets are crates and modules, so hyphens
/// become underscores.
fn read_log(text: &str) -> Result<String, NodeError> {
    let mut parts = Vec::new();
    for part in text.split(',') {
        let (target, level) = part.rsplit_once('=').unwrap_or(("", part));
        let level: LevelFilter =
            level.parse().map_err(|_| NodeError::Usage(format!("{level:?} is not a log level")))?;
        let level = level.as_str().to_lowercase();
        let target = target.replace('-', "_");
        parts.push(if target.is_empty() { level } else { format!("{target}={level}") });
    }
    Ok(parts.join(","))
}

/// Parses the comma-separated names of the mechanisms to disable.
fn read_mechanisms(text: Option<String>) -> Result<Mechanisms, NodeError> {
    let Some(text) = text else { return Ok(Mechanisms::default()) };
    let read = |name: &str| {
        let known = || Mechanism::names().collect::<Vec<_>>().join(", ");
        Mechanism::named(name)
            .ok_or_else(|| NodeError::Usage(format!("{name:?} is not a mechanism, use one of {}", known())))
    };
    let disabled = text.split(',').map(read).collect::<Result<Vec<_>, _>>()?;
    Ok(Mechanisms::without(disabled))
}

fn read_seconds(text: Option<String>) -> Result<Duration, NodeError> {
    let Some(text) = text else { return Ok(Duration::from_secs(DEFAULT_DEMO_S)) };
    match text.parse() {
        Ok(seconds) if DEMO_RANGE_S.contains(&seconds) => Ok(Duration::from_secs(seconds)),
        _ => Err(NodeError::Usage(format!(
            "--seconds {text:?} is not between {} and {}",
            DEMO_RANGE_S.start(),
            DEMO_RANGE_S.end()
        ))),
    }
}

fn read_role(name: &str) -> Result<Role, NodeError> {
    let unknown = || NodeError::Usage(format!("{name} is not a role, use data-plane or control"));
    Role::named(name).ok_or_else(unknown)
}
