//! Tests of the ledger and of the allowances it gives the oracle.

use super::*;
use gateway_simulation::Rule;

const MS: Time = 1_000_000;
const AT: Time = gateway_simulation::units::START_NS;

/// Returns the rule that the events break, if any. The scenario is `calm` of the catalogue, with the classes
/// look (safe), file (keyed, by zone) and book (unsafe).
fn rule(seen: &[(u64, Event)]) -> Option<Rule> {
    let mut scenario = Scenario::from_value(gateway_simulation::find("calm").unwrap()).unwrap();
    (scenario.plans[0].ceiling_rate, scenario.plans[0].ceiling_burst) = (10.0, 1.0);
    let mut events = Ledger::default();
    events.record(AT, Event::GatewayStarted { gateway: 0, listed: vec![0, 1] });
    for (ms, seen) in seen {
        events.record(AT + ms * MS, seen.clone());
    }
    events.check(&scenario).err().map(|breach| breach.rule)
}

fn asked(class: usize) -> (u64, Event) {
    (100, Event::RequestSent { id: 1, class, gateway: 0 })
}

fn sent(ms: u64, server: usize) -> (u64, Event) {
    (ms, Event::AttemptReceived { id: 1, server, gateway: 0 })
}

fn over(ms: u64, ending: Ending) -> (u64, Event) {
    (ms, Event::AttemptEnded { id: 1, received_at: AT + 110 * MS, ending })
}

fn answered(ms: u64, refused: bool) -> (u64, Event) {
    (ms, Event::RequestAnswered { id: 1, refused })
}

#[test]
fn reports_each_broken_rule_beyond_the_socket_allowance() {
    let fine = [asked(0), sent(110, 0), over(150, Ending::Cut), sent(151, 1), over(200, Ending::Pass)];
    assert_eq!(
        rule(&[&fine[..], &[answered(201, false), (1700, Event::DeadlinePassed { id: 1 })]].concat()),
        None
    );
    assert_eq!(
        rule(&[&fine[..], &[(1700, Event::DeadlinePassed { id: 1 })]].concat()),
        Some(Rule::OneAnswer)
    );
    assert_eq!(rule(&[&fine[..4], &[answered(1700, false)]].concat()), Some(Rule::OneAnswer), "late");
    let excused = [
        asked(0),
        (120, Event::RequestExcused { id: 1 }),
        (1700, Event::DeadlinePassed { id: 1 }),
        answered(4000, false),
    ];
    assert_eq!(rule(&excused), None, "the gateway was paused");
    // The end of the first attempt is observed 30 ms, then 80 ms, after the start of the second.
    assert_eq!(rule(&[asked(0), sent(110, 0), sent(120, 1), over(150, Ending::Undone)]), None);
    assert_eq!(
        rule(&[asked(0), sent(110, 0), sent(120, 1), over(200, Ending::Undone)]),
        Some(Rule::Attempts)
    );
    let often = [110, 200, 300, 400].map(|ms| [sent(ms, 0), over(ms + 10, Ending::Full)]);
    assert_eq!(rule(&[&[asked(0)], often.as_flattened()].concat()), Some(Rule::Attempts));
    assert_eq!(
        rule(&[asked(2), sent(110, 0), over(120, Ending::Cut), sent(300, 1)]),
        Some(Rule::Effects),
        "an unsafe request must not run twice"
    );
    assert_eq!(
        rule(&[asked(2), sent(110, 0), over(120, Ending::Cut), answered(300, true)]),
        Some(Rule::Effects)
    );
    assert_eq!(rule(&[asked(2), sent(110, 0), over(120, Ending::Full), answered(300, true)]), None);
    assert_eq!(rule(&[asked(0), sent(110, 2)]), Some(Rule::Listed));
    assert_eq!(rule(&[sent(110, 0)]), Some(Rule::Invented));
    let drained = (0, Event::ServerListed { gateway: 0, server: 0, accepts_requests: false });
    assert_eq!(rule(&[drained.clone(), asked(0), sent(540, 0)]), None);
    assert_eq!(rule(&[drained, asked(0), sent(560, 0)]), Some(Rule::Drains));
    let drawn = |n| vec![(100, Event::QuotaUnitTaken { plan: 0, customer: 4 }); n];
    assert_eq!(rule(&drawn(4)), None, "one of the burst, two of slack, and what the rate grants meanwhile");
    assert_eq!(rule(&drawn(5)), Some(Rule::Ceiling));
    assert_eq!(rule(&[(100, Event::ServerCollapsed { server: 0, informed_share: 0.7 })]), Some(Rule::Cold));
    assert_eq!(rule(&[(100, Event::ServerCollapsed { server: 0, informed_share: 0.5 })]), None);
}
