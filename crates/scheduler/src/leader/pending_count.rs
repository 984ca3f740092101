//! The count of pending jobs and the state of a job, as clients see them.

use crate::ids::AttemptKey;
use crate::state::{Job, State, JOB_PENDING};

use super::event_loop::Leader;

impl Leader {
    /// Returns the number of open jobs of a prefix of which no task has begun.
    pub(super) fn pending_jobs(&self, state: &State, prefix_key: &str) -> u64 {
        state.pending_jobs(prefix_key) + self.begun_jobs.unconfirmed(prefix_key)
    }

    /// Returns the state of a job as clients see it: an open job is `pending` until one of its tasks has begun.
    pub(super) fn state_text(&self, id: u64, job: &Job) -> &'static str {
        if job.open_work().is_some() && self.begun_jobs.is_unconfirmed(id) {
            return JOB_PENDING;
        }
        job.state_text()
    }

    /// Records that the start of an attempt is committed.
    pub(super) fn note_committed_start(&mut self, state: &State, key: AttemptKey) {
        let Some(job) = state.job(key.task.job).filter(|job| job.open_work().is_some()) else { return };
        self.begun_jobs.start_committed(key.task.job, job.shared_prefix_key());
    }

    /// Records that a worker has begun an attempt.
    pub(super) fn note_begun(&mut self, key: &AttemptKey) {
        self.begun_jobs.task_begun(key.task.job);
    }

    /// Loads what the state shows of an open job.
    pub(super) fn recover_begun_job(&mut self, state: &State, id: u64) {
        let Some(job) = state.job(id).filter(|job| !job.is_pending()) else { return };
        let Some(work) = job.open_work() else { return };
        self.begun_jobs.start_committed(id, job.shared_prefix_key());
        if work.shows_begun_task() {
            self.begun_jobs.task_begun(id);
        }
    }
}
