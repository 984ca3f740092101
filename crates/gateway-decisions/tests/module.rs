//! Tests of the decisions without the simulator: events in, actions out.

use gateway_decisions::*;

const MS: Time = 1_000_000;
const SEC: Time = 1_000_000_000;

fn settings() -> Settings {
    let keyed = Class { key_ttl: 2 * SEC, ..Class::new("confirm", SEC, 4 * SEC, Effect::Keyed, Group::Cell) };
    Settings {
        gateways: 2,
        classes: vec![
            Class::new("quote", SEC, 4 * SEC, Effect::Safe, Group::All),
            keyed,
            Class::new("order", SEC, 4 * SEC, Effect::Unsafe, Group::All),
        ],
        plans: vec![
            Plan::new("basic", 10.0, 20.0),
            Plan { value_factor: 2.0, ..Plan::new("gold", 10.0, 20.0) },
        ],
        meter_period: SEC,
        most_units: 8.0,
        warm_up_time: 10 * SEC,
        warm_up_from: 0.2,
        overload_tolerance: 2 * SEC,
        try_limit: 3,
        tick: MS,
        ..Settings::default()
    }
}

/// A gateway under test, with its clock and request ids.
struct Harness {
    gateway: Gateway,
    now: Time,
    next_id: u64,
    spread: u32,
}

impl Harness {
    fn new(settings: Settings, servers: usize) -> Harness {
        let gateway = Gateway::new(settings, 1, 100 * SEC).expect("settings in range");
        let mut harness = Harness { gateway, now: 100 * SEC, next_id: 1, spread: 1 };
        let nodes = (0..servers).map(|i| Harness::node(i, Health::Up)).collect();
        harness.handle(Event::Fleet { seq: 1, scope: Scope::Cached, nodes });
        harness
    }

    fn node(i: usize, health: Health) -> Node {
        Node { cell: i as u32, ..Node::new(&format!("s{i}"), health) }
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.gateway.handle(self.now, vec![event], &mut out);
        out
    }

    fn request(&mut self, class: usize, plan: usize, customer: &str, units: f64) -> (u64, Vec<Action>) {
        let id = self.next_id;
        self.next_id += 1;
        let deadline = self.now + 4 * SEC;
        let r = Request { spread: self.spread, ..Request::new(id, class, plan, customer, deadline, units) };
        (id, self.handle(Event::Request(r)))
    }

    fn end_attempt(&mut self, id: u64, attempt: u32, server: &str, ending: Ending) -> Vec<Action> {
        self.end_attempt_with(id, attempt, server, ending, 50 * MS, None)
    }

    fn end_attempt_with(
        &mut self,
        id: u64,
        attempt: u32,
        server: &str,
        ending: Ending,
        elapsed: Time,
        metered: Option<f64>,
    ) -> Vec<Action> {
        let last = ending == Ending::Pass;
        let server = server.into();
        let (settled, load) = (0.0, None);
        self.handle(Event::AttemptEnd(AttemptEnd {
            id,
            attempt,
            server,
            ending,
            request_finished: last,
            body_discarded: false,
            elapsed,
            actual_units: settled,
            metered_share: metered,
            load,
            via: Via::Unknown,
            open_connections: 0,
        }))
    }
}

fn sent_to(actions: &[Action]) -> Vec<String> {
    let name = |a: &Action| match a {
        Action::Send { server, .. } => Some(server.to_string()),
        _ => None,
    };
    actions.iter().filter_map(name).collect()
}

fn sends(actions: &[Action]) -> Vec<u64> {
    let id = |a: &Action| if let Action::Send { id, .. } = a { Some(*id) } else { None };
    actions.iter().filter_map(id).collect()
}

fn rejected(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { id: i, .. } if *i == id))
}

fn failed(actions: &[Action], id: u64) -> bool {
    actions.contains(&Action::Fail { id })
}

fn timer(actions: &[Action]) -> (u64, Time) {
    let found = actions.iter().find_map(|a| match a {
        Action::Timer { token, at } if *token > 1 => Some((*token, *at)),
        _ => None,
    });
    found.expect("a request's timer")
}

#[test]
fn sends_a_request_at_once_and_finishes_it_on_success() {
    let mut harness = Harness::new(settings(), 2);
    let (id, out) = harness.request(0, 0, "a", 1.0);
    let server = sent_to(&out).remove(0);
    assert!(harness.end_attempt(id, 0, &server, Ending::Pass).is_empty());
    assert!(
        harness.end_attempt(id, 0, &server, Ending::Fault).is_empty(),
        "a second end of the attempt is ignored"
    );
}

#[test]
fn serves_waiting_plans_by_weight() {
    let mut harness = Harness::new(settings(), 1);
    let mut in_flight = Vec::new();
    for i in 0..40 {
        let (_, out) = harness.request(0, i % 2, &format!("c{i}"), 1.0);
        in_flight.extend(sends(&out));
    }
    let waiting = 40 - in_flight.len();
    assert!(waiting > 20, "the capacity is a few attempts, {waiting} requests wait");
    let mut gold = 0;
    let mut served = 0;
    while served < 15 {
        let id = in_flight.remove(0);
        let out = harness.end_attempt_with(id, 0, "s0", Ending::Pass, 400 * MS, None);
        for next in sends(&out) {
            served += 1;
            gold += usize::from(next % 2 == 0);
            in_flight.push(next);
        }
    }
    assert!((9..=11).contains(&gold), "{gold} of {served} requests sent for the plan with twice the weight");
}

#[test]
fn units_in_flight_limit_sending_like_attempts() {
    let mut harness = Harness::new(settings(), 1);
    let sent = |harness: &mut Harness, units| {
        (0..8).filter(|i| !sends(&harness.request(0, 0, &format!("{units}{i}"), units).1).is_empty()).count()
    };
    let small = sent(&mut harness, 1.0);
    let mut harness = Harness::new(settings(), 1);
    let large = sent(&mut harness, 8.0);
    assert!(large < small, "{large} large and {small} small attempts in flight");
}

#[test]
fn quota_admits_its_burst_and_then_rejects_by_probability() {
    let mut harness = Harness::new(settings(), 40);
    let rejections = (0..60)
        .filter(|_| {
            let (id, out) = harness.request(0, 0, "a", 1.0);
            rejected(&out, id)
        })
        .count();
    assert!((30..=40).contains(&rejections), "{rejections} of 60 requests rejected with a burst of 20");
}

#[test]
fn rejection_advises_retry_time_if_enabled() {
    let first_advice = |retry_after, max_retry_after, units| {
        let mut harness = Harness::new(Settings { retry_after, max_retry_after, ..settings() }, 40);
        let mut rejections = (0..60).flat_map(|_| harness.request(0, 0, "a", units).1);
        let first = rejections.find_map(|a| match a {
            Action::Reject { retry_after, .. } => Some(retry_after),
            _ => None,
        });
        first.expect("more units are requested than the burst of 20")
    };
    assert_eq!(first_advice(false, SEC, 1.0), 0);
    let retry_after = first_advice(true, SEC, 8.0);
    assert!(
        (500 * MS..SEC).contains(&retry_after),
        "advice of {retry_after} ns: the bucket lacks 4 units and one mean request at 10 units per second"
    );
    assert_eq!(first_advice(true, 100 * MS, 8.0), 100 * MS, "never longer than the maximum");
}

#[test]
fn unmetered_burst_is_divided_among_gateways() {
    let admitted = |spread| {
        let mut harness = Harness::new(settings(), 40);
        harness.spread = spread;
        (0..20)
            .filter(|_| {
                let (id, out) = harness.request(0, 0, "a", 1.0);
                !rejected(&out, id)
            })
            .count()
    };
    assert_eq!(admitted(1), 20);
    assert!((10..=14).contains(&admitted(2)), "{}", admitted(2));
}

#[test]
fn admission_probability_keeps_a_heavy_customer_near_its_rate() {
    let mut harness = Harness::new(settings(), 10);
    let mut admitted = Vec::new();
    for _ in 0..1500 {
        harness.now += 20 * MS;
        let (id, out) = harness.request(0, 0, "a", 1.0);
        if let Some(server) = sent_to(&out).first() {
            admitted.push(harness.now);
            let used = admitted.iter().filter(|t| **t + SEC > harness.now).count();
            harness.end_attempt_with(id, 0, server, Ending::Pass, 10 * MS, Some(used as f64 / 10.0));
        }
    }
    let steady = admitted.iter().filter(|t| **t > 110 * SEC).count();
    assert!(
        (170..=230).contains(&steady),
        "{steady} units in 20 s at a rate of 10 per second, 50 per second requested"
    );
}

