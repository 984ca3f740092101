//! The network between gateways and their targets. Each gateway reaches each server, and the list service, at
//! an address of its own, where a TCP relay listens. The ends of every connection are therefore known, and
//! each direction can be cut, reset or delayed separately.
//!
//! A relay must not hide a fault. While a direction is cut, bytes stay in the relay, as they would stay
//! unacknowledged in the sender's socket, and are delivered when the cut heals. The other end does not learn
//! of a close either. New connections are not established: the relay's accept queue is kept full, so the
//! kernel drops connection attempts, and the client's kernel repeats them after a second, as over a link that
//! loses packets. A server that is down refuses connections, as nothing listens at its addresses.

mod relay;
mod rewriter;
#[cfg(test)]
mod tests;

use crate::addresses::{Addresses, Target};
use crate::clock::Clock;
use crate::connection::LinkHandler;
use crate::net::relay::{listen, LinkState, Relay, RelayedLink};
use gateway_simulation::link::AffectedLinks;
use gateway_simulation::scenario::Trouble;
use program_support::config::Errors;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Whether a server is up, and whether a fault silences it.
#[derive(Clone, Copy, Default)]
pub struct ServerAvailability {
    pub down: bool,
    /// The server neither receives nor sends bytes, without closing connections.
    pub silent: bool,
    /// Changes with every start and crash of the server.
    pub incarnation: u32,
}

/// All links of a trial, with the faults on them.
pub struct Net<E> {
    links: Vec<Rc<RelayedLink>>,
    /// The faults in effect on links: number, kind, affected links and factor (for delays, milliseconds).
    faults: RefCell<Vec<(usize, Trouble, AffectedLinks, f64)>>,
    servers: RefCell<Vec<ServerAvailability>>,
    list_silent_count: Cell<u32>,
    handler: Rc<E>,
}

impl<E: LinkHandler + 'static> Net<E> {
    /// Listens at all relay addresses.
    pub fn open(
        addresses: &Addresses,
        gateways: usize,
        servers: usize,
        clock: Clock,
        handler: Rc<E>,
    ) -> Result<Rc<Self>, Errors> {
        let targets = || (0..servers).map(Target::Server).chain([Target::List]);
        let links = (0..gateways).flat_map(|gateway| targets().map(move |target| (gateway, target)));
        let links = links.map(|(gateway, target)| {
            let (address, state) = (addresses.relay(gateway, target), Cell::default());
            Rc::new(RelayedLink { gateway, target, address, state, changed: Notify::new() })
        });
        let net = Rc::new(Net {
            links: links.collect(),
            faults: RefCell::default(),
            servers: RefCell::new(vec![ServerAvailability::default(); servers]),
            list_silent_count: Cell::new(0),
            handler,
        });
        for link in &net.links {
            let listener =
                listen(link.address).map_err(|e| Errors::single(format!("{}: {e}", link.address)))?;
            let relay = Relay { link: link.clone(), clock: clock.clone(), handler: net.handler.clone() };
            spawn_local(Rc::new(relay).accept_connections(listener));
        }
        Ok(net)
    }

    /// Puts a fault into effect; `factor` is the delay in milliseconds, for delays.
    pub fn begin_fault(&self, number: usize, kind: Trouble, affected: AffectedLinks, factor: f64) {
        self.faults.borrow_mut().push((number, kind, affected, factor));
        self.refresh();
    }

    /// Ends the fault of this number.
    pub fn end_fault(&self, number: usize) {
        self.faults.borrow_mut().retain(|(n, ..)| *n != number);
        self.refresh();
    }

    /// Silences the list service (`true`) or ends one such fault (`false`). It stays silent until every fault
    /// has ended.
    pub fn set_list_silent(&self, on: bool) {
        let count = self.list_silent_count.get();
        self.list_silent_count.set(if on { count + 1 } else { count.saturating_sub(1) });
        self.refresh();
    }

    /// Whether a fault silences a server.
    pub fn is_silent(&self, n: usize) -> bool {
        self.servers.borrow()[n].silent
    }

    /// Changes the availability of a server and updates its links.
    pub fn update_server(&self, n: usize, change: impl FnOnce(&mut ServerAvailability)) {
        change(&mut self.servers.borrow_mut()[n]);
        self.refresh();
    }

    /// Recomputes the state of all links and notifies the relays whose state changed.
    fn refresh(&self) {
        for link in &self.links {
            let state = self.link_state(link);
            if link.state.replace(state) != state {
                link.changed.notify_waiters();
            }
        }
    }

    /// The state of a link under all faults in effect.
    fn link_state(&self, link: &RelayedLink) -> LinkState {
        let mut state = LinkState::default();
        match link.target {
            Target::Server(n) => {
                let server = self.servers.borrow()[n];
                (state.cut, state.refused, state.incarnation) =
                    ([server.silent; 2], server.down, server.incarnation);
            }
            Target::List => state.cut = [self.list_silent_count.get() > 0; 2],
        }
        for (_, kind, affected, factor) in self.faults.borrow().iter() {
            for (direction, out) in [(0, true), (1, false)] {
                let hit = match link.target {
                    Target::Server(n) => affected.affects_server(link.gateway, n, out),
                    Target::List => affected.affects_list(link.gateway, out),
                };
                match kind {
                    Trouble::Cut if hit => state.cut[direction] = true,
                    Trouble::Reset if hit => state.refused = true,
                    Trouble::Delay if hit => {
                        state.delay[direction] += Duration::from_secs_f64(factor / 1000.0);
                    }
                    _ => {}
                }
            }
        }
        state
    }
}
