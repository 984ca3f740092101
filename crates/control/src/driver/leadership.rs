//! Leader duties: runs the scheduler's leader from election until step-down and executes its outputs.

use super::Driver;
use crate::clock::{time_of_day_ms, MILLISECOND};
use crate::metrics::Leadership;
use crate::operator_calls::reply_of;
use crate::worker_calls::WorkerCall;
use scheduler::leader::{client_reply_under_lease, Input, Leader, LeaderRecovery, LeaderSettings, Output};
use scheduler::worker::CallOutcome;

/// Minimum time between two flushes of the leader, each of which polls, admits and proposes.
const FLUSH_INTERVAL_NS: u64 = MILLISECOND;

impl Driver {
    /// Starts to build the leader. This process leads `term`, and its replicated state is complete.
    pub(super) fn become_leader(&mut self, now: u64, term: u64) {
        log::info!("leads term={term}");
        self.step_down();
        let settings = LeaderSettings {
            mechanisms: self.mechanisms.clone(),
            ..LeaderSettings::from_bounds(&self.settings.bounds)
        };
        let state = self.replica.state();
        self.recovery = Some(LeaderRecovery::new(term, settings, state, now, fastrand::u64(..)));
    }

    /// Continues to build the leader until the turn's time is used up, and starts the leader once it is
    /// complete.
    pub(super) fn advance_recovery(&mut self, now: u64, turn_ends: u64) {
        let Some(mut recovery) = self.recovery.take() else { return };
        while !recovery.advance(self.replica.state()) {
            if self.clock.now() >= turn_ends {
                self.recovery = Some(recovery);
                return;
            }
        }
        self.start_leader(now, recovery.finish());
    }

    fn start_leader(&mut self, now: u64, leader: Leader) {
        self.leader = Some(leader);
        self.announced_lease = 0;
        self.next_flush = 0;
        self.metrics.leadership_changed(Leadership::Gained);
        let term = self.replica.node().term();
        self.begin_routing(now, term);
        self.announce_leader();
        self.notify_leader(now, Input::ReadUntil { at: now });
        self.tick_leader(now);
    }

    /// Stops the leader, if there is one. Pending client and operator calls are answered; calls to workers
    /// are abandoned.
    pub(super) fn step_down(&mut self) {
        self.recovery = None;
        if self.leader.take().is_none() {
            return;
        }
        log::info!("stepped down");
        self.metrics.leadership_changed(Leadership::Lost);
        self.leader_outputs.clear();
        self.next_leader_tick = u64::MAX;
        self.flush_due = u64::MAX;
        self.workers.abandon_calls();
        self.router.end_term();
        self.platform.stop();
        self.clients.fail_pending();
        self.operator_calls.fail_pending();
        self.announce_leader();
    }

    /// Sends the leader its tick.
    pub(super) fn tick_leader(&mut self, now: u64) {
        self.next_leader_tick = u64::MAX;
        self.notify_leader(now, Input::Tick { time_of_day_ms: time_of_day_ms() });
    }

    /// Passes an input to the leader, if this process leads.
    pub(crate) fn notify_leader(&mut self, now: u64, input: Input) {
        if let Some(leader) = self.leader.as_mut() {
            leader.handle(self.replica.state(), now, input, &mut self.leader_outputs);
        }
    }

    /// Tells the leader about a changed lease, and lets the leader poll, admit and propose.
    ///
    /// `FLUSH_INTERVAL_NS` passes between two flushes so that other tasks run and input is read. Under load,
    /// the requests of many events thus become one log entry.
    pub(super) fn flush_leader(&mut self, now: u64) {
        if now < self.next_flush {
            self.flush_due = self.next_flush;
            return;
        }
        self.flush_due = u64::MAX;
        let lease_until = self.replica.node().lease_until();
        if let Some(leader) = self.leader.as_mut() {
            if self.announced_lease != lease_until {
                self.announced_lease = lease_until;
                leader.set_lease(now, lease_until);
            }
            leader.flush(self.replica.state(), now, &mut self.leader_outputs);
            self.next_flush = self.clock.now() + FLUSH_INTERVAL_NS;
        }
    }

    /// Executes an output of the leader.
    pub(super) fn execute(&mut self, now: u64, output: Output) {
        match output {
            Output::Propose { batch } => self.propose(now, batch),
            Output::Reply { token, reply } => {
                let has_lease = self.replica.has_lease(self.clock.now());
                self.clients.answer(token, client_reply_under_lease(reply, has_lease));
            }
            Output::ConfigurationReply { token, reply } => {
                let has_lease = self.replica.has_lease(self.clock.now());
                self.operator_calls.answer(token, reply_of(reply.under_lease(has_lease)));
            }
            Output::Call { call, address, instance, request } => {
                self.call_worker(now, WorkerCall::new(call, address, instance, request));
            }
            Output::CancelCall { call } => self.cancel_call(call),
            Output::ReadInstances => self.platform.read(),
            Output::WakeAt { at } => self.next_leader_tick = at,
        }
    }

    /// Sends a call to a worker if the applied log justifies the call (`State::check_call`) and the lease
    /// holds. Otherwise the leader gets the outcome that the call was not sent, or was withheld because the
    /// lease has expired.
    ///
    /// The lease is checked against the current clock: `now` is the start of the turn, and applying entries
    /// may have taken longer than the rest of the lease. The call's fencing token rises with the term and
    /// with each change of the worker's route (`relay`); workers reject a token that is lower than the
    /// highest one they have seen.
    fn call_worker(&mut self, now: u64, worker_call: WorkerCall) {
        let call = worker_call.call;
        if let Err(error) = self.replica.state().check_call(&worker_call.instance, &worker_call.request) {
            log::error!("{error}");
            self.notify_leader(now, Input::CallFinished { call, outcome: CallOutcome::NotSent });
        } else if self.replica.has_lease(self.clock.now()) {
            self.route_call(worker_call);
        } else {
            self.notify_leader(now, Input::CallFinished { call, outcome: CallOutcome::Withheld });
        }
    }
}
