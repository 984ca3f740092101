//! Connections that other processes opened to this process, and the client requests that edges forward over
//! them.

use crate::events::ConnectionId;
use crate::transport::outbox::Outbox;
use consensus::NodeId;
use messages::peer::mod_ClientRequest::OneOfcall;
use messages::peer::{mod_PeerFrame::OneOfbody, ClientReply, ClientRequest, Hello, LeaderNotice, Outcome};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Identifies a pending request.
pub type RequestToken = u64;

struct Client {
    outbox: Arc<Outbox>,
    has_sent_hello: bool,
    /// Identity and address of the other side, if it is a core process.
    core_process: Option<(NodeId, String)>,
}

struct PendingRequest {
    connection: ConnectionId,
    request_id: u64,
    /// Whether the request may take effect even if no reply confirms it.
    changes_state: bool,
}

/// Connections of clients and their pending requests, in order of arrival, so that iterations have a fixed
/// order.
///
/// Each admitted request gets exactly one reply, unless its connection ends first.
#[derive(Default)]
pub struct Clients {
    connections: BTreeMap<ConnectionId, Client>,
    pending: BTreeMap<RequestToken, PendingRequest>,
    next_token: RequestToken,
}

impl Clients {
    /// Adds an accepted connection.
    pub fn add(&mut self, connection: ConnectionId, outbox: Arc<Outbox>) {
        self.connections.insert(connection, Client { outbox, has_sent_hello: false, core_process: None });
    }

    /// Handles the other side's hello: from now on the other side gets leader notices.
    pub fn register_hello(&mut self, connection: ConnectionId, hello: &Hello, notice: &LeaderNotice) {
        if let Some(client) = self.connections.get_mut(&connection) {
            client.has_sent_hello = true;
            client.core_process = (hello.node_id != 0).then(|| (hello.node_id, hello.address.clone()));
            client.outbox.push(OneOfbody::leader(notice.clone()));
        }
    }

    /// Identities and addresses of the connected core processes.
    pub fn core_processes(&self) -> BTreeSet<(NodeId, String)> {
        self.connections.values().filter_map(|client| client.core_process.clone()).collect()
    }

    /// Sends a leader notice to all connected processes that have sent their hello.
    pub fn announce(&self, notice: &LeaderNotice) {
        for client in self.connections.values().filter(|client| client.has_sent_hello) {
            client.outbox.push(OneOfbody::leader(notice.clone()));
        }
    }

    /// Removes a connection that ended. Returns its pending requests, whose replies can no longer be
    /// delivered.
    pub fn remove_connection(&mut self, connection: ConnectionId) -> Vec<RequestToken> {
        self.connections.remove(&connection);
        let abandoned = self.pending.iter().filter(|(_, pending)| pending.connection == connection);
        let abandoned: Vec<RequestToken> = abandoned.map(|(token, _)| *token).collect();
        for token in &abandoned {
            self.pending.remove(token);
        }
        abandoned
    }

    /// Admits a request, which is pending until it is answered.
    pub fn admit(&mut self, connection: ConnectionId, request: &ClientRequest) -> RequestToken {
        self.next_token += 1;
        let changes_state = matches!(request.call, OneOfcall::submit(_) | OneOfcall::cancel(_));
        let pending = PendingRequest { connection, request_id: request.request_id, changes_state };
        self.pending.insert(self.next_token, pending);
        self.next_token
    }

    /// Answers a pending request.
    pub fn answer(&mut self, token: RequestToken, mut reply: ClientReply) {
        if let Some(pending) = self.pending.remove(&token) {
            reply.request_id = pending.request_id;
            self.push(pending.connection, OneOfbody::reply(reply));
        }
    }

    /// Answers a request that was not admitted, as a process that does not lead.
    pub fn reject(&self, connection: ConnectionId, request: &ClientRequest) {
        self.push(connection, OneOfbody::reply(not_leader(request.request_id)));
    }

    /// Answers all pending requests because this process has stepped down.
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

    /// Queues a frame on a connection, if that connection is still open.
    pub fn push(&self, connection: ConnectionId, body: OneOfbody) {
        if let Some(client) = self.connections.get(&connection) {
            client.outbox.push(body);
        }
    }

    /// Whether all queued frames were written to sockets.
    pub fn is_flushed(&self) -> bool {
        self.connections.values().all(|client| client.outbox.is_flushed())
    }
}

/// The reply of a process that does not lead or cannot confirm that it leads.
fn not_leader(request_id: u64) -> ClientReply {
    ClientReply { request_id, outcome: Outcome::NOT_LEADER, ..ClientReply::default() }
}
