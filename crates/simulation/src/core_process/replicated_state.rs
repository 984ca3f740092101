//! The replicated state: applies committed entries and restores snapshots.

use consensus::{Entry, Payload, Snapshot};
use messages::decode;
use messages::job::{CommandBatch, SchedulerSnapshot};
use scheduler::leader::Input;
use scheduler::state::State;

use super::{CoreOutput, CoreProcess};

impl CoreProcess {
    pub(super) fn apply(&mut self, entry: Entry) {
        self.applied_index = entry.index;
        self.entries_since_snapshot += 1;
        let Payload::Command(bytes) = entry.payload else { return };
        match decode::<CommandBatch>(&bytes) {
            Ok(batch) => {
                self.work.applied_commands += batch.commands.len() as u64;
                let changes = self.state.apply(&batch);
                self.notify_leader(Input::BatchApplied { changes, batch });
            }
            Err(error) => self.out.push(CoreOutput::Failed(error.to_string())),
        }
    }

    pub(super) fn restore(&mut self, snapshot: &Snapshot) {
        self.applied_index = snapshot.meta.index;
        self.entries_since_snapshot = 0;
        if snapshot.data.is_empty() {
            self.state = State::new();
            return;
        }
        let saved = decode::<SchedulerSnapshot>(&snapshot.data).map_err(|error| error.to_string());
        match saved.and_then(|saved| State::restore(&saved).map_err(|error| error.to_string())) {
            Ok(state) => self.state = state,
            Err(text) => self.out.push(CoreOutput::Failed(text)),
        }
    }
}
