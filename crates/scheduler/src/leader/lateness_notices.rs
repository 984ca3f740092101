//! Notices of the driver about delays of its own process.

use super::event_loop::Leader;

impl Leader {
    /// Records that the driver's process neither sent nor read anything for `pause_ns` nanoseconds up to
    /// `now`. Must be called before any input that arrived during the pause is passed in.
    pub fn record_process_pause(&mut self, now: u64, pause_ns: u64) {
        self.lateness.record_process_pause(now, pause_ns);
    }

    /// Returns whether a response timeout has passed that is only evaluated after an `Input::ReadUntil` for a
    /// time from now on.
    pub fn awaits_input(&self) -> bool {
        self.lateness.awaits_input()
    }

    /// Handles `Input::ReadUntil`: everything that arrived before `at` has been passed in.
    pub(super) fn read_until(&mut self, at: u64) {
        for worker in self.lateness.read_until(at) {
            self.schedule_poll(worker);
        }
    }
}
