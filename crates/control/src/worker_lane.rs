//! Lanes: the connections to one worker for one kind of call.
//!
//! A lane opens a connection only when none is idle, since each new one costs a round trip, a descriptor and, by the operators' measure, a price; a call that finds all of them
//! busy waits a little before it opens another. All lanes together stay within a budget of descriptors: over it,
//! the connection that has been idle for longest is closed.

use crate::connection_budget::{ConnectionBudget, IdleTicket};
use crate::http::{Answer, CallError, HttpConnection};
use crate::punctual_timeout::punctual_timeout;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// How long a call waits for a busy connection before it opens another. While this process is late, a connection may
/// only look busy: its answer has not been read.
const BUSY_WAIT_LIMIT: Duration = Duration::from_millis(30);

/// The budget that all lanes share.
pub(crate) type Budget = Rc<RefCell<ConnectionBudget<Weak<Lane>>>>;

/// Closes idle connections over the budget, the longest idle first.
pub(crate) fn close_excess(budget: &Budget) {
    loop {
        let excess = budget.borrow_mut().take_excess();
        let Some((ticket, owner)) = excess else {
            return;
        };
        if let Some(lane) = owner.upgrade() {
            lane.close_idle(ticket);
        }
    }
}

/// An idle connection, which may be closed for the budget.
struct IdleConnection {
    connection: HttpConnection,
    ticket: IdleTicket,
}

/// Connections to one worker for one kind of call.
///
/// `open` counts the connections in `idle` and those in use; each of them is counted once in the shared budget too.
/// Every path that drops a connection must go through `count_closed` or a `Drop` of this file, or the budget leaks.
pub(crate) struct Lane {
    idle: RefCell<Vec<IdleConnection>>,
    /// Open connections, idle ones included.
    open: Cell<usize>,
    limit: usize,
    budget: Budget,
    released: Notify,
}

impl Lane {
    /// No connections, of at most `limit`.
    pub(crate) fn new(limit: usize, budget: &Budget) -> Self {
        let (idle, open, budget) = (RefCell::default(), Cell::new(0), budget.clone());
        Lane { idle, open, limit, budget, released: Notify::new() }
    }

    /// Counts a closed connection; its idle ticket must have been returned before.
    fn count_closed(&self) {
        self.open.set(self.open.get() - 1);
        self.budget.borrow_mut().closed();
    }

    /// Closes the idle connection whose ticket the budget has taken back.
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

    /// An idle connection that is still usable.
    fn take_idle(self: &Rc<Self>) -> Option<BorrowedConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(IdleConnection { connection, ticket }) = idle.pop() {
            self.budget.borrow_mut().no_longer_idle(ticket);
            if connection.is_usable() {
                return Some(BorrowedConnection {
                    lane: self.clone(),
                    connection: Some(connection),
                    is_released: false,
                });
            }
            self.count_closed();
        }
        None
    }

    /// Reserves a connection that is not open yet.
    fn reserve(self: &Rc<Self>) -> BorrowedConnection {
        self.open.set(self.open.get() + 1);
        self.budget.borrow_mut().opened();
        close_excess(&self.budget);
        BorrowedConnection { lane: self.clone(), connection: None, is_released: false }
    }

    /// An idle connection, or a reserved one. While all are busy, a call waits for one to be released before it opens
    /// another, and opens none over the budget: only the first connection of a lane may exceed it.
    pub(crate) async fn acquire(self: &Rc<Self>) -> BorrowedConnection {
        let mut has_waited = false;
        loop {
            if let Some(connection) = self.take_idle() {
                return connection;
            }
            let open = self.open.get();
            if open == 0 || (has_waited && open < self.limit && self.budget.borrow().has_room()) {
                return self.reserve();
            }
            if punctual_timeout(BUSY_WAIT_LIMIT, self.released.notified()).await.is_err() {
                has_waited = true;
            }
        }
    }
}

impl Drop for Lane {
    fn drop(&mut self) {
        let mut budget = self.budget.borrow_mut();
        for idle in self.idle.get_mut().drain(..) {
            budget.no_longer_idle(idle.ticket);
            budget.closed();
        }
    }
}

/// A connection of a lane in use. Dropped without `release`, it closes, and its place in the lane and the budget is free.
pub(crate) struct BorrowedConnection {
    lane: Rc<Lane>,
    connection: Option<HttpConnection>,
    is_released: bool,
}

impl BorrowedConnection {
    /// Whether it was opened by an earlier call.
    pub(crate) fn is_open(&self) -> bool {
        self.connection.is_some()
    }

    /// Opens the connection if it is not open yet, and waits until it takes a request.
    pub(crate) async fn prepare(&mut self, address: SocketAddr) -> Result<(), CallError> {
        let connection = match self.connection.take() {
            Some(connection) => connection,
            None => HttpConnection::open(address).await?,
        };
        self.connection.insert(connection).ready().await
    }

    /// Makes a call on the open connection. From `expires_at` on no byte of it leaves.
    pub(crate) async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        expires_at: Option<Instant>,
    ) -> Result<Answer, CallError> {
        match self.connection.as_mut() {
            Some(connection) => connection.call_before(request, expires_at).await,
            None => Err(CallError::NotSent),
        }
    }

    /// Returns the connection to its lane as idle, for the next call.
    pub(crate) fn release(mut self) {
        if let Some(connection) = self.connection.take() {
            let lane = &self.lane;
            let ticket = lane.budget.borrow_mut().became_idle(Rc::downgrade(lane));
            lane.idle.borrow_mut().push(IdleConnection { connection, ticket });
            self.is_released = true;
            close_excess(&self.lane.budget);
        }
    }
}

impl Drop for BorrowedConnection {
    fn drop(&mut self) {
        if !self.is_released {
            self.lane.count_closed();
        }
        self.lane.released.notify_one();
    }
}
