//! Elections: pre-votes, votes, and the rejection of both while a leader may hold a lease.
//!
//! A restarted process may have acknowledged a leader right before it ended, and that leader's lease then still holds.
//! So it rejects vote requests for the leader stickiness, unless the election is unanimous: such an election takes the
//! vote of every voter, and a process that leads or hears from a leader gives none. Whoever wins it knows that no lease
//! is held: after a loss of power on all machines the next leader need not wait for one to expire.
//!
//! Only the leader's own message or time ends a lease. What a connection shows, such as a refused connection or another
//! identity at the leader's address, may come from a filter or late, and changes only when this process campaigns.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::clock::nanoseconds;
use crate::interface::Output;
use crate::message::{Message, TimeoutNow, VoteReply, VoteRequest};
use crate::node::Node;
use crate::role::{ElectionRule, Role};
use crate::step_down::{StepDown, StepDownReason};
use crate::types::{HardState, NodeId, Term};

/// Why a process campaigns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CampaignReason {
    /// It has not heard from a leader in time, or has restarted.
    Timeout,
    /// The leader asked it to.
    Transfer,
}

impl Node {
    /// No leader was heard from in time, or an election had no winner.
    pub(crate) fn on_election_timeout(&mut self, out: &mut Vec<Output>) {
        self.reset_election_timer();
        if self.now < self.leader_down_until {
            // The voters that remain campaign in turn.
            let remaining = self.membership().voters().count().saturating_sub(1).max(1) as u64;
            self.election_at = self.now + remaining * nanoseconds(self.options.campaign_stagger);
        }
        self.set_leader(None, out);
        self.role = Role::Follower;
        if self.may_campaign() {
            self.start_pre_vote(ElectionRule::Majority, out);
        }
    }

    /// This process has restarted and heard from no leader since: others may have restarted at the same time.
    pub(crate) fn on_unanimous_election_due(&mut self, out: &mut Vec<Output>) {
        self.unanimous_election_at = Some(self.now + nanoseconds(self.options.unanimous_election_interval));
        let other_election = match self.role {
            Role::Follower | Role::PreCandidate { rule: ElectionRule::Unanimity, .. } => false,
            Role::PreCandidate { .. } | Role::Candidate { .. } | Role::Leader(_) => true,
        };
        if !other_election && self.may_campaign() {
            self.start_pre_vote(ElectionRule::Unanimity, out);
        }
    }

    /// Whether this process could lead: its disk finishes writes, and it is a voter, or was one before a change that is
    /// not known to be committed.
    ///
    /// A voter that has written its own demotion or removal, and nobody else has, may be needed to elect a leader: its
    /// log is the longest, so it rejects the others (section 4.2.2 of the thesis). It counts no vote of its own, since it
    /// is no voter of its newest membership.
    pub(crate) fn may_campaign(&self) -> bool {
        !self.disk_stalls() && (self.is_voter() || self.was_voter_before_uncommitted_change())
    }

    pub(crate) fn disk_stalls(&self) -> bool {
        self.durability.oldest_write_age(self.now) > nanoseconds(self.options.disk_stall_timeout)
    }

    pub(crate) fn is_voter(&self) -> bool {
        self.membership().is_voter(self.options.id)
    }

    fn was_voter_before_uncommitted_change(&self) -> bool {
        let changed_at = self.memberships.changed_at();
        changed_at > self.commit && self.memberships.at(changed_at - 1).is_voter(self.options.id)
    }

    fn start_pre_vote(&mut self, rule: ElectionRule, out: &mut Vec<Output>) {
        self.role = Role::PreCandidate { rule, granted: BTreeSet::from([self.options.id]) };
        if self.votes.has_replies(self.options.id) {
            self.earlier_votes = std::mem::take(&mut self.votes);
        }
        if self.has_won() {
            self.campaign(rule, CampaignReason::Timeout, out);
            return;
        }
        let term = self.hard_state.term + 1;
        let request = VoteRequest { pre_vote: true, ..self.vote_request(term, rule) };
        for voter in self.other_voters() {
            out.push(Output::Send { to: voter, message: Message::VoteRequest(request.clone()) });
        }
    }

    /// Votes for itself in the next term. The requests leave once that vote is durable: else, after a crash, this
    /// process could campaign in the same term with a shorter log and win with the votes for the longer one.
    fn campaign(&mut self, rule: ElectionRule, reason: CampaignReason, out: &mut Vec<Output>) {
        self.reset_election_timer();
        self.set_leader(None, out);
        let term = self.hard_state.term + 1;
        self.set_hard_state(HardState { term, vote: Some(self.options.id) });
        self.role = Role::Candidate { rule, granted: BTreeSet::new() };
        let transfer = reason == CampaignReason::Transfer;
        let request = VoteRequest { transfer, ..self.vote_request(term, rule) };
        for voter in self.other_voters() {
            let message = Message::VoteRequest(request.clone());
            self.durability.send_after(self.hard_state_ticket, voter, message, out);
        }
    }

