//! Plays of the built-in scenarios with the real decision logic, checks of the oracle with faulty deciders,
//! and checks of the server model against queueing theory.

use gateway_decisions::{Action, Event, Gateway, Settings, Time};
use gateway_simulation::server::{Admission, Server, ServerParameters};
use gateway_simulation::{play, play_all, play_with, Decider, Rule, Scenario, CATALOGUE};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BinaryHeap, VecDeque};

fn scenario(name: &str) -> Scenario {
    let text = CATALOGUE.iter().find(|(n, _)| *n == name).expect("the scenario is in the catalogue").1;
    Scenario::parse(text.as_bytes()).unwrap_or_else(|e| panic!("{e}"))
}

/// Returns a scenario with fewer gateways, servers and customers, fast enough for an unoptimized build.
fn small(name: &str) -> Scenario {
    let mut s = scenario(name);
    s.gateways.count = s.gateways.count.min(12);
    s.servers.count = 12;
    s.plans.iter_mut().for_each(|p| p.customers = (p.customers / 5).max(4));
    s
}

#[test]
fn every_scenario_parses_states_its_claim_and_violates_no_rule() {
    for (name, _) in CATALOGUE {
        let s = small(name);
        assert!(s.name == *name && s.claim.len() > 20, "{name}");
        let report = play(&s, 7).unwrap_or_else(|breach| panic!("{name}: {breach}"));
        let ends = report.on_time + report.late + report.refused + report.failed + report.gone;
        assert!(report.requests > 1000 && report.worth > 0.3, "{name}: {report:?}");
        assert!(
            ends <= report.requests && ends + 200 > report.requests,
            "{name}: each request ends once: {report:?}"
        );
    }
}

#[test]
fn report_depends_on_the_seed_but_not_on_the_number_of_threads() {
    let mut s = small("herd");
    s.seconds = 16.0;
    let text = |r: &Result<gateway_simulation::Report, Box<gateway_simulation::Breach>>| {
        serde_json::to_string(r.as_ref().expect("no breach")).expect("JSON")
    };
    let seeds: Vec<u64> = vec![1, 2, 1, 2, 1, 3];
    let parallel: Vec<String> = play_all(&s, &seeds).iter().map(text).collect();
    let single_threaded = with_threads(1, || play_all(&s, &seeds).iter().map(text).collect::<Vec<_>>());
    assert_eq!(parallel, single_threaded);
    assert_eq!((&parallel[0], &parallel[1]), (&parallel[2], &parallel[3]));
    assert!(parallel[0] != parallel[1] && parallel[1] != parallel[5]);
}

fn with_threads<T: Send>(threads: usize, work: impl FnOnce() -> T + Send) -> T {
    rayon::ThreadPoolBuilder::new().num_threads(threads).build().expect("a pool").install(work)
}

// ---- The oracle ----

/// The real decision logic, whose actions are changed to violate a rule.
struct FaultyDecider {
    gateway: Gateway,
    /// The rule to violate.
    rule: Rule,
    /// Request, server and time of each attempt.
    sent: Vec<(u64, std::sync::Arc<str>, Time)>,
    /// A draining server, and when its draining was announced.
    drained: Option<(std::sync::Arc<str>, Time)>,
}

impl Decider for FaultyDecider {
    fn handle(&mut self, now: Time, events: Vec<Event>, out: &mut Vec<Action>) {
        for event in &events {
            if let Event::Fleet { nodes, .. } = event {
                let drains = nodes.iter().find(|n| n.health == gateway_decisions::Health::Draining);
                self.drained = drains.map(|n| (n.name.clone(), now)).or(self.drained.take());
            }
        }
        let first = out.len();
        self.gateway.handle(now, events, out);
        let mut extra_actions = Vec::new();
        for action in &mut out[first..] {
            if let Action::Send { id, server, attempt_deadline } = action {
                let again =
                    Action::Send { id: *id, server: server.clone(), attempt_deadline: *attempt_deadline };
                self.sent.push((*id, server.clone(), now));
                match self.rule {
                    Rule::Attempts => extra_actions.push(again),
                    Rule::Invented => *id += 1 << 60,
                    Rule::Listed => *server = "s-nobody".into(),
                    Rule::Drains => {
                        if let Some((drained, at)) = &self.drained {
                            if now > at + 600_000_000 {
                                *server = drained.clone();
                            }
                        }
                    }
                    Rule::OneAnswer => {
                        extra_actions.push(Action::Fail { id: *id });
                        extra_actions.push(again);
                    }
                    _ => {}
                }
            }
        }
        if self.rule == Rule::Effects {
            // Every request is refused right after its attempt is sent, although the attempt may run.
            let sent: Vec<u64> = self.sent.drain(..).map(|(id, ..)| id).collect();
            extra_actions.extend(sent.into_iter().map(|id| Action::Reject { id, retry_after: 0 }));
        }
        out.extend(extra_actions);
    }
}

