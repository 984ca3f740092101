//! The report on a job: where its attempts run, how past attempts ended, and what its steps wait for.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The phase of an attempt that occupies a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptPhase {
    /// The intent to start is not yet durable.
    Proposed,
    /// The start order was sent or is being sent; the worker has not listed the attempt yet.
    Ordered,
    /// The worker lists the attempt as running.
    Running,
    /// A stop was requested.
    Stopping,
}

/// An attempt that occupies a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct AttemptReport {
    /// The task, `ID.K.STEP.INDEX`.
    pub task: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// The worker's incarnation.
    pub instance: String,
    /// Address of the worker.
    pub address: String,
    /// Phase of the attempt.
    pub phase: AttemptPhase,
    /// For how long the attempt has been known to run, in milliseconds.
    pub running_for_ms: Option<u64>,
    /// Completed share of the work, in percent.
    pub percent: u32,
    /// Time since the last progress, in milliseconds.
    pub quiet_for_ms: u64,
    /// Whether a checkpoint of the attempt is known.
    pub saved: bool,
    /// Workers that are avoided because the task failed or stalled there.
    pub avoided: Vec<String>,
}

/// An attempt that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct PastAttempt {
    /// The task, `ID.K.STEP.INDEX`.
    pub task: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// The worker's incarnation.
    pub instance: String,
    /// How the attempt ended, as reported by the worker, or why it is certain that it no longer runs.
    pub how: String,
    /// Time since its end, in milliseconds.
    pub ended_ago_ms: u64,
    /// For how long the attempt was known to run, in milliseconds.
    pub ran_for_ms: Option<u64>,
    /// Completed share of the work, in percent.
    pub percent: u32,
}

/// Why a task cannot start on a worker.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all_fields = "PascalCase")]
pub enum Obstacle {
    /// The worker currently accepts no starts.
    NotUsable,
    /// The worker lacks the required label.
    LacksLabel {
        /// The required label.
        label: String,
    },
    /// The total capacity of the worker is too small for the task.
    TooSmall,
    /// The free capacity of the worker is currently too small.
    #[serde(rename = "NoRoom")]
    NoCapacity,
    /// The worker already runs the maximum number of tasks of the step.
    AntiAffinity,
    /// No obstacle: the task can start there when its turn comes.
    None,
}

impl fmt::Display for Obstacle {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Obstacle::NotUsable => write!(formatter, "take no starts now"),
            Obstacle::LacksLabel { label } => write!(formatter, "lack the label {label}"),
            Obstacle::TooSmall => write!(formatter, "are too small even when empty"),
            Obstacle::NoCapacity => write!(formatter, "have too little free"),
            Obstacle::AntiAffinity => write!(formatter, "hold as many tasks of the step as may be"),
            Obstacle::None => write!(formatter, "would do"),
        }
    }
}

/// The number of workers with the same obstacle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ObstacleCount {
    /// The first obstacle that applies to each of these workers.
    pub obstacle: Obstacle,
    /// Number of workers.
    pub workers: u32,
    /// One of these workers.
    pub example: String,
}

/// What a step waits for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all_fields = "PascalCase")]
pub enum Waiting {
    /// Nothing: all its tasks are done.
    Done,
    /// The end of its attempts: no task waits for a start.
    Attempts,
    /// Its due time.
    DueTime {
        /// The due time, in milliseconds since 1970.
        at_ms: u64,
    },
    /// The completion of earlier occurrences of the job, or of occurrences of other jobs: a limited number is open
    /// at a time.
    Occurrences,
    /// The completion of other steps.
    Steps {
        /// Numbers of these steps.
        steps: Vec<u32>,
    },
    /// A worker on which its tasks can start.
    Worker {
        /// Number of tasks that wait.
        tasks: u32,
        /// Obstacles on the workers of the service.
        obstacles: Vec<ObstacleCount>,
    },
}

/// A step in one occurrence of a repeated job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct StepReport {
    /// Number of the occurrence, counted from 0.
    pub time: u32,
    /// Number of the step.
    pub step: u32,
    /// Number of its tasks.
    pub count: u32,
    /// Number of its tasks that are done.
    pub done: u32,
    /// Number of its attempts that may be running.
    pub active: u32,
    /// Maximum number of failed runs of any of its tasks, or of its gang.
    pub failures: u32,
    /// What the step waits for.
    pub waiting: Waiting,
}

/// The report on a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct JobReport {
    /// Job ID, 16 hex digits.
    pub id: String,
    /// `pending`, `running`, `completed`, `failed` or `cancelled`.
    pub state: String,
    /// Host and path prefix of the queue to which the job was submitted.
    pub queue: String,
    /// The service whose workers run the job; empty once it has ended.
    pub service: String,
    /// Priority of the job.
    pub priority: u32,
    /// Number of failed runs of a single task with which the job fails.
    pub max_retries: u32,
    /// Time of acceptance, in milliseconds since 1970; 0 once the job has ended.
    pub accepted_at_ms: u64,
    /// Time of the end, in milliseconds since 1970; 0 while the job is open.
    pub ended_at_ms: u64,
    /// Steps of the open occurrences, the earliest first; limited in number.
    pub steps: Vec<StepReport>,
    /// Attempts that occupy workers.
    pub attempts: Vec<AttemptReport>,
    /// The most recent attempts that have ended, as far as this leader knows them.
    pub past_attempts: Vec<PastAttempt>,
}
