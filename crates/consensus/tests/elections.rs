//! Tests of elections, votes, leases and leadership transfer.

mod support;

use consensus::{Entry, Event, Message, Node, NodeId, Options, Output, Payload, VoteReply};
use support::cluster::{nanoseconds, Cluster, MILLISECOND, SECOND};
use support::single::{
    append_rejection, append_reply, append_request, sent, timeout_now, vote_reply, vote_request, voters,
    SingleNode,
};

fn vote_replies(outputs: &[Output]) -> Vec<VoteReply> {
    let reply = |(_, message)| match message {
        Message::VoteReply(reply) => Some(reply),
        _ => None,
    };
    sent(outputs).into_iter().filter_map(reply).collect()
}

#[test]
fn sends_a_vote_only_once_it_is_durable() {
    let mut voter = SingleNode::founder(3);
    let outputs = voter.receive(2, vote_request(2, (1, 1), false, false));
    assert!(vote_replies(&outputs).is_empty(), "the vote is sent before it is durable");
    let outputs = voter.persist();
    assert_eq!(vote_replies(&outputs), [VoteReply { term: 2, granted: true, pre_vote: false }]);
}

#[test]
fn votes_at_most_once_per_term() {
    let mut voter = SingleNode::founder(3);
    voter.receive(2, vote_request(2, (1, 1), false, false));
    voter.persist();
    let outputs = voter.receive(3, vote_request(2, (1, 1), false, false));
    assert!(vote_replies(&outputs).iter().all(|reply| !reply.granted));
    let outputs = voter.receive(2, vote_request(2, (1, 1), false, false));
    assert!(
        vote_replies(&outputs).iter().all(|reply| reply.granted),
        "a repeated request gets the same reply"
    );
}

#[test]
fn candidate_requests_votes_once_its_own_vote_is_durable() {
    let mut candidate = SingleNode::founder(3);
    candidate.run_timer();
    let outputs = candidate.receive(2, vote_reply(2, true, true));
    assert!(sent(&outputs).is_empty(), "vote requests are sent before the term is durable");
    assert_eq!(candidate.node.term(), 2);
    let requests = sent(&candidate.persist());
    assert_eq!(requests.len(), 2);
    assert!(!candidate.node.is_leader());
    candidate.receive(3, vote_reply(2, true, false));
    assert!(candidate.node.is_leader());
}

#[test]
fn pre_vote_does_not_change_the_voters_term() {
    let mut voter = SingleNode::founder(3);
    let outputs = voter.receive(2, vote_request(9, (1, 1), true, false));
    assert_eq!(vote_replies(&outputs), [VoteReply { term: 9, granted: true, pre_vote: true }]);
    assert_eq!(voter.node.term(), 1);
}

#[test]
fn rejects_votes_while_hearing_from_a_leader() {
    let mut voter = SingleNode::founder(3);
    voter.receive(2, append_request(2, (1, 1), vec![], 0));
    voter.persist();
    for pre_vote in [true, false] {
        let outputs = voter.receive(3, vote_request(3, (1, 1), pre_vote, false));
        assert!(vote_replies(&outputs).iter().all(|reply| !reply.granted));
    }
    assert_eq!(voter.node.term(), 2, "a rejected vote does not raise the term");
    let outputs = voter.receive(2, vote_request(3, (1, 1), true, false));
    assert!(vote_replies(&outputs).iter().all(|reply| reply.granted), "the leader itself may campaign again");
}

#[test]
fn rejects_votes_after_a_restart() {
    let mut voter = SingleNode::with_entries(3, 2, &[(2, 2)]);
    let outputs = voter.receive(3, vote_request(3, (2, 2), true, false));
    assert!(vote_replies(&outputs).iter().all(|reply| !reply.granted));
    voter.wait(600);
    let outputs = voter.receive(3, vote_request(3, (2, 2), true, false));
    assert!(vote_replies(&outputs).iter().all(|reply| reply.granted));
}

