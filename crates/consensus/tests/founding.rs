//! Tests that seeds without a group found one by agreement, but not if a group may exist.

use consensus::{
    AppendRequest, Entry, Event, Founding, FoundingOffer, FoundingStatus, FoundingStep, HardState, Index,
    Member, Membership, Message, Node, NodeId, Options, OtherGroup, Payload, Restored, Snapshot,
    SnapshotMeta, BOOTSTRAP_TERM,
};
use std::collections::BTreeSet;
use std::sync::Arc;

const MS: u64 = 1_000_000;
const SECOND: u64 = 1_000 * MS;
/// Time between two steps of the simulation.
const STEP_NS: u64 = 50 * MS;
/// Longer than any delay before an offer: a founding that has not happened by then does not happen.
const MAX_WAIT_NS: u64 = 20 * SECOND;

fn address(machine: u64) -> String {
    format!("10.0.0.{machine}:7660")
}

fn member(machine: u64, id: NodeId) -> Member {
    Member { id, address: address(machine), control: format!("10.0.0.{machine}:8146"), voter: true }
}

fn seeds(machines: &[u64]) -> BTreeSet<String> {
    machines.iter().map(|machine| address(*machine)).collect()
}

/// A simulated process.
struct Process {
    machine: u64,
    /// Current identity; 100 + machine number until the process founds a group.
    id: NodeId,
    founding: Founding,
    /// State on the process's disk.
    restored: Restored,
    /// Whether the process neither sends nor receives messages.
    is_silent: bool,
    /// Open connections to processes that no longer send anything.
    silent_connections: BTreeSet<(NodeId, String)>,
}

impl Process {
    fn is_uninitialized(&self) -> bool {
        node(self.id, self.restored.clone()).is_uninitialized()
    }
}

struct Deployment {
    now: u64,
    processes: Vec<Process>,
    /// Machines in the order in which they founded a group, with its members.
    founded: Vec<(u64, Membership)>,
    proposals: usize,
}

impl Deployment {
    /// Creates machines without a group. `seed_machines` are the seeds.
    fn new(machines: &[u64], seed_machines: &[u64], tolerated_losses: usize) -> Self {
        let process = |machine: &u64| Process {
            machine: *machine,
            id: 100 + machine,
            founding: Founding::new(member(*machine, 200 + machine), seeds(seed_machines), tolerated_losses),
            restored: Restored::default(),
            is_silent: false,
            silent_connections: BTreeSet::new(),
        };
        Deployment {
            now: 0,
            processes: machines.iter().map(process).collect(),
            founded: Vec::new(),
            proposals: 0,
        }
    }

    fn process(&mut self, machine: u64) -> &mut Process {
        self.processes
            .iter_mut()
            .find(|process| process.machine == machine)
            .expect("a machine of the deployment")
    }

    fn status(&self, machine: u64) -> FoundingStatus {
        let own = self.processes.iter().find(|process| process.machine == machine).expect("a machine");
        let others = self.processes.iter().filter(|other| other.machine != machine);
        let reachable = others.filter(|other| !other.is_silent && !own.is_silent);
        FoundingStatus {
            is_uninitialized: own.is_uninitialized(),
            connected: reachable
                .map(|other| (other.id, address(other.machine)))
                .chain(own.silent_connections.iter().cloned())
                .collect(),
            possible_group_voters: node(own.id, own.restored.clone()).possible_group_voters(),
        }
    }

    /// Runs all processes until this time.
    fn run_until(&mut self, until: u64) {
        while self.now < until {
            self.now += STEP_NS;
            let machines: Vec<u64> = self.processes.iter().map(|process| process.machine).collect();
            machines.into_iter().for_each(|machine| self.step_machine(machine));
        }
    }

    fn step_machine(&mut self, machine: u64) {
        loop {
            let (now, status) = (self.now, self.status(machine));
            match self.process(machine).founding.poll(now, &status) {
                FoundingStep::Wait => return,
                FoundingStep::SendOffer(offer) => self.deliver_offer(machine, &offer),
                FoundingStep::Propose(membership) => {
                    self.proposals += 1;
                    self.deliver_proposal(machine, &membership);
                }
                FoundingStep::Found(membership) => return self.found(machine, membership),
            }
        }
    }

