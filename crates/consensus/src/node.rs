//! The state machine of one process of the group, and the dispatch of its events.

use std::collections::BTreeSet;

use fastrand::Rng;

use crate::clock::nanoseconds;
use crate::durability::Durability;
use crate::incoming_snapshot::IncomingSnapshot;
use crate::interface::{Event, Output};
use crate::log::Log;
use crate::memberships::Memberships;
use crate::message::Message;
use crate::options::Options;
use crate::restore::load_log;
use crate::role::Role;
use crate::step_down::StepDown;
use crate::types::{
    Entry, HardState, Index, Membership, NodeId, Payload, Restored, Snapshot, SnapshotMeta, Term,
    BOOTSTRAP_INDEX, BOOTSTRAP_TERM,
};
use crate::vote_tally::VoteTally;

/// Number of bits by which the mixed value is rotated for each identity when a term is derived from
/// identities.
const TERM_MIX_BITS: u32 = 7;
/// Upper limit on how far the first term of a later founding lies above the lowest such term.
const MAX_TERM_OFFSET: Term = 0x7fff_ffff;

/// Initial state of a founder of a group whose first entry has this term.
fn bootstrap_in_term(term: Term, membership: Membership) -> Restored {
    let payload = Payload::Membership(membership);
    Restored {
        hard_state: HardState { term, vote: None },
        snapshot: None,
        entries: vec![Entry { index: BOOTSTRAP_INDEX, term, payload }],
    }
}

/// Whether no leader can have been elected yet that relies on this process. No leader is ever elected in the
/// bootstrap term or in the first term of a later founding.
fn is_fresh(restored: &Restored) -> bool {
    let HardState { term, vote } = restored.hard_state;
    let is_founding = matches!(restored.entries.as_slice(), [founding] if founding.term == term);
    restored.snapshot.is_none() && (term <= BOOTSTRAP_TERM || (is_founding && vote.is_none()))
}

/// One process of the group, without any I/O: it takes events and the time, and returns outputs.
///
/// Invariants between two calls of [`Node::handle`]: the process gives at most one vote per term and sends it
/// only once it is durable; entries up to `commit` never change; no entry is acknowledged before it is
/// durable. The methods are grouped into one module per Raft concept.
#[derive(Clone, Debug)]
pub struct Node {
    pub(crate) options: Options,
    /// Time of the latest event, in nanoseconds of the monotonic clock. All times below are on this clock.
    pub(crate) now: u64,
    rng: Rng,
    pub(crate) hard_state: HardState,
    /// Ticket of the write that makes the hard state durable.
    pub(crate) hard_state_ticket: u64,
    pub(crate) log: Log,
    pub(crate) snapshot: Option<Snapshot>,
    /// The snapshot that is being received from the leader.
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    pub(crate) memberships: Memberships,
    /// Index of the last entry known to be committed.
    pub(crate) commit: Index,
    pub(crate) durability: Durability,
    pub(crate) role: Role,
    /// The known leader, which may be this process itself.
    pub(crate) leader: Option<NodeId>,
    /// Vote requests are rejected until this time, because a leader may hold a lease.
    pub(crate) votes_rejected_until: u64,
    /// Time at which this process campaigns unless it hears from a leader.
    pub(crate) election_at: u64,
    /// Time at which a restarted process that has not heard from a leader starts a unanimous election.
    pub(crate) unanimous_election_at: Option<u64>,
    /// Until this time the leader's process is assumed to have exited, and campaigns follow each other at
    /// short intervals.
    pub(crate) leader_down_until: u64,
    /// Replies in the current election.
    pub(crate) votes: VoteTally,
    /// Replies in the previous election.
    pub(crate) previous_votes: VoteTally,
    /// How this process last stepped down as leader.
    pub(crate) last_step_down: Option<StepDown>,
    /// Whether this process has been a member and its removal has not been reported yet.
    pub(crate) was_member: bool,
}

