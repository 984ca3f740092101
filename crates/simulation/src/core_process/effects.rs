//! Effects of consensus outputs, carried out in order until none is left.

use consensus::{Entry, Event, Message, NodeId, Output, Snapshot};
use log_records::{snapshot_to_stored, write_batch, LogChange, LogWrite};
use scheduler::leader::Input;

use super::{identity, CoreFrame, CoreOutput, CoreProcess};

/// Maximum number of rounds in which all effects of one event must be carried out.
const MAX_ROUNDS: usize = 60;

/// An effect of a consensus output that waits to be carried out.
#[derive(Debug)]
pub enum Effect {
    Send { to: NodeId, message: Message },
    Committed(Entry),
    Restore(Snapshot),
    ProposalDropped,
    BecameLeader { term: u64 },
    SteppedDown,
    Announce,
    MembershipChanged,
    Removed,
}

impl CoreProcess {
    /// Passes an event to consensus. The resulting effects wait for `drain_effects`.
    pub(super) fn node_event(&mut self, event: Event) {
        let mut outputs = std::mem::take(&mut self.outputs);
        self.node.handle(self.now, event, &mut outputs);
        for output in outputs.drain(..) {
            self.handle_output(output);
        }
        self.outputs = outputs;
    }

    fn handle_output(&mut self, output: Output) {
        let effect = match output {
            Output::Send { to, message } => Effect::Send { to, message },
            Output::Persist { ticket, hard_state, truncate_from, entries, snapshot } => {
                let batch = write_batch(hard_state.as_ref(), truncate_from, entries);
                let snapshot = snapshot.as_ref().map(snapshot_to_stored);
                self.push_write(LogWrite::Change(LogChange { ticket, snapshot, batch }));
                return;
            }
            Output::Proposed { .. } => return,
            Output::ProposalDropped => Effect::ProposalDropped,
            Output::Commit { entries } => {
                self.effects.extend(entries.into_iter().map(Effect::Committed));
                return;
            }
            Output::Restore { snapshot } => Effect::Restore(snapshot),
            Output::LeaderChanged { .. } => Effect::Announce,
            Output::BecameLeader { term } => Effect::BecameLeader { term },
            Output::SteppedDown => Effect::SteppedDown,
            Output::MembershipChanged { .. } => Effect::MembershipChanged,
            Output::Removed => Effect::Removed,
        };
        self.effects.push_back(effect);
    }

    /// Carries out effects and leader outputs until none is left.
    pub(super) fn run_until_idle(&mut self) {
        for turn in 0.. {
            let is_drained = self.drain_effects();
            self.flush_leader();
            if self.leader_outputs.is_empty() && (self.effects.is_empty() || !is_drained) {
                return;
            }
            if turn >= MAX_ROUNDS {
                let text =
                    format!("does not settle: {MAX_ROUNDS} turns, still pending {:?}", self.leader_outputs);
                self.out.push(CoreOutput::Failed(text));
                return;
            }
            for output in std::mem::take(&mut self.leader_outputs) {
                self.execute(output);
            }
        }
    }

    /// Carries out effects in order. Returns false if it stopped at an entry because this turn's limit of
    /// applied entries is reached.
    fn drain_effects(&mut self) -> bool {
        while let Some(effect) = self.effects.pop_front() {
            match effect {
                Effect::Committed(entry) if self.apply_budget == 0 => {
                    self.effects.push_front(Effect::Committed(entry));
                    return false;
                }
                Effect::Send { to, message } => self.send(to, message),
                Effect::Committed(entry) => {
                    self.apply_budget -= 1;
                    self.apply(entry);
                }
                Effect::Restore(snapshot) => self.restore(&snapshot),
                Effect::ProposalDropped => self.notify_leader(Input::ProposalDropped),
                Effect::BecameLeader { term } => self.start_leading(term),
                Effect::SteppedDown => self.stop_leading(),
                Effect::Announce => self.announce_leader(),
                Effect::MembershipChanged => {
                    self.update_addresses();
                    self.announce_leader();
                }
                Effect::Removed => self.out.push(CoreOutput::Removed),
            }
        }
        true
    }

    fn send(&mut self, to: NodeId, message: Message) {
        if let Some(machine) = self.addresses.get(&to).copied() {
            let frame = CoreFrame::Consensus { from: self.node.id(), to, message };
            self.out.push(CoreOutput::ToCore { machine, frame });
        }
    }

    pub(super) fn update_addresses(&mut self) {
        for member in &self.node.membership().members {
            if let Some(machine) = identity::machine_at(&member.address) {
                self.addresses.insert(member.id, machine);
            }
        }
    }
}