/// A decider that sends all requests to the most recently started server.
#[derive(Default)]
struct NewestServerDecider {
    up: std::collections::BTreeMap<std::sync::Arc<str>, Time>,
}

impl Decider for NewestServerDecider {
    fn handle(&mut self, _: Time, events: Vec<Event>, out: &mut Vec<Action>) {
        for event in events {
            match event {
                Event::Fleet { nodes, .. } => {
                    for node in nodes {
                        match node.health {
                            gateway_decisions::Health::Up => self.up.insert(node.name, node.since),
                            _ => self.up.remove(&node.name),
                        };
                    }
                }
                Event::Request(r) => {
                    let latest = self.up.iter().max_by_key(|(_, since)| **since);
                    let server = latest.expect("a list comes first").0.clone();
                    out.push(Action::Send { id: r.id, server, attempt_deadline: r.deadline });
                }
                Event::AttemptEnd(e) if !e.request_finished => out.push(Action::Fail { id: e.id }),
                _ => {}
            }
        }
    }
}

#[test]
fn oracle_finds_a_violation_of_each_rule_with_its_trace() {
    let mut s = small("release");
    s.seconds = 20.0;
    let faulty = |rule: Rule| {
        move |settings: Settings, seed, now| -> Box<dyn Decider> {
            let gateway = Gateway::new(settings, seed, now).expect("good settings");
            Box::new(FaultyDecider { gateway, rule, sent: Vec::new(), drained: None })
        }
    };
    for rule in [Rule::Attempts, Rule::Invented, Rule::Listed, Rule::Drains, Rule::OneAnswer, Rule::Effects] {
        let breach = play_with(&s, 3, faulty(rule)).expect_err("the decider violates the rule");
        assert_eq!(breach.rule, rule, "{breach}");
        assert!(rule == Rule::Invented || breach.trace.len() >= 2, "{breach}");
    }
    let newest_server = |_: Settings, _, _| -> Box<dyn Decider> { Box::new(NewestServerDecider::default()) };
    s.plans[0].ceiling_rate = 0.5;
    s.plans[0].ceiling_burst = 1.0;
    let breach = play_with(&s, 3, newest_server).expect_err("the decider ignores ceilings");
    assert_eq!(breach.rule, Rule::Ceiling, "{breach}");
    let mut s = small("release");
    s.servers.cold_from = 0.02;
    // One server at a time gets all requests of the fleet.
    s.servers.fall_s = 0.2;
    let breach =
        play_with(&s, 3, newest_server).expect_err("all gateways send to the server that has just started");
    assert_eq!(breach.rule, Rule::Cold, "{breach}");
    let unresponsive = |_: Settings, _, _| -> Box<dyn Decider> { Box::new(UnresponsiveDecider) };
    let breach = play_with(&s, 3, unresponsive).expect_err("the decider answers no request");
    assert_eq!(breach.rule, Rule::OneAnswer, "{breach}");
}

/// A decider that never acts.
struct UnresponsiveDecider;

impl Decider for UnresponsiveDecider {
    fn handle(&mut self, _: Time, _: Vec<Event>, _: &mut Vec<Action>) {}
}

// ---- Queueing theory ----

