//! Tells the leader how late this process is, and up to when it has read what arrived.

use super::Driver;
use scheduler::leader::{Input, Leader};

impl Driver {
    /// Tells the leader how long this process was absent before the turn that begins now.
    pub(super) fn note_absence(&mut self, now: u64, next_timer: u64) {
        let absence = self.absence.turn_began(now, next_timer);
        if absence == 0 {
            return;
        }
        if let Some(leader) = self.leader.as_mut() {
            leader.record_process_pause(now, absence);
        }
    }

    /// Sends a marker if the leader may judge the silence of workers, or this process that of relays, only after what has arrived is read.
    pub(super) fn send_marker_if_awaited(&mut self) {
        let now = self.clock.now();
        let awaits_input = |leader: &Leader| leader.awaits_input() || self.router.awaits_input(now);
        if self.leader.as_ref().is_some_and(awaits_input) {
            self.input_markers.send(now);
        }
    }

    /// Everything that arrived before `at` was handled.
    pub(super) fn handle_input_marker(&mut self, now: u64, at: u64) {
        self.input_markers.arrived();
        self.notify_leader(now, Input::ReadUntil { at });
        self.judge_relays(now, at);
    }
}