impl Node {
    /// Creates the node of a process that starts with the state restored from its disk. `now` is the time of
    /// the monotonic clock, in nanoseconds. `seed` determines the random timeouts.
    pub fn new(options: Options, restored: Restored, now: u64, seed: u64) -> Node {
        let fresh = is_fresh(&restored);
        let hard_state = restored.hard_state;
        let (log, memberships, commit) = load_log(&restored);
        let last_index = log.last_index();
        let was_member = memberships.current().contains(options.id);
        let mut node = Node {
            now,
            rng: Rng::with_seed(seed),
            hard_state,
            hard_state_ticket: 0,
            log,
            snapshot: restored.snapshot,
            incoming_snapshot: None,
            memberships,
            commit,
            durability: Durability::new(last_index),
            role: Role::Follower,
            leader: None,
            votes_rejected_until: now,
            election_at: now,
            unanimous_election_at: None,
            leader_down_until: 0,
            votes: VoteTally::default(),
            previous_votes: VoteTally::default(),
            last_step_down: None,
            was_member,
            options,
        };
        if fresh {
            // No leader can have been elected yet, so there is no lease to wait for.
            node.election_at = now
                + node.rng.u64(
                    nanoseconds(node.options.heartbeat_interval) / 2
                        ..=nanoseconds(node.options.heartbeat_interval) * 2,
                );
        } else {
            node.votes_rejected_until = now + nanoseconds(node.options.leader_stickiness);
            node.campaign_after_lease_expiry();
            node.unanimous_election_at =
                Some(now + node.rng.u64(0..=nanoseconds(node.options.unanimous_election_interval)));
        }
        node
    }

    /// Initial state of each founder of a group. The caller makes it durable before it calls [`Node::new`].
    /// All founders must use the same members in the same order, and must never have been part of a group.
    pub fn bootstrap(membership: Membership) -> Restored {
        bootstrap_in_term(BOOTSTRAP_TERM, membership)
    }

    /// Like [`Node::bootstrap`], for a group that is founded after an earlier founding may have left logs on
    /// some disks. The first term is derived from the identities of the members, so that no entry of this
    /// founding is mistaken for an entry of another founding: the log matching check detects logs of other
    /// foundings as different.
    pub fn bootstrap_again(membership: Membership) -> Restored {
        let mix = |mixed: Term, id: NodeId| mixed.rotate_left(TERM_MIX_BITS) ^ id ^ (id >> u32::BITS);
        let mixed = membership.members.iter().map(|member| member.id).fold(0, mix);
        bootstrap_in_term(BOOTSTRAP_TERM + 1 + (mixed & MAX_TERM_OFFSET), membership)
    }

    /// Handles an event and appends the resulting outputs to `out`. `now` is the time of the monotonic clock
    /// in nanoseconds and must never decrease.
    pub fn handle(&mut self, now: u64, event: Event, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        if !self.resets_timeout(&event) {
            self.run_timers(out);
        }
        match event {
            Event::Tick => {}
            Event::Message { from, message } => self.on_message(from, message, out),
            Event::Propose { payload } => self.propose(payload, out),
            Event::Persisted { ticket } => self.on_persisted(ticket, out),
            Event::SnapshotTaken { snapshot } => self.on_snapshot_taken(snapshot),
            Event::Join { member } => self.on_join(member, out),
            Event::Transfer => self.start_transfer(out),
            Event::PeerDisconnected { peer } => self.on_peer_disconnected(peer, out),
            Event::PeerDown { peer } => self.on_peer_down(peer),
        }
        self.durability.flush(self.now, self.log.last_index(), out);
    }

    /// Latest time at which [`Event::Tick`] is due, in nanoseconds of the monotonic clock.
    pub fn next_timer(&self) -> u64 {
        match &self.role {
            Role::Leader(leadership) => leadership.next_heartbeat,
            _ => self.election_at.min(self.unanimous_election_at.unwrap_or(u64::MAX)),
        }
    }

    /// Expiry time of the leader lease, in nanoseconds of the monotonic clock. Until then no other process
    /// can have committed anything, so the commit index of this process is the latest. 0 unless this process
    /// is the leader, has committed an entry of its own term and is not transferring leadership.
    pub fn lease_until(&self) -> u64 {
        match &self.role {
            Role::Leader(leadership) => leadership.lease_until(),
            _ => 0,
        }
    }

    /// This process's identity.
    pub fn id(&self) -> NodeId {
        self.options.id
    }

    /// Whether this process believes that it is the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// How this process last stepped down as leader; `None` if it has not stepped down since it started.
    pub fn last_step_down(&self) -> Option<&StepDown> {
        self.last_step_down.as_ref()
    }

