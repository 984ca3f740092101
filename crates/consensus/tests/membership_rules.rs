//! Tests of the conditions under which a leader changes the membership.

mod support;

use consensus::{Event, Member, Options};
use support::cluster::{nanoseconds, Cluster, MILLISECOND, SECOND};
use support::single::{append_reply, append_request, entry, SingleNode};

fn joiner(id: u64, address: &str) -> Member {
    Member { id, address: address.to_string(), control: String::new(), voter: false }
}

/// The leader of a group of three with a long log, one permanently unresponsive voter, and a learner.
fn leader_with_a_learner() -> SingleNode {
    let mut leader = SingleNode::leader(3);
    leader.handle(Event::Join { member: joiner(77, "machine-7") });
    let entries = 2 * Options::new(1).promotion_gap;
    for _ in 0..entries {
        leader.handle(Event::Propose { payload: vec![1] });
    }
    leader.persist();
    leader.acknowledge(3);
    leader
}

/// Runs until voter 2 has not responded for twice the replacement timeout. The other processes respond, the
/// learner with this match index.
fn wait_until_a_voter_is_unresponsive(leader: &mut SingleNode, learner_match_index: u64) {
    let timeout = nanoseconds(Options::new(1).replacement_timeout);
    let until = leader.now + 2 * timeout;
    while leader.now < until {
        leader.run_timer();
        leader.persist();
        leader.acknowledge(3);
        let reply = append_reply(leader.node.term(), learner_match_index, leader.now);
        leader.receive(77, reply);
    }
}

#[test]
fn learner_that_lacks_entries_is_not_promoted() {
    for learner_match_index in [0, 1, Options::new(1).promotion_gap] {
        let mut leader = leader_with_a_learner();
        wait_until_a_voter_is_unresponsive(&mut leader, learner_match_index);
        assert!(!leader.node.membership().is_voter(77), "with {learner_match_index} entries durable");
        assert!(
            leader.node.membership().is_voter(2),
            "the unresponsive voter is removed only after its successor is a voter"
        );
    }
}

#[test]
fn caught_up_learner_replaces_an_unresponsive_voter() {
    let mut leader = leader_with_a_learner();
    let last = leader.node.last_index();
    wait_until_a_voter_is_unresponsive(&mut leader, last);
    assert!(leader.node.membership().is_voter(77));
    leader.persist();
    leader.acknowledge(3);
    leader.acknowledge(77);
    wait_until_a_voter_is_unresponsive(&mut leader, last);
    assert!(!leader.node.membership().contains(2), "the number of voters is odd again");
}

#[test]
fn learners_do_not_replace_responsive_voters() {
    let mut leader = leader_with_a_learner();
    for round in 0..100 {
        leader.run_timer();
        leader.persist();
        // Voter 2 responds rarely, but always within the replacement timeout.
        let answering = if round % 4 == 0 { vec![2, 3, 77] } else { vec![3, 77] };
        answering.into_iter().for_each(|other| drop(leader.acknowledge(other)));
    }
    assert!([1, 2, 3].into_iter().all(|voter| leader.node.membership().is_voter(voter)));
    assert!(!leader.node.membership().is_voter(77));
}

#[test]
fn new_leader_changes_no_members_before_its_first_entry_is_committed() {
    let mut leader = SingleNode::founder(3);
    leader.receive(2, append_request(2, (1, 1), vec![entry(2, 2)], 2));
    leader.persist();
    assert_eq!(leader.node.commit_index(), 2, "the membership in effect is committed");
    leader.win_election(&[2]);
    leader.handle(Event::Join { member: joiner(77, "machine-7") });
    for _ in 0..3 {
        leader.run_timer();
        // A follower replies, but the new leader's entry is not durable on its disk yet.
        let reply = append_reply(leader.node.term(), 2, leader.now);
        leader.receive(2, reply);
        assert!(!leader.node.membership().contains(77));
    }
    leader.persist();
    leader.acknowledge(2);
    assert!(leader.node.membership().contains(77));
}

#[test]
fn learners_do_not_count_towards_majorities() {
    let mut leader = SingleNode::leader(3);
    for learner in [77, 88] {
        leader.handle(Event::Join { member: joiner(learner, &format!("machine-{learner}")) });
        leader.persist();
        leader.acknowledge(2);
        assert!(leader.node.membership().contains(learner));
    }
    let before = leader.node.commit_index();
    leader.handle(Event::Propose { payload: vec![1] });
    leader.persist();
    leader.acknowledge(77);
    leader.acknowledge(88);
    assert_eq!(leader.node.commit_index(), before, "only one of three voters has the entry");
    leader.acknowledge(2);
    assert!(leader.node.commit_index() > before, "two of three voters have the entry");
}

#[test]
fn no_membership_change_during_a_leadership_transfer() {
    let mut leader = SingleNode::leader(3);
    leader.handle(Event::Propose { payload: vec![1] });
    leader.handle(Event::Transfer);
    assert_eq!(leader.node.lease_until(), 0, "a transfer is in progress");
    leader.handle(Event::Join { member: joiner(77, "machine-7") });
    assert!(!leader.node.membership().contains(77));
}

