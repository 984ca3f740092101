//! What a leader knows of one follower, and what it sends it next.

use std::collections::VecDeque;

use crate::interface::{AppendReply, AppendRequest, Message, SnapshotChunk, SnapshotReply};
use crate::log::Log;
use crate::options::Options;
use crate::types::{Entry, Index, Snapshot, Term};

/// The leader's side that messages are built from.
pub(crate) struct LeaderView<'a> {
    pub now: u64,
    pub term: Term,
    pub commit: Index,
    pub log: &'a Log,
    pub snapshot: Option<&'a Snapshot>,
    pub options: &'a Options,
}

/// A message with entries under way.
#[derive(Clone, Debug)]
struct Inflight {
    last_index: Index,
    bytes: usize,
}

/// A snapshot under way to a follower, one chunk at a time.
#[derive(Clone, Debug)]
struct Transmission {
    snapshot: Snapshot,
    /// Bytes that the follower has.
    received: u64,
    /// Round of the chunk under way.
    chunk_round: Option<u64>,
}

#[derive(Clone, Debug)]
enum State {
    /// Where the logs meet is not known: one message at a time.
    Probe { sent: bool },
    /// Entries follow one another without waiting for answers.
    Replicate { inflight: VecDeque<Inflight>, bytes: usize },
    /// The entries that the follower lacks are compacted away.
    Snapshot(Transmission),
}

/// What a leader knows of one follower.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    state: State,
    next: Index,
    /// Its durable log is the leader's up to here.
    pub match_index: Index,
    /// The last entry of the newest snapshot that it has received, perhaps not durably yet.
    received_snapshot: Index,
    /// When something of it last arrived.
    pub heard_at: u64,
    /// Sending time of the newest round it answered; 0 before the first.
    pub acknowledged_round: u64,
    /// When something was last sent.
    pub sent_at: u64,
}

impl Progress {
    /// A follower of which nothing is known: it is asked about the entry before `next`.
    pub fn new(next: Index, now: u64) -> Progress {
        Progress {
            state: State::Probe { sent: false },
            next,
            match_index: 0,
            received_snapshot: 0,
            heard_at: now,
            acknowledged_round: 0,
            sent_at: 0,
        }
    }

    /// Forgets what is under way: it may be lost.
    pub fn probe(&mut self) {
        match &mut self.state {
            State::Probe { sent } => *sent = false,
            State::Replicate { .. } => {
                self.next = self.match_index + 1;
                self.state = State::Probe { sent: false };
            }
            State::Snapshot(transmission) => transmission.chunk_round = None,
        }
    }

    /// Up to where it has the log, or will have it with the snapshot that it is receiving.
    pub fn index_in_reach(&self) -> Index {
        match &self.state {
            State::Snapshot(transmission) => transmission.snapshot.meta.index,
            State::Probe { .. } | State::Replicate { .. } => self.match_index.max(self.received_snapshot),
        }
    }

    /// Whether it has answered in this term and lacks at most this many of the leader's entries.
    pub fn is_caught_up(&self, last_index: Index, gap: u64) -> bool {
        matches!(self.state, State::Replicate { .. }) && self.match_index.saturating_add(gap) >= last_index
    }

    /// The next message if one is due; `heartbeat` asks for one in any case.
    pub fn poll(&mut self, view: &LeaderView, heartbeat: bool) -> Option<Message> {
        if !matches!(self.state, State::Snapshot(_)) && self.next <= view.log.base_index() {
            self.start_snapshot(view)?;
        }
        let message = match &mut self.state {
            State::Probe { sent } => {
                if *sent && !heartbeat {
                    return None;
                }
                let bytes = if *sent { 0 } else { view.options.max_entries_bytes };
                *sent = true;
                let entries = if bytes > 0 { view.log.batch(self.next, bytes) } else { Vec::new() };
                append_request(view, self.next, entries)?
            }
            State::Replicate { .. } => self.poll_entries(view, heartbeat)?,
            State::Snapshot(transmission) => transmission.poll(view, heartbeat)?,
        };
        self.sent_at = view.now;
        Some(message)
    }

    fn poll_entries(&mut self, view: &LeaderView, heartbeat: bool) -> Option<Message> {
        let State::Replicate { inflight, bytes } = &mut self.state else { return None };
        let within_bytes = inflight.is_empty() || *bytes < view.options.max_inflight_bytes;
        let room = within_bytes && inflight.len() < view.options.max_inflight_messages;
        if self.next > view.log.last_index() || !room {
            return if heartbeat { append_request(view, self.next, Vec::new()) } else { None };
        }
        let entries = view.log.batch(self.next, view.options.max_entries_bytes);
        let size = entries.iter().map(Entry::size).sum();
        let count = entries.len() as u64;
        let request = append_request(view, self.next, entries)?;
        self.next += count;
        inflight.push_back(Inflight { last_index: self.next - 1, bytes: size });
        *bytes += size;
        Some(request)
    }