fn unanimous_request(term: u64, last: (u64, u64), pre_vote: bool) -> Message {
    match vote_request(term, last, pre_vote, false) {
        Message::VoteRequest(request) => {
            Message::VoteRequest(consensus::VoteRequest { unanimous: true, ..request })
        }
        other => other,
    }
}

#[test]
fn restarted_voter_grants_a_unanimous_vote_immediately() {
    for pre_vote in [true, false] {
        let mut voter = SingleNode::with_entries(3, 2, &[(2, 2)]);
        let mut outputs = voter.receive(3, unanimous_request(3, (2, 3), pre_vote));
        outputs.extend(voter.persist());
        let reply = VoteReply { term: 3, granted: true, pre_vote };
        assert_eq!(vote_replies(&outputs), [reply]);
    }
}

#[test]
fn restarted_voter_rejects_a_unanimous_candidate_that_ranks_lower() {
    for last in [(1, 1), (2, 2)] {
        let mut voter = SingleNode::with_entries(3, 2, &[(2, 2)]);
        let outputs = voter.receive(3, unanimous_request(3, last, true));
        assert!(vote_replies(&outputs).iter().all(|reply| !reply.granted), "{last:?}");
    }
}

#[test]
fn leader_and_followers_reject_unanimous_vote_requests() {
    let mut follower = SingleNode::with_entries(3, 2, &[(2, 2)]);
    follower.receive(2, append_request(2, (2, 2), vec![], 0));
    follower.persist();
    let mut leader = SingleNode::leader(3);
    let term = leader.node.term();
    for pre_vote in [true, false] {
        let outputs = follower.receive(3, unanimous_request(3, (2, 9), pre_vote));
        assert!(vote_replies(&outputs).iter().all(|reply| !reply.granted));
        let outputs = leader.receive(3, unanimous_request(term + 1, (term, 99), pre_vote));
        assert!(vote_replies(&outputs).iter().all(|reply| !reply.granted));
    }
    assert!(leader.node.is_leader());
}

#[test]
fn majority_does_not_win_a_unanimous_election() {
    let mut candidate = SingleNode::with_entries(3, 2, &[(2, 2)]);
    candidate.run_timer();
    candidate.receive(2, vote_reply(3, true, true));
    assert_eq!(candidate.node.term(), 2, "one of three voters has not replied");
    candidate.receive(3, vote_reply(3, true, true));
    assert_eq!(candidate.node.term(), 3);
    candidate.persist();
    candidate.receive(2, vote_reply(3, true, false));
    assert!(!candidate.node.is_leader(), "one of three voters has not voted");
    candidate.receive(3, vote_reply(3, true, false));
    assert!(candidate.node.is_leader());
}

#[test]
fn elects_a_leader_within_200_ms_after_power_loss_of_all_machines() {
    for seed in 0..20 {
        let mut cluster = Cluster::started(3, 3, seed);
        cluster.run_for(2 * SECOND);
        assert!(cluster.propose(10));
        cluster.run_for(SECOND);
        (0..3).for_each(|slot| cluster.lose_power(slot));
        cluster.run_for(SECOND);
        (0..3).for_each(|slot| cluster.start(slot));
        let led = cluster.run_until(200 * MILLISECOND, |cluster| cluster.leader().is_some());
        assert!(led, "seed {seed}: no leader after 200 ms");
    }
}

#[test]
fn unanimous_election_needs_the_voter_whose_disk_is_lost() {
    for seed in 0..20 {
        let mut cluster = Cluster::started(3, 3, seed);
        cluster.run_for(2 * SECOND);
        (0..3).for_each(|slot| cluster.lose_power(slot));
        cluster.wipe(0);
        cluster.run_for(SECOND);
        (0..3).for_each(|slot| cluster.start(slot));
        let led = cluster.run_until(149 * MILLISECOND, |cluster| cluster.leader().is_some());
        assert!(!led, "seed {seed}: elected with two of three votes before all leases must have expired");
        assert!(cluster.run_until(2 * SECOND, |cluster| cluster.leader().is_some()));
    }
}

