//! The leader: transfer of leadership to a follower.

use crate::clock::nanoseconds;
use crate::interface::Output;
use crate::leadership::Transfer;
use crate::message::{Message, TimeoutNow};
use crate::node::Node;
use crate::role::Role;
use crate::types::NodeId;

impl Node {
    /// Begins to transfer leadership to the follower with most of the log. The lease ends here.
    pub(crate) fn start_transfer(&mut self, out: &mut Vec<Output>) {
        let Role::Leader(leadership) = &mut self.role else { return };
        let contact_since = self.now.saturating_sub(nanoseconds(self.options.election_timeout));
        let membership = self.memberships.current();
        if leadership.transfer.is_some() {
            return;
        }
        let Some(target) = leadership.transfer_target(membership, contact_since) else { return };
        let until = self.now + nanoseconds(self.options.election_timeout);
        leadership.transfer =
            Some(Transfer { target, until, timeout_now_sent: false, dropped_proposals: false });
        self.send_timeout_now(out);
    }

    /// Asks the target of a transfer to campaign at once, as soon as it has the complete log.
    pub(crate) fn send_timeout_now(&mut self, out: &mut Vec<Output>) {
        let last_index = self.log.last_index();
        let term = self.hard_state.term;
        let Some(leadership) = self.leadership() else { return };
        let Some(transfer) = &mut leadership.transfer else { return };
        let target = transfer.target;
        let has_all =
            leadership.progress.get(&target).is_some_and(|progress| progress.match_index == last_index);
        if has_all && !transfer.timeout_now_sent {
            transfer.timeout_now_sent = true;
            out.push(Output::Send { to: target, message: Message::TimeoutNow(TimeoutNow { term }) });
        }
    }

    /// A leader that its newest membership does not count as a voter hands over to one once that is committed.
    pub(crate) fn transfer_if_no_voter(&mut self, out: &mut Vec<Output>) {
        let is_committed = self.memberships.changed_at() <= self.commit;
        let may_serve = matches!(&self.role, Role::Leader(leadership) if leadership.noop_committed);
        if may_serve && is_committed && !self.is_voter() {
            self.start_transfer(out);
        }
    }

    /// A leader whose own disk stalls transfers leadership if a follower has durable what waits for that disk.
    pub(crate) fn transfer_if_disk_stalls(&mut self, out: &mut Vec<Output>) {
        if !self.disk_stalls() {
            return;
        }
        let Some(stalled) = self.durability.oldest_write_index() else { return };
        let voters: Vec<NodeId> = self.membership().voters().collect();
        let Some(leadership) = self.leadership() else { return };
        let others = voters.iter().filter_map(|voter| leadership.progress.get(voter));
        if others.into_iter().any(|progress| progress.match_index >= stalled) {
            self.start_transfer(out);
        }
    }
}
