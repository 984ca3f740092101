//! Snapshots that come from the leader in chunks.

use std::sync::Arc;

use crate::interface::{Message, Output, SnapshotChunk, SnapshotReply};
use crate::log::Log;
use crate::memberships::Memberships;
use crate::node::Node;
use crate::types::{Index, NodeId, Snapshot, SnapshotMeta, Term};

/// A snapshot of which a part has arrived.
#[derive(Clone, Debug)]
pub(crate) struct IncomingSnapshot {
    from: NodeId,
    last_index: Index,
    last_term: Term,
    total: u64,
    data: Vec<u8>,
}

impl IncomingSnapshot {
    fn is_of(&self, from: NodeId, chunk: &SnapshotChunk) -> bool {
        let same_place = self.last_index == chunk.last_index && self.last_term == chunk.last_term;
        self.from == from && same_place && self.total == chunk.total
    }
}

impl Node {
    pub(crate) fn on_snapshot_chunk(&mut self, from: NodeId, chunk: SnapshotChunk, out: &mut Vec<Output>) {
        if !self.hear_leader(from, chunk.term, out) {
            self.refuse_old_leader(from, chunk.term, chunk.round, out);
            return;
        }
        let (last_index, round, total) = (chunk.last_index, chunk.round, chunk.total);
        if last_index <= self.commit {
            self.incoming = None;
            self.reply_to_chunk(from, last_index, total, round, out);
            return;
        }
        let received = self.receive(from, &chunk);
        if received == total {
            self.install(chunk, out);
        }
        self.reply_to_chunk(from, last_index, received, round, out);
    }

    /// Adds a chunk to what has arrived and returns how much that is.
    fn receive(&mut self, from: NodeId, chunk: &SnapshotChunk) -> u64 {
        if !self.incoming.as_ref().is_some_and(|incoming| incoming.is_of(from, chunk)) {
            self.incoming = Some(IncomingSnapshot {
                from,
                last_index: chunk.last_index,
                last_term: chunk.last_term,
                total: chunk.total,
                data: Vec::new(),
            });
        }
        let Some(incoming) = &mut self.incoming else { return 0 };
        let received = incoming.data.len() as u64;
        let fits = received.saturating_add(chunk.data.len() as u64) <= chunk.total;
        if chunk.offset == received && fits {
            incoming.data.extend_from_slice(&chunk.data);
        }
        incoming.data.len() as u64
    }

    fn install(&mut self, chunk: SnapshotChunk, out: &mut Vec<Output>) {
        let Some(incoming) = self.incoming.take() else { return };
        let (index, term) = (chunk.last_index, chunk.last_term);
        let meta = SnapshotMeta { index, term, membership: chunk.membership };
        let snapshot = Snapshot { meta, data: Arc::new(incoming.data) };
        let keeps_log = self.log.term_at(index) == Some(term);
        let before = self.membership().clone();
        self.durability.add_snapshot(snapshot.clone(), keeps_log);
        if keeps_log {
            self.log.compact_to(index);
            self.memberships.compact_to(index);
        } else {
            self.log = Log::new(index, term);
            self.memberships = Memberships::new(index, snapshot.meta.membership.clone());
        }
        self.commit = index;
        self.snapshot = Some(snapshot.clone());
        out.push(Output::Restore { snapshot });
        if *self.membership() != before {
            let membership = self.membership().clone();
            self.was_member |= membership.contains(self.options.id);
            out.push(Output::MembershipChanged { membership });
        }
        self.tell_removal(out);
    }

    fn reply_to_chunk(
        &mut self,
        to: NodeId,
        last_index: Index,
        received: u64,
        round: u64,
        out: &mut Vec<Output>,
    ) {
        let term = self.hard_state.term;
        let reply = SnapshotReply { term, received, last_index, round };
        self.durability.send_after(self.hard_state_ticket, to, Message::SnapshotReply(reply), out);
    }
}
