//! Plays of the catalogue with the real decisions, and what the oracle finds.

use gateway_decisions::{Action, Event, Gateway, Settings, Time};
use gateway_simulation::server::{Admission, Server, ServerParameters};
use gateway_simulation::{play, play_all, play_with, Decider, Rule, Scenario, CATALOGUE};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BinaryHeap, VecDeque};

fn scenario(name: &str) -> Scenario {
    let text = CATALOGUE.iter().find(|(n, _)| *n == name).expect("it is in the catalogue").1;
    Scenario::parse(text.as_bytes()).unwrap_or_else(|e| panic!("{e}"))
}

/// A shorter play of fewer gateways, for a build that is not optimized.
fn small(name: &str) -> Scenario {
    let mut s = scenario(name);
    s.gateways.count = s.gateways.count.min(12);
    s.servers.count = 12;
    s.plans.iter_mut().for_each(|p| p.customers = (p.customers / 5).max(4));
    s
}

#[test]
fn every_scenario_is_read_says_what_it_claims_and_breaks_no_rule() {
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
fn one_seed_gives_one_report_on_any_number_of_threads_and_another_seed_another() {
    let mut s = small("herd");
    s.seconds = 16.0;
    let text = |r: &Result<gateway_simulation::Report, Box<gateway_simulation::Breach>>| {
        serde_json::to_string(r.as_ref().expect("no breach")).expect("JSON")
    };
    let seeds: Vec<u64> = vec![1, 2, 1, 2, 1, 3];
    let many: Vec<String> = play_all(&s, &seeds).iter().map(text).collect();
    let one = rayon_of(1, || play_all(&s, &seeds).iter().map(text).collect::<Vec<_>>());
    assert_eq!(many, one);
    assert_eq!((&many[0], &many[1]), (&many[2], &many[3]));
    assert!(many[0] != many[1] && many[1] != many[5]);
}

fn rayon_of<T: Send>(threads: usize, work: impl FnOnce() -> T + Send) -> T {
    rayon::ThreadPoolBuilder::new().num_threads(threads).build().expect("a pool").install(work)
}

// ---- The oracle ----

/// The real decisions, spoilt.
struct Spoilt {
    gateway: Gateway,
    how: Rule,
    /// The request, server and time of sends.
    sent: Vec<(u64, std::sync::Arc<str>, Time)>,
    drained: Option<(std::sync::Arc<str>, Time)>,
}

impl Decider for Spoilt {
    fn handle(&mut self, now: Time, events: Vec<Event>, out: &mut Vec<Action>) {
        for event in &events {
            if let Event::Fleet { nodes, .. } = event {
                let drains = nodes.iter().find(|n| n.health == gateway_decisions::Health::Draining);
                self.drained = drains.map(|n| (n.name.clone(), now)).or(self.drained.take());
            }
        }
        let first = out.len();
        self.gateway.handle(now, events, out);
        let mut more = Vec::new();
        for action in &mut out[first..] {
            if let Action::Send { id, server, attempt_deadline } = action {
                let again =
                    Action::Send { id: *id, server: server.clone(), attempt_deadline: *attempt_deadline };
                self.sent.push((*id, server.clone(), now));
                match self.how {
                    Rule::Attempts => more.push(again),
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
                        more.push(Action::Fail { id: *id });
                        more.push(again);
                    }
                    _ => {}
                }
            }
        }
        if self.how == Rule::Effects {
            // Whatever was sent is refused at once, though it may run.
            let sent: Vec<u64> = self.sent.drain(..).map(|(id, ..)| id).collect();
            more.extend(sent.into_iter().map(|id| Action::Reject { id, retry_after: 0 }));
        }
        out.extend(more);
    }
}

/// A decider that sends all it gets to the server that has started last.
#[derive(Default)]
struct Blind {
    up: std::collections::BTreeMap<std::sync::Arc<str>, Time>,
}

