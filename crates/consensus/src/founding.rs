//! Founds a group by agreement of the seeds, for the case that the first start of the system did not found
//! one.
//!
//! On the first start of the system, each seed founds the group on its own: all seeds write the same first
//! log. If a seed stops before that log is durable, its next start no longer counts as the first one. The
//! seed cannot know on its own whether the other seeds have founded the group in the meantime, or whether it
//! has lost its disk. If this happened to a majority of the seeds, no leader could ever be elected.
//!
//! The same applies if the disks of a majority of the founders are lost before the group has grown to the
//! number of voters that it needs to survive such a loss.
//!
//! A process without commands and without a leader ([`crate::Node::is_uninitialized`]) that hears of no group
//! therefore offers, after a delay and then periodically, to found a group with its seeds, under a new
//! identity. The seed with the lowest address proposes the members once all of these conditions hold:
//!
//! - Every seed offers, with the same seeds in its settings.
//! - More processes offer than disks may be lost at one time. If a group had existed, at least one of these
//!   processes would be a member that still has its disk, and such a process never offers.
//! - Every connected and responsive core process offers as well. A process that holds commands or has a
//!   leader refuses.
//! - A voter of a group that has had a leader and its target number of voters receives offers from a majority
//!   of these voters. Otherwise the other voters may have accepted commands without this one.
//!
//! Each other seed checks the same conditions when the proposal arrives, writes the first log and restarts as
//! the proposed member. The proposer does so last, when all other seeds have connected under their new
//! identities. It is therefore never the only founder, and after an interrupted founding the seeds offer
//! again. A member of a founding that did not complete offers as well. The other members may have continued
//! without this member, but only while its machine counted as lost. In this case, the other members and this
//! member are together more than may be lost at one time, and one of them is connected and does not offer.
//!
//! If a network partition lasts longer than the delay and the seeds are replaced meanwhile, each side may
//! found a group. At most one of them has the voters that it needs to accept commands. When the sides can
//! reach each other again, a leader notifies the seeds that are not members of its group, and the processes
//! of the other group abandon it ([`Founding::should_abandon_group`]).
//!
//! The caller does all I/O, as with [`crate::Node`]. Times are nanoseconds of the process's monotonic clock.

use crate::node::Node;
use crate::types::{Member, Membership, NodeId};
use std::collections::{BTreeMap, BTreeSet};

const MILLISECOND: u64 = 1_000_000;
/// Delay before a process without a group makes its first offer. An existing group contacts the process
/// within this time.
const OFFER_DELAY_NS: u64 = 2_000 * MILLISECOND;
/// Interval between two offers.
const OFFER_INTERVAL_NS: u64 = 300 * MILLISECOND;
/// Time after which an offer or a refusal expires unless it is repeated.
const OFFER_LIFETIME_NS: u64 = 1_000 * MILLISECOND;
/// Time after which a proposal that the other seeds have not adopted is dropped.
const PROPOSAL_TIMEOUT_NS: u64 = 2_000 * MILLISECOND;
/// Time after which a connected process that has neither offered nor refused counts as unreachable.
/// Connections to a machine that has lost power stay open.
const SILENCE_TIMEOUT_NS: u64 = 1_500 * MILLISECOND;
/// Time for which a process makes no offers after it has heard of a leader.
const LEADER_NOTICE_LIFETIME_NS: u64 = 10_000 * MILLISECOND;

/// An offer to found a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FoundingOffer {
    /// The member that the offering process would become.
    pub member: Member,
    /// Addresses of the seeds in the offering process's settings.
    pub seeds: BTreeSet<String>,
}

/// What the process knows about itself and about the processes connected to it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FoundingStatus {
    /// Whether the process may take part in a founding: [`crate::Node::is_uninitialized`].
    pub is_uninitialized: bool,
    /// Identities and addresses of the connected core processes.
    pub connected: BTreeSet<(NodeId, String)>,
    /// Addresses of the voters of a group that may have accepted commands without this process:
    /// [`crate::Node::possible_group_voters`].
    pub possible_group_voters: BTreeSet<String>,
}

/// Another group, which has a leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OtherGroup {
    /// Identity of the group's leader.
    pub leader: NodeId,
    /// Members of the group.
    pub membership: Membership,
    /// Whether the group holds commands or its leader accepts commands.
    pub takes_commands: bool,
}

