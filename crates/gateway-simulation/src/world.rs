//! One play: events in the order of their time, and of their planning where that is the same.

mod attempts;
mod clients;
mod decider;
mod faults;
mod gateways;
mod list;
mod state;

use crate::customer::{ClientRequest, Customer};
use crate::link::AffectedLinks;
use crate::oracle::{Allowed, Breach, Oracle};
use crate::report::{times, FutileAttempts, Report};
use crate::scenario::Scenario;
use crate::units::{ns, METER_PERIOD_NS, SECOND, START_NS};
pub use crate::world::decider::Decider;
use crate::world::decider::Maker;
use crate::world::state::{Attempt, Due, GatewayState, HeldRequest, ServerState};
use gateway_decisions::{Action, Event, Gateway, Name, Settings, Time};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

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

/// The systems of a play, and what is due.
struct World<'a> {
    scenario: &'a Scenario,
    maker: Maker<'a>,
    rng: ChaCha8Rng,
    now: Time,
    end: Time,
    counted_from: Time,
    planned: u64,
    queue: BinaryHeap<Reverse<(Time, u64, usize)>>,
    due: Vec<Option<Due>>,
    free: Vec<usize>,
    gateways: Vec<GatewayState>,
    servers: Vec<ServerState>,
    numbers: HashMap<Name, usize>,
    customers: Vec<Vec<Customer>>,
    requests: HashMap<u64, HeldRequest>,
    attempts: HashMap<u64, Attempt>,
    next: u64,
    flood: f64,
    meter_down: bool,
    list_down: Option<Time>,
    /// Faults on links, by their numbers.
    links: Vec<(usize, AffectedLinks)>,
    struck: Vec<Vec<usize>>,
    oracle: Oracle,
    report: Report,
    vain: FutileAttempts,
    times: Histogram<u64>,
    worth: [f64; 2],
    work: [f64; 2],
    actions: Vec<Action>,
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, seed: u64, maker: Maker<'a>) -> Self {
        let build = scenario.server_parameters();
        let count = scenario.servers.count as usize;
        let servers: Vec<ServerState> = (0..count).map(|n| ServerState::new(scenario, n, build)).collect();
        let settings = scenario.settings(0, 0);
        let allowed =
            settings.classes.iter().map(|c| Allowed { effect: c.effect, group: c.group, key_ttl: c.key_ttl });
        let seconds = scenario.seconds.ceil() as usize;
        let mut world = World {
            oracle: Oracle::new(allowed.collect(), scenario.gateways.tries),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: START_NS,
            end: START_NS + ns(scenario.seconds, SECOND),
            counted_from: START_NS + ns(scenario.uncounted_s, SECOND),
            planned: 0,
            queue: BinaryHeap::new(),
            due: Vec::new(),
            free: Vec::new(),
            gateways: Vec::new(),
            numbers: servers.iter().enumerate().map(|(n, server)| (server.name.clone(), n)).collect(),
            servers,
            customers: scenario
                .plans
                .iter()
                .map(|p| vec![Customer::new(p.depth, START_NS); p.customers as usize])
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
            vain: FutileAttempts::default(),
            times: times(),
            worth: [0.0; 2],
            work: [0.0; 2],
            actions: Vec::new(),
            scenario,
            maker,
        };
        world.start_gateways();
        for plan in 0..scenario.plans.len() {
            world.plan_arrival(plan);
        }
        world.plan_faults();
        world.plan(START_NS + METER_PERIOD_NS, Due::Meter);
        world
    }

    fn start_gateways(&mut self) {
        for n in 0..self.scenario.gateways.count as usize {
            let zone = self.scenario.zone_of_gateway(n);
            let seed = self.rng.random();
            let settings = self.scenario.settings(n as u32, zone as u32);
            let decider = (self.maker)(settings, seed, START_NS);
            self.gateways.push(GatewayState::new(zone, decider, self.servers.len()));
            self.tell_whole_list(n);
        }
    }

    fn plan_faults(&mut self) {
        for (n, fault) in self.scenario.faults.iter().enumerate() {
            let at = START_NS + ns(fault.at_s, SECOND);
            self.plan(at, Due::Begin { fault: n });
            self.plan(at + ns(fault.for_s, SECOND), Due::Finish { fault: n });
        }
    }

    // ---- The queue ----

    fn plan(&mut self, at: Time, due: Due) {
        let slot = match self.free.pop() {
            Some(slot) => {
                self.due[slot] = Some(due);
                slot
            }
            None => {
                self.due.push(Some(due));
                self.due.len() - 1
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
            let due = self.due[slot].take();
            self.free.push(slot);
            if let Some(due) = due {
                self.handle(due)?;
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

    fn handle(&mut self, due: Due) -> Result<(), Box<Breach>> {
        match due {
            Due::Arrival { plan } => {
                self.plan_arrival(plan);
                let customer = self.rng.random_range(0..self.scenario.plans[plan].customers);
                let class = self.scenario.class(self.rng.random());
                self.ask(ClientRequest { plan, class, customer, repeats: 0 });
            }
            Due::Again { asked } => self.ask(asked),
            Due::Round { gateway, life } => self.round(gateway, life)?,
            Due::Timer { gateway, life, token } => self.push_event(gateway, life, Event::Timer { token }),
            Due::Reach { attempt } => self.arrive(attempt)?,
            Due::Done { server, life, attempt } => self.work_done(server, life, attempt),
            Due::End { attempt, ending, via } => self.ended(attempt, ending, via)?,
            Due::Expire { attempt } => self.expire(attempt)?,
            Due::Leave { request } => self.client_leaves(request),
            Due::Over { request } => {
                self.oracle.deadline_reached(request, self.now)?;
                self.requests.remove(&request);
            }
            Due::Tell { gateway, life, server, health, started } => {
                self.tell_change(gateway, life, server, health, started);
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
        Some(((self.now - START_NS) / 1_000_000_000) as usize)
    }
}
