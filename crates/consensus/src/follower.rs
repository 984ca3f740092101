//! Follower side of replication: appends and acknowledges entries from the leader.

use crate::clock::nanoseconds;
use crate::interface::Output;
use crate::message::{AppendReply, AppendRequest, Message};
use crate::node::Node;
use crate::types::{Entry, Index, NodeId, Term};

/// Result of matching the entries of a request against the log.
enum MatchResult {
    /// All entries up to this index are now in the log.
    Matches(Index),
    /// The entry before the sent entries differs or is missing. Contains the index from which the leader
    /// should retry.
    Conflict(Index),
    /// No correct leader sends such a request.
    Malformed,
}

impl Node {
    pub(crate) fn on_append_request(&mut self, from: NodeId, request: AppendRequest, out: &mut Vec<Output>) {
        let (term, leader_clock, commit) = (request.term, request.leader_clock, request.commit);
        if !self.accept_leader(from, term, out) {
            self.reject_stale_leader(from, term, leader_clock, out);
            return;
        }
        match self.match_entries(request, out) {
            MatchResult::Matches(index) => {
                self.commit_to(commit.min(index), out);
                self.report_removal(out);
                self.acknowledge(from, index, leader_clock, out);
            }
            MatchResult::Conflict(conflict_index) => {
                let reply =
                    AppendReply { term, success: false, match_index: 0, conflict_index, leader_clock };
                self.durability.send_after(self.hard_state_ticket, from, Message::AppendReply(reply), out);
            }
            MatchResult::Malformed => {}
        }
    }

    /// Tells a leader with a stale term that there is a higher term.
    pub(crate) fn reject_stale_leader(
        &mut self,
        to: NodeId,
        stale_term: Term,
        leader_clock: u64,
        out: &mut Vec<Output>,
    ) {
        let term = self.hard_state.term;
        if stale_term >= term {
            return;
        }
        let reply = AppendReply { term, success: false, match_index: 0, conflict_index: 0, leader_clock };
        self.durability.send_after(self.hard_state_ticket, to, Message::AppendReply(reply), out);
    }

    fn match_entries(&mut self, request: AppendRequest, out: &mut Vec<Output>) -> MatchResult {
        let previous = request.previous_index;
        let last = previous + request.entries.len() as u64;
        let mut expected = (previous + 1..=last).zip(&request.entries);
        if expected.any(|(index, entry)| entry.index != index || entry.term > request.term) {
            return MatchResult::Malformed;
        }
        let base = self.log.base_index();
        if previous >= base {
            match self.log.term_at(previous) {
                Some(term) if term == request.previous_term => {}
                Some(_) if previous > self.commit => {
                    return MatchResult::Conflict(self.log.first_of_term(previous, self.commit + 1));
                }
                Some(_) => return MatchResult::Malformed,
                None => return MatchResult::Conflict(self.log.last_index() + 1),
            }
        } else if last <= base {
            // All of the entries are already committed and compacted here.
            return MatchResult::Matches(self.commit);
        }
        if !self.append_missing(request.entries, base, out) {
            return MatchResult::Malformed;
        }
        MatchResult::Matches(last)
    }

    /// Removes conflicting entries and appends the missing ones. Returns false if a committed entry would
    /// change or the entries would leave a gap.
    fn append_missing(&mut self, entries: Vec<Entry>, base: Index, out: &mut Vec<Output>) -> bool {
        for entry in entries.into_iter().filter(|entry| entry.index > base) {
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) if entry.index <= self.commit => return false,
                Some(_) => self.truncate(entry.index, out),
                None => {}
            }
            if entry.index != self.log.last_index() + 1 {
                return false;
            }
            self.append(entry, out);
        }
        true
    }

    /// Acknowledges entries up to an index once they are durable. If the disk is slow, the entries that are
    /// already durable are acknowledged immediately, so that the leader keeps its lease.
    pub(crate) fn acknowledge(&mut self, to: NodeId, index: Index, leader_clock: u64, out: &mut Vec<Output>) {
        let term = self.hard_state.term;
        let reply = |match_index| {
            Message::AppendReply(AppendReply {
                term,
                success: true,
                match_index,
                conflict_index: 0,
                leader_clock,
            })
        };
        let durable = self.durability.durable_index();
        if index <= durable {
            self.durability.send_after(self.hard_state_ticket, to, reply(index), out);
            return;
        }
        if self.durability.oldest_write_age(self.now) > nanoseconds(self.options.heartbeat_interval) / 2 {
            self.durability.send_after(self.hard_state_ticket, to, reply(durable), out);
        }
        let ticket = self.durability.ticket();
        self.durability.send_after(ticket, to, reply(index), out);
    }
}
