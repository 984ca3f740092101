//! Membership changes by the leader. Changes are made one at a time, and each is committed before the next
//! one starts.

use crate::clock::nanoseconds;
use crate::interface::Output;
use crate::leadership::PendingChange;
use crate::node::Node;
use crate::role::Role;
use crate::types::{Member, Membership, NodeId, Payload};

impl Node {
    /// Handles a process's request to become a member.
    pub(crate) fn on_join(&mut self, member: Member, out: &mut Vec<Output>) {
        if member.id == self.options.id {
            return;
        }
        let known = self.membership().member(member.id);
        let joined =
            known.is_some_and(|known| known.address == member.address && known.control == member.control);
        if joined {
            self.probe_peer(member.id, out);
            return;
        }
        let Some(leadership) = self.leadership() else { return };
        leadership.add_join_request(member);
        self.change_members(out);
    }

    /// Starts the next membership change if one is due and none is in progress.
    pub(crate) fn change_members(&mut self, out: &mut Vec<Output>) {
        self.drop_non_members();
        if !self.may_change_members() {
            return;
        }
        if let Some(joiner) = self.next_join_request() {
            let next = self.membership().with_learner(&joiner);
            self.append_membership(next, out);
            return;
        }
        let Some(next) = self.next_membership() else {
            self.set_pending_change(None);
            return;
        };
        if self.is_pending(&next) {
            self.append_if_confirmed(next, out);
            return;
        }
        self.set_pending_change(Some(PendingChange { membership: next, decided_at: self.now }));
        self.send_heartbeats_to_all(out);
    }

    /// Called after a follower's reply, which may confirm the pending change. A pending change that is no
    /// longer due is dropped. Another change that is due instead is decided at the next heartbeat, so that
    /// replies do not trigger further messages.
    pub(crate) fn confirm_pending_change(&mut self, out: &mut Vec<Output>) {
        let is_pending =
            matches!(&self.role, Role::Leader(leadership) if leadership.pending_change.is_some());
        if !is_pending || !self.may_change_members() {
            return;
        }
        match self.next_membership() {
            Some(next) if self.is_pending(&next) => self.append_if_confirmed(next, out),
            _ => self.set_pending_change(None),
        }
    }

    /// Whether the leader may change the membership. Until an entry of the leader's own term is committed, a
    /// change by an earlier leader may still be in progress.
    fn may_change_members(&self) -> bool {
        let Role::Leader(leadership) = &self.role else { return false };
        let is_committed = self.memberships.changed_at() <= self.commit;
        leadership.noop_committed && is_committed && leadership.transfer.is_none()
    }

    fn next_join_request(&mut self) -> Option<Member> {
        let leadership = self.leadership()?;
        let joiner = leadership.join_requests.first().cloned()?;
        leadership.join_requests.retain(|request| request.id != joiner.id);
        Some(joiner)
    }

    fn set_pending_change(&mut self, change: Option<PendingChange>) {
        if let Some(leadership) = self.leadership() {
            leadership.pending_change = change;
        }
    }

    fn is_pending(&self, next: &Membership) -> bool {
        let Role::Leader(leadership) = &self.role else { return false };
        leadership.pending_change.as_ref().is_some_and(|pending| pending.membership == *next)
    }

    /// Appends the pending change if it is confirmed.
    fn append_if_confirmed(&mut self, next: Membership, out: &mut Vec<Output>) {
        if self.is_confirmed(&next) {
            self.set_pending_change(None);
            self.append_membership(next, out);
        }
    }

    /// Whether a majority of the voters of the pending membership, and all voters that it adds, have replied
    /// to messages sent since the change was decided.
    ///
    /// A change that cannot be committed would leave its leader with a longer log than all other processes
    /// and a larger majority to win, possibly forever. An added voter must therefore be known to still have
    /// its disk.
    fn is_confirmed(&self, next: &Membership) -> bool {
        let Role::Leader(leadership) = &self.role else { return false };
        let Some(pending) = &leadership.pending_change else { return false };
        let has_replied = |voter: &NodeId| match leadership.progress.get(voter) {
            Some(progress) => progress.acknowledged_clock >= pending.decided_at,
            None => *voter == self.options.id,
        };
        let mut added = next.voters().filter(|voter| !self.membership().is_voter(*voter));
        let replies = next.voters().filter(has_replied).count();
        replies >= next.quorum() && added.all(|voter| has_replied(&voter))
    }

    fn append_membership(&mut self, membership: Membership, out: &mut Vec<Output>) {
        let index = self.append_as_leader(Payload::Membership(membership), out);
        if let Role::Leader(leadership) = &mut self.role {
            leadership.track_members(self.options.id, self.memberships.current(), index, self.now);
        }
        self.replicate_to_all(out);
    }

