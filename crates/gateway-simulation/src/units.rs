//! Times of a play.

use gateway_decisions::Time;

/// Nanoseconds in a second, and in a millisecond.
pub const SECOND: f64 = 1e9;
pub const MS: f64 = 1e6;

/// So many of a unit in nanoseconds.
pub fn ns(value: f64, unit: f64) -> Time {
    (value * unit) as Time
}

/// When a play begins, as Unix time: any time that is not 0, which means long ago.
pub const START_NS: Time = 1_000_000 * 1_000_000_000;
/// How often the meter tells.
pub const METER_PERIOD_NS: Time = 500_000_000;
/// How long past its deadline a request may have its final answer.
pub const ANSWER_SLACK_NS: Time = 8_000_000;
/// How long after it was told draining or gone a server may be sent to.
pub const DRAIN_GRACE_NS: Time = 500_000_000;
