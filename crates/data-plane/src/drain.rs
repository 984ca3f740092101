//! Graceful shutdown after SIGTERM: stops accepting clients and answers every pending request.

use crate::clients::ClientRegistry;
use crate::options::DrainTimes;
use crate::upstream::Forwarder;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::{sleep, Instant};

/// Interval at which the shutdown checks whether connections are open.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for writing the final answers.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(300);

/// Records whether and since when the process drains.
#[derive(Debug, Default)]
pub struct Draining {
    since: Cell<Option<Instant>>,
}

impl Draining {
    /// Whether the process drains.
    pub fn is_draining(&self) -> bool {
        self.since.get().is_some()
    }

    /// Records that the process starts to drain.
    pub fn begin(&self) {
        self.since.set(Some(Instant::now()));
    }
}

/// Drains the process in three steps.
///
/// Accepts connections for `min_duration`, until the platform sends no new clients. Then closes idle
/// connections until none is open. If some are open after `max_duration`, gives their requests the final
/// answers.
pub async fn drain(
    draining: &Draining,
    times: &DrainTimes,
    accept_task: &AbortHandle,
    clients: &ClientRegistry,
    forwarder: &Rc<Forwarder>,
) {
    let started = Instant::now();
    draining.begin();
    sleep(times.min_duration).await;
    accept_task.abort();
    while started.elapsed() < times.max_duration {
        clients.close_idle();
        if clients.is_empty() {
            return;
        }
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    finish(clients, forwarder).await;
}

/// Gives all pending requests their final answers and waits until the answers are written.
async fn finish(clients: &ClientRegistry, forwarder: &Rc<Forwarder>) {
    let deadline = Instant::now() + FINAL_WRITE_TIMEOUT;
    while !clients.is_empty() && Instant::now() < deadline {
        forwarder.finish_all();
        clients.close_idle();
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    if !clients.is_empty() {
        log::warn!("{} client connections are still open at the end of the shutdown", clients.len());
    }
}
