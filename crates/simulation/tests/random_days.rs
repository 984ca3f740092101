//! Days with random faults violate no rule.

use simulation::day::play;
use simulation::oracle::Violation;
use simulation::script::{Closing, FaultKind, InjectedFault, Script};
use simulation::site::Site;
use simulation::time::{ms, SECOND};

/// Seeds that each test run simulates; `examples/search.rs` simulates many more.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=20;

/// Whether the violation is a job that stays idle without a reason.
fn is_idle(violation: &Violation) -> bool {
    violation.text.starts_with("nothing of job")
}

fn check_those(site: &Site, script: &Script, wanted: impl Fn(&Violation) -> bool) {
    let violations = play(site, script, false).violations;
    let texts: Vec<String> =
        violations.iter().filter(|violation| wanted(violation)).map(ToString::to_string).collect();
    assert!(texts.is_empty(), "{script:?}\n{}", texts.join("\n"));
}

fn check(site: &Site, script: &Script) {
    check_those(site, script, |_| true);
}

#[test]
fn random_days_keep_all_rules_but_that_on_waiting_jobs() {
    let site = Site::small();
    for seed in SEEDS {
        check_those(&site, &Script::draw(&site, seed), |violation| !is_idle(violation));
    }
}

#[test]
fn on_random_days_no_job_waits_that_could_run() {
    let site = Site::small();
    for seed in SEEDS {
        check_those(&site, &Script::draw(&site, seed), is_idle);
    }
}

#[test]
fn every_final_fault_is_recovered_from() {
    let site = Site::small();
    for (number, closing) in
        [Closing::PowerOffAll, Closing::WipeAfterAck, Closing::KillAll].into_iter().enumerate()
    {
        let script = Script { closing: Some(closing), ..Script::calm(40 + number as u64) };
        check(&site, &script);
    }
}

/// A day with a single fault, which begins in the middle of the traffic.
fn single(seed: u64, kind: FaultKind) -> Script {
    let fault = InjectedFault { at: 22 * SECOND, lasts: ms(4_000), kind, pick: seed };
    Script { faults: vec![fault], ..Script::calm(seed) }
}

#[test]
fn a_day_with_any_single_trouble_of_the_core_keeps_all_rules() {
    let site = Site::small();
    for (number, kind) in FaultKind::ALL.into_iter().filter(|kind| kind.loses_core()).enumerate() {
        check(&site, &single(100 + number as u64, kind));
    }
}

#[test]
fn a_day_with_any_single_trouble_elsewhere_keeps_all_rules() {
    let site = Site::small();
    for (number, kind) in FaultKind::ALL.into_iter().filter(|kind| !kind.loses_core()).enumerate() {
        check(&site, &single(200 + number as u64, kind));
    }
}

#[test]
fn days_with_many_troubles_at_once_keep_all_rules() {
    let site = Site::small();
    for seed in 1..=8 {
        check(&site, &Script::draw_harsh(&site, seed));
    }
}

#[test]
fn days_on_five_core_machines_with_unguarded_workers_keep_all_rules() {
    let site = Site::five();
    for seed in 1..=5 {
        check(&site, &Script::draw(&site, seed));
        check(&site, &Script::draw_harsh(&site, seed));
    }
}

/// On these seeds a search once found a violation, caused by the system or by the simulation itself.
#[test]
fn days_on_which_the_search_once_found_a_breach_keep_all_rules() {
    let site = Site::small();
    for seed in [770_208, 770_259, 770_262, 770_299, 770_338, 880_296, 880_775, 880_900] {
        check(&site, &Script::draw(&site, seed));
    }
    check(&site, &Script::draw_harsh(&site, 990_118));
}
