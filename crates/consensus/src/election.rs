//! Elections: pre-votes, votes, and the refusal of both while a leader may hold a lease.
//!
//! A restarted process may have answered a leader right before, whose lease then still holds. So it gives no vote for
//! the pause of votes, unless the election is unanimous: there every voter, and with them whoever could lead,
//! has to leave all earlier terms, and nobody that leads gives such a vote. After a loss of power on all machines the
//! next leader need not wait for a lease that nobody holds.
//!
//! Only the leader's word or time ends a lease. What a connection shows, such as a refusal or another identity at the
//! leader's address, may come from a filter or late, and changes no more than when this process stands for election.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::interface::{Message, Output, TimeoutNow, VoteReply, VoteRequest};
use crate::node::{Node, Role};
use crate::types::{HardState, NodeId, Term};

/// Whose votes win an election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rule {
    /// A majority of the voters, none of which may have answered a leader within the pause of votes.
    Majority,
    /// All voters, whenever they answered a leader.
    Unanimity,
}

impl Node {
    /// No leader was heard in time, or an election came to nothing.
    pub(crate) fn on_election_timeout(&mut self, out: &mut Vec<Output>) {
        self.reset_election_timer();
        if self.now < self.vacant_until {
            // Those that remain take turns.
            let remaining = self.membership().voters().count().saturating_sub(1).max(1) as u64;
            self.election_at = self.now + remaining * self.options.succession_step;
        }
        self.set_leader(None, out);
        self.role = Role::Follower;
        if self.may_stand() {
            self.ask_whether_elected(Rule::Majority, out);
        }
    }

    /// This process has restarted and heard no leader since: others may have done so at the same time.
    pub(crate) fn on_unanimity_due(&mut self, out: &mut Vec<Output>) {
        self.unanimity_at = Some(self.now + self.options.unanimity_step);
        let other_election = match self.role {
            Role::Follower | Role::PreCandidate { rule: Rule::Unanimity, .. } => false,
            Role::PreCandidate { .. } | Role::Candidate { .. } | Role::Leader(_) => true,
        };
        if !other_election && self.may_stand() {
            self.ask_whether_elected(Rule::Unanimity, out);
        }
    }

    fn may_stand(&self) -> bool {
        let disk_stalls = self.durability.oldest_write_age(self.now) > self.options.disk_stall;
        !disk_stalls && self.membership().is_voter(self.options.id)
    }

    fn ask_whether_elected(&mut self, rule: Rule, out: &mut Vec<Output>) {
        self.role = Role::PreCandidate { rule, granted: BTreeSet::from([self.options.id]) };
        if self.has_enough_votes() {
            self.start_election(rule, false, out);
            return;
        }
        let term = self.hard_state.term + 1;
        let request = VoteRequest { pre_vote: true, ..self.vote_request(term, rule) };
        for voter in self.other_voters() {
            out.push(Output::Send { to: voter, message: Message::VoteRequest(request.clone()) });
        }
    }

    /// Votes for itself in the next term. The requests leave once that vote is durable: after a crash the same term
    /// could otherwise be stood for with a shorter log and the old votes.
    fn start_election(&mut self, rule: Rule, transfer: bool, out: &mut Vec<Output>) {
        self.reset_election_timer();
        self.set_leader(None, out);
        let term = self.hard_state.term + 1;
        self.set_hard_state(HardState { term, vote: Some(self.options.id) });
        self.role = Role::Candidate { rule, granted: BTreeSet::new() };
        let request = VoteRequest { transfer, ..self.vote_request(term, rule) };
        for voter in self.other_voters() {
            let message = Message::VoteRequest(request.clone());
            self.durability.send_after(self.hard_state_ticket, voter, message, out);
        }
    }

    fn vote_request(&self, term: Term, rule: Rule) -> VoteRequest {
        VoteRequest {
            term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            pre_vote: false,
            transfer: false,
            unanimous: rule == Rule::Unanimity,
        }
    }

    fn other_voters(&self) -> Vec<NodeId> {
        self.membership().voters().filter(|voter| *voter != self.options.id).collect()
    }

