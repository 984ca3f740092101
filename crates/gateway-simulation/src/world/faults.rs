//! Faults, and servers that stop and start.

use crate::link::{AffectedLinks, Link};
use crate::scenario::Trouble;
use crate::units::{ns, SECOND};
use crate::world::state::{Attempt, Due};
use crate::world::World;
use gateway_decisions::{Ending, Health, Time, Via};

/// How long a drained server goes on before it stops.
const DRAIN: Time = 2_000_000_000;
/// How long a stopped server is away in a release.
const AWAY: Time = 1_000_000_000;

impl World<'_> {
    pub(super) fn begin(&mut self, number: usize) {
        let scenario = self.scenario;
        let fault = &scenario.faults[number];
        let struck = scenario.fault_targets(fault, &mut self.rng);
        match fault.kind {
            Trouble::Kill => struck.iter().for_each(|n| self.server_down(*n, true)),
            Trouble::Silent => struck.iter().for_each(|n| self.servers[*n].silent = true),
            Trouble::Slow => struck.iter().for_each(|n| self.servers[*n].model.slowdown = fault.factor),
            Trouble::Fail => struck.iter().for_each(|n| self.servers[*n].fails = fault.factor),
            Trouble::Refuse => struck.iter().for_each(|n| self.servers[*n].model.refusing = true),
            Trouble::Release => {
                let step = ns(fault.for_s, SECOND) / struck.len().max(1) as u64;
                for (place, n) in struck.iter().enumerate() {
                    let at = self.now + step * place as u64;
                    self.plan(at, Due::ServerDown { server: *n });
                }
                self.struck[number] = struck;
                return;
            }
            Trouble::Cut | Trouble::Reset | Trouble::Delay => {
                if let Some(Ok(link)) = Link::of(fault, scenario) {
                    let struck = link.resolve(scenario, &mut self.rng);
                    if fault.kind == Trouble::Reset {
                        self.reset(&struck);
                    }
                    self.links.push((number, struck));
                }
                return;
            }
            Trouble::Restart => struck.iter().for_each(|n| self.gateway_down(*n)),
            Trouble::Rolling => {
                let step = ns(fault.for_s, SECOND) / struck.len().max(1) as u64;
                for (place, n) in struck.iter().enumerate() {
                    self.plan(self.now + step * place as u64, Due::GatewayDown { gateway: *n });
                }
            }
            // The lab's gateways have no file to read again.
            Trouble::Hangup => {}
            Trouble::Pause => struck.iter().for_each(|n| self.pause(*n, ns(fault.for_s, SECOND))),
            Trouble::ListDown => self.list_down = Some(self.now + ns(fault.for_s, SECOND)),
            Trouble::Flood => self.flood *= fault.factor,
            Trouble::MeterDown => self.meter_down = true,
        }
        self.struck[number] = struck;
    }

    pub(super) fn finish(&mut self, number: usize) {
        let scenario = self.scenario;
        let fault = &scenario.faults[number];
        let struck = std::mem::take(&mut self.struck[number]);
        match fault.kind {
            Trouble::Kill => struck.iter().for_each(|n| self.server_up(*n)),
            Trouble::Silent => struck.iter().for_each(|n| self.servers[*n].silent = false),
            Trouble::Slow => struck.iter().for_each(|n| self.servers[*n].model.slowdown = 1.0),
            Trouble::Fail => struck.iter().for_each(|n| self.servers[*n].fails = 0.0),
            Trouble::Refuse => struck.iter().for_each(|n| self.servers[*n].model.refusing = false),
            Trouble::Cut | Trouble::Reset | Trouble::Delay => self.links.retain(|(n, _)| *n != number),
            Trouble::ListDown => self.list_down = None,
            Trouble::Flood if fault.factor > 0.0 => self.flood /= fault.factor,
            Trouble::Flood => self.flood = 1.0,
            Trouble::MeterDown => self.meter_down = false,
            Trouble::Release | Trouble::Restart | Trouble::Rolling | Trouble::Pause | Trouble::Hangup => {}
        }
        // A flood by nothing has let arrivals end.
        if fault.kind == Trouble::Flood && fault.factor <= 0.0 {
            (0..scenario.plans.len()).for_each(|plan| self.plan_arrival(plan));
        }
    }

    /// A server dies, or is drained first: then it dies after a while, and starts again by itself.
    pub(super) fn server_down(&mut self, n: usize, first: bool) {
        let drains = first && self.drains(n);
        let server = &mut self.servers[n];
        if drains && server.health == Health::Up {
            server.health = Health::Draining;
            server.model.draining = true;
            self.announce(n);
            self.plan(self.now + DRAIN, Due::ServerDown { server: n });
            self.plan(self.now + DRAIN + AWAY, Due::ServerUp { server: n });
            return;
        }
        if !server.up {
            return;
        }
        (server.up, server.health) = (false, Health::Removed);
        server.life += 1;
        self.announce(n);
        // Connections are reset under what was out.
        let mut hit: Vec<u64> =
            self.attempts.iter().filter(|(_, a)| a.server == n && a.there).map(|(key, _)| *key).collect();
        hit.sort_unstable();
        for key in hit {
            let way = self.travel_time(self.attempts[&key].gateway, n, false);
            self.plan(self.now + way, Due::End { attempt: key, ending: Ending::Cut, via: Via::Reused });
        }
    }

    /// Whether a release is under way that strikes the server.
    fn drains(&self, n: usize) -> bool {
        let faults = self.scenario.faults.iter().zip(&self.struck);
        faults.filter(|(f, _)| f.kind == Trouble::Release).any(|(_, struck)| struck.contains(&n))
    }

    pub(super) fn server_up(&mut self, n: usize) {
        let now = self.now;
        let server = &mut self.servers[n];
        if server.up {
            return;
        }
        (server.up, server.health, server.started) = (true, Health::Up, now);
        server.life += 1;
        (server.work, server.reported) = ([0.0; 2], false);
        server.model.restart(now);
        self.announce(n);
    }

    /// Connections over the link are reset under what is out.
    fn reset(&mut self, struck: &AffectedLinks) {
        let over = |a: &Attempt| a.there && struck.affects_server(a.gateway, a.server, true);
        let mut hit: Vec<u64> = self.attempts.iter().filter(|(_, a)| over(a)).map(|(key, _)| *key).collect();
        hit.sort_unstable();
        for key in hit {
            self.plan(self.now, Due::End { attempt: key, ending: Ending::Cut, via: Via::Reused });
        }
        for (gateway, place) in self.gateways.iter_mut().enumerate() {
            let kept = place.idle.iter_mut().enumerate();
            kept.filter(|(n, _)| struck.affects_server(gateway, *n, true)).for_each(|(_, idle)| idle.clear());
        }
    }
}
