//! Registry of the open client connections: counts them, tracks which are idle, and sends close requests.

use crate::options::ClientLimits;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use tokio::sync::Notify;
use tokio::time::Instant;

/// The current activity of a client connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Activity {
    /// Nothing has been received since the last answer.
    Idle,
    /// Part of a request has been received; the head is incomplete.
    Reading,
    /// The head of a request is complete, and its answer is not ready.
    Serving,
    /// An answer is being written.
    Answering,
}

/// A client connection and its current activity.
#[derive(Debug)]
pub struct ClientConnection {
    number: u64,
    activity: Cell<Activity>,
    /// When `activity` was set.
    activity_since: Cell<Instant>,
    /// Whether any byte of the current answer has been written.
    answer_started: Cell<bool>,
    /// Asks the connection's task to close the connection.
    close_request: Notify,
    registry: Rc<ClientRegistry>,
}

impl ClientConnection {
    /// Reports that bytes have been received.
    pub fn bytes_received(&self) {
        if self.activity.get() == Activity::Idle {
            self.set_activity(Activity::Reading);
        }
    }

    /// Reports that the head of a request is complete.
    pub fn request_started(&self) {
        self.set_activity(Activity::Serving);
    }

    /// Reports that the answer to a request is ready to be written.
    pub fn answer_ready(&self) {
        self.answer_started.set(false);
        self.set_activity(Activity::Answering);
    }

    /// Reports that bytes have been written.
    pub fn bytes_written(&self) {
        self.answer_started.set(true);
    }

    /// Reports that all pending bytes have been written. The connection becomes idle if they ended an answer.
    pub fn flushed(&self) {
        if self.activity.get() == Activity::Answering && self.answer_started.get() {
            self.set_activity(Activity::Idle);
        }
    }

    /// Whether the connection may be closed now. A request may have arrived after the close request.
    pub fn may_close(&self) -> bool {
        self.is_idle() || self.is_overdue(Instant::now())
    }

    /// Waits for a close request.
    pub async fn close_requested(&self) {
        self.close_request.notified().await;
    }

    fn set_activity(&self, activity: Activity) {
        self.activity.set(activity);
        self.activity_since.set(Instant::now());
    }

    fn is_idle(&self) -> bool {
        self.activity.get() == Activity::Idle
    }

    /// Whether the current activity has exceeded its timeout. Serving a request has none.
    fn is_overdue(&self, now: Instant) -> bool {
        let limits = &self.registry.limits;
        let timeout = match self.activity.get() {
            Activity::Idle | Activity::Answering => limits.idle_timeout,
            Activity::Reading => limits.header_timeout,
            Activity::Serving => return false,
        };
        now.saturating_duration_since(self.activity_since.get()) >= timeout
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.registry.remove(self.number);
    }
}

/// All open client connections.
#[derive(Debug)]
pub struct ClientRegistry {
    limits: ClientLimits,
    connections: RefCell<BTreeMap<u64, Weak<ClientConnection>>>,
    next_number: Cell<u64>,
    /// Notified when a connection is removed.
    removed: Notify,
    /// Notified when a connection is added.
    added: Notify,
}

impl ClientRegistry {
    /// Creates a registry without connections.
    pub fn new(limits: ClientLimits) -> Rc<Self> {
        Rc::new(ClientRegistry {
            limits,
            connections: RefCell::default(),
            next_number: Cell::new(0),
            removed: Notify::new(),
            added: Notify::new(),
        })
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Registers a new connection, which is idle. Dropping the returned value removes the connection.
    pub fn add(self: &Rc<Self>) -> Rc<ClientConnection> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let connection = Rc::new(ClientConnection {
            number,
            activity: Cell::new(Activity::Idle),
            activity_since: Cell::new(Instant::now()),
            answer_started: Cell::new(false),
            close_request: Notify::new(),
            registry: self.clone(),
        });
        self.connections.borrow_mut().insert(number, Rc::downgrade(&connection));
        self.added.notify_one();
        connection
    }

    /// Waits until another connection may be accepted. At the limit, sends a close request to the connection
    /// that has been idle for the longest time.
    pub async fn capacity_available(&self) {
        while self.len() >= self.limits.max_connections {
            let idle = self.all().into_iter().filter(|connection| connection.is_idle());
            if let Some(oldest) = idle.min_by_key(|connection| connection.activity_since.get()) {
                oldest.close_request.notify_one();
            }
            self.removed.notified().await;
        }
    }

    /// Sends a close request to each connection whose current activity exceeds its timeout.
    pub fn sweep(&self) {
        let now = Instant::now();
        for connection in self.all() {
            if connection.is_overdue(now) {
                connection.close_request.notify_one();
            }
        }
    }

    /// Sends a close request to all idle connections.
    pub fn close_idle(&self) {
        for connection in self.all() {
            if connection.is_idle() {
                connection.close_request.notify_one();
            }
        }
    }

    /// Waits until at least one connection is open.
    pub async fn any_open(&self) {
        while self.is_empty() {
            self.added.notified().await;
        }
    }

    fn all(&self) -> Vec<Rc<ClientConnection>> {
        self.connections.borrow().values().filter_map(Weak::upgrade).collect()
    }

    fn remove(&self, number: u64) {
        self.connections.borrow_mut().remove(&number);
        self.removed.notify_one();
    }
}
