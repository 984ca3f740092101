//! How long steps have waited for their starts lately: whether a queue is standing, and for how long.

use crate::time::NANOS_PER_MS;

/// Length of a window of observation, in nanoseconds.
const WINDOW_NS: u64 = 1_000 * NANOS_PER_MS;

/// The least wait among the starts of the current window and the one before it.
///
/// The least and not the mean: a step that waits for rare capacity says nothing about those behind it, but where even
/// the shortest wait is long, every step that comes now will wait as long (a standing queue, as in CoDel, RFC 8289).
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StartDelay {
    window_started_at: u64,
    current: Option<u64>,
    previous: Option<u64>,
}

impl StartDelay {
    /// A step was started that had waited for `waited` nanoseconds.
    pub(super) fn record(&mut self, now: u64, waited: u64) {
        self.advance(now);
        self.current = Some(self.current.map_or(waited, |least| least.min(waited)));
    }

    /// The least wait of late, in nanoseconds; 0 if nothing was started.
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
