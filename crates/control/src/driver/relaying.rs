//! Calls to workers over relays: as the leader that has them made, and as the relay that makes them.

use super::Driver;
use crate::clock::MILLISECOND;
use crate::relay::{AgentAction, Cancellation};
use crate::worker_calls::WorkerCall;
use consensus::NodeId;
use messages::peer::mod_PeerFrame::OneOfbody;
use messages::peer::{RelayReport, WorkerCallBatch};
use scheduler::leader::{CallId, Input, Leader};
use scheduler::worker::CallOutcome;

/// Least time between two reports of a relay, in nanoseconds: under load one carries the outcomes of many calls.
const REPORT_INTERVAL: u64 = 2 * MILLISECOND;

impl Driver {
    /// This process leads `term`: calls are routed anew.
    pub(super) fn begin_routing(&mut self, now: u64, term: u64) {
        if self.relay.end_session_before(term) {
            self.workers.abandon_calls();
        }
        let workers = self.leader.as_ref().map_or(0, Leader::worker_count);
        self.router.begin_term(term, workers);
        self.update_relays(now);
    }

    /// The members of the group may have changed.
    pub(super) fn update_relays(&mut self, now: u64) {
        if self.leader.is_none() {
            return;
        }
        let members: Vec<NodeId> =
            self.replica.node().membership().members.iter().map(|member| member.id).collect();
        let interrupted = self.router.set_members(now, &members);
        self.calls_ended(now, interrupted);
    }

    /// Has a call made, here or by a relay.
    pub(super) fn route_call(&mut self, call: WorkerCall) {
        let lease_until = self.replica.node().lease_until();
        if let Some(call) = self.router.route(call, lease_until) {
            self.workers.start(call);
        }
    }

    /// The leader no longer needs a call.
    pub(super) fn cancel_call(&mut self, call: CallId) {
        if self.router.cancel(call) == Cancellation::Here {
            self.workers.cancel(call);
        }
    }

    /// A call that this process made has ended: its own as a leader, or one that it made as a relay.
    pub(super) fn handle_call_finished(&mut self, now: u64, call: CallId, outcome: CallOutcome) {
        if self.leader.is_none() {
            self.relay.call_finished(call, outcome);
            return;
        }
        if let Some(outcome) = self.router.finished_here(call, outcome) {
            self.notify_leader(now, Input::CallFinished { call, outcome });
        }
    }

    /// A leader has calls for this process to make.
    pub(super) fn handle_call_batch(&mut self, batch: WorkerCallBatch) {
        if self.leader.is_some() || self.recovery.is_some() {
            return;
        }
        for action in self.relay.take_batch(self.replica.node().term(), batch) {
            match action {
                AgentAction::AbandonCalls => self.workers.abandon_calls(),
                AgentAction::Start(call) => self.workers.start(call),
                AgentAction::Cancel(call) => self.workers.cancel(call),
            }
        }
    }

    /// A relay reports outcomes of calls.
    pub(super) fn handle_relay_report(&mut self, now: u64, report: RelayReport) {
        let finished = self.router.take_report(now, report);
        self.calls_ended(now, finished);
    }

    /// A core process cannot be reached.
    pub(super) fn relay_unreachable(&mut self, now: u64, id: NodeId) {
        let interrupted = self.router.relay_lost(now, id);
        self.calls_ended(now, interrupted);
    }

    /// Everything that arrived before `read_until` was handled.
    pub(super) fn judge_relays(&mut self, now: u64, read_until: u64) {
        let interrupted = self.router.judge_relays(now, read_until);
        self.calls_ended(now, interrupted);
    }

    fn calls_ended(&mut self, now: u64, calls: Vec<(CallId, CallOutcome)>) {
        for (call, outcome) in calls {
            self.notify_leader(now, Input::CallFinished { call, outcome });
        }
    }

    /// Sends what is due to relays, or to the leader that this process is a relay of.
    pub(super) fn send_relayed(&mut self, now: u64) {
        if self.leader.is_some() {
            for (relay, batch) in self.router.take_batches(now) {
                self.peers.send_frame(relay, OneOfbody::worker_calls(batch));
            }
            return;
        }
        if self.relay.end_session_before(self.replica.node().term()) {
            self.workers.abandon_calls();
        }
        if now < self.next_report {
            return;
        }
        if let Some((leader, report)) = self.relay.take_report(self.clock.now()) {
            self.next_report = now + REPORT_INTERVAL;
            self.peers.send_frame(leader, OneOfbody::relay_report(report));
        }
    }

    /// When `send_relayed` or `judge_relays` has something to do, if nothing else happens before.
    pub(super) fn relaying_timer(&self) -> u64 {
        if self.leader.is_some() {
            return self.router.next_timer(self.clock.now());
        }
        if self.relay.is_report_due() {
            return self.next_report;
        }
        u64::MAX
    }
}
