//! Tests of random faults and of shrinking.

use super::*;
use crate::CATALOGUE;

fn calm() -> Scenario {
    Scenario::parse(CATALOGUE[0].1.as_bytes()).unwrap()
}

#[test]
fn random_faults_give_valid_scenarios_that_differ_by_seed() {
    for seed in 0..200 {
        let scenario = with_random_faults(&calm(), seed);
        let parsed = Scenario::parse(scenario.text().as_bytes())
            .unwrap_or_else(|e| panic!("{e}: {}", scenario.text()));
        assert_eq!(parsed.text(), scenario.text());
        assert_eq!(with_random_faults(&calm(), seed).text(), scenario.text());
    }
    assert_ne!(with_random_faults(&calm(), 1).text(), with_random_faults(&calm(), 2).text());
}

/// The rule counts as violated when the scenario has a cut of at least two seconds and any flood.
#[test]
fn shrinks_a_violating_scenario_to_the_faults_needed() {
    let violation = |s: &Scenario, _: u64| {
        let has = |kind, least: f64| s.faults.iter().any(|f| f.kind == kind && f.for_s >= least);
        let both = has(Trouble::Cut, 2.0) && has(Trouble::Flood, 0.0);
        let (what, trace) = (String::new(), Vec::new());
        both.then(|| Box::new(Breach { rule: Rule::Drains, at: 0, what, trace }))
    };
    let seed = (0..).find(|seed| violation(&with_random_faults(&calm(), *seed), 0).is_some()).unwrap();
    let whole = with_random_faults(&calm(), seed);
    let breach = violation(&whole, 0).unwrap();
    let found = shrink(whole, seed, breach, violation);
    let mut kinds: Vec<String> = found.scenario.faults.iter().map(|f| format!("{:?}", f.kind)).collect();
    kinds.sort();
    assert_eq!(kinds, ["Cut", "Flood"]);
    let cut = found.scenario.faults.iter().find(|f| f.kind == Trouble::Cut).unwrap();
    assert!(cut.for_s < 4.0, "half of its length would not violate the rule: {cut:?}");
    assert!(found.scenario.seconds <= calm().seconds);
}
