//! Tests of the recorded reasons for stepping down.

mod support;

use consensus::{Event, StepDownReason};
use support::cluster::MILLISECOND;
use support::single::{append_reply, append_request, SingleNode};

#[test]
fn no_step_down_is_recorded_before_leadership_ends() {
    assert_eq!(SingleNode::founder(3).node.last_step_down(), None);
    assert_eq!(SingleNode::leader(3).node.last_step_down(), None);
}

#[test]
fn quorum_loss_records_the_last_quorum_contact_and_lease() {
    let mut leader = SingleNode::leader(3);
    let term = leader.node.term();
    let heard_at = leader.now;
    leader.receive(2, append_reply(term, leader.node.last_index(), heard_at));
    let lease_until = leader.node.lease_until();
    while leader.node.is_leader() {
        leader.run_timer();
    }
    let step_down = leader.node.last_step_down().expect("the leader stepped down");
    assert_eq!((step_down.term, step_down.reason), (term, StepDownReason::QuorumLost));
    assert_eq!((step_down.quorum_contact_at, step_down.lease_until), (heard_at, lease_until));
    assert_eq!(lease_until, heard_at + 141 * MILLISECOND);
}

#[test]
fn step_down_records_the_higher_term() {
    let mut leader = SingleNode::leader(3);
    let term = leader.node.term();
    let last = (term, leader.node.last_index());
    leader.receive(3, append_request(term + 2, last, vec![], 0));
    let step_down = leader.node.last_step_down().expect("the leader stepped down");
    assert_eq!((step_down.term, step_down.reason), (term, StepDownReason::HigherTerm { term: term + 2 }));
}

#[test]
fn step_down_distinguishes_completed_and_timed_out_transfers() {
    let mut leader = SingleNode::leader(3);
    let term = leader.node.term();
    let last = (term, leader.node.last_index());
    leader.handle(Event::Transfer);
    leader.receive(3, append_request(term + 1, last, vec![], 0));
    let reason = leader.node.last_step_down().map(|step_down| step_down.reason);
    assert_eq!(reason, Some(StepDownReason::Transferred));

    let mut leader = SingleNode::leader(3);
    leader.handle(Event::Transfer);
    while leader.node.is_leader() {
        leader.run_timer();
        if leader.node.is_leader() {
            leader.acknowledge(2);
            leader.acknowledge(3);
        }
    }
    let reason = leader.node.last_step_down().map(|step_down| step_down.reason);
    assert_eq!(reason, Some(StepDownReason::TransferTimedOut));
}
