//! The availability of each resource: the design's availability counters, computed from the capacity and the
//! amount in flight.

use crate::decide::gateway::{Gateway, ATTEMPTS, RESOURCES};
use crate::decide::server_list::ready;

/// Maximum amount in flight of each resource.
pub(super) type Capacities = [f64; RESOURCES];

impl Gateway {
    /// Maximum amount of a resource in flight: the open share of the limits of the servers in use. The
    /// capacity in units is that of attempts times the mean units of a request.
    pub(super) fn capacity(&self, resource: usize) -> f64 {
        let in_use = ready(&self.servers, &self.disabled).filter(|(_, server)| server.in_subset);
        let attempts: f64 =
            in_use.map(|(_, server)| server.concurrency_limit * self.warm_up_share(server)).sum();
        let units_each = if resource == ATTEMPTS { 1.0 } else { self.mean_units.max(1.0) };
        self.shedding.open_share * attempts * units_each
    }

    /// The amount of a resource in flight, in both processes of this gateway.
    fn in_flight(&self, resource: usize) -> f64 {
        self.sub_schedulers[resource].in_flight + self.peer_in_flight[resource]
    }

    /// The available share of a resource (mQoS, 3.3: resource availability counter). Negative if more is in
    /// flight than the capacity.
    pub(super) fn availability(&self, resource: usize, capacities: Capacities) -> f64 {
        1.0 - self.in_flight(resource) / capacities[resource].max(1e-9)
    }

    /// Whether `need` more of a resource may be in flight. A single attempt is always allowed after the
    /// pause.
    pub(super) fn is_available(&self, resource: usize, need: f64, capacities: Capacities) -> bool {
        let in_flight = self.in_flight(resource);
        in_flight + need <= capacities[resource]
            || in_flight == 0.0 && self.shedding.pause_is_over(self.now, capacities[ATTEMPTS])
    }
}
