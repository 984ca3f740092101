//! Plain types of the replicated log: members, entries, snapshots and what a disk gives back.

use std::sync::Arc;

/// Identity of a process. It lasts as long as the disk that stores it; a process with an empty disk draws a new one.
pub type NodeId = u64;
/// Number of an election. Each has a higher one than the one before; at most one leader is elected in a term.
pub type Term = u64;
/// Position of an entry in the log, counted from 1; 0 is before the first.
pub type Index = u64;

/// Term of the entry that [`crate::Node::bootstrap`] writes. No leader is ever elected in it.
pub const BOOTSTRAP_TERM: Term = 1;
/// Position of that entry.
pub(crate) const BOOTSTRAP_INDEX: Index = 1;

/// A process of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Identity of the process.
    pub id: NodeId,
    /// Where the other processes reach it, `ip:port`.
    pub address: String,
    /// Where it serves the operator's API, `ip:port`.
    pub control: String,
    /// Whether it counts for majorities. A learner, which does not, only receives the log.
    pub voter: bool,
}

/// The processes of the group. A membership is in force from the moment its entry is appended, and again the one
/// before it if that entry is truncated. Successive memberships differ by at most one voter, so that any two majorities
/// of them have a voter in common.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Membership {
    /// The members in the order in which they joined.
    pub members: Vec<Member>,
}

impl Membership {
    /// The member with this identity.
    pub fn member(&self, id: NodeId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Whether the identity is a member, voter or learner.
    pub fn contains(&self, id: NodeId) -> bool {
        self.member(id).is_some()
    }

    /// Whether the identity is a voter.
    pub fn is_voter(&self, id: NodeId) -> bool {
        self.member(id).is_some_and(|member| member.voter)
    }

    /// Identities of the voters.
    pub fn voters(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.members.iter().filter(|member| member.voter).map(|member| member.id)
    }

    /// The least number of voters that is a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// A copy without the member of this identity.
    pub fn without(&self, id: NodeId) -> Membership {
        let members = self.members.iter().filter(|member| member.id != id).cloned().collect();
        Membership { members }
    }

    /// A copy in which the member of this identity is a voter.
    pub fn with_voter(&self, id: NodeId) -> Membership {
        let mut copy = self.clone();
        for member in copy.members.iter_mut().filter(|member| member.id == id) {
            member.voter = true;
        }
        copy
    }

    /// A copy in which the member of this identity is a learner.
    pub fn without_vote_of(&self, id: NodeId) -> Membership {
        let mut copy = self.clone();
        for member in copy.members.iter_mut().filter(|member| member.id == id) {
            member.voter = false;
        }
        copy
    }

    /// A copy with this member as a learner. Learners of another identity at its address are removed; a member of its
    /// own identity keeps its vote and gets the new addresses.
    pub fn with_learner(&self, joiner: &Member) -> Membership {
        let voter = self.is_voter(joiner.id);
        let remains =
            |member: &&Member| member.id != joiner.id && (member.voter || member.address != joiner.address);
        let mut members: Vec<Member> = self.members.iter().filter(remains).cloned().collect();
        members.push(Member { voter, ..joiner.clone() });
        Membership { members }
    }
}

/// What an entry contains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// First entry of a leader: once it is committed, so is all before it.
    Noop,
    /// Bytes for the state machine.
    Command(Vec<u8>),
    /// A change of members.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its position.
    pub index: Index,
    /// Term of the leader that made it.
    pub term: Term,
    /// What it contains.
    pub payload: Payload,
}

/// Approximate bytes of an entry beside its payload, for bounds on batches.
const ENTRY_OVERHEAD_BYTES: usize = 32;
/// Approximate bytes of a member, for bounds on batches.
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

/// What must be durable before a vote or an acknowledgement is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// The newest term seen.
    pub term: Term,
    /// The process that this one voted for in that term.
    pub vote: Option<NodeId>,
}

/// The point of the log at which a snapshot was taken.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SnapshotMeta {
    /// The last entry it includes.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// The members as of that entry.
    pub membership: Membership,
}

/// State of the state machine as of one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The point of the log at which it was taken.
    pub meta: SnapshotMeta,
    /// The state, opaque here.
    pub data: Arc<Vec<u8>>,
}

/// What a disk gave back at start. All of it is durable.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Restored {
    /// Term and vote.
    pub hard_state: HardState,
    /// The newest snapshot. The caller has restored its state machine from it already.
    pub snapshot: Option<Snapshot>,
    /// Entries without gaps. They may begin before the snapshot's end.
    pub entries: Vec<Entry>,
}
