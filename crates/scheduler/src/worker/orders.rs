//! Sending of start and stop calls, together called orders, and handling of their outcomes.

use messages::job::Resolution;

use crate::ids::AttemptKey;
use crate::time::NANOS_PER_MS;

use super::attempts::{Attempt, AttemptPhase, StopProgress};
use super::backoff::{exponential_backoff, RETRY_DELAY_NS};
use super::calls::CallKind;
use super::session::{SessionStatus, WorkerSession};
use super::types::{CallOutcome, Refusal, SessionOutput, StartOrder, WorkerRequest};

/// Number of failed attempts to send a start after which the start is rejected.
const MAX_FAILED_SENDS: u32 = 3;
/// Time beyond the longest duration of a stop after which an attempt that is still listed is stopped again.
const STOP_SLACK_NS: u64 = 500 * NANOS_PER_MS;

impl WorkerSession {
    /// Sends the stops that are due.
    pub(super) fn send_stops(&mut self, now: u64) {
        while self.has_order_slot() {
            let is_due = |attempt: &Attempt| attempt.stop_due().is_some_and(|at| at <= now);
            let due = self.attempts.needing_calls().find(|(_, attempt)| is_due(attempt));
            let Some(key) = due.map(|(key, _)| *key) else {
                return;
            };
            let call = self.calls.open(CallKind::Stop(key), self.send_time(now), 0, self.answer_timeout());
            if let Some(attempt) = self.attempts.get_mut(&key) {
                attempt.stop = StopProgress::InFlight { call };
            }
            let request = WorkerRequest::Stop { key, fencing_token: self.options.fencing_token };
            self.outputs.push(SessionOutput::Call { call, request });
        }
    }

    /// When the next stop is due, in nanoseconds of the steady clock; `None` if none is due by time alone.
    pub(super) fn stop_due(&self) -> Option<u64> {
        if !self.has_order_slot() {
            return None;
        }
        self.attempts.needing_calls().filter_map(|(_, attempt)| attempt.stop_due()).min()
    }

    /// Sends the starts that are due, in the order of the queue.
    pub(super) fn send_starts(&mut self, now: u64) {
        while self.start_due(now).is_some_and(|at| at <= now) {
            let Some(key) = self.start_queue.pop_front() else {
                return;
            };
            self.send_start(key, now);
        }
    }

    /// When the next start is due, in nanoseconds of the steady clock; `None` if none may be sent by time
    /// alone.
    pub(super) fn start_due(&self, now: u64) -> Option<u64> {
        if self.suspected
            || !self.has_start_slot()
            || !self.has_leader_lease(now)
            || !self.clock_is_fresh(now)
            || now >= self.start_limit
        {
            return None;
        }
        let key = self.start_queue.front()?;
        match self.attempts.get(key).map(|attempt| &attempt.phase) {
            Some(AttemptPhase::Queued { not_before, .. }) => Some(*not_before),
            _ => Some(0),
        }
    }

    fn send_start(&mut self, key: AttemptKey, now: u64) {
        // The worker answers orders at once, so the call has no wait. Status queries settle what stays
        // uncertain.
        let (sent, timeout) = (self.send_time(now), self.start_answer_timeout());
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        let AttemptPhase::Queued { order, failed_sends, .. } = &attempt.phase else {
            return;
        };
        let Some(deadline_ms) = self.worker_lease.next_deadline(&self.clock, now, self.worker_lease_ms)
        else {
            return;
        };
        let (order, failed_sends) = (order.clone(), *failed_sends);
        let call = self.calls.open(CallKind::Start(key), sent, 0, timeout);
        let request = WorkerRequest::Start {
            key,
            spec: order.spec.clone(),
            checkpoint: order.checkpoint.clone(),
            deadline_ms,
            fencing_token: self.options.fencing_token,
            expires_at: self.start_limit,
        };
        attempt.phase = AttemptPhase::Sending { call, order, failed_sends };
        self.outputs.push(SessionOutput::Call { call, request });
    }

    /// Whether `starts` starts could be sent at once, provided that the leader's lease permits calls.
    pub fn can_send_starts(&self, starts: usize, now: u64) -> bool {
        let in_flight = self.calls.orders();
        // If there are more starts than slots, the starts are sent one after another, and the first ones
        // need all slots.
        let has_slots = in_flight == 0 || in_flight + starts <= self.options.max_order_calls;
        let is_reachable = self.status == SessionStatus::Active && self.reachability.is_reachable();
        is_reachable && !self.suspected && has_slots && self.clock_is_fresh(now) && now < self.start_limit
    }

