//! State that a process keeps while it is the leader.

use std::collections::BTreeMap;

use crate::clock::nanoseconds;
use crate::options::Options;
use crate::progress::Progress;
use crate::quorum::quorum_value;
use crate::types::{Index, Member, Membership, NodeId, Term};

/// Maximum number of non-members to which the leader replicates at one time so that they learn of their
/// removal.
const MAX_NON_MEMBERS: usize = 8;
/// Maximum number of pending join requests. A process whose request is dropped repeats it.
const MAX_JOIN_REQUESTS: usize = 32;

/// A leadership transfer in progress. The leader holds no lease once a transfer has started.
#[derive(Clone, Debug)]
pub(crate) struct Transfer {
    pub target: NodeId,
    /// Time at which the transfer times out, in nanoseconds of the monotonic clock.
    pub deadline: u64,
    /// Whether TimeoutNow has been sent. From then on, an election that ignores the lease may start at any
    /// time.
    pub timeout_now_sent: bool,
    /// Whether a proposal was dropped during the transfer. The caller may have assumed that the command was
    /// proposed, but the log does not contain it.
    pub dropped_proposals: bool,
}

impl Transfer {
    /// Whether the leader must step down if the transfer times out.
    pub fn ends_leadership(&self) -> bool {
        self.timeout_now_sent || self.dropped_proposals
    }

    /// Whether the target has been asked to campaign.
    pub fn is_requested(&self) -> bool {
        self.timeout_now_sent
    }
}

/// A membership change that has been decided but not appended yet. It is appended once the voters that are
/// needed to commit it have been confirmed to still respond.
#[derive(Clone, Debug)]
pub(crate) struct PendingChange {
    pub membership: Membership,
    /// Time of the decision, in nanoseconds of the monotonic clock.
    pub decided_at: u64,
}

/// State that a process keeps while it is the leader.
///
/// The lease only grows within a term. It is counted from the time, on this process's clock, at which the
/// leader sent the messages that a majority has acknowledged. From then on, no voter of that majority votes
/// for another process for the duration of the leader stickiness, which is longer than the lease by the lease
/// margin.
#[derive(Clone, Debug)]
pub(crate) struct Leadership {
    pub term: Term,
    /// Index of the first entry of the leader's term. Once it is committed, the leader knows all committed
    /// entries.
    pub noop_index: Index,
    /// Whether the entry at `noop_index` is committed.
    pub noop_committed: bool,
    /// Whether [`crate::Output::BecameLeader`] has been output.
    pub announced: bool,
    /// Time at which heartbeats are due, in nanoseconds of the monotonic clock.
    pub next_heartbeat: u64,
    /// Whether the last timer run was late enough to explain missing responses.
    late_tick_excused: bool,
    /// Replication progress of all members except the leader itself, and of non-members that are to learn of
    /// their removal from the log.
    pub progress: BTreeMap<NodeId, Progress>,
    pub transfer: Option<Transfer>,
    /// Time at which the membership in effect was found to be committed.
    pub membership_committed_at: u64,
    /// Processes that have requested to become members, oldest request first.
    pub join_requests: Vec<Member>,
    pub pending_change: Option<PendingChange>,
    /// Expiry time of the lease, in nanoseconds of the monotonic clock; 0 before the first lease.
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

    /// Returns how long a majority may fail to respond before the leader steps down (CheckQuorum), in
    /// nanoseconds. If the process was too busy to run its timer on time, unread responses may be pending, so
    /// the timeout is doubled for one timer run.
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

    /// Expiry time of the latest lease, even if the lease is not valid now; 0 if there was no lease.
    pub fn latest_lease_until(&self) -> u64 {
        self.lease
    }

    /// Extends the lease according to the messages that a majority has acknowledged.
    pub fn renew_lease(&mut self, own_id: NodeId, now: u64, membership: &Membership, options: &Options) {
        let clocks = membership.voters().map(|voter| match self.progress.get(&voter) {
            Some(progress) => progress.acknowledged_clock,
            None if voter == own_id => now,
            None => 0,
        });
        let quorum_clock = quorum_value(clocks, membership.quorum());
        if quorum_clock > 0 {
            self.lease = self.lease.max(quorum_clock + nanoseconds(options.lease()));
        }
    }

    /// Returns the lowest expected match index among the followers that have responded since `contact_since`.
    /// Followers whose expected match index is below `base`, which need a snapshot first, are ignored.
    pub fn min_expected_match_index(&self, contact_since: u64, base: Index) -> Option<Index> {
        let recent = self.progress.values().filter(|progress| progress.last_contact_at >= contact_since);
        recent.map(Progress::expected_match_index).filter(|index| *index >= base).min()
    }

    /// Returns the time at which a majority was last heard from.
    pub fn quorum_contact_at(&self, own_id: NodeId, now: u64, membership: &Membership) -> u64 {
        let contacts = membership.voters().map(|voter| match self.progress.get(&voter) {
            Some(progress) => progress.last_contact_at,
            None if voter == own_id => now,
            None => 0,
        });
        quorum_value(contacts, membership.quorum())
    }

    /// Returns the index up to which a majority of the voters has durable entries.
    pub fn quorum_match_index(&self, own_id: NodeId, own_durable: Index, membership: &Membership) -> Index {
        let matches = membership.voters().map(|voter| match self.progress.get(&voter) {
            Some(progress) => progress.match_index,
            None if voter == own_id => own_durable,
            None => 0,
        });
        quorum_value(matches, membership.quorum())
    }

    /// Returns the voter with the highest match index among those that have responded since `contact_since`.
    pub fn transfer_target(&self, membership: &Membership, contact_since: u64) -> Option<NodeId> {
        let voters = membership.voters();
        let known = voters.filter_map(|voter| self.progress.get(&voter).map(|progress| (voter, progress)));
        let recent = known.filter(|(_, progress)| progress.last_contact_at >= contact_since);
        recent.max_by_key(|(_, progress)| progress.match_index).map(|(voter, _)| voter)
    }

    /// Starts to replicate to a non-member, so that it learns from the log that it has been removed.
    pub fn track_non_member(&mut self, id: NodeId, membership: &Membership, next_index: Index, now: u64) {
        let non_members = self.progress.keys().filter(|id| !membership.contains(**id)).count();
        if non_members < MAX_NON_MEMBERS {
            self.progress.entry(id).or_insert_with(|| Progress::new(next_index, now));
        }
    }

    /// Starts to replicate to new members. Removed members stay tracked until they know of their removal.
    pub fn track_members(&mut self, own_id: NodeId, membership: &Membership, next_index: Index, now: u64) {
        for member in membership.members.iter().filter(|member| member.id != own_id) {
            self.progress.entry(member.id).or_insert_with(|| Progress::new(next_index, now));
        }
    }

    /// Stores a process's join request. It replaces older requests from the same process or address.
    pub fn add_join_request(&mut self, member: Member) {
        self.join_requests.retain(|request| request.id != member.id && request.address != member.address);
        if self.join_requests.len() < MAX_JOIN_REQUESTS {
            self.join_requests.push(member);
        }
    }
}
