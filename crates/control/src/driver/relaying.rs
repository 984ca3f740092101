//! Calls to workers over relays, on both sides: as the leader that routes calls, and as a relay that makes
//! them.

use super::Driver;
use crate::clock::MILLISECOND;
use crate::relay::{AgentAction, Cancellation};
use crate::worker_calls::WorkerCall;
use consensus::NodeId;
use messages::peer::mod_PeerFrame::OneOfbody;
use messages::peer::{RelayReport, WorkerCallBatch};
use scheduler::leader::{CallId, Input, Leader};
use scheduler::worker::CallOutcome;

/// Minimum time between two reports of a relay. Under load, one report carries the outcomes of many calls.
const REPORT_INTERVAL_NS: u64 = 2 * MILLISECOND;

impl Driver {
    /// Starts to route calls for `term`, which this process leads.
    pub(super) fn begin_routing(&mut self, now: u64, term: u64) {
        if self.relay_agent.end_session_before(term) {
            self.workers.abandon_calls();
        }
        let workers = self.leader.as_ref().map_or(0, Leader::worker_count);
        self.router.begin_term(term, workers);
        self.update_relays(now);
    }

    /// Updates the router's relays to the current members of the group.
    pub(super) fn update_relays(&mut self, now: u64) {
        if self.leader.is_none() {
            return;
        }
        let members: Vec<NodeId> =
            self.replica.node().membership().members.iter().map(|member| member.id).collect();
        let interrupted = self.router.set_members(now, &members);
        self.notify_calls_finished(now, interrupted);
    }

    /// Makes a call from this process or over a relay.
    pub(super) fn route_call(&mut self, call: WorkerCall) {
        let lease_until = self.replica.node().lease_until();
        if let Some(call) = self.router.route(call, lease_until) {
            self.workers.start(call);
        }
    }

    /// Cancels a call that the leader no longer needs.
    pub(super) fn cancel_call(&mut self, call: CallId) {
        if self.router.cancel(call) == Cancellation::Local {
            self.workers.cancel(call);
        }
    }

    /// Handles the end of a call that this process made, either as the leader or as a relay.
    pub(super) fn handle_call_finished(&mut self, now: u64, call: CallId, outcome: CallOutcome) {
        if self.leader.is_none() {
            self.relay_agent.call_finished(call, outcome);
            return;
        }
        if let Some(outcome) = self.router.finish_local_call(call, outcome) {
            self.notify_leader(now, Input::CallFinished { call, outcome });
        }
    }

    /// Handles a batch of calls that a leader sent to this process as its relay.
    pub(super) fn handle_call_batch(&mut self, batch: WorkerCallBatch) {
        if self.leader.is_some() || self.recovery.is_some() {
            return;
        }
        for action in self.relay_agent.receive_batch(self.replica.node().term(), batch) {
            match action {
                AgentAction::AbandonCalls => self.workers.abandon_calls(),
                AgentAction::Start(call) => self.workers.start(call),
                AgentAction::Cancel(call) => self.workers.cancel(call),
            }
        }
    }

    /// Handles a relay's report of call outcomes.
    pub(super) fn handle_relay_report(&mut self, now: u64, report: RelayReport) {
        let finished = self.router.receive_report(now, report);
        self.notify_calls_finished(now, finished);
    }

    /// Handles that a core process is unreachable.
    pub(super) fn relay_unreachable(&mut self, now: u64, id: NodeId) {
        let interrupted = self.router.handle_relay_loss(now, id);
        self.notify_calls_finished(now, interrupted);
    }

    /// Ends the sessions of overdue relays. Everything that arrived before `read_until` has been handled.
    pub(super) fn expire_overdue_relays(&mut self, now: u64, read_until: u64) {
        let interrupted = self.router.expire_overdue_relays(now, read_until);
        self.notify_calls_finished(now, interrupted);
    }

    fn notify_calls_finished(&mut self, now: u64, calls: Vec<(CallId, CallOutcome)>) {
        for (call, outcome) in calls {
            self.notify_leader(now, Input::CallFinished { call, outcome });
        }
    }

    /// Sends due batches to relays, or the due report to the leader that this process is a relay for.
    pub(super) fn send_relay_frames(&mut self, now: u64) {
        if self.leader.is_some() {
            for (relay, batch) in self.router.take_batches(now) {
                self.peers.send_frame(relay, OneOfbody::worker_calls(batch));
            }
            return;
        }
        if self.relay_agent.end_session_before(self.replica.node().term()) {
            self.workers.abandon_calls();
        }
        if now < self.next_report {
            return;
        }
        if let Some((leader, report)) = self.relay_agent.take_report(self.clock.now()) {
            self.next_report = now + REPORT_INTERVAL_NS;
            self.peers.send_frame(leader, OneOfbody::relay_report(report));
        }
    }

    /// When `send_relay_frames` or `expire_overdue_relays` is next due, if nothing else happens before.
    pub(super) fn relay_timer(&self) -> u64 {
        if self.leader.is_some() {
            return self.router.next_timer(self.clock.now());
        }
        if self.relay_agent.is_report_due() {
            return self.next_report;
        }
        u64::MAX
    }
}
