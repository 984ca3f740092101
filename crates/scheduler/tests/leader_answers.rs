//! Replies to clients and to the operator, and the time at which they are sent.

mod cluster;

use cluster::{configuration, Cluster};
use messages::job::{JobSpec, Stage};
use messages::peer::Outcome;
use scheduler::leader::ConfigurationReply;

const JOB: u64 = 0x5c0e_7a21_d94b_36f8;

fn job() -> JobSpec {
    let stage = Stage { count: 1, cpu: 500, mem_mb: 64, est_runtime_ms: 400, ..Stage::default() };
    JobSpec { spec: "text".to_owned(), stages: vec![stage], ..JobSpec::default() }
}

/// No reply is sent before the commit. A repeat that arrives meanwhile waits for the same commit.
#[test]
fn accepts_a_submission_and_its_repeat_after_the_commit() {
    let mut cluster = Cluster::new(1);
    let first = cluster.send_job("/a/", JOB, job());
    let repeat = cluster.send_job("/a/", JOB, job());
    assert!(!cluster.replies.contains_key(&first) && !cluster.replies.contains_key(&repeat));
    assert!(cluster.run_until(100, |cluster| cluster.replies.contains_key(&repeat)));
    assert_eq!(cluster.replies[&first].outcome, Outcome::ACCEPTED);
    assert_eq!(cluster.replies[&repeat].outcome, Outcome::ACCEPTED);
    let later = cluster.send_job("/a/", JOB, job());
    assert_eq!(cluster.replies[&later].outcome, Outcome::ACCEPTED);
}

#[test]
fn rejects_jobs_without_a_configuration() {
    let mut cluster = Cluster::without_configuration(1);
    let reply = cluster.submit("/a/", JOB, job()).unwrap();
    assert_eq!(reply.outcome, Outcome::UNAVAILABLE);
    assert!(reply.retry_after_ms > 0);
    assert_eq!(cluster.job_state(JOB), "unknown");
}

#[test]
fn routes_requests_by_the_current_configuration() {
    let mut cluster = Cluster::new(1);
    assert_eq!(cluster.submit("/none/", JOB, job()).unwrap().outcome, Outcome::NO_ROUTE);
    assert_eq!(cluster.count("/none/").unwrap().outcome, Outcome::NO_ROUTE);
    cluster.submit("/a/", JOB, job());
    assert_eq!(cluster.read("/u/", JOB).unwrap().outcome, Outcome::NO_SUCH_JOB);
    let reply = cluster.configure(configuration(4, &[("/b/", 1)]), Some(1));
    assert_eq!(reply, Some(ConfigurationReply::Accepted));
    assert_eq!(cluster.read("/a/", JOB).unwrap().outcome, Outcome::NO_ROUTE);
    assert_eq!(cluster.count("/b/").unwrap().outcome, Outcome::COUNT);
    assert!(cluster.run_until_state(JOB, "completed", 3_000), "a job whose route was removed still runs");
}

#[test]
fn reads_and_counts_show_the_job_state() {
    let mut cluster = Cluster::new(0);
    cluster.submit("/a/", JOB, job());
    assert_eq!(cluster.read("/a/", JOB).unwrap().state, "pending");
    assert_eq!(cluster.count("/a/").unwrap().pending, 1);
    cluster.add_worker("i-9", 9, 4_000);
    assert!(cluster.run_until(3_000, |cluster| cluster.running() == 1));
    // The leader knows once the worker's answer has arrived.
    cluster.run_for_ms(2);
    assert_eq!(cluster.read("/a/", JOB).unwrap().state, "running");
    assert_eq!(cluster.count("/a/").unwrap().pending, 0);
    cluster.run_until_state(JOB, "completed", 3_000);
    assert_eq!(cluster.read("/a/", JOB).unwrap().state, "completed");
}

#[test]
fn reports_unknown_jobs() {
    let mut cluster = Cluster::new(1);
    assert_eq!(cluster.read("/a/", JOB).unwrap().outcome, Outcome::NO_SUCH_JOB);
    assert_eq!(cluster.cancel("/a/", JOB).unwrap().outcome, Outcome::NO_SUCH_JOB);
}

#[test]
fn cancels_a_job_whose_submission_is_in_flight() {
    let mut cluster = Cluster::new(1);
    cluster.send_job("/a/", JOB, job());
    assert_eq!(cluster.cancel("/a/", JOB).unwrap().outcome, Outcome::CANCEL_DONE);
    cluster.run_for_ms(2_000);
    assert_eq!(cluster.running(), 0);
    assert!(cluster.runs.is_empty());
}

#[test]
fn rejects_a_job_without_steps() {
    let mut cluster = Cluster::new(1);
    let without_steps = JobSpec { stages: Vec::new(), ..job() };
    assert_eq!(cluster.submit("/a/", JOB, without_steps).unwrap().outcome, Outcome::INVALID);
}

#[test]
fn accepts_a_repeated_submission_while_overloaded() {
    let mut cluster = Cluster::new(0);
    let mut large = job();
    large.stages[0].count = 4_900;
    cluster.submit("/a/", JOB, large.clone());
    let refused = cluster.submit("/a/", JOB + 1, large.clone()).unwrap();
    assert_eq!(refused.outcome, Outcome::OVERLOADED);
    assert!(refused.retry_after_ms > 0);
    assert_eq!(cluster.submit("/a/", JOB, large).unwrap().outcome, Outcome::ACCEPTED);
    cluster.cancel("/a/", JOB);
    assert_eq!(cluster.submit("/a/", JOB + 2, job()).unwrap().outcome, Outcome::ACCEPTED);
}

#[test]
fn accepts_only_one_of_two_changes_to_the_same_version() {
    let mut cluster = Cluster::new(1);
    let one = cluster.send_configuration(configuration(5, &[("/a/", 1)]), Some(1));
    let other = cluster.send_configuration(configuration(6, &[("/b/", 1)]), Some(1));
    cluster.run_for_ms(100);
    assert_eq!(cluster.configuration_replies[&one], ConfigurationReply::Accepted);
    assert!(matches!(cluster.configuration_replies[&other], ConfigurationReply::Conflict { .. }));
}

#[test]
fn acknowledges_repeated_configurations_after_a_leader_change() {
    let mut cluster = Cluster::new(1);
    let second = configuration(5, &[("/a/", 1)]);
    let third = configuration(9, &[("/a/", 1)]);
    assert_eq!(cluster.configure(second.clone(), Some(1)), Some(ConfigurationReply::Accepted));
    assert_eq!(cluster.configure(third.clone(), Some(5)), Some(ConfigurationReply::Accepted));
    cluster.elect_leader();
    for (body, builds_on) in [(second, 1), (third, 5)] {
        assert_eq!(cluster.configure(body, Some(builds_on)), Some(ConfigurationReply::Accepted));
    }
}

#[test]
fn rejects_invalid_configurations() {
    let mut cluster = Cluster::new(1);
    for body in [configuration(1, &[("/x/", 1)]), configuration(5, &[("/x/", 1), ("/x/", 1)]), b"{".to_vec()]
    {
        let reply = cluster.configure(body, Some(1));
        assert!(matches!(reply, Some(ConfigurationReply::Invalid { .. })), "{reply:?}");
    }
    let stale = cluster.configure(configuration(5, &[("/x/", 1)]), Some(0));
    assert!(matches!(stale, Some(ConfigurationReply::Conflict { .. })));
}
