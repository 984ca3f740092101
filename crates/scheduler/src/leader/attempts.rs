//! Attempts that occupy a worker: proposed, being sent, running, or with an end that is not yet durable.

use std::collections::BTreeMap;

use crate::ids::{AttemptKey, StepKey, TaskKey};
use crate::placement::{Resources, WorkerKey};
use crate::time::NANOS_PER_MS;

/// Workers on which tasks failed or stalled.
pub(super) type FailedOn = BTreeMap<TaskKey, Vec<WorkerKey>>;

/// One attempt and what is known of its run. Times are nanoseconds of the steady clock.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Attempt {
    pub(super) worker: WorkerKey,
    /// Position of its service.
    pub(super) service: usize,
    pub(super) need: Resources,
    pub(super) plan: usize,
    /// The client's estimate of its run, in milliseconds.
    pub(super) estimate_ms: u64,
    pub(super) gang: bool,
    /// Of a gang's member: when its gang is given up unless all members are known to have started by then. Unset
    /// until the orders leave.
    pub(super) gang_deadline: Option<u64>,
    /// Whether it goes on from a checkpoint, so that its progress does not start at zero.
    pub(super) resumes_from_checkpoint: bool,
    pub(super) long_running: bool,
    pub(super) speculative: bool,
    pub(super) checkpoints: bool,
    /// Whether an earlier leader proposed it.
    pub(super) adopted: bool,
    /// Whether the intent is durable.
    pub(super) committed: bool,
    /// When its worker was chosen, or this leader first knew of it.
    pub(super) placed_at: u64,
    /// When it was first known to run.
    pub(super) started_at: Option<u64>,
    /// Whether it was started in this term and from the beginning, so that its whole run is measured.
    pub(super) runs_from_start: bool,
    /// The progress that was reported first.
    pub(super) baseline: Option<Baseline>,
    /// Share of its work that is done, in percent.
    pub(super) percent: u32,
    /// When `percent` last rose, or the attempt was made.
    pub(super) progress_at: u64,
    /// The last checkpoint, and when it was seen.
    pub(super) checkpoint: String,
    pub(super) checkpointed_at: Option<u64>,
    /// Whether a stop was asked for.
    pub(super) stopping: bool,
}

/// The progress that was reported first for an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Baseline {
    /// Share of the work that was done, in percent.
    pub(super) percent: u32,
    /// When it was reported.
    pub(super) at: u64,
}

impl Attempt {
    /// Whether this leader has chosen its worker and no answer says that it runs.
    fn awaits_confirmation(&self) -> bool {
        self.started_at.is_none() && !self.adopted
    }

    /// Whether it has got further since it started, which members of a gang do only together.
    pub(super) fn has_progressed(&self) -> bool {
        let initial_percent = match self.resumes_from_checkpoint {
            true => self.baseline.map_or(u32::MAX, |first| first.percent),
            false => 0,
        };
        self.percent > initial_percent
    }

    /// Core-seconds that a stop now would lose: work since the last checkpoint, and the restart.
    pub(super) fn stop_cost_core_s(&self, now: u64) -> f64 {
        let Some(started_at) = self.started_at else { return 0.0 };
        if self.long_running {
            return 0.0;
        }
        if self.checkpoints {
            // A stop saves; what is lost is the restart.
            return self.need.cpu as f64 / 1_000.0 * RESTART_COST_S;
        }
        let since = self.checkpointed_at.unwrap_or(started_at);
        let seconds = now.saturating_sub(since) as f64 / 1e9;
        self.need.cpu as f64 / 1_000.0 * (seconds + RESTART_COST_S)
    }

    /// How long the run will still take, in milliseconds, by its progress or else by the client's estimate.
    pub(super) fn remaining_ms(&self, now: u64) -> u64 {
        let Some(started_at) = self.started_at else { return self.estimate_ms };
        let elapsed_ms = now.saturating_sub(started_at) / NANOS_PER_MS;
        if let Some(first) =
            self.baseline.filter(|first| self.percent >= first.percent + MIN_MEASURED_PERCENT)
        {
            let measured_ms = self.progress_at.saturating_sub(first.at) / NANOS_PER_MS;
            let left = u64::from(100u32.saturating_sub(self.percent));
            let since_ms = now.saturating_sub(self.progress_at) / NANOS_PER_MS;
            let remaining_at_progress_ms = measured_ms * left / u64::from(self.percent - first.percent);
            return remaining_at_progress_ms.saturating_sub(since_ms);
        }
        self.estimate_ms.saturating_sub(elapsed_ms)
    }
}

/// What a stop and a start elsewhere cost at least, in seconds of the task's resources.
const RESTART_COST_S: f64 = 0.3;
/// Progress, in percent, from which on its pace is an estimate of the rest.
const MIN_MEASURED_PERCENT: u32 = 5;

/// All attempts that occupy a worker, in order of their tasks.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    by_key: BTreeMap<AttemptKey, Attempt>,
    /// Attempts of this leader whose start no worker has confirmed yet.
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

    /// The attempt's worker says that it runs. Gives how long that took, the first time for a start of this leader.
    pub(super) fn confirm_start(&mut self, key: &AttemptKey, now: u64) -> Option<u64> {
        let attempt = self.by_key.get_mut(key)?;
        let is_first = attempt.awaits_confirmation();
        attempt.started_at.get_or_insert(now);
        self.unconfirmed -= usize::from(is_first);
        is_first.then(|| now.saturating_sub(attempt.placed_at))
    }

    /// Attempts of this leader whose start no worker has confirmed yet.
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

    /// The attempts from one key on.
    pub(super) fn starting_at(&self, first: AttemptKey) -> impl Iterator<Item = (&AttemptKey, &Attempt)> {
        self.by_key.range(first..)
    }

    /// The attempts of one task.
    pub(super) fn of_task(&self, task: TaskKey) -> impl Iterator<Item = (&AttemptKey, &Attempt)> {
        self.by_key.range(AttemptKey { task, attempt: 0 }..=AttemptKey { task, attempt: u32::MAX })
    }

    /// Whether no attempt of the job's tasks occupies a worker.
    pub(super) fn is_job_idle(&self, job: u64) -> bool {
        let task = TaskKey { job, time: 0, step: 0, index: 0 };
        let next = self.starting_at(AttemptKey { task, attempt: 0 }).next();
        next.is_none_or(|(key, _)| key.task.job != job)
    }

    /// The attempts of one step's tasks.
    pub(super) fn of_step(&self, step: StepKey) -> impl Iterator<Item = (&AttemptKey, &Attempt)> {
        let first = AttemptKey { task: step.task(0), attempt: 0 };
        let last = AttemptKey { task: step.task(u32::MAX), attempt: u32::MAX };
        self.by_key.range(first..=last)
    }

    /// The attempts of one run of a gang: those of its step with the same number.
    pub(super) fn of_gang_run(&self, key: AttemptKey) -> impl Iterator<Item = (&AttemptKey, &Attempt)> {
        self.of_step(key.task.step_key()).filter(move |(member, _)| member.attempt == key.attempt)
    }

    /// Whether no attempt of the task occupies a worker.
    pub(super) fn is_task_idle(&self, task: TaskKey) -> bool {
        self.of_task(task).next().is_none()
    }
}
