//! Simulates core machines that start for the first time while faults are injected. Each process has a real
//! [`Node`] and [`Founding`]; disks, connections and settings behave as in the control role.

use consensus::{
    Entry, Event, Founding, FoundingOffer, FoundingStatus, FoundingStep, Index, Member, Membership, Message,
    Node, NodeId, Options, OtherGroup, Output, Payload, Restored,
};
use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};

use super::cluster::{MILLISECOND, SECOND};

/// Time between two steps of the simulation.
const STEP_NS: u64 = 5 * MILLISECOND;
const SEEDS: usize = 3;
/// Identity of the founder on machine 0 at the first start.
const FIRST_FOUNDER: NodeId = 1_000;
/// Number of bits of a random identity that hold the number of its machine.
const MACHINE_BITS: u32 = 32;
/// Interval between two join requests.
const JOIN_INTERVAL_NS: u64 = 300 * MILLISECOND;
/// A member that has known no leader for this long requests to join again.
const CONTACT_TIMEOUT_NS: u64 = 3 * SECOND;
/// Interval at which a leader notifies the seeds that are not members of its group.
const GROUP_NOTICE_INTERVAL_NS: u64 = SECOND;
/// All machines start within this time.
const START_SPREAD_NS: u64 = 300 * MILLISECOND;
/// Maximum delay until changed seeds take effect in the settings of a machine.
const SETTINGS_DELAY_NS: u64 = 3 * SECOND;
/// A machine that has lost its disk counts as lost until it has run without faults for this long.
const CATCH_UP_NS: u64 = 6 * SECOND;

/// Number of core machines, and number of disks that may be lost at one time.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    pub machines: usize,
    pub tolerated_losses: usize,
}

/// A message from one process to another.
#[derive(Clone)]
enum Frame {
    Consensus { from: NodeId, to: NodeId, message: Message },
    Offer(FoundingOffer),
    Group(Option<OtherGroup>),
    Proposal(Membership),
    Notice { leader: Option<NodeId>, membership: Membership },
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
    hard_state: Option<consensus::HardState>,
    truncate_from: Option<Index>,
    entries: Vec<Entry>,
}

struct Process {
    id: NodeId,
    candidate_id: NodeId,
    node: Node,
    founding: Founding,
    writes: Vec<Write>,
    /// Whether the process has been announced as the leader.
    is_announced: bool,
    next_join: u64,
    /// Time at which the process last knew a leader.
    last_contact: u64,
    next_group_notice: u64,
    /// Machines that the process knows besides its seeds and members.
    known_machines: BTreeSet<usize>,
    notice: Option<(Option<NodeId>, Membership)>,
}

/// A machine, its disk and its process.
#[derive(Default)]
struct Machine {
    disk: Disk,
    process: Option<Process>,
    /// While the disk is being initialized: the completion time, and the contents of the disk after it.
    disk_initialization: Option<(u64, Disk)>,
    has_started: bool,
    is_removed: bool,
    restart_at: u64,
    frozen_until: u64,
    /// Disk writes do not complete before this time.
    disk_stalled_until: u64,
    /// The machine counts as lost until this time because its disk was lost.
    lost_until: u64,
    seeds: BTreeSet<usize>,
    /// Changed seeds, and the time at which they take effect in the machine's settings.
    pending_seeds: Option<(u64, BTreeSet<usize>)>,
    /// Machines from which this machine has accepted a connection, with the identities of their processes.
    /// The connection of a machine that has lost power stays open.
    accepted_connections: BTreeMap<usize, NodeId>,
}

impl Machine {
    fn is_frozen(&self, now: u64) -> bool {
        self.frozen_until > now
    }
}

/// A fault that is injected into the deployment.
#[derive(Clone, Debug)]
pub enum Fault {
    Kill {
        machine: usize,
        downtime_ns: u64,
    },
    KillAll {
        downtime_ns: u64,
    },
    LosePower {
        machine: usize,
        downtime_ns: u64,
    },
    LosePowerOfAll {
        downtime_ns: u64,
    },
    /// The disk of a machine is lost. Ignored if the tolerated number of disks is already lost.
    LoseDisk {
        machine: usize,
        downtime_ns: u64,
    },
    /// The machine is removed permanently and replaced by an empty one at another address. Counts as a lost
    /// disk.
    ReplaceMachine {
        machine: usize,
        downtime_ns: u64,
    },
    /// These machines and all other machines cannot reach each other.
    Partition {
        machines: BTreeSet<usize>,
        duration_ns: u64,
    },
    Freeze {
        machine: usize,
        duration_ns: u64,
    },
    StallDisk {
        machine: usize,
        duration_ns: u64,
    },
    /// The seeds in the settings change. Ignored if one of the new seeds has been removed.
    ReplaceSeeds {
        seeds: BTreeSet<usize>,
    },
    /// The settings are rewritten, so that `Bootstrap` is false at later starts.
    DisableBootstrap,
}

