//! A snapshot that is being received in chunks.

use crate::message::SnapshotChunk;
use crate::types::{Index, NodeId, Term};

/// A partially received snapshot. All of its bytes come from one leader and one snapshot. A chunk from
/// another leader or of another snapshot starts a new transfer.
#[derive(Clone, Debug)]
pub(crate) struct IncomingSnapshot {
    from: NodeId,
    last_index: Index,
    last_term: Term,
    total: u64,
    data: Vec<u8>,
}

impl IncomingSnapshot {
    /// Starts to receive the snapshot that this chunk belongs to. The chunk's data is not added yet.
    pub fn new(from: NodeId, chunk: &SnapshotChunk) -> IncomingSnapshot {
        IncomingSnapshot {
            from,
            last_index: chunk.last_index,
            last_term: chunk.last_term,
            total: chunk.total,
            data: Vec::new(),
        }
    }

    /// Whether the chunk belongs to this snapshot.
    pub fn includes(&self, from: NodeId, chunk: &SnapshotChunk) -> bool {
        let same_snapshot = self.last_index == chunk.last_index && self.last_term == chunk.last_term;
        self.from == from && same_snapshot && self.total == chunk.total
    }

    /// Adds the chunk's data if it directly follows the received bytes. Returns the number of bytes received
    /// so far.
    pub fn add(&mut self, chunk: &SnapshotChunk) -> u64 {
        let received = self.data.len() as u64;
        let fits = received.saturating_add(chunk.data.len() as u64) <= chunk.total;
        if chunk.offset == received && fits {
            self.data.extend_from_slice(&chunk.data);
        }
        self.data.len() as u64
    }

    /// Returns the received bytes.
    pub fn into_data(self) -> Vec<u8> {
        self.data
    }
}
