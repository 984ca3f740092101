//! The API for readers: the full list, and long polls for its changes.

use super::answer::{json, method_not_allowed, text, HttpResponse};
use crate::service::Registry;
use gateway_protocol::admission::CallKind;
use gateway_protocol::watch::LIST_PATH_HEADER;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, StatusCode};
use quick_error::quick_error;
use std::time::Duration;

/// The longest time that a watch may wait for an update.
const MAX_WATCH_WAIT_MS: u64 = 60_000;

/// The parsed query of a reader's call.
struct ReadCall {
    /// The version that the reader has; `None` requests the full list.
    since: Option<u64>,
    /// How long to wait for a newer version.
    wait: Duration,
}

quick_error! {
    /// Why a query is invalid.
    #[derive(Debug)]
    enum QueryError {
        Number(key: String, value: String) {
            display("{key} is {value:?}: a whole number is wanted")
        }
    }
}

pub async fn handle(registry: &Registry, request: Request<Incoming>) -> HttpResponse {
    if request.uri().path() != "/v1/endpoints" {
        return text(StatusCode::NOT_FOUND, "no such call");
    }
    if request.method() != Method::GET {
        return method_not_allowed("GET");
    }
    let call = match parse_query(request.uri().query().unwrap_or("")) {
        Ok(call) => call,
        Err(e) => return text(StatusCode::BAD_REQUEST, e.to_string()),
    };
    if registry.path().is_none() {
        return text(StatusCode::SERVICE_UNAVAILABLE, "there is no list yet");
    }
    let kind = if call.since.is_none() { CallKind::FullList } else { CallKind::Watch };
    if let Err(retry_after) = registry.wait_for_admission(kind).await {
        return rejected(retry_after);
    }
    let mut answer = json(registry.read(call.since, call.wait).await);
    let path = registry.path().and_then(|path| HeaderValue::try_from(path).ok());
    path.map(|path| answer.headers_mut().insert(LIST_PATH_HEADER, path));
    answer
}

/// The response to a rejected call, which should be retried after `retry_after`.
fn rejected(retry_after: Duration) -> HttpResponse {
    let mut answer = text(StatusCode::SERVICE_UNAVAILABLE, "too many calls: come again in your turn");
    // Milliseconds instead of whole seconds, so that the retries arrive evenly spaced.
    let retry_after = HeaderValue::try_from(format!("{:.3}", retry_after.as_secs_f64())).ok();
    retry_after.map(|retry_after| answer.headers_mut().insert(RETRY_AFTER, retry_after));
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
            // Unknown keys, as later readers may send, are ignored.
            _ => {}
        }
    }
    Ok(ReadCall { since, wait: Duration::from_millis(wait_ms) })
}
