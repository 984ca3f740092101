//! Data types of the replicated log: members, entries, snapshots and the state restored from disk.

use std::sync::Arc;

/// Identity of a process. The identity is stored on the process's disk; a process that starts with an empty
/// disk draws a new random identity.
pub type NodeId = u64;
/// Raft term. Every election uses a higher term than the previous one, and at most one leader is elected per
/// term.
pub type Term = u64;
/// Position of an entry in the log, counted from 1. Index 0 denotes the position before the first entry.
pub type Index = u64;

/// Term of the entry that [`crate::Node::bootstrap`] writes. No leader is ever elected in this term.
pub const BOOTSTRAP_TERM: Term = 1;
/// Index of the entry that bootstrapping a group writes.
pub(crate) const BOOTSTRAP_INDEX: Index = 1;

/// A process that is a member of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Identity of the process.
    pub id: NodeId,
    /// Address for messages from the other processes, `ip:port`.
    pub address: String,
    /// Address of the operator API, `ip:port`.
    pub control: String,
    /// Whether the member votes and counts towards majorities. A non-voting member (learner) only receives
    /// the log.
    pub voter: bool,
}

/// The members of the group. A membership takes effect as soon as its entry is appended; if that entry is
/// truncated, the previous membership takes effect again. Successive memberships differ by at most one voter,
/// so any majority of one and any majority of the next share a voter.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Membership {
    /// The members, in the order in which they joined.
    pub members: Vec<Member>,
}

impl Membership {
    /// Returns the member with this identity.
    pub fn member(&self, id: NodeId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Whether the identity belongs to a member, either voter or learner.
    pub fn contains(&self, id: NodeId) -> bool {
        self.member(id).is_some()
    }

    /// Whether the identity belongs to a voter.
    pub fn is_voter(&self, id: NodeId) -> bool {
        self.member(id).is_some_and(|member| member.voter)
    }

    /// Identities of the voters.
    pub fn voters(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.members.iter().filter(|member| member.voter).map(|member| member.id)
    }

    /// The smallest number of voters that is a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns a copy without the member with this identity.
    pub fn without(&self, id: NodeId) -> Membership {
        let members = self.members.iter().filter(|member| member.id != id).cloned().collect();
        Membership { members }
    }

    /// Returns a copy in which the member with this identity is a voter.
    pub fn with_voter(&self, id: NodeId) -> Membership {
        let mut copy = self.clone();
        for member in copy.members.iter_mut().filter(|member| member.id == id) {
            member.voter = true;
        }
        copy
    }

    /// Returns a copy in which the member with this identity is a learner.
    pub fn without_vote_of(&self, id: NodeId) -> Membership {
        let mut copy = self.clone();
        for member in copy.members.iter_mut().filter(|member| member.id == id) {
            member.voter = false;
        }
        copy
    }

    /// Returns a copy with this process added as a learner. Learners with another identity at the same
    /// address are removed. If the process is already a member, it keeps its voting right and its addresses
    /// are updated.
    pub fn with_learner(&self, joiner: &Member) -> Membership {
        let voter = self.is_voter(joiner.id);
        let remains =
            |member: &&Member| member.id != joiner.id && (member.voter || member.address != joiner.address);
        let mut members: Vec<Member> = self.members.iter().filter(remains).cloned().collect();
        members.push(Member { voter, ..joiner.clone() });
        Membership { members }
    }
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// First entry of a new leader. Committing it commits all entries before it.
    Noop,
    /// A command for the state machine, as opaque bytes.
    Command(Vec<u8>),
    /// A membership change: the complete new membership.
    Membership(Membership),
}

/// One log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Position in the log.
    pub index: Index,
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Content of the entry.
    pub payload: Payload,
}

/// Approximate size of an entry without its payload, used to limit the size of batches.
const ENTRY_OVERHEAD_BYTES: usize = 32;
/// Approximate size of one member, used to limit the size of batches.
const MEMBER_BYTES: usize = 64;

impl Entry {
    /// Approximate size on the network and in memory, in bytes.
    pub fn size(&self) -> usize {
        let payload = match &self.payload {
            Payload::Noop => 0,
            Payload::Command(bytes) => bytes.len(),
            Payload::Membership(membership) => membership.members.len() * MEMBER_BYTES,
        };
        ENTRY_OVERHEAD_BYTES + payload
    }
}

/// Raft's persistent term and vote. They must be durable before a vote or an acknowledgement is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// The highest term seen.
    pub term: Term,
    /// The candidate that this process voted for in this term.
    pub vote: Option<NodeId>,
}

/// Position in the log at which a snapshot was taken.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SnapshotMeta {
    /// Index of the last entry that the snapshot includes.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// The membership as of that entry.
    pub membership: Membership,
}

/// Snapshot of the state machine as of one log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Position in the log at which the snapshot was taken.
    pub meta: SnapshotMeta,
    /// The serialized state, opaque to this crate.
    pub data: Arc<Vec<u8>>,
}

/// State restored from disk at startup. All of it is durable.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Restored {
    /// Durable term and vote.
    pub hard_state: HardState,
    /// The latest snapshot. The caller has already restored its state machine from this snapshot.
    pub snapshot: Option<Snapshot>,
    /// Log entries without gaps. The first ones may already be included in the snapshot.
    pub entries: Vec<Entry>,
}
