//! Tests of replication, commitment and durability.

mod support;

use std::time::Duration;

use consensus::{
    check_restored, AppendReply, Event, Message, Node, Options, OptionsError, Output, Restored, RestoredError,
};
use support::cluster::{Cluster, SECOND};
use support::single::{
    append_rejection, append_reply, append_request, committed, entry, sent, vote_request, voters, SingleNode,
};

fn append_replies(outputs: &[Output]) -> Vec<AppendReply> {
    let reply = |(_, message)| match message {
        Message::AppendReply(reply) => Some(reply),
        _ => None,
    };
    sent(outputs).into_iter().filter_map(reply).collect()
}

/// Previous index and number of entries of each append request to a follower.
fn appends(outputs: &[Output], to: u64) -> Vec<(u64, usize)> {
    let append = |(receiver, message)| match message {
        Message::AppendRequest(request) if receiver == to => {
            Some((request.previous_index, request.entries.len()))
        }
        _ => None,
    };
    sent(outputs).into_iter().filter_map(append).collect()
}

#[test]
fn acknowledges_entries_once_they_are_durable() {
    let mut follower = SingleNode::founder(3);
    let outputs = follower.receive(2, append_request(2, (1, 1), vec![entry(2, 2)], 0));
    assert!(append_replies(&outputs).is_empty());
    let replies = append_replies(&follower.persist());
    assert_eq!(replies.iter().map(|reply| reply.match_index).collect::<Vec<_>>(), [2]);
}

#[test]
fn one_acknowledgement_covers_several_appends() {
    let mut follower = SingleNode::founder(3);
    follower.receive(2, append_request(2, (1, 1), vec![entry(2, 2)], 0));
    follower.receive(2, append_request(2, (2, 2), vec![entry(3, 2)], 0));
    let replies = append_replies(&follower.persist());
    assert_eq!(replies.iter().map(|reply| reply.match_index).collect::<Vec<_>>(), [3]);
}

#[test]
fn stalled_disk_does_not_delay_heartbeat_replies() {
    let mut follower = SingleNode::founder(3);
    follower.receive(2, append_request(2, (1, 1), vec![], 0));
    follower.persist();
    follower.receive(2, append_request(2, (1, 1), vec![entry(2, 2)], 0));
    follower.wait(120);
    let replies = append_replies(&follower.receive(2, append_request(2, (2, 2), vec![], 0)));
    assert_eq!(
        replies.iter().map(|reply| (reply.success, reply.match_index)).collect::<Vec<_>>(),
        [(true, 1)]
    );
}

#[test]
fn leader_replicates_before_its_own_write_is_durable() {
    let mut leader = SingleNode::leader(3);
    let outputs = leader.handle(Event::Propose { payload: vec![1] });
    let index = leader.node.last_index();
    assert_eq!(appends(&outputs, 2), [(index - 1, 1)]);
    assert!(committed(&leader.acknowledge(2)).is_empty(), "one durable copy of three is no majority");
    assert_eq!(committed(&leader.persist()), [index]);
}

#[test]
fn two_followers_commit_without_the_leaders_disk() {
    let mut leader = SingleNode::leader(3);
    leader.handle(Event::Propose { payload: vec![1] });
    leader.acknowledge(2);
    assert_eq!(committed(&leader.acknowledge(3)), [leader.node.last_index()]);
}

#[test]
fn commits_entries_of_earlier_terms_only_with_an_entry_of_its_own_term() {
    let mut leader = SingleNode::with_entries(5, 2, &[(2, 2)]);
    leader.win_election(&[2, 3, 4]);
    leader.persist();
    let term = leader.node.term();
    leader.receive(2, append_reply(term, 2, leader.now));
    let outputs = leader.receive(3, append_reply(term, 2, leader.now));
    assert!(
        committed(&outputs).is_empty(),
        "a majority has entry 2, but a later leader could still replace it"
    );
    leader.receive(2, append_reply(term, 3, leader.now));
    let outputs = leader.receive(3, append_reply(term, 3, leader.now));
    assert_eq!(committed(&outputs), [1, 2, 3]);
    assert!(outputs.contains(&Output::BecameLeader { term }));
}