    /// Returns the most urgent membership change that is needed, if any.
    fn next_membership(&self) -> Option<Membership> {
        let membership = self.membership();
        let unresponsive = self.longest_unresponsive_voter();
        if let Some(learner) = self.caught_up_learner() {
            if let Some(predecessor) = self.unresponsive_predecessor(learner) {
                return Some(membership.without(predecessor));
            }
            let responsive = membership.voters().count() - usize::from(unresponsive.is_some());
            if responsive < self.options.target_voters {
                return Some(membership.with_voter(learner.id));
            }
        }
        if membership.voters().count() > self.options.target_voters {
            return match unresponsive {
                Some(unresponsive) => Some(membership.without(unresponsive)),
                None => self.newest_other_voter().map(|voter| membership.without_vote_of(voter)),
            };
        }
        self.unresponsive_learner().map(|learner| membership.without(learner))
    }

    /// Time since this member last responded, in nanoseconds; 0 for this process itself.
    fn unresponsive_for(&self, id: NodeId) -> u64 {
        let Role::Leader(leadership) = &self.role else { return 0 };
        leadership.progress.get(&id).map_or(0, |progress| self.now.saturating_sub(progress.last_contact_at))
    }

    fn longest_unresponsive_voter(&self) -> Option<NodeId> {
        let durations = self.membership().voters().map(|voter| (self.unresponsive_for(voter), voter));
        let timeout = nanoseconds(self.options.replacement_timeout);
        let unresponsive = durations.filter(|(duration, _)| *duration >= timeout);
        unresponsive.max().map(|(_, voter)| voter)
    }

    /// Returns the most recently joined voter other than the leader, if all voters respond. When a replaced
    /// voter returns, there is one voter more than the target. The additional voter does not allow for any
    /// further loss and makes each commit wait for more responses, so one voter is demoted to learner.
    fn newest_other_voter(&self) -> Option<NodeId> {
        let all_responsive = self
            .membership()
            .voters()
            .all(|voter| self.unresponsive_for(voter) < nanoseconds(self.options.election_timeout));
        let newest = self.membership().voters().filter(|voter| *voter != self.options.id).last();
        newest.filter(|_| all_responsive)
    }

    /// Returns a learner that is ready to be promoted. A learner that replaces an unresponsive voter at the
    /// same address is preferred.
    fn caught_up_learner(&self) -> Option<&Member> {
        let Role::Leader(leadership) = &self.role else { return None };
        let last_index = self.log.last_index();
        let timeout = nanoseconds(self.options.election_timeout);
        let ready = |member: &&Member| {
            let progress = leadership.progress.get(&member.id);
            let caught_up = |gap| progress.is_some_and(|progress| progress.is_caught_up(last_index, gap));
            let responsive = self.unresponsive_for(member.id) <= timeout;
            !member.voter && caught_up(self.options.promotion_gap) && responsive
        };
        let learners = || self.membership().members.iter().filter(ready);
        learners()
            .find(|learner| self.unresponsive_predecessor(learner).is_some())
            .or_else(|| learners().next())
    }

    /// Returns the unresponsive voter at the learner's address, whose disk is lost. This voter is removed
    /// before the learner is promoted: if both happened in one change, a majority before the change and a
    /// majority after it might have no running voter in common.
    fn unresponsive_predecessor(&self, learner: &Member) -> Option<NodeId> {
        let at_address = |member: &&Member| member.voter && member.address == learner.address;
        let predecessor = self.membership().members.iter().find(at_address)?.id;
        let unresponsive = self.unresponsive_for(predecessor) >= nanoseconds(self.options.election_timeout);
        unresponsive.then_some(predecessor)
    }

    fn unresponsive_learner(&self) -> Option<NodeId> {
        let learners =
            self.membership().members.iter().filter(|member| !member.voter).map(|member| member.id);
        learners
            .into_iter()
            .find(|learner| self.unresponsive_for(*learner) >= nanoseconds(self.options.learner_timeout))
    }

    /// Stops replication to non-members that know of their removal or are unresponsive.
    fn drop_non_members(&mut self) {
        let (changed_at, membership) = (self.memberships.changed_at(), self.memberships.current());
        let committed = changed_at <= self.commit;
        let Role::Leader(leadership) = &mut self.role else { return };
        let (now, timeout) = (self.now, nanoseconds(self.options.learner_timeout));
        let committed_at = leadership.membership_committed_at;
        leadership.progress.retain(|id, progress| {
            let lost = now.saturating_sub(progress.last_contact_at) >= timeout;
            let heard_of_commit = committed && progress.acknowledged_clock > committed_at;
            let knows = heard_of_commit && progress.is_caught_up(changed_at, 0);
            membership.contains(*id) || !(lost || knows)
        });
    }
}
