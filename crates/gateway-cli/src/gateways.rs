//! Commands that call gateways. All gateways are called concurrently, and a failed call affects no other
//! gateway's answer.

mod answers;
mod page;

pub use page::{status_table, RequestCounts};

use crate::options::CommonOptions;
use crate::outcome::Outcome;
use crate::table::table;
use answers::{as_json, outcome, Answers};
use clap::ValueEnum;
use gateway_protocol::call::{self, Answer, Call};
use gateway_protocol::status::Status;
use page::latency_table;
use percent_encoding::{utf8_percent_encode, AsciiSet, NON_ALPHANUMERIC};
use program_support::config::Errors;
use program_support::program::print;
use serde_json::Value;
use std::io::{self, IsTerminal};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{interval, MissedTickBehavior};

/// The characters to percent-encode in a path or query: all but ASCII letters, digits and `-_.~`.
const PERCENT_ENCODE_SET: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~');

/// Percent-encodes a name for use in a path or query.
pub fn percent_encoded(name: &str) -> String {
    utf8_percent_encode(name, PERCENT_ENCODE_SET).to_string()
}

/// The path of an operators' request about one roll server, with `verb` as its last segment.
pub fn roll_server_path(name: &str, verb: &str) -> String {
    format!("/-/roll-servers/{}/{verb}", percent_encoded(name))
}

/// Sends a call to all gateways concurrently. Fails if no gateway is configured; a failed call is an error in
/// its gateway's answer only.
async fn call_all(options: &CommonOptions, call: &Call) -> Result<Answers<Answer>, Errors> {
    if options.gateways.is_empty() {
        return Err(Errors::single(
            "no gateway is named: use --gateway, or set gateways in the configuration",
        ));
    }
    let calls: Vec<_> = options
        .gateways
        .iter()
        .map(|address| (*address, spawn_local(call::make(*address, call.clone(), options.timeout))))
        .collect();
    let mut answers = Vec::new();
    for (address, call) in calls {
        let answer = match call.await {
            Ok(answer) => answer.map_err(|e| e.to_string()).and_then(require_success),
            Err(e) => Err(format!("the task of the call failed: {e}")),
        };
        answers.push((address, answer));
    }
    Ok(answers)
}

/// Turns an answer whose status is not a success into an error text.
fn require_success(answer: Answer) -> Result<Answer, String> {
    if answer.is_success() {
        Ok(answer)
    } else {
        Err(format!("{}: {}", answer.status, answer.text()))
    }
}

/// The body as JSON, or as a JSON string if the body is not JSON.
fn body_as_json(answer: &Answer) -> Value {
    serde_json::from_slice(&answer.body).unwrap_or_else(|_| answer.text().into())
}

/// Sends a POST request to all gateways and prints each gateway's answer.
pub async fn post(options: &CommonOptions, path: &str) -> Result<Outcome, Errors> {
    let answers = call_all(options, &Call::post(path)).await?;
    if options.json {
        print(as_json(&answers, body_as_json))?;
    } else {
        let row = |(gateway, answer): &(SocketAddr, Result<Answer, String>)| match answer {
            Ok(answer) => vec![gateway.to_string(), answer.text()],
            Err(error) => vec![gateway.to_string(), format!("failed: {error}")],
        };
        print(table(&["gateway", "answer"], answers.iter().map(row).collect()))?;
    }
    Ok(outcome(&answers))
}

/// Sends a GET request to all gateways and prints their answers as JSON.
pub async fn show_json(options: &CommonOptions, path: &str) -> Result<Outcome, Errors> {
    let answers = call_all(options, &Call::get(path)).await?;
    print(as_json(&answers, body_as_json))?;
    Ok(outcome(&answers))
}

/// The formats of figures.
#[derive(Clone, Copy, ValueEnum)]
pub enum Format {
    Json,
    Openmetrics,
}

/// Prints the metrics of all gateways.
pub async fn metrics(options: &CommonOptions, format: Format) -> Result<Outcome, Errors> {
    match format {
        Format::Json => show_json(options, "/-/metrics").await,
        Format::Openmetrics => openmetrics(options).await,
    }
}

/// Prints the metrics of all gateways as OpenMetrics text.
async fn openmetrics(options: &CommonOptions) -> Result<Outcome, Errors> {
    let answers = call_all(options, &Call::get("/-/metrics?format=openmetrics")).await?;
    if options.json {
        print(as_json(&answers, |answer| String::from_utf8_lossy(&answer.body).into()))?;
    } else {
        for (gateway, answer) in &answers {
            match answer {
                // A single gateway's text is printed unchanged, so that OpenMetrics parsers can read the
                // output.
                Ok(answer) if answers.len() == 1 => print(&answer.body)?,
                Ok(answer) => print([format!("# gateway {gateway}\n").as_bytes(), &answer.body].concat())?,
                Err(error) => print(format!("# gateway {gateway} failed: {error}\n"))?,
            }
        }
    }
    Ok(outcome(&answers))
}

/// Fetches the statuses of all gateways.
pub async fn statuses(options: &CommonOptions) -> Result<Answers<Status>, Errors> {
    let parse = |answer: Answer| {
        serde_json::from_slice::<Status>(&answer.body).map_err(|e| format!("the answer is not a status: {e}"))
    };
    let answers = call_all(options, &Call::get("/-/status")).await?;
    Ok(answers.into_iter().map(|(gateway, answer)| (gateway, answer.and_then(parse))).collect())
}

/// Prints the statuses and latencies of all gateways once.
pub async fn status(options: &CommonOptions) -> Result<Outcome, Errors> {
    let answers = statuses(options).await?;
    if options.json {
        print(as_json(&answers, |status| serde_json::to_value(status).unwrap_or_default()))?;
    } else {
        print(status_table(&answers, &RequestCounts::default()))?;
        print(latency_table(&answers))?;
    }
    Ok(outcome(&answers))
}

/// Polls the statuses of all gateways at an interval and prints them with request rates, `count` times or
/// until the program is stopped.
pub async fn watch(options: &CommonOptions, every: Duration, count: Option<u64>) -> Result<Outcome, Errors> {
    let mut every = interval(every);
    every.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut previous, mut polls) = (RequestCounts::default(), 0);
    loop {
        every.tick().await;
        let answers = statuses(options).await?;
        if options.json {
            print(as_json(&answers, |status| serde_json::to_value(status).unwrap_or_default()))?;
        } else {
            // On a terminal, the new table replaces the previous one.
            let clear = if io::stdout().is_terminal() { "\x1b[H\x1b[2J" } else { "" };
            print(format!("{clear}{}\n", status_table(&answers, &previous)))?;
        }
        previous = RequestCounts::from_answers(&answers);
        polls += 1;
        if count.is_some_and(|count| polls >= count) {
            return Ok(outcome(&answers));
        }
    }
}
