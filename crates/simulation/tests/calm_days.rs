//! Days without faults: no rule is violated, and every job that can end does end.

use simulation::day::{figures, play};
use simulation::history::{Answer, CallKind, History};
use simulation::oracle::check;
use simulation::script::Script;
use simulation::site::Site;
use simulation::world::World;

fn violations(site: &Site, script: &Script) -> Vec<String> {
    play(site, script, false).violations.iter().map(ToString::to_string).collect()
}

#[test]
fn calm_days_violate_no_rule() {
    let site = Site::small();
    for seed in 1..=4 {
        assert_eq!(violations(&site, &Script::calm(seed)), Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn calm_day_with_unguarded_workers_violates_no_rule() {
    assert_eq!(violations(&Site::unguarded(), &Script::calm(5)), Vec::<String>::new());
}

#[test]
fn calm_day_accepts_and_finishes_every_job() {
    let site = Site::small();
    let history = World::new(site.clone(), Script::calm(6)).play();
    assert!(check(&site, &history).is_empty());
    let figures = figures(&history);
    assert_eq!(figures.accepted, figures.jobs);
    assert!(figures.runs > figures.jobs, "jobs must have more than one task on average: {figures:?}");
    let unfinished: Vec<String> = unfinished(&history);
    assert_eq!(unfinished, Vec::<String>::new());
}

/// Jobs that were last seen as pending or running.
fn unfinished(history: &History) -> Vec<String> {
    let last_state = |job: u64| {
        let reads = history.calls.iter().rev().filter(|call| call.kind == CallKind::Read && call.job == job);
        reads
            .filter_map(|call| match &call.answer {
                Some((_, Answer::State(state))) => Some(state.clone()),
                _ => None,
            })
            .next()
    };
    let ended = |state: &Option<String>| {
        state.as_deref().is_some_and(|state| ["completed", "failed", "cancelled"].contains(&state))
    };
    let states = history.jobs.keys().map(|job| (*job, last_state(*job)));
    states.filter(|(_, state)| !ended(state)).map(|(job, state)| format!("{job:016x} {state:?}")).collect()
}

#[test]
fn same_script_gives_same_day() {
    let site = Site::small();
    let script = Script::draw(&site, 3);
    let (first, second) = (play(&site, &script, false), play(&site, &script, false));
    assert_eq!(first.figures, second.figures);
    assert_eq!(first.violations, second.violations);
}