    fn deliver_offer(&mut self, from: u64, offer: &FoundingOffer) {
        let now = self.now;
        if self.process(from).is_silent {
            return;
        }
        let mut refusals = Vec::new();
        for process in self.processes.iter_mut().filter(|process| !process.is_silent) {
            process.founding.handle_offer(now, offer.clone());
            if !process.is_uninitialized() {
                refusals.push(address(process.machine));
            }
        }
        for refusing in refusals {
            self.process(from).founding.handle_group(now, &refusing, None);
        }
    }

    fn deliver_proposal(&mut self, from: u64, membership: &Membership) {
        let addresses: Vec<String> = membership.members.iter().map(|member| member.address.clone()).collect();
        let machines: Vec<u64> = self.processes.iter().map(|process| process.machine).collect();
        for machine in machines.into_iter().filter(|machine| *machine != from) {
            let (now, status) = (self.now, self.status(machine));
            let process = self.process(machine);
            let is_reached = addresses.contains(&address(machine)) && !process.is_silent;
            if is_reached && process.founding.accepts(now, &status, membership) {
                self.found(machine, membership.clone());
            }
        }
    }

    /// Restarts the process as a member of the founded group. No elections take place in this test, so the
    /// process remains a founder without a leader.
    fn found(&mut self, machine: u64, membership: Membership) {
        let own = membership.members.iter().find(|member| member.address == address(machine));
        let id = own.expect("a founder is a member").id;
        let seed_addresses = membership.members.iter().map(|member| member.address.clone()).collect();
        let next_id = id + 100;
        let process = self.process(machine);
        process.id = id;
        process.restored = Node::bootstrap_again(membership.clone());
        process.founding = Founding::new(member(machine, next_id), seed_addresses, 1);
        self.founded.push((machine, membership));
    }
}

#[test]
fn seeds_found_a_group_and_the_proposer_founds_last() {
    let mut deployment = Deployment::new(&[1, 2, 3, 4], &[1, 2, 3], 2);
    deployment.run_until(1_900 * MS);
    assert!(deployment.founded.is_empty(), "an existing group has time to contact the seeds");
    deployment.run_until(3 * SECOND);
    let expected = Membership { members: vec![member(1, 201), member(2, 202), member(3, 203)] };
    let founded: Vec<_> = [2, 3, 1].iter().map(|machine| (*machine, expected.clone())).collect();
    assert_eq!(deployment.founded, founded);
}

#[test]
fn seed_with_commands_prevents_a_founding() {
    let mut deployment = Deployment::new(&[1, 2, 3], &[1, 2, 3], 2);
    deployment.process(3).restored = with_command();
    deployment.run_until(MAX_WAIT_NS);
    assert_eq!((deployment.founded.len(), deployment.proposals), (0, 0));
}

#[test]
fn silent_seed_prevents_a_founding() {
    let mut deployment = Deployment::new(&[1, 2, 3], &[1, 2, 3], 1);
    deployment.process(2).is_silent = true;
    deployment.run_until(MAX_WAIT_NS);
    assert_eq!((deployment.founded.len(), deployment.proposals), (0, 0));
    deployment.process(2).is_silent = false;
    deployment.run_until(MAX_WAIT_NS + 2 * SECOND);
    assert_eq!(deployment.founded.len(), 3);
}

#[test]
fn connected_process_that_does_not_offer_prevents_a_founding() {
    let mut deployment = Deployment::new(&[1, 2, 3, 4], &[1, 2, 3], 1);
    deployment.process(4).restored = with_command();
    deployment.run_until(MAX_WAIT_NS);
    assert_eq!((deployment.founded.len(), deployment.proposals), (0, 0));
}

/// The connection of a machine that has lost power or has been removed stays open.
#[test]
fn silent_connection_does_not_prevent_a_founding() {
    let mut deployment = Deployment::new(&[1, 2, 3], &[1, 2, 3], 1);
    for machine in 1..=3 {
        deployment.process(machine).silent_connections.insert((900, address(9)));
    }
    deployment.run_until(3 * SECOND);
    assert_eq!(deployment.founded.len(), 3);
}

/// A process that has just connected may not have received an offer yet.
#[test]
fn new_connection_prevents_a_founding_until_the_silence_timeout() {
    let mut deployment = Deployment::new(&[1, 2, 3], &[1, 2, 3], 1);
    let mut connected_at = 0;
    while deployment.now < 1_900 * MS {
        connected_at = deployment.now + STEP_NS;
        deployment.run_until(connected_at);
    }
    for machine in 1..=3 {
        deployment.process(machine).silent_connections.insert((900, address(9)));
    }
    deployment.run_until(connected_at + 1_400 * MS);
    assert_eq!((deployment.founded.len(), deployment.proposals), (0, 0));
    deployment.run_until(connected_at + 2_500 * MS);
    assert_eq!(deployment.founded.len(), 3);
}

