//! Polling of worker sessions and handling of their outputs.

use std::sync::Arc;

use messages::job::WorkerIncarnation;

use crate::ids::AttemptKey;
use crate::placement::WorkerKey;
use crate::time::NANOS_PER_MS;
use crate::worker::{CallOutcome, SessionOptions, SessionOutput, WorkerSession};

use super::event_loop::Leader;
use super::interface::{CallId, Output};
use super::mechanisms::Mechanism;
use super::timers::Timer;
use super::worker_entry::WorkerEntry;
use super::worker_events::WorkerEvent;

/// How long an earlier leader may still have sent lease renewals after this leader started. A firewall that
/// refuses connections can make the earlier leader look dead while it continues until its lease expires.
const PREVIOUS_LEADER_OVERLAP_NS: u64 = 600 * NANOS_PER_MS;

impl Leader {
    /// Returns the key of an incarnation and adds the worker if it is new. `acknowledged` is the number up to
    /// which its ends are committed.
    pub(super) fn worker_key(&mut self, incarnation: &WorkerIncarnation, acknowledged: u64) -> WorkerKey {
        if let Some(key) = self.worker_keys.get(incarnation.instance.as_str()) {
            return *key;
        }
        let key = self.next_worker;
        self.next_worker += 1;
        let service = self.service_position(&incarnation.service);
        let instance: Arc<str> = Arc::from(incarnation.instance.as_str());
        let session = WorkerSession::new(incarnation.clone(), acknowledged, self.session_options(), self.now);
        self.worker_keys.insert(instance.clone(), key);
        self.workers.insert(key, WorkerEntry::new(instance, service, session));
        self.update_placement(key);
        self.schedule_poll(key);
        key
    }

    fn session_options(&self) -> SessionOptions {
        SessionOptions {
            fencing_token: self.term,
            worker_lease_ms: self.settings.worker_lease_ms,
            max_worker_lease_ms: self.settings.max_worker_lease_ms,
            long_poll_wait_ms: self.settings.long_poll_wait_ms,
            call_timeout_ms: self.settings.call_timeout_ms,
            max_order_calls: self.settings.max_order_calls,
            max_stop_ms: self.settings.stop_ms,
            lease_renewal_bursts: self.uses(Mechanism::LeaseRenewalBurst),
            hedged_lease_renewals: self.uses(Mechanism::HedgedLeaseRenewals),
            suspicion: self.uses(Mechanism::Suspicion),
            term_started_at: self.term_started_at + PREVIOUS_LEADER_OVERLAP_NS,
        }
    }

    /// Adds the session to the poll queue. The session is polled at the end of this turn or of an immediately
    /// following one.
    pub(super) fn schedule_poll(&mut self, key: WorkerKey) {
        let Some(entry) = self.workers.get_mut(&key) else { return };
        if std::mem::replace(&mut entry.poll_scheduled, true) {
            return;
        }
        if entry.is_first_contact() {
            self.poll_queue.push_first_contact(key);
        } else {
            self.poll_queue.push(key);
        }
    }

    /// Schedules a poll after the session has adopted an attempt. The poll precedes those of workers without
    /// attempts, even if the session already waited among them.
    pub(super) fn schedule_poll_after_adoption(&mut self, key: WorkerKey) {
        let Some(entry) = self.workers.get_mut(&key) else { return };
        let is_first = entry.session.attempt_count() == 1;
        if !std::mem::replace(&mut entry.poll_scheduled, true) || is_first {
            self.poll_queue.push(key);
        }
    }

    /// Handles the end of a call to a worker.
    pub(super) fn call_finished(&mut self, call: CallId, outcome: CallOutcome) {
        let now = self.now;
        match outcome {
            CallOutcome::NotSent => self.work.calls_not_sent += 1,
            CallOutcome::Withheld => self.work.calls_withheld += 1,
            CallOutcome::Interrupted => self.work.calls_interrupted += 1,
            _ => {}
        }
        self.poll_queue.contact_ended(call.worker);
        let Some(entry) = self.workers.get_mut(&call.worker) else { return };
        let had_answered = entry.session.has_answered();
        entry.session.set_response_clock(self.lateness.response_clock);
        entry.session.complete_call(now, call.call, outcome);
        let answered_first = !had_answered && entry.session.has_answered();
        self.schedule_poll(call.worker);
        if answered_first {
            self.update_placement(call.worker);
        }
    }

    /// Requests the stop of an attempt.
    pub(super) fn stop_attempt(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(&key) else { return };
        attempt.stopping = true;
        let worker = attempt.worker;
        if !attempt.committed {
            // The stop is sent once the start is committed and handed to the session.
            return;
        }
        if let Some(entry) = self.workers.get_mut(&worker) {
            entry.session.stop(key);
        }
        self.schedule_poll(worker);
    }

    /// Polls up to `max_polls` sessions from the poll queue and returns how many were polled. An immediately
    /// following turn polls the rest.
    pub(super) fn poll_workers(&mut self, max_polls: usize, out: &mut Vec<Output>) -> usize {
        let mut polled = 0;
        while polled < max_polls {
            let Some(key) = self.poll_queue.pop(self.now) else { break };
            polled += 1;
            let outputs_before = out.len();
            let is_first_contact = self.workers.get(&key).is_some_and(WorkerEntry::is_first_contact);
            self.poll_worker(key, out);
            if is_first_contact && out.len() > outputs_before {
                self.poll_queue.contact_started(key, self.now);
            }
        }
        if let Some(at) = self.poll_queue.next_due(self.now) {
            self.timers.set_no_later(at.max(self.now + 1), Timer::PollWorkers);
        }
        polled
    }

