//! Ends of attempts: listed by workers, or resolved by the leader.

use std::sync::Arc;

use messages::job::{AttemptResolved, EndKind, RecordEnds, ResolveAttempts, WorkerEnd};

use crate::ids::{AttemptKey, StepKey, TaskKey};

use super::change::{AttemptOutcome, StateChange};
use super::job::Work;
use super::State;

/// The progress of a job after an end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JobProgress {
    /// It remains open.
    Open,
    /// All its tasks are done.
    Completed,
    /// A task or gang has failed too often.
    Failed,
}

/// The effect of an end on its task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TaskOutcome {
    Done,
    Failed,
    /// To be started again.
    Retry,
}

/// An attempt that has finished.
struct FinishedAttempt<'a> {
    key: AttemptKey,
    outcome: AttemptOutcome,
    task_outcome: TaskOutcome,
    checkpoint: &'a str,
}

impl State {
    /// Records ends that a worker listed. Each counts once: those up to the acknowledged sequence are repeats.
    pub(super) fn record_ends(&mut self, command: &RecordEnds, out: &mut Vec<StateChange>) {
        let instance = self.workers.name_or_insert(&command.instance);
        for end in &command.ends {
            if end.sequence <= self.workers.acknowledged(&instance) {
                continue;
            }
            self.workers.acknowledge(&instance, end.sequence);
            self.record_end(end, out);
        }
        let sequence = self.workers.acknowledged(&instance);
        out.push(StateChange::EndsAcknowledged { instance, sequence });
    }

    fn record_end(&mut self, end: &WorkerEnd, out: &mut Vec<StateChange>) {
        let Some(task) = end.task.as_ref() else { return };
        let task_outcome = match end.kind {
            EndKind::DONE if end.counted => TaskOutcome::Done,
            EndKind::FAILED if end.counted => TaskOutcome::Failed,
            _ => TaskOutcome::Retry,
        };
        let key = AttemptKey { task: TaskKey::from(task), attempt: end.attempt };
        self.finish(
            FinishedAttempt {
                key,
                outcome: AttemptOutcome::Ended(end.kind),
                task_outcome,
                checkpoint: &end.checkpoint,
            },
            out,
        );
    }

    /// Records attempts that surely do not run.
    pub(super) fn resolve_attempts(&mut self, command: &ResolveAttempts, out: &mut Vec<StateChange>) {
        for resolved in &command.resolved {
            self.resolve(resolved, out);
        }
    }

    fn resolve(&mut self, resolved: &AttemptResolved, out: &mut Vec<StateChange>) {
        let Some(task) = resolved.task.as_ref() else { return };
        let key = AttemptKey { task: TaskKey::from(task), attempt: resolved.attempt };
        let outcome = AttemptOutcome::Resolved(resolved.resolution);
        self.finish(
            FinishedAttempt {
                key,
                outcome,
                task_outcome: TaskOutcome::Retry,
                checkpoint: &resolved.checkpoint,
            },
            out,
        );
    }

    fn finish(&mut self, finish: FinishedAttempt<'_>, out: &mut Vec<StateChange>) {
        let id = finish.key.task.job;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let is_open = job.open_work().is_some();
        let Some(work) = job.work.as_mut() else { return };
        let (progress, freed) = work.finish(&finish, is_open, out);
        if let Some(instance) = freed {
            self.workers.subtract_active(&instance);
        }
        match progress {
            JobProgress::Completed => self.end_job(id, messages::job::JobPhase::COMPLETED, out),
            JobProgress::Failed => self.end_job(id, messages::job::JobPhase::JOB_FAILED, out),
            JobProgress::Open => self.drop_idle_work(id),
        }
    }
}

impl Work {
    /// Applies an end; gives the incarnation whose resources it frees.
    fn finish(
        &mut self,
        finish: &FinishedAttempt<'_>,
        is_open: bool,
        out: &mut Vec<StateChange>,
    ) -> (JobProgress, Option<Arc<str>>) {
        let key = finish.key.task;
        let Some(stage) = self.stage(key.step) else { return (JobProgress::Open, None) };
        let (count, is_gang) = (stage.count, stage.gang);
        let Some(time) = self.times.get_mut(&key.time) else { return (JobProgress::Open, None) };
        let Some(step) = time.steps.get_mut(key.step as usize) else { return (JobProgress::Open, None) };
        let gang_was_complete = is_gang && step.active() == count as usize;
        let Some(task) = step.tasks.get_mut(key.index as usize) else { return (JobProgress::Open, None) };
        if finish.key.attempt > task.last_attempt {
            return (JobProgress::Open, None);
        }
        let freed = task.remove_active(finish.key.attempt).map(|active| active.instance);
        if !is_gang {
            task.keep_checkpoint(finish.key.attempt, finish.checkpoint);
        } else if let Some(first) = step.tasks.first_mut() {
            first.keep_checkpoint(finish.key.attempt, finish.checkpoint);
        }
        if let Some(instance) = freed.clone() {
            time.active -= 1;
            self.active -= 1;
            out.push(StateChange::AttemptFinished { key: finish.key, instance, outcome: finish.outcome });
        }
        let progress = if is_open {
            self.progress_after(finish, freed.is_some(), gang_was_complete, out)
        } else {
            JobProgress::Open
        };
        self.drop_idle_time(key.time);
        (progress, freed)
    }

