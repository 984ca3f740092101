//! The clock by which missing answers of workers are judged.
//!
//! An answer that has arrived at this machine but was not read yet says nothing against the worker that
//! sent it. Therefore a time limit for an answer is judged only up to a moment before which all input was
//! read, and only time in which this process was able to send and read counts. Leases never use this clock.

/// A moment of the response clock in nanoseconds: the steady clock minus the time in which this process was
/// absent.
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

/// Clock that determines how far missing answers may be judged. A leader has one for all its workers.
///
/// By default it is the clock of a process that is never late: all input has been passed in as soon as it
/// arrived.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseClock {
    /// Total time for which this process was absent, in nanoseconds.
    absent: u64,
    /// Moment of the steady clock such that all input that arrived earlier has been passed in; `None` if
    /// all input that has arrived was passed in.
    read_until: Option<u64>,
}

impl ResponseClock {
    /// Records that all input that arrived before `at`, a moment of the steady clock, has been passed in.
    /// Later input may not have been.
    pub fn set_read_until(&mut self, at: u64) {
        self.read_until = self.read_until.max(Some(at));
    }

    /// Records that this process was absent for `span` nanoseconds, in which it neither sent nor read
    /// anything.
    pub fn add_absence(&mut self, span: u64) {
        self.absent = self.absent.saturating_add(span);
    }

    /// The time of this clock at `now`, a moment of the steady clock.
    pub(super) fn at(&self, now: u64) -> ResponseTime {
        ResponseTime(now.saturating_sub(self.absent))
    }

    /// Moment up to which missing answers may be judged at `now`.
    pub(super) fn judged_until(&self, now: u64) -> ResponseTime {
        self.at(self.read_until.map_or(now, |until| until.min(now)))
    }

    /// The moment of the steady clock at which this clock shows `time`, if this process is not absent until
    /// then.
    pub(super) fn steady(&self, time: ResponseTime) -> u64 {
        time.0.saturating_add(self.absent)
    }

    /// Whether `time` has passed at `now` but may not be judged before more input is read.
    pub(super) fn awaits_input(&self, time: ResponseTime, now: u64) -> bool {
        time <= self.at(now) && time > self.judged_until(now)
    }
}