#[test]
fn unanimous_election_needs_every_voter_despite_refused_connections() {
    let mut candidate = SingleNode::with_entries(3, 2, &[(2, 2)]);
    candidate.handle(Event::PeerDown { peer: 3 });
    candidate.run_timer();
    candidate.receive(2, vote_reply(3, true, true));
    assert_eq!(candidate.node.term(), 2, "one of three voters has not replied");
}

#[test]
fn refused_connection_does_not_end_leader_stickiness() {
    let mut voter = SingleNode::founder(3);
    voter.receive(2, append_request(2, (1, 1), vec![], 0));
    voter.persist();
    voter.handle(Event::PeerDown { peer: 2 });
    for waited in [0, 75, 74] {
        voter.wait(waited);
        for pre_vote in [true, false] {
            let outputs = voter.receive(3, vote_request(3, (1, 1), pre_vote, false));
            assert!(vote_replies(&outputs).iter().all(|reply| !reply.granted));
        }
    }
    assert_eq!(voter.node.leader(), Some(2));
    assert_eq!(voter.node.term(), 2);
}

#[test]
fn no_second_lease_while_connections_to_the_leader_are_refused() {
    for seed in 0..20 {
        let mut cluster = Cluster::started(3, 3, seed);
        cluster.run_for(2 * SECOND);
        let leader = cluster.leader().expect("a leader");
        let id = cluster.id(leader);
        cluster.isolate(leader);
        for other in (0..3).filter(|other| *other != leader) {
            cluster.handle(other, Event::PeerDown { peer: id });
        }
        // The oracle of the cluster checks that no second lease starts while the first is valid.
        let led = |cluster: &Cluster| cluster.leader().is_some_and(|other| other != leader);
        assert!(cluster.run_until(SECOND, led), "seed {seed}: the other voters elect no leader");
        cluster.run_for(SECOND);
    }
}

#[test]
fn election_with_a_missing_voter_waits_for_lease_expiry() {
    for seed in 0..20 {
        let mut cluster = Cluster::started(3, 3, seed);
        cluster.run_for(2 * SECOND);
        (0..3).for_each(|slot| cluster.lose_power(slot));
        cluster.run_for(SECOND);
        (0..2).for_each(|slot| cluster.start(slot));
        let led = cluster.run_until(149 * MILLISECOND, |cluster| cluster.leader().is_some());
        assert!(!led, "seed {seed}: elected although the third voter may have acknowledged another leader");
        let led = cluster.run_until(250 * MILLISECOND, |cluster| cluster.leader().is_some());
        assert!(led, "seed {seed}: no leader 400 ms after the start of two of three");
    }
}

#[test]
fn leadership_transfer_overrides_leader_stickiness() {
    let mut voter = SingleNode::founder(3);
    voter.receive(2, append_request(2, (1, 1), vec![], 0));
    voter.receive(3, vote_request(3, (1, 1), false, true));
    let outputs = voter.persist();
    assert!(vote_replies(&outputs).iter().any(|reply| reply.granted && reply.term == 3));
}

#[test]
fn rejects_a_candidate_with_an_outdated_log() {
    let mut voter = SingleNode::with_entries(3, 2, &[(2, 2)]);
    voter.wait(600);
    let outputs = voter.receive(3, vote_request(3, (1, 9), true, false));
    assert!(vote_replies(&outputs).iter().all(|reply| !reply.granted));
}

#[test]
fn ignores_votes_that_arrive_after_the_election_timeout() {
    let mut candidate = SingleNode::founder(3);
    candidate.run_timer();
    candidate.receive(2, vote_reply(2, true, true));
    candidate.persist();
    candidate.wait(5_000);
    candidate.receive(2, vote_reply(2, true, false));
    assert!(!candidate.node.is_leader());
}

#[test]
fn lease_counts_from_the_send_time_of_the_acknowledged_message() {
    let mut leader = SingleNode::leader(3);
    leader.run_timer();
    let leader_clock = leader.now;
    leader.wait(75);
    let term = leader.node.term();
    leader.receive(2, append_reply(term, leader.node.last_index(), leader_clock));
    assert_eq!(leader.node.lease_until(), leader_clock + 141 * MILLISECOND, "150 ms less the margin of 9");
}

