//! Commands that call a registry as an operator. Drain and removal requests carry no start time of the
//! server, so they apply to whichever start of the server is registered.

use crate::gateways::percent_encoded;
use crate::options::CommonOptions;
use crate::outcome::Outcome;
use crate::table::{escaped, format_duration, table};
use clap::{Args, Subcommand};
use gateway_protocol::call::{self, Answer, Call};
use gateway_protocol::registration::{Announcement, Registrations, REGISTRATIONS_PATH};
use hyper::Method;
use program_support::config::Errors;
use program_support::program::print;
use std::fmt::Display;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

#[derive(Subcommand)]
pub enum Command {
    /// Shows all registrations, with what is left of each lease
    List,
    /// Lists a roll server under a lease, which somebody has to renew
    Register(Register),
    /// Has a roll server get nothing new; what it has, it finishes
    Drain { server: String },
    /// Takes a roll server off the list
    Remove { server: String },
}

#[derive(Args)]
pub struct Register {
    /// Its name
    server: String,
    /// Where it listens
    #[arg(long, value_name = "ADDRESS")]
    endpoint: SocketAddr,
    /// Its start, as Unix time in milliseconds [default: now]
    #[arg(long, value_name = "N")]
    boot_ms: Option<u64>,
    /// How long it is listed without a renewal, in milliseconds
    #[arg(long, value_name = "N", default_value_t = 60_000, value_parser = clap::value_parser!(u64).range(100..=3_600_000))]
    lease_ms: u64,
    /// Its zone
    #[arg(long, value_name = "NAME", default_value = "")]
    zone: String,
    /// Its kind of machine
    #[arg(long, value_name = "NAME", default_value = "")]
    model: String,
    /// Its cell
    #[arg(long, value_name = "N", default_value_t = 0)]
    cell: u32,
    /// Its size beside others
    #[arg(long, value_name = "X", default_value_t = 1.0)]
    capacity: f64,
}

/// Runs a command against the configured registry and prints the answer.
pub async fn run(options: &CommonOptions, command: Command) -> Result<Outcome, Errors> {
    let Some(registrars) = options.registrars else {
        return Err(Errors::single(
            "no registry is named: use --registrars, or set registrars in the configuration",
        ));
    };
    let path = |server: &str, verb: &str| format!("{REGISTRATIONS_PATH}/{}{verb}", percent_encoded(server));
    let (is_list, call) = match command {
        Command::List => (true, Call::get(REGISTRATIONS_PATH)),
        Command::Drain { server } => (false, Call::post(&path(&server, "/drain"))),
        Command::Remove { server } => {
            (false, Call { method: Method::DELETE, ..Call::get(&path(&server, "")) })
        }
        Command::Register(r) => {
            let unix_time_ms =
                || SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
            let announcement = Announcement {
                endpoint: r.endpoint.to_string(),
                az: r.zone,
                model: r.model,
                pod_group: r.cell,
                capacity_hint: r.capacity,
                boot_ms: r.boot_ms.unwrap_or_else(unix_time_ms),
                lease_ms: r.lease_ms,
            };
            let body = serde_json::to_vec(&announcement).map_err(|e| Errors::single(e.to_string()))?;
            (false, Call { method: Method::PUT, body: body.into(), ..Call::get(&path(&r.server, "")) })
        }
    };
    let failed = |error: &dyn Display| Errors::single(format!("registry {registrars}: {error}"));
    let answer = call::make(registrars, call, options.timeout).await.map_err(|e| failed(&e))?;
    if !answer.is_success() {
        return Err(failed(&format!("{}: {}", answer.status, answer.text())));
    }
    if is_list && !options.json {
        print(registrations_table(&answer).map_err(|e| failed(&e))?)?;
    } else {
        print([&answer.body[..], if answer.body.ends_with(b"\n") { b"" } else { b"\n" }].concat())?;
    }
    Ok(Outcome::Success)
}

/// Formats a registry's answer, which lists its registrations, as a table.
fn registrations_table(answer: &Answer) -> Result<String, serde_json::Error> {
    let all: Registrations = serde_json::from_slice(&answer.body)?;
    let header = ["roll server", "endpoint", "zone", "state", "capacity", "lease", "lease left"];
    let rows = all.registrations.into_iter().map(|r| {
        let t = r.target;
        vec![
            escaped(&t.uid),
            escaped(&t.endpoint),
            escaped(&t.az),
            format!("{:?}", t.state),
            t.capacity_hint.to_string(),
            format_duration(Duration::from_millis(r.lease_ms)),
            format_duration(Duration::from_millis(r.lease_left_ms)),
        ]
    });
    Ok(format!("version {}\n{}", all.rev, table(&header, rows.collect())))
}
