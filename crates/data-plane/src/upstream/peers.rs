//! State of the links to the members of the core: when each is opened, pinged, closed, and considered
//! unresponsive.
//!
//! All times are nanoseconds of the steady clock.

use super::time::NANOS_PER_MS;
use std::net::SocketAddr;

/// Timeout of an attempt to connect, after the fast retry period.
const CONNECT_TIMEOUT_NS: u64 = 1_000 * NANOS_PER_MS;
/// Period of short timeouts and constant backoff, counted from the first attempt after the start or after a
/// broken connection. A machine that restarts has lost the packets sent before, and the operating system
/// resends them only after a second.
const FAST_RETRY_PERIOD_NS: u64 = 3_000 * NANOS_PER_MS;
/// Timeout of an attempt to connect in the fast retry period.
const FAST_RETRY_CONNECT_TIMEOUT_NS: u64 = 250 * NANOS_PER_MS;
/// Initial backoff between attempts to connect. The backoff doubles after the fast retry period, and has
/// jitter.
const MIN_BACKOFF_NS: u64 = 100 * NANOS_PER_MS;
/// Maximum backoff between attempts to connect.
const MAX_BACKOFF_NS: u64 = 1_000 * NANOS_PER_MS;
/// Ping interval to a leader with outstanding requests, and to members while no leader is reachable.
const BUSY_PING_INTERVAL_NS: u64 = 500 * NANOS_PER_MS;
/// Ping interval to a leader without outstanding requests.
const IDLE_PING_INTERVAL_NS: u64 = 2_000 * NANOS_PER_MS;
/// A link is unresponsive if a reply or a pong is awaited and nothing was received for this long.
const UNRESPONSIVE_AFTER_NS: u64 = 700 * NANOS_PER_MS;
/// The connection to the leader is closed and reopened if a reply or a pong is awaited and nothing was
/// received for this long. The machine may have lost power and restarted, and the operating system resends at
/// growing intervals.
const LEADER_CLOSE_AFTER_NS: u64 = 1_200 * NANOS_PER_MS;
/// Like `LEADER_CLOSE_AFTER_NS`, for another member while no leader is reachable.
const MEMBER_CLOSE_AFTER_NS: u64 = 400 * NANOS_PER_MS;

/// How closely the connection to a member is monitored by pings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Monitoring {
    /// No pings: the leader is reachable, and this is another member.
    None,
    /// This member is the leader.
    Leader,
    /// No leader is reachable, and this member may know the next one.
    Search,
}

/// An open connection to a member.
#[derive(Debug)]
pub struct OpenLink {
    /// Number of the connection, never reused.
    pub connection: u64,
    last_received: u64,
    last_ping: u64,
    /// Since when any reply or pong is awaited; none if nothing is awaited.
    awaiting_since: Option<u64>,
    pong_pending: bool,
    /// Number of requests that were sent on the connection and whose replies are awaited.
    outstanding: usize,
}

impl OpenLink {
    fn new(connection: u64, now: u64) -> Self {
        OpenLink {
            connection,
            last_received: now,
            last_ping: now,
            awaiting_since: None,
            pong_pending: false,
            outstanding: 0,
        }
    }

    /// Records that a request was sent.
    pub fn sent(&mut self, now: u64) {
        self.outstanding += 1;
        self.awaiting_since.get_or_insert(now);
    }

    /// Records that the reply to one of the outstanding requests is no longer awaited.
    pub fn request_resolved(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.clear_if_nothing_awaited();
    }

    /// Whether any request is outstanding.
    pub fn awaits_replies(&self) -> bool {
        self.outstanding > 0
    }

    /// Records that no replies are awaited any more.
    pub fn forget_outstanding(&mut self) {
        self.outstanding = 0;
        self.clear_if_nothing_awaited();
    }

    /// Records that a ping was sent.
    pub fn pinged(&mut self, now: u64) {
        self.last_ping = now;
        self.pong_pending = true;
        self.awaiting_since.get_or_insert(now);
    }

    /// Records that a frame was received; `pong`: whether the frame is a pong.
    pub fn received(&mut self, now: u64, pong: bool) {
        self.last_received = now;
        if pong {
            self.pong_pending = false;
            self.clear_if_nothing_awaited();
        }
    }

    fn clear_if_nothing_awaited(&mut self) {
        if self.outstanding == 0 && !self.pong_pending {
            self.awaiting_since = None;
        }
    }

    /// When the next ping is due; `None` if the connection is not monitored.
    pub fn ping_due(&self, monitoring: Monitoring) -> Option<u64> {
        let interval_ns = match monitoring {
            Monitoring::None => return None,
            Monitoring::Leader if self.outstanding == 0 => IDLE_PING_INTERVAL_NS,
            Monitoring::Leader | Monitoring::Search => BUSY_PING_INTERVAL_NS,
        };
        Some(self.last_received.max(self.last_ping) + interval_ns)
    }

