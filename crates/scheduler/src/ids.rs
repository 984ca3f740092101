//! Identities of tasks, attempts and steps.

use std::fmt;
use std::str::FromStr;

use messages::job;
use quick_error::quick_error;

/// Number of hex digits of the job's identity in a task's name.
const JOB_HEX_DIGITS: usize = 16;

/// Identity of a task: job, repeat, step and index. Its text form is `ID.K.STEP.INDEX`, where `ID` has 16
/// hex digits and `K` is the repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// Identity of the job.
    pub job: u64,
    /// The repeat of the job's steps, counted from 0. Jobs that are not scheduled have only repeat 0.
    pub time: u32,
    /// Number of the step within the job, counted from 0.
    pub step: u32,
    /// Number of the task within the step, counted from 0.
    pub index: u32,
}

/// Identity of one attempt to run a task. Attempts of a task are numbered from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// The task.
    pub task: TaskKey,
    /// Attempt number.
    pub attempt: u32,
}

/// Identity of a step in one repeat of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepKey {
    /// Identity of the job.
    pub job: u64,
    /// The repeat of the job's steps, counted from 0. Jobs that are not scheduled have only repeat 0.
    pub time: u32,
    /// Number of the step within the job, counted from 0.
    pub step: u32,
}

quick_error! {
    /// Reason why a text is not a task's name.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum TaskKeyError {
        /// The text doesn't have four parts.
        Parts {
            display("a task's name needs four parts; write it as ID.K.STEP.INDEX")
        }
        /// The job's identity is not a number of 16 hex digits.
        Job {
            display("the job in a task's name can't be read; write it with 16 hex digits")
        }
        /// The repeat, step or index is not a decimal number below 2^32.
        Number {
            display("a number in a task's name can't be read; write K, STEP and INDEX as decimals below 2^32")
        }
    }
}

impl TaskKey {
    /// The step this task belongs to.
    pub fn step_key(&self) -> StepKey {
        StepKey { job: self.job, time: self.time, step: self.step }
    }
}

impl StepKey {
    /// The task of this step with the given index.
    pub fn task(&self, index: u32) -> TaskKey {
        TaskKey { job: self.job, time: self.time, step: self.step, index }
    }
}

impl fmt::Display for TaskKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}.{}.{}.{}", self.job, self.time, self.step, self.index)
    }
}

impl fmt::Display for AttemptKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{}", self.task, self.attempt)
    }
}

impl FromStr for TaskKey {
    type Err = TaskKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('.');
        let job = parse_job(parts.next().ok_or(TaskKeyError::Parts)?)?;
        let time = parse_number(parts.next())?;
        let step = parse_number(parts.next())?;
        let index = parse_number(parts.next())?;
        if parts.next().is_some() {
            return Err(TaskKeyError::Parts);
        }
        Ok(TaskKey { job, time, step, index })
    }
}

fn parse_job(text: &str) -> Result<u64, TaskKeyError> {
    let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if text.len() != JOB_HEX_DIGITS || !is_hex {
        return Err(TaskKeyError::Job);
    }
    u64::from_str_radix(text, 16).map_err(|_| TaskKeyError::Job)
}

fn parse_number(part: Option<&str>) -> Result<u32, TaskKeyError> {
    let text = part.ok_or(TaskKeyError::Parts)?;
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(TaskKeyError::Number);
    }
    text.parse().map_err(|_| TaskKeyError::Number)
}

impl From<&job::TaskId> for TaskKey {
    fn from(id: &job::TaskId) -> Self {
        TaskKey { job: id.job, time: id.time, step: id.step, index: id.index }
    }
}

impl From<job::TaskId> for TaskKey {
    fn from(id: job::TaskId) -> Self {
        TaskKey::from(&id)
    }
}

impl From<TaskKey> for job::TaskId {
    fn from(key: TaskKey) -> Self {
        job::TaskId { job: key.job, time: key.time, step: key.step, index: key.index }
    }
}
