//! What a process keeps while it leads.

use std::collections::BTreeMap;

use crate::clock::nanoseconds;
use crate::options::Options;
use crate::progress::Progress;
use crate::quorum::quorum_value;
use crate::types::{Index, Member, Membership, NodeId, Term};

/// Processes that are no members and learn of their removal at one time.
const MAX_NON_MEMBERS: usize = 8;
/// Join requests that are pending at one time; a process whose request is dropped repeats it.
const MAX_JOIN_REQUESTS: usize = 32;

/// A transfer of leadership under way. From its start the leader holds no lease.
#[derive(Clone, Debug)]
pub(crate) struct Transfer {
    pub target: NodeId,
    /// When it times out, in nanoseconds of the steady clock.
    pub until: u64,
    /// TimeoutNow has gone out: an election without regard to the lease may begin at any time.
    pub timeout_now_sent: bool,
    /// A proposal was dropped: the caller's state machine lacks what it takes for proposed.
    pub dropped_proposals: bool,
}

impl Transfer {
    /// Whether leadership ends if the transfer times out.
    pub fn ends_leadership(&self) -> bool {
        self.timeout_now_sent || self.dropped_proposals
    }

    /// Whether the target was asked to campaign.
    pub fn is_requested(&self) -> bool {
        self.timeout_now_sent
    }
}

/// A change of membership that is decided, and appended once those that it needs are known to respond still.
#[derive(Clone, Debug)]
pub(crate) struct PendingChange {
    pub membership: Membership,
    /// When it was decided, in nanoseconds of the steady clock.
    pub decided_at: u64,
}

/// What a process keeps while it leads.
///
/// The lease only grows within a term, and counts from the clock of this process when it sent the messages that a
/// majority has acknowledged: from then on no voter of that majority votes for another process during the leader
/// stickiness, which is longer by the margin.
#[derive(Clone, Debug)]
pub(crate) struct Leadership {
    pub term: Term,
    /// The first entry of its term; once it is committed, the leader's state is complete.
    pub noop_index: Index,
    /// Whether it is committed.
    pub noop_committed: bool,
    /// Whether the caller knows that this process leads with a complete state.
    pub announced: bool,
    /// When heartbeats are due, in nanoseconds of the steady clock.
    pub next_heartbeat: u64,
    /// The last run of the timer was late, and its lateness was taken for the reason why responses were missing.
    late_tick_excused: bool,
    /// Members other than itself, and processes that are no members and learn so from the log.
    pub progress: BTreeMap<NodeId, Progress>,
    pub transfer: Option<Transfer>,
    /// When the membership in force was found to be committed.
    pub membership_committed_at: u64,
    /// Processes that ask to become members, oldest request first.
    pub join_requests: Vec<Member>,
    pub pending_change: Option<PendingChange>,
    /// When the lease expires, in nanoseconds of the steady clock; 0 before the first.
    lease: u64,
}

impl Leadership {
    pub fn new(term: Term, noop_index: Index, next_heartbeat: u64) -> Leadership {
        Leadership {
            term,
            noop_index,
            noop_committed: false,
            announced: false,
            next_heartbeat,
            late_tick_excused: false,
            progress: BTreeMap::new(),
            transfer: None,
            membership_committed_at: 0,
            join_requests: Vec::new(),
            pending_change: None,
            lease: 0,
        }
    }

    /// How long a majority may not respond before leadership ends (check of quorum), in nanoseconds. Where the process
    /// was too busy to run its timer in time, responses may still wait to be read: they get one more interval.
    pub fn quorum_timeout(&mut self, now: u64, options: &Options) -> u64 {
        let late = now.saturating_sub(self.next_heartbeat) > nanoseconds(options.heartbeat_interval) / 2;
        let excused = late && !self.late_tick_excused;
        self.late_tick_excused = late;
        if excused {
            nanoseconds(options.election_timeout).saturating_mul(2)
        } else {
            nanoseconds(options.election_timeout)
        }
    }

    /// See [`crate::Node::lease_until`].
    pub fn lease_until(&self) -> u64 {
        if self.noop_committed && self.transfer.is_none() {
            self.lease
        } else {
            0
        }
    }

    /// When the newest lease that was granted expires, whether or not it counts now; 0: none was granted.
    pub fn granted_until(&self) -> u64 {
        self.lease
    }

    /// Extends the lease to what follows from the messages that a majority has acknowledged.
    pub fn renew_lease(&mut self, own: NodeId, now: u64, membership: &Membership, options: &Options) {
        let clocks = membership.voters().map(|voter| match self.progress.get(&voter) {
            Some(progress) => progress.acknowledged_clock,
            None if voter == own => now,
            None => 0,
        });
        let quorum_clock = quorum_value(clocks, membership.quorum());
        if quorum_clock > 0 {
            self.lease = self.lease.max(quorum_clock + nanoseconds(options.lease()));
        }
    }

    /// The least index up to which a follower that responded since then has, or is receiving, the log. Followers that
    /// need a snapshot first, given the base of the log, do not count.
    pub fn least_expected_match(&self, contact_since: u64, base: Index) -> Option<Index> {
        let recent = self.progress.values().filter(|progress| progress.last_contact_at >= contact_since);
        recent.map(Progress::expected_match_index).filter(|index| *index >= base).min()
    }

    /// When a majority was last heard from.
    pub fn quorum_contact_at(&self, own: NodeId, now: u64, membership: &Membership) -> u64 {
        let contacts = membership.voters().map(|voter| match self.progress.get(&voter) {
            Some(progress) => progress.last_contact_at,
            None if voter == own => now,
            None => 0,
        });
        quorum_value(contacts, membership.quorum())
    }

    /// The last entry that a majority of the voters has durable.
    pub fn quorum_match_index(&self, own: NodeId, own_durable: Index, membership: &Membership) -> Index {
        let matches = membership.voters().map(|voter| match self.progress.get(&voter) {
            Some(progress) => progress.match_index,
            None if voter == own => own_durable,
            None => 0,
        });
        quorum_value(matches, membership.quorum())
    }

    /// The voter with most of the log among those that responded since then.
    pub fn transfer_target(&self, membership: &Membership, contact_since: u64) -> Option<NodeId> {
        let voters = membership.voters();
        let known = voters.filter_map(|voter| self.progress.get(&voter).map(|progress| (voter, progress)));
        let recent = known.filter(|(_, progress)| progress.last_contact_at >= contact_since);
        recent.max_by_key(|(_, progress)| progress.match_index).map(|(voter, _)| voter)
    }

    /// Replicates to a process that is no member, so that it learns so from the log.
    pub fn track_non_member(&mut self, id: NodeId, membership: &Membership, next: Index, now: u64) {
        let non_members = self.progress.keys().filter(|id| !membership.contains(**id)).count();
        if non_members < MAX_NON_MEMBERS {
            self.progress.entry(id).or_insert_with(|| Progress::new(next, now));
        }
    }

    /// Replicates to new members from here on. Removed ones stay until they know of their removal.
    pub fn track_members(&mut self, own: NodeId, membership: &Membership, next: Index, now: u64) {
        for member in membership.members.iter().filter(|member| member.id != own) {
            self.progress.entry(member.id).or_insert_with(|| Progress::new(next, now));
        }
    }

    /// Keeps the request of a process to become a member, in place of an older one of the same process or address.
    pub fn add_join_request(&mut self, member: Member) {
        self.join_requests.retain(|request| request.id != member.id && request.address != member.address);
        if self.join_requests.len() < MAX_JOIN_REQUESTS {
            self.join_requests.push(member);
        }
    }
}