    /// When the other side becomes unresponsive if nothing is received until then; `None` if nothing is
    /// awaited.
    pub fn unresponsive_at(&self) -> Option<u64> {
        self.awaiting_since.map(|since| since.max(self.last_received) + UNRESPONSIVE_AFTER_NS)
    }

    /// When the connection is closed if nothing is received until then; `None` if nothing is awaited, or the
    /// connection is not monitored.
    pub fn close_at(&self, monitoring: Monitoring) -> Option<u64> {
        let timeout_ns = match monitoring {
            Monitoring::None => return None,
            Monitoring::Leader => LEADER_CLOSE_AFTER_NS,
            Monitoring::Search => MEMBER_CLOSE_AFTER_NS,
        };
        self.awaiting_since.map(|since| since.max(self.last_received) + timeout_ns)
    }

    /// Whether a reply or a pong is awaited and nothing was received for `UNRESPONSIVE_AFTER_NS`.
    pub fn is_unresponsive(&self, now: u64) -> bool {
        self.unresponsive_at().is_some_and(|at| now >= at)
    }
}

/// State of the link to a member.
#[derive(Debug)]
pub enum Link {
    /// Not connected.
    Waiting {
        /// Time of the next attempt.
        retry_at: u64,
    },
    /// An attempt to connect is in progress.
    Connecting {
        /// Number of the connection.
        connection: u64,
        /// When the attempt times out.
        timeout_at: u64,
    },
    /// Connected.
    Open(OpenLink),
}

/// A member of the core, or a seed.
#[derive(Debug)]
pub struct Peer {
    /// Its peer address.
    pub address: SocketAddr,
    /// State of the link to it.
    pub link: Link,
    backoff_ns: u64,
    /// Time of the first attempt since the start or since the last connection; none while connected.
    connecting_since: Option<u64>,
}

impl Peer {
    /// Creates a peer to which the first attempt to connect is due at once.
    pub fn new(address: SocketAddr) -> Self {
        let link = Link::Waiting { retry_at: 0 };
        Peer { address, link, backoff_ns: MIN_BACKOFF_NS, connecting_since: None }
    }

    /// Records the start of an attempt to connect.
    pub fn connecting(&mut self, connection: u64, now: u64) {
        self.connecting_since.get_or_insert(now);
        let timeout_ns =
            if self.in_fast_retry_period(now) { FAST_RETRY_CONNECT_TIMEOUT_NS } else { CONNECT_TIMEOUT_NS };
        self.link = Link::Connecting { connection, timeout_at: now.saturating_add(timeout_ns) };
    }

    fn in_fast_retry_period(&self, now: u64) -> bool {
        self.connecting_since.is_none_or(|since| now.saturating_sub(since) < FAST_RETRY_PERIOD_NS)
    }

    /// The number of the connection, if one is open or being opened.
    pub fn connection(&self) -> Option<u64> {
        match &self.link {
            Link::Waiting { .. } => None,
            Link::Connecting { connection, .. } => Some(*connection),
            Link::Open(open) => Some(open.connection),
        }
    }

    /// The open connection, if there is one.
    pub fn open(&self) -> Option<&OpenLink> {
        match &self.link {
            Link::Open(open) => Some(open),
            _ => None,
        }
    }

    /// The open connection, if there is one, for changes.
    pub fn open_mut(&mut self) -> Option<&mut OpenLink> {
        match &mut self.link {
            Link::Open(open) => Some(open),
            _ => None,
        }
    }

    /// Records that the connection is open.
    pub fn connected(&mut self, connection: u64, now: u64) {
        self.backoff_ns = MIN_BACKOFF_NS;
        self.connecting_since = None;
        self.link = Link::Open(OpenLink::new(connection, now));
    }

    /// Records that the connection, or the attempt to connect, has ended. The next attempt follows after a
    /// backoff, which doubles after the fast retry period. `jitter` is a random number from 0 to 1.
    pub fn disconnected(&mut self, now: u64, jitter: f64) {
        let wait_ns = (self.backoff_ns as f64 * (0.5 + jitter / 2.0)) as u64;
        if !self.in_fast_retry_period(now) {
            self.backoff_ns = (self.backoff_ns * 2).min(MAX_BACKOFF_NS);
        }
        self.link = Link::Waiting { retry_at: now + wait_ns };
    }

    /// Ends the current backoff, so that the next attempt to connect is due at once.
    pub fn connect_now(&mut self) {
        if let Link::Waiting { retry_at } = &mut self.link {
            *retry_at = 0;
        }
    }

    /// When the next action on the link to this peer is due.
    pub fn next_timer(&self, now: u64, monitoring: Monitoring) -> u64 {
        match &self.link {
            Link::Waiting { retry_at } => *retry_at,
            Link::Connecting { timeout_at, .. } => *timeout_at,
            Link::Open(open) => {
                let unresponsive_at =
                    open.unresponsive_at().filter(|at| monitoring == Monitoring::Leader && *at > now);
                let due = [open.ping_due(monitoring), unresponsive_at, open.close_at(monitoring)];
                due.into_iter().flatten().min().unwrap_or(u64::MAX)
            }
        }
    }
}