impl Decider for Blind {
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
fn a_planted_breach_of_each_kind_is_found_with_what_led_to_it() {
    let mut s = small("release");
    s.seconds = 20.0;
    let spoil = |how: Rule| {
        move |settings: Settings, seed, now| -> Box<dyn Decider> {
            let gateway = Gateway::new(settings, seed, now).expect("good settings");
            Box::new(Spoilt { gateway, how, sent: Vec::new(), drained: None })
        }
    };
    for how in [Rule::Attempts, Rule::Invented, Rule::Listed, Rule::Drains, Rule::OneAnswer, Rule::Effects] {
        let breach = play_with(&s, 3, spoil(how)).expect_err("it is planted");
        assert_eq!(breach.rule, how, "{breach}");
        assert!(how == Rule::Invented || breach.trace.len() >= 2, "{breach}");
    }
    let blind = |_: Settings, _, _| -> Box<dyn Decider> { Box::new(Blind::default()) };
    s.plans[0].ceiling_rate = 0.5;
    s.plans[0].ceiling_burst = 1.0;
    let breach = play_with(&s, 3, blind).expect_err("it keeps no ceiling");
    assert_eq!(breach.rule, Rule::Ceiling, "{breach}");
    let mut s = small("release");
    s.servers.cold_from = 0.02;
    // Into one server at a time, all of a large fleet's requests.
    s.servers.fall_s = 0.2;
    let breach = play_with(&s, 3, blind).expect_err("all send to the server that has just started");
    assert_eq!(breach.rule, Rule::Cold, "{breach}");
    let silent = |_: Settings, _, _| -> Box<dyn Decider> { Box::new(Mute) };
    let breach = play_with(&s, 3, silent).expect_err("it answers nobody");
    assert_eq!(breach.rule, Rule::OneAnswer, "{breach}");
}

struct Mute;

impl Decider for Mute {
    fn handle(&mut self, _: Time, _: Vec<Event>, _: &mut Vec<Action>) {}
}

// ---- Closed forms ----

/// Waits at a server with so many cores under Poisson arrivals, in units of the mean work: how many waited, and for how
/// long on average over all.
fn waits(cores: u32, load: f64, exponential: bool, count: usize) -> (f64, f64) {
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
    // Ends of what is worked on, the soonest first, and arrivals of what waits.
    let mut ends: BinaryHeap<std::cmp::Reverse<u64>> = BinaryHeap::new();
    let mut queue: VecDeque<u64> = VecDeque::new();
    for n in 0..count {
        now += draw(mean / (load * f64::from(cores)));
        while let Some(end) = ends.peek().map(|e| e.0).filter(|end| *end as f64 <= now) {
            ends.pop();
            if let Some((_, at)) = server.complete(end) {
                let came = queue.pop_front().expect("it waits");
                sum += (end - came) as f64;
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
            Admission::Rejected => panic!("there is room"),
        }
    }
    (waited as f64 / count as f64, sum / count as f64 / mean)
}

/// Erlang's C: the chance to wait with so many cores at such a load of each.
fn erlang_c(cores: u32, load: f64) -> f64 {
    let offered = load * f64::from(cores);
    let blocked = (1..=cores).fold(1.0, |b, n| offered * b / (f64::from(n) + offered * b));
    blocked / (1.0 - load * (1.0 - blocked))
}

#[test]
fn a_server_waits_as_queueing_theory_says() {
    for (cores, load) in [(1, 0.5), (4, 0.7), (8, 0.85)] {
        let (chance, mean) = waits(cores, load, true, 400_000);
        let expected = erlang_c(cores, load);
        let wait = expected / (f64::from(cores) * (1.0 - load));
        assert!((chance / expected - 1.0).abs() < 0.05, "M/M/{cores} at {load}: {chance} for {expected}");
        assert!((mean / wait - 1.0).abs() < 0.08, "M/M/{cores} at {load}: waits {mean} for {wait}");
    }
    for load in [0.5, 0.8] {
        let (_, mean) = waits(1, load, false, 400_000);
        let expected = load / (2.0 * (1.0 - load));
        assert!((mean / expected - 1.0).abs() < 0.05, "M/D/1 at {load}: waits {mean} for {expected}");
    }
}

// ---- Scenarios that cannot be meant ----

#[test]
fn a_scenario_that_cannot_be_played_is_told_by_key_and_not_played() {
    let text = CATALOGUE[1].1;
    let bad = text
        .replace("seconds = 40", "seconds = -1")
        .replace("count = 30\n", "count = 0\n")
        .replace("effect = \"unsafe\"", "effect = \"odd\"");
    let told = Scenario::parse(bad.as_bytes()).expect_err("it is bad").0;
    for what in
        ["seconds is -1", "servers.count is 0: a whole number from 1 to 2000", "classes[2].effect is \"odd\""]
    {
        assert!(told.iter().any(|t| t.contains(what)), "{what} in {told:?}");
    }
    let bad = text
        .replace("kind = \"release\"", "kind = \"release\"\nzone = \"moon\"")
        .replace("uncounted_s = 5", "uncounted_s = 50")
        .replace("[gateways]\ncount = 30", "[gateways]\ncount = 2\nweights = [1]");
    let told = Scenario::parse(bad.as_bytes()).expect_err("it is bad").0;
    for what in [
        "faults[0].zone is \"moon\"",
        "uncounted_s is 50",
        "gateways.weights is [1]: 3",
        "plans[0].spread is 3: 2",
    ] {
        assert!(told.iter().any(|t| t.contains(what)), "{what} in {told:?}");
    }
}
