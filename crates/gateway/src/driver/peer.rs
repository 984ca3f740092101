//! Messages to the other process of this gateway, and the handover of state between the two.

use crate::driver::Driver;
use crate::peer_message::PeerMessage;
use gateway_decisions::{Event, Scope, Share, Snapshot};
use gateway_protocol::list::{List, Target};
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time::Instant;

impl Driver {
    /// Returns whether another process of this gateway is connected.
    pub fn has_peer(&self) -> bool {
        self.peer.borrow().is_some()
    }

    /// Sends a message to the other process, if one is connected. A process that does not keep up with the
    /// messages is disconnected.
    pub fn send_to_peer(&self, message: PeerMessage) {
        let mut peer = self.peer.borrow_mut();
        if peer.as_ref().is_some_and(|p| p.try_send(message).is_err()) {
            *peer = None;
        }
    }

    /// Returns the state that a successor starts from: list version, servers and snapshot. Every later change
    /// is sent to it as a message.
    pub fn hand_over(self: &Rc<Self>, messages: mpsc::Sender<PeerMessage>) -> (u64, Vec<Target>, Snapshot) {
        // Pending events are handled first: no change may fall between the snapshot and the messages that
        // follow.
        self.batch(Instant::now(), &mut Vec::new());
        let snapshot = self.state.borrow().engine.snapshot();
        self.set_peer(messages);
        let list = self.list.borrow();
        (list.rev, list.targets.values().cloned().collect(), snapshot)
    }

    /// Continues with the state of a predecessor.
    pub fn take_over(
        &self,
        messages: mpsc::Sender<PeerMessage>,
        rev: u64,
        targets: Vec<Target>,
        snapshot: Snapshot,
    ) {
        snapshot.disabled().for_each(|server| self.backends.pool.disable(server));
        self.list(Scope::Cached, List { rev, all: true, targets });
        self.event(Event::Restore(Box::new(snapshot)));
        self.set_peer(messages);
    }

    fn set_peer(&self, messages: mpsc::Sender<PeerMessage>) {
        *self.peer.borrow_mut() = Some(messages);
        self.event(Event::PeerProcess { running: true });
    }

    /// Applies usage that the other process reports.
    pub fn peer_share(&self, share: Share) {
        self.event(Event::PeerShare(share));
    }

    /// Handles the end of the other process.
    pub fn peer_ended(&self) {
        *self.peer.borrow_mut() = None;
        self.event(Event::PeerProcess { running: false });
    }
}
