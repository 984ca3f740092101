//! Tests of membership changes and of snapshots for lagging followers.

mod support;

use consensus::{Event, Member, Membership, Message, Node, Output};
use support::cluster::{Cluster, MILLISECOND, SECOND};
use support::single::{append_reply, append_request, entry, sent, voters, SingleNode};

fn membership(cluster: &Cluster) -> Membership {
    let leader = cluster.leader().expect("a leader");
    cluster.node(leader).map(Node::membership).cloned().expect("the process runs")
}

fn cluster_with_leader(founders: usize, machines: usize, seed: u64) -> Cluster {
    let mut cluster = Cluster::started(founders, machines, seed);
    cluster.keep_history = true;
    cluster.run_for(2 * SECOND);
    cluster
}

fn joiner(id: u64, address: &str) -> Member {
    Member { id, address: address.to_string(), control: String::new(), voter: false }
}

#[test]
fn machine_with_a_lost_disk_rejoins_as_a_voter_with_a_new_identity() {
    let mut cluster = cluster_with_leader(3, 3, 1);
    let lost = (cluster.leader().expect("a leader") + 1) % 3;
    let before = cluster.id(lost);
    cluster.wipe(lost);
    cluster.run_for(500 * MILLISECOND);
    cluster.start(lost);
    cluster.run_for(4 * SECOND);
    let membership = membership(&cluster);
    assert!(!membership.contains(before));
    assert!(membership.is_voter(cluster.id(lost)));
    assert_eq!(membership.voters().count(), 3);
}

#[test]
fn lost_voter_stays_until_its_successor_has_caught_up() {
    let mut leader = SingleNode::leader(3);
    let dead = voters(3).members[1].clone();
    leader.handle(Event::Join { member: joiner(77, &dead.address) });
    assert!(leader.node.membership().is_voter(2) && leader.node.membership().contains(77));
    for _ in 0..8 {
        leader.run_timer();
        leader.persist();
        leader.acknowledge(3);
        assert!(leader.node.membership().is_voter(2), "77 has not replied yet");
    }
    leader.acknowledge(77);
    leader.run_timer();
    leader.acknowledge(77);
    assert!(leader.node.membership().is_voter(2), "no majority has replied since the removal was decided");
    leader.acknowledge(3);
    let members = leader.node.membership();
    assert!(!members.contains(2) && !members.is_voter(77), "the lost voter is removed in a separate change");
    leader.wait(1);
    leader.persist();
    leader.acknowledge(3);
    leader.run_timer();
    leader.acknowledge(3);
    assert!(!leader.node.membership().is_voter(77), "77 has not replied since its promotion was decided");
    leader.acknowledge(77);
    assert!(leader.node.membership().is_voter(77));
}

#[test]
fn responsive_voter_is_not_replaced_by_a_joiner_at_its_address() {
    let mut leader = SingleNode::leader(3);
    leader.handle(Event::Join { member: joiner(77, "machine-2") });
    for _ in 0..20 {
        leader.run_timer();
        leader.persist();
        [2, 3, 77].into_iter().for_each(|other| drop(leader.acknowledge(other)));
    }
    assert!(leader.node.membership().is_voter(2));
    assert!(!leader.node.membership().is_voter(77), "three voters respond, which is the target");
}

#[test]
fn membership_change_waits_for_the_previous_one() {
    let mut leader = SingleNode::leader(3);
    leader.handle(Event::Join { member: joiner(77, "machine-7") });
    leader.handle(Event::Join { member: joiner(88, "machine-8") });
    assert!(leader.node.membership().contains(77) && !leader.node.membership().contains(88));
    leader.persist();
    leader.acknowledge(2);
    assert!(leader.node.membership().contains(88));
}

#[test]
fn adds_no_member_before_the_first_entry_of_the_term_is_committed() {
    let mut leader = SingleNode::founder(3);
    leader.win_election(&[2]);
    leader.handle(Event::Join { member: joiner(77, "machine-7") });
    assert!(!leader.node.membership().contains(77));
    leader.persist();
    leader.acknowledge(2);
    assert!(leader.node.membership().contains(77));
}

#[test]
fn membership_is_reverted_when_its_entry_is_truncated() {
    let mut follower = SingleNode::founder(3);
    let mut changed = entry(2, 2);
    changed.payload = consensus::Payload::Membership(voters(4));
    let outputs = follower.receive(2, append_request(2, (1, 1), vec![changed], 0));
    assert!(
        outputs.contains(&Output::MembershipChanged { membership: voters(4) }),
        "in effect when appended"
    );
    let outputs = follower.receive(3, append_request(3, (1, 1), vec![entry(2, 3)], 0));
    assert!(outputs.contains(&Output::MembershipChanged { membership: voters(3) }));
    assert_eq!(*follower.node.membership(), voters(3));
}

#[test]
fn unresponsive_voter_is_replaced_by_a_caught_up_learner() {
    let mut cluster = cluster_with_leader(3, 4, 2);
    cluster.start(3);
    cluster.run_for(2 * SECOND);
    assert!(!membership(&cluster).is_voter(cluster.id(3)), "three voters are enough");
    assert!(membership(&cluster).contains(cluster.id(3)));
    let unresponsive = (cluster.leader().expect("a leader") + 1) % 3;
    cluster.lose_power(unresponsive);
    cluster.run_for(4 * SECOND);
    assert!(membership(&cluster).is_voter(cluster.id(3)));
    assert!(!membership(&cluster).contains(cluster.id(unresponsive)));
    assert_eq!(membership(&cluster).voters().count(), 3);
}

