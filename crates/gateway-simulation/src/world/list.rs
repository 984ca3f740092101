//! What gateways are told of servers, and what the meter tells of customers.

use crate::units::{ns, METER_PERIOD_NS, MS, START_NS};
use crate::world::state::Due;
use crate::world::World;
use gateway_decisions::{Event, Health, Node, Scope, Time};
use rand::Rng;

impl World<'_> {
    /// All that a gateway is told at its start.
    pub(super) fn tell_whole_list(&mut self, gateway: usize) {
        let nodes: Vec<Node> = (0..self.servers.len())
            .filter(|n| self.servers[*n].health != Health::Removed)
            .map(|n| self.node(n))
            .collect();
        let now = self.now;
        for (n, server) in self.servers.iter().enumerate() {
            let place = &mut self.gateways[gateway];
            place.told_start[n] = server.started;
            place.told[n] = match server.health {
                Health::Up => Some(None),
                Health::Draining => Some(Some(now)),
                Health::Removed => None,
            };
        }
        let life = self.gateways[gateway].life;
        self.push_event(gateway, life, Event::Fleet { seq: 1, scope: Scope::Full, nodes });
    }

    fn node(&self, n: usize) -> Node {
        let server = &self.servers[n];
        Node {
            name: server.name.clone(),
            zone: server.zone as u32,
            cell: server.cell,
            health: server.health,
            rating: 1.0,
            since: server.started,
        }
    }

    /// A server's entry has changed: each gateway hears of it a little later, or when the list is back.
    pub(super) fn announce(&mut self, server: usize) {
        let (health, started) = (self.servers[server].health, self.servers[server].started);
        let most = ns(self.scenario.network.list_ms, MS).max(1);
        for gateway in 0..self.gateways.len() {
            let from = self.list_down.unwrap_or(self.now).max(self.now);
            let at = from + self.rng.random_range(0..most);
            let life = self.gateways[gateway].life;
            self.plan(at, Due::Tell { gateway, life, server, health, started });
        }
    }

    pub(super) fn tell_change(
        &mut self,
        gateway: usize,
        life: u32,
        server: usize,
        health: Health,
        started: Time,
    ) {
        let now = self.now;
        let place = &mut self.gateways[gateway];
        if place.life != life {
            return;
        }
        place.told_start[server] = started;
        place.told[server] = match health {
            Health::Up => Some(None),
            // A server that is told so twice was told so the first time; a gateway that stands still hears of it later.
            _ => Some(place.told[server].flatten().or(Some(now.max(place.paused_until)))),
        };
        if health == Health::Removed {
            place.idle[server].clear();
        }
        let node = Node { health, since: started, ..self.node(server) };
        self.push_event(gateway, life, Event::Fleet { seq: 1, scope: Scope::Changes, nodes: vec![node] });
    }

    pub(super) fn meter(&mut self) {
        self.plan(self.now + METER_PERIOD_NS, Due::Meter);
        if (self.now - START_NS) % 1_000_000_000 == METER_PERIOD_NS {
            let up = self
                .servers
                .iter()
                .filter(|server| server.up && !server.silent && server.health == Health::Up);
            let each = up.map(|server| server.model.cores(self.now));
            let sum = each.fold([0.0; 2], |sum, one| [sum[0] + one[0], sum[1] + one[1]]);
            self.report.cores.push(sum.map(|cores| (cores * 100.0).round() / 100.0));
        }
        let on = !self.meter_down;
        for (plan, customers) in self.scenario.plans.iter().zip(&mut self.customers) {
            customers.iter_mut().for_each(|customer| customer.end_meter_period(plan, on));
        }
    }
}
