//! Effects of each command on the replicated state.

mod commands;

use commands::*;
use messages::job::{EndKind, JobPhase, JobSpec, Stage};
use scheduler::ids::{AttemptKey, StepKey};
use scheduler::state::{State, StateChange, ENDED_JOB_RETENTION_MS};

const JOB: u64 = 0x5c0e_7a21_d94b_36f8;

fn step(step: u32) -> StepKey {
    StepKey { job: JOB, time: 0, step }
}

fn state_with_job(job: JobSpec) -> State {
    let mut state = State::new();
    let applied = apply(&mut state, submit(JOB, job));
    assert!(applied.contains(&StateChange::JobAccepted { job: JOB }));
    state
}

#[test]
fn runs_a_job_step_by_step_until_completed() {
    let mut state = state_with_job(job(vec![stage(2), stage_after(1, &[0])]));
    assert_eq!(job_state(&state, JOB), Some("pending"));
    assert_eq!(state.pending_jobs(PREFIX), 1);

    let applied = apply(&mut state, start_on_worker(&[task(JOB, 0, 0), task(JOB, 0, 1)], 1, "w"));
    assert_eq!(applied.len(), 2);
    assert_eq!(job_state(&state, JOB), Some("running"));
    assert_eq!(state.pending_jobs(PREFIX), 0);

    let applied = apply(&mut state, record_worker_end("w", 1, task(JOB, 0, 0), 1, EndKind::DONE));
    assert!(!applied.contains(&StateChange::StepReady { step: step(1) }));
    let applied = apply(&mut state, record_worker_end("w", 2, task(JOB, 0, 1), 1, EndKind::DONE));
    assert!(applied.contains(&StateChange::StepDone { step: step(0) }));
    assert!(applied.contains(&StateChange::StepReady { step: step(1) }));

    apply(&mut state, start_on_worker(&[task(JOB, 1, 0)], 1, "w"));
    let applied = apply(&mut state, record_worker_end("w", 3, task(JOB, 1, 0), 1, EndKind::DONE));
    assert!(applied.contains(&StateChange::JobEnded { job: JOB, phase: JobPhase::COMPLETED }));
    assert_eq!(job_state(&state, JOB), Some("completed"));
}

#[test]
fn step_starts_only_after_its_dependencies() {
    let mut state = state_with_job(job(vec![stage(1), stage_after(1, &[0])]));
    let applied = apply(&mut state, start_on_worker(&[task(JOB, 1, 0)], 1, "w"));
    assert!(matches!(applied[..], [StateChange::StartDropped { .. }]));
}

#[test]
fn recognizes_repeated_submissions_after_the_job_ended() {
    let mut state = state_with_job(job(vec![stage(1)]));
    let again = submit(JOB, job(vec![stage(1)]));
    assert_eq!(apply(&mut state, again.clone()), vec![StateChange::JobAlreadyAccepted { job: JOB }]);
    apply(&mut state, cancel(JOB));
    assert_eq!(apply(&mut state, again), vec![StateChange::JobAlreadyAccepted { job: JOB }]);
    assert_eq!(job_state(&state, JOB), Some("cancelled"));
}

#[test]
fn rejects_jobs_that_cannot_run() {
    let mut state = State::new();
    for stages in [vec![], vec![stage(0)], vec![stage_after(1, &[0])], vec![stage(1), stage_after(1, &[2])]] {
        let applied = apply(&mut state, submit(JOB, job(stages)));
        assert!(matches!(applied[..], [StateChange::JobRejected { .. }]));
    }
    assert!(state.job(JOB).is_none());
}

/// An end whose sequence number is not above the last one of the worker is a repeat and only acknowledged
/// again.
#[test]
fn done_tasks_stay_done_and_old_sequences_are_repeats() {
    let mut state = state_with_job(job(vec![stage(2)]));
    apply(&mut state, start_on_worker(&[task(JOB, 0, 0)], 1, "w"));
    apply(&mut state, record_worker_end("w", 4, task(JOB, 0, 0), 1, EndKind::DONE));
    let repeat = apply(&mut state, record_worker_end("w", 4, task(JOB, 0, 0), 1, EndKind::FAILED));
    assert!(matches!(repeat[..], [StateChange::EndsAcknowledged { sequence: 4, .. }]));
    let again = apply(&mut state, start_on_worker(&[task(JOB, 0, 0)], 2, "w"));
    assert!(matches!(again[..], [StateChange::StartDropped { .. }]));
}

