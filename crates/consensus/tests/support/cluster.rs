//! A simulated cluster: processes, their disks, links and clocks.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use consensus::{
    Entry, Event, Index, Member, Membership, Message, Node, NodeId, Options, Output, Payload, Restored,
    Snapshot, Term,
};
use fastrand::Rng;

use super::disk::{Disk, Write};
use super::invariants;
use super::oracle::Oracle;

pub const MILLISECOND: u64 = 1_000_000;
pub const SECOND: u64 = 1_000 * MILLISECOND;

/// Converts a duration of the options to nanoseconds of the clock.
pub fn nanoseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).expect("duration fits into nanoseconds")
}

const JOIN_INTERVAL_NS: u64 = 200 * MILLISECOND;
const MIN_DISK_DELAY_NS: u64 = MILLISECOND;
const MAX_DRIFT_PER_MILLE: u64 = 10;
const SNAPSHOT_BYTES: usize = 300;
const PROMOTION_GAP: u64 = 8;

/// Behavior of the network and the disks.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    pub loss_percent: u8,
    pub duplicate_percent: u8,
    pub min_delay_ns: u64,
    pub max_delay_ns: u64,
    pub max_disk_delay_ns: u64,
}

impl Conditions {
    pub const RELIABLE: Conditions = Conditions {
        loss_percent: 0,
        duplicate_percent: 0,
        min_delay_ns: MILLISECOND,
        max_delay_ns: 2 * MILLISECOND,
        max_disk_delay_ns: 2 * MILLISECOND,
    };
    /// Messages are lost, duplicated and reordered; disks are slow.
    pub const LOSSY: Conditions = Conditions {
        loss_percent: 10,
        duplicate_percent: 5,
        min_delay_ns: MILLISECOND,
        max_delay_ns: 80 * MILLISECOND,
        max_disk_delay_ns: 100 * MILLISECOND,
    };
    /// No message is lost, but some messages arrive after the next election.
    pub const DELAYED: Conditions = Conditions {
        loss_percent: 0,
        duplicate_percent: 10,
        min_delay_ns: MILLISECOND,
        max_delay_ns: 900 * MILLISECOND,
        max_disk_delay_ns: 2 * MILLISECOND,
    };
    /// Every message and every write takes a millisecond.
    pub const FIXED_DELAYS: Conditions =
        Conditions { max_delay_ns: MILLISECOND, max_disk_delay_ns: MILLISECOND, ..Conditions::RELIABLE };
    /// Writes take longer than messages.
    pub const SLOW_DISKS: Conditions =
        Conditions { max_disk_delay_ns: 200 * MILLISECOND, ..Conditions::RELIABLE };
}

/// A machine and its process.
#[derive(Clone)]
struct Process {
    node: Option<Node>,
    id: NodeId,
    disk: Disk,
    incarnation: u64,
    clock_start: u64,
    drift_per_mille: u64,
    frozen_until: u64,
    disk_stalled_until: u64,
    /// Time at which the scheduled timer runs; 0 if no timer is scheduled.
    timer: u64,
    applied: Index,
    digest: u64,
    snapshot_at: Index,
    /// The last membership that the process reported.
    membership: Membership,
    /// Term and index of the last membership change that the process made as leader.
    changed_at: (Term, Index),
    pub history: Vec<Output>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EventKind {
    Timer,
    DiskDone,
    Deliver { id: NodeId, number: u64 },
    RequestJoin,
    Start,
    Heal,
}

type Scheduled = Reverse<(u64, u64, usize, u64, EventKind)>;

/// The machines of one group. Machine `slot` has the address `machine-SLOT`.
#[derive(Clone)]
pub struct Cluster {
    pub now: u64,
    pub rng: Rng,
    pub conditions: Conditions,
    pub oracle: Oracle,
    pub keep_history: bool,
    pub configure: fn(&mut Options),
    processes: Vec<Process>,
    slots: BTreeMap<NodeId, usize>,
    partitions: BTreeSet<(usize, usize)>,
    queue: BinaryHeap<Scheduled>,
    in_flight: BTreeMap<u64, Event>,
    sequence: u64,
    founders: usize,
    next_command: u64,
    /// Proposed commands by index and term of their entries.
    pub proposed: BTreeMap<(Index, Term), u64>,
}

impl Cluster {
    /// Creates `machines` machines, of which the first `founders` found the group. No process is started.
    pub fn new(founders: usize, machines: usize, seed: u64) -> Cluster {
        let processes = (0..machines).map(|_| Process::new()).collect();
        Cluster {
            now: SECOND,
            rng: Rng::with_seed(seed),
            conditions: Conditions::RELIABLE,
            oracle: Oracle::default(),
            keep_history: false,
            configure: |_| {},
            processes,
            slots: BTreeMap::new(),
            partitions: BTreeSet::new(),
            queue: BinaryHeap::new(),
            in_flight: BTreeMap::new(),
            sequence: 0,
            founders,
            next_command: 0,
            proposed: BTreeMap::new(),
        }
    }

