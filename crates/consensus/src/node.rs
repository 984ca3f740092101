//! One process of the group: its state, and the dispatch of events.

use std::collections::BTreeSet;

use fastrand::Rng;

use crate::durability::Durability;
use crate::election::Rule;
use crate::error::RestoredError;
use crate::interface::{Event, Message, Output};
use crate::leadership::Leadership;
use crate::log::Log;
use crate::memberships::Memberships;
use crate::options::Options;
use crate::snapshots::IncomingSnapshot;
use crate::types::{
    Entry, HardState, Index, Membership, NodeId, Payload, Restored, Snapshot, SnapshotMeta, Term,
    BOOTSTRAP_TERM,
};

/// What a process does at present.
#[derive(Clone, Debug)]
pub(crate) enum Role {
    Follower,
    /// Asks whether it would be elected.
    PreCandidate {
        rule: Rule,
        granted: BTreeSet<NodeId>,
    },
    /// Asks for votes. Its own counts once it is durable.
    Candidate {
        rule: Rule,
        granted: BTreeSet<NodeId>,
    },
    Leader(Leadership),
}

/// One process of the group, without input and output: events and the time go in, outputs come out.
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
    /// Until then votes are refused: a leader may hold a lease.
    pub(crate) quiet_until: u64,
    pub(crate) election_at: u64,
    /// When a restarted process that has heard no leader asks all voters to elect it at once.
    pub(crate) unanimity_at: Option<u64>,
    /// Until then the leader's process is taken to have ended: elections follow one another in short steps.
    pub(crate) vacant_until: u64,
    /// Whether a membership with this process was in force and its removal has not been told yet.
    pub(crate) was_member: bool,
}