#[test]
fn leader_steps_down_without_contact_to_a_majority() {
    let mut leader = SingleNode::leader(3);
    let mut outputs = Vec::new();
    for _ in 0..7 {
        outputs.extend(leader.run_timer());
    }
    assert!(outputs.contains(&Output::SteppedDown));
    assert_eq!(leader.node.lease_until(), 0);
}

#[test]
fn frozen_leader_steps_down_before_it_handles_a_proposal() {
    let mut leader = SingleNode::leader(3);
    leader.wait(5_000);
    let outputs = leader.handle(Event::Propose { payload: vec![1] });
    assert!(outputs.contains(&Output::SteppedDown) && outputs.contains(&Output::ProposalDropped));
}

#[test]
fn busy_leader_handles_pending_replies_before_it_steps_down() {
    let mut leader = SingleNode::leader(3);
    let term = leader.node.term();
    let leader_clock = leader.now;
    leader.wait(400);
    let reply = append_reply(term, leader.node.last_index(), leader_clock);
    let outputs = leader.receive(2, reply);
    assert!(!outputs.contains(&Output::SteppedDown) && leader.node.is_leader());
    assert!(leader.node.lease_until() <= leader.now, "a reply to an old message gives no lease");
    assert!(!leader.run_timer().contains(&Output::SteppedDown));
}

#[test]
fn late_timer_run_extends_the_quorum_timeout_once() {
    let mut leader = SingleNode::leader(3);
    leader.wait(400);
    assert!(!leader.handle(Event::Tick).contains(&Output::SteppedDown));
    let mut outputs = leader.run_timer();
    assert!(outputs.contains(&Output::SteppedDown), "no reply arrived before a timer run that was on time");

    let mut leader = SingleNode::leader(3);
    leader.wait(400);
    leader.handle(Event::Tick);
    leader.wait(400);
    outputs = leader.handle(Event::Tick);
    assert!(outputs.contains(&Output::SteppedDown), "the timeout is not extended twice in a row");
}

#[test]
fn transfer_ends_the_lease_before_timeout_now_is_sent() {
    let mut leader = SingleNode::leader(3);
    let term = leader.node.term();
    let outputs = leader.handle(Event::Transfer);
    assert_eq!(leader.node.lease_until(), 0);
    assert!(sent(&outputs).iter().any(|(_, message)| *message == timeout_now(term)));
    let outputs = leader.handle(Event::Propose { payload: vec![1] });
    assert!(outputs.contains(&Output::ProposalDropped));
}

#[test]
fn no_lease_after_timeout_now_in_the_same_term() {
    let mut leader = SingleNode::leader(3);
    let term = leader.node.term();
    leader.handle(Event::Transfer);
    for _ in 0..12 {
        leader.run_timer();
        if leader.node.is_leader() {
            leader.acknowledge(2);
            leader.acknowledge(3);
        }
        assert!(leader.node.term() > term || leader.node.lease_until() == 0);
    }
    assert!(!leader.node.is_leader());
}

#[test]
fn transfer_to_a_lagging_follower_times_out() {
    let mut leader = SingleNode::leader(3);
    leader.handle(Event::Propose { payload: vec![1] });
    let outputs = leader.handle(Event::Transfer);
    assert!(!sent(&outputs).iter().any(|(_, message)| matches!(message, Message::TimeoutNow(_))));
    let (term, behind) = (leader.node.term(), leader.node.last_index() - 1);
    for _ in 0..6 {
        leader.run_timer();
        leader.receive(2, append_reply(term, behind, leader.now));
        leader.receive(3, append_reply(term, behind, leader.now));
    }
    assert!(leader.node.lease_until() > leader.now, "the leader stays the leader");
    let outputs = leader.handle(Event::Propose { payload: vec![2] });
    assert!(!outputs.contains(&Output::ProposalDropped));
}

