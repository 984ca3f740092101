//! A leader must not treat its workers as unreachable because its own process was paused. During a pause
//! answers arrive but are not read yet.

mod cluster;

use cluster::{Cluster, MS};
use messages::job::{JobSpec, Stage};
use scheduler::leader::WorkerEvent;

const JOB: u64 = 0x10;
const WORKERS: usize = 8;

/// A job whose tasks run longer than the test.
fn long_job() -> JobSpec {
    let stage = Stage { count: 16, cpu: 1_000, mem_mb: 1, est_runtime_ms: 60_000, ..Stage::default() };
    JobSpec { stages: vec![stage], ..JobSpec::default() }
}

/// A cluster in which tasks run on all workers and more starts are in flight.
fn cluster_with_calls_in_flight() -> Cluster {
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

/// Asserts that the leader regards no answer as missing: no worker is suspected or unreachable, and no call
/// was cancelled.
fn assert_no_answer_counts_as_missing(cluster: &mut Cluster) {
    let now = cluster.now;
    let leader = cluster.leader.as_mut().expect("a leader");
    let load = leader.load_report(now);
    assert_eq!((load.suspected_workers, load.unreachable_workers), (0, 0));
    let events = leader.take_worker_events();
    assert!(!events.iter().any(|event| matches!(event, WorkerEvent::TimedOut { .. })), "{events:?}");
    assert_eq!(leader.take_work().calls_cancelled, 0);
}

#[test]
fn answers_that_arrive_during_a_pause_are_not_missing() {
    for span_ms in [150, 300, 500, 700] {
        let mut cluster = cluster_with_calls_in_flight();
        cluster.pause_leader_process(span_ms);
        assert_no_answer_counts_as_missing(&mut cluster);
        cluster.run_for_ms(2_000);
        assert_no_answer_counts_as_missing(&mut cluster);
        cluster.assert_no_violations();
    }
}

#[test]
fn repeated_pauses_make_no_worker_unreachable() {
    let mut cluster = cluster_with_calls_in_flight();
    for _ in 0..20 {
        cluster.pause_leader_process(320);
        cluster.run_for_ms(15);
    }
    assert_no_answer_counts_as_missing(&mut cluster);
    cluster.assert_no_violations();
}

/// Returns the milliseconds until the leader detects an unreachable worker, while the leader's process
/// alternately runs for `run_ms` and is paused for `pause_ms`.
fn unreachable_detection_ms(pause_ms: u64, run_ms: u64) -> u64 {
    let mut cluster = cluster_with_calls_in_flight();
    cluster.pause_leader_process(1);
    let unreachable = cluster.workers.keys().next().cloned().expect("a worker");
    cluster.workers.get_mut(&unreachable).expect("the worker").is_unreachable = true;
    let unreachable_since = cluster.now;
    loop {
        cluster.run_for_ms(run_ms);
        if pause_ms > 0 {
            cluster.pause_leader_process(pause_ms);
        }
        let events = cluster.leader.as_mut().expect("a leader").take_worker_events();
        let timed_out = events.iter().find_map(|event| match event {
            WorkerEvent::TimedOut { instance, .. } => Some(instance.to_string()),
            _ => None,
        });
        if let Some(instance) = timed_out {
            assert_eq!(instance, unreachable, "another worker timed out");
            return (cluster.now - unreachable_since) / MS;
        }
        assert!(cluster.now - unreachable_since < 20_000 * MS, "the unreachable worker is never detected");
    }
}

#[test]
fn detects_an_unreachable_worker_within_1700_ms() {
    let detection_ms = unreachable_detection_ms(0, 5);
    assert!(detection_ms <= 1_700, "{detection_ms} ms");
}

#[test]
fn late_leader_detects_an_unreachable_worker_within_5_s() {
    let detection_ms = unreachable_detection_ms(100, 5);
    assert!(detection_ms <= 5_000, "{detection_ms} ms");
}
