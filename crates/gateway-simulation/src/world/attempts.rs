//! Attempts: on their way to a server, in its hands, and their end.

use crate::customer::ClientRequest;
use crate::oracle::{Breach, Oracle};
use crate::report::{self, flow};
use crate::scenario::{Fault, Trouble};
use crate::server::Admission;
use crate::units::{ns, MS, SECOND, START_NS};
use crate::world::state::{Attempt, Due};
use crate::world::World;
use gateway_decisions::{AttemptEnd, Ending, Event, Name, Time, Via};
use rand::Rng;

/// What a customer's ceiling may fall below 0: two units, and what the rate gives in the time that the rules allow.
const CEILING_S: f64 = 0.15;
const CEILING_UNITS: f64 = 2.0;

impl World<'_> {
    pub(super) fn send(
        &mut self,
        gateway: usize,
        id: u64,
        server: &Name,
        not_past: Time,
    ) -> Result<(), Box<Breach>> {
        let now = self.now;
        let known = self.numbers.get(server).copied();
        let told = known.and_then(|n| self.gateways[gateway].told[n]);
        let place = known.map_or((0, 0), |n| (self.servers[n].zone as u32, self.servers[n].cell));
        self.oracle.attempt_sent(id, server, place, told, now)?;
        let cut_off = known.is_some_and(|n| self.cut_off(gateway, n, true));
        let (Some(n), Some(held)) = (known, self.requests.get_mut(&id)) else { return Ok(()) };
        let (asked, counted, number, deadline) = (held.asked, held.counted, held.attempts, held.deadline);
        held.attempts += 1;
        let key = self.next;
        self.next += 1;
        held.out = Some(key);
        let first = held.within.is_none();
        if first {
            let customer = &mut self.customers[asked.plan][asked.customer as usize];
            let within = customer.charge(&self.scenario.plans[asked.plan], now);
            held.within = Some(within);
            self.passed(asked, counted, within)?;
        }
        let second = self.second();
        report::count(&mut self.report.flow, second, flow::ATTEMPTS);
        if first {
            report::count(&mut self.report.flow, second, flow::FIRST);
        }
        if !self.servers[n].up || self.servers[n].model.refusing || cut_off {
            self.vain.count(&mut self.report.flow, second, n);
        }
        let attempt = self.connect(gateway, id, n, asked.class, number, counted);
        let (way, back) = (self.travel_time(gateway, n, true), self.travel_time(gateway, n, false));
        let travel = if attempt.fresh { 2 * way + back } else { way };
        self.attempts.insert(key, attempt);
        self.plan(now + travel, Due::Reach { attempt: key });
        let until = if not_past == 0 { deadline } else { not_past.min(deadline) };
        self.plan(until, Due::Expire { attempt: key });
        Ok(())
    }

    /// A request is sent for the first time, within its customer's quota or not.
    fn passed(&mut self, asked: ClientRequest, counted: bool, within: bool) -> Result<(), Box<Breach>> {
        let (plan, second) = (&self.scenario.plans[asked.plan], self.second());
        report::count(&mut self.report.quota, second, 0);
        if !within {
            report::count(&mut self.report.quota, second, 1);
        }
        if counted {
            self.report.passed += 1;
            self.report.beyond += u64::from(!within);
        }
        if plan.ceiling_rate > 0.0 {
            let slack = CEILING_UNITS + plan.ceiling_rate * CEILING_S;
            let number = (asked.plan as u32) << 24 | asked.customer;
            self.oracle.ceiling_units_taken(
                number,
                1.0,
                (plan.ceiling_rate, plan.ceiling_burst, slack),
                self.now,
            )?;
        }
        Ok(())
    }

    /// The attempt with this number of a request, on a kept connection or a new one.
    fn connect(
        &mut self,
        gateway: usize,
        id: u64,
        n: usize,
        class: usize,
        number: u32,
        counted: bool,
    ) -> Attempt {
        let now = self.now;
        let work = self.scenario.classes[class].work(&mut self.rng);
        let idle_time = ns(self.scenario.servers.idle_s, SECOND);
        let site_life = self.servers[n].life;
        let place = &mut self.gateways[gateway];
        // The connection used last goes first; what has idled for too long is gone.
        place.idle[n].retain(|(_, since)| now < since + idle_time);
        let kept = place.idle[n].pop();
        place.used[n] += 1;
        let (zone, life) = (place.zone, place.life);
        let crosses = zone != self.servers[n].zone;
        if counted {
            self.report.attempts += 1;
            self.report.crossings += u64::from(crosses);
            self.report.connections += u64::from(kept.is_none());
        }
        Attempt {
            request: id,
            gateway,
            life,
            number,
            server: n,
            server_life: kept.map_or(site_life, |(life, _)| life),
            sent: now,
            fresh: kept.is_none(),
            work,
            over: false,
            there: false,
        }
    }

    /// One way between a gateway and a server; `out` if it leads to the server.
    pub(super) fn travel_time(&self, gateway: usize, server: usize, out: bool) -> Time {
        let network = &self.scenario.network;
        let near = self.gateways[gateway].zone == self.servers[server].zone;
        let slow =
            self.faults_between(Trouble::Delay, gateway, server, out).map(|fault| fault.factor).sum::<f64>();
        ns(if near { network.near_ms } else { network.far_ms } + slow, MS)
    }

    /// The faults of a kind on the way between a gateway and a server.
    fn faults_between(
        &self,
        kind: Trouble,
        gateway: usize,
        server: usize,
        out: bool,
    ) -> impl Iterator<Item = &Fault> {
        let of = self.links.iter().filter(move |(_, link)| link.affects_server(gateway, server, out));
        of.map(|(n, _)| &self.scenario.faults[*n]).filter(move |fault| fault.kind == kind)
    }

    /// Whether nothing passes from a gateway to a server, or back.
    fn cut_off(&self, gateway: usize, server: usize, out: bool) -> bool {
        self.servers[server].silent
            || self.faults_between(Trouble::Cut, gateway, server, out).next().is_some()
    }

    pub(super) fn arrive(&mut self, key: u64) -> Result<(), Box<Breach>> {
        let Some(a) = self.attempts.get(&key) else { return Ok(()) };
        if a.over {
            // Given up before its last byte came: it never was there.
            self.attempts.remove(&key);
            return Ok(());
        }
        let (n, gateway, fresh, work, server_life) = (a.server, a.gateway, a.fresh, a.work, a.server_life);
        // A connection that comes up needs both ways.
        if self.cut_off(gateway, n, true) || fresh && self.cut_off(gateway, n, false) {
            return Ok(());
        }
        let way = self.travel_time(gateway, n, false);
        let reset = self.faults_between(Trouble::Reset, gateway, n, true).next().is_some();
        let server = &mut self.servers[n];
        let via = if fresh { Via::New } else { Via::Reused };
        let refused = |ending, via| Due::End { attempt: key, ending, via };
        if reset || !server.up || server.life != server_life {
            let due = match (fresh, server.up && !reset) {
                (false, _) => refused(Ending::Cut, Via::Reused),
                (true, _) => refused(Ending::NoRoute, Via::Refused),
            };
            self.plan(self.now + way, due);
            return Ok(());
        }
        if let Some(a) = self.attempts.get_mut(&key) {
            a.there = true;
        }
        let told = self.gateways[gateway].told_start[n] == server.started;
        server.work[0] += work as f64;
        server.work[1] += if told { work as f64 } else { 0.0 };
        let handshake = if fresh { ns(self.scenario.servers.handshake_ms, MS) } else { 0 };
        let taken = server.model.admit(key, work + handshake, self.now);
        if server.model.collapsed && !server.reported {
            server.reported = true;
            let (name, part) = (server.name.clone(), server.work[1] / server.work[0].max(1.0));
            self.report.fallen += 1;
            Oracle::server_collapsed(&name, part, self.now)?;
        }
        let (server, life) = (n, self.servers[n].life);
        match taken {
            Admission::Started(at) => self.plan(at, Due::Done { server, life, attempt: key }),
            Admission::Queued => {}
            Admission::Rejected => {
                let second = self.second();
                report::count(&mut self.report.flow, second, flow::REJECTED);
                self.plan(self.now + way, Due::End { attempt: key, ending: Ending::Full, via });
            }
        }
        Ok(())
    }

    pub(super) fn work_done(&mut self, n: usize, life: u32, key: u64) {
        let server = &mut self.servers[n];
        if server.life != life || !server.up {
            return;
        }
        if let Some((next, at)) = server.model.complete(self.now) {
            self.plan(at, Due::Done { server: n, life, attempt: next });
        }
        let Some(a) = self.attempts.get(&key) else { return };
        let (gateway, over, fresh, work) = (a.gateway, a.over, a.fresh, a.work);
        self.work[1] += work as f64;
        if over {
            self.attempts.remove(&key);
            return;
        }
        if self.cut_off(gateway, n, false) {
            return;
        }
        let fails = self.servers[n].fails;
        let fault = fails > 0.0 && self.rng.random::<f64>() < fails;
        let ending = if fault { Ending::Fault } else { Ending::Pass };
        let via = if fresh { Via::New } else { Via::Reused };
        self.plan(self.now + self.travel_time(gateway, n, false), Due::End { attempt: key, ending, via });
    }

    pub(super) fn ended(&mut self, key: u64, ending: Ending, via: Via) -> Result<(), Box<Breach>> {
        let Some(a) = self.attempts.get(&key) else { return Ok(()) };
        if a.over {
            self.attempts.remove(&key);
            return Ok(());
        }
        let (gateway, life, n, server_life) = (a.gateway, a.life, a.server, a.server_life);
        let place = &mut self.gateways[gateway];
        if place.life == life && matches!(ending, Ending::Pass | Ending::Fault | Ending::Full) {
            place.idle[n].push((server_life, self.now));
        }
        if ending == Ending::Pass {
            self.work[0] += self.attempts[&key].work as f64;
        }
        self.attempt_over(key, ending, via)?;
        self.attempts.remove(&key);
        Ok(())
    }

    pub(super) fn expire(&mut self, key: u64) -> Result<(), Box<Breach>> {
        let Some(a) = self.attempts.get(&key).filter(|a| !a.over) else { return Ok(()) };
        // A connection that never came up has written nothing.
        let never = a.fresh && !a.there;
        let counted = self.requests.get(&a.request).is_some_and(|h| h.counted);
        self.report.late_ends += u64::from(counted);
        self.attempt_over(key, if never { Ending::NoRoute } else { Ending::Late }, Via::Unknown)
    }

    /// An attempt is over for its gateway, whatever its server still does.
    pub(super) fn attempt_over(&mut self, key: u64, ending: Ending, via: Via) -> Result<(), Box<Breach>> {
        let Some(a) = self.attempts.get_mut(&key) else { return Ok(()) };
        a.over = true;
        let (id, gateway, life, number, n, sent) = (a.request, a.gateway, a.life, a.number, a.server, a.sent);
        if self.gateways[gateway].life != life {
            return Ok(());
        }
        let now = self.now;
        let place = &mut self.gateways[gateway];
        place.used[n] = place.used[n].saturating_sub(1);
        let links = place.idle[n].len() as u32 + place.used[n];
        self.oracle.attempt_ended(id, ending, now);
        let mut metered = None;
        let mut last = true;
        let mut served = None;
        if let Some(held) = self.requests.get_mut(&id) {
            held.out = None;
            let asked = held.asked;
            let answered = matches!(ending, Ending::Pass | Ending::Fault | Ending::Full);
            metered = self.customers[asked.plan][asked.customer as usize].metered.filter(|_| answered);
            if ending == Ending::Pass && !held.ended {
                held.ended = true;
                served = Some((asked, held.at, held.counted, held.within));
            }
            last = held.ended;
            if held.counted && ending == Ending::Full {
                self.report.turned_away += 1;
            }
        }
        if let Some((asked, at, counted, within)) = served {
            self.oracle.final_answer_sent(id, false, now)?;
            self.served(asked, at, counted, within);
        }
        let server = self.servers[n].name.clone();
        let end = AttemptEnd {
            id,
            attempt: number,
            server,
            ending,
            request_finished: last,
            body_discarded: false,
            elapsed: now - sent,
            actual_units: 0.0,
            metered_share: metered,
            load: None,
            via,
            open_connections: links,
        };
        self.push_event(gateway, life, Event::AttemptEnd(end));
        Ok(())
    }

    fn served(&mut self, asked: ClientRequest, at: Time, counted: bool, within: Option<bool>) {
        if !counted {
            return;
        }
        let class = &self.scenario.classes[asked.class];
        let took = self.now - at;
        self.times.saturating_record((took / 1000).max(1));
        if took > ns(class.aim_ms, MS) {
            self.report.late += 1;
            return;
        }
        self.report.on_time += 1;
        let second = ((at - START_NS) / 1_000_000_000) as usize;
        self.report.seconds[second][1] += 1;
        report::add(&mut self.report.work, Some(second), 1, class.work_ms);
        if within == Some(true) {
            self.worth[0] += class.points * self.scenario.plans[asked.plan].worth;
        }
    }
}
