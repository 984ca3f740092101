//! Plain types of the replicated log: members, entries, snapshots and what a disk gives back.

use std::sync::Arc;

/// Identity of a process. It lives as long as the disk that holds it; a process with an empty disk draws a new one.
pub type NodeId = u64;
/// Number of an election. Rises by one with each; at most one leader a term.
pub type Term = u64;
/// Position of an entry in the log, counted from 1; 0 stands before the first.
pub type Index = u64;

/// Term of the entry that [`crate::Node::bootstrap`] writes. No leader is ever elected in it.
pub const BOOTSTRAP_TERM: Term = 1;

/// A process of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Identity of the process.
    pub id: NodeId,
    /// Where the other processes reach it, `ip:port`.
    pub address: String,
    /// Where it serves the operator's API, `ip:port`.
    pub control: String,
    /// Whether it counts for majorities. A learner receives the log only.
    pub voter: bool,
}

/// The processes of the group. In force from the moment the entry that holds it is appended.
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

    /// A copy with this member as a learner. Learners of another identity at its address leave; a member of its own
    /// identity keeps its vote and takes the new addresses.
    pub fn with_learner(&self, joiner: &Member) -> Membership {
        let voter = self.is_voter(joiner.id);
        let stays =
            |member: &&Member| member.id != joiner.id && (member.voter || member.address != joiner.address);
        let mut members: Vec<Member> = self.members.iter().filter(stays).cloned().collect();
        members.push(Member { voter, ..joiner.clone() });
        Membership { members }
    }
}

/// What an entry holds.
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
    /// What it holds.
    pub payload: Payload,
}

/// Rough bytes of an entry beside its payload, for bounds on batches.
const ENTRY_OVERHEAD_BYTES: usize = 32;
/// Rough bytes of a member, for bounds on batches.
const MEMBER_BYTES: usize = 64;

impl Entry {
    /// Rough size on a link and in memory, in bytes.
    pub fn size(&self) -> usize {
        let payload = match &self.payload {
            Payload::Noop => 0,
            Payload::Command(bytes) => bytes.len(),
            Payload::Membership(membership) => membership.members.len() * MEMBER_BYTES,
        };
        ENTRY_OVERHEAD_BYTES + payload
    }
}

/// What must be durable before a vote or an acknowledgement leaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// The newest term seen.
    pub term: Term,
    /// Whom this process voted for in that term.
    pub vote: Option<NodeId>,
}

/// Where in the log a snapshot was taken.
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
    /// Where it was taken.
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
