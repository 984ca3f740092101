//! Capacity that attempts occupy on workers, and the workers that a task avoids.

use messages::job::Stage;

use crate::ids::{AttemptKey, TaskKey};
use crate::placement::WorkerKey;
use crate::state::Work;

use super::attempts::Attempt;
use super::demand::need_of;
use super::event_loop::Leader;
use super::mechanisms::Mechanism;
use super::service::plan_of;

/// Maximum number of workers that a task avoids.
const MAX_AVOIDED_WORKERS: usize = 8;

impl Leader {
    /// Reserves capacity for an attempt, either a new one or one that an earlier leader committed.
    pub(super) fn occupy(
        &mut self,
        work: &Work,
        stage: &Stage,
        key: AttemptKey,
        worker: WorkerKey,
        committed: bool,
    ) {
        let Some(entry) = self.workers.get_mut(&worker) else { return };
        entry.assigned.push(key);
        let service = entry.service;
        let need = need_of(stage);
        self.services[service].fleet.reserve(worker, key.task.step_key(), need);
        let attempt = Attempt {
            worker,
            service,
            need,
            plan: plan_of(work.submit().priority),
            estimate_ms: stage.est_runtime_ms,
            gang: stage.gang,
            gang_deadline: None,
            resumes_from_checkpoint: !work.checkpoint(key.task).is_empty(),
            long_running: stage.long_running,
            speculative: stage.speculative,
            checkpoints: stage.checkpoints,
            adopted: committed,
            committed,
            placed_at: self.now,
            started_at: None,
            runs_from_start: false,
            baseline: None,
            percent: 0,
            progress_at: self.now,
            checkpoint: String::new(),
            checkpointed_at: None,
            stopping: false,
        };
        if attempt.awaits_confirmation() {
            self.services[service].fleet.start_pending(worker, self.now);
        }
        if let Some(entry) = self.workers.get_mut(&worker) {
            entry.needs.include(&attempt, &self.settings, self.now);
        }
        self.attempts.insert(key, attempt);
        self.update_placement(worker);
        self.arm_attempt_examination();
    }

    /// Handles a start that was confirmed or will not take place. Once few starts on its worker are left to confirm,
    /// steps that found no worker to start on are placed again.
    pub(super) fn start_settled(&mut self, key: &AttemptKey) {
        let Some(attempt) = self.attempts.get(key) else { return };
        self.services[attempt.service].fleet.start_settled(attempt.worker);
    }

    /// Releases the capacity of a finished attempt.
    pub(super) fn release(&mut self, key: &AttemptKey) {
        if self.attempts.get(key).is_some_and(Attempt::awaits_confirmation) {
            self.start_settled(key);
        }
        let Some(attempt) = self.attempts.remove(key) else { return };
        let service = &mut self.services[attempt.service];
        service.fleet.release(attempt.worker, key.task.step_key(), attempt.need);
        if let Some(entry) = self.workers.get_mut(&attempt.worker) {
            entry.assigned.retain(|assigned| assigned != key);
        }
        self.update_placement(attempt.worker);
    }

    /// Records that the task failed or stalled on the worker, so that it is started elsewhere if possible.
    pub(super) fn avoid(&mut self, task: TaskKey, worker: WorkerKey) {
        if !self.uses(Mechanism::FailedWorkerAvoidance) {
            return;
        }
        let workers = self.failed_on.entry(task).or_default();
        if !workers.contains(&worker) && workers.len() < MAX_AVOIDED_WORKERS {
            workers.push(worker);
        }
    }
}
