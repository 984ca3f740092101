//! Ends of attempts: what the gateway learns from them, and the final answers of requests.

use crate::decide::averages::{FLEET_DAMPING, GAIN};
use crate::decide::gateway::{Gateway, ATTEMPTS, UNITS};
use crate::decide::observed_end::ObservedEnd;
use crate::decide::retries::RetryCost;
use crate::interface::{Action, AttemptEnd, Ending, RequestId, Time};
use crate::state::{nanos, secs, FirstRun, InFlightAttempt};

/// Zone and cell of a server that is no longer listed. No listed server has them, so none recognises the key.
const UNLISTED_LOCATION: u32 = u32::MAX;
/// Lower bound of the mean answer time of a class.
const MIN_ANSWER_SECONDS: f64 = 1e-6;

/// Whether a result proves that the attempt never ran.
fn never_ran(ending: Ending) -> bool {
    matches!(ending, Ending::Full | Ending::NoRoute | Ending::Stale)
}

impl Gateway {
    /// Handles the end of an attempt: frees its resources, learns from it, and retries or finishes the
    /// request.
    pub(super) fn attempt_ended(&mut self, end: AttemptEnd, out: &mut Vec<Action>) {
        self.learn_reported_load(&end);
        let Some(attempt) = self.take_attempt(&end) else { return };
        let request = &self.pending[&end.id];
        let (class, plan, units) = (request.class, request.plan, request.units);
        let customer = request.customer.clone();
        let answered =
            end.request_finished || end.ending == Ending::Pass || request.streaming || request.client_gone;
        self.sub_schedulers[ATTEMPTS].in_flight -= 1.0;
        self.sub_schedulers[UNITS].in_flight = (self.sub_schedulers[UNITS].in_flight - units).max(0.0);
        self.learn_pace(&attempt.server, units, &end);
        self.learn_from_end(&attempt, class, plan, &end);
        self.record_in_flight_for_peer(&attempt.server);
        self.settle_quota(&customer, units, &end);
        // An attempt that a full server rejected has not run, but sending it again adds load to the other
        // servers.
        let free = never_ran(end.ending) && end.ending != Ending::Full;
        let cost = if free { RetryCost::Free } else { RetryCost::Charged };
        if answered {
            self.pending.remove(&end.id);
        } else if end.body_discarded || !self.retry(end.id, cost) {
            self.give_up(end.id, out);
        }
    }

    /// Takes the attempt out of flight; `None` if it is unknown.
    fn take_attempt(&mut self, end: &AttemptEnd) -> Option<InFlightAttempt> {
        let request = self.pending.get_mut(&end.id)?;
        let attempt = request.in_flight.take_if(|attempt| attempt.attempt == end.attempt)?;
        if !never_ran(end.ending) && request.first_run.is_none() {
            let server = self.servers.get(&attempt.server);
            let (zone, cell) =
                server.map_or((UNLISTED_LOCATION, UNLISTED_LOCATION), |server| (server.zone, server.cell));
            request.first_run = Some(FirstRun { sent_at: attempt.sent_at, zone, cell });
        }
        request.tried_servers.push(attempt.server.clone());
        request.warm_up_draw = self.rng.f64();
        self.shedding.draw_pause(request.warm_up_draw);
        Some(attempt)
    }

    /// Updates the estimates of the server and of the fleet.
    fn learn_from_end(&mut self, attempt: &InFlightAttempt, class: usize, plan: usize, end: &AttemptEnd) {
        let succeeded = end.ending == Ending::Pass;
        let timed_out = end.ending == Ending::Late;
        let observed = ObservedEnd {
            now: self.now,
            class,
            plan,
            ending: end.ending,
            succeeded,
            full: end.ending == Ending::Full,
            timed_out,
            unanswered: timed_out && !attempt.cancelled,
            seconds: secs(end.elapsed),
            target_seconds: secs(self.settings.classes[class].latency_target),
            mean_answer_seconds: self.mean_answer_seconds[class].max(MIN_ANSWER_SECONDS),
        };
        self.mean_attempt_seconds += (observed.seconds - self.mean_attempt_seconds) * GAIN / FLEET_DAMPING;
        self.shedding.observe(&observed, self.gateways_per_server);
        if succeeded {
            let seconds = observed.seconds.min(observed.target_seconds);
            self.mean_answer_seconds[class] +=
                (seconds - observed.mean_answer_seconds) * GAIN / FLEET_DAMPING;
        }
        let (memory_seconds, classes) = (self.memory_seconds(), self.settings.classes.len());
        let Some(server) = self.servers.get_mut(&attempt.server) else { return };
        server.in_flight = server.in_flight.saturating_sub(1);
        server.last_heard = self.now;
        server.open_connections = end.open_connections;
        self.connection_limits_changed |= server.adjust_connection_limit(end);
        server.adjust_concurrency_limit(&observed, 1.0 / self.gateways_per_server);
        server.learn_slowness(&observed);
        server.observe_outcome(&observed, memory_seconds, classes);
    }

    /// Sends the final answer of a request that has no attempt in flight: a rejection only if nothing can
    /// have run.
    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.pending.remove(&id) else { return };
        if request.first_run.is_some() {
            out.push(Action::Fail { id });
        } else {
            // The request found no server in time. The servers are too full for the client to return soon.
            let retry_after = self.retry_after(secs(self.settings.max_retry_after));
            out.push(Action::Reject { id, retry_after });
        }
    }

    /// The time after which a rejected client should retry, in nanoseconds, within the bounds of the
    /// settings; 0 if clients get no advice.
    pub(super) fn retry_after(&self, seconds: f64) -> Time {
        if self.settings.retry_after {
            let least = self.settings.tick;
            nanos(seconds).clamp(least, self.settings.max_retry_after.max(least))
        } else {
            0
        }
    }

    /// Handles a request's timer: a request that still waits is given up.
    pub(super) fn wait_limit_reached(&mut self, token: u64, out: &mut Vec<Action>) {
        let Some(id) = self.timers.remove(&token) else { return };
        if self.pending.get(&id).is_some_and(|request| request.in_flight.is_none()) {
            self.give_up(id, out);
        }
    }

    /// Records that an answer is being forwarded to the client. The request can no longer be retried or
    /// cancelled.
    pub(super) fn answer_started(&mut self, id: RequestId, attempt: u32) {
        let Some(request) = self.pending.get_mut(&id) else { return };
        if request.in_flight.as_ref().is_some_and(|in_flight| in_flight.attempt == attempt) {
            request.streaming = true;
        }
    }

    /// Handles a client's disconnect. The attempt in flight uses its capacity until its end is known.
    pub(super) fn client_gone(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.pending.get_mut(&id) else { return };
        let Some(attempt) = request.in_flight.as_mut() else {
            self.pending.remove(&id);
            return;
        };
        if self.settings.cancelling && !attempt.cancelled && !request.streaming {
            attempt.cancelled = true;
            out.push(Action::Cancel { id, attempt: attempt.attempt });
        }
        request.client_gone = true;
    }
}
