//! Options that all commands share, from the command line and the configuration file: the addresses to call,
//! the timeout and the output format.

use clap::Args;
use program_support::config::{self, Errors};
use schemars::JsonSchema;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

// No doc comment here: clap would show it in the help in place of the command's own description.
#[derive(Args)]
pub struct CommonArguments {
    /// A TOML file with `gateways`, `readers`, `registrars`, `timeout_ms` as its keys [env: SPRUCEHATCH_CONFIG]
    #[arg(long, value_name = "FILE", global = true)]
    config: Option<PathBuf>,
    /// An operators' address of a gateway; several by commas or by naming it again
    #[arg(long = "gateway", short, value_name = "ADDRESS", global = true, value_delimiter = ',')]
    gateways: Vec<SocketAddr>,
    /// A registry's address for registrars
    #[arg(long, value_name = "ADDRESS", global = true)]
    registrars: Option<SocketAddr>,
    /// What a call may take, in milliseconds [default: 2000]
    #[arg(long, value_name = "N", global = true, value_parser = clap::value_parser!(u64).range(1..=600_000))]
    timeout_ms: Option<u64>,
    /// JSON in place of text
    #[arg(long, global = true)]
    json: bool,
}

/// The configuration file.
#[derive(Deserialize, JsonSchema, Default)]
#[serde(default, deny_unknown_fields)]
struct File {
    /// Operators' addresses of gateways.
    #[schemars(length(max = 2000))]
    gateways: Vec<String>,
    /// A registry's address for registrars.
    registrars: Option<String>,
    /// What a call may take, in milliseconds.
    #[schemars(range(min = 1, max = 600_000))]
    timeout_ms: Option<u64>,
}

/// The options that all commands share, after the command line and the configuration file are merged.
pub struct CommonOptions {
    /// Operators' addresses of the gateways to call.
    pub gateways: Vec<SocketAddr>,
    /// The registry's address for registrars.
    pub registrars: Option<SocketAddr>,
    /// The timeout of one call.
    pub timeout: Duration,
    /// Whether to print JSON in place of text.
    pub json: bool,
}

/// Merges the command line with the configuration file; an option of the command line overrides the file's.
/// Returns all errors of the file at once.
pub fn read(arguments: &CommonArguments) -> Result<CommonOptions, Errors> {
    let file = match config::configuration_path(arguments.config.clone(), "SPRUCEHATCH_CONFIG")? {
        Some(path) => config::load::<File>(&path, "")?.settings,
        None => File::default(),
    };
    let mut errors = Vec::new();
    let mut parse_address = |key: String, text: &String| {
        let parsed = text.parse().ok();
        if parsed.is_none() {
            errors.push(format!("{key} is {text:?}: an address and port are wanted"));
        }
        parsed
    };
    let file_gateways = file.gateways.iter().enumerate();
    let file_gateways: Vec<SocketAddr> =
        file_gateways.filter_map(|(n, text)| parse_address(format!("gateways[{n}]"), text)).collect();
    let registrars = file.registrars.as_ref().and_then(|text| parse_address("registrars".to_string(), text));
    if !errors.is_empty() {
        return Err(Errors(errors));
    }
    Ok(CommonOptions {
        gateways: if arguments.gateways.is_empty() { file_gateways } else { arguments.gateways.clone() },
        registrars: arguments.registrars.or(registrars),
        timeout: Duration::from_millis(arguments.timeout_ms.or(file.timeout_ms).unwrap_or(2000)),
        json: arguments.json,
    })
}
