//! Messages of the simulator protocol, which are JSON arrays of a name and values, and checks of single
//! values.

use gateway_decisions::{Ending, Load};
use quick_error::quick_error;
use serde_json::Value;

quick_error! {
    /// Why a message cannot be read.
    #[derive(Debug)]
    pub enum WireError {
        /// The message is not an array.
        NoArray {
            display("an array is wanted")
        }
        /// The first value is not a string.
        NoName {
            display("the message does not begin with a name")
        }
        /// An entry of a list of servers is not an array.
        EntryNoArray {
            display("nodes_list: an entry is not an array")
        }
        /// A value is not of the expected kind.
        Value(message: String, key: &'static str, value: String, wanted: &'static str) {
            display("{message}: {key} is {value}: {wanted} is wanted")
        }
        /// A string is not one of the expected words.
        Word(message: &'static str, key: &'static str, word: String, wanted: &'static str) {
            display("{message}: {key} is {word:?}: {wanted} is wanted")
        }
    }
}

/// A message: a name and values, which are accessed by index. The name has index 0.
pub struct Message<'a> {
    /// The name of the message.
    pub name: &'a str,
    values: &'a [Value],
}

impl<'a> Message<'a> {
    /// Creates a message from an array that begins with a name.
    pub fn new(value: &'a Value) -> Result<Self, WireError> {
        let values = value.as_array().ok_or(WireError::NoArray)?;
        let name = values.first().and_then(Value::as_str).ok_or(WireError::NoName)?;
        Ok(Message { name, values })
    }

    /// Creates a message from an entry of a list of servers, which has no name; its first value has index 0.
    pub fn entry(value: &'a Value) -> Result<Self, WireError> {
        let values = value.as_array().ok_or(WireError::EntryNoArray)?;
        Ok(Message { name: "Fleet entry", values })
    }

    /// Returns the value at index `at`, or null if the message is shorter.
    pub fn value(&self, at: usize) -> &'a Value {
        self.values.get(at).unwrap_or(&Value::Null)
    }

    /// Returns `got`, or the error that the value at index `at` with the name `key` is not of this kind.
    pub fn require<T>(
        &self,
        got: Option<T>,
        at: usize,
        key: &'static str,
        kind: &'static str,
    ) -> Result<T, WireError> {
        let wrong = || WireError::Value(self.name.to_string(), key, self.value(at).to_string(), kind);
        got.ok_or_else(wrong)
    }

    /// A required integer of zero or more.
    pub fn integer(&self, at: usize, key: &'static str) -> Result<u64, WireError> {
        self.require(self.value(at).as_u64(), at, key, "a whole number of zero or more")
    }

    /// An optional integer of zero or more, `absent` if missing.
    pub fn integer_or(&self, at: usize, key: &'static str, absent: u64) -> Result<u64, WireError> {
        if self.value(at).is_null() {
            return Ok(absent);
        }
        self.integer(at, key)
    }

    /// A required number of zero or more.
    pub fn number(&self, at: usize, key: &'static str) -> Result<f64, WireError> {
        let got = self.value(at).as_f64().filter(|v| *v >= 0.0);
        self.require(got, at, key, "a number of zero or more")
    }

    /// An optional number of zero or more, `absent` if missing.
    pub fn number_or(&self, at: usize, key: &'static str, absent: f64) -> Result<f64, WireError> {
        if self.value(at).is_null() {
            return Ok(absent);
        }
        self.number(at, key)
    }

    pub fn text(&self, at: usize, key: &'static str) -> Result<&'a str, WireError> {
        self.require(self.value(at).as_str(), at, key, "text")
    }

    pub fn flag(&self, at: usize, key: &'static str) -> Result<bool, WireError> {
        self.require(self.value(at).as_bool(), at, key, "true or false")
    }

    /// The id of a request, written as 16 hex digits.
    pub fn id(&self, at: usize) -> Result<u64, WireError> {
        let text = self.text(at, "corr")?;
        let hex = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let got = if hex { u64::from_str_radix(text, 16).ok() } else { None };
        self.require(got, at, "corr", "an id of 16 hex digits")
    }

    /// The outcome of an attempt.
    pub fn ending(&self, at: usize) -> Result<Ending, WireError> {
        let got = match self.text(at, "ending")? {
            "pass" => Some(Ending::Pass),
            "fault" => Some(Ending::Fault),
            "no_room" => Some(Ending::Full),
            "too_slow" => Some(Ending::Late),
            "no_route" => Some(Ending::NoRoute),
            "cut" => Some(Ending::Cut),
            "undone" => Some(Ending::Undone),
            "stale_send" => Some(Ending::Stale),
            _ => None,
        };
        self.require(got, at, "ending", "an outcome")
    }

    /// The load report of a server, if there is one.
    pub fn load(&self, at: usize) -> Result<Option<Load>, WireError> {
        let value = self.value(at);
        if value.is_null() {
            return Ok(None);
        }
        let report = self.require(value.as_object(), at, "usage", "an object")?;
        let get = |key: &str| report.get(key).and_then(Value::as_f64);
        Ok(Some(Load { inflight: get("inflight"), queue: get("queue"), latency_ms: get("latency_ms") }))
    }
}