    /// Creates a group and starts its founders.
    pub fn started(founders: usize, machines: usize, seed: u64) -> Cluster {
        let mut cluster = Cluster::new(founders, machines, seed);
        (0..founders).for_each(|slot| cluster.start(slot));
        cluster
    }

    fn founding_membership(&self) -> Membership {
        let member = |slot| Member { voter: true, ..member(slot as NodeId + 1, slot) };
        Membership { members: (0..self.founders).map(member).collect() }
    }

    /// Starts the process of a machine. If the machine is a founder and has never run, its disk is
    /// initialized with the bootstrap state.
    pub fn start(&mut self, slot: usize) {
        if self.processes[slot].node.is_some() {
            return;
        }
        let seed = self.rng.u64(..);
        if self.processes[slot].disk.empty {
            let founds = slot < self.founders && self.processes[slot].incarnation == 0;
            let contents =
                if founds { Node::bootstrap(self.founding_membership()) } else { Restored::default() };
            self.processes[slot].id = if founds { slot as NodeId + 1 } else { seed | (1 << 32) };
            self.processes[slot].disk.format(contents);
        }
        let process = &mut self.processes[slot];
        process.incarnation += 1;
        process.clock_start = self.rng.u64(0..10 * SECOND);
        process.drift_per_mille = self.rng.u64(0..=MAX_DRIFT_PER_MILLE);
        process.frozen_until = 0;
        process.timer = 0;
        let mut options = test_options(process.id);
        (self.configure)(&mut options);
        options.check().expect("options are consistent");
        let restored = process.disk.restore();
        consensus::check_restored(&restored).expect("the disk holds a valid log");
        process.applied = restored.snapshot.as_ref().map_or(0, |snapshot| snapshot.meta.index);
        process.digest = restored.snapshot.as_ref().map_or(0, digest_of);
        process.snapshot_at = process.applied;
        let local_time = process.local_time(self.now);
        let node = Node::new(options, restored, local_time, seed);
        process.timer = self.now + node.next_timer().saturating_sub(local_time);
        process.membership = node.membership().clone();
        process.changed_at = (0, 0);
        let (timer, incarnation) = (process.timer, process.incarnation);
        process.node = Some(node);
        self.slots.insert(self.processes[slot].id, slot);
        self.schedule(timer, slot, incarnation, EventKind::Timer);
        self.schedule(self.now + JOIN_INTERVAL_NS, slot, incarnation, EventKind::RequestJoin);
    }

    /// Kills a process. All pending writes of its disk complete.
    pub fn kill(&mut self, slot: usize) {
        let process = &mut self.processes[slot];
        while process.disk.complete().is_some() {}
        process.node = None;
    }

    /// Simulates a power loss of a machine.
    pub fn lose_power(&mut self, slot: usize) {
        let process = &mut self.processes[slot];
        process.disk.lose_power(&mut self.rng);
        process.node = None;
    }

    /// Simulates a power loss of a machine before any pending write completes. The machine restarts after the
    /// duration.
    pub fn restart_after_power_loss(&mut self, slot: usize, duration_ns: u64) {
        let process = &mut self.processes[slot];
        process.disk.lose_all_writes();
        process.node = None;
        self.schedule(self.now + duration_ns, slot, 0, EventKind::Start);
    }

    /// Replaces the disk of a machine by an empty one. The machine restarts after the duration.
    pub fn replace_disk(&mut self, slot: usize, duration_ns: u64) {
        self.wipe(slot);
        self.schedule(self.now + duration_ns, slot, 0, EventKind::Start);
    }

    /// Schedules the end of all partitions, freezes and disk stalls.
    pub fn heal_after(&mut self, duration_ns: u64) {
        self.schedule(self.now + duration_ns, 0, 0, EventKind::Heal);
    }