#[test]
fn does_not_acknowledge_entries_truncated_during_their_write() {
    let mut follower = SingleNode::founder(3);
    follower.receive(2, append_request(2, (1, 1), vec![entry(2, 2), entry(3, 2)], 0));
    follower.receive(3, append_request(3, (1, 1), vec![entry(2, 3)], 0));
    follower.handle(Event::Persisted { ticket: 1 });
    follower.wait(120);
    let outputs = follower.receive(3, append_request(3, (3, 2), vec![entry(3, 3)], 0));
    for reply in append_replies(&outputs).iter().filter(|reply| reply.term == 3) {
        assert!(reply.match_index <= 1, "entry 2 of term 3 is not durable yet");
    }
    let outputs = follower.handle(Event::Persisted { ticket: 2 });
    assert!(
        append_replies(&outputs).iter().all(|reply| reply.match_index <= 2),
        "entry 3 is not durable yet"
    );
    assert!(append_replies(&follower.persist()).iter().any(|reply| reply.match_index == 3));
}

#[test]
fn conflict_reply_contains_the_first_index_of_the_conflicting_term() {
    let mut follower = SingleNode::with_entries(3, 2, &[(2, 2), (3, 2), (4, 2)]);
    let outputs = follower.receive(2, append_request(3, (3, 4), vec![], 0));
    assert!(append_replies(&outputs).is_empty(), "the new term is not durable yet");
    let replies = append_replies(&follower.persist());
    assert_eq!(
        replies.iter().map(|reply| (reply.success, reply.conflict_index)).collect::<Vec<_>>(),
        [(false, 2)]
    );
}

#[test]
fn committed_entries_are_never_truncated() {
    let mut follower = SingleNode::founder(3);
    follower.receive(2, append_request(2, (1, 1), vec![entry(2, 2)], 2));
    follower.receive(3, append_request(3, (1, 1), vec![entry(2, 3)], 2));
    follower.receive(3, append_request(3, (9, 2), vec![entry(3, 3)], 2));
    assert_eq!((follower.node.last_index(), follower.node.commit_index()), (2, 2));
}

#[test]
fn malformed_append_requests_change_nothing() {
    let mut follower = SingleNode::founder(3);
    for entries in
        [vec![entry(4, 2)], vec![entry(2, 2), entry(2, 2)], vec![entry(2, 9)], vec![entry(u64::MAX, 2)]]
    {
        follower.receive(2, append_request(2, (1, 1), entries, u64::MAX));
    }
    follower.receive(2, append_request(2, (1, u64::MAX), vec![entry(2, 2)], u64::MAX));
    follower.receive(2, vote_request(u64::MAX, (u64::MAX, u64::MAX), true, true));
    assert_eq!(follower.node.last_index(), 1);
}

#[test]
fn resends_missing_entries_after_a_rejection() {
    let mut leader = SingleNode::leader(3);
    (0..3).for_each(|_| drop(leader.handle(Event::Propose { payload: vec![1] })));
    let term = leader.node.term();
    leader.wait(1);
    let outputs = leader.receive(2, append_rejection(term, 4, leader.now));
    assert_eq!(appends(&outputs, 2), [(3, 2)]);
}

#[test]
fn resends_acknowledged_entries_to_a_follower_with_an_older_disk() {
    let mut leader = SingleNode::leader(3);
    (0..3).for_each(|_| drop(leader.handle(Event::Propose { payload: vec![1] })));
    leader.acknowledge(2);
    leader.run_timer();
    let term = leader.node.term();
    let outputs = leader.receive(2, append_rejection(term, 2, leader.now));
    assert_eq!(appends(&outputs, 2), [(1, 4)]);
}

#[test]
fn limits_messages_in_flight_and_batches_entries() {
    let mut leader = SingleNode::leader(3);
    let outputs: Vec<Output> =
        (0..10).flat_map(|_| leader.handle(Event::Propose { payload: vec![1] })).collect();
    assert_eq!(appends(&outputs, 2).len(), 4);
    let first = leader.node.last_index() - 9;
    let reply = append_reply(leader.node.term(), first, leader.now);
    assert_eq!(appends(&leader.receive(2, reply), 2), [(first + 3, 6)]);
}

#[test]
fn resends_unacknowledged_entries_after_a_disconnect() {
    let mut leader = SingleNode::leader(3);
    let acknowledged = leader.node.last_index();
    (0..2).for_each(|_| drop(leader.handle(Event::Propose { payload: vec![1] })));
    let outputs = leader.handle(Event::PeerDisconnected { peer: 2 });
    assert_eq!(appends(&outputs, 2), [(acknowledged, 2)]);
}

