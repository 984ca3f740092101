//! All that takes part in one trial, and what clients do.

mod clients;
mod gateways;
mod servers;
pub mod state;

use crate::addresses::Addresses;
use crate::clock::{unix_ms, Clock};
use crate::figures::Figures;
use crate::ledger::{Ledger, Seen};
use crate::list::Service;
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

/// The systems of one trial.
pub struct World {
    pub scenario: Scenario,
    pub clock: Clock,
    pub addresses: Addresses,
    pub rng: RefCell<ChaCha8Rng>,
    pub net: OnceCell<Rc<Net<World>>>,
    pub stand_ins: Vec<StandIn>,
    pub service: Service,
    /// Where the real registry's readers and registrars call.
    pub registry: OnceCell<[SocketAddr; 2]>,
    announcers: RefCell<HashMap<usize, JoinHandle<()>>>,
    pub gateways: Vec<GatewayProcess>,
    pub figures: RefCell<Figures>,
    vain: RefCell<FutileAttempts>,
    pub flood: Cell<f64>,
    pub meter_down: Cell<u32>,
    pub broken: RefCell<Option<String>>,
    ledger: RefCell<Ledger>,
    open: RefCell<HashMap<u64, OpenRequest>>,
    customers: RefCell<Vec<Vec<Customer>>>,
    next: Cell<u64>,
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
            service: Service::new(scenario.list.clone(), unix_ms()),
            registry: OnceCell::new(),
            announcers: RefCell::default(),
            gateways: (0..scenario.gateways.count).map(|_| GatewayProcess::default()).collect(),
            figures: RefCell::new(Figures { gateways: scenario.gateways.count, ..Figures::default() }),
            vain: RefCell::default(),
            flood: Cell::new(1.0),
            meter_down: Cell::new(0),
            broken: RefCell::new(None),
            ledger: RefCell::default(),
            open: RefCell::default(),
            customers: RefCell::new(customers.collect()),
            next: Cell::new(1),
            scenario: scenario.clone(),
        })
    }

    pub fn number(&self) -> u64 {
        self.next.replace(self.next.get() + 1)
    }

    pub fn note(&self, at: Time, seen: Seen) {
        self.ledger.borrow_mut().note(at, seen);
    }

    /// The play begins.
    pub fn begin(&self) {
        let later = self.clock.begin();
        self.ledger.borrow_mut().begin(later);
    }

    pub fn ledger(&self) -> Ledger {
        self.ledger.take()
    }

    /// Whether what happens at this time counts.
    pub fn counts(&self, at: Time) -> bool {
        at >= START_NS + ns(self.scenario.uncounted_s, SECOND)
            && at < START_NS + ns(self.scenario.seconds, SECOND)
    }

    pub fn refused(&self, what: String) {
        self.broken.borrow_mut().get_or_insert(what);
    }
}
