//! Handling of call outcomes: first what an outcome shows about the worker itself, then the effect for the
//! purpose of the call.

use super::calls::{CallKind, InFlightCall};
use super::lists::Lists;
use super::session::{SessionStatus, WorkerSession};
use super::types::{CallOutcome, Refusal, SessionOutput};

impl WorkerSession {
    /// Handles the outcome of a call. Outcomes of unknown or already completed calls are ignored.
    pub fn complete_call(&mut self, now: u64, call: u64, outcome: CallOutcome) {
        let Some(call) = self.calls.close(call) else {
            return;
        };
        self.wake_at = 0;
        self.resolve_expired(now);
        self.update_reachability(&call, &outcome, now);
        if let CallOutcome::Refused { reason, .. } = &outcome {
            match reason {
                Refusal::WrongIncarnation => return self.incarnation_ended(now),
                Refusal::StaleFencingToken => return self.become_fenced(),
                _ => {}
            }
        }
        self.handle_outcome(call, outcome, now);
    }

    fn update_reachability(&mut self, call: &InFlightCall, outcome: &CallOutcome, now: u64) {
        let clock_ms = match outcome {
            CallOutcome::Answer { now_ms } | CallOutcome::Lists { now_ms, .. } => Some(*now_ms),
            // The clock of another incarnation says nothing about the clock of this one.
            CallOutcome::Refused { reason: Refusal::WrongIncarnation, .. } => None,
            CallOutcome::Refused { now_ms, .. } => *now_ms,
            CallOutcome::NoResponse => return self.reachability.record_unanswered(call),
            CallOutcome::NotSent => return self.reachability.record_not_sent(call),
            CallOutcome::Withheld | CallOutcome::Interrupted => return,
        };
        if let Some(clock_ms) = clock_ms {
            self.clock.observe(call.sent.steady, now, clock_ms);
        }
        if call.wait == 0 {
            self.round_trip.observe(self.response_clock.at(now).since(call.sent.response));
        }
        if self.reachability.record_answer(now) {
            self.outputs.push(SessionOutput::ReachabilityChanged { reachable: true });
        }
    }

    fn handle_outcome(&mut self, call: InFlightCall, outcome: CallOutcome, now: u64) {
        match call.kind {
            CallKind::Start(key) => self.handle_start_outcome(key, call.id, &outcome, now),
            CallKind::Stop(key) => self.handle_stop_outcome(key, call.id, &outcome, now),
            CallKind::RenewLease { last_seen } => match outcome {
                CallOutcome::Lists { running, finished, .. } => {
                    self.ends.confirm(last_seen);
                    let has_new_ends = self.handle_lists(Lists { call: call.id, running, finished }, now);
                    self.lease_renewals.record_answer(now, has_new_ends);
                }
                CallOutcome::Withheld | CallOutcome::Interrupted => self.lease_renewals.record_withheld(now),
                _ => self.lease_renewals.record_failure(now),
            },
        }
    }

    /// Completes calls that have timed out with the outcome `NoResponse`.
    pub(super) fn expire_calls(&mut self, now: u64) {
        let judged_until = self.response_clock.judged_until(now);
        while let Some(call) = self.calls.take_expired(judged_until) {
            self.outputs.push(SessionOutput::CancelCall { call: call.id });
            self.reachability.record_unanswered(&call);
            self.handle_outcome(call, CallOutcome::NoResponse, now);
        }
    }

    /// Cancels all calls in flight.
    pub(super) fn cancel_calls(&mut self) {
        for call in self.calls.take_all() {
            self.outputs.push(SessionOutput::CancelCall { call: call.id });
        }
    }

    /// Ends all activity of this session, because the worker has seen a newer leader.
    fn become_fenced(&mut self) {
        if self.status != SessionStatus::Active {
            return;
        }
        self.status = SessionStatus::Fenced;
        self.cancel_calls();
        self.outputs.push(SessionOutput::Fenced);
    }
}