/// The next action of a process without a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FoundingStep {
    /// There is nothing to do yet.
    Wait,
    /// Send this offer to all seeds.
    SendOffer(FoundingOffer),
    /// Send this proposal to all other seeds.
    Propose(Membership),
    /// Write the first log of a group of these members, and restart as the member with this process's
    /// address.
    Found(Membership),
}

#[derive(Clone, Debug)]
struct ReceivedOffer {
    offer: FoundingOffer,
    received_at: u64,
}

#[derive(Clone, Debug)]
struct Proposal {
    membership: Membership,
    expires_at: u64,
    /// Whether a leader of the proposed group is known.
    is_adopted: bool,
}

/// Decides when a process founds a group by agreement, and with which members.
#[derive(Clone, Debug)]
pub struct Founding {
    candidate: Member,
    seeds: BTreeSet<String>,
    /// Number of offering processes, including this one, that a founding needs.
    required_offers: usize,
    /// Time since which this process has no group; `None` while it has one.
    waiting_since: Option<u64>,
    next_offer_at: u64,
    /// Until this time, a leader that this process has heard of counts as known.
    leader_known_until: u64,
    /// Unexpired offers of other processes, by address.
    offers: BTreeMap<String, ReceivedOffer>,
    /// Until this time, another process's refusal to found a group counts.
    refused_until: u64,
    /// Time at which each connected process was first seen or last offered, by address.
    heard_at: BTreeMap<String, u64>,
    proposal: Option<Proposal>,
}

impl Founding {
    /// Creates the state of a process that would become the member `candidate`, whose identity must never
    /// have been used. `tolerated_losses` is the number of disks that may be lost at one time.
    pub fn new(candidate: Member, seeds: BTreeSet<String>, tolerated_losses: usize) -> Founding {
        Founding {
            candidate: Member { voter: true, ..candidate },
            seeds,
            required_offers: tolerated_losses + 1,
            waiting_since: None,
            next_offer_at: 0,
            leader_known_until: 0,
            offers: BTreeMap::new(),
            refused_until: 0,
            heard_at: BTreeMap::new(),
            proposal: None,
        }
    }

    /// Replaces the addresses of the seeds.
    pub fn set_seeds(&mut self, seeds: BTreeSet<String>) {
        self.seeds = seeds;
    }

    /// Handles another process's offer to found a group.
    pub fn handle_offer(&mut self, now: u64, offer: FoundingOffer) {
        if offer.member.address != self.candidate.address {
            self.offers.insert(offer.member.address.clone(), ReceivedOffer { offer, received_at: now });
        }
    }

    /// Handles a notice from the process at this address about its group. The notice is also a refusal to
    /// found another group.
    pub fn handle_group(&mut self, now: u64, address: &str, group: Option<&OtherGroup>) {
        self.offers.remove(address);
        self.refused_until = now + OFFER_LIFETIME_NS;
        group.into_iter().for_each(|group| self.record_adoption(&group.membership));
    }

    /// Whether this process, which runs `node`, should abandon its group and join another one that has a
    /// leader.
    ///
    /// This requires that the process's log holds no command, that the process is not a member of the other
    /// group, and that its own leader, if any, is not a member of the other group. If the other group accepts
    /// commands, the process abandons its group. Otherwise a voter of a group that may have accepted commands
    /// stays, unless a majority of that group's voters is in the other group. A process without a leader
    /// abandons its group once it has waited long enough for a leader. If both groups have leaders, the group
    /// with fewer voters is abandoned, and between groups of equal size the one with the lower identities.
    pub fn should_abandon_group(&self, now: u64, node: &Node, other: &OtherGroup) -> bool {
        let members = &other.membership;
        let is_listed = members.contains(node.id()) || self.has_proposed(members);
        // A process that has just joined reports a leader before it has the membership.
        let is_known = members.contains(other.leader);
        if !node.is_member() || node.holds_commands() || is_listed || !is_known {
            return false;
        }
        match node.leader() {
            Some(leader) if members.contains(leader) => false,
            _ if other.takes_commands => true,
            _ if may_be_needed_by_own_group(node, members) => false,
            None => self.is_ready(now),
            Some(_) => group_rank(node.membership()) < group_rank(members),
        }
    }

