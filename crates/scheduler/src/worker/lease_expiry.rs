//! When the lease of a worker has certainly expired, so that nothing runs there any more.

use crate::time::NANOS_PER_MS;

use super::clock::{longest_time_to_advance, ClockEstimate};
use super::types::SessionOptions;

/// Time granted to a worker between the expiry of its lease and the end of all that ran, in milliseconds.
const EXPIRY_SLACK_MS: u64 = 100;

/// The greatest deadline of a worker's lease that may be in force.
///
/// The worker's lease is the permission for everything that runs on a worker: the worker itself ends all attempts once
/// its own clock passes the deadline. It is not the leader's lease, which permits the leader to send calls that extend
/// it. What the leader may conclude from an expired worker lease rests on three rules:
///
/// - A deadline is on the worker's clock, whose rate may differ by 2% from this machine's. It is set from the least
///   that the clock can show, so that the lease is never longer than meant, and counts as passed once the clock has
///   certainly reached it.
/// - A deadline never falls below one sent before, since a call that got no answer may have been carried out: the
///   greatest one that was sent is in force until it has passed.
/// - Earlier leaders sent nothing after this leader's term began, and no deadline further ahead than the longest
///   worker lease: what they sent has expired once that span has passed since.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerLeaseBound {
    term_started_at: u64,
    max_worker_lease_ms: u64,
    /// The greatest deadline that this session has sent, in milliseconds of the worker's clock; 0: none.
    sent_ms: u64,
}

impl WorkerLeaseBound {
    pub(super) fn new(options: &SessionOptions) -> Self {
        WorkerLeaseBound {
            term_started_at: options.term_started_at,
            max_worker_lease_ms: options.max_worker_lease_ms,
            sent_ms: 0,
        }
    }

    /// The deadline of a call sent at `now`: never below one sent before. `None` while the clock is unknown.
    pub(super) fn next_deadline(
        &mut self,
        clock: &ClockEstimate,
        now: u64,
        worker_lease_ms: u64,
    ) -> Option<u64> {
        let least_ms = clock.least(now)? / NANOS_PER_MS;
        let ahead = worker_lease_ms.min(self.max_worker_lease_ms);
        self.sent_ms = self.sent_ms.max(least_ms.saturating_add(ahead));
        Some(self.sent_ms)
    }

    /// The moment of this machine's clock from which all that was sent so far has certainly expired.
    pub(super) fn certainly_expired_at(&self, clock: &ClockEstimate) -> u64 {
        self.earlier_leaders_expired_at(clock).max(self.own_expired_at(clock))
    }

    fn own_expired_at(&self, clock: &ClockEstimate) -> u64 {
        if self.sent_ms == 0 {
            return 0;
        }
        clock.certainly_reached_at(with_slack(self.sent_ms)).unwrap_or(u64::MAX)
    }

    fn earlier_leaders_expired_at(&self, clock: &ClockEstimate) -> u64 {
        let span = longest_time_to_advance(with_slack(self.max_worker_lease_ms));
        let by_time = self.term_started_at.saturating_add(span);
        let Some(clock_then) = clock.greatest(self.term_started_at) else {
            return by_time;
        };
        let deadline = clock_then.saturating_add(with_slack(self.max_worker_lease_ms));
        clock.certainly_reached_at(deadline).map_or(by_time, |by_clock| by_clock.min(by_time))
    }
}

/// A deadline or span in milliseconds with the slack added, in nanoseconds.
fn with_slack(deadline_ms: u64) -> u64 {
    deadline_ms.saturating_add(EXPIRY_SLACK_MS).saturating_mul(NANOS_PER_MS)
}
