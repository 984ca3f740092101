//! The shared state of one trial, and the behaviour of its participants.

mod clients;
mod gateways;
mod servers;
pub mod state;

use crate::addresses::Addresses;
use crate::clock::{unix_ms, Clock};
use crate::figures::Figures;
use crate::ledger::{Event, Ledger};
use crate::list::ListService;
use crate::net::Net;
use crate::stand_in::StandIn;
use crate::world::state::{GatewayProcess, OpenRequest};
use gateway_decisions::Time;
use gateway_simulation::customer::Customer;
use gateway_simulation::report::FutileAttempts;
use gateway_simulation::scenario::Scenario;
use gateway_simulation::server::Server;
use gateway_simulation::units::{ns, SECOND, START_NS};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::JoinHandle;

/// The participants of one trial and their shared state.
pub struct World {
    pub scenario: Scenario,
    pub clock: Clock,
    pub addresses: Addresses,
    pub rng: RefCell<ChaCha8Rng>,
    pub net: OnceCell<Rc<Net<World>>>,
    pub stand_ins: Vec<StandIn>,
    pub list_service: ListService,
    /// The addresses of the real registry for readers and for registrars.
    pub registry: OnceCell<[SocketAddr; 2]>,
    /// The tasks that renew registrations at the real registry, by server.
    renewals: RefCell<HashMap<usize, JoinHandle<()>>>,
    pub gateways: Vec<GatewayProcess>,
    pub figures: RefCell<Figures>,
    /// Counts attempts at servers that serve nothing.
    vain: RefCell<FutileAttempts>,
    /// The factor on the request rate.
    pub flood: Cell<f64>,
    /// How many faults currently stop the meter.
    pub meter_down: Cell<u32>,
    /// The first error that makes the trial itself fail.
    pub failure: RefCell<Option<String>>,
    events: RefCell<Ledger>,
    /// Requests by id; completed ones stay.
    open_requests: RefCell<HashMap<u64, OpenRequest>>,
    /// The customers by plan and number.
    customers: RefCell<Vec<Vec<Customer>>>,
    next_id: Cell<u64>,
}

impl World {
    pub fn new(scenario: &Scenario, seed: u64, addresses: Addresses) -> Rc<Self> {
        let customers =
            scenario.plans.iter().map(|p| vec![Customer::new(p.depth, START_NS); p.customers as usize]);
        Rc::new(World {
            clock: Clock::default(),
            addresses,
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            net: OnceCell::new(),
            stand_ins: (0..scenario.servers.count)
                .map(|_| StandIn::new(Server::new(scenario.server_parameters())))
                .collect(),
            list_service: ListService::new(scenario.list.clone(), unix_ms()),
            registry: OnceCell::new(),
            renewals: RefCell::default(),
            gateways: (0..scenario.gateways.count).map(|_| GatewayProcess::default()).collect(),
            figures: RefCell::new(Figures { gateways: scenario.gateways.count, ..Figures::default() }),
            vain: RefCell::default(),
            flood: Cell::new(1.0),
            meter_down: Cell::new(0),
            failure: RefCell::new(None),
            events: RefCell::default(),
            open_requests: RefCell::default(),
            customers: RefCell::new(customers.collect()),
            next_id: Cell::new(1),
            scenario: scenario.clone(),
        })
    }

    /// Returns a new number for a request or an attempt.
    pub fn next_id(&self) -> u64 {
        self.next_id.replace(self.next_id.get() + 1)
    }

    pub fn record(&self, at: Time, event: Event) {
        self.events.borrow_mut().record(at, event);
    }

    /// Starts the measured run now, and shifts the recorded events accordingly.
    pub fn set_start(&self) {
        let shift = self.clock.set_start();
        self.events.borrow_mut().shift_earlier(shift);
    }

    pub fn take_events(&self) -> Ledger {
        self.events.take()
    }

    /// Whether events at this time count in the results.
    pub fn is_counted(&self, at: Time) -> bool {
        at >= START_NS + ns(self.scenario.uncounted_s, SECOND)
            && at < START_NS + ns(self.scenario.seconds, SECOND)
    }

    /// Makes the trial fail, unless it has failed already.
    pub fn fail(&self, error: String) {
        self.failure.borrow_mut().get_or_insert(error);
    }
}
