//! Turns of a process whose work takes processor time. As in the control role's driver, a turn handles
//! several events, then timers, then everything that follows from both. The work of each turn is counted.

use super::{CoreEvent, CoreOutput, CoreProcess};
use crate::processor::TurnWork;

/// Maximum number of events in one turn.
pub const MAX_EVENTS_PER_TURN: usize = 256;
/// Maximum number of committed entries applied in one turn.
const MAX_APPLIED_PER_TURN: usize = 256;

impl CoreProcess {
    /// Handles events in one turn and returns the work done. Committed entries beyond the limit are applied
    /// in the next turn, which is due at once.
    pub fn run_turn(
        &mut self,
        now: u64,
        time_of_day_ms: u64,
        events: impl IntoIterator<Item = CoreEvent>,
        out: &mut Vec<CoreOutput>,
    ) -> TurnWork {
        self.now = self.now.max(now);
        self.time_of_day_ms = time_of_day_ms;
        self.apply_budget = MAX_APPLIED_PER_TURN;
        self.work.turns += 1;
        for event in events {
            self.count_event(&event);
            self.handle_event(event);
        }
        self.finish_turn();
        self.out.iter().for_each(|output| count_output(&mut self.work, output));
        out.append(&mut self.out);
        self.count_leader_work();
        std::mem::take(&mut self.work)
    }

    fn count_event(&mut self, event: &CoreEvent) {
        let work = &mut self.work;
        match event {
            CoreEvent::Tick | CoreEvent::DiskDone => {}
            CoreEvent::Request { .. } | CoreEvent::Put { .. } | CoreEvent::Get { .. } => work.requests += 1,
            CoreEvent::CallFinished { .. } => work.worker_answers += 1,
            CoreEvent::Instances { instances, .. } => {
                work.listed_instances += instances.as_ref().map_or(0, |listed| listed.len() as u64);
            }
            CoreEvent::InstancesUnchanged { .. } => work.unchanged_lists += 1,
            CoreEvent::Frame { .. }
            | CoreEvent::PeerLost { .. }
            | CoreEvent::PeerRefused { .. }
            | CoreEvent::EdgeConnected { .. }
            | CoreEvent::EdgeClosed { .. }
            | CoreEvent::Ping { .. }
            | CoreEvent::Stop => work.other_events += 1,
        }
    }

    /// Adds the leader's work since the last call.
    pub(super) fn count_leader_work(&mut self) {
        let Some(leader) = self.leader.as_mut() else { return };
        self.work.add_leader_work(&leader.take_work());
    }
}

fn count_output(work: &mut TurnWork, output: &CoreOutput) {
    match output {
        CoreOutput::ToCore { .. }
        | CoreOutput::Notice { .. }
        | CoreOutput::Pong { .. }
        | CoreOutput::ReadInstances { .. } => work.messages += 1,
        CoreOutput::Call { .. } => work.calls += 1,
        CoreOutput::CancelCall { .. } => work.cancelled_calls += 1,
        CoreOutput::DiskBegins | CoreOutput::DiskRetries => work.disk_writes += 1,
        // The cost of an answer is counted with its request.
        CoreOutput::Reply { .. } | CoreOutput::Operator { .. } => {}
        CoreOutput::Removed | CoreOutput::Stopped | CoreOutput::Failed(_) => {}
    }
}
