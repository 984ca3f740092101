//! Incarnations of workers that run attempts, or whose ends were acknowledged.

use std::collections::BTreeMap;
use std::sync::Arc;

use messages::job::{WorkerIncarnation, WorkerState};

use super::error::SnapshotError;

/// One incarnation of a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Worker {
    /// Address of the worker and what it serves.
    pub incarnation: WorkerIncarnation,
    /// The worker's ends up to this sequence number are durable and may be forgotten by the worker.
    pub acknowledged: u64,
    /// Number of attempts that may be running on the worker.
    pub active: u32,
}

/// All known incarnations by instance name.
#[derive(Debug, Default, Clone, PartialEq)]
pub(super) struct Workers {
    incarnations: BTreeMap<Arc<str>, Worker>,
}

impl Workers {
    pub(super) fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.incarnations.values()
    }

    pub(super) fn get(&self, instance: &str) -> Option<&Worker> {
        self.incarnations.get(instance)
    }

    pub(super) fn is_known(&self, instance: &str) -> bool {
        self.incarnations.contains_key(instance)
    }

    /// The shared name of a known instance.
    pub(super) fn shared_name(&self, instance: &str) -> Option<Arc<str>> {
        self.incarnations.get_key_value(instance).map(|(name, _)| name.clone())
    }

    /// The shared name of an instance, which is recorded if it was unknown.
    pub(super) fn shared_name_or_insert(&mut self, instance: &str) -> Arc<str> {
        if let Some(name) = self.shared_name(instance) {
            return name;
        }
        self.record_incarnation(&WorkerIncarnation {
            instance: instance.to_owned(),
            ..WorkerIncarnation::default()
        });
        Arc::from(instance)
    }

    /// Records or updates an incarnation. Its acknowledged ends and active attempts are kept.
    pub(super) fn record_incarnation(&mut self, incarnation: &WorkerIncarnation) {
        if let Some(worker) = self.incarnations.get_mut(incarnation.instance.as_str()) {
            if worker.incarnation != *incarnation {
                worker.incarnation = incarnation.clone();
            }
            return;
        }
        let worker = Worker { incarnation: incarnation.clone(), acknowledged: 0, active: 0 };
        self.incarnations.insert(Arc::from(incarnation.instance.as_str()), worker);
    }

    pub(super) fn acknowledged(&self, instance: &str) -> u64 {
        self.incarnations.get(instance).map_or(0, |worker| worker.acknowledged)
    }

    pub(super) fn acknowledge(&mut self, instance: &str, sequence: u64) {
        if let Some(worker) = self.incarnations.get_mut(instance) {
            worker.acknowledged = worker.acknowledged.max(sequence);
        }
    }

    pub(super) fn add_active(&mut self, instance: &str) {
        if let Some(worker) = self.incarnations.get_mut(instance) {
            worker.active += 1;
        }
    }

    pub(super) fn subtract_active(&mut self, instance: &str) {
        if let Some(worker) = self.incarnations.get_mut(instance) {
            worker.active = worker.active.saturating_sub(1);
        }
    }

    /// Removes an incarnation unless attempts may be running on it.
    pub(super) fn forget(&mut self, instance: &str) {
        if self.incarnations.get(instance).is_some_and(|worker| worker.active == 0) {
            self.incarnations.remove(instance);
        }
    }

    pub(super) fn snapshot(&self) -> Vec<WorkerState> {
        self.incarnations
            .values()
            .map(|worker| WorkerState {
                incarnation: Some(worker.incarnation.clone()),
                noted: worker.acknowledged,
            })
            .collect()
    }

    /// Restores the incarnations from a snapshot; the inverse of `snapshot`. The caller adds the active
    /// attempts.
    pub(super) fn restore(workers: &[WorkerState]) -> Result<Self, SnapshotError> {
        let mut restored = Self::default();
        for worker in workers {
            let incarnation = worker.incarnation.as_ref().ok_or(SnapshotError::WorkerWithoutInstance)?;
            restored.record_incarnation(incarnation);
            restored.acknowledge(&incarnation.instance, worker.noted);
        }
        Ok(restored)
    }
}
