//! The loop: hands the decision module what has happened and carries its actions out.

use crate::driver::state::{increment, DriverState, Due, LOG_TARGET};
use crate::driver::Driver;
use crate::peer_message::PeerMessage;
use gateway_decisions::{Action, Event, RequestId, Time};
use gateway_protocol::status::ListAge;
use std::cell::Cell;
use std::cmp::Reverse;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

const STATUS_INTERVAL: Duration = Duration::from_secs(10);

impl Driver {
    /// Hands the module what has happened, a tick apart at least.
    pub async fn run(self: &Rc<Self>) -> Infallible {
        let mut actions = Vec::new();
        let mut status = Instant::now() + STATUS_INTERVAL;
        let mut earliest = Instant::now();
        loop {
            let due = self.next_due().min(status);
            tokio::select! {
                () = self.wake.notified() => {}
                () = sleep_until(due) => {
                    let late = due.elapsed();
                    self.counts.longest_delay.set(self.counts.longest_delay.get().max(late));
                }
            }
            // Only a wait that something ends costs a wake-up: after a quiet spell there is none.
            if earliest > Instant::now() {
                sleep_until(earliest).await;
            }
            let now = Instant::now();
            earliest = now + self.tick;
            self.batch(now, &mut actions);
            if now >= status {
                self.status();
                status = now + STATUS_INTERVAL;
            }
        }
    }

    /// When the next timer is due. Deadlines of requests that are over wake nobody.
    fn next_due(&self) -> Instant {
        let mut state = self.state.borrow_mut();
        let DriverState { timers, requests, .. } = &mut *state;
        while let Some(Reverse((at, due))) = timers.peek() {
            match due {
                Due::Deadline(id) if !requests.contains_key(id) => drop(timers.pop()),
                _ => return *at,
            }
        }
        Instant::now() + STATUS_INTERVAL
    }

    /// Hands the module all that has happened until now.
    pub(super) fn batch(self: &Rc<Self>, now: Instant, actions: &mut Vec<Action>) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        while state.timers.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            match state.timers.pop() {
                Some(Reverse((_, Due::Engine(token)))) => state.events.push(Event::Timer { token }),
                Some(Reverse((_, Due::Deadline(id)))) => self.overdue(state, id, now),
                None => {}
            }
        }
        if state.events.is_empty() {
            return;
        }
        increment(&self.counts.batches);
        state.engine.handle(self.clock.time(now), std::mem::take(&mut state.events), actions);
        for action in actions.drain(..) {
            self.carry_out(state, action, now);
        }
        self.batch_handled.notify_waiters();
    }

    /// The module has not decided: the request is answered all the same, and nothing more goes out for it.
    fn overdue(&self, state: &mut DriverState, id: RequestId, now: Instant) {
        // An id may have come again since.
        let Some(pending) = state.requests.get_mut(&id).filter(|l| l.deadline <= now && l.client.is_some())
        else {
            return;
        };
        increment(&self.counts.overdue);
        pending.may_have_run |= pending.attempt.is_some();
        pending.timed_out = true;
        let retry_after_ns =
            if self.shutdown_deadline.get().is_some() { self.shutdown_retry_after_ns } else { 0 };
        self.answer_unserved(pending, true, retry_after_ns);
        match &pending.attempt {
            Some(attempt) => attempt.task.abort(),
            None => drop(state.requests.remove(&id)),
        }
        state.events.push(Event::ClientGone { id });
    }

    fn carry_out(self: &Rc<Self>, state: &mut DriverState, action: Action, now: Instant) {
        match action {
            Action::Send { id, server, attempt_deadline } => {
                self.send(state, id, server, attempt_deadline, now);
            }
            Action::Reject { id, retry_after } => self.finish(state, id, true, retry_after),
            Action::Fail { id } => self.finish(state, id, false, 0),
            Action::Cancel { id, attempt } => {
                let pending = state.requests.get(&id).filter(|l| l.attempts == attempt + 1);
                if let Some(out) = pending.and_then(|l| l.attempt.as_ref()) {
                    out.task.abort();
                }
            }
            Action::Timer { token, at } => {
                state.timers.push(Reverse((self.clock.instant(at), Due::Engine(token))));
            }
            // The watch always stands.
            Action::Subscribe { .. } => {}
            Action::Connections { server: Some(server), limit } => {
                self.backends.pool.set_server_limit(&server, limit as usize);
            }
            Action::Connections { server: None, limit } => self.backends.pool.set_limit(limit as usize),
            Action::Share(share) => self.send_to_peer(PeerMessage::Share(share)),
        }
    }

    /// The module's final answer, if it is one without service.
    pub(super) fn finish(&self, state: &mut DriverState, id: RequestId, refuse: bool, retry_after_ns: Time) {
        let Some(pending) = state.requests.get_mut(&id) else { return };
        pending.may_have_run |= pending.attempt.is_some();
        self.answer_unserved(pending, refuse, retry_after_ns);
        match &pending.attempt {
            Some(attempt) => attempt.task.abort(),
            None => drop(state.requests.remove(&id)),
        }
    }

    /// Logs counts for whoever is on call, if there were any requests.
    fn status(&self) {
        let c = &self.counts;
        let take = |count: &Cell<u64>| count.replace(0);
        let (served, refused, failed) = (take(&c.served), take(&c.refused), take(&c.failed));
        let overdue = take(&c.overdue);
        let batches = take(&c.batches);
        let latest = c.longest_delay.replace(Duration::ZERO).as_millis();
        if served + refused + failed > 0 {
            let pending = self.state.borrow().requests.len();
            tracing::info!(
                target: LOG_TARGET,
                "served {served}, refused {refused}, failed {failed} ({overdue} overdue), pending {pending}; \
                 batches {batches}, loop late by {latest} ms at most"
            );
            if self.discovery_down.get() {
                let ListAge { version, age_ms } = self.list_age();
                tracing::warn!(
                    target: LOG_TARGET,
                    "discovery: away; version {version}, last confirmed {age_ms} ms ago, stands"
                );
            }
            tracing::info!(target: LOG_TARGET, "connections since the start: {}", self.backends.pool.figures());
        }
    }
}
