//! What the driver tells a leader of the lateness of its process.

use super::event_loop::Leader;

impl Leader {
    /// The driver's process was absent for `pause_ns` nanoseconds up to `now`: it neither sent nor read anything. To be
    /// called before what arrived meanwhile is handed in.
    pub fn record_process_pause(&mut self, now: u64, pause_ns: u64) {
        self.lateness.record_process_pause(now, pause_ns);
    }

    /// Whether a time limit for an answer has passed that is not judged before `Input::ReadUntil` names a moment from
    /// now on.
    pub fn awaits_input(&self) -> bool {
        self.lateness.awaits_input()
    }

    /// Everything that arrived before `at` was handed in.
    pub(super) fn read_until(&mut self, at: u64) {
        for worker in self.lateness.read_until(at) {
            self.schedule_poll(worker);
        }
    }
}