#[test]
fn removed_member_is_notified_and_rejoins() {
    let mut cluster = cluster_with_leader(3, 4, 3);
    cluster.start(3);
    cluster.run_for(2 * SECOND);
    let unresponsive = (cluster.leader().expect("a leader") + 1) % 3;
    cluster.isolate(unresponsive);
    cluster.run_for(5 * SECOND);
    assert!(!membership(&cluster).contains(cluster.id(unresponsive)));
    cluster.heal();
    cluster.run_for(3 * SECOND);
    assert!(membership(&cluster).contains(cluster.id(unresponsive)));
    assert!(!membership(&cluster).is_voter(cluster.id(unresponsive)));
}

#[test]
fn removed_member_learns_of_its_removal_from_the_log() {
    let mut follower = SingleNode::founder(3);
    let mut without = entry(2, 2);
    without.payload = consensus::Payload::Membership(voters(3).without(1));
    let outputs = follower.receive(2, append_request(2, (1, 1), vec![without], 1));
    assert!(!outputs.contains(&Output::Removed), "not committed yet");
    let outputs = follower.receive(2, append_request(2, (2, 2), vec![], 2));
    assert!(outputs.contains(&Output::Removed));
    let outputs = follower.receive(2, append_request(2, (2, 2), vec![], 2));
    assert!(!outputs.contains(&Output::Removed), "reported once");
    follower.wait(10_000);
    assert!(sent(&follower.run_timer()).is_empty(), "a removed member does not campaign");
}

#[test]
fn non_member_that_requests_votes_is_sent_the_log() {
    let mut leader = SingleNode::leader(3);
    let outputs = leader.receive(99, support::single::vote_request(2, (1, 1), true, false));
    let shown = |(to, message): &(u64, Message)| *to == 99 && matches!(message, Message::AppendRequest(_));
    assert!(sent(&outputs).iter().any(shown));
    leader.wait(10);
    leader.run_timer();
    leader.acknowledge(99);
    leader.run_timer();
    let outputs = leader.run_timer();
    assert!(
        !sent(&outputs).iter().any(shown),
        "the non-member knows of its removal and is sent nothing more"
    );
}

#[test]
fn learner_that_never_responds_is_removed() {
    let mut leader = SingleNode::leader(3);
    leader.handle(Event::Join { member: joiner(77, "machine-7") });
    for _ in 0..120 {
        leader.run_timer();
        leader.persist();
        leader.acknowledge(2);
        leader.acknowledge(3);
    }
    assert!(!leader.node.membership().contains(77));
}

#[test]
fn learner_acknowledgements_do_not_commit_entries() {
    let mut leader = SingleNode::leader(3);
    leader.handle(Event::Join { member: joiner(77, "machine-7") });
    leader.persist();
    let reply = append_reply(leader.node.term(), leader.node.last_index(), leader.now);
    let before = leader.node.commit_index();
    leader.receive(77, reply);
    assert_eq!(leader.node.commit_index(), before);
}

#[test]
fn non_member_does_not_campaign() {
    let mut outsider = SingleNode::restored(consensus::Restored::default());
    for _ in 0..5 {
        assert!(outsider.run_timer().is_empty());
    }
    assert!(outsider.node.should_join());
}

#[test]
fn follower_far_behind_receives_a_snapshot() {
    let mut cluster = cluster_with_leader(3, 3, 4);
    let behind = (cluster.leader().expect("a leader") + 1) % 3;
    cluster.lose_power(behind);
    for _ in 0..100 {
        assert!(cluster.propose(20));
        cluster.run_for(5 * MILLISECOND);
    }
    cluster.clear_history();
    cluster.start(behind);
    cluster.run_for(SECOND);
    assert!(cluster.history(behind).iter().any(|output| matches!(output, Output::Restore { .. })));
    let last = cluster.oracle.last_committed();
    assert_eq!(cluster.node(behind).map(Node::commit_index), Some(last));
}

#[test]
fn follower_slightly_behind_needs_no_snapshot() {
    let mut cluster = cluster_with_leader(3, 3, 5);
    cluster.configure = |options| options.retained_entries = 1_000;
    (0..3).for_each(|slot| cluster.lose_power(slot));
    (0..3).for_each(|slot| cluster.start(slot));
    cluster.run_for(3 * SECOND);
    let behind = (cluster.leader().expect("a leader") + 1) % 3;
    cluster.lose_power(behind);
    for _ in 0..100 {
        assert!(cluster.propose(20));
        cluster.run_for(5 * MILLISECOND);
    }
    cluster.clear_history();
    cluster.start(behind);
    cluster.run_for(SECOND);
    assert!(!cluster.history(behind).iter().any(|output| matches!(output, Output::Restore { .. })));
    assert_eq!(cluster.node(behind).map(Node::commit_index), Some(cluster.oracle.last_committed()));
}

#[test]
fn log_is_compacted_after_a_snapshot() {
    let mut cluster = cluster_with_leader(1, 1, 6);
    for _ in 0..100 {
        assert!(cluster.propose(20));
        cluster.run_for(5 * MILLISECOND);
    }
    let node = cluster.node(0).expect("the process runs");
    assert!(node.snapshot_meta(10).is_none(), "entry 10 is compacted");
    assert!(node.snapshot_meta(node.commit_index()).is_some());
    assert!(node.snapshot_meta(node.commit_index() + 1).is_none(), "the entry is not committed");
}