#[test]
fn admits_all_requests_within_the_quota() {
    let mut harness = Harness::new(settings(), 10);
    for _ in 0..600 {
        harness.now += 150 * MS;
        let (id, out) = harness.request(0, 0, "a", 1.0);
        let server = sent_to(&out).remove(0);
        harness.end_attempt_with(id, 0, &server, Ending::Pass, 10 * MS, Some(0.67));
    }
}

#[test]
fn metered_use_at_other_gateways_reduces_admission() {
    // This gateway gets the same requests in both cases, 8 per second at a rate of 10. According to the
    // meter, other gateways use nothing, or three times as much again.
    let admitted = |factor: f64| {
        let mut harness = Harness::new(settings(), 10);
        harness.spread = 4;
        let mut admitted = Vec::new();
        for _ in 0..400 {
            harness.now += 125 * MS;
            let (id, out) = harness.request(0, 0, "a", 1.0);
            if let Some(server) = sent_to(&out).first() {
                admitted.push(harness.now);
                let used = admitted.iter().filter(|t| **t + SEC > harness.now).count() as f64 * factor;
                harness.end_attempt_with(id, 0, server, Ending::Pass, 10 * MS, Some(used / 10.0));
            }
        }
        admitted.iter().filter(|t| **t > 110 * SEC).count()
    };
    let (alone, shared) = (admitted(1.0), admitted(4.0));
    assert!(alone > 280, "{alone} of 320 requests admitted while only this gateway uses the quota");
    assert!(
        (60..=130).contains(&shared),
        "{shared} of 320 requests admitted while other gateways use three quarters"
    );
}

/// This gateway's use and the metered use must have the same delay. Otherwise a gateway to which a customer
/// has moved underestimates its own share, overestimates the total use, and rejects requests although most of
/// the quota is unused.
#[test]
fn customer_moving_to_this_gateway_within_its_quota_is_rejected_only_briefly() {
    let mut harness = Harness::new(settings(), 10);
    harness.spread = 4;
    let (mut used, mut rejections) = (Vec::new(), 0);
    for step in 0..240 {
        harness.now += 125 * MS;
        // 8 requests per second at a rate of 10 over all gateways: 7 of them at other gateways at first, all
        // here from 10 s on.
        let here = step >= 80 || step % 8 == 0;
        let reading_time = harness.now / SEC * SEC - SEC;
        let metered_use = used.iter().filter(|t| (reading_time - SEC..reading_time).contains(*t)).count();
        if here {
            let (id, out) = harness.request(0, 0, "a", 1.0);
            match sent_to(&out).first() {
                Some(server) => {
                    harness.end_attempt_with(
                        id,
                        0,
                        server,
                        Ending::Pass,
                        10 * MS,
                        Some(metered_use as f64 / 10.0),
                    );
                }
                None => {
                    rejections += 1;
                    continue;
                }
            }
        }
        used.push(harness.now);
    }
    assert!(rejections <= 8, "{rejections} of 170 requests rejected");
}

/// A customer that uses up its quota at other gateways must not find a full bucket at the next one.
#[test]
fn admissions_at_other_gateways_drain_the_bucket() {
    let admitted = |metered: f64| {
        let mut harness = Harness::new(settings(), 40);
        harness.spread = 2;
        for _ in 0..20 {
            harness.now += SEC / 2;
            let (id, out) = harness.request(0, 0, "a", 1.0);
            if let Some(server) = sent_to(&out).first() {
                harness.end_attempt_with(id, 0, server, Ending::Pass, 10 * MS, Some(metered));
            }
        }
        (0..20).filter(|_| !sends(&harness.request(0, 0, "a", 1.0).1).is_empty()).count()
    };
    let (alone, shared) = (admitted(0.2), admitted(1.3));
    assert!(
        alone >= 16 && shared <= 9,
        "of a burst of 20, {alone} admitted alone, {shared} with the quota in use elsewhere"
    );
}

/// A customer requests four times its rate of 10 through four gateways, a quarter of it here, and the meter
/// is silent for 12 s. Compares the requests admitted per second before the silence, during it, and in the 4
/// s after it.
#[test]
fn admits_no_more_during_and_after_a_silent_meter_than_before() {
    let mut sums = [0.0; 3];
    for customer in 0..40 {
        let mut harness = Harness::new(settings(), 40);
        harness.spread = 4;
        let name = format!("customer {customer}");
        for step in 0..460 {
            harness.now += 100 * MS;
            let (id, out) = harness.request(0, 0, &name, 1.0);
            let silent = (180..300).contains(&step);
            let Some(server) = sent_to(&out).first().cloned() else { continue };
            harness.end_attempt_with(id, 0, &server, Ending::Pass, 10 * MS, Some(1.0).filter(|_| !silent));
            match step {
                80..180 => sums[0] += 0.1,
                180..300 => sums[1] += 1.0 / 12.0,
                300..340 => sums[2] += 0.25,
                _ => {}
            }
        }
    }
    let [before, silent, after] = sums.map(|sum| sum / 40.0);
    assert!(before > 1.5, "{before} admitted per second of a share of 2.5");
    assert!(silent < 1.1 * before, "{silent} admitted per second while the meter is silent, {before} before");
    assert!(after < 1.1 * before, "{after} admitted per second after the silence, {before} before");
}

#[test]
fn estimated_debt_shrinks_if_the_meter_shows_unused_quota() {
    // A burst through what turns out to be the only gateway, then a pause in which the meter shows no use.
    let admitted_after = |metered: f64| {
        let mut harness = Harness::new(settings(), 40);
        harness.spread = 4;
        let (mut id, mut server) = (0, String::new());
        for _ in 0..60 {
            let (i, out) = harness.request(0, 0, "a", 1.0);
            if let Some(s) = sent_to(&out).first() {
                (id, server) = (i, s.clone());
            }
        }
        harness.end_attempt_with(id, 0, &server, Ending::Pass, 10 * MS, Some(metered));
        harness.now += 2 * SEC;
        let is_admitted = |harness: &mut Harness| {
            let (id, out) = harness.request(0, 0, "a", 1.0);
            !rejected(&out, id)
        };
        (0..40).filter(|_| is_admitted(&mut harness)).count()
    };
    let (unused, exhausted) = (admitted_after(0.0), admitted_after(4.0));
    assert!(
        unused > exhausted,
        "{unused} admitted if the meter shows unused quota, {exhausted} if it shows none"
    );
}

#[test]
fn every_class_is_retried_if_the_attempt_never_ran() {
    for class in 0..3 {
        for ending in [Ending::Full, Ending::NoRoute] {
            let mut harness = Harness::new(settings(), 2);
            let (id, out) = harness.request(class, 0, "a", 1.0);
            let first = sent_to(&out).remove(0);
            let second = sent_to(&harness.end_attempt(id, 0, &first, ending));
            assert_eq!(second.len(), 1, "class {class}, {ending:?}");
            assert_ne!(second[0], first);
        }
    }
}

#[test]
fn unsafe_request_that_may_have_run_fails_and_is_not_rejected() {
    for ending in [Ending::Fault, Ending::Late, Ending::Cut, Ending::Undone] {
        let mut harness = Harness::new(settings(), 2);
        let (id, out) = harness.request(2, 0, "a", 1.0);
        let out = harness.end_attempt(id, 0, &sent_to(&out)[0], ending);
        assert!(failed(&out, id) && sends(&out).is_empty(), "{ending:?}: {out:?}");
    }
}

#[test]
fn keyed_request_that_may_have_run_fails_after_a_rejected_retry() {
    let mut harness = Harness::new(settings(), 1);
    let (id, out) = harness.request(1, 0, "a", 1.0);
    assert_eq!(sent_to(&out), ["s0"]);
    assert_eq!(sent_to(&harness.end_attempt(id, 0, "s0", Ending::Fault)), ["s0"]);
    let out = harness.end_attempt(id, 1, "s0", Ending::Full);
    assert!(failed(&out, id), "{out:?}");
}

