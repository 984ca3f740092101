//! Application of the ends of attempts, which workers list or the leader resolves.

use std::sync::Arc;

use messages::job::{AttemptResolved, EndKind, RecordEnds, ResolveAttempts, WorkerEnd};

use crate::ids::{AttemptKey, StepKey, TaskKey};

use super::change::{AttemptOutcome, StateChange};
use super::job::Work;
use super::State;

/// State of a job after the end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JobProgress {
    /// The job remains open.
    Open,
    /// All tasks of the job are done.
    Completed,
    /// A task or gang has reached its limit of failures.
    Failed,
}

/// Effect of an attempt's end on its task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TaskOutcome {
    Done,
    Failed,
    /// The task is to be started again.
    Retry,
}

/// A finished attempt.
struct FinishedAttempt<'a> {
    key: AttemptKey,
    outcome: AttemptOutcome,
    task_outcome: TaskOutcome,
    checkpoint: &'a str,
}

impl State {
    /// Records ends that a worker listed. Each end counts once: ends up to the acknowledged sequence number
    /// are repeats and are skipped.
    pub(super) fn record_ends(&mut self, command: &RecordEnds, changes: &mut Vec<StateChange>) {
        let instance = self.workers.shared_name_or_insert(&command.instance);
        for end in &command.ends {
            if end.sequence <= self.workers.acknowledged(&instance) {
                continue;
            }
            self.workers.acknowledge(&instance, end.sequence);
            self.record_end(end, changes);
        }
        let sequence = self.workers.acknowledged(&instance);
        changes.push(StateChange::EndsAcknowledged { instance, sequence });
    }

    fn record_end(&mut self, end: &WorkerEnd, changes: &mut Vec<StateChange>) {
        let Some(task) = end.task.as_ref() else { return };
        let task_outcome = match end.kind {
            EndKind::DONE if end.counted => TaskOutcome::Done,
            EndKind::FAILED if end.counted => TaskOutcome::Failed,
            _ => TaskOutcome::Retry,
        };
        let key = AttemptKey { task: TaskKey::from(task), attempt: end.attempt };
        self.finish_attempt(
            FinishedAttempt {
                key,
                outcome: AttemptOutcome::Ended(end.kind),
                task_outcome,
                checkpoint: &end.checkpoint,
            },
            changes,
        );
    }

    /// Records attempts that certainly do not run.
    pub(super) fn resolve_attempts(&mut self, command: &ResolveAttempts, changes: &mut Vec<StateChange>) {
        for resolved in &command.resolved {
            self.resolve(resolved, changes);
        }
    }

    fn resolve(&mut self, resolved: &AttemptResolved, changes: &mut Vec<StateChange>) {
        let Some(task) = resolved.task.as_ref() else { return };
        let key = AttemptKey { task: TaskKey::from(task), attempt: resolved.attempt };
        let outcome = AttemptOutcome::Resolved(resolved.resolution);
        self.finish_attempt(
            FinishedAttempt {
                key,
                outcome,
                task_outcome: TaskOutcome::Retry,
                checkpoint: &resolved.checkpoint,
            },
            changes,
        );
    }

    fn finish_attempt(&mut self, finished: FinishedAttempt<'_>, changes: &mut Vec<StateChange>) {
        let id = finished.key.task.job;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let is_open = job.open_work().is_some();
        let Some(work) = job.work.as_mut() else { return };
        let (progress, freed) = work.finish_attempt(&finished, is_open, changes);
        if let Some(instance) = freed {
            self.workers.subtract_active(&instance);
        }
        match progress {
            JobProgress::Completed => self.end_job(id, messages::job::JobPhase::COMPLETED, changes),
            JobProgress::Failed => self.end_job(id, messages::job::JobPhase::JOB_FAILED, changes),
            JobProgress::Open => self.drop_idle_work(id),
        }
    }
}

impl Work {
    /// Applies the end of an attempt. Also returns the worker's incarnation if the attempt occupied
    /// resources there that are now free.
    fn finish_attempt(
        &mut self,
        finished: &FinishedAttempt<'_>,
        is_open: bool,
        changes: &mut Vec<StateChange>,
    ) -> (JobProgress, Option<Arc<str>>) {
        let key = finished.key.task;
        let Some(stage) = self.stage(key.step) else { return (JobProgress::Open, None) };
        let (count, is_gang) = (stage.count, stage.gang);
        let Some(repeat) = self.repeats.get_mut(&key.time) else { return (JobProgress::Open, None) };
        let Some(step) = repeat.steps.get_mut(key.step as usize) else { return (JobProgress::Open, None) };
        let gang_was_complete = is_gang && step.active() == count as usize;
        let Some(task) = step.tasks.get_mut(key.index as usize) else { return (JobProgress::Open, None) };
        if finished.key.attempt > task.last_attempt {
            return (JobProgress::Open, None);
        }
        let freed = task.remove_active(finished.key.attempt).map(|active| active.instance);
        if !is_gang {
            task.update_checkpoint(finished.key.attempt, finished.checkpoint);
        } else if let Some(first) = step.tasks.first_mut() {
            first.update_checkpoint(finished.key.attempt, finished.checkpoint);
        }
        if let Some(instance) = freed.clone() {
            repeat.active -= 1;
            self.active -= 1;
            changes.push(StateChange::AttemptFinished {
                key: finished.key,
                instance,
                outcome: finished.outcome,
            });
        }
        let progress = if is_open {
            self.progress_after(finished, freed.is_some(), gang_was_complete, changes)
        } else {
            JobProgress::Open
        };
        self.drop_idle_repeat(key.time);
        (progress, freed)
    }

