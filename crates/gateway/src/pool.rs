//! The pool of connections to roll servers: which are open, who waits for one, and what becomes of each.
//!
//! How many there may be is the module's decision; here it is held. An attempt takes the connection that was
//! used last, so that the rest age out. If none is idle it waits for what comes first: a connection that
//! another attempt gives back, or one that is opened for it. What was opened in vain is kept if there is
//! room. Those who wait at a server are served in turn.
//!
//! A connection belongs to an era of its server, which ends when the list tells another address or start, and
//! when the server wants nothing new. Nothing of a past era is handed out, kept or written to.

use crate::staleness::Staleness;
use granitehub::{Name, Scope};
use granitehub_protocol::list::{State, Target};
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::task::spawn_local;
use tokio::time::{interval, timeout, Instant};

const SWEEP_EVERY: Duration = Duration::from_secs(1);
/// A server that has given a connection up resets a request on it at once: later breaks have other causes.
const AT_ONCE: Duration = Duration::from_millis(20);

/// How an open connection stands between two requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fitness {
    Fit,
    /// An exchange on it has not ended.
    Busy,
    /// Closed by the other side, in order.
    Closed,
    /// Reset, or bytes came that nobody asked for.
    Broken,
}

pub trait Reusable: 'static {
    fn fitness(&mut self) -> Fitness;
}

/// Opens connections.
pub trait Open: 'static {
    type Link: Reusable;
    fn open(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Link>>;
}

/// Why a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The attempt on it was given up, or its client left.
    GivenUp,
    /// It stood idle for too long.
    Expired,
    /// The other side closed it while it was idle, or said what nobody had asked for.
    Closed,
    /// It broke as soon as it was written to again.
    Stale,
    /// It broke under a request.
    Broken,
    /// Its last answer was to be its last.
    Ended,
    /// The server is drained, gone, moved, restarted or out by hand.
    Listed,
    /// The server said nothing on another connection.
    Silent,
    /// It made room.
    Room,
}

impl Cause {
    /// As the figures name it.
    pub fn word(self) -> &'static str {
        match self {
            Cause::GivenUp => "given_up",
            Cause::Expired => "expired",
            Cause::Closed => "closed",
            Cause::Stale => "stale",
            Cause::Broken => "broken",
            Cause::Ended => "ended",
            Cause::Listed => "listed",
            Cause::Silent => "silent",
            Cause::Room => "room",
        }
    }
}

/// Why an attempt got no connection. None of these wrote anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Missing {
    /// The server wants nothing new.
    Gone,
    /// The limits of this gateway left no room in time.
    Full,
    /// The process may open nothing more.
    Descriptors,
    /// The server's machine refused.
    Refused,
    /// The connection never came up.
    Silent,
}

/// What staff see.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PoolFigures {
    /// Connections that are up, idle ones among them.
    pub open: usize,
    pub idle: usize,
    pub opening: usize,
    /// The most that were up or being opened at once.
    pub peak: usize,
    /// Since the start: opened, not come up, used once more, and attempts that had to wait for one.
    pub opened: u64,
    pub failed: u64,
    pub reused: u64,
    pub waits: u64,
    /// How long those that got one waited, in all.
    pub waited_us: u64,
    pub closed: BTreeMap<Cause, u64>,
}

impl fmt::Display for PoolFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let PoolFigures { open, idle, opening, peak, opened, failed, reused, waits, waited_us, closed } =
            self;
        write!(
            f,
            "opened {opened}, not come up {failed}, used again {reused}, waited for {waits} ({} ms), ",
            waited_us / 1000
        )?;
        write!(f, "closed {closed:?}; open now {open} ({idle} idle), being opened {opening}, at most {peak}")
    }
}

/// What all connections are counted in, wherever they are.
#[derive(Default)]
struct Tally {
    /// Up or being opened.
    held: Cell<usize>,
    figures: RefCell<PoolFigures>,
    /// Attempts that wait, and what tells that a place has become free meanwhile.
    waiting: Cell<usize>,
    freed: Notify,
}

