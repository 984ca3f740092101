//! Core machines that start for the first time while faults strike: the real [`Node`] and [`Founding`] of each process,
//! with disks, connections and settings as the control role has them.

use consensus::{
    Entry, Event, Founding, FoundingOffer, FoundingStatus, FoundingStep, Index, Member, Membership, Message,
    Node, NodeId, Options, OtherGroup, Output, Payload, Restored,
};
use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};

use super::cluster::{MILLISECOND, SECOND};

/// Time between two turns of the site.
const TURN: u64 = 5 * MILLISECOND;
const SEEDS: usize = 3;
/// Identity of the founder on machine 0 at the first start.
const FIRST_FOUNDER: NodeId = 1_000;
/// Bits of a drawn identity that hold its machine.
const MACHINE_BITS: u32 = 32;
/// Interval of requests to join.
const JOIN_INTERVAL: u64 = 300 * MILLISECOND;
/// Without a leader for this long, a member asks to join again.
const CONTACT_TIMEOUT: u64 = 3 * SECOND;
/// Interval at which a leader tells seeds that are no members of its group.
const GROUP_NOTICE_INTERVAL: u64 = SECOND;
/// Machines start within this time of one another.
const START_SPREAD: u64 = 300 * MILLISECOND;
/// The longest time until other seeds stand in the settings of a machine.
const SEED_LAG: u64 = 3 * SECOND;
/// A machine that has lost its disk counts as lost until it has run, undisturbed, for this long.
const CATCH_UP: u64 = 6 * SECOND;

/// How many core machines there are, and how many disks may be lost at one time.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    pub machines: usize,
    pub tolerated_losses: usize,
}

/// What one process sends another.
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
    /// It was announced as the leader.
    is_announced: bool,
    next_join: u64,
    /// When it last knew a leader.
    last_contact: u64,
    next_group_notice: u64,
    /// Machines that it knows beside its seeds and members.
    known: BTreeSet<usize>,
    notice: Option<(Option<NodeId>, Membership)>,
}

/// What a machine has besides its process.
#[derive(Default)]
struct Machine {
    disk: Disk,
    process: Option<Process>,
    /// The first log is being written: what the disk holds at the end, and when that is.
    opening: Option<(u64, Disk)>,
    has_started: bool,
    is_gone: bool,
    restart_at: u64,
    frozen_until: u64,
    /// Writes to its disk wait until then.
    disk_refuses_until: u64,
    /// Its disk was lost: it counts as lost until then.
    lost_until: u64,
    seeds: BTreeSet<usize>,
    /// Other seeds, and when they stand in its settings.
    next_seeds: Option<(u64, BTreeSet<usize>)>,
    /// Machines whose connections it has accepted, with their identities. One without power leaves its connection open.
    accepted: BTreeMap<usize, NodeId>,
}

impl Machine {
    fn is_frozen(&self, now: u64) -> bool {
        self.frozen_until > now
    }
}

/// What strikes a site.
#[derive(Clone, Debug)]
pub enum Fault {
    Kill {
        machine: usize,
        pause: u64,
    },
    KillAll {
        pause: u64,
    },
    LosePower {
        machine: usize,
        pause: u64,
    },
    LosePowerOfAll {
        pause: u64,
    },
    /// Waits its turn if as many disks are lost as may be.
    LoseDisk {
        machine: usize,
        pause: u64,
    },
    /// The machine is gone for good, and an empty one comes at another address. Counts as a lost disk.
    Replace {
        machine: usize,
        pause: u64,
    },
    /// These machines and all others do not reach each other.
    Cut {
        machines: BTreeSet<usize>,
        span: u64,
    },
    Freeze {
        machine: usize,
        span: u64,
    },
    RefuseWrites {
        machine: usize,
        span: u64,
    },
    /// The settings name other seeds. Nothing happens if one of them is gone.
    ExchangeSeeds {
        seeds: BTreeSet<usize>,
    },
    /// The settings are written anew: `Bootstrap` is false at later starts.
    Reload,
}

