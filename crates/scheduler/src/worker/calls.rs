//! Calls in flight, numbered in the order in which they are sent.

use crate::ids::AttemptKey;

use super::response_clock::ResponseTime;

/// Purpose of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    Start(AttemptKey),
    Stop(AttemptKey),
    RenewLease { last_seen: u64 },
}

/// Time at which a call was sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendTime {
    /// On the steady clock, in nanoseconds.
    pub(super) steady: u64,
    /// On the clock by which missing answers are judged.
    pub(super) response: ResponseTime,
}

/// A call that was sent and has no outcome yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlightCall {
    pub(super) id: u64,
    pub(super) kind: CallKind,
    pub(super) sent: SendTime,
    /// How long the worker was asked to wait before it answers, in nanoseconds.
    pub(super) wait: u64,
    /// Time at which the call counts as unanswered.
    pub(super) expires: ResponseTime,
}

impl InFlightCall {
    pub(super) fn is_lease_renewal(&self) -> bool {
        matches!(self.kind, CallKind::RenewLease { .. })
    }

    /// Time by which an answer is expected if it takes `grace` nanoseconds beyond the wait.
    pub(super) fn expected_by(&self, grace: u64) -> ResponseTime {
        self.sent.response.after(self.wait).after(grace)
    }
}

/// All calls in flight, in the order in which they were sent.
#[derive(Debug)]
pub(super) struct InFlightCalls {
    calls: Vec<InFlightCall>,
    next_id: u64,
}

impl InFlightCalls {
    pub(super) fn new() -> Self {
        InFlightCalls { calls: Vec::new(), next_id: 1 }
    }

    /// Number of the next call. Calls with this number or a higher one are sent later than now.
    pub(super) fn next_id(&self) -> u64 {
        self.next_id
    }

    /// Records a call as sent and returns its number.
    pub(super) fn open(&mut self, kind: CallKind, sent: SendTime, wait: u64, timeout: u64) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let expires = sent.response.after(wait).after(timeout);
        self.calls.push(InFlightCall { id, kind, sent, wait, expires });
        id
    }

    /// Removes a call; `None` if the call already has an outcome.
    pub(super) fn close(&mut self, id: u64) -> Option<InFlightCall> {
        let position = self.calls.iter().position(|call| call.id == id)?;
        Some(self.calls.remove(position))
    }

    /// Removes one call that has timed out by `judged_until`.
    pub(super) fn take_expired(&mut self, judged_until: ResponseTime) -> Option<InFlightCall> {
        let position = self.calls.iter().position(|call| call.expires <= judged_until)?;
        Some(self.calls.remove(position))
    }

    /// Removes all calls.
    pub(super) fn take_all(&mut self) -> Vec<InFlightCall> {
        std::mem::take(&mut self.calls)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &InFlightCall> {
        self.calls.iter()
    }

    pub(super) fn lease_renewals(&self) -> impl DoubleEndedIterator<Item = &InFlightCall> {
        self.calls.iter().filter(|call| call.is_lease_renewal())
    }

    /// Number of calls in flight that start or stop attempts.
    pub(super) fn orders(&self) -> usize {
        self.calls.iter().filter(|call| !call.is_lease_renewal()).count()
    }
}
