//! Changes of the state by committed commands. The leader acts on them and metrics count them.

use std::sync::Arc;

use messages::job;

use crate::ids::{AttemptKey, StepKey, TaskKey};

use super::digest::ConfigurationKey;

/// How an attempt finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The worker listed the end of the attempt.
    Ended(job::EndKind),
    /// The attempt certainly does not run, and the worker listed no end of it.
    Resolved(job::Resolution),
}

/// One change of the state. Changes are emitted in the order in which they took place.
#[derive(Debug, Clone, PartialEq)]
pub enum StateChange {
    /// A configuration was accepted and is now in force.
    ConfigurationAccepted {
        /// The operator's change.
        key: ConfigurationKey,
        /// Version of the configuration.
        version: u64,
    },
    /// The same configuration had been accepted before.
    ConfigurationRepeated {
        /// The operator's change.
        key: ConfigurationKey,
    },
    /// The configuration is based on another version than the current one.
    ConfigurationConflict {
        /// The operator's change.
        key: ConfigurationKey,
        /// The version in force.
        current: u64,
    },
    /// The version of the configuration is not higher than the current one.
    ConfigurationVersionTooLow {
        /// The operator's change.
        key: ConfigurationKey,
        /// The version in force.
        current: u64,
    },

    /// The job was accepted.
    JobAccepted {
        /// The job's identity.
        job: u64,
    },
    /// The job had been accepted before, under the same host and path prefix.
    JobAlreadyAccepted {
        /// The job's identity.
        job: u64,
    },
    /// The job was rejected: a job of another prefix has this identity, or its steps cannot be run.
    JobRejected {
        /// The job's identity.
        job: u64,
        /// Host and path prefix under which it was submitted.
        prefix_key: String,
    },
    /// The job is cancelled, or had ended before the request.
    CancelDone {
        /// The job's identity.
        job: u64,
        /// Host and path prefix of the request.
        prefix_key: String,
    },
    /// No job with this identity exists under the prefix of the request.
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
        /// How the job ended.
        phase: job::JobPhase,
    },
    /// The job was removed from the state because its retention time after its end has passed.
    JobForgotten {
        /// The job's identity.
        job: u64,
    },

    /// All steps that this step depends on are done, so its tasks may start.
    StepReady {
        /// The step.
        step: StepKey,
    },
    /// All tasks of the step are done.
    StepDone {
        /// The step.
        step: StepKey,
    },
    /// The task is done and will not be started again.
    TaskDone {
        /// The task.
        task: TaskKey,
    },
    /// An attempt of the task failed and counts towards the limit of retries.
    TaskFailed {
        /// The task.
        task: TaskKey,
        /// Number of counted failures so far, of the task or of its gang.
        failures: u32,
    },
    /// The task waits to be started again.
    TaskReady {
        /// The task. For a gang, index 0 stands for all members.
        task: TaskKey,
    },

    /// The intent to start the attempt is durable.
    AttemptStarted {
        /// The attempt.
        key: AttemptKey,
        /// Instance name of the worker's incarnation.
        instance: Arc<str>,
    },
    /// The intent to start the attempt was dropped: the job ended, the task is done, or a newer attempt
    /// exists.
    StartDropped {
        /// The attempt.
        key: AttemptKey,
        /// Instance name of the worker's incarnation.
        instance: Arc<str>,
    },
    /// The attempt no longer occupies its worker.
    AttemptFinished {
        /// The attempt.
        key: AttemptKey,
        /// Instance name of the worker's incarnation.
        instance: Arc<str>,
        /// How the attempt finished.
        outcome: AttemptOutcome,
    },
    /// The attempt may still run but is no longer wanted and is to be stopped.
    StopRequested {
        /// The attempt.
        key: AttemptKey,
        /// Instance name of the worker's incarnation.
        instance: Arc<str>,
    },
    /// Ends that the worker listed are durable.
    EndsAcknowledged {
        /// Instance name of the worker's incarnation.
        instance: Arc<str>,
        /// All ends of the worker up to this sequence number are durable.
        sequence: u64,
    },
}
