//! Units and fixed times of a play.

use gateway_decisions::Time;

/// Nanoseconds in a second, and in a millisecond.
pub const SECOND: f64 = 1e9;
pub const MS: f64 = 1e6;

/// Converts a value in units of `unit` nanoseconds to nanoseconds.
pub fn ns(value: f64, unit: f64) -> Time {
    (value * unit) as Time
}

/// Start of a play in Unix time. Any time but 0 would do: 0 stands for a time long before the play.
pub const START_NS: Time = 1_000_000 * 1_000_000_000;
/// Period at which the meter reports the customers' use.
pub const METER_PERIOD_NS: Time = 500_000_000;
/// Time after a request's deadline within which the final answer may still be given.
pub const ANSWER_SLACK_NS: Time = 8_000_000;
/// Time within which a gateway may still send to a server after it was announced as draining or removed.
pub const DRAIN_GRACE_NS: Time = 500_000_000;
