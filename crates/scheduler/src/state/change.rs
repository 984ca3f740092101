//! Changes of the state: what a committed command did, for the leader to act on and for metrics to count.

use std::sync::Arc;

use messages::job;

use crate::ids::{AttemptKey, StepKey, TaskKey};

use super::digest::ConfigurationKey;

/// How an attempt finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The worker listed its end.
    Ended(job::EndKind),
    /// It surely does not run, without a listed end.
    Resolved(job::Resolution),
}

/// One change of the state, in the order in which it took place.
#[derive(Debug, Clone, PartialEq)]
pub enum StateChange {
    /// A configuration is in force from now on.
    ConfigurationAccepted {
        /// Which change of the operator it is.
        key: ConfigurationKey,
        /// Its version.
        version: u64,
    },
    /// This exact configuration had been accepted before.
    ConfigurationRepeated {
        /// Which change of the operator it is.
        key: ConfigurationKey,
    },
    /// The configuration builds on another version than the current one.
    ConfigurationConflict {
        /// Which change of the operator it is.
        key: ConfigurationKey,
        /// The version in force.
        current: u64,
    },
    /// The configuration's version is not above the current one.
    ConfigurationVersionTooLow {
        /// Which change of the operator it is.
        key: ConfigurationKey,
        /// The version in force.
        current: u64,
    },

    /// The job was accepted.
    JobAccepted {
        /// The job's identity.
        job: u64,
    },
    /// The job had been accepted before, under the same prefix.
    JobAlreadyAccepted {
        /// The job's identity.
        job: u64,
    },
    /// A job of another prefix has this identity, or the job's steps cannot be run.
    JobRejected {
        /// The job's identity.
        job: u64,
        /// Host and path prefix under which it was submitted.
        prefix_key: String,
    },
    /// The job is cancelled, or had ended before.
    CancelDone {
        /// The job's identity.
        job: u64,
        /// Host and path prefix of the request.
        prefix_key: String,
    },
    /// There is no such job under that prefix.
    NoSuchJob {
        /// The job's identity.
        job: u64,
        /// Host and path prefix of the request.
        prefix_key: String,
    },
    /// The job ended.
    JobEnded {
        /// The job's identity.
        job: u64,
        /// How it ended.
        phase: job::JobPhase,
    },
    /// The job ended long ago: it is no longer known.
    JobForgotten {
        /// The job's identity.
        job: u64,
    },

    /// All steps that this step depends on are done: its tasks may start.
    StepReady {
        /// Which step.
        step: StepKey,
    },
    /// All tasks of the step are done.
    StepDone {
        /// Which step.
        step: StepKey,
    },
    /// The task is done for good.
    TaskDone {
        /// Which task.
        task: TaskKey,
    },
    /// A run of the task failed in a way that counts.
    TaskFailed {
        /// Which task.
        task: TaskKey,
        /// Counted failures of the task, or of its gang, so far.
        failures: u32,
    },
    /// The task waits for a start again.
    TaskReady {
        /// Which task. Of a gang, index 0 stands for all members.
        task: TaskKey,
    },

    /// The intent to start is durable.
    AttemptStarted {
        /// Which attempt.
        key: AttemptKey,
        /// The worker's incarnation.
        instance: Arc<str>,
    },
    /// The intent is void: the job ended, the task is done, or there is a newer attempt.
    StartDropped {
        /// Which attempt.
        key: AttemptKey,
        /// The worker's incarnation.
        instance: Arc<str>,
    },
    /// The attempt no longer occupies its worker.
    AttemptFinished {
        /// Which attempt.
        key: AttemptKey,
        /// The worker's incarnation.
        instance: Arc<str>,
        /// How it finished.
        outcome: AttemptOutcome,
    },
    /// The attempt may still run, and nobody wants it any longer.
    StopRequested {
        /// Which attempt.
        key: AttemptKey,
        /// The worker's incarnation.
        instance: Arc<str>,
    },
    /// Ends of the worker are durable.
    EndsAcknowledged {
        /// The worker's incarnation.
        instance: Arc<str>,
        /// All its ends up to this sequence are.
        sequence: u64,
    },
}
