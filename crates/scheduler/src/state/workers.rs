//! Lives of workers that carry attempts, or whose ends were taken note of.

use std::collections::BTreeMap;
use std::sync::Arc;

use messages::job::{WorkerLife, WorkerState};

use super::error::SnapshotError;

/// One life of a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Worker {
    /// Where it is and what it serves.
    pub life: WorkerLife,
    /// Its ends up to this sequence are durable.
    pub noted: u64,
    /// Attempts of it that may be running.
    pub active: u32,
}

/// All lives by instance.
#[derive(Debug, Default, Clone, PartialEq)]
pub(super) struct Workers {
    lives: BTreeMap<Arc<str>, Worker>,
}

impl Workers {
    pub(super) fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.lives.values()
    }

    pub(super) fn get(&self, instance: &str) -> Option<&Worker> {
        self.lives.get(instance)
    }

    pub(super) fn is_known(&self, instance: &str) -> bool {
        self.lives.contains_key(instance)
    }

    /// The shared text of a known instance.
    pub(super) fn name(&self, instance: &str) -> Option<Arc<str>> {
        self.lives.get_key_value(instance).map(|(name, _)| name.clone())
    }

    /// The shared text of an instance, which becomes known.
    pub(super) fn name_or_insert(&mut self, instance: &str) -> Arc<str> {
        if let Some(name) = self.name(instance) {
            return name;
        }
        self.learn(&WorkerLife { instance: instance.to_owned(), ..WorkerLife::default() });
        Arc::from(instance)
    }

    /// Takes in where a life is; what is known of its ends stays.
    pub(super) fn learn(&mut self, life: &WorkerLife) {
        if let Some(worker) = self.lives.get_mut(life.instance.as_str()) {
            if worker.life != *life {
                worker.life = life.clone();
            }
            return;
        }
        let worker = Worker { life: life.clone(), noted: 0, active: 0 };
        self.lives.insert(Arc::from(life.instance.as_str()), worker);
    }

    pub(super) fn noted(&self, instance: &str) -> u64 {
        self.lives.get(instance).map_or(0, |worker| worker.noted)
    }

    pub(super) fn note(&mut self, instance: &str, sequence: u64) {
        if let Some(worker) = self.lives.get_mut(instance) {
            worker.noted = worker.noted.max(sequence);
        }
    }

    pub(super) fn add_active(&mut self, instance: &str) {
        if let Some(worker) = self.lives.get_mut(instance) {
            worker.active += 1;
        }
    }

    pub(super) fn subtract_active(&mut self, instance: &str) {
        if let Some(worker) = self.lives.get_mut(instance) {
            worker.active = worker.active.saturating_sub(1);
        }
    }

    /// Forgets a life that carries no attempt.
    pub(super) fn forget(&mut self, instance: &str) {
        if self.lives.get(instance).is_some_and(|worker| worker.active == 0) {
            self.lives.remove(instance);
        }
    }

    pub(super) fn snapshot(&self) -> Vec<WorkerState> {
        self.lives
            .values()
            .map(|worker| WorkerState { life: Some(worker.life.clone()), noted: worker.noted })
            .collect()
    }

    /// The inverse of `snapshot`; active attempts are added by the caller.
    pub(super) fn restore(workers: &[WorkerState]) -> Result<Self, SnapshotError> {
        let mut restored = Self::default();
        for worker in workers {
            let life = worker.life.as_ref().ok_or(SnapshotError::Worker)?;
            restored.learn(life);
            restored.note(&life.instance, worker.noted);
        }
        Ok(restored)
    }
}