/// The caller assumes that the dropped command was proposed. If the leader continued, it would apply later
/// commands without this one.
#[test]
fn leader_steps_down_when_a_transfer_with_a_dropped_proposal_times_out() {
    let mut leader = SingleNode::leader(3);
    leader.handle(Event::Propose { payload: vec![1] });
    leader.handle(Event::Transfer);
    let outputs = leader.handle(Event::Propose { payload: vec![2] });
    assert!(outputs.contains(&Output::ProposalDropped));
    let (term, behind) = (leader.node.term(), leader.node.last_index() - 1);
    let mut outputs = Vec::new();
    for _ in 0..7 {
        outputs.extend(leader.run_timer());
        if leader.node.is_leader() {
            leader.receive(2, append_reply(term, behind, leader.now));
            leader.receive(3, append_reply(term, behind, leader.now));
        }
    }
    assert!(outputs.contains(&Output::SteppedDown));
}

#[test]
fn ignores_timeout_now_from_an_earlier_leader() {
    let mut follower = SingleNode::founder(3);
    follower.receive(2, append_request(3, (1, 1), vec![], 0));
    follower.persist();
    follower.receive(2, timeout_now(2));
    follower.receive(3, timeout_now(3));
    assert_eq!(follower.node.term(), 3);
    follower.receive(2, timeout_now(3));
    assert_eq!(follower.node.term(), 4);
}

#[test]
fn leader_ignores_the_higher_term_of_a_non_member() {
    let mut leader = SingleNode::leader(3);
    leader.receive(99, append_rejection(50, 1, 0));
    leader.receive(99, vote_request(50, (1, 1), false, false));
    leader.receive(99, vote_reply(50, false, false));
    assert!(leader.node.is_leader());
}

#[test]
fn single_voter_becomes_leader() {
    let mut cluster = Cluster::new(1, 1, 1);
    cluster.configure = |options| options.target_voters = 1;
    cluster.start(0);
    assert!(cluster.run_until(2 * SECOND, |cluster| cluster.holds_lease(0)));
    assert!(cluster.propose(10));
    assert!(cluster.run_until(SECOND, |cluster| cluster.oracle.last_committed() >= 3));
    cluster.run_for(5 * SECOND);
    assert!(cluster.holds_lease(0));
}

#[test]
fn new_group_elects_a_leader_without_waiting_for_leader_stickiness() {
    let mut cluster = Cluster::started(3, 3, 1);
    assert!(cluster.run_until(600 * MILLISECOND, |cluster| cluster.leader().is_some()));
}

#[test]
fn returning_isolated_member_does_not_disrupt_the_leader() {
    let mut cluster = Cluster::started(3, 3, 5);
    cluster.run_for(2 * SECOND);
    let leader = cluster.leader().expect("a leader");
    let term = cluster.node(leader).map(consensus::Node::term);
    let isolated = (leader + 1) % 3;
    cluster.isolate(isolated);
    cluster.run_for(5 * SECOND);
    cluster.heal();
    cluster.run_for(2 * SECOND);
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.node(isolated).map(consensus::Node::term), term);
}

#[test]
fn new_leader_within_3_s_after_the_leader_loses_power() {
    let mut cluster = Cluster::started(3, 3, 6);
    cluster.run_for(2 * SECOND);
    let leader = cluster.leader().expect("a leader");
    cluster.lose_power(leader);
    let again = |cluster: &Cluster| cluster.leader().is_some_and(|slot| cluster.holds_lease(slot));
    assert!(cluster.run_until(3 * SECOND, again));
}

#[test]
fn leadership_transfer_completes_within_100_ms() {
    let mut cluster = Cluster::started(3, 3, 7);
    cluster.run_for(2 * SECOND);
    let leader = cluster.leader().expect("a leader");
    cluster.handle(leader, Event::Transfer);
    let moved =
        |cluster: &Cluster| cluster.leader().is_some_and(|slot| slot != leader && cluster.holds_lease(slot));
    assert!(cluster.run_until(100 * MILLISECOND, moved));
}

