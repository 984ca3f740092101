//! Handlers of the events that reach the driver from other tasks, threads and processes.

use super::Driver;
use crate::events::{ConnectionId, DriverEvent, OperatorCall, OperatorReply, FIRST_ACCEPTED};
use crate::platform::ListedPage;
use crate::wire::message_from_wire;
use consensus::{Event, Member};
use log_records::{member_from_wire, membership_to_wire};
use messages::peer::{
    mod_PeerFrame::OneOfbody, ClientRequest, ConsensusMessage, Hello, Join, LeaderNotice, Pong,
};
use scheduler::leader::Input;
use std::collections::HashSet;

impl Driver {
    /// Handles one event.
    pub(super) fn handle_event(&mut self, now: u64, event: DriverEvent) {
        match event {
            DriverEvent::Accepted { connection, outbox } => self.clients.add(connection, outbox),
            DriverEvent::Frame { connection, body } => self.handle_frame(now, connection, body),
            DriverEvent::Closed { connection } => self.handle_connection_closed(now, connection),
            DriverEvent::Refused { connection } => self.handle_connection_refused(now, connection),
            DriverEvent::CallFinished { generation, call, outcome } => {
                if self.workers.finished(generation, call) {
                    self.handle_call_finished(now, call, outcome);
                }
            }
            DriverEvent::InputMarker { at } => self.handle_input_marker(now, at),
            DriverEvent::Instances { read, result } if self.platform.is_current(read) => match result {
                Ok(page) => self.handle_listed_page(now, page),
                Err(error) => {
                    log::warn!("{error}");
                    self.notify_leader(now, Input::InstancesFailed);
                }
            },
            DriverEvent::Instances { .. } => {}
            DriverEvent::Operator(call) => self.handle_operator_call(now, call),
            DriverEvent::Admin(call) => self.handle_admin_call(now, call),
            DriverEvent::Signal(signal) => self.handle_signal(now, signal),
        }
    }

    fn handle_listed_page(&mut self, now: u64, page: ListedPage) {
        let ListedPage { instances, requested_at, has_changed, complete_list } = page;
        if let Some(pages) = &complete_list {
            let listed = pages.iter().flat_map(|page| page.iter());
            let addresses: HashSet<&str> = listed.map(|instance| instance.address.as_str()).collect();
            self.workers.retain(|address| addresses.contains(address));
        }
        let is_last = complete_list.is_some();
        self.notify_leader(now, Input::Instances { instances, as_of: requested_at, has_changed, is_last });
    }

    fn handle_frame(&mut self, now: u64, connection: ConnectionId, body: OneOfbody) {
        match body {
            OneOfbody::hello(hello) => self.handle_hello(connection, &hello),
            OneOfbody::leader(notice) => {
                self.group_join.handle_leader_notice(now, &notice);
                self.handle_leader_notice(now, notice);
            }
            OneOfbody::join(Join { member: Some(member) }) => {
                let member = member_from_wire(member);
                self.peers.set_address(member.id, &member.address);
                self.step_consensus(now, Event::Join { member });
            }
            OneOfbody::request(request) => self.handle_client_request(now, connection, request),
            OneOfbody::consensus(message) => self.handle_consensus_message(now, message),
            OneOfbody::ping(ping) => {
                self.clients.push(connection, OneOfbody::pong(Pong { number: ping.number }));
            }
            OneOfbody::founding_offer(offer) => self.handle_founding_offer(now, connection, offer),
            OneOfbody::founding_proposal(proposal) => self.handle_founding_proposal(now, proposal),
            OneOfbody::group_notice(notice) => self.handle_group_notice(now, notice),
            OneOfbody::worker_calls(batch) => self.handle_call_batch(batch),
            OneOfbody::relay_report(report) => self.handle_relay_report(now, report),
            OneOfbody::join(Join { member: None })
            | OneOfbody::reply(_)
            | OneOfbody::pong(_)
            | OneOfbody::None => {}
        }
    }

    fn handle_hello(&mut self, connection: ConnectionId, hello: &Hello) {
        if hello.node_id != 0 {
            self.peers.set_address(hello.node_id, &hello.address);
            self.peers.peer_started(&hello.address);
            self.group_join.add_contact(&hello.address);
        }
        let notice = self.leader_notice();
        self.clients.register_hello(connection, hello, &notice);
    }

    /// Passes a consensus message to the node. A message addressed to another identity is dropped: this
    /// machine used that identity before it lost its disk.
    fn handle_consensus_message(&mut self, now: u64, message: ConsensusMessage) {
        if message.to != self.replica.node().id() || message.from == 0 {
            return;
        }
        match message_from_wire(message.kind) {
            Ok(Some(content)) => {
                self.step_consensus(now, Event::Message { from: message.from, message: content });
            }
            Ok(None) => {}
            Err(error) => log::warn!("invalid message from core process {:#x}: {error}", message.from),
        }
    }

    fn handle_client_request(&mut self, now: u64, connection: ConnectionId, request: ClientRequest) {
        if !self.is_serving(now) {
            self.clients.reject(connection, &request);
            return;
        }
        let token = self.clients.admit(connection, &request);
        self.notify_leader(now, Input::Client { token, request });
    }

    fn handle_connection_closed(&mut self, now: u64, connection: ConnectionId) {
        if connection < FIRST_ACCEPTED {
            for to in self.peers.ids_of(connection) {
                self.relay_unreachable(now, to);
                self.step_consensus(now, Event::PeerDisconnected { peer: to });
            }
            return;
        }
        for token in self.clients.remove_connection(connection) {
            self.notify_leader(now, Input::Abandoned { token });
        }
    }

    fn handle_connection_refused(&mut self, now: u64, connection: ConnectionId) {
        for peer in self.peers.ids_of(connection) {
            self.step_consensus(now, Event::PeerDown { peer });
        }
    }

    fn handle_operator_call(&mut self, now: u64, call: OperatorCall) {
        if self.is_serving(now) {
            let input = self.operator_calls.admit(call);
            self.notify_leader(now, input);
            return;
        }
        let reply = match self.remote_leader() {
            Some(leader) => OperatorReply::Redirect { control: leader.control.clone() },
            None => OperatorReply::Unavailable,
        };
        // Sending fails if the caller has disconnected; the caller then repeats the call.
        let _ = call.reply.send(reply);
    }

    /// The leader that this process knows of, if it is another process.
    pub(crate) fn remote_leader(&self) -> Option<&Member> {
        let own_id = self.replica.node().id();
        self.replica.leader().filter(|leader| leader.id != own_id)
    }

    /// Whether this process accepts requests: it leads, its lease holds, and it is not stopping.
    pub(crate) fn is_serving(&self, now: u64) -> bool {
        self.leader.is_some() && !self.is_stopping() && self.replica.has_lease(now)
    }

    /// The notice about the leader that other processes get. While this process leads but its leader state is
    /// incomplete, the notice names no leader.
    fn leader_notice(&self) -> LeaderNotice {
        let node = self.replica.node();
        let is_ready = |id| id != node.id() || (self.leader.is_some() && !self.is_stopping());
        let leader = self.replica.leader().filter(|leader| is_ready(leader.id));
        LeaderNotice {
            term: node.term(),
            leader_id: leader.map_or(0, |leader| leader.id),
            leader_address: leader.map_or_else(String::new, |leader| leader.address.clone()),
            membership: Some(membership_to_wire(node.membership())),
        }
    }

    /// Sends the leader notice to all connected processes.
    pub(super) fn announce_leader(&self) {
        self.clients.announce(&self.leader_notice());
    }
}
