//! The event loop: passes events to the decision engine and carries out its actions.

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
    /// Passes batches of events to the engine, at least one tick apart.
    pub async fn run(self: &Rc<Self>) -> Infallible {
        let mut actions = Vec::new();
        let mut status = Instant::now() + STATUS_INTERVAL;
        let mut next_batch = Instant::now();
        loop {
            let due = self.next_due().min(status);
            tokio::select! {
                () = self.wake.notified() => {}
                () = sleep_until(due) => {
                    let delay = due.elapsed();
                    self.counts.longest_delay.set(self.counts.longest_delay.get().max(delay));
                }
            }
            // After a quiet period no wait is needed, which saves a wake-up.
            if next_batch > Instant::now() {
                sleep_until(next_batch).await;
            }
            let now = Instant::now();
            next_batch = now + self.tick;
            self.batch(now, &mut actions);
            if now >= status {
                self.status();
                status = now + STATUS_INTERVAL;
            }
        }
    }

    /// Returns when the next timer is due. Deadlines of requests that have ended are discarded and cause no
    /// wake-up.
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

    /// Passes all events until now to the engine and carries out its actions.
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

    /// Answers a request that the engine has not decided by its deadline; no further attempt is sent for it.
    fn overdue(&self, state: &mut DriverState, id: RequestId, now: Instant) {
        // The id may have been reused by a later request.
        let Some(pending) =
            state.requests.get_mut(&id).filter(|pending| pending.deadline <= now && pending.client.is_some())
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
                let pending = state.requests.get(&id).filter(|pending| pending.attempts == attempt + 1);
                if let Some(out) = pending.and_then(|pending| pending.attempt.as_ref()) {
                    out.task.abort();
                }
            }
            Action::Timer { token, at } => {
                state.timers.push(Reverse((self.clock.instant(at), Due::Engine(token))));
            }
            // The discovery watch runs all the time.
            Action::Subscribe { .. } => {}
            Action::Connections { server: Some(server), limit } => {
                self.backends.pool.set_server_limit(&server, limit as usize);
            }
            Action::Connections { server: None, limit } => self.backends.pool.set_limit(limit as usize),
            Action::Share(share) => self.send_to_peer(PeerMessage::Share(share)),
        }
    }

    /// Applies the engine's final decision not to serve a request.
    pub(super) fn finish(&self, state: &mut DriverState, id: RequestId, refuse: bool, retry_after_ns: Time) {
        let Some(pending) = state.requests.get_mut(&id) else { return };
        pending.may_have_run |= pending.attempt.is_some();
        self.answer_unserved(pending, refuse, retry_after_ns);
        match &pending.attempt {
            Some(attempt) => attempt.task.abort(),
            None => drop(state.requests.remove(&id)),
        }
    }

    /// Logs the counts since the last status line, if there were any requests.
    fn status(&self) {
        let counts = &self.counts;
        let take = |count: &Cell<u64>| count.replace(0);
        let (served, refused, failed) = (take(&counts.served), take(&counts.refused), take(&counts.failed));
        let overdue = take(&counts.overdue);
        let batches = take(&counts.batches);
        let latest = counts.longest_delay.replace(Duration::ZERO).as_millis();
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
                    "discovery: unavailable; version {version}, last confirmed {age_ms} ms ago, stays in use"
                );
            }
            tracing::info!(
                target: LOG_TARGET,
                "connections since the start: {}",
                self.backends.pool.figures()
            );
        }
    }
}
