//! A job must not run after the cancellation of its ID was acknowledged, whichever of the two requests
//! arrives first.

mod cluster;
mod commands;

use cluster::{configuration, Cluster};
use commands::{apply, cancel, set_clock, PREFIX};
use messages::job::{JobSpec, SchedulerSnapshot, Stage};
use messages::peer::Outcome;
use scheduler::state::{State, CANCEL_TOMBSTONE_RETENTION_MS};

const JOB: u64 = 0x5c0e_7a21_d94b_36f8;
/// Number of unknown jobs whose cancellation is retained.
const MAX_TOMBSTONES: u64 = 65_536;

fn job() -> JobSpec {
    let stage = Stage { count: 1, cpu: 500, mem_mb: 64, est_runtime_ms: 400, ..Stage::default() };
    JobSpec { spec: "text".to_owned(), stages: vec![stage], ..JobSpec::default() }
}

/// Guards against a submission that is read late, after its cancellation was answered with "no such job",
/// and runs.
#[test]
fn rejects_a_submission_that_arrives_after_its_cancellation() {
    let mut cluster = Cluster::new(1);
    assert_eq!(cluster.cancel("/a/", JOB).unwrap().outcome, Outcome::NO_SUCH_JOB);
    let late = cluster.submit("/a/", JOB, job()).unwrap();
    assert_eq!(late.outcome, Outcome::UNAVAILABLE);
    assert!(late.retry_after_ms > 0 && u64::from(late.retry_after_ms) <= CANCEL_TOMBSTONE_RETENTION_MS);
    assert_eq!(cluster.read("/a/", JOB).unwrap().outcome, Outcome::NO_SUCH_JOB);
    cluster.run_for_ms(2_000);
    assert!(cluster.run_starts.is_empty(), "{:?}", cluster.run_starts);
    assert_eq!(cluster.cancel("/a/", JOB).unwrap().outcome, Outcome::NO_SUCH_JOB);
}

#[test]
fn acknowledges_the_cancellation_of_an_unknown_job_after_the_commit() {
    let mut cluster = Cluster::new(1);
    let cancel = cluster.send_cancel("/a/", JOB);
    let repeat = cluster.send_cancel("/a/", JOB);
    let submission = cluster.send_job("/a/", JOB, job());
    assert!(!cluster.replies.contains_key(&cancel) && !cluster.replies.contains_key(&repeat));
    assert_eq!(cluster.replies[&submission].outcome, Outcome::UNAVAILABLE);
    assert!(cluster.run_until(100, |cluster| cluster.replies.contains_key(&repeat)));
    assert_eq!(cluster.replies[&cancel].outcome, Outcome::NO_SUCH_JOB);
    assert_eq!(cluster.replies[&repeat].outcome, Outcome::NO_SUCH_JOB);
}

#[test]
fn cancels_a_submission_that_arrives_just_before_its_cancellation() {
    let mut cluster = Cluster::new(1);
    let submission = cluster.send_job("/a/", JOB, job());
    let cancel = cluster.send_cancel("/a/", JOB);
    cluster.run_for_ms(2_000);
    assert_eq!(cluster.replies[&submission].outcome, Outcome::ACCEPTED);
    assert_eq!(cluster.replies[&cancel].outcome, Outcome::CANCEL_DONE);
    assert_eq!(cluster.job_state(JOB), "cancelled");
    assert!(cluster.run_starts.is_empty(), "{:?}", cluster.run_starts);
}

/// Guards against a late submission that reaches another leader than the cancellation did.
#[test]
fn next_leader_rejects_a_submission_that_was_cancelled_before() {
    let mut cluster = Cluster::new(1);
    assert_eq!(cluster.cancel("/a/", JOB).unwrap().outcome, Outcome::NO_SUCH_JOB);
    cluster.state = State::restore(&cluster.state.snapshot()).expect("a complete snapshot");
    cluster.elect_leader();
    assert_eq!(cluster.submit("/a/", JOB, job()).unwrap().outcome, Outcome::UNAVAILABLE);
    assert_eq!(cluster.job_state(JOB), "unknown");
}

