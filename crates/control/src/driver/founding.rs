//! Founds (bootstraps) a consensus group by agreement of the seeds if none exists: see
//! [`consensus::Founding`].

use super::{Driver, DriverExit};
use crate::events::ConnectionId;
use crate::identity;
use consensus::{FoundingOffer, FoundingStatus, FoundingStep, OtherGroup};
use log_records::{member_from_wire, member_to_wire, membership_from_wire, membership_to_wire};
use messages::peer::{self, mod_PeerFrame::OneOfbody, FoundingProposal, GroupNotice, LeaderNotice};
use std::net::SocketAddr;

impl Driver {
    /// Executes the steps of the founding that are due.
    pub(super) fn poll_founding(&mut self, now: u64) {
        loop {
            let status = self.founding_status();
            match self.founding.poll(now, &status) {
                FoundingStep::Wait => return,
                FoundingStep::SendOffer(offer) => self.send_founding_offer(&offer),
                FoundingStep::Propose(membership) => {
                    log::warn!(
                        "proposing to the other seeds to found a group: no seed has found an existing one"
                    );
                    let proposal = FoundingProposal { membership: Some(membership_to_wire(&membership)) };
                    let body = OneOfbody::founding_proposal(proposal);
                    self.peers.send_to_addresses(self.group_join.seeds(), &body);
                }
                FoundingStep::Found(membership) => {
                    self.exit = Some(DriverExit::FoundGroup { id: self.founding_id, membership });
                    return;
                }
            }
        }
    }

    /// Handles a notice from another process about its leader, which may not accept commands yet, and its
    /// members.
    pub(super) fn handle_leader_notice(&mut self, now: u64, notice: LeaderNotice) {
        let Some(group) = other_group(notice.leader_id, notice.membership, false) else { return };
        self.founding.handle_leader(now, &group.membership);
        self.yield_to_group(now, &group);
    }

    /// Handles a notice from another process about its group.
    pub(super) fn handle_group_notice(&mut self, now: u64, notice: GroupNotice) {
        let group = other_group(notice.leader_id, notice.membership, notice.takes_commands);
        self.founding.handle_group(now, &notice.address, group.as_ref());
        group.into_iter().for_each(|group| self.yield_to_group(now, &group));
    }

    /// Abandons this process's own founding, which holds no commands, in favor of `other` if the founding
    /// rules say so.
    fn yield_to_group(&mut self, now: u64, other: &OtherGroup) {
        if self.founding.should_abandon_group(now, self.replica.node(), other) {
            log::warn!(
                "another group has a leader: abandoning the group founded here, which holds no commands"
            );
            self.exit = Some(DriverExit::Removed);
        }
    }

    /// The notice about this process's group that other processes get.
    fn group_notice(&self) -> GroupNotice {
        let node = self.replica.node();
        GroupNotice {
            address: identity::peer_address(&self.settings, self.settings.ip).to_string(),
            leader_id: node.leader().unwrap_or_default(),
            membership: Some(membership_to_wire(node.membership())),
            takes_commands: node.holds_commands() || self.leader.is_some(),
        }
    }

    /// Notifies the seeds that are not members of the group led by this process, because they may have
    /// founded another group.
    pub(super) fn announce_group(&mut self) {
        let node = self.replica.node();
        let members: Vec<SocketAddr> =
            node.membership().members.iter().filter_map(|member| member.address.parse().ok()).collect();
        let mut others = self.group_join.seeds().to_vec();
        others.retain(|seed| !members.contains(seed));
        if !others.is_empty() {
            let notice = OneOfbody::group_notice(self.group_notice());
            self.peers.send_to_addresses(&others, &notice);
        }
    }

    /// Whether this process is a member of a founded group that, as far as this process knows, has never
    /// committed a command.
    pub(super) fn has_founded_alone(&self) -> bool {
        let node = self.replica.node();
        node.is_member() && node.is_uninitialized()
    }

    /// Handles another process's offer to found a group. A process that holds commands of a group, or has a
    /// leader, rejects the offer and answers with its own group.
    pub(super) fn handle_founding_offer(
        &mut self,
        now: u64,
        connection: ConnectionId,
        offer: peer::FoundingOffer,
    ) {
        if !self.replica.node().is_uninitialized() {
            self.clients.push(connection, OneOfbody::group_notice(self.group_notice()));
            return;
        }
        let Some(member) = offer.member.map(member_from_wire) else { return };
        self.founding.handle_offer(now, FoundingOffer { member, seeds: offer.seeds.into_iter().collect() });
    }

    /// Handles another seed's proposal to found a group.
    pub(super) fn handle_founding_proposal(&mut self, now: u64, proposal: FoundingProposal) {
        let Some(membership) = proposal.membership.map(membership_from_wire) else { return };
        let status = self.founding_status();
        if self.founding.accepts(now, &status, &membership) {
            self.exit = Some(DriverExit::FoundGroup { id: self.founding_id, membership });
        }
    }

    /// Sends the offer to all contacts, then reads the settings file again so that the next offer names the
    /// current seeds.
    fn send_founding_offer(&mut self, offer: &FoundingOffer) {
        log::debug!("offering to found a group with the seeds");
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
        FoundingStatus {
            is_uninitialized: true,
            connected: self.clients.core_processes(),
            possible_group_voters: node.possible_group_voters(),
        }
    }
}

/// The group with this leader and these members; `None` if there is no leader (0) or no membership.
fn other_group(
    leader: u64,
    membership: Option<peer::Membership>,
    takes_commands: bool,
) -> Option<OtherGroup> {
    let membership = membership.filter(|_| leader != 0).map(membership_from_wire)?;
    Some(OtherGroup { leader, membership, takes_commands })
}
