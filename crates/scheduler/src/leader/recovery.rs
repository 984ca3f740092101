//! Recovery when a leader starts: the leader queries the state of every attempt that may be running and
//! enqueues all waiting tasks.

use std::collections::VecDeque;

use crate::ids::{AttemptKey, StepKey};
use crate::state::{Job, State, Work};

use super::event_loop::Leader;
use super::service::QueueEnd;
use super::settings::LeaderSettings;
use super::timers::Timer;

/// Maximum number of jobs that one slice of a recovery processes.
const JOBS_PER_SLICE: usize = 64;
/// Number of tasks after which a slice of a recovery ends, even if it has processed fewer jobs.
const TASKS_PER_SLICE: u64 = 10_000;

/// A leader that is being built from the state in slices. With thousands of open jobs this takes longer than
/// a leader may go without sending heartbeats.
///
/// The state must not change between `new` and `finish`. This holds because only the leader of the term
/// proposes commands.
pub struct LeaderRecovery {
    leader: Leader,
    /// Jobs whose attempts are not adopted yet.
    jobs_to_adopt: VecDeque<u64>,
    /// Open jobs whose steps are not enqueued yet, in order of acceptance.
    jobs_to_enqueue: VecDeque<u64>,
}

impl LeaderRecovery {
    /// Loads the configuration and the workers. The parameters are those of `Leader::new`.
    pub fn new(term: u64, settings: LeaderSettings, state: &State, now: u64, seed: u64) -> Self {
        let mut leader = Leader::empty(term, settings, now, seed);
        leader.recover_workers(state);
        leader.timers.set(now, Timer::ReadInstances);
        let jobs_to_adopt = state.jobs().filter(|(_, job)| job.work().is_some()).map(|(id, _)| id).collect();
        LeaderRecovery { leader, jobs_to_adopt, jobs_to_enqueue: open_jobs(state) }
    }

    /// Processes the next slice. Returns whether the recovery is complete.
    pub fn advance(&mut self, state: &State) -> bool {
        if !self.jobs_to_adopt.is_empty() {
            let begun_tasks = |work: &Work| work.begun_repeats() as u64 * work.tasks_per_repeat();
            for job in next_slice(&mut self.jobs_to_adopt, state, begun_tasks) {
                self.leader.recover_attempts(state, job);
            }
        } else {
            for job in next_slice(&mut self.jobs_to_enqueue, state, Work::tasks_per_repeat) {
                self.leader.recover_steps(state, job);
            }
        }
        self.jobs_to_adopt.is_empty() && self.jobs_to_enqueue.is_empty()
    }

    /// Returns the leader. Must only be called after `advance` has returned true.
    pub fn finish(self) -> Leader {
        debug_assert!(
            self.jobs_to_adopt.is_empty() && self.jobs_to_enqueue.is_empty(),
            "the recovery is not complete"
        );
        self.leader
    }

    /// Processes all remaining slices and returns the leader.
    pub fn complete(mut self, state: &State) -> Leader {
        while !self.advance(state) {}
        self.finish()
    }
}

/// Takes the jobs of the next slice. `tasks_of` returns the number of tasks of a job that the slice processes.
fn next_slice(jobs: &mut VecDeque<u64>, state: &State, tasks_of: impl Fn(&Work) -> u64) -> Vec<u64> {
    let mut slice = Vec::new();
    let mut tasks = 0;
    while slice.len() < JOBS_PER_SLICE && tasks < TASKS_PER_SLICE {
        let Some(job) = jobs.pop_front() else { break };
        tasks += state.job(job).and_then(Job::work).map_or(0, &tasks_of);
        slice.push(job);
    }
    slice
}

/// Returns the open jobs in order of acceptance.
fn open_jobs(state: &State) -> VecDeque<u64> {
    let accepted = |(id, job): (u64, &Job)| job.open_work().map(|work| (work.submit().accepted_at_ms, id));
    let mut open: Vec<(u64, u64)> = state.jobs().filter_map(accepted).collect();
    open.sort_unstable();
    open.into_iter().map(|(_, job)| job).collect()
}

impl Leader {
    /// Creates the leader of `term` from the state as of the commit of the term's first entry. `now` is in
    /// nanoseconds of the monotonic clock, and `seed` determines the jitter of the timers. `LeaderRecovery`
    /// does the same in slices.
    pub fn new(term: u64, settings: LeaderSettings, state: &State, now: u64, seed: u64) -> Self {
        LeaderRecovery::new(term, settings, state, now, seed).complete(state)
    }

    fn recover_workers(&mut self, state: &State) {
        self.load_configuration(state);
        for worker in state.workers() {
            let key = self.worker_key(&worker.incarnation, worker.acknowledged);
            if let Some(entry) = self.workers.get_mut(&key) {
                entry.incarnation_logged = true;
            }
        }
    }

    fn recover_attempts(&mut self, state: &State, job: u64) {
        let Some(job) = state.job(job) else { return };
        if let Some(work) = job.work() {
            self.adopt_attempts(state, work, job.open_work().is_some());
        }
    }

    /// Adopts the active attempts of a job and stops those that are no longer needed.
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
            self.schedule_poll_after_adoption(worker);
            let is_broken_gang = stage.gang && work.active_in_step(task.step_key()) < stage.count as usize;
            if !is_open || work.is_task_done(task) || is_broken_gang {
                self.stop_attempt(key);
            }
        }
    }

    /// Enqueues the waiting steps of an open job.
    fn recover_steps(&mut self, state: &State, job: u64) {
        self.job_opened(state, job);
        self.recover_begun_job(state, job);
        let Some(work) = state.open_work(job) else { return };
        if work.is_scheduled() {
            return;
        }
        for step in 0..work.stages().len() as u32 {
            self.enqueue_step(state, StepKey { job, time: 0, step }, QueueEnd::Back);
        }
    }
}
