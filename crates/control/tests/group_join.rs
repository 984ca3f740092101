//! A process outside the group requests to join until it is a member, and reads the seeds again if no member
//! names a leader.

use control::group_join::{GroupJoin, JoinStep, MemberStatus};
use messages::peer::{LeaderNotice, Member, Membership};
use std::net::SocketAddr;

const OWN_ID: u64 = 77;
const OWN: &str = "10.0.0.1:7660";
const MS: u64 = 1_000_000;

const NOT_MEMBER: MemberStatus = MemberStatus { is_member: false, knows_leader: false };
const MEMBER_WITH_LEADER: MemberStatus = MemberStatus { is_member: true, knows_leader: true };
const MEMBER_WITHOUT_LEADER: MemberStatus = MemberStatus { is_member: true, knows_leader: false };

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

fn group_join() -> GroupJoin {
    GroupJoin::new(OWN_ID, OWN, vec![address(OWN), address("10.0.0.2:7660")], 0)
}

fn notice(members: &[(u64, &str)], leader_id: u64) -> LeaderNotice {
    let member =
        |(id, address): &(u64, &str)| Member { id: *id, address: (*address).to_owned(), ..Member::default() };
    let members = members.iter().map(member).collect();
    LeaderNotice { term: 3, leader_id, membership: Some(Membership { members }), ..LeaderNotice::default() }
}

#[test]
fn join_requests_repeat_at_intervals_until_membership() {
    let mut group_join = group_join();
    assert_eq!(group_join.poll(0, NOT_MEMBER), JoinStep::RequestJoin);
    assert_eq!(group_join.poll(100 * MS, NOT_MEMBER), JoinStep::Wait);
    assert_eq!(group_join.next_timer(NOT_MEMBER), 300 * MS);
    assert_eq!(group_join.poll(300 * MS, NOT_MEMBER), JoinStep::RequestJoin);
    assert_eq!(group_join.poll(600 * MS, MEMBER_WITH_LEADER), JoinStep::Wait);
    assert_eq!(group_join.next_timer(MEMBER_WITH_LEADER), u64::MAX);
}

#[test]
fn contacts_are_seeds_and_members_except_itself() {
    let mut group_join = group_join();
    group_join.handle_leader_notice(0, &notice(&[(2, "10.0.0.2:7660"), (3, "10.0.0.3:7660"), (4, OWN)], 2));
    assert_eq!(group_join.contacts(), [address("10.0.0.2:7660"), address("10.0.0.3:7660")]);
}

#[test]
fn listed_process_delays_its_next_request() {
    let mut group_join = group_join();
    assert_eq!(group_join.poll(0, NOT_MEMBER), JoinStep::RequestJoin);
    group_join.handle_leader_notice(10 * MS, &notice(&[(OWN_ID, OWN)], 2));
    assert_eq!(group_join.poll(400 * MS, NOT_MEMBER), JoinStep::Wait);
    assert_eq!(group_join.poll(2_010 * MS, NOT_MEMBER), JoinStep::RequestJoin);
}

#[test]
fn listing_without_a_leader_does_not_delay_requests() {
    let mut group_join = group_join();
    assert_eq!(group_join.poll(0, NOT_MEMBER), JoinStep::RequestJoin);
    group_join.handle_leader_notice(10 * MS, &notice(&[(OWN_ID, OWN)], 0));
    assert_eq!(group_join.poll(300 * MS, NOT_MEMBER), JoinStep::RequestJoin);
}

#[test]
fn settings_are_reloaded_without_a_leader() {
    let mut group_join = group_join();
    assert_eq!(group_join.poll(3_000 * MS, NOT_MEMBER), JoinStep::ReloadSettings);
    group_join.set_seeds(vec![address("10.0.0.9:7660")]);
    assert_eq!(group_join.poll(3_000 * MS, NOT_MEMBER), JoinStep::RequestJoin);
    assert_eq!(group_join.contacts(), [address("10.0.0.9:7660")]);
}

#[test]
fn member_without_a_leader_requests_to_join_after_a_timeout() {
    let mut group_join = group_join();
    assert_eq!(group_join.poll(1_000 * MS, MEMBER_WITH_LEADER), JoinStep::Wait);
    assert_eq!(group_join.poll(3_900 * MS, MEMBER_WITHOUT_LEADER), JoinStep::Wait);
    assert_eq!(group_join.poll(4_000 * MS, MEMBER_WITHOUT_LEADER), JoinStep::ReloadSettings);
    assert_eq!(group_join.poll(4_000 * MS, MEMBER_WITHOUT_LEADER), JoinStep::RequestJoin);
}
