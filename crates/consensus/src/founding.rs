//! Founding of a group by agreement of the seeds, where the first start did not found it.
//!
//! On the very first start of the system each seed founds the group by itself: all write the same first log. A seed that
//! ends before that log is durable is told at its next start that this is not the first one, and cannot know by itself
//! whether the others have founded the group since, or whether it has lost its disk. If a majority of the seeds is in
//! that place, nobody would ever lead.
//!
//! The same holds where the disks of a majority of the founders are lost before the group has grown to the voters that
//! it needs to bear such a loss.
//!
//! So a process that holds nothing of any group ([`crate::Node::is_uninitialized`]) and hears of none offers, after a
//! delay and then at intervals, to found one with its seeds, under an identity that was never used. The seed with the
//! least address proposes the members once
//!
//! - every seed offers, with the same seeds in its settings,
//! - as many processes offer as disks may be lost at one time, and one more: a group that ever was would have a member
//!   with its disk among them, which never offers,
//! - every core process that is connected and answers offers, too. One that holds commands, or has a leader, refuses;
//! - a voter of a group that had a leader and the voters that it wants hears offers of a majority of them: the others
//!   may have taken commands without it.
//!
//! Each other seed checks the same when the proposal arrives, writes the first log and starts anew as that member. The
//! proposer does so last, when all others have connected under their new identities: so it never is the only one, and a
//! founding that was interrupted leaves seeds that offer again. A member of a founding that came to nothing offers too.
//! The other members may have gone on without it, but only while its machine counted among those that are lost: then
//! they and it are more than may be lost at one time, and one of them is connected and does not offer.
//!
//! Where the core is cut in two for longer than the delay, and the seeds are exchanged meanwhile, each part may found a
//! group. At most one of them has the voters that it needs to take commands. Once they reach one another, the other gives
//! way ([`Founding::should_abandon_group`]): a leader tells seeds that are no members of its group.
//!
//! Input and output are the caller's, as with [`crate::Node`]. Times are nanoseconds of the process's steady clock.

use crate::node::Node;
use crate::types::{Member, Membership, NodeId};
use std::collections::{BTreeMap, BTreeSet};

const MILLISECOND: u64 = 1_000_000;
/// A process without a group waits this long before it offers: a group that exists reaches it within that time.
const OFFER_DELAY: u64 = 2_000 * MILLISECOND;
/// Time between two offers.
const OFFER_INTERVAL: u64 = 300 * MILLISECOND;
/// An offer or a refusal that was not repeated within this time does not count any more.
const OFFER_LIFETIME: u64 = 1_000 * MILLISECOND;
/// A proposal that is not carried out within this time is given up.
const PROPOSAL_LIFETIME: u64 = 2_000 * MILLISECOND;
/// A connected process that neither offers nor refuses for this long is taken to be out of reach: connections to a machine
/// without power stay open.
const SILENCE: u64 = 1_500 * MILLISECOND;
/// A process that heard of a leader does not offer for this long.
const LEADER_MEMORY: u64 = 10_000 * MILLISECOND;

/// An offer to found a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FoundingOffer {
    /// The member that the process would be.
    pub member: Member,
    /// Addresses of the seeds in its settings.
    pub seeds: BTreeSet<String>,
}

/// What the process knows of itself and its surroundings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FoundingStatus {
    /// Whether it holds nothing of any group: [`crate::Node::is_uninitialized`].
    pub is_uninitialized: bool,
    /// Core processes that are connected: identity and address.
    pub connected: BTreeSet<(NodeId, String)>,
    /// Addresses of the voters of a group that may have taken commands without this process:
    /// [`crate::Node::possible_group_voters`].
    pub possible_group_voters: BTreeSet<String>,
}

/// Another group that has a leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OtherGroup {
    /// Its leader.
    pub leader: NodeId,
    /// Its members.
    pub membership: Membership,
    /// Whether it holds commands, or its leader takes them.
    pub takes_commands: bool,
}

/// What is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FoundingStep {
    /// Nothing yet.
    Wait,
    /// Send this offer to all seeds.
    SendOffer(FoundingOffer),
    /// Send this proposal to all other seeds.
    Propose(Membership),
    /// Write the first log of a group of these members, and start anew as the member at the own address.
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
    /// A leader of the proposed group is known.
    is_carried_out: bool,
}

