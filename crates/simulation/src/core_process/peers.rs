//! Frames from other core machines, and broken connections to them.

use consensus::{Event, NodeId};

use super::{CoreFrame, CoreOutput, CoreProcess};

impl CoreProcess {
    pub(super) fn handle_frame(&mut self, from: usize, frame: CoreFrame) {
        match frame {
            CoreFrame::Consensus { from: sender, to, message } => {
                self.addresses.insert(sender, from);
                if to == self.node.id() {
                    self.node_event(Event::Message { from: sender, message });
                }
            }
            CoreFrame::Join(member) => {
                self.addresses.insert(member.id, from);
                self.node_event(Event::Join { member });
                let notice = self.notice();
                self.out.push(CoreOutput::ToCore { machine: from, frame: CoreFrame::Notice(notice) });
            }
            CoreFrame::Notice(notice) => self.joining.notice(self.now, &notice),
        }
    }

    pub(super) fn peer_lost(&mut self, machine: usize) {
        for to in self.ids_at(machine) {
            self.node_event(Event::PeerDisconnected { peer: to });
        }
    }

    pub(super) fn peer_refused(&mut self, machine: usize) {
        for peer in self.ids_at(machine) {
            self.node_event(Event::PeerDown { peer });
        }
    }

    /// The identities that were observed on a machine.
    fn ids_at(&self, machine: usize) -> Vec<NodeId> {
        self.addresses.iter().filter(|(_, at)| **at == machine).map(|(id, _)| *id).collect()
    }
}
