//! Units of simulated time. World times are nanoseconds since the start of the day.

/// Nanoseconds per millisecond.
pub const MS: u64 = 1_000_000;
/// Nanoseconds per second.
pub const SECOND: u64 = 1_000 * MS;
/// Wall-clock time at the start of a simulated day, in milliseconds since 1970.
pub const DAY_BEGINS_MS: u64 = 1_790_000_000_000;

/// Converts milliseconds to nanoseconds.
pub fn ms(milliseconds: u64) -> u64 {
    milliseconds.saturating_mul(MS)
}

/// Converts a world time to seconds.
pub fn seconds(at: u64) -> f64 {
    at as f64 / SECOND as f64
}
