//! Typed access to the fields of one JSON object.

use std::collections::HashMap;

use tinyjson::JsonValue;

use crate::json::{as_integer, as_number, as_rounded_down, as_small_integer, as_text, JsonError, Location};

const TEXT: &str = "a text";
const NUMBER: &str = "a number, not negative";
const INTEGER: &str = "a whole number from 0 to 2^53";
const SMALL_INTEGER: &str = "a whole number from 0 to 2^32 - 1";
const FLAG: &str = "true or false";
const LIST: &str = "a list";
const TEXTS: &str = "a list of texts";
const OBJECT: &str = "an object";

/// The fields of an object, and its location in the document for errors. A field that is null counts as
/// missing.
#[derive(Clone, Copy)]
pub(crate) struct Fields<'a> {
    object: &'a HashMap<String, JsonValue>,
    location: Location,
}

impl<'a> Fields<'a> {
    /// Returns the fields of `value`; an error if `value` is not an object.
    pub(crate) fn of(value: &'a JsonValue, location: Location) -> Result<Self, JsonError> {
        match value {
            JsonValue::Object(object) => Ok(Fields { object, location }),
            _ => Err(JsonError::WrongType(location, "the value", OBJECT)),
        }
    }

    /// The location of the object in the document.
    pub(crate) fn location(&self) -> Location {
        self.location
    }

    /// All fields, in arbitrary order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&'a str, &'a JsonValue)> {
        self.object.iter().map(|(name, value)| (name.as_str(), value))
    }

    /// The value of a field, unless it is missing or null.
    pub(crate) fn value(&self, field: &'static str) -> Option<&'a JsonValue> {
        self.object.get(field).filter(|value| !matches!(value, JsonValue::Null))
    }

    fn typed<T>(
        &self,
        field: &'static str,
        expected: &'static str,
        convert: impl FnOnce(&'a JsonValue) -> Option<T>,
    ) -> Result<Option<T>, JsonError> {
        let Some(value) = self.value(field) else {
            return Ok(None);
        };
        let converted = convert(value);
        converted.map(Some).ok_or(JsonError::WrongType(self.location, field, expected))
    }

    /// The error for a missing `field`.
    pub(crate) fn missing(&self, field: &'static str) -> JsonError {
        JsonError::Missing(self.location, field)
    }

    /// The error for a `field` whose value is not `expected`.
    pub(crate) fn wrong_type(&self, field: &'static str, expected: &'static str) -> JsonError {
        JsonError::WrongType(self.location, field, expected)
    }

    pub(crate) fn text(&self, field: &'static str) -> Result<Option<&'a str>, JsonError> {
        self.typed(field, TEXT, as_text)
    }

    pub(crate) fn text_or_empty(&self, field: &'static str) -> Result<String, JsonError> {
        Ok(self.text(field)?.unwrap_or_default().to_owned())
    }

    pub(crate) fn required_text(&self, field: &'static str) -> Result<String, JsonError> {
        let text = self.text(field)?.ok_or_else(|| self.missing(field))?;
        Ok(text.to_owned())
    }

    pub(crate) fn integer(&self, field: &'static str) -> Result<Option<u64>, JsonError> {
        self.typed(field, INTEGER, as_integer)
    }

    pub(crate) fn required_integer(&self, field: &'static str) -> Result<u64, JsonError> {
        self.integer(field)?.ok_or_else(|| self.missing(field))
    }

    pub(crate) fn small_integer(&self, field: &'static str) -> Result<Option<u32>, JsonError> {
        self.typed(field, SMALL_INTEGER, as_small_integer)
    }

    pub(crate) fn number(&self, field: &'static str) -> Result<Option<f64>, JsonError> {
        self.typed(field, NUMBER, as_number)
    }

    /// A number rounded down to an integer, for measured values, which need not be integers.
    pub(crate) fn rounded_down(&self, field: &'static str) -> Result<Option<u64>, JsonError> {
        self.typed(field, NUMBER, as_rounded_down)
    }

    /// A boolean; false if the field is missing.
    pub(crate) fn flag(&self, field: &'static str) -> Result<bool, JsonError> {
        let flag = self.typed(field, FLAG, |value| match value {
            JsonValue::Boolean(flag) => Some(*flag),
            _ => None,
        })?;
        Ok(flag.unwrap_or(false))
    }

    pub(crate) fn list(&self, field: &'static str) -> Result<Option<&'a [JsonValue]>, JsonError> {
        self.typed(field, LIST, |value| match value {
            JsonValue::Array(list) => Some(list.as_slice()),
            _ => None,
        })
    }

    pub(crate) fn required_list(&self, field: &'static str) -> Result<&'a [JsonValue], JsonError> {
        self.list(field)?.ok_or_else(|| self.missing(field))
    }

    /// A list of strings; empty if the field is missing.
    pub(crate) fn texts(&self, field: &'static str) -> Result<Vec<String>, JsonError> {
        let list = self.list(field)?.unwrap_or_default();
        let texts = list.iter().map(|entry| as_text(entry).map(str::to_owned)).collect::<Option<Vec<_>>>();
        texts.ok_or_else(|| self.wrong_type(field, TEXTS))
    }

    /// The fields of a nested object; none if the field is missing.
    pub(crate) fn section(&self, field: &'static str) -> Result<Option<Fields<'a>>, JsonError> {
        self.typed(field, OBJECT, |value| match value {
            JsonValue::Object(object) => Some(Fields { object, location: Location::section(field) }),
            _ => None,
        })
    }
}
