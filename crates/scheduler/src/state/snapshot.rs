//! Conversion of the state to a snapshot message and back.
//!
//! Two kinds of entries among a job's tasks do not stand for a task. An entry with the step
//! `DONE_REPEATS_STEP` is a range of repeats that are done: `time` is the first repeat and `index` the
//! length. An entry with the index `GANG_INDEX` holds the failures of a gang: `failures` is their number,
//! and `last_attempt` the highest attempt that was counted.

use std::sync::Arc;

use messages::job::{
    ActiveAttempt as ActiveAttemptMessage, JobPhase, JobState, QueueTombstones, SchedulerSnapshot, SubmitJob,
    TaskState,
};

use super::configuration::ConfigurationHistory;
use super::error::SnapshotError;
use super::job::{Job, Work};
use super::task::{ActiveAttempt, Step, Task};
use super::workers::Workers;
use super::State;

/// Format of the snapshots that this program writes. Format 1 identifies configurations by SHA-256; format
/// 0 used FNV-1a.
const SNAPSHOT_FORMAT: u32 = 1;
/// Step number of an entry that stands for a range of done repeats.
const DONE_REPEATS_STEP: u32 = u32::MAX;
/// Task index of an entry that stands for a gang.
const GANG_INDEX: u32 = u32::MAX;

impl State {
    /// The complete state as a snapshot.
    pub fn snapshot(&self) -> SchedulerSnapshot {
        SchedulerSnapshot {
            configurations: self.configuration.snapshot(),
            jobs: self.jobs.iter().map(|(id, job)| job_state(*id, job)).collect(),
            workers: self.workers.snapshot(),
            clock_ms: self.clock_ms,
            format: SNAPSHOT_FORMAT,
            cancel_tombstones: self.cancel_tombstones.snapshot(),
        }
    }

    /// Restores the state from a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if any part of the snapshot is invalid or its format is unknown.
    pub fn restore(snapshot: &SchedulerSnapshot) -> Result<Self, SnapshotError> {
        if snapshot.format > SNAPSHOT_FORMAT {
            return Err(SnapshotError::UnsupportedFormat(snapshot.format, SNAPSHOT_FORMAT));
        }
        let mut state = Self {
            configuration: ConfigurationHistory::restore(&snapshot.configurations)?,
            workers: Workers::restore(&snapshot.workers)?,
            clock_ms: snapshot.clock_ms,
            ..Self::default()
        };
        for job in &snapshot.jobs {
            state.restore_job(job)?;
        }
        for queue in &snapshot.cancel_tombstones {
            state.restore_tombstones(queue);
        }
        Ok(state)
    }

    fn restore_tombstones(&mut self, queue: &QueueTombstones) {
        let prefix_key = self.shared_prefix(&queue.prefix_key);
        for saved in &queue.tombstones {
            self.cancel_tombstones.record(saved.id, prefix_key.clone(), saved.recorded_at_ms);
        }
    }

    fn restore_job(&mut self, saved: &JobState) -> Result<(), SnapshotError> {
        let submit = saved.submit.as_ref().ok_or(SnapshotError::InvalidJob(0))?;
        let id = submit.id;
        let prefix_key = self.add_pending(&submit.prefix_key);
        let work = match submit.job {
            Some(_) => Some(
                restore_work(submit, &saved.tasks, &mut self.workers).ok_or(SnapshotError::InvalidJob(id))?,
            ),
            None => None,
        };
        let job =
            Job { prefix_key, phase: saved.phase, ended_at_ms: saved.ended_at_ms, work: work.map(Box::new) };
        if !job.is_pending() {
            self.subtract_pending(&submit.prefix_key);
        }
        if job.phase != JobPhase::OPEN {
            self.ended_jobs.insert((job.ended_at_ms, id));
        }
        self.jobs.insert(id, job);
        Ok(())
    }
}