impl Node {
    /// A process that starts with what its disk gave back. `seed` draws its timeouts.
    pub fn new(options: Options, restored: Restored, now: u64, seed: u64) -> Node {
        let fresh = restored.hard_state.term <= BOOTSTRAP_TERM && restored.snapshot.is_none();
        let hard_state = restored.hard_state;
        let (log, memberships, commit) = load(&restored);
        let last_index = log.last_index();
        let was_member = memberships.latest().1.contains(options.id);
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
            quiet_until: now,
            election_at: now,
            unanimity_at: None,
            vacant_until: 0,
            was_member,
            options,
        };
        if fresh {
            // Nobody can have led yet: no lease to wait for.
            node.election_at = now + node.rng.u64(node.options.heartbeat / 2..=node.options.heartbeat * 2);
        } else {
            node.quiet_until = now + node.options.vote_pause;
            node.stand_after_leases();
            node.unanimity_at = Some(now + node.rng.u64(0..=node.options.unanimity_step));
        }
        node
    }

    /// What each founder of a group starts with. The caller makes it durable before [`Node::new`]. All founders must
    /// name the same members in the same order, and have never been part of a group.
    pub fn bootstrap(membership: Membership) -> Restored {
        let payload = Payload::Membership(membership);
        Restored {
            hard_state: HardState { term: BOOTSTRAP_TERM, vote: None },
            snapshot: None,
            entries: vec![Entry { index: 1, term: BOOTSTRAP_TERM, payload }],
        }
    }

    /// Takes an event at a time of the steady clock, and appends what is to be done. Times never fall.
    pub fn handle(&mut self, now: u64, event: Event, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        if !self.is_sign_of_life(&event) {
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
            Event::PeerLost { to } => self.on_peer_lost(to, out),
            Event::PeerDown { peer } => self.on_peer_down(peer),
        }
        self.durability.flush(self.now, self.log.last_index(), out);
    }

    /// When [`Event::Tick`] is due at the latest.
    pub fn next_timer(&self) -> u64 {
        match &self.role {
            Role::Leader(leadership) => leadership.next_heartbeat,
            _ => self.election_at.min(self.unanimity_at.unwrap_or(u64::MAX)),
        }
    }

    /// Until then no other process can have committed anything: what is committed here is the newest. 0 unless this
    /// process leads, has committed an entry of its own term, and is not handing leadership over.
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
        self.memberships.latest().1
    }

    /// Whether this process is a member, as far as it knows.
    pub fn is_member(&self) -> bool {
        self.membership().contains(self.options.id)
    }

    /// Whether the caller should ask, now and then, whoever is said to lead for [`Event::Join`]: this process is no
    /// member, or it hears no leader and may have been removed meanwhile.
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

    /// Whether a follower hears its leader, or a leader one that follows it: that counts before the timers, which a
    /// busy process runs late.
    fn is_sign_of_life(&self, event: &Event) -> bool {
        let Event::Message { from, message } = event else { return false };
        match &self.role {
            Role::Follower => {
                let of_leader = matches!(message, Message::AppendRequest(_) | Message::SnapshotChunk(_));
                of_leader && self.leader == Some(*from)
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
        } else if self.unanimity_at.is_some_and(|at| self.now >= at) {
            self.on_unanimity_due(out);
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
        self.durability.persisted(ticket, out);
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
        self.durability.note_snapshot(index);
        let compact_to = self.compaction_point(index);
        if compact_to > self.log.base_index() {
            self.log.compact_to(compact_to);
            self.memberships.compact_to(compact_to);
        }
    }

    /// Up to where the log can go now that a snapshot covers it up to `index`, and no follower that answers needs more.
    fn compaction_point(&self, index: Index) -> Index {
        let options = &self.options;
        let usual = self.log.compaction_point(index, options.kept_entries, options.kept_bytes);
        let Role::Leader(leadership) = &self.role else { return usual };
        let heard_since = self.now.saturating_sub(options.voter_silence);
        let needed = leadership.least_index_of_followers(heard_since, self.log.base_index());
        let furthest = self.log.compaction_point(index, u64::MAX, options.kept_bytes_for_followers);
        usual.min(needed.unwrap_or(usual).max(furthest))
    }

    /// Draws when this process stands for election unless it hears from a leader.
    pub(crate) fn reset_election_timer(&mut self) {
        let least = self.options.election_timeout;
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

    /// Cuts entries off from this index on, which must not be committed.
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
        self.tell_removal(out);
    }

    /// Tells once that a membership without this process is committed.
    pub(crate) fn tell_removal(&mut self, out: &mut Vec<Output>) {
        let (index, membership) = self.memberships.latest();
        if self.was_member && index <= self.commit && !membership.contains(self.options.id) {
            self.was_member = false;
            out.push(Output::Removed);
        }
    }
}

/// Checks that a disk's contents are one log; [`Node::new`] leaves out what is not.
pub fn check_restored(restored: &Restored) -> Result<(), RestoredError> {
    let mut previous: Option<&Entry> = None;
    let base = restored.snapshot.as_ref().map_or(0, |snapshot| snapshot.meta.index);
    for entry in &restored.entries {
        let expected = previous.map_or(base + 1, |previous| previous.index + 1);
        let may_begin_earlier = previous.is_none() && entry.index <= expected;
        if entry.index != expected && !may_begin_earlier && entry.index != base + 1 {
            return Err(RestoredError::Gap(expected, entry.index));
        }
        if previous.is_some_and(|previous| previous.term > entry.term) {
            return Err(RestoredError::TermFalls(entry.index));
        }
        previous = Some(entry);
    }
    Ok(())
}

/// The log in memory, its memberships, and the index up to which all is known to be committed.
fn load(restored: &Restored) -> (Log, Memberships, Index) {
    let meta = restored.snapshot.as_ref().map(|snapshot| snapshot.meta.clone()).unwrap_or_default();
    let at_base = restored.entries.iter().find(|entry| entry.index == meta.index);
    let other_log = at_base.is_some_and(|entry| entry.term != meta.term);
    let mut log = Log::new(meta.index, meta.term);
    let mut memberships = Memberships::new(meta.index, meta.membership);
    if other_log {
        return (log, memberships, meta.index);
    }
    for entry in restored.entries.iter().filter(|entry| entry.index > meta.index) {
        if entry.index != log.last_index() + 1 || entry.term < log.last_term() {
            break;
        }
        if let Payload::Membership(membership) = &entry.payload {
            memberships.push(entry.index, membership.clone());
        }
        log.push(entry.clone());
    }
    (log, memberships, meta.index)
}
