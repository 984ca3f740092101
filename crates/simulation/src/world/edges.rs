//! Edge machines and their connections to the core.

use std::collections::HashMap;

use data_plane::upstream::{Upstream, UpstreamOptions, UpstreamOutput};
use messages::peer::mod_PeerFrame::OneOfbody;
use messages::peer::PeerFrame;
use messages::{decode, FrameReader};

use super::cores::SEEDS;
use super::event::{EdgeOutputs, Event};
use super::network::Endpoint;
use super::World;
use crate::core_process::{identity, CoreEvent};
use crate::time::{ms, SECOND};

/// Consecutive failed readiness probes after which the platform sends an edge no new connections.
const MAX_FAILED_PROBES: u32 = 2;
/// Maximum number of pending requests at an edge.
const MAX_REQUESTS: usize = 2_000;
/// Maximum total size of pending requests at an edge, in bytes.
const MAX_BYTES: usize = 32 << 20;

/// An edge machine.
pub(super) struct Edge {
    pub(super) upstream: Option<Upstream>,
    pub(super) incarnation: u32,
    pub(super) frozen_until: u64,
    /// Position in the world's connections, by the edge's own connection number.
    connections_by_number: HashMap<u64, usize>,
    /// Number of the latest timer; older timers are dropped.
    generation: u64,
    /// Time of the latest timer; `u64::MAX` if none is pending.
    wakes_at: u64,
    /// Consecutive failed readiness probes.
    failed_probes: u32,
}

impl Edge {
    pub(super) fn new() -> Self {
        Edge {
            upstream: None,
            incarnation: 0,
            frozen_until: 0,
            connections_by_number: HashMap::new(),
            generation: 0,
            wakes_at: u64::MAX,
            failed_probes: 0,
        }
    }

    /// Whether the platform sends new connections to this edge.
    pub(super) fn receives_connections(&self) -> bool {
        self.failed_probes < MAX_FAILED_PROBES
    }
}

/// A connection of an edge to a core machine.
pub(super) struct Connection {
    pub(super) edge: usize,
    pub(super) edge_incarnation: u32,
    /// The edge's own number of the connection.
    pub(super) number: u64,
    pub(super) core: usize,
    pub(super) core_incarnation: u32,
    pub(super) is_open: bool,
}

impl World {
    pub(super) fn edge_starts(&mut self, edge: usize) {
        let now = self.now;
        let seeds =
            (0..SEEDS.min(self.site.cores)).filter_map(|seed| identity::peer_address(seed).parse().ok());
        let options = UpstreamOptions {
            node_name: format!("edge-{edge}"),
            max_requests: MAX_REQUESTS,
            max_bytes: MAX_BYTES,
        };
        let upstream = Upstream::new(options, seeds.collect(), now, self.rng.u64(..));
        let machine = &mut self.edges[edge];
        machine.incarnation += 1;
        machine.upstream = Some(upstream);
        machine.wakes_at = u64::MAX;
        machine.connections_by_number.clear();
        self.run_edge(edge, Upstream::poll);
    }

    /// Ends the process of an edge: its connections to the core and to clients break.
    pub(super) fn end_edge_process(&mut self, edge: usize) {
        if self.edges[edge].upstream.take().is_none() {
            return;
        }
        let incarnation = self.edges[edge].incarnation;
        for connection in 0..self.connections.len() {
            let link = &self.connections[connection];
            if link.edge == edge && link.edge_incarnation == incarnation && link.is_open {
                self.connections[connection].is_open = false;
                self.hang_up_core(connection);
            }
        }
        self.break_clients_of(edge);
    }

    pub(super) fn edge_wakes(&mut self, edge: usize, incarnation: u32, generation: u64) {
        let machine = &self.edges[edge];
        if machine.incarnation != incarnation || machine.generation != generation {
            return;
        }
        if machine.frozen_until > self.now {
            let event = Event::EdgeWakes { edge, incarnation, generation };
            self.queue.push(machine.frozen_until, event);
            return;
        }
        self.edges[edge].wakes_at = u64::MAX;
        self.run_edge(edge, Upstream::poll);
    }

    /// Runs an action on an edge's upstream and carries out its outputs.
    pub(super) fn run_edge(
        &mut self,
        edge: usize,
        action: impl FnOnce(&mut Upstream, u64, &mut EdgeOutputs),
    ) {
        let now = self.now;
        let Some(upstream) = self.edges[edge].upstream.as_mut() else { return };
        let mut out = Vec::new();
        action(upstream, now, &mut out);
        for output in out {
            self.edge_output(edge, output);
        }
        self.schedule_edge(edge);
    }

