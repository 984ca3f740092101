//! Tracks which process leads, which processes are members, and whether the leader is reachable.

use super::interface::UpstreamOutput;
use super::peers::Peer;
use super::state::Upstream;
use messages::peer::LeaderNotice;
use std::net::SocketAddr;

impl Upstream {
    pub(super) fn leader_notice_received(
        &mut self,
        now: u64,
        from: SocketAddr,
        notice: LeaderNotice,
        out: &mut Vec<UpstreamOutput>,
    ) {
        let changed = self.leader.observe(from, &notice);
        self.update_membership(now, from, &notice, out);
        if changed {
            self.leader_changed(now);
        }
        self.poll(now, out);
    }

    /// Connects to the new leader and requeues the requests that were sent to another process.
    pub(super) fn leader_changed(&mut self, now: u64) {
        let Some(address) = self.leader.address() else {
            return;
        };
        if !self.peers.iter().any(|peer| peer.address == address) {
            self.peers.push(Peer::new(address));
        }
        for peer in &mut self.peers {
            if peer.address == address {
                peer.connect_now();
            } else if let Some(open) = peer.open_mut() {
                open.forget_outstanding();
            }
        }
        let kept = self.leader_link().map(|open| open.connection);
        self.requests.requeue_except(now, kept);
    }

    /// Replaces the peers by the members that a notice lists. The notice counts only if it comes from the
    /// leader or has a higher term than the last membership.
    pub(super) fn update_membership(
        &mut self,
        now: u64,
        from: SocketAddr,
        notice: &LeaderNotice,
        out: &mut Vec<UpstreamOutput>,
    ) {
        let Some(membership) = &notice.membership else {
            return;
        };
        let from_leader = self.leader.address() == Some(from);
        let newer = self.membership_term.is_none_or(|term| notice.term > term || from_leader);
        let members: Vec<SocketAddr> =
            membership.members.iter().filter_map(|member| member.address.parse().ok()).collect();
        if members.is_empty() || !newer {
            return;
        }
        self.membership_term = Some(notice.term.max(self.membership_term.unwrap_or(0)));
        self.drop_other_peers(now, &members, from, out);
        for address in members {
            if !self.peers.iter().any(|peer| peer.address == address) {
                self.peers.push(Peer::new(address));
            }
        }
    }

    /// Drops all peers except the members, the leader, and the sender of the membership.
    pub(super) fn drop_other_peers(
        &mut self,
        now: u64,
        members: &[SocketAddr],
        from: SocketAddr,
        out: &mut Vec<UpstreamOutput>,
    ) {
        let leader = self.leader.address();
        let kept = |address| members.contains(&address) || leader == Some(address) || address == from;
        let dropped: Vec<u64> =
            self.peers.iter().filter(|peer| !kept(peer.address)).filter_map(Peer::connection).collect();
        self.peers.retain(|peer| kept(peer.address));
        for connection in dropped {
            self.requests.requeue(now, connection);
            out.push(UpstreamOutput::Close { connection });
        }
    }

    /// Requeues the requests that were sent to a leader that has become unresponsive. If this process is
    /// partitioned, their clients get an answer early enough to retry at another process.
    pub(super) fn requeue_from_unresponsive_leader(&mut self, now: u64) {
        let Some(open) = self.leader_link().filter(|open| open.is_unresponsive(now) && open.awaits_replies())
        else {
            return;
        };
        // A ping was sent before. The link stays unresponsive until something is received.
        open.forget_outstanding();
        let connection = open.connection;
        self.requests.requeue_from_unresponsive(now, connection);
    }

    /// Records whether the leader is reachable, and if not, since when.
    pub(super) fn update_reachability(&mut self, now: u64) {
        let reachable = self.leader_link().is_some_and(|open| !open.is_unresponsive(now));
        if reachable {
            self.leader_was_reached = true;
            self.without_leader_since = None;
        } else {
            self.without_leader_since.get_or_insert(now);
        }
    }
}
