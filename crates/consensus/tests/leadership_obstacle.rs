//! Tests of the reported reasons why no leader accepts commands.

mod support;

use consensus::{Event, LeadershipObstacle, Node, Options, Restored};
use support::cluster::SECOND;
use support::single::{vote_reply, voters, SingleNode};

fn obstacle_of(single: &SingleNode) -> Option<LeadershipObstacle> {
    single.node.leadership_obstacle()
}

#[test]
fn reports_which_votes_are_missing() {
    let mut single = SingleNode::founder(5);
    single.wait(600);
    single.handle(Event::Tick);
    single.receive(2, vote_reply(2, true, true));
    single.receive(3, vote_reply(1, false, true));
    let expected = LeadershipObstacle::VotesMissing {
        needed: 3,
        granted: vec![1, 2],
        rejected: vec![3],
        unanswered: vec![4, 5],
    };
    assert_eq!(obstacle_of(&single), Some(expected.clone()));
    let text = "obstacle=votes-missing needed=3 granted=1,2 rejected=3 unanswered=4,5";
    assert_eq!(expected.to_string(), text);
    // The next election has no replies yet.
    single.wait(600);
    single.handle(Event::Tick);
    assert_eq!(obstacle_of(&single), Some(expected));
}

#[test]
fn reports_unconfirmed_voters_of_a_new_group() {
    let mut single = SingleNode::founder(3);
    single.win_election(&[2]);
    single.persist();
    single.acknowledge(2);
    let expected = LeadershipObstacle::VotersUnconfirmed { wanted: 3, voters: 3, unconfirmed: vec![3] };
    assert_eq!(obstacle_of(&single), Some(expected));
    single.acknowledge(3);
    assert_eq!(obstacle_of(&single), None);
}

#[test]
fn reports_a_process_without_membership_as_no_member() {
    let node = Node::new(Options::new(7), Restored::default(), SECOND, 1);
    assert_eq!(node.leadership_obstacle(), Some(LeadershipObstacle::NotMember));
}

#[test]
fn reports_a_learner_that_does_not_campaign() {
    let mut membership = voters(4);
    membership.members[0].voter = false;
    let single = SingleNode::restored(Node::bootstrap(membership));
    assert_eq!(obstacle_of(&single), Some(LeadershipObstacle::Learner));
}