    /// Stops a machine and replaces its disk by an empty one.
    pub fn wipe(&mut self, slot: usize) {
        let process = &mut self.processes[slot];
        process.node = None;
        process.disk = Disk::new();
        process.incarnation += 1;
    }

    /// Whether all voters, in the latest committed membership and in the membership of any running process,
    /// still have their disks.
    pub fn all_voters_have_their_disks(&self) -> bool {
        let knows = |id: NodeId| self.slots.get(&id).is_some_and(|slot| self.processes[*slot].id == id);
        let has_disk = |slot: &usize| !self.processes[*slot].disk.empty;
        let holds = |id: NodeId| knows(id) && self.slots.get(&id).is_some_and(has_disk);
        let running = self.processes.iter().filter_map(|process| process.node.as_ref());
        let known = running.map(Node::membership);
        known.chain(self.oracle.committed_membership()).flat_map(Membership::voters).all(holds)
    }

    /// Number of voters in the latest committed membership.
    pub fn committed_voters(&self) -> usize {
        self.oracle.committed_membership().map_or(0, |membership| membership.voters().count())
    }

    pub fn freeze(&mut self, slot: usize, duration_ns: u64) {
        self.processes[slot].frozen_until = self.now + duration_ns;
    }

    pub fn stall_disk(&mut self, slot: usize, duration_ns: u64) {
        self.processes[slot].disk_stalled_until = self.now + duration_ns;
    }

    /// From now on, messages from one machine to the other are lost.
    pub fn partition(&mut self, from: usize, to: usize) {
        self.partitions.insert((from, to));
    }

    pub fn isolate(&mut self, slot: usize) {
        for other in 0..self.processes.len() {
            self.partition(slot, other);
            self.partition(other, slot);
        }
    }

    pub fn heal(&mut self) {
        self.partitions.clear();
        for process in &mut self.processes {
            process.frozen_until = 0;
            process.disk_stalled_until = 0;
        }
    }

    pub fn machines(&self) -> usize {
        self.processes.len()
    }

    pub fn node(&self, slot: usize) -> Option<&Node> {
        self.processes[slot].node.as_ref()
    }

    pub fn id(&self, slot: usize) -> NodeId {
        self.processes[slot].id
    }

    pub fn slot_of(&self, id: NodeId) -> usize {
        self.slots[&id]
    }

    /// All outputs of a machine's processes, if `keep_history` is set.
    pub fn history(&self, slot: usize) -> &[Output] {
        &self.processes[slot].history
    }

    pub fn clear_history(&mut self) {
        self.processes.iter_mut().for_each(|process| process.history.clear());
    }

    /// The machine whose process is the leader in the highest term.
    pub fn leader(&self) -> Option<usize> {
        let leads = |slot: &usize| self.node(*slot).is_some_and(Node::is_leader);
        (0..self.processes.len()).filter(leads).max_by_key(|slot| self.node(*slot).map(Node::term))
    }

    /// Whether the machine's process holds a lease now.
    pub fn holds_lease(&self, slot: usize) -> bool {
        let process = &self.processes[slot];
        process.node.as_ref().is_some_and(|node| process.local_time(self.now) < node.lease_until())
    }

    /// Passes an event to the process of a machine immediately.
    pub fn handle(&mut self, slot: usize, event: Event) {
        let now = self.now;
        let process = &mut self.processes[slot];
        let local_time = process.local_time(now);
        let Some(node) = process.node.as_mut() else { return };
        let mut outputs = Vec::new();
        node.handle(local_time, event, &mut outputs);
        if node.is_leader() {
            self.oracle.record_leader(node.term(), node.id());
        }
        let mut changes = membership_indexes(&outputs);
        for output in outputs {
            if let Output::MembershipChanged { membership } = &output {
                self.record_membership(slot, membership.clone(), changes.pop_front());
            }
            self.perform(slot, output);
        }
        self.schedule_timer(slot);
        self.check_leases();
    }

    /// Proposes a command at the leader. Returns false if there is no leader.
    pub fn propose(&mut self, bytes: usize) -> bool {
        let Some(slot) = self.leader() else { return false };
        self.next_command += 1;
        let mut payload = self.next_command.to_le_bytes().to_vec();
        payload.resize(payload.len().max(bytes), 7);
        self.handle(slot, Event::Propose { payload });
        true
    }