impl Fault {
    /// A fault of any kind at one of `machines` machines.
    pub fn draw(rng: &mut Rng, machines: usize) -> Fault {
        let machine = rng.usize(0..machines);
        let pause = rng.u64(100..1_500) * MILLISECOND;
        let span = rng.u64(100..3_000) * MILLISECOND;
        match rng.u8(0..16) {
            0 | 1 => Fault::Kill { machine, pause },
            2 => Fault::KillAll { pause },
            3 => Fault::LosePower { machine, pause: span },
            4 => Fault::LosePowerOfAll { pause },
            5..=7 => Fault::LoseDisk { machine, pause },
            8 | 9 => Fault::Replace { machine, pause },
            10 => Fault::Cut { machines: [machine].into(), span },
            11 => Fault::Cut { machines: (0..machines).filter(|_| rng.bool()).collect(), span },
            12 => Fault::Freeze { machine, span },
            13 => Fault::RefuseWrites { machine, span },
            14 => {
                Fault::ExchangeSeeds { seeds: rng.choose_multiple(0..machines, SEEDS).into_iter().collect() }
            }
            _ => Fault::Reload,
        }
    }
}

/// All machines, and what was seen of them.
pub struct Site {
    pub now: u64,
    pub rng: Rng,
    layout: Layout,
    machines: Vec<Machine>,
    frames: Vec<(u64, usize, usize, Frame)>,
    /// Pairs of machines that do not reach each other, until when.
    cuts: BTreeMap<(usize, usize), u64>,
    bootstrap: bool,
    /// Commands that a leader has committed, by index: one history.
    committed: BTreeMap<Index, Payload>,
    next_command: u32,
    /// Processes that founded a group by agreement.
    pub foundings: usize,
}

impl Site {
    /// Machines that start within [`START_SPREAD`]; the first three are the seeds.
    pub fn new(layout: Layout, seed: u64) -> Site {
        let mut rng = Rng::with_seed(seed);
        let mut machines: Vec<Machine> = (0..layout.machines).map(|_| Machine::default()).collect();
        for machine in &mut machines {
            machine.restart_at = rng.u64(0..START_SPREAD);
            machine.seeds = (0..SEEDS).collect();
        }
        Site {
            now: 0,
            rng,
            layout,
            machines,
            frames: Vec::new(),
            cuts: BTreeMap::new(),
            bootstrap: true,
            committed: BTreeMap::new(),
            next_command: 0,
            foundings: 0,
        }
    }

    /// Machines that are in use.
    pub fn running_machines(&self) -> Vec<usize> {
        (0..self.machines.len()).filter(|machine| !self.machines[*machine].is_gone).collect()
    }

    /// How many commands are committed.
    pub fn commands(&self) -> usize {
        self.committed.len()
    }

    /// Strikes with a fault.
    pub fn strike(&mut self, fault: &Fault) {
        match *fault {
            Fault::Kill { machine, pause } => self.end(machine, pause, false),
            Fault::KillAll { pause } => self.end_all(pause, false),
            Fault::LosePower { machine, pause } => self.end(machine, pause, true),
            Fault::LosePowerOfAll { pause } => self.end_all(pause, true),
            Fault::LoseDisk { machine, pause } => self.lose_disk(machine, pause),
            Fault::Replace { machine, pause } => self.replace(machine, pause),
            Fault::Cut { ref machines, span } => self.cut(machines, span),
            Fault::Freeze { machine, span } => {
                self.machines[machine].frozen_until = self.now + span;
                self.delay_catch_up(machine, span);
            }
            Fault::RefuseWrites { machine, span } => {
                self.machines[machine].disk_refuses_until = self.now + span;
                self.delay_catch_up(machine, span);
            }
            Fault::ExchangeSeeds { ref seeds } => self.exchange_seeds(seeds),
            Fault::Reload => self.bootstrap = false,
        }
    }

    /// Ends all faults: what is off starts.
    pub fn heal(&mut self) {
        self.cuts.clear();
        for machine in &mut self.machines {
            machine.frozen_until = 0;
            machine.disk_refuses_until = 0;
        }
    }

    fn end(&mut self, machine: usize, pause: u64, loses_power: bool) {
        let restart_at = self.now + pause;
        let this = &mut self.machines[machine];
        if this.is_gone {
            return;
        }
        this.process = None;
        this.opening = None;
        this.accepted.clear();
        this.restart_at = restart_at;
        if !loses_power {
            // The system closes the connections of a process that ends.
            self.machines.iter_mut().for_each(|other| other.accepted.retain(|other, _| *other != machine));
        }
        self.delay_catch_up(machine, pause);
    }