fn job_state(id: u64, job: &Job) -> JobState {
    let (submit, tasks) = match job.work() {
        Some(work) => (complete_submit(work), task_states(work)),
        None => {
            (SubmitJob { id, prefix_key: job.prefix_key.to_string(), ..SubmitJob::default() }, Vec::new())
        }
    };
    JobState { submit: Some(submit), phase: job.phase, ended_at_ms: job.ended_at_ms, tasks }
}

/// The job as it was accepted, including the text for workers in its `spec`.
fn complete_submit(work: &Work) -> SubmitJob {
    let mut submit = work.submit.clone();
    if let Some(specification) = submit.job.as_mut() {
        specification.spec = work.spec.to_string();
    }
    submit
}

fn task_states(work: &Work) -> Vec<TaskState> {
    let mut states = Vec::new();
    for (start, length) in work.done_repeats.ranges() {
        let range = TaskState {
            step: DONE_REPEATS_STEP,
            time: start,
            index: length,
            done: true,
            ..TaskState::default()
        };
        states.push(range);
    }
    for (repeat, progress) in &work.repeats {
        for (step, state) in progress.steps.iter().enumerate() {
            step_states(*repeat, step as u32, state, &mut states);
        }
    }
    states
}

fn step_states(time: u32, step: u32, state: &Step, states: &mut Vec<TaskState>) {
    if state.gang_failures > 0 {
        states.push(TaskState {
            step,
            time,
            index: GANG_INDEX,
            failures: state.gang_failures,
            last_attempt: state.gang_failed_attempt,
            ..TaskState::default()
        });
    }
    for (index, task) in state.tasks.iter().enumerate() {
        if task.is_untouched() {
            continue;
        }
        let active = |active: &ActiveAttempt| ActiveAttemptMessage {
            attempt: active.attempt,
            instance: active.instance.to_string(),
        };
        states.push(TaskState {
            step,
            index: index as u32,
            time,
            done: task.done,
            last_attempt: task.last_attempt,
            failures: task.failures,
            checkpoint: task.checkpoint.clone(),
            active: task.active.iter().map(active).collect(),
        });
    }
}

fn restore_work(submit: &SubmitJob, tasks: &[TaskState], workers: &mut Workers) -> Option<Work> {
    let mut work = Work::new(submit.clone())?;
    for saved in tasks {
        work.started = true;
        if saved.step == DONE_REPEATS_STEP {
            work.done_repeats.insert(saved.time, saved.index);
        } else {
            restore_task(&mut work, saved, workers);
        }
    }
    Some(work)
}

fn restore_task(work: &mut Work, saved: &TaskState, workers: &mut Workers) {
    let Some(count) = work.stage(saved.step).map(|stage| stage.count) else { return };
    let active = saved.active.len() as u32;
    work.active += active;
    let repeat = work.repeat_mut(saved.time);
    repeat.active += active;
    let Some(step) = repeat.steps.get_mut(saved.step as usize) else { return };
    if saved.index == GANG_INDEX {
        step.gang_failures = saved.failures;
        step.gang_failed_attempt = saved.last_attempt;
        return;
    }
    let Some(task) = step.tasks_mut(count).get_mut(saved.index as usize) else { return };
    *task = restored_task(saved, workers);
    if saved.done {
        step.done += 1;
        if step.done == count {
            repeat.steps_done += 1;
        }
    }
}

fn restored_task(saved: &TaskState, workers: &mut Workers) -> Task {
    let mut active = Vec::with_capacity(saved.active.len());
    for attempt in &saved.active {
        let instance: Arc<str> = workers.shared_name_or_insert(&attempt.instance);
        workers.add_active(&instance);
        active.push(ActiveAttempt { attempt: attempt.attempt, instance });
    }
    Task {
        done: saved.done,
        last_attempt: saved.last_attempt,
        failures: saved.failures,
        checkpoint: saved.checkpoint.clone(),
        active,
    }
}
