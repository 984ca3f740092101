//! Conversion factors between units of time. All instants and durations inside the crate are integers. They
//! are in nanoseconds unless the name ends in `_ms` for milliseconds; instants in nanoseconds are on a
//! steady clock.

/// Nanoseconds per millisecond.
pub(crate) const NANOS_PER_MS: u64 = 1_000_000;
/// Nanoseconds per second.
pub(crate) const NANOS_PER_S: u64 = 1_000 * NANOS_PER_MS;
