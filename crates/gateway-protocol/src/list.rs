//! The list of roll servers in the discovery protocol: its types, parsing, validation, and the merging of
//! changes.
//!
//! Shared by the gateway, which reads the list, and the registry, which serves it.

use quick_error::quick_error;
use schemars::JsonSchema;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// The largest accepted encoded list.
pub const MAX_LIST_BYTES: usize = 4 << 20;

// Doc comments on these types and their fields become part of the JSON schemas that programs print.

/// The whole list, or what changed in it.
#[allow(missing_docs)]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct List {
    pub rev: u64,
    pub all: bool,
    pub targets: Vec<Target>,
}

#[allow(missing_docs)]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Target {
    pub uid: String,
    /// Not an address yet: an entry that says `Gone` counts, whatever stands here.
    #[serde(default)]
    pub endpoint: String,
    #[serde(default)]
    pub az: String,
    /// Told to staff alone: whatever stands here makes no list a bad one.
    #[serde(default, deserialize_with = "text_or_empty")]
    #[schemars(with = "Value")]
    pub model: String,
    #[serde(default)]
    pub pod_group: u32,
    pub state: State,
    #[serde(default = "one")]
    #[schemars(range(min = 0.0, max = 1e9))]
    pub capacity_hint: f64,
    #[serde(default)]
    pub boot_ms: u64,
}

#[allow(missing_docs)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub enum State {
    Ready,
    /// Wants nothing new, finishes what it has.
    Terminating,
    /// Only among changes.
    Gone,
}

fn text_or_empty<'de, D: Deserializer<'de>>(from: D) -> Result<String, D::Error> {
    Ok(match Value::deserialize(from)? {
        Value::String(text) => text,
        _ => String::new(),
    })
}

fn one() -> f64 {
    1.0
}

impl List {
    /// Parses and validates a list. An invalid entry rejects the whole list.
    ///
    /// # Errors
    ///
    /// `text` is longer than [`MAX_LIST_BYTES`], is not a JSON list, or fails [`List::check`].
    pub fn parse(text: &[u8]) -> Result<Self, ListError> {
        if text.len() > MAX_LIST_BYTES {
            return Err(ListError::TooLong(text.len()));
        }
        let list: List = serde_json::from_slice(text)?;
        list.check()?;
        Ok(list)
    }

    /// Checks that no server is listed twice and that each `capacity_hint` is a finite number of zero or
    /// more.
    ///
    /// # Errors
    ///
    /// The first entry that violates this.
    pub fn check(&self) -> Result<(), ListError> {
        let mut names = BTreeSet::new();
        for t in &self.targets {
            if !names.insert(t.uid.as_str()) {
                return Err(ListError::Duplicate(t.uid.clone()));
            }
            if !t.capacity_hint.is_finite() || t.capacity_hint < 0.0 {
                return Err(ListError::CapacityHint(t.uid.clone(), t.capacity_hint));
            }
        }
        Ok(())
    }
}

quick_error! {
    /// Why a list cannot be parsed or is invalid.
    #[derive(Debug)]
    pub enum ListError {
        /// The text has `length` bytes, more than [`MAX_LIST_BYTES`].
        TooLong(length: usize) {
            display("the list has {length} bytes: {MAX_LIST_BYTES} at most")
        }
        /// The text is not a JSON list.
        Json(error: serde_json::Error) {
            from()
            display("{error}")
        }
        /// Two entries have the same `uid`.
        Duplicate(uid: String) {
            display("{uid:?} is listed twice")
        }
        /// The `capacity_hint` of an entry is not finite or is negative.
        CapacityHint(uid: String, hint: f64) {
            display("{uid:?} has a capacity_hint of {hint}")
        }
    }
}

/// The current list, merged from full lists and changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Roster {
    /// The version of the last merged list or changes.
    pub rev: u64,
    /// The entries by `uid`; none of them is [`State::Gone`].
    pub targets: BTreeMap<String, Target>,
}

impl Roster {
    /// Merges a full list or changes. The caller checks that the version is newer than [`Roster::rev`].
    pub fn apply(&mut self, list: &List) {
        self.rev = list.rev;
        if list.all {
            self.targets.clear();
        }
        for t in &list.targets {
            if t.state == State::Gone {
                self.targets.remove(&t.uid);
            } else {
                self.targets.insert(t.uid.clone(), t.clone());
            }
        }
    }

    /// Returns the full list at the current version.
    pub fn full_list(&self) -> List {
        List { rev: self.rev, all: true, targets: self.targets.values().cloned().collect() }
    }
}

#[cfg(test)]
mod tests;
