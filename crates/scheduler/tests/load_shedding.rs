//! Jobs are rejected early while every start comes too late for them, and only then.

mod cluster;

use cluster::Cluster;
use messages::job::{JobSpec, Stage};
use messages::peer::Outcome;

/// Of the route `/a/` of the test cluster: 3 times (2 times the work and the target of 1,000 ms).
const WORTHLESS_AFTER_MS: u64 = 3 * (2 * 500 + 1_000);

fn job(count: u32, est_runtime_ms: u64) -> JobSpec {
    let stage = Stage { count, cpu: 4_000, mem_mb: 256, est_runtime_ms, ..Stage::default() };
    JobSpec { spec: "text".to_owned(), stages: vec![stage], ..JobSpec::default() }
}

/// A cluster with one worker whose queue takes `seconds` to be served: jobs of two tasks of half a second each.
fn queued(seconds: u64) -> Cluster {
    let mut cluster = Cluster::new(1);
    cluster.run(1_500);
    for id in 1..=seconds {
        let reply = cluster.submit("/a/", id, job(2, 500)).expect("a reply");
        assert_eq!(reply.outcome, Outcome::ACCEPTED, "job {id}");
    }
    cluster
}

#[test]
fn a_job_is_rejected_with_a_time_to_come_back_while_every_start_is_too_late_for_it() {
    let mut cluster = queued(20);
    cluster.run(WORTHLESS_AFTER_MS + 2_000);
    let reply = cluster.submit("/a/", 100, job(1, 500)).expect("a reply");
    assert_eq!(reply.outcome, Outcome::OVERLOADED);
    assert!((1_000..=10_000).contains(&reply.retry_after_ms), "{reply:?}");
    let known = cluster.submit("/a/", 20, job(2, 500)).expect("a reply");
    assert_eq!(known.outcome, Outcome::ACCEPTED, "a job that was accepted stays accepted");
    assert!(cluster.reaches(20, "completed", 60_000), "what was accepted is completed");
    cluster.run(3_000);
    let reply = cluster.submit("/a/", 100, job(1, 500)).expect("a reply");
    assert_eq!(reply.outcome, Outcome::ACCEPTED, "the queue is served: jobs are accepted again");
    assert!(cluster.broken_rules.is_empty(), "{:?}", cluster.broken_rules);
}

#[test]
fn a_job_whose_objective_allows_the_wait_is_accepted_while_others_are_rejected() {
    let mut cluster = queued(20);
    cluster.run(WORTHLESS_AFTER_MS + 2_000);
    let long = cluster.submit("/a/", 100, job(1, 10_000)).expect("a reply");
    assert_eq!(long.outcome, Outcome::ACCEPTED);
    let other_plan = cluster.submit("/u/", 101, job(1, 500)).expect("a reply");
    assert_eq!(other_plan.outcome, Outcome::ACCEPTED, "the first plan does not wait");
}

#[test]
fn jobs_that_run_until_they_are_cancelled_are_not_rejected_for_a_queue() {
    let mut cluster = queued(20);
    cluster.run(WORTHLESS_AFTER_MS + 2_000);
    let mut lasting = job(1, 500);
    lasting.stages[0].long_running = true;
    let reply = cluster.submit("/a/", 100, lasting).expect("a reply");
    assert_eq!(reply.outcome, Outcome::ACCEPTED);
}
