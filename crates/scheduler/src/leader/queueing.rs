//! Enqueueing of tasks that are ready to start.

use std::collections::BTreeSet;

use messages::job::Stage;

use crate::ids::{StepKey, TaskKey};
use crate::state::{State, Work};

use super::demand::need_of;
use super::event_loop::Leader;
use super::service::{plan_of, EnqueueRequest, QueueEnd};

impl Leader {
    /// Enqueues all tasks of a ready step that are neither running nor done.
    pub(super) fn enqueue_step(&mut self, state: &State, step: StepKey, end: QueueEnd) {
        let Some(work) = state.open_work(step.job) else { return };
        let Some(stage) = work.stage(step.step) else { return };
        if !work.is_step_ready(step) {
            return;
        }
        let is_idle = |index: &u32| {
            let task = step.task(*index);
            !work.is_task_done(task) && self.attempts.is_task_idle(task)
        };
        let tasks = (0..stage.count).filter(is_idle).collect();
        self.enqueue(work, stage, step, tasks, end);
    }

    /// Enqueues a task for another attempt, ahead of jobs that have not begun. For a gang, all members are
    /// enqueued.
    pub(super) fn enqueue_task(&mut self, state: &State, task: TaskKey) {
        let Some(work) = state.open_work(task.job) else { return };
        let Some(stage) = work.stage(task.step) else { return };
        if stage.gang {
            self.enqueue_step(state, task.step_key(), QueueEnd::Front);
            return;
        }
        let is_waiting =
            task.index < stage.count && work.is_step_ready(task.step_key()) && !work.is_task_done(task);
        if is_waiting && self.attempts.is_task_idle(task) {
            self.enqueue(work, stage, task.step_key(), [task.index].into(), QueueEnd::Front);
        }
    }

    fn enqueue(&mut self, work: &Work, stage: &Stage, step: StepKey, tasks: BTreeSet<u32>, end: QueueEnd) {
        let incomplete_gang = stage.gang && tasks.len() < stage.count as usize;
        if tasks.is_empty() || incomplete_gang {
            return;
        }
        self.work.tasks_queued += tasks.len() as u64;
        let waiting = EnqueueRequest {
            step,
            plan: plan_of(work.submit().priority),
            task_need: need_of(stage),
            constraint: stage.constraint.clone(),
            gang: stage.gang,
            limits_tasks_per_worker: stage.anti_affinity > 0,
            tasks,
            end,
            since: self.now,
        };
        let position = self.service_position(&work.submit().service);
        self.services[position].enqueue(waiting);
    }
}
