//! Which open jobs have begun, that is, of which a worker is known to have begun a task.
//!
//! The replicated state knows only that the start of a task was committed. The order may still wait to be sent, and
//! the worker may refuse it, so that nothing has begun. The leader learns more: it sees workers confirm starts and list
//! ends. No command records this. A new leader takes a job of which it has no evidence as not begun until a worker
//! lists an attempt.

use std::collections::HashMap;
use std::sync::Arc;

/// What is known of an open job with a committed start.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Progress {
    /// No worker is known to have begun a task. Holds the job's host and path prefix.
    Unconfirmed(Arc<str>),
    /// A worker has begun a task.
    Begun,
}

/// The open jobs with a committed start.
#[derive(Debug, Default)]
pub(super) struct BegunJobs {
    jobs: HashMap<u64, Progress>,
    /// Number of unconfirmed jobs by host and path prefix.
    unconfirmed: HashMap<Arc<str>, u64>,
}

impl BegunJobs {
    /// Records that the start of a task is committed.
    pub(super) fn start_committed(&mut self, id: u64, prefix_key: &Arc<str>) {
        if self.jobs.contains_key(&id) {
            return;
        }
        self.jobs.insert(id, Progress::Unconfirmed(prefix_key.clone()));
        *self.unconfirmed.entry(prefix_key.clone()).or_default() += 1;
    }

    /// Records that a worker has begun a task of a job with a committed start.
    pub(super) fn task_begun(&mut self, id: u64) {
        if let Some(progress) = self.jobs.get_mut(&id) {
            let former = std::mem::replace(progress, Progress::Begun);
            self.uncount(former);
        }
    }

    /// Removes a job that has ended.
    pub(super) fn remove(&mut self, id: u64) {
        if let Some(former) = self.jobs.remove(&id) {
            self.uncount(former);
        }
    }

    fn uncount(&mut self, former: Progress) {
        let Progress::Unconfirmed(prefix_key) = former else { return };
        let Some(count) = self.unconfirmed.get_mut(&prefix_key) else { return };
        *count -= 1;
        if *count == 0 {
            self.unconfirmed.remove(&prefix_key);
        }
    }

    /// Number of jobs of a prefix with a committed start of which no worker is known to have begun a task.
    pub(super) fn unconfirmed(&self, prefix_key: &str) -> u64 {
        self.unconfirmed.get(prefix_key).copied().unwrap_or(0)
    }

    /// Whether a job has a committed start and no worker is known to have begun a task of it.
    pub(super) fn is_unconfirmed(&self, id: u64) -> bool {
        matches!(self.jobs.get(&id), Some(Progress::Unconfirmed(_)))
    }
}
