//! What a leader does about workers that stop responding, stall, or run only long-running tasks.

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
fn with_unresponsive_worker(stage: Stage) -> Cluster {
    let mut cluster = Cluster::new(2);
    // Lease renewals of earlier leaders must not count.
    cluster.run_for_ms(8_000);
    cluster.send_job("/a/", JOB, job(vec![stage]));
    assert!(cluster.run_until(2_000, |cluster| cluster.running() > 0));
    cluster.run_for_ms(100);
    let busy = cluster.workers.iter().find(|(_, worker)| !worker.running.is_empty());
    let busy = busy.map(|(id, _)| id.clone()).expect("the job runs somewhere");
    cluster.workers.get_mut(&busy).unwrap().is_unreachable = true;
    cluster
}

#[test]
fn a_short_task_on_an_unresponsive_worker_runs_elsewhere_before_the_longest_lease_expires() {
    let mut cluster = with_unresponsive_worker(stage(1, 1_000, 600));
    assert!(cluster.run_until_state(JOB, "completed", 4_500), "the longest hold is 6 s");
    cluster.assert_no_violations();
}

#[test]
fn a_long_running_task_keeps_the_longest_lease() {
    let mut cluster = with_unresponsive_worker(Stage { long_running: true, ..stage(1, 1_000, 600) });
    cluster.run_for_ms(4_500);
    let timed_out = cluster.workers.values().find(|worker| worker.is_unreachable).expect("one is silent");
    assert_eq!(timed_out.running.len(), 1, "it has not lapsed");
    assert_eq!(cluster.running(), 1, "and was not started elsewhere");
    cluster.assert_no_violations();
}

#[test]
fn a_copy_starts_as_soon_as_a_response_is_overdue() {
    let mut cluster = with_unresponsive_worker(Stage { speculative: true, ..stage(1, 1_000, 600) });
    assert!(cluster.run_until_state(JOB, "completed", 2_400));
    cluster.assert_no_violations();
}

#[test]
fn a_stalled_attempt_is_moved_within_a_second_or_two() {
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
    let stalled = stalled.map(|(id, _)| id.clone()).expect("it runs somewhere");
    for (id, worker) in &mut cluster.workers {
        worker.stalls_runs = *id == stalled;
    }
    assert!(cluster.run_until_state(JOB + 1, "completed", 4_500));
    cluster.assert_no_violations();
}

#[test]
fn workers_with_only_long_running_tasks_are_asked_less_often() {
    let calls_in_10_s = |long_running: bool| {
        let mut cluster = Cluster::new(1);
        cluster.send_job("/a/", JOB, job(vec![Stage { long_running, ..stage(1, 1_000, 60_000) }]));
        cluster.run_for_ms(2_000);
        let before = cluster.calls;
        cluster.run_for_ms(10_000);
        cluster.calls - before
    };
    let (lasting, running) = (calls_in_10_s(true), calls_in_10_s(false));
    assert!(lasting <= 12 && lasting < running, "{lasting} and {running}");
}

#[test]
fn a_new_incarnation_of_another_kind_at_the_same_address_gets_what_that_kind_may_run() {
    let with_label = |label: &str| job(vec![Stage { constraint: label.to_owned(), ..stage(1, 1_000, 500) }]);
    let mut cluster = Cluster::new(1);
    cluster.send_job("/a/", JOB, with_label("b"));
    cluster.run_for_ms(2_000);
    assert_eq!(cluster.running(), 0, "no worker is of kind b");
    cluster.crash_worker("i-0");
    cluster.workers.remove("i-0");
    cluster.add_worker("i-9", 0, 4_000);
    cluster.workers.get_mut("i-9").unwrap().instance.labels[0] = "b".to_owned();
    assert!(cluster.run_until_state(JOB, "completed", 6_000));
    cluster.send_job("/a/", JOB + 1, with_label("a"));
    cluster.run_for_ms(3_000);
    assert_eq!(cluster.job_state(JOB + 1), "pending", "no worker is of kind a any more");
    cluster.assert_no_violations();
}

#[test]
fn a_leader_that_is_woken_early_asks_for_its_wake_up_again() {
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