#[test]
fn leader_with_a_stalled_disk_transfers_leadership() {
    let mut cluster = Cluster::started(3, 3, 8);
    cluster.run_for(2 * SECOND);
    let leader = cluster.leader().expect("a leader");
    cluster.stall_disk(leader, 60 * SECOND);
    assert!(cluster.propose(10));
    let last = cluster.node(leader).map(consensus::Node::last_index);
    let commits = |cluster: &Cluster| Some(cluster.oracle.last_committed()) == last;
    assert!(cluster.run_until(100 * MILLISECOND, commits), "the disks of the followers are a majority");
    let moved =
        |cluster: &Cluster| cluster.leader().is_some_and(|slot| slot != leader && cluster.holds_lease(slot));
    assert!(cluster.run_until(2 * SECOND, moved));
}

#[test]
fn leader_keeps_its_lease_while_a_followers_disk_is_stalled() {
    let mut cluster = Cluster::started(3, 3, 9);
    cluster.run_for(2 * SECOND);
    let leader = cluster.leader().expect("a leader");
    let (stalled, dead) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.stall_disk(stalled, 60 * SECOND);
    cluster.kill(dead);
    for _ in 0..40 {
        cluster.propose(10);
        cluster.run_for(50 * MILLISECOND);
        assert!(cluster.holds_lease(leader));
    }
}

#[test]
fn granting_a_pre_vote_postpones_the_own_campaign() {
    let mut voter = SingleNode::founder(3);
    voter.receive(2, append_request(2, (1, 1), vec![], 0));
    voter.persist();
    // Another process requests a pre-vote right before this process's own election timeout.
    voter.now = voter.node.next_timer() - 1;
    let outputs = voter.receive(3, vote_request(3, (1, 1), true, false));
    assert!(vote_replies(&outputs).iter().all(|reply| reply.granted));
    let least = nanoseconds(Options::new(1).election_timeout) / 2;
    assert!(voter.node.next_timer() >= voter.now + least, "the other candidate gets time to win");
}

#[test]
fn campaigns_at_lease_expiry_after_the_leader_process_exits() {
    let mut voter = SingleNode::founder(3);
    voter.receive(2, append_request(2, (1, 1), vec![], 0));
    voter.persist();
    let options = Options::new(1);
    let lease_end = voter.now + nanoseconds(options.leader_stickiness + options.lease_margin);
    voter.handle(Event::PeerDown { peer: 3 });
    assert!(voter.node.next_timer() > lease_end, "the exit of a follower has no effect");
    voter.handle(Event::PeerDown { peer: 2 });
    assert_eq!(
        voter.node.next_timer(),
        lease_end,
        "the first remaining voter campaigns then, without a random timeout"
    );
    assert_eq!(sent(&voter.run_timer()).len(), 2, "it requests votes from the other voters");
    let again = voter.node.next_timer() - voter.now;
    assert_eq!(
        again,
        2 * nanoseconds(options.campaign_stagger),
        "voters that rejected it may have heard from the leader later"
    );
}

#[test]
fn message_from_the_leader_ends_the_short_campaign_intervals() {
    let mut voter = SingleNode::founder(3);
    voter.receive(2, append_request(2, (1, 1), vec![], 0));
    voter.handle(Event::PeerDown { peer: 2 });
    voter.receive(2, append_request(2, (1, 1), vec![], 0));
    voter.run_timer();
    let again = voter.node.next_timer() - voter.now;
    assert!(
        again >= nanoseconds(Options::new(1).election_timeout),
        "campaigns no longer follow each other at short intervals"
    );
}