impl Tally {
    fn freed(&self) {
        if self.waiting.get() > 0 {
            self.freed.notify_one();
        }
    }
}

/// A connection's place within the limits, from before it is opened until after it is closed.
struct Slot {
    tally: Rc<Tally>,
    at_server: Rc<Cell<usize>>,
    /// Those being opened in this era of the server; none once it is up.
    opening: Option<Rc<Cell<usize>>>,
    cause: Cause,
}

impl Slot {
    fn new(tally: &Rc<Tally>, at_server: &Rc<Cell<usize>>, opening: &Rc<Cell<usize>>) -> Self {
        tally.held.set(tally.held.get() + 1);
        at_server.set(at_server.get() + 1);
        opening.set(opening.get() + 1);
        let mut f = tally.figures.borrow_mut();
        f.opening += 1;
        f.peak = f.peak.max(tally.held.get());
        Slot {
            tally: tally.clone(),
            at_server: at_server.clone(),
            opening: Some(opening.clone()),
            cause: Cause::GivenUp,
        }
    }

    fn opened(&mut self) {
        if let Some(opening) = self.opening.take() {
            opening.set(opening.get() - 1);
            let mut f = self.tally.figures.borrow_mut();
            f.opening -= 1;
            (f.open, f.opened) = (f.open + 1, f.opened + 1);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.tally.held.set(self.tally.held.get() - 1);
        self.at_server.set(self.at_server.get() - 1);
        let mut f = self.tally.figures.borrow_mut();
        match self.opening.take() {
            Some(opening) => {
                opening.set(opening.get() - 1);
                (f.opening, f.failed) = (f.opening - 1, f.failed + 1);
            }
            None => {
                f.open -= 1;
                *f.closed.entry(self.cause).or_default() += 1;
            }
        }
        self.tally.freed();
    }
}

/// A connection in the hands of one attempt, or idle.
pub struct Pooled<L> {
    // Before its slot: the descriptor is free by the time that its place is.
    pub link: L,
    slot: Slot,
    server: Name,
    era: u64,
    used: Instant,
    uses: u32,
    /// How long it had idled when it was handed out, if it had been used before.
    pub idled: Option<Duration>,
}

impl<L> Pooled<L> {
    /// Closes it for this reason; left alone it counts as given up.
    pub fn close(mut self, cause: Cause) {
        self.slot.cause = cause;
    }
}

type Given<L> = Result<Pooled<L>, Missing>;

struct Server<L> {
    address: Option<SocketAddr>,
    boot_ms: u64,
    listed: bool,
    ready: bool,
    era: u64,
    /// The most connections, and how many there are: up or being opened, of all eras.
    most: usize,
    held: Rc<Cell<usize>>,
    /// Those of them that are being opened in this era.
    opening: Rc<Cell<usize>>,
    /// The one used last at the end.
    idle: Vec<Pooled<L>>,
    /// In the order they came.
    waiting: VecDeque<oneshot::Sender<Given<L>>>,
    staleness: Staleness,
    /// When any answer last began.
    heard: Instant,
}

impl<L> Server<L> {
    /// Nothing that is open, or waits, is of use any more.
    fn end_era(&mut self) {
        self.era += 1;
        self.opening = Rc::default();
        close(self.idle.drain(..), Cause::Listed);
    }
}

fn close<L>(links: impl IntoIterator<Item = Pooled<L>>, cause: Cause) {
    links.into_iter().for_each(|p| p.close(cause));
}

pub struct Pool<O: Open> {
    opener: O,
    servers: RefCell<HashMap<Name, Server<O::Link>>>,
    /// Out by hand. The module decides it; here it stops a send that still waits for its connection.
    banned: RefCell<HashSet<Name>>,
    tally: Rc<Tally>,
    /// The most connections over all servers, and at one whose limit is not told.
    most: Cell<usize>,
    connect_timeout: Duration,
    idle_time: Duration,
    staleness: RefCell<Staleness>,
}

impl<O: Open> Pool<O> {
    /// No connection is used that has been idle for `idle_time`.
    pub fn new(opener: O, most: usize, connect_timeout: Duration, idle_time: Duration) -> Rc<Self> {
        Rc::new(Pool {
            opener,
            servers: RefCell::default(),
            banned: RefCell::default(),
            tally: Rc::default(),
            most: Cell::new(most),
            connect_timeout,
            idle_time,
            staleness: RefCell::new(Staleness::new(Instant::now())),
        })
    }

