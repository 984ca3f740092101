//! Connection pools: the connections to one worker for one kind of call.
//!
//! A pool opens a connection only when none is idle, because each new connection costs a round trip, a file
//! descriptor and, in the operators' evaluation, a penalty. A call that finds all connections busy waits for a
//! moment before it opens another. All pools share a budget of file descriptors; when it is exceeded, the
//! connection that has been idle for longest is closed.

use crate::connection_budget::{ConnectionBudget, IdleTicket};
use crate::http::{Answer, CallError, HttpConnection};
use crate::punctual_timeout::stall_tolerant_timeout;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// How long a call waits for a busy connection before it opens another. In a stalled process, a connection
/// may only seem busy because its answer has not been read.
const BUSY_WAIT_LIMIT: Duration = Duration::from_millis(30);

/// The budget shared by all pools.
pub(crate) type Budget = Rc<RefCell<ConnectionBudget<Weak<ConnectionPool>>>>;

/// Closes idle connections while the budget is exceeded, the longest idle first.
pub(crate) fn close_excess(budget: &Budget) {
    loop {
        let excess = budget.borrow_mut().take_excess();
        let Some((ticket, owner)) = excess else {
            return;
        };
        if let Some(pool) = owner.upgrade() {
            pool.close_idle(ticket);
        }
    }
}

/// An idle connection, which may be closed to keep within the budget.
struct IdleConnection {
    connection: HttpConnection,
    ticket: IdleTicket,
}

/// Connections to one worker for one kind of call.
///
/// `open` counts the connections in `idle` and those in use; the shared budget counts each of them once, too.
/// Every path that drops a connection must go through `count_closed` or a `Drop` implementation in this file;
/// otherwise the budget leaks.
pub(crate) struct ConnectionPool {
    idle: RefCell<Vec<IdleConnection>>,
    /// Open connections, idle ones included.
    open: Cell<usize>,
    limit: usize,
    budget: Budget,
    released: Notify,
}

impl ConnectionPool {
    /// Creates an empty pool of at most `limit` connections.
    pub(crate) fn new(limit: usize, budget: &Budget) -> Self {
        let (idle, open, budget) = (RefCell::default(), Cell::new(0), budget.clone());
        ConnectionPool { idle, open, limit, budget, released: Notify::new() }
    }

    /// Counts a closed connection, whose idle ticket must have been removed before.
    fn count_closed(&self) {
        self.open.set(self.open.get() - 1);
        self.budget.borrow_mut().closed();
    }

    /// Closes the idle connection that the budget selected by `ticket`.
    fn close_idle(&self, ticket: IdleTicket) {
        let mut idle = self.idle.borrow_mut();
        if let Some(index) = idle.iter().position(|idle| idle.ticket == ticket) {
            idle.remove(index);
            self.count_closed();
        }
    }

    /// Whether a connection is in use.
    pub(crate) fn is_busy(&self) -> bool {
        self.open.get() > self.idle.borrow().len()
    }

    /// Takes an idle connection that is still usable.
    fn take_idle(self: &Rc<Self>) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(IdleConnection { connection, ticket }) = idle.pop() {
            self.budget.borrow_mut().no_longer_idle(ticket);
            if connection.is_usable() {
                return Some(PooledConnection {
                    pool: self.clone(),
                    connection: Some(connection),
                    is_released: false,
                });
            }
            self.count_closed();
        }
        None
    }

    /// Reserves a connection that is not open yet.
    fn reserve(self: &Rc<Self>) -> PooledConnection {
        self.open.set(self.open.get() + 1);
        self.budget.borrow_mut().opened();
        close_excess(&self.budget);
        PooledConnection { pool: self.clone(), connection: None, is_released: false }
    }

    /// Takes an idle connection or reserves a new one. While all connections are busy, the call first waits
    /// for one to be released. It opens another connection only within the pool's limit and the budget; only
    /// the first connection of a pool may exceed the budget.
    pub(crate) async fn acquire(self: &Rc<Self>) -> PooledConnection {
        let mut has_waited = false;
        loop {
            if let Some(connection) = self.take_idle() {
                return connection;
            }
            let open = self.open.get();
            if open == 0 || (has_waited && open < self.limit && self.budget.borrow().has_room()) {
                return self.reserve();
            }
            if stall_tolerant_timeout(BUSY_WAIT_LIMIT, self.released.notified()).await.is_err() {
                has_waited = true;
            }
        }
    }
}

impl Drop for ConnectionPool {
    fn drop(&mut self) {
        let mut budget = self.budget.borrow_mut();
        for idle in self.idle.get_mut().drain(..) {
            budget.no_longer_idle(idle.ticket);
            budget.closed();
        }
    }
}

/// A connection of a pool in use. Dropping it without `release` closes the connection and frees its place in
/// the pool and in the budget.
pub(crate) struct PooledConnection {
    pool: Rc<ConnectionPool>,
    connection: Option<HttpConnection>,
    is_released: bool,
}

impl PooledConnection {
    /// Whether the connection was opened by an earlier call.
    pub(crate) fn is_open(&self) -> bool {
        self.connection.is_some()
    }

    /// Opens the connection if necessary, and waits until it accepts a request.
    pub(crate) async fn prepare(&mut self, address: SocketAddr) -> Result<(), CallError> {
        let connection = match self.connection.take() {
            Some(connection) => connection,
            None => HttpConnection::open(address).await?,
        };
        self.connection.insert(connection).ready().await
    }

    /// Makes a call on the open connection. No byte of the call is sent at or after `expires_at`.
    pub(crate) async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        expires_at: Option<Instant>,
    ) -> Result<Answer, CallError> {
        match self.connection.as_mut() {
            Some(connection) => connection.call_with_deadline(request, expires_at).await,
            None => Err(CallError::NotSent),
        }
    }

    /// Returns the connection to its pool as idle, for the next call.
    pub(crate) fn release(mut self) {
        if let Some(connection) = self.connection.take() {
            let pool = &self.pool;
            let ticket = pool.budget.borrow_mut().became_idle(Rc::downgrade(pool));
            pool.idle.borrow_mut().push(IdleConnection { connection, ticket });
            self.is_released = true;
            close_excess(&self.pool.budget);
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if !self.is_released {
            self.pool.count_closed();
        }
        self.pool.released.notify_one();
    }
}
