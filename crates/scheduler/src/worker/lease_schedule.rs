//! The pace of lease renewals.

use crate::time::NANOS_PER_MS;

use super::backoff::{exponential_backoff, RETRY_DELAY};

/// Least time between two status queries while an attempt is uncertain, in nanoseconds.
pub(super) const MIN_STATUS_QUERY_SPACING: u64 = 50 * NANOS_PER_MS;
/// Mean time between two lease renewals in ordinary operation, over longer times: each one has its price.
const RENEWAL_INTERVAL: u64 = 100 * NANOS_PER_MS;
/// How far ahead of that pace lease renewals may be, so that single ends are reported at once.
const RENEWAL_BURST: u64 = 200 * NANOS_PER_MS;
/// Least delay of a lease renewal while listed ends are not acknowledged yet: it would be answered at once.
const UNACKNOWLEDGED_DELAY: u64 = 100 * NANOS_PER_MS;

/// Progress of the lease renewals of a session. Times are nanoseconds of the steady clock.
#[derive(Debug, Default)]
pub(super) struct LeaseRenewalSchedule {
    /// How far ahead of the pace lease renewals may be.
    burst: u64,
    last_sent: Option<u64>,
    /// Up to when the lease renewals sent so far use up the ordinary pace.
    paced_until: u64,
    /// The last lease renewal carried a deadline.
    carried_deadline: bool,
    last_lists_at: u64,
    failures: u32,
    not_before: u64,
    /// Answers in a row without a new end while ends were not acknowledged.
    unacknowledged_lists: u32,
}

impl LeaseRenewalSchedule {
    /// The schedule of a session; with `bursts`, several lease renewals may follow each other quickly.
    pub(super) fn new(bursts: bool) -> Self {
        let burst = if bursts { RENEWAL_BURST } else { 0 };
        LeaseRenewalSchedule { burst, ..LeaseRenewalSchedule::default() }
    }

    /// Records an answered lease renewal.
    pub(super) fn answered(&mut self, now: u64, has_new_ends: bool) {
        self.last_lists_at = now;
        self.failures = 0;
        self.not_before = 0;
        if has_new_ends {
            self.unacknowledged_lists = 0;
        } else {
            self.unacknowledged_lists = self.unacknowledged_lists.saturating_add(1);
        }
    }

    /// Records that ends were acknowledged.
    pub(super) fn ends_acknowledged(&mut self) {
        self.unacknowledged_lists = 0;
    }

    /// Records a lease renewal that got no answer or was refused.
    pub(super) fn failed(&mut self, now: u64) {
        self.not_before = now.saturating_add(exponential_backoff(RETRY_DELAY, self.failures));
        self.failures = self.failures.saturating_add(1);
    }

    /// Records a lease renewal that this process withheld: it is repeated without regard to how often it was.
    pub(super) fn withheld(&mut self, now: u64) {
        self.not_before = now.saturating_add(RETRY_DELAY);
    }

    /// Records a lease renewal that was sent.
    pub(super) fn sent(&mut self, now: u64, carries_deadline: bool) {
        self.last_sent = Some(now);
        // Status queries that settle what is uncertain come faster than the pace: they must not put off ordinary
        // lease renewals for longer.
        let furthest = now.saturating_add(RENEWAL_INTERVAL).saturating_add(self.burst);
        self.paced_until = self.paced_until.max(now).saturating_add(RENEWAL_INTERVAL).min(furthest);
        self.carried_deadline = carries_deadline;
    }

    /// When the newest lists came; 0: none came.
    pub(super) fn last_lists_at(&self) -> u64 {
        self.last_lists_at
    }

    /// Whether the last lease renewal carried a deadline.
    pub(super) fn carried_deadline(&self) -> bool {
        self.carried_deadline
    }

    /// The backoff after failures: no lease renewal leaves before.
    pub(super) fn not_before(&self) -> u64 {
        self.not_before
    }

    /// When the next lease renewal keeps to the ordinary pace.
    pub(super) fn paced(&self) -> u64 {
        self.paced_until.saturating_sub(self.burst)
    }

    /// When the next lease renewal is due while listed ends are not acknowledged.
    pub(super) fn paced_by_acknowledgements(&self) -> u64 {
        let delay = exponential_backoff(UNACKNOWLEDGED_DELAY, self.unacknowledged_lists);
        self.paced().max(self.last_lists_at.saturating_add(delay))
    }

    /// When `spacing` has passed since the last lease renewal.
    pub(super) fn spaced(&self, spacing: u64) -> u64 {
        self.last_sent.map_or(0, |sent| sent.saturating_add(spacing))
    }
}
