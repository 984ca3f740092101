//! State of one task and of one step: what is done, what failed and what may be running.

use std::sync::Arc;

/// An attempt that runs on a worker, is being started there, or whose end is not known yet.
#[derive(Debug, Clone, PartialEq)]
pub struct ActiveAttempt {
    /// Attempt number.
    pub attempt: u32,
    /// Instance name of the worker's incarnation.
    pub instance: Arc<str>,
}

/// State of a task that was started at least once, or is done.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Task {
    /// Whether the task is done and will not be started again.
    pub done: bool,
    /// Highest attempt number so far, 0 before the first attempt.
    pub last_attempt: u32,
    /// Number of counted failed attempts. The failures of a gang are kept in its step.
    pub failures: u32,
    /// The newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Attempts that may be running. There is more than one only with speculative copies.
    pub active: Vec<ActiveAttempt>,
}

impl Task {
    /// Whether the task is in the same state as one that was never started.
    pub(super) fn is_untouched(&self) -> bool {
        !self.done && self.last_attempt == 0 && self.failures == 0 && self.checkpoint.is_empty()
    }

    /// Removes and returns an active attempt.
    pub(super) fn remove_active(&mut self, attempt: u32) -> Option<ActiveAttempt> {
        let position = self.active.iter().position(|active| active.attempt == attempt)?;
        Some(self.active.swap_remove(position))
    }

    /// Stores a checkpoint of `attempt` if `attempt` is the latest one or no checkpoint is stored yet.
    pub(super) fn update_checkpoint(&mut self, attempt: u32, checkpoint: &str) {
        let newest = attempt == self.last_attempt || self.checkpoint.is_empty();
        if newest && !checkpoint.is_empty() {
            checkpoint.clone_into(&mut self.checkpoint);
        }
    }
}

/// Progress of one step in one repeat.
#[derive(Debug, Default, Clone, PartialEq)]
pub(super) struct Step {
    /// All tasks; empty as long as no task of the step was started.
    pub(super) tasks: Vec<Task>,
    /// Number of tasks that are done.
    pub(super) done: u32,
    /// Number of counted failed attempts of the gang.
    pub(super) gang_failures: u32,
    /// Highest attempt number of the gang that was counted as failed.
    pub(super) gang_failed_attempt: u32,
}

impl Step {
    /// The tasks, created on first use.
    pub(super) fn tasks_mut(&mut self, count: u32) -> &mut [Task] {
        if self.tasks.is_empty() {
            self.tasks.resize(count as usize, Task::default());
        }
        &mut self.tasks
    }

    /// Number of attempts of the step's tasks that may be running.
    pub(super) fn active(&self) -> usize {
        self.tasks.iter().map(|task| task.active.len()).sum()
    }

    /// Highest attempt number of any task.
    pub(super) fn last_attempt(&self) -> u32 {
        self.tasks.iter().map(|task| task.last_attempt).max().unwrap_or(0)
    }
}
