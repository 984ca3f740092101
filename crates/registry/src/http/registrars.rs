//! The address for registrars: roll servers and operators read and change registrations.

use super::answer::{json, text, wrong_method, Answer};
use crate::service::{ChangeError, Registry};
use crate::store::Refusal;
use gateway_protocol::list::{List, ListError, State, Target};
use gateway_protocol::registration::{Announcement, REGISTRATIONS_PATH};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::{Method, Request, StatusCode};
use percent_encoding::percent_decode_str;
use quick_error::quick_error;
use serde::Deserialize;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;
use tokio::time::timeout;

/// The largest body of a call, in bytes.
const MAX_BODY: usize = 64 << 10;
/// A body comes with its head or soon after.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// The lengths of a lease that a server may ask for, in milliseconds.
const LEASES_MS: RangeInclusive<u64> = 100..=3_600_000;
/// The lengths of a name that a server may have, in bytes.
const NAME_LENGTHS: RangeInclusive<usize> = 1..=256;

quick_error! {
    /// A body that does not say what its call needs.
    #[derive(Debug)]
    enum BodyError {
        /// It is not the JSON that is wanted.
        Json(error: serde_json::Error) {
            from()
            display("{error}")
        }
        /// The endpoint is no address.
        Endpoint(endpoint: String) {
            display("endpoint is {endpoint:?}: an address and port are wanted")
        }
        /// The lease is too short or too long.
        Lease(lease_ms: u64) {
            display("lease_ms is {lease_ms}: {} to {} is wanted", LEASES_MS.start(), LEASES_MS.end())
        }
        /// Readers would reject a list with this entry.
        Entry(error: ListError) {
            from()
            display("{error}")
        }
        /// The call counts for one start only, and names none.
        NoStart {
            display("boot_ms is wanted")
        }
    }
}

/// Which start of a server calls.
#[derive(Deserialize)]
struct Start {
    boot_ms: u64,
}

pub async fn answer(registry: &Registry, request: Request<Incoming>) -> Answer {
    let (head, body) = request.into_parts();
    let Some(rest) = head.uri.path().strip_prefix(REGISTRATIONS_PATH) else {
        return text(StatusCode::NOT_FOUND, "no such call");
    };
    let mut parts = rest.split('/').skip(1);
    let (uid, verb, more) = (parts.next(), parts.next(), parts.next());
    let Some(uid) = uid else {
        return match (rest.is_empty(), &head.method) {
            (true, &Method::GET) => json(registry.registrations()),
            (true, _) => wrong_method("GET"),
            _ => text(StatusCode::NOT_FOUND, "no such call"),
        };
    };
    let uid = match percent_decode_str(uid).decode_utf8() {
        Ok(uid) if NAME_LENGTHS.contains(&uid.len()) && more.is_none() => uid.into_owned(),
        _ => return text(StatusCode::NOT_FOUND, "no such name"),
    };
    match read_body(body).await {
        Ok(body) => call(registry, &head.method, uid, verb, &body),
        Err(answer) => answer,
    }
}

/// The body of a call, or the answer to one whose body does not come.
async fn read_body(body: Incoming) -> Result<Bytes, Answer> {
    match timeout(BODY_TIMEOUT, Limited::new(body, MAX_BODY).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            Err(text(StatusCode::PAYLOAD_TOO_LARGE, format!("a body has {MAX_BODY} bytes at most")))
        }
        Ok(Err(e)) => Err(text(StatusCode::BAD_REQUEST, e.to_string())),
        Err(_) => Err(text(StatusCode::REQUEST_TIMEOUT, "the body did not come")),
    }
}

/// Carries out a call on the registration of one server.
fn call(registry: &Registry, method: &Method, uid: String, verb: Option<&str>, body: &[u8]) -> Answer {
    let done = match (verb, method) {
        (None, &Method::PUT) => parse_announcement(uid, body).map(|(target, lease_ms)| {
            change_answer(registry.change(|store| store.register(&target, lease_ms)))
        }),
        (None, &Method::DELETE) => parse_start(body)
            .map(|boot_ms| change_answer(registry.change(|store| store.remove(&uid, boot_ms).map(Some)))),
        (None, _) => return wrong_method("PUT, DELETE"),
        (Some("drain"), &Method::POST) => parse_start(body)
            .map(|boot_ms| change_answer(registry.change(|store| store.drain(&uid, boot_ms)))),
        (Some("renew"), &Method::POST) => renew(registry, &uid, body),
        (Some("drain" | "renew"), _) => return wrong_method("POST"),
        (Some(_), _) => return text(StatusCode::NOT_FOUND, "no such call"),
    };
    done.unwrap_or_else(|e| text(StatusCode::BAD_REQUEST, e.to_string()))
}

fn renew(registry: &Registry, uid: &str, body: &[u8]) -> Result<Answer, BodyError> {
    let boot_ms = parse_start(body)?.ok_or(BodyError::NoStart)?;
    Ok(match registry.renew(uid, boot_ms) {
        Ok(lease) => json(format!(r#"{{"lease_ms":{}}}"#, lease.as_millis())),
        Err(refusal) => refused(refusal),
    })
}

/// The entry that a server announces, and the length of its lease in milliseconds.
fn parse_announcement(uid: String, body: &[u8]) -> Result<(Target, u64), BodyError> {
    let announcement: Announcement = serde_json::from_slice(body)?;
    let Announcement { endpoint, az, model, pod_group, capacity_hint, boot_ms, lease_ms } = announcement;
    if endpoint.parse::<SocketAddr>().is_err() {
        return Err(BodyError::Endpoint(endpoint));
    }
    if !LEASES_MS.contains(&lease_ms) {
        return Err(BodyError::Lease(lease_ms));
    }
    let state = State::Ready;
    let target = Target { uid, endpoint, az, model, pod_group, state, capacity_hint, boot_ms };
    // What readers would reject must not get in.
    let list = List { rev: 0, all: true, targets: vec![target.clone()] };
    list.check()?;
    Ok((target, lease_ms))
}

/// The start that calls; none if the body is empty, as an operator's is.
fn parse_start(body: &[u8]) -> Result<Option<u64>, BodyError> {
    if body.is_empty() {
        return Ok(None);
    }
    let start: Start = serde_json::from_slice(body)?;
    Ok(Some(start.boot_ms))
}

fn change_answer(result: Result<u64, ChangeError>) -> Answer {
    match result {
        Ok(version) => json(format!(r#"{{"rev":{version}}}"#)),
        Err(ChangeError::Refused(refusal)) => refused(refusal),
        Err(ChangeError::Disk(e)) => text(StatusCode::INSUFFICIENT_STORAGE, format!("not on disk: {e}")),
    }
}

fn refused(refusal: Refusal) -> Answer {
    match refusal {
        Refusal::Unknown => text(StatusCode::NOT_FOUND, "no such registration"),
        Refusal::Stale { listed } => {
            text(StatusCode::CONFLICT, format!("a later start is listed: boot_ms {listed}"))
        }
    }
}
