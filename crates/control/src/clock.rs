//! The process's monotonic clock, in the nanoseconds that the state machines use.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// One millisecond in nanoseconds.
pub const MILLISECOND: u64 = 1_000_000;
/// One second in nanoseconds.
pub const SECOND: u64 = 1_000 * MILLISECOND;

/// A monotonic clock that counts nanoseconds since its creation.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock { origin: Instant::now() }
    }

    /// Nanoseconds since the clock started.
    pub fn now(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_nanos()).unwrap_or(u64::MAX)
    }

    /// The instant at which `now` will return `at`. Times more than a day ahead are limited to one day.
    pub fn instant(&self, at: u64) -> Instant {
        const DAY: u64 = 24 * 3_600 * SECOND;
        let latest = self.now().saturating_add(DAY);
        self.origin + Duration::from_nanos(at.min(latest))
    }
}

/// Wall-clock time in milliseconds since 1970; it may jump.
pub fn time_of_day_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