#[test]
fn founding_needs_more_offers_than_tolerated_disk_losses() {
    let mut deployment = Deployment::new(&[1, 2, 3, 4], &[1, 2, 3], 3);
    deployment.process(4).is_silent = true;
    deployment.run_until(MAX_WAIT_NS);
    assert_eq!(
        (deployment.founded.len(), deployment.proposals),
        (0, 0),
        "all three empty disks may have been lost"
    );
    deployment.process(4).is_silent = false;
    deployment.run_until(MAX_WAIT_NS + 2 * SECOND);
    assert_eq!(deployment.founded.len(), 3);
}

#[test]
fn seeds_with_different_seed_settings_do_not_found_a_group() {
    let mut deployment = Deployment::new(&[1, 2, 3, 4], &[1, 2, 3], 1);
    deployment.process(2).founding.set_seeds(seeds(&[2, 3, 4]));
    deployment.run_until(MAX_WAIT_NS);
    assert_eq!((deployment.founded.len(), deployment.proposals), (0, 0));
    deployment.process(2).founding.set_seeds(seeds(&[1, 2, 3]));
    deployment.run_until(MAX_WAIT_NS + 2 * SECOND);
    assert_eq!(deployment.founded.len(), 3);
}

#[test]
fn known_leader_prevents_a_founding_until_the_notice_expires() {
    let mut deployment = Deployment::new(&[1, 2, 3], &[1, 2, 3], 1);
    deployment.process(2).founding.handle_leader(0, &Membership { members: vec![member(9, 9)] });
    deployment.run_until(9_900 * MS);
    assert_eq!((deployment.founded.len(), deployment.proposals), (0, 0));
    deployment.run_until(11 * SECOND);
    assert_eq!(deployment.founded.len(), 3);
}

#[test]
fn rejects_a_proposal_unless_every_member_has_offered_its_identity() {
    let all = vec![member(1, 201), member(2, 202), member(3, 203)];
    let mut proposals = vec![all.clone(); 4];
    proposals[0][0].id = 301;
    proposals[1][1].id = 302;
    proposals[2].pop();
    proposals[3][2].voter = false;
    for members in proposals {
        let mut deployment = Deployment::new(&[1, 2, 3], &[1, 2, 3], 1);
        // The first seed receives offers, but its different seeds keep it from proposing.
        deployment.process(1).founding.set_seeds(seeds(&[1, 2]));
        deployment.run_until(3 * SECOND);
        let (now, status) = (deployment.now, deployment.status(2));
        let founding = &mut deployment.process(2).founding;
        assert!(!founding.accepts(now, &status, &Membership { members: members.clone() }), "{members:?}");
        assert!(founding.accepts(now, &status, &Membership { members: all.clone() }));
    }
}

#[test]
fn incomplete_founding_is_replaced() {
    let mut deployment = Deployment::new(&[1, 2, 3], &[1, 2, 3], 1);
    deployment.process(2).restored = Node::bootstrap(founders());
    deployment.run_until(3 * SECOND);
    assert_eq!(deployment.founded.len(), 3);
}

/// The other founders continued without one whose machine was lost, and one of their disks has been lost
/// since. The remaining founder prevents a founding, whether it is a seed or not.
#[test]
fn member_with_a_command_prevents_a_founding_by_a_returning_founder() {
    for seed_machines in [[1, 2, 4], [2, 4, 5]] {
        let mut deployment = Deployment::new(&[1, 2, 4, 5], &seed_machines, 1);
        deployment.process(2).restored = Node::bootstrap(founders());
        deployment.process(1).restored = with_command();
        deployment.run_until(MAX_WAIT_NS);
        assert_eq!((deployment.founded.len(), deployment.proposals), (0, 0), "{seed_machines:?}");
    }
}

