//! Tests that a new group accepts commands only once it can survive the tolerated disk losses.

mod support;

use consensus::{Member, Membership, Node, Options, Output};
use support::cluster::{Cluster, MILLISECOND, SECOND};
use support::single::{append_reply, entry, voters, SingleNode};

const WANTED_VOTERS: usize = 5;

/// Process 1 of a new group of `founders` whose target is five voters, with these commands on its disk.
fn founder(founders: u64, commands: &[(u64, u64)]) -> SingleNode {
    let mut options = Options::new(1);
    options.target_voters = WANTED_VOTERS;
    let mut restored = Node::bootstrap(voters(founders));
    restored.entries.extend(commands.iter().map(|(index, term)| entry(*index, *term)));
    let mut single = SingleNode::founder(founders);
    single.node = Node::new(options, restored, single.now, 1);
    single
}

/// Elects the process and lets the other founders acknowledge its entries. Returns whether it may accept
/// commands.
fn lead(single: &mut SingleNode, founders: u64) -> bool {
    let others: Vec<u64> = (2..=founders).collect();
    single.win_election(&others);
    acknowledged(single, &others)
}

fn acknowledged(single: &mut SingleNode, others: &[u64]) -> bool {
    let mut outputs = single.persist();
    for other in others {
        outputs.extend(single.acknowledge(*other));
    }
    outputs.iter().any(|output| matches!(output, Output::BecameLeader { .. }))
}

/// Two of three founders write the first log. The third stops before it has written it and returns with
/// another identity. After a command is committed, the disk of the leader is lost, which a group of three
/// must survive.
#[test]
fn group_with_a_lost_founder_identity_survives_a_lost_disk() {
    for seed in 1..=20 {
        let mut cluster = Cluster::new(3, 3, seed);
        cluster.wipe(2);
        (0..3).for_each(|slot| cluster.start(slot));
        let commands = |cluster: &Cluster| cluster.oracle.committed_commands();
        while commands(&cluster) == 0 {
            assert!(cluster.now < 20 * SECOND, "seed {seed}: no command is committed");
            cluster.propose(10);
            cluster.run_for(10 * MILLISECOND);
        }
        let leader = cluster.leader().expect("a leader that accepted the command");
        cluster.wipe(leader);
        cluster.start(leader);
        cluster.run_for(12 * SECOND);
        let before = commands(&cluster);
        cluster.propose(10);
        cluster.run_for(SECOND);
        assert!(commands(&cluster) > before, "seed {seed}: no command is committed after one lost disk");
    }
}

fn joiner(id: u64) -> Member {
    Member { id, address: format!("machine-{id}"), control: String::new(), voter: false }
}

fn voter_count(membership: &Membership) -> usize {
    membership.voters().count()
}

#[test]
fn group_with_the_target_number_of_voters_accepts_commands_immediately() {
    let mut single = founder(5, &[]);
    assert!(lead(&mut single, 5));
}

/// A voter with a slow disk acknowledges only the entries that it had before. This does not show that it
/// stores the leader's entry.
#[test]
fn acknowledging_only_the_bootstrap_entry_does_not_confirm_a_voter() {
    let mut single = founder(5, &[]);
    single.win_election(&[2, 3, 4]);
    assert!(!acknowledged(&mut single, &[2, 3, 4]));
    let of_founding = append_reply(single.node.term(), 1, single.now);
    let mut outputs = single.receive(5, of_founding);
    outputs.extend(single.run_timer());
    assert!(!outputs.iter().any(|output| matches!(output, Output::BecameLeader { .. })));
    assert!(acknowledged(&mut single, &[2, 3, 4, 5]));
}

#[test]
fn new_group_grows_before_it_accepts_commands() {
    let mut single = founder(3, &[]);
    assert!(!lead(&mut single, 3), "the loss of two disks would be a majority of three voters");
    for id in [4, 5] {
        single.handle(consensus::Event::Join { member: joiner(id) });
    }
    let mut ready = false;
    for _ in 0..20 {
        let before = voter_count(single.node.membership());
        let is_committed = single.node.commit_index() == single.node.last_index();
        assert!(
            !ready || (before == WANTED_VOTERS && is_committed),
            "commands are accepted with {before} voters"
        );
        if ready {
            return;
        }
        single.run_timer();
        ready = acknowledged(&mut single, &[2, 3, 4, 5]);
    }
    panic!("the group never accepts commands");
}

/// An unreachable machine may have nothing on its disk, so no timeout replaces its confirmation.
#[test]
fn new_group_waits_for_its_voters_without_a_timeout() {
    let mut single = founder(3, &[]);
    assert!(!lead(&mut single, 3));
    for _ in 0..1_000 {
        let mut outputs = single.run_timer();
        outputs.extend(single.acknowledge(2));
        outputs.extend(single.acknowledge(3));
        let is_ready = outputs.iter().any(|output| matches!(output, Output::BecameLeader { .. }));
        assert!(!is_ready, "the loss of two disks would be a majority of three voters");
    }
    assert!(single.node.is_leader() && single.node.lease_until() > single.now);
}

#[test]
fn group_with_commands_does_not_wait_for_more_voters() {
    let mut single = founder(3, &[(2, 1)]);
    assert!(lead(&mut single, 3));
}

#[test]
fn process_without_commands_and_leader_is_uninitialized() {
    let mut single = founder(3, &[]);
    lead(&mut single, 3);
    assert!(!single.node.is_uninitialized(), "the process is the leader");
    while single.node.is_leader() {
        single.run_timer();
    }
    assert!(single.node.last_index() > 1 && single.node.is_uninitialized());
    assert!(!founder(3, &[(2, 1)]).node.is_uninitialized(), "the process holds a command");
}

#[test]
fn entries_of_different_foundings_have_different_terms() {
    let first = Node::bootstrap(voters(3));
    let again = Node::bootstrap_again(voters(3));
    let mut other_members = voters(3);
    other_members.members[1].id = 1 << 40;
    let other = Node::bootstrap_again(other_members);
    assert_eq!(again, Node::bootstrap_again(voters(3)), "all founders write the same entry");
    let terms = [&first, &again, &other].map(|restored| restored.entries[0].term);
    assert!(terms[0] < terms[1] && terms[0] < terms[2] && terms[1] != terms[2], "{terms:?}");
    assert!([&again, &other].iter().all(|restored| restored.hard_state.term == restored.entries[0].term));
}
