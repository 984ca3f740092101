//! The end of an attempt, as input to the estimates of the server and of the fleet.

use crate::interface::{Ending, Time};

/// Share of the latency target after which an answer counts as late: too little of the target is left for the
/// time that the request waited before.
const LATE_SHARE_OF_TARGET: f64 = 0.35;

/// The end of an attempt, with what was known of its class at that time.
pub(super) struct ObservedEnd {
    pub(super) now: Time,
    pub(super) class: usize,
    pub(super) plan: usize,
    pub(super) ending: Ending,
    /// A successful answer.
    pub(super) succeeded: bool,
    /// The server rejected the attempt as full.
    pub(super) full: bool,
    /// No answer arrived in time.
    pub(super) timed_out: bool,
    /// No answer arrived in time, and this gateway had not cancelled the attempt.
    pub(super) unanswered: bool,
    /// Duration of the attempt.
    pub(super) seconds: f64,
    /// Latency target of its class.
    pub(super) target_seconds: f64,
    /// Mean answer time of its class, before this end.
    pub(super) mean_answer_seconds: f64,
}

impl ObservedEnd {
    /// Whether the attempt took so long that too little of the latency target was left for the wait before
    /// it.
    pub(super) fn is_late(&self) -> bool {
        self.seconds > self.target_seconds * LATE_SHARE_OF_TARGET
    }
}
