//! Load shedding: a job that would begin only after it has lost its worth is rejected at once, so that a queue which
//! is longer than what can be served in time does not grow further.

use configuration::Route;
use messages::job::{JobSpec, Stage};

use crate::time::NANOS_PER_MS;

use super::event_loop::Leader;
use super::service::plan_of;

/// A job is late, and after this many times its objective without worth.
const WORTHLESS_FACTOR: f64 = 3.0;
/// Least time after which a client whose job is rejected may submit it again, in milliseconds.
const MIN_RETRY_MS: u64 = 1_000;
/// Most time after which it may, in milliseconds.
const MAX_RETRY_MS: u64 = 10_000;

impl Leader {
    /// When a client may submit the job again, in milliseconds, if it is to be rejected now; `None`: it is accepted.
    pub(super) fn retry_after_overload_ms(&mut self, route: &Route, job: &JobSpec) -> Option<u32> {
        let waits_for_its_time = job.repeat > 0 || job.stages.iter().any(|stage| stage.long_running);
        if waits_for_its_time {
            return None;
        }
        let position = *self.service_positions.get(&route.service)?;
        let delay = self.services[position].start_delay(plan_of(route.priority), self.now);
        let delay_ms = delay / NANOS_PER_MS;
        let excess_ms = delay_ms.checked_sub(worthless_after_ms(route, &job.stages))?;
        let retry_ms = excess_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS);
        u32::try_from(retry_ms).ok()
    }
}

/// How long after its submission a job is worth nothing any more, in milliseconds.
fn worthless_after_ms(route: &Route, stages: &[Stage]) -> u64 {
    let objective_ms = route.stretch * longest_chain_ms(stages) as f64 + route.target_latency_ms as f64;
    (objective_ms * WORTHLESS_FACTOR) as u64
}

/// The longest chain of work among steps that depend on each other, by the client's estimates, in milliseconds.
fn longest_chain_ms(stages: &[Stage]) -> u64 {
    let mut ends_ms: Vec<u64> = Vec::with_capacity(stages.len());
    for stage in stages {
        let earlier = stage.depends_on.iter().filter_map(|step| ends_ms.get(*step as usize));
        let begins_ms = earlier.copied().max().unwrap_or(0);
        ends_ms.push(begins_ms.saturating_add(stage.est_runtime_ms));
    }
    ends_ms.into_iter().max().unwrap_or(0)
}