    /// Applies the end of an attempt to a job that is open.
    fn progress_after(
        &mut self,
        finish: &FinishedAttempt<'_>,
        was_active: bool,
        gang_was_complete: bool,
        out: &mut Vec<StateChange>,
    ) -> JobProgress {
        let key = finish.key.task;
        let is_long_running = self.stage(key.step).is_some_and(|stage| stage.long_running);
        if self.is_task_done(key) {
            return JobProgress::Open;
        }
        if finish.task_outcome == TaskOutcome::Done && !is_long_running {
            return self.complete_task(finish.key, out);
        }
        if finish.task_outcome == TaskOutcome::Failed {
            let failures = self.count_failure(finish.key);
            out.push(StateChange::TaskFailed { task: key, failures });
            if !is_long_running && failures >= self.submit.max_retries.max(1) {
                return JobProgress::Failed;
            }
        }
        if was_active {
            self.requeue(key, gang_was_complete, out);
        }
        JobProgress::Open
    }

    /// Counts a run that ended `failed`; a gang's run counts once, however many members report it.
    fn count_failure(&mut self, key: AttemptKey) -> u32 {
        let is_gang = self.stage(key.task.step).is_some_and(|stage| stage.gang);
        let Some(time) = self.times.get_mut(&key.task.time) else { return 0 };
        let Some(step) = time.steps.get_mut(key.task.step as usize) else { return 0 };
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

    /// Lets the task wait for a start again; of a gang that lost a member, the other members are to stop first.
    fn requeue(&self, key: TaskKey, gang_was_complete: bool, out: &mut Vec<StateChange>) {
        let is_gang = self.stage(key.step).is_some_and(|stage| stage.gang);
        if !is_gang {
            if self.task(key).is_some_and(|task| task.active.is_empty()) {
                out.push(StateChange::TaskReady { task: key });
            }
            return;
        }
        if self.active_in_step(key.step_key()) == 0 {
            out.push(StateChange::TaskReady { task: key.step_key().task(0) });
        } else if gang_was_complete {
            self.stop_step(key.step_key(), out);
        }
    }

    /// Asks for a stop of all attempts of the step.
    fn stop_step(&self, step: StepKey, out: &mut Vec<StateChange>) {
        let Some(time) = self.times.get(&step.time) else { return };
        let Some(state) = time.steps.get(step.step as usize) else { return };
        for (index, task) in state.tasks.iter().enumerate() {
            for active in &task.active {
                let key = AttemptKey { task: step.task(index as u32), attempt: active.attempt };
                out.push(StateChange::StopRequested { key, instance: active.instance.clone() });
            }
        }
    }

    /// The task is done for good, and with it all members of its gang.
    fn complete_task(&mut self, key: AttemptKey, out: &mut Vec<StateChange>) -> JobProgress {
        let step_key = key.task.step_key();
        let Some(stage) = self.stage(step_key.step) else { return JobProgress::Open };
        let (count, is_gang) = (stage.count, stage.gang);
        let Some(time) = self.times.get_mut(&step_key.time) else { return JobProgress::Open };
        let Some(step) = time.steps.get_mut(step_key.step as usize) else { return JobProgress::Open };
        for (index, task) in step.tasks.iter_mut().enumerate() {
            if task.done || !(is_gang || index == key.task.index as usize) {
                continue;
            }
            task.done = true;
            step.done += 1;
            out.push(StateChange::TaskDone { task: step_key.task(index as u32) });
            if is_gang {
                continue;
            }
            for copy in &task.active {
                let key = AttemptKey { task: key.task, attempt: copy.attempt };
                out.push(StateChange::StopRequested { key, instance: copy.instance.clone() });
            }
        }
        if step.done < count {
            return JobProgress::Open;
        }
        self.finish_step(step_key, out)
    }

    fn finish_step(&mut self, step: StepKey, out: &mut Vec<StateChange>) -> JobProgress {
        out.push(StateChange::StepDone { step });
        let step_count = self.stages().len() as u32;
        let time = self.time_mut(step.time);
        time.steps_done += 1;
        if time.steps_done < step_count {
            self.emit_ready_dependents(step, out);
            return JobProgress::Open;
        }
        self.done_times.insert(step.time, 1);
        if self.done_times.count() >= self.repeat_count() {
            return JobProgress::Completed;
        }
        JobProgress::Open
    }

    /// Progress of a time that is done is kept only while attempts of it may be running.
    fn drop_idle_time(&mut self, time: u32) {
        let idle = self.times.get(&time).is_some_and(|progress| progress.active == 0);
        if idle && self.done_times.contains(time) {
            self.times.remove(&time);
        }
    }
}