    fn end_all(&mut self, pause: u64, loses_power: bool) {
        self.running_machines().into_iter().for_each(|machine| self.end(machine, pause, loses_power));
    }

    /// A machine that counts as lost does so until it has run undisturbed.
    fn delay_catch_up(&mut self, machine: usize, span: u64) {
        let now = self.now;
        let this = &mut self.machines[machine];
        if this.lost_until > now {
            this.lost_until = now + span + CATCH_UP;
        }
    }

    fn may_lose_a_disk(&self, machine: usize) -> bool {
        let is_lost = |this: &Machine| this.lost_until > self.now;
        let lost = self.machines.iter().filter(|this| is_lost(this)).count();
        !self.machines[machine].is_gone
            && (lost < self.layout.tolerated_losses || is_lost(&self.machines[machine]))
    }

    fn lose_disk(&mut self, machine: usize, pause: u64) {
        if !self.may_lose_a_disk(machine) {
            return;
        }
        self.end(machine, pause, true);
        self.machines[machine].disk = Disk::default();
        self.machines[machine].has_started = true;
        self.machines[machine].lost_until = self.now + pause + CATCH_UP;
    }

    fn replace(&mut self, machine: usize, pause: u64) {
        if !self.may_lose_a_disk(machine) {
            return;
        }
        self.end(machine, 0, true);
        let old = &mut self.machines[machine];
        old.is_gone = true;
        old.lost_until = 0;
        let successor = self.machines.len();
        let seeds = self.newest_seeds(machine);
        let is_seed = seeds.contains(&machine);
        let renamed = seeds
            .into_iter()
            .map(|seed| if seed == machine { successor } else { seed })
            .collect::<BTreeSet<_>>();
        let new = Machine {
            has_started: true,
            restart_at: self.now + pause,
            lost_until: self.now + pause + CATCH_UP,
            seeds: renamed.clone(),
            ..Machine::default()
        };
        self.machines.push(new);
        if is_seed {
            self.set_seeds(&renamed);
        }
    }

    fn newest_seeds(&self, machine: usize) -> BTreeSet<usize> {
        let this = &self.machines[machine];
        this.next_seeds.as_ref().map_or_else(|| this.seeds.clone(), |(_, seeds)| seeds.clone())
    }

    fn exchange_seeds(&mut self, seeds: &BTreeSet<usize>) {
        if !seeds.iter().any(|seed| self.machines[*seed].is_gone) {
            self.set_seeds(seeds);
        }
    }

    fn set_seeds(&mut self, seeds: &BTreeSet<usize>) {
        let now = self.now;
        self.bootstrap = false;
        for machine in 0..self.machines.len() {
            let visible_at = now + self.rng.u64(0..SEED_LAG);
            self.machines[machine].next_seeds = Some((visible_at, seeds.clone()));
        }
    }

    fn cut(&mut self, some: &BTreeSet<usize>, span: u64) {
        let until = self.now + span;
        for one in some {
            self.delay_catch_up(*one, span);
            for other in (0..self.machines.len()).filter(|other| !some.contains(other)) {
                self.cuts.insert((*one, other), until);
                self.cuts.insert((other, *one), until);
            }
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.cuts.get(&(from, to)).is_none_or(|until| *until <= self.now)
    }

    fn unused_id(&mut self, machine: usize) -> NodeId {
        (u64::from(self.rng.u32(1..)) << MACHINE_BITS) | machine as u64
    }

    /// Starts the process of a machine: an empty disk is written to first.
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
        self.open_with(machine, disk);
    }

    /// The disk is cleared, and holds this once that is durable.
    fn open_with(&mut self, machine: usize, disk: Disk) {
        let done_at = self.now + self.rng.u64(5..60) * MILLISECOND;
        let this = &mut self.machines[machine];
        this.process = None;
        this.disk = Disk::default();
        this.opening = Some((done_at, disk));
    }

    fn finish_opening(&mut self, machine: usize) {
        let now = self.now;
        let this = &mut self.machines[machine];
        let is_due = this.opening.as_ref().is_some_and(|(done_at, _)| *done_at <= now);
        if !is_due || this.disk_refuses_until > now {
            return;
        }
        this.disk = this.opening.take().map(|(_, disk)| disk).unwrap_or_default();
        self.run_process(machine);
    }

