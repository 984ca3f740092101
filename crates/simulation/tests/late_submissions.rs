//! Days on which submissions are read long after they were sent: their clients have left and have cancelled
//! the jobs elsewhere.

use simulation::day::play;
use simulation::history::{Answer, CallKind, History};
use simulation::oracle::{check, Rule};
use simulation::script::{FaultKind, InjectedFault, Script, Target};
use simulation::site::Site;
use simulation::time::{ms, SECOND};
use simulation::world::World;

/// Time between the beginnings of two freezes, in seconds.
const FREEZE_INTERVAL_S: u64 = 6;
/// Number of freezes of edges in a day.
const FREEZES: u64 = 4;
/// How long an edge is frozen, in milliseconds.
const FREEZE_MS: u64 = 4_500;

/// A day on which edges freeze one after the other while clients leave early and cancel. `core_fault` hits
/// the core in the middle of each freeze.
fn day(seed: u64, core_fault: Option<FaultKind>) -> Script {
    let mut faults = Vec::new();
    for number in 0..FREEZES {
        let at = (12 + number * FREEZE_INTERVAL_S) * SECOND;
        let lasts = ms(FREEZE_MS);
        faults.push(InjectedFault { at, lasts, kind: FaultKind::EdgeFreeze, pick: seed + number });
        faults.push(InjectedFault { at, lasts, kind: FaultKind::GiveUpAndCancel, pick: 0 });
        if let Some(kind) = core_fault {
            faults.push(InjectedFault { at: at + ms(2_000), lasts: ms(1_000), kind, pick: seed + number });
        }
    }
    Script { faults, ..Script::calm(seed) }
}

/// Number of submissions to a frozen edge whose cancellation was answered with 410 elsewhere.
fn overtaken_submissions(history: &History) -> usize {
    let gone = |job: u64| {
        history.calls.iter().any(|call| {
            call.kind == CallKind::Cancel && call.job == job && matches!(call.answer, Some((_, Answer::Gone)))
        })
    };
    history.calls.iter().filter(|call| call.kind == CallKind::Submit && gone(call.job)).count()
}

/// Guards against a job that runs because its submission is read after its cancellation was answered with
/// 410.
#[test]
fn submission_to_a_frozen_edge_does_not_run_after_its_cancellation() {
    let site = Site::small();
    let mut overtaken = 0;
    for seed in 1..=8 {
        let history = World::new(site.clone(), day(seed, None)).play();
        let violations = check(&site, &history);
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
        overtaken += overtaken_submissions(&history);
    }
    assert!(overtaken > 20, "only {overtaken} submissions were overtaken by their cancellation");
}

/// Guards against a next leader that does not know of the cancellation.
#[test]
fn submission_to_a_frozen_edge_does_not_run_under_the_next_leader() {
    let site = Site::small();
    let kinds = [
        FaultKind::CoreKill(Target::Leader),
        FaultKind::CorePower(Target::Leader),
        FaultKind::CoreFreeze(Target::Leader),
        FaultKind::CorePartition(Target::Leader),
        FaultKind::AllCoresKill,
    ];
    for (number, kind) in kinds.into_iter().enumerate() {
        for seed in [20 + number as u64, 40 + number as u64] {
            let violations = play(&site, &day(seed, Some(kind)), false).violations;
            let unasked: Vec<_> =
                violations.iter().filter(|violation| violation.rule == Rule::Unasked).collect();
            assert!(unasked.is_empty(), "seed {seed}, {kind:?}: {unasked:?}");
            assert!(violations.is_empty(), "seed {seed}, {kind:?}: {violations:?}");
        }
    }
}