#[test]
fn task_that_failed_too_often_fails_its_job() {
    let mut state = state_with_job(job(vec![stage(2)]));
    apply(&mut state, start_on_worker(&[task(JOB, 0, 0), task(JOB, 0, 1)], 1, "w"));
    let applied = apply(&mut state, record_worker_end("w", 1, task(JOB, 0, 0), 1, EndKind::FAILED));
    assert!(applied.contains(&StateChange::TaskFailed { task: task(JOB, 0, 0), failures: 1 }));
    assert!(applied.contains(&StateChange::TaskReady { task: task(JOB, 0, 0) }));
    apply(&mut state, start_on_worker(&[task(JOB, 0, 0)], 2, "w"));
    let applied = apply(&mut state, record_worker_end("w", 2, task(JOB, 0, 0), 2, EndKind::FAILED));
    assert!(applied.contains(&StateChange::JobEnded { job: JOB, phase: JobPhase::JOB_FAILED }));
    let other = AttemptKey { task: task(JOB, 0, 1), attempt: 1 };
    assert!(applied
        .iter()
        .any(|effect| matches!(effect, StateChange::StopRequested { key, .. } if *key == other)));
    assert_eq!(job_state(&state, JOB), Some("failed"));
    let dropped = apply(&mut state, start_on_worker(&[task(JOB, 0, 1)], 2, "w"));
    assert!(matches!(dropped[..], [StateChange::StartDropped { .. }]));
}

/// Ends that are not the fault of the task, and ends after a lease expiry, are not counted.
#[test]
fn other_ends_do_not_count_as_failures() {
    let mut state = state_with_job(job(vec![stage(1)]));
    let kinds = [EndKind::STOPPED, EndKind::LAPSED, EndKind::BROKEN, EndKind::ALONE];
    for (number, kind) in kinds.into_iter().enumerate() {
        let attempt = number as u32 + 1;
        apply(&mut state, start_on_worker(&[task(JOB, 0, 0)], attempt, "w"));
        let applied =
            apply(&mut state, record_worker_end("w", u64::from(attempt), task(JOB, 0, 0), attempt, kind));
        assert!(applied.contains(&StateChange::TaskReady { task: task(JOB, 0, 0) }));
    }
    for (number, kind) in [EndKind::FAILED, EndKind::DONE, EndKind::FAILED].into_iter().enumerate() {
        let attempt = number as u32 + 5;
        apply(&mut state, start_on_worker(&[task(JOB, 0, 0)], attempt, "w"));
        let mut late = worker_end(u64::from(attempt), task(JOB, 0, 0), attempt, kind);
        late.counted = false;
        let applied = apply(&mut state, record_worker_ends("w", vec![late]));
        assert!(applied.contains(&StateChange::TaskReady { task: task(JOB, 0, 0) }));
    }
    assert_eq!(job_state(&state, JOB), Some("running"));
}

#[test]
fn next_start_resumes_from_the_checkpoint() {
    let mut state = state_with_job(job(vec![Stage { checkpoints: true, ..stage(1) }]));
    apply(&mut state, start_on_worker(&[task(JOB, 0, 0)], 1, "w"));
    let mut stopped = worker_end(1, task(JOB, 0, 0), 1, EndKind::STOPPED);
    stopped.checkpoint = "c1".to_owned();
    apply(&mut state, record_worker_ends("w", vec![stopped]));
    apply(&mut state, start_on_worker(&[task(JOB, 0, 0)], 2, "w"));
    apply(&mut state, resolve_expired_lease("w", task(JOB, 0, 0), 2, ""));
    assert_eq!(state.open_work(JOB).unwrap().checkpoint(task(JOB, 0, 0)), "c1");
    apply(&mut state, start_on_worker(&[task(JOB, 0, 0)], 3, "w"));
    apply(&mut state, resolve_expired_lease("w", task(JOB, 0, 0), 3, "c2"));
    assert_eq!(state.open_work(JOB).unwrap().checkpoint(task(JOB, 0, 0)), "c2");
}