#[test]
fn accepts_proposals_before_the_first_entry_of_the_term_is_committed() {
    let mut leader = SingleNode::with_entries(3, 1, &[(2, 1)]);
    leader.win_election(&[2]);
    let outputs = leader.handle(Event::Propose { payload: vec![1] });
    assert!(outputs.contains(&Output::Proposed { index: 4, term: 2 }));
    assert_eq!(leader.node.lease_until(), 0);
    leader.persist();
    let outputs = leader.acknowledge(2);
    assert!(outputs.contains(&Output::BecameLeader { term: 2 }));
    assert!(leader.node.lease_until() > 0);
}

#[test]
fn accepts_the_first_command_once_every_voter_is_confirmed() {
    let mut leader = SingleNode::founder(3);
    leader.win_election(&[2]);
    let mut outputs = Vec::new();
    outputs.extend(leader.handle(Event::Propose { payload: vec![1] }));
    leader.persist();
    outputs.extend(leader.acknowledge(2));
    assert!(leader.node.lease_until() > 0);
    outputs.extend(leader.handle(Event::Propose { payload: vec![1] }));
    let dropped = outputs.iter().filter(|output| **output == Output::ProposalDropped).count();
    assert_eq!(dropped, 2, "the third voter may have lost its identity");
    assert!(!outputs.contains(&Output::BecameLeader { term: 2 }));
    let outputs = leader.acknowledge(3);
    assert!(outputs.contains(&Output::BecameLeader { term: 2 }));
    let outputs = leader.handle(Event::Propose { payload: vec![1] });
    assert!(outputs.contains(&Output::Proposed { index: 3, term: 2 }));
}

#[test]
fn followers_drop_proposals() {
    let mut follower = SingleNode::founder(3);
    let outputs = follower.handle(Event::Propose { payload: vec![1] });
    assert_eq!(outputs, [Output::ProposalDropped]);
}

#[test]
fn power_loss_of_all_machines_loses_no_committed_entry() {
    let mut cluster = Cluster::started(3, 3, 3);
    cluster.run_for(2 * SECOND);
    (0..50).for_each(|_| assert!(cluster.propose(20)));
    cluster.run_for(SECOND);
    let last = cluster.oracle.last_committed();
    (0..3).for_each(|slot| cluster.lose_power(slot));
    (0..3).for_each(|slot| cluster.start(slot));
    cluster.run_for(3 * SECOND);
    let leader = cluster.leader().expect("a leader");
    assert!(cluster.node(leader).is_some_and(|node| node.commit_index() > last));
}

#[test]
fn restarted_process_outputs_entries_after_its_snapshot() {
    let mut cluster = Cluster::started(1, 1, 4);
    cluster.run_for(2 * SECOND);
    (0..30).for_each(|_| assert!(cluster.propose(20)));
    cluster.run_for(SECOND);
    cluster.lose_power(0);
    cluster.start(0);
    cluster.run_for(3 * SECOND);
    assert!(cluster.holds_lease(0));
}

#[test]
fn rejects_inconsistent_options() {
    let (heartbeat_interval, election_timeout) = (Duration::from_nanos(300), Duration::from_nanos(600));
    let options = Options { heartbeat_interval, election_timeout, ..Options::new(1) };
    assert_eq!(options.check(), Err(OptionsError::Heartbeat(heartbeat_interval, election_timeout)));
    let options = Options { lease_margin: Duration::MAX, ..Options::new(1) };
    assert!(matches!(options.check(), Err(OptionsError::LeaseMargin(..))));
    let options = Options { lease_margin: Options::new(1).leader_stickiness / 26, ..Options::new(1) };
    assert!(matches!(options.check(), Err(OptionsError::LeaseMargin(..))), "clocks may differ by 4%");
    for leader_stickiness in
        [Options::new(1).heartbeat_interval, Options::new(1).election_timeout + Duration::from_nanos(1)]
    {
        let options = Options { leader_stickiness, ..Options::new(1) };
        assert!(matches!(options.check(), Err(OptionsError::LeaderStickiness(..))));
    }
    let options = Options { target_voters: 0, ..Options::new(1) };
    assert_eq!(options.check(), Err(OptionsError::Zero("target_voters")));
    assert_eq!(Options::new(1).check(), Ok(()));
}

#[test]
fn rejects_restored_log_with_a_gap() {
    let mut restored = Node::bootstrap(voters(3));
    restored.entries.push(entry(3, 2));
    assert_eq!(check_restored(&restored), Err(RestoredError::Gap(2, 3)));
    assert_eq!(SingleNode::restored(restored).node.last_index(), 1);
    let falls = Restored { entries: vec![entry(1, 3), entry(2, 2)], ..Restored::default() };
    assert_eq!(check_restored(&falls), Err(RestoredError::TermDecreases(2)));
}
