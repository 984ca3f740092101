//! Bounds of a worker's clock, derived from the `NowMs` of its answers.

use crate::time::NANOS_PER_MS;

/// The rates of two steady clocks differ by at most this fraction: 1/50, or 2%.
const DRIFT_DIVISOR: u64 = 50;

/// A bound of the worker's clock at one moment of this machine's clock, both in nanoseconds.
#[derive(Clone, Copy, Debug)]
struct ClockBound {
    at: u64,
    clock: u64,
}

/// Certain bounds of a worker's clock.
///
/// The worker's clock showed `NowMs` at some moment between the sending of the call and the receipt of its
/// answer, and it runs at 0.98 to 1.02 times the rate of this machine's clock. Each answer therefore gives
/// a lower bound that holds from its receipt on, and an upper bound that holds from the sending of its call
/// on. The tightest bound of each kind is kept. Worker leases rely on both uses of the lower bound: a
/// deadline is set from the lower bound, and it counts as passed only once the lower bound has reached it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ClockEstimate {
    lower_bound: Option<ClockBound>,
    upper_bound: Option<ClockBound>,
    last_observed_at: u64,
}

impl ClockEstimate {
    /// Updates the bounds by the `NowMs` of an answer received at `received` to a call sent at `sent`.
    pub(super) fn observe(&mut self, sent: u64, received: u64, now_ms: u64) {
        let clock = now_ms.saturating_mul(NANOS_PER_MS);
        if self.lower_bound(received).is_none_or(|known| clock > known) {
            self.lower_bound = Some(ClockBound { at: received, clock });
        }
        // `NowMs` is rounded down to a whole millisecond.
        let above = clock.saturating_add(NANOS_PER_MS);
        if self.upper_bound(sent).is_none_or(|known| above < known) {
            self.upper_bound = Some(ClockBound { at: sent, clock: above });
        }
        self.last_observed_at = self.last_observed_at.max(received);
    }

    /// Whether any answer has told the worker's clock.
    pub(super) fn is_known(&self) -> bool {
        self.lower_bound.is_some()
    }

    /// Time of the newest answer, in nanoseconds of this machine's clock.
    pub(super) fn last_observed_at(&self) -> u64 {
        self.last_observed_at
    }

    /// The lowest time that the worker's clock can show at `now`, in nanoseconds; `None` if the clock is
    /// unknown.
    pub(super) fn lower_bound(&self, now: u64) -> Option<u64> {
        let bound = self.lower_bound?;
        let passed = now.saturating_sub(bound.at);
        Some(bound.clock.saturating_add(min_advance(passed)))
    }

    /// The highest time that the worker's clock can show at `at`, in nanoseconds; `None` if the clock is
    /// unknown. `at` may be earlier than the first answer.
    pub(super) fn upper_bound(&self, at: u64) -> Option<u64> {
        let bound = self.upper_bound?;
        if at >= bound.at {
            let passed = at - bound.at;
            return Some(bound.clock.saturating_add(passed.saturating_add(passed / DRIFT_DIVISOR)));
        }
        Some(bound.clock.saturating_sub(min_advance(bound.at - at)))
    }

    /// Time of this machine's clock at which the worker's clock has certainly reached `clock`
    /// (nanoseconds); `None` if the clock is unknown.
    pub(super) fn certainly_reached_at(&self, clock: u64) -> Option<u64> {
        let bound = self.lower_bound?;
        let missing = clock.saturating_sub(bound.clock);
        Some(bound.at.saturating_add(max_time_to_advance(missing)))
    }
}

/// The least by which a worker's clock advances in `passed` nanoseconds of this machine's clock.
fn min_advance(passed: u64) -> u64 {
    passed - passed.div_ceil(DRIFT_DIVISOR)
}

/// The longest time of this machine's clock that a worker's clock needs to advance by `span` nanoseconds.
pub(super) fn max_time_to_advance(span: u64) -> u64 {
    span.saturating_add(span / (DRIFT_DIVISOR - 1)).saturating_add(2)
}