    pub fn opener(&self) -> &O {
        &self.opener
    }

    // ---- Servers ----

    pub fn any_ready(&self) -> bool {
        self.servers.borrow().iter().any(|(name, s)| self.usable(name, s))
    }

    fn usable(&self, name: &Name, server: &Server<O::Link>) -> bool {
        server.ready && !self.banned.borrow().contains(name)
    }

    /// How many are in the list.
    pub fn listed(&self) -> usize {
        self.servers.borrow().values().filter(|s| s.listed).count()
    }

    /// Whether anyone has this name: a listed server, or one out by hand that the list lacks for now.
    pub fn knows(&self, name: &str) -> bool {
        self.servers.borrow().get(name).is_some_and(|s| s.listed) || self.banned.borrow().contains(name)
    }

    /// Those out by hand, in order.
    pub fn banned(&self) -> Vec<Name> {
        let mut banned: Vec<Name> = self.banned.borrow().iter().cloned().collect();
        banned.sort();
        banned
    }

    /// Out by hand: nothing new is written to it, and its idle connections go.
    pub fn ban(&self, name: &Name) {
        self.banned.borrow_mut().insert(name.clone());
        if let Some(s) = self.servers.borrow_mut().get_mut(name) {
            s.end_era();
            s.waiting.clear();
        }
    }

    pub fn unban(&self, name: &Name) {
        self.banned.borrow_mut().remove(name);
    }

    /// Takes in what discovery tells. Connections to an old address, an old process or a server that wants
    /// nothing new are of no use.
    pub fn update(self: &Rc<Self>, scope: Scope, targets: &[Target]) {
        let now = Instant::now();
        let mut servers = self.servers.borrow_mut();
        let gone = |s: &mut Server<O::Link>| {
            s.end_era();
            s.waiting.clear();
            (s.listed, s.ready) = (false, false);
        };
        if scope != Scope::Changes {
            let told: HashSet<&str> = targets.iter().map(|t| t.uid.as_str()).collect();
            servers.iter_mut().filter(|(name, _)| !told.contains(&***name)).for_each(|(_, s)| gone(s));
        }
        let mut moved = Vec::new();
        for t in targets {
            if t.state == State::Gone {
                if let Some(s) = servers.get_mut(t.uid.as_str()) {
                    gone(s);
                }
                continue;
            }
            let address = t.endpoint.parse().ok();
            let name: Name = t.uid.as_str().into();
            let known = servers.entry(name.clone()).or_insert_with(|| Server {
                address,
                boot_ms: t.boot_ms,
                listed: true,
                ready: false,
                era: 0,
                most: usize::MAX,
                held: Rc::default(),
                opening: Rc::default(),
                idle: Vec::new(),
                waiting: VecDeque::new(),
                staleness: Staleness::new(now),
                heard: now,
            });
            (known.listed, known.ready) = (true, t.state == State::Ready);
            let restarted = known.boot_ms != t.boot_ms;
            if !known.ready || known.address != address || restarted {
                known.end_era();
                moved.push(name);
            }
            if restarted {
                known.staleness = Staleness::new(now);
            }
            (known.address, known.boot_ms) = (address, t.boot_ms);
            if !known.ready {
                known.waiting.clear();
            }
        }
        // What is still out keeps its server's count until it is closed.
        servers.retain(|_, s| s.listed || s.held.get() > 0);
        drop(servers);
        // Who waits at a server that has moved goes on to its new address.
        moved.iter().for_each(|name| self.open_for(name));
    }

    // ---- Limits ----

