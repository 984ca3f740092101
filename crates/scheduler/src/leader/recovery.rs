//! Recovery at a leader's start: the state of every attempt that may be running is queried, every waiting task queued.

use crate::ids::{AttemptKey, StepKey};
use crate::state::{Job, State, Work};

use super::event_loop::Leader;
use super::service::QueueEnd;

impl Leader {
    /// Rebuilds what the leader keeps beside the state.
    pub(super) fn recover(&mut self, state: &State) {
        self.load_configuration(state);
        for worker in state.workers() {
            let key = self.worker_key(&worker.incarnation, worker.acknowledged);
            if let Some(entry) = self.workers.get_mut(&key) {
                entry.incarnation_logged = true;
            }
        }
        for (_, job) in state.jobs() {
            if let Some(work) = job.work() {
                self.adopt_attempts(state, work, job.open_work().is_some());
            }
        }
        self.queue_open_jobs(state);
    }

    /// Adopts the attempts of a job; those that are no longer wanted are stopped.
    fn adopt_attempts(&mut self, state: &State, work: &Work, is_open: bool) {
        for (task, active) in work.active_attempts() {
            let Some(stage) = work.stage(task.step) else { continue };
            let Some(worker) = state.worker(&active.instance) else { continue };
            let worker = self.worker_key(&worker.incarnation, worker.acknowledged);
            let key = AttemptKey { task, attempt: active.attempt };
            self.occupy(work, stage, key, worker, true);
            self.limit_adopted_gang(key);
            if let Some(entry) = self.workers.get_mut(&worker) {
                entry.session.adopt(key);
            }
            self.schedule_poll(worker);
            let is_broken_gang = stage.gang && work.active_in_step(task.step_key()) < stage.count as usize;
            if !is_open || work.is_task_done(task) || is_broken_gang {
                self.stop_attempt(key);
            }
        }
    }

    /// Queues the waiting steps, those of jobs accepted first before the others.
    fn queue_open_jobs(&mut self, state: &State) {
        let accepted =
            |(id, job): (u64, &Job)| job.open_work().map(|work| (work.submit().accepted_at_ms, id));
        let mut open: Vec<(u64, u64)> = state.jobs().filter_map(accepted).collect();
        open.sort_unstable();
        for (_, job) in open {
            self.job_opened(state, job);
            let Some(work) = state.open_work(job) else { continue };
            if work.is_scheduled() {
                continue;
            }
            for step in 0..work.stages().len() as u32 {
                self.enqueue_step(state, StepKey { job, time: 0, step }, QueueEnd::Back);
            }
        }
    }
}