impl Fault {
    /// Returns a random fault for one of `machines` machines.
    pub fn random(rng: &mut Rng, machines: usize) -> Fault {
        let machine = rng.usize(0..machines);
        let downtime_ns = rng.u64(100..1_500) * MILLISECOND;
        let duration_ns = rng.u64(100..3_000) * MILLISECOND;
        match rng.u8(0..16) {
            0 | 1 => Fault::Kill { machine, downtime_ns },
            2 => Fault::KillAll { downtime_ns },
            3 => Fault::LosePower { machine, downtime_ns: duration_ns },
            4 => Fault::LosePowerOfAll { downtime_ns },
            5..=7 => Fault::LoseDisk { machine, downtime_ns },
            8 | 9 => Fault::ReplaceMachine { machine, downtime_ns },
            10 => Fault::Partition { machines: [machine].into(), duration_ns },
            11 => Fault::Partition { machines: (0..machines).filter(|_| rng.bool()).collect(), duration_ns },
            12 => Fault::Freeze { machine, duration_ns },
            13 => Fault::StallDisk { machine, duration_ns },
            14 => {
                Fault::ReplaceSeeds { seeds: rng.choose_multiple(0..machines, SEEDS).into_iter().collect() }
            }
            _ => Fault::DisableBootstrap,
        }
    }
}

/// All machines, and the observations that the test checks.
pub struct Deployment {
    pub now: u64,
    pub rng: Rng,
    layout: Layout,
    machines: Vec<Machine>,
    frames: Vec<(u64, usize, usize, Frame)>,
    /// Pairs of machines of which the first cannot reach the second, with the end time.
    partitions: BTreeMap<(usize, usize), u64>,
    bootstrap: bool,
    /// Committed commands by index. All processes must commit the same history.
    committed: BTreeMap<Index, Payload>,
    next_command: u32,
    /// Number of times that a process has founded a group by agreement.
    pub foundings: usize,
}

impl Deployment {
    /// Creates machines that start within [`START_SPREAD_NS`]. The first three are the seeds.
    pub fn new(layout: Layout, seed: u64) -> Deployment {
        let mut rng = Rng::with_seed(seed);
        let mut machines: Vec<Machine> = (0..layout.machines).map(|_| Machine::default()).collect();
        for machine in &mut machines {
            machine.restart_at = rng.u64(0..START_SPREAD_NS);
            machine.seeds = (0..SEEDS).collect();
        }
        Deployment {
            now: 0,
            rng,
            layout,
            machines,
            frames: Vec::new(),
            partitions: BTreeMap::new(),
            bootstrap: true,
            committed: BTreeMap::new(),
            next_command: 0,
            foundings: 0,
        }
    }

    /// Machines that have not been removed.
    pub fn active_machines(&self) -> Vec<usize> {
        (0..self.machines.len()).filter(|machine| !self.machines[*machine].is_removed).collect()
    }

    /// Number of committed commands.
    pub fn committed_commands(&self) -> usize {
        self.committed.len()
    }

    /// Injects a fault.
    pub fn inject(&mut self, fault: &Fault) {
        match *fault {
            Fault::Kill { machine, downtime_ns } => self.stop(machine, downtime_ns, false),
            Fault::KillAll { downtime_ns } => self.stop_all(downtime_ns, false),
            Fault::LosePower { machine, downtime_ns } => self.stop(machine, downtime_ns, true),
            Fault::LosePowerOfAll { downtime_ns } => self.stop_all(downtime_ns, true),
            Fault::LoseDisk { machine, downtime_ns } => self.lose_disk(machine, downtime_ns),
            Fault::ReplaceMachine { machine, downtime_ns } => self.replace_machine(machine, downtime_ns),
            Fault::Partition { ref machines, duration_ns } => self.partition(machines, duration_ns),
            Fault::Freeze { machine, duration_ns } => {
                self.machines[machine].frozen_until = self.now + duration_ns;
                self.extend_catch_up(machine, duration_ns);
            }
            Fault::StallDisk { machine, duration_ns } => {
                self.machines[machine].disk_stalled_until = self.now + duration_ns;
                self.extend_catch_up(machine, duration_ns);
            }
            Fault::ReplaceSeeds { ref seeds } => self.replace_seeds(seeds),
            Fault::DisableBootstrap => self.bootstrap = false,
        }
    }

