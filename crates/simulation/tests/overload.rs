//! Faults at full traffic on a quarter of a large deployment: what they leave must end by itself.

use simulation::overload::OverloadCase;
use simulation::time::ms;

/// One part in this many of the large deployment.
const PARTS: usize = 4;
/// Days of the same loss of power.
const LOSSES_OF_POWER: [u64; 2] = [4, 6];
/// Drawn cases: the leader loses power, most edges are lost, and workers are cut off.
const DRAWN: [u64; 3] = [11, 12, 17];

/// Plays cases; gives what is wrong with those that break a rule or are not back at their pace in time.
fn failures(cases: impl IntoIterator<Item = OverloadCase>) -> Vec<String> {
    cases.into_iter().filter_map(|case| failure(&case)).collect()
}

fn failure(case: &OverloadCase) -> Option<String> {
    let report = case.play(false);
    let recovery = &report.recovery;
    assert!(recovery.kept_up_before(), "{case:?} says nothing: {recovery}");
    let is_back = recovery.is_within(ms(case.site().bounds.recovery_ms));
    let first_breach = report.breaches.first();
    (!is_back || first_breach.is_some()).then(|| {
        format!("{case:?}: {recovery}; {} breaches, the first: {first_breach:?}", report.breaches.len())
    })
}

#[test]
fn a_calm_day_keeps_its_pace_at_full_traffic() {
    let calm = failures([OverloadCase::calm(LOSSES_OF_POWER[1], PARTS)]);
    assert!(calm.is_empty(), "{calm:#?}");
}

#[test]
fn a_loss_of_power_at_full_traffic_leaves_no_state_that_the_load_keeps_up() {
    let stuck = failures(LOSSES_OF_POWER.map(|seed| OverloadCase::loss_of_power(seed, PARTS)));
    assert!(stuck.is_empty(), "{stuck:#?}");
}

#[test]
fn drawn_faults_at_full_traffic_leave_no_state_that_the_load_keeps_up() {
    let stuck = failures(DRAWN.map(|seed| OverloadCase::draw(seed, PARTS)));
    assert!(stuck.is_empty(), "{stuck:#?}");
}