    /// The most connections over all servers.
    pub fn set_most(&self, most: usize) {
        self.most.set(most);
        while self.tally.held.get() > most && self.make_room() {}
        self.tally.freed();
    }

    /// The most connections to one server.
    pub fn set_most_at(&self, name: &Name, most: usize) {
        if let Some(s) = self.servers.borrow_mut().get_mut(name) {
            let over = s.held.get().saturating_sub(most).min(s.idle.len());
            close(s.idle.drain(..over), Cause::Room);
            s.most = most;
        }
        self.tally.freed();
    }

    /// Closes the connection that has been idle for longest. Whether there was one.
    pub fn make_room(&self) -> bool {
        let mut servers = self.servers.borrow_mut();
        let idle = servers.values_mut().filter(|s| !s.idle.is_empty());
        let Some(oldest) = idle.min_by_key(|s| s.idle[0].used) else { return false };
        oldest.idle.remove(0).close(Cause::Room);
        true
    }

    // ---- Attempts ----

    /// A connection for one attempt at this server.
    pub async fn take(self: &Rc<Self>, name: &Name) -> Given<O::Link> {
        let mut ticket = {
            let mut servers = self.servers.borrow_mut();
            let Some(s) = servers.get_mut(name).filter(|s| self.usable(name, s)) else {
                return Err(Missing::Gone);
            };
            if let Some(p) = self.newest(s, Instant::now()) {
                return Ok(self.hand_out(p));
            }
            let (give, given) = oneshot::channel();
            s.waiting.push_back(give);
            Ticket::new(given, self)
        };
        self.open_for(name);
        let asked = Instant::now();
        match timeout(self.connect_timeout, &mut ticket.given).await {
            // The list or operators may have spoken since it was handed over.
            Ok(Ok(Ok(p))) if !self.current(&p) => {
                p.close(Cause::Listed);
                Err(Missing::Gone)
            }
            Ok(Ok(given)) => {
                let p = given?;
                self.tally.figures.borrow_mut().waited_us += asked.elapsed().as_micros() as u64;
                Ok(self.hand_out(p))
            }
            Ok(Err(_)) => Err(Missing::Gone),
            Err(_) => {
                let opening = self.servers.borrow().get(name).is_some_and(|s| s.opening.get() > 0);
                Err(if opening { Missing::Silent } else { Missing::Full })
            }
        }
    }

    fn hand_out(&self, mut p: Pooled<O::Link>) -> Pooled<O::Link> {
        if p.uses > 0 {
            self.tally.figures.borrow_mut().reused += 1;
            p.idled = Some(p.used.elapsed());
        }
        p.uses += 1;
        p
    }

    /// The idle connection that was used last, if it is still to be trusted; the others are older.
    fn newest(&self, s: &mut Server<O::Link>, now: Instant) -> Option<Pooled<O::Link>> {
        let limit = self.idle_limit(s, now);
        while let Some(mut p) = s.idle.pop() {
            if now - p.used >= limit {
                p.close(Cause::Expired);
                close(s.idle.drain(..), Cause::Expired);
                return None;
            }
            match p.link.fitness() {
                Fitness::Fit => return Some(p),
                other => self.closed_in_time(s, p, other, now),
            }
        }
        None
    }

    /// The other side closed it before anything was written to it. Only a close in order tells of a limit on
    /// idle time: a reset is the end of a process.
    fn closed_in_time(&self, s: &mut Server<O::Link>, p: Pooled<O::Link>, found: Fitness, now: Instant) {
        if found == Fitness::Closed {
            let idle = now - p.used;
            s.staleness.record(idle, true, now);
            self.staleness.borrow_mut().record(idle, true, now);
        }
        p.close(Cause::Closed);
    }

    /// How long a connection may idle and still be used.
    fn idle_limit(&self, s: &mut Server<O::Link>, now: Instant) -> Duration {
        s.staleness.limit(&mut self.staleness.borrow_mut(), now).min(self.idle_time)
    }

    fn current(&self, p: &Pooled<O::Link>) -> bool {
        let servers = self.servers.borrow();
        servers.get(&p.server).is_some_and(|s| s.era == p.era && self.usable(&p.server, s))
    }

