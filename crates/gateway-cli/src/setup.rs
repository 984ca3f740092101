//! Who is called, and how: the options of the command line and the configuration file.

use clap::Args;
use program_support::config::{self, Errors};
use schemars::JsonSchema;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

// No documentation comment: it would take the place of the command's in the help.
#[derive(Args)]
pub struct SetupArguments {
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

/// Who is called, and how.
pub struct Setup {
    pub gateways: Vec<SocketAddr>,
    pub registrars: Option<SocketAddr>,
    pub limit: Duration,
    pub json: bool,
}

/// The options of the command line, and those of the file where it says nothing.
pub fn read(arguments: &SetupArguments) -> Result<Setup, Errors> {
    let file = match config::configuration_path(arguments.config.clone(), "SPRUCEHATCH_CONFIG")? {
        Some(path) => config::load::<File>(&path, "")?.settings,
        None => File::default(),
    };
    let mut wrong = Vec::new();
    let mut address = |key: String, text: &String| {
        let parsed = text.parse().ok();
        if parsed.is_none() {
            wrong.push(format!("{key} is {text:?}: an address and port are wanted"));
        }
        parsed
    };
    let listed = file.gateways.iter().enumerate();
    let listed: Vec<SocketAddr> =
        listed.filter_map(|(n, text)| address(format!("gateways[{n}]"), text)).collect();
    let registrars = file.registrars.as_ref().and_then(|text| address("registrars".to_string(), text));
    if !wrong.is_empty() {
        return Err(Errors(wrong));
    }
    Ok(Setup {
        gateways: if arguments.gateways.is_empty() { listed } else { arguments.gateways.clone() },
        registrars: arguments.registrars.or(registrars),
        limit: Duration::from_millis(arguments.timeout_ms.or(file.timeout_ms).unwrap_or(2000)),
        json: arguments.json,
    })
}
