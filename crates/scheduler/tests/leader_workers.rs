//! Treatment of workers that stop responding, stall, or run only long-running tasks.

mod cluster;

use cluster::{Cluster, DAY_START_MS};
use messages::job::{JobSpec, Stage};
use scheduler::leader::{Input, Output};

const JOB: u64 = 0x10;

fn stage(count: u32, cpu: u64, est_runtime_ms: u64) -> Stage {
    Stage { count, cpu, mem_mb: 1, est_runtime_ms, ..Stage::default() }
}

fn job(stages: Vec<Stage>) -> JobSpec {
    JobSpec { stages, ..JobSpec::default() }
}

/// A cluster of two workers, one of which stops responding as soon as the job runs on it.
fn cluster_with_unresponsive_worker(stage: Stage) -> Cluster {
    let mut cluster = Cluster::new(2);
    // Waits until no worker lease of an earlier leader can be in force.
    cluster.run_for_ms(8_000);
    cluster.send_job("/a/", JOB, job(vec![stage]));
    assert!(cluster.run_until(2_000, |cluster| cluster.running() > 0));
    cluster.run_for_ms(100);
    let busy = cluster.workers.iter().find(|(_, worker)| !worker.running.is_empty());
    let busy = busy.map(|(id, _)| id.clone()).expect("the job runs on a worker");
    cluster.workers.get_mut(&busy).unwrap().is_unreachable = true;
    cluster
}

#[test]
fn reruns_short_task_before_the_longest_lease_expires() {
    let mut cluster = cluster_with_unresponsive_worker(stage(1, 1_000, 600));
    assert!(cluster.run_until_state(JOB, "completed", 4_500), "the longest worker lease is 6 s");
    cluster.assert_no_violations();
}

#[test]
fn long_running_task_keeps_the_longest_lease() {
    let mut cluster = cluster_with_unresponsive_worker(Stage { long_running: true, ..stage(1, 1_000, 600) });
    cluster.run_for_ms(4_500);
    let timed_out =
        cluster.workers.values().find(|worker| worker.is_unreachable).expect("one worker is unreachable");
    assert_eq!(timed_out.running.len(), 1, "its lease has not expired");
    assert_eq!(cluster.running(), 1, "the task was not started on another worker");
    cluster.assert_no_violations();
}

#[test]
fn starts_a_speculative_copy_when_a_response_is_overdue() {
    let mut cluster = cluster_with_unresponsive_worker(Stage { speculative: true, ..stage(1, 1_000, 600) });
    assert!(cluster.run_until_state(JOB, "completed", 2_400));
    cluster.assert_no_violations();
}

#[test]
fn moves_a_stalled_attempt_soon() {
    let mut cluster = Cluster::new(2);
    // Stalls are only detected once some attempt has reported progress.
    cluster.send_job("/a/", JOB, job(vec![stage(4, 2_000, 1_500)]));
    assert!(cluster.run_until_state(JOB, "completed", 6_000));
    for worker in cluster.workers.values_mut() {
        worker.stalls_runs = true;
    }
    cluster.send_job("/a/", JOB + 1, job(vec![stage(1, 1_000, 800)]));
    assert!(cluster.run_until(2_000, |cluster| cluster.running() > 0));
    let stalled = cluster.workers.iter().find(|(_, worker)| !worker.running.is_empty());
    let stalled = stalled.map(|(id, _)| id.clone()).expect("the job runs on a worker");
    for (id, worker) in &mut cluster.workers {
        worker.stalls_runs = *id == stalled;
    }
    assert!(cluster.run_until_state(JOB + 1, "completed", 4_500));
    cluster.assert_no_violations();
}

#[test]
fn queries_workers_with_only_long_running_tasks_less_often() {
    let calls_in_10_s = |long_running: bool| {
        let mut cluster = Cluster::new(1);
        cluster.send_job("/a/", JOB, job(vec![Stage { long_running, ..stage(1, 1_000, 60_000) }]));
        cluster.run_for_ms(2_000);
        let before = cluster.calls;
        cluster.run_for_ms(10_000);
        cluster.calls - before
    };
    let (long_running_calls, ordinary_calls) = (calls_in_10_s(true), calls_in_10_s(false));
    assert!(
        long_running_calls <= 12 && long_running_calls < ordinary_calls,
        "{long_running_calls} and {ordinary_calls} calls"
    );
}

#[test]
fn new_incarnation_at_the_same_address_gets_tasks_of_its_own_label() {
    let with_label = |label: &str| job(vec![Stage { constraint: label.to_owned(), ..stage(1, 1_000, 500) }]);
    let mut cluster = Cluster::new(1);
    cluster.send_job("/a/", JOB, with_label("b"));
    cluster.run_for_ms(2_000);
    assert_eq!(cluster.running(), 0, "no worker has the label b");
    cluster.crash_worker("i-0");
    cluster.workers.remove("i-0");
    cluster.add_worker("i-9", 0, 4_000);
    cluster.workers.get_mut("i-9").unwrap().instance.labels[0] = "b".to_owned();
    assert!(cluster.run_until_state(JOB, "completed", 6_000));
    cluster.send_job("/a/", JOB + 1, with_label("a"));
    cluster.run_for_ms(3_000);
    assert_eq!(cluster.job_state(JOB + 1), "pending", "no worker has the label a any more");
    cluster.assert_no_violations();
}

#[test]
fn early_tick_requests_the_wake_up_again() {
    let mut cluster = Cluster::new(1);
    cluster.run_for_ms(3_000);
    let now = cluster.now;
    let (state, leader) = (&cluster.state, cluster.leader.as_mut().expect("a leader"));
    let mut out = Vec::new();
    for _ in 0..2 {
        out.clear();
        leader.handle(state, now, Input::Tick { time_of_day_ms: DAY_START_MS }, &mut out);
        leader.flush(state, now, &mut out);
        assert!(out.iter().any(|output| matches!(output, Output::WakeAt { .. })), "{out:?}");
    }
}
