//! When the leader of a new group takes the first command.
//!
//! What a group acknowledges has to outlive the loss of as many disks as may be lost at one time, whatever else happens
//! meanwhile. So a group takes its first command only once it has as many voters as it wants, and every one of them is
//! confirmed: it has acknowledged an entry of the leader's own term, which shows that its identity and the log are on its
//! disk. A founder may have ended before its first log was durable; its machine then runs another identity, which counts
//! for no majority of the founders. Such a voter is never confirmed, and is replaced by the identity that its machine runs
//! now, or by another machine.
//!
//! No time limit stands in for a confirmation: a machine that cannot be reached may have nothing on its disk.
//! `docs/control-safety.md` has the proof, and what it costs.

use crate::interface::Output;
use crate::leadership::Leadership;
use crate::node::Node;
use crate::role::Role;
use crate::types::NodeId;

impl Node {
    /// Tells the caller that this process leads, once its state is complete, its lease shows that no other process has
    /// committed more since, and commands may be taken.
    pub(crate) fn announce_leadership(&mut self, out: &mut Vec<Output>) {
        let Role::Leader(leadership) = &self.role else { return };
        if leadership.announced || leadership.lease_until() <= self.now {
            return;
        }
        if !self.holds_commands() && !self.may_take_first_command(leadership) {
            return;
        }
        let Some(leadership) = self.leadership() else { return };
        leadership.announced = true;
        out.push(Output::BecameLeader { term: leadership.term });
    }

    fn may_take_first_command(&self, leadership: &Leadership) -> bool {
        let is_committed = self.memberships.changed_at() <= self.commit;
        let voters = self.membership().voters().count();
        is_committed && voters >= self.options.target_voters && self.unconfirmed_voters(leadership).is_empty()
    }

    /// Voters that have acknowledged no entry of this leader's term.
    pub(crate) fn unconfirmed_voters(&self, leadership: &Leadership) -> Vec<NodeId> {
        let is_confirmed = |voter: &NodeId| match leadership.progress.get(voter) {
            Some(progress) => progress.match_index >= leadership.noop_index,
            None => *voter == self.options.id && self.durability.durable_index() >= leadership.noop_index,
        };
        self.membership().voters().filter(|voter| !is_confirmed(voter)).collect()
    }
}