#[test]
fn retries_of_rejected_attempts_stay_within_the_retry_budget() {
    for gateways in [1, 3] {
        let plans = vec![Plan::new("free", 0.0, 0.0)];
        let mut harness = Harness::new(Settings { gateways, plans, ..settings() }, 6);
        let (mut all, requests) = (0, 6);
        for n in 0..requests {
            harness.now += 100 * MS;
            let (id, mut out) = harness.request(0, 0, &format!("c{n}"), 1.0);
            assert_eq!(sends(&out), [id], "there is capacity");
            let mut attempt = 0;
            while let Some(server) = sent_to(&out).pop() {
                harness.now += 5 * MS;
                out = harness.end_attempt(id, attempt, &server, Ending::Full);
                attempt += 1;
            }
            assert!(rejected(&out, id), "rejected at once because nothing has run: {out:?}");
            all += attempt;
        }
        // The budget is up to 1.2 retries at the start, and a fifth of the six first attempts.
        assert!((requests..=requests + 2).contains(&all), "{all} attempts for {requests} requests");
    }
}

#[test]
fn keyed_retry_stays_in_its_group_and_key_lifetime() {
    let mut harness = Harness::new(settings(), 2);
    let (id, out) = harness.request(1, 0, "a", 1.0);
    let first = sent_to(&out).remove(0);
    assert_eq!(
        sent_to(&harness.end_attempt(id, 0, &first, Ending::Fault)),
        [first.as_str()],
        "the other server is in another cell"
    );
    let mut harness = Harness::new(settings(), 2);
    let (id, out) = harness.request(1, 0, "a", 1.0);
    harness.now += 2 * SEC;
    let out = harness.end_attempt(id, 0, &sent_to(&out)[0], Ending::Fault);
    assert!(failed(&out, id), "the key has expired");
}

#[test]
fn queued_request_is_rejected_before_its_deadline() {
    let mut harness = Harness::new(settings(), 0);
    let (id, out) = harness.request(0, 0, "a", 1.0);
    let (token, at) = timer(&out);
    assert!(sends(&out).is_empty() && at < harness.now + 4 * SEC);
    harness.now = at;
    assert!(rejected(&harness.handle(Event::Timer { token }), id));
    assert!(harness.handle(Event::Timer { token }).is_empty(), "a timer of a finished request is ignored");
}

#[test]
fn attempt_that_ends_at_the_deadline_fails_at_once() {
    let mut harness = Harness::new(settings(), 1);
    let (id, out) = harness.request(2, 0, "a", 1.0);
    harness.now += 4 * SEC;
    assert!(failed(&harness.end_attempt_with(id, 0, &sent_to(&out)[0], Ending::Late, 4 * SEC, None), id));
}

#[test]
fn sends_nothing_to_draining_or_removed_servers() {
    for health in [Health::Draining, Health::Removed] {
        let mut harness = Harness::new(settings(), 2);
        let nodes = vec![Harness::node(0, health)];
        harness.handle(Event::Fleet { seq: 2, scope: Scope::Changes, nodes });
        for i in 0..4 {
            let (_, out) = harness.request(0, 0, &format!("c{i}"), 1.0);
            assert!(!sent_to(&out).contains(&"s0".to_string()));
        }
    }
    let mut harness = Harness::new(settings(), 2);
    harness.handle(Event::Fleet { seq: 2, scope: Scope::Full, nodes: vec![Harness::node(1, Health::Up)] });
    let (_, out) = harness.request(0, 0, "a", 1.0);
    assert_eq!(sent_to(&out), ["s1"], "a server missing from a full list is removed");
}

#[test]
fn warming_server_gets_no_more_than_its_share() {
    let mut harness = Harness::new(settings(), 4);
    let mut node = Harness::node(0, Health::Up);
    node.since = harness.now;
    harness.handle(Event::Fleet { seq: 2, scope: Scope::Changes, nodes: vec![node] });
    // Attempts without an answer make the three warm servers look worse than the warming one.
    (0..12).for_each(|i| drop(harness.request(0, 0, &format!("w{i}"), 1.0)));
    let mut warming = 0;
    for i in 0..100 {
        harness.now += 20 * MS;
        let (id, out) = harness.request(0, 0, &format!("c{i}"), 1.0);
        for server in sent_to(&out) {
            warming += usize::from(server == "s0");
            harness.end_attempt_with(id, 0, &server, Ending::Pass, 10 * MS, None);
        }
    }
    assert!(
        (1..=13).contains(&warming),
        "{warming} of 100 sends in two seconds to a server at a fifth of its capacity"
    );
}

#[test]
fn ceiling_starts_empty_and_is_divided_among_gateways() {
    let mut s = settings();
    s.plans[0] = Plan { ceiling_rate: 20.0, ceiling_burst: 40.0, ..Plan::new("capped", 1000.0, 1000.0) };
    let mut harness = Harness::new(s, 40);
    harness.spread = 2;
    assert!(sends(&harness.request(0, 0, "a", 1.0).1).is_empty(), "a restart must not refill the ceiling");
    let mut sent = 0;
    for _ in 0..400 {
        harness.now += 10 * MS;
        let (id, out) = harness.request(0, 0, "a", 1.0);
        for server in sent_to(&out) {
            sent += 1;
            let _ = (id, server);
        }
    }
    assert!((20..=40).contains(&sent), "{sent} sent in 4 s at this gateway's 10 per second");
}

#[test]
fn attempts_in_flight_are_capped_by_this_gateways_share() {
    let mut s = settings();
    s.plans[0].parallel = 4;
    let mut harness = Harness::new(s, 10);
    harness.spread = 2;
    let ids: Vec<_> = (0..4).map(|_| harness.request(0, 0, "a", 1.0)).collect();
    let out: Vec<_> = ids.iter().filter(|(_, out)| !sends(out).is_empty()).collect();
    assert_eq!(out.len(), 2);
    let next = harness.end_attempt(out[0].0, 0, &sent_to(&out[0].1)[0], Ending::Pass);
    assert_eq!(sends(&next), [ids[2].0], "the next is sent when an attempt ends");
}

#[test]
fn fast_failing_server_is_ejected_and_used_again_after_recovery() {
    let mut harness = Harness::new(Settings { gateways: 20, ..settings() }, 12);
    let run = |harness: &mut Harness, n: usize, bad: bool, class: usize| {
        let mut hits = 0;
        for i in 0..n {
            harness.now += 20 * MS;
            let (id, out) = harness.request(class, 0, &format!("c{i}{}", harness.now), 1.0);
            let mut attempt = 0;
            let mut to = sent_to(&out);
            while let Some(server) = to.pop() {
                let fails = bad && server == "s0";
                hits += usize::from(server == "s0");
                let ending = if fails { Ending::Fault } else { Ending::Pass };
                to = sent_to(&harness.end_attempt_with(id, attempt, &server, ending, 250 * MS, None));
                attempt += 1;
            }
        }
        hits
    };
    let early = run(&mut harness, 40, true, 0);
    assert!((1..=6).contains(&early), "{early} of 40 attempts before the server is ejected");
    assert_eq!(harness.gateway.ejected(), 1, "the ejection is visible to operators");
    harness.now += 20 * SEC;
    assert_eq!(run(&mut harness, 10, true, 2), 0, "unsafe requests are not used to test the server");
    harness.now += 80 * SEC;
    assert!(run(&mut harness, 200, false, 0) >= 2, "a server that answers again gets requests again");
    assert_eq!(harness.gateway.ejected(), 0);
}

#[test]
fn late_answers_from_all_servers_lower_all_limits() {
    // The whole fleet is overloaded. Without load shedding, the waiting requests would keep the servers too
    // full to recover.
    let sent_at_once = |elapsed: Time| {
        let mut harness = Harness::new(settings(), 10);
        for i in 0..60 {
            harness.now += 20 * MS;
            let (id, out) = harness.request(0, 0, &format!("c{i}"), 1.0);
            let server = sent_to(&out).remove(0);
            harness.end_attempt_with(id, 0, &server, Ending::Pass, elapsed, None);
        }
        (0..60).filter(|i| !sends(&harness.request(0, 0, &format!("d{i}"), 1.0).1).is_empty()).count()
    };
    let (timely, overloaded) = (sent_at_once(50 * MS), sent_at_once(900 * MS));
    assert!(
        overloaded * 4 < timely,
        "{overloaded} sent at once after late answers, {timely} after timely ones"
    );
}