    fn has_order_slot(&self) -> bool {
        self.calls.orders() < self.options.max_order_calls
    }

    /// Whether a slot is left for a start apart from those reserved for held starts.
    fn has_start_slot(&self) -> bool {
        self.calls.orders() + self.held_starts.len() < self.options.max_order_calls
    }

    /// Handles the outcome of a start.
    pub(super) fn handle_start_outcome(
        &mut self,
        key: AttemptKey,
        call: u64,
        outcome: &CallOutcome,
        now: u64,
    ) {
        let conclusive_from = self.calls.next_id();
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        let AttemptPhase::Sending { call: sent, order, failed_sends } = &attempt.phase else {
            return;
        };
        if *sent != call {
            return;
        }
        match outcome {
            CallOutcome::Answer { .. } => {
                attempt.phase = AttemptPhase::Running { conclusive_from };
                self.report_started(key);
                self.record_start_accepted();
            }
            CallOutcome::Refused { reason: Refusal::NoCapacity, .. } => {
                self.resolve(key, Resolution::REJECTED_NO_CAPACITY);
            }
            CallOutcome::Refused { reason: Refusal::DeadlinePassed | Refusal::BadRequest, .. } => {
                self.resolve(key, Resolution::REJECTED);
            }
            CallOutcome::Refused { reason: Refusal::Unhealthy, .. } => {
                self.resolve(key, Resolution::REJECTED);
                self.record_unhealthy_refusal(now);
            }
            CallOutcome::NotSent => {
                let (order, failed_sends) = (order.clone(), *failed_sends);
                self.start_not_sent(key, order, failed_sends, now);
            }
            CallOutcome::Withheld => {
                let (order, failed_sends) = (order.clone(), *failed_sends);
                self.start_withheld(key, order, failed_sends, now);
            }
            CallOutcome::Refused { .. }
            | CallOutcome::Lists { .. }
            | CallOutcome::NoResponse
            | CallOutcome::Interrupted => {
                attempt.phase = AttemptPhase::Uncertain { conclusive_from, absent: false };
            }
        }
    }

    fn start_not_sent(&mut self, key: AttemptKey, order: StartOrder, failed_sends: u32, now: u64) {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        let failed_sends = failed_sends.saturating_add(1);
        if attempt.unwanted {
            self.resolve(key, Resolution::NEVER_RAN);
        } else if failed_sends >= MAX_FAILED_SENDS || now >= self.start_limit {
            self.resolve(key, Resolution::REJECTED);
        } else {
            let not_before = now.saturating_add(exponential_backoff(RETRY_DELAY_NS, failed_sends - 1));
            self.queue_again(key, order, failed_sends, not_before);
        }
    }

    /// Handles a start that this process withheld. It is queued again, unless it is no longer wanted or the
    /// start limit has passed, because the information behind the decision is then too old.
    fn start_withheld(&mut self, key: AttemptKey, order: StartOrder, failed_sends: u32, now: u64) {
        if self.attempts.get(&key).is_some_and(|attempt| attempt.unwanted) {
            self.resolve(key, Resolution::NEVER_RAN);
        } else if now >= self.start_limit {
            self.resolve(key, Resolution::REJECTED);
        } else {
            self.queue_again(key, order, failed_sends, now.saturating_add(RETRY_DELAY_NS));
        }
    }

    fn queue_again(&mut self, key: AttemptKey, order: StartOrder, failed_sends: u32, not_before: u64) {
        if let Some(attempt) = self.attempts.get_mut(&key) {
            attempt.phase = AttemptPhase::Queued { order, failed_sends, not_before };
            self.start_queue.push_front(key);
        }
    }

    /// Handles the outcome of a stop.
    pub(super) fn handle_stop_outcome(
        &mut self,
        key: AttemptKey,
        call: u64,
        outcome: &CallOutcome,
        now: u64,
    ) {
        let conclusive_from = self.calls.next_id();
        let stop_time = self.options.max_stop_ms.saturating_mul(NANOS_PER_MS);
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        if attempt.stop != (StopProgress::InFlight { call }) {
            return;
        }
        if let CallOutcome::Answer { .. } = outcome {
            let repeat_at = now.saturating_add(stop_time).saturating_add(STOP_SLACK_NS);
            attempt.stop = StopProgress::Answered { conclusive_from, repeat_at };
            attempt.failed_stops = 0;
        } else {
            let at = now.saturating_add(exponential_backoff(RETRY_DELAY_NS, attempt.failed_stops));
            attempt.stop = StopProgress::Retry { at };
            attempt.failed_stops = attempt.failed_stops.saturating_add(1);
        }
    }
}
