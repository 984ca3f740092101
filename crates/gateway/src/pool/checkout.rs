//! Checkout and return of connections: idle connections, waiting attempts, and connections that are opened
//! for them.

use crate::pool::close_reason::CloseReason;
use crate::pool::connection::{Checkout, LinkState, Open, PooledConnection, Reusable, Slot, Unavailable};
use crate::pool::server::{close, Server};
use crate::pool::Pool;
use gateway_decisions::Name;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{timeout, Instant};

impl<O: Open> Pool<O> {
    /// Checks out a connection to this server for one attempt; waits for one if none is idle.
    pub async fn checkout(self: &Rc<Self>, name: &Name) -> Checkout<O::Link> {
        let mut waiter = {
            let mut servers = self.servers.borrow_mut();
            let Some(s) = servers.get_mut(name).filter(|s| self.usable(name, s)) else {
                return Err(Unavailable::NotAccepting);
            };
            if let Some(p) = self.take_idle(s, Instant::now()) {
                return Ok(self.hand_out(p));
            }
            let (sender, receiver) = oneshot::channel();
            s.waiting.push_back(sender);
            Waiter::new(receiver, self)
        };
        self.open_for_waiters(name);
        let asked = Instant::now();
        match timeout(self.connect_timeout, &mut waiter.receiver).await {
            // The server may have been drained, moved or disabled after the connection was assigned to this
            // attempt.
            Ok(Ok(Ok(p))) if !self.is_current(&p) => {
                p.close(CloseReason::Listed);
                Err(Unavailable::NotAccepting)
            }
            Ok(Ok(given)) => {
                let p = given?;
                self.counts.figures.borrow_mut().waited_us += asked.elapsed().as_micros() as u64;
                Ok(self.hand_out(p))
            }
            Ok(Err(_)) => Err(Unavailable::NotAccepting),
            Err(_) => {
                let opening = self.servers.borrow().get(name).is_some_and(|s| s.opening.get() > 0);
                Err(if opening { Unavailable::ConnectTimeout } else { Unavailable::AtCapacity })
            }
        }
    }

    /// Counts the use of a connection and records how long it was idle.
    fn hand_out(&self, mut p: PooledConnection<O::Link>) -> PooledConnection<O::Link> {
        if p.use_count > 0 {
            self.counts.figures.borrow_mut().reused += 1;
            p.idle_time = Some(p.last_used.elapsed());
        }
        p.use_count += 1;
        p
    }

    /// Takes the most recently used idle connection that is still usable. If it has reached the idle timeout,
    /// so have all others, which are older.
    fn take_idle(&self, s: &mut Server<O::Link>, now: Instant) -> Option<PooledConnection<O::Link>> {
        let limit = self.idle_limit(s, now);
        while let Some(mut p) = s.idle.pop() {
            if now - p.last_used >= limit {
                p.close(CloseReason::Expired);
                close(s.idle.drain(..), CloseReason::Expired);
                return None;
            }
            match p.link.link_state() {
                LinkState::Ready => return Some(p),
                other => self.closed_while_idle(s, p, other, now),
            }
        }
        None
    }

    /// Closes a connection that the server closed while it was idle. Only an orderly close tells something
    /// about the server's idle timeout: a reset means that a process ended.
    pub(super) fn closed_while_idle(
        &self,
        s: &mut Server<O::Link>,
        p: PooledConnection<O::Link>,
        link_state: LinkState,
        now: Instant,
    ) {
        if link_state == LinkState::Closed {
            let idle = now - p.last_used;
            s.staleness.record(idle, true, now);
            self.staleness.borrow_mut().record(idle, true, now);
        }
        p.close(CloseReason::Closed);
    }

    /// Returns how long a connection to this server may be idle and still be reused.
    pub(super) fn idle_limit(&self, s: &mut Server<O::Link>, now: Instant) -> Duration {
        s.staleness.limit(&mut self.staleness.borrow_mut(), now).min(self.idle_timeout)
    }

    /// Returns whether the connection still belongs to the current generation of a usable server.
    fn is_current(&self, p: &PooledConnection<O::Link>) -> bool {
        let servers = self.servers.borrow();
        servers.get(&p.server).is_some_and(|s| s.generation == p.generation && self.usable(&p.server, s))
    }

