//! Replication progress of one follower, and the choice of the next message to it.

use std::collections::VecDeque;

use crate::log::Log;
use crate::message::{AppendReply, AppendRequest, Message, SnapshotChunk, SnapshotReply};
use crate::options::Options;
use crate::types::{Entry, Index, Snapshot, Term};

/// The leader state from which messages to followers are built.
pub(crate) struct LeaderView<'a> {
    pub now: u64,
    pub term: Term,
    pub commit: Index,
    pub log: &'a Log,
    pub snapshot: Option<&'a Snapshot>,
    pub options: &'a Options,
}

/// A message with entries that is in flight.
#[derive(Clone, Debug)]
struct Inflight {
    last_index: Index,
    bytes: usize,
}

/// A snapshot that is being transferred to a follower, one chunk at a time.
#[derive(Clone, Debug)]
struct SnapshotTransfer {
    snapshot: Snapshot,
    /// Number of bytes that the follower has received.
    received: u64,
    /// The leader's clock when the chunk in flight was sent; `None` if no chunk is in flight.
    chunk_sent_at: Option<u64>,
}

/// Condition under which a message is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendMode {
    /// Send only if data is due and the limits on messages in flight permit it.
    IfDue,
    /// Always send: a message without data (a heartbeat) if no data is due.
    Always,
}

/// Replication state of a follower.
#[derive(Clone, Debug)]
enum State {
    /// The index up to which the logs match is unknown: one message is sent at a time.
    Probe { sent: bool },
    /// Entries are pipelined without waiting for replies.
    Replicate { inflight: VecDeque<Inflight>, bytes: usize },
    /// The entries that the follower needs have been compacted, so a snapshot is sent.
    Snapshot(SnapshotTransfer),
}

/// Replication progress of one follower.
///
/// Invariant: `match_index < next_index`. Entries up to `match_index` are durable at the follower; entries
/// before `next_index` have been sent or are known to be present. `match_index` decreases only if the
/// follower shows that its disk has been replaced by an older copy.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    state: State,
    /// Index of the next entry to send.
    next_index: Index,
    /// The follower's durable log matches the leader's log up to this index.
    pub match_index: Index,
    /// Index of the last entry in the latest snapshot that the follower has received. The snapshot may not be
    /// durable yet.
    received_snapshot: Index,
    /// Time of the follower's last response.
    pub last_contact_at: u64,
    /// The leader's clock when it sent the most recent message that the follower has replied to; 0 before the
    /// first reply.
    pub acknowledged_clock: u64,
    /// Time at which a message was last sent to the follower.
    pub sent_at: u64,
}

impl Progress {
    /// Creates the progress of a follower whose log is unknown. Probing starts at the entry before
    /// `next_index`.
    pub fn new(next_index: Index, now: u64) -> Progress {
        Progress {
            state: State::Probe { sent: false },
            next_index,
            match_index: 0,
            received_snapshot: 0,
            last_contact_at: now,
            acknowledged_clock: 0,
            sent_at: 0,
        }
    }

    /// Returns to probing, because the messages in flight may be lost.
    pub fn become_probe(&mut self) {
        match &mut self.state {
            State::Probe { sent } => *sent = false,
            State::Replicate { .. } => {
                self.next_index = self.match_index + 1;
                self.state = State::Probe { sent: false };
            }
            State::Snapshot(transfer) => transfer.chunk_sent_at = None,
        }
    }

    /// The follower's match index, or the match index that it will have after the snapshot that it is
    /// receiving.
    pub fn expected_match_index(&self) -> Index {
        match &self.state {
            State::Snapshot(transfer) => transfer.snapshot.meta.index,
            State::Probe { .. } | State::Replicate { .. } => self.match_index.max(self.received_snapshot),
        }
    }

    /// Whether the follower has replied in this term and lacks at most `gap` of the leader's entries.
    pub fn is_caught_up(&self, last_index: Index, gap: u64) -> bool {
        matches!(self.state, State::Replicate { .. }) && self.match_index.saturating_add(gap) >= last_index
    }

    /// Returns the next message to send in this mode, if there is one.
    pub fn next_message(&mut self, view: &LeaderView, mode: SendMode) -> Option<Message> {
        if !matches!(self.state, State::Snapshot(_)) && self.next_index <= view.log.base_index() {
            self.start_snapshot(view)?;
        }
        let message = match &mut self.state {
            State::Probe { sent } => {
                if *sent && mode == SendMode::IfDue {
                    return None;
                }
                let bytes = if *sent { 0 } else { view.options.max_entries_bytes };
                *sent = true;
                let entries = if bytes > 0 { view.log.batch(self.next_index, bytes) } else { Vec::new() };
                append_request(view, self.next_index, entries)?
            }
            State::Replicate { .. } => self.next_entries(view, mode)?,
            State::Snapshot(transfer) => transfer.next_chunk(view, mode)?,
        };
        self.sent_at = view.now;
        Some(message)
    }

