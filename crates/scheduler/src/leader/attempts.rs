//! Attempts that occupy a worker: proposed, being sent, running, or ended while the end is not yet committed.

use std::collections::BTreeMap;

use crate::ids::{AttemptKey, StepKey, TaskKey};
use crate::placement::{Resources, WorkerKey};
use crate::time::NANOS_PER_MS;

/// Workers on which attempts of a task failed or stalled, by task.
pub(super) type FailedOn = BTreeMap<TaskKey, Vec<WorkerKey>>;

/// One attempt and what the leader knows about its run. Times are in nanoseconds of the monotonic clock.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Attempt {
    pub(super) worker: WorkerKey,
    /// Index of the attempt's service in `Leader::services`.
    pub(super) service: usize,
    /// Resources that the attempt occupies.
    pub(super) need: Resources,
    /// Plan (priority class) of the job.
    pub(super) plan: usize,
    /// The client's estimate of the run time, in milliseconds.
    pub(super) estimate_ms: u64,
    pub(super) gang: bool,
    /// For gang members: the time at which the gang is stopped unless all members are known to have started.
    /// `None` until the start orders are sent.
    pub(super) gang_deadline: Option<u64>,
    /// Whether the attempt resumes from a checkpoint, so that its progress does not start at zero.
    pub(super) resumes_from_checkpoint: bool,
    pub(super) long_running: bool,
    pub(super) speculative: bool,
    pub(super) checkpoints: bool,
    /// Whether an earlier leader proposed this attempt.
    pub(super) adopted: bool,
    /// Whether the start is committed.
    pub(super) committed: bool,
    /// When the worker was chosen or, for an adopted attempt, when this leader learned of the attempt.
    pub(super) placed_at: u64,
    /// When the attempt was first known to run.
    pub(super) started_at: Option<u64>,
    /// Whether the attempt started in this term and without a checkpoint, so that its whole run is measured.
    pub(super) runs_from_start: bool,
    /// The first progress report.
    pub(super) baseline: Option<Baseline>,
    /// Completed share of the work, in percent.
    pub(super) percent: u32,
    /// Start of the current time without progress: when `percent` last changed, or when the attempt was
    /// created, committed or reported as started, or when its worker became reachable again.
    pub(super) progress_at: u64,
    /// The latest checkpoint, and when this leader received it.
    pub(super) checkpoint: String,
    pub(super) checkpointed_at: Option<u64>,
    /// Whether a stop has been requested.
    pub(super) stopping: bool,
}

/// The first progress report of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Baseline {
    /// Completed share of the work, in percent.
    pub(super) percent: u32,
    /// When the report arrived.
    pub(super) at: u64,
}

impl Attempt {
    /// Returns whether this leader chose the worker and no response has confirmed the start yet.
    pub(super) fn awaits_confirmation(&self) -> bool {
        self.started_at.is_none() && !self.adopted
    }

    /// Returns whether the attempt has progressed since its start. Members of a gang progress only once all
    /// of them run.
    pub(super) fn has_progressed(&self) -> bool {
        let initial_percent = match self.resumes_from_checkpoint {
            true => self.baseline.map_or(u32::MAX, |first| first.percent),
            false => 0,
        };
        self.percent > initial_percent
    }

    /// Returns the core-seconds that a stop at `now` would lose: the work since the last checkpoint plus the
    /// restart.
    pub(super) fn stop_cost_core_s(&self, now: u64) -> f64 {
        let Some(started_at) = self.started_at else { return 0.0 };
        if self.long_running {
            return 0.0;
        }
        if self.checkpoints {
            // Stopping saves a checkpoint, so that only the cost of the restart is lost.
            return self.need.cpu as f64 / 1_000.0 * RESTART_COST_S;
        }
        let since = self.checkpointed_at.unwrap_or(started_at);
        let seconds = now.saturating_sub(since) as f64 / 1e9;
        self.need.cpu as f64 / 1_000.0 * (seconds + RESTART_COST_S)
    }

    /// Returns the remaining run time in milliseconds, extrapolated from the progress or, without enough
    /// progress, taken from the client's estimate.
    pub(super) fn remaining_ms(&self, now: u64) -> u64 {
        let Some(started_at) = self.started_at else { return self.estimate_ms };
        let elapsed_ms = now.saturating_sub(started_at) / NANOS_PER_MS;
        if let Some(first) =
            self.baseline.filter(|first| self.percent >= first.percent + MIN_MEASURED_PERCENT)
        {
            let measured_ms = self.progress_at.saturating_sub(first.at) / NANOS_PER_MS;
            let remaining_percent = u64::from(100u32.saturating_sub(self.percent));
            let since_progress_ms = now.saturating_sub(self.progress_at) / NANOS_PER_MS;
            let remaining_at_progress_ms =
                measured_ms * remaining_percent / u64::from(self.percent - first.percent);
            return remaining_at_progress_ms.saturating_sub(since_progress_ms);
        }
        self.estimate_ms.saturating_sub(elapsed_ms)
    }
}