#[test]
fn first_done_copy_counts_and_the_other_is_stopped() {
    let mut state = state_with_job(job(vec![Stage { speculative: true, ..stage(1) }, stage_after(1, &[0])]));
    apply(&mut state, start_on_worker(&[task(JOB, 0, 0)], 1, "w"));
    apply(&mut state, start_on_worker(&[task(JOB, 0, 0)], 2, "v"));
    let applied = apply(&mut state, record_worker_end("v", 1, task(JOB, 0, 0), 2, EndKind::DONE));
    let other = AttemptKey { task: task(JOB, 0, 0), attempt: 1 };
    assert!(applied
        .iter()
        .any(|effect| matches!(effect, StateChange::StopRequested { key, .. } if *key == other)));
    let applied = apply(&mut state, record_worker_end("w", 1, task(JOB, 0, 0), 1, EndKind::DONE));
    assert!(applied.iter().all(|effect| !matches!(effect, StateChange::TaskDone { .. })));
}

#[test]
fn only_speculative_tasks_have_two_active_attempts() {
    let mut state = state_with_job(job(vec![stage(1)]));
    apply(&mut state, start_on_worker(&[task(JOB, 0, 0)], 1, "w"));
    let applied = apply(&mut state, start_on_worker(&[task(JOB, 0, 0)], 2, "v"));
    assert!(matches!(applied[..], [StateChange::StartDropped { .. }]));
}

fn state_with_gang() -> State {
    state_with_job(job(vec![Stage { gang: true, ..stage(3) }, stage_after(1, &[0])]))
}

fn gang_members() -> Vec<scheduler::ids::TaskKey> {
    (0..3).map(|index| task(JOB, 0, index)).collect()
}

#[test]
fn starts_a_gang_completely_or_not_at_all() {
    let mut state = state_with_gang();
    let applied = apply(&mut state, start_on_worker(&gang_members()[..2], 1, "w"));
    assert!(applied.iter().all(|effect| matches!(effect, StateChange::StartDropped { .. })));
    let applied = apply(&mut state, start_on_worker(&gang_members(), 1, "w"));
    assert_eq!(
        applied.iter().filter(|effect| matches!(effect, StateChange::AttemptStarted { .. })).count(),
        3
    );
}

#[test]
fn one_done_member_completes_the_gang() {
    let mut state = state_with_gang();
    apply(&mut state, start_on_worker(&gang_members(), 1, "w"));
    let applied = apply(&mut state, record_worker_end("w", 1, task(JOB, 0, 1), 1, EndKind::DONE));
    assert!(applied.contains(&StateChange::StepReady { step: step(1) }));
    for (number, member) in [0, 2].into_iter().enumerate() {
        let end = record_worker_end("w", 2 + number as u64, task(JOB, 0, member), 1, EndKind::DONE);
        assert!(!apply(&mut state, end).contains(&StateChange::StepReady { step: step(1) }));
    }
    assert_eq!(state.worker("w").unwrap().active, 0);
}

#[test]
fn broken_gang_restarts_and_counts_one_failure_per_run() {
    let mut state = state_with_gang();
    for attempt in 1..=2 {
        let applied = apply(&mut state, start_on_worker(&gang_members(), attempt, "w"));
        assert_eq!(applied.len(), 3);
        let sequence = u64::from(attempt) * 10;
        let applied =
            apply(&mut state, record_worker_end("w", sequence, task(JOB, 0, 0), attempt, EndKind::FAILED));
        if attempt == 2 {
            assert!(applied.contains(&StateChange::JobEnded { job: JOB, phase: JobPhase::JOB_FAILED }));
            return;
        }
        assert_eq!(
            applied.iter().filter(|effect| matches!(effect, StateChange::StopRequested { .. })).count(),
            2
        );
        let early = apply(&mut state, start_on_worker(&gang_members(), attempt + 1, "w"));
        assert!(early.iter().all(|effect| matches!(effect, StateChange::StartDropped { .. })));
        apply(&mut state, record_worker_end("w", sequence + 1, task(JOB, 0, 1), attempt, EndKind::FAILED));
        let applied = apply(
            &mut state,
            record_worker_end("w", sequence + 2, task(JOB, 0, 2), attempt, EndKind::BROKEN),
        );
        assert!(applied.contains(&StateChange::TaskReady { task: task(JOB, 0, 0) }));
    }
}

