//! Limits the rate of requests for pages of the platform's list. The platform has one rate limit for all
//! callers together.

use std::time::Duration;

/// Fraction of the platform's rate that one reader uses. During a change of leaders, two processes read at
/// the same time.
const RATE_FRACTION: f64 = 0.5;
/// Maximum delay between two pages.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// The rate limit of one reader.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PageRateLimiter {
    calls_per_s: f64,
}

impl PageRateLimiter {
    /// Creates a limiter for a platform that accepts `rate_per_s` calls per second from all callers together.
    /// A rate that is not positive and finite means no limit.
    pub fn new(rate_per_s: f64) -> Self {
        let is_limited = rate_per_s.is_finite() && rate_per_s > 0.0;
        PageRateLimiter { calls_per_s: if is_limited { rate_per_s * RATE_FRACTION } else { f64::INFINITY } }
    }

    /// The delay before the page with this number, counted from 0. The first pages, as many as one second
    /// allows, have no delay.
    pub fn delay_before(self, page: usize) -> Duration {
        if (page as f64) < self.calls_per_s.max(1.0) {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(1.0 / self.calls_per_s).unwrap_or(MAX_DELAY).min(MAX_DELAY)
    }
}
