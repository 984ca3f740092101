//! The answers of all gateways to one call.

use crate::outcome::Outcome;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Each gateway's answer, or the error of its call, in the order in which the gateways are configured.
pub type Answers<T> = Vec<(SocketAddr, Result<T, String>)>;

/// The command's outcome: how many gateways answered successfully.
pub fn outcome<T>(answers: &Answers<T>) -> Outcome {
    Outcome::from_counts(answers.iter().filter(|(_, answer)| answer.is_ok()).count(), answers.len())
}

/// The answers as a JSON array with an object for each gateway, which holds either `answer` or `error`.
pub fn as_json<T>(answers: &Answers<T>, value: impl Fn(&T) -> Value) -> Vec<u8> {
    let each = answers.iter().map(|(gateway, answer)| match answer {
        Ok(answer) => json!({"gateway": gateway, "ok": true, "answer": value(answer)}),
        Err(error) => json!({"gateway": gateway, "ok": false, "error": error}),
    });
    format!("{:#}\n", each.collect::<Value>()).into_bytes()
}
