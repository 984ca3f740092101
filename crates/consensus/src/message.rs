//! Messages between the processes of a group.

use crate::types::{Entry, Index, Membership, Term};

/// RequestVote of the Raft paper: a candidate asks for a vote or, with `pre_vote`, whether it would get one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoteRequest {
    /// Term of the election. For a pre-vote, the term in which the candidate would campaign.
    pub term: Term,
    /// Index of the candidate's last log entry.
    pub last_index: Index,
    /// Term of that entry.
    pub last_term: Term,
    /// Whether this is a pre-vote, which does not change the receiver's term or vote.
    pub pre_vote: bool,
    /// Whether the leader requested this election by a leadership transfer. The leader's lease has then
    /// already ended.
    pub transfer: bool,
    /// Whether the candidate needs the votes of all voters to win. A process that leads or follows a leader
    /// rejects such a request, so the candidate does not have to wait for a lease to expire.
    pub unanimous: bool,
}

/// Reply to a [`VoteRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoteReply {
    /// The requested term if the vote is granted, otherwise the receiver's term.
    pub term: Term,
    /// Whether the vote is granted.
    pub granted: bool,
    /// Whether this is the reply to a pre-vote.
    pub pre_vote: bool,
}

/// AppendEntries of the Raft paper: entries from the leader, or a heartbeat if there are none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppendRequest {
    /// The leader's term.
    pub term: Term,
    /// Index of the entry immediately before `entries`.
    pub previous_index: Index,
    /// Term of that entry.
    pub previous_term: Term,
    /// The entries that follow `previous_index`.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub commit: Index,
    /// The leader's monotonic clock when it sent the message, in nanoseconds. The reply echoes this value,
    /// and the leader's lease is counted from it.
    pub leader_clock: u64,
}

/// Reply to an [`AppendRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppendReply {
    /// The receiver's term.
    pub term: Term,
    /// Whether the receiver's log contains the entry at `previous_index` with the same term.
    pub success: bool,
    /// On success: the receiver's entries up to this index match the leader's and are durable.
    pub match_index: Index,
    /// On failure: the index of the entry that the leader should send next, or 0 if the leader's term is
    /// stale.
    pub conflict_index: Index,
    /// `leader_clock` of the request, echoed.
    pub leader_clock: u64,
}

/// InstallSnapshot of the Raft paper: a chunk of a snapshot. A chunk without data asks how much of the
/// snapshot the receiver has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotChunk {
    /// The leader's term.
    pub term: Term,
    /// Index of the last entry that the snapshot includes.
    pub last_index: Index,
    /// Term of that entry.
    pub last_term: Term,
    /// The membership as of that entry.
    pub membership: Membership,
    /// Offset of `data` in the snapshot, in bytes.
    pub offset: u64,
    /// Size of the complete snapshot, in bytes.
    pub total: u64,
    /// The bytes of the snapshot starting at `offset`.
    pub data: Vec<u8>,
    /// The leader's monotonic clock when it sent the message, in nanoseconds. The reply echoes this value,
    /// and the leader's lease is counted from it.
    pub leader_clock: u64,
}

/// Reply to a [`SnapshotChunk`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotReply {
    /// The receiver's term.
    pub term: Term,
    /// Number of contiguous bytes of this snapshot that the receiver has.
    pub received: u64,
    /// Index of the last entry that the snapshot includes.
    pub last_index: Index,
    /// `leader_clock` of the chunk, echoed.
    pub leader_clock: u64,
}

/// The leader asks a follower that has the leader's complete log to campaign immediately (leadership
/// transfer).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimeoutNow {
    /// The leader's term.
    pub term: Term,
}

/// A message between processes of the group. Messages may be lost, duplicated, delayed and reordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// See [`VoteRequest`].
    VoteRequest(VoteRequest),
    /// See [`VoteReply`].
    VoteReply(VoteReply),
    /// See [`AppendRequest`].
    AppendRequest(AppendRequest),
    /// See [`AppendReply`].
    AppendReply(AppendReply),
    /// See [`SnapshotChunk`].
    SnapshotChunk(SnapshotChunk),
    /// See [`SnapshotReply`].
    SnapshotReply(SnapshotReply),
    /// See [`TimeoutNow`].
    TimeoutNow(TimeoutNow),
}

/// Upper limit (exclusive) for received terms and indexes. No correct process reaches this value.
const TERM_AND_INDEX_LIMIT: u64 = 1 << 62;

impl Message {
    /// Whether the term and index are low enough that arithmetic on them cannot overflow.
    pub(crate) fn is_plausible(&self) -> bool {
        let (term, index) = match self {
            Message::VoteRequest(request) => (request.term, request.last_index),
            Message::VoteReply(reply) => (reply.term, 0),
            Message::AppendRequest(request) => (request.term, request.previous_index),
            Message::AppendReply(reply) => (reply.term, 0),
            Message::SnapshotChunk(chunk) => (chunk.term, chunk.last_index),
            Message::SnapshotReply(reply) => (reply.term, 0),
            Message::TimeoutNow(request) => (request.term, 0),
        };
        term < TERM_AND_INDEX_LIMIT && index < TERM_AND_INDEX_LIMIT
    }
}
