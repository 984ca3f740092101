//! The state machine that forwards requests to the leader. It does no input or output: it handles events and
//! returns outputs.

use super::interface::{UpstreamOptions, UpstreamOutput};
use super::leader::KnownLeader;
use super::peers::{OpenLink, Peer};
use super::requests::{unavailable, ForwardRequest, NextStep, RequestTable};
use super::time::NANOS_PER_MS;
use messages::encode_frame;
use messages::peer::mod_PeerFrame::OneOfbody;
use messages::peer::{ClientReply, Hello, PeerFrame, Pong};
use std::net::SocketAddr;

/// Time without any open connection after which the seeds are connected to and their list is read again.
pub(super) const SEED_REFRESH_INTERVAL_NS: u64 = 3_000 * NANOS_PER_MS;
/// How long no request is sent to a leader that replied that it does not lead, unless a newer leader is
/// announced.
const NOT_LEADER_BACKOFF_NS: u64 = 100 * NANOS_PER_MS;
/// Time without a reachable leader after which this process reports itself not ready. Longer than an election
/// takes, so that only a partitioned process becomes not ready and loses new clients to other processes.
const UNREADY_AFTER_NS: u64 = 1_000 * NANOS_PER_MS;

/// Forwards clients' requests to the leader of the core. Times are nanoseconds of the steady clock.
///
/// Each request that is not abandoned gets exactly one [`UpstreamOutput::Answer`]. A request that was sent
/// and got no reply may have been carried out. Its client then gets the answer that the outcome is unknown,
/// unless the request only reads.
#[derive(Debug)]
pub struct Upstream {
    pub(super) options: UpstreamOptions,
    pub(super) random: fastrand::Rng,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) peers: Vec<Peer>,
    pub(super) leader: KnownLeader,
    /// Term of the notice from which the members are known; none if no membership is known.
    pub(super) membership_term: Option<u64>,
    pub(super) requests: RequestTable,
    pub(super) next_connection: u64,
    pub(super) next_ping: u64,
    /// Since when no leader is reachable; none while one is.
    pub(super) without_leader_since: Option<u64>,
    pub(super) leader_was_reached: bool,
    /// When the seeds are refreshed if no connection is open until then.
    pub(super) seed_refresh_at: u64,
}

impl Upstream {
    /// Creates a state machine that connects to the seeds (peer addresses). `seed` is the seed of its random
    /// numbers.
    pub fn new(options: UpstreamOptions, seeds: Vec<SocketAddr>, now: u64, seed: u64) -> Self {
        let peers = seeds.iter().copied().map(Peer::new).collect();
        Upstream {
            options,
            random: fastrand::Rng::with_seed(seed),
            seeds,
            peers,
            leader: KnownLeader::default(),
            membership_term: None,
            requests: RequestTable::default(),
            next_connection: 1,
            next_ping: 1,
            without_leader_since: Some(now),
            leader_was_reached: false,
            seed_refresh_at: now.saturating_add(SEED_REFRESH_INTERVAL_NS),
        }
    }

    /// Number of pending requests.
    pub fn pending_requests(&self) -> usize {
        self.requests.len()
    }

    /// Whether a leader is reachable, or was within the last `UNREADY_AFTER_NS`.
    pub fn is_ready(&self, now: u64) -> bool {
        let recently_reachable = match self.without_leader_since {
            None => true,
            Some(since) => now.saturating_sub(since) < UNREADY_AFTER_NS,
        };
        self.leader_was_reached && recently_reachable
    }

    /// Replaces the seeds. They are used while no member is known or reachable.
    pub fn set_seeds(&mut self, now: u64, seeds: Vec<SocketAddr>, out: &mut Vec<UpstreamOutput>) {
        self.seeds = seeds;
        if self.membership_term.is_none() || !self.any_open() {
            self.add_seeds();
        }
        self.poll(now, out);
    }

    /// Accepts a request. Its answer is an output of this call or of a later one.
    pub fn request(&mut self, now: u64, token: u64, request: ForwardRequest, out: &mut Vec<UpstreamOutput>) {
        let bytes = self.requests.size_bytes().saturating_add(request.size_bytes);
        if self.requests.len() >= self.options.max_requests || bytes > self.options.max_bytes {
            let reply = unavailable("too many requests are in hand: try again after the time in Retry-After");
            out.push(UpstreamOutput::Answer { token, reply });
            return;
        }
        self.requests.insert(now, token, request);
        self.advance(now, out);
    }

    /// Handles the disconnection of a request's client: drops the request.
    pub fn abandon(&mut self, token: u64) {
        let Some(entry) = self.requests.remove(token) else {
            return;
        };
        if let Some(connection) = entry.sent_on() {
            self.request_resolved(connection);
        }
    }

    /// Handles the opening of a connection.
    pub fn connected(&mut self, now: u64, connection: u64, out: &mut Vec<UpstreamOutput>) {
        let Some(peer) = self.peer_with_connection(connection) else {
            return;
        };
        peer.connected(connection, now);
        let hello = Hello { node_name: self.options.node_name.clone(), ..Hello::default() };
        out.push(send(connection, OneOfbody::hello(hello)));
        self.advance(now, out);
    }

    /// Handles the end of a connection, or the failure to open it.
    pub fn disconnected(&mut self, now: u64, connection: u64, out: &mut Vec<UpstreamOutput>) {
        let jitter = self.random.f64();
        let Some(peer) = self.peer_with_connection(connection) else {
            return;
        };
        peer.disconnected(now, jitter);
        self.requests.requeue(now, connection);
        self.poll(now, out);
    }