/// Decides when a process founds a group by agreement, and with whom.
#[derive(Clone, Debug)]
pub struct Founding {
    candidate: Member,
    seeds: BTreeSet<String>,
    required_offers: usize,
    /// Since when this process has no group; `None` while it has one.
    waiting_since: Option<u64>,
    next_offer_at: u64,
    /// Until then a leader that this process heard of counts.
    leader_known_until: u64,
    /// Offers of other processes, by address.
    offers: BTreeMap<String, ReceivedOffer>,
    /// Until then a process that refused to found a group counts.
    refused_until: u64,
    /// When each connected process, by address, was first seen, or last offered.
    heard_at: BTreeMap<String, u64>,
    proposal: Option<Proposal>,
}

impl Founding {
    /// For a process that would be `candidate`, whose identity must be new. `tolerated_losses`: disks that may be lost
    /// at one time.
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

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: BTreeSet<String>) {
        self.seeds = seeds;
    }

    /// Another process offers to found a group.
    pub fn handle_offer(&mut self, now: u64, offer: FoundingOffer) {
        if offer.member.address != self.candidate.address {
            self.offers.insert(offer.member.address.clone(), ReceivedOffer { offer, received_at: now });
        }
    }

    /// The process at this address tells of its group, and so refuses to found another.
    pub fn handle_group(&mut self, now: u64, address: &str, group: Option<&OtherGroup>) {
        self.offers.remove(address);
        self.refused_until = now + OFFER_LIFETIME;
        group.into_iter().for_each(|group| self.record_carried_out(&group.membership));
    }

    /// Whether the process, this node, gives its own group up to join another that has a leader.
    ///
    /// Its log holds no command, the other group does not list it, and its own leader, if it has one, leads another group
    /// than that. If the other takes no commands yet, a voter of a group that may have taken some stays, unless a majority
    /// of those voters is in the other; one without a leader gives way once it has waited for one; of two groups with
    /// leaders the one with fewer voters gives way, of equal ones that with the lesser identities.
    pub fn should_abandon_group(&self, now: u64, node: &Node, other: &OtherGroup) -> bool {
        let members = &other.membership;
        let is_listed = members.contains(node.id()) || self.has_proposed(members);
        // A process that has just joined names a leader before it has the membership.
        let is_known = members.contains(other.leader);
        if !node.is_member() || node.holds_commands() || is_listed || !is_known {
            return false;
        }
        match node.leader() {
            Some(leader) if members.contains(leader) => false,
            _ if other.takes_commands => true,
            _ if may_be_needed(node, members) => false,
            None => self.is_ready(now),
            Some(_) => group_order(node.membership()) < group_order(members),
        }
    }

    /// Whether this process has proposed a group in which it is one of these members, and may still found it.
    fn has_proposed(&self, membership: &Membership) -> bool {
        self.proposal.is_some() && membership.contains(self.candidate.id)
    }

    /// A process names a leader, and these members.
    pub fn handle_leader(&mut self, now: u64, membership: &Membership) {
        self.leader_known_until = now + LEADER_MEMORY;
        self.record_carried_out(membership);
    }

    /// The proposal is carried out if a leader's members are those of it.
    fn record_carried_out(&mut self, membership: &Membership) {
        let is_listed = membership.contains(self.candidate.id);
        if let Some(proposal) = self.proposal.as_mut().filter(|_| is_listed) {
            proposal.is_carried_out = true;
        }
    }

    /// Another seed proposes a group of these members. Returns whether to found it now.
    pub fn accepts(&mut self, now: u64, status: &FoundingStatus, proposed: &Membership) -> bool {
        self.forget_old_offers(now);
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

    /// What is due at `now`. To be called again after each step that is not [`FoundingStep::Wait`].
    pub fn poll(&mut self, now: u64, status: &FoundingStatus) -> FoundingStep {
        if !status.is_uninitialized {
            self.waiting_since = None;
            self.offers.clear();
            self.heard_at.clear();
            self.proposal = None;
            return FoundingStep::Wait;
        }
        if let Some(membership) = self.carried_out_proposal(now, status) {
            return FoundingStep::Found(membership);
        }
        self.waiting_since.get_or_insert(now);
        self.forget_old_offers(now);
        self.record_connected(now, status);
        if !self.is_ready(now) || !self.hears_of_no_group(now, status) {
            return FoundingStep::Wait;
        }
        if now >= self.next_offer_at {
            self.next_offer_at = now + OFFER_INTERVAL;
            return FoundingStep::SendOffer(self.own_offer());
        }
        if self.proposal.is_some() || !self.is_proposer() || !self.is_agreed(now, status) {
            return FoundingStep::Wait;
        }
        let membership = self.proposed_membership();
        let expires_at = now + PROPOSAL_LIFETIME;
        self.proposal = Some(Proposal { membership: membership.clone(), expires_at, is_carried_out: false });
        FoundingStep::Propose(membership)
    }

    /// When [`Founding::poll`] is due next at the latest, if nothing arrives before.
    pub fn next_timer(&self) -> u64 {
        let Some(waiting_since) = self.waiting_since else { return u64::MAX };
        self.next_offer_at.max(waiting_since + OFFER_DELAY).max(self.leader_known_until)
    }

    /// The proposal, if all other members carry it out: then this process does so too. One that is too old is dropped.
    fn carried_out_proposal(&mut self, now: u64, status: &FoundingStatus) -> Option<Membership> {
        let proposal = self.proposal.as_ref()?;
        let is_connected = |member: &Member| status.connected.contains(&(member.id, member.address.clone()));
        let mut others = proposal.membership.members.iter().filter(|member| member.id != self.candidate.id);
        if proposal.is_carried_out || others.all(is_connected) {
            return Some(proposal.membership.clone());
        }
        if now >= proposal.expires_at {
            self.proposal = None;
        }
        None
    }

    /// Whether this process has waited long enough for a group to reach it.
    fn is_ready(&self, now: u64) -> bool {
        self.waiting_since.is_some_and(|since| now >= since + OFFER_DELAY)
    }

    fn is_proposer(&self) -> bool {
        self.seeds.first() == Some(&self.candidate.address)
    }

    fn may_found(&self, now: u64, status: &FoundingStatus) -> bool {
        let offers =
            |address: &String| *address == self.candidate.address || self.offers.contains_key(address);
        let is_silent =
            |address: &String| self.heard_at.get(address).is_some_and(|heard_at| now >= heard_at + SILENCE);
        let mut connected = status.connected.iter().map(|(_, address)| address);
        let of_group = status.possible_group_voters.iter().filter(|address| offers(address)).count();
        let group_has_no_majority =
            status.possible_group_voters.is_empty() || of_group > status.possible_group_voters.len() / 2;
        self.hears_of_no_group(now, status)
            && now >= self.refused_until
            && group_has_no_majority
            && connected.all(|address| offers(address) || is_silent(address))
    }

    /// Notes since when each process has been connected, or has offered last.
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

    fn hears_of_no_group(&self, now: u64, status: &FoundingStatus) -> bool {
        status.is_uninitialized && now >= self.leader_known_until
    }

    fn is_agreed(&self, now: u64, status: &FoundingStatus) -> bool {
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

    /// The seeds as members, in the order of their addresses. Only for a proposer to whom all seeds offer.
    fn proposed_membership(&self) -> Membership {
        let offered = self.offers.values().map(|received| &received.offer.member);
        let members = offered.filter(|member| self.seeds.contains(&member.address)).cloned();
        let mut members: Vec<Member> = members.map(|member| Member { voter: true, ..member }).collect();
        members.push(self.candidate.clone());
        members.sort_by(|one, other| one.address.cmp(&other.address));
        Membership { members }
    }

    fn forget_old_offers(&mut self, now: u64) {
        self.offers.retain(|_, received| now < received.received_at + OFFER_LIFETIME);
    }
}

/// Ranks groups without commands: by the number of voters, then by their identities.
fn group_order(membership: &Membership) -> (usize, BTreeSet<NodeId>) {
    let voters: BTreeSet<NodeId> = membership.voters().collect();
    (voters.len(), voters)
}

/// Whether this node may have been confirmed as a voter of a group that took commands without it, and whose voters are
/// for the most part not among these members.
fn may_be_needed(node: &Node, members: &Membership) -> bool {
    let group = node.possible_group_voters();
    let is_member = |address: &&String| members.members.iter().any(|member| member.address == **address);
    let moved = group.iter().filter(is_member).count();
    !group.is_empty() && moved <= group.len() / 2
}
