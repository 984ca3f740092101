//! Tests with messages that no correct process sends. They may harm the group, but no process may panic.

mod support;

use consensus::{
    AppendReply, AppendRequest, Entry, Event, Member, Message, Output, Payload, SnapshotChunk, SnapshotReply,
};
use quickcheck::{quickcheck, Arbitrary, Gen};
use support::single::{append_rejection, timeout_now, vote_reply, vote_request, voters, SingleNode};

#[derive(Clone, Debug)]
struct HostileEvent {
    event: Event,
    wait_milliseconds: u64,
}

/// Returns mostly small numbers, which are close to the terms and indexes of the process, and some of the
/// largest ones.
fn number(gen: &mut Gen) -> u64 {
    match u8::arbitrary(gen) % 8 {
        0 => u64::arbitrary(gen),
        1 => u64::MAX - u64::from(u8::arbitrary(gen) % 3),
        _ => u64::from(u8::arbitrary(gen) % 8),
    }
}

fn entries(gen: &mut Gen, previous: u64) -> Vec<Entry> {
    let count = u64::from(u8::arbitrary(gen) % 4);
    let mut index = previous;
    let mut entry = || {
        index = if u8::arbitrary(gen) % 16 == 0 { number(gen) } else { index.wrapping_add(1) };
        let payload = match u8::arbitrary(gen) % 4 {
            0 => Payload::Membership(voters(number(gen) % 5)),
            1 => Payload::Noop,
            _ => Payload::Command(vec![1]),
        };
        Entry { index, term: number(gen), payload }
    };
    (0..count).map(|_| entry()).collect()
}

fn message(gen: &mut Gen) -> Message {
    let term = number(gen);
    match u8::arbitrary(gen) % 8 {
        0 => vote_request(term, (number(gen), number(gen)), bool::arbitrary(gen), bool::arbitrary(gen)),
        1 => vote_reply(term, bool::arbitrary(gen), bool::arbitrary(gen)),
        2 => timeout_now(term),
        3 => append_rejection(term, number(gen), number(gen)),
        4 => {
            let (match_index, conflict_index, leader_clock) = (number(gen), number(gen), number(gen));
            Message::AppendReply(AppendReply {
                term,
                success: true,
                match_index,
                conflict_index,
                leader_clock,
            })
        }
        5 => {
            let (received, last_index, leader_clock) = (number(gen), number(gen), number(gen));
            Message::SnapshotReply(SnapshotReply { term, received, last_index, leader_clock })
        }
        6 => Message::SnapshotChunk(SnapshotChunk {
            term,
            last_index: number(gen),
            last_term: number(gen),
            membership: voters(number(gen) % 5),
            offset: number(gen) % 4,
            total: number(gen),
            data: vec![0; (number(gen) % 4) as usize],
            leader_clock: number(gen),
        }),
        _ => {
            let (previous_index, previous_term) = (number(gen), number(gen));
            let entries = entries(gen, previous_index);
            let (commit, leader_clock) = (number(gen), number(gen));
            Message::AppendRequest(AppendRequest {
                term,
                previous_index,
                previous_term,
                entries,
                commit,
                leader_clock,
            })
        }
    }
}

impl Arbitrary for HostileEvent {
    fn arbitrary(gen: &mut Gen) -> HostileEvent {
        let id = number(gen);
        let event = match u8::arbitrary(gen) % 12 {
            0 => Event::Tick,
            1 => Event::Propose { payload: vec![1] },
            2 => Event::Persisted { ticket: number(gen) },
            3 => Event::Join {
                member: Member {
                    id,
                    address: format!("machine-{}", id % 6),
                    control: String::new(),
                    voter: true,
                },
            },
            4 => Event::Transfer,
            5 => Event::PeerDisconnected { peer: id },
            _ => Event::Message { from: id, message: message(gen) },
        };
        HostileEvent { event, wait_milliseconds: u64::from(u8::arbitrary(gen)) }
    }
}

/// Checks the invariants after any event: committed entries are output without gaps, and the tickets of
/// writes increase by one.
fn check(outputs: &[Output], applied: &mut u64, ticket: &mut u64) {
    for output in outputs {
        match output {
            Output::Commit { entries } => {
                for entry in entries {
                    assert_eq!(entry.index, *applied + 1);
                    *applied = entry.index;
                }
            }
            Output::Restore { snapshot } => *applied = snapshot.meta.index,
            Output::Persist { ticket: next, .. } => {
                assert_eq!(*next, *ticket + 1);
                *ticket = *next;
            }
            _ => {}
        }
    }
}

fn check_tolerates(mut single: SingleNode, events: Vec<HostileEvent>) -> bool {
    let (mut applied, mut ticket) = (single.node.commit_index(), single.last_ticket());
    for hostile in events {
        single.wait(hostile.wait_milliseconds);
        let outputs = single.handle(hostile.event);
        check(&outputs, &mut applied, &mut ticket);
        assert_eq!(applied, single.node.commit_index());
        assert!(single.node.commit_index() <= single.node.last_index());
    }
    true
}

quickcheck! {
    fn follower_tolerates_any_message(events: Vec<HostileEvent>) -> bool {
        check_tolerates(SingleNode::founder(3), events)
    }

    fn leader_tolerates_any_message(events: Vec<HostileEvent>) -> bool {
        check_tolerates(SingleNode::leader(3), events)
    }

    fn single_voter_tolerates_any_message(events: Vec<HostileEvent>) -> bool {
        check_tolerates(SingleNode::leader(1), events)
    }
}