/// Voter 2 has acknowledged the leader's first entry. The other voters, which cannot reach it, may have
/// accepted commands since. If a majority of the voters offers, no command was committed.
#[test]
fn confirmed_voter_founds_again_only_with_a_majority_of_its_group() {
    let confirmed = || {
        let mut restored = Node::bootstrap(founders());
        restored.entries.push(entry(2, Payload::Noop));
        restored
    };
    let mut deployment = Deployment::new(&[2, 4, 5], &[2, 4, 5], 1);
    deployment.process(2).restored = confirmed();
    deployment.run_until(MAX_WAIT_NS);
    assert_eq!((deployment.founded.len(), deployment.proposals), (0, 0), "voters 1 and 3 are a majority");

    let mut deployment = Deployment::new(&[1, 2, 4], &[1, 2, 4], 1);
    deployment.process(2).restored = confirmed();
    deployment.run_until(3 * SECOND);
    assert_eq!(deployment.founded.len(), 3);
}

/// A founder wrote its first log and has not heard from any process since. The second founder has lost its
/// identity. The third has been removed permanently and replaced by another machine, which is also a seed.
#[test]
fn lone_founder_founds_again_when_another_founder_is_removed() {
    let mut deployment = Deployment::new(&[1, 2, 4], &[1, 2, 4], 1);
    deployment.process(2).restored = Node::bootstrap(founders());
    deployment.run_until(3 * SECOND);
    assert_eq!(deployment.founded.len(), 3);
}

#[test]
fn proposer_founds_when_the_other_seeds_have_a_leader() {
    let mut deployment = Deployment::new(&[1, 2, 3], &[1, 2, 3], 1);
    let mut proposed = None;
    while proposed.is_none() {
        deployment.now += STEP_NS;
        let now = deployment.now;
        for machine in 1..=3 {
            let status = deployment.status(machine);
            match deployment.process(machine).founding.poll(now, &status) {
                FoundingStep::SendOffer(offer) => deployment.deliver_offer(machine, &offer),
                FoundingStep::Propose(membership) => proposed = Some(membership),
                _ => {}
            }
        }
        assert!(now < MAX_WAIT_NS, "nothing is proposed");
    }
    let membership = proposed.expect("a proposal");
    let (now, status) = (deployment.now, deployment.status(1));
    let founding = &mut deployment.process(1).founding;
    assert_eq!(
        founding.poll(now, &status),
        FoundingStep::Wait,
        "the other seeds have not founded the group yet"
    );
    founding.handle_leader(now, &membership);
    assert_eq!(founding.poll(now, &status), FoundingStep::Found(membership));
}

/// The founding state of machine 2 without a group. The offer delay starts at time 0.
fn ready_founding() -> Founding {
    let mut founding = Founding::new(member(2, 202), seeds(&[2, 4, 5]), 1);
    let status = FoundingStatus { is_uninitialized: true, ..FoundingStatus::default() };
    founding.poll(0, &status);
    founding
}

/// Machine 2 as voter 2 of the founders. If `confirmed`, its log has an entry after the bootstrap entry.
fn voter_two(confirmed: bool) -> Node {
    let mut restored = Node::bootstrap(founders());
    if confirmed {
        restored.entries.push(entry(2, Payload::Noop));
    }
    node(2, restored)
}

fn group(machines: &[u64], takes_commands: bool) -> OtherGroup {
    let members = machines.iter().map(|machine| member(*machine, 300 + machine)).collect();
    OtherGroup { leader: 300 + machines[0], membership: Membership { members }, takes_commands }
}

#[test]
fn lone_founder_abandons_its_group_after_waiting_for_a_leader() {
    let founding = ready_founding();
    let (lone, other) = (voter_two(false), group(&[4, 5], false));
    assert!(!founding.should_abandon_group(SECOND, &lone, &other));
    assert!(founding.should_abandon_group(3 * SECOND, &lone, &other));
    assert!(founding.should_abandon_group(SECOND, &lone, &group(&[4, 5], true)));
    assert!(!founding.should_abandon_group(3 * SECOND, &node(2, with_command()), &group(&[4, 5], true)));
    assert!(
        !founding.should_abandon_group(3 * SECOND, &node(7, Restored::default()), &other),
        "the process is in no group"
    );
    let mut listing = group(&[4, 5], true);
    listing.membership.members.push(member(2, 2));
    assert!(!founding.should_abandon_group(3 * SECOND, &lone, &listing), "the process is a member");
    let not_known = OtherGroup { leader: 999, ..group(&[4, 5], true) };
    assert!(
        !founding.should_abandon_group(3 * SECOND, &lone, &not_known),
        "these are not the leader's members"
    );
}