    /// Handles a received frame.
    pub fn received(&mut self, now: u64, connection: u64, frame: PeerFrame, out: &mut Vec<UpstreamOutput>) {
        let pong = matches!(frame.body, OneOfbody::pong(_));
        let Some(peer) = self.peer_with_connection(connection) else {
            return;
        };
        let address = peer.address;
        if let Some(open) = peer.open_mut() {
            open.received(now, pong);
        }
        match frame.body {
            OneOfbody::reply(reply) => self.reply_received(now, connection, reply, out),
            OneOfbody::leader(notice) => self.leader_notice_received(now, address, notice, out),
            OneOfbody::ping(ping) => {
                out.push(send(connection, OneOfbody::pong(Pong { number: ping.number })));
            }
            _ => {}
        }
        self.advance(now, out);
    }

    /// Performs all actions that are due at `now`.
    pub fn poll(&mut self, now: u64, out: &mut Vec<UpstreamOutput>) {
        self.requeue_from_unresponsive_leader(now);
        while let Some((token, entry)) = self.requests.take_due(now) {
            if let Some(connection) = entry.sent_on() {
                self.request_resolved(connection);
            }
            out.push(UpstreamOutput::Answer { token, reply: entry.answer_without_reply() });
        }
        self.refresh_seeds(now, out);
        self.poll_peers(now, out);
        self.advance(now, out);
    }

    /// Gives every pending request its final answer.
    pub fn finish_all(&mut self, out: &mut Vec<UpstreamOutput>) {
        while let Some((token, entry)) = self.requests.take_first() {
            out.push(UpstreamOutput::Answer { token, reply: entry.answer_without_reply() });
        }
        for peer in &mut self.peers {
            if let Some(open) = peer.open_mut() {
                open.forget_outstanding();
            }
        }
    }

    /// When `poll` has to be called next.
    pub fn next_timer(&self, now: u64) -> u64 {
        let peers = self.peers.iter().map(|peer| peer.next_timer(now, self.monitoring(now, peer.address)));
        let peers = peers.min().unwrap_or(u64::MAX);
        let requests = self.requests.next_due().unwrap_or(u64::MAX);
        let backoff_end = if self.requests.any_waiting() && self.leader.backoff_until() > now {
            self.leader.backoff_until()
        } else {
            u64::MAX
        };
        let seeds = if self.any_open() { u64::MAX } else { self.seed_refresh_at };
        peers.min(requests).min(backoff_end).min(seeds)
    }

    fn peer_with_connection(&mut self, connection: u64) -> Option<&mut Peer> {
        self.peers.iter_mut().find(|peer| peer.connection() == Some(connection))
    }

    pub(super) fn any_open(&self) -> bool {
        self.peers.iter().any(|peer| peer.open().is_some())
    }

    pub(super) fn leader_link(&mut self) -> Option<&mut OpenLink> {
        let address = self.leader.address()?;
        self.peers.iter_mut().find(|peer| peer.address == address)?.open_mut()
    }

    /// Records that the reply to a request that was sent on `connection` is no longer awaited.
    fn request_resolved(&mut self, connection: u64) {
        if let Some(open) = self.peer_with_connection(connection).and_then(Peer::open_mut) {
            open.request_resolved();
        }
    }

    fn reply_received(
        &mut self,
        now: u64,
        connection: u64,
        reply: ClientReply,
        out: &mut Vec<UpstreamOutput>,
    ) {
        let token = reply.request_id;
        let effect = self.requests.reply(connection, reply);
        if let Some(connection) = effect.resolved_on {
            self.request_resolved(connection);
        }
        match effect.next_step {
            NextStep::Answer(reply) => out.push(UpstreamOutput::Answer { token, reply }),
            NextStep::Requeued => self.leader.back_off_until(now.saturating_add(NOT_LEADER_BACKOFF_NS)),
            NextStep::Nothing => {}
        }
    }

    /// Finishes the handling of an event: updates the reachability of the leader and sends the requests that
    /// wait.
    fn advance(&mut self, now: u64, out: &mut Vec<UpstreamOutput>) {
        self.update_reachability(now);
        self.send_waiting(now, out);
    }

    /// Sends the requests that wait for a leader if the leader is reachable and responsive. Requests
    /// whose time has passed are answered instead: after a freeze, an event may be handled before the timer.
    fn send_waiting(&mut self, now: u64, out: &mut Vec<UpstreamOutput>) {
        if !self.requests.any_waiting() || now < self.leader.backoff_until() {
            return;
        }
        let Some(connection) =
            self.leader_link().filter(|open| !open.is_unresponsive(now)).map(|open| open.connection)
        else {
            return;
        };
        for (token, entry) in self.requests.take_expired_waiting(now) {
            out.push(UpstreamOutput::Answer { token, reply: entry.answer_without_reply() });
        }
        let mut bytes = Vec::new();
        let mut sent = 0;
        while let Some(entry) = self.requests.send_next(connection) {
            encode_frame(entry.frame(now), &mut bytes);
            sent += 1;
        }
        if sent == 0 {
            return;
        }
        if let Some(open) = self.leader_link() {
            (0..sent).for_each(|_| open.sent(now));
        }
        out.push(UpstreamOutput::Send { connection, bytes });
    }
}

/// Returns the output that sends one frame on `connection`.
pub(super) fn send(connection: u64, body: OneOfbody) -> UpstreamOutput {
    let mut bytes = Vec::new();
    encode_frame(&PeerFrame { body }, &mut bytes);
    UpstreamOutput::Send { connection, bytes }
}