    /// Ends all partitions, freezes and disk stalls.
    pub fn heal(&mut self) {
        self.partitions.clear();
        for machine in &mut self.machines {
            machine.frozen_until = 0;
            machine.disk_stalled_until = 0;
        }
    }

    fn stop(&mut self, machine: usize, downtime_ns: u64, is_power_loss: bool) {
        let restart_at = self.now + downtime_ns;
        let this = &mut self.machines[machine];
        if this.is_removed {
            return;
        }
        this.process = None;
        this.disk_initialization = None;
        this.accepted_connections.clear();
        this.restart_at = restart_at;
        if !is_power_loss {
            // The operating system closes the connections of a process that exits.
            self.machines
                .iter_mut()
                .for_each(|other| other.accepted_connections.retain(|other, _| *other != machine));
        }
        self.extend_catch_up(machine, downtime_ns);
    }

    fn stop_all(&mut self, downtime_ns: u64, is_power_loss: bool) {
        self.active_machines().into_iter().for_each(|machine| self.stop(machine, downtime_ns, is_power_loss));
    }

    /// Extends the time for which a machine counts as lost, because it has not run without faults.
    fn extend_catch_up(&mut self, machine: usize, duration_ns: u64) {
        let now = self.now;
        let this = &mut self.machines[machine];
        if this.lost_until > now {
            this.lost_until = now + duration_ns + CATCH_UP_NS;
        }
    }

    fn may_lose_disk(&self, machine: usize) -> bool {
        let is_lost = |this: &Machine| this.lost_until > self.now;
        let lost = self.machines.iter().filter(|this| is_lost(this)).count();
        !self.machines[machine].is_removed
            && (lost < self.layout.tolerated_losses || is_lost(&self.machines[machine]))
    }

    fn lose_disk(&mut self, machine: usize, downtime_ns: u64) {
        if !self.may_lose_disk(machine) {
            return;
        }
        self.stop(machine, downtime_ns, true);
        self.machines[machine].disk = Disk::default();
        self.machines[machine].has_started = true;
        self.machines[machine].lost_until = self.now + downtime_ns + CATCH_UP_NS;
    }

    fn replace_machine(&mut self, machine: usize, downtime_ns: u64) {
        if !self.may_lose_disk(machine) {
            return;
        }
        self.stop(machine, 0, true);
        let old = &mut self.machines[machine];
        old.is_removed = true;
        old.lost_until = 0;
        let successor = self.machines.len();
        let seeds = self.latest_seeds(machine);
        let is_seed = seeds.contains(&machine);
        let renamed = seeds
            .into_iter()
            .map(|seed| if seed == machine { successor } else { seed })
            .collect::<BTreeSet<_>>();
        let new = Machine {
            has_started: true,
            restart_at: self.now + downtime_ns,
            lost_until: self.now + downtime_ns + CATCH_UP_NS,
            seeds: renamed.clone(),
            ..Machine::default()
        };
        self.machines.push(new);
        if is_seed {
            self.set_seeds(&renamed);
        }
    }

    fn latest_seeds(&self, machine: usize) -> BTreeSet<usize> {
        let this = &self.machines[machine];
        this.pending_seeds.as_ref().map_or_else(|| this.seeds.clone(), |(_, seeds)| seeds.clone())
    }

    fn replace_seeds(&mut self, seeds: &BTreeSet<usize>) {
        if !seeds.iter().any(|seed| self.machines[*seed].is_removed) {
            self.set_seeds(seeds);
        }
    }

    fn set_seeds(&mut self, seeds: &BTreeSet<usize>) {
        let now = self.now;
        self.bootstrap = false;
        for machine in 0..self.machines.len() {
            let due_at = now + self.rng.u64(0..SETTINGS_DELAY_NS);
            self.machines[machine].pending_seeds = Some((due_at, seeds.clone()));
        }
    }

