//! Hosts the leader's decision logic while this process leads.

use scheduler::leader::{client_reply_under_lease, Input, Leader, Output};
use scheduler::worker::CallOutcome;

use super::clients::operator_reply;
use super::{CoreOutput, CoreProcess};

impl CoreProcess {
    /// Starts to lead in a term. The state must be complete.
    pub(super) fn start_leading(&mut self, term: u64) {
        self.stop_leading();
        let seed = self.rng.u64(..);
        self.leader_term = term;
        self.work.recovered_jobs += self.state.jobs().count() as u64;
        self.leader = Some(Leader::new(term, self.leader_settings.clone(), &self.state, self.now, seed));
        self.announced_lease = 0;
        self.announce_leader();
        self.wake_leader();
    }

    /// Stops leading: answers all pending requests and drops the leader's calls.
    pub(super) fn stop_leading(&mut self) {
        self.count_leader_work();
        if self.leader.take().is_none() {
            return;
        }
        self.leader_outputs.clear();
        self.leader_term = 0;
        self.wake_at = u64::MAX;
        self.abort_pending();
        self.announce_leader();
    }

    pub(super) fn wake_leader(&mut self) {
        self.wake_at = u64::MAX;
        self.notify_leader(Input::Tick { time_of_day_ms: self.time_of_day_ms });
    }

    /// Passes an input to the leader, if this process leads.
    pub(super) fn notify_leader(&mut self, input: Input) {
        if let Some(leader) = self.leader.as_mut() {
            leader.handle(&self.state, self.now, input, &mut self.leader_outputs);
        }
    }

    /// Passes the platform's worker list on to the leader, as a single page.
    pub(super) fn list_arrived(&mut self, has_changed: bool) {
        let (instances, as_of) = (self.listed.clone(), self.list_asked_at);
        self.notify_leader(Input::Instances { instances, as_of, has_changed, is_last: true });
    }

    /// Updates the leader's lease and lets the leader finish its turn.
    pub(super) fn flush_leader(&mut self) {
        let lease_until = self.node.lease_until();
        if let Some(leader) = self.leader.as_mut() {
            if self.announced_lease != lease_until {
                self.announced_lease = lease_until;
                leader.set_lease(self.now, lease_until);
            }
            leader.flush(&self.state, self.now, &mut self.leader_outputs);
            if let Some(missed) = leader.missed_wake_up(&self.state) {
                self.out.push(CoreOutput::Failed(format!("missed wake-up: {missed}")));
            }
        }
    }

    /// Whether this process holds a valid leader lease.
    pub(super) fn has_lease(&self) -> bool {
        self.node.lease_until() > self.now
    }

    /// Carries out an output of the leader.
    pub(super) fn execute(&mut self, output: Output) {
        match output {
            Output::Propose { batch } => {
                for payload in log_records::batch_payloads(batch) {
                    self.node_event(consensus::Event::Propose { payload });
                }
            }
            Output::Reply { token, reply } => {
                self.answer_client(token, client_reply_under_lease(reply, self.has_lease()));
            }
            Output::ConfigurationReply { token, reply } => {
                let reply = operator_reply(reply.under_lease(self.has_lease()));
                self.answer_operator(token, reply);
            }
            Output::Call { call, address, instance, request } => {
                if let Err(error) = self.state.check_call(&instance, &request) {
                    self.out.push(CoreOutput::Failed(error.to_string()));
                }
                if self.has_lease() {
                    let term = self.leader_term;
                    self.out.push(CoreOutput::Call { term, call, address, instance, request });
                } else {
                    self.notify_leader(Input::CallFinished { call, outcome: CallOutcome::Withheld });
                }
            }
            Output::CancelCall { call } => {
                self.out.push(CoreOutput::CancelCall { term: self.leader_term, call });
            }
            Output::ReadInstances => {
                self.list_asked_at = self.now;
                self.out.push(CoreOutput::ReadInstances { term: self.leader_term });
            }
            Output::WakeAt { at } => self.wake_at = at,
        }
    }
}