    /// The known leader, which may be this process itself.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// The highest term seen.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The membership in effect.
    pub fn membership(&self) -> &Membership {
        self.memberships.current()
    }

    /// Whether this process is a member according to its own log.
    pub fn is_member(&self) -> bool {
        self.membership().contains(self.options.id)
    }

    /// Whether this process may abandon its state and take part in another founding, as a process whose disk
    /// is lost does: it neither leads nor follows a leader, and its log contains no command.
    ///
    /// Every command that a group has acknowledged is on the disks of a majority of its target number of
    /// voters, minus the disks that are lost at this time. A process without commands is therefore not needed
    /// for any acknowledged command, whatever it voted for. [`crate::Founding`] requires offers from more
    /// such processes than disks may be lost at one time.
    pub fn is_uninitialized(&self) -> bool {
        self.leader.is_none() && !self.is_leader() && !self.holds_commands()
    }

    /// Addresses of the voters of a group that may have counted this process, which has no commands itself,
    /// as a confirmed voter. Such a group has had a leader and has the target number of voters. Empty if
    /// there is no such group.
    pub fn possible_group_voters(&self) -> BTreeSet<String> {
        let voters = self.membership().members.iter().filter(|member| member.voter);
        let addresses: BTreeSet<String> = voters.map(|member| member.address.clone()).collect();
        let had_leader = self.log.last_index() > BOOTSTRAP_INDEX;
        if had_leader && addresses.len() >= self.options.target_voters {
            addresses
        } else {
            BTreeSet::new()
        }
    }

    /// Whether the log contains commands, or has ever been compacted, which requires a snapshot of their
    /// effects.
    pub fn holds_commands(&self) -> bool {
        self.snapshot.is_some() || self.log.base_index() > 0 || self.log.has_command()
    }

    /// Whether the caller should periodically send a join request to the supposed leader, which passes it to
    /// its node as [`Event::Join`]. This is the case if this process is not a member, or if it hears from no
    /// leader and may therefore have been removed.
    pub fn should_join(&self) -> bool {
        self.leader.is_none() || !self.is_member()
    }

    /// Index of the last entry known to be committed.
    pub fn commit_index(&self) -> Index {
        self.commit
    }

    /// Index of the last entry of the log.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// Returns the metadata for a snapshot of the state machine as of this entry, or `None` if the entry is
    /// not committed or has already been compacted.
    pub fn snapshot_meta(&self, index: Index) -> Option<SnapshotMeta> {
        if index > self.commit {
            return None;
        }
        let term = self.log.term_at(index)?;
        let membership = self.memberships.at(index).clone();
        Some(SnapshotMeta { index, term, membership })
    }

    /// Whether the event shows that the leader of this follower, or a follower of this leader, is alive. Such
    /// an event is handled before the timers run, because a busy process runs its timers late.
    fn resets_timeout(&self, event: &Event) -> bool {
        let Event::Message { from, message } = event else { return false };
        match &self.role {
            Role::Follower => {
                let from_leader = matches!(message, Message::AppendRequest(_) | Message::SnapshotChunk(_));
                from_leader && self.leader == Some(*from)
            }
            Role::Leader(_) => matches!(message, Message::AppendReply(_) | Message::SnapshotReply(_)),
            Role::PreCandidate { .. } | Role::Candidate { .. } => false,
        }
    }

    fn run_timers(&mut self, out: &mut Vec<Output>) {
        if self.is_leader() {
            self.run_leader_timers(out);
        } else if self.now >= self.election_at {
            self.on_election_timeout(out);
        } else if self.unanimous_election_at.is_some_and(|at| self.now >= at) {
            self.on_unanimous_election_due(out);
        }
    }

    fn on_message(&mut self, from: NodeId, message: Message, out: &mut Vec<Output>) {
        if from == self.options.id || !message.is_plausible() {
            return;
        }
        match message {
            Message::VoteRequest(request) => self.on_vote_request(from, &request, out),
            Message::VoteReply(reply) => self.on_vote_reply(from, &reply, out),
            Message::AppendRequest(request) => self.on_append_request(from, request, out),
            Message::AppendReply(reply) => self.on_append_reply(from, &reply, out),
            Message::SnapshotChunk(chunk) => self.on_snapshot_chunk(from, chunk, out),
            Message::SnapshotReply(reply) => self.on_snapshot_reply(from, &reply, out),
            Message::TimeoutNow(request) => self.on_timeout_now(from, &request, out),
        }
    }

