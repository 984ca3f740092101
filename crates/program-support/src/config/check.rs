//! Checks a value against a schema and reports all errors at once.

use super::expectation::{describe, mismatch_message};
use super::key_path::join;
use super::schema::{alternatives, is_null};
use super::wrong::Errors;
use schemars::Schema;
use serde_json::{Map, Value};

/// How keys that are not in the schema are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownKeys {
    /// Unknown keys are errors. For files that operators write.
    Rejected,
    /// Unknown keys are ignored. For files that the platform writes.
    Ignored,
}

/// Checks `value` against `schema`.
///
/// # Errors
///
/// All errors in the value.
pub fn check(schema: &Schema, value: &Value, unknown: UnknownKeys) -> Result<(), Errors> {
    check_at(schema, value, "", unknown)
}

/// Like [`check`], for a part of a configuration under the key `path`.
///
/// # Errors
///
/// All errors in the value, with their paths from the root.
pub fn check_at(schema: &Schema, value: &Value, path: &str, unknown: UnknownKeys) -> Result<(), Errors> {
    let mut check = Check { unknown, errors: Vec::new() };
    check.value(schema.as_value(), value, path);
    if check.errors.is_empty() {
        Ok(())
    } else {
        Err(Errors(check.errors))
    }
}

/// A recursive check of a value against its schema, which collects the errors.
struct Check {
    unknown: UnknownKeys,
    errors: Vec<String>,
}

impl Check {
    fn value(&mut self, schema: &Value, value: &Value, path: &str) {
        if let Some(alternatives) = alternatives(schema) {
            return self.alternatives(schema, alternatives, value, path);
        }
        if !has_type(schema, value) || !is_within_bounds(schema, value) {
            self.errors.push(mismatch_message(schema, value, path));
            return;
        }
        match value {
            Value::Object(table) => self.table(schema, table, path),
            Value::Array(items) => {
                if let Some(schema) = schema.get("items") {
                    let each = items.iter().enumerate();
                    each.for_each(|(n, item)| self.value(schema, item, &format!("{path}[{n}]")));
                }
            }
            _ => {}
        }
    }

    fn alternatives(&mut self, schema: &Value, alternatives: &[Value], value: &Value, path: &str) {
        if alternatives.iter().any(|one| is_valid(one, value, self.unknown)) {
            return;
        }
        let present: Vec<&Value> = alternatives.iter().filter(|schema| !is_null(schema)).collect();
        match present.as_slice() {
            [one] => self.value(one, value, path),
            _ => self.errors.push(mismatch_message(schema, value, path)),
        }
    }

    fn table(&mut self, schema: &Value, table: &Map<String, Value>, path: &str) {
        let known = schema.get("properties").and_then(Value::as_object);
        for key in schema.get("required").and_then(Value::as_array).into_iter().flatten() {
            let key = key.as_str().unwrap_or_default();
            if !table.contains_key(key) {
                let wanted = describe(known.and_then(|known| known.get(key)).unwrap_or(&Value::Null));
                self.errors.push(format!("{} is missing: {wanted} is wanted", join(path, key)));
            }
        }
        for (key, value) in table {
            let path = join(path, key);
            let others = schema.get("additionalProperties");
            match (known.and_then(|known| known.get(key)), others) {
                (Some(schema), _) => self.value(schema, value, &path),
                (None, Some(others @ Value::Object(_))) => self.value(others, value, &path),
                (None, _) if self.unknown == UnknownKeys::Rejected && known.is_some() => {
                    let keys: Vec<&str> =
                        known.into_iter().flat_map(|known| known.keys()).map(String::as_str).collect();
                    self.errors.push(format!("{path} is no key here: {} are", keys.join(", ")));
                }
                _ => {}
            }
        }
    }
}

fn is_valid(schema: &Value, value: &Value, unknown: UnknownKeys) -> bool {
    let mut check = Check { unknown, errors: Vec::new() };
    check.value(schema, value, "");
    check.errors.is_empty()
}

/// Whether the value has a type that the schema allows.
fn has_type(schema: &Value, value: &Value) -> bool {
    let is = |name: &str| match name {
        "null" => value.is_null(),
        "boolean" => value.is_boolean(),
        "string" => value.is_string(),
        "array" => value.is_array(),
        "object" => value.is_object(),
        "number" => value.is_number(),
        // JSON schema allows 1.0 as an integer, but the types of the programs do not.
        "integer" => value.is_u64() || value.is_i64(),
        _ => false,
    };
    match schema.get("type") {
        Some(Value::String(name)) => is(name),
        Some(Value::Array(names)) => names.iter().filter_map(Value::as_str).any(is),
        _ => true,
    }
}

/// Whether the value is within its bounds, or one of the values of an enumeration.
fn is_within_bounds(schema: &Value, value: &Value) -> bool {
    if schema.get("const").is_some_and(|only| only != value) {
        return false;
    }
    if schema.get("enum").and_then(Value::as_array).is_some_and(|words| !words.contains(value)) {
        return false;
    }
    let bound = |key: &str| schema.get(key).and_then(Value::as_f64);
    let (least, most, size) = match value {
        Value::Number(n) => ("minimum", "maximum", n.as_f64()),
        Value::String(text) => ("minLength", "maxLength", Some(text.chars().count() as f64)),
        Value::Array(items) => ("minItems", "maxItems", Some(items.len() as f64)),
        _ => return true,
    };
    size.is_some_and(|size| bound(least).is_none_or(|b| size >= b) && bound(most).is_none_or(|b| size <= b))
}
