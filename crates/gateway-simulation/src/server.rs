//! Model of a server: cores, a bounded queue, warm-up after a cold start, and collapse under overload while
//! cold.

use gateway_decisions::Time;
use std::collections::VecDeque;

/// A server's response to an arriving attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Work on the attempt has started and ends at this time.
    Started(Time),
    /// The attempt waits for a free core.
    Queued,
    /// The queue is full, or the server accepts no new requests.
    Rejected,
}

/// The state of a server. The caller models the network and whether the server answers.
#[derive(Clone, Debug)]
pub struct Server {
    cores: u32,
    queue_capacity: usize,
    busy: u32,
    /// Queued attempts, each with its work on a warm core in nanoseconds.
    queue: VecDeque<(u64, Time)>,
    /// The time of the last start; `None` if the server was warm from the beginning.
    pub started: Option<Time>,
    warm_up_time: Time,
    warm_up_from: f64,
    overload_tolerance: Time,
    overload_multiple: f64,
    /// Recent work in nanoseconds beyond `overload_multiple` times what the server could do since that work
    /// arrived.
    excess_work: f64,
    excess_updated: Time,
    /// The server collapsed under overload while cold and serves nothing until it is restarted.
    pub collapsed: bool,
    pub draining: bool,
    /// The server rejects every attempt at once, even with free capacity.
    pub refusing: bool,
    /// Factor by which service times are longer than usual.
    pub slowdown: f64,
}

/// Parameters of the server model. Times are in nanoseconds.
#[derive(Clone, Copy, Debug)]
pub struct ServerParameters {
    pub cores: u32,
    pub queue_capacity: u32,
    /// Time from a start until the server has its full capacity.
    pub warm_up_time: Time,
    /// Share of the full capacity at a start.
    pub warm_up_from: f64,
    /// A cold server collapses when the work that arrives within this time exceeds `overload_multiple` times
    /// the server's capacity.
    pub overload_tolerance: Time,
    pub overload_multiple: f64,
}

impl Server {
    pub fn new(parameters: ServerParameters) -> Self {
        Server {
            cores: parameters.cores,
            queue_capacity: parameters.queue_capacity as usize,
            busy: 0,
            queue: VecDeque::new(),
            started: None,
            warm_up_time: parameters.warm_up_time,
            warm_up_from: parameters.warm_up_from,
            overload_tolerance: parameters.overload_tolerance,
            overload_multiple: parameters.overload_multiple,
            excess_work: 0.0,
            excess_updated: 0,
            collapsed: false,
            draining: false,
            refusing: false,
            slowdown: 1.0,
        }
    }

    /// Restarts the server, cold and without requests.
    pub fn restart(&mut self, now: Time) {
        (self.busy, self.excess_work, self.excess_updated) = (0, 0.0, now);
        self.queue.clear();
        (self.started, self.collapsed, self.draining) = (Some(now), false, false);
    }

    /// Returns the share of the full capacity that the server has now; the share grows linearly after a cold
    /// start.
    pub fn warmth(&self, now: Time) -> f64 {
        match self.started {
            Some(at) if now < at + self.warm_up_time => {
                self.warm_up_from + (1.0 - self.warm_up_from) * (now - at) as f64 / self.warm_up_time as f64
            }
            _ => 1.0,
        }
    }

    /// Returns the current capacity in warm cores, and the part of it in use.
    pub fn cores(&self, now: Time) -> [f64; 2] {
        let per_core = if self.collapsed || self.refusing {
            0.0
        } else {
            self.warmth(now) / self.slowdown.max(f64::MIN_POSITIVE)
        };
        [f64::from(self.cores) * per_core, f64::from(self.busy) * per_core]
    }

    /// Returns the number of requests that are worked on or queued.
    pub fn in_flight(&self) -> usize {
        self.busy as usize + self.queue.len()
    }

    /// Starts, queues or rejects an attempt whose work on a warm core takes `work` nanoseconds. Rejected
    /// attempts count towards overload too.
    pub fn admit(&mut self, attempt: u64, work: Time, now: Time) -> Admission {
        self.record_load(work, now);
        if self.collapsed || self.draining || self.refusing {
            return Admission::Rejected;
        }
        if self.busy < self.cores {
            self.busy += 1;
            return Admission::Started(now + self.service_time(work, now));
        }
        if self.queue.len() >= self.queue_capacity {
            return Admission::Rejected;
        }
        self.queue.push_back((attempt, work));
        Admission::Queued
    }

    /// Completes one attempt and starts the one that has waited longest. Returns that attempt and its end
    /// time.
    pub fn complete(&mut self, now: Time) -> Option<(u64, Time)> {
        match self.queue.pop_front() {
            Some((attempt, work)) => Some((attempt, now + self.service_time(work, now))),
            None => {
                self.busy = self.busy.saturating_sub(1);
                None
            }
        }
    }

    fn service_time(&self, work: Time, now: Time) -> Time {
        (work as f64 * self.slowdown / self.warmth(now)) as Time
    }

    /// Adds arriving work. A cold server tolerates `overload_multiple` times its capacity within any span of
    /// `overload_tolerance` and collapses beyond it.
    fn record_load(&mut self, work: Time, now: Time) {
        let warmth = self.warmth(now);
        let tolerated = self.overload_multiple * warmth * f64::from(self.cores);
        self.excess_work =
            (self.excess_work - tolerated * (now - self.excess_updated) as f64).max(0.0) + work as f64;
        self.excess_updated = now;
        if warmth < 1.0 && self.excess_work > tolerated * self.overload_tolerance as f64 {
            self.collapsed = true;
        }
    }
}
