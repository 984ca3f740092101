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

    /// Updates the facts that placement has about a worker, if they changed.
    pub(super) fn update_placement(&mut self, key: WorkerKey) {
        if self.report_facts(key) {
            self.notify_usable(key);
        }
    }

    /// Updates placement for several workers. Services are notified of workers that became usable only after
    /// all facts are reported, so that the shares of waiting steps are computed once.
    pub(super) fn update_placement_of_all(&mut self, keys: &[WorkerKey]) {
        let became_usable: Vec<WorkerKey> =
            keys.iter().copied().filter(|key| self.report_facts(*key)).collect();
        for key in became_usable {
            self.notify_usable(key);
        }
    }

    fn notify_usable(&mut self, key: WorkerKey) {
        if let Some(position) = self.workers.get(&key).map(|entry| entry.service) {
            self.services[position].worker_usable(key);
        }
    }

    /// Reports the facts about a worker to placement, if they changed. Returns whether the worker became
    /// usable.
    fn report_facts(&mut self, key: WorkerKey) -> bool {
        let Some(entry) = self.workers.get_mut(&key) else { return false };
        let position = entry.service;
        let was_usable = entry.reported.is_some_and(|reported| reported.usable);
        let was_ejected = entry.reported.is_some_and(|reported| reported.ejected);
        let peers_pace = self.peers[position].pace.value();
        let Some(mut facts) = entry.changed_facts(self.now, peers_pace) else { return false };
        if !self.settings.mechanisms.uses(Mechanism::WorkerQuality) {
            (facts.pace, facts.success_rate) = (1.0, 1.0);
        }
        let became_usable = (facts.usable && !was_usable) || (facts.ejected && !was_usable && !was_ejected);
        self.services[position].fleet.upsert(key, facts);
        became_usable
    }
}
