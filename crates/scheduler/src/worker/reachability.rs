//! Tracks whether a worker answers and whether it accepts starts.

use crate::time::NANOS_PER_MS;

use super::calls::{InFlightCall, InFlightCalls};
use super::response_clock::ResponseTime;

/// Number of consecutive unanswered calls after which a worker is unreachable.
const UNANSWERED_CALLS_LIMIT: u32 = 2;
/// Time after the expected answer to a call at which a worker is unreachable, if it has answered nothing
/// since.
const OVERDUE_AFTER_NS: u64 = 600 * NANOS_PER_MS;
/// How long a worker counts as unhealthy after it refused a start for this reason.
const UNHEALTHY_DURATION_NS: u64 = 2_000 * NANOS_PER_MS;

/// Reachability and health of a worker. Times are nanoseconds of the steady clock, except those of type
/// `ResponseTime`.
#[derive(Debug)]
pub(super) struct Reachability {
    reachable: bool,
    unanswered_calls: u32,
    /// Whether a call that was sent got no answer and no call has been answered since.
    lacks_answer: bool,
    last_answer: Option<u64>,
    /// Earliest time at which one of the unanswered calls should have been answered.
    unanswered_since: Option<ResponseTime>,
    unhealthy_until: Option<u64>,
}

impl Reachability {
    pub(super) fn new() -> Self {
        Reachability {
            reachable: true,
            unanswered_calls: 0,
            lacks_answer: false,
            last_answer: None,
            unanswered_since: None,
            unhealthy_until: None,
        }
    }

    pub(super) fn is_reachable(&self) -> bool {
        self.reachable
    }

    /// Records an answer; true if the worker was unreachable before.
    pub(super) fn record_answer(&mut self, now: u64) -> bool {
        self.last_answer = Some(now);
        self.unanswered_calls = 0;
        self.lacks_answer = false;
        self.unanswered_since = None;
        !std::mem::replace(&mut self.reachable, true)
    }

    /// Records that a call that was sent got no answer.
    pub(super) fn record_unanswered(&mut self, call: &InFlightCall) {
        if !self.answered_since(call) {
            self.lacks_answer = true;
            self.count_unanswered(call);
        }
    }

    /// Records that a call could not be sent. This is ignored if the worker answered after, or at the very
    /// moment, the call was to be sent, because the connection of that answer may have been closed.
    pub(super) fn record_not_sent(&mut self, call: &InFlightCall) {
        if self.last_answer.is_none_or(|at| at < call.sent.steady) {
            self.count_unanswered(call);
        }
    }

    fn count_unanswered(&mut self, call: &InFlightCall) {
        self.unanswered_calls = self.unanswered_calls.saturating_add(1);
        let since = call.expected_by(0);
        self.unanswered_since = Some(self.unanswered_since.map_or(since, |earlier| earlier.min(since)));
    }

    /// Whether an answer is missing, so that the worker may be partitioned although it is too early to be
    /// certain.
    pub(super) fn is_suspected(
        &self,
        calls: &InFlightCalls,
        answer_timeout: u64,
        judged_until: ResponseTime,
    ) -> bool {
        self.lacks_answer || self.suspected_at(calls, answer_timeout).is_some_and(|at| at <= judged_until)
    }

    /// When the worker becomes suspected if it answers nothing.
    pub(super) fn suspected_at(&self, calls: &InFlightCalls, answer_timeout: u64) -> Option<ResponseTime> {
        let unanswered = calls.iter().filter(|call| !self.answered_since(call));
        unanswered.map(|call| call.expected_by(answer_timeout)).min()
    }

    /// Marks the worker as unreachable if an answer is overdue or too many calls were unanswered; true if
    /// it was reachable before.
    pub(super) fn mark_if_unreachable(&mut self, calls: &InFlightCalls, judged_until: ResponseTime) -> bool {
        if !self.reachable {
            return false;
        }
        let overdue = self.overdue_at(calls).is_some_and(|at| at <= judged_until);
        if overdue || self.unanswered_calls >= UNANSWERED_CALLS_LIMIT {
            self.reachable = false;
        }
        !self.reachable
    }

    /// When the worker becomes unreachable if it answers nothing; `None` if it already is or no answer is
    /// expected.
    pub(super) fn overdue_at(&self, calls: &InFlightCalls) -> Option<ResponseTime> {
        if !self.reachable {
            return None;
        }
        let unanswered = calls.iter().filter(|call| !self.answered_since(call));
        let expected = unanswered.map(|call| call.expected_by(0)).min();
        let first = [expected, self.unanswered_since].into_iter().flatten().min();
        first.map(|at| at.after(OVERDUE_AFTER_NS))
    }

    /// Records that a start was refused because the worker is unhealthy; true if the worker was healthy
    /// before.
    pub(super) fn record_unhealthy_refusal(&mut self, now: u64) -> bool {
        self.unhealthy_until.replace(now.saturating_add(UNHEALTHY_DURATION_NS)).is_none()
    }

    /// Records that a start was accepted; true if the worker was unhealthy before.
    pub(super) fn record_start_accepted(&mut self) -> bool {
        self.unhealthy_until.take().is_some()
    }

    /// Marks the worker as healthy if the time for which it counts as unhealthy has passed; true if this
    /// happened now.
    pub(super) fn mark_if_healthy(&mut self, now: u64) -> bool {
        let over = self.unhealthy_until.is_some_and(|until| until <= now);
        over && self.record_start_accepted()
    }

    /// When the worker counts as healthy again; `None` if it already is.
    pub(super) fn healthy_at(&self) -> Option<u64> {
        self.unhealthy_until
    }

    /// Whether the worker answered after the call was sent. The comparison is strict, because calls
    /// triggered by an answer are sent at the same instant.
    fn answered_since(&self, call: &InFlightCall) -> bool {
        self.last_answer.is_some_and(|at| at > call.sent.steady)
    }
}
