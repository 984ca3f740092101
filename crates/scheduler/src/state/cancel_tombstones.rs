//! Tombstones of cancels that found no job.
//!
//! Such a cancel is answered with "no such job", although a submission of the job may still be on its way.
//! The tombstone is what a submission that arrives later meets: the leader rejects it, so that a job does not
//! run after its cancellation was acknowledged.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use messages::job::{CancelTombstone, QueueTombstones};

use super::retention::CANCEL_TOMBSTONE_RETENTION_MS;

/// A cancel of one ID in one queue.
#[derive(Debug, Clone, PartialEq)]
struct Tombstone {
    prefix_key: Arc<str>,
    /// Time of the last such cancel, in ms since 1970.
    recorded_at_ms: u64,
}

/// All retained tombstones.
///
/// Invariant: `by_time` holds the time and the ID of each tombstone. Several tombstones of one ID and one
/// time share an element.
#[derive(Debug, Default, Clone, PartialEq)]
pub(super) struct CancelTombstones {
    /// Tombstones by ID; usually one for each, as queues seldom share an ID.
    by_id: BTreeMap<u64, Vec<Tombstone>>,
    by_time: BTreeSet<(u64, u64)>,
    len: usize,
}

impl CancelTombstones {
    /// Number of tombstones.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// When the last cancel of the ID in the queue was recorded, in ms since 1970; `None` without a tombstone.
    pub(super) fn recorded_at_ms(&self, id: u64, prefix_key: &str) -> Option<u64> {
        let tombstones = self.by_id.get(&id)?;
        let tombstone = tombstones.iter().find(|tombstone| *tombstone.prefix_key == *prefix_key)?;
        Some(tombstone.recorded_at_ms)
    }

    /// Records a cancel, or renews its tombstone.
    pub(super) fn record(&mut self, id: u64, prefix_key: Arc<str>, recorded_at_ms: u64) {
        let tombstones = self.by_id.entry(id).or_insert_with(|| Vec::with_capacity(1));
        let known = tombstones.iter_mut().find(|tombstone| tombstone.prefix_key == prefix_key);
        match known {
            Some(tombstone) => {
                let replaced_at_ms = std::mem::replace(&mut tombstone.recorded_at_ms, recorded_at_ms);
                if tombstones.iter().all(|tombstone| tombstone.recorded_at_ms != replaced_at_ms) {
                    self.by_time.remove(&(replaced_at_ms, id));
                }
            }
            None => {
                tombstones.push(Tombstone { prefix_key, recorded_at_ms });
                self.len += 1;
            }
        }
        self.by_time.insert((recorded_at_ms, id));
    }

    /// Removes the tombstones whose retention time has passed at `now_ms`.
    pub(super) fn expire(&mut self, now_ms: u64) {
        while let Some((recorded_at_ms, id)) = self.by_time.first().copied() {
            if recorded_at_ms.saturating_add(CANCEL_TOMBSTONE_RETENTION_MS) >= now_ms {
                return;
            }
            self.by_time.remove(&(recorded_at_ms, id));
            self.remove(id, recorded_at_ms);
        }
    }

    fn remove(&mut self, id: u64, recorded_at_ms: u64) {
        let Some(tombstones) = self.by_id.get_mut(&id) else { return };
        let before = tombstones.len();
        tombstones.retain(|tombstone| tombstone.recorded_at_ms != recorded_at_ms);
        self.len -= before - tombstones.len();
        if tombstones.is_empty() {
            self.by_id.remove(&id);
        }
    }

    /// The tombstones for a snapshot, grouped by queue.
    pub(super) fn snapshot(&self) -> Vec<QueueTombstones> {
        let mut queues: BTreeMap<&str, Vec<CancelTombstone>> = BTreeMap::new();
        for (id, tombstones) in &self.by_id {
            for tombstone in tombstones {
                let saved = CancelTombstone { id: *id, recorded_at_ms: tombstone.recorded_at_ms };
                queues.entry(&tombstone.prefix_key).or_default().push(saved);
            }
        }
        let saved = |(prefix_key, tombstones): (&str, Vec<CancelTombstone>)| QueueTombstones {
            prefix_key: prefix_key.to_owned(),
            tombstones,
        };
        queues.into_iter().map(saved).collect()
    }
}
