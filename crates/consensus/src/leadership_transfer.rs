//! Leader side of leadership transfer.

use crate::clock::nanoseconds;
use crate::interface::Output;
use crate::leadership::Transfer;
use crate::message::{Message, TimeoutNow};
use crate::node::Node;
use crate::role::Role;
use crate::types::NodeId;

impl Node {
    /// Starts a leadership transfer to the recently responsive voter with the highest match index. The
    /// leader's lease ends immediately.
    pub(crate) fn start_transfer(&mut self, out: &mut Vec<Output>) {
        let Role::Leader(leadership) = &mut self.role else { return };
        let contact_since = self.now.saturating_sub(nanoseconds(self.options.election_timeout));
        let membership = self.memberships.current();
        if leadership.transfer.is_some() {
            return;
        }
        let Some(target) = leadership.transfer_target(membership, contact_since) else { return };
        let deadline = self.now + nanoseconds(self.options.election_timeout);
        leadership.transfer =
            Some(Transfer { target, deadline, timeout_now_sent: false, dropped_proposals: false });
        self.send_timeout_now(out);
    }

    /// Sends TimeoutNow to the target of the transfer once the target has the complete log.
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

    /// Transfers leadership if this leader is not a voter of the latest membership and that membership is
    /// committed.
    pub(crate) fn transfer_if_no_voter(&mut self, out: &mut Vec<Output>) {
        let is_committed = self.memberships.changed_at() <= self.commit;
        let may_serve = matches!(&self.role, Role::Leader(leadership) if leadership.noop_committed);
        if may_serve && is_committed && !self.is_voter() {
            self.start_transfer(out);
        }
    }

    /// Transfers leadership if this leader's disk is stalled and some voter has durably stored the entries of
    /// the stalled write.
    pub(crate) fn transfer_if_disk_stalls(&mut self, out: &mut Vec<Output>) {
        if !self.is_disk_stalled() {
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
