//! Submission, cancellation and end of jobs, and the number of pending jobs of each prefix.

use std::sync::Arc;

use messages::job::{CancelJob, JobPhase, SubmitJob};

use crate::ids::{AttemptKey, StepKey};

use super::change::StateChange;
use super::job::{Job, Work};
use super::State;

impl State {
    /// Accepts a job unless its identity is already in use or its steps cannot be run.
    pub(super) fn submit_job(&mut self, submit: &SubmitJob, changes: &mut Vec<StateChange>) {
        let id = submit.id;
        if let Some(job) = self.jobs.get(&id) {
            changes.push(if *job.prefix_key == *submit.prefix_key {
                StateChange::JobAlreadyAccepted { job: id }
            } else {
                StateChange::JobRejected { job: id, prefix_key: submit.prefix_key.clone() }
            });
            return;
        }
        let Some(work) = Work::new(submit.clone()) else {
            changes.push(StateChange::JobRejected { job: id, prefix_key: submit.prefix_key.clone() });
            return;
        };
        changes.push(StateChange::JobAccepted { job: id });
        if !work.is_scheduled() {
            for (step, stage) in work.stages().iter().enumerate() {
                if stage.depends_on.is_empty() {
                    changes.push(StateChange::StepReady {
                        step: StepKey { job: id, time: 0, step: step as u32 },
                    });
                }
            }
        }
        let prefix_key = self.add_pending(&submit.prefix_key);
        let job = Job { prefix_key, phase: JobPhase::OPEN, ended_at_ms: 0, work: Some(Box::new(work)) };
        self.jobs.insert(id, job);
    }

    /// Cancels a job unless it has ended. A cancel that finds no job leaves a tombstone.
    ///
    /// Tombstones do not affect how later submissions are applied: the leader does not propose a submission
    /// that a tombstone forbids, and builds that do not know tombstones apply the same log.
    pub(super) fn cancel_job(&mut self, cancel: &CancelJob, changes: &mut Vec<StateChange>) {
        let prefix_key = cancel.prefix_key.clone();
        let job = self.jobs.get(&cancel.id).filter(|job| *job.prefix_key == *cancel.prefix_key);
        let Some(job) = job else {
            let queue = self.shared_prefix(&prefix_key);
            self.cancel_tombstones.record(cancel.id, queue, self.clock_ms);
            changes.push(StateChange::NoSuchJob { job: cancel.id, prefix_key });
            return;
        };
        let is_open = job.phase == JobPhase::OPEN;
        changes.push(StateChange::CancelDone { job: cancel.id, prefix_key });
        if is_open {
            self.end_job(cancel.id, JobPhase::CANCELLED, changes);
        }
    }

    /// Ends an open job and requests a stop of its attempts that may be running.
    pub(super) fn end_job(&mut self, id: u64, phase: JobPhase, changes: &mut Vec<StateChange>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let was_pending = job.is_pending();
        job.phase = phase;
        job.ended_at_ms = self.clock_ms;
        changes.push(StateChange::JobEnded { job: id, phase });
        if let Some(work) = job.work() {
            for (task, active) in work.active_attempts() {
                let key = AttemptKey { task, attempt: active.attempt };
                changes.push(StateChange::StopRequested { key, instance: active.instance.clone() });
            }
        }
        let prefix_key = job.prefix_key.clone();
        self.ended_jobs.insert((self.clock_ms, id));
        if was_pending {
            self.subtract_pending(&prefix_key);
        }
        self.drop_idle_work(id);
    }

    /// Drops the specification and progress of an ended job none of whose attempts may be running. Only how
    /// the job ended is retained.
    pub(super) fn drop_idle_work(&mut self, id: u64) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let idle = job.work.as_ref().is_some_and(|work| work.active == 0);
        if idle && job.phase != JobPhase::OPEN {
            job.work = None;
        }
    }

    /// Counts a pending job and returns the shared text of its prefix.
    pub(super) fn add_pending(&mut self, prefix_key: &str) -> Arc<str> {
        let name = self.shared_prefix(prefix_key);
        *self.pending_by_prefix.entry(name.clone()).or_insert(0) += 1;
        name
    }

    /// Returns the shared text of a prefix.
    pub(super) fn shared_prefix(&mut self, prefix_key: &str) -> Arc<str> {
        let known = self.pending_by_prefix.get_key_value(prefix_key).map(|(name, _)| name.clone());
        known.unwrap_or_else(|| {
            let name: Arc<str> = Arc::from(prefix_key);
            self.pending_by_prefix.insert(name.clone(), 0);
            name
        })
    }

    pub(super) fn subtract_pending(&mut self, prefix_key: &str) {
        if let Some(count) = self.pending_by_prefix.get_mut(prefix_key) {
            *count = count.saturating_sub(1);
        }
    }
}