    /// Opens what those who wait at a server need, as far as the limits go.
    fn open_for(self: &Rc<Self>, name: &Name) {
        loop {
            let opening = {
                let mut servers = self.servers.borrow_mut();
                let Some(s) = servers.get_mut(name).filter(|s| self.usable(name, s)) else { return };
                s.waiting.retain(|w| !w.is_closed());
                let Some(address) = s.address.filter(|_| {
                    s.opening.get() < s.waiting.len() && s.held.get() < s.most && self.most.get() > 0
                }) else {
                    return;
                };
                if self.tally.held.get() < self.most.get() {
                    let slot = Slot::new(&self.tally, &s.held, &s.opening);
                    Some((address, s.era, slot))
                } else {
                    None
                }
            };
            match opening {
                Some((address, era, slot)) => {
                    let (pool, name) = (self.clone(), name.clone());
                    spawn_local(async move { pool.open(name, address, era, slot).await });
                }
                None if self.make_room() => {}
                None => return,
            }
        }
    }

    async fn open(self: &Rc<Self>, server: Name, address: SocketAddr, era: u64, mut slot: Slot) {
        let limit = Instant::now() + self.connect_timeout;
        let missing = loop {
            match tokio::time::timeout_at(limit, self.opener.open(address)).await {
                Ok(Ok(link)) => {
                    slot.opened();
                    let now = Instant::now();
                    let p = Pooled { link, slot, server, era, used: now, uses: 0, idled: None };
                    return self.shelve(p);
                }
                Ok(Err(e)) if out_of_descriptors(&e) => {
                    if !self.make_room() {
                        break Missing::Descriptors;
                    }
                }
                Ok(Err(_)) => break Missing::Refused,
                Err(_) => break Missing::Silent,
            }
        };
        drop(slot);
        let mut servers = self.servers.borrow_mut();
        let Some(s) = servers.get_mut(&server).filter(|s| s.era == era) else { return };
        s.waiting.retain(|w| !w.is_closed());
        // Whoever has waited longest bears it, unless what is still being opened will do for all.
        if s.waiting.len() > s.opening.get() {
            let _ = s.waiting.pop_front().map(|first| first.send(Err(missing)));
        }
    }

    /// Takes back a connection whose exchange has ended.
    pub fn give_back(&self, mut p: Pooled<O::Link>) {
        p.used = Instant::now();
        match p.link.fitness() {
            Fitness::Fit => self.shelve(p),
            Fitness::Broken => p.close(Cause::Closed),
            Fitness::Busy | Fitness::Closed => p.close(Cause::Ended),
        }
    }

    /// To who waits for it, or to the others that are idle.
    fn shelve(&self, mut p: Pooled<O::Link>) {
        let mut servers = self.servers.borrow_mut();
        let current = servers.get_mut(&p.server).filter(|s| s.era == p.era && self.usable(&p.server, s));
        let Some(s) = current else {
            return p.close(Cause::Listed);
        };
        while let Some(waiting) = s.waiting.pop_front() {
            match waiting.send(Ok(p)) {
                Ok(()) => return,
                Err(Ok(back)) => p = back,
                Err(Err(_)) => return,
            }
        }
        if s.held.get() > s.most || self.tally.held.get() > self.most.get() {
            return p.close(Cause::Room);
        }
        let place = s.idle.partition_point(|other| other.used <= p.used);
        s.idle.insert(place, p);
        // It may make room for others.
        self.tally.freed();
    }

    // ---- What exchanges tell ----

    /// A server has begun an answer on a connection that was written to at `written`.
    pub fn answered(&self, p: &Pooled<O::Link>, written: Instant) {
        let now = Instant::now();
        if let Some(s) = self.servers.borrow_mut().get_mut(&p.server) {
            s.heard = now;
            self.learn(s, p, false, written, now);
        }
    }

