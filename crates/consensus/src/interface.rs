//! What goes into a [`crate::Node`] and what comes out: events and outputs.

use crate::message::Message;
use crate::types::{Entry, HardState, Index, Member, Membership, NodeId, Snapshot, Term};

/// What happened at this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The time of [`crate::Node::next_timer`] has come.
    Tick,
    /// A message that is addressed to this identity has arrived. The driver drops those for another identity at the
    /// same address.
    Message {
        /// Who sent it.
        from: NodeId,
        /// The message.
        message: Message,
    },
    /// Bytes for the log. Results in [`Output::Proposed`] or [`Output::ProposalDropped`] in the same call.
    Propose {
        /// The command.
        payload: Vec<u8>,
    },
    /// All writes up to this ticket are durable. Writes are carried out in the order of their tickets.
    Persisted {
        /// Ticket of [`Output::Persist`].
        ticket: u64,
    },
    /// A snapshot of the state machine is durable: the log may be compacted. See [`crate::Node::snapshot_meta`].
    SnapshotTaken {
        /// The snapshot.
        snapshot: Snapshot,
    },
    /// A process asks to become a member. Has an effect at the leader only; the process repeats it until it is a member.
    Join {
        /// The process; `voter` is ignored.
        member: Member,
    },
    /// Transfer leadership to another process (before this one stops).
    Transfer,
    /// The connection to another process broke. Messages in flight may be lost.
    PeerDisconnected {
        /// The process at the other end of the connection.
        peer: NodeId,
    },
    /// Nothing listens at the address of a process that was connected before: its process has ended, or a filter on
    /// the way answers for it. A hint: if it led, this process campaigns as soon as the lease must have
    /// expired, without a random election timeout. It ends no lease.
    PeerDown {
        /// The process.
        peer: NodeId,
    },
}

/// What the driver is to do, in the order of the outputs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message. The receiver may be no member any more: then the driver uses a connection on which that identity
    /// has sent, or drops the message.
    Send {
        /// To whom.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// Make this durable, then hand in [`Event::Persisted`]. Writes are carried out one after the other, and
    /// within a write: hard state, truncation, snapshot (entries up to its index may be dropped), entries. A crash may
    /// leave the first few of these.
    Persist {
        /// Increases by one with each write.
        ticket: u64,
        /// Term and vote, if they changed.
        hard_state: Option<HardState>,
        /// Entries from here on are removed first.
        truncate_from: Option<Index>,
        /// Entries to append.
        entries: Vec<Entry>,
        /// A snapshot that came from the leader.
        snapshot: Option<Snapshot>,
    },
    /// The proposal of this call is in the log at this index. It is committed if and only if this index is committed
    /// with this term.
    Proposed {
        /// Its index.
        index: Index,
        /// The leader's term.
        term: Term,
    },
    /// The proposal of this call was not accepted: this process does not lead, transfers leadership, or leads a group
    /// without commands that may not take the first one yet.
    ProposalDropped,
    /// Entries that are committed, in order, each once in an incarnation.
    Commit {
        /// The entries.
        entries: Vec<Entry>,
    },
    /// Replace the state machine's state by this; the next [`Output::Commit`] continues it.
    Restore {
        /// The state.
        snapshot: Snapshot,
    },
    /// Another leader, or none, is known.
    LeaderChanged {
        /// The leader.
        leader: Option<NodeId>,
        /// Its term, or the newest known.
        term: Term,
    },
    /// This process leads, and [`Output::Commit`] has covered all that was committed before. Commands may be proposed
    /// from here on: all voters that a group without commands wants are confirmed.
    BecameLeader {
        /// Its term.
        term: Term,
    },
    /// This process stepped down, perhaps before it came to [`Output::BecameLeader`].
    SteppedDown,
    /// Other members are in force.
    MembershipChanged {
        /// The members.
        membership: Membership,
    },
    /// The group has removed this identity. The process may ask to join again.
    Removed,
}
