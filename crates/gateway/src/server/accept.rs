//! Taking clients in, from the start until the drain at the end; and an operator's drain of clients meanwhile.

use crate::server::{Server, LOG_TARGET};
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{interval, sleep_until, timeout, Instant};

/// How long after SIGTERM clients may still come, with a margin.
const ACCEPT_WINDOW: Duration = Duration::from_millis(500);

/// So long before the end of the process again every request has its answer, of whatever time is left to its client:
/// time to write it, also for a loop that comes late.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// What still comes then, as a large answer does, goes on until it is complete, or someone ends the process by force.
const MAX_ANSWER_DRAIN: Duration = Duration::from_secs(60);
/// Once a successor serves and the end is near, connections close that have idled for so long: the least
/// likely to cross a request. The rest close at the last moment.
const HANDOVER_IDLE: Duration = Duration::from_secs(1);
const HANDOVER_CLOSE_ALL: Duration = Duration::from_millis(400);

/// While clients are sent away: how often idle connections are checked.
const CLIENT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// For so long new connections still come, and clients find the answers' `Connection: close`.
const CLIENT_DRAIN_GRACE: Duration = Duration::from_millis(500);
/// From then on only connections close that have idled for so long: the least likely to cross a request.
const CLIENT_DRAIN_IDLE: Duration = Duration::from_millis(300);
/// Then all idle ones close, well before the 2 s from which on no request may come in on one.
const CLIENT_DRAIN_CLOSE_ALL: Duration = Duration::from_millis(1500);

impl Server {
    /// Closes connections of clients that read nothing, and idle ones while clients are sent away. Those in use close
    /// with their next answer.
    pub async fn enforce_client_drain(self: Rc<Self>) -> Infallible {
        let mut every = interval(CLIENT_CHECK_INTERVAL);
        loop {
            let now = every.tick().await;
            self.close_unread(now);
            let Some(since) = self.client_drain_since.get().map(|at| now.saturating_duration_since(at))
            else {
                continue;
            };
            let least = match since {
                s if s < CLIENT_DRAIN_GRACE => continue,
                s if s < CLIENT_DRAIN_CLOSE_ALL => CLIENT_DRAIN_IDLE,
                _ => Duration::ZERO,
            };
            self.close_idle(now, least);
        }
    }

    /// Serves until `stop`, then through the drain; returns when no request is pending.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = ()>) {
        let mut next = 0;
        let mut stop = pin!(stop);
        loop {
            tokio::select! {
                biased;
                () = &mut stop => break,
                () = self.successor_changed.notified() => {}
                () = self.accept_one(&listener, &mut next), if !self.successor.get() => {}
            }
        }
        self.draining.set(true);
        let started = Instant::now();
        let end = started + self.max_drain;
        self.driver.set_shutdown_deadline(end - ANSWER_MARGIN);
        if self.successor.get() {
            tracing::info!(target: LOG_TARGET, "leaving to the successor");
            self.drain_to_successor(end).await;
            self.wait_until_answered().await;
            tracing::info!(target: LOG_TARGET, "left in {} ms", started.elapsed().as_millis());
            return;
        }
        tracing::info!(target: LOG_TARGET, "draining");
        // At once, not at the end of the window: a request that crosses the close comes again on a new
        // connection, and must find the listener open.
        self.close_all();
        let mut window = pin!(sleep_until(started + ACCEPT_WINDOW));
        loop {
            tokio::select! {
                () = &mut window => break,
                () = self.accept_one(&listener, &mut next) => {}
            }
        }
        // What waits in the listener's queue would be reset with it.
        while timeout(Duration::ZERO, self.accept_one(&listener, &mut next)).await.is_ok() {}
        drop(listener);
        self.close_all();
        let mut last = pin!(sleep_until(end));
        while !self.clients.borrow().is_empty() {
            tokio::select! {
                () = self.client_left.notified() => {}
                () = &mut last => break,
            }
        }
        self.wait_until_answered().await;
        tracing::info!(target: LOG_TARGET, "drained in {} ms", started.elapsed().as_millis());
    }

    /// Waits for the end of what clients have been begun to be given.
    async fn wait_until_answered(&self) {
        let end = Instant::now() + MAX_ANSWER_DRAIN;
        let owes = || self.clients.borrow().values().any(|c| c.is_owed_answer());
        while owes() {
            tokio::select! {
                () = self.client_left.notified() => {}
                () = sleep_until(end) => return,
            }
        }
    }

    /// Serves the connections that are open until clients are done with them, or the time is over. What waits
    /// at the listener is the successor's.
    async fn drain_to_successor(&self, end: Instant) {
        let mut every = interval(CLIENT_CHECK_INTERVAL);
        while !self.clients.borrow().is_empty() {
            let now = every.tick().await;
            if now >= end {
                break;
            }
            let least = if now + HANDOVER_CLOSE_ALL >= end { Duration::ZERO } else { HANDOVER_IDLE };
            self.close_idle(now, least);
        }
    }
}
