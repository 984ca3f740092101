//! Estimate of how long a worker takes to answer, and the timeouts after which an answer is missing.

use std::collections::VecDeque;

use crate::time::NANOS_PER_MS;

/// Lower bound of the answer timeout.
const MIN_ANSWER_TIMEOUT_NS: u64 = 300 * NANOS_PER_MS;
/// Lower bound of the answer timeout for starts to a worker whose recent answers were all quick. It is
/// shorter because the task waits until the outcome of its start is known.
const MIN_START_ANSWER_TIMEOUT_NS: u64 = 120 * NANOS_PER_MS;
/// Number of recent answers that determine how quickly a worker answers.
const RECENT_ANSWER_COUNT: usize = 16;
/// The timeout for the answer to a start is at least this multiple of the slowest recent answer. The
/// product is clamped to the range between the two lower bounds above.
const START_TIMEOUT_FACTOR: u64 = 2;
/// The newest answer has the weight `1 / MEAN_DIVISOR` in the mean.
const MEAN_DIVISOR: u64 = 8;
/// The newest answer has the weight `1 / DEVIATION_DIVISOR` in the mean deviation.
const DEVIATION_DIVISOR: u64 = 4;
/// Number of mean deviations by which an answer may exceed the mean.
const DEVIATION_FACTOR: u64 = 4;

/// Running mean and mean deviation of the time between a call and its answer, as in TCP's retransmission
/// timer (RFC 6298, section 2), in nanoseconds.
#[derive(Debug, Default)]
pub(super) struct RoundTripEstimate {
    mean: Option<u64>,
    deviation: u64,
    /// The most recent times, oldest first; at most `RECENT_ANSWER_COUNT`.
    recent: VecDeque<u64>,
}

impl RoundTripEstimate {
    /// Updates the estimate by the time that an answer without a wait took.
    pub(super) fn observe(&mut self, elapsed: u64) {
        if self.recent.len() == RECENT_ANSWER_COUNT {
            self.recent.pop_front();
        }
        self.recent.push_back(elapsed);
        let Some(mean) = self.mean else {
            self.mean = Some(elapsed);
            self.deviation = elapsed / 2;
            return;
        };
        let error = mean.abs_diff(elapsed);
        self.deviation = (self.deviation * (DEVIATION_DIVISOR - 1) + error) / DEVIATION_DIVISOR;
        self.mean = Some((mean * (MEAN_DIVISOR - 1) + elapsed) / MEAN_DIVISOR);
    }

    /// How long an answer may take before it counts as missing: at most `max`, and exactly `max` before the
    /// first answer.
    pub(super) fn answer_timeout(&self, max: u64) -> u64 {
        self.timeout_within(MIN_ANSWER_TIMEOUT_NS, max)
    }

    /// How long the answer to a start may take before it counts as missing: at most `max`, and exactly
    /// `max` before the first answer.
    pub(super) fn start_answer_timeout(&self, max: u64) -> u64 {
        self.timeout_within(self.min_start_answer_timeout(), max)
    }

    fn min_start_answer_timeout(&self) -> u64 {
        if self.recent.len() < RECENT_ANSWER_COUNT {
            return MIN_ANSWER_TIMEOUT_NS;
        }
        let slowest = self.recent.iter().copied().max().unwrap_or(MIN_ANSWER_TIMEOUT_NS);
        slowest.saturating_mul(START_TIMEOUT_FACTOR).clamp(MIN_START_ANSWER_TIMEOUT_NS, MIN_ANSWER_TIMEOUT_NS)
    }

    fn timeout_within(&self, min: u64, max: u64) -> u64 {
        let Some(mean) = self.mean else {
            return max;
        };
        let usual = mean.saturating_add(self.deviation.saturating_mul(DEVIATION_FACTOR));
        usual.max(min).min(max)
    }
}
