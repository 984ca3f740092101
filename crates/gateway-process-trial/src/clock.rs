//! The one clock of a trial: what stand-ins, relays and clients see is told in its time.

use gateway_decisions::Time;
use gateway_simulation::units::START_NS;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Goes from [`START_NS`] on, the begin of the play; before it is less than that.
#[derive(Clone)]
pub struct Clock(Rc<Cell<Instant>>);

impl Default for Clock {
    fn default() -> Self {
        Clock(Rc::new(Cell::new(Instant::now())))
    }
}

impl Clock {
    /// The play begins now: by so much less is what was told before.
    pub fn begin(&self) -> Time {
        let now = Instant::now();
        now.duration_since(self.0.replace(now)).as_nanos() as Time
    }

    pub fn now(&self) -> Time {
        self.of(Instant::now())
    }

    pub fn of(&self, at: Instant) -> Time {
        let begin = self.0.get();
        match at.checked_duration_since(begin) {
            Some(since) => START_NS + since.as_nanos() as Time,
            None => START_NS - begin.duration_since(at).as_nanos() as Time,
        }
    }

    /// When the clock shows this.
    pub fn at(&self, time: Time) -> Instant {
        self.0.get() + Duration::from_nanos(time.saturating_sub(START_NS))
    }

    /// The second of the play, if it has begun.
    pub fn second(&self) -> Option<usize> {
        self.now().checked_sub(START_NS).map(|since| (since / 1_000_000_000) as usize)
    }
}

/// As machines tell each other when something began.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
