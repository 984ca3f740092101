//! What the driver sends to the other process of this gateway, and takes over from it.

use crate::driver::Driver;
use crate::peer_message::PeerMessage;
use gateway_decisions::{Event, Scope, Share, Snapshot};
use gateway_protocol::list::{List, Target};
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time::Instant;

impl Driver {
    /// Whether there is another process of this gateway.
    pub fn has_peer(&self) -> bool {
        self.peer.borrow().is_some()
    }

    /// Sends to the other process, if there is one. One that does not keep up is disconnected: its link ends.
    pub fn send_to_peer(&self, message: PeerMessage) {
        let mut peer = self.peer.borrow_mut();
        if peer.as_ref().is_some_and(|p| p.try_send(message).is_err()) {
            *peer = None;
        }
    }

    /// All that a successor starts from. What happens from now on is sent to it.
    pub fn hand_over(self: &Rc<Self>, messages: mpsc::Sender<PeerMessage>) -> (u64, Vec<Target>, Snapshot) {
        // Nothing may lie between the snapshot and the messages after it.
        self.batch(Instant::now(), &mut Vec::new());
        let snapshot = self.state.borrow().engine.snapshot();
        self.set_peer(messages);
        let list = self.list.borrow();
        (list.rev, list.targets.values().cloned().collect(), snapshot)
    }

    /// Goes on from what a predecessor knew.
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

    /// What the other process has done.
    pub fn peer_share(&self, share: Share) {
        self.event(Event::PeerShare(share));
    }

    /// The other process has ended.
    pub fn peer_ended(&self) {
        *self.peer.borrow_mut() = None;
        self.event(Event::PeerProcess { running: false });
    }
}
