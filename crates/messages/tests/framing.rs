//! Framing: frames arrive in chunks of any size, and no input causes a panic.

use messages::{decode, encode, encode_frame, job, peer, FrameError, FrameReader, MAX_FRAME_BYTES};
use quickcheck::{quickcheck, QuickCheck};

fn ping(number: u64) -> peer::PeerFrame {
    peer::PeerFrame { body: peer::mod_PeerFrame::OneOfbody::ping(peer::Ping { number }) }
}

quickcheck! {
    fn frames_are_reassembled_from_chunks_of_any_size(numbers: Vec<u64>, size: usize) -> bool {
        let mut bytes = Vec::new();
        numbers.iter().for_each(|number| encode_frame(&ping(*number), &mut bytes));
        let mut reader = FrameReader::new();
        let mut seen = Vec::new();
        for chunk in bytes.chunks(size % 7 + 1) {
            reader.buffer().extend_from_slice(chunk);
            while let Some(frame) = reader.next_frame().unwrap() {
                seen.push(decode::<peer::PeerFrame>(&frame).unwrap());
            }
        }
        seen == numbers.into_iter().map(ping).collect::<Vec<_>>()
    }

    fn arbitrary_bytes_never_cause_a_panic(bytes: Vec<u8>) -> bool {
        let _ = decode::<peer::PeerFrame>(&bytes);
        let _ = decode::<job::CommandBatch>(&bytes);
        let _ = decode::<job::SchedulerSnapshot>(&bytes);
        true
    }
}

#[test]
fn frame_longer_than_maximum_is_rejected() {
    let mut reader = FrameReader::new();
    let length = MAX_FRAME_BYTES as u32 + 1;
    reader.buffer().extend_from_slice(&length.to_le_bytes());
    assert_eq!(reader.next_frame(), Err(FrameError::TooLong(MAX_FRAME_BYTES + 1)));
}

#[test]
fn message_without_frame_round_trips() {
    let batch = job::CommandBatch { commands: vec![job::Command::default()] };
    assert_eq!(decode::<job::CommandBatch>(&encode(&batch)).unwrap(), batch);
}

#[test]
fn nested_message_that_ends_beyond_its_parent_is_rejected() {
    let malformed = [178, 0, 1, 189, 0];
    assert!(matches!(decode::<peer::ConsensusMessage>(&malformed), Err(FrameError::Malformed(_))));
}

#[test]
fn nested_message_cannot_read_bytes_of_its_parent() {
    let member = peer::Member { address: "10.0.0.1:9".to_owned(), ..Default::default() };
    let membership = peer::Membership { members: vec![member.clone(), member] };
    let mut bytes = encode(&membership);
    assert_eq!(decode::<peer::Membership>(&bytes), Ok(membership));
    bytes[1] += 1;
    assert!(matches!(decode::<peer::Membership>(&bytes), Err(FrameError::Malformed(_))));
}

#[test]
fn generated_code_uses_bounded_reading_of_nested_messages() {
    for source in [include_str!("../src/generated/job.rs"), include_str!("../src/generated/peer.rs")] {
        assert!(!source.contains(".read_message"), "run the sed command that src/lib.rs describes");
    }
}

/// Maximum number of changed bytes per frame. With more changes, little of the frame remains valid.
const MAX_MUTATIONS: usize = 4;

/// One change of a frame: the offset of a byte (modulo the length) and the new value.
type Mutation = (usize, u8);

fn mutate(bytes: &mut Vec<u8>, mutations: &[Mutation], truncate_to: Option<usize>) {
    let length = bytes.len();
    for (offset, byte) in mutations.iter().take(MAX_MUTATIONS) {
        bytes[offset % length] = *byte;
    }
    if let Some(truncate_to) = truncate_to {
        bytes.truncate(truncate_to % length);
    }
}

/// Valid messages with up to four levels of nesting.
fn valid_messages(number: u64, text: &str) -> [Vec<u8>; 3] {
    let member = peer::Member { id: number, address: text.to_owned(), ..Default::default() };
    let membership = peer::Membership { members: vec![member.clone(), member] };
    let chunk =
        peer::SnapshotChunk { membership: Some(membership.clone()), total: number, ..Default::default() };
    let kind = peer::mod_ConsensusMessage::OneOfkind::snapshot_chunk(chunk);
    let message = peer::ConsensusMessage { from: number, to: 2, kind };
    let body = peer::mod_PeerFrame::OneOfbody::consensus(message.clone());
    [encode(&peer::PeerFrame { body }), encode(&message), encode(&membership)]
}

#[test]
fn mutated_frames_never_cause_a_panic() {
    fn property(number: u64, text: String, mutations: Vec<Mutation>, truncate_to: Option<usize>) -> bool {
        for mut bytes in valid_messages(number, &text) {
            mutate(&mut bytes, &mutations, truncate_to);
            let _ = decode::<peer::PeerFrame>(&bytes);
            let _ = decode::<peer::ConsensusMessage>(&bytes);
            let _ = decode::<peer::Membership>(&bytes);
            let _ = decode::<job::CommandBatch>(&bytes);
            let _ = decode::<job::SchedulerSnapshot>(&bytes);
        }
        true
    }
    let property = property as fn(u64, String, Vec<Mutation>, Option<usize>) -> bool;
    QuickCheck::new().tests(20_000).max_tests(20_000).quickcheck(property);
}
