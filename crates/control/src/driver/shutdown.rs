//! Graceful shutdown: leadership is transferred and replies are flushed before the process ends.

use super::{Driver, DriverExit};
use crate::clock::MILLISECOND;
use consensus::Event;
use process_signals::Signal;

/// Maximum time from the stop signal to the end of the process, for the transfer of leadership and the last
/// replies.
const SHUTDOWN_TIMEOUT_NS: u64 = 2_000 * MILLISECOND;

impl Driver {
    /// Handles a signal from the platform.
    pub(crate) fn handle_signal(&mut self, now: u64, signal: Signal) {
        match signal {
            Signal::Reload => self.reload_settings(),
            Signal::Stop if self.stop_by.is_none() => {
                log::info!("stopping: transferring leadership and finishing replies");
                self.stop_by = Some(now + SHUTDOWN_TIMEOUT_NS);
                self.step_consensus(now, Event::Transfer);
            }
            Signal::Stop => {}
        }
    }

    /// Whether the platform has asked this process to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop_by.is_some()
    }

    /// Why the driver must end now; `None` if it continues.
    pub(super) fn take_exit(&mut self, now: u64) -> Option<DriverExit> {
        match self.exit.take() {
            None => {}
            Some(DriverExit::Removed | DriverExit::FoundGroup { .. }) if self.is_stopping() => {
                return Some(DriverExit::Stopped);
            }
            Some(exit) => return Some(exit),
        }
        let stop_by = self.stop_by?;
        let is_done = !self.replica.node().is_leader()
            && self.operator_calls.is_empty()
            && self.clients.is_flushed()
            && self.peers.is_flushed();
        (is_done || now >= stop_by).then_some(DriverExit::Stopped)
    }
}
