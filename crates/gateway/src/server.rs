//! The client side: connections, `/ready`, `/api`, the drain at the end.

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

/// The module that the log's events and levels name for all of the server, whichever file an event comes from.
const LOG_TARGET: &str = "sprucehatch_gateway::server";

/// SIGKILL is due so long after SIGTERM and the longest deadline, of which no more than `MAX_COUNTED_DEADLINE` counts.
const KILL_DELAY: Duration = Duration::from_millis(700);
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// The process is gone so long before that, unless it still owes an answer.
const EXIT_MARGIN: Duration = Duration::from_millis(100);

/// All client connections of one gateway.
pub struct Server {
    driver: Rc<Driver>,
    backends: Rc<Backends>,
    clients: RefCell<BTreeMap<u64, Rc<Client>>>,
    max_clients: usize,
    draining: Cell<bool>,
    /// Since when operators have clients sent away.
    client_drain_since: Cell<Option<Instant>>,
    /// Whether a successor serves: new connections are its own.
    successor: Cell<bool>,
    successor_changed: Notify,
    /// How long after SIGTERM the process may go on.
    max_drain: Duration,
    client_left: Notify,
}

impl Server {
    /// A server that takes nothing yet; `max_clients` is the most connections at once.
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

    /// A successor serves now, or is gone.
    pub fn set_successor(&self, on: bool) {
        if self.successor.replace(on) != on {
            tracing::info!("{}", if on { "a successor serves" } else { "no successor serves any more" });
            self.successor_changed.notify_one();
        }
    }

    /// Whether operators have clients sent away.
    pub fn drains_clients(&self) -> bool {
        self.client_drain_since.get().is_some()
    }

    /// Whether a successor serves.
    pub fn has_successor(&self) -> bool {
        self.successor.get()
    }

    /// Whether requests can be served here, be clients sent away or not.
    pub fn can_serve(&self) -> bool {
        !self.draining.get() && self.driver.can_serve()
    }

    /// Begins or ends an operator's drain.
    pub fn set_client_drain(&self, on: bool) {
        if on != self.client_drain_since.get().is_some() {
            tracing::info!("{}", if on { "sending clients away" } else { "clients may come again" });
            self.client_drain_since.set(on.then(Instant::now));
        }
    }
}
