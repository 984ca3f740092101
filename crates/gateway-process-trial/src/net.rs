//! The links: each gateway reaches each server, and the list, at an address of its own, where a relay stands. So the ends of
//! every connection are known, and what passes between them can be cut, reset and delayed, each way by itself.
//!
//! A relay must not hide a fault. While a way is cut, what was said stays in the relay, as it would stay unconfirmed in the
//! sender's socket, and goes on when the way is open; the other end hears of no close either. New connections do not come up:
//! the relay's queue of new connections is kept full, so that the kernel passes over who asks for one, who asks again after
//! a second, as over a link that loses it. A server that is down refuses: nothing listens.

mod relay;
mod rewriter;
#[cfg(test)]
mod tests;

use crate::addresses::{Addresses, Target};
use crate::clock::Clock;
use crate::net::relay::{listen, Gate, Relay, Ways};
use crate::wire::Ends;
use gateway_simulation::link::AffectedLinks;
use gateway_simulation::scenario::Trouble;
use program_support::config::Errors;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Whether a server is there, and what a fault does to it.
#[derive(Clone, Copy, Default)]
pub struct Presence {
    pub down: bool,
    pub silent: bool,
    pub life: u32,
}

/// All links.
pub struct Net<E> {
    gates: Vec<Rc<Gate>>,
    /// Faults on links by number, with their milliseconds.
    faults: RefCell<Vec<(usize, Trouble, AffectedLinks, f64)>>,
    servers: RefCell<Vec<Presence>>,
    list_silent: Cell<u32>,
    ends: Rc<E>,
}

impl<E: Ends + 'static> Net<E> {
    /// Opens all addresses.
    pub fn open(
        addresses: &Addresses,
        gateways: usize,
        servers: usize,
        clock: Clock,
        ends: Rc<E>,
    ) -> Result<Rc<Self>, Errors> {
        let targets = || (0..servers).map(Target::Server).chain([Target::List]);
        let gates = (0..gateways).flat_map(|gateway| targets().map(move |target| (gateway, target)));
        let gates = gates.map(|(gateway, target)| {
            let (address, ways) = (addresses.of(gateway, target), Cell::default());
            Rc::new(Gate { gateway, target, address, ways, changed: Notify::new() })
        });
        let net = Rc::new(Net {
            gates: gates.collect(),
            faults: RefCell::default(),
            servers: RefCell::new(vec![Presence::default(); servers]),
            list_silent: Cell::new(0),
            ends,
        });
        for gate in &net.gates {
            let listener =
                listen(gate.address).map_err(|e| Errors::single(format!("{}: {e}", gate.address)))?;
            let relay = Relay { gate: gate.clone(), clock: clock.clone(), ends: net.ends.clone() };
            spawn_local(Rc::new(relay).stand(listener));
        }
        Ok(net)
    }

    pub fn begin(&self, number: usize, kind: Trouble, struck: AffectedLinks, factor: f64) {
        self.faults.borrow_mut().push((number, kind, struck, factor));
        self.refresh();
    }

    pub fn finish(&self, number: usize) {
        self.faults.borrow_mut().retain(|(n, ..)| *n != number);
        self.refresh();
    }

    /// The list says nothing, until as many ends of it have been told.
    pub fn list_silent(&self, on: bool) {
        let count = self.list_silent.get();
        self.list_silent.set(if on { count + 1 } else { count.saturating_sub(1) });
        self.refresh();
    }

    /// Whether a fault has a server say nothing.
    pub fn is_silent(&self, n: usize) -> bool {
        self.servers.borrow()[n].silent
    }

    pub fn server(&self, n: usize, change: impl FnOnce(&mut Presence)) {
        change(&mut self.servers.borrow_mut()[n]);
        self.refresh();
    }

    fn refresh(&self) {
        for gate in &self.gates {
            let ways = self.ways(gate);
            if gate.ways.replace(ways) != ways {
                gate.changed.notify_waiters();
            }
        }
    }

    fn ways(&self, gate: &Gate) -> Ways {
        let mut ways = Ways::default();
        match gate.target {
            Target::Server(n) => {
                let server = self.servers.borrow()[n];
                (ways.cut, ways.refused, ways.life) = ([server.silent; 2], server.down, server.life);
            }
            Target::List => ways.cut = [self.list_silent.get() > 0; 2],
        }
        for (_, kind, struck, factor) in self.faults.borrow().iter() {
            for (way, out) in [(0, true), (1, false)] {
                let hit = match gate.target {
                    Target::Server(n) => struck.affects_server(gate.gateway, n, out),
                    Target::List => struck.affects_list(gate.gateway, out),
                };
                match kind {
                    Trouble::Cut if hit => ways.cut[way] = true,
                    Trouble::Reset if hit => ways.refused = true,
                    Trouble::Delay if hit => ways.delay[way] += Duration::from_secs_f64(factor / 1000.0),
                    _ => {}
                }
            }
        }
        ways
    }
}
