//! The network: delays, partitions, and the fate of bytes that a partition holds back.

use std::collections::HashMap;

use super::event::Event;
use super::World;
use crate::history::Machine;
use crate::time::MS;

/// A stream breaks if a partition holds its bytes back for longer than this, in nanoseconds.
const USER_TIMEOUT_NS: u64 = 1_500 * MS;
/// Longest random delay in addition to the link's own, in nanoseconds.
const MAX_JITTER_NS: u64 = MS;

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Endpoint {
    /// A core machine.
    Core(usize),
    /// An edge machine.
    Edge(usize),
    /// A worker.
    Worker(usize),
    /// Clients, operator and platform. Partitions do not affect them.
    Outside,
}

/// A network partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Partition {
    /// A core machine is partitioned from the other core machines.
    FromCores(usize),
    /// Bytes that a core machine sends to other core machines do not arrive.
    SendsToCores(usize),
    /// A machine or a worker is partitioned from all machines and workers.
    FromAll(Endpoint),
    /// A worker is partitioned from the core machines.
    WorkerFromCores(usize),
}

impl Partition {
    fn blocks(&self, from: Endpoint, to: Endpoint) -> bool {
        let (Endpoint::Core(_), Endpoint::Core(_)) = (from, to) else {
            if let Partition::WorkerFromCores(worker) = self {
                let ends = (from, to);
                return matches!(ends, (Endpoint::Core(_), Endpoint::Worker(end)) | (Endpoint::Worker(end), Endpoint::Core(_)) if end == *worker);
            }
            return matches!(self, Partition::FromAll(partition) if (from == *partition || to == *partition)
                && from != Endpoint::Outside && to != Endpoint::Outside);
        };
        match self {
            Partition::FromCores(machine) => {
                from == Endpoint::Core(*machine) || to == Endpoint::Core(*machine)
            }
            Partition::SendsToCores(machine) => from == Endpoint::Core(*machine),
            Partition::FromAll(partition) => from == *partition || to == *partition,
            Partition::WorkerFromCores(_) => false,
        }
    }
}

/// A message that a partition holds back.
struct HeldMessage {
    since: u64,
    from: Endpoint,
    to: Endpoint,
    stream: u64,
    event: Event,
}

/// State of the network.
#[derive(Default)]
pub struct Network {
    partitions: Vec<(Partition, u64)>,
    arrivals: HashMap<(Endpoint, Endpoint, u64), u64>,
    held: Vec<HeldMessage>,
}

impl Network {
    /// Whether bytes pass from one end to the other.
    pub fn passes(&self, from: Endpoint, to: Endpoint) -> bool {
        !self.partitions.iter().any(|(partition, _)| partition.blocks(from, to))
    }
}

impl World {
    /// One-way delay between two ends, with random jitter.
    pub(super) fn delay(&mut self, from: Endpoint, to: Endpoint) -> u64 {
        let base = match (self.zone_of(from), self.zone_of(to)) {
            (Some(left), Some(right)) if left == right => self.site.same_zone_delay,
            (Some(_), Some(_)) => self.site.cross_zone_delay,
            _ => self.site.client_delay,
        };
        base + self.rng.u64(0..MAX_JITTER_NS)
    }

    fn zone_of(&self, end: Endpoint) -> Option<usize> {
        match end {
            Endpoint::Core(machine) => Some(self.site.core_zone(machine)),
            Endpoint::Edge(edge) => Some(self.site.edge_zone(edge)),
            Endpoint::Worker(worker) => Some(self.fleet.workers[worker].zone),
            Endpoint::Outside => None,
        }
    }

    /// Sends a message on a stream: it arrives in order, and a partition holds it back.
    pub(super) fn send_on_stream(&mut self, from: Endpoint, to: Endpoint, stream: u64, event: Event) {
        if !self.network.passes(from, to) {
            let since = self.now;
            self.network.held.push(HeldMessage { since, from, to, stream, event });
            return;
        }
        let arrival = self.now + self.delay(from, to);
        let last = self.network.arrivals.entry((from, to, stream)).or_insert(0);
        let at = arrival.max(*last + 1);
        *last = at;
        self.queue.push(at, event);
    }

    /// Sends a message outside a stream: it may overtake others, and a partition holds it back.
    pub(super) fn send_unordered(&mut self, from: Endpoint, to: Endpoint, event: Event) {
        if !self.network.passes(from, to) {
            let since = self.now;
            self.network.held.push(HeldMessage { since, from, to, stream: u64::MAX, event });
            return;
        }
        let at = self.now + self.delay(from, to);
        self.queue.push(at, event);
    }

    /// Starts a partition that lasts until the given time.
    pub(super) fn partition(&mut self, partition: Partition, until: u64) {
        self.network.partitions.push((partition, until));
        self.queue.push(until, Event::PartitionEnds);
    }

    /// Ends the partitions whose time is over and delivers or drops the messages that they held back.
    pub(super) fn end_partitions(&mut self) {
        let now = self.now;
        self.network.partitions.retain(|(_, until)| *until > now);
        let held = std::mem::take(&mut self.network.held);
        for held in held {
            if !self.network.passes(held.from, held.to) {
                self.network.held.push(held);
                continue;
            }
            let too_old = now.saturating_sub(held.since) > USER_TIMEOUT_NS;
            match &held.event {
                Event::CoreFrame { .. } if too_old => self.break_core_stream(held.from, held.to),
                Event::EdgeFrame { connection, .. } | Event::ToEdge { connection, .. } if too_old => {
                    self.break_connection(*connection);
                }
                // A call whose caller closed the connection arrives in half of the cases.
                Event::CallArrives { .. } | Event::CallAnswered { .. } if self.rng.bool() => {}
                Event::CallArrives { .. } | Event::CallAnswered { .. } => {
                    self.send_unordered(held.from, held.to, held.event);
                }
                _ => self.send_on_stream(held.from, held.to, held.stream, held.event),
            }
        }
    }

    fn break_core_stream(&mut self, from: Endpoint, to: Endpoint) {
        if let (Endpoint::Core(from), Endpoint::Core(to)) = (from, to) {
            let incarnation = self.cores[from].incarnation;
            self.queue.push(self.now, Event::PeerLost { machine: from, incarnation, lost: to });
        }
    }
}

/// Machine number of the first edge.
pub const FIRST_EDGE: Machine = 100;
