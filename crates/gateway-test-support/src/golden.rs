//! Golden files: expected texts that must not change by accident, since other programs, files or people rely
//! on them.
//!
//! A crate's golden files are in its `tests/golden/`. With `GOLDEN=write` in the environment, tests rewrite
//! their golden files. This is only for intended changes of the texts.

use serde_json::Value;
use std::collections::BTreeSet;
use std::path::Path;

/// Asserts that `text` equals the golden file `name` of the crate in `manifest_dir`.
///
/// # Panics
///
/// If the texts differ, or the file does not exist.
pub fn assert_golden(manifest_dir: &str, name: &str, text: &str) {
    let path = Path::new(manifest_dir).join("tests/golden").join(name);
    if std::env::var("GOLDEN").is_ok_and(|what| what == "write") {
        std::fs::write(&path, text).expect("the golden file is writable");
    }
    let golden = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    for (number, (line, expected)) in text.lines().zip(golden.lines()).enumerate() {
        assert_eq!(line, expected, "line {} of {name}", number + 1);
    }
    assert_eq!(text, golden, "{name}");
}

/// The paths of all keys in a document, sorted, one per line, each with the type of its value. List entries
/// appear as `[]`.
pub fn keys(document: &Value) -> String {
    let mut lines = BTreeSet::new();
    collect_keys(document, "", &mut lines);
    lines.into_iter().map(|line| line + "\n").collect()
}

/// Adds the lines for `value`, which is at `path` in the document.
fn collect_keys(value: &Value, path: &str, lines: &mut BTreeSet<String>) {
    let kind = match value {
        Value::Object(object) => {
            for (key, value) in object {
                collect_keys(value, &format!("{path}.{key}"), lines);
            }
            "object"
        }
        Value::Array(list) => {
            for value in list {
                collect_keys(value, &format!("{path}[]"), lines);
            }
            "list"
        }
        Value::String(_) => "text",
        Value::Number(_) => "number",
        Value::Bool(_) => "flag",
        Value::Null => "null",
    };
    lines.insert(format!("{path}: {kind}"));
}

/// A JSON schema with sorted keys and without titles and descriptions, which only serve human readers.
pub fn schema_rules(schema: &Value) -> String {
    let mut rules = schema.clone();
    strip(&mut rules, false);
    format!("{rules:#}\n")
}

/// Removes titles and descriptions. `properties` is whether the keys of `value` are names of settings rather
/// than keywords of the schema.
fn strip(value: &mut Value, properties: bool) {
    match value {
        Value::Object(object) => {
            if !properties {
                object.remove("title");
                object.remove("description");
            }
            for (key, value) in object {
                strip(value, !properties && matches!(key.as_str(), "properties" | "$defs"));
            }
        }
        Value::Array(list) => list.iter_mut().for_each(|value| strip(value, false)),
        _ => {}
    }
}
