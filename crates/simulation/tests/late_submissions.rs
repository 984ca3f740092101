//! Days on which submissions are read long after they were sent: their clients have left and have cancelled
//! the jobs elsewhere.

use simulation::day::play;
use simulation::history::{Answer, CallKind, History};
use simulation::oracle::{check, Rule};
use simulation::script::{FaultKind, InjectedFault, Script, Target};
use simulation::site::Site;
use simulation::time::{ms, SECOND};
use simulation::world::World;

/// Time between the beginnings of two faults of edges, in seconds.
const FAULT_INTERVAL_S: u64 = 6;
/// Number of faults of edges in a day.
const EDGE_FAULTS: u64 = 4;
/// How long a fault of an edge lasts, in milliseconds.
const FAULT_MS: u64 = 4_500;

/// A day on which an edge after the other has the fault `edge_fault` while clients leave early and cancel.
/// `core_fault` hits the core in the middle of each of them.
fn day(seed: u64, edge_fault: FaultKind, core_fault: Option<FaultKind>) -> Script {
    let mut faults = Vec::new();
    for number in 0..EDGE_FAULTS {
        let at = (12 + number * FAULT_INTERVAL_S) * SECOND;
        let lasts = ms(FAULT_MS);
        faults.push(InjectedFault { at, lasts, kind: edge_fault, pick: seed + number });
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
        let history = World::new(site.clone(), day(seed, FaultKind::EdgeFreeze, None)).play();
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
            let violations = play(&site, &day(seed, FaultKind::EdgeFreeze, Some(kind)), false).violations;
            let unasked: Vec<_> =
                violations.iter().filter(|violation| violation.rule == Rule::Unasked).collect();
            assert!(unasked.is_empty(), "seed {seed}, {kind:?}: {unasked:?}");
            assert!(violations.is_empty(), "seed {seed}, {kind:?}: {violations:?}");
        }
    }
}

/// Submissions that were under way at an edge that was partitioned or killed.
#[test]
fn submission_at_an_edge_with_another_fault_does_not_run_after_its_cancellation() {
    let site = Site::small();
    for (number, kind) in [FaultKind::EdgePartition, FaultKind::EdgeKill].into_iter().enumerate() {
        for seed in [60 + number as u64, 70 + number as u64, 80 + number as u64] {
            let violations = play(&site, &day(seed, kind, None), false).violations;
            assert!(violations.is_empty(), "seed {seed}, {kind:?}: {violations:?}");
        }
    }
}