    fn schedule_edge(&mut self, edge: usize) {
        let now = self.now;
        let machine = &mut self.edges[edge];
        let Some(upstream) = &machine.upstream else { return };
        let next = upstream.next_timer(now);
        if next == u64::MAX || (next >= machine.wakes_at && machine.wakes_at > now) {
            return;
        }
        machine.wakes_at = next.max(now + 1);
        machine.generation += 1;
        let event =
            Event::EdgeWakes { edge, incarnation: machine.incarnation, generation: machine.generation };
        self.queue.push(machine.wakes_at, event);
    }

    fn edge_output(&mut self, edge: usize, output: UpstreamOutput) {
        if let Some(digest) = &mut self.digest {
            digest.edge_output(self.now, edge, &output);
        }
        match output {
            UpstreamOutput::Connect { connection, address } => {
                let Some(core) = identity::machine_at(&address.to_string()) else { return };
                self.open_connection(edge, connection, core);
            }
            UpstreamOutput::Close { connection } => {
                if let Some(position) = self.edges[edge].connections_by_number.remove(&connection) {
                    if std::mem::replace(&mut self.connections[position].is_open, false) {
                        self.hang_up_core(position);
                    }
                }
            }
            UpstreamOutput::Send { connection, bytes } => self.send_frames(edge, connection, &bytes),
            UpstreamOutput::Answer { token, reply } => self.answer_client(edge, token as usize, &reply),
            UpstreamOutput::ReadSeeds => {}
        }
    }

    fn open_connection(&mut self, edge: usize, number: u64, core: usize) {
        let edge_incarnation = self.edges[edge].incarnation;
        let position = self.connections.len();
        self.connections.push(Connection {
            edge,
            edge_incarnation,
            number,
            core,
            core_incarnation: 0,
            is_open: false,
        });
        self.edges[edge].connections_by_number.insert(number, position);
        let reachable = core < self.cores.len() && self.cores[core].exists && self.cores[core].powered;
        // A machine without power, or behind a partition, does not answer at all.
        if reachable && self.network.passes(Endpoint::Edge(edge), Endpoint::Core(core)) {
            let event = Event::EdgeConnects { connection: position };
            self.send_unordered(Endpoint::Edge(edge), Endpoint::Core(core), event);
        }
    }

    pub(super) fn edge_connects(&mut self, connection: usize) {
        let core = self.connections[connection].core;
        let stands = self.cores[core].process.is_some();
        self.connections[connection].core_incarnation = self.cores[core].incarnation;
        let edge = self.connections[connection].edge;
        let event = Event::EdgeConnected { connection, stands };
        self.send_on_stream(Endpoint::Core(core), Endpoint::Edge(edge), connection as u64 + 1, event);
    }

    pub(super) fn edge_connected(&mut self, connection: usize, stands: bool) {
        let link = &self.connections[connection];
        let (edge, number) = (link.edge, link.number);
        let is_current = self.edges[edge].connections_by_number.get(&number) == Some(&connection);
        if !is_current || self.edges[edge].incarnation != link.edge_incarnation {
            return;
        }
        if self.defer_if_edge_frozen(edge, Event::EdgeConnected { connection, stands }).is_none() {
            return;
        }
        if !stands {
            self.edges[edge].connections_by_number.remove(&number);
            self.run_edge(edge, |upstream, now, out| upstream.disconnected(now, number, out));
            return;
        }
        self.connections[connection].is_open = true;
        self.run_edge(edge, |upstream, now, out| upstream.connected(now, number, out));
    }

    /// Reschedules an event for the end of the edge's freeze. Returns `None` if the edge is frozen.
    fn defer_if_edge_frozen(&mut self, edge: usize, event: Event) -> Option<()> {
        let until = self.edges[edge].frozen_until;
        if until > self.now {
            self.queue.push(until, event);
            return None;
        }
        Some(())
    }

    fn send_frames(&mut self, edge: usize, number: u64, bytes: &[u8]) {
        let Some(connection) = self.edges[edge].connections_by_number.get(&number).copied() else { return };
        let core = self.connections[connection].core;
        let mut reader = FrameReader::new();
        reader.buffer().extend_from_slice(bytes);
        while let Ok(Some(body)) = reader.next_frame() {
            let Ok(frame) = decode::<PeerFrame>(&body) else { return };
            let event = Event::EdgeFrame { connection, frame };
            self.send_on_stream(Endpoint::Edge(edge), Endpoint::Core(core), connection as u64 + 1, event);
        }
    }

