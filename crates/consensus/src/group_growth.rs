//! Decides when the leader of a new group may accept the first command.
//!
//! Every acknowledged command must survive the loss of as many disks as may be lost at one time, whatever
//! else happens meanwhile. A group therefore accepts its first command only once it has its target number of
//! voters and every voter is confirmed. A voter is confirmed once it has acknowledged an entry of the
//! leader's own term, which shows that its identity and its log are on its disk. A founder may have stopped
//! before its first log was durable. Its machine then runs a process with another identity, which does not
//! count towards a majority of the founders. Such a voter is never confirmed; it is replaced by the identity
//! that its machine runs now, or by another machine.
//!
//! There is no timeout after which a voter counts as confirmed, because an unreachable machine may have
//! nothing on its disk. `docs/control-safety.md` contains the proof and the cost of this rule.

use crate::interface::Output;
use crate::leadership::Leadership;
use crate::node::Node;
use crate::role::Role;
use crate::types::NodeId;

impl Node {
    /// Outputs `BecameLeader` once the leader has committed an entry of its own term, holds a lease, so that
    /// no other process can have committed more since, and may accept commands.
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

    /// Returns the voters that have not acknowledged an entry of this leader's term.
    pub(crate) fn unconfirmed_voters(&self, leadership: &Leadership) -> Vec<NodeId> {
        let is_confirmed = |voter: &NodeId| match leadership.progress.get(voter) {
            Some(progress) => progress.match_index >= leadership.noop_index,
            None => *voter == self.options.id && self.durability.durable_index() >= leadership.noop_index,
        };
        self.membership().voters().filter(|voter| !is_confirmed(voter)).collect()
    }
}
