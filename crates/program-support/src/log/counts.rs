//! Counters of log lines, from the queue to the writer.

use std::sync::atomic::AtomicU64;

/// The number of lines since the start, by outcome.
#[derive(Default)]
pub(super) struct Counts {
    /// Passed to the queue, which may have dropped them.
    pub(super) queued: AtomicU64,
    /// Written by the thread of the log.
    pub(super) written: AtomicU64,
    /// Not written by the thread of the log because the write failed.
    pub(super) failed: AtomicU64,
    /// Suppressed by the rate limit.
    pub(super) suppressed: AtomicU64,
}