#[test]
fn hung_server_gets_no_requests_while_silent() {
    let mut harness = Harness::new(settings(), 2);
    let (_, out) = harness.request(2, 0, "a", 1.0);
    let hung = sent_to(&out).remove(0);
    for i in 0..20 {
        harness.now += 200 * MS;
        let (id, out) = harness.request(0, 0, &format!("c{i}"), 1.0);
        let server = sent_to(&out).remove(0);
        assert_ne!(server, hung, "request {i}");
        harness.end_attempt(id, 0, &server, Ending::Pass);
    }
}

/// A hung server is abandoned in time, but a large request that takes long on any server is not restarted.
#[test]
fn attempt_timeout_grows_with_request_units() {
    let mut harness = Harness::new(settings(), 4);
    for i in 0..200 {
        harness.now += 100 * MS;
        let (id, out) = harness.request(0, 0, &format!("c{i}"), 1.0);
        let server = sent_to(&out).remove(0);
        harness.end_attempt(id, 0, &server, Ending::Pass);
    }
    let mut timeout = |units| {
        let (_, out) = harness.request(0, 0, &format!("u{units}"), units);
        let limit = out.iter().find_map(|a| match a {
            Action::Send { attempt_deadline, .. } => Some(*attempt_deadline - harness.now),
            _ => None,
        });
        limit.expect("the request is sent")
    };
    let (small, large) = (timeout(1.0), timeout(8.0));
    assert!(small < SEC, "{small} ns: time for another server is left");
    assert_eq!(large, 4 * SEC, "the limit is the deadline");
}

#[test]
fn disconnected_client_cancels_its_attempt_and_gets_no_answer() {
    let mut harness = Harness::new(Settings { cancelling: true, ..settings() }, 1);
    let (id, out) = harness.request(0, 0, "a", 1.0);
    let server = sent_to(&out).remove(0);
    assert_eq!(harness.handle(Event::ClientGone { id }), [Action::Cancel { id, attempt: 0 }]);
    assert!(harness.end_attempt(id, 0, &server, Ending::Undone).is_empty());
}

#[test]
fn broken_stream_is_not_retried_or_answered() {
    let mut s = settings();
    s.classes[0].stream = true;
    let mut harness = Harness::new(s, 2);
    let (id, out) = harness.request(0, 0, "a", 1.0);
    harness.handle(Event::Streaming { id, attempt: 0 });
    assert!(harness.end_attempt(id, 0, &sent_to(&out)[0], Ending::Cut).is_empty());
}

#[test]
fn subscribes_to_discovery_and_again_after_a_failure() {
    let s = Settings { subscribe: true, ..settings() };
    let mut gateway = Gateway::new(s, 1, SEC).expect("settings in range");
    let mut out = Vec::new();
    gateway.handle(SEC, vec![Event::Fleet { seq: 0, scope: Scope::Cached, nodes: vec![] }], &mut out);
    assert_eq!(out, [Action::Subscribe { on: true }]);
    out.clear();
    gateway.handle(2 * SEC, vec![Event::Fleet { seq: 0, scope: Scope::Failed, nodes: vec![] }], &mut out);
    let Some(Action::Timer { token, at }) = out.pop() else { panic!("{out:?}") };
    gateway.handle(at, vec![Event::Timer { token }], &mut out);
    assert_eq!(out, [Action::Subscribe { on: true }]);
}

#[test]
fn unknown_ids_are_ignored() {
    let mut harness = Harness::new(settings(), 1);
    assert!(harness.end_attempt(99, 0, "nobody", Ending::Pass).is_empty());
    assert!(harness.handle(Event::ClientGone { id: 99 }).is_empty());
    assert!(harness.handle(Event::Timer { token: 99 }).is_empty());
    assert!(harness.request(9, 0, "a", 1.0).1.is_empty());
}

#[test]
fn error_names_the_setting_that_is_out_of_range() {
    for bad in [-1.0, f64::NAN, f64::INFINITY] {
        let mut s = settings();
        s.plans[1].rate = bad;
        let error = Gateway::new(s, 1, 0).err().expect("refused");
        assert!(error.contains("gold") && error.contains("rate"), "{error}");
    }
}

#[test]
fn same_events_give_the_same_actions() {
    let run = || {
        let mut harness = Harness::new(settings(), 5);
        let mut all = Vec::new();
        for i in 0..300 {
            harness.now += 5 * MS;
            let (id, out) = harness.request(i % 3, i % 2, &format!("c{}", i % 7), 1.0 + (i % 8) as f64);
            if let (0, Some(server)) = (i % 2, sent_to(&out).first()) {
                all.extend(harness.end_attempt(id, 0, server, Ending::Pass));
            }
            all.extend(out);
        }
        all
    };
    assert_eq!(run(), run());
}

#[test]
fn warming_server_gets_its_share_of_the_traffic_of_many_gateways() {
    // A minimum of one attempt per gateway would send this server 200 attempts at once while it is warming
    // up.
    let mut sent = 0;
    for seed in 0..200 {
        let s = Settings { gateways: 200, gateway_index: seed as u32, ..settings() };
        let mut gateway = Gateway::new(s, seed, 100 * SEC).expect("settings in range");
        let mut out = Vec::new();
        let mut nodes: Vec<_> = (0..20).map(|i| Harness::node(i, Health::Up)).collect();
        nodes[0].since = 100 * SEC;
        gateway.handle(100 * SEC, vec![Event::Fleet { seq: 1, scope: Scope::Full, nodes }], &mut out);
        let r = Request::new(1, 0, 0, "a", 104 * SEC, 1.0);
        gateway.handle(100 * SEC, vec![Event::Request(r)], &mut out);
        sent += sent_to(&out).iter().filter(|s| *s == "s0").count();
    }
    assert!(sent <= 6, "{sent} of 200 sends to one of 20 servers at a fifth of its capacity");
}

#[test]
fn many_gateways_do_not_choose_the_same_server() {
    let mut hits = std::collections::BTreeMap::new();
    for seed in 0..200 {
        let s = Settings { gateways: 200, gateway_index: seed as u32, ..settings() };
        let mut gateway = Gateway::new(s, seed, 100 * SEC).expect("settings in range");
        let mut out = Vec::new();
        let nodes = (0..20).map(|i| Harness::node(i, Health::Up)).collect();
        gateway.handle(100 * SEC, vec![Event::Fleet { seq: 1, scope: Scope::Full, nodes }], &mut out);
        let r = Request::new(1, 0, 0, "a", 104 * SEC, 1.0);
        gateway.handle(100 * SEC, vec![Event::Request(r)], &mut out);
        sent_to(&out).into_iter().for_each(|s| *hits.entry(s).or_insert(0) += 1);
    }
    let most = hits.values().max().copied().unwrap_or(0);
    assert!(hits.len() >= 18 && most <= 25, "{} servers used, {most} sends to one server", hits.len());
}

#[test]
fn class_moves_away_from_servers_that_do_not_answer_it() {
    // s0 to s5 leave orders unanswered and serve quotes normally: orders move to other servers, quotes stay.
    let mut harness = Harness::new(Settings { gateways: 20, ..settings() }, 10);
    let failing = |server: &str| server.as_bytes()[1] < b'6';
    let mut hits = [[0; 2]; 2];
    for i in 0..1200 {
        harness.now += 50 * MS;
        let class = if i % 2 == 0 { 2 } else { 0 };
        let (id, out) = harness.request(class, 0, &format!("c{i}"), 1.0);
        let server = sent_to(&out).remove(0);
        if i >= 1000 {
            hits[class / 2][usize::from(failing(&server))] += 1;
        }
        let ending = if class == 2 && failing(&server) { Ending::Late } else { Ending::Pass };
        harness.end_attempt(id, 0, &server, ending);
    }
    let ([_, quotes], [_, orders]) = (hits[0], hits[1]);
    assert!(orders <= 10, "{orders} of 100 orders sent to servers that leave them unanswered");
    assert!(quotes >= 20, "{quotes} of 100 quotes sent to the same servers, which answer them");
}

