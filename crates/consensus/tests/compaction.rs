//! Tests of the entries that stay in memory after compaction, and of followers that receive a snapshot while
//! the log grows.

mod support;

use consensus::{Event, Message, Node, Output, Payload, Snapshot, SnapshotReply};
use std::sync::Arc;
use support::cluster::{Cluster, MILLISECOND, SECOND};
use support::single::{append_rejection, sent, SingleNode};

const LARGE: usize = 300 * 1024;

/// The leader of a group of two that has committed this many large entries.
fn leader_of_large_entries(count: usize) -> SingleNode {
    let mut leader = SingleNode::leader(2);
    for _ in 0..count {
        leader.handle(Event::Propose { payload: vec![1; LARGE] });
        leader.persist();
        leader.acknowledge(2);
    }
    leader
}

fn take_snapshot(leader: &mut SingleNode) -> u64 {
    let index = leader.node.commit_index();
    let meta = leader.node.snapshot_meta(index).expect("the entry is committed");
    let data = Arc::new(vec![7; 200 * 1024]);
    leader.handle(Event::SnapshotTaken { snapshot: Snapshot { meta, data } });
    index
}

fn retained_entries_of(node: &Node) -> u64 {
    let last = node.last_index();
    (1..=last).filter(|index| node.snapshot_meta(*index).is_some()).count() as u64
}

#[test]
fn compaction_limits_retained_entries_by_size() {
    let mut leader = leader_of_large_entries(100);
    assert!(retained_entries_of(&leader.node) > 100);
    take_snapshot(&mut leader);
    let retained = retained_entries_of(&leader.node);
    assert!((2..=8).contains(&retained), "{retained} entries of 300 KiB are retained");
}

#[test]
fn retains_entries_after_a_snapshot_in_transfer() {
    let mut leader = leader_of_large_entries(20);
    let sent_index = take_snapshot(&mut leader);
    leader.wait(10);
    leader.handle(Event::PeerDisconnected { peer: 2 });
    let refusal = append_rejection(leader.node.term(), 2, leader.now);
    let outputs = leader.receive(2, refusal);
    let is_chunk = |(_, message): &(u64, Message)| matches!(message, Message::SnapshotChunk(_));
    assert!(sent(&outputs).iter().any(is_chunk), "the follower needs the snapshot: {:?}", sent(&outputs));
    for _ in 0..20 {
        leader.handle(Event::Propose { payload: vec![2; LARGE] });
        leader.persist();
    }
    assert!(leader.node.snapshot_meta(sent_index).is_some());
}

#[test]
fn follower_on_a_slow_link_needs_only_one_snapshot() {
    let mut cluster = Cluster::started(3, 3, 4);
    cluster.configure = |options| {
        options.retained_entries = 2;
        options.retained_bytes_for_followers = 1024 * 1024;
        options.snapshot_chunk_bytes = 8;
    };
    (0..3).for_each(|slot| cluster.lose_power(slot));
    (0..3).for_each(|slot| cluster.start(slot));
    cluster.run_for(2 * SECOND);
    cluster.keep_history = true;
    let behind = (cluster.leader().expect("a leader") + 1) % 3;
    cluster.lose_power(behind);
    for _ in 0..60 {
        assert!(cluster.propose(20));
        cluster.run_for(50 * MILLISECOND);
    }
    cluster.clear_history();
    cluster.start(behind);
    // The transfer takes forty round trips. Meanwhile the log grows enough for more than two further
    // snapshots.
    for _ in 0..200 {
        assert!(cluster.propose(20));
        cluster.run_for(2 * MILLISECOND);
    }
    cluster.run_for(500 * MILLISECOND);
    let restored = |output: &&Output| matches!(output, Output::Restore { .. });
    assert_eq!(cluster.history(behind).iter().filter(restored).count(), 1);
    assert_eq!(cluster.node(behind).map(Node::commit_index), Some(cluster.oracle.last_committed()));
}

fn snapshot_replies(outputs: &[Output]) -> Vec<SnapshotReply> {
    let reply = |(_, message)| match message {
        Message::SnapshotReply(reply) => Some(reply),
        _ => None,
    };
    sent(outputs).into_iter().filter_map(reply).collect()
}

fn restored_snapshots(outputs: Vec<Output>) -> Vec<Snapshot> {
    let snapshot = |output| match output {
        Output::Restore { snapshot } => Some(snapshot),
        _ => None,
    };
    outputs.into_iter().filter_map(snapshot).collect()
}

