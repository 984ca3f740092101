//! Load shedding: a job is rejected at submission if, and only if, its start would come too late for its
//! objective.

mod cluster;

use cluster::{Cluster, MS};
use messages::job::{JobSpec, Stage};
use messages::peer::Outcome;

/// Time after which a job of 500 ms on the route `/a/` has no value: 3 times the sum of twice its work and
/// the target latency of 1,000 ms.
const OBJECTIVE_LIMIT_MS: u64 = 3 * (2 * 500 + 1_000);

fn job(count: u32, est_runtime_ms: u64) -> JobSpec {
    let stage = Stage { count, cpu: 4_000, mem_mb: 256, est_runtime_ms, ..Stage::default() };
    JobSpec { spec: "text".to_owned(), stages: vec![stage], ..JobSpec::default() }
}

/// A late leader handles its input only at multiples of this period.
const LATE_LEADER_PERIOD_NS: u64 = 250 * MS;
/// Period of a leader whose delay is so short that it still accepts jobs of the first plan.
const SLIGHTLY_LATE_LEADER_PERIOD_NS: u64 = 100 * MS;
/// Number of workers, with more capacity than the jobs of a test need.
const MANY_WORKERS: usize = 60;
/// Interval of the submissions of a steady load, in milliseconds.
const JOB_INTERVAL_MS: u64 = 10;

/// A job of four short tasks. A worker has capacity for many of them.
fn small_job() -> JobSpec {
    let mut small = job(4, 300);
    small.stages[0].cpu = 100;
    small
}

/// Submits a small job. Returns whether it is rejected at once.
fn submit_is_rejected(cluster: &mut Cluster, path: &str, id: u64) -> bool {
    let token = cluster.send_job(path, id, small_job());
    cluster.replies.get(&token).is_some_and(|reply| reply.outcome == Outcome::OVERLOADED)
}

/// Submits small jobs at a steady rate. Returns the IDs of the rejected jobs.
fn submit_and_list_rejected(cluster: &mut Cluster, path: &str, ids: std::ops::Range<u64>) -> Vec<u64> {
    let mut rejected = Vec::new();
    for id in ids {
        cluster.run_for_ms(JOB_INTERVAL_MS);
        if submit_is_rejected(cluster, path, id) {
            rejected.push(id);
        }
    }
    rejected
}

/// A cluster whose leader is late from now on. Before, the leader was in time and confirmed starts.
fn cluster_with_late_leader() -> Cluster {
    let mut cluster = Cluster::new(MANY_WORKERS);
    cluster.run_for_ms(1_500);
    assert!(
        submit_and_list_rejected(&mut cluster, "/u/", 1..150).is_empty(),
        "a leader that is in time rejects nothing"
    );
    cluster.leader_period = LATE_LEADER_PERIOD_NS;
    cluster
}

/// A cluster with one worker and a backlog of `seconds` seconds: one job of two tasks of half a second for
/// each second.
fn cluster_with_queue(seconds: u64) -> Cluster {
    let mut cluster = Cluster::new(1);
    cluster.run_for_ms(1_500);
    for id in 1..=seconds {
        let reply = cluster.submit("/a/", id, job(2, 500)).expect("a reply");
        assert_eq!(reply.outcome, Outcome::ACCEPTED, "job {id}");
    }
    cluster
}

#[test]
fn rejects_jobs_with_retry_time_while_starts_come_too_late() {
    let mut cluster = cluster_with_queue(20);
    cluster.run_for_ms(OBJECTIVE_LIMIT_MS + 2_000);
    let reply = cluster.submit("/a/", 100, job(1, 500)).expect("a reply");
    assert_eq!(reply.outcome, Outcome::OVERLOADED);
    assert!((1_000..=10_000).contains(&reply.retry_after_ms), "{reply:?}");
    let known = cluster.submit("/a/", 20, job(2, 500)).expect("a reply");
    assert_eq!(known.outcome, Outcome::ACCEPTED, "a repeated submission of an accepted job is accepted");
    assert!(cluster.run_until_state(20, "completed", 60_000), "an accepted job is completed");
    cluster.run_for_ms(3_000);
    let reply = cluster.submit("/a/", 100, job(1, 500)).expect("a reply");
    assert_eq!(reply.outcome, Outcome::ACCEPTED, "the backlog is empty: jobs are accepted again");
    assert!(cluster.immediate_violations.is_empty(), "{:?}", cluster.immediate_violations);
}

