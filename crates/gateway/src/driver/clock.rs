//! The decision engine's clock.

use gateway_decisions::Time;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The engine's clock: monotonic nanoseconds of Unix time. Unix time, because discovery gives the start times
/// of backends in it.
pub struct Clock {
    start: Instant,
    unix: Time,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix: unix.as_nanos() as Time }
    }

    /// Converts an instant to the engine's time.
    pub fn time(&self, at: Instant) -> Time {
        self.unix + at.saturating_duration_since(self.start).as_nanos() as Time
    }

    /// Converts the engine's time to an instant, at most an hour from now.
    pub fn instant(&self, time: Time) -> Instant {
        let far = Duration::from_secs(3600);
        self.start + Duration::from_nanos(time.saturating_sub(self.unix)).min(self.start.elapsed() + far)
    }
}
