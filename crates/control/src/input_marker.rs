//! Finds out up to when this process has surely read what arrived.
//!
//! An answer of a worker passes through the task of its connection, the task of its call and the queue of events before
//! the driver handles it, and each of them may be behind. A marker takes the same way: once the driver handles it,
//! everything that had arrived before the marker set out was handled.

use crate::events::DriverEvent;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, yield_now};

/// How often a marker lets all waiting tasks run, each time after the sockets were asked what has arrived: once for the
/// task of a connection, once for the task of its call, and the rest since one question reports a limited number of
/// sockets and a task may stop after a part of its input.
const PASSES: usize = 6;

/// Sends a marker for `at`, which must be the present moment, on the way of an answer that arrives now.
pub async fn mark_input(at: u64, events: mpsc::Sender<DriverEvent>) {
    for _ in 0..PASSES {
        yield_now().await;
    }
    // The driver is gone only if the process ends.
    let _ = events.send(DriverEvent::InputMarker { at }).await;
}

/// Sends a marker behind the input that has arrived, at most one at a time, when the leader waits for one.
pub(crate) struct InputMarkers {
    events: mpsc::Sender<DriverEvent>,
    is_on_its_way: bool,
}

impl InputMarkers {
    /// No marker is on its way.
    pub(crate) fn new(events: mpsc::Sender<DriverEvent>) -> Self {
        InputMarkers { events, is_on_its_way: false }
    }

    /// Sends a marker for `now`, the present moment, unless one is on its way.
    pub(crate) fn send(&mut self, now: u64) {
        if !self.is_on_its_way {
            self.is_on_its_way = true;
            spawn_local(mark_input(now, self.events.clone()));
        }
    }

    /// The marker on its way has arrived.
    pub(crate) fn arrived(&mut self) {
        self.is_on_its_way = false;
    }
}
