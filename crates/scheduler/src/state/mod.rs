//! Replicated state of configuration, jobs and workers. It is deterministic and the same on every core
//! process.

mod call_check;
mod cancel_tombstones;
mod change;
mod configuration;
mod digest;
mod done_repeats;
mod ends;
mod error;
mod job;
mod retention;
mod snapshot;
mod starts;
mod submissions;
mod task;
mod workers;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use messages::job::mod_Command::OneOfkind;
use messages::job::{Command, CommandBatch, PutConfiguration, Stage};

use crate::ids::StepKey;

pub use change::{AttemptOutcome, StateChange};
pub use configuration::AcceptedConfiguration;
pub use digest::{ConfigurationDigest, ConfigurationKey};
pub use error::{SnapshotError, UncommittedCall};
pub use job::{Job, JobRepeat, Work, JOB_PENDING};
pub use retention::{CANCEL_TOMBSTONE_RETENTION_MS, ENDED_JOB_RETENTION_MS};
pub use task::{ActiveAttempt, Task};
pub use workers::Worker;

use cancel_tombstones::CancelTombstones;
use configuration::ConfigurationHistory;
use workers::Workers;

/// Configuration, jobs and workers after the commands applied so far.
#[derive(Debug, Default, Clone)]
pub struct State {
    configuration: ConfigurationHistory,
    jobs: BTreeMap<u64, Job>,
    workers: Workers,
    /// The latest time of day that a leader proposed, in ms since 1970.
    clock_ms: u64,
    /// Ended jobs as pairs of the time of their end in ms since 1970 and their identity.
    ended_jobs: BTreeSet<(u64, u64)>,
    /// For each prefix, the number of open jobs without a committed start.
    pending_by_prefix: HashMap<Arc<str>, u64>,
    cancel_tombstones: CancelTombstones,
}

impl State {
    /// Creates the state before the first command.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the commands in order and returns the changes they made.
    pub fn apply(&mut self, batch: &CommandBatch) -> Vec<StateChange> {
        let mut changes = Vec::new();
        for command in &batch.commands {
            self.apply_command(command, &mut changes);
        }
        changes
    }

    fn apply_command(&mut self, command: &Command, changes: &mut Vec<StateChange>) {
        match &command.kind {
            OneOfkind::put_configuration(put) => changes.push(self.configuration.put(put)),
            OneOfkind::submit_job(submit) => self.submit_job(submit, changes),
            OneOfkind::cancel_job(cancel) => self.cancel_job(cancel, changes),
            OneOfkind::start_attempts(starts) => self.start_attempts(starts, changes),
            OneOfkind::record_ends(ends) => self.record_ends(ends, changes),
            OneOfkind::resolve_attempts(resolved) => self.resolve_attempts(resolved, changes),
            OneOfkind::forget_workers(forget) => {
                for instance in &forget.instances {
                    self.workers.forget(instance);
                }
            }
            OneOfkind::advance_clock(advance) => self.advance_clock(advance.now_ms, changes),
            OneOfkind::None => {}
        }
    }

    /// The newest configuration.
    pub fn configuration(&self) -> Option<&PutConfiguration> {
        self.configuration.newest()
    }

    /// All remembered configurations, from oldest to newest; the last one is in force.
    pub fn configurations(&self) -> impl Iterator<Item = AcceptedConfiguration> + '_ {
        self.configuration.all()
    }

    /// Version of the newest configuration, 0 if there is none.
    pub fn configuration_version(&self) -> u64 {
        self.configuration.version()
    }

    /// Whether a configuration with exactly this body was accepted before, as far as remembered.
    pub fn was_configuration_accepted(&self, body: &[u8]) -> bool {
        self.configuration.was_accepted(body)
    }

    /// The job with this identity.
    pub fn job(&self, id: u64) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// All jobs, in the order of their identities.
    pub fn jobs(&self) -> impl Iterator<Item = (u64, &Job)> {
        self.jobs.iter().map(|(id, job)| (*id, job))
    }

    /// Specification and progress of a job; `None` if the job has ended.
    pub fn open_work(&self, id: u64) -> Option<&Work> {
        self.jobs.get(&id)?.open_work()
    }

    /// Specification of a step; `None` if the job has ended.
    pub fn open_stage(&self, step: StepKey) -> Option<&Stage> {
        self.open_work(step.job)?.stage(step.step)
    }

    /// All known incarnations of workers.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.iter()
    }

    /// One incarnation of a worker.
    pub fn worker(&self, instance: &str) -> Option<&Worker> {
        self.workers.get(instance)
    }

    /// Number of open jobs of a prefix without a committed start.
    pub fn pending_jobs(&self, prefix_key: &str) -> u64 {
        self.pending_by_prefix.get(prefix_key).copied().unwrap_or(0)
    }

    /// Until when submissions of this ID to the queue are rejected because it was cancelled while there was no
    /// such job, in ms since 1970; `None` if it was not.
    pub fn cancelled_until_ms(&self, id: u64, prefix_key: &str) -> Option<u64> {
        let recorded_at_ms = self.cancel_tombstones.recorded_at_ms(id, prefix_key)?;
        Some(recorded_at_ms.saturating_add(CANCEL_TOMBSTONE_RETENTION_MS))
    }

    /// Number of IDs that were cancelled while there was no such job, as far as retained.
    pub fn cancel_tombstones(&self) -> usize {
        self.cancel_tombstones.len()
    }

    /// The latest time of day that a leader proposed, in ms since 1970.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Advances the replicated clock and removes jobs and tombstones whose retention time has passed. A time
    /// before the current one has no effect on the clock. Jobs that still have attempts that may run are kept.
    fn advance_clock(&mut self, now_ms: u64, changes: &mut Vec<StateChange>) {
        self.clock_ms = self.clock_ms.max(now_ms);
        let mut kept = Vec::new();
        while let Some((ended_at_ms, id)) = self.ended_jobs.first().copied() {
            if ended_at_ms.saturating_add(ENDED_JOB_RETENTION_MS) >= self.clock_ms {
                break;
            }
            self.ended_jobs.remove(&(ended_at_ms, id));
            if self.jobs.get(&id).is_some_and(|job| job.work.is_some()) {
                kept.push((ended_at_ms, id));
                continue;
            }
            self.jobs.remove(&id);
            changes.push(StateChange::JobForgotten { job: id });
        }
        self.ended_jobs.extend(kept);
        self.cancel_tombstones.expire(self.clock_ms);
    }
}
