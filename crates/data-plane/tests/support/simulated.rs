//! The upstream state machine in simulated time, with connections that the test controls.

use data_plane::upstream::{ForwardRequest, Upstream, UpstreamOptions, UpstreamOutput};
use messages::peer::mod_ClientRequest::OneOfcall;
use messages::peer::mod_PeerFrame::OneOfbody;
use messages::peer::{
    CancelRequest, ClientReply, CountRequest, LeaderNotice, Member, Membership, Outcome, PeerFrame,
    ReadRequest, SubmitRequest,
};
use messages::{decode, FrameReader};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// One millisecond in nanoseconds.
pub const MS: u64 = 1_000_000;

/// Peer address of a member by its number.
pub fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_660))
}

/// The state machine and a record of its outputs.
pub struct Simulated {
    pub now: u64,
    pub upstream: Upstream,
    pub opening: BTreeMap<u64, SocketAddr>,
    pub open: BTreeMap<u64, SocketAddr>,
    pub answers: BTreeMap<u64, Vec<ClientReply>>,
    /// The connections on which each request was sent, by token.
    pub sends: BTreeMap<u64, Vec<u64>>,
    /// Tokens of all requests in the order in which they were sent.
    pub sent: Vec<u64>,
    /// The connections on which pings were sent, in order.
    pub pings: Vec<u64>,
    /// How often the state machine asked to read the seeds again.
    pub seeds_read: usize,
    /// Number of attempts to connect.
    pub attempts: usize,
    /// Whether bytes were sent on a connection that was not open.
    pub sent_on_closed_connection: bool,
    pub abandoned: BTreeSet<u64>,
    next_token: u64,
}

impl Simulated {
    pub fn new(seeds: &[u8], max_requests: usize) -> Self {
        let options =
            UpstreamOptions { node_name: "edge-1".to_owned(), max_requests, max_bytes: 1024 * 1024 };
        let seeds = seeds.iter().map(|number| address(*number)).collect();
        let mut simulated = Simulated {
            now: 0,
            upstream: Upstream::new(options, seeds, 0, 7),
            opening: BTreeMap::new(),
            open: BTreeMap::new(),
            answers: BTreeMap::new(),
            sends: BTreeMap::new(),
            sent: Vec::new(),
            pings: Vec::new(),
            seeds_read: 0,
            attempts: 0,
            sent_on_closed_connection: false,
            abandoned: BTreeSet::new(),
            next_token: 1,
        };
        simulated.drive(Upstream::poll);
        simulated
    }

    /// Connects to all seeds and lets `leader` announce itself in `term`.
    pub fn with_leader(seeds: &[u8], leader: u8, term: u64) -> Self {
        let mut simulated = Simulated::new(seeds, 100);
        simulated.connect_all();
        simulated.announce(leader, leader, term);
        simulated
    }

    pub fn drive(&mut self, event: impl FnOnce(&mut Upstream, u64, &mut Vec<UpstreamOutput>)) {
        let mut outputs = Vec::new();
        event(&mut self.upstream, self.now, &mut outputs);
        for output in outputs {
            self.record(output);
        }
    }

    fn record(&mut self, output: UpstreamOutput) {
        match output {
            UpstreamOutput::Connect { connection, address } => {
                self.opening.insert(connection, address);
                self.attempts += 1;
            }
            UpstreamOutput::Close { connection } => {
                self.opening.remove(&connection);
                self.open.remove(&connection);
            }
            UpstreamOutput::Send { connection, bytes } => self.record_bytes(connection, &bytes),
            UpstreamOutput::Answer { token, reply } => self.answers.entry(token).or_default().push(reply),
            UpstreamOutput::ReadSeeds => self.seeds_read += 1,
        }
    }

    fn record_bytes(&mut self, connection: u64, bytes: &[u8]) {
        self.sent_on_closed_connection |= !self.open.contains_key(&connection);
        let mut frames = FrameReader::new();
        frames.buffer().extend_from_slice(bytes);
        while let Some(frame) = frames.next_frame().unwrap() {
            match decode::<PeerFrame>(&frame).unwrap().body {
                OneOfbody::request(request) => {
                    self.sent.push(request.request_id);
                    self.sends.entry(request.request_id).or_default().push(connection);
                }
                OneOfbody::ping(_) => self.pings.push(connection),
                _ => {}
            }
        }
    }

