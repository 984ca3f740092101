//! Hashes the outputs of core and edge processes.

use consensus::{AppendRequest, Entry, Message, SnapshotChunk, VoteRequest};
use data_plane::upstream::UpstreamOutput;
use log_records::{member_to_wire, membership_to_wire, payload_to_bytes};
use messages::encode;

use super::{worker_calls, DayDigest};
use crate::core_process::{CoreFrame, CoreOutput, OperatorReply};

/// Hashes an output of a core process.
pub(super) fn core_output(digest: &mut DayDigest, output: &CoreOutput) {
    match output {
        CoreOutput::ToCore { machine, frame } => {
            digest.numbers(&[1, *machine as u64]);
            core_frame(digest, frame);
        }
        CoreOutput::Notice { connection, notice } => {
            digest.numbers(&[2, *connection]);
            digest.bytes(&encode(notice));
        }
        CoreOutput::Reply { connection, reply } => {
            digest.numbers(&[3, *connection]);
            digest.bytes(&encode(reply));
        }
        CoreOutput::Pong { connection, number } => digest.numbers(&[4, *connection, *number]),
        CoreOutput::Operator { call, reply } => {
            digest.numbers(&[5, *call]);
            operator_reply(digest, reply);
        }
        CoreOutput::Call { term, call, address, instance, request } => {
            digest.numbers(&[6, *term, call.worker, call.call]);
            digest.text(address);
            digest.text(instance);
            worker_calls::request(digest, request);
        }
        CoreOutput::CancelCall { term, call } => digest.numbers(&[7, *term, call.worker, call.call]),
        CoreOutput::ReadInstances { term } => digest.numbers(&[8, *term]),
        CoreOutput::DiskBegins => digest.number(9),
        CoreOutput::DiskRetries => digest.number(10),
        CoreOutput::Removed => digest.number(11),
        CoreOutput::Stopped => digest.number(12),
        // The reason is a text for people and is not hashed.
        CoreOutput::Failed(_) => digest.number(13),
    }
}

fn operator_reply(digest: &mut DayDigest, reply: &OperatorReply) {
    match reply {
        OperatorReply::Accepted => digest.number(1),
        OperatorReply::Body(body) => {
            digest.number(2);
            digest.bytes(body);
        }
        OperatorReply::Conflict => digest.number(3),
        OperatorReply::Invalid => digest.number(4),
        OperatorReply::Redirect(machine) => digest.numbers(&[5, *machine as u64]),
        OperatorReply::Unavailable => digest.number(6),
    }
}

fn core_frame(digest: &mut DayDigest, frame: &CoreFrame) {
    match frame {
        CoreFrame::Consensus { from, to, message } => {
            digest.numbers(&[1, *from, *to]);
            consensus_message(digest, message);
        }
        CoreFrame::Join(member) => {
            digest.number(2);
            digest.bytes(&encode(&member_to_wire(member)));
        }
        CoreFrame::Notice(notice) => {
            digest.number(3);
            digest.bytes(&encode(notice));
        }
    }
}

fn consensus_message(digest: &mut DayDigest, message: &Message) {
    match message {
        Message::VoteRequest(request) => vote_request(digest, request),
        Message::VoteReply(reply) => {
            digest.numbers(&[2, reply.term, u64::from(reply.granted), u64::from(reply.pre_vote)]);
        }
        Message::AppendRequest(request) => append_request(digest, request),
        Message::AppendReply(reply) => {
            digest.numbers(&[4, reply.term, u64::from(reply.success)]);
            digest.numbers(&[reply.match_index, reply.conflict_index, reply.leader_clock]);
        }
        Message::SnapshotChunk(chunk) => snapshot_chunk(digest, chunk),
        Message::SnapshotReply(reply) => {
            digest.numbers(&[6, reply.term, reply.received, reply.last_index, reply.leader_clock]);
        }
        Message::TimeoutNow(request) => digest.numbers(&[7, request.term]),
    }
}

fn vote_request(digest: &mut DayDigest, request: &VoteRequest) {
    digest.numbers(&[1, request.term, request.last_index, request.last_term]);
    digest.flag(request.pre_vote);
    digest.flag(request.transfer);
    digest.flag(request.unanimous);
}

fn append_request(digest: &mut DayDigest, request: &AppendRequest) {
    digest.numbers(&[3, request.term, request.previous_index, request.previous_term]);
    digest.numbers(&[request.commit, request.leader_clock]);
    digest.each(&request.entries, entry);
}

fn snapshot_chunk(digest: &mut DayDigest, chunk: &SnapshotChunk) {
    digest.numbers(&[5, chunk.term, chunk.last_index, chunk.last_term]);
    digest.numbers(&[chunk.offset, chunk.total, chunk.leader_clock]);
    digest.bytes(&encode(&membership_to_wire(&chunk.membership)));
    digest.bytes(&chunk.data);
}

fn entry(digest: &mut DayDigest, entry: &Entry) {
    let (kind, payload) = payload_to_bytes(entry.payload.clone());
    digest.numbers(&[entry.index, entry.term, kind as u64]);
    digest.bytes(&payload);
}

/// Hashes an output of an edge process.
pub(super) fn edge_output(digest: &mut DayDigest, output: &UpstreamOutput) {
    match output {
        UpstreamOutput::Connect { connection, address } => {
            digest.numbers(&[1, *connection]);
            digest.text(&address.to_string());
        }
        UpstreamOutput::Close { connection } => digest.numbers(&[2, *connection]),
        UpstreamOutput::Send { connection, bytes } => {
            digest.numbers(&[3, *connection]);
            digest.bytes(bytes);
        }
        UpstreamOutput::Answer { token, reply } => {
            digest.numbers(&[4, *token]);
            digest.bytes(&encode(reply));
        }
        UpstreamOutput::ReadSeeds => digest.number(5),
    }
}
