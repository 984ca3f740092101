//! The module without the bench: events in, actions out.

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

/// A gateway under test, with what came out of it.
struct Rig {
    g: Gateway,
    now: Time,
    next: u64,
    spread: u32,
}

impl Rig {
    fn new(settings: Settings, servers: usize) -> Rig {
        let g = Gateway::new(settings, 1, 100 * SEC).expect("settings in range");
        let mut rig = Rig { g, now: 100 * SEC, next: 1, spread: 1 };
        let nodes = (0..servers).map(|i| Rig::node(i, Health::Up)).collect();
        rig.tell(Event::Fleet { seq: 1, scope: Scope::Cached, nodes });
        rig
    }

    fn node(i: usize, health: Health) -> Node {
        Node { cell: i as u32, ..Node::new(&format!("s{i}"), health) }
    }

    fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.g.handle(self.now, vec![event], &mut out);
        out
    }

    fn request(&mut self, class: usize, plan: usize, customer: &str, units: f64) -> (u64, Vec<Action>) {
        let id = self.next;
        self.next += 1;
        let deadline = self.now + 4 * SEC;
        let r = Request { spread: self.spread, ..Request::new(id, class, plan, customer, deadline, units) };
        (id, self.tell(Event::Request(r)))
    }

    fn end(&mut self, id: u64, attempt: u32, server: &str, ending: Ending) -> Vec<Action> {
        self.end_with(id, attempt, server, ending, 50 * MS, None)
    }

    fn end_with(
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
        self.tell(Event::AttemptEnd(AttemptEnd {
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
fn a_request_with_room_goes_at_once_and_its_answer_ends_it() {
    let mut rig = Rig::new(settings(), 2);
    let (id, out) = rig.request(0, 0, "a", 1.0);
    let server = sent_to(&out).remove(0);
    assert!(rig.end(id, 0, &server, Ending::Pass).is_empty());
    assert!(rig.end(id, 0, &server, Ending::Fault).is_empty(), "a second end of it is ignored");
}

#[test]
fn waiting_plans_are_served_by_weight() {
    let mut rig = Rig::new(settings(), 1);
    let mut out_now = Vec::new();
    for i in 0..40 {
        let (_, out) = rig.request(0, i % 2, &format!("c{i}"), 1.0);
        out_now.extend(sends(&out));
    }
    let waiting = 40 - out_now.len();
    assert!(waiting > 20, "the room is a few attempts, {waiting} wait");
    let mut gold = 0;
    let mut served = 0;
    while served < 15 {
        let id = out_now.remove(0);
        let out = rig.end_with(id, 0, "s0", Ending::Pass, 400 * MS, None);
        for next in sends(&out) {
            served += 1;
            gold += usize::from(next % 2 == 0);
            out_now.push(next);
        }
    }
    assert!((9..=11).contains(&gold), "{gold} of {served} for the plan of twice the weight");
}

#[test]
fn units_in_flight_hold_back_as_attempts_do() {
    let mut rig = Rig::new(settings(), 1);
    let sent = |rig: &mut Rig, units| {
        (0..8).filter(|i| !sends(&rig.request(0, 0, &format!("{units}{i}"), units).1).is_empty()).count()
    };
    let small = sent(&mut rig, 1.0);
    let mut rig = Rig::new(settings(), 1);
    let large = sent(&mut rig, 8.0);
    assert!(large < small, "{large} large and {small} small attempts out");
}

#[test]
fn the_store_passes_its_burst_then_the_chance_refuses() {
    let mut rig = Rig::new(settings(), 40);
    let refused = (0..60)
        .filter(|_| {
            let (id, out) = rig.request(0, 0, "a", 1.0);
            rejected(&out, id)
        })
        .count();
    assert!((30..=40).contains(&refused), "{refused} of 60 refused with a burst of 20");
}

#[test]
fn a_refusal_tells_when_to_return_where_clients_may_be_told() {
    let advice = |retry_after, max_retry_after, units| {
        let mut rig = Rig::new(Settings { retry_after, max_retry_after, ..settings() }, 40);
        let mut refusals = (0..60).flat_map(|_| rig.request(0, 0, "a", units).1);
        let first = refusals.find_map(|a| match a {
            Action::Reject { retry_after, .. } => Some(retry_after),
            _ => None,
        });
        first.expect("a burst of 20 units is less than asked")
    };
    assert_eq!(advice(false, SEC, 1.0), 0);
    let told = advice(true, SEC, 8.0);
    assert!(
        (500 * MS..SEC).contains(&told),
        "{told} ns until 4 units more and a mean request, at 10 a second"
    );
    assert_eq!(advice(true, 100 * MS, 8.0), 100 * MS, "no longer than clients heed");
}

#[test]
fn an_unmetered_burst_is_spread_over_the_gateways() {
    let passed = |spread| {
        let mut rig = Rig::new(settings(), 40);
        rig.spread = spread;
        (0..20)
            .filter(|_| {
                let (id, out) = rig.request(0, 0, "a", 1.0);
                !rejected(&out, id)
            })
            .count()
    };
    assert_eq!(passed(1), 20);
    assert!((10..=14).contains(&passed(2)), "{}", passed(2));
}

#[test]
fn the_chance_keeps_a_heavy_customer_near_its_rate() {
    let mut rig = Rig::new(settings(), 10);
    let mut passed = Vec::new();
    for _ in 0..1500 {
        rig.now += 20 * MS;
        let (id, out) = rig.request(0, 0, "a", 1.0);
        if let Some(server) = sent_to(&out).first() {
            passed.push(rig.now);
            let used = passed.iter().filter(|t| **t + SEC > rig.now).count();
            rig.end_with(id, 0, server, Ending::Pass, 10 * MS, Some(used as f64 / 10.0));
        }
    }
    let late = passed.iter().filter(|t| **t > 110 * SEC).count();
    assert!((170..=230).contains(&late), "{late} units in 20 s at a rate of 10, asked 50");
}

#[test]
fn a_quota_with_room_is_not_refused() {
    let mut rig = Rig::new(settings(), 10);
    for _ in 0..600 {
        rig.now += 150 * MS;
        let (id, out) = rig.request(0, 0, "a", 1.0);
        let server = sent_to(&out).remove(0);
        rig.end_with(id, 0, &server, Ending::Pass, 10 * MS, Some(0.67));
    }
}

#[test]
fn a_metered_neighbour_counts() {
    // The same calls here, 8 a second of 10; by the meter, others use none or three times as much again.
    let passed = |factor: f64| {
        let mut rig = Rig::new(settings(), 10);
        rig.spread = 4;
        let mut passed = Vec::new();
        for _ in 0..400 {
            rig.now += 125 * MS;
            let (id, out) = rig.request(0, 0, "a", 1.0);
            if let Some(server) = sent_to(&out).first() {
                passed.push(rig.now);
                let used = passed.iter().filter(|t| **t + SEC > rig.now).count() as f64 * factor;
                rig.end_with(id, 0, server, Ending::Pass, 10 * MS, Some(used / 10.0));
            }
        }
        passed.iter().filter(|t| **t > 110 * SEC).count()
    };
    let (alone, shared) = (passed(1.0), passed(4.0));
    assert!(alone > 280, "{alone} of 320 pass where nobody else uses the quota");
    assert!((60..=130).contains(&shared), "{shared} of 320 pass where others take three quarters");
}

/// Own use and the meter's must be of the same age, or a gateway that a customer has moved to takes its own
/// part for a small one, multiplies what it passes and refuses with most of the quota unused.
#[test]
fn a_customer_that_moves_here_within_its_quota_is_not_refused_for_long() {
    let mut rig = Rig::new(settings(), 10);
    rig.spread = 4;
    let (mut used, mut refused) = (Vec::new(), 0);
    for step in 0..240 {
        rig.now += 125 * MS;
        // 8 a second of 10 over all gateways: at first 7 of them elsewhere, from 10 s on all here.
        let here = step >= 80 || step % 8 == 0;
        let readable = rig.now / SEC * SEC - SEC;
        let told = used.iter().filter(|t| (readable - SEC..readable).contains(*t)).count();
        if here {
            let (id, out) = rig.request(0, 0, "a", 1.0);
            match sent_to(&out).first() {
                Some(server) => {
                    rig.end_with(id, 0, server, Ending::Pass, 10 * MS, Some(told as f64 / 10.0));
                }
                None => {
                    refused += 1;
                    continue;
                }
            }
        }
        used.push(rig.now);
    }
    assert!(refused <= 8, "{refused} of 170 refused");
}

/// A customer that uses up its quota elsewhere finds no full store where it comes in next.
#[test]
fn what_others_pass_drains_the_store_here() {
    let passed = |metered: f64| {
        let mut rig = Rig::new(settings(), 40);
        rig.spread = 2;
        for _ in 0..20 {
            rig.now += SEC / 2;
            let (id, out) = rig.request(0, 0, "a", 1.0);
            if let Some(server) = sent_to(&out).first() {
                rig.end_with(id, 0, server, Ending::Pass, 10 * MS, Some(metered));
            }
        }
        (0..20).filter(|_| !sends(&rig.request(0, 0, "a", 1.0).1).is_empty()).count()
    };
    let (alone, shared) = (passed(0.2), passed(1.3));
    assert!(alone >= 16 && shared <= 9, "a burst of 20 passes {alone} alone, {shared} of a quota in use");
}

/// A customer that asks four times its quota of ten through four gateways, a quarter of it here; the meter falls silent for
/// 12 s. What passes here in a second before, while it is silent and in the 4 s after.
#[test]
fn while_the_meter_is_silent_and_once_it_is_back_no_more_passes_than_before() {
    let mut sums = [0.0; 3];
    for customer in 0..40 {
        let mut rig = Rig::new(settings(), 40);
        rig.spread = 4;
        let name = format!("customer {customer}");
        for step in 0..460 {
            rig.now += 100 * MS;
            let (id, out) = rig.request(0, 0, &name, 1.0);
            let silent = (180..300).contains(&step);
            let Some(server) = sent_to(&out).first().cloned() else { continue };
            rig.end_with(id, 0, &server, Ending::Pass, 10 * MS, Some(1.0).filter(|_| !silent));
            match step {
                80..180 => sums[0] += 0.1,
                180..300 => sums[1] += 1.0 / 12.0,
                300..340 => sums[2] += 0.25,
                _ => {}
            }
        }
    }
    let [before, silent, after] = sums.map(|sum| sum / 40.0);
    assert!(before > 1.5, "{before} a second pass of a part of 2.5");
    assert!(silent < 1.1 * before, "{silent} a second in the silence, {before} before");
    assert!(after < 1.1 * before, "{after} a second after it, {before} before");
}

#[test]
fn a_guessed_debt_is_forgiven_by_a_meter_that_shows_room() {
    // A burst through what turns out the only gateway, then a pause in which the meter shows no use.
    let after = |metered: f64| {
        let mut rig = Rig::new(settings(), 40);
        rig.spread = 4;
        let (mut id, mut server) = (0, String::new());
        for _ in 0..60 {
            let (i, out) = rig.request(0, 0, "a", 1.0);
            if let Some(s) = sent_to(&out).first() {
                (id, server) = (i, s.clone());
            }
        }
        rig.end_with(id, 0, &server, Ending::Pass, 10 * MS, Some(metered));
        rig.now += 2 * SEC;
        let passes = |rig: &mut Rig| {
            let (id, out) = rig.request(0, 0, "a", 1.0);
            !rejected(&out, id)
        };
        (0..40).filter(|_| passes(&mut rig)).count()
    };
    let (room, none) = (after(0.0), after(4.0));
    assert!(room > none, "{room} pass where the meter shows room, {none} where it shows none");
}

#[test]
fn proof_that_it_never_ran_lets_every_class_be_sent_again() {
    for class in 0..3 {
        for ending in [Ending::Full, Ending::NoRoute] {
            let mut rig = Rig::new(settings(), 2);
            let (id, out) = rig.request(class, 0, "a", 1.0);
            let first = sent_to(&out).remove(0);
            let second = sent_to(&rig.end(id, 0, &first, ending));
            assert_eq!(second.len(), 1, "class {class}, {ending:?}");
            assert_ne!(second[0], first);
        }
    }
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed_not_refused() {
    for ending in [Ending::Fault, Ending::Late, Ending::Cut, Ending::Undone] {
        let mut rig = Rig::new(settings(), 2);
        let (id, out) = rig.request(2, 0, "a", 1.0);
        let out = rig.end(id, 0, &sent_to(&out)[0], ending);
        assert!(failed(&out, id) && sends(&out).is_empty(), "{ending:?}: {out:?}");
    }
}

#[test]
fn a_refusal_as_full_after_a_possible_run_does_not_prove_the_first_harmless() {
    let mut rig = Rig::new(settings(), 1);
    let (id, out) = rig.request(1, 0, "a", 1.0);
    assert_eq!(sent_to(&out), ["s0"]);
    assert_eq!(sent_to(&rig.end(id, 0, "s0", Ending::Fault)), ["s0"]);
    let out = rig.end(id, 1, "s0", Ending::Full);
    assert!(failed(&out, id), "{out:?}");
}

#[test]
fn repeats_of_what_is_turned_away_are_a_part_of_first_attempts_before_rooms_close() {
    for gateways in [1, 3] {
        let plans = vec![Plan::new("free", 0.0, 0.0)];
        let mut rig = Rig::new(Settings { gateways, plans, ..settings() }, 6);
        let (mut all, requests) = (0, 6);
        for n in 0..requests {
            rig.now += 100 * MS;
            let (id, mut out) = rig.request(0, 0, &format!("c{n}"), 1.0);
            assert_eq!(sends(&out), [id], "there is room");
            let mut attempt = 0;
            while let Some(server) = sent_to(&out).pop() {
                rig.now += 5 * MS;
                out = rig.end(id, attempt, &server, Ending::Full);
                attempt += 1;
            }
            assert!(rejected(&out, id), "at once, as nothing has run: {out:?}");
            all += attempt;
        }
        // Up to 1.2 at hand at first, and a fifth of six.
        assert!((requests..=requests + 2).contains(&all), "{all} attempts of {requests} requests");
    }
}

#[test]
fn a_keyed_repeat_stays_in_its_group_and_its_time() {
    let mut rig = Rig::new(settings(), 2);
    let (id, out) = rig.request(1, 0, "a", 1.0);
    let first = sent_to(&out).remove(0);
    assert_eq!(
        sent_to(&rig.end(id, 0, &first, Ending::Fault)),
        [first.as_str()],
        "the other is in another cell"
    );
    let mut rig = Rig::new(settings(), 2);
    let (id, out) = rig.request(1, 0, "a", 1.0);
    rig.now += 2 * SEC;
    let out = rig.end(id, 0, &sent_to(&out)[0], Ending::Fault);
    assert!(failed(&out, id), "past the time for which its key is remembered");
}

#[test]
fn a_queued_request_is_answered_before_its_deadline() {
    let mut rig = Rig::new(settings(), 0);
    let (id, out) = rig.request(0, 0, "a", 1.0);
    let (token, at) = timer(&out);
    assert!(sends(&out).is_empty() && at < rig.now + 4 * SEC);
    rig.now = at;
    assert!(rejected(&rig.tell(Event::Timer { token }), id));
    assert!(rig.tell(Event::Timer { token }).is_empty(), "an old timer is ignored");
}

#[test]
fn an_attempt_that_ends_at_the_deadline_is_failed_at_once() {
    let mut rig = Rig::new(settings(), 1);
    let (id, out) = rig.request(2, 0, "a", 1.0);
    rig.now += 4 * SEC;
    assert!(failed(&rig.end_with(id, 0, &sent_to(&out)[0], Ending::Late, 4 * SEC, None), id));
}

#[test]
fn nothing_goes_to_a_server_that_drains_or_is_gone() {
    for health in [Health::Draining, Health::Removed] {
        let mut rig = Rig::new(settings(), 2);
        let nodes = vec![Rig::node(0, health)];
        rig.tell(Event::Fleet { seq: 2, scope: Scope::Changes, nodes });
        for i in 0..4 {
            let (_, out) = rig.request(0, 0, &format!("c{i}"), 1.0);
            assert!(!sent_to(&out).contains(&"s0".to_string()));
        }
    }
    let mut rig = Rig::new(settings(), 2);
    rig.tell(Event::Fleet { seq: 2, scope: Scope::Full, nodes: vec![Rig::node(1, Health::Up)] });
    let (_, out) = rig.request(0, 0, "a", 1.0);
    assert_eq!(sent_to(&out), ["s1"], "what a full list leaves out is gone");
}

#[test]
fn a_cold_server_gets_no_more_than_its_budget() {
    let mut rig = Rig::new(settings(), 4);
    let mut node = Rig::node(0, Health::Up);
    node.since = rig.now;
    rig.tell(Event::Fleet { seq: 2, scope: Scope::Changes, nodes: vec![node] });
    // Attempts that hang make the three warm servers look worse than the cold one.
    (0..12).for_each(|i| drop(rig.request(0, 0, &format!("w{i}"), 1.0)));
    let mut cold = 0;
    for i in 0..100 {
        rig.now += 20 * MS;
        let (id, out) = rig.request(0, 0, &format!("c{i}"), 1.0);
        for server in sent_to(&out) {
            cold += usize::from(server == "s0");
            rig.end_with(id, 0, &server, Ending::Pass, 10 * MS, None);
        }
    }
    assert!(
        (1..=13).contains(&cold),
        "{cold} of 100 sends in two seconds to a server at a fifth of its pace"
    );
}

#[test]
fn a_ceiling_starts_empty_and_is_kept_alone() {
    let mut s = settings();
    s.plans[0] = Plan { ceiling_rate: 20.0, ceiling_burst: 40.0, ..Plan::new("capped", 1000.0, 1000.0) };
    let mut rig = Rig::new(s, 40);
    rig.spread = 2;
    assert!(sends(&rig.request(0, 0, "a", 1.0).1).is_empty(), "a restart must not refill it");
    let mut sent = 0;
    for _ in 0..400 {
        rig.now += 10 * MS;
        let (id, out) = rig.request(0, 0, "a", 1.0);
        for server in sent_to(&out) {
            sent += 1;
            let _ = (id, server);
        }
    }
    assert!((20..=40).contains(&sent), "{sent} in 4 s at this gateway's 10 a second");
}

#[test]
fn attempts_out_at_once_are_capped_by_this_gateways_share() {
    let mut s = settings();
    s.plans[0].parallel = 4;
    let mut rig = Rig::new(s, 10);
    rig.spread = 2;
    let ids: Vec<_> = (0..4).map(|_| rig.request(0, 0, "a", 1.0)).collect();
    let out: Vec<_> = ids.iter().filter(|(_, out)| !sends(out).is_empty()).collect();
    assert_eq!(out.len(), 2);
    let next = rig.end(out[0].0, 0, &sent_to(&out[0].1)[0], Ending::Pass);
    assert_eq!(sends(&next), [ids[2].0], "the next goes when one comes back");
}

#[test]
fn a_server_that_fails_fast_is_ejected_and_returns_on_trial() {
    let mut rig = Rig::new(Settings { gateways: 20, ..settings() }, 12);
    let run = |rig: &mut Rig, n: usize, bad: bool, class: usize| {
        let mut hits = 0;
        for i in 0..n {
            rig.now += 20 * MS;
            let (id, out) = rig.request(class, 0, &format!("c{i}{}", rig.now), 1.0);
            let mut attempt = 0;
            let mut to = sent_to(&out);
            while let Some(server) = to.pop() {
                let fails = bad && server == "s0";
                hits += usize::from(server == "s0");
                let ending = if fails { Ending::Fault } else { Ending::Pass };
                to = sent_to(&rig.end_with(id, attempt, &server, ending, 250 * MS, None));
                attempt += 1;
            }
        }
        hits
    };
    let early = run(&mut rig, 40, true, 0);
    assert!((1..=6).contains(&early), "{early} of 40 tries before it is out");
    assert_eq!(rig.g.ejected(), 1, "operators see it");
    rig.now += 20 * SEC;
    assert_eq!(run(&mut rig, 10, true, 2), 0, "unsafe work is not the trial");
    rig.now += 80 * SEC;
    assert!(run(&mut rig, 200, false, 0) >= 2, "a server that answers again is used again");
    assert_eq!(rig.g.ejected(), 0);
}

#[test]
fn late_answers_from_all_over_close_the_rooms() {
    // A jam over the whole fleet: without this, what waits here keeps the servers too full to recover.
    let sent_at_once = |elapsed: Time| {
        let mut rig = Rig::new(settings(), 10);
        for i in 0..60 {
            rig.now += 20 * MS;
            let (id, out) = rig.request(0, 0, &format!("c{i}"), 1.0);
            let server = sent_to(&out).remove(0);
            rig.end_with(id, 0, &server, Ending::Pass, elapsed, None);
        }
        (0..60).filter(|i| !sends(&rig.request(0, 0, &format!("d{i}"), 1.0).1).is_empty()).count()
    };
    let (calm, jammed) = (sent_at_once(50 * MS), sent_at_once(900 * MS));
    assert!(jammed * 4 < calm, "{jammed} after late answers, {calm} after timely ones");
}

#[test]
fn a_hung_server_is_left_alone_while_it_is_silent() {
    let mut rig = Rig::new(settings(), 2);
    let (_, out) = rig.request(2, 0, "a", 1.0);
    let hung = sent_to(&out).remove(0);
    for i in 0..20 {
        rig.now += 200 * MS;
        let (id, out) = rig.request(0, 0, &format!("c{i}"), 1.0);
        let server = sent_to(&out).remove(0);
        assert_ne!(server, hung, "request {i}");
        rig.end(id, 0, &server, Ending::Pass);
    }
}

/// A server that hangs is left in time; a large request that takes long everywhere is not begun anew.
#[test]
fn patience_grows_with_the_units_of_a_request() {
    let mut rig = Rig::new(settings(), 4);
    for i in 0..200 {
        rig.now += 100 * MS;
        let (id, out) = rig.request(0, 0, &format!("c{i}"), 1.0);
        let server = sent_to(&out).remove(0);
        rig.end(id, 0, &server, Ending::Pass);
    }
    let mut limit = |units| {
        let (_, out) = rig.request(0, 0, &format!("u{units}"), units);
        let limit = out.iter().find_map(|a| match a {
            Action::Send { attempt_deadline, .. } => Some(*attempt_deadline - rig.now),
            _ => None,
        });
        limit.expect("it has room")
    };
    let (small, large) = (limit(1.0), limit(8.0));
    assert!(small < SEC, "{small} ns: there is time for another server");
    assert_eq!(large, 4 * SEC, "until its deadline");
}

#[test]
fn a_client_that_left_is_owed_nothing_but_holds_its_room() {
    let mut rig = Rig::new(Settings { cancelling: true, ..settings() }, 1);
    let (id, out) = rig.request(0, 0, "a", 1.0);
    let server = sent_to(&out).remove(0);
    assert_eq!(rig.tell(Event::ClientGone { id }), [Action::Cancel { id, attempt: 0 }]);
    assert!(rig.end(id, 0, &server, Ending::Undone).is_empty());
}

#[test]
fn a_stream_that_broke_is_over() {
    let mut s = settings();
    s.classes[0].stream = true;
    let mut rig = Rig::new(s, 2);
    let (id, out) = rig.request(0, 0, "a", 1.0);
    rig.tell(Event::Streaming { id, attempt: 0 });
    assert!(rig.end(id, 0, &sent_to(&out)[0], Ending::Cut).is_empty());
}

#[test]
fn discovery_that_must_be_asked_is_asked_and_asked_again() {
    let s = Settings { subscribe: true, ..settings() };
    let mut g = Gateway::new(s, 1, SEC).expect("settings in range");
    let mut out = Vec::new();
    g.handle(SEC, vec![Event::Fleet { seq: 0, scope: Scope::Cached, nodes: vec![] }], &mut out);
    assert_eq!(out, [Action::Subscribe { on: true }]);
    out.clear();
    g.handle(2 * SEC, vec![Event::Fleet { seq: 0, scope: Scope::Failed, nodes: vec![] }], &mut out);
    let Some(Action::Timer { token, at }) = out.pop() else { panic!("{out:?}") };
    g.handle(at, vec![Event::Timer { token }], &mut out);
    assert_eq!(out, [Action::Subscribe { on: true }]);
}

#[test]
fn unknown_ids_are_ignored() {
    let mut rig = Rig::new(settings(), 1);
    assert!(rig.end(99, 0, "nobody", Ending::Pass).is_empty());
    assert!(rig.tell(Event::ClientGone { id: 99 }).is_empty());
    assert!(rig.tell(Event::Timer { token: 99 }).is_empty());
    assert!(rig.request(9, 0, "a", 1.0).1.is_empty());
}

#[test]
fn settings_out_of_range_are_named() {
    for bad in [-1.0, f64::NAN, f64::INFINITY] {
        let mut s = settings();
        s.plans[1].rate = bad;
        let told = Gateway::new(s, 1, 0).err().expect("refused");
        assert!(told.contains("gold") && told.contains("rate"), "{told}");
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut rig = Rig::new(settings(), 5);
        let mut all = Vec::new();
        for i in 0..300 {
            rig.now += 5 * MS;
            let (id, out) = rig.request(i % 3, i % 2, &format!("c{}", i % 7), 1.0 + (i % 8) as f64);
            if let (0, Some(server)) = (i % 2, sent_to(&out).first()) {
                all.extend(rig.end(id, 0, server, Ending::Pass));
            }
            all.extend(out);
        }
        all
    };
    assert_eq!(run(), run());
}

#[test]
fn a_cold_server_gets_its_part_of_the_traffic_over_many_gateways() {
    // A floor of one attempt a gateway would send this server 200 at once, whatever its warmth.
    let mut sent = 0;
    for seed in 0..200 {
        let s = Settings { gateways: 200, gateway_index: seed as u32, ..settings() };
        let mut g = Gateway::new(s, seed, 100 * SEC).expect("settings in range");
        let mut out = Vec::new();
        let mut nodes: Vec<_> = (0..20).map(|i| Rig::node(i, Health::Up)).collect();
        nodes[0].since = 100 * SEC;
        g.handle(100 * SEC, vec![Event::Fleet { seq: 1, scope: Scope::Full, nodes }], &mut out);
        let r = Request::new(1, 0, 0, "a", 104 * SEC, 1.0);
        g.handle(100 * SEC, vec![Event::Request(r)], &mut out);
        sent += sent_to(&out).iter().filter(|s| *s == "s0").count();
    }
    assert!(sent <= 6, "{sent} of 200 sends to one of 20 servers at a fifth of its pace");
}

#[test]
fn many_gateways_do_not_pick_the_same_server() {
    let mut hits = std::collections::BTreeMap::new();
    for seed in 0..200 {
        let s = Settings { gateways: 200, gateway_index: seed as u32, ..settings() };
        let mut g = Gateway::new(s, seed, 100 * SEC).expect("settings in range");
        let mut out = Vec::new();
        let nodes = (0..20).map(|i| Rig::node(i, Health::Up)).collect();
        g.handle(100 * SEC, vec![Event::Fleet { seq: 1, scope: Scope::Full, nodes }], &mut out);
        let r = Request::new(1, 0, 0, "a", 104 * SEC, 1.0);
        g.handle(100 * SEC, vec![Event::Request(r)], &mut out);
        sent_to(&out).into_iter().for_each(|s| *hits.entry(s).or_insert(0) += 1);
    }
    let most = hits.values().max().copied().unwrap_or(0);
    assert!(hits.len() >= 18 && most <= 25, "{} servers used, {most} sends to one", hits.len());
}

#[test]
fn a_class_that_goes_unanswered_somewhere_moves_to_servers_that_answer_it() {
    // s0..s5 leave orders unanswered and serve quotes as usual: orders move, quotes stay.
    let mut rig = Rig::new(Settings { gateways: 20, ..settings() }, 10);
    let sick = |server: &str| server.as_bytes()[1] < b'6';
    let mut hits = [[0; 2]; 2];
    for i in 0..1200 {
        rig.now += 50 * MS;
        let class = if i % 2 == 0 { 2 } else { 0 };
        let (id, out) = rig.request(class, 0, &format!("c{i}"), 1.0);
        let server = sent_to(&out).remove(0);
        if i >= 1000 {
            hits[class / 2][usize::from(sick(&server))] += 1;
        }
        let ending = if class == 2 && sick(&server) { Ending::Late } else { Ending::Pass };
        rig.end(id, 0, &server, ending);
    }
    let ([_, quotes], [_, orders]) = (hits[0], hits[1]);
    assert!(orders <= 10, "{orders} of 100 orders to servers that leave them unanswered");
    assert!(quotes >= 20, "{quotes} of 100 quotes to servers that serve them as usual");
}

#[test]
fn a_plan_that_some_servers_turn_away_goes_elsewhere() {
    let mut rig = Rig::new(Settings { gateways: 20, ..settings() }, 10);
    let strict = |server: &str| server.as_bytes()[1] < b'5';
    let mut hits = [0; 2];
    for i in 0..1200 {
        rig.now += 50 * MS;
        let plan = i % 2;
        let (id, out) = rig.request(0, plan, &format!("c{i}"), 1.0);
        let (mut to, mut attempt) = (sent_to(&out), 0);
        while let Some(server) = to.pop() {
            let full = plan == 0 && strict(&server);
            hits[plan] += usize::from(i >= 1050 && strict(&server));
            let ending = if full { Ending::Full } else { Ending::Pass };
            to = sent_to(&rig.end(id, attempt, &server, ending));
            attempt += 1;
        }
    }
    assert!(hits[0] <= 8, "{} of 75 of the plan to servers that turn it away", hits[0]);
    assert!(hits[1] >= 15, "{} of 75 of the other plan to the same servers", hits[1]);
}

#[test]
fn at_a_wide_spread_the_meter_decides() {
    // One request a second through one of 200 gateways: more pass while the meter shows room than while it
    // shows three times the rate.
    let passed = |metered: f64| {
        let mut rig = Rig::new(Settings { gateways: 200, ..settings() }, 10);
        rig.spread = 200;
        (0..60)
            .filter(|_| {
                rig.now += SEC;
                let (id, out) = rig.request(0, 0, "a", 1.0);
                sent_to(&out).first().map(|s| rig.end_with(id, 0, s, Ending::Pass, 50 * MS, Some(metered)));
                !rejected(&out, id)
            })
            .count()
    };
    assert!(passed(0.3) > 2 * passed(3.0), "{} of 60 where the meter shows room", passed(0.3));
    assert!((1..=30).contains(&passed(3.0)), "{} of 60 where the meter shows thrice the rate", passed(3.0));
}

#[test]
fn customers_not_known_yet_meet_what_such_customers_ask() {
    // Each comes once: whatever the store of one may hold, only the meter's word on the others tells. They ask so
    // many times their rate, and every gateway lets pass as many as this one.
    let passed = |asked: f64, over_cost: f64, spread: u32| {
        let plans = vec![Plan { over_cost, ..Plan::new("basic", 10.0, 20.0) }];
        let mut rig = Rig::new(Settings { gateways: 200, plans, ..settings() }, 10);
        rig.spread = spread;
        let (mut passed, mut share) = (0, 1.0);
        for n in 0..600 {
            rig.now += 100 * MS;
            let (id, out) = rig.request(0, 0, &format!("c{n}"), 1.0);
            let to = sent_to(&out);
            to.first().map(|s| rig.end_with(id, 0, s, Ending::Pass, 50 * MS, Some(asked * share)));
            passed += to.len();
            share += (to.len() as f64 - share) * 0.02;
        }
        passed
    };
    assert_eq!(passed(0.8, 1.0, 200), 600, "all are within their quotas");
    // The store holds so little of 200 gateways that the meter knows half of the whole.
    let (free, dear) = (passed(2.0, 0.0, 200), passed(2.0, 1.0, 200));
    assert!((360..=480).contains(&free), "{free} of 600 that ask twice their rate");
    assert!((240..=360).contains(&dear), "{dear} of 600 where what is beyond costs as much again");
    assert!(passed(2.0, 1.0, 1) > 570, "a gateway that sees all of them keeps their stores itself");
}

#[test]
fn a_server_out_by_hand_stays_out_over_any_list_and_returns_cold() {
    let mut rig = Rig::new(settings(), 2);
    let share = |rig: &mut Rig| {
        let mut to = 0;
        for n in 0..200u64 {
            let (id, actions) = rig.request(0, 0, &format!("c{n}"), 1.0);
            let server = sent_to(&actions);
            to += usize::from(server == ["s1"]);
            rig.tell(Event::AttemptEnd(AttemptEnd {
                id,
                attempt: 0,
                server: server[0].as_str().into(),
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
        to
    };
    let name: Name = "s1".into();
    for _ in 0..2 {
        rig.tell(Event::Disable { server: name.clone() });
    }
    for scope in [Scope::Changes, Scope::Full] {
        let nodes = (0..2).map(|i| Rig::node(i, Health::Up)).collect();
        rig.tell(Event::Fleet { seq: 2, scope, nodes });
        assert_eq!(rig.g.ejected(), 1);
        assert_eq!(share(&mut rig), 0);
    }
    rig.tell(Event::Enable { server: name.clone() });
    assert_eq!(rig.g.ejected(), 0);
    // The list comes again and tells nothing of its restart.
    let nodes = (0..2).map(|i| Rig::node(i, Health::Up)).collect();
    rig.tell(Event::Fleet { seq: 3, scope: Scope::Full, nodes });
    let cold = share(&mut rig);
    assert!((5..=60).contains(&cold), "{cold} of 200 at a fifth of its capacity");
    // A call that changes nothing does not cool it again.
    rig.now += 11 * SEC;
    rig.tell(Event::Enable { server: name });
    // Warm, it is never held back: of two requests at once each server gets one.
    for n in 0..10 {
        let pair: Vec<_> = (0..2).map(|i| rig.request(0, 0, &format!("d{n}{i}"), 1.0)).collect();
        let mut to: Vec<String> = pair.iter().flat_map(|(_, actions)| sent_to(actions)).collect();
        for (id, out) in &pair {
            rig.end_with(*id, 0, &sent_to(out)[0], Ending::Pass, 10 * MS, None);
        }
        to.sort();
        assert_eq!(to, ["s0", "s1"]);
    }
}

/// Two processes of one gateway, each told at once what the other does.
struct Pair {
    old: Rig,
    new: Rig,
}

impl Pair {
    fn of(mut old: Rig, settings: Settings) -> Pair {
        let g = Gateway::new(settings, 2, old.now).expect("settings in range");
        let mut new = Rig { g, now: old.now, next: 1_000_000, spread: 1 };
        let nodes = (0..2).map(|i| Rig::node(i, Health::Up)).collect();
        new.tell(Event::Fleet { seq: 1, scope: Scope::Cached, nodes });
        let snapshot = serde_json::to_string(&old.g.snapshot()).expect("it can be worded");
        new.tell(Event::Restore(Box::new(serde_json::from_str(&snapshot).expect("and read"))));
        new.tell(Event::PeerProcess { running: true });
        let told = old.tell(Event::PeerProcess { running: true });
        Pair::pass(&told, &mut new);
        Pair { old, new }
    }

    fn pass(actions: &[Action], to: &mut Rig) {
        for action in actions {
            if let Action::Share(share) = action {
                assert!(!to
                    .tell(Event::PeerShare(share.clone()))
                    .iter()
                    .any(|a| matches!(a, Action::Share(_))));
            }
        }
    }

    /// A request to one of the two; where it went, after its answer.
    fn ask(&mut self, new: bool, plan: usize, units: f64) -> Vec<String> {
        let (one, other) = if new { (&mut self.new, &mut self.old) } else { (&mut self.old, &mut self.new) };
        let (id, actions) = one.request(0, plan, "c", units);
        Pair::pass(&actions, other);
        let to = sent_to(&actions);
        for server in &to {
            Pair::pass(&one.end_with(id, 0, server, Ending::Pass, 10 * MS, None), other);
        }
        to
    }
}

#[test]
fn two_processes_of_a_gateway_keep_one_quota() {
    let s = Settings { gateways: 1, ..settings() };
    let sent = |alone: bool| {
        let mut rig = Rig::new(s.clone(), 2);
        let before = (0..10).filter(|_| {
            let (id, actions) = rig.request(0, 0, "c", 1.0);
            let to = sent_to(&actions);
            to.iter().for_each(|server| drop(rig.end_with(id, 0, server, Ending::Pass, 10 * MS, None)));
            !to.is_empty()
        });
        let before = before.count();
        let mut pair = Pair::of(rig, s.clone());
        before + (0..200).filter(|n| !pair.ask(!alone && n % 2 == 0, 0, 1.0).is_empty()).count()
    };
    let (alone, both) = (sent(true), sent(false));
    assert!(both <= alone + 4, "{both} pass through two, {alone} through one, of a store of 20");
}

#[test]
fn two_processes_of_a_gateway_keep_one_ceiling() {
    let mut s = Settings { gateways: 1, ..settings() };
    s.plans[0] = Plan { ceiling_rate: 20.0, ceiling_burst: 10.0, ..Plan::new("basic", 1000.0, 1000.0) };
    let mut rig = Rig::new(s.clone(), 2);
    rig.now += SEC;
    let mut pair = Pair::of(rig, s);
    let sent = (0..40).filter(|n| !pair.ask(n % 2 == 0, 0, 1.0).is_empty()).count();
    assert!((8..=10).contains(&sent), "{sent} sent on under a ceiling of 10 at once");
}

#[test]
fn what_one_process_has_out_takes_room_from_the_other_until_it_ends() {
    let s = Settings { gateways: 1, ..settings() };
    let mut pair = Pair::of(Rig::new(s.clone(), 2), s);
    let mut sent = 0;
    for n in 0..100 {
        let (_, actions) = pair.old.request(0, 0, &format!("c{n}"), 1.0);
        sent += sends(&actions).len();
        Pair::pass(&actions, &mut pair.new);
    }
    assert!(sent < 100, "rooms are finite");
    let (_, actions) = pair.new.request(0, 1, "d", 1.0);
    assert!(sends(&actions).is_empty(), "all room is taken");
    let actions = pair.new.tell(Event::PeerProcess { running: false });
    assert_eq!(sends(&actions).len(), 1, "what was beside it is over");
}

#[test]
fn a_cold_server_that_shows_its_pace_gets_more_than_the_least_and_a_slow_one_does_not() {
    let to_cold = |pace: Time| {
        let mut rig = Rig::new(settings(), 4);
        let answer = |rig: &mut Rig, id: u64, server: &str, elapsed: Time| {
            rig.tell(Event::AttemptEnd(AttemptEnd {
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
            let (id, out) = rig.request(0, 0, &format!("a{n}"), 1.0);
            answer(&mut rig, id, &sent_to(&out)[0], 40 * MS);
        }
        rig.now += SEC;
        let node = Node { since: rig.now, ..Rig::node(0, Health::Up) };
        rig.tell(Event::Fleet { seq: 2, scope: Scope::Changes, nodes: vec![node] });
        // Attempts that hang make the warm servers look worse than the cold one.
        for n in 0..14 {
            let (id, out) = rig.request(0, 0, &format!("w{n}"), 1.0);
            if sent_to(&out) == ["s0"] {
                answer(&mut rig, id, "s0", pace);
            }
        }
        let mut cold = 0;
        for n in 0..1000 {
            rig.now += 2 * MS;
            let (id, out) = rig.request(0, 0, &format!("c{n}"), 1.0);
            for server in sent_to(&out) {
                cold += usize::from(server == "s0");
                answer(&mut rig, id, &server, if server == "s0" { pace } else { 40 * MS });
            }
        }
        cold
    };
    let (fast, slow) = (to_cold(40 * MS), to_cold(140 * MS));
    assert!((30..=110).contains(&slow), "{slow} of 1000 at a third of a warm one's pace");
    assert!(fast > slow * 6 / 5 && fast < slow * 2, "{fast} of 1000, {slow} for a slow one");
}

#[test]
fn in_a_queue_that_waits_a_worthier_class_goes_first() {
    let mut s = settings();
    s.classes[1].value = 2.0;
    let mut rig = Rig::new(s, 1);
    let mut out = Vec::new();
    loop {
        let (id, actions) = rig.request(0, 0, &format!("f{}", rig.next), 1.0);
        if sends(&actions).is_empty() {
            break;
        }
        out.push(id);
        assert!(out.len() < 100, "room is finite");
    }
    // One of the lower class waits already.
    let (worthy, _) = rig.request(1, 0, "a", 1.0);
    let (second, _) = rig.request(1, 0, "b", 1.0);
    let gone: Vec<u64> = out
        .iter()
        .take(3)
        .flat_map(|id| sends(&rig.end_with(*id, 0, "s0", Ending::Pass, 400 * MS, None)))
        .collect();
    assert!(gone.starts_with(&[worthy, second]), "{gone:?}");
}

/// The first to go, of two that wait for room at a server that so many gateways use.
fn first_of_two(gateways: u32) -> usize {
    let s = Settings { gateways, plans: vec![Plan::new("free", 0.0, 0.0)], ..settings() };
    let mut rig = Rig::new(s, 1);
    let mut out = None;
    let mut waiting = Vec::new();
    while waiting.len() < 2 {
        let (id, actions) = rig.request(0, 0, &format!("f{}", rig.next), 1.0);
        match sends(&actions).is_empty() {
            false => out = Some(id),
            true => waiting.push(id),
        }
        assert!(rig.next < 100, "room is finite");
    }
    let out = out.expect("one goes out");
    let mut gone = sends(&rig.end(out, 0, "s0", Ending::Pass));
    // A gateway that rests after an attempt goes on with time.
    rig.now += 200 * MS;
    gone.extend(sends(&rig.tell(Event::Timer { token: 0 })));
    let first = gone.first().expect("one of them goes");
    waiting.iter().position(|id| id == first).expect("of those that wait")
}

#[test]
fn the_newest_goes_first_only_where_the_room_is_less_than_one_attempt() {
    assert_eq!((first_of_two(2), first_of_two(30)), (0, 1));
}

#[test]
fn one_late_answer_in_five_leaves_the_rooms_open() {
    let room = |late: bool| {
        let mut rig = Rig::new(settings(), 3);
        for n in 0..300 {
            let (id, out) = rig.request(0, 0, &format!("c{n}"), 1.0);
            let took = if late && n % 5 == 0 { 500 * MS } else { 50 * MS };
            rig.end_with(id, 0, &sent_to(&out)[0], Ending::Pass, took, None);
        }
        (0..100).filter(|n| !sends(&rig.request(0, 0, &format!("d{n}"), 1.0).1).is_empty()).count()
    };
    let (open, late) = (room(false), room(true));
    assert!(late + 1 >= open, "{late} at once of {open}");
}

/// What a gateway of so many sends at once after answers that were late, each so long after the last.
fn at_once_after_late(gateways: u32, count: u32, apart: Time) -> usize {
    let s = Settings { gateways, plans: vec![Plan::new("free", 0.0, 0.0)], ..settings() };
    let mut rig = Rig::new(s, 12);
    for n in 0..count {
        let (id, out) = rig.request(0, 0, &format!("c{n}"), 1.0);
        rig.now += apart;
        let server = sent_to(&out).pop().unwrap_or("s0".to_string());
        rig.end_with(id, 0, &server, Ending::Pass, 400 * MS, None);
    }
    (0..100).filter(|n| !sends(&rig.request(0, 0, &format!("d{n}"), 1.0).1).is_empty()).count()
}

#[test]
fn a_gateway_that_sees_few_answers_closes_as_fast_as_one_that_sees_many() {
    // Two seconds of late answers, of a fleet of 20: four of them, and forty.
    let (few, many) = (at_once_after_late(20, 4, SEC / 2), at_once_after_late(20, 40, SEC / 20));
    assert!(few <= many + 2 && few <= 3, "{few} at once after few answers, {many} after many");
}

/// The most attempts out at once, of a fleet whose servers take 0.4 s for each, after it has learnt so.
fn out_at_once(gateways: u32) -> u32 {
    let start = |me| {
        let s =
            Settings { gateways, gateway_index: me, plans: vec![Plan::new("free", 0.0, 0.0)], ..settings() };
        let g = Gateway::new(s, u64::from(me), 100 * SEC).expect("in range");
        let mut rig = Rig { g, now: 100 * SEC, next: 1, spread: 1 };
        rig.tell(large_list(0..4));
        rig
    };
    let mut fleet: Vec<Rig> = (0..gateways).map(start).collect();
    // By gateway: when an attempt ends, its request and its server.
    let mut held: Vec<Vec<(Time, u64, String)>> = vec![Vec::new(); fleet.len()];
    let mut most = 0;
    for step in 0..2000 {
        let mut out = 0;
        for (n, (rig, held)) in fleet.iter_mut().zip(&mut held).enumerate() {
            rig.now = 100 * SEC + step * 10 * MS;
            let now = rig.now;
            // All ask at once, and ever again.
            if (step + n as u64) % 50 == 0 {
                let (_, actions) = rig.request(0, 0, &format!("c{step}"), 1.0);
                let sent = sends(&actions).into_iter().zip(sent_to(&actions));
                held.extend(sent.map(|(id, server)| (now + 400 * MS, id, server)));
            }
            let (done, rest) = held.drain(..).partition(|(at, ..)| *at <= now);
            *held = rest;
            for (_, id, server) in done {
                let actions = rig.end_with(id, 0, &server, Ending::Pass, 400 * MS, None);
                let more = sends(&actions).into_iter().zip(sent_to(&actions));
                held.extend(more.map(|(id, server)| (now + 400 * MS, id, server)));
            }
            out += held.len() as u32;
        }
        if step > 1000 {
            most = most.max(out);
        }
    }
    most
}

#[test]
fn a_large_fleet_has_less_than_one_attempt_out_for_each_gateway_where_all_are_late() {
    let most = out_at_once(200);
    assert!(most <= 100, "{most} out at once of 200 gateways at 4 servers");
}

/// Servers of three zones, as a list of a large fleet has them.
fn large_list(servers: impl Iterator<Item = usize>) -> Event {
    let node = |i: usize| Node { zone: i as u32 % 3, ..Node::new(&format!("s{i:02}"), Health::Up) };
    Event::Fleet { seq: 1, scope: Scope::Full, nodes: servers.map(node).collect() }
}

/// The servers that each of so many gateways sends to, by the numbers in their names, and the gateways.
fn used_by(gateways: u32, servers: usize) -> Vec<(Rig, std::collections::BTreeSet<usize>)> {
    let start = |me| {
        let s = Settings { gateways, gateway_index: me, ..settings() };
        let mut rig = Rig { g: Gateway::new(s, 7, 100 * SEC).unwrap(), now: 100 * SEC, next: 1, spread: 1 };
        rig.tell(large_list(0..servers));
        let used = uses(&mut rig);
        (rig, used)
    };
    (0..gateways).map(start).collect()
}

fn uses(rig: &mut Rig) -> std::collections::BTreeSet<usize> {
    let mut used = std::collections::BTreeSet::new();
    for n in 0..150 {
        rig.now += SEC;
        let (id, out) = rig.request(0, 0, &format!("c{n}"), 1.0);
        for server in sent_to(&out) {
            used.insert(server[1..].parse().unwrap());
            rig.end(id, 0, &server, Ending::Pass);
        }
    }
    used
}

#[test]
fn each_gateway_of_a_large_fleet_uses_a_part_of_the_servers_and_each_server_has_equally_many() {
    let mut users = [0; 60];
    for (_, used) in used_by(100, 60) {
        assert_eq!(used.len(), 12);
        for zone in 0..3 {
            assert_eq!(used.iter().filter(|s| **s % 3 == zone).count(), 4, "no zone's loss takes more");
        }
        used.iter().for_each(|s| users[*s] += 1);
    }
    assert!(users.iter().all(|n| (18..=22).contains(n)), "{users:?}");
}

#[test]
fn a_small_fleet_uses_every_server() {
    assert!(used_by(3, 9).iter().all(|(_, used)| used.len() == 9));
}

#[test]
fn a_change_of_the_list_turns_over_little_of_what_each_gateway_uses() {
    for (mut rig, before) in used_by(100, 60) {
        rig.tell(large_list((0..60).filter(|i| ![7, 20].contains(i)).chain([61])));
        let after = uses(&mut rig);
        assert_eq!(after.len(), 12);
        assert!(after.difference(&before).count() <= 4, "{before:?} {after:?}");
        // The loss of a zone leaves the others in use and is made up for from them.
        rig.tell(large_list((0..60).filter(|i| i % 3 != 0)));
        let after = uses(&mut rig);
        assert_eq!(after.len(), 12);
        assert!(after.intersection(&before).count() >= 4, "{before:?} {after:?}");
    }
}

#[test]
fn a_cold_server_has_its_part_where_some_other_is_always_known_to_be_idle() {
    let mut rig = Rig::new(Settings { gateways: 100, ..settings() }, 12);
    let node = Node { since: rig.now, ..Rig::node(0, Health::Up) };
    rig.tell(Event::Fleet { seq: 2, scope: Scope::Changes, nodes: vec![node] });
    let mut cold = 0;
    for n in 0..400 {
        rig.now += 12 * MS;
        let (id, out) = rig.request(0, 0, &format!("c{n}"), 1.0);
        let server = sent_to(&out).remove(0);
        cold += usize::from(server == "s0");
        rig.tell(Event::AttemptEnd(AttemptEnd {
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
    // From a fifth to three fifths of the capacity of one in twelve.
    assert!((6..=30).contains(&cold), "{cold} of 400");
}

// ---- How many connections ----

/// What the pool is told: over all servers (None) and for each.
fn told(actions: &[Action]) -> Vec<(Option<String>, u32)> {
    let tells = |a: &Action| match a {
        Action::Connections { server, limit } => Some((server.as_ref().map(ToString::to_string), *limit)),
        _ => None,
    };
    actions.iter().filter_map(tells).collect()
}

fn told_of(actions: &[Action], server: &str) -> Option<u32> {
    told(actions).into_iter().rev().find(|(of, _)| of.as_deref() == Some(server)).map(|(_, most)| most)
}

/// A gateway with 40 descriptors for so many servers, and one plan without a quota.
fn pooled(servers: usize, connections_each: u32) -> (Rig, Vec<Action>) {
    let plans = vec![Plan::new("free", 0.0, 0.0)];
    let s = Settings {
        connections: 40,
        connections_per_server: connections_each,
        plans,
        gateways: 1,
        ..settings()
    };
    let mut rig =
        Rig { g: Gateway::new(s, 1, 100 * SEC).expect("in range"), now: 100 * SEC, next: 1, spread: 1 };
    let nodes = (0..servers).map(|i| Rig::node(i, Health::Up)).collect();
    let actions = rig.tell(Event::Fleet { seq: 1, scope: Scope::Full, nodes });
    (rig, actions)
}

impl Rig {
    /// The end of an attempt, with how it came by its connection and how many there are.
    fn end_via(&mut self, id: u64, server: &str, ending: Ending, via: Via, links: u32) -> Vec<Action> {
        self.tell(Event::AttemptEnd(AttemptEnd {
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
            open_connections: links,
        }))
    }

    /// One more request goes to a server, and ends there so.
    fn once(&mut self, ending: Ending, via: Via, links: u32) -> (String, Vec<Action>) {
        let (id, out) = self.request(0, 0, "c", 1.0);
        let server = sent_to(&out).pop().expect("it goes out");
        let told = self.end_via(id, &server, ending, via, links);
        (server, told)
    }
}

#[test]
fn the_pool_is_told_what_the_descriptors_bear_and_who_sets_a_bound_of_his_own() {
    let (_, actions) = pooled(2, u32::MAX);
    assert_eq!(told(&actions), [(Some("s0".into()), 40), (Some("s1".into()), 40), (None, 40)]);
    let (_, actions) = pooled(2, 5);
    assert_eq!((told_of(&actions, "s0"), told_of(&actions, "s1")), (Some(5), Some(5)));
    let mut rig = Rig::new(settings(), 2);
    let (id, out) = rig.request(0, 0, "c", 1.0);
    let server = sent_to(&out).remove(0);
    assert!(told(&rig.end_via(id, &server, Ending::NoRoute, Via::Refused, 9)).is_empty(), "no pool to tell");
}

#[test]
fn a_server_that_turns_new_connections_away_gets_fewer_and_slowly_more_again() {
    for (ending, via) in [(Ending::NoRoute, Via::Refused), (Ending::Full, Via::New)] {
        let (mut rig, _) = pooled(1, u32::MAX);
        let (server, actions) = rig.once(ending, via, 8);
        assert_eq!(told(&actions), [(Some(server.clone()), 6)], "{via:?}");
        // One more for each five rounds of good answers, not sooner.
        let mut answers = 0;
        let more = loop {
            let (_, actions) = rig.once(Ending::Pass, Via::Reused, 6);
            answers += 1;
            rig.now += 100 * MS;
            if let Some(most) = told_of(&actions, &server).or((answers == 100).then_some(0)) {
                break most;
            }
        };
        assert_eq!(more, 7);
        assert!((28..=36).contains(&answers), "{answers} answers for one more than 6");
    }
    // A full queue says nothing of connections.
    let (mut rig, _) = pooled(2, u32::MAX);
    assert!(told(&rig.once(Ending::Full, Via::Reused, 8).1).is_empty());
}

#[test]
fn attempts_do_not_wait_for_connections_that_a_server_does_not_bear() {
    let (mut rig, _) = pooled(2, u32::MAX);
    let (server, _) = rig.once(Ending::NoRoute, Via::Refused, 3);
    let all: Vec<String> = (0..16).flat_map(|_| sent_to(&rig.request(0, 0, "c", 1.0).1)).collect();
    let there = all.iter().filter(|s| **s == server).count();
    assert!(there <= 2, "{there} of {} at a server that bore 2", all.len());
    assert!(all.len() > 4, "the other has room: {}", all.len());
    // A restart has room as at first.
    let node = Node { since: rig.now, ..Node::new(&server, Health::Up) };
    let out = rig.tell(Event::Fleet { seq: 2, scope: Scope::Changes, nodes: vec![node] });
    assert_eq!(told_of(&out, &server), Some(40));
}

#[test]
fn two_processes_of_a_gateway_share_its_connections() {
    let (mut rig, _) = pooled(2, u32::MAX);
    let (server, _) = rig.once(Ending::NoRoute, Via::Refused, 8);
    let out = rig.tell(Event::PeerProcess { running: true });
    assert_eq!(told_of(&out, &server), Some(3));
    assert!(told(&out).contains(&(None, 20)), "{out:?}");
    // The successor goes on with what the server bore.
    let s = Settings { connections: 40, gateways: 1, plans: vec![Plan::new("free", 0.0, 0.0)], ..settings() };
    let mut next = Gateway::new(s, 2, rig.now).expect("in range");
    let mut out = Vec::new();
    let snapshot = serde_json::to_string(&rig.g.snapshot()).expect("words");
    let snapshot = serde_json::from_str(&snapshot).expect("the same");
    next.handle(
        rig.now,
        vec![Event::Restore(Box::new(snapshot)), Event::PeerProcess { running: true }],
        &mut out,
    );
    assert_eq!(told_of(&out, &server), Some(3));
    let out = rig.tell(Event::PeerProcess { running: false });
    assert_eq!(told_of(&out, &server), Some(6));
    assert!(told(&out).contains(&(None, 40)), "{out:?}");
}

/// Hundreds of gateways start within a second, each with more to send than it may: what they have out at one
/// server, and so open there, is a few in all.
#[test]
fn a_fleet_that_starts_at_once_opens_few_connections_to_each_server() {
    let mut at = std::collections::BTreeMap::new();
    for (mut rig, _) in used_by(300, 60) {
        for n in 0..30 {
            for server in sent_to(&rig.request(0, 0, &format!("c{n}"), 1.0).1) {
                *at.entry(server).or_insert(0) += 1;
            }
        }
    }
    let most = at.values().copied().max().unwrap_or(0);
    assert!(at.len() == 60 && most <= 90, "{most} at one of {} servers", at.len());
}

/// Of a gateway with 12 servers, from its start: connections opened by so many requests, one after another.
fn opened_by(requests: u32) -> usize {
    let plans = vec![Plan::new("free", 0.0, 0.0)];
    // Whose answers take as long as a gateway guesses at first.
    let classes = vec![Class::new("quote", 200 * MS, SEC, Effect::Safe, Group::All)];
    let s = Settings {
        connections: 400,
        connection_idle_time: 15 * SEC,
        plans,
        classes,
        gateways: 30,
        ..settings()
    };
    let mut rig = Rig::new(s, 12);
    let mut linked = std::collections::BTreeSet::new();
    for n in 0..requests {
        let (id, out) = rig.request(0, 0, &format!("c{n}"), 1.0);
        let server = sent_to(&out).remove(0);
        let via = if linked.insert(server.clone()) { Via::New } else { Via::Reused };
        rig.now += 50 * MS;
        rig.end_via(id, &server, Ending::Pass, via, 1);
        rig.now += 150 * MS;
    }
    linked.len()
}

#[test]
fn a_gateway_opens_connections_in_turns_where_one_that_is_open_would_do() {
    assert_eq!(opened_by(6), 1, "the first one does for the first requests");
    // The one that is needed, and a tenth of the attempts.
    assert!((4..=6).contains(&opened_by(50)), "{} by 50 requests", opened_by(50));
    assert_eq!(opened_by(200), 12, "all in the end");
}

#[test]
fn a_request_beside_others_opens_a_connection_and_does_not_wait() {
    let plans = vec![Plan::new("free", 0.0, 0.0)];
    let s = Settings { connections: 400, connection_idle_time: 15 * SEC, plans, gateways: 30, ..settings() };
    let mut rig = Rig::new(s, 12);
    let all: Vec<String> =
        (0..4).flat_map(|n| sent_to(&rig.request(0, 0, &format!("c{n}"), 1.0).1)).collect();
    let different: std::collections::BTreeSet<&String> = all.iter().collect();
    assert_eq!((all.len(), different.len()), (4, 4), "{all:?}");
}
