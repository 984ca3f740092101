//! Connections that other processes opened to this one, and the requests that edges forward over them.

use crate::events::ConnectionId;
use crate::transport::outbox::Outbox;
use consensus::NodeId;
use messages::peer::mod_ClientRequest::OneOfcall;
use messages::peer::{mod_PeerFrame::OneOfbody, ClientReply, ClientRequest, Hello, LeaderNotice, Outcome};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Names a pending request.
pub type Token = u64;

struct Client {
    outbox: Arc<Outbox>,
    has_greeted: bool,
    /// Identity and address, if the other side is a core process.
    core_process: Option<(NodeId, String)>,
}

struct PendingRequest {
    connection: ConnectionId,
    request_id: u64,
    /// Once admitted, it may take effect although no reply says so.
    changes_state: bool,
}

/// Connections of clients and their pending requests, in the order in which they arrived, so that iterations have a
/// fixed order.
///
/// Each request that was admitted gets exactly one reply, unless its connection ends first.
#[derive(Default)]
pub struct Clients {
    connections: BTreeMap<ConnectionId, Client>,
    pending: BTreeMap<Token, PendingRequest>,
    next_token: Token,
}

impl Clients {
    /// Adds an accepted connection.
    pub fn add(&mut self, connection: ConnectionId, outbox: Arc<Outbox>) {
        self.connections.insert(connection, Client { outbox, has_greeted: false, core_process: None });
    }

    /// The other side has sent its hello: it is notified of leaders from now on.
    pub fn greeted(&mut self, connection: ConnectionId, hello: &Hello, notice: &LeaderNotice) {
        if let Some(client) = self.connections.get_mut(&connection) {
            client.has_greeted = true;
            client.core_process = (hello.node_id != 0).then(|| (hello.node_id, hello.address.clone()));
            client.outbox.push(OneOfbody::leader(notice.clone()));
        }
    }

    /// Identities and addresses of the core processes that are connected.
    pub fn core_processes(&self) -> BTreeSet<(NodeId, String)> {
        self.connections.values().filter_map(|client| client.core_process.clone()).collect()
    }

    /// Notifies all connected processes of the leader.
    pub fn announce(&self, notice: &LeaderNotice) {
        for client in self.connections.values().filter(|client| client.has_greeted) {
            client.outbox.push(OneOfbody::leader(notice.clone()));
        }
    }

    /// Removes a connection that ended. Returns its requests, whose replies nobody receives any more.
    pub fn closed(&mut self, connection: ConnectionId) -> Vec<Token> {
        self.connections.remove(&connection);
        let abandoned = self.pending.iter().filter(|(_, pending)| pending.connection == connection);
        let abandoned: Vec<Token> = abandoned.map(|(token, _)| *token).collect();
        for token in &abandoned {
            self.pending.remove(token);
        }
        abandoned
    }

    /// Admits a request: it is pending until it is answered.
    pub fn admit(&mut self, connection: ConnectionId, request: &ClientRequest) -> Token {
        self.next_token += 1;
        let changes_state = matches!(request.call, OneOfcall::submit(_) | OneOfcall::cancel(_));
        let pending = PendingRequest { connection, request_id: request.request_id, changes_state };
        self.pending.insert(self.next_token, pending);
        self.next_token
    }

    /// Answers a pending request.
    pub fn answer(&mut self, token: Token, mut reply: ClientReply) {
        if let Some(pending) = self.pending.remove(&token) {
            reply.request_id = pending.request_id;
            self.push(pending.connection, OneOfbody::reply(reply));
        }
    }

    /// Answers a request that was not admitted.
    pub fn reject(&self, connection: ConnectionId, request: &ClientRequest) {
        self.push(connection, OneOfbody::reply(not_leader(request.request_id)));
    }

    /// Answers all pending requests, since this process stepped down.
    pub fn fail_pending(&mut self) {
        for (_, pending) in std::mem::take(&mut self.pending) {
            let mut reply = not_leader(pending.request_id);
            if pending.changes_state {
                reply.outcome = Outcome::UNSURE;
                reply.text =
                    "the leader changed before the outcome was known: send the same call again".to_owned();
            }
            self.push(pending.connection, OneOfbody::reply(reply));
        }
    }

    /// Sends a frame on a connection, if it is still there.
    pub fn push(&self, connection: ConnectionId, body: OneOfbody) {
        if let Some(client) = self.connections.get(&connection) {
            client.outbox.push(body);
        }
    }

    /// Whether all frames were written to sockets.
    pub fn is_flushed(&self) -> bool {
        self.connections.values().all(|client| client.outbox.is_flushed())
    }
}

/// The reply of a process that does not lead, or cannot confirm that it does.
fn not_leader(request_id: u64) -> ClientReply {
    ClientReply { request_id, outcome: Outcome::NOT_LEADER, ..ClientReply::default() }
}