    /// The connection broke before an answer began.
    pub fn broke(&self, p: Pooled<O::Link>, written: Instant) {
        let now = Instant::now();
        if let Some(s) = self.servers.borrow_mut().get_mut(&p.server) {
            self.learn(s, &p, true, written, now);
        }
        let stale = p.idled.is_some() && now - written < AT_ONCE;
        p.close(if stale { Cause::Stale } else { Cause::Broken });
    }

    /// How a connection fared that had idled for so long, or was new.
    fn learn(
        &self,
        s: &mut Server<O::Link>,
        p: &Pooled<O::Link>,
        broken: bool,
        written: Instant,
        now: Instant,
    ) {
        if now - written < AT_ONCE {
            let idled = p.idled.unwrap_or_default();
            s.staleness.record(idled, broken, now);
            self.staleness.borrow_mut().record(idled, broken, now);
        }
    }

    /// Nothing came for a request that was written at `written`. If nothing at all has come from this server
    /// since, its machine may be cut off: what is idle there may be dead, and to connect anew tells.
    pub fn silent(&self, name: &Name, written: Instant) {
        if let Some(s) = self.servers.borrow_mut().get_mut(name).filter(|s| s.heard < written) {
            close(s.idle.drain(..), Cause::Silent);
        }
    }

    /// Connections to a server that are up or being opened.
    pub fn held_at(&self, name: &Name) -> usize {
        self.servers.borrow().get(name).map_or(0, |s| s.held.get())
    }

    pub fn figures(&self) -> PoolFigures {
        let idle = self.servers.borrow().values().map(|s| s.idle.len()).sum();
        PoolFigures { idle, ..self.tally.figures.borrow().clone() }
    }

    // ---- Upkeep ----

    /// Closes what has idled for too long or was closed by the other side, and opens for those who wait as
    /// places become free.
    pub async fn keep(self: Rc<Self>) {
        let mut every = interval(SWEEP_EVERY);
        loop {
            tokio::select! {
                now = every.tick() => self.sweep(now),
                () = self.tally.freed.notified() => {}
            }
            let waits = |s: &Server<O::Link>| s.opening.get() < s.waiting.len();
            let servers = self.servers.borrow();
            let waiting: Vec<Name> =
                servers.iter().filter(|(_, s)| waits(s)).map(|(n, _)| n.clone()).collect();
            drop(servers);
            waiting.iter().for_each(|name| self.open_for(name));
        }
    }

    fn sweep(&self, now: Instant) {
        let mut servers = self.servers.borrow_mut();
        servers.retain(|_, s| s.listed || s.held.get() > 0);
        for s in servers.values_mut() {
            let limit = self.idle_limit(s, now);
            for mut p in std::mem::take(&mut s.idle) {
                if now - p.used >= limit {
                    p.close(Cause::Expired);
                    continue;
                }
                match p.link.fitness() {
                    Fitness::Fit => s.idle.push(p),
                    other => self.closed_in_time(s, p, other, now),
                }
            }
        }
    }
}

fn out_of_descriptors(e: &io::Error) -> bool {
    // EMFILE and ENFILE, which the standard library does not name.
    matches!(e.raw_os_error(), Some(24 | 23))
}

/// A place in a server's line. What was given but not taken goes back.
struct Ticket<O: Open> {
    given: oneshot::Receiver<Given<O::Link>>,
    pool: Rc<Pool<O>>,
}

impl<O: Open> Ticket<O> {
    fn new(given: oneshot::Receiver<Given<O::Link>>, pool: &Rc<Pool<O>>) -> Self {
        pool.tally.waiting.set(pool.tally.waiting.get() + 1);
        pool.tally.figures.borrow_mut().waits += 1;
        Ticket { given, pool: pool.clone() }
    }
}

impl<O: Open> Drop for Ticket<O> {
    fn drop(&mut self) {
        let tally = &self.pool.tally;
        tally.waiting.set(tally.waiting.get() - 1);
        if let Ok(Ok(p)) = self.given.try_recv() {
            self.pool.shelve(p);
        }
    }
}

#[cfg(test)]
pub mod tests;
