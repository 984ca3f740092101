//! Whether workers may take starts, and the facts about workers that placement uses.

use crate::placement::WorkerKey;

use super::event_loop::Leader;
use super::mechanisms::Mechanism;
use super::timers::Timer;
use super::worker_entry::WorkerEntry;

impl Leader {
    /// Changes the entry of a worker and updates placement.
    pub(super) fn change_worker(&mut self, key: WorkerKey, change: impl FnOnce(&mut WorkerEntry)) {
        if let Some(entry) = self.workers.get_mut(&key) {
            change(entry);
            self.update_placement(key);
        }
    }

    /// Checks again whether a worker may take starts, now and when the next obstacle ends.
    pub(super) fn reconsider_worker(&mut self, key: WorkerKey) {
        self.update_placement(key);
        let Some(entry) = self.workers.get(&key) else { return };
        let obstacles = [entry.backoff_until, entry.outlier_detector.ejected_until()];
        if let Some(next) = obstacles.into_iter().filter(|until| *until > self.now).min() {
            self.timers.set_no_later(next, Timer::Worker(key));
        }
    }

    /// Reports the facts about a worker to placement, if they changed. The fleet records whether steps that wait may
    /// start there now.
    pub(super) fn update_placement(&mut self, key: WorkerKey) {
        let Some(entry) = self.workers.get_mut(&key) else { return };
        let position = entry.service;
        let peers_pace = self.peers[position].pace.value();
        let Some(mut facts) = entry.changed_facts(self.now, peers_pace) else { return };
        if !self.settings.mechanisms.uses(Mechanism::WorkerQuality) {
            (facts.pace, facts.success_rate) = (1.0, 1.0);
        }
        self.services[position].fleet.upsert(key, facts);
    }

    /// Updates placement for several workers.
    pub(super) fn update_placement_of_all(&mut self, keys: &[WorkerKey]) {
        for key in keys {
            self.update_placement(*key);
        }
    }
}
