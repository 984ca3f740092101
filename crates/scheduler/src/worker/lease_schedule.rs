//! Pacing of lease renewals.

use crate::time::NANOS_PER_MS;

use super::backoff::{exponential_backoff, RETRY_DELAY_NS};

/// Shortest time between two status queries while it is uncertain whether an attempt runs.
pub(super) const MIN_STATUS_QUERY_SPACING_NS: u64 = 50 * NANOS_PER_MS;
/// Mean time between two lease renewals in normal operation, because each one has a cost.
const RENEWAL_INTERVAL_NS: u64 = 100 * NANOS_PER_MS;
/// How far lease renewals may be ahead of this pace, so that single ends are reported at once.
const RENEWAL_BURST_NS: u64 = 200 * NANOS_PER_MS;
/// Shortest delay of a lease renewal while listed ends are not acknowledged yet, because the worker would
/// answer it at once.
const UNACKNOWLEDGED_DELAY_NS: u64 = 100 * NANOS_PER_MS;

/// Schedule of the lease renewals of a session. Times are nanoseconds of the steady clock.
#[derive(Debug, Default)]
pub(super) struct LeaseRenewalSchedule {
    /// How far lease renewals may be ahead of the usual pace.
    burst: u64,
    last_sent: Option<u64>,
    /// Time up to which the lease renewals sent so far use up the usual pace.
    paced_until: u64,
    /// Whether the last lease renewal carried a deadline.
    carried_deadline: bool,
    last_lists_at: u64,
    failures: u32,
    not_before: u64,
    /// Number of consecutive answers without a new end while ends were not acknowledged.
    unacknowledged_lists: u32,
}

impl LeaseRenewalSchedule {
    /// Creates the schedule of a session. With `bursts`, several lease renewals may follow each other
    /// quickly.
    pub(super) fn new(bursts: bool) -> Self {
        let burst = if bursts { RENEWAL_BURST_NS } else { 0 };
        LeaseRenewalSchedule { burst, ..LeaseRenewalSchedule::default() }
    }

    /// Records an answered lease renewal.
    pub(super) fn record_answer(&mut self, now: u64, has_new_ends: bool) {
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
    pub(super) fn record_acknowledgement(&mut self) {
        self.unacknowledged_lists = 0;
    }

    /// Records a lease renewal that was refused or got no answer.
    pub(super) fn record_failure(&mut self, now: u64) {
        self.not_before = now.saturating_add(exponential_backoff(RETRY_DELAY_NS, self.failures));
        self.failures = self.failures.saturating_add(1);
    }

    /// Records a lease renewal that this process withheld. It is repeated after a constant delay, however
    /// often it was withheld.
    pub(super) fn record_withheld(&mut self, now: u64) {
        self.not_before = now.saturating_add(RETRY_DELAY_NS);
    }

    /// Records a lease renewal that was sent.
    pub(super) fn record_sent(&mut self, now: u64, carries_deadline: bool) {
        self.last_sent = Some(now);
        // Status queries that settle uncertain attempts come faster than the usual pace. The cap prevents
        // them from delaying ordinary lease renewals for longer.
        let furthest = now.saturating_add(RENEWAL_INTERVAL_NS).saturating_add(self.burst);
        self.paced_until = self.paced_until.max(now).saturating_add(RENEWAL_INTERVAL_NS).min(furthest);
        self.carried_deadline = carries_deadline;
    }

    /// Time at which the newest lists were received; 0 if none were.
    pub(super) fn last_lists_at(&self) -> u64 {
        self.last_lists_at
    }

    /// Whether the last lease renewal carried a deadline.
    pub(super) fn carried_deadline(&self) -> bool {
        self.carried_deadline
    }

    /// Earliest time of the next lease renewal according to the backoff after failures.
    pub(super) fn not_before(&self) -> u64 {
        self.not_before
    }

    /// Earliest time of the next lease renewal at the usual pace.
    pub(super) fn next_paced(&self) -> u64 {
        self.paced_until.saturating_sub(self.burst)
    }

    /// Earliest time of the next lease renewal while listed ends are not acknowledged.
    pub(super) fn next_paced_while_unacknowledged(&self) -> u64 {
        let delay = exponential_backoff(UNACKNOWLEDGED_DELAY_NS, self.unacknowledged_lists);
        self.next_paced().max(self.last_lists_at.saturating_add(delay))
    }

    /// Time at which `spacing` has passed since the last lease renewal.
    pub(super) fn after_spacing(&self, spacing: u64) -> u64 {
        self.last_sent.map_or(0, |sent| sent.saturating_add(spacing))
    }
}