    fn partition(&mut self, some: &BTreeSet<usize>, duration_ns: u64) {
        let until = self.now + duration_ns;
        for one in some {
            self.extend_catch_up(*one, duration_ns);
            for other in (0..self.machines.len()).filter(|other| !some.contains(other)) {
                self.partitions.insert((*one, other), until);
                self.partitions.insert((other, *one), until);
            }
        }
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        self.partitions.get(&(from, to)).is_none_or(|until| *until <= self.now)
    }

    fn unused_id(&mut self, machine: usize) -> NodeId {
        (u64::from(self.rng.u32(1..)) << MACHINE_BITS) | machine as u64
    }

    /// Starts the process of a machine. An empty disk is initialized first.
    fn start(&mut self, machine: usize) {
        let is_first_start = !self.machines[machine].has_started && self.bootstrap;
        self.machines[machine].has_started = true;
        if self.machines[machine].disk.id.is_some() {
            self.run_process(machine);
            return;
        }
        let disk = if is_first_start && machine < SEEDS {
            let members = (0..SEEDS).map(|seed| member(seed, FIRST_FOUNDER + seed as u64)).collect();
            let restored = Node::bootstrap(Membership { members });
            Disk { id: Some(FIRST_FOUNDER + machine as u64), restored }
        } else {
            Disk { id: Some(self.unused_id(machine)), restored: Restored::default() }
        };
        self.initialize_disk(machine, disk);
    }

    /// Clears the disk of a machine and starts to initialize it with these contents.
    fn initialize_disk(&mut self, machine: usize, disk: Disk) {
        let done_at = self.now + self.rng.u64(5..60) * MILLISECOND;
        let this = &mut self.machines[machine];
        this.process = None;
        this.disk = Disk::default();
        this.disk_initialization = Some((done_at, disk));
    }

    fn finish_disk_initialization(&mut self, machine: usize) {
        let now = self.now;
        let this = &mut self.machines[machine];
        let is_due = this.disk_initialization.as_ref().is_some_and(|(done_at, _)| *done_at <= now);
        if !is_due || this.disk_stalled_until > now {
            return;
        }
        this.disk = this.disk_initialization.take().map(|(_, disk)| disk).unwrap_or_default();
        self.run_process(machine);
    }

    /// Starts the process with the identity and the state on the machine's disk.
    fn run_process(&mut self, machine: usize) {
        let candidate_id = self.unused_id(machine);
        let seed = self.rng.u64(..);
        let tolerated_losses = self.layout.tolerated_losses;
        let this = &mut self.machines[machine];
        let id = this.disk.id.expect("the disk has an identity");
        let mut options = Options::new(id);
        options.target_voters = 2 * tolerated_losses + 1;
        let seeds = this.seeds.iter().map(|seed| address(*seed)).collect();
        this.process = Some(Process {
            id,
            candidate_id,
            node: Node::new(options, this.disk.restored.clone(), self.now, seed),
            founding: Founding::new(member(machine, candidate_id), seeds, tolerated_losses),
            writes: Vec::new(),
            is_announced: false,
            next_join: self.now,
            last_contact: self.now,
            next_group_notice: self.now,
            known_machines: this.accepted_connections.keys().copied().collect(),
            notice: None,
        });
    }

    /// Machines to which the process of this machine keeps connections.
    fn peers(&self, machine: usize) -> BTreeSet<usize> {
        let this = &self.machines[machine];
        let Some(process) = &this.process else { return BTreeSet::new() };
        let node = &process.node;
        let members = node.membership().members.iter().map(|member| machine_at_address(&member.address));
        let known_machines = process.known_machines.iter().copied().filter(|_| node.leader().is_none());
        members
            .chain(known_machines)
            .chain(this.seeds.iter().copied())
            .filter(|other| *other != machine)
            .collect()
    }

    fn send(&mut self, from: usize, to: usize, frame: Frame) {
        if from != to && to < self.machines.len() && self.can_reach(from, to) {
            let due = self.now + self.rng.u64(1..20) * MILLISECOND;
            self.frames.push((due, from, to, frame));
        }
    }

    /// Opens the connections to all peers. The other side replies with its leader and members.
    fn connect(&mut self, machine: usize) {
        let Some(id) = self.machines[machine].process.as_ref().map(|process| process.id) else { return };
        for other in self.peers(machine) {
            if !self.can_reach(machine, other) || self.machines[other].is_frozen(self.now) {
                continue;
            }
            let Some(process) = self.machines[other].process.as_mut() else { continue };
            process.known_machines.insert(machine);
            let (leader, membership) = leader_notice(process);
            if self.machines[other].accepted_connections.insert(machine, id) != Some(id) {
                self.send(other, machine, Frame::Notice { leader, membership });
            }
        }
    }

