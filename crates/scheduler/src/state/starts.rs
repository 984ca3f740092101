//! Application of intents to start attempts. Each intent is validated again when it is applied, because
//! ends and cancellations may have been committed since it was proposed.

use std::sync::Arc;

use messages::job::{AttemptStart, StartAttempts};

use crate::ids::{AttemptKey, StepKey, TaskKey};

use super::change::StateChange;
use super::job::Work;
use super::task::ActiveAttempt;
use super::State;

/// An intent to start one attempt.
#[derive(Debug, Clone)]
struct Intent {
    key: AttemptKey,
    instance: Arc<str>,
}

impl State {
    /// Records intents to start. The members of a gang are adjacent in the command, and either all or none
    /// of them are started.
    pub(super) fn start_attempts(&mut self, command: &StartAttempts, changes: &mut Vec<StateChange>) {
        for incarnation in &command.incarnations {
            self.workers.record_incarnation(incarnation);
        }
        let mut rest = command.starts.as_slice();
        while let Some(first) = rest.first() {
            let length = self.group_length(first, rest);
            let (group, tail) = rest.split_at(length);
            rest = tail;
            let intents: Vec<Intent> = group.iter().filter_map(|start| self.intent(start)).collect();
            self.start_group(&intents, intents.len() == group.len(), changes);
        }
    }

    /// Number of entries at the head of `starts` that form one unit: the members of a gang, or a single
    /// task.
    fn group_length(&self, first: &AttemptStart, starts: &[AttemptStart]) -> usize {
        let Some(task) = first.task.as_ref() else { return 1 };
        let step = TaskKey::from(task).step_key();
        let is_gang =
            self.jobs.get(&step.job).and_then(|job| job.work()).and_then(|work| work.stage(step.step));
        if !is_gang.is_some_and(|stage| stage.gang) {
            return 1;
        }
        let same = |start: &&AttemptStart| {
            start.task.as_ref().is_some_and(|task| TaskKey::from(task).step_key() == step)
                && start.attempt == first.attempt
        };
        starts.iter().take_while(same).count()
    }

    fn intent(&self, start: &AttemptStart) -> Option<Intent> {
        let task = TaskKey::from(start.task.as_ref()?);
        let instance =
            self.workers.shared_name(&start.instance).unwrap_or_else(|| Arc::from(start.instance.as_str()));
        Some(Intent { key: AttemptKey { task, attempt: start.attempt }, instance })
    }

    fn start_group(&mut self, intents: &[Intent], complete: bool, changes: &mut Vec<StateChange>) {
        let Some(first) = intents.first() else { return };
        let known = intents.iter().all(|intent| self.workers.is_known(&intent.instance));
        let work = self.jobs.get(&first.key.task.job).and_then(|job| job.open_work());
        let valid = complete && known && work.is_some_and(|work| may_start(work, intents));
        if !valid {
            for intent in intents {
                changes
                    .push(StateChange::StartDropped { key: intent.key, instance: intent.instance.clone() });
            }
            return;
        }
        self.record_started(first.key.task.job);
        for intent in intents {
            self.record_active_attempt(intent);
            changes.push(StateChange::AttemptStarted { key: intent.key, instance: intent.instance.clone() });
        }
    }

    /// Marks the job as started, so that it is no longer pending.
    fn record_started(&mut self, id: u64) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let was_pending = job.is_pending();
        let Some(work) = job.work.as_mut() else { return };
        work.started = true;
        if was_pending {
            let prefix_key = job.prefix_key.clone();
            self.subtract_pending(&prefix_key);
        }
    }

    fn record_active_attempt(&mut self, intent: &Intent) {
        let key = intent.key.task;
        let Some(work) = self.jobs.get_mut(&key.job).and_then(|job| job.work.as_mut()) else { return };
        let Some(count) = work.stage(key.step).map(|stage| stage.count) else { return };
        work.active += 1;
        let repeat = work.repeat_mut(key.time);
        repeat.active += 1;
        let Some(task) = repeat.steps[key.step as usize].tasks_mut(count).get_mut(key.index as usize) else {
            return;
        };
        task.last_attempt = intent.key.attempt;
        task.active.push(ActiveAttempt { attempt: intent.key.attempt, instance: intent.instance.clone() });
        self.workers.add_active(&intent.instance);
    }
}

/// Whether the attempts may start, given the current progress of the job.
fn may_start(work: &Work, intents: &[Intent]) -> bool {
    let Some(first) = intents.first() else { return false };
    let step = first.key.task.step_key();
    let Some(stage) = work.stage(step.step) else { return false };
    if !work.is_step_ready(step) {
        return false;
    }
    if stage.gang {
        return may_start_gang(work, step, stage.count, intents);
    }
    intents.iter().all(|intent| {
        let key = intent.key;
        let task = work.task(key.task);
        let idle = task.is_none_or(|task| task.active.is_empty());
        let above = key.attempt > task.map_or(0, |task| task.last_attempt);
        key.task.index < stage.count && !work.is_task_done(key.task) && above && (idle || stage.speculative)
    })
}

/// Whether a gang may start: all members start under one attempt number above all earlier ones, and only
/// once no earlier attempt may run.
fn may_start_gang(work: &Work, step: StepKey, count: u32, intents: &[Intent]) -> bool {
    let attempt = intents[0].key.attempt;
    let mut members: Vec<u32> = intents.iter().map(|intent| intent.key.task.index).collect();
    members.sort_unstable();
    let is_complete = members.len() == count as usize && members.iter().copied().eq(0..count);
    is_complete && attempt > work.last_attempt(step.task(0)) && work.active_in_step(step) == 0
}
