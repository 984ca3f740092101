//! Computation of when a worker's lease has certainly expired, so that nothing runs on the worker any more.

use crate::time::NANOS_PER_MS;

use super::clock::{max_time_to_advance, ClockEstimate};
use super::types::SessionOptions;

/// Time allowed for a worker between the expiry of its lease and the end of everything that ran under it.
const EXPIRY_SLACK_MS: u64 = 100;

/// The latest deadline of a worker's lease that may be in force.
///
/// The worker's lease is the permission for everything that runs on a worker: the worker itself ends all
/// attempts once its own clock passes the deadline. It differs from the leader's lease, which permits the
/// leader to send calls that extend worker leases. What the leader may conclude from an expired worker
/// lease rests on three rules:
///
/// - A deadline is on the worker's clock, whose rate may differ by 2% from that of this machine's clock.
///   The deadline is set from the lower bound of the worker's clock, so that the lease is never longer than
///   intended. It counts as passed once the worker's clock has certainly reached it.
/// - A deadline is never below one sent before, because a call without an answer may have been carried out.
///   The latest deadline that was sent is in force until it has passed.
/// - Earlier leaders sent nothing after this leader's term began, and no deadline further ahead than the
///   longest worker lease. What they sent has expired once this span has passed since then.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerLeaseBound {
    term_started_at: u64,
    max_worker_lease_ms: u64,
    /// The latest deadline that this session has sent, in milliseconds of the worker's clock; 0 if none was
    /// sent.
    greatest_sent_deadline_ms: u64,
}

impl WorkerLeaseBound {
    pub(super) fn new(options: &SessionOptions) -> Self {
        WorkerLeaseBound {
            term_started_at: options.term_started_at,
            max_worker_lease_ms: options.max_worker_lease_ms,
            greatest_sent_deadline_ms: 0,
        }
    }

    /// The deadline for a call sent at `now`, in milliseconds of the worker's clock. It is never below one
    /// sent before. `None` while the worker's clock is unknown.
    pub(super) fn next_deadline(
        &mut self,
        clock: &ClockEstimate,
        now: u64,
        worker_lease_ms: u64,
    ) -> Option<u64> {
        let least_ms = clock.lower_bound(now)? / NANOS_PER_MS;
        let ahead = worker_lease_ms.min(self.max_worker_lease_ms);
        self.greatest_sent_deadline_ms = self.greatest_sent_deadline_ms.max(least_ms.saturating_add(ahead));
        Some(self.greatest_sent_deadline_ms)
    }

    /// Time of this machine's clock at which all deadlines sent so far have certainly expired.
    pub(super) fn certainly_expired_at(&self, clock: &ClockEstimate) -> u64 {
        self.earlier_leaders_expired_at(clock).max(self.own_expired_at(clock))
    }

    fn own_expired_at(&self, clock: &ClockEstimate) -> u64 {
        if self.greatest_sent_deadline_ms == 0 {
            return 0;
        }
        clock.certainly_reached_at(with_slack(self.greatest_sent_deadline_ms)).unwrap_or(u64::MAX)
    }

    fn earlier_leaders_expired_at(&self, clock: &ClockEstimate) -> u64 {
        let span = max_time_to_advance(with_slack(self.max_worker_lease_ms));
        let by_time = self.term_started_at.saturating_add(span);
        let Some(clock_then) = clock.upper_bound(self.term_started_at) else {
            return by_time;
        };
        let deadline = clock_then.saturating_add(with_slack(self.max_worker_lease_ms));
        clock.certainly_reached_at(deadline).map_or(by_time, |by_clock| by_clock.min(by_time))
    }
}

/// Adds the slack to a deadline or span in milliseconds and returns the sum in nanoseconds.
fn with_slack(deadline_ms: u64) -> u64 {
    deadline_ms.saturating_add(EXPIRY_SLACK_MS).saturating_mul(NANOS_PER_MS)
}