    /// Applies the end of an attempt to an open job.
    fn progress_after(
        &mut self,
        finished: &FinishedAttempt<'_>,
        was_active: bool,
        gang_was_complete: bool,
        changes: &mut Vec<StateChange>,
    ) -> JobProgress {
        let key = finished.key.task;
        let is_long_running = self.stage(key.step).is_some_and(|stage| stage.long_running);
        if self.is_task_done(key) {
            return JobProgress::Open;
        }
        if finished.task_outcome == TaskOutcome::Done && !is_long_running {
            return self.complete_task(finished.key, changes);
        }
        if finished.task_outcome == TaskOutcome::Failed {
            let failures = self.count_failure(finished.key);
            changes.push(StateChange::TaskFailed { task: key, failures });
            if !is_long_running && failures >= self.submit.max_retries.max(1) {
                return JobProgress::Failed;
            }
        }
        if was_active {
            self.requeue(key, gang_was_complete, changes);
        }
        JobProgress::Open
    }

    /// Counts a failed attempt and returns the failures of the task or gang so far. A failed attempt of a
    /// gang counts once, however many members report it.
    fn count_failure(&mut self, key: AttemptKey) -> u32 {
        let is_gang = self.stage(key.task.step).is_some_and(|stage| stage.gang);
        let Some(repeat) = self.repeats.get_mut(&key.task.time) else { return 0 };
        let Some(step) = repeat.steps.get_mut(key.task.step as usize) else { return 0 };
        if !is_gang {
            let Some(task) = step.tasks.get_mut(key.task.index as usize) else { return 0 };
            task.failures += 1;
            return task.failures;
        }
        if key.attempt > step.gang_failed_attempt {
            step.gang_failed_attempt = key.attempt;
            step.gang_failures += 1;
        }
        step.gang_failures
    }

    /// Makes the task wait to be started again. If a gang has lost a member, the other members are stopped
    /// first.
    fn requeue(&self, key: TaskKey, gang_was_complete: bool, changes: &mut Vec<StateChange>) {
        let is_gang = self.stage(key.step).is_some_and(|stage| stage.gang);
        if !is_gang {
            if self.task(key).is_some_and(|task| task.active.is_empty()) {
                changes.push(StateChange::TaskReady { task: key });
            }
            return;
        }
        if self.active_in_step(key.step_key()) == 0 {
            changes.push(StateChange::TaskReady { task: key.step_key().task(0) });
        } else if gang_was_complete {
            self.stop_step(key.step_key(), changes);
        }
    }

    /// Requests a stop of all active attempts of the step.
    fn stop_step(&self, step: StepKey, changes: &mut Vec<StateChange>) {
        let Some(repeat) = self.repeats.get(&step.time) else { return };
        let Some(state) = repeat.steps.get(step.step as usize) else { return };
        for (index, task) in state.tasks.iter().enumerate() {
            for active in &task.active {
                let key = AttemptKey { task: step.task(index as u32), attempt: active.attempt };
                changes.push(StateChange::StopRequested { key, instance: active.instance.clone() });
            }
        }
    }

    /// Marks the task as done, and with it all members of its gang. Requests a stop of the other attempts
    /// of a single task.
    fn complete_task(&mut self, key: AttemptKey, changes: &mut Vec<StateChange>) -> JobProgress {
        let step_key = key.task.step_key();
        let Some(stage) = self.stage(step_key.step) else { return JobProgress::Open };
        let (count, is_gang) = (stage.count, stage.gang);
        let Some(repeat) = self.repeats.get_mut(&step_key.time) else { return JobProgress::Open };
        let Some(step) = repeat.steps.get_mut(step_key.step as usize) else { return JobProgress::Open };
        let first = if is_gang { 0 } else { key.task.index as usize };
        let members = if is_gang { step.tasks.len() } else { 1 };
        for (index, task) in step.tasks.iter_mut().enumerate().skip(first).take(members) {
            if task.done {
                continue;
            }
            task.done = true;
            step.done += 1;
            changes.push(StateChange::TaskDone { task: step_key.task(index as u32) });
            if is_gang {
                continue;
            }
            for copy in &task.active {
                let key = AttemptKey { task: key.task, attempt: copy.attempt };
                changes.push(StateChange::StopRequested { key, instance: copy.instance.clone() });
            }
        }
        if step.done < count {
            return JobProgress::Open;
        }
        self.finish_step(step_key, changes)
    }

    fn finish_step(&mut self, step: StepKey, changes: &mut Vec<StateChange>) -> JobProgress {
        changes.push(StateChange::StepDone { step });
        let step_count = self.stages().len() as u32;
        let repeat = self.repeat_mut(step.time);
        repeat.steps_done += 1;
        if repeat.steps_done < step_count {
            self.emit_ready_dependents(step, changes);
            return JobProgress::Open;
        }
        self.done_repeats.insert(step.time, 1);
        if self.done_repeats.count() >= self.repeat_count() {
            return JobProgress::Completed;
        }
        JobProgress::Open
    }

    /// Drops the progress of a repeat that is done, once none of its attempts may still run.
    fn drop_idle_repeat(&mut self, repeat: u32) {
        let idle = self.repeats.get(&repeat).is_some_and(|progress| progress.active == 0);
        if idle && self.done_repeats.contains(repeat) {
            self.repeats.remove(&repeat);
        }
    }
}
