//! Generates the JSON schema of a configuration from the types of a program, and queries it.

use schemars::generate::SchemaSettings;
use schemars::{JsonSchema, Schema};
use serde_json::Value;

/// Generates the schema of a configuration, with all definitions inlined and with explicit bounds for
/// integers.
pub fn schema<T: JsonSchema>() -> Schema {
    let settings = SchemaSettings::draft2020_12().with(|s| s.inline_subschemas = true);
    let mut schema = settings.into_generator().into_root_schema_for::<T>();
    add_bounds(&mut schema);
    schema
}

/// Adds the bounds that integer formats imply, since validators may ignore formats.
fn add_bounds(schema: &mut Schema) {
    schemars::transform::transform_subschemas(&mut add_bounds, schema);
    let maximum = match schema.get("format").and_then(Value::as_str) {
        Some("uint32") => u64::from(u32::MAX),
        // TOML has no larger integers.
        Some("uint64" | "uint") => i64::MAX as u64,
        _ => return,
    };
    if schema.get("maximum").is_none() {
        schema.insert("maximum".to_string(), maximum.into());
    }
}

/// The schemas of which one must match: those of an optional value or of an enumeration.
pub(super) fn alternatives(schema: &Value) -> Option<&Vec<Value>> {
    ["anyOf", "oneOf"].iter().find_map(|key| schema.get(key)?.as_array())
}

/// Whether the schema is that of the missing value of an option.
pub(super) fn is_null(schema: &Value) -> bool {
    schema.get("type") == Some(&"null".into())
}
