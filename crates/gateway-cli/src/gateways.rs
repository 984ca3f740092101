//! Commands to gateways: all are called at once, and each answer stands by itself.

mod answers;
mod page;

pub use page::{page, Counts};

use crate::outcome::Outcome;
use crate::setup::Setup;
use crate::table::table;
use answers::{as_json, outcome, Answers};
use clap::ValueEnum;
use gateway_protocol::call::{self, Answer, Call};
use gateway_protocol::status::Status;
use page::latencies;
use percent_encoding::{utf8_percent_encode, AsciiSet, NON_ALPHANUMERIC};
use program_support::config::Errors;
use program_support::program::print;
use serde_json::Value;
use std::io::{self, IsTerminal};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{interval, MissedTickBehavior};

/// Bytes of a name that need no escape in a path.
const UNESCAPED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~');

/// A name as a part of a path or query.
pub fn encoded(name: &str) -> String {
    utf8_percent_encode(name, UNESCAPED).to_string()
}

/// The path of a call on a roll server.
pub fn server_path(name: &str, verb: &str) -> String {
    format!("/-/roll-servers/{}/{verb}", encoded(name))
}

/// Calls all gateways at once.
async fn call_all(setup: &Setup, call: &Call) -> Result<Answers<Answer>, Errors> {
    if setup.gateways.is_empty() {
        return Err(Errors::single(
            "no gateway is named: --gateway, or gateways in the configuration, is wanted",
        ));
    }
    let calls: Vec<_> = setup
        .gateways
        .iter()
        .map(|address| (*address, spawn_local(call::make(*address, call.clone(), setup.limit))))
        .collect();
    let mut answers = Vec::new();
    for (address, call) in calls {
        let answer = match call.await {
            Ok(answer) => answer.map_err(|e| e.to_string()).and_then(success),
            Err(e) => Err(format!("the call was lost: {e}")),
        };
        answers.push((address, answer));
    }
    Ok(answers)
}

/// An answer without success is an error in words.
fn success(answer: Answer) -> Result<Answer, String> {
    if answer.is_success() {
        Ok(answer)
    } else {
        Err(format!("{}: {}", answer.status, answer.text()))
    }
}

fn value(answer: &Answer) -> Value {
    serde_json::from_slice(&answer.body).unwrap_or_else(|_| answer.text().into())
}

/// Has all gateways do something.
pub async fn post(setup: &Setup, path: &str) -> Result<Outcome, Errors> {
    let answers = call_all(setup, &Call::post(path)).await?;
    if setup.json {
        print(as_json(&answers, value))?;
    } else {
        let row = |(gateway, answer): &(SocketAddr, Result<Answer, String>)| match answer {
            Ok(answer) => vec![gateway.to_string(), answer.text()],
            Err(why) => vec![gateway.to_string(), format!("failed: {why}")],
        };
        print(table(&["gateway", "answer"], answers.iter().map(row).collect()))?;
    }
    Ok(outcome(&answers))
}

/// Shows what all gateways answer as JSON.
pub async fn show_json(setup: &Setup, path: &str) -> Result<Outcome, Errors> {
    let answers = call_all(setup, &Call::get(path)).await?;
    print(as_json(&answers, value))?;
    Ok(outcome(&answers))
}

/// The formats of figures.
#[derive(Clone, Copy, ValueEnum)]
pub enum Format {
    Json,
    Openmetrics,
}

/// Shows the figures of all gateways.
pub async fn metrics(setup: &Setup, format: Format) -> Result<Outcome, Errors> {
    match format {
        Format::Json => show_json(setup, "/-/metrics").await,
        Format::Openmetrics => openmetrics(setup).await,
    }
}

async fn openmetrics(setup: &Setup) -> Result<Outcome, Errors> {
    let answers = call_all(setup, &Call::get("/-/metrics?format=openmetrics")).await?;
    if setup.json {
        print(as_json(&answers, |answer| String::from_utf8_lossy(&answer.body).into()))?;
    } else {
        for (gateway, answer) in &answers {
            match answer {
                // One text as it came can be read by whatever reads the format.
                Ok(answer) if answers.len() == 1 => print(&answer.body)?,
                Ok(answer) => print([format!("# gateway {gateway}\n").as_bytes(), &answer.body].concat())?,
                Err(why) => print(format!("# gateway {gateway} failed: {why}\n"))?,
            }
        }
    }
    Ok(outcome(&answers))
}

/// The statuses of all gateways.
pub async fn statuses(setup: &Setup) -> Result<Answers<Status>, Errors> {
    let read = |answer: Answer| {
        serde_json::from_slice::<Status>(&answer.body).map_err(|e| format!("what it told is no status: {e}"))
    };
    let answers = call_all(setup, &Call::get("/-/status")).await?;
    Ok(answers.into_iter().map(|(gateway, answer)| (gateway, answer.and_then(read))).collect())
}

/// Shows the statuses and latencies of all gateways once.
pub async fn status(setup: &Setup) -> Result<Outcome, Errors> {
    let answers = statuses(setup).await?;
    if setup.json {
        print(as_json(&answers, |status| serde_json::to_value(status).unwrap_or_default()))?;
    } else {
        print(page(&answers, &Counts::default()))?;
        print(latencies(&answers))?;
    }
    Ok(outcome(&answers))
}

/// Shows the statuses of all gateways again and again, with rates, `count` times or until it is stopped.
pub async fn watch(setup: &Setup, every: Duration, count: Option<u64>) -> Result<Outcome, Errors> {
    let mut every = interval(every);
    every.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut before, mut polls) = (Counts::default(), 0);
    loop {
        every.tick().await;
        let answers = statuses(setup).await?;
        if setup.json {
            print(as_json(&answers, |status| serde_json::to_value(status).unwrap_or_default()))?;
        } else {
            // On a terminal each poll replaces the last one.
            let clear = if io::stdout().is_terminal() { "\x1b[H\x1b[2J" } else { "" };
            print(format!("{clear}{}\n", page(&answers, &before)))?;
        }
        before = Counts::of(&answers);
        polls += 1;
        if count.is_some_and(|count| polls >= count) {
            return Ok(outcome(&answers));
        }
    }
}
