//! The counters of a registry, and the metrics that operators read.

use serde::Serialize;
use std::cell::Cell;

/// Counters since the start, and the current numbers of watchers and suspended expiries.
#[derive(Default)]
pub struct Counters {
    pub renewals: Cell<u64>,
    pub expiries: Cell<u64>,
    pub encodings: Cell<u64>,
    pub disk_failures: Cell<u64>,
    pub rejected: Cell<u64>,
    pub watchers: Cell<usize>,
    pub suspended: Cell<usize>,
}

pub fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

/// The metrics, serialized under the names that operators use.
#[derive(Serialize)]
pub struct Metrics {
    pub version: u64,
    pub entries: usize,
    pub watchers: usize,
    pub renewals: u64,
    pub expiries: u64,
    /// Expired leases whose entries are kept, since most leases expired together.
    #[serde(rename = "held")]
    pub suspended: usize,
    /// Responses that were encoded; each is shared by all readers that wait for it.
    pub encodings: u64,
    pub disk_failures: u64,
    /// Calls of readers that were rejected with a retry delay.
    #[serde(rename = "turned_away")]
    pub rejected: u64,
    /// The time since the last change of the list.
    pub age_ms: u64,
    /// At a follower, the time since its list was last confirmed to be the latest.
    pub confirmed_ms: Option<u64>,
}

/// Counts a waiting reader in [`Counters::watchers`] until the guard is dropped.
pub struct WatcherGuard<'a>(&'a Counters);

impl<'a> WatcherGuard<'a> {
    pub fn new(counters: &'a Counters) -> Self {
        counters.watchers.set(counters.watchers.get() + 1);
        WatcherGuard(counters)
    }
}

impl Drop for WatcherGuard<'_> {
    fn drop(&mut self) {
        self.0.watchers.set(self.0.watchers.get() - 1);
    }
}
