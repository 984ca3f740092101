//! One core process as a member of the group.

use serde::{Deserialize, Serialize};

/// What a core process does in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProcessRole {
    /// It leads, and its lease is in force.
    Leader,
    /// It was elected but cannot confirm, or not yet, that it leads.
    LeaderWithoutLease,
    /// A voter that follows.
    Follower,
    /// It replicates the log and has no vote yet.
    Learner,
    /// It is not a member: it asks to join.
    Joining,
}

/// A member as the answering process knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct MemberEntry {
    /// Its identity, hex.
    pub id: String,
    /// Where it listens for other processes.
    pub address: String,
    /// Where its operator's API is.
    pub control: String,
    /// Whether it votes.
    pub voter: bool,
}

/// The state of one core process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ProcessStatus {
    /// `NodeId` of its settings.
    pub node_name: String,
    /// Its identity, hex.
    pub id: String,
    /// What it does in the group.
    pub role: ProcessRole,
    /// The newest term it knows.
    pub term: u64,
    /// The leader it knows of, hex; none while there is an election.
    pub leader: Option<String>,
    /// The leader's `Control` address.
    pub leader_control: Option<String>,
    /// How much longer its lease lasts, in milliseconds; 0 unless it leads.
    pub lease_left_ms: u64,
    /// Entries of the log up to here are committed, as far as it knows.
    pub commit_index: u64,
    /// Entries up to here are applied.
    pub applied_index: u64,
    /// The last entry of its log.
    pub last_index: u64,
    /// The last entry that its newest snapshot covers.
    pub snapshot_index: u64,
    /// The configuration in force, as far as it has applied the log; 0 for none.
    pub configuration_version: u64,
    /// Jobs that have not ended.
    pub open_jobs: u64,
    /// Jobs that are known, ended ones included.
    pub known_jobs: u64,
    /// Whether it was asked to stop.
    pub stopping: bool,
    /// Why it knows no leader that takes commands, in the words of its log; none if it knows one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leadership_obstacle: Option<String>,
    /// All members, voters and learners.
    pub members: Vec<MemberEntry>,
}

/// Leadership is being handed over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TransferStart {
    /// The leader that gives it away, hex.
    pub from: String,
    /// Its term; the next leader's is higher.
    pub term: u64,
}

/// A snapshot was asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct SnapshotStart {
    /// The process that takes it, hex.
    pub id: String,
    /// The last entry that it will cover.
    pub index: u64,
    /// False if the newest snapshot covers all entries already, so that none is taken.
    pub begun: bool,
}
