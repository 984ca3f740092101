//! Measurement of recent waits before a start, which detects a standing queue and its delay.

use crate::time::NANOS_PER_MS;

/// Length of an observation window.
const WINDOW_NS: u64 = 1_000 * NANOS_PER_MS;

/// The minimum wait among the starts of the current and the previous window.
///
/// The minimum is used instead of the mean. A step that waits for rare capacity says nothing about the steps
/// behind it. But if even the shortest wait is long, every newly arriving step will wait as long (a standing
/// queue, as in CoDel, RFC 8289).
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StartDelay {
    window_started_at: u64,
    current: Option<u64>,
    previous: Option<u64>,
}

impl StartDelay {
    /// Records the start of a step that had waited for `waited` nanoseconds.
    pub(super) fn record(&mut self, now: u64, waited: u64) {
        self.advance(now);
        self.current = Some(self.current.map_or(waited, |least| least.min(waited)));
    }

    /// Returns the minimum recent wait in nanoseconds, or 0 if nothing was started.
    pub(super) fn minimum(&mut self, now: u64) -> u64 {
        self.advance(now);
        [self.current, self.previous].into_iter().flatten().min().unwrap_or(0)
    }

    fn advance(&mut self, now: u64) {
        let elapsed = now.saturating_sub(self.window_started_at);
        if elapsed < WINDOW_NS {
            return;
        }
        let is_adjacent = elapsed < 2 * WINDOW_NS;
        self.previous = self.current.take().filter(|_| is_adjacent);
        self.window_started_at = now;
    }
}
