//! The clock of a trial. Stand-ins, relays and clients take all timestamps from it.

use gateway_decisions::Time;
use gateway_simulation::units::START_NS;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Shows [`START_NS`] when the measured run starts, and less before that.
#[derive(Clone)]
pub struct Clock(Rc<Cell<Instant>>);

impl Default for Clock {
    fn default() -> Self {
        Clock(Rc::new(Cell::new(Instant::now())))
    }
}

impl Clock {
    /// Sets the start of the run to the present moment. Returns the nanoseconds by which earlier timestamps
    /// have to be reduced.
    pub fn set_start(&self) -> Time {
        let now = Instant::now();
        now.duration_since(self.0.replace(now)).as_nanos() as Time
    }

    pub fn now(&self) -> Time {
        self.time_of(Instant::now())
    }

    /// What the clock shows at a moment.
    pub fn time_of(&self, at: Instant) -> Time {
        let start = self.0.get();
        match at.checked_duration_since(start) {
            Some(elapsed) => START_NS + elapsed.as_nanos() as Time,
            None => START_NS - start.duration_since(at).as_nanos() as Time,
        }
    }

    /// The moment at which the clock shows `time`.
    pub fn instant_at(&self, time: Time) -> Instant {
        self.0.get() + Duration::from_nanos(time.saturating_sub(START_NS))
    }

    /// The current second of the run; `None` before it starts.
    pub fn second(&self) -> Option<usize> {
        self.now().checked_sub(START_NS).map(|elapsed| (elapsed / 1_000_000_000) as usize)
    }
}

/// The current Unix time in milliseconds, as in `boot_ms` of servers.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