    /// Whether this process has proposed a group, is one of these members under its new identity, and may
    /// still found the group.
    fn has_proposed(&self, membership: &Membership) -> bool {
        self.proposal.is_some() && membership.contains(self.candidate.id)
    }

    /// Handles a notice that a group of these members has a leader.
    pub fn handle_leader(&mut self, now: u64, membership: &Membership) {
        self.leader_known_until = now + LEADER_NOTICE_LIFETIME_NS;
        self.record_adoption(membership);
    }

    /// Marks the proposal as adopted if a group with a leader lists this process under its new identity.
    fn record_adoption(&mut self, membership: &Membership) {
        let is_listed = membership.contains(self.candidate.id);
        if let Some(proposal) = self.proposal.as_mut().filter(|_| is_listed) {
            proposal.is_adopted = true;
        }
    }

    /// Handles another seed's proposal of a group of these members. Returns whether this process should found
    /// the group now.
    pub fn accepts(&mut self, now: u64, status: &FoundingStatus, proposed: &Membership) -> bool {
        self.expire_offers(now);
        self.record_connected(now, status);
        let addresses: BTreeSet<String> =
            proposed.members.iter().map(|member| member.address.clone()).collect();
        let is_offered = |member: &Member| {
            let offer = self.offers.get(&member.address).map(|received| &received.offer.member);
            member.voter && (*member == self.candidate || offer.is_some_and(|offer| offer.id == member.id))
        };
        self.is_ready(now)
            && !self.is_proposer()
            && self.may_found(now, status)
            && addresses == self.seeds
            && proposed.members.len() == self.seeds.len()
            && proposed.members.iter().all(is_offered)
    }

    /// Returns the next action. The caller must call this again after each step other than
    /// [`FoundingStep::Wait`].
    pub fn poll(&mut self, now: u64, status: &FoundingStatus) -> FoundingStep {
        if !status.is_uninitialized {
            self.waiting_since = None;
            self.offers.clear();
            self.heard_at.clear();
            self.proposal = None;
            return FoundingStep::Wait;
        }
        if let Some(membership) = self.adopted_proposal(now, status) {
            return FoundingStep::Found(membership);
        }
        self.waiting_since.get_or_insert(now);
        self.expire_offers(now);
        self.record_connected(now, status);
        if !self.is_ready(now) || !self.knows_no_group(now, status) {
            return FoundingStep::Wait;
        }
        if now >= self.next_offer_at {
            self.next_offer_at = now + OFFER_INTERVAL_NS;
            return FoundingStep::SendOffer(self.own_offer());
        }
        if self.proposal.is_some() || !self.is_proposer() || !self.all_seeds_agree(now, status) {
            return FoundingStep::Wait;
        }
        let membership = self.proposed_membership();
        let expires_at = now + PROPOSAL_TIMEOUT_NS;
        self.proposal = Some(Proposal { membership: membership.clone(), expires_at, is_adopted: false });
        FoundingStep::Propose(membership)
    }

    /// Latest time at which [`Founding::poll`] is due next if no event arrives before.
    pub fn next_timer(&self) -> u64 {
        let Some(waiting_since) = self.waiting_since else { return u64::MAX };
        self.next_offer_at.max(waiting_since + OFFER_DELAY_NS).max(self.leader_known_until)
    }

    /// Returns the own proposal if the other members have adopted it, so that this process adopts it too: all
    /// of them are connected under their proposed identities, or one of them is known to have a leader. Drops
    /// a proposal that has expired.
    fn adopted_proposal(&mut self, now: u64, status: &FoundingStatus) -> Option<Membership> {
        let proposal = self.proposal.as_ref()?;
        let is_connected = |member: &Member| status.connected.contains(&(member.id, member.address.clone()));
        let mut others = proposal.membership.members.iter().filter(|member| member.id != self.candidate.id);
        if proposal.is_adopted || others.all(is_connected) {
            return Some(proposal.membership.clone());
        }
        if now >= proposal.expires_at {
            self.proposal = None;
        }
        None
    }

    /// Whether this process has waited long enough for an existing group to contact it.
    fn is_ready(&self, now: u64) -> bool {
        self.waiting_since.is_some_and(|since| now >= since + OFFER_DELAY_NS)
    }