#[test]
fn chunks_that_are_lost_duplicated_or_from_another_leader_never_corrupt_a_snapshot() {
    let mut follower = SingleNode::founder(3);
    let meta = consensus::SnapshotMeta { index: 50, term: 4, membership: support::single::voters(3) };
    let data: Vec<u8> = (0..100).collect();
    let chunk = |from: u64, term: u64, offset: usize, byte_shift: u8| {
        let bytes: Vec<u8> = data[offset..offset + 25].iter().map(|byte| byte + byte_shift).collect();
        let chunk = consensus::SnapshotChunk {
            term,
            last_index: meta.index,
            last_term: meta.term,
            membership: meta.membership.clone(),
            offset: offset as u64,
            total: 100,
            data: bytes,
            leader_clock: 1,
        };
        (from, Message::SnapshotChunk(chunk))
    };
    let script = [
        chunk(2, 4, 0, 0),
        chunk(2, 4, 0, 0),
        chunk(2, 4, 50, 0),
        chunk(2, 4, 25, 0),
        // Another leader sends a different encoding of the same state, which must not be mixed with the first
        // one.
        chunk(3, 5, 0, 100),
        chunk(2, 4, 50, 0),
        chunk(3, 5, 25, 100),
        chunk(3, 5, 25, 100),
        chunk(3, 5, 75, 100),
        chunk(3, 5, 50, 100),
        chunk(2, 4, 75, 0),
        chunk(3, 5, 75, 100),
    ];
    let mut restored = Vec::new();
    let mut replies: Vec<SnapshotReply> = Vec::new();
    for (from, message) in script {
        let mut outputs = follower.receive(from, message);
        outputs.extend(follower.persist());
        replies.extend(snapshot_replies(&outputs));
        restored.extend(restored_snapshots(outputs));
    }
    let expected: Vec<u8> = data.iter().map(|byte| byte + 100).collect();
    assert_eq!(restored.len(), 1);
    assert_eq!(*restored[0].data, expected);
    let of_second: Vec<u64> =
        replies.iter().filter(|reply| reply.term == 5).map(|reply| reply.received).collect();
    assert_eq!(of_second, [25, 50, 50, 50, 75, 100]);
    let entry = consensus::Entry { index: 51, term: 5, payload: Payload::Noop };
    let outputs = follower.receive(3, support::single::append_request(5, (4, 50), vec![entry], 50));
    assert!(!outputs.is_empty(), "the log continues after the snapshot");
}

#[test]
fn does_not_mix_two_snapshots_from_one_leader() {
    let mut follower = SingleNode::founder(3);
    let mut restored = Vec::new();
    // The second snapshot starts after a quarter of the first has been received.
    for (index, offset, byte) in [(50, 0, 1), (70, 0, 2), (70, 25, 2), (70, 50, 2), (70, 75, 2)] {
        let chunk = consensus::SnapshotChunk {
            term: 4,
            last_index: index,
            last_term: 4,
            membership: support::single::voters(3),
            offset,
            total: 100,
            data: vec![byte; 25],
            leader_clock: 1,
        };
        let outputs = follower.receive(2, Message::SnapshotChunk(chunk));
        follower.persist();
        restored.extend(outputs.into_iter().filter_map(|output| match output {
            Output::Restore { snapshot } => Some(snapshot),
            _ => None,
        }));
    }
    assert_eq!(restored.len(), 1);
    assert_eq!((restored[0].meta.index, restored[0].data.as_slice()), (70, [2; 100].as_slice()));
}

fn snapshot_chunk(term: u64, index: u64, last_term: u64, data: Vec<u8>) -> Message {
    Message::SnapshotChunk(consensus::SnapshotChunk {
        term,
        last_index: index,
        last_term,
        membership: support::single::voters(3),
        offset: 0,
        total: data.len() as u64,
        data,
        leader_clock: 1,
    })
}

#[test]
fn old_snapshot_does_not_replace_newer_entries() {
    let mut follower = SingleNode::founder(3);
    let entries = (2..=9).map(|index| support::single::entry(index, 2)).collect();
    follower.receive(2, support::single::append_request(2, (1, 1), entries, 9));
    follower.persist();
    assert_eq!((follower.node.commit_index(), follower.node.last_index()), (9, 9));
    for index in [5, 9] {
        let outputs = follower.receive(2, snapshot_chunk(2, index, 2, vec![1; 10]));
        assert!(!outputs.iter().any(|output| matches!(output, Output::Restore { .. })), "up to {index}");
        assert_eq!((follower.node.commit_index(), follower.node.last_index()), (9, 9));
    }
}

#[test]
fn rejects_a_snapshot_from_a_stale_leader_with_the_higher_term() {
    let mut follower = SingleNode::founder(3);
    follower.receive(2, support::single::append_request(5, (1, 1), vec![], 1));
    follower.persist();
    let outputs = follower.receive(3, snapshot_chunk(4, 50, 4, vec![1; 10]));
    assert!(!outputs.iter().any(|output| matches!(output, Output::Restore { .. })));
    let is_rejection = |message: &Message| {
        matches!(
            message,
            Message::AppendReply(reply) if reply.term == 5 && !reply.success
        )
    };
    assert!(sent(&outputs).iter().any(|(to, message)| *to == 3 && is_rejection(message)));
}

#[test]
fn leader_forwards_a_snapshot_that_it_received() {
    let mut node = SingleNode::founder(3);
    node.receive(2, snapshot_chunk(2, 50, 2, vec![4; 10]));
    node.persist();
    node.win_election(&[3]);
    node.persist();
    node.acknowledge(3);
    let outputs = node.receive(2, append_rejection(node.node.term(), 2, node.now));
    let chunk = |message: Message| match message {
        Message::SnapshotChunk(chunk) => Some(chunk),
        _ => None,
    };
    let chunk =
        sent(&outputs).into_iter().find_map(|(_, message)| chunk(message)).expect("a chunk of the snapshot");
    assert_eq!((chunk.last_index, chunk.data), (50, vec![4; 10]));
}

#[test]
fn acknowledges_a_snapshot_only_once_it_is_durable() {
    let mut follower = SingleNode::founder(3);
    follower.receive(2, support::single::append_request(2, (1, 1), vec![], 1));
    follower.persist();
    follower.receive(2, snapshot_chunk(2, 50, 2, vec![1; 10]));
    let is_acknowledged = |outputs: &[Output]| {
        let counts =
            |message: &Message| matches!(message, Message::AppendReply(reply) if reply.match_index >= 50);
        sent(outputs).iter().any(|(_, message)| counts(message))
    };
    let outputs = follower.receive(2, support::single::append_request(2, (2, 50), vec![], 50));
    assert!(!is_acknowledged(&outputs), "the snapshot is not durable yet");
    assert!(is_acknowledged(&follower.persist()));
}
