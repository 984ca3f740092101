//! Tests of `ledger`.

use super::*;
use gateway_simulation::Rule;

const MS: Time = 1_000_000;
const AT: Time = gateway_simulation::units::START_NS;

/// Of the catalogue's `calm`: classes look (safe), file (keyed, by zone), book (unsafe).
fn rule(seen: &[(u64, Seen)]) -> Option<Rule> {
    let mut scenario = Scenario::from_value(gateway_simulation::find("calm").unwrap()).unwrap();
    (scenario.plans[0].ceiling_rate, scenario.plans[0].ceiling_burst) = (10.0, 1.0);
    let mut ledger = Ledger::default();
    ledger.note(AT, Seen::Born { gateway: 0, listed: vec![0, 1] });
    for (ms, seen) in seen {
        ledger.note(AT + ms * MS, seen.clone());
    }
    ledger.check(&scenario).err().map(|breach| breach.rule)
}

fn asked(class: usize) -> (u64, Seen) {
    (100, Seen::Asked { id: 1, class, gateway: 0 })
}

fn sent(ms: u64, server: usize) -> (u64, Seen) {
    (ms, Seen::Sent { id: 1, server, gateway: 0 })
}

fn over(ms: u64, ending: Ending) -> (u64, Seen) {
    (ms, Seen::Over { id: 1, sent: AT + 110 * MS, ending })
}

fn answered(ms: u64, refused: bool) -> (u64, Seen) {
    (ms, Seen::Answered { id: 1, refused })
}

#[test]
fn each_rule_that_is_broken_is_found_with_the_allowance_for_sockets() {
    let fine = [asked(0), sent(110, 0), over(150, Ending::Cut), sent(151, 1), over(200, Ending::Pass)];
    assert_eq!(rule(&[&fine[..], &[answered(201, false), (1700, Seen::Due { id: 1 })]].concat()), None);
    assert_eq!(rule(&[&fine[..], &[(1700, Seen::Due { id: 1 })]].concat()), Some(Rule::OneAnswer));
    assert_eq!(rule(&[&fine[..4], &[answered(1700, false)]].concat()), Some(Rule::OneAnswer), "late");
    let excused =
        [asked(0), (120, Seen::Excused { id: 1 }), (1700, Seen::Due { id: 1 }), answered(4000, false)];
    assert_eq!(rule(&excused), None, "its gateway stood still");
    // The end of the first is seen 30 ms after the second, or 80 ms after it.
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
        "what must not run twice"
    );
    assert_eq!(
        rule(&[asked(2), sent(110, 0), over(120, Ending::Cut), answered(300, true)]),
        Some(Rule::Effects)
    );
    assert_eq!(rule(&[asked(2), sent(110, 0), over(120, Ending::Full), answered(300, true)]), None);
    assert_eq!(rule(&[asked(0), sent(110, 2)]), Some(Rule::Listed));
    assert_eq!(rule(&[sent(110, 0)]), Some(Rule::Invented));
    let drained = (0, Seen::Told { gateway: 0, server: 0, wanted: false });
    assert_eq!(rule(&[drained.clone(), asked(0), sent(540, 0)]), None);
    assert_eq!(rule(&[drained, asked(0), sent(560, 0)]), Some(Rule::Drains));
    let drawn = |n| vec![(100, Seen::Drawn { plan: 0, customer: 4 }); n];
    assert_eq!(rule(&drawn(4)), None, "one, two beside it, and what the rate gives meanwhile");
    assert_eq!(rule(&drawn(5)), Some(Rule::Ceiling));
    assert_eq!(rule(&[(100, Seen::Fell { server: 0, told: 0.7 })]), Some(Rule::Cold));
    assert_eq!(rule(&[(100, Seen::Fell { server: 0, told: 0.5 })]), None);
}
