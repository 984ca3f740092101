//! Machines that start for the first time while faults strike: one group comes about, it keeps what it has committed, and
//! no second group ever commits anything.
//!
//! Each play has five core machines that are to bear the loss of two, three of them seeds. Within the first seconds any
//! number of processes are killed or lose power, settings come without `Bootstrap`, and as many machines as may be lost
//! at one time lose their disks or are cut off. Then all is left alone.

use consensus::{
    Event, Founding, FoundingOffer, FoundingStatus, FoundingStep, HardState, Index, Member, Membership,
    Message, Node, NodeId, Options, Output, Payload, Restored,
};
use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};

const MS: u64 = 1_000_000;
const SECOND: u64 = 1_000 * MS;
/// Time between two turns of the world.
const TURN: u64 = 5 * MS;
const MACHINES: usize = 5;
const SEEDS: usize = 3;
const TOLERATED_LOSSES: usize = 2;
/// Faults strike until then.
const FAULTS_END: u64 = 4 * SECOND;
/// Longest time until the group serves once it is left alone.
const QUIET: u64 = 25 * SECOND;
/// Interval of requests to join, and of notices of the leader.
const GOSSIP_INTERVAL: u64 = 300 * MS;
const PLAYS: u64 = 400;

fn address(machine: usize) -> String {
    format!("machine-{machine}")
}

fn machine_at(address: &str) -> usize {
    address.rsplit('-').next().and_then(|number| number.parse().ok()).expect("an address of the play")
}

fn member(machine: usize, id: NodeId, voter: bool) -> Member {
    Member { id, address: address(machine), control: String::new(), voter }
}

fn seeds() -> BTreeSet<String> {
    (0..SEEDS).map(address).collect()
}

/// What one process sends another.
#[derive(Clone)]
enum Frame {
    Consensus { from: NodeId, to: NodeId, message: Message },
    Offer(FoundingOffer),
    Proposal(Membership),
    Leader(Membership),
    Join(Member),
}

#[derive(Clone, Default)]
struct Disk {
    id: Option<NodeId>,
    restored: Restored,
}

/// A write that is not durable yet.
struct Write {
    due: u64,
    ticket: u64,
    hard_state: Option<HardState>,
    truncate_from: Option<Index>,
    entries: Vec<consensus::Entry>,
}

struct Process {
    id: NodeId,
    candidate_id: NodeId,
    node: Node,
    founding: Founding,
    writes: Vec<Write>,
    /// It was announced as the leader.
    is_announced: bool,
    next_gossip: u64,
}

#[derive(Default)]
struct Machine {
    disk: Disk,
    process: Option<Process>,
    has_started: bool,
    restart_at: u64,
    cut_until: u64,
    incarnation: u64,
}

