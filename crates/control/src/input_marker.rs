//! Determines up to which time this process has read all input that had arrived.
//!
//! A worker's answer passes through the task of its connection, the task of its call and the event queue
//! before the driver handles it, and each of these may be behind. A marker takes the same path: once the
//! driver handles the marker, it has handled everything that had arrived before the marker was sent.

use crate::events::DriverEvent;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, yield_now};

/// How many times a marker lets all waiting tasks run, each time after the runtime has polled the sockets.
/// One pass is for the task of a connection and one for the task of its call. The others are needed because
/// one poll reports a limited number of sockets and a task may stop after a part of its input.
const PASSES: usize = 6;

/// Sends a marker for `at`, which must be the current time, along the path of an answer that arrives now.
pub async fn send_input_marker(at: u64, events: mpsc::Sender<DriverEvent>) {
    for _ in 0..PASSES {
        yield_now().await;
    }
    // Sending fails only if the driver has ended because the process is ending.
    let _ = events.send(DriverEvent::InputMarker { at }).await;
}

/// Sends input markers when the leader or the router waits for one, at most one at a time.
pub(crate) struct InputMarkers {
    events: mpsc::Sender<DriverEvent>,
    /// Whether a marker was sent and has not arrived.
    is_pending: bool,
}

impl InputMarkers {
    /// Creates the sender; no marker is pending.
    pub(crate) fn new(events: mpsc::Sender<DriverEvent>) -> Self {
        InputMarkers { events, is_pending: false }
    }

    /// Sends a marker for `now`, the current time, unless one is pending.
    pub(crate) fn send(&mut self, now: u64) {
        if !self.is_pending {
            self.is_pending = true;
            spawn_local(send_input_marker(now, self.events.clone()));
        }
    }

    /// Records that the pending marker has arrived.
    pub(crate) fn arrived(&mut self) {
        self.is_pending = false;
    }
}