#[test]
fn cancellation_affects_only_its_own_queue() {
    let mut cluster = Cluster::new(1);
    assert!(cluster.configure(configuration(4, &[("/a/", 1), ("/b/", 1)]), Some(1)).is_some());
    assert_eq!(cluster.cancel("/a/", JOB).unwrap().outcome, Outcome::NO_SUCH_JOB);
    assert_eq!(cluster.submit("/b/", JOB, job()).unwrap().outcome, Outcome::ACCEPTED);
    assert_eq!(cluster.cancel("/b/", JOB).unwrap().outcome, Outcome::CANCEL_DONE);
}

/// A flood of cancellations of unknown jobs takes bounded memory. Those that cannot be recorded are not
/// acknowledged, and known jobs are cancelled as usual.
#[test]
fn cancellations_of_unknown_jobs_are_bounded() {
    let mut cluster = Cluster::new(0);
    let tokens: Vec<u64> = (0..=MAX_TOMBSTONES).map(|id| cluster.send_cancel("/a/", id + 1)).collect();
    cluster.run_for_ms(100);
    let outcomes: Vec<Outcome> = tokens.iter().map(|token| cluster.replies[token].outcome).collect();
    let rejected = outcomes.iter().filter(|outcome| **outcome == Outcome::UNAVAILABLE).count();
    assert_eq!((rejected, outcomes.len()), (1, MAX_TOMBSTONES as usize + 1));
    assert_eq!(cluster.cancel("/a/", 1).unwrap().outcome, Outcome::NO_SUCH_JOB, "a repeat needs no memory");
    assert_eq!(cluster.submit("/a/", JOB, job()).unwrap().outcome, Outcome::ACCEPTED);
    assert_eq!(cluster.cancel("/a/", JOB).unwrap().outcome, Outcome::CANCEL_DONE);
}

#[test]
fn tombstone_expires_after_its_retention_time() {
    let mut state = State::new();
    apply(&mut state, set_clock(1_000));
    apply(&mut state, cancel(JOB));
    assert_eq!(state.cancelled_until_ms(JOB, PREFIX), Some(1_000 + CANCEL_TOMBSTONE_RETENTION_MS));
    apply(&mut state, set_clock(1_000 + CANCEL_TOMBSTONE_RETENTION_MS));
    assert_eq!(state.cancel_tombstones(), 1);
    apply(&mut state, set_clock(1_001 + CANCEL_TOMBSTONE_RETENTION_MS));
    assert_eq!(state.cancelled_until_ms(JOB, PREFIX), None);
    assert_eq!(state.cancel_tombstones(), 0);
}

#[test]
fn repeated_cancellation_renews_the_tombstone() {
    let mut state = State::new();
    apply(&mut state, set_clock(1_000));
    apply(&mut state, cancel(JOB));
    apply(&mut state, set_clock(9_000));
    apply(&mut state, cancel(JOB));
    assert_eq!(state.cancel_tombstones(), 1);
    apply(&mut state, set_clock(1_001 + CANCEL_TOMBSTONE_RETENTION_MS));
    assert_eq!(state.cancelled_until_ms(JOB, PREFIX), Some(9_000 + CANCEL_TOMBSTONE_RETENTION_MS));
    apply(&mut state, set_clock(9_001 + CANCEL_TOMBSTONE_RETENTION_MS));
    assert_eq!(state.cancel_tombstones(), 0);
}

#[test]
fn snapshot_preserves_tombstones() {
    let mut state = State::new();
    apply(&mut state, set_clock(1_000));
    apply(&mut state, cancel(JOB));
    apply(&mut state, cancel(JOB + 1));
    let decoded: SchedulerSnapshot =
        messages::decode(&messages::encode(&state.snapshot())).expect("a snapshot");
    let mut restored = State::restore(&decoded).expect("a complete snapshot");
    assert_eq!(restored.snapshot(), state.snapshot());
    assert_eq!(restored.cancelled_until_ms(JOB, PREFIX), state.cancelled_until_ms(JOB, PREFIX));
    apply(&mut restored, set_clock(1_001 + CANCEL_TOMBSTONE_RETENTION_MS));
    assert_eq!(restored.cancel_tombstones(), 0);
}

/// Builds that do not know tombstones apply the same log: whether a submission is applied must not depend on
/// them.
#[test]
fn applied_submissions_do_not_depend_on_tombstones() {
    let mut state = State::new();
    apply(&mut state, cancel(JOB));
    apply(&mut state, commands::submit(JOB, job()));
    assert_eq!(commands::job_state(&state, JOB), Some("pending"));
}