struct World {
    now: u64,
    rng: Rng,
    machines: Vec<Machine>,
    frames: Vec<(u64, usize, usize, Frame)>,
    /// What was committed, by index: one history.
    committed: BTreeMap<Index, Payload>,
    next_command: u8,
    losses: BTreeSet<usize>,
    foundings: usize,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let mut machines: Vec<Machine> = (0..MACHINES).map(|_| Machine::default()).collect();
        for machine in &mut machines {
            machine.restart_at = rng.u64(0..300 * MS);
        }
        World {
            now: 0,
            rng,
            machines,
            frames: Vec::new(),
            committed: BTreeMap::new(),
            next_command: 0,
            losses: BTreeSet::new(),
            foundings: 0,
        }
    }

    fn unused_id(&mut self, machine: usize) -> NodeId {
        (u64::from(self.rng.u32(1..)) << 32) | machine as u64
    }

    fn start(&mut self, machine: usize) {
        // The settings may have been written anew before the first start has read them.
        let bootstrap = !self.machines[machine].has_started && self.rng.u8(0..4) > 0;
        self.machines[machine].has_started = true;
        if self.machines[machine].disk.id.is_none() {
            let disk = if bootstrap && machine < SEEDS {
                let members = (0..SEEDS).map(|seed| member(seed, 1_000 + seed as u64, true)).collect();
                let restored = Node::bootstrap(Membership { members });
                Disk { id: Some(1_000 + machine as u64), restored }
            } else {
                Disk { id: Some(self.unused_id(machine)), restored: Restored::default() }
            };
            // Until the first log is durable the disk counts as empty.
            let is_interrupted = self.now < FAULTS_END && self.rng.u8(0..6) == 0;
            if is_interrupted {
                self.machines[machine].restart_at = self.now + 500 * MS;
                return;
            }
            self.machines[machine].disk = disk;
        }
        self.run_process(machine);
    }

    /// The process with the identity on its disk.
    fn run_process(&mut self, machine: usize) {
        let candidate_id = self.unused_id(machine);
        let seed = self.rng.u64(..);
        let this = &mut self.machines[machine];
        let id = this.disk.id.expect("the disk has an identity");
        let mut options = Options::new(id);
        options.target_voters = 2 * TOLERATED_LOSSES + 1;
        this.incarnation += 1;
        this.process = Some(Process {
            id,
            candidate_id,
            node: Node::new(options, this.disk.restored.clone(), self.now, seed),
            founding: Founding::new(member(machine, candidate_id, true), seeds(), TOLERATED_LOSSES),
            writes: Vec::new(),
            is_announced: false,
            next_gossip: self.now,
        });
    }

    fn kill(&mut self, machine: usize, pause: u64) {
        let this = &mut self.machines[machine];
        this.process = None;
        this.restart_at = self.now + pause;
    }

    fn is_cut(&self, machine: usize) -> bool {
        self.machines[machine].cut_until > self.now
    }

    fn send(&mut self, from: usize, to: usize, frame: Frame) {
        if from == to || self.is_cut(from) || self.is_cut(to) {
            return;
        }
        let due = self.now + self.rng.u64(MS..20 * MS);
        self.frames.push((due, from, to, frame));
    }

    /// Machines that a process keeps connections to: seeds, and members of its membership.
    fn contacts(&self, machine: usize) -> BTreeSet<usize> {
        let Some(process) = &self.machines[machine].process else { return BTreeSet::new() };
        let members = process.node.membership().members.iter().map(|member| machine_at(&member.address));
        members.chain(0..SEEDS).filter(|other| *other != machine).collect()
    }

    fn status(&self, machine: usize) -> FoundingStatus {
        let process = self.machines[machine].process.as_ref().expect("it runs");
        if !process.node.is_uninitialized() {
            return FoundingStatus::default();
        }
        let is_connected = |other: &usize| {
            let reaches = !self.is_cut(*other) && !self.is_cut(machine);
            *other != machine && reaches && self.contacts(*other).contains(&machine)
        };
        let others = (0..MACHINES).filter(is_connected);
        let identities = others
            .filter_map(|other| Some((self.machines[other].process.as_ref()?.id, address(other))))
            .collect();
        FoundingStatus {
            is_uninitialized: true,
            founded_with: process.node.membership().clone(),
            connected: identities,
        }
    }

    /// The disk is cleared, and holds the first log of a group afterwards, if there is one.
    fn begin_again(&mut self, machine: usize, membership: Option<Membership>) {
        let process = self.machines[machine].process.take().expect("it runs");
        self.machines[machine].disk = match membership {
            Some(membership) => {
                self.foundings += 1;
                Disk { id: Some(process.candidate_id), restored: Node::bootstrap_again(membership) }
            }
            None => Disk { id: Some(self.unused_id(machine)), restored: Restored::default() },
        };
        // The process may end between the two.
        if self.now < FAULTS_END && self.rng.u8(0..6) == 0 {
            self.machines[machine].disk = Disk::default();
            self.machines[machine].restart_at = self.now + 500 * MS;
            return;
        }
        self.run_process(machine);
    }

    fn handle(&mut self, machine: usize, event: Event) {
        let mut outputs = Vec::new();
        let now = self.now;
        let Some(process) = self.machines[machine].process.as_mut() else { return };
        process.node.handle(now, event, &mut outputs);
        for output in outputs {
            self.perform(machine, output);
        }
    }

    fn perform(&mut self, machine: usize, output: Output) {
        let due = self.now + self.rng.u64(2 * MS..25 * MS);
        let Some(process) = self.machines[machine].process.as_mut() else { return };
        let from = process.id;
        match output {
            Output::Send { to, message } => {
                let address = process.node.membership().member(to).map(|member| member.address.clone());
                let target = address.map_or((to & 0xff) as usize % 1_000, |address| machine_at(&address));
                if target < MACHINES {
                    self.send(machine, target, Frame::Consensus { from, to, message });
                }
            }
            Output::Persist { ticket, hard_state, truncate_from, entries, .. } => {
                let due = process.writes.last().map_or(due, |last| due.max(last.due));
                process.writes.push(Write { due, ticket, hard_state, truncate_from, entries });
            }
            Output::Commit { entries } => {
                for entry in entries {
                    let known = self.committed.entry(entry.index).or_insert_with(|| entry.payload.clone());
                    let is_command = |payload: &Payload| matches!(payload, Payload::Command(_));
                    let differs = *known != entry.payload;
                    assert!(
                        !(differs && (is_command(known) || is_command(&entry.payload))),
                        "two groups: entry {} is {known:?} and {:?}",
                        entry.index,
                        entry.payload
                    );
                    if differs {
                        // A founding that came to nothing committed no command.
                        *known = entry.payload;
                    }
                }
            }
            Output::BecameLeader { .. } => process.is_announced = true,
            Output::SteppedDown => process.is_announced = false,
            Output::Removed => self.begin_again(machine, None),
            _ => {}
        }
    }

    fn persist_due(&mut self, machine: usize) {
        loop {
            let now = self.now;
            let this = &mut self.machines[machine];
            let Some(process) = this.process.as_mut() else { return };
            if process.writes.first().is_none_or(|write| write.due > now) {
                return;
            }
            let write = process.writes.remove(0);
            let restored = &mut this.disk.restored;
            restored.hard_state = write.hard_state.unwrap_or(restored.hard_state);
            if let Some(from) = write.truncate_from {
                restored.entries.retain(|entry| entry.index < from);
            }
            restored.entries.extend(write.entries);
            self.handle(machine, Event::Persisted { ticket: write.ticket });
        }
    }

    fn receive(&mut self, machine: usize, frame: Frame) {
        let now = self.now;
        let Some(process) = self.machines[machine].process.as_mut() else { return };
        match frame {
            Frame::Consensus { from, to, message } if to == process.id => {
                self.handle(machine, Event::Message { from, message });
            }
            Frame::Consensus { .. } => {}
            Frame::Join(member) => self.handle(machine, Event::Join { member }),
            Frame::Offer(offer) => process.founding.handle_offer(now, offer),
            Frame::Proposal(membership) => {
                let status = self.status(machine);
                let process = self.machines[machine].process.as_mut().expect("it runs");
                if process.founding.accepts(now, &status, &membership) {
                    self.begin_again(machine, Some(membership));
                }
            }
            Frame::Leader(membership) => {
                process.founding.handle_leader(now, &membership);
                let is_listed = membership.contains(process.id) || membership.contains(process.candidate_id);
                if process.node.is_member() && process.node.is_uninitialized() && !is_listed {
                    self.begin_again(machine, None);
                }
            }
        }
    }

    fn gossip(&mut self, machine: usize) {
        let now = self.now;
        let Some(process) = self.machines[machine].process.as_mut() else { return };
        if now < process.next_gossip {
            return;
        }
        process.next_gossip = now + GOSSIP_INTERVAL;
        let node = &process.node;
        let leader = node.leader().filter(|leader| *leader != process.id || process.is_announced);
        let notice = leader.map(|_| Frame::Leader(node.membership().clone()));
        let has_founded_alone = node.is_member() && node.is_uninitialized();
        let join = (!node.is_member() && !has_founded_alone).then(|| member(machine, process.id, false));
        for other in 0..MACHINES {
            if let Some(notice) = &notice {
                self.send(machine, other, notice.clone());
            }
            if let Some(join) = &join {
                self.send(machine, other, Frame::Join(join.clone()));
            }
        }
    }

    fn poll_founding(&mut self, machine: usize) {
        loop {
            if self.machines[machine].process.is_none() {
                return;
            }
            let (now, status) = (self.now, self.status(machine));
            let process = self.machines[machine].process.as_mut().expect("it runs");
            match process.founding.poll(now, &status) {
                FoundingStep::Wait => return,
                FoundingStep::SendOffer(offer) => {
                    (0..SEEDS).for_each(|seed| self.send(machine, seed, Frame::Offer(offer.clone())));
                }
                FoundingStep::Propose(membership) => {
                    (0..SEEDS).for_each(|seed| self.send(machine, seed, Frame::Proposal(membership.clone())));
                }
                FoundingStep::Found(membership) => return self.begin_again(machine, Some(membership)),
            }
        }
    }

    /// A client's command at each leader that may answer.
    fn propose(&mut self) {
        for machine in 0..MACHINES {
            let now = self.now;
            let Some(process) = self.machines[machine].process.as_mut() else { continue };
            if process.is_announced && process.node.lease_until() > now {
                self.next_command = self.next_command.wrapping_add(1);
                let payload = vec![machine as u8, self.next_command];
                self.handle(machine, Event::Propose { payload });
            }
        }
    }

    fn strike(&mut self) {
        let machine = self.rng.usize(0..MACHINES);
        let pause = self.rng.u64(200 * MS..1_500 * MS);
        match self.rng.u8(0..7) {
            0 | 1 => self.kill(machine, pause),
            2 => (0..MACHINES).for_each(|one| self.kill(one, pause)),
            3 => (0..SEEDS).for_each(|seed| self.kill(seed, pause)),
            4 | 5 if self.losses.len() < TOLERATED_LOSSES || self.losses.contains(&machine) => {
                self.losses.insert(machine);
                self.kill(machine, pause);
                self.machines[machine].disk = Disk::default();
            }
            6 if self.losses.len() < TOLERATED_LOSSES || self.losses.contains(&machine) => {
                self.losses.insert(machine);
                self.machines[machine].cut_until = self.now + pause;
            }
            _ => {}
        }
    }

    fn turn(&mut self) {
        self.now += TURN;
        let now = self.now;
        let due = self.frames.iter().filter(|frame| frame.0 <= now).cloned().collect::<Vec<_>>();
        self.frames.retain(|frame| frame.0 > now);
        for (_, from, to, frame) in due {
            if !self.is_cut(from) && !self.is_cut(to) {
                self.receive(to, frame);
            }
        }
        for machine in 0..MACHINES {
            if self.machines[machine].process.is_none() && self.machines[machine].restart_at <= now {
                self.start(machine);
            }
            self.persist_due(machine);
            let is_due = self.machines[machine]
                .process
                .as_ref()
                .is_some_and(|process| process.node.next_timer() <= now);
            if is_due {
                self.handle(machine, Event::Tick);
            }
            self.gossip(machine);
            self.poll_founding(machine);
        }
    }

    fn commands(&self) -> usize {
        self.committed.values().filter(|payload| matches!(payload, Payload::Command(_))).count()
    }
}

