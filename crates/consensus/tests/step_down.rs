//! What a process says of how its leadership ended.

mod support;

use consensus::{Event, StepDownReason};
use support::cluster::MILLISECOND;
use support::single::{append_reply, append_request, Single};

#[test]
fn a_process_that_never_led_has_no_step_down() {
    assert_eq!(Single::founder(3).node.last_step_down(), None);
    assert_eq!(Single::leader(3).node.last_step_down(), None);
}

#[test]
fn a_leader_without_a_majority_names_that_and_when_it_last_heard_one() {
    let mut leader = Single::leader(3);
    let term = leader.node.term();
    let heard_at = leader.now;
    leader.receive(2, append_reply(term, leader.node.last_index(), heard_at));
    let lease_until = leader.node.lease_until();
    while leader.node.is_leader() {
        leader.run_timer();
    }
    let step_down = leader.node.last_step_down().expect("it stepped down");
    assert_eq!((step_down.term, step_down.reason), (term, StepDownReason::QuorumLost));
    assert_eq!((step_down.quorum_contact_at, step_down.lease_until), (heard_at, lease_until));
    assert_eq!(lease_until, heard_at + 141 * MILLISECOND);
}

#[test]
fn a_leader_that_hears_of_a_higher_term_names_it() {
    let mut leader = Single::leader(3);
    let term = leader.node.term();
    let last = (term, leader.node.last_index());
    leader.receive(3, append_request(term + 2, last, vec![], 0));
    let step_down = leader.node.last_step_down().expect("it stepped down");
    assert_eq!((step_down.term, step_down.reason), (term, StepDownReason::HigherTerm { term: term + 2 }));
}

#[test]
fn a_transfer_is_told_apart_from_a_lost_election_and_from_one_that_timed_out() {
    let mut leader = Single::leader(3);
    let term = leader.node.term();
    let last = (term, leader.node.last_index());
    leader.handle(Event::Transfer);
    leader.receive(3, append_request(term + 1, last, vec![], 0));
    let reason = leader.node.last_step_down().map(|step_down| step_down.reason);
    assert_eq!(reason, Some(StepDownReason::Transferred));

    let mut leader = Single::leader(3);
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