#[test]
fn plan_moves_away_from_servers_that_reject_it() {
    let mut harness = Harness::new(Settings { gateways: 20, ..settings() }, 10);
    let rejecting = |server: &str| server.as_bytes()[1] < b'5';
    let mut hits = [0; 2];
    for i in 0..1200 {
        harness.now += 50 * MS;
        let plan = i % 2;
        let (id, out) = harness.request(0, plan, &format!("c{i}"), 1.0);
        let (mut to, mut attempt) = (sent_to(&out), 0);
        while let Some(server) = to.pop() {
            let full = plan == 0 && rejecting(&server);
            hits[plan] += usize::from(i >= 1050 && rejecting(&server));
            let ending = if full { Ending::Full } else { Ending::Pass };
            to = sent_to(&harness.end_attempt(id, attempt, &server, ending));
            attempt += 1;
        }
    }
    assert!(hits[0] <= 8, "{} of 75 requests of the plan sent to servers that reject it", hits[0]);
    assert!(hits[1] >= 15, "{} of 75 requests of the other plan sent to the same servers", hits[1]);
}

#[test]
fn meter_decides_admission_if_many_gateways_share_a_customer() {
    // One request per second through one of 200 gateways: more are admitted while the meter shows unused
    // quota than while it shows three times the rate.
    let admitted = |metered: f64| {
        let mut harness = Harness::new(Settings { gateways: 200, ..settings() }, 10);
        harness.spread = 200;
        (0..60)
            .filter(|_| {
                harness.now += SEC;
                let (id, out) = harness.request(0, 0, "a", 1.0);
                sent_to(&out)
                    .first()
                    .map(|s| harness.end_attempt_with(id, 0, s, Ending::Pass, 50 * MS, Some(metered)));
                !rejected(&out, id)
            })
            .count()
    };
    assert!(
        admitted(0.3) > 2 * admitted(3.0),
        "{} of 60 admitted while the meter shows unused quota",
        admitted(0.3)
    );
    assert!(
        (1..=30).contains(&admitted(3.0)),
        "{} of 60 admitted while the meter shows three times the rate",
        admitted(3.0)
    );
}

#[test]
fn unmetered_customers_are_admitted_by_mean_demand_of_such_customers() {
    // Each customer sends one request, so whatever its bucket holds, only the meter's readings of other
    // customers are informative. The customers request `asked` times their rate, and every gateway admits the
    // same share of them as this one.
    let admitted = |asked: f64, over_cost: f64, spread: u32| {
        let plans = vec![Plan { over_cost, ..Plan::new("basic", 10.0, 20.0) }];
        let mut harness = Harness::new(Settings { gateways: 200, plans, ..settings() }, 10);
        harness.spread = spread;
        let (mut admitted, mut share) = (0, 1.0);
        for n in 0..600 {
            harness.now += 100 * MS;
            let (id, out) = harness.request(0, 0, &format!("c{n}"), 1.0);
            let to = sent_to(&out);
            to.first()
                .map(|s| harness.end_attempt_with(id, 0, s, Ending::Pass, 50 * MS, Some(asked * share)));
            admitted += to.len();
            share += (to.len() as f64 - share) * 0.02;
        }
        admitted
    };
    assert_eq!(admitted(0.8, 1.0, 200), 600, "all customers are within their quotas");
    // One of 200 gateways has so little of the bucket that the meter contributes half of the estimate.
    let (free, costly) = (admitted(2.0, 0.0, 200), admitted(2.0, 1.0, 200));
    assert!((360..=480).contains(&free), "{free} of 600 admitted at twice the rate");
    assert!(
        (240..=360).contains(&costly),
        "{costly} of 600 admitted if requests beyond the quota cost their value"
    );
    assert!(admitted(2.0, 1.0, 1) > 570, "a gateway that sees all requests uses its own buckets");
}

#[test]
fn disabled_server_stays_disabled_over_list_updates_and_warms_up_when_enabled() {
    let mut harness = Harness::new(settings(), 2);
    let requests_to_s1 = |harness: &mut Harness| {
        let mut sent = 0;
        for n in 0..200u64 {
            let (id, actions) = harness.request(0, 0, &format!("c{n}"), 1.0);
            let servers = sent_to(&actions);
            sent += usize::from(servers == ["s1"]);
            harness.handle(Event::AttemptEnd(AttemptEnd {
                id,
                attempt: 0,
                server: servers[0].as_str().into(),
                ending: Ending::Pass,
                request_finished: true,
                body_discarded: false,
                elapsed: (40 + n % 3 * 10) * MS,
                actual_units: 0.0,
                metered_share: None,
                load: None,
                via: Via::Unknown,
                open_connections: 0,
            }));
        }
        sent
    };
    let name: Name = "s1".into();
    for _ in 0..2 {
        harness.handle(Event::Disable { server: name.clone() });
    }
    for scope in [Scope::Changes, Scope::Full] {
        let nodes = (0..2).map(|i| Harness::node(i, Health::Up)).collect();
        harness.handle(Event::Fleet { seq: 2, scope, nodes });
        assert_eq!(harness.gateway.ejected(), 1);
        assert_eq!(requests_to_s1(&mut harness), 0);
    }
    harness.handle(Event::Enable { server: name.clone() });
    assert_eq!(harness.gateway.ejected(), 0);
    // An update of the list that does not report a restart does not end the warm-up.
    let nodes = (0..2).map(|i| Harness::node(i, Health::Up)).collect();
    harness.handle(Event::Fleet { seq: 3, scope: Scope::Full, nodes });
    let warming = requests_to_s1(&mut harness);
    assert!((5..=60).contains(&warming), "{warming} of 200 sent to a server at a fifth of its capacity");
    // Enabling a server that is not disabled does not restart its warm-up.
    harness.now += 11 * SEC;
    harness.handle(Event::Enable { server: name });
    // A warm server is not limited: of two concurrent requests, each server gets one.
    for n in 0..10 {
        let pair: Vec<_> = (0..2).map(|i| harness.request(0, 0, &format!("d{n}{i}"), 1.0)).collect();
        let mut to: Vec<String> = pair.iter().flat_map(|(_, actions)| sent_to(actions)).collect();
        for (id, out) in &pair {
            harness.end_attempt_with(*id, 0, &sent_to(out)[0], Ending::Pass, 10 * MS, None);
        }
        to.sort();
        assert_eq!(to, ["s0", "s1"]);
    }
}

/// Two processes of one gateway. The changes of each are forwarded to the other at once.
struct ProcessPair {
    old: Harness,
    new: Harness,
}

impl ProcessPair {
    fn with_successor_of(mut old: Harness, settings: Settings) -> ProcessPair {
        let gateway = Gateway::new(settings, 2, old.now).expect("settings in range");
        let mut new = Harness { gateway, now: old.now, next_id: 1_000_000, spread: 1 };
        let nodes = (0..2).map(|i| Harness::node(i, Health::Up)).collect();
        new.handle(Event::Fleet { seq: 1, scope: Scope::Cached, nodes });
        let snapshot = serde_json::to_string(&old.gateway.snapshot()).expect("the snapshot serializes");
        new.handle(Event::Restore(Box::new(
            serde_json::from_str(&snapshot).expect("the snapshot deserializes"),
        )));
        new.handle(Event::PeerProcess { running: true });
        let actions = old.handle(Event::PeerProcess { running: true });
        ProcessPair::forward_shares(&actions, &mut new);
        ProcessPair { old, new }
    }

    fn forward_shares(actions: &[Action], to: &mut Harness) {
        for action in actions {
            if let Action::Share(share) = action {
                assert!(!to
                    .handle(Event::PeerShare(share.clone()))
                    .iter()
                    .any(|a| matches!(a, Action::Share(_))));
            }
        }
    }

    /// Sends a request to the new or the old process and answers it. Returns the servers that got it.
    fn request(&mut self, new: bool, plan: usize, units: f64) -> Vec<String> {
        let (one, other) = if new { (&mut self.new, &mut self.old) } else { (&mut self.old, &mut self.new) };
        let (id, actions) = one.request(0, plan, "c", units);
        ProcessPair::forward_shares(&actions, other);
        let to = sent_to(&actions);
        for server in &to {
            ProcessPair::forward_shares(
                &one.end_attempt_with(id, 0, server, Ending::Pass, 10 * MS, None),
                other,
            );
        }
        to
    }
}

