//! One play: events in the order of their time, and of their planning where that is the same.

use crate::customer::{Asked, Customer};
use crate::link::Struck;
use crate::oracle::{Allowed, Breach, Oracle};
use crate::report::{self, flow, times, Report, Vain};
use crate::scenario::{ns, Fault, Scenario, Trouble, METER, MS, SECOND, SLACK, START};
use crate::server::{Server, Taken};
use granitehub::{
    Action, AttemptEnd, Ending, Event, Gateway, Health, Name, Node, Request, Scope, Settings, Time, Via,
};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// A killed gateway starts again after this.
const GATEWAY_DOWN: Time = 500_000_000;
/// How long a drained server goes on before it stops.
const DRAIN: Time = 2_000_000_000;
/// How long a stopped server is away in a release.
const AWAY: Time = 1_000_000_000;
/// What a customer's ceiling may fall below 0: two units, and what the rate gives in the time that the rules allow.
const CEILING_S: f64 = 0.15;
const CEILING_UNITS: f64 = 2.0;

/// What decides at a gateway.
pub trait Decider {
    fn handle(&mut self, now: Time, events: Vec<Event>, out: &mut Vec<Action>);
}

impl Decider for Gateway {
    fn handle(&mut self, now: Time, events: Vec<Event>, out: &mut Vec<Action>) {
        Gateway::handle(self, now, events, out);
    }
}

/// Plays a scenario once with the real decisions.
pub fn play(scenario: &Scenario, seed: u64) -> Result<Report, Box<Breach>> {
    play_with(scenario, seed, |settings, seed, now| {
        // The scenario was checked, and the module's own check asks for less.
        Box::new(Gateway::new(settings, seed, now).unwrap_or_else(|e| unreachable!("{e}")))
    })
}

/// As [`play`], with deciders of the caller's.
pub fn play_with<'a>(
    scenario: &'a Scenario,
    seed: u64,
    decider: impl Fn(Settings, u64, Time) -> Box<dyn Decider> + 'a,
) -> Result<Report, Box<Breach>> {
    World::new(scenario, seed, Box::new(decider)).play()
}

type Maker<'a> = Box<dyn Fn(Settings, u64, Time) -> Box<dyn Decider> + 'a>;

enum Due {
    /// The next request of a plan's customers.
    Arrival {
        plan: usize,
    },
    /// A client asks again.
    Again {
        asked: Asked,
    },
    /// A gateway's round of decisions.
    Round {
        gateway: usize,
        life: u32,
    },
    Timer {
        gateway: usize,
        life: u32,
        token: u64,
    },
    /// An attempt comes to its server.
    Reach {
        attempt: u64,
    },
    /// A server is done with an attempt, if it is still in that life.
    Done {
        server: usize,
        life: u32,
        attempt: u64,
    },
    /// An answer, or the news that there is none, comes to the gateway.
    End {
        attempt: u64,
        ending: Ending,
        via: Via,
    },
    /// An attempt's time is over.
    Expire {
        attempt: u64,
    },
    /// A client leaves.
    Leave {
        request: u64,
    },
    /// A request's time is over.
    Over {
        request: u64,
    },
    /// A gateway is told of a server.
    Tell {
        gateway: usize,
        life: u32,
        server: usize,
        health: Health,
        started: Time,
    },
    GatewayUp {
        gateway: usize,
    },
    GatewayDown {
        gateway: usize,
    },
    ServerDown {
        server: usize,
    },
    ServerUp {
        server: usize,
    },
    Begin {
        fault: usize,
    },
    Finish {
        fault: usize,
    },
    Meter,
}

struct Held {
    asked: Asked,
    gateway: usize,
    at: Time,
    deadline: Time,
    ended: bool,
    out: Option<u64>,
    attempts: u32,
    /// Whether its units were within the quota; none while nothing was sent.
    within: Option<bool>,
    counted: bool,
}

struct Attempt {
    request: u64,
    gateway: usize,
    life: u32,
    number: u32,
    server: usize,
    server_life: u32,
    sent: Time,
    fresh: bool,
    work: Time,
    over: bool,
    /// It has come to its server, and is in its hands.
    there: bool,
}

struct Place {
    zone: usize,
    decider: Box<dyn Decider>,
    life: u32,
    up: bool,
    pending: Vec<Event>,
    round_at: Option<Time>,
    last_round: Time,
    /// It does nothing before.
    still: Time,
    /// For each server what was told last: none before it was listed, else since when it is to get nothing new.
    told: Vec<Option<Option<Time>>>,
    /// The start of each server that was told last.
    told_start: Vec<Time>,
    /// Idle connections by server: the server's life, and since when each idles; and those in use.
    idle: Vec<Vec<(u32, Time)>>,
    used: Vec<u32>,
}

