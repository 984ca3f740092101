//! Conversion between consensus messages and wire messages.
//!
//! Most fields have the same name and type on both sides. Each conversion still names all fields, so that the
//! compiler reports a field that one side lacks.

use consensus::{
    AppendReply, AppendRequest, Entry, Message, NodeId, SnapshotChunk, SnapshotReply, TimeoutNow, VoteReply,
    VoteRequest,
};
use log_records::{membership_from_wire, membership_to_wire, payload_from_bytes, payload_to_bytes};
use messages::peer;
use messages::peer::mod_ConsensusMessage::OneOfkind;
use messages::FrameError;

/// Builds a struct by copying the fields of the same name from a value of another type. Fields after `;` are
/// set as `name = value`.
macro_rules! copy_fields {
    ($from:ident => $($to:ident)::+ { $($same:ident),+ $(; $($other:ident = $value:expr),+)? }) => {
        $($to)::+ { $($same: $from.$same,)+ $($($other: $value,)+)? }
    };
}

/// Converts a consensus message from `from` to `to` to its wire message.
pub fn message_to_wire(from: NodeId, to: NodeId, message: Message) -> peer::ConsensusMessage {
    let kind = match message {
        Message::VoteRequest(vote) => OneOfkind::vote_request(copy_fields!(
            vote => peer::VoteRequest { term, last_index, last_term, pre_vote, transfer, unanimous }
        )),
        Message::VoteReply(reply) => OneOfkind::vote_reply(copy_fields!(
            reply => peer::VoteReply { term, granted, pre_vote }
        )),
        Message::AppendRequest(append) => OneOfkind::append_request(append_request_to_wire(append)),
        Message::AppendReply(reply) => OneOfkind::append_reply(copy_fields!(
            reply => peer::AppendReply { term, success, match_index, conflict_index; round = reply.leader_clock }
        )),
        Message::SnapshotChunk(chunk) => OneOfkind::snapshot_chunk(snapshot_chunk_to_wire(chunk)),
        Message::SnapshotReply(reply) => OneOfkind::snapshot_reply(copy_fields!(
            reply => peer::SnapshotReply { term, received, last_index; round = reply.leader_clock }
        )),
        Message::TimeoutNow(timeout) => OneOfkind::timeout_now(copy_fields!(
            timeout => peer::TimeoutNow { term }
        )),
    };
    peer::ConsensusMessage { from, to, kind }
}

/// Converts a received consensus message; `None` if this version does not know its kind.
///
/// # Errors
///
/// Fails if the payload of an entry cannot be decoded.
pub fn message_from_wire(kind: OneOfkind) -> Result<Option<Message>, FrameError> {
    Ok(Some(match kind {
        OneOfkind::vote_request(vote) => Message::VoteRequest(copy_fields!(
            vote => VoteRequest { term, last_index, last_term, pre_vote, transfer, unanimous }
        )),
        OneOfkind::vote_reply(reply) => Message::VoteReply(copy_fields!(
            reply => VoteReply { term, granted, pre_vote }
        )),
        OneOfkind::append_request(append) => Message::AppendRequest(append_request_from_wire(append)?),
        OneOfkind::append_reply(reply) => Message::AppendReply(copy_fields!(
            reply => AppendReply { term, success, match_index, conflict_index; leader_clock = reply.round }
        )),
        OneOfkind::snapshot_chunk(chunk) => Message::SnapshotChunk(snapshot_chunk_from_wire(chunk)),
        OneOfkind::snapshot_reply(reply) => Message::SnapshotReply(copy_fields!(
            reply => SnapshotReply { term, received, last_index; leader_clock = reply.round }
        )),
        OneOfkind::timeout_now(timeout) => Message::TimeoutNow(copy_fields!(
            timeout => TimeoutNow { term }
        )),
        OneOfkind::None => return Ok(None),
    }))
}

fn append_request_to_wire(append: AppendRequest) -> peer::AppendRequest {
    let entries = append.entries.into_iter().map(entry_to_wire).collect();
    copy_fields!(append => peer::AppendRequest {
        term, previous_index, previous_term, commit; entries = entries, round = append.leader_clock
    })
}

fn append_request_from_wire(append: peer::AppendRequest) -> Result<AppendRequest, FrameError> {
    let entries = append.entries.into_iter().map(entry_from_wire).collect::<Result<_, _>>()?;
    Ok(copy_fields!(append => AppendRequest {
        term, previous_index, previous_term, commit; entries = entries, leader_clock = append.round
    }))
}

fn snapshot_chunk_to_wire(chunk: SnapshotChunk) -> peer::SnapshotChunk {
    let membership = Some(membership_to_wire(&chunk.membership));
    copy_fields!(chunk => peer::SnapshotChunk {
        term, last_index, last_term, offset, total, data; round = chunk.leader_clock, membership = membership
    })
}

fn snapshot_chunk_from_wire(chunk: peer::SnapshotChunk) -> SnapshotChunk {
    let membership = membership_from_wire(chunk.membership.unwrap_or_default());
    copy_fields!(chunk => SnapshotChunk {
        term, last_index, last_term, offset, total, data; leader_clock = chunk.round, membership = membership
    })
}

fn entry_to_wire(entry: Entry) -> peer::LogEntry {
    let (kind, payload) = payload_to_bytes(entry.payload);
    copy_fields!(entry => peer::LogEntry { index, term; kind = kind, payload = payload })
}

fn entry_from_wire(entry: peer::LogEntry) -> Result<Entry, FrameError> {
    let payload = payload_from_bytes(entry.kind, entry.payload)?;
    Ok(copy_fields!(entry => Entry { index, term; payload = payload }))
}
