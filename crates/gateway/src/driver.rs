//! Drives the decision engine: turns what happens into events and carries out the engine's actions. The
//! driver contains no policy.
//!
//! Whatever the engine decides or leaves undecided, a request gets exactly one final answer by its deadline,
//! and two of its attempts are never in flight at the same time.
//!
//! [`Driver`] is defined here; its behaviour is split by concern into the files in `driver/`.

mod attempts;
mod clock;
mod event_loop;
mod list;
mod operators;
mod peer;
pub mod request;
pub mod requests;
mod state;
#[cfg(test)]
mod tests;

use crate::backends::Backends;
use crate::config::Config;
use crate::driver::clock::Clock;
use crate::driver::state::{Counts, DriverState};
use crate::figures::Figures;
use crate::peer_message::PeerMessage;
use gateway_decisions::{Effect, Event, Gateway, Time};
use gateway_protocol::list::Roster;
use quick_error::quick_error;
use std::cell::{Cell, RefCell};
use std::collections::{BinaryHeap, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, Notify};
use tokio::time::Instant;

quick_error! {
    /// Why the driver could not be created.
    #[derive(Debug)]
    pub enum DriverError {
        /// The decision engine rejects the settings.
        Settings(fault: String) {
            display("settings: {fault}")
        }
    }
}

/// The requests, timers and server list of one gateway, around its decision engine.
pub struct Driver {
    state: RefCell<DriverState>,
    wake: Notify,
    /// Signals that the engine has handled the pending events.
    batch_handled: Notify,
    backends: Rc<Backends>,
    clock: Clock,
    /// The channel to the other process of this gateway, while there is one.
    peer: RefCell<Option<mpsc::Sender<PeerMessage>>>,
    /// The current server list, kept for a successor process.
    list: RefCell<Roster>,
    counts: Counts,
    pub figures: Rc<Figures>,
    discovery_down: Cell<bool>,
    /// The time by which the last request must be answered; set when the process shuts down.
    shutdown_deadline: Cell<Option<Instant>>,
    /// The `Retry-After` of requests that are rejected at shutdown, in nanoseconds; 0 if the settings allow
    /// no `Retry-After`.
    shutdown_retry_after_ns: Time,
    /// When discovery last sent a list or confirmed that there is nothing newer.
    list_confirmed: Cell<Instant>,
    zones: Vec<String>,
    tick: Duration,
    try_limit: u32,
    pub classes: Vec<(String, Effect, Duration)>,
    pub plans: Vec<String>,
    pub gateways: u32,
    /// Whether all gateways call the same discovery service, so that each call adds load to it.
    pub is_discovery_shared: bool,
    /// The maximum number of units of one request; 0 if the settings have no limit.
    pub max_units: f64,
}

impl Driver {
    /// Creates a driver without requests.
    ///
    /// # Errors
    /// The decision engine rejects the settings.
    pub fn new(config: &Config, backends: Rc<Backends>) -> Result<Rc<Self>, DriverError> {
        let (clock, s) = (Clock::new(), config.settings.clone());
        let classes = s.classes.iter();
        Ok(Rc::new(Driver {
            wake: Notify::new(),
            batch_handled: Notify::new(),
            backends,
            peer: RefCell::default(),
            list: RefCell::default(),
            counts: Counts::default(),
            figures: Figures::new(s.classes.iter().map(|c| c.name.as_str())),
            discovery_down: Cell::new(false),
            shutdown_deadline: Cell::default(),
            shutdown_retry_after_ns: if s.retry_after { s.tick.min(s.max_retry_after) } else { 0 },
            list_confirmed: Cell::new(Instant::now()),
            zones: config.zones.clone(),
            tick: Duration::from_nanos(s.tick),
            try_limit: s.try_limit,
            classes: classes.map(|c| (c.name.clone(), c.effect, Duration::from_nanos(c.deadline))).collect(),
            plans: s.plans.iter().map(|p| p.name.clone()).collect(),
            gateways: s.gateways,
            is_discovery_shared: s.subscribe,
            max_units: s.most_units,
            state: RefCell::new(DriverState {
                engine: Gateway::new(s, config.seed, clock.time(Instant::now()))
                    .map_err(DriverError::Settings)?,
                events: Vec::new(),
                requests: HashMap::new(),
                timers: BinaryHeap::new(),
            }),
            clock,
        }))
    }

    /// Returns whether at least one server accepts requests.
    pub fn can_serve(&self) -> bool {
        self.backends.pool.any_ready()
    }

    fn event(&self, event: Event) {
        self.state.borrow_mut().events.push(event);
        self.wake.notify_one();
    }
}