    pub fn run_for(&mut self, duration_ns: u64) {
        let end = self.now + duration_ns;
        while self.queue.peek().is_some_and(|Reverse(next)| next.0 <= end) {
            self.step();
        }
        self.now = end;
    }

    /// Runs until the condition holds. Returns false if it does not hold within the duration.
    pub fn run_until(&mut self, duration_ns: u64, condition: impl Fn(&Cluster) -> bool) -> bool {
        let end = self.now + duration_ns;
        while !condition(self) {
            if self.queue.peek().is_none_or(|Reverse(next)| next.0 > end) {
                return false;
            }
            self.step();
        }
        true
    }

    /// Whether the next event is the arrival of a message.
    pub fn next_is_message(&self) -> bool {
        self.queue.peek().is_some_and(|Reverse(next)| matches!(next.4, EventKind::Deliver { .. }))
    }

    /// Drops the next message.
    pub fn drop_next(&mut self) {
        if let Some(Reverse((.., EventKind::Deliver { number, .. }))) = self.queue.pop() {
            self.in_flight.remove(&number);
        }
    }

    /// Delays the next message by the duration.
    pub fn delay_next(&mut self, duration_ns: u64) {
        if let Some(Reverse((at, sequence, slot, incarnation, kind))) = self.queue.pop() {
            self.queue.push(Reverse((at + duration_ns, sequence, slot, incarnation, kind)));
        }
    }

    /// Schedules a duplicate of the next message, delayed by the duration.
    pub fn duplicate_next(&mut self, duration_ns: u64) {
        let Some(Reverse((at, _, slot, incarnation, EventKind::Deliver { id, number }))) = self.queue.peek()
        else {
            return;
        };
        let (at, slot, incarnation, id) = (*at, *slot, *incarnation, *id);
        let Some(event) = self.in_flight.get(number).cloned() else { return };
        self.sequence += 1;
        let number = self.sequence;
        self.in_flight.insert(number, event);
        self.schedule(at + duration_ns, slot, incarnation, EventKind::Deliver { id, number });
    }

    /// Executes the next event.
    pub fn step(&mut self) {
        let Some(Reverse((at, _, slot, incarnation, kind))) = self.queue.pop() else { return };
        self.now = self.now.max(at);
        let process = &self.processes[slot];
        let thaw_time = process.frozen_until;
        let is_of_this_incarnation =
            matches!(kind, EventKind::Timer | EventKind::DiskDone | EventKind::RequestJoin);
        if is_of_this_incarnation && process.incarnation != incarnation {
            return;
        }
        if thaw_time > self.now && process.node.is_some() {
            self.schedule(thaw_time, slot, incarnation, kind);
            return;
        }
        match kind {
            EventKind::Timer => self.on_timer(slot, at),
            EventKind::DiskDone => self.on_disk(slot),
            EventKind::Deliver { id, number } => self.on_delivery(slot, id, number),
            EventKind::RequestJoin => self.on_request_join(slot),
            EventKind::Start => self.start(slot),
            EventKind::Heal => self.heal(),
        }
    }

    fn on_timer(&mut self, slot: usize, at: u64) {
        let process = &mut self.processes[slot];
        if process.timer <= at {
            process.timer = 0;
            self.handle(slot, Event::Tick);
        }
    }

    fn on_disk(&mut self, slot: usize) {
        let process = &mut self.processes[slot];
        let incarnation = process.incarnation;
        if process.disk_stalled_until > self.now {
            let at = process.disk_stalled_until;
            self.schedule(at, slot, incarnation, EventKind::DiskDone);
            return;
        }
        if process.node.is_none() {
            return;
        }
        let Some(write) = process.disk.complete() else { return };
        match (write.ticket, write.snapshot) {
            (Some(ticket), _) => self.handle(slot, Event::Persisted { ticket }),
            (None, Some(snapshot)) => self.handle(slot, Event::SnapshotTaken { snapshot }),
            (None, None) => {}
        }
    }

    fn on_delivery(&mut self, slot: usize, id: NodeId, number: u64) {
        let Some(event) = self.in_flight.remove(&number) else { return };
        if self.processes[slot].id == id {
            self.handle(slot, event);
        }
    }