    /// Completes the opening of all connections that are being opened.
    pub fn connect_all(&mut self) {
        while let Some((connection, address)) = self.opening.pop_first() {
            self.open.insert(connection, address);
            self.drive(|upstream, now, out| upstream.connected(now, connection, out));
        }
    }

    /// Advances the time, and polls the state machine whenever its timer is due.
    pub fn advance(&mut self, nanos: u64) {
        let until = self.now + nanos;
        loop {
            let due = self.upstream.next_timer(self.now);
            if due > until {
                break;
            }
            self.now = due.max(self.now);
            self.drive(Upstream::poll);
        }
        self.now = until;
    }

    /// Like `advance`, but a pong is received on every open connection every 100 ms.
    pub fn advance_with_pongs(&mut self, nanos: u64) {
        let until = self.now + nanos;
        while self.now < until {
            self.advance((until - self.now).min(100 * MS));
            let open: Vec<u64> = self.open.keys().copied().collect();
            open.into_iter().for_each(|connection| self.pong(connection));
        }
    }

    pub fn request(&mut self, call: OneOfcall, timeout_ms: u32) -> u64 {
        let token = self.next_token;
        self.next_token += 1;
        let (host, path) = ("jobs.example".to_owned(), "/queue/".to_owned());
        let request = ForwardRequest { host, path, timeout_ms, call, size_bytes: 100 };
        self.drive(|upstream, now, out| upstream.request(now, token, request, out));
        token
    }

    pub fn submit(&mut self, timeout_ms: u32) -> u64 {
        self.request(OneOfcall::submit(SubmitRequest::default()), timeout_ms)
    }

    pub fn read(&mut self, timeout_ms: u32) -> u64 {
        self.request(OneOfcall::read(ReadRequest::default()), timeout_ms)
    }

    pub fn cancel(&mut self, timeout_ms: u32) -> u64 {
        self.request(OneOfcall::cancel(CancelRequest::default()), timeout_ms)
    }

    pub fn count(&mut self, timeout_ms: u32) -> u64 {
        self.request(OneOfcall::count(CountRequest {}), timeout_ms)
    }

    /// The open connection to a member, if there is one.
    pub fn connection_to(&self, member: u8) -> Option<u64> {
        let member = address(member);
        self.open.iter().find(|(_, address)| **address == member).map(|(connection, _)| *connection)
    }

    pub fn receive(&mut self, connection: u64, body: OneOfbody) {
        let frame = PeerFrame { body };
        self.drive(|upstream, now, out| upstream.received(now, connection, frame, out));
    }

    pub fn reply(&mut self, connection: u64, token: u64, outcome: Outcome) {
        let reply = ClientReply { request_id: token, outcome, ..ClientReply::default() };
        self.receive(connection, OneOfbody::reply(reply));
    }

    pub fn pong(&mut self, connection: u64) {
        self.receive(connection, OneOfbody::pong(messages::peer::Pong { number: 0 }));
    }

    /// Lets a member announce the leader; 0: no leader.
    pub fn announce(&mut self, from: u8, leader: u8, term: u64) {
        self.announce_with(from, leader, term, None);
    }

    pub fn announce_with(&mut self, from: u8, leader: u8, term: u64, members: Option<&[u8]>) {
        let Some(connection) = self.connection_to(from) else {
            return;
        };
        let member = |number: &u8| Member {
            id: u64::from(*number),
            address: address(*number).to_string(),
            control: String::new(),
            voter: true,
        };
        let membership = members.map(|members| Membership { members: members.iter().map(member).collect() });
        let leader_address = if leader == 0 { String::new() } else { address(leader).to_string() };
        let notice = LeaderNotice { term, leader_id: u64::from(leader), leader_address, membership };
        self.receive(connection, OneOfbody::leader(notice));
    }

    /// Breaks a connection that is open or being opened.
    pub fn disconnect(&mut self, connection: u64) {
        self.open.remove(&connection);
        self.opening.remove(&connection);
        self.drive(|upstream, now, out| upstream.disconnected(now, connection, out));
    }

    pub fn abandon(&mut self, token: u64) {
        self.upstream.abandon(token);
        self.abandoned.insert(token);
    }

    /// The outcome of the answer to a request, if it has been answered.
    pub fn outcome(&self, token: u64) -> Option<Outcome> {
        self.answers.get(&token).map(|replies| replies[0].outcome)
    }
}