/// Minimum cost of a stop and a restart elsewhere, in seconds of the task's resources.
const RESTART_COST_S: f64 = 0.3;
/// Minimum measured progress, in percent, from which the remaining run time can be extrapolated.
const MIN_MEASURED_PERCENT: u32 = 5;

/// All attempts that occupy a worker, ordered by task.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    by_key: BTreeMap<AttemptKey, Attempt>,
    /// Number of attempts of this leader whose start no worker has confirmed yet.
    unconfirmed: usize,
}

impl Attempts {
    pub(super) fn insert(&mut self, key: AttemptKey, attempt: Attempt) {
        self.unconfirmed += usize::from(attempt.awaits_confirmation());
        if let Some(former) = self.by_key.insert(key, attempt) {
            self.unconfirmed -= usize::from(former.awaits_confirmation());
        }
    }

    pub(super) fn remove(&mut self, key: &AttemptKey) -> Option<Attempt> {
        let attempt = self.by_key.remove(key)?;
        self.unconfirmed -= usize::from(attempt.awaits_confirmation());
        Some(attempt)
    }

    /// Records that the worker reports the attempt as running. Returns the time since its placement if this
    /// is the first confirmation of a start of this leader.
    pub(super) fn confirm_start(&mut self, key: &AttemptKey, now: u64) -> Option<u64> {
        let attempt = self.by_key.get_mut(key)?;
        let is_first = attempt.awaits_confirmation();
        attempt.started_at.get_or_insert(now);
        self.unconfirmed -= usize::from(is_first);
        is_first.then(|| now.saturating_sub(attempt.placed_at))
    }

    /// Returns the number of attempts of this leader whose start no worker has confirmed yet.
    pub(super) fn unconfirmed(&self) -> usize {
        self.unconfirmed
    }

    pub(super) fn get(&self, key: &AttemptKey) -> Option<&Attempt> {
        self.by_key.get(key)
    }

    pub(super) fn get_mut(&mut self, key: &AttemptKey) -> Option<&mut Attempt> {
        self.by_key.get_mut(key)
    }

    pub(super) fn len(&self) -> usize {
        self.by_key.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&AttemptKey, &Attempt)> {
        self.by_key.iter()
    }

    /// Iterates over the attempts from `first` on, in key order.
    pub(super) fn starting_at(&self, first: AttemptKey) -> impl Iterator<Item = (&AttemptKey, &Attempt)> {
        self.by_key.range(first..)
    }

    /// Iterates over the attempts of one task.
    pub(super) fn of_task(&self, task: TaskKey) -> impl Iterator<Item = (&AttemptKey, &Attempt)> {
        self.by_key.range(AttemptKey { task, attempt: 0 }..=AttemptKey { task, attempt: u32::MAX })
    }

    /// Returns whether no attempt of the job occupies a worker.
    pub(super) fn is_job_idle(&self, job: u64) -> bool {
        let task = TaskKey { job, time: 0, step: 0, index: 0 };
        let next = self.starting_at(AttemptKey { task, attempt: 0 }).next();
        next.is_none_or(|(key, _)| key.task.job != job)
    }

    /// Iterates over the attempts of one step.
    pub(super) fn of_step(&self, step: StepKey) -> impl Iterator<Item = (&AttemptKey, &Attempt)> {
        let first = AttemptKey { task: step.task(0), attempt: 0 };
        let last = AttemptKey { task: step.task(u32::MAX), attempt: u32::MAX };
        self.by_key.range(first..=last)
    }

    /// Iterates over the members of one gang run: the attempts of the step that have the same attempt number.
    pub(super) fn of_gang_run(&self, key: AttemptKey) -> impl Iterator<Item = (&AttemptKey, &Attempt)> {
        self.of_step(key.task.step_key()).filter(move |(member, _)| member.attempt == key.attempt)
    }

    /// Returns whether no attempt of the task occupies a worker.
    pub(super) fn is_task_idle(&self, task: TaskKey) -> bool {
        self.of_task(task).next().is_none()
    }
}
