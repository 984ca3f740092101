//! Exponential backoff: delays that double with each failure.

use crate::time::NANOS_PER_MS;

/// Shortest delay before a failed call is repeated.
pub(super) const RETRY_DELAY_NS: u64 = 100 * NANOS_PER_MS;
/// Upper bound of all delays.
const MAX_DELAY_NS: u64 = 800 * NANOS_PER_MS;

/// Returns `delay` doubled `failures` times, at most `MAX_DELAY_NS`.
pub(super) fn exponential_backoff(delay: u64, failures: u32) -> u64 {
    let factor = 1u64.checked_shl(failures).unwrap_or(u64::MAX);
    delay.saturating_mul(factor).min(MAX_DELAY_NS)
}
