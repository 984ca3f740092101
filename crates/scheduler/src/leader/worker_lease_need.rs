//! The lease duration and the long-poll wait that a worker needs for its attempts.
//!
//! While a worker is unreachable, the outcome of its attempts is unknown until its lease has expired. A lease
//! that covers the remaining work plus a margin keeps that time short. A shorter lease would lose work
//! whenever the scheduler does not respond for a moment.

use crate::ids::AttemptKey;
use crate::time::NANOS_PER_MS;

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

/// Number of attempts up to which the needs are computed in each poll.
const FEW_ATTEMPTS: usize = 64;
/// How long the computed needs of more attempts are used, in nanoseconds. New attempts are included at once.
const NEEDS_LIFETIME_NS: u64 = 50 * NANOS_PER_MS;

/// What the attempts of a worker need of its session.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct AttemptNeeds {
    /// Longest lease that an attempt needs, in milliseconds; 0 without attempts.
    lease_ms: u64,
    /// Shortest wait for an end that suits an attempt which is not long-running, in milliseconds.
    wait_ms: Option<u64>,
    /// Until when the needs count, in nanoseconds of the monotonic clock.
    valid_until: u64,
}

impl AttemptNeeds {
    /// Computes the needs of a worker's attempts, unless there are many and their needs were computed lately. Returns
    /// the number of attempts beyond `FEW_ATTEMPTS` that it went over.
    pub(super) fn update(
        &mut self,
        attempts: &Attempts,
        assigned: &[AttemptKey],
        settings: &LeaderSettings,
        now: u64,
    ) -> u64 {
        if assigned.len() > FEW_ATTEMPTS && now < self.valid_until {
            return 0;
        }
        *self = AttemptNeeds { valid_until: now + NEEDS_LIFETIME_NS, ..AttemptNeeds::default() };
        for attempt in assigned.iter().filter_map(|key| attempts.get(key)) {
            self.include(attempt, settings, now);
        }
        assigned.len().saturating_sub(FEW_ATTEMPTS) as u64
    }

    /// Includes the needs of a new attempt.
    pub(super) fn include(&mut self, attempt: &Attempt, settings: &LeaderSettings, now: u64) {
        self.lease_ms = self.lease_ms.max(attempt_lease_ms(attempt, settings.worker_lease_ms, now));
        if !attempt.long_running {
            let wait_ms = attempt.estimate_ms / LISTS_PER_RUN;
            self.wait_ms = Some(self.wait_ms.map_or(wait_ms, |shortest| shortest.min(wait_ms)));
        }
    }

    /// Returns the worker lease that the attempts need, in milliseconds.
    pub(super) fn worker_lease_ms(&self, settings: &LeaderSettings) -> u64 {
        let longest = settings.worker_lease_ms;
        if !settings.mechanisms.uses(Mechanism::LeaseByNeed) {
            return longest;
        }
        self.lease_ms.max(MIN_NEEDED_LEASE_MS).min(longest)
    }

    /// Returns how long a worker with `attempts` attempts of these needs may wait for an end before it responds to a
    /// lease renewal, in milliseconds. Progress should be reported several times in a run, and long-running attempts
    /// have no progress to report.
    pub(super) fn long_poll_wait_ms(
        &self,
        attempts: usize,
        settings: &LeaderSettings,
        min_wait_ms: u64,
    ) -> u64 {
        if attempts == 0 || !settings.mechanisms.uses(Mechanism::WaitByNeed) {
            return min_wait_ms;
        }
        let wait_ms =
            self.wait_ms.map_or(ALL_LONG_RUNNING_WAIT_MS, |wait_ms| wait_ms.min(MAX_RUNNING_WAIT_MS));
        wait_ms.max(min_wait_ms)
    }
}

/// Returns the worker lease that one attempt needs, in milliseconds. Long-running tasks and gangs without
/// checkpoints lose the most when a lease expires.
fn attempt_lease_ms(attempt: &Attempt, longest: u64, now: u64) -> u64 {
    if attempt.long_running || (attempt.gang && !attempt.checkpoints) {
        return longest;
    }
    attempt.remaining_ms(now).saturating_add(LEASE_MARGIN_MS)
}
