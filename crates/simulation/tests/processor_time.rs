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
fn a_process_runs_at_full_speed_until_its_quota_is_spent() {
    let mut quota = QuotaUse::default();
    assert_eq!(quota.spend(&HALF, ms(10), ms(30)), ms(40));
    assert_eq!(quota.spend(&HALF, ms(60), ms(20)), ms(80), "50 ms of this period are spent");
    assert_eq!(quota.runs_from(&HALF, ms(80)), ms(100));
}

#[test]
fn a_turn_that_outlasts_its_quota_pauses_until_the_next_period() {
    let mut quota = QuotaUse::default();
    assert_eq!(quota.spend(&HALF, 0, ms(70)), ms(120));
    assert_eq!(quota.spend(&HALF, ms(120), ms(130)), ms(350), "30 ms are left, then 50 in each period");
}

#[test]
fn what_was_not_spent_is_lost_with_its_period() {
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
fn more_work_costs_more_and_a_slower_processor_takes_longer() {
    let small = TurnWork { turns: 1, worker_answers: 10, ..TurnWork::default() };
    let large = TurnWork { calls: 10, ..small };
    assert!(HALF.cost_of(&small) < HALF.cost_of(&large));
    let slow = Processor { slowness: 4.0, ..HALF };
    assert!(HALF.cost_of(&small) < slow.cost_of(&small));
}

#[test]
fn a_calm_day_with_processor_time_keeps_all_rules() {
    assert_eq!(violations(&Script::calm(1)), Vec::<String>::new());
}

#[test]
fn random_days_with_processor_time_keep_all_rules() {
    for seed in 1..=3 {
        assert_eq!(violations(&Script::draw(&site(), seed)), Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn a_day_with_processor_time_plays_the_same_again() {
    let script = Script::draw(&site(), 3);
    assert_eq!(digest(&site(), &script), digest(&site(), &script));
    assert_ne!(digest(&site(), &script), digest(&Site::small(), &script));
}
