//! Requests to join, made by a process that is not a member or has lost contact with the group.

use messages::peer::LeaderNotice;

use super::identity::machine_at;
use crate::time::{MS, SECOND};

/// Time between two requests to join, in nanoseconds.
const JOIN_INTERVAL_NS: u64 = 300 * MS;
/// After another process listed this one as a member, time to wait for the log before asking again, in
/// nanoseconds.
const LISTED_PAUSE_NS: u64 = 2 * SECOND;
/// Time without a leader after which this process may have been removed from the group, in nanoseconds.
const LEADERLESS_TIMEOUT_NS: u64 = 3 * SECOND;

/// Decides when a process asks to join.
#[derive(Debug)]
pub struct Joining {
    own_id: u64,
    own_machine: usize,
    /// Seeds, and members that were named in notices.
    contacts: Vec<usize>,
    last_contact: u64,
    next_ask: u64,
}

impl Joining {
    /// Starts with the seeds from the settings.
    pub fn new(own_id: u64, own_machine: usize, seeds: &[usize], now: u64) -> Self {
        let mut contacts = seeds.to_vec();
        contacts.retain(|machine| *machine != own_machine);
        Joining { own_id, own_machine, contacts, last_contact: now, next_ask: now }
    }

    /// Machines that may know the group.
    pub fn contacts(&self) -> &[usize] {
        &self.contacts
    }

    /// Handles a notice that names the leader and the members.
    pub fn notice(&mut self, now: u64, notice: &LeaderNotice) {
        let mut is_listed = false;
        for member in notice.membership.iter().flat_map(|membership| &membership.members) {
            is_listed |= member.id == self.own_id;
            if let Some(machine) = machine_at(&member.address) {
                if machine != self.own_machine && !self.contacts.contains(&machine) {
                    self.contacts.push(machine);
                }
            }
        }
        if is_listed && notice.leader_id != 0 {
            self.next_ask = self.next_ask.max(now + LISTED_PAUSE_NS);
        }
    }

    /// Whether a request to join is due.
    pub fn poll(&mut self, now: u64, is_member: bool, knows_leader: bool) -> bool {
        if is_member && knows_leader {
            self.last_contact = now;
            return false;
        }
        let is_lost = !is_member || now >= self.last_contact + LEADERLESS_TIMEOUT_NS;
        if !is_lost || now < self.next_ask {
            return false;
        }
        self.next_ask = now + JOIN_INTERVAL_NS;
        true
    }

    /// Time at which `poll` is due next.
    pub fn next_timer(&self, is_member: bool, knows_leader: bool) -> u64 {
        if is_member && knows_leader {
            return u64::MAX;
        }
        if is_member {
            return self.next_ask.max(self.last_contact + LEADERLESS_TIMEOUT_NS);
        }
        self.next_ask
    }
}
