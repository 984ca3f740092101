//! Fault injection, and stops and starts of servers.

use crate::link::{AffectedLinks, Link};
use crate::scenario::Trouble;
use crate::units::{ns, SECOND};
use crate::world::state::{Attempt, ScheduledEvent};
use crate::world::World;
use gateway_decisions::{Ending, Health, Time, Via};

/// Time for which a draining server continues before it stops.
const DRAIN_TIME_NS: Time = 2_000_000_000;
/// Time between a server's stop and its start in a release.
const RELEASE_DOWNTIME_NS: Time = 1_000_000_000;

impl World<'_> {
    /// Starts the scenario's fault with this index.
    pub(super) fn begin_fault(&mut self, index: usize) {
        let scenario = self.scenario;
        let fault = &scenario.faults[index];
        let targets = scenario.fault_targets(fault, &mut self.rng);
        match fault.kind {
            Trouble::Kill => targets.iter().for_each(|n| self.server_down(*n, true)),
            Trouble::Silent => targets.iter().for_each(|n| self.servers[*n].silent = true),
            Trouble::Slow => targets.iter().for_each(|n| self.servers[*n].model.slowdown = fault.factor),
            Trouble::Fail => targets.iter().for_each(|n| self.servers[*n].failure_rate = fault.factor),
            Trouble::Refuse => targets.iter().for_each(|n| self.servers[*n].model.refusing = true),
            Trouble::Release => {
                let step = ns(fault.for_s, SECOND) / targets.len().max(1) as u64;
                for (position, n) in targets.iter().enumerate() {
                    let at = self.now + step * position as u64;
                    self.schedule(at, ScheduledEvent::ServerDown { server: *n });
                }
                self.targets[index] = targets;
                return;
            }
            Trouble::Cut | Trouble::Reset | Trouble::Delay => {
                if let Some(Ok(link)) = Link::of(fault, scenario) {
                    let links = link.resolve(scenario, &mut self.rng);
                    if fault.kind == Trouble::Reset {
                        self.reset_connections(&links);
                    }
                    self.link_faults.push((index, links));
                }
                return;
            }
            Trouble::Restart => targets.iter().for_each(|n| self.gateway_down(*n)),
            Trouble::Rolling => {
                let step = ns(fault.for_s, SECOND) / targets.len().max(1) as u64;
                for (position, n) in targets.iter().enumerate() {
                    self.schedule(
                        self.now + step * position as u64,
                        ScheduledEvent::GatewayDown { gateway: *n },
                    );
                }
            }
            // Simulated gateways have no configuration file to reload.
            Trouble::Hangup => {}
            Trouble::Pause => targets.iter().for_each(|n| self.pause_gateway(*n, ns(fault.for_s, SECOND))),
            Trouble::ListDown => self.list_down_until = Some(self.now + ns(fault.for_s, SECOND)),
            Trouble::Flood => self.demand_factor *= fault.factor,
            Trouble::MeterDown => self.meter_down = true,
        }
        self.targets[index] = targets;
    }

    /// Ends the scenario's fault with this index.
    pub(super) fn end_fault(&mut self, index: usize) {
        let scenario = self.scenario;
        let fault = &scenario.faults[index];
        let targets = std::mem::take(&mut self.targets[index]);
        match fault.kind {
            Trouble::Kill => targets.iter().for_each(|n| self.server_up(*n)),
            Trouble::Silent => targets.iter().for_each(|n| self.servers[*n].silent = false),
            Trouble::Slow => targets.iter().for_each(|n| self.servers[*n].model.slowdown = 1.0),
            Trouble::Fail => targets.iter().for_each(|n| self.servers[*n].failure_rate = 0.0),
            Trouble::Refuse => targets.iter().for_each(|n| self.servers[*n].model.refusing = false),
            Trouble::Cut | Trouble::Reset | Trouble::Delay => self.link_faults.retain(|(n, _)| *n != index),
            Trouble::ListDown => self.list_down_until = None,
            Trouble::Flood if fault.factor > 0.0 => self.demand_factor /= fault.factor,
            Trouble::Flood => self.demand_factor = 1.0,
            Trouble::MeterDown => self.meter_down = false,
            Trouble::Release | Trouble::Restart | Trouble::Rolling | Trouble::Pause | Trouble::Hangup => {}
        }
        // A flood by factor 0 has stopped the arrivals, so they are scheduled again.
        if fault.kind == Trouble::Flood && fault.factor <= 0.0 {
            (0..scenario.plans.len()).for_each(|plan| self.schedule_arrival(plan));
        }
    }

    /// Stops a server at once. If `drain_first` and a release covers the server, drains it, stops it after
    /// [`DRAIN_TIME_NS`] and starts it again.
    pub(super) fn server_down(&mut self, n: usize, drain_first: bool) {
        let is_being_released = drain_first && self.is_being_released(n);
        let server = &mut self.servers[n];
        if is_being_released && server.health == Health::Up {
            server.health = Health::Draining;
            server.model.draining = true;
            self.announce_server(n);
            self.schedule(self.now + DRAIN_TIME_NS, ScheduledEvent::ServerDown { server: n });
            self.schedule(
                self.now + DRAIN_TIME_NS + RELEASE_DOWNTIME_NS,
                ScheduledEvent::ServerUp { server: n },
            );
            return;
        }
        if !server.up {
            return;
        }
        (server.up, server.health) = (false, Health::Removed);
        server.incarnation += 1;
        self.announce_server(n);
        // The connections of attempts in flight are reset.
        let mut affected_attempts: Vec<u64> = self
            .attempts
            .iter()
            .filter(|(_, a)| a.server == n && a.reached_server)
            .map(|(key, _)| *key)
            .collect();
        affected_attempts.sort_unstable();
        for key in affected_attempts {
            let return_time = self.travel_time(self.attempts[&key].gateway, n, false);
            self.schedule(
                self.now + return_time,
                ScheduledEvent::AttemptResult { attempt: key, ending: Ending::Cut, via: Via::Reused },
            );
        }
    }

    /// Returns whether a release that covers the server is in progress.
    fn is_being_released(&self, n: usize) -> bool {
        let faults = self.scenario.faults.iter().zip(&self.targets);
        faults.filter(|(f, _)| f.kind == Trouble::Release).any(|(_, targets)| targets.contains(&n))
    }

    /// Starts a stopped server, cold.
    pub(super) fn server_up(&mut self, n: usize) {
        let now = self.now;
        let server = &mut self.servers[n];
        if server.up {
            return;
        }
        (server.up, server.health, server.started) = (true, Health::Up, now);
        server.incarnation += 1;
        (server.work, server.collapse_reported) = ([0.0; 2], false);
        server.model.restart(now);
        self.announce_server(n);
    }

    /// Resets the connections over the affected links, with the attempts in flight on them.
    fn reset_connections(&mut self, links: &AffectedLinks) {
        let affected = |a: &Attempt| a.reached_server && links.affects_server(a.gateway, a.server, true);
        let mut affected_attempts: Vec<u64> =
            self.attempts.iter().filter(|(_, a)| affected(a)).map(|(key, _)| *key).collect();
        affected_attempts.sort_unstable();
        for key in affected_attempts {
            self.schedule(
                self.now,
                ScheduledEvent::AttemptResult { attempt: key, ending: Ending::Cut, via: Via::Reused },
            );
        }
        for (gateway, state) in self.gateways.iter_mut().enumerate() {
            let idle_connections = state.idle.iter_mut().enumerate();
            idle_connections
                .filter(|(n, _)| links.affects_server(gateway, *n, true))
                .for_each(|(_, idle)| idle.clear());
        }
    }
}