struct Site {
    server: Server,
    name: Name,
    zone: usize,
    cell: u32,
    life: u32,
    up: bool,
    silent: bool,
    fails: f64,
    health: Health,
    started: Time,
    /// Work since its start, and the part of it from gateways that were told of the start.
    work: [f64; 2],
    reported: bool,
}

struct World<'a> {
    scenario: &'a Scenario,
    maker: Maker<'a>,
    rng: ChaCha8Rng,
    now: Time,
    end: Time,
    counted_from: Time,
    planned: u64,
    queue: BinaryHeap<Reverse<(Time, u64, usize)>>,
    dues: Vec<Option<Due>>,
    free: Vec<usize>,
    places: Vec<Place>,
    sites: Vec<Site>,
    numbers: HashMap<Name, usize>,
    customers: Vec<Vec<Customer>>,
    requests: HashMap<u64, Held>,
    attempts: HashMap<u64, Attempt>,
    next: u64,
    flood: f64,
    meter_down: bool,
    list_down: Option<Time>,
    /// Faults on links, by their numbers.
    links: Vec<(usize, Struck)>,
    struck: Vec<Vec<usize>>,
    oracle: Oracle,
    report: Report,
    vain: Vain,
    times: Histogram<u64>,
    worth: [f64; 2],
    work: [f64; 2],
    actions: Vec<Action>,
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, seed: u64, maker: Maker<'a>) -> Self {
        let build = scenario.build();
        let sites: Vec<Site> = (0..scenario.servers.count as usize)
            .map(|n| Site {
                server: Server::new(build),
                name: format!("s-{n}").into(),
                zone: scenario.zone_of_server(n),
                cell: scenario.cell_of_server(n),
                life: 0,
                up: true,
                silent: false,
                fails: 0.0,
                health: Health::Up,
                started: 0,
                work: [0.0; 2],
                reported: false,
            })
            .collect();
        let settings = scenario.settings(0, 0);
        let allowed =
            settings.classes.iter().map(|c| Allowed { effect: c.effect, group: c.group, key_ttl: c.key_ttl });
        let seconds = scenario.seconds.ceil() as usize;
        let mut world = World {
            oracle: Oracle::new(allowed.collect(), scenario.gateways.tries),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: START,
            end: START + ns(scenario.seconds, SECOND),
            counted_from: START + ns(scenario.uncounted_s, SECOND),
            planned: 0,
            queue: BinaryHeap::new(),
            dues: Vec::new(),
            free: Vec::new(),
            places: Vec::new(),
            numbers: sites.iter().enumerate().map(|(n, site)| (site.name.clone(), n)).collect(),
            sites,
            customers: scenario
                .plans
                .iter()
                .map(|p| vec![Customer::new(p.depth, START); p.customers as usize])
                .collect(),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            next: 1,
            flood: 1.0,
            meter_down: false,
            list_down: None,
            links: Vec::new(),
            struck: vec![Vec::new(); scenario.faults.len()],
            report: Report {
                scenario: scenario.name.clone(),
                seed,
                seconds: vec![[0; 2]; seconds],
                ..Report::default()
            },
            vain: Vain::default(),
            times: times(),
            worth: [0.0; 2],
            work: [0.0; 2],
            actions: Vec::new(),
            scenario,
            maker,
        };
        for n in 0..scenario.gateways.count as usize {
            let zone = world.scenario.zone_of_gateway(n);
            let seed = world.rng.random();
            let settings = world.scenario.settings(n as u32, zone as u32);
            let decider = (world.maker)(settings, seed, START);
            let count = world.sites.len();
            world.places.push(Place {
                zone,
                decider,
                life: 0,
                up: true,
                pending: Vec::new(),
                round_at: None,
                last_round: START,
                still: 0,
                told: vec![None; count],
                told_start: vec![0; count],
                idle: vec![Vec::new(); count],
                used: vec![0; count],
            });
            world.hello(n);
        }
        for plan in 0..scenario.plans.len() {
            world.plan_arrival(plan);
        }
        for (n, fault) in scenario.faults.iter().enumerate() {
            let at = START + ns(fault.at_s, SECOND);
            world.plan(at, Due::Begin { fault: n });
            world.plan(at + ns(fault.for_s, SECOND), Due::Finish { fault: n });
        }
        world.plan(START + METER, Due::Meter);
        world
    }

    // ---- The queue ----

    fn plan(&mut self, at: Time, due: Due) {
        let slot = match self.free.pop() {
            Some(slot) => {
                self.dues[slot] = Some(due);
                slot
            }
            None => {
                self.dues.push(Some(due));
                self.dues.len() - 1
            }
        };
        self.planned += 1;
        self.queue.push(Reverse((at.max(self.now), self.planned, slot)));
    }

    fn play(mut self) -> Result<Report, Box<Breach>> {
        while let Some(Reverse((at, _, slot))) = self.queue.pop() {
            if at > self.end {
                break;
            }
            self.now = at;
            self.report.events += 1;
            let due = self.dues[slot].take();
            self.free.push(slot);
            if let Some(due) = due {
                self.happen(due)?;
            }
        }
        let r = &mut self.report;
        // To nine digits, so that a report that is written and read again is the same.
        let share = |[part, all]: [f64; 2]| if all > 0.0 { (part / all * 1e9).round() / 1e9 } else { 0.0 };
        let lost = [self.work[1] - self.work[0], self.work[1]];
        (r.worth, r.wasted) = (share(self.worth), share(lost));
        r.p50_ms = self.times.value_at_quantile(0.5) as f64 / 1000.0;
        r.p99_ms = self.times.value_at_quantile(0.99) as f64 / 1000.0;
        Ok(self.report)
    }

    fn happen(&mut self, due: Due) -> Result<(), Box<Breach>> {
        match due {
            Due::Arrival { plan } => {
                self.plan_arrival(plan);
                let customer = self.rng.random_range(0..self.scenario.plans[plan].customers);
                let class = self.scenario.class(self.rng.random());
                self.ask(Asked { plan, class, customer, repeats: 0 });
            }
            Due::Again { asked } => self.ask(asked),
            Due::Round { gateway, life } => self.round(gateway, life)?,
            Due::Timer { gateway, life, token } => self.tell(gateway, life, Event::Timer { token }),
            Due::Reach { attempt } => self.reach(attempt)?,
            Due::Done { server, life, attempt } => self.done(server, life, attempt),
            Due::End { attempt, ending, via } => self.ended(attempt, ending, via)?,
            Due::Expire { attempt } => self.expire(attempt)?,
            Due::Leave { request } => self.leave(request),
            Due::Over { request } => {
                self.oracle.due(request, self.now)?;
                self.requests.remove(&request);
            }
            Due::Tell { gateway, life, server, health, started } => {
                self.told(gateway, life, server, health, started);
            }
            Due::GatewayUp { gateway } => self.gateway_up(gateway),
            Due::GatewayDown { gateway } => self.gateway_down(gateway),
            Due::ServerDown { server } => self.server_down(server, true),
            Due::ServerUp { server } => self.server_up(server),
            Due::Begin { fault } => self.begin(fault),
            Due::Finish { fault } => self.finish(fault),
            Due::Meter => self.meter(),
        }
        Ok(())
    }

    fn second(&self) -> Option<usize> {
        Some(((self.now - START) / 1_000_000_000) as usize)
    }

    // ---- Clients ----

    fn plan_arrival(&mut self, plan: usize) {
        let p = &self.scenario.plans[plan];
        let rate = f64::from(p.customers) * p.demand * self.flood;
        if rate > 0.0 {
            let gap: f64 = Exp1.sample(&mut self.rng);
            self.plan(self.now + ns(gap / rate, SECOND).max(1), Due::Arrival { plan });
        }
    }

    fn ask(&mut self, asked: Asked) {
        let plan = &self.scenario.plans[asked.plan];
        let count = self.places.len();
        // A customer's gateways are so many in a row.
        let first = self.scenario.first_gateway(asked.customer);
        let gateway = (first + self.rng.random_range(0..plan.spread as usize)) % count;
        let counted = self.now >= self.counted_from;
        let class = &self.scenario.classes[asked.class];
        let worth = class.points * plan.worth;
        let spread = plan.spread;
        if counted {
            self.report.requests += 1;
            let second = ((self.now - START) / 1_000_000_000) as usize;
            self.report.seconds[second][0] += 1;
        }
        let customer = &mut self.customers[asked.plan][asked.customer as usize];
        let within = customer.within(plan, self.now);
        let second = self.second();
        report::count(&mut self.report.quota, second, 2);
        if asked.repeats == 0 && within {
            report::add(&mut self.report.work, second, 0, class.work_ms);
        }
        if counted && asked.repeats == 0 && within {
            self.worth[1] += worth;
        }
        if !self.places[gateway].up {
            // The front finds out, and the client asks again elsewhere.
            self.report.gone += u64::from(counted);
            self.again(asked, 0);
            return;
        }
        let id = self.next;
        self.next += 1;
        let deadline = self.now + ns(class.deadline_ms, MS);
        self.oracle.asked(id, asked.class, deadline, gateway, self.now);
        let (at, within, out) = (self.now, None, None);
        let held = Held { asked, gateway, at, deadline, ended: false, out, attempts: 0, within, counted };
        self.requests.insert(id, held);
        if self.now < self.places[gateway].still {
            self.oracle.excuse(id);
        }
        let name = format!("{}/{}", asked.plan, asked.customer);
        let request = Request { spread, ..Request::new(id, asked.class, asked.plan, &name, deadline, 1.0) };
        let life = self.places[gateway].life;
        self.tell(gateway, life, Event::Request(request));
        self.plan(deadline + SLACK + 1, Due::Over { request: id });
        if self.scenario.clients.leaves > 0.0 && self.rng.random::<f64>() < self.scenario.clients.leaves {
            let after = self.rng.random_range(0..deadline - self.now);
            self.plan(self.now + after, Due::Leave { request: id });
        }
    }

    /// A client that was not served asks again, as often as its kind does.
    fn again(&mut self, asked: Asked, advice: Time) {
        if let Some(after) = self.scenario.clients.returns(asked.repeats, advice, &mut self.rng) {
            let asked = Asked { repeats: asked.repeats + 1, ..asked };
            self.plan(self.now + after, Due::Again { asked });
        }
    }

    fn leave(&mut self, id: u64) {
        let Some(held) = self.requests.get_mut(&id).filter(|h| !h.ended) else { return };
        held.ended = true;
        let (gateway, counted) = (held.gateway, held.counted);
        self.report.gone += u64::from(counted);
        self.oracle.left(id);
        let life = self.places[gateway].life;
        self.tell(gateway, life, Event::ClientGone { id });
    }

    // ---- Gateways ----

    fn tell(&mut self, gateway: usize, life: u32, event: Event) {
        let tick = ns(self.scenario.gateways.tick_ms, MS);
        let place = &mut self.places[gateway];
        if place.life != life || !place.up {
            return;
        }
        place.pending.push(event);
        if place.round_at.is_none() {
            let at = self.now.max(place.last_round + tick).max(place.still);
            place.round_at = Some(at);
            self.plan(at, Due::Round { gateway, life });
        }
    }

    fn round(&mut self, gateway: usize, life: u32) -> Result<(), Box<Breach>> {
        let place = &mut self.places[gateway];
        if place.life != life || !place.up {
            return Ok(());
        }
        if self.now < place.still {
            let at = place.still;
            place.round_at = Some(at);
            self.plan(at, Due::Round { gateway, life });
            return Ok(());
        }
        (place.round_at, place.last_round) = (None, self.now);
        let events = std::mem::take(&mut place.pending);
        let mut actions = std::mem::take(&mut self.actions);
        place.decider.handle(self.now, events, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(gateway, action)?;
        }
        self.actions = actions;
        Ok(())
    }

    fn carry_out(&mut self, gateway: usize, action: Action) -> Result<(), Box<Breach>> {
        match action {
            Action::Send { id, server, not_past } => self.send(gateway, id, &server, not_past)?,
            Action::Reject { id, advice } => self.final_answer(id, true, advice)?,
            Action::Fail { id } => self.final_answer(id, false, 0)?,
            Action::Cancel { id, attempt } => {
                let out = self.requests.get(&id).and_then(|h| h.out);
                let out = out.filter(|key| self.attempts[key].number == attempt);
                if let Some(key) = out {
                    self.attempt_over(key, Ending::Undone, Via::Unknown)?;
                }
            }
            Action::Timer { token, at } => {
                let life = self.places[gateway].life;
                self.plan(at.max(self.now + 1), Due::Timer { gateway, life, token });
            }
            Action::Subscribe { .. } | Action::Connections { .. } | Action::Share(_) => {}
        }
        Ok(())
    }

    fn final_answer(&mut self, id: u64, refused: bool, advice: Time) -> Result<(), Box<Breach>> {
        self.oracle.answered(id, refused, self.now)?;
        let Some(held) = self.requests.get_mut(&id).filter(|h| !h.ended) else { return Ok(()) };
        held.ended = true;
        let (asked, counted, out, never) = (held.asked, held.counted, held.out, held.within.is_none());
        let plan = &self.scenario.plans[asked.plan];
        let customer = &mut self.customers[asked.plan][asked.customer as usize];
        let room = refused && never && customer.has_room(plan, self.now);
        if room {
            let second = self.second();
            report::count(&mut self.report.quota, second, 3);
        }
        if counted && refused {
            self.report.refused += 1;
            self.report.refused_with_room += u64::from(room);
        } else if counted {
            self.report.failed += 1;
        }
        if let Some(key) = out {
            self.attempt_over(key, Ending::Undone, Via::Unknown)?;
        }
        self.again(asked, advice);
        Ok(())
    }

    // ---- Attempts ----

    fn send(&mut self, gateway: usize, id: u64, server: &Name, not_past: Time) -> Result<(), Box<Breach>> {
        let now = self.now;
        let known = self.numbers.get(server).copied();
        let told = known.and_then(|n| self.places[gateway].told[n]);
        let place = known.map_or((0, 0), |n| (self.sites[n].zone as u32, self.sites[n].cell));
        self.oracle.sent(id, server, place, told, now)?;
        let cut_off = known.is_some_and(|n| self.cut_off(gateway, n, true));
        let (Some(n), Some(held)) = (known, self.requests.get_mut(&id)) else { return Ok(()) };
        let (asked, counted, number) = (held.asked, held.counted, held.attempts);
        held.attempts += 1;
        let first = held.within.is_none();
        let (plan, second) =
            (&self.scenario.plans[asked.plan], Some(((now - START) / 1_000_000_000) as usize));
        if first {
            let customer = &mut self.customers[asked.plan][asked.customer as usize];
            let within = customer.take(plan, now);
            held.within = Some(within);
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
                self.oracle.drawn(number, 1.0, (plan.ceiling_rate, plan.ceiling_burst, slack), now)?;
            }
        }
        let deadline = held.deadline;
        report::count(&mut self.report.flow, second, flow::ATTEMPTS);
        if first {
            report::count(&mut self.report.flow, second, flow::FIRST);
        }
        if !self.sites[n].up || self.sites[n].server.refusing || cut_off {
            self.vain.count(&mut self.report.flow, second, n);
        }
        let key = self.next;
        self.next += 1;
        held.out = Some(key);
        let class = &self.scenario.classes[asked.class];
        let work = class.work(&mut self.rng);
        let idle_time = ns(self.scenario.servers.idle_s, SECOND);
        let site_life = self.sites[n].life;
        let place = &mut self.places[gateway];
        // The connection used last goes first; what has idled for too long is gone.
        place.idle[n].retain(|(_, since)| now < since + idle_time);
        let kept = place.idle[n].pop();
        place.used[n] += 1;
        let (zone, life) = (place.zone, place.life);
        let crosses = zone != self.sites[n].zone;
        if counted {
            self.report.attempts += 1;
            self.report.crossings += u64::from(crosses);
            self.report.connections += u64::from(kept.is_none());
        }
        let (way, back) = (self.way(gateway, n, true), self.way(gateway, n, false));
        let travel = if kept.is_some() { way } else { 2 * way + back };
        let attempt = Attempt {
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
        };
        self.attempts.insert(key, attempt);
        self.plan(now + travel, Due::Reach { attempt: key });
        let until = if not_past == 0 { deadline } else { not_past.min(deadline) };
        self.plan(until, Due::Expire { attempt: key });
        Ok(())
    }

    /// One way between a gateway and a server; `out` if it leads to the server.
    fn way(&self, gateway: usize, server: usize, out: bool) -> Time {
        let network = &self.scenario.network;
        let near = self.places[gateway].zone == self.sites[server].zone;
        let slow = self.struck(Trouble::Delay, gateway, server, out).map(|fault| fault.factor).sum::<f64>();
        ns(if near { network.near_ms } else { network.far_ms } + slow, MS)
    }

    /// The faults of a kind on the way between a gateway and a server.
    fn struck(
        &self,
        kind: Trouble,
        gateway: usize,
        server: usize,
        out: bool,
    ) -> impl Iterator<Item = &Fault> {
        let of = self.links.iter().filter(move |(_, link)| link.server(gateway, server, out));
        of.map(|(n, _)| &self.scenario.faults[*n]).filter(move |fault| fault.kind == kind)
    }

    /// Whether nothing passes from a gateway to a server, or back.
    fn cut_off(&self, gateway: usize, server: usize, out: bool) -> bool {
        self.sites[server].silent || self.struck(Trouble::Cut, gateway, server, out).next().is_some()
    }

    fn reach(&mut self, key: u64) -> Result<(), Box<Breach>> {
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
        let way = self.way(gateway, n, false);
        let reset = self.struck(Trouble::Reset, gateway, n, true).next().is_some();
        let site = &mut self.sites[n];
        let via = if fresh { Via::Fresh } else { Via::Kept };
        let refused = |ending, via| Due::End { attempt: key, ending, via };
        if reset || !site.up || site.life != server_life {
            let due = match (fresh, site.up && !reset) {
                (false, _) => refused(Ending::Cut, Via::Kept),
                (true, _) => refused(Ending::NoRoute, Via::Refused),
            };
            self.plan(self.now + way, due);
            return Ok(());
        }
        if let Some(a) = self.attempts.get_mut(&key) {
            a.there = true;
        }
        let told = self.places[gateway].told_start[n] == site.started;
        site.work[0] += work as f64;
        site.work[1] += if told { work as f64 } else { 0.0 };
        let handshake = if fresh { ns(self.scenario.servers.handshake_ms, MS) } else { 0 };
        let taken = site.server.take(key, work + handshake, self.now);
        if site.server.fallen && !site.reported {
            site.reported = true;
            let (name, part) = (site.name.clone(), site.work[1] / site.work[0].max(1.0));
            self.report.fallen += 1;
            Oracle::fell(&name, part, self.now)?;
        }
        let (server, life) = (n, self.sites[n].life);
        match taken {
            Taken::Begun(at) => self.plan(at, Due::Done { server, life, attempt: key }),
            Taken::Waits => {}
            Taken::Away => {
                let second = self.second();
                report::count(&mut self.report.flow, second, flow::AWAY);
                self.plan(self.now + way, Due::End { attempt: key, ending: Ending::Full, via });
            }
        }
        Ok(())
    }

    fn done(&mut self, n: usize, life: u32, key: u64) {
        let site = &mut self.sites[n];
        if site.life != life || !site.up {
            return;
        }
        if let Some((next, at)) = site.server.done(self.now) {
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
        let fails = self.sites[n].fails;
        let fault = fails > 0.0 && self.rng.random::<f64>() < fails;
        let ending = if fault { Ending::Fault } else { Ending::Pass };
        let via = if fresh { Via::Fresh } else { Via::Kept };
        self.plan(self.now + self.way(gateway, n, false), Due::End { attempt: key, ending, via });
    }

    fn ended(&mut self, key: u64, ending: Ending, via: Via) -> Result<(), Box<Breach>> {
        let Some(a) = self.attempts.get(&key) else { return Ok(()) };
        if a.over {
            self.attempts.remove(&key);
            return Ok(());
        }
        let (gateway, life, n, server_life) = (a.gateway, a.life, a.server, a.server_life);
        let place = &mut self.places[gateway];
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

    fn expire(&mut self, key: u64) -> Result<(), Box<Breach>> {
        let Some(a) = self.attempts.get(&key).filter(|a| !a.over) else { return Ok(()) };
        // A connection that never came up has written nothing.
        let never = a.fresh && !a.there;
        let counted = self.requests.get(&a.request).is_some_and(|h| h.counted);
        self.report.late_ends += u64::from(counted);
        self.attempt_over(key, if never { Ending::NoRoute } else { Ending::Late }, Via::Unknown)
    }

    /// An attempt is over for its gateway, whatever its server still does.
    fn attempt_over(&mut self, key: u64, ending: Ending, via: Via) -> Result<(), Box<Breach>> {
        let Some(a) = self.attempts.get_mut(&key) else { return Ok(()) };
        a.over = true;
        let (id, gateway, life, number, n, sent) = (a.request, a.gateway, a.life, a.number, a.server, a.sent);
        if self.places[gateway].life != life {
            return Ok(());
        }
        let now = self.now;
        let place = &mut self.places[gateway];
        place.used[n] = place.used[n].saturating_sub(1);
        let links = place.idle[n].len() as u32 + place.used[n];
        self.oracle.over(id, ending, now);
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
            self.oracle.answered(id, false, now)?;
            self.served(asked, at, counted, within);
        }
        let server = self.sites[n].name.clone();
        let end = AttemptEnd {
            id,
            attempt: number,
            server,
            ending,
            last,
            spent: false,
            elapsed: now - sent,
            settled: 0.0,
            metered,
            load: None,
            via,
            links,
        };
        self.tell(gateway, life, Event::AttemptEnd(end));
        Ok(())
    }

    fn served(&mut self, asked: Asked, at: Time, counted: bool, within: Option<bool>) {
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
        let second = ((at - START) / 1_000_000_000) as usize;
        self.report.seconds[second][1] += 1;
        report::add(&mut self.report.work, Some(second), 1, class.work_ms);
        if within == Some(true) {
            self.worth[0] += class.points * self.scenario.plans[asked.plan].worth;
        }
    }

    // ---- The list and the meter ----

    /// All that a gateway is told at its start.
    fn hello(&mut self, gateway: usize) {
        let nodes: Vec<Node> = (0..self.sites.len())
            .filter(|n| self.sites[*n].health != Health::Removed)
            .map(|n| self.node(n))
            .collect();
        let now = self.now;
        for (n, site) in self.sites.iter().enumerate() {
            let place = &mut self.places[gateway];
            place.told_start[n] = site.started;
            place.told[n] = match site.health {
                Health::Up => Some(None),
                Health::Draining => Some(Some(now)),
                Health::Removed => None,
            };
        }
        let life = self.places[gateway].life;
        self.tell(gateway, life, Event::Fleet { seq: 1, scope: Scope::Full, nodes });
    }

    fn node(&self, n: usize) -> Node {
        let site = &self.sites[n];
        Node {
            name: site.name.clone(),
            zone: site.zone as u32,
            cell: site.cell,
            health: site.health,
            rating: 1.0,
            since: site.started,
        }
    }

    /// A server's entry has changed: each gateway hears of it a little later, or when the list is back.
    fn announce(&mut self, server: usize) {
        let (health, started) = (self.sites[server].health, self.sites[server].started);
        let most = ns(self.scenario.network.list_ms, MS).max(1);
        for gateway in 0..self.places.len() {
            let from = self.list_down.unwrap_or(self.now).max(self.now);
            let at = from + self.rng.random_range(0..most);
            let life = self.places[gateway].life;
            self.plan(at, Due::Tell { gateway, life, server, health, started });
        }
    }

    fn told(&mut self, gateway: usize, life: u32, server: usize, health: Health, started: Time) {
        let now = self.now;
        let place = &mut self.places[gateway];
        if place.life != life {
            return;
        }
        place.told_start[server] = started;
        place.told[server] = match health {
            Health::Up => Some(None),
            // A server that is told so twice was told so the first time; a gateway that stands still hears of it later.
            _ => Some(place.told[server].flatten().or(Some(now.max(place.still)))),
        };
        if health == Health::Removed {
            place.idle[server].clear();
        }
        let node = Node { health, since: started, ..self.node(server) };
        self.tell(gateway, life, Event::Fleet { seq: 1, scope: Scope::Changes, nodes: vec![node] });
    }

    fn meter(&mut self) {
        self.plan(self.now + METER, Due::Meter);
        if (self.now - START) % 1_000_000_000 == METER {
            let up = self.sites.iter().filter(|site| site.up && !site.silent && site.health == Health::Up);
            let each = up.map(|site| site.server.cores(self.now));
            let sum = each.fold([0.0; 2], |sum, one| [sum[0] + one[0], sum[1] + one[1]]);
            self.report.cores.push(sum.map(|cores| (cores * 100.0).round() / 100.0));
        }
        let on = !self.meter_down;
        for (plan, customers) in self.scenario.plans.iter().zip(&mut self.customers) {
            customers.iter_mut().for_each(|customer| customer.meter(plan, on));
        }
    }

    // ---- Faults ----

    fn begin(&mut self, number: usize) {
        let scenario = self.scenario;
        let fault = &scenario.faults[number];
        let struck = scenario.strikes(fault, &mut self.rng);
        match fault.kind {
            Trouble::Kill => struck.iter().for_each(|n| self.server_down(*n, true)),
            Trouble::Silent => struck.iter().for_each(|n| self.sites[*n].silent = true),
            Trouble::Slow => struck.iter().for_each(|n| self.sites[*n].server.slow = fault.factor),
            Trouble::Fail => struck.iter().for_each(|n| self.sites[*n].fails = fault.factor),
            Trouble::Refuse => struck.iter().for_each(|n| self.sites[*n].server.refusing = true),
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
                if let Some(Ok(link)) = fault.link(scenario) {
                    let struck = link.strike(scenario, &mut self.rng);
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

    fn finish(&mut self, number: usize) {
        let scenario = self.scenario;
        let fault = &scenario.faults[number];
        let struck = std::mem::take(&mut self.struck[number]);
        match fault.kind {
            Trouble::Kill => struck.iter().for_each(|n| self.server_up(*n)),
            Trouble::Silent => struck.iter().for_each(|n| self.sites[*n].silent = false),
            Trouble::Slow => struck.iter().for_each(|n| self.sites[*n].server.slow = 1.0),
            Trouble::Fail => struck.iter().for_each(|n| self.sites[*n].fails = 0.0),
            Trouble::Refuse => struck.iter().for_each(|n| self.sites[*n].server.refusing = false),
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
    fn server_down(&mut self, n: usize, first: bool) {
        let drains = first && self.drains(n);
        let site = &mut self.sites[n];
        if drains && site.health == Health::Up {
            site.health = Health::Draining;
            site.server.draining = true;
            self.announce(n);
            self.plan(self.now + DRAIN, Due::ServerDown { server: n });
            self.plan(self.now + DRAIN + AWAY, Due::ServerUp { server: n });
            return;
        }
        if !site.up {
            return;
        }
        (site.up, site.health) = (false, Health::Removed);
        site.life += 1;
        self.announce(n);
        // Connections are reset under what was out.
        let mut hit: Vec<u64> =
            self.attempts.iter().filter(|(_, a)| a.server == n && a.there).map(|(key, _)| *key).collect();
        hit.sort_unstable();
        for key in hit {
            let way = self.way(self.attempts[&key].gateway, n, false);
            self.plan(self.now + way, Due::End { attempt: key, ending: Ending::Cut, via: Via::Kept });
        }
    }

    /// Whether a release is under way that strikes the server.
    fn drains(&self, n: usize) -> bool {
        let faults = self.scenario.faults.iter().zip(&self.struck);
        faults.filter(|(f, _)| f.kind == Trouble::Release).any(|(_, struck)| struck.contains(&n))
    }

    fn server_up(&mut self, n: usize) {
        let now = self.now;
        let site = &mut self.sites[n];
        if site.up {
            return;
        }
        (site.up, site.health, site.started) = (true, Health::Up, now);
        site.life += 1;
        (site.work, site.reported) = ([0.0; 2], false);
        site.server.restart(now);
        self.announce(n);
    }

    /// The requests that a gateway has not ended.
    fn open(&self, gateway: usize) -> Vec<u64> {
        let open = self.requests.iter().filter(|(_, h)| h.gateway == gateway && !h.ended);
        let mut held: Vec<u64> = open.map(|(id, _)| *id).collect();
        held.sort_unstable();
        held
    }

    /// A gateway stands still, and then goes on with all that came meanwhile.
    fn pause(&mut self, n: usize, span: Time) {
        self.open(n).into_iter().for_each(|id| self.oracle.excuse(id));
        let until = self.now + span;
        let place = &mut self.places[n];
        place.still = place.still.max(until);
    }

    /// Connections over the link are reset under what is out.
    fn reset(&mut self, struck: &Struck) {
        let over = |a: &Attempt| a.there && struck.server(a.gateway, a.server, true);
        let mut hit: Vec<u64> = self.attempts.iter().filter(|(_, a)| over(a)).map(|(key, _)| *key).collect();
        hit.sort_unstable();
        for key in hit {
            self.plan(self.now, Due::End { attempt: key, ending: Ending::Cut, via: Via::Kept });
        }
        for (gateway, place) in self.places.iter_mut().enumerate() {
            let kept = place.idle.iter_mut().enumerate();
            kept.filter(|(n, _)| struck.server(gateway, *n, true)).for_each(|(_, idle)| idle.clear());
        }
    }

    fn gateway_down(&mut self, n: usize) {
        let place = &mut self.places[n];
        if !place.up {
            return;
        }
        place.up = false;
        place.life += 1;
        place.pending.clear();
        place.round_at = None;
        place.idle.iter_mut().for_each(Vec::clear);
        place.used.fill(0);
        // What it held is its clients' to repeat.
        for id in self.open(n) {
            self.oracle.left(id);
            let Some(h) = self.requests.remove(&id) else { continue };
            self.report.gone += u64::from(h.counted);
            if let Some(a) = h.out.and_then(|key| self.attempts.get_mut(&key)) {
                a.over = true;
            }
            self.again(h.asked, 0);
        }
        self.plan(self.now + GATEWAY_DOWN, Due::GatewayUp { gateway: n });
    }

    fn gateway_up(&mut self, n: usize) {
        let seed = self.rng.random();
        let place = &self.places[n];
        let settings = self.scenario.settings(n as u32, place.zone as u32);
        let decider = (self.maker)(settings, seed, self.now);
        let place = &mut self.places[n];
        place.decider = decider;
        place.up = true;
        place.told.fill(None);
        self.hello(n);
    }
}