    fn poll_worker(&mut self, key: WorkerKey, out: &mut Vec<Output>) {
        let wait_ms = self.settings.long_poll_wait_ms_among(self.workers.len());
        let Some(entry) = self.workers.get_mut(&key) else { return };
        if !std::mem::replace(&mut entry.poll_scheduled, false) {
            return;
        }
        self.work.sessions_polled += 1;
        let mut outputs = std::mem::take(&mut self.session_outputs);
        if !self.fenced {
            let WorkerEntry { needs, assigned, .. } = entry;
            self.work.attempts_polled += needs.update(&self.attempts, assigned, &self.settings, self.now);
            let long_poll_wait_ms = needs.long_poll_wait_ms(assigned.len(), &self.settings, wait_ms);
            let worker_lease_ms = needs.worker_lease_ms(&self.settings);
            entry.session.set_long_poll_wait(long_poll_wait_ms);
            entry.session.set_worker_lease(worker_lease_ms);
            entry.session.set_leader_lease(self.lease_until);
            entry.session.set_response_clock(self.lateness.response_clock);
            entry.session.set_status_query_spacing(self.status_queries.spacing());
            entry.session.poll(self.now, &mut outputs);
            self.status_queries.set_needed(key, entry.session.needs_status_queries());
            if entry.session.awaits_input() {
                self.lateness.await_input(key);
            }
            match entry.session.next_timer() {
                u64::MAX => self.timers.cancel(Timer::Session(key)),
                at => self.timers.set(at.max(self.now + 1), Timer::Session(key)),
            }
        }
        for output in outputs.drain(..) {
            self.session_output(key, output, out);
        }
        self.session_outputs = outputs;
    }

    fn session_output(&mut self, key: WorkerKey, output: SessionOutput, out: &mut Vec<Output>) {
        match output {
            SessionOutput::Call { call, request } => {
                let Some(entry) = self.workers.get(&key) else { return };
                let (address, instance) = (entry.incarnation().address.clone(), entry.instance.to_string());
                out.push(Output::Call { call: CallId { worker: key, call }, address, instance, request });
            }
            SessionOutput::CancelCall { call } => {
                self.work.calls_cancelled += 1;
                out.push(Output::CancelCall { call: CallId { worker: key, call } });
            }
            SessionOutput::Started { key: attempt } => self.attempt_started(attempt),
            SessionOutput::Ended { end } => self.attempt_ended(key, end),
            SessionOutput::Resolved { key: attempt, resolution, checkpoint } => {
                self.attempt_resolved(key, attempt, resolution, checkpoint);
            }
            SessionOutput::Progress { key: attempt, checkpoint, percent } => {
                self.attempt_progressed(key, attempt, checkpoint, percent);
            }
            SessionOutput::ReachabilityChanged { reachable } => self.reachability_changed(key, reachable),
            SessionOutput::SuspicionChanged { suspected } => {
                let is_suspected = suspected && self.uses(Mechanism::Suspicion);
                self.change_worker(key, |entry| entry.suspect = is_suspected);
            }
            SessionOutput::HealthChanged { unhealthy } => {
                self.change_worker(key, |entry| entry.unhealthy = unhealthy);
            }
            SessionOutput::IncarnationEnded => self.incarnation_ended(key),
            SessionOutput::Fenced => self.fenced_by(key),
        }
    }

    /// Restarts stall detection for the attempts of a worker.
    fn restart_stall_detection(&mut self, worker: WorkerKey) {
        let Some(entry) = self.workers.get(&worker) else { return };
        for key in &entry.assigned {
            if let Some(attempt) = self.attempts.get_mut(key) {
                attempt.progress_at = self.now;
            }
        }
    }

    fn incarnation_ended(&mut self, key: WorkerKey) {
        self.change_worker(key, |entry| entry.incarnation_ended = true);
        if let Some(entry) = self.workers.get(&key) {
            let (instance, attempts) = (entry.instance.clone(), entry.assigned_count());
            self.events.push(WorkerEvent::Lost { instance, attempts });
        }
    }

    fn fenced_by(&mut self, key: WorkerKey) {
        self.fenced = true;
        if let Some(entry) = self.workers.get(&key) {
            self.events.push(WorkerEvent::Fenced { instance: entry.instance.clone() });
        }
    }

    /// Handles a change of a worker's reachability. An unreachable worker reports no progress, so that stall
    /// detection restarts once the worker is reachable again.
    fn reachability_changed(&mut self, key: WorkerKey, reachable: bool) {
        self.change_worker(key, |entry| entry.reachable = reachable);
        if reachable {
            self.restart_stall_detection(key);
        }
        if let Some(entry) = self.workers.get(&key) {
            let (instance, attempts) = (entry.instance.clone(), entry.assigned_count());
            self.events.push(match reachable {
                true => WorkerEvent::Recovered { instance },
                false => WorkerEvent::TimedOut { instance, attempts },
            });
        }
    }
}
