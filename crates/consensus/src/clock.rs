//! Time on the monotonic clock: points in time are nanoseconds since an origin that the caller chooses.

use std::time::Duration;

/// Converts a duration to nanoseconds. A duration that does not fit becomes `u64::MAX`.
pub(crate) fn nanoseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
