//! State of one attempt on the worker, as far as the session knows it.

use super::types::StartOrder;

/// Phase of an attempt, as far as it is known.
///
/// Calls are numbered in the order in which they are sent. `conclusive_from` is the number of the first
/// call sent after the last event of the attempt. Only the lists of this call or a later one are
/// conclusive, that is, can show that the attempt is absent.
#[derive(Clone, Debug)]
pub(super) enum AttemptPhase {
    /// The start has certainly not been sent. It may not be sent before `not_before`, in nanoseconds of the
    /// steady clock.
    Queued { order: StartOrder, failed_sends: u32, not_before: u64 },
    /// The start is in flight.
    Sending { call: u64, order: StartOrder, failed_sends: u32 },
    /// The attempt was running. A conclusive list without it shows that it no longer is.
    Running { conclusive_from: u64 },
    /// It is unknown whether the attempt runs. `absent` is true if a conclusive list lacked it.
    Uncertain { conclusive_from: u64, absent: bool },
}

/// Progress of stopping an attempt. Times are nanoseconds of the steady clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopProgress {
    /// No stop has been sent, or the stop has to be sent again.
    Idle,
    /// A stop is in flight.
    InFlight { call: u64 },
    /// A stop was not answered and is sent again at `at`.
    Retry { at: u64 },
    /// A stop was answered. Calls from `conclusive_from` on were sent after that. If the attempt is
    /// still listed as running at `repeat_at` or later, the stop is sent again.
    Answered { conclusive_from: u64, repeat_at: u64 },
}

/// State of one attempt on the worker.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) phase: AttemptPhase,
    pub(super) stop: StopProgress,
    /// Number of unanswered stops since the last answered one.
    pub(super) failed_stops: u32,
    /// Whether the attempt is no longer wanted and has to be stopped.
    pub(super) unwanted: bool,
    /// Whether this session was never asked for the attempt. Only its end is reported.
    pub(super) orphan: bool,
    /// Whether it was reported that the attempt runs.
    pub(super) start_reported: bool,
    pub(super) checkpoint: String,
    pub(super) percent: u32,
}

impl Attempt {
    /// Creates an attempt that is to be started.
    pub(super) fn queued(order: StartOrder) -> Self {
        Attempt::with_phase(AttemptPhase::Queued { order, failed_sends: 0, not_before: 0 })
    }

    /// Creates an attempt that an earlier leader started or meant to start.
    pub(super) fn adopted() -> Self {
        Attempt::with_phase(AttemptPhase::Uncertain { conclusive_from: 0, absent: false })
    }

    /// Creates an attempt that runs on the worker although this session was not asked for it.
    pub(super) fn orphan(conclusive_from: u64) -> Self {
        let mut attempt = Attempt::with_phase(AttemptPhase::Running { conclusive_from });
        attempt.unwanted = true;
        attempt.orphan = true;
        attempt
    }

    fn with_phase(phase: AttemptPhase) -> Self {
        Attempt {
            phase,
            stop: StopProgress::Idle,
            failed_stops: 0,
            unwanted: false,
            orphan: false,
            start_reported: false,
            checkpoint: String::new(),
            percent: 0,
        }
    }

    /// Whether the start has certainly not been sent.
    pub(super) fn is_queued(&self) -> bool {
        matches!(self.phase, AttemptPhase::Queued { .. })
    }

    /// Whether the attempt has to be stopped, because it is unwanted or because it is uncertain and a
    /// conclusive list lacked it.
    fn needs_stop(&self) -> bool {
        let absent = matches!(self.phase, AttemptPhase::Uncertain { absent: true, .. });
        (self.unwanted || absent) && !self.is_queued()
    }

    /// Whether the attempt needs a stop, now or later, or a status query.
    pub(super) fn needs_call(&self) -> bool {
        self.needs_stop() || self.status_query_needed().is_some()
    }

    /// When the next stop has to be sent, in nanoseconds of the steady clock; `None` if no stop is due by
    /// time alone.
    pub(super) fn stop_due(&self) -> Option<u64> {
        if !self.needs_stop() {
            return None;
        }
        match self.stop {
            StopProgress::Idle => Some(0),
            StopProgress::Retry { at } => Some(at),
            StopProgress::InFlight { .. } | StopProgress::Answered { .. } => None,
        }
    }

    /// Number of the first call whose lists can settle whether the attempt runs; `None` if this is not
    /// uncertain.
    pub(super) fn status_query_needed(&self) -> Option<u64> {
        match (&self.phase, self.stop) {
            (
                AttemptPhase::Uncertain { .. } | AttemptPhase::Sending { .. },
                StopProgress::Answered { conclusive_from, .. },
            ) => Some(conclusive_from),
            (AttemptPhase::Uncertain { conclusive_from, absent: false }, _) => Some(*conclusive_from),
            _ => None,
        }
    }
}