#[test]
fn new_leader_within_250_ms_after_the_leader_is_killed() {
    for seed in 0..20 {
        let mut cluster = Cluster::started(3, 3, seed);
        cluster.run_for(2 * SECOND);
        let leader = cluster.leader().expect("a leader");
        let id = cluster.id(leader);
        cluster.kill(leader);
        // The messages of the killed leader arrive before its connections are refused.
        cluster.run_for(10 * MILLISECOND);
        for other in (0..3).filter(|other| *other != leader) {
            cluster.handle(other, Event::PeerDown { peer: id });
        }
        let led = cluster.run_until(240 * MILLISECOND, |cluster| cluster.leader().is_some());
        assert!(led, "seed {seed}: no leader 250 ms after the kill");
    }
}

#[test]
fn no_lease_before_an_entry_of_the_term_is_committed() {
    let mut leader = SingleNode::founder(3);
    leader.win_election(&[2]);
    let reply = append_reply(leader.node.term(), 1, leader.now);
    leader.receive(2, reply);
    assert_eq!(leader.node.lease_until(), 0, "later entries may be committed than the leader knows");
    leader.persist();
    leader.acknowledge(2);
    assert!(leader.node.lease_until() > leader.now);
}

#[test]
fn second_transfer_request_has_no_effect() {
    let mut leader = SingleNode::leader(3);
    let outputs = leader.handle(Event::Transfer);
    assert!(
        sent(&outputs).iter().any(|(_, message)| matches!(message, Message::TimeoutNow(_))),
        "TimeoutNow is sent"
    );
    leader.handle(Event::Transfer);
    for _ in 0..20 {
        leader.run_timer();
        if !leader.node.is_leader() {
            return;
        }
        leader.acknowledge(2);
        leader.acknowledge(3);
        assert_eq!(leader.node.lease_until(), 0, "the successor may have been elected already");
    }
    panic!("the leader stays the leader, although its successor may have been elected");
}

#[test]
fn candidate_ignores_votes_after_a_message_from_the_leader_of_its_term() {
    let mut candidate = SingleNode::founder(5);
    candidate.run_timer();
    [2, 3].into_iter().for_each(|voter| drop(candidate.receive(voter, vote_reply(2, true, true))));
    candidate.persist();
    candidate.receive(2, vote_reply(2, true, false));
    candidate.receive(4, append_request(2, (1, 1), vec![], 0));
    assert_eq!(candidate.node.leader(), Some(4));
    candidate.receive(3, vote_reply(2, true, false));
    candidate.receive(5, vote_reply(2, true, false));
    assert!(!candidate.node.is_leader());
    assert_eq!(candidate.node.leader(), Some(4));
}

#[test]
fn leader_follows_a_leader_with_a_higher_term() {
    let mut leader = SingleNode::leader(3);
    let newer = leader.node.term() + 1;
    let last = (leader.node.term(), leader.node.last_index());
    let outputs = leader.receive(3, append_request(newer, last, vec![], 0));
    assert!(outputs.contains(&Output::SteppedDown));
    assert_eq!((leader.node.leader(), leader.node.term(), leader.node.lease_until()), (Some(3), newer, 0));
}

/// Only process 1 has written its own demotion to learner. Processes 2 and 3 have shorter logs, so process 1
/// rejects them. Process 1 campaigns and needs the votes of both, because its own vote does not count.
#[test]
fn voter_with_an_uncommitted_demotion_campaigns_without_its_own_vote() {
    let mut restored = Node::bootstrap(voters(3));
    let demotion = Payload::Membership(voters(3).without_vote_of(1));
    restored.entries.push(Entry { index: 2, term: 1, payload: demotion });
    let mut single = SingleNode::restored(restored);
    single.wait(600);
    let outputs = single.handle(Event::Tick);
    let asked: Vec<NodeId> = sent(&outputs).into_iter().map(|(to, _)| to).collect();
    assert_eq!(asked, [2, 3]);
    let term = single.node.term() + 1;
    single.receive(2, vote_reply(term, true, true));
    assert_eq!(single.node.term(), term - 1, "one of two voters is no majority");
    single.receive(3, vote_reply(term, true, true));
    single.persist();
    single.receive(2, vote_reply(term, true, false));
    assert!(!single.node.is_leader());
    single.receive(3, vote_reply(term, true, false));
    assert!(single.node.is_leader());
}
