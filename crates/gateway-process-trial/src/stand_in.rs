//! The state of a stand-in server: the simulator's model, and whether the server is up.

use crate::clock::unix_ms;
use gateway_decisions::Time;
use gateway_protocol::list::State;
use gateway_simulation::server::Server;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use tokio::sync::oneshot;

/// One stand-in server.
pub struct StandIn {
    pub model: RefCell<Server>,
    /// The requests that wait for their work to be completed, by attempt.
    pub waiting: RefCell<HashMap<u64, oneshot::Sender<()>>>,
    /// Changes with every start and crash.
    pub incarnation: Cell<u32>,
    /// Whether the server is running.
    pub up: Cell<bool>,
    /// The Unix time of the last start in milliseconds; 0 for servers that never restarted.
    pub boot_ms: Cell<u64>,
    /// The state as listed.
    pub state: Cell<State>,
    /// The probability that a request fails.
    pub failure_probability: Cell<f64>,
    /// The number of open connections.
    pub connections: Cell<u32>,
    /// The work since the last start, and the part of it from gateways that had been told of that start.
    pub work: Cell<[f64; 2]>,
    /// Whether the collapse of the server since its last start has been recorded.
    pub collapse_recorded: Cell<bool>,
}

impl StandIn {
    pub fn new(model: Server) -> Self {
        StandIn {
            model: RefCell::new(model),
            waiting: RefCell::default(),
            incarnation: Cell::new(0),
            up: Cell::new(true),
            boot_ms: Cell::new(0),
            state: Cell::new(State::Ready),
            failure_probability: Cell::new(0.0),
            connections: Cell::new(0),
            work: Cell::new([0.0; 2]),
            collapse_recorded: Cell::new(false),
        }
    }

    /// Crashes the server; all requests in progress are lost.
    pub fn crash(&self) {
        self.up.set(false);
        self.incarnation.set(self.incarnation.get() + 1);
        self.waiting.borrow_mut().clear();
    }

    /// Starts the server again, in a cold state.
    pub fn start(&self, now: Time) {
        self.model.borrow_mut().restart(now);
        self.up.set(true);
        self.incarnation.set(self.incarnation.get() + 1);
        self.boot_ms.set(unix_ms());
        self.state.set(State::Ready);
        self.work.set([0.0; 2]);
        self.collapse_recorded.set(false);
    }
}
