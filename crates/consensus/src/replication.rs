//! Leader side of replication: proposals, replication, heartbeats and the commit index.

use std::collections::BTreeMap;

use crate::clock::nanoseconds;
use crate::interface::Output;
use crate::leadership::{Leadership, Transfer};
use crate::message::{AppendReply, SnapshotReply};
use crate::node::Node;
use crate::progress::{LeaderView, Progress, SendMode};
use crate::role::Role;
use crate::step_down::StepDownReason;
use crate::types::{Entry, NodeId, Payload};

impl Node {
    /// Returns the leader state if this process is the leader.
    pub(crate) fn leadership(&mut self) -> Option<&mut Leadership> {
        match &mut self.role {
            Role::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    pub(crate) fn become_leader(&mut self, out: &mut Vec<Output>) {
        let term = self.hard_state.term;
        let noop_index = self.log.last_index() + 1;
        let next_heartbeat = self.now + nanoseconds(self.options.heartbeat_interval);
        let mut leadership = Leadership::new(term, noop_index, next_heartbeat);
        leadership.track_members(self.options.id, self.memberships.current(), noop_index, self.now);
        self.role = Role::Leader(leadership);
        self.unanimous_election_at = None;
        self.incoming_snapshot = None;
        self.set_leader(Some(self.options.id), out);
        self.append(Entry { index: noop_index, term, payload: Payload::Noop }, out);
        self.replicate_to_all(out);
    }

    pub(crate) fn propose(&mut self, payload: Vec<u8>, out: &mut Vec<Output>) {
        if !self.may_propose() {
            if let Some(transfer) = self.leadership().and_then(|leadership| leadership.transfer.as_mut()) {
                transfer.dropped_proposals = true;
            }
            out.push(Output::ProposalDropped);
            return;
        }
        let index = self.append_as_leader(Payload::Command(payload), out);
        out.push(Output::Proposed { index, term: self.hard_state.term });
        self.replicate_to_all(out);
    }

    fn may_propose(&self) -> bool {
        let Role::Leader(leadership) = &self.role else { return false };
        leadership.transfer.is_none() && (leadership.announced || self.holds_commands())
    }

    /// Appends an entry in the leader's current term. Returns its index.
    pub(crate) fn append_as_leader(&mut self, payload: Payload, out: &mut Vec<Output>) -> u64 {
        let index = self.log.last_index() + 1;
        self.append(Entry { index, term: self.hard_state.term, payload }, out);
        index
    }

    /// Returns the progress of all followers, and the leader state from which messages to them are built.
    fn replication(&mut self) -> Option<(&mut BTreeMap<NodeId, Progress>, LeaderView<'_>)> {
        let Role::Leader(leadership) = &mut self.role else { return None };
        let view = LeaderView {
            now: self.now,
            term: leadership.term,
            commit: self.commit,
            log: &self.log,
            snapshot: self.snapshot.as_ref(),
            options: &self.options,
        };
        Some((&mut leadership.progress, view))
    }

    /// Sends each follower the messages that are due, within the limits on messages in flight.
    pub(crate) fn replicate_to_all(&mut self, out: &mut Vec<Output>) {
        let Some((progress, view)) = self.replication() else { return };
        for (to, progress) in progress {
            send_due(*to, progress, &view, out);
        }
    }

    pub(crate) fn replicate_to(&mut self, to: NodeId, out: &mut Vec<Output>) {
        let Some((progress, view)) = self.replication() else { return };
        if let Some(progress) = progress.get_mut(&to) {
            send_due(to, progress, &view, out);
        }
    }

    fn send_heartbeat(&mut self, to: NodeId, out: &mut Vec<Output>) {
        let Some((progress, view)) = self.replication() else { return };
        let Some(progress) = progress.get_mut(&to) else { return };
        let message = progress.next_message(&view, SendMode::Always);
        out.extend(message.map(|message| Output::Send { to, message }));
        send_due(to, progress, &view, out);
    }

    pub(crate) fn run_leader_timers(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let Role::Leader(leadership) = &mut self.role else { return };
        if now < leadership.next_heartbeat {
            return;
        }
        let quorum_timeout = leadership.quorum_timeout(now, &self.options);
        leadership.next_heartbeat = now + nanoseconds(self.options.heartbeat_interval);
        let membership = self.memberships.current();
        let quorum_contact_at = leadership.quorum_contact_at(self.options.id, now, membership);
        let timed_out = leadership.transfer.as_ref().is_some_and(|transfer| now >= transfer.deadline);
        let ends = timed_out && leadership.transfer.as_ref().is_some_and(Transfer::ends_leadership);
        if now.saturating_sub(quorum_contact_at) > quorum_timeout || ends {
            // Once the target has been asked to campaign, the leader can no longer hold a lease in this term.
            // A leader that continued after a proposal was dropped would act on a command that is in no log.
            let reason = if ends { StepDownReason::TransferTimedOut } else { StepDownReason::QuorumLost };
            self.step_down(reason, out);
            return;
        }
        if timed_out {
            leadership.transfer = None;
        }
        leadership.renew_lease(self.options.id, now, membership, &self.options);
        self.announce_leadership(out);
        self.send_heartbeats(out);
        self.transfer_if_disk_stalls(out);
        self.transfer_if_no_voter(out);
        self.change_members(out);
    }

    fn send_heartbeats(&mut self, out: &mut Vec<Output>) {
        let since = self.now.saturating_sub(nanoseconds(self.options.heartbeat_interval) / 2);
        let Some(leadership) = self.leadership() else { return };
        let idle = leadership.progress.iter().filter(|(_, progress)| progress.sent_at <= since);
        let due: Vec<NodeId> = idle.map(|(id, _)| *id).collect();
        for id in due {
            self.send_heartbeat(id, out);
        }
    }

    /// Sends a heartbeat to each follower immediately.
    pub(crate) fn send_heartbeats_to_all(&mut self, out: &mut Vec<Output>) {
        let Some(leadership) = self.leadership() else { return };
        let followers: Vec<NodeId> = leadership.progress.keys().copied().collect();
        for follower in followers {
            self.send_heartbeat(follower, out);
        }
    }

    pub(crate) fn on_append_reply(&mut self, from: NodeId, reply: &AppendReply, out: &mut Vec<Output>) {
        if !self.accept_reply(from, reply.term, out) {
            return;
        }
        let (now, last_index) = (self.now, self.log.last_index());
        let Some(leadership) = self.leadership() else { return };
        let Some(progress) = leadership.progress.get_mut(&from) else { return };
        progress.on_append_reply(now, reply, last_index);
        self.after_reply(from, out);
    }

    pub(crate) fn on_snapshot_reply(&mut self, from: NodeId, reply: &SnapshotReply, out: &mut Vec<Output>) {
        if !self.accept_reply(from, reply.term, out) {
            return;
        }
        let now = self.now;
        let Some(leadership) = self.leadership() else { return };
        let Some(progress) = leadership.progress.get_mut(&from) else { return };
        progress.on_snapshot_reply(now, reply);
        self.after_reply(from, out);
    }

    /// Whether a reply belongs to this leader's term. If a member replies with a higher term, the leader
    /// steps down, because that member cannot follow this process in the lower term.
    fn accept_reply(&mut self, from: NodeId, term: u64, out: &mut Vec<Output>) -> bool {
        let member = self.membership().contains(from);
        let own_term = self.hard_state.term;
        let Some(leadership) = self.leadership() else { return false };
        if term <= own_term {
            return term == own_term;
        }
        if member {
            self.become_follower(term, None, out);
            // The followers still grant votes to the leader that they hear from, so this process can campaign
            // again immediately.
            self.election_at = self.now;
        } else {
            leadership.progress.remove(&from);
        }
        false
    }

    /// Updates the lease, the commit index and the pending actions after a follower's reply, and sends it what
    /// is due.
    fn after_reply(&mut self, from: NodeId, out: &mut Vec<Output>) {
        let Role::Leader(leadership) = &mut self.role else { return };
        let membership = self.memberships.current();
        if membership.is_voter(from) {
            leadership.renew_lease(self.options.id, self.now, membership, &self.options);
        }
        self.advance_commit(out);
        self.announce_leadership(out);
        self.confirm_pending_change(out);
        self.replicate_to(from, out);
        self.send_timeout_now(out);
    }

    /// Advances the commit index to the last entry that is durable on a majority, if that entry is of the
    /// leader's term (section 3.6.2 of the thesis).
    pub(crate) fn advance_commit(&mut self, out: &mut Vec<Output>) {
        let Role::Leader(leadership) = &mut self.role else { return };
        let membership = self.memberships.current();
        let own_durable = self.durability.durable_index();
        let index = leadership.quorum_match_index(self.options.id, own_durable, membership);
        if index <= self.commit || self.log.term_at(index) != Some(leadership.term) {
            return;
        }
        let first_commit = !leadership.noop_committed && index >= leadership.noop_index;
        leadership.noop_committed |= first_commit;
        let changed_at = self.memberships.changed_at();
        let membership_committed = first_commit || (self.commit < changed_at && changed_at <= index);
        if membership_committed {
            leadership.membership_committed_at = self.now;
        }
        leadership.renew_lease(self.options.id, self.now, membership, &self.options);
        self.commit_to(index, out);
        self.announce_leadership(out);
        if membership_committed {
            self.change_members(out);
        }
    }

    pub(crate) fn on_peer_disconnected(&mut self, peer: NodeId, out: &mut Vec<Output>) {
        let Some(leadership) = self.leadership() else { return };
        if let Some(progress) = leadership.progress.get_mut(&peer) {
            progress.become_probe();
            self.replicate_to(peer, out);
        }
    }

    /// Probes a process that apparently does not hear from this leader. For a member, this determines where
    /// its log matches; a removed process learns of its removal from the log.
    pub(crate) fn probe_peer(&mut self, from: NodeId, out: &mut Vec<Output>) {
        let Role::Leader(leadership) = &mut self.role else { return };
        let next = self.log.last_index() + 1;
        leadership.track_non_member(from, self.memberships.current(), next, self.now);
        if let Some(progress) = leadership.progress.get_mut(&from) {
            progress.become_probe();
            self.replicate_to(from, out);
        }
    }
}

/// Sends a follower the messages that are due, within the limits on messages in flight.
fn send_due(to: NodeId, progress: &mut Progress, view: &LeaderView, out: &mut Vec<Output>) {
    while let Some(message) = progress.next_message(view, SendMode::IfDue) {
        out.push(Output::Send { to, message });
    }
}
