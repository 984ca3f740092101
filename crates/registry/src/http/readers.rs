//! The address for readers: the list and its changes.

use super::answer::{json, text, wrong_method, Answer};
use crate::service::Registry;
use gateway_protocol::admission::CallKind;
use gateway_protocol::watch::LIST_PATH_HEADER;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, StatusCode};
use quick_error::quick_error;
use std::time::Duration;

/// The longest that a watch may wait, in milliseconds.
const MAX_WATCH_WAIT_MS: u64 = 60_000;

/// What a reader asks for.
struct ReadCall {
    /// The version that it has, if any.
    since: Option<u64>,
    /// How long it waits for a newer one.
    wait: Duration,
}

quick_error! {
    /// A value in a query that is none.
    #[derive(Debug)]
    enum QueryError {
        Number(key: String, value: String) {
            display("{key} is {value:?}: a whole number is wanted")
        }
    }
}

pub async fn answer(registry: &Registry, request: Request<Incoming>) -> Answer {
    if request.uri().path() != "/v1/endpoints" {
        return text(StatusCode::NOT_FOUND, "no such call");
    }
    if request.method() != Method::GET {
        return wrong_method("GET");
    }
    let call = match parse_query(request.uri().query().unwrap_or("")) {
        Ok(call) => call,
        Err(e) => return text(StatusCode::BAD_REQUEST, e.to_string()),
    };
    if registry.path().is_none() {
        return text(StatusCode::SERVICE_UNAVAILABLE, "there is no list yet");
    }
    let kind = if call.since.is_none() { CallKind::FullList } else { CallKind::Watch };
    if let Err(turn) = registry.wait_for_turn(kind).await {
        return rejected(turn);
    }
    let mut answer = json(registry.read(call.since, call.wait).await);
    let path = registry.path().and_then(|path| HeaderValue::try_from(path).ok());
    path.map(|path| answer.headers_mut().insert(LIST_PATH_HEADER, path));
    answer
}

/// The answer to a call that is to come again after `turn`.
fn rejected(turn: Duration) -> Answer {
    let mut answer = text(StatusCode::SERVICE_UNAVAILABLE, "too many calls: come again in your turn");
    // Finer than whole seconds, so that those who come back are an even stream.
    let turn = HeaderValue::try_from(format!("{:.3}", turn.as_secs_f64())).ok();
    turn.map(|turn| answer.headers_mut().insert(RETRY_AFTER, turn));
    answer
}

fn parse_query(query: &str) -> Result<ReadCall, QueryError> {
    let (mut since, mut wait_ms) = (None, 0);
    for (key, value) in query.split('&').filter_map(|part| part.split_once('=')) {
        let number =
            || value.parse::<u64>().map_err(|_| QueryError::Number(key.to_string(), value.to_string()));
        match key {
            "since" => since = Some(number()?),
            "timeout_ms" => wait_ms = number()?.min(MAX_WATCH_WAIT_MS),
            // Whatever later readers ask beside.
            _ => {}
        }
    }
    Ok(ReadCall { since, wait: Duration::from_millis(wait_ms) })
}
