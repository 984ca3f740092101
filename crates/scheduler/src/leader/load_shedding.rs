//! Load shedding: a job that would start too late to be of value is rejected immediately, so that only jobs
//! that can be served wait.
//!
//! Two queues are bounded. The first waits for worker capacity: a job is rejected once even the shortest
//! recent wait would leave it without value. The second waits for the leader, whose processor sustains a
//! limited rate of starts: a job is rejected once the starts ahead of it take too long at the measured rate.

use configuration::Route;
use messages::job::{JobSpec, Stage};

use crate::time::NANOS_PER_MS;

use super::event_loop::Leader;
use super::service::plan_of;

/// A job has no value once it ends later than its latency objective multiplied by this factor.
const NO_VALUE_FACTOR: f64 = 3.0;
/// Minimum retry delay for a rejected job.
const MIN_RETRY_MS: u64 = 1_000;
/// Maximum retry delay for a rejected job.
const MAX_RETRY_MS: u64 = 10_000;
/// A confirmation delay below this value shows that starts are not waiting for the leader.
const NORMAL_START_DELAY_NS: u64 = 100 * NANOS_PER_MS;
/// Backlog of starts below which jobs are accepted regardless of the measured rate.
const MIN_SHEDDING_BACKLOG: u64 = 64;
/// Maximum wait for the leader at which jobs of the first plan are accepted. The limit halves with each plan,
/// so that later plans are rejected first.
const MAX_BACKLOG_WAIT_MS: u64 = 200;
/// The wait for the leader may take up to the slack of the job divided by this value. The rest is reserved
/// for delays before the leader reads the request and after the tasks have ended.
const SLACK_DIVISOR: u64 = 4;
/// Retry delay for a job that the leader cannot start fast enough.
const BACKLOG_RETRY_MS: u32 = 2_000;

impl Leader {
    /// Returns the retry delay in milliseconds if the job must be rejected now, or `None` if it is accepted.
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

    /// Returns whether the backlog of starts takes longer, at the sustained rate, than the job can wait.
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

    /// Like `retry_after_overload_ms`, but only for the queue that waits for worker capacity.
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

/// Returns the latency objective of a job in milliseconds: a job that takes longer from its submission is
/// late.
fn objective_ms(route: &Route, stages: &[Stage]) -> f64 {
    route.stretch * critical_path_ms(stages) as f64 + route.target_latency_ms as f64
}

/// Returns how long a job may wait in total without being late, in milliseconds.
fn slack_ms(route: &Route, stages: &[Stage]) -> u64 {
    (objective_ms(route, stages) as u64).saturating_sub(critical_path_ms(stages))
}

/// Returns the critical path of the dependency graph, by the client's estimates, in milliseconds.
fn critical_path_ms(stages: &[Stage]) -> u64 {
    let mut ends_ms: Vec<u64> = Vec::with_capacity(stages.len());
    for stage in stages {
        let earlier = stage.depends_on.iter().filter_map(|step| ends_ms.get(*step as usize));
        let begins_ms = earlier.copied().max().unwrap_or(0);
        ends_ms.push(begins_ms.saturating_add(stage.est_runtime_ms));
    }
    ends_ms.into_iter().max().unwrap_or(0)
}
