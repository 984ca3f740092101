//! Jobs are rejected early while every start comes too late for them, and only then.

mod cluster;

use cluster::{Cluster, MS};
use messages::job::{JobSpec, Stage};
use messages::peer::Outcome;

/// Of the route `/a/` of the test cluster: 3 times (2 times the work and the target of 1,000 ms).
const WORTHLESS_AFTER_MS: u64 = 3 * (2 * 500 + 1_000);

fn job(count: u32, est_runtime_ms: u64) -> JobSpec {
    let stage = Stage { count, cpu: 4_000, mem_mb: 256, est_runtime_ms, ..Stage::default() };
    JobSpec { spec: "text".to_owned(), stages: vec![stage], ..JobSpec::default() }
}

/// A late leader handles what comes only at multiples of this time.
const LATE_LEADER_PERIOD: u64 = 250 * MS;
/// The same for a leader at whose delay only jobs of the first plan are accepted.
const SLIGHTLY_LATE_LEADER_PERIOD: u64 = 100 * MS;
/// Workers with more capacity than any of these jobs need.
const MANY_WORKERS: usize = 60;
/// Time between two jobs of a steady load, in milliseconds.
const JOB_INTERVAL_MS: u64 = 10;

/// Four short tasks of which many fit on a worker.
fn small_job() -> JobSpec {
    let mut small = job(4, 300);
    small.stages[0].cpu = 100;
    small
}

/// Submits a job of four short tasks; whether it is rejected at once.
fn is_rejected(cluster: &mut Cluster, path: &str, id: u64) -> bool {
    let token = cluster.send_job(path, id, small_job());
    cluster.replies.get(&token).is_some_and(|reply| reply.outcome == Outcome::OVERLOADED)
}

/// Submits jobs of four short tasks at a steady pace; gives the identities of those that were rejected.
fn rejected_of(cluster: &mut Cluster, path: &str, ids: std::ops::Range<u64>) -> Vec<u64> {
    let mut rejected = Vec::new();
    for id in ids {
        cluster.run_for_ms(JOB_INTERVAL_MS);
        if is_rejected(cluster, path, id) {
            rejected.push(id);
        }
    }
    rejected
}

/// A cluster whose leader is late and has confirmed starts at that pace.
fn late_leader() -> Cluster {
    let mut cluster = Cluster::new(MANY_WORKERS);
    cluster.run_for_ms(1_500);
    assert!(rejected_of(&mut cluster, "/u/", 1..150).is_empty(), "a leader in time rejects nothing");
    cluster.leader_period = LATE_LEADER_PERIOD;
    cluster
}

/// A cluster with one worker whose queue takes `seconds` to be served: jobs of two tasks of half a second
/// each.
fn queued(seconds: u64) -> Cluster {
    let mut cluster = Cluster::new(1);
    cluster.run_for_ms(1_500);
    for id in 1..=seconds {
        let reply = cluster.submit("/a/", id, job(2, 500)).expect("a reply");
        assert_eq!(reply.outcome, Outcome::ACCEPTED, "job {id}");
    }
    cluster
}

#[test]
fn a_job_is_rejected_with_a_time_to_come_back_while_every_start_is_too_late_for_it() {
    let mut cluster = queued(20);
    cluster.run_for_ms(WORTHLESS_AFTER_MS + 2_000);
    let reply = cluster.submit("/a/", 100, job(1, 500)).expect("a reply");
    assert_eq!(reply.outcome, Outcome::OVERLOADED);
    assert!((1_000..=10_000).contains(&reply.retry_after_ms), "{reply:?}");
    let known = cluster.submit("/a/", 20, job(2, 500)).expect("a reply");
    assert_eq!(known.outcome, Outcome::ACCEPTED, "a job that was accepted stays accepted");
    assert!(cluster.run_until_state(20, "completed", 60_000), "what was accepted is completed");
    cluster.run_for_ms(3_000);
    let reply = cluster.submit("/a/", 100, job(1, 500)).expect("a reply");
    assert_eq!(reply.outcome, Outcome::ACCEPTED, "the queue is served: jobs are accepted again");
    assert!(cluster.immediate_violations.is_empty(), "{:?}", cluster.immediate_violations);
}

#[test]
fn a_job_whose_objective_allows_the_wait_is_accepted_while_others_are_rejected() {
    let mut cluster = queued(20);
    cluster.run_for_ms(WORTHLESS_AFTER_MS + 2_000);
    let long = cluster.submit("/a/", 100, job(1, 10_000)).expect("a reply");
    assert_eq!(long.outcome, Outcome::ACCEPTED);
    let other_plan = cluster.submit("/u/", 101, job(1, 500)).expect("a reply");
    assert_eq!(other_plan.outcome, Outcome::ACCEPTED, "the first plan does not wait");
}

#[test]
fn jobs_that_run_until_they_are_cancelled_are_not_rejected_for_a_queue() {
    let mut cluster = queued(20);
    cluster.run_for_ms(WORTHLESS_AFTER_MS + 2_000);
    let mut lasting = job(1, 500);
    lasting.stages[0].long_running = true;
    let reply = cluster.submit("/a/", 100, lasting).expect("a reply");
    assert_eq!(reply.outcome, Outcome::ACCEPTED);
}

#[test]
fn a_leader_that_starts_wait_for_accepts_no_more_than_begins_in_time_beside_free_workers() {
    let mut cluster = late_leader();
    let rejected = rejected_of(&mut cluster, "/u/", 200..600);
    assert!(!rejected.is_empty() && rejected.len() < 400, "{} of 400", rejected.len());
    cluster.leader_period = 0;
    cluster.run_for_ms(3_000);
    assert!(rejected_of(&mut cluster, "/u/", 1_000..1_100).is_empty(), "a leader in time again");
    assert!(cluster.immediate_violations.is_empty(), "{:?}", cluster.immediate_violations);
}

#[test]
fn a_late_leader_rejects_jobs_of_the_later_plan_first() {
    let mut cluster = late_leader();
    cluster.leader_period = SLIGHTLY_LATE_LEADER_PERIOD;
    let (mut first_plan, mut later_plan) = (0, 0);
    for id in (200..800).step_by(2) {
        cluster.run_for_ms(JOB_INTERVAL_MS);
        first_plan += usize::from(is_rejected(&mut cluster, "/u/", id));
        later_plan += usize::from(is_rejected(&mut cluster, "/a/", id + 1));
    }
    assert!(first_plan < later_plan, "{first_plan} of the first plan, {later_plan} of the later one");
}

#[test]
fn a_rejected_job_does_not_enter_a_late_leader_by_coming_again() {
    let mut cluster = late_leader();
    let rejected = rejected_of(&mut cluster, "/u/", 200..400);
    let first = *rejected.first().expect("one is rejected");
    // Meanwhile others come and are accepted as starts are confirmed.
    let others = rejected_of(&mut cluster, "/u/", 400..600);
    assert!(others.len() < 200, "some are accepted");
    let again = (0..20).filter(|_| {
        rejected_of(&mut cluster, "/u/", 600..605);
        !is_rejected(&mut cluster, "/u/", first)
    });
    assert_eq!(again.count(), 0, "its time is over");
}
