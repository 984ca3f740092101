//! Bookkeeping of the reads of the platform's list: which is under way, when the next one is due.

use crate::time::NANOS_PER_MS;

/// A read of which nothing is heard for this long is asked for again, in nanoseconds.
const READ_TIMEOUT_NS: u64 = 4_000 * NANOS_PER_MS;
/// Least time between the end of a read and the next one, in nanoseconds.
const MIN_READ_PAUSE_NS: u64 = 100 * NANOS_PER_MS;
/// The longest backoff between two reads of the list, as a multiple of the usual interval.
const MAX_BACKOFF_FACTOR: u32 = 2;

/// The reads of the list.
#[derive(Debug, Default)]
pub(super) struct ListReads {
    /// How many reads were completed.
    completed: u64,
    /// Failed reads since the last one that was completed.
    failures: u32,
    /// When the outstanding read was asked for; `None` if none is outstanding.
    requested_at: Option<u64>,
    /// When that read was asked for, or when its newest page came.
    last_activity_at: u64,
}

impl ListReads {
    /// The number of the read whose pages come now, from 1 on.
    pub(super) fn current_read(&self) -> u64 {
        self.completed + 1
    }

    /// Whether the outstanding read may still give something.
    pub(super) fn is_outstanding(&self, now: u64) -> bool {
        self.requested_at.is_some() && now < self.times_out_at()
    }

    /// When the outstanding read is given up.
    pub(super) fn times_out_at(&self) -> u64 {
        self.last_activity_at + READ_TIMEOUT_NS
    }

    /// A read was asked for.
    pub(super) fn requested(&mut self, now: u64) {
        self.requested_at = Some(now);
        self.last_activity_at = now;
    }

    /// A page of the outstanding read came.
    pub(super) fn page_received(&mut self, now: u64) {
        self.last_activity_at = now;
    }

    /// The outstanding read came to its end, or failed.
    pub(super) fn read_ended(&mut self, is_complete: bool) {
        if is_complete {
            self.completed += 1;
            self.failures = 0;
        } else {
            self.failures = self.failures.saturating_add(1);
        }
    }

    /// Ends the outstanding read, and gives when the next one is due. The interval counts from the beginning of the read
    /// that ends: a slow one delays the next as little as possible.
    pub(super) fn next_due(&mut self, now: u64, interval_ms: u64, jitter_ms: u64) -> u64 {
        let factor = u64::from((1 << self.failures.min(8)).min(MAX_BACKOFF_FACTOR));
        let started_at = self.requested_at.take().unwrap_or(now);
        let due = started_at + (interval_ms * factor + jitter_ms) * NANOS_PER_MS;
        due.max(now + MIN_READ_PAUSE_NS)
    }
}
