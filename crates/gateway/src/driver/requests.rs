//! Requests from their arrival to their single final answer.

use crate::driver::request::{Answer, ClientRequest, RequestName};
use crate::driver::state::{increment, Due, PendingRequest, LOG_TARGET};
use crate::driver::Driver;
use gateway_decisions::{Event, Request, RequestId, Time};
use std::cmp::Reverse;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Time reserved at the end of a request's deadline for the engine's decision and for sending the answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);
/// How long after the request's deadline the engine may still decide.
const DECISION_GRACE: Duration = Duration::from_millis(5);

/// The deadline of a request whose body is relayed, until the body is complete. Until then only the client's
/// pace limits the time.
const RELAY_DEADLINE: Duration = Duration::from_secs(3600);

impl Driver {
    /// Accepts a request. Returns None if a request with its id is still pending: two attempts with the same
    /// id must not be in flight at the same time.
    pub fn submit(self: &Rc<Self>, request: ClientRequest) -> Option<PendingAnswer> {
        let mut state = self.state.borrow_mut();
        if state.requests.contains_key(&request.id) {
            return None;
        }
        let relayed = request.outgoing.body.relay().is_some();
        let deadline = if relayed {
            request.arrived + RELAY_DEADLINE
        } else {
            Self::deadline(request.arrived, request.timeout)
        };
        let deadline = self.capped_by_shutdown(deadline);
        let (client, answer) = oneshot::channel();
        let pending = PendingRequest {
            client: Some(client),
            outgoing: Rc::new(request.outgoing),
            attempts: 0,
            attempt: None,
            may_have_run: false,
            timed_out: false,
            deadline,
        };
        state.requests.insert(request.id, pending);
        state.timers.push(Reverse((deadline + DECISION_GRACE, Due::Deadline(request.id))));
        state.events.push(Event::Request(Request {
            id: request.id,
            class: request.class,
            plan: request.plan,
            customer: request.customer,
            deadline: self.clock.time(deadline),
            units: request.units,
            spread: request.spread,
            is_retry: request.is_retry,
            relayed,
        }));
        self.wake.notify_one();
        Some(PendingAnswer { id: request.id, answer, driver: self.clone(), answered: false })
    }

    /// Returns the deadline of a pending request, or `fallback` if the request has ended.
    pub(super) fn deadline_or(&self, id: RequestId, fallback: Instant) -> Instant {
        self.state.borrow().requests.get(&id).map_or(fallback, |pending| pending.deadline)
    }

    /// Returns the deadline for the answer to a client that waits for `timeout` after its request is
    /// complete.
    fn deadline(complete: Instant, timeout: Duration) -> Instant {
        complete + timeout - ANSWER_MARGIN.min(timeout / 10)
    }

    fn capped_by_shutdown(&self, deadline: Instant) -> Instant {
        self.shutdown_deadline.get().map_or(deadline, |last| deadline.min(last))
    }

    /// Sets the time by which all requests are answered because the process shuts down.
    pub fn set_shutdown_deadline(&self, last: Instant) {
        self.shutdown_deadline.set(Some(last));
        let state = &mut *self.state.borrow_mut();
        for (id, pending) in state.requests.iter_mut().filter(|(_, pending)| pending.deadline > last) {
            pending.deadline = last;
            state.timers.push(Reverse((last + DECISION_GRACE, Due::Deadline(*id))));
        }
        self.wake.notify_one();
    }

    /// Sets the deadline of a relayed request whose body is now complete: the client's timeout starts here.
    pub fn body_complete(&self, id: RequestId, timeout: Duration) {
        let mut state = self.state.borrow_mut();
        let deadline = self.capped_by_shutdown(Self::deadline(Instant::now(), timeout));
        if let Some(pending) = state.requests.get_mut(&id) {
            pending.deadline = deadline;
            state.timers.push(Reverse((deadline + DECISION_GRACE, Due::Deadline(id))));
            self.wake.notify_one();
        }
    }

    /// Handles a client that disconnected before its answer.
    fn client_gone(&self, id: RequestId) {
        let mut state = self.state.borrow_mut();
        let Some(pending) = state.requests.get_mut(&id) else { return };
        if pending.client.take().is_none() {
            return;
        }
        match &pending.attempt {
            // The attempt still waits for a connection and must not be sent for a client that has gone. The
            // engine decides about an attempt that has been written.
            Some(attempt) if !attempt.has_connection() => attempt.task.abort(),
            Some(_) => {}
            None => drop(state.requests.remove(&id)),
        }
        increment(&self.counts.failed);
        tracing::debug!(target: LOG_TARGET, request = %RequestName(id), "client disconnected");
        state.events.push(Event::ClientGone { id });
        self.wake.notify_one();
    }

    /// Sends the final answer, unless one has been sent.
    pub(super) fn answer(&self, pending: &mut PendingRequest, answer: Answer) {
        if let Some(client) = pending.client.take() {
            increment(match answer {
                Answer::Served(_) => &self.counts.served,
                Answer::Refused { .. } => &self.counts.refused,
                Answer::Failed { .. } => &self.counts.failed,
            });
            // Sending fails only if the client has just disconnected.
            let _ = client.send(answer);
        }
    }

    /// Answers a request that was not served: it is refused only if no attempt can have run, and failed
    /// otherwise.
    pub(super) fn answer_unserved(&self, pending: &mut PendingRequest, refuse: bool, retry_after_ns: Time) {
        let answer = if refuse && !pending.may_have_run {
            let retry_after = (retry_after_ns > 0).then(|| Duration::from_nanos(retry_after_ns));
            Answer::Refused { tried: pending.attempts > 0, retry_after }
        } else {
            Answer::Failed { timed_out: pending.timed_out }
        };
        self.answer(pending, answer);
    }
}

/// Waits for the final answer. Dropping it reports that the client has disconnected.
pub struct PendingAnswer {
    id: RequestId,
    answer: oneshot::Receiver<Answer>,
    driver: Rc<Driver>,
    answered: bool,
}

impl Future for PendingAnswer {
    type Output = Answer;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Answer> {
        let answer = Pin::new(&mut self.answer).poll(cx);
        answer.map(|answer| {
            self.answered = true;
            answer.unwrap_or(Answer::Failed { timed_out: false })
        })
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        if !self.answered {
            self.driver.client_gone(self.id);
        }
    }
}
