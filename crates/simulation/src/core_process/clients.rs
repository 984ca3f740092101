//! Pending requests from edges and the operator.

use consensus::Member;
use log_records::membership_to_wire;
use messages::peer::mod_ClientRequest::OneOfcall;
use messages::peer::{ClientReply, ClientRequest, LeaderNotice, Outcome};
use scheduler::leader::{ConfigurationReply, Input};

use super::{identity, CoreOutput, CoreProcess, OperatorReply};

/// A pending request.
#[derive(Debug)]
pub enum Pending {
    /// A request from a client.
    Client {
        /// The edge connection that carried the request.
        connection: u64,
        /// The request's number on that connection.
        request_id: u64,
        /// Once accepted for processing, the request may take effect even if no answer confirms it.
        changes_state: bool,
    },
    /// A request from the operator.
    Operator {
        /// Identifies the operator's exchange.
        call: u64,
    },
}

/// The answer of a process that does not lead, or cannot confirm that it leads.
pub fn not_leader(request_id: u64) -> ClientReply {
    ClientReply { request_id, outcome: Outcome::NOT_LEADER, ..ClientReply::default() }
}

/// Converts the leader's answer into the operator's form.
pub fn operator_reply(reply: ConfigurationReply) -> OperatorReply {
    match reply {
        ConfigurationReply::Accepted => OperatorReply::Accepted,
        ConfigurationReply::Conflict { .. } => OperatorReply::Conflict,
        ConfigurationReply::Body { body, .. } => OperatorReply::Body(body),
        ConfigurationReply::Invalid { .. } => OperatorReply::Invalid,
        ConfigurationReply::Unavailable { .. } => OperatorReply::Unavailable,
    }
}

impl CoreProcess {
    pub(super) fn edge_connected(&mut self, connection: u64) {
        self.edges.push(connection);
        let notice = self.notice();
        self.out.push(CoreOutput::Notice { connection, notice });
    }

    pub(super) fn edge_closed(&mut self, connection: u64) {
        self.edges.retain(|known| *known != connection);
        let is_lost = |pending: &Pending| matches!(pending, Pending::Client { connection: on, .. } if *on == connection);
        let lost: Vec<u64> =
            self.pending.iter().filter(|(_, pending)| is_lost(pending)).map(|(token, _)| *token).collect();
        for token in lost {
            self.pending.remove(&token);
            self.notify_leader(Input::Abandoned { token });
        }
    }

    /// Whether requests are accepted: this process leads, holds a lease and is not stopping.
    fn is_serving(&self) -> bool {
        self.leader.is_some() && !self.stopping && self.has_lease()
    }

    fn add_pending(&mut self, pending: Pending) -> u64 {
        self.next_token += 1;
        self.pending.insert(self.next_token, pending);
        self.next_token
    }

    pub(super) fn handle_request(&mut self, connection: u64, request: ClientRequest) {
        if !self.is_serving() {
            let reply = not_leader(request.request_id);
            self.out.push(CoreOutput::Reply { connection, reply });
            return;
        }
        let changes_state = matches!(request.call, OneOfcall::submit(_) | OneOfcall::cancel(_));
        let request_id = request.request_id;
        let token = self.add_pending(Pending::Client { connection, request_id, changes_state });
        self.notify_leader(Input::Client { token, request });
    }

    pub(super) fn answer_client(&mut self, token: u64, mut reply: ClientReply) {
        if let Some(Pending::Client { connection, request_id, .. }) = self.pending.remove(&token) {
            reply.request_id = request_id;
            self.out.push(CoreOutput::Reply { connection, reply });
        }
    }

    pub(super) fn handle_put(&mut self, call: u64, if_match: Option<u64>, body: Vec<u8>) {
        if let Some(reply) = self.refuse_operator() {
            self.out.push(CoreOutput::Operator { call, reply });
            return;
        }
        let token = self.add_pending(Pending::Operator { call });
        self.notify_leader(Input::PutConfiguration { token, if_match, body });
    }

    pub(super) fn handle_get(&mut self, call: u64) {
        if let Some(reply) = self.refuse_operator() {
            self.out.push(CoreOutput::Operator { call, reply });
            return;
        }
        let token = self.add_pending(Pending::Operator { call });
        self.notify_leader(Input::ReadConfiguration { token });
    }

    fn refuse_operator(&self) -> Option<OperatorReply> {
        if self.is_serving() {
            return None;
        }
        let own_id = self.node.id();
        let leader = self.known_leader().filter(|leader| leader.id != own_id);
        let machine = leader.and_then(|leader| identity::machine_at(&leader.control));
        Some(machine.map_or(OperatorReply::Unavailable, OperatorReply::Redirect))
    }

    pub(super) fn answer_operator(&mut self, token: u64, reply: OperatorReply) {
        if let Some(Pending::Operator { call }) = self.pending.remove(&token) {
            self.out.push(CoreOutput::Operator { call, reply });
        }
    }

    /// Answers all pending requests because this process no longer leads.
    pub(super) fn abort_pending(&mut self) {
        for (_, pending) in std::mem::take(&mut self.pending) {
            match pending {
                Pending::Client { connection, request_id, changes_state } => {
                    let mut reply = not_leader(request_id);
                    if changes_state {
                        reply.outcome = Outcome::UNSURE;
                    }
                    self.out.push(CoreOutput::Reply { connection, reply });
                }
                Pending::Operator { call } => {
                    self.out.push(CoreOutput::Operator { call, reply: OperatorReply::Unavailable });
                }
            }
        }
    }

    fn known_leader(&self) -> Option<&Member> {
        self.node.membership().member(self.node.leader()?)
    }

    /// The leader notice for other processes. A leader whose state is not complete yet is not announced.
    pub(super) fn notice(&self) -> LeaderNotice {
        let is_ready = |id| id != self.node.id() || (self.leader.is_some() && !self.stopping);
        let leader = self.known_leader().filter(|leader| is_ready(leader.id));
        LeaderNotice {
            term: self.node.term(),
            leader_id: leader.map_or(0, |leader| leader.id),
            leader_address: leader.map_or_else(String::new, |leader| leader.address.clone()),
            membership: Some(membership_to_wire(self.node.membership())),
        }
    }

    /// Announces the current leader to every edge.
    pub(super) fn announce_leader(&mut self) {
        let notice = self.notice();
        for connection in &self.edges {
            let notice = notice.clone();
            self.out.push(CoreOutput::Notice { connection: *connection, notice });
        }
    }
}
