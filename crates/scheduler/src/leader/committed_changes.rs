//! Handling of committed commands: replies, newly waiting tasks, and orders to workers.

use messages::job::EndKind;
use messages::peer::{ClientReply, Outcome};

use crate::ids::{AttemptKey, TaskKey};
use crate::state::{AttemptOutcome, State, StateChange};
use crate::time::NANOS_PER_MS;
use crate::worker::StartOrder;

use super::client_requests::reply;
use super::event_loop::Leader;
use super::history::FinishedAttempt;
use super::interface::{ConfigurationReply, Output};
use super::pending_requests::JobName;
use super::service::QueueEnd;
use super::worker_events::{GangProgress, WorkerEvent};

impl Leader {
    /// Handles the changes of one committed batch, in order.
    pub(super) fn changes_committed(
        &mut self,
        state: &State,
        changes: &[StateChange],
        out: &mut Vec<Output>,
    ) {
        for change in changes {
            self.configuration_changed(state, change, out);
            self.job_changed(state, change, out);
            self.task_changed(state, change);
        }
    }

    fn configuration_changed(&mut self, state: &State, change: &StateChange, out: &mut Vec<Output>) {
        match change {
            StateChange::ConfigurationAccepted { key, .. } => {
                self.load_configuration(state);
                self.reply_configuration(key, &ConfigurationReply::Accepted, out);
            }
            StateChange::ConfigurationRepeated { key } => {
                self.reply_configuration(key, &ConfigurationReply::Accepted, out);
            }
            StateChange::ConfigurationConflict { key, current } => {
                let text = format!("version {current} is current: read it, and send the change on top of it");
                self.reply_configuration(key, &ConfigurationReply::Conflict { text }, out);
            }
            StateChange::ConfigurationVersionTooLow { key, current } => {
                let text = format!("version {current} is current: choose a higher Version");
                self.reply_configuration(key, &ConfigurationReply::Invalid { text }, out);
            }
            _ => {}
        }
    }

    fn job_changed(&mut self, state: &State, change: &StateChange, out: &mut Vec<Output>) {
        match change {
            StateChange::JobAccepted { job } => {
                self.job_opened(state, *job);
                self.reply_accepted(state, *job, out);
            }
            StateChange::JobAlreadyAccepted { job } => self.reply_accepted(state, *job, out),
            StateChange::JobRejected { job, prefix_key } => {
                let name = JobName { id: *job, prefix_key: prefix_key.clone() };
                let text =
                    "the ID belongs to a job of another queue, or a step has no tasks or depends on a \
                            later one: correct the job"
                        .to_owned();
                self.reply_submits(&name, &ClientReply { text, ..reply(Outcome::INVALID) }, out);
            }
            StateChange::CancelDone { job, prefix_key } => {
                let name = JobName { id: *job, prefix_key: prefix_key.clone() };
                self.reply_cancels(&name, &reply(Outcome::CANCEL_DONE), out);
            }
            StateChange::NoSuchJob { job, prefix_key } => {
                let name = JobName { id: *job, prefix_key: prefix_key.clone() };
                self.reply_cancels(&name, &reply(Outcome::NO_SUCH_JOB), out);
            }
            StateChange::JobEnded { job, .. } => self.job_ended(*job),
            _ => {}
        }
    }

    fn reply_accepted(&mut self, state: &State, job: u64, out: &mut Vec<Output>) {
        let Some(prefix_key) = state.job(job).map(|job| job.prefix_key().to_owned()) else { return };
        self.reply_submits(&JobName { id: job, prefix_key }, &reply(Outcome::ACCEPTED), out);
    }

    /// Counts the tasks of an open job and schedules its due times.
    pub(super) fn job_opened(&mut self, state: &State, job: u64) {
        let Some(work) = state.open_work(job) else { return };
        let tasks = work.tasks_per_repeat();
        if self.open_job_tasks.insert(job, tasks).is_none() {
            self.open_tasks += tasks;
        }
        if work.is_scheduled() {
            self.schedule_job(state, job);
        }
    }

    fn job_ended(&mut self, job: u64) {
        let tasks = self.open_job_tasks.remove(&job).unwrap_or(0);
        self.open_tasks = self.open_tasks.saturating_sub(tasks);
        self.begun_jobs.remove(job);
        self.unschedule_job(job);
        for service in &mut self.services {
            service.remove_job(job);
        }
        let first = TaskKey { job, time: 0, step: 0, index: 0 };
        let last = TaskKey { job, time: u32::MAX, step: u32::MAX, index: u32::MAX };
        let failed: Vec<TaskKey> = self.failed_on.range(first..=last).map(|(task, _)| *task).collect();
        for task in failed {
            self.failed_on.remove(&task);
        }
    }