    fn next_entries(&mut self, view: &LeaderView, mode: SendMode) -> Option<Message> {
        let State::Replicate { inflight, bytes } = &mut self.state else { return None };
        let within_bytes = inflight.is_empty() || *bytes < view.options.max_inflight_bytes;
        let window_open = within_bytes && inflight.len() < view.options.max_inflight_messages;
        if self.next_index > view.log.last_index() || !window_open {
            return match mode {
                SendMode::Always => append_request(view, self.next_index, Vec::new()),
                SendMode::IfDue => None,
            };
        }
        let entries = view.log.batch(self.next_index, view.options.max_entries_bytes);
        let size = entries.iter().map(Entry::size).sum();
        let count = entries.len() as u64;
        let request = append_request(view, self.next_index, entries)?;
        self.next_index += count;
        inflight.push_back(Inflight { last_index: self.next_index - 1, bytes: size });
        *bytes += size;
        Some(request)
    }

    fn start_snapshot(&mut self, view: &LeaderView) -> Option<()> {
        let snapshot = view.snapshot?.clone();
        self.state = State::Snapshot(SnapshotTransfer { snapshot, received: 0, chunk_sent_at: None });
        Some(())
    }

    /// Records a reply from the leader's current term.
    pub fn on_append_reply(&mut self, now: u64, reply: &AppendReply, last_index: Index) {
        let newest = reply.leader_clock > self.acknowledged_clock;
        self.record_contact(now, reply.leader_clock);
        if reply.success {
            self.on_match(reply.match_index.min(last_index));
        } else if reply.conflict_index > 0 {
            self.on_conflict(reply.conflict_index, newest);
        }
    }

    fn on_match(&mut self, match_index: Index) {
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index + 1);
        match &mut self.state {
            State::Probe { .. } => self.state = State::Replicate { inflight: VecDeque::new(), bytes: 0 },
            State::Replicate { inflight, bytes } => {
                while inflight.front().is_some_and(|sent| sent.last_index <= match_index) {
                    *bytes -= inflight.pop_front().map_or(0, |sent| sent.bytes);
                }
            }
            State::Snapshot(transfer) => {
                if match_index >= transfer.snapshot.meta.index {
                    self.state = State::Probe { sent: false };
                }
            }
        }
    }

    fn on_conflict(&mut self, conflict_index: Index, newest: bool) {
        if matches!(self.state, State::Snapshot(_)) {
            return;
        }
        // The follower's reply to the most recent message requests entries that it had acknowledged: its disk
        // has been replaced by an older copy.
        if newest && conflict_index <= self.match_index {
            self.match_index = conflict_index - 1;
        }
        self.next_index = conflict_index.min(self.next_index).max(self.match_index + 1);
        self.state = State::Probe { sent: false };
    }

    /// Records how much of a snapshot the follower has received.
    pub fn on_snapshot_reply(&mut self, now: u64, reply: &SnapshotReply) {
        self.record_contact(now, reply.leader_clock);
        let State::Snapshot(transfer) = &mut self.state else { return };
        if reply.last_index != transfer.snapshot.meta.index {
            return;
        }
        let total = transfer.snapshot.data.len() as u64;
        if reply.received >= total {
            self.received_snapshot = transfer.snapshot.meta.index;
            self.next_index = self.received_snapshot + 1;
            self.state = State::Probe { sent: false };
            return;
        }
        // A reply to a later message shows that this chunk has not arrived.
        let lost = transfer.chunk_sent_at.is_some_and(|leader_clock| reply.leader_clock > leader_clock);
        if lost || reply.received > transfer.received {
            transfer.received = reply.received;
            transfer.chunk_sent_at = None;
        }
    }

    /// Records a reply to a message that was sent at `leader_clock`.
    fn record_contact(&mut self, now: u64, leader_clock: u64) {
        self.last_contact_at = now;
        if leader_clock <= now {
            self.acknowledged_clock = self.acknowledged_clock.max(leader_clock);
        }
    }
}

impl SnapshotTransfer {
    fn next_chunk(&mut self, view: &LeaderView, mode: SendMode) -> Option<Message> {
        let start = usize::try_from(self.received).ok()?;
        let data = &self.snapshot.data;
        let chunk = match self.chunk_sent_at {
            None => {
                self.chunk_sent_at = Some(view.now);
                let end = data.len().min(start.saturating_add(view.options.snapshot_chunk_bytes));
                data.get(start..end)?.to_vec()
            }
            Some(_) if mode == SendMode::Always => Vec::new(),
            Some(_) => return None,
        };
        Some(Message::SnapshotChunk(SnapshotChunk {
            term: view.term,
            last_index: self.snapshot.meta.index,
            last_term: self.snapshot.meta.term,
            membership: self.snapshot.meta.membership.clone(),
            offset: self.received,
            total: data.len() as u64,
            data: chunk,
            leader_clock: view.now,
        }))
    }
}

fn append_request(view: &LeaderView, next_index: Index, entries: Vec<Entry>) -> Option<Message> {
    let previous_index = next_index.saturating_sub(1);
    let previous_term = view.log.term_at(previous_index)?;
    Some(Message::AppendRequest(AppendRequest {
        term: view.term,
        previous_index,
        previous_term,
        entries,
        commit: view.commit,
        leader_clock: view.now,
    }))
}
