//! How an attempt comes by a connection and gives it back: idle ones, those who wait, and what is opened for them.

use crate::pool::close_reason::CloseReason;
use crate::pool::connection::{Checkout, LinkState, Open, Pooled, Reusable, Slot, Unavailable};
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
    /// A connection for one attempt at this server.
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
            // The list or operators may have spoken since it was handed over.
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

    fn hand_out(&self, mut p: Pooled<O::Link>) -> Pooled<O::Link> {
        if p.use_count > 0 {
            self.counts.figures.borrow_mut().reused += 1;
            p.idle_time = Some(p.last_used.elapsed());
        }
        p.use_count += 1;
        p
    }

    /// The idle connection that was used last, if it is still to be trusted; the others are older.
    fn take_idle(&self, s: &mut Server<O::Link>, now: Instant) -> Option<Pooled<O::Link>> {
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

    /// The other side closed it before anything was written to it. Only an orderly close shows a limit on
    /// idle time: a reset is the end of a process.
    pub(super) fn closed_while_idle(
        &self,
        s: &mut Server<O::Link>,
        p: Pooled<O::Link>,
        found: LinkState,
        now: Instant,
    ) {
        if found == LinkState::Closed {
            let idle = now - p.last_used;
            s.staleness.record(idle, true, now);
            self.staleness.borrow_mut().record(idle, true, now);
        }
        p.close(CloseReason::Closed);
    }

    /// How long a connection may idle and still be used.
    pub(super) fn idle_limit(&self, s: &mut Server<O::Link>, now: Instant) -> Duration {
        s.staleness.limit(&mut self.staleness.borrow_mut(), now).min(self.idle_timeout)
    }

    fn is_current(&self, p: &Pooled<O::Link>) -> bool {
        let servers = self.servers.borrow();
        servers.get(&p.server).is_some_and(|s| s.generation == p.generation && self.usable(&p.server, s))
    }

    /// Opens what those who wait at a server need, as far as the limits go.
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

    async fn open(self: &Rc<Self>, server: Name, address: SocketAddr, generation: u64, mut slot: Slot) {
        let limit = Instant::now() + self.connect_timeout;
        let missing = loop {
            match tokio::time::timeout_at(limit, self.opener.open(address)).await {
                Ok(Ok(link)) => {
                    slot.opened();
                    let now = Instant::now();
                    let p = Pooled {
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
        // Whoever has waited longest bears it, unless what is still being opened will do for all.
        if s.waiting.len() > s.opening.get() {
            let _ = s.waiting.pop_front().map(|first| first.send(Err(missing)));
        }
    }

    /// Takes back a connection whose exchange has ended.
    pub fn give_back(&self, mut p: Pooled<O::Link>) {
        p.last_used = Instant::now();
        match p.link.link_state() {
            LinkState::Ready => self.assign_or_keep_idle(p),
            LinkState::Broken => p.close(CloseReason::Closed),
            LinkState::Busy | LinkState::Closed => p.close(CloseReason::Ended),
        }
    }

    /// To who waits for it, or to the others that are idle.
    fn assign_or_keep_idle(&self, mut p: Pooled<O::Link>) {
        let mut servers = self.servers.borrow_mut();
        let current =
            servers.get_mut(&p.server).filter(|s| s.generation == p.generation && self.usable(&p.server, s));
        let Some(s) = current else {
            return p.close(CloseReason::Listed);
        };
        while let Some(waiting) = s.waiting.pop_front() {
            match waiting.send(Ok(p)) {
                Ok(()) => return,
                Err(Ok(back)) => p = back,
                Err(Err(_)) => return,
            }
        }
        if s.connections.get() > s.max_connections || self.counts.total.get() > self.max_connections.get() {
            return p.close(CloseReason::Room);
        }
        let index = s.idle.partition_point(|other| other.last_used <= p.last_used);
        s.idle.insert(index, p);
        // It may free a slot for others.
        self.counts.freed();
    }
}

fn out_of_descriptors(e: &io::Error) -> bool {
    // EMFILE and ENFILE, which the standard library does not name.
    matches!(e.raw_os_error(), Some(24 | 23))
}

/// An entry in a server's queue. A connection that was assigned but not taken goes back.
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
