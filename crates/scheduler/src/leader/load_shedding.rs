//! Load shedding: a job that would begin too late to earn is rejected at once, so that what waits is what can be served.
//!
//! Two queues are bounded. One waits for capacity of workers: a job is rejected once even the shortest wait of late
//! leaves it no worth. The other waits for the leader itself, whose processor bears only so many starts a second: a job is
//! rejected once the starts before it take too long at the pace that was measured.

use configuration::Route;
use messages::job::{JobSpec, Stage};

use crate::time::NANOS_PER_MS;

use super::event_loop::Leader;
use super::service::plan_of;

/// A job is late, and after this many times its objective without worth.
const NO_VALUE_FACTOR: f64 = 3.0;
/// Least time after which a client whose job is rejected may submit it again, in milliseconds.
const MIN_RETRY_MS: u64 = 1_000;
/// Most time after which it may, in milliseconds.
const MAX_RETRY_MS: u64 = 10_000;
/// Confirmations that take less are not waiting for the leader, in nanoseconds.
const NORMAL_START_DELAY_NS: u64 = 100 * NANOS_PER_MS;
/// Starts for which a leader needs no measured pace.
const MIN_SHEDDING_BACKLOG: u64 = 64;
/// The longest wait for the leader at which jobs of the first plan are accepted, in milliseconds. It halves with each
/// plan, so that later plans are rejected first.
const MAX_BACKLOG_WAIT_MS: u64 = 200;
/// The wait for the leader may take this part of the time that a job has to spare: the rest goes to what comes before
/// the leader reads it, and after its tasks have ended.
const SLACK_DIVISOR: u64 = 4;
/// When a client may submit again a job that the leader cannot bear, in milliseconds.
const BACKLOG_RETRY_MS: u32 = 2_000;

impl Leader {
    /// When a client may submit the job again, in milliseconds, if it is to be rejected now; `None`: it is accepted.
    pub(super) fn retry_after_overload_ms(&mut self, route: &Route, id: u64, job: &JobSpec) -> Option<u32> {
        let is_exempt = job.repeat > 0 || job.stages.iter().any(|stage| stage.long_running);
        if is_exempt {
            return None;
        }
        if self.exceeds_start_pace(route, id, job) {
            return Some(BACKLOG_RETRY_MS);
        }
        self.retry_after_capacity_ms(route, job)
    }

    /// Whether the starts that wait for the leader take longer, at the pace that it bears, than the job can wait.
    fn exceeds_start_pace(&mut self, route: &Route, id: u64, job: &JobSpec) -> bool {
        let now = self.now;
        let backlog = self.attempts.unconfirmed() as u64 + self.pending_clients.tasks();
        if backlog < MIN_SHEDDING_BACKLOG
            || self.start_pace.delay(now).is_none_or(|delay| delay < NORMAL_START_DELAY_NS)
        {
            return false;
        }
        let Some(wait) = self.start_pace.time_for_starts(now, backlog) else { return false };
        let waited_ms = self.rejected_jobs.time_since_rejection(now, id) / NANOS_PER_MS;
        let remaining_slack_ms = slack_ms(route, &job.stages).saturating_sub(waited_ms);
        let longest_ms =
            (remaining_slack_ms / SLACK_DIVISOR).min(MAX_BACKLOG_WAIT_MS >> plan_of(route.priority));
        wait / NANOS_PER_MS > longest_ms
    }

    /// As `retry_after_overload_ms`, for the queue that waits for capacity of workers.
    fn retry_after_capacity_ms(&mut self, route: &Route, job: &JobSpec) -> Option<u32> {
        let position = *self.service_positions.get(&route.service)?;
        let delay = self.services[position].start_delay(plan_of(route.priority), self.now);
        let delay_ms = delay / NANOS_PER_MS;
        let no_value_after_ms = (objective_ms(route, &job.stages) * NO_VALUE_FACTOR) as u64;
        let excess_ms = delay_ms.checked_sub(no_value_after_ms)?;
        let retry_ms = excess_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS);
        u32::try_from(retry_ms).ok()
    }
}

/// How long after its submission a job is late, in milliseconds.
fn objective_ms(route: &Route, stages: &[Stage]) -> f64 {
    route.stretch * critical_path_ms(stages) as f64 + route.target_latency_ms as f64
}

/// How long a job may wait in all without being late, in milliseconds.
fn slack_ms(route: &Route, stages: &[Stage]) -> u64 {
    (objective_ms(route, stages) as u64).saturating_sub(critical_path_ms(stages))
}

/// The longest chain of work among steps that depend on each other, by the client's estimates, in milliseconds.
fn critical_path_ms(stages: &[Stage]) -> u64 {
    let mut ends_ms: Vec<u64> = Vec::with_capacity(stages.len());
    for stage in stages {
        let earlier = stage.depends_on.iter().filter_map(|step| ends_ms.get(*step as usize));
        let begins_ms = earlier.copied().max().unwrap_or(0);
        ends_ms.push(begins_ms.saturating_add(stage.est_runtime_ms));
    }
    ends_ms.into_iter().max().unwrap_or(0)
}
