//! Opens, pings and closes the connections to the members of the core.

use super::interface::UpstreamOutput;
use super::peers::{Link, Monitoring, Peer};
use super::state::{send, Upstream, SEED_REFRESH_INTERVAL_NS};
use messages::peer::mod_PeerFrame::OneOfbody;
use messages::peer::Ping;
use std::net::SocketAddr;

impl Upstream {
    /// Adds the seeds as peers and asks for the current seeds if no connection was open for
    /// `SEED_REFRESH_INTERVAL_NS`.
    pub(super) fn refresh_seeds(&mut self, now: u64, out: &mut Vec<UpstreamOutput>) {
        if self.any_open() {
            self.seed_refresh_at = now.saturating_add(SEED_REFRESH_INTERVAL_NS);
        } else if now >= self.seed_refresh_at {
            self.seed_refresh_at = now.saturating_add(SEED_REFRESH_INTERVAL_NS);
            self.add_seeds();
            out.push(UpstreamOutput::ReadSeeds);
        }
    }

    pub(super) fn add_seeds(&mut self) {
        for seed in &self.seeds {
            if !self.peers.iter().any(|peer| peer.address == *seed) {
                self.peers.push(Peer::new(*seed));
            }
        }
    }

    /// How closely the connection to the member at `address` is monitored.
    pub(super) fn monitoring(&self, now: u64, address: SocketAddr) -> Monitoring {
        let Some(leader) = self.leader.address() else {
            return Monitoring::Search;
        };
        if leader == address {
            return Monitoring::Leader;
        }
        let link = self.peers.iter().find(|peer| peer.address == leader).and_then(Peer::open);
        let leader_reachable = link.is_some_and(|open| !open.is_unresponsive(now));
        if leader_reachable {
            Monitoring::None
        } else {
            Monitoring::Search
        }
    }

    /// Connects to, closes or pings each peer for which this is due.
    pub(super) fn poll_peers(&mut self, now: u64, out: &mut Vec<UpstreamOutput>) {
        for position in 0..self.peers.len() {
            let monitoring = self.monitoring(now, self.peers[position].address);
            match &self.peers[position].link {
                Link::Waiting { retry_at } if now >= *retry_at => self.connect(now, position, out),
                Link::Connecting { connection, timeout_at } if now >= *timeout_at => {
                    self.close(now, position, *connection, out);
                }
                Link::Open(open) if open.close_at(monitoring).is_some_and(|at| now >= at) => {
                    self.close(now, position, open.connection, out);
                }
                Link::Open(open) if open.ping_due(monitoring).is_some_and(|at| now >= at) => {
                    self.ping(now, position, out);
                }
                _ => {}
            }
        }
    }

    pub(super) fn connect(&mut self, now: u64, position: usize, out: &mut Vec<UpstreamOutput>) {
        let connection = self.next_connection;
        self.next_connection += 1;
        let peer = &mut self.peers[position];
        peer.connecting(connection, now);
        out.push(UpstreamOutput::Connect { connection, address: peer.address });
    }

    /// Closes a connection, or cancels the attempt to open it, and requeues the requests that were sent on
    /// it.
    pub(super) fn close(
        &mut self,
        now: u64,
        position: usize,
        connection: u64,
        out: &mut Vec<UpstreamOutput>,
    ) {
        let jitter = self.random.f64();
        self.peers[position].disconnected(now, jitter);
        self.requests.requeue(now, connection);
        out.push(UpstreamOutput::Close { connection });
    }

    pub(super) fn ping(&mut self, now: u64, position: usize, out: &mut Vec<UpstreamOutput>) {
        let number = self.next_ping;
        let Some(open) = self.peers[position].open_mut() else {
            return;
        };
        open.pinged(now);
        out.push(send(open.connection, OneOfbody::ping(Ping { number })));
        self.next_ping += 1;
    }
}
