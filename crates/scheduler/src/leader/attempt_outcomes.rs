//! Evaluation of ended and stalled attempts: updates the pace, failure rate and ejection of their workers.

use messages::job::{EndKind, WorkerEnd};

use crate::ids::{AttemptKey, TaskKey};
use crate::placement::WorkerKey;
use crate::time::NANOS_PER_MS;

use super::event_loop::Leader;
use super::mechanisms::Mechanism;
use super::worker_events::WorkerEvent;

/// Upper bound of a recorded pace. A higher value only shows that the client's estimate was poor.
const MAX_PACE: f64 = 4.0;

impl Leader {
    /// Updates the statistics of a worker with an end that the worker reported.
    pub(super) fn record_end(&mut self, worker: WorkerKey, end: &WorkerEnd) {
        let Some(task) = end.task.as_ref().map(TaskKey::from) else { return };
        match end.kind {
            EndKind::DONE => self.record_success(worker, AttemptKey { task, attempt: end.attempt }),
            EndKind::FAILED if end.counted => {
                self.avoid(task, worker);
                let key = AttemptKey { task, attempt: end.attempt };
                let placed_at = self.attempts.get(&key).map_or(self.now, |attempt| attempt.placed_at);
                self.record_failure(worker, task.job, placed_at);
            }
            _ => {}
        }
    }

    /// Records a completed attempt, which ends the worker's probation.
    fn record_success(&mut self, worker: WorkerKey, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(&key) else { return };
        let Some(started_at) = attempt.started_at else { return };
        if attempt.gang || attempt.long_running || !attempt.runs_from_start || attempt.estimate_ms == 0 {
            return;
        }
        let elapsed_ms = (self.now.saturating_sub(started_at) / NANOS_PER_MS).max(1);
        let pace = (attempt.estimate_ms as f64 / elapsed_ms as f64).min(MAX_PACE);
        self.peers[attempt.service].record(Some(pace));
        if let Some(entry) = self.workers.get_mut(&worker) {
            let was_on_probation = entry.outlier_detector.is_on_probation();
            entry.outlier_detector.record_success(pace);
            if was_on_probation {
                self.events.push(WorkerEvent::Reinstated { instance: entry.instance.clone() });
            }
        }
        self.update_placement(worker);
    }

    /// Records a failed or stalled attempt that was placed on the worker at `placed_at`. The worker may be
    /// ejected.
    pub(super) fn record_failure(&mut self, worker: WorkerKey, job: u64, placed_at: u64) {
        let now = self.now;
        let ejects_outliers = self.uses(Mechanism::OutlierEjection);
        let Some(entry) = self.workers.get_mut(&worker) else { return };
        let peers = &mut self.peers[entry.service];
        let peers_failure_rate = peers.failure_rate.value();
        peers.record(None);
        let former_ejected_until = entry.outlier_detector.ejected_until();
        if ejects_outliers {
            entry.outlier_detector.record_failure(job, placed_at, peers_failure_rate, now);
        }
        if entry.outlier_detector.ejected_until() != former_ejected_until {
            let ejection_ms = entry.outlier_detector.ejected_until().saturating_sub(now) / NANOS_PER_MS;
            self.events.push(WorkerEvent::Ejected { instance: entry.instance.clone(), ejection_ms });
        }
        self.reconsider_worker(worker);
    }
}
