//! Describes the value that a schema expects, and reports a value that does not match.

use super::schema::{alternatives, is_null};
use serde_json::Value;

/// The longest part of a value that an error message shows.
const MAX_SHOWN_BYTES: usize = 80;

/// Describes the value that a schema expects, for example `a whole number from 1 to 100`.
pub(super) fn describe(schema: &Value) -> String {
    if let Some(alternatives) = alternatives(schema) {
        let each: Vec<String> = alternatives.iter().filter(|schema| !is_null(schema)).map(describe).collect();
        return each.join(" or ");
    }
    if let Some(only) = schema.get("const") {
        return only.to_string();
    }
    if let Some(words) = schema.get("enum").and_then(Value::as_array) {
        let words: Vec<String> = words.iter().filter(|w| !w.is_null()).map(Value::to_string).collect();
        return words.join(" or ");
    }
    match type_name(schema) {
        Some("integer") => format!("a whole number{}", bounds(schema, "minimum", "maximum")),
        Some("number") => format!("a number{}", bounds(schema, "minimum", "maximum")),
        Some("string") => with_length("a text", &bounds(schema, "minLength", "maxLength")),
        Some("array") => with_length("a list", &bounds(schema, "minItems", "maxItems")),
        Some("boolean") => "true or false".to_string(),
        Some("object") => "a table".to_string(),
        _ => "a value".to_string(),
    }
}

/// The expected type other than null.
fn type_name(schema: &Value) -> Option<&str> {
    match schema.get("type") {
        Some(Value::String(name)) => Some(name),
        Some(Value::Array(names)) => names.iter().filter_map(Value::as_str).find(|name| *name != "null"),
        _ => None,
    }
}

fn bounds(schema: &Value, least: &str, most: &str) -> String {
    match (schema.get(least), schema.get(most)) {
        (Some(least), Some(most)) => format!(" from {least} to {most}"),
        (Some(least), None) => format!(" of at least {least}"),
        (None, Some(most)) => format!(" of at most {most}"),
        (None, None) => String::new(),
    }
}

fn with_length(what: &str, bounds: &str) -> String {
    if bounds.is_empty() {
        what.to_string()
    } else {
        format!("{what} with a length{bounds}")
    }
}

/// The error message for a value at `path` that does not match the schema. A long value is truncated.
pub(super) fn mismatch_message(schema: &Value, value: &Value, path: &str) -> String {
    let path = if path.is_empty() { "the whole" } else { path };
    let mut shown = value.to_string();
    if shown.len() > MAX_SHOWN_BYTES {
        let end = (0..=MAX_SHOWN_BYTES).rev().find(|n| shown.is_char_boundary(*n)).unwrap_or(0);
        shown.truncate(end);
        shown.push('…');
    }
    format!("{path} is {shown}: {} is wanted", describe(schema))
}