#[test]
fn two_processes_share_one_quota() {
    let s = Settings { gateways: 1, ..settings() };
    let sent = |alone: bool| {
        let mut harness = Harness::new(s.clone(), 2);
        let before = (0..10).filter(|_| {
            let (id, actions) = harness.request(0, 0, "c", 1.0);
            let to = sent_to(&actions);
            to.iter().for_each(|s| drop(harness.end_attempt_with(id, 0, s, Ending::Pass, 10 * MS, None)));
            !to.is_empty()
        });
        let before = before.count();
        let mut processes = ProcessPair::with_successor_of(harness, s.clone());
        before + (0..200).filter(|n| !processes.request(!alone && n % 2 == 0, 0, 1.0).is_empty()).count()
    };
    let (alone, both) = (sent(true), sent(false));
    assert!(both <= alone + 4, "{both} admitted by two processes, {alone} by one, of a bucket of 20");
}

#[test]
fn two_processes_share_one_ceiling() {
    let mut s = Settings { gateways: 1, ..settings() };
    s.plans[0] = Plan { ceiling_rate: 20.0, ceiling_burst: 10.0, ..Plan::new("basic", 1000.0, 1000.0) };
    let mut harness = Harness::new(s.clone(), 2);
    harness.now += SEC;
    let mut processes = ProcessPair::with_successor_of(harness, s);
    let sent = (0..40).filter(|n| !processes.request(n % 2 == 0, 0, 1.0).is_empty()).count();
    assert!((8..=10).contains(&sent), "{sent} sent under a ceiling with a burst of 10");
}

#[test]
fn attempts_of_one_process_use_capacity_of_the_other() {
    let s = Settings { gateways: 1, ..settings() };
    let mut processes = ProcessPair::with_successor_of(Harness::new(s.clone(), 2), s);
    let mut sent = 0;
    for n in 0..100 {
        let (_, actions) = processes.old.request(0, 0, &format!("c{n}"), 1.0);
        sent += sends(&actions).len();
        ProcessPair::forward_shares(&actions, &mut processes.new);
    }
    assert!(sent < 100, "the capacity is finite");
    let (_, actions) = processes.new.request(0, 1, "d", 1.0);
    assert!(sends(&actions).is_empty(), "the capacity is used up");
    let actions = processes.new.handle(Event::PeerProcess { running: false });
    assert_eq!(sends(&actions).len(), 1, "the attempts of the other process no longer count");
}

#[test]
fn fast_warming_server_gets_more_than_the_ramp_and_a_slow_one_does_not() {
    let sent_to_warming = |answer_time: Time| {
        let mut harness = Harness::new(settings(), 4);
        let answer = |harness: &mut Harness, id: u64, server: &str, elapsed: Time| {
            harness.handle(Event::AttemptEnd(AttemptEnd {
                id,
                attempt: 0,
                server: server.into(),
                ending: Ending::Pass,
                request_finished: true,
                body_discarded: false,
                elapsed,
                actual_units: 1.0,
                metered_share: None,
                load: Some(Load { inflight: Some(0.0), ..Load::default() }),
                via: Via::Unknown,
                open_connections: 0,
            }));
        };
        for n in 0..100 {
            let (id, out) = harness.request(0, 0, &format!("a{n}"), 1.0);
            answer(&mut harness, id, &sent_to(&out)[0], 40 * MS);
        }
        harness.now += SEC;
        let node = Node { since: harness.now, ..Harness::node(0, Health::Up) };
        harness.handle(Event::Fleet { seq: 2, scope: Scope::Changes, nodes: vec![node] });
        // Attempts without an answer make the warm servers look worse than the warming one.
        for n in 0..14 {
            let (id, out) = harness.request(0, 0, &format!("w{n}"), 1.0);
            if sent_to(&out) == ["s0"] {
                answer(&mut harness, id, "s0", answer_time);
            }
        }
        let mut warming = 0;
        for n in 0..1000 {
            harness.now += 2 * MS;
            let (id, out) = harness.request(0, 0, &format!("c{n}"), 1.0);
            for server in sent_to(&out) {
                warming += usize::from(server == "s0");
                answer(&mut harness, id, &server, if server == "s0" { answer_time } else { 40 * MS });
            }
        }
        warming
    };
    let (fast, slow) = (sent_to_warming(40 * MS), sent_to_warming(140 * MS));
    assert!(
        (30..=110).contains(&slow),
        "{slow} of 1000 sent to a server at a third of the speed of a warm one"
    );
    assert!(
        fast > slow * 6 / 5 && fast < slow * 2,
        "{fast} of 1000 sent to a fast server, {slow} to a slow one"
    );
}

#[test]
fn class_of_higher_value_goes_first_in_a_waiting_queue() {
    let mut s = settings();
    s.classes[1].value = 2.0;
    let mut harness = Harness::new(s, 1);
    let mut out = Vec::new();
    loop {
        let (id, actions) = harness.request(0, 0, &format!("f{}", harness.next_id), 1.0);
        if sends(&actions).is_empty() {
            break;
        }
        out.push(id);
        assert!(out.len() < 100, "the capacity is finite");
    }
    // A request of the lower class is already waiting.
    let (valuable, _) = harness.request(1, 0, "a", 1.0);
    let (second, _) = harness.request(1, 0, "b", 1.0);
    let sent: Vec<u64> = out
        .iter()
        .take(3)
        .flat_map(|id| sends(&harness.end_attempt_with(*id, 0, "s0", Ending::Pass, 400 * MS, None)))
        .collect();
    assert!(sent.starts_with(&[valuable, second]), "{sent:?}");
}

/// Two requests wait for capacity at a server that `gateways` gateways use. Returns the index of the one that
/// is sent first.
fn first_sent_of_two(gateways: u32) -> usize {
    let s = Settings { gateways, plans: vec![Plan::new("free", 0.0, 0.0)], ..settings() };
    let mut harness = Harness::new(s, 1);
    let mut out = None;
    let mut waiting = Vec::new();
    while waiting.len() < 2 {
        let (id, actions) = harness.request(0, 0, &format!("f{}", harness.next_id), 1.0);
        match sends(&actions).is_empty() {
            false => out = Some(id),
            true => waiting.push(id),
        }
        assert!(harness.next_id < 100, "the capacity is finite");
    }
    let out = out.expect("one request is sent");
    let mut sent = sends(&harness.end_attempt(out, 0, "s0", Ending::Pass));
    // A gateway that pauses after an attempt continues when the pause is over.
    harness.now += 200 * MS;
    sent.extend(sends(&harness.handle(Event::Timer { token: 0 })));
    let first = sent.first().expect("one of the two is sent");
    waiting.iter().position(|id| id == first).expect("one of the two that wait")
}

#[test]
fn newest_request_goes_first_only_below_a_capacity_of_one_attempt() {
    assert_eq!((first_sent_of_two(2), first_sent_of_two(30)), (0, 1));
}

#[test]
fn one_late_answer_in_five_does_not_lower_limits() {
    let sent_at_once = |late: bool| {
        let mut harness = Harness::new(settings(), 3);
        for n in 0..300 {
            let (id, out) = harness.request(0, 0, &format!("c{n}"), 1.0);
            let took = if late && n % 5 == 0 { 500 * MS } else { 50 * MS };
            harness.end_attempt_with(id, 0, &sent_to(&out)[0], Ending::Pass, took, None);
        }
        (0..100).filter(|n| !sends(&harness.request(0, 0, &format!("d{n}"), 1.0).1).is_empty()).count()
    };
    let (timely, late) = (sent_at_once(false), sent_at_once(true));
    assert!(late + 1 >= timely, "{late} sent at once after late answers, {timely} without");
}

/// Number of requests that one of `gateways` gateways sends at once after `count` late answers, `apart` after
/// each other.
fn sent_at_once_after_late_answers(gateways: u32, count: u32, apart: Time) -> usize {
    let s = Settings { gateways, plans: vec![Plan::new("free", 0.0, 0.0)], ..settings() };
    let mut harness = Harness::new(s, 12);
    for n in 0..count {
        let (id, out) = harness.request(0, 0, &format!("c{n}"), 1.0);
        harness.now += apart;
        let server = sent_to(&out).pop().unwrap_or("s0".to_string());
        harness.end_attempt_with(id, 0, &server, Ending::Pass, 400 * MS, None);
    }
    (0..100).filter(|n| !sends(&harness.request(0, 0, &format!("d{n}"), 1.0).1).is_empty()).count()
}

