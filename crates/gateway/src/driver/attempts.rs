//! Attempts: each runs as one task, and its end is reported to the decision engine exactly once.

use crate::backends::outcome::{Outcome, Served, ServedBody};
use crate::backends::outgoing::Outgoing;
use crate::driver::request::{Answer, RequestName};
use crate::driver::state::{DriverState, RunningAttempt, LOG_TARGET};
use crate::driver::Driver;
use crate::link::Progress;
use gateway_decisions::{AttemptEnd, Ending, Event, Name, RequestId, Time};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

impl Driver {
    /// Starts an attempt, unless the request has ended or already has an attempt in flight.
    pub(super) fn send(
        self: &Rc<Self>,
        state: &mut DriverState,
        id: RequestId,
        server: Name,
        attempt_deadline: Time,
        now: Instant,
    ) {
        let pending = state.requests.get_mut(&id);
        let attempt = pending.as_ref().map_or(0, |pending| pending.attempts);
        let Some(pending) = pending.filter(|pending| {
            pending.client.is_some() && pending.attempt.is_none() && pending.attempts < self.try_limit
        }) else {
            // The request has already ended, for instance because its client disconnected in this batch:
            // report to the engine that nothing was sent.
            state.events.push(self.attempt_end_event(
                id,
                attempt,
                server,
                (false, false),
                Duration::ZERO,
                Outcome::without_answer(Ending::Stale),
            ));
            self.wake.notify_one();
            return;
        };
        pending.attempts += 1;
        let attempt_deadline = match attempt_deadline {
            0 => pending.deadline,
            at => self.clock.instant(at).min(pending.deadline),
        };
        tracing::debug!(
            target: LOG_TARGET,
            request = %RequestName(id),
            attempt,
            server = &*server,
            left_ms = attempt_deadline.saturating_duration_since(now).as_millis() as u64,
            "attempt"
        );
        let progress = Rc::default();
        let running =
            Attempt { driver: self.clone(), id, number: attempt, server, sent: now, progress, done: false };
        pending.attempt = Some(running.spawn(pending.outgoing.clone(), attempt_deadline));
    }

    /// Handles the end of an attempt, whatever caused it.
    fn handle_attempt_end(&self, running: &mut Attempt, mut outcome: Outcome) {
        let mut state = self.state.borrow_mut();
        let (mut last, mut body_discarded, mut elapsed) = (true, false, running.sent.elapsed());
        tracing::debug!(
            target: LOG_TARGET,
            request = %RequestName(running.id),
            attempt = running.number,
            server = &*running.server,
            ending = ?outcome.ending,
            took_ms = elapsed.as_millis() as u64,
            "attempt ended"
        );
        if let Some(pending) = state.requests.get_mut(&running.id) {
            pending.attempt = None;
            if let Some(upload) = pending.outgoing.body.relay() {
                body_discarded = upload.is_consumed();
                elapsed = upload.ended().map_or(Duration::ZERO, |at| at.elapsed());
            }
            pending.may_have_run |= !matches!(outcome.ending, Ending::Full | Ending::NoRoute | Ending::Stale);
            pending.timed_out = outcome.ending == Ending::Late;
            if let Some(served) = outcome.served.take() {
                self.answer(pending, Answer::Served(served));
            }
            last = pending.client.is_none();
            if last {
                state.requests.remove(&running.id);
            }
        }
        let event = self.attempt_end_event(
            running.id,
            running.number,
            running.server.clone(),
            (last, body_discarded),
            elapsed,
            outcome,
        );
        state.events.push(event);
        self.wake.notify_one();
    }

    /// Builds the event that reports the end of an attempt to the engine.
    fn attempt_end_event(
        &self,
        id: RequestId,
        attempt: u32,
        server: Name,
        (last, body_discarded): (bool, bool),
        elapsed: Duration,
        outcome: Outcome,
    ) -> Event {
        let open_connections = self.backends.pool.connections_to(&server) as u32;
        Event::AttemptEnd(AttemptEnd {
            id,
            attempt,
            server,
            ending: outcome.ending,
            request_finished: last,
            body_discarded,
            elapsed: elapsed.as_nanos() as Time,
            actual_units: outcome.actual_units,
            metered_share: outcome.metered_share,
            load: outcome.load,
            via: outcome.via,
            open_connections,
        })
    }
}

/// An attempt in flight. Its end is reported once, even if its task is aborted or dropped.
struct Attempt {
    driver: Rc<Driver>,
    id: RequestId,
    number: u32,
    server: Name,
    sent: Instant,
    progress: Rc<Progress>,
    done: bool,
}

impl Attempt {
    /// Runs the attempt as a separate task that ends at `attempt_deadline`.
    fn spawn(self, request: Rc<Outgoing>, attempt_deadline: Instant) -> RunningAttempt {
        let progress = self.progress.clone();
        let task = spawn_local(async move {
            let mut outcome =
                self.driver.backends.attempt(&self.server, &request, attempt_deadline, &self.progress).await;
            if let Some(Served { body: ServedBody::Stream(download), .. }) = &mut outcome.served {
                download.set_deadline(self.driver.deadline_or(self.id, attempt_deadline));
            }
            self.done(outcome);
        });
        RunningAttempt { task: task.abort_handle(), progress }
    }

    fn done(mut self, outcome: Outcome) {
        self.done = true;
        let driver = self.driver.clone();
        driver.handle_attempt_end(&mut self, outcome);
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.done {
            self.done = true;
            let driver = self.driver.clone();
            driver.handle_attempt_end(self, Outcome::without_answer(Ending::Undone));
        }
    }
}