    fn vote_request(&self, term: Term, rule: ElectionRule) -> VoteRequest {
        VoteRequest {
            term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            pre_vote: false,
            transfer: false,
            unanimous: rule == ElectionRule::Unanimity,
        }
    }

    fn other_voters(&self) -> Vec<NodeId> {
        self.membership().voters().filter(|voter| *voter != self.options.id).collect()
    }

    fn has_won(&self) -> bool {
        match &self.role {
            Role::PreCandidate { rule, granted } | Role::Candidate { rule, granted } => {
                rule.is_won_by(granted, self.membership())
            }
            Role::Follower | Role::Leader(_) => false,
        }
    }

    /// The candidate's own vote counts once it is durable.
    pub(crate) fn count_own_vote(&mut self, out: &mut Vec<Output>) {
        if !self.durability.is_durable(self.hard_state_ticket) {
            return;
        }
        if let Role::Candidate { granted, .. } = &mut self.role {
            granted.insert(self.options.id);
        }
        self.finish_election(out);
    }

    fn finish_election(&mut self, out: &mut Vec<Output>) {
        if !self.has_won() {
            return;
        }
        match self.role {
            Role::PreCandidate { rule, .. } => self.campaign(rule, CampaignReason::Timeout, out),
            Role::Candidate { .. } => self.become_leader(out),
            Role::Follower | Role::Leader(_) => {}
        }
    }

    pub(crate) fn on_vote_request(&mut self, from: NodeId, request: &VoteRequest, out: &mut Vec<Output>) {
        self.probe_peer(from, out);
        if request.pre_vote {
            let granted = request.term > self.hard_state.term && self.may_vote_for(from, request);
            if granted && !request.unanimous {
                self.postpone_campaign();
            }
            let term = if granted { request.term } else { self.hard_state.term };
            self.reply_to_vote(from, VoteReply { term, granted, pre_vote: true }, out);
            return;
        }
        let may_vote = self.may_vote_for(from, request);
        if request.term > self.hard_state.term && self.may_leave_leader(from, request) {
            self.become_follower(request.term, None, out);
        }
        let term = self.hard_state.term;
        let free = self.hard_state.vote.is_none_or(|voted| voted == from);
        let granted = may_vote && request.term == term && free && !self.is_leader();
        if granted && self.hard_state.vote.is_none() {
            self.set_hard_state(HardState { term, vote: Some(from) });
        }
        if granted {
            self.role = Role::Follower;
            self.reset_election_timer();
        }
        self.reply_to_vote(from, VoteReply { term, granted, pre_vote: false }, out);
    }

    /// Another process is about to campaign: a campaign at the same time would split the votes.
    fn postpone_campaign(&mut self) {
        let later = self.now + nanoseconds(self.options.election_timeout) / 2;
        self.election_at = self.election_at.max(later);
    }

    /// A granted vote leaves once it is durable, a rejection at once.
    fn reply_to_vote(&mut self, to: NodeId, reply: VoteReply, out: &mut Vec<Output>) {
        let ticket = if reply.granted && !reply.pre_vote { self.hard_state_ticket } else { 0 };
        self.durability.send_after(ticket, to, Message::VoteReply(reply), out);
    }

    fn may_vote_for(&self, candidate: NodeId, request: &VoteRequest) -> bool {
        let log = (self.log.last_term(), self.log.last_index());
        (request.last_term, request.last_index) >= log && self.may_leave_leader(candidate, request)
    }

    /// Whether no leader can count on this process, or the election is unanimous and the candidate ranks above it.
    fn may_leave_leader(&self, candidate: NodeId, request: &VoteRequest) -> bool {
        self.hears_no_other_leader(candidate, request)
            || request.unanimous && self.ranks_below(candidate, request)
    }

    /// The order of candidates in a unanimous election, of which one must win: by the log, then the least identity.
    /// False for a process that leads or follows a leader.
    fn ranks_below(&self, candidate: NodeId, request: &VoteRequest) -> bool {
        let own = (self.log.last_term(), self.log.last_index(), Reverse(self.options.id));
        let its = (request.last_term, request.last_index, Reverse(candidate));
        self.leader.is_none() && !self.is_leader() && its > own
    }

