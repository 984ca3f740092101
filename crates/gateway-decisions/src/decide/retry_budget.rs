//! The budget for retries that add load to the servers.

use crate::interface::Time;
use crate::state::secs;

/// Retries of attempts that may have run or were rejected as full, as a share of first attempts. The share is
/// lower while load shedding restricts the fleet.
const RETRY_SHARE: f64 = 0.2;

/// The retry budget, in retries. First attempts add to it, retries take from it.
pub(super) struct RetryBudget {
    pub(super) tokens: f64,
    /// EWMA of the attempts sent per second.
    sent_rate: f64,
    /// Time up to which `sent_rate` has decayed.
    sent_at: Time,
}

impl RetryBudget {
    /// The initial budget. `draw`, a random number in 0..1, makes gateways that start together differ.
    pub(super) fn new(draw: f64, now: Time) -> Self {
        RetryBudget { tokens: draw + RETRY_SHARE, sent_rate: 0.0, sent_at: now }
    }

    /// Whether the budget covers one retry.
    pub(super) fn covers_retry(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes one retry from the budget.
    pub(super) fn charge(&mut self) {
        self.tokens -= 1.0;
    }

    /// Adds the amount that a first attempt earns while `open_share` of the servers' limits is open. The
    /// budget is limited to one retry plus what the attempts of `memory_seconds` earn.
    pub(super) fn earn(&mut self, open_share: f64, memory_seconds: f64) {
        let most = 1.0 + RETRY_SHARE * self.sent_rate * memory_seconds;
        self.tokens = (self.tokens + RETRY_SHARE * open_share).min(most);
    }

    /// Counts a sent attempt.
    pub(super) fn count_sent(&mut self, now: Time, memory_seconds: f64) {
        let kept = (-secs(now - self.sent_at) / memory_seconds).exp();
        self.sent_rate = self.sent_rate * kept + 1.0 / memory_seconds;
        self.sent_at = now;
    }
}
