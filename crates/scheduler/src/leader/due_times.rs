//! Scheduled jobs: their steps are queued when an occurrence falls due.

use crate::ids::StepKey;
use crate::state::{State, Work};
use crate::time::{NANOS_PER_MS, NANOS_PER_S};

use super::event_loop::Leader;
use super::schedule::{occurrence_size, DueDecision, DueTime};
use super::service::QueueEnd;
use super::timers::Timer;

/// Maximum delay of the schedule timer, because the time of day may step.
const RECHECK_INTERVAL_NS: u64 = NANOS_PER_S;
/// Size of the occurrences that are queued in one turn, after which the next turn continues.
const QUEUED_SIZE_PER_TURN: u64 = 10_000;
/// Delay before the next turn while more occurrences are due.
const NEXT_TURN_DELAY_NS: u64 = NANOS_PER_MS;

impl Leader {
    /// Schedules the first open occurrence of a job.
    pub(super) fn schedule_job(&mut self, state: &State, job: u64) {
        if let Some(work) = state.open_work(job) {
            self.schedule_time(job, work, 0);
            self.arm_schedule();
        }
    }

    /// Schedules the first occurrence of the job that is not done and whose index is at least `time`.
    fn schedule_time(&mut self, job: u64, work: &Work, time: u32) {
        let time = work.next_open_repeat(time);
        if time < work.repeat_count() {
            let next = DueTime { due_ms: work.due_ms(time), job, time };
            self.schedule.set_next(next, occurrence_size(work.stages()));
        }
    }

    fn arm_schedule(&mut self) {
        let Some(due_ms) = self.schedule.next_due_ms() else { return };
        if !self.clock.is_known() {
            return;
        }
        let at = self.clock.steady_time_at(self.now, due_ms).min(self.now + RECHECK_INTERVAL_NS);
        self.timers.set_no_later(at.max(self.schedule_resumes_at), Timer::Schedule);
    }

    /// Runs the schedule again, because occurrences that were held may have their turn now.
    fn resume_schedule(&mut self) {
        self.timers.set_no_later(self.now.max(self.schedule_resumes_at), Timer::Schedule);
    }

    /// Queues the steps of occurrences that are due, in the order of their due times. If there are more than one
    /// turn may queue, the next turn continues.
    pub(super) fn enqueue_due_times(&mut self, state: &State) {
        if !self.clock.is_known() || self.now < self.schedule_resumes_at {
            return self.arm_schedule();
        }
        let now_ms = self.clock.time_of_day_ms(self.now);
        let mut queued_size = 0;
        while queued_size < QUEUED_SIZE_PER_TURN {
            match self.schedule.decide_next(now_ms) {
                Some(DueDecision::Open(due)) => queued_size += self.enqueue_occurrence(state, due),
                Some(DueDecision::Held) => queued_size += 1,
                None => return self.arm_schedule(),
            }
        }
        self.schedule_resumes_at = self.now + NEXT_TURN_DELAY_NS;
        self.resume_schedule();
    }

    /// Queues the steps of an occurrence, schedules the job's next one, and returns the size of what was queued.
    fn enqueue_occurrence(&mut self, state: &State, due: DueTime) -> u64 {
        let DueTime { job, time, .. } = due;
        let Some(work) = state.open_work(job) else {
            self.schedule.remove_job(job);
            return 1;
        };
        for step in 0..work.stages().len() as u32 {
            self.enqueue_step(state, StepKey { job, time, step }, QueueEnd::Back);
        }
        self.schedule_time(job, work, time + 1);
        occurrence_size(work.stages())
    }

    /// Handles the end of a step: if its occurrence is done, others that were held may have their turn.
    pub(super) fn occurrence_step_done(&mut self, state: &State, step: StepKey) {
        let is_done = state.open_work(step.job).is_some_and(|work| work.is_repeat_done(step.time));
        if is_done && self.schedule.occurrence_done(step.job, step.time) {
            self.resume_schedule();
        }
    }

    /// Removes a job that has ended from the schedule.
    pub(super) fn unschedule_job(&mut self, job: u64) {
        if self.schedule.remove_job(job) {
            self.resume_schedule();
        }
    }
}
