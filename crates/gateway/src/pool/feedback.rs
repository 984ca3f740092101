//! Feedback from exchanges about the state of connections and servers.

use crate::pool::close_reason::CloseReason;
use crate::pool::connection::{Open, PooledConnection};
use crate::pool::server::{close, Server};
use crate::pool::Pool;
use gateway_decisions::Name;
use std::time::Duration;
use tokio::time::Instant;

/// A server that has already closed a connection resets a request on it immediately. A connection that breaks
/// later than this has another cause.
const STALE_RESET_WINDOW: Duration = Duration::from_millis(20);

impl<O: Open> Pool<O> {
    /// Records that a server began to answer on a connection whose request was written at `written`.
    pub fn record_answer(&self, p: &PooledConnection<O::Link>, written: Instant) {
        let now = Instant::now();
        if let Some(s) = self.servers.borrow_mut().get_mut(&p.server) {
            s.last_answer = now;
            self.record_staleness(s, p, false, written, now);
        }
    }

    /// Closes a connection that broke before an answer began.
    pub fn close_broken(&self, p: PooledConnection<O::Link>, written: Instant) {
        let now = Instant::now();
        if let Some(s) = self.servers.borrow_mut().get_mut(&p.server) {
            self.record_staleness(s, &p, true, written, now);
        }
        let stale = p.idle_time.is_some() && now - written < STALE_RESET_WINDOW;
        p.close(if stale { CloseReason::Stale } else { CloseReason::Broken });
    }

    /// Records whether a connection broke after it was idle, or when it was new.
    fn record_staleness(
        &self,
        s: &mut Server<O::Link>,
        p: &PooledConnection<O::Link>,
        broken: bool,
        written: Instant,
        now: Instant,
    ) {
        if now - written < STALE_RESET_WINDOW {
            let idled = p.idle_time.unwrap_or_default();
            s.staleness.record(idled, broken, now);
            self.staleness.borrow_mut().record(idled, broken, now);
        }
    }

    /// Handles a timeout of a request that was written at `written`. If the server has sent nothing since on
    /// any connection, its machine may be unreachable, so its idle connections may be dead and are closed:
    /// opening a new one shows whether the server is reachable.
    pub fn handle_timeout(&self, name: &Name, written: Instant) {
        if let Some(s) = self.servers.borrow_mut().get_mut(name).filter(|s| s.last_answer < written) {
            close(s.idle.drain(..), CloseReason::Silent);
        }
    }
}