#[test]
fn gang_resumes_from_the_checkpoint_of_any_member() {
    let mut state = state_with_gang();
    apply(&mut state, start_on_worker(&gang_members(), 1, "w"));
    let mut broken = worker_end(1, task(JOB, 0, 2), 1, EndKind::STOPPED);
    broken.checkpoint = "c".to_owned();
    apply(&mut state, record_worker_ends("w", vec![broken]));
    for member in gang_members() {
        assert_eq!(state.open_work(JOB).unwrap().checkpoint(member), "c");
    }
}

#[test]
fn long_running_task_restarts_until_cancelled() {
    let mut state = state_with_job(job(vec![Stage { long_running: true, ..stage(1) }]));
    let kinds = [EndKind::DONE, EndKind::FAILED, EndKind::FAILED, EndKind::FAILED, EndKind::STOPPED];
    for (number, kind) in kinds.into_iter().enumerate() {
        let attempt = number as u32 + 1;
        apply(&mut state, start_on_worker(&[task(JOB, 0, 0)], attempt, "w"));
        let applied =
            apply(&mut state, record_worker_end("w", u64::from(attempt), task(JOB, 0, 0), attempt, kind));
        assert!(applied.contains(&StateChange::TaskReady { task: task(JOB, 0, 0) }));
    }
    apply(&mut state, start_on_worker(&[task(JOB, 0, 0)], 6, "w"));
    let applied = apply(&mut state, cancel(JOB));
    assert!(applied.iter().any(|effect| matches!(effect, StateChange::StopRequested { .. })));
    assert_eq!(job_state(&state, JOB), Some("cancelled"));
}

#[test]
fn repeats_overlap_and_the_last_completes_the_job() {
    let times = JobSpec {
        repeat: 3,
        start_at_ms: 1_000,
        interval_ms: 500,
        ..job(vec![stage(1), stage_after(1, &[0])])
    };
    let mut state = state_with_job(times);
    let work = state.open_work(JOB).unwrap();
    assert_eq!(work.due_ms(2), 2_000);
    let mut sequence = 0;
    for time in [2, 0, 1] {
        for step in 0..2 {
            let key = StepKey { job: JOB, time, step }.task(0);
            apply(&mut state, start_on_worker(&[key], 1, "w"));
            sequence += 1;
            apply(&mut state, record_worker_end("w", sequence, key, 1, EndKind::DONE));
        }
        let restored = State::restore(&state.snapshot()).expect("a complete snapshot");
        assert_eq!(restored.snapshot(), state.snapshot());
    }
    assert_eq!(job_state(&state, JOB), Some("completed"));
}

#[test]
fn stores_nothing_for_future_repeats() {
    let often = JobSpec { repeat: 100_000, start_at_ms: 1, interval_ms: 1, ..job(vec![stage(10)]) };
    let state = state_with_job(often);
    assert!(state.snapshot().jobs[0].tasks.is_empty());
}

#[test]
fn cancelling_an_unknown_job_is_reported() {
    let mut state = State::new();
    assert!(matches!(apply(&mut state, cancel(JOB))[..], [StateChange::NoSuchJob { .. }]));
}

#[test]
fn forgets_ended_jobs_after_the_retention_time() {
    let mut state = state_with_job(job(vec![stage(1)]));
    apply(&mut state, set_clock(1_000));
    apply(&mut state, cancel(JOB));
    apply(&mut state, set_clock(1_000 + ENDED_JOB_RETENTION_MS));
    assert_eq!(job_state(&state, JOB), Some("cancelled"));
    // A clock that goes back neither removes jobs nor extends their retention.
    apply(&mut state, set_clock(5));
    let applied = apply(&mut state, set_clock(1_001 + ENDED_JOB_RETENTION_MS));
    assert_eq!(applied, vec![StateChange::JobForgotten { job: JOB }]);
    assert!(state.job(JOB).is_none());
}

