//! Follower side of snapshot transfer: receives a snapshot in chunks and installs it.

use std::sync::Arc;

use crate::incoming_snapshot::IncomingSnapshot;
use crate::interface::Output;
use crate::log::Log;
use crate::memberships::Memberships;
use crate::message::{Message, SnapshotChunk, SnapshotReply};
use crate::node::Node;
use crate::types::{Index, NodeId, Snapshot, SnapshotMeta};

impl Node {
    pub(crate) fn on_snapshot_chunk(&mut self, from: NodeId, chunk: SnapshotChunk, out: &mut Vec<Output>) {
        if !self.accept_leader(from, chunk.term, out) {
            self.reject_stale_leader(from, chunk.term, chunk.leader_clock, out);
            return;
        }
        let (last_index, leader_clock, total) = (chunk.last_index, chunk.leader_clock, chunk.total);
        if last_index <= self.commit {
            self.incoming_snapshot = None;
            self.reply_to_chunk(from, last_index, total, leader_clock, out);
            return;
        }
        let received = self.add_chunk(from, &chunk);
        if received == total {
            self.install_snapshot(chunk, out);
        }
        self.reply_to_chunk(from, last_index, received, leader_clock, out);
    }

    /// Adds a chunk to the incoming snapshot. Returns the number of bytes received so far.
    fn add_chunk(&mut self, from: NodeId, chunk: &SnapshotChunk) -> u64 {
        let begun = self.incoming_snapshot.take().filter(|incoming| incoming.includes(from, chunk));
        let mut incoming = begun.unwrap_or_else(|| IncomingSnapshot::new(from, chunk));
        let received = incoming.add(chunk);
        self.incoming_snapshot = Some(incoming);
        received
    }

    fn install_snapshot(&mut self, chunk: SnapshotChunk, out: &mut Vec<Output>) {
        let Some(incoming) = self.incoming_snapshot.take() else { return };
        let (index, term) = (chunk.last_index, chunk.last_term);
        let meta = SnapshotMeta { index, term, membership: chunk.membership };
        let snapshot = Snapshot { meta, data: Arc::new(incoming.into_data()) };
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
        self.report_removal(out);
    }

    fn reply_to_chunk(
        &mut self,
        to: NodeId,
        last_index: Index,
        received: u64,
        leader_clock: u64,
        out: &mut Vec<Output>,
    ) {
        let term = self.hard_state.term;
        let reply = SnapshotReply { term, received, last_index, leader_clock };
        self.durability.send_after(self.hard_state_ticket, to, Message::SnapshotReply(reply), out);
    }
}