/// Voters 1 and 3 may have accepted commands because voter 2 was confirmed.
#[test]
fn confirmed_voter_stays_unless_a_majority_of_its_group_has_moved() {
    let founding = ready_founding();
    let confirmed = voter_two(true);
    assert!(!founding.should_abandon_group(3 * SECOND, &confirmed, &group(&[4, 5], false)));
    assert!(!founding.should_abandon_group(3 * SECOND, &confirmed, &group(&[1, 4, 5], false)));
    assert!(founding.should_abandon_group(3 * SECOND, &confirmed, &group(&[1, 3, 4], false)));
    assert!(founding.should_abandon_group(3 * SECOND, &confirmed, &group(&[4, 5], true)));
}

/// Of two groups with leaders and without commands, the processes of exactly one abandon their group.
#[test]
fn exactly_one_of_two_groups_without_commands_is_abandoned() {
    let follower_of = |leader: NodeId, membership: Membership| {
        let id = membership.members[1].id;
        let mut options = Options::new(id);
        options.target_voters = 5;
        let mut follower = Node::new(options, Node::bootstrap(membership), 0, 7);
        let request = AppendRequest {
            term: 2,
            previous_index: 1,
            previous_term: BOOTSTRAP_TERM,
            entries: Vec::new(),
            commit: 0,
            leader_clock: 1,
        };
        let event = Event::Message { from: leader, message: Message::AppendRequest(request) };
        follower.handle(1, event, &mut Vec::new());
        follower
    };
    let founding = ready_founding();
    for (one, other) in [(vec![1, 2, 3], vec![4, 5, 6]), (vec![1, 2, 3, 7], vec![4, 5, 6])] {
        let (one, other) = (group(&one, false), group(&other, false));
        let should_abandon_group = |own: &OtherGroup, other: &OtherGroup| {
            founding.should_abandon_group(SECOND, &follower_of(own.leader, own.membership.clone()), other)
        };
        assert_ne!(should_abandon_group(&one, &other), should_abandon_group(&other, &one));
        assert!(!should_abandon_group(&one, &one), "this is its own group");
    }
}

fn node(id: NodeId, restored: Restored) -> Node {
    Node::new(Options::new(id), restored, 0, 7)
}

fn founders() -> Membership {
    Membership { members: vec![member(1, 1), member(2, 2), member(3, 3)] }
}

/// The bootstrap state followed by a command.
fn with_command() -> Restored {
    let mut restored = Node::bootstrap(founders());
    restored.entries.push(entry(2, Payload::Noop));
    restored.entries.push(entry(3, Payload::Command(vec![1])));
    restored
}

fn entry(index: Index, payload: Payload) -> Entry {
    Entry { index, term: BOOTSTRAP_TERM, payload }
}

/// Neither a vote nor an entry without a command shows that a command was acknowledged.
#[test]
fn process_is_uninitialized_until_it_holds_a_command() {
    assert!(node(5, Restored::default()).is_uninitialized());
    for vote in [None, Some(1), Some(2)] {
        let hard_state = HardState { term: 3, vote };
        let restored = Restored { hard_state, ..Node::bootstrap(founders()) };
        assert!(node(1, restored).is_uninitialized(), "{vote:?}");
    }
    let mut restored = Node::bootstrap(founders());
    restored.entries.push(entry(2, Payload::Noop));
    assert!(node(1, restored).is_uninitialized());
    assert!(!node(1, with_command()).is_uninitialized());
}

#[test]
fn process_with_a_snapshot_or_a_leader_is_not_uninitialized() {
    let meta = SnapshotMeta { index: 9, term: 2, membership: founders() };
    let snapshot = Snapshot { meta, data: Arc::new(Vec::new()) };
    let hard_state = HardState { term: 2, vote: None };
    let restored = Restored { hard_state, snapshot: Some(snapshot), entries: Vec::new() };
    assert!(!node(1, restored).is_uninitialized());

    let mut follower = node(1, Node::bootstrap(founders()));
    let request = AppendRequest {
        term: 2,
        previous_index: 1,
        previous_term: BOOTSTRAP_TERM,
        entries: Vec::new(),
        commit: 0,
        leader_clock: 1,
    };
    let mut outputs = Vec::new();
    follower.handle(1, Event::Message { from: 2, message: Message::AppendRequest(request) }, &mut outputs);
    assert!(!follower.is_uninitialized(), "the process follows a leader");
}
