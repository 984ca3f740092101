//! The API for registrars, with which roll servers and operators read and change registrations.

use super::answer::{json, method_not_allowed, text, HttpResponse};
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

/// The largest accepted request body.
const MAX_BODY_BYTES: usize = 64 << 10;
/// The longest time between the head of a request and the end of its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// The range of lease lengths that a server may request.
const LEASES_MS: RangeInclusive<u64> = 100..=3_600_000;
/// The range of lengths for the name of a server.
const NAME_LENGTH_BYTES: RangeInclusive<usize> = 1..=256;

quick_error! {
    /// Why a request body is invalid.
    #[derive(Debug)]
    enum BodyError {
        /// The body is not the expected JSON.
        Json(error: serde_json::Error) {
            from()
            display("{error}")
        }
        /// The endpoint is not an address with a port.
        Endpoint(endpoint: String) {
            display("endpoint is {endpoint:?}: an address and port are wanted")
        }
        /// The lease is too short or too long.
        Lease(lease_ms: u64) {
            display("lease_ms is {lease_ms}: {} to {} is wanted", LEASES_MS.start(), LEASES_MS.end())
        }
        /// Readers would reject a list that contains this entry.
        Entry(error: ListError) {
            from()
            display("{error}")
        }
        /// A renewal must name the incarnation of the server, and the body does not.
        MissingBootMs {
            display("boot_ms is wanted")
        }
    }
}

/// The body of a call that names an incarnation of a server.
#[derive(Deserialize)]
struct Incarnation {
    boot_ms: u64,
}

pub async fn handle(registry: &Registry, request: Request<Incoming>) -> HttpResponse {
    let (head, body) = request.into_parts();
    let Some(rest) = head.uri.path().strip_prefix(REGISTRATIONS_PATH) else {
        return text(StatusCode::NOT_FOUND, "no such call");
    };
    let mut parts = rest.split('/').skip(1);
    let (uid, verb, more) = (parts.next(), parts.next(), parts.next());
    let Some(uid) = uid else {
        return match (rest.is_empty(), &head.method) {
            (true, &Method::GET) => json(registry.registrations()),
            (true, _) => method_not_allowed("GET"),
            _ => text(StatusCode::NOT_FOUND, "no such call"),
        };
    };
    let uid = match percent_decode_str(uid).decode_utf8() {
        Ok(uid) if NAME_LENGTH_BYTES.contains(&uid.len()) && more.is_none() => uid.into_owned(),
        _ => return text(StatusCode::NOT_FOUND, "no such name"),
    };
    match read_body(body).await {
        Ok(body) => call(registry, &head.method, uid, verb, &body),
        Err(answer) => answer,
    }
}

/// Reads a request body. The error is the response to a body that is too large, broken or late.
async fn read_body(body: Incoming) -> Result<Bytes, HttpResponse> {
    match timeout(BODY_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            Err(text(StatusCode::PAYLOAD_TOO_LARGE, format!("a body has {MAX_BODY_BYTES} bytes at most")))
        }
        Ok(Err(e)) => Err(text(StatusCode::BAD_REQUEST, e.to_string())),
        Err(_) => Err(text(StatusCode::REQUEST_TIMEOUT, "the body did not come")),
    }
}

/// Executes a call for the registration of one server.
fn call(registry: &Registry, method: &Method, uid: String, verb: Option<&str>, body: &[u8]) -> HttpResponse {
    let done = match (verb, method) {
        (None, &Method::PUT) => parse_announcement(uid, body).map(|(target, lease_ms)| {
            change_response(registry.change(|store| store.register(&target, lease_ms)))
        }),
        (None, &Method::DELETE) => parse_boot_ms(body)
            .map(|boot_ms| change_response(registry.change(|store| store.remove(&uid, boot_ms).map(Some)))),
        (None, _) => return method_not_allowed("PUT, DELETE"),
        (Some("drain"), &Method::POST) => parse_boot_ms(body)
            .map(|boot_ms| change_response(registry.change(|store| store.drain(&uid, boot_ms)))),
        (Some("renew"), &Method::POST) => renew(registry, &uid, body),
        (Some("drain" | "renew"), _) => return method_not_allowed("POST"),
        (Some(_), _) => return text(StatusCode::NOT_FOUND, "no such call"),
    };
    done.unwrap_or_else(|e| text(StatusCode::BAD_REQUEST, e.to_string()))
}

fn renew(registry: &Registry, uid: &str, body: &[u8]) -> Result<HttpResponse, BodyError> {
    let boot_ms = parse_boot_ms(body)?.ok_or(BodyError::MissingBootMs)?;
    Ok(match registry.renew(uid, boot_ms) {
        Ok(lease) => json(format!(r#"{{"lease_ms":{}}}"#, lease.as_millis())),
        Err(refusal) => refused(refusal),
    })
}

/// Parses the entry that a server announces and the length of its lease in milliseconds.
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
    // An entry that readers would reject must not enter the list.
    let list = List { rev: 0, all: true, targets: vec![target.clone()] };
    list.check()?;
    Ok((target, lease_ms))
}

/// Parses the incarnation of the calling server. Returns `None` for an empty body, which operators send.
fn parse_boot_ms(body: &[u8]) -> Result<Option<u64>, BodyError> {
    if body.is_empty() {
        return Ok(None);
    }
    let incarnation: Incarnation = serde_json::from_slice(body)?;
    Ok(Some(incarnation.boot_ms))
}

fn change_response(result: Result<u64, ChangeError>) -> HttpResponse {
    match result {
        Ok(version) => json(format!(r#"{{"rev":{version}}}"#)),
        Err(ChangeError::Refused(refusal)) => refused(refusal),
        Err(ChangeError::Disk(e)) => text(StatusCode::INSUFFICIENT_STORAGE, format!("not on disk: {e}")),
    }
}

fn refused(refusal: Refusal) -> HttpResponse {
    match refusal {
        Refusal::Unknown => text(StatusCode::NOT_FOUND, "no such registration"),
        Refusal::Stale { listed } => {
            text(StatusCode::CONFLICT, format!("a later start is listed: boot_ms {listed}"))
        }
    }
}
