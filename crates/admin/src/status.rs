//! The status of a core process, and the answers to its commands.

use serde::{Deserialize, Serialize};

/// The role of a core process in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProcessRole {
    /// The leader, with a valid lease.
    Leader,
    /// Elected as leader, but without a valid lease at the moment.
    LeaderWithoutLease,
    /// A voter that is not the leader.
    Follower,
    /// A member that replicates the log and does not vote yet.
    Learner,
    /// Not a member; it asks to join.
    Joining,
}

/// A member of the group as known to the answering process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct MemberEntry {
    /// Identity in hex.
    pub id: String,
    /// Peer address.
    pub address: String,
    /// `Control` address, where the operator's API is served.
    pub control: String,
    /// Whether the member votes.
    pub voter: bool,
}

/// The status of a core process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ProcessStatus {
    /// `NodeId` of its settings.
    pub node_name: String,
    /// Identity in hex.
    pub id: String,
    /// Role in the group.
    pub role: ProcessRole,
    /// The highest term that the process knows.
    pub term: u64,
    /// Identity of the known leader in hex; none during an election.
    pub leader: Option<String>,
    /// The leader's `Control` address.
    pub leader_control: Option<String>,
    /// Remaining time of its leader lease in milliseconds; 0 unless it leads.
    pub lease_left_ms: u64,
    /// Index of the last log entry that the process knows to be committed.
    pub commit_index: u64,
    /// Index of the last applied log entry.
    pub applied_index: u64,
    /// Index of the last entry in its log.
    pub last_index: u64,
    /// Index of the last entry that its newest snapshot covers.
    pub snapshot_index: u64,
    /// Version of the configuration in force at `applied_index`; 0 for none.
    pub configuration_version: u64,
    /// Number of jobs that have not ended.
    pub open_jobs: u64,
    /// Number of known jobs, including ended ones.
    pub known_jobs: u64,
    /// Whether the process was asked to stop.
    pub stopping: bool,
    /// Why the process knows no leader that accepts commands, worded as in its log; none if it knows one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leadership_obstacle: Option<String>,
    /// All members, voters and learners.
    pub members: Vec<MemberEntry>,
}

/// The answer to a request to transfer leadership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TransferStart {
    /// Identity of the leader that transfers leadership, in hex.
    pub from: String,
    /// Term of that leader; the term of the next leader is higher.
    pub term: u64,
}

/// The answer to a request to take a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct SnapshotStart {
    /// Identity of the process that takes the snapshot, in hex.
    pub id: String,
    /// Index of the last entry that the snapshot covers.
    pub index: u64,
    /// Whether a snapshot was started; false if the newest snapshot already covers all entries.
    pub begun: bool,
}
