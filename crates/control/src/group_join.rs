//! Decides how a process that is not a member finds the group and requests to join it.

use crate::clock::{MILLISECOND, SECOND};
use consensus::NodeId;
use messages::peer::LeaderNotice;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Interval of requests to join.
const REQUEST_INTERVAL_NS: u64 = 300 * MILLISECOND;
/// Once the process is listed as a member, it waits this long for the log before it sends another request.
const LISTED_WAIT_NS: u64 = 2 * SECOND;
/// After this long without a leader, the seeds may have changed and this process may have been removed from
/// the group.
const CONTACT_TIMEOUT_NS: u64 = 3 * SECOND;

/// The step that is due.
#[derive(Debug, PartialEq, Eq)]
pub enum JoinStep {
    /// Nothing is due.
    Wait,
    /// Request membership from all contacts.
    RequestJoin,
    /// Read the settings file again, because no member has named a leader; then poll again.
    ReloadSettings,
}

/// This process's membership, as far as it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus {
    /// Whether the current membership lists this process.
    pub is_member: bool,
    /// Whether a leader is known.
    pub knows_leader: bool,
}

impl MemberStatus {
    /// Whether no step is needed: this process is a member and knows a leader.
    fn is_joined(self) -> bool {
        self.is_member && self.knows_leader
    }
}

/// Decides when a process requests membership and from which processes. All times are nanoseconds of the
/// process's clock.
///
/// Requests are repeated at intervals until the process is a member that knows a leader, because a request is
/// not acknowledged and may reach a process that does not lead.
#[derive(Debug)]
pub struct GroupJoin {
    own_id: NodeId,
    own_address: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
    /// Addresses of members named in leader notices, and of core processes that have connected.
    known_members: BTreeSet<SocketAddr>,
    /// When this process was last a member that knew a leader.
    last_contact: u64,
    next_request: u64,
    next_reload: u64,
}

impl GroupJoin {
    /// Creates the state with the seeds from the settings.
    pub fn new(own_id: NodeId, own_address: &str, seeds: Vec<SocketAddr>, now: u64) -> Self {
        GroupJoin {
            own_id,
            own_address: own_address.parse().ok(),
            seeds,
            known_members: BTreeSet::new(),
            last_contact: now,
            next_request: now,
            next_reload: now + CONTACT_TIMEOUT_NS,
        }
    }

    /// The seeds, except this process.
    pub fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Addresses of all processes that may know the group, except this process.
    pub fn contacts(&self) -> Vec<SocketAddr> {
        let mut contacts: Vec<SocketAddr> = self.seeds.clone();
        contacts.extend(self.known_members.iter());
        contacts.sort_unstable();
        contacts.dedup();
        contacts.retain(|address| Some(*address) != self.own_address);
        contacts
    }

    /// Adds the address of a running core process.
    pub fn add_contact(&mut self, address: &str) {
        self.known_members.extend(address.parse::<SocketAddr>());
    }

    /// Adds the members named in a leader notice. A notice that lists this process delays the next request.
    pub fn handle_leader_notice(&mut self, now: u64, notice: &LeaderNotice) {
        let members = notice.membership.iter().flat_map(|membership| &membership.members);
        let mut is_listed = false;
        for member in members {
            is_listed |= member.id == self.own_id;
            self.known_members.extend(member.address.parse::<SocketAddr>());
        }
        if is_listed && notice.leader_id != 0 {
            self.next_request = self.next_request.max(now + LISTED_WAIT_NS);
        }
    }

    /// Returns the step that is due at `now`.
    pub fn poll(&mut self, now: u64, status: MemberStatus) -> JoinStep {
        if status.is_joined() {
            self.last_contact = now;
            self.known_members.clear();
            self.next_reload = now + CONTACT_TIMEOUT_NS;
            return JoinStep::Wait;
        }
        if now >= self.next_reload {
            self.next_reload = now + CONTACT_TIMEOUT_NS;
            return JoinStep::ReloadSettings;
        }
        let is_request_needed = !status.is_member || now >= self.last_contact + CONTACT_TIMEOUT_NS;
        if !is_request_needed || now < self.next_request {
            return JoinStep::Wait;
        }
        self.next_request = now + REQUEST_INTERVAL_NS;
        JoinStep::RequestJoin
    }

    /// When `poll` is due next.
    pub fn next_timer(&self, status: MemberStatus) -> u64 {
        if status.is_joined() {
            return u64::MAX;
        }
        let request = if status.is_member {
            self.next_request.max(self.last_contact + CONTACT_TIMEOUT_NS)
        } else {
            self.next_request
        };
        request.min(self.next_reload)
    }
}
