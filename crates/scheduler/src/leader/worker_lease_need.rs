//! How long a worker's lease needs to be, and how long it may wait for ends, by the attempts it runs.
//!
//! While a worker can't be reached, the outcome of its attempts is unknown until its lease has expired. A lease as
//! long as its work, with a margin, keeps that time short; a shorter one would lose work whenever the core does not
//! respond for a moment.

use crate::ids::AttemptKey;

use super::attempts::{Attempt, Attempts};
use super::mechanisms::Mechanism;
use super::settings::LeaderSettings;

/// Least worker lease, in milliseconds: an election, and lease renewals by the next leader, take less.
const MIN_NEEDED_LEASE_MS: u64 = 2_500;
/// What is added to the time that an attempt is expected to take still, in milliseconds.
const LEASE_MARGIN_MS: u64 = 1_500;

/// Lists that are to show the progress of a run that takes as long as the client's estimate.
const LISTS_PER_RUN: u64 = 10;
/// Longest wait for an end on a worker whose attempts make progress, in milliseconds.
const MAX_RUNNING_WAIT_MS: u64 = 500;
/// The same on a worker whose attempts are all long-running, in milliseconds.
const ALL_LONG_RUNNING_WAIT_MS: u64 = 1_000;

/// The worker lease that these attempts need, in milliseconds.
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

/// How long a worker with these attempts may wait for an end before it answers a lease renewal, in milliseconds:
/// progress is to be seen several times in a run, and long-running attempts have none to report.
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

/// The worker lease that one attempt needs, in milliseconds. Long-running tasks and gangs without checkpoints lose
/// most when a lease expires.
fn attempt_lease_ms(attempt: &Attempt, longest: u64, now: u64) -> u64 {
    if attempt.long_running || (attempt.gang && !attempt.checkpoints) {
        return longest;
    }
    attempt.remaining_ms(now).saturating_add(LEASE_MARGIN_MS)
}