    fn on_persisted(&mut self, ticket: u64, out: &mut Vec<Output>) {
        self.durability.record_persisted(ticket, out);
        match self.role {
            Role::Candidate { .. } => self.count_own_vote(out),
            Role::Leader(_) => self.advance_commit(out),
            Role::Follower | Role::PreCandidate { .. } => {}
        }
    }

    fn on_snapshot_taken(&mut self, snapshot: Snapshot) {
        let index = snapshot.meta.index;
        let newest = self.snapshot.as_ref().map_or(0, |newest| newest.meta.index);
        if index <= newest || index > self.commit {
            return;
        }
        self.snapshot = Some(snapshot);
        self.durability.record_snapshot(index);
        let compact_to = self.compaction_point(index);
        if compact_to > self.log.base_index() {
            self.log.compact_to(compact_to);
            self.memberships.compact_to(compact_to);
        }
    }

    /// Returns the index up to which the log can be compacted when a snapshot covers it up to `index`.
    /// Entries that responsive followers still need are kept, within `retained_bytes_for_followers`.
    fn compaction_point(&self, index: Index) -> Index {
        let options = &self.options;
        let default_point =
            self.log.compaction_point(index, options.retained_entries, options.retained_bytes);
        let Role::Leader(leadership) = &self.role else { return default_point };
        let contact_since = self.now.saturating_sub(nanoseconds(options.replacement_timeout));
        let needed = leadership.min_expected_match_index(contact_since, self.log.base_index());
        let lowest_point = self.log.compaction_point(index, u64::MAX, options.retained_bytes_for_followers);
        default_point.min(needed.unwrap_or(default_point).max(lowest_point))
    }

    /// Draws a new random election timeout.
    pub(crate) fn reset_election_timer(&mut self) {
        let least = nanoseconds(self.options.election_timeout);
        self.election_at = self.now + self.rng.u64(least..=least.saturating_mul(2));
    }

    /// Sets term and vote. The change becomes part of the next write.
    pub(crate) fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state;
        self.durability.add_hard_state(hard_state);
        self.hard_state_ticket = self.durability.ticket();
    }

    pub(crate) fn set_leader(&mut self, leader: Option<NodeId>, out: &mut Vec<Output>) {
        if self.leader != leader {
            self.leader = leader;
            out.push(Output::LeaderChanged { leader, term: self.hard_state.term });
        }
    }

    /// Appends an entry to the log and to the next write. A membership takes effect immediately.
    pub(crate) fn append(&mut self, entry: Entry, out: &mut Vec<Output>) {
        if let Payload::Membership(membership) = &entry.payload {
            self.memberships.push(entry.index, membership.clone());
            self.was_member |= membership.contains(self.options.id);
            out.push(Output::MembershipChanged { membership: membership.clone() });
        }
        self.durability.add_entry(entry.clone());
        self.log.push(entry);
    }

    /// Removes the entries from this index on. They must not be committed.
    pub(crate) fn truncate(&mut self, from: Index, out: &mut Vec<Output>) {
        self.log.truncate_from(from);
        self.durability.add_truncation(from);
        if self.memberships.truncate_from(from) {
            out.push(Output::MembershipChanged { membership: self.membership().clone() });
        }
    }

    /// Advances the commit index to `index` and outputs the newly committed entries.
    pub(crate) fn commit_to(&mut self, index: Index, out: &mut Vec<Output>) {
        let index = index.min(self.log.last_index());
        if index <= self.commit {
            return;
        }
        let entries = self.log.range(self.commit + 1, index);
        self.commit = index;
        out.push(Output::Commit { entries });
        self.report_removal(out);
    }

    /// Outputs [`Output::Removed`] once when a membership without this process is committed.
    pub(crate) fn report_removal(&mut self, out: &mut Vec<Output>) {
        let (index, membership) = (self.memberships.changed_at(), self.memberships.current());
        if self.was_member && index <= self.commit && !membership.contains(self.options.id) {
            self.was_member = false;
            out.push(Output::Removed);
        }
    }
}
