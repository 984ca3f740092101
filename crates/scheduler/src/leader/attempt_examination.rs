//! Periodic examination of running attempts: attempts on draining workers, incomplete gangs, stalled attempts
//! and late attempts.

use std::collections::BTreeSet;

use crate::ids::{AttemptKey, TaskKey};
use crate::placement::WorkerKey;
use crate::state::State;
use crate::time::NANOS_PER_MS;

use super::attempts::Attempt;
use super::event_loop::Leader;
use super::mechanisms::Mechanism;
use super::timers::Timer;
use super::worker_entry::WorkerEntry;

/// Time between two examinations.
const EXAMINATION_INTERVAL_NS: u64 = 200 * NANOS_PER_MS;
/// Safety factor on the predicted remaining time of an attempt on a draining worker. The attempt is evacuated
/// if the remaining time multiplied by this factor would exceed the life of the worker.
const REMAINING_TIME_FACTOR: f64 = 1.25;
/// Time for stopping an attempt and receiving its end, in addition to `stop_ms`.
const EVACUATION_OVERHEAD_MS: u64 = 300;
/// Minimum time without progress after which an attempt counts as stalled.
const MIN_STALL_MS: u64 = 3_000;
/// Minimum time without progress before an attempt counts as stalled, as a fraction of the client's estimate.
const STALL_ESTIMATE_RATIO: f64 = 0.5;
/// Minimum time without progress after which the status lists of a responding worker show a stall: about two
/// lists after the last list that showed progress.
const MIN_QUICK_STALL_MS: u64 = 700;
/// The same threshold as a fraction of the client's estimate. Even slow workers advance by one percent in
/// that time.
const QUICK_STALL_ESTIMATE_RATIO: f64 = 0.2;
/// An attempt is late, and may get a speculative copy, once its run time exceeds both the client's estimate
/// multiplied by this factor and the estimate plus `MIN_SPECULATION_EXCESS_MS`.
const SPECULATION_FACTOR: u64 = 2;
/// Minimum excess of the run time over the client's estimate before an attempt is late.
const MIN_SPECULATION_EXCESS_MS: u64 = 1_000;

/// Action to take on an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Remedy {
    /// Stop the attempt because its draining worker will end before the attempt does.
    Evacuate,
    /// Stop the attempt because not all members of its gang started in time.
    RestartGang,
    /// Stop the stalled attempt and start the task on another worker.
    Relocate,
    /// Start a speculative copy, because the attempt is late or its worker does not respond.
    StartCopy,
}

impl Leader {
    /// Sets the timer for the next examination unless an earlier one is set.
    pub(super) fn arm_attempt_examination(&mut self) {
        self.timers.set_no_later(self.now + EXAMINATION_INTERVAL_NS, Timer::ExamineAttempts);
    }

    /// Examines all attempts that occupy a worker and applies the remedies.
    pub(super) fn examine_attempts(&mut self, state: &State) {
        if self.attempts.is_empty() {
            return;
        }
        self.arm_attempt_examination();
        let draining = self.draining_workers();
        let remedies: Vec<(AttemptKey, Remedy)> = self
            .attempts
            .iter()
            .filter_map(|(key, attempt)| Some((*key, self.remedy(*key, attempt, &draining)?)))
            .collect();
        for (key, remedy) in remedies {
            match remedy {
                Remedy::Evacuate | Remedy::RestartGang => self.stop_attempt(key),
                Remedy::Relocate => self.relocate_stalled(state, key),
                Remedy::StartCopy => self.start_copy(state, key),
            }
        }
    }

    /// Returns the draining workers. There are few of them, so that the set spares a look-up of the worker of
    /// each attempt.
    fn draining_workers(&self) -> BTreeSet<WorkerKey> {
        let is_draining =
            |entry: &WorkerEntry| entry.listing.as_ref().is_some_and(|listing| listing.draining);
        self.workers.iter().filter(|(_, entry)| is_draining(entry)).map(|(key, _)| *key).collect()
    }

