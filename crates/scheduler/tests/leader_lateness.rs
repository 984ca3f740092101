//! A leader whose own process is late does not take that for the silence of its workers.

mod cluster;

use cluster::{Cluster, MS};
use messages::job::{JobSpec, Stage};
use scheduler::leader::WorkerEvent;

const JOB: u64 = 0x10;
const WORKERS: usize = 8;

/// A job of tasks that outlast the test.
fn long_job() -> JobSpec {
    let stage = Stage { count: 16, cpu: 1_000, mem_mb: 1, est_runtime_ms: 60_000, ..Stage::default() };
    JobSpec { stages: vec![stage], ..JobSpec::default() }
}

/// A cluster in which tasks run on all workers and more have just been sent there.
fn with_calls_in_flight() -> Cluster {
    let mut cluster = Cluster::new(WORKERS);
    cluster.send_job("/a/", JOB, long_job());
    cluster.run_for_ms(8_000);
    cluster.send_job("/a/", JOB + 1, long_job());
    let before = cluster.running();
    assert!(cluster.run_until(2_000, |cluster| cluster.running() > before));
    let leader = cluster.leader.as_mut().expect("a leader");
    leader.take_worker_events();
    leader.take_work();
    cluster
}

/// Asserts that the leader missed no answer: no worker is suspected or unreachable, and no call was given up.
fn assert_no_answer_is_missed(cluster: &mut Cluster) {
    let now = cluster.now;
    let leader = cluster.leader.as_mut().expect("a leader");
    let load = leader.load_report(now);
    assert_eq!((load.suspected_workers, load.unreachable_workers), (0, 0));
    let events = leader.take_worker_events();
    assert!(!events.iter().any(|event| matches!(event, WorkerEvent::TimedOut { .. })), "{events:?}");
    assert_eq!(leader.take_work().calls_cancelled, 0);
}

#[test]
fn answers_that_arrive_while_the_process_stands_still_are_not_taken_for_missing() {
    for span_ms in [150, 300, 500, 700] {
        let mut cluster = with_calls_in_flight();
        cluster.pause_leader_process(span_ms);
        assert_no_answer_is_missed(&mut cluster);
        cluster.run_for_ms(2_000);
        assert_no_answer_is_missed(&mut cluster);
        cluster.assert_no_violations();
    }
}

#[test]
fn a_process_that_stands_still_again_and_again_takes_no_worker_for_silent() {
    let mut cluster = with_calls_in_flight();
    for _ in 0..20 {
        cluster.pause_leader_process(320);
        cluster.run_for_ms(15);
    }
    assert_no_answer_is_missed(&mut cluster);
    cluster.assert_no_violations();
}

/// Milliseconds until a worker that falls silent counts as unreachable, with the leader's process standing
/// still for `absence_ms` after each `presence_ms`.
fn ms_until_timed_out(absence_ms: u64, presence_ms: u64) -> u64 {
    let mut cluster = with_calls_in_flight();
    cluster.pause_leader_process(1);
    let silent = cluster.workers.keys().next().cloned().expect("a worker");
    cluster.workers.get_mut(&silent).expect("the worker").is_unreachable = true;
    let began = cluster.now;
    loop {
        cluster.run_for_ms(presence_ms);
        if absence_ms > 0 {
            cluster.pause_leader_process(absence_ms);
        }
        let events = cluster.leader.as_mut().expect("a leader").take_worker_events();
        let timed_out = events.iter().find_map(|event| match event {
            WorkerEvent::TimedOut { instance, .. } => Some(instance.to_string()),
            _ => None,
        });
        if let Some(instance) = timed_out {
            assert_eq!(instance, silent, "another one is not");
            return (cluster.now - began) / MS;
        }
        assert!(cluster.now - began < 20_000 * MS, "the silent worker is never found out");
    }
}

#[test]
fn a_silent_worker_is_found_out_at_once_by_a_leader_that_is_in_time() {
    let found_out = ms_until_timed_out(0, 5);
    assert!(found_out <= 1_700, "{found_out} ms");
}

#[test]
fn a_leader_that_is_always_late_still_finds_out_a_silent_worker() {
    let found_out = ms_until_timed_out(100, 5);
    assert!(found_out <= 5_000, "{found_out} ms");
}
