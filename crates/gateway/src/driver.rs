//! Drives the decision module: what happened becomes events, its actions are carried out. No policy.
//!
//! Whatever the module says or leaves unsaid, a request gets one final answer by its deadline, and two of
//! its attempts are never out at once.
//!
//! [`Driver`] is put together here; what it does is in one file for each concern below `driver/`.

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
    /// Why there is no driver.
    #[derive(Debug)]
    pub enum DriverError {
        /// The decision module rejects the settings.
        Settings(fault: String) {
            display("settings: {fault}")
        }
    }
}

/// One gateway's requests, timers and list around its decision module.
pub struct Driver {
    state: RefCell<DriverState>,
    wake: Notify,
    /// The module has taken in what was there.
    batch_handled: Notify,
    backends: Rc<Backends>,
    clock: Clock,
    /// Receives what this process does, while there is another of this gateway.
    peer: RefCell<Option<mpsc::Sender<PeerMessage>>>,
    /// The latest list from discovery, for a successor.
    list: RefCell<Roster>,
    counts: Counts,
    pub figures: Rc<Figures>,
    discovery_down: Cell<bool>,
    /// Once the process is to end: when the last request has to be answered.
    shutdown_deadline: Cell<Option<Instant>>,
    /// The `Retry-After` of requests that end with the process, in nanoseconds; 0 where answers may not have one.
    shutdown_retry_after_ns: Time,
    /// When discovery last sent the list or had nothing newer.
    list_confirmed: Cell<Instant>,
    zones: Vec<String>,
    tick: Duration,
    try_limit: u32,
    pub classes: Vec<(String, Effect, Duration)>,
    pub plans: Vec<String>,
    pub gateways: u32,
    /// Whether all gateways call one discovery service, so that each call is a load on it.
    pub is_discovery_shared: bool,
    /// The most units of one request; 0 if the settings have no limit.
    pub max_units: f64,
}

impl Driver {
    /// A driver without requests.
    ///
    /// # Errors
    /// The decision module rejects the settings.
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

    /// Whether a request could go to any server.
    pub fn can_serve(&self) -> bool {
        self.backends.pool.any_ready()
    }

    fn event(&self, event: Event) {
        self.state.borrow_mut().events.push(event);
        self.wake.notify_one();
    }
}
