//! Shared by the routes of the operator's and the administrators' API: context and response format.

use crate::event_queue::EventSender;
use dropshot::{Body, HttpError};
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::collections::HashMap;
use std::time::Duration;
use tinyjson::JsonValue;

/// A call whose outcome is unknown after this time gets an error response; the caller repeats the call.
pub(crate) const REPLY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Value of the `Retry-After` header, in seconds.
const RETRY_AFTER_S: &str = "1";
const JSON: &str = "application/json";

/// Context of the request handlers.
#[derive(Debug)]
pub struct ApiContext {
    pub(crate) events: EventSender,
}

/// Builds a response with a JSON body.
pub(crate) fn json(builder: hyper::http::response::Builder, body: Body) -> Result<Response<Body>, HttpError> {
    Ok(builder.header(CONTENT_TYPE, JSON).body(body)?)
}

/// Builds a response whose JSON body says why the call failed.
pub(crate) fn json_error(status: StatusCode, text: &str) -> Result<Response<Body>, HttpError> {
    let value = JsonValue::from(HashMap::from([("Error".to_owned(), JsonValue::from(text.to_owned()))]));
    let body = value.stringify().unwrap_or_else(|_| "{}".to_owned());
    let mut builder = Response::builder().status(status);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        builder = builder.header(RETRY_AFTER, RETRY_AFTER_S);
    }
    json(builder, body.into())
}
