//! Merges a file into the defaults, and compares two versions of a configuration.

use super::key_path::join;
use serde_json::{Map, Value};
use std::collections::BTreeSet;

/// Merges `over` into `base`: tables are merged, all other values are replaced.
pub fn overlay(base: &mut Value, over: Value) {
    match (base, over) {
        (Value::Object(base), Value::Object(over)) => {
            for (key, value) in over {
                overlay(base.entry(key).or_insert(Value::Null), value);
            }
        }
        (base, over) => *base = over,
    }
}

/// Returns the paths of the keys whose values differ. A list counts as one value.
pub fn differences(before: &Value, after: &Value) -> Vec<String> {
    let mut paths = Vec::new();
    collect_differences("", Some(before), Some(after), &mut paths);
    paths
}

fn collect_differences(path: &str, before: Option<&Value>, after: Option<&Value>, paths: &mut Vec<String>) {
    if before == after {
        return;
    }
    // A missing table differs in each of its keys.
    let is_table = |value: Option<&Value>| matches!(value, Some(Value::Object(_)) | None);
    if !is_table(before) || !is_table(after) {
        paths.push(path.to_string());
        return;
    }
    let empty = Map::new();
    let before = before.and_then(Value::as_object).unwrap_or(&empty);
    let after = after.and_then(Value::as_object).unwrap_or(&empty);
    let keys: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    for key in keys {
        collect_differences(&join(path, key), before.get(key), after.get(key), paths);
    }
}