    /// The process with the identity on its disk.
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
            known: this.accepted.keys().copied().collect(),
            notice: None,
        });
    }

    /// Machines to which a process keeps connections.
    fn contacts(&self, machine: usize) -> BTreeSet<usize> {
        let this = &self.machines[machine];
        let Some(process) = &this.process else { return BTreeSet::new() };
        let node = &process.node;
        let members = node.membership().members.iter().map(|member| machine_at(&member.address));
        let known = process.known.iter().copied().filter(|_| node.leader().is_none());
        members.chain(known).chain(this.seeds.iter().copied()).filter(|other| *other != machine).collect()
    }

    fn send(&mut self, from: usize, to: usize, frame: Frame) {
        if from != to && to < self.machines.len() && self.reaches(from, to) {
            let due = self.now + self.rng.u64(1..20) * MILLISECOND;
            self.frames.push((due, from, to, frame));
        }
    }

    /// Opens the connections that are wanted. The other side names its leader and members.
    fn connect(&mut self, machine: usize) {
        let Some(id) = self.machines[machine].process.as_ref().map(|process| process.id) else { return };
        for other in self.contacts(machine) {
            if !self.reaches(machine, other) || self.machines[other].is_frozen(self.now) {
                continue;
            }
            let Some(process) = self.machines[other].process.as_mut() else { continue };
            process.known.insert(machine);
            let (leader, membership) = notice_of(process);
            if self.machines[other].accepted.insert(machine, id) != Some(id) {
                self.send(other, machine, Frame::Notice { leader, membership });
            }
        }
    }

    /// Tells the processes that are connected of another leader or other members.
    fn announce(&mut self, machine: usize) {
        let Some(process) = self.machines[machine].process.as_mut() else { return };
        let notice = notice_of(process);
        if process.notice.as_ref() == Some(&notice) {
            return;
        }
        process.notice = Some(notice.clone());
        let (leader, membership) = notice;
        let connected: Vec<usize> = self.machines[machine].accepted.keys().copied().collect();
        for other in connected {
            self.send(machine, other, Frame::Notice { leader, membership: membership.clone() });
        }
    }

    fn status(&self, machine: usize) -> FoundingStatus {
        let this = &self.machines[machine];
        let process = this.process.as_ref().expect("it runs");
        if !process.node.is_uninitialized() {
            return FoundingStatus::default();
        }
        let connected = this.accepted.iter().map(|(other, id)| (*id, address(*other))).collect();
        FoundingStatus {
            is_uninitialized: true,
            connected,
            possible_group_voters: process.node.possible_group_voters(),
        }
    }

    fn found(&mut self, machine: usize, membership: Membership) {
        let id = self.machines[machine].process.as_ref().map(|process| process.candidate_id);
        self.foundings += 1;
        self.open_with(machine, Disk { id, restored: Node::bootstrap_again(membership) });
    }

    fn join_anew(&mut self, machine: usize) {
        let disk = Disk { id: Some(self.unused_id(machine)), restored: Restored::default() };
        self.open_with(machine, disk);
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
                self.send(machine, machine_of(to), Frame::Consensus { from, to, message });
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
            Output::Removed => self.join_anew(machine),
            _ => {}
        }
    }

    fn record_commit(&mut self, entry: Entry) {
        if !matches!(entry.payload, Payload::Command(_)) {
            assert!(!self.committed.contains_key(&entry.index), "two groups at entry {}", entry.index);
            return;
        }
        let known = self.committed.entry(entry.index).or_insert_with(|| entry.payload.clone());
        assert_eq!(*known, entry.payload, "two groups at entry {}", entry.index);
    }

    fn persist_due(&mut self, machine: usize) {
        loop {
            let now = self.now;
            let this = &mut self.machines[machine];
            let refuses = this.disk_refuses_until > now;
            let Some(process) = this.process.as_mut() else { return };
            if refuses || process.writes.first().is_none_or(|write| write.due > now) {
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
                let group = group_of(process);
                self.send(machine, from, Frame::Group(group));
            }
            Frame::Offer(offer) => process.founding.handle_offer(now, offer),
            Frame::Group(group) => {
                process.founding.handle_group(now, &address(from), group.as_ref());
                group.into_iter().for_each(|group| self.give_way(machine, &group));
            }
            Frame::Proposal(membership) => {
                let status = self.status(machine);
                let process = self.machines[machine].process.as_mut().expect("it runs");
                if process.founding.accepts(now, &status, &membership) {
                    self.found(machine, membership);
                }
            }
            Frame::Notice { leader, membership } => self.receive_notice(machine, leader, &membership),
        }
    }

    fn receive_notice(&mut self, machine: usize, leader: Option<NodeId>, membership: &Membership) {
        let Some(process) = self.machines[machine].process.as_mut() else { return };
        process.known.extend(membership.members.iter().map(|member| machine_at(&member.address)));
        if let Some(leader) = leader {
            process.founding.handle_leader(self.now, membership);
            let membership = membership.clone();
            self.give_way(machine, &OtherGroup { leader, membership, takes_commands: false });
        }
    }

    fn give_way(&mut self, machine: usize, other: &OtherGroup) {
        let process = self.machines[machine].process.as_ref();
        if process
            .is_some_and(|process| process.founding.should_abandon_group(self.now, &process.node, other))
        {
            self.join_anew(machine);
        }
    }

    /// A leader tells seeds that are no members of its group.
    fn announce_group(&mut self, machine: usize) {
        let now = self.now;
        let Some(process) = self.machines[machine].process.as_mut() else { return };
        if !process.node.is_leader() || now < process.next_group_notice {
            return;
        }
        process.next_group_notice = now + GROUP_NOTICE_INTERVAL;
        let (group, members) = (group_of(process), process.node.membership().clone());
        for seed in self.machines[machine].seeds.clone() {
            if !members.members.iter().any(|member| machine_at(&member.address) == seed) {
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
        // A member without a leader may have been removed.
        let is_needed = !process.node.is_member()
            || (now >= process.last_contact + CONTACT_TIMEOUT && !process.node.is_uninitialized());
        if now < process.next_join || !is_needed {
            return;
        }
        process.next_join = now + JOIN_INTERVAL;
        let join = Member { voter: false, ..member(machine, process.id) };
        for other in self.contacts(machine) {
            self.send(machine, other, Frame::Join(join.clone()));
        }
    }

    fn poll_founding(&mut self, machine: usize) {
        while self.machines[machine].process.is_some() {
            let (now, status) = (self.now, self.status(machine));
            let process = self.machines[machine].process.as_mut().expect("it runs");
            let frame = match process.founding.poll(now, &status) {
                FoundingStep::Wait => return,
                FoundingStep::SendOffer(offer) => Frame::Offer(offer),
                FoundingStep::Propose(membership) => Frame::Proposal(membership),
                FoundingStep::Found(membership) => return self.found(machine, membership),
            };
            for other in self.contacts(machine) {
                self.send(machine, other, frame.clone());
            }
        }
    }

    fn read_settings(&mut self, machine: usize) {
        let now = self.now;
        let this = &mut self.machines[machine];
        let Some((_, seeds)) = this.next_seeds.take_if(|(visible_at, _)| *visible_at <= now) else { return };
        if let Some(process) = this.process.as_mut() {
            process.founding.set_seeds(seeds.iter().map(|seed| address(*seed)).collect());
        }
        this.seeds = seeds;
    }

    /// A client's command at each leader that may answer.
    pub fn propose(&mut self) {
        let now = self.now;
        let is_serving = |machine: &usize| {
            let process = self.machines[*machine].process.as_ref();
            process.is_some_and(|process| process.is_announced && process.node.lease_until() > now)
        };
        let leaders: Vec<usize> = (0..self.machines.len()).filter(is_serving).collect();
        assert!(leaders.len() <= 1, "two leaders serve at a time: {leaders:?}{}", self.state());
        for machine in leaders {
            if self.machines[machine].is_frozen(now) {
                continue;
            }
            self.next_command += 1;
            let payload = self.next_command.to_le_bytes().to_vec();
            self.handle(machine, Event::Propose { payload });
        }
    }

    /// Lets a turn's time pass.
    pub fn turn(&mut self) {
        self.now += TURN;
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.frames).into_iter().partition(|frame| frame.0 <= now);
        self.frames = later;
        for (_, from, to, frame) in due {
            if self.machines[to].is_frozen(now) {
                let thaws_at = self.machines[to].frozen_until;
                self.frames.push((thaws_at, from, to, frame));
            } else if self.reaches(from, to) {
                self.receive(from, to, frame);
            }
        }
        for machine in self.running_machines() {
            if !self.machines[machine].is_frozen(now) {
                self.take_turn(machine);
            }
        }
    }

    fn take_turn(&mut self, machine: usize) {
        let now = self.now;
        let this = &self.machines[machine];
        if this.process.is_none() && this.opening.is_none() && this.restart_at <= now {
            self.start(machine);
        }
        self.finish_opening(machine);
        self.read_settings(machine);
        self.connect(machine);
        self.persist_due(machine);
        let timer = self.machines[machine].process.as_ref().map(|process| process.node.next_timer());
        if timer.is_some_and(|timer| timer <= now) {
            self.handle(machine, Event::Tick);
        }
        self.announce(machine);
        self.announce_group(machine);
        self.request_join(machine);
        self.poll_founding(machine);
    }

    /// Whether all processes follow one leader that takes commands.
    pub fn is_one_group(&self) -> bool {
        let processes: Vec<Option<&Process>> = self
            .running_machines()
            .into_iter()
            .map(|machine| self.machines[machine].process.as_ref())
            .collect();
        let leader =
            processes.iter().flatten().find(|process| process.is_announced).map(|process| process.id);
        let follows =
            |process: &Option<&Process>| process.is_some_and(|process| process.node.leader() == leader);
        leader.is_some() && processes.iter().all(follows)
    }

    /// Whoever leads holds all commands that were committed.
    pub fn check_nothing_is_lost(&self) {
        let running = self.machines.iter().filter_map(|machine| machine.process.as_ref());
        let leader = running.filter(|process| process.is_announced).max_by_key(|process| process.node.term());
        let commit = leader.expect("a leader").node.commit_index();
        let last = self.committed.keys().next_back().expect("commands");
        assert!(commit >= *last, "committed commands are lost: {commit} of {last}{}", self.state());
    }

    /// A line for each machine.
    pub fn state(&self) -> String {
        let lines = self.machines.iter().enumerate().map(|(machine, this)| {
            let Some(process) = &this.process else {
                return format!("\n{machine}: does not run, gone={}", this.is_gone);
            };
            let node = &process.node;
            let members = node.membership().members.iter();
            let members: Vec<_> = members.map(|member| (&*member.address, member.id, member.voter)).collect();
            format!(
                "\n{machine}: {:x} leader={:x?} announced={} term={} last={} commit={} uninitialized={} seeds={:?} \
                 accepted={:?} {members:x?}",
                process.id,
                node.leader(),
                process.is_announced,
                node.term(),
                node.last_index(),
                node.commit_index(),
                node.is_uninitialized(),
                this.seeds,
                this.accepted.keys(),
            )
        });
        lines.collect()
    }
}

fn address(machine: usize) -> String {
    format!("machine-{machine:03}")
}

fn machine_at(address: &str) -> usize {
    address.rsplit('-').next().and_then(|number| number.parse().ok()).expect("an address of the site")
}

fn machine_of(id: NodeId) -> usize {
    let low = id & ((1 << MACHINE_BITS) - 1);
    let machine = if id == low { low - FIRST_FOUNDER } else { low };
    usize::try_from(machine).expect("an identity of the site")
}

fn member(machine: usize, id: NodeId) -> Member {
    Member { id, address: address(machine), control: String::new(), voter: true }
}

/// The leader, once it may serve, and the members.
fn notice_of(process: &Process) -> (Option<NodeId>, Membership) {
    let leader = process.node.leader().filter(|leader| *leader != process.id || process.is_announced);
    (leader, process.node.membership().clone())
}

/// What a process tells others of its group.
fn group_of(process: &Process) -> Option<OtherGroup> {
    let node = &process.node;
    let takes_commands = node.holds_commands() || process.is_announced;
    let membership = node.membership().clone();
    node.leader().map(|leader| OtherGroup { leader, membership, takes_commands })
}