#[test]
fn gateway_with_few_answers_sheds_load_as_fast_as_one_with_many() {
    // Two seconds of late answers in a fleet of 20 gateways: four answers, and forty.
    let (few, many) =
        (sent_at_once_after_late_answers(20, 4, SEC / 2), sent_at_once_after_late_answers(20, 40, SEC / 20));
    assert!(few <= many + 2 && few <= 3, "{few} sent at once after few answers, {many} after many");
}

/// The maximum number of attempts in flight in a fleet whose servers take 0.4 s for each, after the gateways
/// have learned it.
fn max_in_flight(gateways: u32) -> u32 {
    let start = |me| {
        let s =
            Settings { gateways, gateway_index: me, plans: vec![Plan::new("free", 0.0, 0.0)], ..settings() };
        let gateway = Gateway::new(s, u64::from(me), 100 * SEC).expect("settings in range");
        let mut harness = Harness { gateway, now: 100 * SEC, next_id: 1, spread: 1 };
        harness.handle(large_list(0..4));
        harness
    };
    let mut fleet: Vec<Harness> = (0..gateways).map(start).collect();
    // By gateway: the end of each attempt in flight, its request and its server.
    let mut in_flight: Vec<Vec<(Time, u64, String)>> = vec![Vec::new(); fleet.len()];
    let mut most = 0;
    for step in 0..2000 {
        let mut out = 0;
        for (n, (harness, in_flight)) in fleet.iter_mut().zip(&mut in_flight).enumerate() {
            harness.now = 100 * SEC + step * 10 * MS;
            let now = harness.now;
            // All gateways get requests, at regular intervals.
            if (step + n as u64) % 50 == 0 {
                let (_, actions) = harness.request(0, 0, &format!("c{step}"), 1.0);
                let sent = sends(&actions).into_iter().zip(sent_to(&actions));
                in_flight.extend(sent.map(|(id, server)| (now + 400 * MS, id, server)));
            }
            let (done, rest) = in_flight.drain(..).partition(|(at, ..)| *at <= now);
            *in_flight = rest;
            for (_, id, server) in done {
                let actions = harness.end_attempt_with(id, 0, &server, Ending::Pass, 400 * MS, None);
                let more = sends(&actions).into_iter().zip(sent_to(&actions));
                in_flight.extend(more.map(|(id, server)| (now + 400 * MS, id, server)));
            }
            out += in_flight.len() as u32;
        }
        if step > 1000 {
            most = most.max(out);
        }
    }
    most
}

#[test]
fn late_large_fleet_has_less_than_one_attempt_in_flight_per_gateway() {
    let most = max_in_flight(200);
    assert!(most <= 100, "{most} attempts in flight of 200 gateways at 4 servers");
}

/// A list of servers in three zones, as in a large fleet.
fn large_list(servers: impl Iterator<Item = usize>) -> Event {
    let node = |i: usize| Node { zone: i as u32 % 3, ..Node::new(&format!("s{i:02}"), Health::Up) };
    Event::Fleet { seq: 1, scope: Scope::Full, nodes: servers.map(node).collect() }
}

/// Each of `gateways` gateways, with the numbers in the names of the servers that it sends to.
fn servers_used_by_each(gateways: u32, servers: usize) -> Vec<(Harness, std::collections::BTreeSet<usize>)> {
    let start = |me| {
        let s = Settings { gateways, gateway_index: me, ..settings() };
        let mut harness = Harness {
            gateway: Gateway::new(s, 7, 100 * SEC).unwrap(),
            now: 100 * SEC,
            next_id: 1,
            spread: 1,
        };
        harness.handle(large_list(0..servers));
        let used = servers_used(&mut harness);
        (harness, used)
    };
    (0..gateways).map(start).collect()
}

fn servers_used(harness: &mut Harness) -> std::collections::BTreeSet<usize> {
    let mut used = std::collections::BTreeSet::new();
    for n in 0..150 {
        harness.now += SEC;
        let (id, out) = harness.request(0, 0, &format!("c{n}"), 1.0);
        for server in sent_to(&out) {
            used.insert(server[1..].parse().unwrap());
            harness.end_attempt(id, 0, &server, Ending::Pass);
        }
    }
    used
}

#[test]
fn large_fleet_subsets_use_all_zones_and_servers_evenly() {
    let mut users = [0; 60];
    for (_, used) in servers_used_by_each(100, 60) {
        assert_eq!(used.len(), 12);
        for zone in 0..3 {
            assert_eq!(
                used.iter().filter(|s| **s % 3 == zone).count(),
                4,
                "the loss of a zone costs no more than this"
            );
        }
        used.iter().for_each(|s| users[*s] += 1);
    }
    assert!(users.iter().all(|n| (18..=22).contains(n)), "{users:?}");
}

#[test]
fn small_fleet_uses_every_server() {
    assert!(servers_used_by_each(3, 9).iter().all(|(_, used)| used.len() == 9));
}

#[test]
fn list_change_replaces_few_servers_of_a_subset() {
    for (mut harness, before) in servers_used_by_each(100, 60) {
        harness.handle(large_list((0..60).filter(|i| ![7, 20].contains(i)).chain([61])));
        let after = servers_used(&mut harness);
        assert_eq!(after.len(), 12);
        assert!(after.difference(&before).count() <= 4, "{before:?} {after:?}");
        // After the loss of a zone, servers of the other zones stay in use and replace the lost ones.
        harness.handle(large_list((0..60).filter(|i| i % 3 != 0)));
        let after = servers_used(&mut harness);
        assert_eq!(after.len(), 12);
        assert!(after.intersection(&before).count() >= 4, "{before:?} {after:?}");
    }
}

#[test]
fn warming_server_gets_its_share_although_another_is_idle() {
    let mut harness = Harness::new(Settings { gateways: 100, ..settings() }, 12);
    let node = Node { since: harness.now, ..Harness::node(0, Health::Up) };
    harness.handle(Event::Fleet { seq: 2, scope: Scope::Changes, nodes: vec![node] });
    let mut warming = 0;
    for n in 0..400 {
        harness.now += 12 * MS;
        let (id, out) = harness.request(0, 0, &format!("c{n}"), 1.0);
        let server = sent_to(&out).remove(0);
        warming += usize::from(server == "s0");
        harness.handle(Event::AttemptEnd(AttemptEnd {
            id,
            attempt: 0,
            server: server.as_str().into(),
            ending: Ending::Pass,
            request_finished: true,
            body_discarded: false,
            elapsed: 50 * MS,
            actual_units: 1.0,
            metered_share: None,
            load: Some(Load { inflight: Some((n % 5 * 2) as f64), ..Load::default() }),
            via: Via::Unknown,
            open_connections: 0,
        }));
    }
    // The server is one of twelve and has a fifth to three fifths of its capacity.
    assert!((6..=30).contains(&warming), "{warming} of 400 sent to the warming server");
}

// ---- Connection limits ----

/// The connection limits that the actions announce: over all servers (`None`) and for each.
fn connection_limits(actions: &[Action]) -> Vec<(Option<String>, u32)> {
    let limit = |a: &Action| match a {
        Action::Connections { server, limit } => Some((server.as_ref().map(ToString::to_string), *limit)),
        _ => None,
    };
    actions.iter().filter_map(limit).collect()
}

fn connection_limit_of(actions: &[Action], server: &str) -> Option<u32> {
    connection_limits(actions)
        .into_iter()
        .rev()
        .find(|(of, _)| of.as_deref() == Some(server))
        .map(|(_, limit)| limit)
}

/// A gateway with 40 file descriptors and one plan without a quota.
fn harness_with_pool(servers: usize, connections_per_server: u32) -> (Harness, Vec<Action>) {
    let plans = vec![Plan::new("free", 0.0, 0.0)];
    let s = Settings { connections: 40, connections_per_server, plans, gateways: 1, ..settings() };
    let mut harness = Harness {
        gateway: Gateway::new(s, 1, 100 * SEC).expect("settings in range"),
        now: 100 * SEC,
        next_id: 1,
        spread: 1,
    };
    let nodes = (0..servers).map(|i| Harness::node(i, Health::Up)).collect();
    let actions = harness.handle(Event::Fleet { seq: 1, scope: Scope::Full, nodes });
    (harness, actions)
}