#[test]
fn keeps_ended_jobs_while_attempts_are_active() {
    let mut state = state_with_job(job(vec![stage(1)]));
    apply(&mut state, start_on_worker(&[task(JOB, 0, 0)], 1, "w"));
    apply(&mut state, cancel(JOB));
    apply(&mut state, set_clock(10 * ENDED_JOB_RETENTION_MS));
    assert!(state.job(JOB).is_some());
    apply(&mut state, resolve_expired_lease("w", task(JOB, 0, 0), 1, ""));
    apply(&mut state, set_clock(10 * ENDED_JOB_RETENTION_MS + 1));
    assert!(state.job(JOB).is_none());
}

#[test]
fn accepts_changes_to_the_current_version_and_their_repeats() {
    let mut state = State::new();
    assert!(matches!(
        apply(&mut state, store_configuration("a", 3, 0))[..],
        [StateChange::ConfigurationAccepted { version: 3, .. }]
    ));
    assert!(matches!(
        apply(&mut state, store_configuration("a", 3, 0))[..],
        [StateChange::ConfigurationRepeated { .. }]
    ));
    assert!(matches!(
        apply(&mut state, store_configuration("b", 5, 0))[..],
        [StateChange::ConfigurationConflict { current: 3, .. }]
    ));
    assert!(matches!(
        apply(&mut state, store_configuration("b", 3, 3))[..],
        [StateChange::ConfigurationVersionTooLow { current: 3, .. }]
    ));
    assert!(matches!(
        apply(&mut state, store_configuration("b", 5, 3))[..],
        [StateChange::ConfigurationAccepted { version: 5, .. }]
    ));
    let mut state = State::restore(&state.snapshot()).expect("a complete snapshot");
    assert!(matches!(
        apply(&mut state, store_configuration("a", 3, 0))[..],
        [StateChange::ConfigurationRepeated { .. }]
    ));
    assert!(matches!(
        apply(&mut state, store_configuration("b", 5, 3))[..],
        [StateChange::ConfigurationRepeated { .. }]
    ));
    assert_eq!(state.configuration().unwrap().body, b"b");
    assert_eq!(state.configuration_version(), 5);
}

#[test]
fn counts_a_repeated_end_once() {
    let mut state = state_with_job(job(vec![stage(1)]));
    let key = task(JOB, 0, 0);
    apply(&mut state, start_on_worker(&[key], 1, "w"));
    for _ in 0..3 {
        apply(&mut state, record_worker_end("w", 1, key, 1, EndKind::FAILED));
        let failures = state.open_work(JOB).and_then(|work| work.task(key)).map(|task| task.failures);
        assert_eq!(failures, Some(1));
        assert_eq!(state.worker("w").map(|worker| worker.acknowledged), Some(1));
        state = State::restore(&state.snapshot()).expect("a complete snapshot");
    }
}

#[test]
fn failures_of_copies_of_a_done_task_do_not_count() {
    let mut state = state_with_job(job(vec![Stage { speculative: true, ..stage(1) }, stage_after(1, &[0])]));
    let key = task(JOB, 0, 0);
    for attempt in 1..=3 {
        apply(&mut state, start_on_worker(&[key], attempt, &format!("w{attempt}")));
    }
    apply(&mut state, record_worker_end("w1", 1, key, 1, EndKind::DONE));
    for attempt in 2..=3 {
        let applied =
            apply(&mut state, record_worker_end(&format!("w{attempt}"), 1, key, attempt, EndKind::FAILED));
        assert!(
            !applied.iter().any(|effect| matches!(effect, StateChange::TaskFailed { .. })),
            "{applied:?}"
        );
    }
    assert_eq!(job_state(&state, JOB), Some("running"), "the second step has not run yet");
    let again = apply(&mut state, start_on_worker(&[key], 4, "w1"));
    assert!(matches!(again[..], [StateChange::StartDropped { .. }]));
}
