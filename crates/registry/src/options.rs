//! Reads the command line and the configuration file into validated options.

use clap::{Parser, Subcommand};
use program_support::config::{self, Errors};
use program_support::log;
use schemars::JsonSchema;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

const MAX_GRACE_MS: u64 = 600_000;
const DEFAULT_READERS: &str = "127.0.0.1:8500";
const DEFAULT_REGISTRARS: &str = "127.0.0.1:8501";
const DEFAULT_GRACE_MS: u64 = 30_000;

/// The list of roll servers as a service: servers announce themselves under a lease, gateways read and watch the list.
///
/// Options go before the keys of the same names in the file that --config names.
///
/// Exit codes: 0 done, 1 failed, 2 wrong arguments.
#[derive(Parser)]
#[command(name = "sprucehatch-registry", version)]
pub struct Arguments {
    /// A TOML file with the options below as its keys, and `log`
    #[arg(long, value_name = "FILE", global = true)]
    pub config: Option<PathBuf>,
    #[command(flatten)]
    pub settings: Settings,
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Subcommand)]
pub enum Command {
    /// Runs the registry until SIGTERM
    Run,
    /// Checks options and configuration, tells all that is wrong with them and starts nothing
    CheckConfig,
    /// Prints the JSON schema of the configuration
    PrintSchema,
}

/// What the command line or the configuration says.
#[derive(clap::Args, Deserialize, JsonSchema, Default)]
#[serde(default, deny_unknown_fields)]
#[schemars(rename = "Told")]
pub struct Settings {
    /// Where the list is kept; made if it is not there
    #[arg(long, global = true, value_name = "FOLDER")]
    dir: Option<PathBuf>,
    /// Serve the list of the registry whose readers call there; nobody registers here
    #[arg(long, global = true, value_name = "ADDRESS")]
    follow: Option<String>,
    /// Where gateways read the list [default: 127.0.0.1:8500]
    #[arg(long, global = true, value_name = "ADDRESS")]
    readers: Option<String>,
    /// Where servers announce themselves [default: 127.0.0.1:8501]
    #[arg(long, global = true, value_name = "ADDRESS")]
    registrars: Option<String>,
    /// Where staff read figures; without it nobody does
    #[arg(long, global = true, value_name = "ADDRESS")]
    operators: Option<String>,
    /// No lease ends so soon after a start, in milliseconds [default: 30000]
    #[arg(long, global = true, value_name = "N", value_parser = clap::value_parser!(u64).range(0..=MAX_GRACE_MS))]
    #[schemars(range(max = 600_000))]
    grace_ms: Option<u64>,
    /// The most calls of readers a second; more wait for up to a second, then get a turn. Without it all are answered at once
    #[arg(long, global = true, value_name = "N", value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
    #[schemars(range(min = 1, max = 1_000_000))]
    calls_per_s: Option<u32>,
    /// The log
    #[arg(skip)]
    log: Option<log::Options>,
}

impl Settings {
    /// These settings, completed by those of the configuration file where these are not set.
    fn or_from_file(self, file: Settings) -> Settings {
        Settings {
            dir: self.dir.or(file.dir),
            follow: self.follow.or(file.follow),
            readers: self.readers.or(file.readers),
            registrars: self.registrars.or(file.registrars),
            operators: self.operators.or(file.operators),
            grace_ms: self.grace_ms.or(file.grace_ms),
            calls_per_s: self.calls_per_s.or(file.calls_per_s),
            log: file.log,
        }
    }
}

/// The validated options of a running registry.
pub struct Options {
    pub list: ListSource,
    pub readers: SocketAddr,
    pub operators: Option<SocketAddr>,
    pub calls_per_s: Option<u32>,
    pub log: log::Options,
}

/// The source of the list.
pub enum ListSource {
    /// The registry keeps its own list in the folder `dir`. No lease expires within `grace` of the start.
    Own { dir: PathBuf, registrars: SocketAddr, grace: Duration },
    /// The registry follows the list of another registry, read from this address.
    Follow(SocketAddr),
}

/// Reads the configuration file, overrides it with the settings of the command line, and validates the
/// result.
pub fn read(file: Option<PathBuf>, settings: Settings) -> Result<Options, Errors> {
    let file = match file {
        Some(path) => config::load::<Settings>(&path, "")?.settings,
        None => Settings::default(),
    };
    let settings = settings.or_from_file(file);
    let mut wrong = Vec::new();
    let mut address = |key: &str, text: &str| {
        let parsed = text.parse::<SocketAddr>();
        if parsed.is_err() {
            wrong.push(format!("{key} is {text:?}: an address and port are wanted"));
        }
        parsed.unwrap_or(([127, 0, 0, 1], 0).into())
    };
    let readers = address("readers", settings.readers.as_deref().unwrap_or(DEFAULT_READERS));
    let operators = settings.operators.as_deref().map(|text| address("operators", text));
    let list = match (&settings.follow, settings.dir) {
        (Some(another), None) if settings.registrars.is_none() && settings.grace_ms.is_none() => {
            Some(ListSource::Follow(address("follow", another)))
        }
        (Some(_), _) => {
            wrong.push("follow goes without dir, registrars and grace_ms".to_string());
            None
        }
        (None, Some(dir)) => Some(ListSource::Own {
            dir,
            registrars: address("registrars", settings.registrars.as_deref().unwrap_or(DEFAULT_REGISTRARS)),
            grace: Duration::from_millis(settings.grace_ms.unwrap_or(DEFAULT_GRACE_MS)),
        }),
        (None, None) => {
            wrong.push("neither dir, the folder of the list, nor follow is set: one is wanted".to_string());
            None
        }
    };
    match list {
        Some(list) if wrong.is_empty() => Ok(Options {
            list,
            readers,
            operators,
            calls_per_s: settings.calls_per_s,
            log: settings.log.unwrap_or_default(),
        }),
        _ => Err(Errors(wrong)),
    }
}
