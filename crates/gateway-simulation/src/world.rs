//! One play as a discrete-event simulation: events run in the order of their time, and events of the same
//! time in the order in which they were scheduled.

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
use crate::report::{response_time_histogram, FutileAttempts, Report};
use crate::scenario::Scenario;
use crate::units::{ns, METER_PERIOD_NS, SECOND, START_NS};
pub use crate::world::decider::Decider;
use crate::world::decider::DeciderFactory;
use crate::world::state::{Attempt, GatewayState, OpenRequest, ScheduledEvent, ServerState};
use gateway_decisions::{Action, Event, Gateway, Name, Settings, Time};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Plays a scenario once with the real decision logic.
pub fn play(scenario: &Scenario, seed: u64) -> Result<Report, Box<Breach>> {
    play_with(scenario, seed, |settings, seed, now| {
        // The check of the scenario is stricter than that of the gateway's settings.
        Box::new(Gateway::new(settings, seed, now).unwrap_or_else(|e| unreachable!("{e}")))
    })
}

/// Plays a scenario once as [`play`] does, with the caller's deciders.
pub fn play_with<'a>(
    scenario: &'a Scenario,
    seed: u64,
    decider: impl Fn(Settings, u64, Time) -> Box<dyn Decider> + 'a,
) -> Result<Report, Box<Breach>> {
    World::new(scenario, seed, Box::new(decider)).play()
}