    fn on_request_join(&mut self, slot: usize) {
        let incarnation = self.processes[slot].incarnation;
        self.schedule(self.now + JOIN_INTERVAL_NS, slot, incarnation, EventKind::RequestJoin);
        let asks = self.node(slot).is_some_and(Node::should_join);
        let Some(leader) = self.leader().filter(|_| asks) else { return };
        if !self.partitions.contains(&(slot, leader)) {
            let event = Event::Join { member: member(self.id(slot), slot) };
            self.deliver(leader, self.id(leader), event);
        }
    }

    fn deliver(&mut self, slot: usize, id: NodeId, event: Event) {
        let delay = self.rng.u64(self.conditions.min_delay_ns..=self.conditions.max_delay_ns);
        self.sequence += 1;
        let number = self.sequence;
        self.in_flight.insert(number, event);
        self.schedule(self.now + delay, slot, 0, EventKind::Deliver { id, number });
    }

    fn schedule(&mut self, at: u64, slot: usize, incarnation: u64, kind: EventKind) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, slot, incarnation, kind)));
    }

    fn schedule_timer(&mut self, slot: usize) {
        let now = self.now;
        let process = &mut self.processes[slot];
        let Some(node) = &process.node else { return };
        let local_time = process.local_time(now);
        let at = now + node.next_timer().saturating_sub(local_time).max(1);
        if process.timer == 0 || at < process.timer || process.timer <= now {
            process.timer = at;
            let incarnation = process.incarnation;
            self.schedule(at, slot, incarnation, EventKind::Timer);
        }
    }

    fn check_leases(&self) {
        let running = self.processes.iter().filter_map(|process| Some((process.node.as_ref()?, process)));
        self.oracle.check_leases(running.map(|(node, process)| (node, process.local_time(self.now))));
    }

    fn perform(&mut self, slot: usize, output: Output) {
        if self.keep_history {
            self.processes[slot].history.push(output.clone());
        }
        match output {
            Output::Send { to, message } => self.send(slot, to, message),
            Output::Persist { ticket, hard_state, truncate_from, entries, snapshot } => {
                let write = Write { ticket: Some(ticket), hard_state, truncate_from, snapshot, entries };
                self.write(slot, write);
            }
            Output::Commit { entries } => entries.iter().for_each(|entry| self.apply(slot, entry)),
            Output::Restore { snapshot } => self.restore(slot, &snapshot),
            Output::Proposed { index, term } => {
                self.proposed.insert((index, term), self.next_command);
            }
            Output::BecameLeader { .. } => {
                let commit = self.node(slot).map_or(0, Node::commit_index);
                assert!(commit >= self.oracle.last_committed(), "a leader lacks committed entries");
            }
            Output::LeaderChanged { .. }
            | Output::MembershipChanged { .. }
            | Output::SteppedDown
            | Output::Removed
            | Output::ProposalDropped => {}
        }
    }

    fn send(&mut self, from: usize, to: NodeId, message: Message) {
        invariants::check_message(to, &message, &self.processes[from].disk);
        let Some(&slot) = self.slots.get(&to) else { return };
        let id = self.id(from);
        if self.partitions.contains(&(from, slot)) || self.rng.u8(0..100) < self.conditions.loss_percent {
            return;
        }
        if self.rng.u8(0..100) < self.conditions.duplicate_percent {
            self.deliver(slot, to, Event::Message { from: id, message: message.clone() });
        }
        self.deliver(slot, to, Event::Message { from: id, message });
    }

    /// Records a new membership of a process. Changes by a leader are checked against the rules for
    /// membership changes.
    fn record_membership(&mut self, slot: usize, membership: Membership, index: Option<Index>) {
        let process = &mut self.processes[slot];
        let before = std::mem::replace(&mut process.membership, membership.clone());
        let Some(node) = process.node.as_ref().filter(|node| node.is_leader()) else { return };
        let index = index.expect("a leader writes the membership change that it makes");
        let previous_change = std::mem::replace(&mut process.changed_at, (node.term(), index));
        let change = invariants::MembershipChange {
            leader: node.id(),
            term: node.term(),
            index,
            commit: node.commit_index(),
            commit_term: node.snapshot_meta(node.commit_index()).map(|meta| meta.term),
            previous_change,
        };
        // A process whose disk has been lost meanwhile may have acknowledged entries before.
        let durable_last = |id: NodeId| {
            let process = self.slots.get(&id).map(|slot| &self.processes[*slot])?;
            (process.id == id && !process.disk.empty).then(|| process.disk.durable_last_index())
        };
        invariants::check_change(&change, &before, &membership, PROMOTION_GAP, durable_last);
    }

    fn write(&mut self, slot: usize, write: Write) {
        let delay = self.rng.u64(MIN_DISK_DELAY_NS..=self.conditions.max_disk_delay_ns);
        let process = &mut self.processes[slot];
        let incarnation = process.incarnation;
        process.disk.push(write);
        let at = process.disk_stalled_until.max(self.now + delay);
        self.schedule(at, slot, incarnation, EventKind::DiskDone);
    }

    fn apply(&mut self, slot: usize, entry: &Entry) {
        let process = &mut self.processes[slot];
        assert_eq!(entry.index, process.applied + 1, "entries are applied in order and once");
        process.applied = entry.index;
        if let Payload::Command(bytes) = &entry.payload {
            process.digest = bytes.iter().fold(process.digest, |digest, byte| {
                digest.rotate_left(5).wrapping_add(u64::from(*byte)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
            });
        }
        let (applied, digest, snapshot_at) = (process.applied, process.digest, process.snapshot_at);
        self.oracle.record_commit(entry, digest);
        if applied >= snapshot_at + 20 {
            self.take_snapshot(slot);
        }
    }

    /// Starts to write a snapshot of a process's state machine.
    pub fn take_snapshot(&mut self, slot: usize) {
        let process = &mut self.processes[slot];
        let (applied, digest) = (process.applied, process.digest);
        let meta = process.node.as_ref().and_then(|node| node.snapshot_meta(applied));
        let Some(meta) = meta else { return };
        process.snapshot_at = applied;
        let mut data = digest.to_le_bytes().to_vec();
        data.resize(SNAPSHOT_BYTES, 3);
        let snapshot = Snapshot { meta, data: Arc::new(data) };
        let write = Write {
            ticket: None,
            hard_state: None,
            truncate_from: None,
            snapshot: Some(snapshot),
            entries: vec![],
        };
        self.write(slot, write);
    }

    fn restore(&mut self, slot: usize, snapshot: &Snapshot) {
        let process = &mut self.processes[slot];
        assert!(snapshot.meta.index > process.applied, "a snapshot is older than the state");
        process.applied = snapshot.meta.index;
        process.digest = digest_of(snapshot);
        process.snapshot_at = process.applied;
        self.oracle.record_digest(snapshot.meta.index, process.digest);
    }
}

