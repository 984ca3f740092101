//! The lease duration and the long-poll wait that a worker needs for its attempts.
//!
//! While a worker is unreachable, the outcome of its attempts is unknown until its lease has expired. A lease
//! that covers the remaining work plus a margin keeps that time short. A shorter lease would lose work
//! whenever the scheduler does not respond for a moment.

use crate::ids::AttemptKey;

use super::attempts::{Attempt, Attempts};
use super::mechanisms::Mechanism;
use super::settings::LeaderSettings;

/// Minimum worker lease. An election plus the lease renewals of the next leader take less time.
const MIN_NEEDED_LEASE_MS: u64 = 2_500;
/// Margin on top of the expected remaining time of an attempt.
const LEASE_MARGIN_MS: u64 = 1_500;

/// Number of status lists that should report progress during a run of the estimated length.
const LISTS_PER_RUN: u64 = 10;
/// Maximum wait for an end on a worker with attempts that report progress.
const MAX_RUNNING_WAIT_MS: u64 = 500;
/// Wait for an end on a worker whose attempts are all long-running.
const ALL_LONG_RUNNING_WAIT_MS: u64 = 1_000;

/// Returns the worker lease that these attempts need, in milliseconds.
pub(super) fn needed_worker_lease_ms(
    attempts: &Attempts,
    assigned: &[AttemptKey],
    settings: &LeaderSettings,
    now: u64,
) -> u64 {
    let longest = settings.worker_lease_ms;
    if !settings.mechanisms.uses(Mechanism::LeaseByNeed) {
        return longest;
    }
    let needs = assigned
        .iter()
        .filter_map(|key| attempts.get(key))
        .map(|attempt| attempt_lease_ms(attempt, longest, now));
    needs.max().unwrap_or(0).max(MIN_NEEDED_LEASE_MS).min(longest)
}

/// Returns how long a worker with these attempts may wait for an end before it responds to a lease renewal,
/// in milliseconds. Progress should be reported several times in a run, and long-running attempts have no
/// progress to report.
pub(super) fn needed_wait_ms(
    attempts: &Attempts,
    assigned: &[AttemptKey],
    settings: &LeaderSettings,
    min_wait_ms: u64,
) -> u64 {
    if assigned.is_empty() || !settings.mechanisms.uses(Mechanism::WaitByNeed) {
        return min_wait_ms;
    }
    let running = assigned.iter().filter_map(|key| attempts.get(key)).filter(|attempt| !attempt.long_running);
    let shortest = running.map(|attempt| attempt.estimate_ms / LISTS_PER_RUN).min();
    shortest.map_or(ALL_LONG_RUNNING_WAIT_MS, |wait_ms| wait_ms.min(MAX_RUNNING_WAIT_MS)).max(min_wait_ms)
}

/// Returns the worker lease that one attempt needs, in milliseconds. Long-running tasks and gangs without
/// checkpoints lose the most when a lease expires.
fn attempt_lease_ms(attempt: &Attempt, longest: u64, now: u64) -> u64 {
    if attempt.long_running || (attempt.gang && !attempt.checkpoints) {
        return longest;
    }
    attempt.remaining_ms(now).saturating_add(LEASE_MARGIN_MS)
}