/// The state of a play with its event queue.
struct World<'a> {
    scenario: &'a Scenario,
    new_decider: DeciderFactory<'a>,
    rng: ChaCha8Rng,
    now: Time,
    end: Time,
    /// Requests that arrive before this time are not counted.
    counted_from: Time,
    /// Number of events scheduled so far, which orders events of the same time.
    scheduled_count: u64,
    /// Time, sequence number and slot in `events` of each scheduled event.
    queue: BinaryHeap<Reverse<(Time, u64, usize)>>,
    events: Vec<Option<ScheduledEvent>>,
    /// Free slots in `events`.
    free_slots: Vec<usize>,
    gateways: Vec<GatewayState>,
    servers: Vec<ServerState>,
    /// Index of each server by name.
    server_indices: HashMap<Name, usize>,
    /// Customers by plan.
    customers: Vec<Vec<Customer>>,
    requests: HashMap<u64, OpenRequest>,
    attempts: HashMap<u64, Attempt>,
    /// The next id of a request or key of an attempt.
    next_id: u64,
    /// The product of the factors of active floods.
    demand_factor: f64,
    meter_down: bool,
    list_down_until: Option<Time>,
    /// Active faults on links, with their index in the scenario.
    link_faults: Vec<(usize, AffectedLinks)>,
    /// The servers or gateways that each of the scenario's faults affects now.
    targets: Vec<Vec<usize>>,
    oracle: Oracle,
    report: Report,
    futile_attempts: FutileAttempts,
    response_times: Histogram<u64>,
    /// The value of requests within quota: served in time, and in total.
    value: [f64; 2],
    /// Work that servers completed: for answers that arrived, and in total.
    finished_work: [f64; 2],
    actions: Vec<Action>,
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, seed: u64, new_decider: DeciderFactory<'a>) -> Self {
        let parameters = scenario.server_parameters();
        let count = scenario.servers.count as usize;
        let servers: Vec<ServerState> =
            (0..count).map(|n| ServerState::new(scenario, n, parameters)).collect();
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
            scheduled_count: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            free_slots: Vec::new(),
            gateways: Vec::new(),
            server_indices: servers.iter().enumerate().map(|(n, server)| (server.name.clone(), n)).collect(),
            servers,
            customers: scenario
                .plans
                .iter()
                .map(|p| vec![Customer::new(p.depth, START_NS); p.customers as usize])
                .collect(),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            next_id: 1,
            demand_factor: 1.0,
            meter_down: false,
            list_down_until: None,
            link_faults: Vec::new(),
            targets: vec![Vec::new(); scenario.faults.len()],
            report: Report {
                scenario: scenario.name.clone(),
                seed,
                seconds: vec![[0; 2]; seconds],
                ..Report::default()
            },
            futile_attempts: FutileAttempts::default(),
            response_times: response_time_histogram(),
            value: [0.0; 2],
            finished_work: [0.0; 2],
            actions: Vec::new(),
            scenario,
            new_decider,
        };
        world.start_gateways();
        for plan in 0..scenario.plans.len() {
            world.schedule_arrival(plan);
        }
        world.schedule_faults();
        world.schedule(START_NS + METER_PERIOD_NS, ScheduledEvent::MeterPeriodEnds);
        world
    }

    fn start_gateways(&mut self) {
        for n in 0..self.scenario.gateways.count as usize {
            let zone = self.scenario.zone_of_gateway(n);
            let seed = self.rng.random();
            let settings = self.scenario.settings(n as u32, zone as u32);
            let decider = (self.new_decider)(settings, seed, START_NS);
            self.gateways.push(GatewayState::new(zone, decider, self.servers.len()));
            self.send_full_list(n);
        }
    }

    fn schedule_faults(&mut self) {
        for (n, fault) in self.scenario.faults.iter().enumerate() {
            let at = START_NS + ns(fault.at_s, SECOND);
            self.schedule(at, ScheduledEvent::FaultBegins { fault: n });
            self.schedule(at + ns(fault.for_s, SECOND), ScheduledEvent::FaultEnds { fault: n });
        }
    }

    // ---- Event queue ----

    fn schedule(&mut self, at: Time, event: ScheduledEvent) {
        let slot = match self.free_slots.pop() {
            Some(slot) => {
                self.events[slot] = Some(event);
                slot
            }
            None => {
                self.events.push(Some(event));
                self.events.len() - 1
            }
        };
        self.scheduled_count += 1;
        self.queue.push(Reverse((at.max(self.now), self.scheduled_count, slot)));
    }

    fn play(mut self) -> Result<Report, Box<Breach>> {
        while let Some(Reverse((at, _, slot))) = self.queue.pop() {
            if at > self.end {
                break;
            }
            self.now = at;
            self.report.events += 1;
            let event = self.events[slot].take();
            self.free_slots.push(slot);
            if let Some(event) = event {
                self.handle(event)?;
            }
        }
        let report = &mut self.report;
        // Rounded to nine digits, so that a report is the same after it is written and read again.
        let share = |[part, all]: [f64; 2]| if all > 0.0 { (part / all * 1e9).round() / 1e9 } else { 0.0 };
        let wasted = [self.finished_work[1] - self.finished_work[0], self.finished_work[1]];
        (report.worth, report.wasted) = (share(self.value), share(wasted));
        report.p50_ms = self.response_times.value_at_quantile(0.5) as f64 / 1000.0;
        report.p99_ms = self.response_times.value_at_quantile(0.99) as f64 / 1000.0;
        Ok(self.report)
    }

    fn handle(&mut self, event: ScheduledEvent) -> Result<(), Box<Breach>> {
        match event {
            ScheduledEvent::Arrival { plan } => {
                self.schedule_arrival(plan);
                let customer = self.rng.random_range(0..self.scenario.plans[plan].customers);
                let class = self.scenario.class(self.rng.random());
                self.receive_request(ClientRequest { plan, class, customer, repeats: 0 });
            }
            ScheduledEvent::ClientRetry { client_request } => self.receive_request(client_request),
            ScheduledEvent::DecisionRound { gateway, incarnation } => {
                self.decision_round(gateway, incarnation)?;
            }
            ScheduledEvent::Timer { gateway, incarnation, token } => {
                self.push_event(gateway, incarnation, Event::Timer { token });
            }
            ScheduledEvent::AttemptArrival { attempt } => self.attempt_arrives(attempt)?,
            ScheduledEvent::WorkDone { server, incarnation, attempt } => {
                self.work_done(server, incarnation, attempt);
            }
            ScheduledEvent::AttemptResult { attempt, ending, via } => {
                self.attempt_result(attempt, ending, via)?;
            }
            ScheduledEvent::AttemptExpiry { attempt } => self.attempt_expires(attempt)?,
            ScheduledEvent::ClientLeaves { request } => self.client_leaves(request),
            ScheduledEvent::RequestTimeOver { request } => {
                self.oracle.deadline_reached(request, self.now)?;
                self.requests.remove(&request);
            }
            ScheduledEvent::ListUpdate { gateway, incarnation, server, health, started } => {
                self.send_list_update(gateway, incarnation, server, health, started);
            }
            ScheduledEvent::GatewayUp { gateway } => self.gateway_up(gateway),
            ScheduledEvent::GatewayDown { gateway } => self.gateway_down(gateway),
            ScheduledEvent::ServerDown { server } => self.server_down(server, true),
            ScheduledEvent::ServerUp { server } => self.server_up(server),
            ScheduledEvent::FaultBegins { fault } => self.begin_fault(fault),
            ScheduledEvent::FaultEnds { fault } => self.end_fault(fault),
            ScheduledEvent::MeterPeriodEnds => self.meter_period_ends(),
        }
        Ok(())
    }

    /// The current second of the play.
    fn second(&self) -> Option<usize> {
        Some(((self.now - START_NS) / 1_000_000_000) as usize)
    }
}
