//! The API for operators: readiness, metrics and the log level.

use super::answer::{json, method_not_allowed, text, HttpResponse};
use crate::service::Registry;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use percent_encoding::percent_decode_str;

pub fn handle(registry: &Registry, request: &Request<Incoming>) -> HttpResponse {
    let path = request.uri().path();
    if !matches!(path, "/-/ready" | "/-/metrics" | "/-/log") {
        return text(StatusCode::NOT_FOUND, "no such call");
    }
    if path == "/-/log" {
        return handle_log(request);
    }
    if request.method() != Method::GET {
        return method_not_allowed("GET");
    }
    if path == "/-/ready" {
        return match registry.path() {
            Some(_) => text(StatusCode::OK, "ready"),
            None => text(StatusCode::SERVICE_UNAVAILABLE, "there is no list yet"),
        };
    }
    match serde_json::to_vec(&registry.metrics()) {
        Ok(metrics) => json(metrics),
        Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

/// Handles `/-/log`: returns the log options and counts, or changes a level.
fn handle_log(request: &Request<Incoming>) -> HttpResponse {
    let Some(log) = program_support::log::get() else {
        return text(StatusCode::NOT_FOUND, "this process has no log of its own");
    };
    let query = request.uri().query().unwrap_or_default();
    let field = |key: &str| {
        let value = query.split('&').find_map(|part| part.strip_prefix(key)?.strip_prefix('='))?;
        percent_decode_str(value).decode_utf8().ok()
    };
    match *request.method() {
        Method::GET => match serde_json::to_vec(&log.status()) {
            Ok(status) => json(status),
            Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
        },
        Method::POST => match log.set_level(field("level").as_deref(), field("module").as_deref()) {
            Ok(()) => text(StatusCode::OK, "changed"),
            Err(e) => text(StatusCode::BAD_REQUEST, e.to_string()),
        },
        _ => method_not_allowed("GET, POST"),
    }
}
