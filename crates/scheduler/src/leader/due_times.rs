//! Scheduled jobs: their steps are queued when an occurrence falls due.

use crate::ids::StepKey;
use crate::state::{State, Work};
use crate::time::NANOS_PER_S;

use super::event_loop::Leader;
use super::schedule::DueTime;
use super::service::QueueEnd;
use super::timers::Timer;

/// Maximum delay of the schedule timer, because the time of day may step.
const RECHECK_INTERVAL_NS: u64 = NANOS_PER_S;

impl Leader {
    /// Schedules the first open occurrence of a job.
    pub(super) fn schedule_job(&mut self, state: &State, job: u64) {
        if let Some(work) = state.open_work(job) {
            self.schedule_time(job, work, 0);
        }
    }

    /// Schedules the first open occurrence of the job whose index is at least `time`.
    fn schedule_time(&mut self, job: u64, work: &Work, time: u32) {
        let time = work.next_open_repeat(time);
        if time < work.repeat_count() {
            self.schedule.insert(DueTime { due_ms: work.due_ms(time), job, time });
            self.arm_schedule();
        }
    }

    fn arm_schedule(&mut self) {
        let Some(DueTime { due_ms, .. }) = self.schedule.first() else { return };
        if !self.clock.is_known() {
            return;
        }
        let at = self.clock.steady_time_at(self.now, due_ms).min(self.now + RECHECK_INTERVAL_NS);
        self.timers.set_no_later(at, Timer::Schedule);
    }

    /// Queues the steps of all occurrences that are due.
    pub(super) fn enqueue_due_times(&mut self, state: &State) {
        if !self.clock.is_known() {
            return;
        }
        let now_ms = self.clock.time_of_day_ms(self.now);
        while let Some(DueTime { due_ms, job, time }) = self.schedule.first() {
            if due_ms > now_ms {
                break;
            }
            self.schedule.pop_first();
            let Some(work) = state.open_work(job) else { continue };
            for step in 0..work.stages().len() as u32 {
                self.enqueue_step(state, StepKey { job, time, step }, QueueEnd::Back);
            }
            self.schedule_time(job, work, time + 1);
        }
        self.arm_schedule();
    }
}