    /// Returns the remedy for the attempt, or `None` if the attempt is left alone.
    fn remedy(&self, key: AttemptKey, attempt: &Attempt, draining: &BTreeSet<WorkerKey>) -> Option<Remedy> {
        if attempt.stopping || !attempt.committed {
            return None;
        }
        if self.uses(Mechanism::DrainEvacuation)
            && draining.contains(&attempt.worker)
            && self.outlives_worker(attempt)
        {
            return Some(Remedy::Evacuate);
        }
        let copies = self.uses(Mechanism::SpeculativeCopies) && attempt.speculative && !attempt.gang;
        let may_copy = copies && self.is_only_attempt(key.task);
        let responds = |entry: &WorkerEntry| entry.reachable && !entry.suspect;
        if may_copy && !self.workers.get(&attempt.worker).is_some_and(responds) {
            return Some(Remedy::StartCopy);
        }
        if self.is_gang_overdue(key, attempt) {
            return Some(Remedy::RestartGang);
        }
        let started_at = attempt.started_at?;
        if attempt.long_running {
            return None;
        }
        if self.uses(Mechanism::StallRelocation) && self.is_stalled(attempt) {
            return Some(Remedy::Relocate);
        }
        if !may_copy {
            return None;
        }
        let elapsed_ms = self.now.saturating_sub(started_at) / NANOS_PER_MS;
        let late = elapsed_ms
            > (attempt.estimate_ms * SPECULATION_FACTOR).max(attempt.estimate_ms + MIN_SPECULATION_EXCESS_MS);
        let still_useful = attempt.remaining_ms(self.now) > attempt.estimate_ms / 2 || attempt.percent == 0;
        (late && still_useful).then_some(Remedy::StartCopy)
    }

    /// Returns whether the attempt would still run when its draining worker ends.
    fn outlives_worker(&self, attempt: &Attempt) -> bool {
        let Some(entry) = self.workers.get(&attempt.worker) else { return false };
        let Some(listing) = entry.listing.as_ref().filter(|listing| listing.draining) else { return false };
        let Some(ends_at) = listing.ends_at else { return false };
        let worker_remaining_ms = ends_at.saturating_sub(self.now) / NANOS_PER_MS;
        if attempt.long_running {
            return true;
        }
        let attempt_remaining_ms = attempt.remaining_ms(self.now) as f64 * REMAINING_TIME_FACTOR;
        attempt_remaining_ms as u64 + EVACUATION_OVERHEAD_MS > worker_remaining_ms
    }

    /// Returns whether the attempt has made no progress for too long, although its worker is reachable and
    /// attempts of the same service do report progress.
    fn is_stalled(&self, attempt: &Attempt) -> bool {
        let Some(entry) = self.workers.get(&attempt.worker).filter(|entry| entry.reachable) else {
            return false;
        };
        if !self.services[attempt.service].progress_reported {
            return false;
        }
        let stalled_ms = |until: u64| until.saturating_sub(attempt.progress_at) / NANOS_PER_MS;
        if !attempt.gang && self.uses(Mechanism::QuickStallDetection) {
            let estimate_part_ms = (attempt.estimate_ms as f64 * QUICK_STALL_ESTIMATE_RATIO) as u64;
            return stalled_ms(entry.session.last_lists_at()) > estimate_part_ms.max(MIN_QUICK_STALL_MS);
        }
        let estimate_part_ms = (attempt.estimate_ms as f64 * STALL_ESTIMATE_RATIO) as u64;
        let gang_ms = if attempt.gang { self.settings.gang_ms + MIN_STALL_MS } else { 0 };
        stalled_ms(self.now) > MIN_STALL_MS.max(estimate_part_ms) + gang_ms
    }

    /// Stops a stalled attempt so that its task starts elsewhere. If the task allows speculative copies, a
    /// copy starts first.
    fn relocate_stalled(&mut self, state: &State, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(&key) else { return };
        let (worker, placed_at) = (attempt.worker, attempt.placed_at);
        let copies = self.uses(Mechanism::SpeculativeCopies) && attempt.speculative && !attempt.gang;
        self.avoid(key.task, worker);
        self.record_failure(worker, key.task.job, placed_at);
        if copies {
            self.start_copy(state, key);
        }
        self.stop_attempt(key);
    }

    /// Starts a second attempt of a task on another worker, if there is capacity.
    fn start_copy(&mut self, state: &State, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(&key) else { return };
        let (worker, service) = (attempt.worker, attempt.service);
        self.avoid(key.task, worker);
        if self.is_only_attempt(key.task) {
            self.start_task(state, service, key.task);
        }
    }

    fn is_only_attempt(&self, task: TaskKey) -> bool {
        self.attempts.of_task(task).count() == 1
    }
}
