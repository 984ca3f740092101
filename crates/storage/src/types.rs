//! Data types that callers pass to the store and receive from it.

use std::sync::Arc;

/// The node that owns this disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Identity {
    /// Identifier of the node.
    pub node_id: u64,
}

/// The term and vote of a node, which must survive every restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct HardState {
    /// The highest term that the node has seen.
    pub term: u64,
    /// The node that received this node's vote in `term`.
    pub vote: Option<u64>,
}

/// One entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredEntry {
    /// Position in the log, counted from 1.
    pub index: u64,
    /// Term of the leader that created the entry.
    pub term: u64,
    /// Type tag of the payload. The store does not interpret it.
    pub kind: u8,
    /// Content of the entry. The store does not interpret it.
    pub payload: Vec<u8>,
}

/// State of the replicated state machine after applying the entry at `index`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredSnapshot {
    /// Index of the last entry that the snapshot covers.
    pub index: u64,
    /// Term of the entry at `index`.
    pub term: u64,
    /// The membership as of `index`, encoded by the caller.
    pub membership: Vec<u8>,
    /// The state, encoded by the caller.
    pub data: Arc<Vec<u8>>,
}

/// Changes that are written and synced together, in the order of the fields.
///
/// A power loss during the write may leave any prefix of the changes on the disk.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WriteBatch {
    /// The new hard state, if it changes.
    pub hard_state: Option<HardState>,
    /// Entries from this index on are removed before `entries` are appended. Entries that the snapshot covers
    /// are not affected.
    pub truncate_from: Option<u64>,
    /// Entries to append to the log.
    pub entries: Vec<StoredEntry>,
}

/// State that [`Store::open`](crate::Store::open) recovered from the disk.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Recovered {
    /// The node that owns the disk; `None` if no identity has been written.
    pub identity: Option<Identity>,
    /// The last durable term and vote.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<StoredSnapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<StoredEntry>,
}

/// Settings of a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreOptions {
    /// Size in bytes from which a segment is full: the next batch starts a new segment.
    pub segment_bytes: u64,
}

impl Default for StoreOptions {
    fn default() -> Self {
        StoreOptions { segment_bytes: DEFAULT_SEGMENT_BYTES }
    }
}

const DEFAULT_SEGMENT_BYTES: u64 = 4 << 20;
