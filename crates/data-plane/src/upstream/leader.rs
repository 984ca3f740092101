//! The leader of the core as known from the notices of the members.

use messages::peer::LeaderNotice;
use std::net::SocketAddr;

/// The leader with the highest term that any member of the core has announced.
#[derive(Debug, Default)]
pub struct KnownLeader {
    term: u64,
    address: Option<SocketAddr>,
    backoff_until: u64,
}

impl KnownLeader {
    /// Address of the leader, if one is known.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Time before which no request is sent to the leader, because it replied that it does not lead. 0 if
    /// there is no backoff.
    pub fn backoff_until(&self) -> u64 {
        self.backoff_until
    }

    /// Starts a backoff after the leader replied that it does not lead: no request is sent before `until`.
    pub fn back_off_until(&mut self, until: u64) {
        self.backoff_until = until;
    }

    /// Records a notice of the member at `from`; returns whether the leader's address changed.
    ///
    /// A notice without a leader is ignored unless it comes from the known leader: a partitioned member may
    /// increase its term without end.
    pub fn observe(&mut self, from: SocketAddr, notice: &LeaderNotice) -> bool {
        if notice.leader_id == 0 {
            return self.stepped_down(from, notice.term);
        }
        let Ok(address) = notice.leader_address.parse::<SocketAddr>() else {
            return false;
        };
        let confirmed_by_leader =
            from == address && self.address == Some(address) && notice.term == self.term;
        if confirmed_by_leader {
            // Other members may have announced the leader before it was ready to lead.
            self.backoff_until = 0;
        }
        let newer = notice.term > self.term || (notice.term == self.term && self.address.is_none());
        if !newer {
            return false;
        }
        self.term = notice.term;
        self.backoff_until = 0;
        self.address.replace(address) != Some(address)
    }

    /// Forgets the leader if the notice without a leader comes from the leader itself.
    fn stepped_down(&mut self, from: SocketAddr, term: u64) -> bool {
        if self.address != Some(from) || term < self.term {
            return false;
        }
        self.address = None;
        true
    }
}