/// Plays a seed. Returns how many processes founded a group by agreement.
fn play(seed: u64) -> usize {
    let mut world = World::new(seed);
    while world.now < FAULTS_END {
        world.turn();
        if world.rng.u8(0..80) == 0 {
            world.strike();
        }
        if world.rng.u8(0..10) == 0 {
            world.propose();
        }
    }
    let (before, deadline) = (world.commands(), world.now + QUIET);
    while world.commands() < before + 3 {
        assert!(world.now < deadline, "seed {seed}: nothing is committed once all is left alone");
        world.turn();
        if world.now % (100 * MS) == 0 {
            world.propose();
        }
    }
    // What was committed is in the log of whoever leads.
    let leader = world.machines.iter().filter_map(|machine| machine.process.as_ref());
    let leader = leader.filter(|process| process.is_announced).max_by_key(|process| process.node.term());
    let commit = leader.expect("a leader").node.commit_index();
    let last_command =
        world.committed.iter().rev().find(|(_, payload)| matches!(payload, Payload::Command(_)));
    assert!(commit >= *last_command.expect("commands").0, "seed {seed}: committed commands are lost");
    world.foundings
}

#[test]
fn one_group_comes_about_whatever_strikes_the_first_seconds() {
    let foundings: usize = (1..=PLAYS).map(play).sum();
    println!("{PLAYS} plays, {foundings} processes founded a group by agreement");
    assert!(foundings > PLAYS as usize / 4, "the plays bring about too few foundings by agreement");
}