impl Harness {
    /// Ends an attempt that used this kind of connection, with this number of open connections.
    fn end_attempt_via(
        &mut self,
        id: u64,
        server: &str,
        ending: Ending,
        via: Via,
        open_connections: u32,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnd(AttemptEnd {
            id,
            attempt: 0,
            server: server.into(),
            ending,
            request_finished: true,
            body_discarded: false,
            elapsed: 50 * MS,
            actual_units: 0.0,
            metered_share: None,
            load: None,
            via,
            open_connections,
        }))
    }

    /// Sends one request and ends its attempt. Returns the server and the actions.
    fn serve_one_request(
        &mut self,
        ending: Ending,
        via: Via,
        open_connections: u32,
    ) -> (String, Vec<Action>) {
        let (id, out) = self.request(0, 0, "c", 1.0);
        let server = sent_to(&out).pop().expect("the request is sent");
        let actions = self.end_attempt_via(id, &server, ending, via, open_connections);
        (server, actions)
    }
}

#[test]
fn announces_connection_limits_only_for_a_caller_with_a_pool() {
    let (_, actions) = harness_with_pool(2, u32::MAX);
    assert_eq!(connection_limits(&actions), [(Some("s0".into()), 40), (Some("s1".into()), 40), (None, 40)]);
    let (_, actions) = harness_with_pool(2, 5);
    assert_eq!(
        (connection_limit_of(&actions, "s0"), connection_limit_of(&actions, "s1")),
        (Some(5), Some(5))
    );
    let mut harness = Harness::new(settings(), 2);
    let (id, out) = harness.request(0, 0, "c", 1.0);
    let server = sent_to(&out).remove(0);
    assert!(
        connection_limits(&harness.end_attempt_via(id, &server, Ending::NoRoute, Via::Refused, 9)).is_empty(),
        "the caller has no pool"
    );
}

#[test]
fn refused_connections_lower_the_limit_and_successes_raise_it_slowly() {
    for (ending, via) in [(Ending::NoRoute, Via::Refused), (Ending::Full, Via::New)] {
        let (mut harness, _) = harness_with_pool(1, u32::MAX);
        let (server, actions) = harness.serve_one_request(ending, via, 8);
        assert_eq!(connection_limits(&actions), [(Some(server.clone()), 6)], "{via:?}");
        // The limit rises by one for every five successful answers per connection, not sooner.
        let mut answers = 0;
        let more = loop {
            let (_, actions) = harness.serve_one_request(Ending::Pass, Via::Reused, 6);
            answers += 1;
            harness.now += 100 * MS;
            if let Some(most) = connection_limit_of(&actions, &server).or((answers == 100).then_some(0)) {
                break most;
            }
        };
        assert_eq!(more, 7);
        assert!((28..=36).contains(&answers), "{answers} answers until the limit is one more than 6");
    }
    // A full queue does not show anything about connections.
    let (mut harness, _) = harness_with_pool(2, u32::MAX);
    assert!(connection_limits(&harness.serve_one_request(Ending::Full, Via::Reused, 8).1).is_empty());
}

#[test]
fn attempts_go_elsewhere_beyond_a_servers_connection_limit() {
    let (mut harness, _) = harness_with_pool(2, u32::MAX);
    let (server, _) = harness.serve_one_request(Ending::NoRoute, Via::Refused, 3);
    let all: Vec<String> = (0..16).flat_map(|_| sent_to(&harness.request(0, 0, "c", 1.0).1)).collect();
    let there = all.iter().filter(|s| **s == server).count();
    assert!(there <= 2, "{there} of {} at a server that can bear 2", all.len());
    assert!(all.len() > 4, "the other server has capacity: {}", all.len());
    // A restart resets the limit.
    let node = Node { since: harness.now, ..Node::new(&server, Health::Up) };
    let out = harness.handle(Event::Fleet { seq: 2, scope: Scope::Changes, nodes: vec![node] });
    assert_eq!(connection_limit_of(&out, &server), Some(40));
}

#[test]
fn two_processes_share_connections() {
    let (mut harness, _) = harness_with_pool(2, u32::MAX);
    let (server, _) = harness.serve_one_request(Ending::NoRoute, Via::Refused, 8);
    let out = harness.handle(Event::PeerProcess { running: true });
    assert_eq!(connection_limit_of(&out, &server), Some(3));
    assert!(connection_limits(&out).contains(&(None, 20)), "{out:?}");
    // The successor continues with the number of connections that the server can bear.
    let s = Settings { connections: 40, gateways: 1, plans: vec![Plan::new("free", 0.0, 0.0)], ..settings() };
    let mut successor = Gateway::new(s, 2, harness.now).expect("settings in range");
    let mut out = Vec::new();
    let snapshot = serde_json::to_string(&harness.gateway.snapshot()).expect("words");
    let snapshot = serde_json::from_str(&snapshot).expect("the snapshot deserializes");
    successor.handle(
        harness.now,
        vec![Event::Restore(Box::new(snapshot)), Event::PeerProcess { running: true }],
        &mut out,
    );
    assert_eq!(connection_limit_of(&out, &server), Some(3));
    let out = harness.handle(Event::PeerProcess { running: false });
    assert_eq!(connection_limit_of(&out, &server), Some(6));
    assert!(connection_limits(&out).contains(&(None, 40)), "{out:?}");
}

/// Hundreds of gateways start within a second, each with more requests than it may send. Together they have
/// only a few attempts, and thus connections, at one server.
#[test]
fn simultaneous_start_opens_few_connections_per_server() {
    let mut in_flight = std::collections::BTreeMap::new();
    for (mut harness, _) in servers_used_by_each(300, 60) {
        for n in 0..30 {
            for server in sent_to(&harness.request(0, 0, &format!("c{n}"), 1.0).1) {
                *in_flight.entry(server).or_insert(0) += 1;
            }
        }
    }
    let most = in_flight.values().copied().max().unwrap_or(0);
    assert!(in_flight.len() == 60 && most <= 90, "{most} attempts at one of {} servers", in_flight.len());
}

/// Number of connections that a new gateway with 12 servers opens for `requests` sequential requests.
fn connections_opened(requests: u32) -> usize {
    let plans = vec![Plan::new("free", 0.0, 0.0)];
    // The answers take as long as a new gateway assumes.
    let classes = vec![Class::new("quote", 200 * MS, SEC, Effect::Safe, Group::All)];
    let s = Settings {
        connections: 400,
        connection_idle_time: 15 * SEC,
        plans,
        classes,
        gateways: 30,
        ..settings()
    };
    let mut harness = Harness::new(s, 12);
    let mut connected = std::collections::BTreeSet::new();
    for n in 0..requests {
        let (id, out) = harness.request(0, 0, &format!("c{n}"), 1.0);
        let server = sent_to(&out).remove(0);
        let via = if connected.insert(server.clone()) { Via::New } else { Via::Reused };
        harness.now += 50 * MS;
        harness.end_attempt_via(id, &server, Ending::Pass, via, 1);
        harness.now += 150 * MS;
    }
    connected.len()
}

#[test]
fn opens_connections_gradually_if_an_open_one_would_do() {
    assert_eq!(connections_opened(6), 1, "the first requests use the first connection");
    // The first connection, and one for each ten attempts.
    assert!((4..=6).contains(&connections_opened(50)), "{} opened by 50 requests", connections_opened(50));
    assert_eq!(connections_opened(200), 12, "all servers in the end");
}

#[test]
fn concurrent_requests_open_connections_without_waiting() {
    let plans = vec![Plan::new("free", 0.0, 0.0)];
    let s = Settings { connections: 400, connection_idle_time: 15 * SEC, plans, gateways: 30, ..settings() };
    let mut harness = Harness::new(s, 12);
    let all: Vec<String> =
        (0..4).flat_map(|n| sent_to(&harness.request(0, 0, &format!("c{n}"), 1.0).1)).collect();
    let different: std::collections::BTreeSet<&String> = all.iter().collect();
    assert_eq!((all.len(), different.len()), (4, 4), "{all:?}");
}