/// Creates a group with a spare machine that is a learner. Also returns the slot of a follower.
fn group_with_a_learner(seed: u64) -> (Cluster, usize) {
    let mut cluster = Cluster::started(3, 4, seed);
    cluster.run_for(2 * SECOND);
    cluster.start(3);
    cluster.run_for(2 * SECOND);
    let follower = (cluster.leader().expect("a leader") + 1) % 3;
    (cluster, follower)
}

/// Whether the group has three voters whose disks are intact, and a leader with a lease.
fn is_complete(cluster: &Cluster) -> bool {
    let Some(leader) = cluster.leader() else { return false };
    let members = cluster.node(leader).expect("the process runs").membership();
    members.voters().count() == 3 && cluster.all_voters_have_their_disks() && cluster.holds_lease(leader)
}

#[test]
fn survives_a_second_disk_loss_once_the_first_machine_is_replaced() {
    for seed in 0..8 {
        let (mut cluster, first) = group_with_a_learner(seed);
        cluster.wipe(first);
        let replaced =
            cluster.run_until(6 * SECOND, |cluster| is_complete(cluster) && cluster.committed_voters() == 3);
        assert!(replaced, "seed {seed}: the learner has not replaced the lost voter");
        let leader = cluster.leader().expect("a leader");
        cluster.propose(10);
        cluster.run_for(50 * MILLISECOND);
        let last = cluster.oracle.last_committed();
        cluster.wipe(leader);
        let led = cluster.run_until(2 * SECOND, |cluster| cluster.leader().is_some());
        assert!(led, "seed {seed}: no leader after the second loss");
        cluster.run_for(SECOND);
        assert!(cluster.propose(10));
        cluster.run_for(SECOND);
        assert!(cluster.oracle.last_committed() > last, "seed {seed}");
    }
}

#[test]
fn survives_power_loss_at_any_time_during_a_replacement() {
    for milliseconds in (0..4_000).step_by(40) {
        let (mut cluster, first) = group_with_a_learner(1);
        cluster.wipe(first);
        cluster.run_for(milliseconds * MILLISECOND);
        let other = (first + 1) % 3;
        cluster.restart_after_power_loss(other, 300 * MILLISECOND);
        cluster.run_for(6 * SECOND);
        assert!(is_complete(&cluster), "{milliseconds} ms after the loss of a disk");
        assert!(cluster.propose(10));
    }
}

#[test]
fn five_voters_survive_two_disk_losses_twice() {
    for seed in 0..6 {
        let mut cluster = Cluster::new(5, 5, seed);
        cluster.configure = |options| options.target_voters = 5;
        (0..5).for_each(|slot| cluster.start(slot));
        cluster.run_for(2 * SECOND);
        for _ in 0..2 {
            let leader = cluster.leader().expect("a leader");
            assert!(cluster.propose(10));
            cluster.run_for(100 * MILLISECOND);
            let lost = [(leader + 1) % 5, (leader + 2) % 5];
            lost.iter().for_each(|slot| cluster.wipe(*slot));
            cluster.run_for(500 * MILLISECOND);
            lost.iter().for_each(|slot| cluster.start(*slot));
            let replaced = cluster.run_until(8 * SECOND, |cluster| {
                let leader = cluster.leader().and_then(|leader| cluster.node(leader));
                let voters = leader.map_or(0, |leader| leader.membership().voters().count());
                voters == 5 && cluster.all_voters_have_their_disks() && cluster.committed_voters() == 5
            });
            assert!(replaced, "seed {seed}: the lost voters are not replaced");
        }
    }
}

#[test]
fn repeated_join_has_no_effect_unless_addresses_change() {
    let mut leader = SingleNode::leader(3);
    leader.handle(Event::Join { member: joiner(77, "machine-7") });
    leader.persist();
    leader.acknowledge(2);
    let last = leader.node.last_index();
    leader.handle(Event::Join { member: joiner(77, "machine-7") });
    assert_eq!(leader.node.last_index(), last);
    let moved = Member { control: "elsewhere".to_string(), ..joiner(77, "machine-7") };
    leader.handle(Event::Join { member: moved.clone() });
    assert_eq!(leader.node.last_index(), last + 1);
    assert_eq!(leader.node.membership().member(77), Some(&moved));
}

#[test]
fn surplus_voter_is_demoted_when_the_unresponsive_voter_returns() {
    let mut leader = leader_with_a_learner();
    let mut rounds = 0;
    loop {
        leader.run_timer();
        if leader.node.membership().is_voter(77) {
            break;
        }
        leader.persist();
        leader.acknowledge(3);
        leader.acknowledge(77);
        rounds += 1;
        assert!(rounds < 200, "the learner does not replace the unresponsive voter");
    }
    // The unresponsive voter returns before the change is committed.
    leader.acknowledge(2);
    leader.persist();
    for _ in 0..4 {
        [2, 3, 77].into_iter().for_each(|other| drop(leader.acknowledge(other)));
        leader.run_timer();
        leader.persist();
    }
    let members = leader.node.membership();
    assert_eq!(members.voters().count(), 3, "{members:?}");
    assert!(members.is_voter(2) && members.contains(77) && !members.is_voter(77));
}