    pub(super) fn edge_frame(&mut self, connection: usize, frame: PeerFrame) {
        let link = &self.connections[connection];
        let core = link.core;
        if self.cores[core].incarnation != link.core_incarnation || self.cores[core].process.is_none() {
            if self.cores[core].powered {
                self.break_connection(connection);
            }
            return;
        }
        let until = self.cores[core].frozen_until;
        if until > self.now {
            self.queue.push(until, Event::EdgeFrame { connection, frame });
            return;
        }
        let connection = connection as u64;
        match frame.body {
            OneOfbody::hello(_) => self.core_event(core, CoreEvent::EdgeConnected { connection }),
            OneOfbody::request(request) => self.core_event(core, CoreEvent::Request { connection, request }),
            OneOfbody::ping(ping) => {
                self.core_event(core, CoreEvent::Ping { connection, number: ping.number });
            }
            _ => {}
        }
    }

    pub(super) fn frame_to_edge(&mut self, connection: usize, frame: PeerFrame) {
        let link = &self.connections[connection];
        let (edge, number) = (link.edge, link.number);
        if self.edges[edge].incarnation != link.edge_incarnation
            || self.edges[edge].connections_by_number.get(&number) != Some(&connection)
        {
            return;
        }
        if self.edges[edge].frozen_until > self.now {
            let until = self.edges[edge].frozen_until;
            self.queue.push(until, Event::ToEdge { connection, frame });
            return;
        }
        self.run_edge(edge, |upstream, now, out| upstream.received(now, number, frame, out));
    }

    /// Breaks a connection on both sides.
    pub(super) fn break_connection(&mut self, connection: usize) {
        self.connections[connection].is_open = false;
        self.hang_up_edge(connection);
        self.hang_up_core(connection);
    }

    pub(super) fn hang_up_edge(&mut self, connection: usize) {
        let link = &self.connections[connection];
        let (from, to) = (Endpoint::Core(link.core), Endpoint::Edge(link.edge));
        self.send_on_stream(from, to, connection as u64 + 1, Event::EdgeHungUp { connection });
    }

    fn hang_up_core(&mut self, connection: usize) {
        let link = &self.connections[connection];
        let (from, to) = (Endpoint::Edge(link.edge), Endpoint::Core(link.core));
        self.send_on_stream(from, to, connection as u64 + 1, Event::CoreHungUp { connection });
    }

    /// Notifies the edge that its connection is closed.
    pub(super) fn edge_hung_up(&mut self, connection: usize) {
        let link = &self.connections[connection];
        let (edge, number) = (link.edge, link.number);
        if self.edges[edge].incarnation != link.edge_incarnation
            || self.edges[edge].connections_by_number.get(&number) != Some(&connection)
        {
            return;
        }
        if self.defer_if_edge_frozen(edge, Event::EdgeHungUp { connection }).is_none() {
            return;
        }
        self.edges[edge].connections_by_number.remove(&number);
        self.run_edge(edge, |upstream, now, out| upstream.disconnected(now, number, out));
    }

    /// Notifies the core process that an edge's connection is closed.
    pub(super) fn core_hung_up(&mut self, connection: usize) {
        let link = &self.connections[connection];
        if self.cores[link.core].incarnation != link.core_incarnation {
            return;
        }
        let closed = CoreEvent::EdgeClosed { connection: connection as u64 };
        self.core_event_when_awake(link.core, closed, |_| Event::CoreHungUp { connection });
    }

    /// Probes the readiness of every edge, once a second, as the platform does.
    pub(super) fn ask_readiness(&mut self) {
        let now = self.now;
        for edge in &mut self.edges {
            let awake = edge.frozen_until <= now;
            let ready = edge.upstream.as_ref().is_some_and(|upstream| awake && upstream.is_ready(now));
            edge.failed_probes = if ready { 0 } else { edge.failed_probes.saturating_add(1) };
        }
        self.queue.push(now + SECOND, Event::ReadinessAsked);
    }

    pub(super) fn restart_edge(&mut self, edge: usize, after: u64) {
        self.queue.push(self.now + after.max(ms(50)), Event::EdgeStarts { edge });
    }
}
