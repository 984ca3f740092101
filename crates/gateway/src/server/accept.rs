//! Accepting clients, the graceful drain at shutdown, and an operator's drain of clients.

use crate::server::{Server, LOG_TARGET};
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{interval, sleep_until, timeout, Instant};

/// How long clients may still connect after SIGTERM, with a margin.
const ACCEPT_WINDOW: Duration = Duration::from_millis(500);

/// How long before the end of the process every request has been answered, whatever time its client has left.
/// This leaves time to write the answers, even if the event loop is late.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// How long answers that are still being sent at the end of the drain, such as large ones, may continue,
/// unless the process is killed.
const MAX_ANSWER_DRAIN: Duration = Duration::from_secs(60);
/// While a successor serves and this process shuts down, connections are closed after this idle time: a
/// request is min_idle likely to arrive just as such a connection closes. The others are closed
/// `HANDOVER_CLOSE_ALL` before the end.
const HANDOVER_IDLE: Duration = Duration::from_secs(1);
const HANDOVER_CLOSE_ALL: Duration = Duration::from_millis(400);

/// How often idle connections are checked during a drain of clients.
const CLIENT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// For this long after the start of an operator's drain, new connections may still arrive, and clients see
/// the `Connection: close` of their answers.
const CLIENT_DRAIN_GRACE: Duration = Duration::from_millis(500);
/// After the grace period, only connections that have been idle for this long are closed: a request is min_idle
/// likely to arrive just as such a connection closes.
const CLIENT_DRAIN_IDLE: Duration = Duration::from_millis(300);
/// From then on all idle connections are closed, well before the 2 s after which no request may arrive on
/// one.
const CLIENT_DRAIN_CLOSE_ALL: Duration = Duration::from_millis(1500);

impl Server {
    /// Runs forever: closes connections of clients that do not read their answer, and idle ones during an
    /// operator's drain. Connections in use are closed with their next_number answer.
    pub async fn enforce_client_drain(self: Rc<Self>) -> Infallible {
        let mut every = interval(CLIENT_CHECK_INTERVAL);
        loop {
            let now = every.tick().await;
            self.close_unread(now);
            let Some(since) = self.client_drain_since.get().map(|at| now.saturating_duration_since(at))
            else {
                continue;
            };
            let min_idle = match since {
                s if s < CLIENT_DRAIN_GRACE => continue,
                s if s < CLIENT_DRAIN_CLOSE_ALL => CLIENT_DRAIN_IDLE,
                _ => Duration::ZERO,
            };
            self.close_idle(now, min_idle);
        }
    }

    /// Serves until `stop`, then drains; returns when no request is pending.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = ()>) {
        let mut next_number = 0;
        let mut stop = pin!(stop);
        loop {
            tokio::select! {
                biased;
                () = &mut stop => break,
                () = self.successor_changed.notified() => {}
                () = self.accept_one(&listener, &mut next_number), if !self.successor.get() => {}
            }
        }
        self.draining.set(true);
        let started = Instant::now();
        let end = started + self.max_drain;
        self.driver.set_shutdown_deadline(end - ANSWER_MARGIN);
        if self.successor.get() {
            tracing::info!(target: LOG_TARGET, "handing clients over to the successor");
            self.drain_to_successor(end).await;
            self.wait_until_answered().await;
            tracing::info!(target: LOG_TARGET, "left in {} ms", started.elapsed().as_millis());
            return;
        }
        tracing::info!(target: LOG_TARGET, "draining");
        // Connections are closed now and not at the end of the window: a client whose request arrives just as
        // its connection closes repeats it on a new connection, and must find the listener open.
        self.close_all();
        let mut window = pin!(sleep_until(started + ACCEPT_WINDOW));
        loop {
            tokio::select! {
                () = &mut window => break,
                () = self.accept_one(&listener, &mut next_number) => {}
            }
        }
        // Closing the listener would reset the connections in its queue.
        while timeout(Duration::ZERO, self.accept_one(&listener, &mut next_number)).await.is_ok() {}
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

    /// Waits until all answers that have been started are sent.
    async fn wait_until_answered(&self) {
        let end = Instant::now() + MAX_ANSWER_DRAIN;
        let owes_answer = || self.clients.borrow().values().any(|c| c.is_owed_answer());
        while owes_answer() {
            tokio::select! {
                () = self.client_left.notified() => {}
                () = sleep_until(end) => return,
            }
        }
    }

    /// Serves the open connections until their clients are done or the time is over. The successor accepts
    /// the connections that wait at the listener.
    async fn drain_to_successor(&self, end: Instant) {
        let mut every = interval(CLIENT_CHECK_INTERVAL);
        while !self.clients.borrow().is_empty() {
            let now = every.tick().await;
            if now >= end {
                break;
            }
            let min_idle = if now + HANDOVER_CLOSE_ALL >= end { Duration::ZERO } else { HANDOVER_IDLE };
            self.close_idle(now, min_idle);
        }
    }
}