impl Process {
    fn new() -> Process {
        Process {
            node: None,
            id: 0,
            disk: Disk::new(),
            incarnation: 0,
            clock_start: 0,
            drift_per_mille: 0,
            frozen_until: 0,
            disk_stalled_until: 0,
            timer: 0,
            applied: 0,
            digest: 0,
            snapshot_at: 0,
            membership: Membership::default(),
            changed_at: (0, 0),
            history: Vec::new(),
        }
    }

    /// Time of the machine's monotonic clock.
    fn local_time(&self, now: u64) -> u64 {
        self.clock_start + now + now / 1_000 * self.drift_per_mille
    }
}

/// Options with small limits, so that batches, chunks and compaction occur often.
fn test_options(id: NodeId) -> Options {
    let mut options = Options::new(id);
    options.max_entries_bytes = 256;
    options.max_inflight_bytes = 1024;
    options.snapshot_chunk_bytes = 64;
    options.retained_entries = 5;
    options.retained_bytes_for_followers = 512;
    options.promotion_gap = PROMOTION_GAP;
    options
}

fn member(id: NodeId, slot: usize) -> Member {
    Member { id, address: format!("machine-{slot}"), control: format!("control-{slot}"), voter: false }
}

/// Indexes of the membership changes among the entries to be written.
fn membership_indexes(outputs: &[Output]) -> VecDeque<Index> {
    let mut indexes = VecDeque::new();
    for output in outputs {
        let Output::Persist { entries, .. } = output else { continue };
        let changes = entries.iter().filter(|entry| matches!(entry.payload, Payload::Membership(_)));
        indexes.extend(changes.map(|entry| entry.index));
    }
    indexes
}

fn digest_of(snapshot: &Snapshot) -> u64 {
    let digest = snapshot.data.first_chunk().expect("a snapshot begins with its digest");
    u64::from_le_bytes(*digest)
}
