//! Units of the steady clock.

/// Nanoseconds in a millisecond.
pub(super) const NANOS_PER_MS: u64 = 1_000_000;