    /// Whether no leader can hold a lease that counts on this process. The leader's own vote request shows that its
    /// lease has ended, and so does a transfer of leadership.
    fn hears_no_other_leader(&self, candidate: NodeId, request: &VoteRequest) -> bool {
        let hears_leader = self.is_leader() || self.now < self.votes_rejected_until;
        let lease_ended = request.transfer && !request.pre_vote || self.leader == Some(candidate);
        !hears_leader || lease_ended
    }

    pub(crate) fn on_vote_reply(&mut self, from: NodeId, reply: &VoteReply, out: &mut Vec<Output>) {
        if !reply.granted {
            self.votes.granted.remove(&from);
            self.votes.rejected.insert(from);
            let known = self.membership().contains(from);
            if known && !self.is_leader() && reply.term > self.hard_state.term {
                self.become_follower(reply.term, None, out);
            }
            return;
        }
        let term = self.hard_state.term;
        match &mut self.role {
            Role::PreCandidate { granted, .. } if reply.pre_vote && reply.term == term + 1 => {
                granted.insert(from);
            }
            Role::Candidate { granted, .. } if !reply.pre_vote && reply.term == term => {
                granted.insert(from);
            }
            _ => return,
        }
        self.votes.rejected.remove(&from);
        self.votes.granted.insert(from);
        self.finish_election(out);
    }

    pub(crate) fn on_timeout_now(&mut self, from: NodeId, request: &TimeoutNow, out: &mut Vec<Output>) {
        let asked_by_leader = request.term == self.hard_state.term && self.leader == Some(from);
        let voter = self.membership().is_voter(self.options.id);
        if asked_by_leader && voter && !self.is_leader() {
            self.campaign(ElectionRule::Majority, CampaignReason::Transfer, out);
        }
    }

    /// Becomes a follower in this term, which is not below its own.
    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<NodeId>, out: &mut Vec<Output>) {
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, vote: None });
            self.incoming = None;
        }
        if self.is_leader() {
            self.step_down(StepDownReason::HigherTerm { term }, out);
        } else {
            self.role = Role::Follower;
        }
        self.set_leader(leader, out);
    }

    /// Becomes a follower after it led. Its own lease has ended, so it may vote at once.
    pub(crate) fn step_down(&mut self, reason: StepDownReason, out: &mut Vec<Output>) {
        if let Role::Leader(leadership) = &self.role {
            let quorum_contact_at =
                leadership.quorum_contact_at(self.options.id, self.now, self.membership());
            self.last_step_down = Some(StepDown::of(leadership, reason, quorum_contact_at));
        }
        self.role = Role::Follower;
        self.votes_rejected_until = self.now;
        self.reset_election_timer();
        out.push(Output::SteppedDown);
        self.set_leader(None, out);
    }

    /// The leader's process seems to have ended. Voters campaign once its lease must have expired, in the order of
    /// their identities, so that they do not split the votes.
    pub(crate) fn on_peer_down(&mut self, peer: NodeId) {
        if self.leader == Some(peer) && !self.is_leader() {
            self.campaign_after_lease_expiry();
        }
    }

    /// No process seems to lead: this one campaigns as soon as the others may vote, without a random election timeout.
    pub(crate) fn campaign_after_lease_expiry(&mut self) {
        let (own_id, leader) = (self.options.id, self.leader);
        let ahead =
            self.membership().voters().filter(|voter| Some(*voter) != leader && *voter < own_id).count();
        // The margin: clocks of the other voters may run slower, and the leader's last message may have reached them a
        // little later.
        let lease_end = self.votes_rejected_until.max(self.now) + nanoseconds(self.options.lease_margin);
        self.leader_down_until = lease_end + nanoseconds(self.options.election_timeout);
        self.election_at = lease_end + ahead as u64 * nanoseconds(self.options.campaign_stagger);
    }

    /// A message of the leader of this term has arrived: follows it, and rejects vote requests for the leader
    /// stickiness. False if the term is stale.
    pub(crate) fn accept_leader(&mut self, from: NodeId, term: Term, out: &mut Vec<Output>) -> bool {
        if term < self.hard_state.term || (term == self.hard_state.term && self.is_leader()) {
            return false;
        }
        if term > self.hard_state.term || self.leader != Some(from) || !matches!(self.role, Role::Follower) {
            self.become_follower(term, Some(from), out);
        }
        self.votes_rejected_until = self.now + nanoseconds(self.options.leader_stickiness);
        self.reset_election_timer();
        self.unanimous_election_at = None;
        self.leader_down_until = 0;
        true
    }
}
