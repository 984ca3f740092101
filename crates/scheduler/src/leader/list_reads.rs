//! Bookkeeping for reads of the platform's instance list: the outstanding read and the time of the next one.

use crate::time::NANOS_PER_MS;

/// Inactivity timeout of a read. After it the list is requested again.
const READ_TIMEOUT_NS: u64 = 4_000 * NANOS_PER_MS;
/// Minimum time between the end of a read and the next one.
const MIN_READ_PAUSE_NS: u64 = 100 * NANOS_PER_MS;
/// Maximum backoff between two reads, as a multiple of the regular interval.
const MAX_BACKOFF_FACTOR: u32 = 2;

/// State of the reads of the list.
#[derive(Debug, Default)]
pub(super) struct ListReads {
    /// Number of completed reads.
    completed: u64,
    /// Number of failed reads since the last completed one.
    failures: u32,
    /// When the outstanding read was requested; `None` if no read is outstanding.
    requested_at: Option<u64>,
    /// When the outstanding read was requested or its newest page arrived.
    last_activity_at: u64,
}

impl ListReads {
    /// The number of the read whose pages are arriving now, counted from 1.
    pub(super) fn current_read(&self) -> u64 {
        self.completed + 1
    }

    /// Returns whether a read is outstanding and has not timed out.
    pub(super) fn is_outstanding(&self, now: u64) -> bool {
        self.requested_at.is_some() && now < self.times_out_at()
    }

    /// When the outstanding read times out.
    pub(super) fn times_out_at(&self) -> u64 {
        self.last_activity_at + READ_TIMEOUT_NS
    }

    /// Records the request of a read.
    pub(super) fn requested(&mut self, now: u64) {
        self.requested_at = Some(now);
        self.last_activity_at = now;
    }

    /// Records a page of the outstanding read.
    pub(super) fn page_received(&mut self, now: u64) {
        self.last_activity_at = now;
    }

    /// Records the end of the outstanding read: complete or failed.
    pub(super) fn read_ended(&mut self, is_complete: bool) {
        if is_complete {
            self.completed += 1;
            self.failures = 0;
        } else {
            self.failures = self.failures.saturating_add(1);
        }
    }

    /// Clears the outstanding read and returns when the next one is due. The interval counts from the request
    /// of the read that ends, so that a slow read delays the next one as little as possible.
    pub(super) fn next_due(&mut self, now: u64, interval_ms: u64, jitter_ms: u64) -> u64 {
        let factor = u64::from((1 << self.failures.min(8)).min(MAX_BACKOFF_FACTOR));
        let started_at = self.requested_at.take().unwrap_or(now);
        let due = started_at + (interval_ms * factor + jitter_ms) * NANOS_PER_MS;
        due.max(now + MIN_READ_PAUSE_NS)
    }
}
