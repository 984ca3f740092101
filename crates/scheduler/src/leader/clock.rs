//! The time of day, extrapolated between two ticks.

use crate::time::NANOS_PER_MS;

/// A simultaneous reading of the monotonic clock and the time of day.
#[derive(Debug, Clone, Copy)]
struct Tick {
    /// Nanoseconds of the monotonic clock.
    at: u64,
    /// Milliseconds since 1970.
    time_of_day_ms: u64,
}

/// Time of day, advanced from the last tick by the monotonic clock.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct WallClock {
    last_tick: Option<Tick>,
}

impl WallClock {
    /// Sets the time of day at `now`.
    pub(super) fn set(&mut self, now: u64, time_of_day_ms: u64) {
        self.last_tick = Some(Tick { at: now, time_of_day_ms });
    }

    /// Returns whether there has been a tick.
    pub(super) fn is_known(&self) -> bool {
        self.last_tick.is_some()
    }

    /// Returns the time of day in milliseconds since 1970, or 0 before the first tick.
    pub(super) fn time_of_day_ms(&self, now: u64) -> u64 {
        let Some(Tick { at, time_of_day_ms }) = self.last_tick else { return 0 };
        time_of_day_ms.saturating_add(now.saturating_sub(at) / NANOS_PER_MS)
    }

    /// Returns the monotonic time at which the time of day will be `time_of_day_ms`. The result is never too
    /// early.
    pub(super) fn steady_time_at(&self, now: u64, time_of_day_ms: u64) -> u64 {
        let wait_ms = time_of_day_ms.saturating_sub(self.time_of_day_ms(now));
        now.saturating_add(wait_ms.saturating_mul(NANOS_PER_MS))
    }
}
