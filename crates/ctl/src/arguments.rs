//! Parses the command line of `ctl`.

use crate::error::CtlError;
use getopts::{Matches, Options};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

const BRIEF: &str = "Usage: sprucehatch-node ctl <command> --control ADDR[,ADDR] [options]

Commands:
  members             all core processes: role, term, how far their logs are
  leader              who leads, and for how long its lease lasts
  config show         the configuration in force
  config check FILE   check a file, and whether it may follow the one in force, without sending it
  config put FILE     take a file as the configuration (on top of the one in force, or of --on VERSION)
  config history      the versions that were taken
  config diff FILE    what a file would change
  workers             all workers: whether they may take starts and why not, room, pace
  queues              queues and deficits by service and priority
  job explain ID      one job: its attempts, how they ended, what its steps wait for
  metrics             metrics of the first process that answers, in the OpenMetrics format
  transfer            hand leadership over to another voter
  snapshot            let the first process that answers take a snapshot now

Exit codes: 0 done, 1 refused or invalid, 2 no clear answer, 64 the command line is not understood.";
/// Default timeout of a command.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum timeout of a command, in seconds.
const MAX_TIMEOUT_S: u64 = 600;

/// A command on a running group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    Members,
    Leader,
    ConfigShow,
    ConfigCheck {
        file: PathBuf,
    },
    ConfigPut {
        file: PathBuf,
        /// The version that the file builds on; if none, the version in force.
        builds_on: Option<u64>,
    },
    ConfigHistory,
    ConfigDiff {
        file: PathBuf,
    },
    Workers,
    Queues,
    JobExplain {
        id: u64,
    },
    Metrics,
    Transfer,
    Snapshot,
}

/// A command and its common options.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arguments {
    /// The command.
    pub command: Command,
    /// `Control` addresses of core processes, tried in this order.
    pub control: Vec<SocketAddr>,
    /// Whether to print the unchanged documents instead of tables.
    pub json: bool,
    /// How long to retry until a process gives a clear answer.
    pub timeout: Duration,
}

/// The action that the command line selects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Print this help text.
    Help(String),
    /// Run a command.
    Run(Arguments),
}

/// Parses the words after `ctl`.
///
/// # Errors
///
/// [`CtlError::Usage`] if they are invalid.
pub fn read(words: &[String]) -> Result<Request, CtlError> {
    let options = options();
    let matches = options.parse(words).map_err(|error| CtlError::Usage(error.to_string()))?;
    if matches.opt_present("help") {
        return Ok(Request::Help(options.usage(BRIEF)));
    }
    let command = read_command(&matches)?;
    if matches.opt_present("on") && !matches!(command, Command::ConfigPut { .. }) {
        return Err(CtlError::Usage("--on is for config put only".to_owned()));
    }
    let control = read_addresses(&matches.opt_strs("control"))?;
    let timeout = read_timeout(matches.opt_str("timeout"))?;
    Ok(Request::Run(Arguments { command, control, json: matches.opt_present("json"), timeout }))
}

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optmulti(
        "",
        "control",
        "Control addresses of core processes, tried in this order",
        "ADDR[,ADDR]",
    );
    options.optflag("", "json", "print JSON in place of tables");
    options.optopt("", "on", "with config put: the version that FILE builds on", "VERSION");
    options.optopt("", "timeout", "how long to ask for a clear answer (5 if not given)", "SECONDS");
    options
}

fn read_command(matches: &Matches) -> Result<Command, CtlError> {
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    Ok(match words.as_slice() {
        ["members"] => Command::Members,
        ["leader"] => Command::Leader,
        ["config", "show"] => Command::ConfigShow,
        ["config", "check", file] => Command::ConfigCheck { file: file.into() },
        ["config", "put", file] => {
            Command::ConfigPut { file: file.into(), builds_on: read_version(matches.opt_str("on"))? }
        }
        ["config", "history"] => Command::ConfigHistory,
        ["config", "diff", file] => Command::ConfigDiff { file: file.into() },
        ["workers"] => Command::Workers,
        ["queues"] => Command::Queues,
        ["job", "explain", id] => {
            let id = configuration::job_id::parse(id).map_err(|error| CtlError::Usage(error.to_string()))?;
            Command::JobExplain { id }
        }
        ["metrics"] => Command::Metrics,
        ["transfer"] => Command::Transfer,
        ["snapshot"] => Command::Snapshot,
        [] => return Err(CtlError::Usage("a command must be given".to_owned())),
        _ => return Err(CtlError::Usage(format!("{:?} is no command", words.join(" ")))),
    })
}

fn read_version(text: Option<String>) -> Result<Option<u64>, CtlError> {
    let Some(text) = text else { return Ok(None) };
    text.parse()
        .map(Some)
        .map_err(|_| CtlError::Usage(format!("{text:?} is not a version, give a whole number")))
}

fn read_addresses(lists: &[String]) -> Result<Vec<SocketAddr>, CtlError> {
    let texts = lists.iter().flat_map(|list| list.split(',')).filter(|text| !text.is_empty());
    let addresses: Result<Vec<SocketAddr>, CtlError> = texts
        .map(|text| {
            text.parse().map_err(|_| CtlError::Usage(format!("{text:?} is not an address, give ip:port")))
        })
        .collect();
    let addresses = addresses?;
    if addresses.is_empty() {
        return Err(CtlError::Usage("--control with the address of a core process must be given".to_owned()));
    }
    Ok(addresses)
}

fn read_timeout(text: Option<String>) -> Result<Duration, CtlError> {
    let Some(text) = text else { return Ok(DEFAULT_TIMEOUT) };
    match text.parse() {
        Ok(seconds) if (1..=MAX_TIMEOUT_S).contains(&seconds) => Ok(Duration::from_secs(seconds)),
        _ => Err(CtlError::Usage(format!("--timeout {text:?} is not between 1 and {MAX_TIMEOUT_S} seconds"))),
    }
}
