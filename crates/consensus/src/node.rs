//! One process of the group: its state, and the dispatch of events.

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
use crate::restore::load;
use crate::role::Role;
use crate::step_down::StepDown;
use crate::types::{
    Entry, HardState, Index, Membership, NodeId, Payload, Restored, Snapshot, SnapshotMeta, Term,
    BOOTSTRAP_INDEX, BOOTSTRAP_TERM,
};
use crate::vote_tally::VoteTally;

/// Bits by which identities are shifted when a term is drawn from them.
const TERM_MIX_BITS: u32 = 7;
/// The largest distance of the first term of a later founding from the usual one.
const MAX_TERM_OFFSET: Term = 0x7fff_ffff;

/// What a founder starts with, in this term.
fn bootstrap_in_term(term: Term, membership: Membership) -> Restored {
    let payload = Payload::Membership(membership);
    Restored {
        hard_state: HardState { term, vote: None },
        snapshot: None,
        entries: vec![Entry { index: BOOTSTRAP_INDEX, term, payload }],
    }
}

/// Whether nobody can have led yet who counted on this process: no leader is elected in the usual first term, nor in
/// that of a later founding.
fn is_fresh(restored: &Restored) -> bool {
    let HardState { term, vote } = restored.hard_state;
    let is_founding = matches!(restored.entries.as_slice(), [founding] if founding.term == term);
    restored.snapshot.is_none() && (term <= BOOTSTRAP_TERM || (is_founding && vote.is_none()))
}

/// One process of the group, without input and output: events and the time go in, outputs come out.
///
/// What holds between two calls of [`Node::handle`]: at most one vote is given in a term, and it leaves only when it is
/// durable; entries up to `commit` never change; no entry is acknowledged before it is durable. Each concept of Raft
/// adds its methods in the file of its name.
#[derive(Clone, Debug)]
pub struct Node {
    pub(crate) options: Options,
    pub(crate) now: u64,
    rng: Rng,
    pub(crate) hard_state: HardState,
    /// Write with which the hard state becomes durable.
    pub(crate) hard_state_ticket: u64,
    pub(crate) log: Log,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) incoming: Option<IncomingSnapshot>,
    pub(crate) memberships: Memberships,
    pub(crate) commit: Index,
    pub(crate) durability: Durability,
    pub(crate) role: Role,
    pub(crate) leader: Option<NodeId>,
    /// Until then vote requests are rejected: a leader may hold a lease.
    pub(crate) votes_rejected_until: u64,
    /// When this process campaigns unless it hears from a leader.
    pub(crate) election_at: u64,
    /// When a restarted process that has heard no leader asks all voters to elect it at once.
    pub(crate) unanimous_election_at: Option<u64>,
    /// Until then the leader's process is taken to have ended: campaigns follow one another at short intervals.
    pub(crate) leader_down_until: u64,
    /// Replies of the election under way.
    pub(crate) votes: VoteTally,
    /// Replies of the one before.
    pub(crate) earlier_votes: VoteTally,
    /// How this process last stopped leading.
    pub(crate) last_step_down: Option<StepDown>,
    /// Whether a membership with this process was in force and its removal has not been reported yet.
    pub(crate) was_member: bool,
}

