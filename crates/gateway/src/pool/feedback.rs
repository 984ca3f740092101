//! What exchanges show about connections and servers.

use crate::pool::close_reason::CloseReason;
use crate::pool::connection::{Open, Pooled};
use crate::pool::server::{close, Server};
use crate::pool::Pool;
use gateway_decisions::Name;
use std::time::Duration;
use tokio::time::Instant;

/// A server that has given a connection up resets a request on it at once: later breaks have other causes.
const STALE_RESET_WINDOW: Duration = Duration::from_millis(20);

impl<O: Open> Pool<O> {
    /// A server has begun an answer on a connection that was written to at `written`.
    pub fn record_answer(&self, p: &Pooled<O::Link>, written: Instant) {
        let now = Instant::now();
        if let Some(s) = self.servers.borrow_mut().get_mut(&p.server) {
            s.last_answer = now;
            self.record_staleness(s, p, false, written, now);
        }
    }

    /// The connection broke before an answer began.
    pub fn close_broken(&self, p: Pooled<O::Link>, written: Instant) {
        let now = Instant::now();
        if let Some(s) = self.servers.borrow_mut().get_mut(&p.server) {
            self.record_staleness(s, &p, true, written, now);
        }
        let stale = p.idle_time.is_some() && now - written < STALE_RESET_WINDOW;
        p.close(if stale { CloseReason::Stale } else { CloseReason::Broken });
    }

    /// How a connection fared that had idled for so long, or was new.
    fn record_staleness(
        &self,
        s: &mut Server<O::Link>,
        p: &Pooled<O::Link>,
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

    /// Nothing came for a request that was written at `written`. If nothing at all has come from this server
    /// since, its machine may be cut off: what is idle there may be dead, and to connect anew tells.
    pub fn handle_timeout(&self, name: &Name, written: Instant) {
        if let Some(s) = self.servers.borrow_mut().get_mut(name).filter(|s| s.last_answer < written) {
            close(s.idle.drain(..), CloseReason::Silent);
        }
    }
}