    fn start_snapshot(&mut self, view: &LeaderView) -> Option<()> {
        let snapshot = view.snapshot?.clone();
        self.state = State::Snapshot(Transmission { snapshot, received: 0, chunk_round: None });
        Some(())
    }

    /// Notes an answer of the leader's own term.
    pub fn on_append_reply(&mut self, now: u64, reply: &AppendReply, last_index: Index) {
        let newest = reply.round > self.acknowledged_round;
        self.heard(now, reply.round);
        if reply.success {
            self.on_match(reply.match_index.min(last_index));
        } else if reply.conflict_index > 0 {
            self.on_conflict(reply.conflict_index, newest);
        }
    }

    fn on_match(&mut self, match_index: Index) {
        self.match_index = self.match_index.max(match_index);
        self.next = self.next.max(self.match_index + 1);
        match &mut self.state {
            State::Probe { .. } => self.state = State::Replicate { inflight: VecDeque::new(), bytes: 0 },
            State::Replicate { inflight, bytes } => {
                while inflight.front().is_some_and(|sent| sent.last_index <= match_index) {
                    *bytes -= inflight.pop_front().map_or(0, |sent| sent.bytes);
                }
            }
            State::Snapshot(transmission) => {
                if match_index >= transmission.snapshot.meta.index {
                    self.state = State::Probe { sent: false };
                }
            }
        }
    }

    fn on_conflict(&mut self, conflict_index: Index, newest: bool) {
        if matches!(self.state, State::Snapshot(_)) {
            return;
        }
        // An answer to the newest round that asks for acknowledged entries: the follower's disk is an older one.
        if newest && conflict_index <= self.match_index {
            self.match_index = conflict_index - 1;
        }
        self.next = conflict_index.min(self.next).max(self.match_index + 1);
        self.state = State::Probe { sent: false };
    }

    /// Notes how much of a snapshot has arrived.
    pub fn on_snapshot_reply(&mut self, now: u64, reply: &SnapshotReply) {
        self.heard(now, reply.round);
        let State::Snapshot(transmission) = &mut self.state else { return };
        if reply.last_index != transmission.snapshot.meta.index {
            return;
        }
        let total = transmission.snapshot.data.len() as u64;
        if reply.received >= total {
            self.received_snapshot = transmission.snapshot.meta.index;
            self.next = self.received_snapshot + 1;
            self.state = State::Probe { sent: false };
            return;
        }
        let lost = transmission.chunk_round.is_some_and(|round| reply.round > round);
        if lost || reply.received > transmission.received {
            transmission.received = reply.received;
            transmission.chunk_round = None;
        }
    }

    /// Something arrived that answers what was sent at `round`.
    fn heard(&mut self, now: u64, round: u64) {
        self.heard_at = now;
        if round <= now {
            self.acknowledged_round = self.acknowledged_round.max(round);
        }
    }
}

impl Transmission {
    fn poll(&mut self, view: &LeaderView, heartbeat: bool) -> Option<Message> {
        let start = usize::try_from(self.received).ok()?;
        let data = &self.snapshot.data;
        let part = match self.chunk_round {
            None => {
                self.chunk_round = Some(view.now);
                let end = data.len().min(start.saturating_add(view.options.snapshot_chunk_bytes));
                data.get(start..end)?.to_vec()
            }
            Some(_) if heartbeat => Vec::new(),
            Some(_) => return None,
        };
        Some(Message::SnapshotChunk(SnapshotChunk {
            term: view.term,
            last_index: self.snapshot.meta.index,
            last_term: self.snapshot.meta.term,
            membership: self.snapshot.meta.membership.clone(),
            offset: self.received,
            total: data.len() as u64,
            data: part,
            round: view.now,
        }))
    }
}

fn append_request(view: &LeaderView, next: Index, entries: Vec<Entry>) -> Option<Message> {
    let previous_index = next.saturating_sub(1);
    let previous_term = view.log.term_at(previous_index)?;
    Some(Message::AppendRequest(AppendRequest {
        term: view.term,
        previous_index,
        previous_term,
        entries,
        commit: view.commit,
        round: view.now,
    }))
}