impl Node {
    /// A process that starts, at this time of the steady clock in nanoseconds, with what its disk gave back. `seed`
    /// determines its random timeouts.
    pub fn new(options: Options, restored: Restored, now: u64, seed: u64) -> Node {
        let fresh = is_fresh(&restored);
        let hard_state = restored.hard_state;
        let (log, memberships, commit) = load(&restored);
        let last_index = log.last_index();
        let was_member = memberships.current().contains(options.id);
        let mut node = Node {
            now,
            rng: Rng::with_seed(seed),
            hard_state,
            hard_state_ticket: 0,
            log,
            snapshot: restored.snapshot,
            incoming: None,
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
            earlier_votes: VoteTally::default(),
            last_step_down: None,
            was_member,
            options,
        };
        if fresh {
            // Nobody can have led yet: no lease to wait for.
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

    /// What each founder of a group starts with. The caller makes it durable before [`Node::new`]. All founders must
    /// name the same members in the same order, and have never been part of a group.
    pub fn bootstrap(membership: Membership) -> Restored {
        bootstrap_in_term(BOOTSTRAP_TERM, membership)
    }

    /// As [`Node::bootstrap`], for a group that is founded after a former founding may have left logs somewhere. Its
    /// terms are such that none of its entries is taken for one of another founding: a log that holds others is
    /// found to differ.
    pub fn bootstrap_again(membership: Membership) -> Restored {
        let mix = |mixed: Term, id: NodeId| mixed.rotate_left(TERM_MIX_BITS) ^ id ^ (id >> u32::BITS);
        let mixed = membership.members.iter().map(|member| member.id).fold(0, mix);
        bootstrap_in_term(BOOTSTRAP_TERM + 1 + (mixed & MAX_TERM_OFFSET), membership)
    }

    /// Takes an event at a time of the steady clock, in nanoseconds, and appends what is to be done. Times never
    /// decrease.
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

    /// When [`Event::Tick`] is due at the latest, in nanoseconds of the steady clock.
    pub fn next_timer(&self) -> u64 {
        match &self.role {
            Role::Leader(leadership) => leadership.next_heartbeat,
            _ => self.election_at.min(self.unanimous_election_at.unwrap_or(u64::MAX)),
        }
    }

    /// End of the lease, in nanoseconds of the steady clock: until then no other process can have committed anything,
    /// and what is committed here is the newest. 0 unless this process leads, has committed an entry of its own term,
    /// and is not transferring leadership.
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

    /// Whether this process leads, as far as it knows.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// How this process last stopped leading; `None` if it never did since its start.
    pub fn last_step_down(&self) -> Option<&StepDown> {
        self.last_step_down.as_ref()
    }

    /// The leader that this process follows, or itself.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// The newest term seen.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The members in force.
    pub fn membership(&self) -> &Membership {
        self.memberships.current()
    }

    /// Whether this process is a member, as far as it knows.
    pub fn is_member(&self) -> bool {
        self.membership().contains(self.options.id)
    }

    /// Whether this process may be given up for another founding, as one whose disk is lost: it follows and leads
    /// nobody, and its log holds no command.
    ///
    /// What a group acknowledged is on the disks of a majority of the voters that it wants, less those that are lost at
    /// this time. So a process without a command counts for nothing that was acknowledged, whatever it voted for, and
    /// [`crate::Founding`] asks more of them than may be lost.
    pub fn is_uninitialized(&self) -> bool {
        self.leader.is_none() && !self.is_leader() && !self.holds_commands()
    }

    /// Addresses of the voters of the group that this process, without a command itself, may have been confirmed for:
    /// they have had a leader, and are as many as the group wants. Empty if there is no such group.
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

    /// Whether the log holds commands, or has ever been compacted, which takes a snapshot of their effects.
    pub fn holds_commands(&self) -> bool {
        self.snapshot.is_some() || self.log.base_index() > 0 || self.log.has_command()
    }

    /// Whether the caller should send, now and then, a join request to the process that is said to lead, which hands
    /// it in as [`Event::Join`]: this process is no member, or it hears from no leader and may have been removed.
    pub fn should_join(&self) -> bool {
        self.leader.is_none() || !self.is_member()
    }

    /// The last entry known to be committed.
    pub fn commit_index(&self) -> Index {
        self.commit
    }

    /// The last entry of the log.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// What a snapshot of the state machine as of this committed entry carries; `None` if the entry is not committed
    /// or compacted away.
    pub fn snapshot_meta(&self, index: Index) -> Option<SnapshotMeta> {
        if index > self.commit {
            return None;
        }
        let term = self.log.term_at(index)?;
        let membership = self.memberships.at(index).clone();
        Some(SnapshotMeta { index, term, membership })
    }

    /// Whether the event shows that a follower's leader, or a leader's follower, is alive: it counts before the timers,
    /// which a busy process runs late.
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

    /// Up to where the log can be compacted now that a snapshot covers it up to `index`, and no follower that responds
    /// needs more.
    fn compaction_point(&self, index: Index) -> Index {
        let options = &self.options;
        let usual = self.log.compaction_point(index, options.retained_entries, options.retained_bytes);
        let Role::Leader(leadership) = &self.role else { return usual };
        let contact_since = self.now.saturating_sub(nanoseconds(options.replacement_timeout));
        let needed = leadership.least_expected_match(contact_since, self.log.base_index());
        let furthest = self.log.compaction_point(index, u64::MAX, options.retained_bytes_for_followers);
        usual.min(needed.unwrap_or(usual).max(furthest))
    }

    /// Draws when this process campaigns unless it hears from a leader.
    pub(crate) fn reset_election_timer(&mut self) {
        let least = nanoseconds(self.options.election_timeout);
        self.election_at = self.now + self.rng.u64(least..=least.saturating_mul(2));
    }

    /// Changes term or vote; the change goes into the next write.
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

    /// Appends an entry to the log and to the next write. A membership is in force from here.
    pub(crate) fn append(&mut self, entry: Entry, out: &mut Vec<Output>) {
        if let Payload::Membership(membership) = &entry.payload {
            self.memberships.push(entry.index, membership.clone());
            self.was_member |= membership.contains(self.options.id);
            out.push(Output::MembershipChanged { membership: membership.clone() });
        }
        self.durability.add_entry(entry.clone());
        self.log.push(entry);
    }

    /// Removes entries from this index on, which must not be committed.
    pub(crate) fn truncate(&mut self, from: Index, out: &mut Vec<Output>) {
        self.log.truncate_from(from);
        self.durability.add_truncation(from);
        if self.memberships.truncate_from(from) {
            out.push(Output::MembershipChanged { membership: self.membership().clone() });
        }
    }

    /// Hands out entries that have become committed.
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

    /// Reports once that a membership without this process is committed.
    pub(crate) fn report_removal(&mut self, out: &mut Vec<Output>) {
        let (index, membership) = (self.memberships.changed_at(), self.memberships.current());
        if self.was_member && index <= self.commit && !membership.contains(self.options.id) {
            self.was_member = false;
            out.push(Output::Removed);
        }
    }
}
