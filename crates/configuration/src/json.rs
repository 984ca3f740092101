//! Parses JSON documents with a limit on nesting, and converts their values.

use std::fmt;

use quick_error::quick_error;
use tinyjson::{JsonParseError, JsonValue};

/// Maximum nesting of arrays and objects. The parser is recursive, so that deeper input could exhaust the
/// stack. Valid documents of the system's APIs nest at most five levels.
pub const MAX_NESTING: usize = 32;

/// Maximum length of the parser's message in an error, in characters. The message may quote the document.
const MAX_REASON_CHARS: usize = 200;

/// The integer up to which all integers are exact as 64-bit floats.
pub(crate) const MAX_INTEGER: u64 = 1 << 53;

/// The location of a value in a document: a section, and the number of the entry if the section is a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Location {
    /// Name of the field that holds the section.
    pub section: &'static str,
    /// Number of the list entry, counted from 0.
    pub entry: Option<usize>,
}

impl Location {
    /// The document itself.
    pub const DOCUMENT: Location = Location { section: "the document", entry: None };

    /// A section that holds one object.
    pub const fn section(section: &'static str) -> Location {
        Location { section, entry: None }
    }

    /// An entry, counted from 0, of a section that is a list.
    pub const fn entry(section: &'static str, entry: usize) -> Location {
        Location { section, entry: Some(entry) }
    }
}

impl fmt::Display for Location {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.entry {
            Some(entry) => write!(formatter, "{}[{entry}]", self.section),
            None => formatter.write_str(self.section),
        }
    }
}

quick_error! {
    /// Why a document is not valid JSON, or a value in it is missing or has the wrong type.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum JsonError {
        /// The bytes are not UTF-8.
        NotUtf8 {
            display("the body is not UTF-8: send JSON encoded as UTF-8")
        }
        /// Arrays and objects nest deeper than `MAX_NESTING`.
        TooDeep {
            display("the body nests deeper than {MAX_NESTING} levels: send a flatter document")
        }
        /// The text is not one complete JSON document.
        Malformed(reason: String) {
            display("the body is not one whole JSON document ({reason}): send it again in full, with nothing after its end")
        }
        /// A required field is missing or null.
        Missing(location: Location, field: &'static str) {
            display("{location} lacks the field {field}: add it")
        }
        /// A value has another type than expected.
        WrongType(location: Location, field: &'static str, expected: &'static str) {
            display("{field} of {location} must be {expected}: change its value")
        }
    }
}

/// Parses `bytes` as one complete JSON document.
pub(crate) fn parse_bytes(bytes: &[u8]) -> Result<JsonValue, JsonError> {
    let text = std::str::from_utf8(bytes).map_err(|_| JsonError::NotUtf8)?;
    parse(text)
}

/// Parses `text` as one complete JSON document.
pub(crate) fn parse(text: &str) -> Result<JsonValue, JsonError> {
    if nesting(text.as_bytes()) > MAX_NESTING {
        return Err(JsonError::TooDeep);
    }
    text.parse::<JsonValue>().map_err(|error| malformed(&error))
}

fn malformed(error: &JsonParseError) -> JsonError {
    let reason = error.to_string();
    JsonError::Malformed(reason.chars().take(MAX_REASON_CHARS).collect())
}

/// Returns the maximum nesting of arrays and objects, ignoring brackets within strings. The result is at
/// least the depth that the parser reaches: both count brackets in the same way up to the first error, where
/// the parser stops.
fn nesting(bytes: &[u8]) -> usize {
    let mut depth = 0usize;
    let mut deepest = 0usize;
    let mut in_string = false;
    let mut escaped = false;
    for &byte in bytes {
        if in_string {
            match byte {
                _ if escaped => escaped = false,
                b'\\' => escaped = true,
                b'"' => in_string = false,
                _ => {}
            }
            continue;
        }
        match byte {
            b'"' => in_string = true,
            b'[' | b'{' => {
                depth += 1;
                deepest = deepest.max(depth);
            }
            b']' | b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    deepest
}

/// The value as an integer from 0 to `MAX_INTEGER`; a float without a fraction counts as an integer.
pub(crate) fn as_integer(value: &JsonValue) -> Option<u64> {
    let number = as_number(value)?;
    if number.fract() != 0.0 || number > MAX_INTEGER as f64 {
        return None;
    }
    Some(number as u64)
}

/// The value as an integer that fits into 32 bits.
pub(crate) fn as_small_integer(value: &JsonValue) -> Option<u32> {
    u32::try_from(as_integer(value)?).ok()
}

/// The value as a finite, non-negative number.
pub(crate) fn as_number(value: &JsonValue) -> Option<f64> {
    match value {
        JsonValue::Number(number) if number.is_finite() && *number >= 0.0 => Some(*number),
        _ => None,
    }
}

/// The value as a non-negative number, rounded down to an integer of at most `MAX_INTEGER`.
pub(crate) fn as_rounded_down(value: &JsonValue) -> Option<u64> {
    as_number(value).map(|number| number.min(MAX_INTEGER as f64) as u64)
}

/// The value as a string.
pub(crate) fn as_text(value: &JsonValue) -> Option<&str> {
    match value {
        JsonValue::String(text) => Some(text),
        _ => None,
    }
}
