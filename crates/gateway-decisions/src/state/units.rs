//! Conversion between the caller's clock in nanoseconds and the averages in seconds.

use crate::interface::names::Time;

/// Nanoseconds in a second.
const NANOS_PER_SECOND: f64 = 1e9;

/// Converts a time to seconds.
pub(crate) fn secs(time: Time) -> f64 {
    time as f64 / NANOS_PER_SECOND
}

/// Converts seconds to a time. Negative seconds become 0.
pub(crate) fn nanos(seconds: f64) -> Time {
    (seconds.max(0.0) * NANOS_PER_SECOND) as Time
}