    /// Opens connections for the attempts that wait for a server, as far as the limits allow.
    pub(super) fn open_for_waiters(self: &Rc<Self>, name: &Name) {
        loop {
            let opening = {
                let mut servers = self.servers.borrow_mut();
                let Some(s) = servers.get_mut(name).filter(|s| self.usable(name, s)) else { return };
                s.waiting.retain(|w| !w.is_closed());
                let Some(address) = s.address.filter(|_| {
                    s.opening.get() < s.waiting.len()
                        && s.connections.get() < s.max_connections
                        && self.max_connections.get() > 0
                }) else {
                    return;
                };
                if self.counts.total.get() < self.max_connections.get() {
                    let slot = Slot::new(&self.counts, &s.connections, &s.opening);
                    Some((address, s.generation, slot))
                } else {
                    None
                }
            };
            match opening {
                Some((address, generation, slot)) => {
                    let (pool, name) = (self.clone(), name.clone());
                    spawn_local(async move { pool.open(name, address, generation, slot).await });
                }
                None if self.close_longest_idle() => {}
                None => return,
            }
        }
    }

    /// Opens a connection and assigns it to a waiting attempt, or reports the failure to one.
    async fn open(self: &Rc<Self>, server: Name, address: SocketAddr, generation: u64, mut slot: Slot) {
        let limit = Instant::now() + self.connect_timeout;
        let failure = loop {
            match tokio::time::timeout_at(limit, self.opener.open(address)).await {
                Ok(Ok(link)) => {
                    slot.opened();
                    let now = Instant::now();
                    let p = PooledConnection {
                        link,
                        slot,
                        server,
                        generation,
                        last_used: now,
                        use_count: 0,
                        idle_time: None,
                    };
                    return self.assign_or_keep_idle(p);
                }
                Ok(Err(e)) if out_of_descriptors(&e) => {
                    if !self.close_longest_idle() {
                        break Unavailable::OutOfDescriptors;
                    }
                }
                Ok(Err(_)) => break Unavailable::Refused,
                Err(_) => break Unavailable::ConnectTimeout,
            }
        };
        drop(slot);
        let mut servers = self.servers.borrow_mut();
        let Some(s) = servers.get_mut(&server).filter(|s| s.generation == generation) else { return };
        s.waiting.retain(|w| !w.is_closed());
        // The failure goes to the attempt that has waited longest, unless the connections still being opened
        // are enough for all waiting attempts.
        if s.waiting.len() > s.opening.get() {
            let _ = s.waiting.pop_front().map(|first| first.send(Err(failure)));
        }
    }

    /// Returns a connection whose exchange has ended to the pool.
    pub fn give_back(&self, mut p: PooledConnection<O::Link>) {
        p.last_used = Instant::now();
        match p.link.link_state() {
            LinkState::Ready => self.assign_or_keep_idle(p),
            LinkState::Broken => p.close(CloseReason::Closed),
            LinkState::Busy | LinkState::Closed => p.close(CloseReason::Ended),
        }
    }

    /// Assigns a connection to the first waiting attempt, or keeps it idle if none waits.
    fn assign_or_keep_idle(&self, mut p: PooledConnection<O::Link>) {
        let mut servers = self.servers.borrow_mut();
        let current =
            servers.get_mut(&p.server).filter(|s| s.generation == p.generation && self.usable(&p.server, s));
        let Some(s) = current else {
            return p.close(CloseReason::Listed);
        };
        while let Some(waiting) = s.waiting.pop_front() {
            match waiting.send(Ok(p)) {
                Ok(()) => return,
                Err(Ok(returned)) => p = returned,
                Err(Err(_)) => return,
            }
        }
        if s.connections.get() > s.max_connections || self.counts.total.get() > self.max_connections.get() {
            return p.close(CloseReason::Room);
        }
        let index = s.idle.partition_point(|other| other.last_used <= p.last_used);
        s.idle.insert(index, p);
        // An idle connection can be closed to free its slot for another server.
        self.counts.freed();
    }
}

/// Returns whether the process or the system is out of file descriptors.
fn out_of_descriptors(e: &io::Error) -> bool {
    // EMFILE and ENFILE, which the standard library does not name.
    matches!(e.raw_os_error(), Some(24 | 23))
}

/// An attempt's entry in the queue of a server. A connection that was assigned but not taken goes returned to the
/// pool.
struct Waiter<O: Open> {
    receiver: oneshot::Receiver<Checkout<O::Link>>,
    pool: Rc<Pool<O>>,
}

impl<O: Open> Waiter<O> {
    fn new(receiver: oneshot::Receiver<Checkout<O::Link>>, pool: &Rc<Pool<O>>) -> Self {
        pool.counts.waiting.set(pool.counts.waiting.get() + 1);
        pool.counts.figures.borrow_mut().waits += 1;
        Waiter { receiver, pool: pool.clone() }
    }
}

impl<O: Open> Drop for Waiter<O> {
    fn drop(&mut self) {
        let counts = &self.pool.counts;
        counts.waiting.set(counts.waiting.get() - 1);
        if let Ok(Ok(p)) = self.receiver.try_recv() {
            self.pool.assign_or_keep_idle(p);
        }
    }
}
