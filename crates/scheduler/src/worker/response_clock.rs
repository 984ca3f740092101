//! The clock by which missing answers of workers are judged.
//!
//! An answer that has arrived at this machine but was not read says nothing against the worker that gave it. So a time
//! limit for an answer is judged only up to a moment before which all that had arrived was read, and only time in which
//! this process was able to send and read counts. Leases never use this clock.

/// A moment of the clock, in nanoseconds: the steady clock less the time in which this process was absent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ResponseTime(u64);

impl ResponseTime {
    /// The moment `span` nanoseconds later.
    pub(super) fn after(self, span: u64) -> ResponseTime {
        ResponseTime(self.0.saturating_add(span))
    }

    /// Nanoseconds since `earlier`.
    pub(super) fn since(self, earlier: ResponseTime) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// How far missing answers may be judged. One leader has one clock for all its workers.
///
/// By default it is the clock of a process that is never late: all that has arrived is handed in at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseClock {
    /// How long this process was absent in total, in nanoseconds.
    absent: u64,
    /// Everything that arrived before this moment of the steady clock has been handed in; `None`: all that has arrived.
    read_until: Option<u64>,
}

impl ResponseClock {
    /// Everything that arrived before `at`, a moment of the steady clock, has been handed in; what arrived later may
    /// not have been.
    pub fn set_read_until(&mut self, at: u64) {
        self.read_until = self.read_until.max(Some(at));
    }

    /// This process was absent for `span` nanoseconds: it neither sent nor read anything.
    pub fn add_absence(&mut self, span: u64) {
        self.absent = self.absent.saturating_add(span);
    }

    /// This clock's time at `now`, a moment of the steady clock.
    pub(super) fn at(&self, now: u64) -> ResponseTime {
        ResponseTime(now.saturating_sub(self.absent))
    }

    /// Up to when missing answers may be judged at `now`.
    pub(super) fn judged_until(&self, now: u64) -> ResponseTime {
        self.at(self.read_until.map_or(now, |until| until.min(now)))
    }

    /// The moment of the steady clock at which this clock shows `time`, if this process is not absent meanwhile.
    pub(super) fn steady(&self, time: ResponseTime) -> u64 {
        time.0.saturating_add(self.absent)
    }

    /// Whether `time` has come at `now` but may not be judged before more input is read.
    pub(super) fn awaits_input(&self, time: ResponseTime, now: u64) -> bool {
        time <= self.at(now) && time > self.judged_until(now)
    }
}