    fn has_enough_votes(&self) -> bool {
        let (rule, granted) = match &self.role {
            Role::PreCandidate { rule, granted } | Role::Candidate { rule, granted } => (rule, granted),
            Role::Follower | Role::Leader(_) => return false,
        };
        let membership = self.membership();
        let votes = membership.voters().filter(|voter| granted.contains(voter)).count();
        match rule {
            Rule::Majority => votes >= membership.quorum(),
            Rule::Unanimity => votes == membership.voters().count(),
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
        if !self.has_enough_votes() {
            return;
        }
        match self.role {
            Role::PreCandidate { rule, .. } => self.start_election(rule, false, out),
            Role::Candidate { .. } => self.become_leader(out),
            Role::Follower | Role::Leader(_) => {}
        }
    }

    pub(crate) fn on_vote_request(&mut self, from: NodeId, request: &VoteRequest, out: &mut Vec<Output>) {
        self.greet(from, out);
        if request.pre_vote {
            let granted = request.term > self.hard_state.term && self.may_vote_for(from, request);
            if granted && !request.unanimous {
                self.stand_back();
            }
            let term = if granted { request.term } else { self.hard_state.term };
            self.reply_to_vote(from, VoteReply { term, granted, pre_vote: true }, out);
            return;
        }
        let may_vote = self.may_vote_for(from, request);
        if request.term > self.hard_state.term && self.is_free(from, request) {
            self.follow(request.term, None, out);
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

    /// Another process is about to stand: standing beside it would split the votes.
    fn stand_back(&mut self) {
        let later = self.now + self.options.election_timeout / 2;
        self.election_at = self.election_at.max(later);
    }

    /// A granted vote leaves once it is durable; a refusal at once.
    fn reply_to_vote(&mut self, to: NodeId, reply: VoteReply, out: &mut Vec<Output>) {
        let ticket = if reply.granted && !reply.pre_vote { self.hard_state_ticket } else { 0 };
        self.durability.send_after(ticket, to, Message::VoteReply(reply), out);
    }

    fn may_vote_for(&self, candidate: NodeId, request: &VoteRequest) -> bool {
        let log = (self.log.last_term(), self.log.last_index());
        (request.last_term, request.last_index) >= log && self.is_free(candidate, request)
    }

    /// Whether this process is bound to no leader and to no better candidate.
    fn is_free(&self, candidate: NodeId, request: &VoteRequest) -> bool {
        self.hears_no_leader(candidate, request) || request.unanimous && self.yields_to(candidate, request)
    }

    /// Where all have to agree, just one can be elected: the longest log, and of equal ones the least identity.
    fn yields_to(&self, candidate: NodeId, request: &VoteRequest) -> bool {
        let own = (self.log.last_term(), self.log.last_index(), Reverse(self.options.id));
        let its = (request.last_term, request.last_index, Reverse(candidate));
        self.leader.is_none() && !self.is_leader() && its > own
    }

    /// Whether no leader can hold a lease that counts on this process. The leader's own request shows that its lease
    /// has ended, and so does a transfer.
    fn hears_no_leader(&self, candidate: NodeId, request: &VoteRequest) -> bool {
        let in_touch = self.is_leader() || self.now < self.quiet_until;
        let lease_ended = request.transfer && !request.pre_vote || self.leader == Some(candidate);
        !in_touch || lease_ended
    }

    pub(crate) fn on_vote_reply(&mut self, from: NodeId, reply: &VoteReply, out: &mut Vec<Output>) {
        if !reply.granted {
            let known = self.membership().contains(from);
            if known && !self.is_leader() && reply.term > self.hard_state.term {
                self.follow(reply.term, None, out);
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
        self.finish_election(out);
    }

    pub(crate) fn on_timeout_now(&mut self, from: NodeId, request: &TimeoutNow, out: &mut Vec<Output>) {
        let asked_by_leader = request.term == self.hard_state.term && self.leader == Some(from);
        let voter = self.membership().is_voter(self.options.id);
        if asked_by_leader && voter && !self.is_leader() {
            self.start_election(Rule::Majority, true, out);
        }
    }

    /// Becomes a follower in this term, which is not below its own.
    pub(crate) fn follow(&mut self, term: Term, leader: Option<NodeId>, out: &mut Vec<Output>) {
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, vote: None });
            self.incoming = None;
        }
        if self.is_leader() {
            self.step_down(out);
        } else {
            self.role = Role::Follower;
        }
        self.set_leader(leader, out);
    }

    /// Leads no longer. Its own lease is over, so it may vote at once.
    pub(crate) fn step_down(&mut self, out: &mut Vec<Output>) {
        self.role = Role::Follower;
        self.quiet_until = self.now;
        self.reset_election_timer();
        out.push(Output::SteppedDown);
        self.set_leader(None, out);
    }

    /// The leader's process seems to have ended. Voters stand for election once its lease has surely ended, in the
    /// order of their identities, so that they do not split the votes.
    pub(crate) fn on_peer_down(&mut self, peer: NodeId) {
        if self.leader == Some(peer) && !self.is_leader() {
            self.stand_after_leases();
        }
    }

    /// Nobody seems to lead: this process stands for election as soon as the others may vote, without a drawn timeout.
    pub(crate) fn stand_after_leases(&mut self) {
        let (own_id, leader) = (self.options.id, self.leader);
        let ahead =
            self.membership().voters().filter(|voter| Some(*voter) != leader && *voter < own_id).count();
        // The margin: clocks of the other voters may run slower, and they may have heard the leader a little later.
        let lease_end = self.quiet_until.max(self.now) + self.options.lease_margin;
        self.vacant_until = lease_end + self.options.election_timeout;
        self.election_at = lease_end + ahead as u64 * self.options.succession_step;
    }

    /// A message of the leader of this term has come: votes are refused for a while. False if the term is an old one.
    pub(crate) fn hear_leader(&mut self, from: NodeId, term: Term, out: &mut Vec<Output>) -> bool {
        if term < self.hard_state.term || (term == self.hard_state.term && self.is_leader()) {
            return false;
        }
        if term > self.hard_state.term || self.leader != Some(from) || !matches!(self.role, Role::Follower) {
            self.follow(term, Some(from), out);
        }
        self.quiet_until = self.now + self.options.vote_pause;
        self.reset_election_timer();
        self.unanimity_at = None;
        self.vacant_until = 0;
        true
    }
}