    fn task_changed(&mut self, state: &State, change: &StateChange) {
        match change {
            StateChange::StepReady { step } => {
                let stage = state.open_stage(*step);
                let is_begun = stage.is_some_and(|stage| !stage.depends_on.is_empty());
                let end = if is_begun { QueueEnd::Front } else { QueueEnd::Back };
                self.enqueue_step(state, *step, end);
            }
            StateChange::StepDone { step } => self.occurrence_step_done(state, *step),
            StateChange::TaskReady { task } => self.enqueue_task(state, *task),
            StateChange::TaskDone { task } => {
                self.failed_on.remove(task);
                for service in &mut self.services {
                    service.remove_task(*task);
                }
            }
            StateChange::AttemptStarted { key, .. } => {
                self.note_committed_start(state, *key);
                self.intent_committed(state, *key);
            }
            StateChange::StartDropped { key, .. } => {
                self.release(key);
                self.enqueue_task(state, key.task);
            }
            StateChange::AttemptFinished { key, outcome, .. } => self.attempt_finished(key, *outcome),
            StateChange::StopRequested { key, .. } => self.stop_attempt(*key),
            StateChange::EndsAcknowledged { instance, sequence } => {
                let Some(worker) = self.worker_keys.get(instance).copied() else { return };
                if let Some(entry) = self.workers.get_mut(&worker) {
                    entry.session.acknowledge_ends(*sequence);
                }
                self.schedule_poll(worker);
            }
            _ => {}
        }
    }

    /// Hands the committed start to the worker's session, which may send it from now on.
    fn intent_committed(&mut self, state: &State, key: AttemptKey) {
        let now = self.now;
        let Some(attempt) = self.attempts.get_mut(&key) else { return };
        attempt.committed = true;
        attempt.progress_at = now;
        let (worker, stopping, is_gang) = (attempt.worker, attempt.stopping, attempt.gang);
        let Some(work) = state.job(key.task.job).and_then(|job| job.work()) else { return };
        let order =
            StartOrder { key, spec: work.spec().clone(), checkpoint: work.checkpoint(key.task).to_owned() };
        if let Some(attempt) = self.attempts.get_mut(&key) {
            attempt.runs_from_start = order.checkpoint.is_empty();
        }
        let Some(entry) = self.workers.get_mut(&worker) else { return };
        let is_draining = entry.listing.as_ref().is_some_and(|listing| listing.draining);
        match is_gang {
            true => entry.session.hold_start(order),
            false => entry.session.start(order),
        }
        if is_draining {
            entry.session.withdraw_starts();
        }
        if is_gang {
            self.hold_gang_member(key);
        }
        if stopping {
            self.stop_attempt(key);
        }
        self.schedule_poll(worker);
    }

    fn attempt_finished(&mut self, key: &AttemptKey, outcome: AttemptOutcome) {
        self.record_finished(*key, outcome);
        if matches!(outcome, AttemptOutcome::Ended(_)) {
            self.note_begun(key);
        }
        if outcome == AttemptOutcome::Ended(EndKind::ALONE) {
            self.record_gang_member_timeout(*key);
        }
        self.release(key);
    }

    /// Records an event for a gang member that ended because the other members did not start in time.
    fn record_gang_member_timeout(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(&key) else { return };
        let Some(entry) = self.workers.get(&attempt.worker) else { return };
        let placed_ms = self.now.saturating_sub(attempt.placed_at) / NANOS_PER_MS;
        let percent = attempt.percent;
        let mut gang = GangProgress { placed_ms, percent, members: 0, started: 0, stopping: 0 };
        for (_, member) in self.attempts.of_gang_run(key) {
            gang.members += 1;
            gang.started += u32::from(member.started_at.is_some());
            gang.stopping += u32::from(member.stopping);
        }
        self.events.push(WorkerEvent::GangMemberTimedOut { instance: entry.instance.clone(), key, gang });
    }

    /// Adds an attempt to the history for job reports. Must be called before the attempt's capacity is
    /// released.
    fn record_finished(&mut self, key: AttemptKey, outcome: AttemptOutcome) {
        let Some(attempt) = self.attempts.get(&key) else { return };
        let Some(entry) = self.workers.get(&attempt.worker) else { return };
        self.history.push(FinishedAttempt {
            key,
            instance: entry.instance.clone(),
            outcome,
            started_at: attempt.started_at,
            ended_at: self.now,
            percent: attempt.percent,
        });
    }
}
