//! HTTP responses, shared by the three APIs.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::{Response, StatusCode};

pub type HttpResponse = Response<Full<Bytes>>;

/// A response with one line of text.
pub fn text(status: StatusCode, line: impl Into<String>) -> HttpResponse {
    let mut line = line.into();
    line.push('\n');
    let mut answer = Response::new(Full::new(Bytes::from(line)));
    *answer.status_mut() = status;
    answer
}

pub fn json(body: impl Into<Bytes>) -> HttpResponse {
    let mut answer = Response::new(Full::new(body.into()));
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

/// The response to a method that the path does not support.
pub fn method_not_allowed(allowed: &'static str) -> HttpResponse {
    let mut answer = text(StatusCode::METHOD_NOT_ALLOWED, format!("{allowed} is wanted"));
    answer.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    answer
}