    /// Notifies the connected processes if the leader or the membership has changed.
    fn send_notices(&mut self, machine: usize) {
        let Some(process) = self.machines[machine].process.as_mut() else { return };
        let notice = leader_notice(process);
        if process.notice.as_ref() == Some(&notice) {
            return;
        }
        process.notice = Some(notice.clone());
        let (leader, membership) = notice;
        let connected: Vec<usize> = self.machines[machine].accepted_connections.keys().copied().collect();
        for other in connected {
            self.send(machine, other, Frame::Notice { leader, membership: membership.clone() });
        }
    }

    fn status(&self, machine: usize) -> FoundingStatus {
        let this = &self.machines[machine];
        let process = this.process.as_ref().expect("the process runs");
        if !process.node.is_uninitialized() {
            return FoundingStatus::default();
        }
        let connected = this.accepted_connections.iter().map(|(other, id)| (*id, address(*other))).collect();
        FoundingStatus {
            is_uninitialized: true,
            connected,
            possible_group_voters: process.node.possible_group_voters(),
        }
    }

    fn found(&mut self, machine: usize, membership: Membership) {
        let id = self.machines[machine].process.as_ref().map(|process| process.candidate_id);
        self.foundings += 1;
        self.initialize_disk(machine, Disk { id, restored: Node::bootstrap_again(membership) });
    }

    fn rejoin_with_new_identity(&mut self, machine: usize) {
        let disk = Disk { id: Some(self.unused_id(machine)), restored: Restored::default() };
        self.initialize_disk(machine, disk);
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
        let due = self.now + self.rng.u64(2..25) * MILLISECOND;
        let Some(process) = self.machines[machine].process.as_mut() else { return };
        let from = process.id;
        match output {
            Output::Send { to, message } => {
                self.send(machine, machine_of_id(to), Frame::Consensus { from, to, message });
            }
            Output::Persist { ticket, hard_state, truncate_from, entries, .. } => {
                let due = process.writes.last().map_or(due, |last| due.max(last.due));
                process.writes.push(Write { due, ticket, hard_state, truncate_from, entries });
            }
            Output::Commit { entries } => {
                entries.into_iter().for_each(|entry| self.record_commit(entry));
            }
            Output::BecameLeader { .. } => process.is_announced = true,
            Output::SteppedDown => process.is_announced = false,
            Output::Removed => self.rejoin_with_new_identity(machine),
            _ => {}
        }
    }

    fn record_commit(&mut self, entry: Entry) {
        if !matches!(entry.payload, Payload::Command(_)) {
            assert!(
                !self.committed.contains_key(&entry.index),
                "two groups have committed entry {}",
                entry.index
            );
            return;
        }
        let recorded = self.committed.entry(entry.index).or_insert_with(|| entry.payload.clone());
        assert_eq!(*recorded, entry.payload, "two groups have committed entry {}", entry.index);
    }

