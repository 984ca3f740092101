//! Connections that this process opens to the other core processes.

use crate::event_queue::EventSender;
use crate::events::ConnectionId;
use crate::transport::link::Link;
use consensus::{Member, Membership, NodeId};
use log_records::member_to_wire;
use messages::peer::{mod_PeerFrame::OneOfbody, ConsensusMessage, Hello, Join};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

struct PeerConnection {
    link: Link,
    id: ConnectionId,
}

/// One connection to each other core process.
///
/// Connections are keyed by address and not by identity, because a machine that lost its disk has a new
/// identity at the same address. `addresses` maps identities to addresses, and so to connections.
pub struct PeerConnections {
    own: Member,
    hello: Hello,
    connections: HashMap<SocketAddr, PeerConnection>,
    addresses: BTreeMap<NodeId, SocketAddr>,
    next_connection: ConnectionId,
    events: EventSender,
}

impl PeerConnections {
    /// Creates the set without any connections.
    pub fn new(node_name: &str, own: Member, events: EventSender) -> Self {
        let hello = Hello {
            node_name: node_name.to_owned(),
            node_id: own.id,
            address: own.address.clone(),
            control: own.control.clone(),
        };
        PeerConnections {
            own,
            hello,
            connections: HashMap::new(),
            addresses: BTreeMap::new(),
            next_connection: 0,
            events,
        }
    }

    /// Records the address of an identity.
    pub fn set_address(&mut self, id: NodeId, address: &str) {
        match address.parse() {
            Ok(address) if id != self.own.id && id != 0 => {
                self.addresses.insert(id, address);
            }
            Ok(_) => {}
            Err(_) => log::warn!("{address:?} of a core process is not a valid address: check its settings"),
        }
    }

    /// Connects to all members and all `contacts`, and closes all other connections.
    pub fn set_members(&mut self, membership: &Membership, contacts: &[SocketAddr]) {
        for member in &membership.members {
            self.set_address(member.id, &member.address);
        }
        let own_id = self.own.id;
        let others = membership.members.iter().filter(|member| member.id != own_id);
        let mut wanted: Vec<SocketAddr> = others.filter_map(|member| member.address.parse().ok()).collect();
        wanted.extend_from_slice(contacts);
        self.connections.retain(|address, _| wanted.contains(address));
        for address in wanted {
            self.open(address);
        }
    }

    /// Sends a consensus message. The message is dropped if the address of the identity is unknown.
    pub fn send(&mut self, to: NodeId, message: ConsensusMessage) {
        self.send_frame(to, OneOfbody::consensus(message));
    }

    /// Sends a frame. The frame is dropped if the address of the identity is unknown.
    pub fn send_frame(&mut self, to: NodeId, body: OneOfbody) {
        let Some(address) = self.addresses.get(&to).copied() else {
            log::debug!("the address of core process {to:#x} is unknown");
            return;
        };
        self.open(address).link.push(body);
    }

    /// Sends a request to join to the processes at these addresses.
    pub fn request_join(&mut self, contacts: &[SocketAddr]) {
        let join = Join { member: Some(member_to_wire(&self.own)) };
        self.send_to_addresses(contacts, &OneOfbody::join(join));
    }

    /// Sends a frame to the processes at these addresses.
    pub fn send_to_addresses(&mut self, addresses: &[SocketAddr], body: &OneOfbody) {
        for address in addresses {
            self.open(*address).link.push(body.clone());
        }
    }

    /// Connects at once to the process at this address, without waiting for a backoff: that process has just
    /// connected to this one and therefore runs.
    pub fn peer_started(&self, address: &str) {
        let connection = address.parse().ok().and_then(|address: SocketAddr| self.connections.get(&address));
        if let Some(connection) = connection {
            connection.link.connect_now();
        }
    }

    /// The known identities at the other end of a connection.
    pub fn ids_of(&self, connection: ConnectionId) -> Vec<NodeId> {
        let found = self.connections.iter().find(|(_, open)| open.id == connection);
        let Some((address, _)) = found else {
            return Vec::new();
        };
        let at_address = self.addresses.iter().filter(|(_, known)| *known == address);
        at_address.map(|(id, _)| *id).collect()
    }

    /// Whether all queued frames were written to sockets.
    pub fn is_flushed(&self) -> bool {
        self.connections.values().all(|connection| connection.link.is_flushed())
    }

    /// The connection to an address; opened if there is none.
    fn open(&mut self, address: SocketAddr) -> &PeerConnection {
        let (hello, events, next) = (&self.hello, &self.events, &mut self.next_connection);
        self.connections.entry(address).or_insert_with(|| {
            *next += 1;
            let link = Link::open(address, hello, *next, events.clone());
            PeerConnection { link, id: *next }
        })
    }
}