#[test]
fn accepts_jobs_whose_objective_allows_the_wait() {
    let mut cluster = cluster_with_queue(20);
    cluster.run_for_ms(OBJECTIVE_LIMIT_MS + 2_000);
    let long = cluster.submit("/a/", 100, job(1, 10_000)).expect("a reply");
    assert_eq!(long.outcome, Outcome::ACCEPTED);
    let other_plan = cluster.submit("/u/", 101, job(1, 500)).expect("a reply");
    assert_eq!(other_plan.outcome, Outcome::ACCEPTED, "jobs of the first plan do not wait");
}

#[test]
fn accepts_long_running_jobs_despite_a_queue() {
    let mut cluster = cluster_with_queue(20);
    cluster.run_for_ms(OBJECTIVE_LIMIT_MS + 2_000);
    let mut long_running_job = job(1, 500);
    long_running_job.stages[0].long_running = true;
    let reply = cluster.submit("/a/", 100, long_running_job).expect("a reply");
    assert_eq!(reply.outcome, Outcome::ACCEPTED);
}

/// Starts wait for a late leader although workers are free. The leader must accept only as many jobs as it
/// can start in time.
#[test]
fn late_leader_sheds_load_despite_free_workers() {
    let mut cluster = cluster_with_late_leader();
    let rejected = submit_and_list_rejected(&mut cluster, "/u/", 200..600);
    assert!(!rejected.is_empty() && rejected.len() < 400, "{} of 400 jobs rejected", rejected.len());
    cluster.leader_period = 0;
    cluster.run_for_ms(3_000);
    assert!(
        submit_and_list_rejected(&mut cluster, "/u/", 1_000..1_100).is_empty(),
        "the leader is in time again"
    );
    assert!(cluster.immediate_violations.is_empty(), "{:?}", cluster.immediate_violations);
}

#[test]
fn late_leader_rejects_lower_priority_plans_first() {
    let mut cluster = cluster_with_late_leader();
    cluster.leader_period = SLIGHTLY_LATE_LEADER_PERIOD_NS;
    let (mut first_plan, mut later_plan) = (0, 0);
    for id in (200..800).step_by(2) {
        cluster.run_for_ms(JOB_INTERVAL_MS);
        first_plan += usize::from(submit_is_rejected(&mut cluster, "/u/", id));
        later_plan += usize::from(submit_is_rejected(&mut cluster, "/a/", id + 1));
    }
    assert!(
        first_plan < later_plan,
        "rejected: {first_plan} of the first plan, {later_plan} of the later plan"
    );
}

/// A client that repeats the submission must not get past the load shedding of a late leader.
#[test]
fn repeated_submissions_of_a_rejected_job_stay_rejected() {
    let mut cluster = cluster_with_late_leader();
    let rejected = submit_and_list_rejected(&mut cluster, "/u/", 200..400);
    let first = *rejected.first().expect("a job is rejected");
    // Meanwhile other jobs are submitted, and some are accepted as starts are confirmed.
    let others = submit_and_list_rejected(&mut cluster, "/u/", 400..600);
    assert!(others.len() < 200, "some jobs are accepted");
    let again = (0..20).filter(|_| {
        submit_and_list_rejected(&mut cluster, "/u/", 600..605);
        !submit_is_rejected(&mut cluster, "/u/", first)
    });
    assert_eq!(again.count(), 0, "a job that was rejected once must stay rejected");
}
