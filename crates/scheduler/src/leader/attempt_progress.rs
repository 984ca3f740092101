//! Handling of the session outputs on attempts: starts, progress, ends, and attempts that are proven not to
//! run.

use messages::job::{AttemptResolved, Resolution, WorkerEnd};

use crate::ids::AttemptKey;
use crate::placement::WorkerKey;
use crate::time::NANOS_PER_MS;

use super::attempts::Baseline;
use super::event_loop::Leader;

/// Time during which a worker gets no further starts after it rejected one.
const REJECTED_START_BACKOFF_NS: u64 = 300 * NANOS_PER_MS;

impl Leader {
    pub(super) fn attempt_started(&mut self, key: AttemptKey) {
        let now = self.now;
        self.note_begun(&key);
        if let Some(delay) = self.attempts.confirm_start(&key, now) {
            self.start_pace.record_confirmation(now, delay);
            self.start_settled(&key);
        }
        if let Some(attempt) = self.attempts.get_mut(&key) {
            attempt.progress_at = now;
            if attempt.runs_from_start {
                attempt.baseline.get_or_insert(Baseline { percent: 0, at: now });
            }
        }
    }

    pub(super) fn attempt_progressed(
        &mut self,
        worker: WorkerKey,
        key: AttemptKey,
        checkpoint: String,
        percent: u32,
    ) {
        let now = self.now;
        let percent = percent.min(100);
        let Some(attempt) = self.attempts.get_mut(&key) else { return };
        attempt.baseline.get_or_insert(Baseline { percent, at: now });
        if percent != attempt.percent {
            attempt.percent = percent;
            attempt.progress_at = now;
        }
        if !checkpoint.is_empty() && checkpoint != attempt.checkpoint {
            attempt.checkpoint = checkpoint;
            attempt.checkpointed_at = Some(now);
        }
        let Some(entry) = self.workers.get(&worker) else { return };
        if percent > 0 {
            self.services[entry.service].progress_reported = true;
        }
    }

    pub(super) fn attempt_ended(&mut self, worker: WorkerKey, end: WorkerEnd) {
        self.record_end(worker, &end);
        let Some(entry) = self.workers.get_mut(&worker) else { return };
        if entry.pending_ends.is_empty() {
            self.workers_with_ends.push(worker);
        }
        entry.pending_ends.push(end);
    }

    pub(super) fn attempt_resolved(
        &mut self,
        worker: WorkerKey,
        key: AttemptKey,
        resolution: Resolution,
        checkpoint: String,
    ) {
        let now = self.now;
        let Some(entry) = self.workers.get_mut(&worker) else { return };
        let instance = entry.instance.to_string();
        if matches!(resolution, Resolution::REJECTED_NO_CAPACITY | Resolution::REJECTED) {
            entry.backoff_until = now + REJECTED_START_BACKOFF_NS;
            self.reconsider_worker(worker);
        }
        let task = Some(key.task.into());
        self.batch.resolved(AttemptResolved { task, attempt: key.attempt, instance, resolution, checkpoint });
    }

    /// Adds the ends that workers reported to the next proposal.
    pub(super) fn propose_ends(&mut self) {
        for worker in self.workers_with_ends.drain(..) {
            let Some(entry) = self.workers.get_mut(&worker) else { continue };
            if !std::mem::replace(&mut entry.incarnation_logged, true) {
                self.batch.incarnation(entry.incarnation());
            }
            let ends = std::mem::take(&mut entry.pending_ends);
            self.batch.ends(&entry.instance, ends);
        }
    }
}
