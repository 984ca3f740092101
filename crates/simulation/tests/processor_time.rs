//! Days on which the work of core processes takes processor time.

use simulation::day::{digest, play};
use simulation::oracle::Violation;
use simulation::processor::{Processor, QuotaUse, TurnWork};
use simulation::script::Script;
use simulation::site::Site;
use simulation::time::{ms, SECOND};

const HALF: Processor = Processor { share: 0.5, slowness: 1.0 };

fn site() -> Site {
    Site { processor: Some(Processor { share: 0.4, slowness: 1.0 }), ..Site::small() }
}

fn violations(script: &Script) -> Vec<String> {
    play(&site(), script, false).violations.iter().map(Violation::to_string).collect()
}

#[test]
fn runs_at_full_speed_until_quota_is_spent() {
    let mut quota = QuotaUse::default();
    assert_eq!(quota.spend(&HALF, ms(10), ms(30)), ms(40));
    assert_eq!(quota.spend(&HALF, ms(60), ms(20)), ms(80), "50 ms of quota are spent in this period");
    assert_eq!(quota.runs_from(&HALF, ms(80)), ms(100));
}

#[test]
fn turn_pauses_until_next_period_when_quota_is_spent() {
    let mut quota = QuotaUse::default();
    assert_eq!(quota.spend(&HALF, 0, ms(70)), ms(120));
    assert_eq!(
        quota.spend(&HALF, ms(120), ms(130)),
        ms(350),
        "30 ms of quota are left in this period, then 50 ms in each"
    );
}

#[test]
fn unused_quota_expires_with_its_period() {
    let mut quota = QuotaUse::default();
    assert_eq!(
        quota.spend(&HALF, ms(90), ms(30)),
        ms(120),
        "10 ms before the next period begins, 20 ms within it"
    );
    assert_eq!(quota.runs_from(&HALF, 5 * SECOND), 5 * SECOND);
    assert_eq!(quota.spend(&HALF, 5 * SECOND, ms(60)), 5 * SECOND + ms(110));
}

#[test]
fn cost_grows_with_work_and_slowness() {
    let small = TurnWork { turns: 1, worker_answers: 10, ..TurnWork::default() };
    let large = TurnWork { calls: 10, ..small };
    assert!(HALF.cost_of(&small) < HALF.cost_of(&large));
    let slow = Processor { slowness: 4.0, ..HALF };
    assert!(HALF.cost_of(&small) < slow.cost_of(&small));
}

#[test]
fn calm_day_violates_no_rule() {
    assert_eq!(violations(&Script::calm(1)), Vec::<String>::new());
}

#[test]
fn random_days_violate_no_rule() {
    for seed in 1..=3 {
        assert_eq!(violations(&Script::draw(&site(), seed)), Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn same_script_gives_same_digest() {
    let script = Script::draw(&site(), 3);
    assert_eq!(digest(&site(), &script), digest(&site(), &script));
    assert_ne!(digest(&site(), &script), digest(&Site::small(), &script));
}
