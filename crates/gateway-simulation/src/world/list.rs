//! The server list as gateways receive it, and the meter of the customers' use.

use crate::units::{ns, METER_PERIOD_NS, MS, START_NS};
use crate::world::state::ScheduledEvent;
use crate::world::World;
use gateway_decisions::{Event, Health, Node, Scope, Time};
use rand::Rng;

impl World<'_> {
    /// Sends the full server list to a gateway that starts.
    pub(super) fn send_full_list(&mut self, gateway: usize) {
        let nodes: Vec<Node> = (0..self.servers.len())
            .filter(|n| self.servers[*n].health != Health::Removed)
            .map(|n| self.node(n))
            .collect();
        let now = self.now;
        for (n, server) in self.servers.iter().enumerate() {
            let state = &mut self.gateways[gateway];
            state.announced_start[n] = server.started;
            state.announced[n] = match server.health {
                Health::Up => Some(None),
                Health::Draining => Some(Some(now)),
                Health::Removed => None,
            };
        }
        let incarnation = self.gateways[gateway].incarnation;
        self.push_event(gateway, incarnation, Event::Fleet { seq: 1, scope: Scope::Full, nodes });
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

    /// Schedules the list update for a changed server at each gateway: after a random delay, or after the end
    /// of a list outage.
    pub(super) fn announce_server(&mut self, server: usize) {
        let (health, started) = (self.servers[server].health, self.servers[server].started);
        let max_delay = ns(self.scenario.network.list_ms, MS).max(1);
        for gateway in 0..self.gateways.len() {
            let from = self.list_down_until.unwrap_or(self.now).max(self.now);
            let at = from + self.rng.random_range(0..max_delay);
            let incarnation = self.gateways[gateway].incarnation;
            self.schedule(at, ScheduledEvent::ListUpdate { gateway, incarnation, server, health, started });
        }
    }

    /// Delivers one changed server entry to a gateway, unless the gateway has restarted since.
    pub(super) fn send_list_update(
        &mut self,
        gateway: usize,
        incarnation: u32,
        server: usize,
        health: Health,
        started: Time,
    ) {
        let now = self.now;
        let state = &mut self.gateways[gateway];
        if state.incarnation != incarnation {
            return;
        }
        state.announced_start[server] = started;
        state.announced[server] = match health {
            Health::Up => Some(None),
            // A repeated announcement keeps the time of the first; a paused gateway learns of it when it
            // resumes.
            _ => Some(state.announced[server].flatten().or(Some(now.max(state.paused_until)))),
        };
        if health == Health::Removed {
            state.idle[server].clear();
        }
        let node = Node { health, since: started, ..self.node(server) };
        self.push_event(
            gateway,
            incarnation,
            Event::Fleet { seq: 1, scope: Scope::Changes, nodes: vec![node] },
        );
    }

    /// Ends a period of the meter, and records the servers' capacity in the middle of each second.
    pub(super) fn meter_period_ends(&mut self) {
        self.schedule(self.now + METER_PERIOD_NS, ScheduledEvent::MeterPeriodEnds);
        if (self.now - START_NS) % 1_000_000_000 == METER_PERIOD_NS {
            let up = self
                .servers
                .iter()
                .filter(|server| server.up && !server.silent && server.health == Health::Up);
            let capacities = up.map(|server| server.model.cores(self.now));
            let sum = capacities.fold([0.0; 2], |sum, one| [sum[0] + one[0], sum[1] + one[1]]);
            self.report.cores.push(sum.map(|cores| (cores * 100.0).round() / 100.0));
        }
        let on = !self.meter_down;
        for (plan, customers) in self.scenario.plans.iter().zip(&mut self.customers) {
            customers.iter_mut().for_each(|customer| customer.end_meter_period(plan, on));
        }
    }
}
