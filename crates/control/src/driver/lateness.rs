//! Tells the leader how long this process was stalled, and up to which time it has read its input.

use super::Driver;
use scheduler::leader::{Input, Leader};

impl Driver {
    /// Reports to the leader how long this process was stalled before the turn that begins now.
    pub(super) fn record_stall(&mut self, now: u64, next_timer: u64) {
        let stall = self.stall_meter.begin_turn(now, next_timer);
        if stall == 0 {
            return;
        }
        if let Some(leader) = self.leader.as_mut() {
            leader.record_process_pause(now, stall);
        }
    }

    /// Sends an input marker if the leader is about to time out workers, or the router is about to time out
    /// relays. Both wait until everything that has arrived is read.
    pub(super) fn send_marker_if_awaited(&mut self) {
        let now = self.clock.now();
        let awaits_input = |leader: &Leader| leader.awaits_input() || self.router.awaits_input(now);
        if self.leader.as_ref().is_some_and(awaits_input) {
            self.input_markers.send(now);
        }
    }

    /// Handles an input marker: everything that arrived before `at` has been handled.
    pub(super) fn handle_input_marker(&mut self, now: u64, at: u64) {
        self.input_markers.arrived();
        self.notify_leader(now, Input::ReadUntil { at });
        self.expire_overdue_relays(now, at);
    }
}
