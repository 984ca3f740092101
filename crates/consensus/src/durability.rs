//! Pending disk writes, and the messages that are held back until these writes are durable.

use std::collections::VecDeque;

use crate::interface::Output;
use crate::message::Message;
use crate::types::{Entry, HardState, Index, NodeId, Snapshot};

/// The next write, as collected during the current call of `handle`.
#[derive(Clone, Debug, Default)]
struct Write {
    hard_state: Option<HardState>,
    truncate_from: Option<Index>,
    entries: Vec<Entry>,
    snapshot: Option<Snapshot>,
}

impl Write {
    fn is_empty(&self) -> bool {
        let parts = self.hard_state.is_some() || self.truncate_from.is_some() || self.snapshot.is_some();
        !parts && self.entries.is_empty()
    }
}

/// A write that has been output and is not durable yet.
#[derive(Clone, Debug)]
struct PendingWrite {
    ticket: u64,
    /// Index up to which the log is durable once this write is durable. A later truncation lowers this index.
    last_index: Index,
    issued_at: u64,
}

/// A message that may be sent once the write with this ticket is durable.
#[derive(Clone, Debug)]
struct PendingMessage {
    ticket: u64,
    to: NodeId,
    message: Message,
}

/// Tracks the tickets of writes and the index up to which the log is durable.
///
/// Writes become durable in the order of their tickets. A message that depends on a write (a vote or an
/// acknowledgement) is stored with the write's ticket and is sent only once that write is durable.
/// `durable_index` never includes an entry that has been truncated since it was written.
#[derive(Clone, Debug, Default)]
pub(crate) struct Durability {
    write: Write,
    last_ticket: u64,
    durable_ticket: u64,
    durable_index: Index,
    pending_writes: VecDeque<PendingWrite>,
    pending_messages: Vec<PendingMessage>,
}

impl Durability {
    /// Creates the state for a log that is durable up to this index at startup.
    pub fn new(durable_index: Index) -> Durability {
        Durability { durable_index, ..Durability::default() }
    }

    /// Index up to which the log is durable.
    pub fn durable_index(&self) -> Index {
        self.durable_index
    }

    /// Ticket of the write that includes everything added so far.
    pub fn ticket(&self) -> u64 {
        self.last_ticket + u64::from(!self.write.is_empty())
    }

    /// Whether the write with this ticket is durable.
    pub fn is_durable(&self, ticket: u64) -> bool {
        ticket <= self.durable_ticket
    }

    pub fn add_hard_state(&mut self, hard_state: HardState) {
        self.write.hard_state = Some(hard_state);
    }

    pub fn add_entry(&mut self, entry: Entry) {
        self.write.entries.push(entry);
    }

    /// Adds a truncation: the entries from this index on are removed.
    pub fn add_truncation(&mut self, from: Index) {
        self.write.entries.retain(|entry| entry.index < from);
        let earlier = self.write.truncate_from.unwrap_or(from);
        self.write.truncate_from = Some(earlier.min(from));
        let last = from.saturating_sub(1);
        self.durable_index = self.durable_index.min(last);
        for pending in &mut self.pending_writes {
            pending.last_index = pending.last_index.min(last);
        }
    }

    /// Adds a snapshot from the leader that replaces the log up to the snapshot's index. `keeps_log` says
    /// whether the entries after this index are kept.
    pub fn add_snapshot(&mut self, snapshot: Snapshot, keeps_log: bool) {
        if !keeps_log {
            // All entries are removed from memory. The disk keeps the entries that the snapshot covers until
            // the snapshot is durable.
            self.add_truncation(1);
            self.write.truncate_from = Some(snapshot.meta.index);
        }
        self.write.snapshot = Some(snapshot);
    }

    /// Records that a snapshot of the local state machine is durable, which makes the log durable up to the
    /// snapshot's index.
    pub fn record_snapshot(&mut self, index: Index) {
        self.durable_index = self.durable_index.max(index);
    }

    /// Outputs everything added so far as one write.
    pub fn flush(&mut self, now: u64, last_index: Index, out: &mut Vec<Output>) {
        if self.write.is_empty() {
            return;
        }
        self.last_ticket += 1;
        let write = std::mem::take(&mut self.write);
        self.pending_writes.push_back(PendingWrite { ticket: self.last_ticket, last_index, issued_at: now });
        out.push(Output::Persist {
            ticket: self.last_ticket,
            hard_state: write.hard_state,
            truncate_from: write.truncate_from,
            entries: write.entries,
            snapshot: write.snapshot,
        });
    }

    /// Records that the writes up to this ticket are durable, and sends the messages that were held back for
    /// them.
    pub fn record_persisted(&mut self, ticket: u64, out: &mut Vec<Output>) {
        let ticket = ticket.min(self.last_ticket);
        self.durable_ticket = self.durable_ticket.max(ticket);
        while let Some(pending) = self.pending_writes.front() {
            if pending.ticket > self.durable_ticket {
                break;
            }
            self.durable_index = self.durable_index.max(pending.last_index);
            self.pending_writes.pop_front();
        }
        self.release_messages(out);
    }

    /// Sends the message immediately if the write with this ticket is durable, otherwise once it is durable.
    pub fn send_after(&mut self, ticket: u64, to: NodeId, message: Message, out: &mut Vec<Output>) {
        if self.is_durable(ticket) {
            out.push(Output::Send { to, message });
            return;
        }
        if let Some(last) = self.pending_messages.last_mut() {
            if last.to == to && last.ticket == ticket && supersedes(&message, &last.message) {
                last.message = message;
                return;
            }
        }
        self.pending_messages.push(PendingMessage { ticket, to, message });
    }

    fn release_messages(&mut self, out: &mut Vec<Output>) {
        let durable = self.durable_ticket;
        if self.pending_messages.iter().all(|pending| pending.ticket > durable) {
            return;
        }
        for pending in std::mem::take(&mut self.pending_messages) {
            if pending.ticket <= durable {
                send_newest(pending.to, pending.message, out);
            } else {
                self.pending_messages.push(pending);
            }
        }
    }

    /// Age of the oldest pending write in nanoseconds; 0 if no write is pending.
    pub fn oldest_write_age(&self, now: u64) -> u64 {
        self.pending_writes.front().map_or(0, |pending| now.saturating_sub(pending.issued_at))
    }

    /// Last log index of the oldest pending write.
    pub fn oldest_write_index(&self) -> Option<Index> {
        self.pending_writes.front().map(|pending| pending.last_index)
    }
}

/// Sends a message. If the last output is an acknowledgement to the same receiver that this message
/// supersedes, the message replaces it.
fn send_newest(to: NodeId, message: Message, out: &mut Vec<Output>) {
    if let Some(Output::Send { to: last_to, message: last }) = out.last_mut() {
        if *last_to == to && supersedes(&message, last) {
            *last = message;
            return;
        }
    }
    out.push(Output::Send { to, message });
}

/// Whether the newer message makes the older one redundant: both are acknowledgements in the same term, and
/// the newer one does not acknowledge less.
fn supersedes(newer: &Message, older: &Message) -> bool {
    let (Message::AppendReply(newer), Message::AppendReply(older)) = (newer, older) else {
        return false;
    };
    let acknowledge = newer.term == older.term && newer.success && older.success;
    acknowledge && newer.match_index >= older.match_index && newer.leader_clock >= older.leader_clock
}
