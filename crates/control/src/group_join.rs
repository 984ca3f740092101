//! How a process that is not a member finds the group and requests to join it.

use crate::clock::{MILLISECOND, SECOND};
use consensus::NodeId;
use messages::peer::LeaderNotice;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Time between two requests to join.
const REQUEST_INTERVAL: u64 = 300 * MILLISECOND;
/// Once listed as a member, the process waits this long for the log before it sends another request.
const LISTED_WAIT: u64 = 2 * SECOND;
/// Without a leader for this long, the seeds may have changed, and this process may have been removed.
const CONTACT_TIMEOUT: u64 = 3 * SECOND;

/// What is due.
#[derive(Debug, PartialEq, Eq)]
pub enum JoinStep {
    /// Nothing yet.
    Wait,
    /// Request membership from all contacts.
    RequestJoin,
    /// Read the settings file again, since no member answers with a leader; then poll again.
    ReloadSettings,
}

/// What this process knows of its place in the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus {
    /// Whether the membership in force lists this process.
    pub is_member: bool,
    /// Whether a leader is known.
    pub knows_leader: bool,
}

impl MemberStatus {
    /// Whether there is nothing to do: this process is a member and knows a leader.
    fn is_joined(self) -> bool {
        self.is_member && self.knows_leader
    }
}

/// Decides when a process requests membership, and from whom. All times are nanoseconds of the process's clock.
///
/// Requests go on at intervals until the process is a member that knows a leader: a request is not acknowledged, and
/// may reach a process that does not lead.
#[derive(Debug)]
pub struct GroupJoin {
    own_id: NodeId,
    own_address: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
    /// Addresses of members that leader notices have named, and of core processes that have connected.
    known_members: BTreeSet<SocketAddr>,
    /// When this process last was a member that knew a leader.
    last_contact: u64,
    next_request: u64,
    next_reload: u64,
}

impl GroupJoin {
    /// Starts with the seeds of the settings.
    pub fn new(own_id: NodeId, own_address: &str, seeds: Vec<SocketAddr>, now: u64) -> Self {
        GroupJoin {
            own_id,
            own_address: own_address.parse().ok(),
            seeds,
            known_members: BTreeSet::new(),
            last_contact: now,
            next_request: now,
            next_reload: now + CONTACT_TIMEOUT,
        }
    }

    /// The seeds, without this process.
    pub fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// All processes that may know the group.
    pub fn contacts(&self) -> Vec<SocketAddr> {
        let mut contacts: Vec<SocketAddr> = self.seeds.clone();
        contacts.extend(self.known_members.iter());
        contacts.sort_unstable();
        contacts.dedup();
        contacts.retain(|address| Some(*address) != self.own_address);
        contacts
    }

    /// Learns that a core process runs at this address.
    pub fn add_contact(&mut self, address: &str) {
        self.known_members.extend(address.parse::<SocketAddr>());
    }

    /// Learns from a notice about the leader and the members.
    pub fn handle_leader_notice(&mut self, now: u64, notice: &LeaderNotice) {
        let members = notice.membership.iter().flat_map(|membership| &membership.members);
        let mut is_listed = false;
        for member in members {
            is_listed |= member.id == self.own_id;
            self.known_members.extend(member.address.parse::<SocketAddr>());
        }
        if is_listed && notice.leader_id != 0 {
            self.next_request = self.next_request.max(now + LISTED_WAIT);
        }
    }

    /// What is due at `now`.
    pub fn poll(&mut self, now: u64, status: MemberStatus) -> JoinStep {
        if status.is_joined() {
            self.last_contact = now;
            self.known_members.clear();
            self.next_reload = now + CONTACT_TIMEOUT;
            return JoinStep::Wait;
        }
        if now >= self.next_reload {
            self.next_reload = now + CONTACT_TIMEOUT;
            return JoinStep::ReloadSettings;
        }
        let is_request_needed = !status.is_member || now >= self.last_contact + CONTACT_TIMEOUT;
        if !is_request_needed || now < self.next_request {
            return JoinStep::Wait;
        }
        self.next_request = now + REQUEST_INTERVAL;
        JoinStep::RequestJoin
    }

    /// When `poll` is due next.
    pub fn next_timer(&self, status: MemberStatus) -> u64 {
        if status.is_joined() {
            return u64::MAX;
        }
        let request = if status.is_member {
            self.next_request.max(self.last_contact + CONTACT_TIMEOUT)
        } else {
            self.next_request
        };
        request.min(self.next_reload)
    }
}
