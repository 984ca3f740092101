//! Maintenance of the pool: closes connections that have been idle for too long, and opens connections for
//! waiting attempts as slots become free.

use crate::pool::close_reason::CloseReason;
use crate::pool::connection::{LinkState, Open, Reusable};
use crate::pool::server::Server;
use crate::pool::Pool;
use gateway_decisions::Name;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{interval, Instant};

const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

impl<O: Open> Pool<O> {
    /// Runs forever: closes connections that reached the idle timeout or were closed by the server, and opens
    /// connections for waiting attempts as slots become free.
    pub async fn maintain(self: Rc<Self>) {
        let mut every = interval(SWEEP_INTERVAL);
        loop {
            tokio::select! {
                now = every.tick() => self.sweep(now),
                () = self.counts.freed.notified() => {}
            }
            let waits = |s: &Server<O::Link>| s.opening.get() < s.waiting.len();
            let servers = self.servers.borrow();
            let waiting: Vec<Name> =
                servers.iter().filter(|(_, s)| waits(s)).map(|(n, _)| n.clone()).collect();
            drop(servers);
            waiting.iter().for_each(|name| self.open_for_waiters(name));
        }
    }

    fn sweep(&self, now: Instant) {
        let mut servers = self.servers.borrow_mut();
        servers.retain(|_, s| s.listed || s.connections.get() > 0);
        for s in servers.values_mut() {
            let limit = self.idle_limit(s, now);
            for mut p in std::mem::take(&mut s.idle) {
                if now - p.last_used >= limit {
                    p.close(CloseReason::Expired);
                    continue;
                }
                match p.link.link_state() {
                    LinkState::Ready => s.idle.push(p),
                    other => self.closed_while_idle(s, p, other, now),
                }
            }
        }
    }
}