/// Simulates a server under Poisson arrivals. Returns the share of requests that waited, and the mean waiting
/// time of all requests in units of the mean work.
fn waiting_share_and_mean(cores: u32, load: f64, exponential: bool, count: usize) -> (f64, f64) {
    let build = ServerParameters {
        cores,
        queue_capacity: u32::MAX,
        warm_up_time: 0,
        warm_up_from: 1.0,
        overload_tolerance: 1,
        overload_multiple: 1e9,
    };
    let mut server = Server::new(build);
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let mean = 1_000_000.0;
    let mut draw = |scale: f64| -> f64 { -(1.0 - rng.random::<f64>()).ln() * scale };
    let (mut now, mut waited, mut sum) = (0.0, 0usize, 0.0);
    // End times of requests in service, the earliest first, and arrival times of queued requests.
    let mut ends: BinaryHeap<std::cmp::Reverse<u64>> = BinaryHeap::new();
    let mut queue: VecDeque<u64> = VecDeque::new();
    for n in 0..count {
        now += draw(mean / (load * f64::from(cores)));
        while let Some(end) = ends.peek().map(|e| e.0).filter(|end| *end as f64 <= now) {
            ends.pop();
            if let Some((_, at)) = server.complete(end) {
                let arrived = queue.pop_front().expect("the request is queued");
                sum += (end - arrived) as f64;
                ends.push(std::cmp::Reverse(at));
            }
        }
        let work = if exponential { draw(mean) } else { mean };
        match server.admit(n as u64, work as u64, now as u64) {
            Admission::Started(at) => ends.push(std::cmp::Reverse(at)),
            Admission::Queued => {
                waited += 1;
                queue.push_back(now as u64);
            }
            Admission::Rejected => panic!("the queue has no limit"),
        }
    }
    (waited as f64 / count as f64, sum / count as f64 / mean)
}

/// Erlang's C formula: the probability that a request waits, by the number of cores and the load of each.
fn erlang_c(cores: u32, load: f64) -> f64 {
    let offered = load * f64::from(cores);
    let blocked = (1..=cores).fold(1.0, |b, n| offered * b / (f64::from(n) + offered * b));
    blocked / (1.0 - load * (1.0 - blocked))
}

#[test]
fn waiting_times_match_queueing_theory() {
    for (cores, load) in [(1, 0.5), (4, 0.7), (8, 0.85)] {
        let (share, mean) = waiting_share_and_mean(cores, load, true, 400_000);
        let expected = erlang_c(cores, load);
        let wait = expected / (f64::from(cores) * (1.0 - load));
        assert!((share / expected - 1.0).abs() < 0.05, "M/M/{cores} at {load}: {share} for {expected}");
        assert!((mean / wait - 1.0).abs() < 0.08, "M/M/{cores} at {load}: waits {mean} for {wait}");
    }
    for load in [0.5, 0.8] {
        let (_, mean) = waiting_share_and_mean(1, load, false, 400_000);
        let expected = load / (2.0 * (1.0 - load));
        assert!((mean / expected - 1.0).abs() < 0.05, "M/D/1 at {load}: waits {mean} for {expected}");
    }
}

// ---- Invalid scenarios ----

#[test]
fn rejects_invalid_scenarios_with_an_error_for_each_key() {
    let text = CATALOGUE[1].1;
    let invalid = text
        .replace("seconds = 40", "seconds = -1")
        .replace("count = 30\n", "count = 0\n")
        .replace("effect = \"unsafe\"", "effect = \"odd\"");
    let errors = Scenario::parse(invalid.as_bytes()).expect_err("the scenario is invalid").0;
    for what in
        ["seconds is -1", "servers.count is 0: a whole number from 1 to 2000", "classes[2].effect is \"odd\""]
    {
        assert!(errors.iter().any(|error| error.contains(what)), "{what} in {errors:?}");
    }
    let invalid = text
        .replace("kind = \"release\"", "kind = \"release\"\nzone = \"moon\"")
        .replace("uncounted_s = 5", "uncounted_s = 50")
        .replace("[gateways]\ncount = 30", "[gateways]\ncount = 2\nweights = [1]");
    let errors = Scenario::parse(invalid.as_bytes()).expect_err("the scenario is invalid").0;
    for what in [
        "faults[0].zone is \"moon\"",
        "uncounted_s is 50",
        "gateways.weights is [1]: 3",
        "plans[0].spread is 3: 2",
    ] {
        assert!(errors.iter().any(|error| error.contains(what)), "{what} in {errors:?}");
    }
}
