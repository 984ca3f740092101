//! Inputs and outputs of a [`crate::Node`].

use crate::message::Message;
use crate::types::{Entry, HardState, Index, Member, Membership, NodeId, Snapshot, Term};

/// An input to the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The time returned by [`crate::Node::next_timer`] has been reached.
    Tick,
    /// A message addressed to this identity has arrived. The caller drops messages addressed to another
    /// identity at the same network address.
    Message {
        /// Identity of the sender.
        from: NodeId,
        /// The message.
        message: Message,
    },
    /// Proposes a command for the log. The same call outputs [`Output::Proposed`] or
    /// [`Output::ProposalDropped`].
    Propose {
        /// The command.
        payload: Vec<u8>,
    },
    /// All writes up to and including this ticket are durable. Writes are carried out in the order of their
    /// tickets.
    Persisted {
        /// Ticket from [`Output::Persist`].
        ticket: u64,
    },
    /// A snapshot of the local state machine is durable, so the log may be compacted. See
    /// [`crate::Node::snapshot_meta`].
    SnapshotTaken {
        /// The snapshot.
        snapshot: Snapshot,
    },
    /// A process requests to become a member. Only the leader acts on the request; the process repeats the
    /// request until it is a member.
    Join {
        /// The process that requests to join. Its `voter` field is ignored.
        member: Member,
    },
    /// Transfer leadership to another process, for example before this process shuts down.
    Transfer,
    /// The connection to another process broke. Messages in flight may be lost.
    PeerDisconnected {
        /// The process at the other end of the connection.
        peer: NodeId,
    },
    /// A connection to a previously connected process was refused: either that process has exited, or a
    /// packet filter on the path refuses the connection. This is only a hint. If the peer was the leader,
    /// this process campaigns as soon as the leader's lease must have expired, without a random election
    /// timeout. The event itself does not end a lease.
    PeerDown {
        /// The process.
        peer: NodeId,
    },
}

/// An action that the caller must carry out. Outputs are carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message. If the receiver is no longer a member, the caller uses a connection on which that
    /// identity has sent messages before, or drops the message.
    Send {
        /// Identity of the receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// Make this write durable, then pass in [`Event::Persisted`]. Writes are carried out one after the
    /// other. The parts of a write are carried out in this order: hard state, truncation, snapshot (entries
    /// up to its index may be dropped), entries. After a crash, only a prefix of these parts may be durable.
    Persist {
        /// Increases by one with each write.
        ticket: u64,
        /// The new term and vote, if they changed.
        hard_state: Option<HardState>,
        /// Entries from this index on are removed before `entries` are appended.
        truncate_from: Option<Index>,
        /// Entries to append.
        entries: Vec<Entry>,
        /// A snapshot received from the leader.
        snapshot: Option<Snapshot>,
    },
    /// The command proposed in this call was appended at this index. The command is committed if and only if
    /// the entry committed at this index has this term.
    Proposed {
        /// Index of the entry.
        index: Index,
        /// The leader's term.
        term: Term,
    },
    /// The command proposed in this call was not accepted because this process is not the leader, is
    /// transferring leadership, or leads a new group that may not accept its first command yet.
    ProposalDropped,
    /// Newly committed entries, in log order. Each entry is output once per run of the process.
    Commit {
        /// The entries.
        entries: Vec<Entry>,
    },
    /// Replace the state of the state machine by this snapshot. The next [`Output::Commit`] continues after
    /// the snapshot.
    Restore {
        /// The snapshot to restore.
        snapshot: Snapshot,
    },
    /// The known leader has changed, or there is no known leader any more.
    LeaderChanged {
        /// The new leader.
        leader: Option<NodeId>,
        /// Term of the leader, or the highest known term if there is no leader.
        term: Term,
    },
    /// This process is the leader, and every entry committed in earlier terms has been output by
    /// [`Output::Commit`]. Commands may be proposed from now on. In a group without commands, all voters are
    /// confirmed at this point.
    BecameLeader {
        /// Term of the leader.
        term: Term,
    },
    /// This process has stopped being the leader. It may not have output [`Output::BecameLeader`] before.
    SteppedDown,
    /// A new membership has taken effect.
    MembershipChanged {
        /// The new membership.
        membership: Membership,
    },
    /// The group has removed this identity. The process may request to join again.
    Removed,
}
