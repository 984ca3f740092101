//! Founds a group by agreement of the seeds where none was founded: see [`consensus::Founding`].

use super::{Driver, DriverExit};
use crate::events::ConnectionId;
use crate::identity;
use consensus::{FoundingOffer, FoundingStatus, FoundingStep, Membership};
use log_records::{member_from_wire, member_to_wire, membership_from_wire, membership_to_wire};
use messages::peer::{self, mod_PeerFrame::OneOfbody, FoundingProposal, FoundingRefusal, LeaderNotice};

impl Driver {
    /// Takes the steps that are due.
    pub(super) fn poll_founding(&mut self, now: u64) {
        loop {
            let status = self.founding_status();
            match self.founding.poll(now, &status) {
                FoundingStep::Wait => return,
                FoundingStep::SendOffer(offer) => self.send_founding_offer(&offer),
                FoundingStep::Propose(membership) => {
                    log::warn!("proposes to the other seeds to found a group: none has found one");
                    let proposal = FoundingProposal { membership: Some(membership_to_wire(&membership)) };
                    let body = OneOfbody::founding_proposal(proposal);
                    self.peers.send_to_addresses(self.group_join.seeds(), &body);
                }
                FoundingStep::Found(membership) => {
                    self.exit = Some(DriverExit::Founds { id: self.founding_id, membership });
                    return;
                }
            }
        }
    }

    /// A process names its leader and its members.
    pub(super) fn handle_leader_notice(&mut self, now: u64, notice: LeaderNotice) {
        let Some(membership) = notice.membership.filter(|_| notice.leader_id != 0) else { return };
        let membership = membership_from_wire(membership);
        self.founding.handle_leader(now, &membership);
        self.leave_founding_unless_listed(&membership);
    }

    /// A process refuses to found a group.
    pub(super) fn handle_founding_refusal(&mut self, now: u64, refusal: FoundingRefusal) {
        let membership = refusal.membership.map(membership_from_wire);
        self.founding.handle_refusal(now, &refusal.address, membership.as_ref());
        if let Some(membership) = membership {
            self.leave_founding_unless_listed(&membership);
        }
    }

    /// A group has a leader. A member of a former founding that it does not know gives that founding up.
    fn leave_founding_unless_listed(&mut self, membership: &Membership) {
        let own_id = self.replica.node().id();
        let is_listed = membership.contains(own_id) || self.founding.has_proposed(membership);
        if self.has_founded_alone() && !is_listed {
            log::warn!("a group has a leader and does not know this member of a former founding");
            self.exit = Some(DriverExit::Removed);
        }
    }

    /// Whether this process is a member of a founding that came to nothing, as far as it knows.
    pub(super) fn has_founded_alone(&self) -> bool {
        let node = self.replica.node();
        node.is_member() && node.is_uninitialized()
    }

    /// Another process offers to found a group. One that holds commands of a group, or has a leader, refuses.
    pub(super) fn handle_founding_offer(
        &mut self,
        now: u64,
        connection: ConnectionId,
        offer: peer::FoundingOffer,
    ) {
        if !self.replica.node().is_uninitialized() {
            let address = identity::peer_address(&self.settings, self.settings.ip).to_string();
            let node = self.replica.node();
            let membership = node.leader().map(|_| membership_to_wire(node.membership()));
            let refusal = FoundingRefusal { address, membership };
            self.clients.push(connection, OneOfbody::founding_refusal(refusal));
            return;
        }
        let Some(member) = offer.member.map(member_from_wire) else { return };
        self.founding.handle_offer(now, FoundingOffer { member, seeds: offer.seeds.into_iter().collect() });
    }

    /// Another seed proposes to found a group.
    pub(super) fn handle_founding_proposal(&mut self, now: u64, proposal: FoundingProposal) {
        let Some(membership) = proposal.membership.map(membership_from_wire) else { return };
        let status = self.founding_status();
        if self.founding.accepts(now, &status, &membership) {
            self.exit = Some(DriverExit::Founds { id: self.founding_id, membership });
        }
    }

    /// The seeds are read first: an offer names those that are set now.
    fn send_founding_offer(&mut self, offer: &FoundingOffer) {
        log::debug!("offers to found a group with its seeds");
        let seeds = offer.seeds.iter().cloned().collect();
        let offer = peer::FoundingOffer { member: Some(member_to_wire(&offer.member)), seeds };
        let contacts = self.group_join.contacts();
        self.peers.send_to_addresses(&contacts, &OneOfbody::founding_offer(offer));
        self.reload_settings();
    }

    fn founding_status(&self) -> FoundingStatus {
        let node = self.replica.node();
        if !node.is_uninitialized() {
            return FoundingStatus::default();
        }
        FoundingStatus { is_uninitialized: true, connected: self.clients.core_processes() }
    }
}
