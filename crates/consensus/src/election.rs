//! Elections: pre-votes and votes, and how both are rejected while a leader may hold a lease.
//!
//! A restarted process may have acknowledged a leader right before it stopped, and that leader's lease may
//! still be valid. After a restart, a process therefore rejects vote requests for the duration of the leader
//! stickiness, unless the election is unanimous. A unanimous election needs the vote of every voter, and a
//! process that leads or follows a leader does not grant its vote. The winner of such an election knows that
//! no lease is held, so after a power loss on all machines the next leader does not have to wait for a lease
//! to expire.
//!
//! A lease ends only by a message from the leader itself or by the passage of time. Connection errors, such
//! as a refused connection or another identity at the leader's address, may be caused by a packet filter or
//! be outdated. They only influence when this process campaigns.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::clock::nanoseconds;
use crate::interface::Output;
use crate::message::{Message, TimeoutNow, VoteReply, VoteRequest};
use crate::node::Node;
use crate::role::{ElectionRule, Role};
use crate::step_down::{StepDown, StepDownReason};
use crate::types::{HardState, NodeId, Term};

/// Reason for a campaign.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CampaignReason {
    /// The process has not heard from a leader in time, or has restarted.
    Timeout,
    /// The leader requested the campaign (leadership transfer).
    Transfer,
}

impl Node {
    /// Handles an election timeout: no leader was heard from in time, or an election had no winner.
    pub(crate) fn on_election_timeout(&mut self, out: &mut Vec<Output>) {
        self.reset_election_timer();
        if self.now < self.leader_down_until {
            // The remaining voters campaign one after another.
            let remaining = self.membership().voters().count().saturating_sub(1).max(1) as u64;
            self.election_at = self.now + remaining * nanoseconds(self.options.campaign_stagger);
        }
        self.set_leader(None, out);
        self.role = Role::Follower;
        if self.may_campaign() {
            self.start_pre_vote(ElectionRule::Majority, out);
        }
    }

    /// Starts a unanimous election. This process has restarted and has not heard from a leader since; the
    /// other processes may have restarted at the same time.
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

    /// Whether this process may campaign: its disk is not stalled, and it is a voter, or was a voter before
    /// the latest membership change and that change is not known to be committed.
    ///
    /// If a voter is the only process that has written its own demotion or removal, it may be needed to elect
    /// a leader: its log is the longest, so it rejects all other candidates (section 4.2.2 of the thesis).
    /// Its own vote does not count, because it is not a voter in its latest membership.
    pub(crate) fn may_campaign(&self) -> bool {
        !self.is_disk_stalled() && (self.is_voter() || self.was_voter_before_uncommitted_change())
    }

    pub(crate) fn is_disk_stalled(&self) -> bool {
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
            self.previous_votes = std::mem::take(&mut self.votes);
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

    /// Starts an election in the next term and votes for itself. The vote requests are sent once this vote is
    /// durable. Otherwise, after a crash, this process could campaign in the same term with a shorter log and
    /// win with votes that were granted to the longer log.
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

    /// Counts the candidate's own vote if it is durable.
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
        if request.term > self.hard_state.term && self.may_disregard_leader(from, request) {
            self.become_follower(request.term, None, out);
        }
        let term = self.hard_state.term;
        let vote_available = self.hard_state.vote.is_none_or(|voted| voted == from);
        let granted = may_vote && request.term == term && vote_available && !self.is_leader();
        if granted && self.hard_state.vote.is_none() {
            self.set_hard_state(HardState { term, vote: Some(from) });
        }
        if granted {
            self.role = Role::Follower;
            self.reset_election_timer();
        }
        self.reply_to_vote(from, VoteReply { term, granted, pre_vote: false }, out);
    }

    /// Postpones this process's campaign because another process is about to campaign. Simultaneous campaigns
    /// would split the votes.
    fn postpone_campaign(&mut self) {
        let later = self.now + nanoseconds(self.options.election_timeout) / 2;
        self.election_at = self.election_at.max(later);
    }

    /// Sends a granted vote once it is durable. Sends a rejection or a pre-vote immediately.
    fn reply_to_vote(&mut self, to: NodeId, reply: VoteReply, out: &mut Vec<Output>) {
        let ticket = if reply.granted && !reply.pre_vote { self.hard_state_ticket } else { 0 };
        self.durability.send_after(ticket, to, Message::VoteReply(reply), out);
    }

    fn may_vote_for(&self, candidate: NodeId, request: &VoteRequest) -> bool {
        let own_log = (self.log.last_term(), self.log.last_index());
        (request.last_term, request.last_index) >= own_log && self.may_disregard_leader(candidate, request)
    }

    /// Whether this process may vote although a leader may exist: either no leader's lease depends on this
    /// process's vote, or the election is unanimous and the candidate ranks above this process.
    fn may_disregard_leader(&self, candidate: NodeId, request: &VoteRequest) -> bool {
        self.no_lease_depends_on_vote(candidate, request)
            || request.unanimous && self.ranks_below(candidate, request)
    }

    /// Whether this process ranks below the candidate in a unanimous election. Candidates are ranked by their
    /// log, then by the lowest identity, so that exactly one can win. Returns false if this process leads or
    /// follows a leader.
    fn ranks_below(&self, candidate: NodeId, request: &VoteRequest) -> bool {
        let own_rank = (self.log.last_term(), self.log.last_index(), Reverse(self.options.id));
        let candidate_rank = (request.last_term, request.last_index, Reverse(candidate));
        self.leader.is_none() && !self.is_leader() && candidate_rank > own_rank
    }

    /// Whether no leader can hold a lease that depends on this process not voting for others. A vote request
    /// from the leader itself or a leadership transfer shows that the leader's lease has ended.
    fn no_lease_depends_on_vote(&self, candidate: NodeId, request: &VoteRequest) -> bool {
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

    /// Becomes a follower in this term, which must not be lower than the current term.
    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<NodeId>, out: &mut Vec<Output>) {
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, vote: None });
            self.incoming_snapshot = None;
        }
        if self.is_leader() {
            self.step_down(StepDownReason::HigherTerm { term }, out);
        } else {
            self.role = Role::Follower;
        }
        self.set_leader(leader, out);
    }

    /// Steps down from leader to follower. The process's own lease has ended, so it may vote immediately.
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

    /// Handles the hint that a peer's process has exited. If the peer is the leader, the voters campaign once
    /// its lease must have expired, in the order of their identities, so that they do not split the votes.
    pub(crate) fn on_peer_down(&mut self, peer: NodeId) {
        if self.leader == Some(peer) && !self.is_leader() {
            self.campaign_after_lease_expiry();
        }
    }

    /// Schedules a campaign, without a random election timeout, for the time from which on the other
    /// processes may vote. Used when no process seems to be the leader.
    pub(crate) fn campaign_after_lease_expiry(&mut self) {
        let (own_id, leader) = (self.options.id, self.leader);
        let earlier_candidates =
            self.membership().voters().filter(|voter| Some(*voter) != leader && *voter < own_id).count();
        // The lease margin is added because the clocks of the other voters may run slower, and because the
        // leader's last message may have reached them slightly later.
        let lease_end = self.votes_rejected_until.max(self.now) + nanoseconds(self.options.lease_margin);
        self.leader_down_until = lease_end + nanoseconds(self.options.election_timeout);
        self.election_at = lease_end + earlier_candidates as u64 * nanoseconds(self.options.campaign_stagger);
    }

    /// Handles a message from the leader of `term`: follows this leader and rejects vote requests for the
    /// duration of the leader stickiness. Returns false if the term is stale.
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
