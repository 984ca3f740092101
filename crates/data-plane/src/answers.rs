//! HTTP answers to clients.

use crate::calls::CallError;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, ALLOW, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use messages::peer::{ClientReply, Outcome};
use tinyjson::JsonValue;

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const CLOSE: HeaderValue = HeaderValue::from_static("close");
const ALLOWED_METHODS: HeaderValue = HeaderValue::from_static("GET, POST, DELETE");
const MS_PER_S: u32 = 1_000;

/// An HTTP response whose body is held in memory.
pub type Answer = Response<Full<Bytes>>;

/// Converts a reply of the core into the answer to the client.
pub fn of_reply(reply: &ClientReply) -> Answer {
    match reply.outcome {
        Outcome::ACCEPTED | Outcome::CANCEL_DONE => with_body(StatusCode::OK, Bytes::from_static(b"{}")),
        Outcome::STATE => with_body(StatusCode::OK, json_object("State", &reply.state)),
        Outcome::COUNT => {
            with_body(StatusCode::OK, Bytes::from(format!("{{\"Pending\":{}}}", reply.pending)))
        }
        Outcome::NO_ROUTE => with_reply_text(StatusCode::NOT_FOUND, reply, "no such queue"),
        Outcome::NO_SUCH_JOB => with_reply_text(StatusCode::GONE, reply, "no such job"),
        Outcome::INVALID => with_reply_text(StatusCode::BAD_REQUEST, reply, "the job is not valid"),
        Outcome::OVERLOADED => {
            let answer = with_reply_text(StatusCode::TOO_MANY_REQUESTS, reply, "overloaded: try again later");
            retry_after(answer, reply.retry_after_ms)
        }
        Outcome::UNAVAILABLE => {
            let answer = with_reply_text(StatusCode::SERVICE_UNAVAILABLE, reply, "try again later");
            retry_after(answer, reply.retry_after_ms)
        }
        Outcome::UNSURE | Outcome::NOT_LEADER | Outcome::OUTCOME_UNKNOWN => with_reply_text(
            StatusCode::GATEWAY_TIMEOUT,
            reply,
            "no answer in time: send the same request again",
        ),
    }
}

/// Builds the answer to a request that is rejected here and not forwarded.
pub fn of_error(call_error: &CallError) -> Answer {
    let text = call_error.to_string();
    match call_error {
        CallError::NoJobPath => error(StatusCode::NOT_FOUND, &text),
        CallError::Method => method_not_allowed(&text),
        CallError::Job(_) => error(StatusCode::BAD_REQUEST, &text),
        CallError::BodyTooLong => close(error(StatusCode::PAYLOAD_TOO_LARGE, &text)),
        CallError::BodyLate => close(error(StatusCode::REQUEST_TIMEOUT, &text)),
        CallError::BodyBroken(_) => close(error(StatusCode::BAD_REQUEST, &text)),
    }
}

/// Builds an answer whose JSON body holds `text`, which says what is wrong and how to correct it.
pub fn error(status: StatusCode, text: &str) -> Answer {
    with_body(status, json_object("Error", text))
}

fn method_not_allowed(text: &str) -> Answer {
    let mut answer = error(StatusCode::METHOD_NOT_ALLOWED, text);
    answer.headers_mut().insert(ALLOW, ALLOWED_METHODS);
    answer
}

/// Builds an answer without a body.
pub fn empty(status: StatusCode) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// Adds `Connection: close`, which tells the client that the connection ends after this answer.
pub fn close(mut answer: Answer) -> Answer {
    answer.headers_mut().insert(CONNECTION, CLOSE);
    answer
}

fn with_reply_text(status: StatusCode, reply: &ClientReply, default: &str) -> Answer {
    let text = if reply.text.is_empty() { default } else { &reply.text };
    error(status, text)
}

fn with_body(status: StatusCode, body: Bytes) -> Answer {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, JSON);
    answer
}

fn retry_after(mut answer: Answer, retry_after_ms: u32) -> Answer {
    let seconds = retry_after_ms.div_ceil(MS_PER_S).max(1);
    answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    answer
}

fn json_object(name: &str, text: &str) -> Bytes {
    let text = JsonValue::String(text.to_owned()).stringify();
    let text = text.unwrap_or_else(|_| "\"\"".to_owned());
    Bytes::from(format!("{{\"{name}\":{text}}}"))
}
