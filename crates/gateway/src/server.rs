//! The client side: connections, the paths `/ready` and `/api`, and the graceful drain at shutdown.

mod accept;
mod api;
mod connections;
pub mod listener;
mod parse;
mod reply;

use crate::backends::Backends;
use crate::client::Client;
use crate::driver::Driver;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The log target of the whole server, whichever of its files logs a line.
const LOG_TARGET: &str = "sprucehatch_gateway::server";

/// SIGKILL follows SIGTERM after the longest deadline of a class (counted up to `MAX_COUNTED_DEADLINE`) plus
/// this.
const KILL_DELAY: Duration = Duration::from_millis(700);
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// How long before SIGKILL the process exits, unless an answer is still being sent.
const EXIT_MARGIN: Duration = Duration::from_millis(100);

/// The client side of one gateway, with all its client connections.
pub struct Server {
    driver: Rc<Driver>,
    backends: Rc<Backends>,
    clients: RefCell<BTreeMap<u64, Rc<Client>>>,
    max_clients: usize,
    draining: Cell<bool>,
    /// When an operator started to drain clients; None while there is no such drain.
    client_drain_since: Cell<Option<Instant>>,
    /// Whether a successor process serves: it accepts the new connections.
    successor: Cell<bool>,
    successor_changed: Notify,
    /// How long the process may continue after SIGTERM.
    max_drain: Duration,
    client_left: Notify,
}

impl Server {
    /// Creates a server that does not accept connections yet, for at most `max_clients` connections at the
    /// same time.
    pub fn new(driver: Rc<Driver>, backends: Rc<Backends>, max_clients: usize) -> Self {
        let (clients, draining, client_drain_since, client_left) = Default::default();
        let (successor, successor_changed) = Default::default();
        let longest = driver.classes.iter().map(|(.., deadline)| *deadline).max().unwrap_or_default();
        let max_drain = longest.min(MAX_COUNTED_DEADLINE) + KILL_DELAY - EXIT_MARGIN;
        Server {
            driver,
            backends,
            clients,
            max_clients,
            draining,
            client_drain_since,
            successor,
            successor_changed,
            max_drain,
            client_left,
        }
    }

    /// Records whether a successor process serves.
    pub fn set_successor(&self, on: bool) {
        if self.successor.replace(on) != on {
            tracing::info!("{}", if on { "a successor serves" } else { "the successor no longer serves" });
            self.successor_changed.notify_one();
        }
    }

    /// Returns whether an operator drains clients.
    pub fn drains_clients(&self) -> bool {
        self.client_drain_since.get().is_some()
    }

    /// Returns whether a successor process serves.
    pub fn has_successor(&self) -> bool {
        self.successor.get()
    }

    /// Returns whether requests can be served here, regardless of an operator's drain.
    pub fn can_serve(&self) -> bool {
        !self.draining.get() && self.driver.can_serve()
    }

    /// Starts or ends an operator's drain of clients.
    pub fn set_client_drain(&self, on: bool) {
        if on != self.client_drain_since.get().is_some() {
            tracing::info!("{}", if on { "client drain started" } else { "client drain ended" });
            self.client_drain_since.set(on.then(Instant::now));
        }
    }
}