    fn persist_due(&mut self, machine: usize) {
        loop {
            let now = self.now;
            let this = &mut self.machines[machine];
            let is_stalled = this.disk_stalled_until > now;
            let Some(process) = this.process.as_mut() else { return };
            if is_stalled || process.writes.first().is_none_or(|write| write.due > now) {
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

    fn receive(&mut self, from: usize, machine: usize, frame: Frame) {
        let now = self.now;
        let Some(process) = self.machines[machine].process.as_mut() else { return };
        match frame {
            Frame::Consensus { from, to, message } if to == process.id => {
                self.handle(machine, Event::Message { from, message });
            }
            Frame::Consensus { .. } => {}
            Frame::Join(member) => self.handle(machine, Event::Join { member }),
            Frame::Offer(_) if !process.node.is_uninitialized() => {
                let group = group_notice(process);
                self.send(machine, from, Frame::Group(group));
            }
            Frame::Offer(offer) => process.founding.handle_offer(now, offer),
            Frame::Group(group) => {
                process.founding.handle_group(now, &address(from), group.as_ref());
                group.into_iter().for_each(|group| self.check_other_group(machine, &group));
            }
            Frame::Proposal(membership) => {
                let status = self.status(machine);
                let process = self.machines[machine].process.as_mut().expect("the process runs");
                if process.founding.accepts(now, &status, &membership) {
                    self.found(machine, membership);
                }
            }
            Frame::Notice { leader, membership } => self.receive_notice(machine, leader, &membership),
        }
    }

    fn receive_notice(&mut self, machine: usize, leader: Option<NodeId>, membership: &Membership) {
        let Some(process) = self.machines[machine].process.as_mut() else { return };
        process
            .known_machines
            .extend(membership.members.iter().map(|member| machine_at_address(&member.address)));
        if let Some(leader) = leader {
            process.founding.handle_leader(self.now, membership);
            let membership = membership.clone();
            self.check_other_group(machine, &OtherGroup { leader, membership, takes_commands: false });
        }
    }

    fn check_other_group(&mut self, machine: usize, other: &OtherGroup) {
        let process = self.machines[machine].process.as_ref();
        if process
            .is_some_and(|process| process.founding.should_abandon_group(self.now, &process.node, other))
        {
            self.rejoin_with_new_identity(machine);
        }
    }

    /// If this machine's process is the leader, notifies the seeds that are not members of its group.
    fn send_group_notices(&mut self, machine: usize) {
        let now = self.now;
        let Some(process) = self.machines[machine].process.as_mut() else { return };
        if !process.node.is_leader() || now < process.next_group_notice {
            return;
        }
        process.next_group_notice = now + GROUP_NOTICE_INTERVAL_NS;
        let (group, members) = (group_notice(process), process.node.membership().clone());
        for seed in self.machines[machine].seeds.clone() {
            if !members.members.iter().any(|member| machine_at_address(&member.address) == seed) {
                self.send(machine, seed, Frame::Group(group.clone()));
            }
        }
    }

    fn request_join(&mut self, machine: usize) {
        let now = self.now;
        let Some(process) = self.machines[machine].process.as_mut() else { return };
        if process.node.leader().is_some() {
            process.last_contact = now;
        }
        // A member without a leader may have been removed from the group.
        let is_needed = !process.node.is_member()
            || (now >= process.last_contact + CONTACT_TIMEOUT_NS && !process.node.is_uninitialized());
        if now < process.next_join || !is_needed {
            return;
        }
        process.next_join = now + JOIN_INTERVAL_NS;
        let join = Member { voter: false, ..member(machine, process.id) };
        for other in self.peers(machine) {
            self.send(machine, other, Frame::Join(join.clone()));
        }
    }

    fn poll_founding(&mut self, machine: usize) {
        while self.machines[machine].process.is_some() {
            let (now, status) = (self.now, self.status(machine));
            let process = self.machines[machine].process.as_mut().expect("the process runs");
            let frame = match process.founding.poll(now, &status) {
                FoundingStep::Wait => return,
                FoundingStep::SendOffer(offer) => Frame::Offer(offer),
                FoundingStep::Propose(membership) => Frame::Proposal(membership),
                FoundingStep::Found(membership) => return self.found(machine, membership),
            };
            for other in self.peers(machine) {
                self.send(machine, other, frame.clone());
            }
        }
    }

    fn read_settings(&mut self, machine: usize) {
        let now = self.now;
        let this = &mut self.machines[machine];
        let Some((_, seeds)) = this.pending_seeds.take_if(|(due_at, _)| *due_at <= now) else { return };
        if let Some(process) = this.process.as_mut() {
            process.founding.set_seeds(seeds.iter().map(|seed| address(*seed)).collect());
        }
        this.seeds = seeds;
    }

    /// Proposes a client's command at each leader that holds a lease and has been announced.
    pub fn propose(&mut self) {
        let now = self.now;
        let is_serving = |machine: &usize| {
            let process = self.machines[*machine].process.as_ref();
            process.is_some_and(|process| process.is_announced && process.node.lease_until() > now)
        };
        let leaders: Vec<usize> = (0..self.machines.len()).filter(is_serving).collect();
        assert!(leaders.len() <= 1, "two leaders serve at a time: {leaders:?}{}", self.describe());
        for machine in leaders {
            if self.machines[machine].is_frozen(now) {
                continue;
            }
            self.next_command += 1;
            let payload = self.next_command.to_le_bytes().to_vec();
            self.handle(machine, Event::Propose { payload });
        }
    }

    /// Advances the simulation by one step.
    pub fn step(&mut self) {
        self.now += STEP_NS;
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.frames).into_iter().partition(|frame| frame.0 <= now);
        self.frames = later;
        for (_, from, to, frame) in due {
            if self.machines[to].is_frozen(now) {
                let thaws_at = self.machines[to].frozen_until;
                self.frames.push((thaws_at, from, to, frame));
            } else if self.can_reach(from, to) {
                self.receive(from, to, frame);
            }
        }
        for machine in self.active_machines() {
            if !self.machines[machine].is_frozen(now) {
                self.step_machine(machine);
            }
        }
    }

    fn step_machine(&mut self, machine: usize) {
        let now = self.now;
        let this = &self.machines[machine];
        if this.process.is_none() && this.disk_initialization.is_none() && this.restart_at <= now {
            self.start(machine);
        }
        self.finish_disk_initialization(machine);
        self.read_settings(machine);
        self.connect(machine);
        self.persist_due(machine);
        let timer = self.machines[machine].process.as_ref().map(|process| process.node.next_timer());
        if timer.is_some_and(|timer| timer <= now) {
            self.handle(machine, Event::Tick);
        }
        self.send_notices(machine);
        self.send_group_notices(machine);
        self.request_join(machine);
        self.poll_founding(machine);
    }

    /// Whether all processes follow one leader that accepts commands.
    pub fn all_follow_one_leader(&self) -> bool {
        let processes: Vec<Option<&Process>> = self
            .active_machines()
            .into_iter()
            .map(|machine| self.machines[machine].process.as_ref())
            .collect();
        let leader =
            processes.iter().flatten().find(|process| process.is_announced).map(|process| process.id);
        let follows =
            |process: &Option<&Process>| process.is_some_and(|process| process.node.leader() == leader);
        leader.is_some() && processes.iter().all(follows)
    }

    /// Checks that the leader holds all committed commands.
    pub fn check_no_command_is_lost(&self) {
        let running = self.machines.iter().filter_map(|machine| machine.process.as_ref());
        let leader = running.filter(|process| process.is_announced).max_by_key(|process| process.node.term());
        let commit = leader.expect("a leader").node.commit_index();
        let last = self.committed.keys().next_back().expect("commands");
        assert!(commit >= *last, "committed commands are lost: {commit} of {last}{}", self.describe());
    }

    /// Describes the state of each machine in one line.
    pub fn describe(&self) -> String {
        let lines = self.machines.iter().enumerate().map(|(machine, this)| {
            let Some(process) = &this.process else {
                return format!("\n{machine}: not running, removed={}", this.is_removed);
            };
            let node = &process.node;
            let members = node.membership().members.iter();
            let members: Vec<_> = members.map(|member| (&*member.address, member.id, member.voter)).collect();
            format!(
                "\n{machine}: {:x} leader={:x?} announced={} term={} last={} commit={} uninitialized={} \
                 seeds={:?} accepted={:?} {members:x?}",
                process.id,
                node.leader(),
                process.is_announced,
                node.term(),
                node.last_index(),
                node.commit_index(),
                node.is_uninitialized(),
                this.seeds,
                this.accepted_connections.keys(),
            )
        });
        lines.collect()
    }
}

fn address(machine: usize) -> String {
    format!("machine-{machine:03}")
}

fn machine_at_address(address: &str) -> usize {
    address.rsplit('-').next().and_then(|number| number.parse().ok()).expect("an address of the deployment")
}

fn machine_of_id(id: NodeId) -> usize {
    let low = id & ((1 << MACHINE_BITS) - 1);
    let machine = if id == low { low - FIRST_FOUNDER } else { low };
    usize::try_from(machine).expect("an identity of the deployment")
}

fn member(machine: usize, id: NodeId) -> Member {
    Member { id, address: address(machine), control: String::new(), voter: true }
}

/// The leader and the members, as reported to others. A process reports itself as leader only once it has
/// been announced.
fn leader_notice(process: &Process) -> (Option<NodeId>, Membership) {
    let leader = process.node.leader().filter(|leader| *leader != process.id || process.is_announced);
    (leader, process.node.membership().clone())
}

/// The group that a process reports to others, if it has a leader.
fn group_notice(process: &Process) -> Option<OtherGroup> {
    let node = &process.node;
    let takes_commands = node.holds_commands() || process.is_announced;
    let membership = node.membership().clone();
    node.leader().map(|leader| OtherGroup { leader, membership, takes_commands })
}