    /// Whether this process has the lowest address of the seeds and therefore makes the proposal.
    fn is_proposer(&self) -> bool {
        self.seeds.first() == Some(&self.candidate.address)
    }

    /// Whether the conditions for a founding hold that do not depend on the offers of the seeds: no group is
    /// known, no process has refused recently, a majority of the possible group's voters offers, and every
    /// connected process offers or is silent.
    fn may_found(&self, now: u64, status: &FoundingStatus) -> bool {
        let offers =
            |address: &String| *address == self.candidate.address || self.offers.contains_key(address);
        let is_silent = |address: &String| {
            self.heard_at.get(address).is_some_and(|heard_at| now >= heard_at + SILENCE_TIMEOUT_NS)
        };
        let mut connected = status.connected.iter().map(|(_, address)| address);
        let offering_group_voters =
            status.possible_group_voters.iter().filter(|address| offers(address)).count();
        let group_majority_offers = status.possible_group_voters.is_empty()
            || offering_group_voters > status.possible_group_voters.len() / 2;
        self.knows_no_group(now, status)
            && now >= self.refused_until
            && group_majority_offers
            && connected.all(|address| offers(address) || is_silent(address))
    }

    /// Records when each connected process was first seen or last offered.
    fn record_connected(&mut self, now: u64, status: &FoundingStatus) {
        let is_connected =
            |address: &String| status.connected.iter().any(|(_, connected)| connected == address);
        self.heard_at.retain(|address, _| is_connected(address));
        for (_, address) in &status.connected {
            let offered_at = self.offers.get(address).map(|received| received.received_at);
            let heard_at = self.heard_at.entry(address.clone()).or_insert(now);
            *heard_at = offered_at.map_or(*heard_at, |offered_at| offered_at.max(*heard_at));
        }
    }

    /// Whether this process is uninitialized and has not heard of a leader recently.
    fn knows_no_group(&self, now: u64, status: &FoundingStatus) -> bool {
        status.is_uninitialized && now >= self.leader_known_until
    }

    /// Whether this process may propose a group: all other seeds offer with the same seeds in their settings,
    /// and enough processes offer.
    fn all_seeds_agree(&self, now: u64, status: &FoundingStatus) -> bool {
        let others = self.seeds.iter().filter(|seed| **seed != self.candidate.address);
        let agrees =
            |seed: &String| self.offers.get(seed).is_some_and(|received| received.offer.seeds == self.seeds);
        let offering_processes = self.offers.len() + 1;
        self.may_found(now, status)
            && offering_processes >= self.required_offers
            && others.into_iter().all(agrees)
    }

    fn own_offer(&self) -> FoundingOffer {
        FoundingOffer { member: self.candidate.clone(), seeds: self.seeds.clone() }
    }

    /// Returns the seeds as members, in address order. Must only be called when all other seeds have offered.
    fn proposed_membership(&self) -> Membership {
        let offered = self.offers.values().map(|received| &received.offer.member);
        let members = offered.filter(|member| self.seeds.contains(&member.address)).cloned();
        let mut members: Vec<Member> = members.map(|member| Member { voter: true, ..member }).collect();
        members.push(self.candidate.clone());
        members.sort_by(|one, other| one.address.cmp(&other.address));
        Membership { members }
    }

    fn expire_offers(&mut self, now: u64) {
        self.offers.retain(|_, received| now < received.received_at + OFFER_LIFETIME_NS);
    }
}

/// Rank of a group without commands: first by the number of voters, then by their identities.
fn group_rank(membership: &Membership) -> (usize, BTreeSet<NodeId>) {
    let voters: BTreeSet<NodeId> = membership.voters().collect();
    (voters.len(), voters)
}

/// Whether this node may have been confirmed as a voter of a group that accepted commands without it, and at
/// most half of that group's voters are among these members.
fn may_be_needed_by_own_group(node: &Node, members: &Membership) -> bool {
    let group = node.possible_group_voters();
    let is_member = |address: &&String| members.members.iter().any(|member| member.address == **address);
    let voters_in_other_group = group.iter().filter(is_member).count();
    !group.is_empty() && voters_in_other_group <= group.len() / 2
}
