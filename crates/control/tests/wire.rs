//! Messages and entries are unchanged after conversion to bytes and back.

use consensus::{Entry, HardState, Member, Membership, Message, Payload, Restored, Snapshot, SnapshotMeta};
use control::wire;
use messages::peer::ConsensusMessage;
use messages::{decode, encode};
use quickcheck::{quickcheck, Arbitrary, Gen};
use std::sync::Arc;
use storage::Recovered;

#[derive(Debug, Clone)]
struct AnyMessage(Message);

#[derive(Debug, Clone)]
struct AnyEntry(Entry);

fn membership(generator: &mut Gen) -> Membership {
    let members = (0..u8::arbitrary(generator) % 4).map(|_| Member {
        id: u64::arbitrary(generator),
        address: String::arbitrary(generator),
        control: String::arbitrary(generator),
        voter: bool::arbitrary(generator),
    });
    Membership { members: members.collect() }
}

impl Arbitrary for AnyEntry {
    fn arbitrary(generator: &mut Gen) -> Self {
        let payload = match u8::arbitrary(generator) % 3 {
            0 => Payload::Noop,
            1 => Payload::Command(Vec::arbitrary(generator)),
            _ => Payload::Membership(membership(generator)),
        };
        AnyEntry(Entry { index: u64::arbitrary(generator), term: u64::arbitrary(generator), payload })
    }
}

fn append_request(generator: &mut Gen) -> Message {
    Message::AppendRequest(consensus::AppendRequest {
        term: u64::arbitrary(generator),
        previous_index: u64::arbitrary(generator),
        previous_term: u64::arbitrary(generator),
        entries: Vec::<AnyEntry>::arbitrary(generator).into_iter().map(|entry| entry.0).collect(),
        commit: u64::arbitrary(generator),
        leader_clock: u64::arbitrary(generator),
    })
}

fn append_reply(generator: &mut Gen) -> Message {
    Message::AppendReply(consensus::AppendReply {
        term: u64::arbitrary(generator),
        success: bool::arbitrary(generator),
        match_index: u64::arbitrary(generator),
        conflict_index: u64::arbitrary(generator),
        leader_clock: u64::arbitrary(generator),
    })
}

fn chunk(generator: &mut Gen) -> Message {
    Message::SnapshotChunk(consensus::SnapshotChunk {
        term: u64::arbitrary(generator),
        last_index: u64::arbitrary(generator),
        last_term: u64::arbitrary(generator),
        membership: membership(generator),
        offset: u64::arbitrary(generator),
        total: u64::arbitrary(generator),
        data: Vec::arbitrary(generator),
        leader_clock: u64::arbitrary(generator),
    })
}

fn small_message(kind: u8, generator: &mut Gen) -> Message {
    let term = u64::arbitrary(generator);
    match kind {
        0 => Message::VoteRequest(consensus::VoteRequest {
            term,
            last_index: u64::arbitrary(generator),
            last_term: u64::arbitrary(generator),
            pre_vote: bool::arbitrary(generator),
            transfer: bool::arbitrary(generator),
            unanimous: bool::arbitrary(generator),
        }),
        1 => Message::VoteReply(consensus::VoteReply {
            term,
            granted: bool::arbitrary(generator),
            pre_vote: bool::arbitrary(generator),
        }),
        2 => Message::SnapshotReply(consensus::SnapshotReply {
            term,
            received: u64::arbitrary(generator),
            last_index: u64::arbitrary(generator),
            leader_clock: u64::arbitrary(generator),
        }),
        _ => Message::TimeoutNow(consensus::TimeoutNow { term }),
    }
}

impl Arbitrary for AnyMessage {
    fn arbitrary(generator: &mut Gen) -> Self {
        AnyMessage(match u8::arbitrary(generator) % 7 {
            4 => append_request(generator),
            5 => append_reply(generator),
            6 => chunk(generator),
            kind => small_message(kind, generator),
        })
    }
}

quickcheck! {
    fn messages_survive_wire_conversion(from: u64, to: u64, message: AnyMessage) -> bool {
        let bytes = encode(&wire::message_to_wire(from, to, message.0.clone()));
        let wire: ConsensusMessage = decode(&bytes).expect("a message");
        let ends = (wire.from, wire.to);
        let back = wire::message_from_wire(wire.kind).expect("a proper message");
        ends == (from, to) && back == Some(message.0)
    }

    fn logs_survive_storage_conversion(entries: Vec<AnyEntry>, index: u64, term: u64, vote: Option<u64>, data: Vec<u8>) -> bool {
        let entries: Vec<Entry> = entries.into_iter().map(|entry| entry.0).collect();
        let membership = membership(&mut Gen::new(8));
        let snapshot = Snapshot { meta: SnapshotMeta { index, term, membership }, data: Arc::new(data) };
        let hard_state = HardState { term, vote };
        let recovered = Recovered {
            identity: None,
            hard_state: log_records::hard_state_to_stored(&hard_state),
            snapshot: Some(log_records::snapshot_to_stored(&snapshot)),
            entries: entries.iter().cloned().map(log_records::entry_to_stored).collect(),
        };
        let expected = Restored { hard_state, snapshot: Some(snapshot), entries };
        log_records::restored_from_stored(recovered) == Ok(expected)
    }

    fn arbitrary_bytes_do_not_panic(bytes: Vec<u8>) -> bool {
        if let Ok(wire) = decode::<ConsensusMessage>(&bytes) {
            let _ = wire::message_from_wire(wire.kind);
        }
        true
    }
}
