//! A roll server: so many cores, a waiting room, a cold start, and what it cannot bear.

use gateway_decisions::Time;
use std::collections::VecDeque;

/// What a server makes of a request that comes in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is worked on, and done then.
    Started(Time),
    Queued,
    /// The waiting room is full, or the server wants nothing new.
    Rejected,
}

/// A server's own state. Who reaches it, and whether it answers, is the world's business.
#[derive(Clone, Debug)]
pub struct Server {
    cores: u32,
    waiting: usize,
    busy: u32,
    /// What waits: the attempt and its work on a warm core.
    queue: VecDeque<(u64, Time)>,
    /// Its start; none if it has been warm since long ago.
    pub started: Option<Time>,
    cold: Time,
    cold_from: f64,
    fall: Time,
    fall_multiple: f64,
    /// The work that has come of late and that it could not have done meanwhile, even at the multiple of its capacity.
    pressure: f64,
    pressed: Time,
    /// It was sent more than it bears, cold, and does nothing any more.
    pub collapsed: bool,
    pub draining: bool,
    /// It turns all away at once, whatever room it has.
    pub refusing: bool,
    /// How much longer it takes than usual.
    pub slowdown: f64,
}

/// The figures of a server's model. Times in nanoseconds.
#[derive(Clone, Copy, Debug)]
pub struct ServerParameters {
    pub cores: u32,
    pub waiting: u32,
    pub cold: Time,
    pub cold_from: f64,
    pub fall: Time,
    pub fall_multiple: f64,
}

impl Server {
    pub fn new(build: ServerParameters) -> Self {
        Server {
            cores: build.cores,
            waiting: build.waiting as usize,
            busy: 0,
            queue: VecDeque::new(),
            started: None,
            cold: build.cold,
            cold_from: build.cold_from,
            fall: build.fall,
            fall_multiple: build.fall_multiple,
            pressure: 0.0,
            pressed: 0,
            collapsed: false,
            draining: false,
            refusing: false,
            slowdown: 1.0,
        }
    }

    /// Starts anew, cold, with nothing in hand.
    pub fn restart(&mut self, now: Time) {
        (self.busy, self.pressure, self.pressed) = (0, 0.0, now);
        self.queue.clear();
        (self.started, self.collapsed, self.draining) = (Some(now), false, false);
    }

    /// The part of its capacity that it has now: it climbs evenly from a cold start.
    pub fn warmth(&self, now: Time) -> f64 {
        match self.started {
            Some(at) if now < at + self.cold => {
                self.cold_from + (1.0 - self.cold_from) * (now - at) as f64 / self.cold as f64
            }
            _ => 1.0,
        }
    }

    /// The work that it can do now, in warm cores, and the part of it that is in use.
    pub fn cores(&self, now: Time) -> [f64; 2] {
        let each = if self.collapsed || self.refusing {
            0.0
        } else {
            self.warmth(now) / self.slowdown.max(f64::MIN_POSITIVE)
        };
        [f64::from(self.cores) * each, f64::from(self.busy) * each]
    }

    /// Requests in hand, waiting ones among them.
    pub fn held(&self) -> usize {
        self.busy as usize + self.queue.len()
    }

    /// An attempt comes in with so much work. All that comes presses, also what is turned away.
    pub fn admit(&mut self, attempt: u64, work: Time, now: Time) -> Admission {
        self.press(work, now);
        if self.collapsed || self.draining || self.refusing {
            return Admission::Rejected;
        }
        if self.busy < self.cores {
            self.busy += 1;
            return Admission::Started(now + self.time(work, now));
        }
        if self.queue.len() >= self.waiting {
            return Admission::Rejected;
        }
        self.queue.push_back((attempt, work));
        Admission::Queued
    }

    /// One is done. What waited longest begins: the attempt, and when it is done.
    pub fn complete(&mut self, now: Time) -> Option<(u64, Time)> {
        match self.queue.pop_front() {
            Some((attempt, work)) => Some((attempt, now + self.time(work, now))),
            None => {
                self.busy = self.busy.saturating_sub(1);
                None
            }
        }
    }

    fn time(&self, work: Time, now: Time) -> Time {
        (work as f64 * self.slowdown / self.warmth(now)) as Time
    }

    /// Within any span of `fall` a cold server bears the multiple of what it can do in that span.
    fn press(&mut self, work: Time, now: Time) {
        let warmth = self.warmth(now);
        let bears = self.fall_multiple * warmth * f64::from(self.cores);
        self.pressure = (self.pressure - bears * (now - self.pressed) as f64).max(0.0) + work as f64;
        self.pressed = now;
        if warmth < 1.0 && self.pressure > bears * self.fall as f64 {
            self.collapsed = true;
        }
    }
}
