//! Incarnations of workers that run attempts, or whose ends were acknowledged.

use std::collections::BTreeMap;
use std::sync::Arc;

use messages::job::{WorkerIncarnation, WorkerState};

use super::error::SnapshotError;

/// One incarnation of a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Worker {
    /// Where it is and what it serves.
    pub incarnation: WorkerIncarnation,
    /// Its ends up to this sequence are durable and may be forgotten by the worker.
    pub acknowledged: u64,
    /// Attempts of it that may be running.
    pub active: u32,
}

/// All known incarnations by instance.
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

    /// The shared text of a known instance.
    pub(super) fn name(&self, instance: &str) -> Option<Arc<str>> {
        self.incarnations.get_key_value(instance).map(|(name, _)| name.clone())
    }

    /// The shared text of an instance, which becomes known.
    pub(super) fn name_or_insert(&mut self, instance: &str) -> Arc<str> {
        if let Some(name) = self.name(instance) {
            return name;
        }
        self.learn(&WorkerIncarnation { instance: instance.to_owned(), ..WorkerIncarnation::default() });
        Arc::from(instance)
    }

    /// Records where an incarnation is; what is known of its ends stays.
    pub(super) fn learn(&mut self, incarnation: &WorkerIncarnation) {
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

    /// Forgets an incarnation that runs no attempt.
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

    /// The inverse of `snapshot`; active attempts are added by the caller.
    pub(super) fn restore(workers: &[WorkerState]) -> Result<Self, SnapshotError> {
        let mut restored = Self::default();
        for worker in workers {
            let incarnation = worker.incarnation.as_ref().ok_or(SnapshotError::WorkerWithoutInstance)?;
            restored.learn(incarnation);
            restored.acknowledge(&incarnation.instance, worker.noted);
        }
        Ok(restored)
    }
}
