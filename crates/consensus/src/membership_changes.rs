//! The leader's changes of the membership: one at a time, each committed before the next.

use crate::interface::Output;
use crate::node::{Node, Role};
use crate::types::{Member, Membership, NodeId, Payload};

impl Node {
    /// A process asks to become a member.
    pub(crate) fn on_join(&mut self, member: Member, out: &mut Vec<Output>) {
        if member.id == self.options.id {
            return;
        }
        let known = self.membership().member(member.id);
        let joined =
            known.is_some_and(|known| known.address == member.address && known.control == member.control);
        if joined {
            self.greet(member.id, out);
            return;
        }
        let Some(leadership) = self.leadership() else { return };
        leadership.add_join(member);
        self.change_members(out);
    }

    /// Begins the next change of members if one is due and none is under way.
    pub(crate) fn change_members(&mut self, out: &mut Vec<Output>) {
        self.drop_guests();
        let (changed_at, membership) = self.memberships.latest();
        let Role::Leader(leadership) = &self.role else { return };
        // Until an entry of its own term is committed, an earlier leader's change may still be under way.
        if !leadership.announced || changed_at > self.commit || leadership.transfer.is_some() {
            return;
        }
        let joiner = leadership.joins.first().cloned();
        let next = match &joiner {
            Some(joiner) => Some(membership.with_learner(joiner)),
            None => self.next_membership(),
        };
        if let Some(leadership) = self.leadership() {
            leadership.joins.retain(|waiting| joiner.as_ref().is_none_or(|joiner| joiner.id != waiting.id));
        }
        if let Some(membership) = next {
            self.append_membership(membership, out);
        }
    }

    fn append_membership(&mut self, membership: Membership, out: &mut Vec<Output>) {
        let index = self.append_as_leader(Payload::Membership(membership), out);
        if let Role::Leader(leadership) = &mut self.role {
            leadership.follow_members(self.options.id, self.memberships.latest().1, index, self.now);
        }
        self.replicate_to_all(out);
    }

    /// What the membership lacks, most urgent first.
    fn next_membership(&self) -> Option<Membership> {
        let membership = self.membership();
        let silent = self.longest_silent_voter();
        if let Some(learner) = self.caught_up_learner() {
            if let Some(predecessor) = self.silent_predecessor(learner) {
                return Some(membership.without(predecessor));
            }
            let live = membership.voters().count() - usize::from(silent.is_some());
            if live < self.options.target_voters {
                return Some(membership.with_voter(learner.id));
            }
        }
        if membership.voters().count() > self.options.target_voters {
            return match silent {
                Some(silent) => Some(membership.without(silent)),
                None => self.newest_other_voter().map(|voter| membership.without_vote_of(voter)),
            };
        }
        self.lost_learner().map(|learner| membership.without(learner))
    }

    fn silence_of(&self, id: NodeId) -> u64 {
        let Role::Leader(leadership) = &self.role else { return 0 };
        leadership.progress.get(&id).map_or(0, |progress| self.now.saturating_sub(progress.heard_at))
    }

    fn longest_silent_voter(&self) -> Option<NodeId> {
        let silences = self.membership().voters().map(|voter| (self.silence_of(voter), voter));
        let silent = silences.filter(|(silence, _)| *silence >= self.options.voter_silence);
        silent.max().map(|(_, voter)| voter)
    }

    /// The voter that joined last, if all voters answer. Where one returns whose place was taken, there is one more than
    /// wanted, which bears no more losses and waits for more answers: it stands by again.
    fn newest_other_voter(&self) -> Option<NodeId> {
        let all_answer =
            self.membership().voters().all(|voter| self.silence_of(voter) < self.options.election_timeout);
        let newest = self.membership().voters().filter(|voter| *voter != self.options.id).last();
        newest.filter(|_| all_answer)
    }

    /// A learner that could vote now; those that take a member's place come first.
    fn caught_up_learner(&self) -> Option<&Member> {
        let Role::Leader(leadership) = &self.role else { return None };
        let last_index = self.log.last_index();
        let lately = self.options.election_timeout;
        let ready = |member: &&Member| {
            let progress = leadership.progress.get(&member.id);
            let caught_up = |gap| progress.is_some_and(|progress| progress.is_caught_up(last_index, gap));
            !member.voter && caught_up(self.options.promotion_gap) && self.silence_of(member.id) <= lately
        };
        let learners = || self.membership().members.iter().filter(ready);
        learners().find(|learner| self.silent_predecessor(learner).is_some()).or_else(|| learners().next())
    }

    /// The voter at a learner's address whose disk is gone. It leaves before the learner is promoted: were both done
    /// in one step, a majority before and one after need have no living voter in common.
    fn silent_predecessor(&self, learner: &Member) -> Option<NodeId> {
        let at_address = |member: &&Member| member.voter && member.address == learner.address;
        let predecessor = self.membership().members.iter().find(at_address)?.id;
        let silent = self.silence_of(predecessor) >= self.options.election_timeout;
        silent.then_some(predecessor)
    }

    fn lost_learner(&self) -> Option<NodeId> {
        let learners =
            self.membership().members.iter().filter(|member| !member.voter).map(|member| member.id);
        learners.into_iter().find(|learner| self.silence_of(*learner) >= self.options.learner_silence)
    }

    /// Forgets processes outside the membership that know so, or are silent.
    fn drop_guests(&mut self) {
        let (changed_at, membership) = self.memberships.latest();
        let committed = changed_at <= self.commit;
        let Role::Leader(leadership) = &mut self.role else { return };
        let (now, silence) = (self.now, self.options.learner_silence);
        let settled_at = leadership.members_settled_at;
        leadership.progress.retain(|id, progress| {
            let lost = now.saturating_sub(progress.heard_at) >= silence;
            let told = committed && progress.acknowledged_round > settled_at;
            let knows = told && progress.is_caught_up(changed_at, 0);
            membership.contains(*id) || !(lost || knows)
        });
    }
}
