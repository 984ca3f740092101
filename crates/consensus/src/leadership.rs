//! What a process keeps while it leads.

use std::collections::BTreeMap;

use crate::options::Options;
use crate::progress::Progress;
use crate::quorum::quorum_value;
use crate::types::{Index, Member, Membership, NodeId, Term};

/// Processes outside the membership that are told of their removal at one time.
const MAX_GUESTS: usize = 8;
/// Processes that wait to become members at one time; more ask again.
const MAX_JOINS: usize = 32;

/// Leadership on its way to another process.
#[derive(Clone, Debug)]
pub(crate) struct Transfer {
    pub target: NodeId,
    /// When to give up.
    pub until: u64,
    /// TimeoutNow has gone out: an election without regard to the lease may begin at any time.
    pub ordered: bool,
}

/// What a process keeps while it leads.
#[derive(Clone, Debug)]
pub(crate) struct Leadership {
    pub term: Term,
    /// The first entry of its term; once it is committed, the leader's state is complete.
    pub noop: Index,
    /// Whether that has been told.
    pub announced: bool,
    pub next_heartbeat: u64,
    /// The last run of the timer was late, and its lateness was taken for the reason of a silence.
    excused: bool,
    /// Members other than itself, and guests: processes outside the membership that learn so from the log.
    pub progress: BTreeMap<NodeId, Progress>,
    pub transfer: Option<Transfer>,
    /// When the membership in force was seen to be committed.
    pub members_settled_at: u64,
    /// Processes that ask to become members.
    pub joins: Vec<Member>,
    lease: u64,
}

impl Leadership {
    pub fn new(term: Term, noop: Index, next_heartbeat: u64) -> Leadership {
        Leadership {
            term,
            noop,
            announced: false,
            next_heartbeat,
            excused: false,
            progress: BTreeMap::new(),
            transfer: None,
            members_settled_at: 0,
            joins: Vec::new(),
            lease: 0,
        }
    }

    /// The silence of a majority after which leadership ends. Answers may wait to be read where the process was too
    /// busy to run its timer in time: they get one more turn.
    pub fn patience(&mut self, now: u64, options: &Options) -> u64 {
        let late = now.saturating_sub(self.next_heartbeat) > options.heartbeat / 2;
        let excused = late && !self.excused;
        self.excused = late;
        if excused {
            options.election_timeout.saturating_mul(2)
        } else {
            options.election_timeout
        }
    }

    /// See [`crate::Node::lease_until`].
    pub fn lease_until(&self) -> u64 {
        if self.announced && self.transfer.is_none() {
            self.lease
        } else {
            0
        }
    }

    /// Recomputes the lease from the rounds that a majority has answered.
    pub fn renew_lease(&mut self, own: NodeId, now: u64, membership: &Membership, options: &Options) {
        let rounds = membership.voters().map(|voter| match self.progress.get(&voter) {
            Some(progress) => progress.acknowledged_round,
            None if voter == own => now,
            None => 0,
        });
        let round = quorum_value(rounds, membership.quorum());
        if round > 0 {
            self.lease = self.lease.max(round + options.lease());
        }
    }

    /// The least index up to which one of the followers heard lately has, or is receiving, the log; of those that need
    /// no snapshot first, given the base of the log.
    pub fn least_index_of_followers(&self, heard_since: u64, base: Index) -> Option<Index> {
        let lately = self.progress.values().filter(|progress| progress.heard_at >= heard_since);
        lately.map(Progress::index_in_reach).filter(|index| *index >= base).min()
    }

    /// When a majority was last heard from.
    pub fn majority_heard_at(&self, own: NodeId, now: u64, membership: &Membership) -> u64 {
        let heard = membership.voters().map(|voter| match self.progress.get(&voter) {
            Some(progress) => progress.heard_at,
            None if voter == own => now,
            None => 0,
        });
        quorum_value(heard, membership.quorum())
    }

    /// The last entry that a majority of the voters has durable.
    pub fn majority_match(&self, own: NodeId, own_durable: Index, membership: &Membership) -> Index {
        let matches = membership.voters().map(|voter| match self.progress.get(&voter) {
            Some(progress) => progress.match_index,
            None if voter == own => own_durable,
            None => 0,
        });
        quorum_value(matches, membership.quorum())
    }

    /// The voter with most of the log among those heard lately.
    pub fn best_successor(&self, membership: &Membership, heard_since: u64) -> Option<NodeId> {
        let voters = membership.voters();
        let heard = voters.filter_map(|voter| self.progress.get(&voter).map(|progress| (voter, progress)));
        let lately = heard.filter(|(_, progress)| progress.heard_at >= heard_since);
        lately.max_by_key(|(_, progress)| progress.match_index).map(|(voter, _)| voter)
    }

    /// Follows a process outside the membership, so that it learns from the log that it is outside.
    pub fn add_guest(&mut self, id: NodeId, membership: &Membership, next: Index, now: u64) {
        let guests = self.progress.keys().filter(|id| !membership.contains(**id)).count();
        if guests < MAX_GUESTS {
            self.progress.entry(id).or_insert_with(|| Progress::new(next, now));
        }
    }

    /// Follows new members from here on. Those that left stay as guests until they know.
    pub fn follow_members(&mut self, own: NodeId, membership: &Membership, next: Index, now: u64) {
        for member in membership.members.iter().filter(|member| member.id != own) {
            self.progress.entry(member.id).or_insert_with(|| Progress::new(next, now));
        }
    }

    /// Remembers a process that asks to become a member.
    pub fn add_join(&mut self, member: Member) {
        self.joins.retain(|waiting| waiting.id != member.id && waiting.address != member.address);
        if self.joins.len() < MAX_JOINS {
            self.joins.push(member);
        }
    }
}
