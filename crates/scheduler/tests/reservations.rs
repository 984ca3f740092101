//! Capacity reservations: they protect large tasks from starving, and keep capacity from no step for long.

mod cluster;

use cluster::{Cluster, MS};
use messages::job::{JobSpec, Stage};

const LASTING: u64 = 0x100;
const LARGE: u64 = 0x200;
const SMALL: u64 = 0x300;
/// Time for which a job may have nothing running while there is capacity for it twice over (rule LOST).
const MAX_IDLE_MS: u64 = 3_000;
/// The worker that alone has `LABEL`.
const LABELLED: &str = "i-labelled";
const LABEL: &str = "labelled";

fn job(stage: Stage) -> JobSpec {
    JobSpec { spec: "text".to_owned(), stages: vec![stage], ..JobSpec::default() }
}

fn stage(cpu: u64, est_runtime_ms: u64) -> Stage {
    Stage { count: 1, cpu, mem_mb: 256, est_runtime_ms, ..Stage::default() }
}

fn labelled(stage: Stage) -> Stage {
    Stage { constraint: LABEL.to_owned(), ..stage }
}

/// Three workers without the label and one with it, of four cores each.
fn cluster() -> Cluster {
    let mut cluster = Cluster::new(3);
    cluster.add_worker(LABELLED, 9, 4_000);
    let worker = cluster.workers.get_mut(LABELLED).expect("the worker");
    worker.instance.labels.push(LABEL.to_owned());
    worker.instance.available.gpu = 4;
    cluster.run_for_ms(2_500);
    cluster
}

/// Runs `occupant` on the labelled worker, lets a large job of the worker's whole size wait, and then sends a small
/// one. Returns for how long the small one waited, or `None` if it did not start within the bound.
fn wait_of_small_job(occupant: Stage, large: Stage, small: Stage, small_after_ms: u64) -> Option<u64> {
    let mut cluster = cluster();
    cluster.send_job("/a/", LASTING, job(labelled(occupant)));
    assert!(cluster.run_until(1_000, |cluster| cluster.running() == 1));
    cluster.send_job("/a/", LARGE, job(labelled(large)));
    cluster.run_for_ms(small_after_ms);
    cluster.send_job("/u/", SMALL, job(labelled(small)));
    let sent = cluster.now;
    let started = cluster.run_until(MAX_IDLE_MS, |cluster| cluster.running() == 2);
    cluster.assert_no_violations();
    started.then(|| (cluster.now - sent) / MS)
}

/// Review case 10: the rest of a worker was reserved for as long as a lasting task kept a large one from starting
/// there, and a small job that fits on that worker alone never started.
#[test]
fn reservation_beside_a_lasting_task_keeps_no_small_job_waiting() {
    let lasting = Stage { long_running: true, ..stage(500, 300) };
    let waited = wait_of_small_job(lasting, stage(4_000, 300), stage(500, 300), 3_000);
    assert!(waited.is_some(), "the small job waits");
}

/// The same beside a task of ten minutes, and for any moment at which the small job comes.
#[test]
fn reservation_beside_a_long_task_keeps_no_small_job_waiting() {
    for small_after_ms in [0, 400, 900, 1_000, 1_100, 1_700, 2_500, 3_000, 4_000, 6_000, 7_900, 12_000] {
        let waited =
            wait_of_small_job(stage(500, 600_000), stage(4_000, 300), stage(500, 300), small_after_ms);
        assert!(waited.is_some(), "the small job waits {small_after_ms} ms after the large one");
    }
}

/// The same beside a task whose estimate is far too low, or missing.
#[test]
fn reservation_beside_a_task_with_a_wrong_estimate_keeps_no_small_job_waiting() {
    for estimate_ms in [0, 200] {
        let mut cluster = cluster();
        cluster.workers.get_mut(LABELLED).expect("the worker").stalls_runs = true;
        cluster.send_job("/a/", LASTING, job(labelled(stage(500, estimate_ms))));
        assert!(cluster.run_until(1_000, |cluster| cluster.running() == 1));
        cluster.workers.get_mut(LABELLED).expect("the worker").stalls_runs = false;
        cluster.send_job("/a/", LARGE, job(labelled(stage(4_000, 300))));
        cluster.run_for_ms(1_500);
        cluster.send_job("/u/", SMALL, job(labelled(stage(500, 300))));
        assert!(cluster.run_until_state(SMALL, "completed", MAX_IDLE_MS + 300), "{estimate_ms} ms");
        cluster.assert_no_violations();
    }
}

/// The same for memory and GPUs in place of cores.
#[test]
fn reservation_of_other_resources_keeps_no_small_job_waiting() {
    let shapes = [
        (Stage { mem_mb: 65_536, ..stage(500, 300) }, Stage { mem_mb: 1_024, ..stage(500, 300) }),
        (Stage { gpu: 4, ..stage(500, 300) }, Stage { gpu: 1, ..stage(500, 300) }),
    ];
    for (large, small) in shapes {
        for occupant in [
            Stage { long_running: true, ..small.clone() },
            Stage { est_runtime_ms: 600_000, ..small.clone() },
        ] {
            let waited = wait_of_small_job(occupant.clone(), large.clone(), small.clone(), 3_000);
            assert!(waited.is_some(), "{large:?} beside {occupant:?}");
        }
    }
}

/// The same for a gang in place of the small job.
#[test]
fn reservation_keeps_no_gang_waiting() {
    let mut cluster = cluster();
    cluster.send_job("/a/", LASTING, job(labelled(stage(500, 600_000))));
    assert!(cluster.run_until(1_000, |cluster| cluster.running() == 1));
    cluster.send_job("/a/", LARGE, job(labelled(stage(4_000, 300))));
    cluster.run_for_ms(1_500);
    let gang = Stage { gang: true, count: 2, ..labelled(stage(500, 300)) };
    cluster.send_job("/u/", SMALL, job(gang));
    assert!(cluster.run_until(MAX_IDLE_MS, |cluster| cluster.running() == 3));
    cluster.assert_no_violations();
}

/// A reservation that ended for the sake of others is not made again on the next worker before they had their turn.
#[test]
fn small_jobs_never_wait_for_several_reservations_in_a_row() {
    let mut cluster = cluster();
    for number in 0..3 {
        cluster.send_job("/a/", LASTING + number, job(labelled(stage(500, 600_000))));
    }
    assert!(cluster.run_until(1_000, |cluster| cluster.running() == 3));
    for number in 0..4 {
        cluster.send_job("/a/", LARGE + number, job(labelled(stage(3_900 - number, 300))));
    }
    for number in 0..20 {
        cluster.run_for_ms(700);
        cluster.send_job("/u/", SMALL + number, job(labelled(stage(500, 100))));
        assert!(cluster.run_until_state(SMALL + number, "completed", MAX_IDLE_MS + 100), "{number}");
    }
    cluster.assert_no_violations();
}

/// What a reservation is for: a large task starts although small ones take up all that is freed.
#[test]
fn large_task_starts_behind_a_stream_of_small_ones() {
    let mut cluster = cluster();
    for number in 0..400 {
        if number == 40 {
            cluster.send_job("/a/", LARGE, job(labelled(stage(4_000, 300))));
        }
        cluster.send_job("/a/", SMALL + number, job(labelled(stage(500, 400 + number % 7 * 10))));
        cluster.run_for_ms(40);
    }
    assert!(cluster.runs.keys().any(|task| task.job == LARGE), "the large task waits");
    cluster.assert_no_violations();
}

/// The same for tasks of a wide job, which has other tasks running, even if the reservation lasts for long.
#[test]
fn large_task_starts_before_further_tasks_of_a_wide_job() {
    let mut cluster = cluster();
    cluster.send_job("/a/", LASTING, job(labelled(stage(500, 8_000))));
    assert!(cluster.run_until(1_000, |cluster| cluster.running() == 1));
    cluster.send_job("/a/", LARGE, job(labelled(stage(4_000, 300))));
    cluster.run_for_ms(100);
    cluster.send_job("/a/", SMALL, job(Stage { count: 300, ..stage(500, 2_500) }));
    assert!(cluster.run_until_state(LARGE, "completed", 9_000), "{}", cluster.job_state(LARGE));
    cluster.assert_no_violations();
}

/// Capacity is reserved on a worker that becomes free, and not beside a lasting task that leaves less missing.
#[test]
fn reserves_where_the_occupants_end() {
    let mut cluster = cluster();
    let lasting = Stage { long_running: true, ..stage(2_500, 300) };
    cluster.send_job("/a/", LASTING, job(labelled(lasting)));
    assert!(cluster.run_until(1_000, |cluster| cluster.running() == 1));
    for number in 0..6 {
        cluster.send_job("/a/", SMALL + number, job(stage(2_000, 4_000)));
    }
    assert!(cluster.run_until(1_000, |cluster| cluster.running() == 7));
    cluster.send_job("/a/", LARGE, job(stage(4_000, 300)));
    cluster.run_for_ms(1_500);
    cluster.send_job("/u/", SMALL + 10, job(labelled(stage(500, 300))));
    cluster.run_for_ms(100);
    let queues = cluster.leader.as_ref().expect("a leader").queues_report(cluster.now);
    let reserved = queues.services.iter().find_map(|service| service.reserved_capacity.as_ref());
    let reserved = reserved.expect("a reservation");
    assert_ne!(reserved.instance, LABELLED);
    assert!(cluster.run_until_state(LARGE, "completed", 5_000), "{}", cluster.job_state(LARGE));
}

/// Lets a small job wait for the capacity that is reserved on the labelled worker for a large one.
fn cluster_with_denied_job() -> Cluster {
    let mut cluster = cluster();
    cluster.send_job("/a/", LASTING, job(labelled(stage(2_000, 8_000))));
    assert!(cluster.run_until(1_000, |cluster| cluster.running() == 1));
    for number in 1..=3 {
        cluster.send_job("/a/", LASTING + number, job(stage(2_500, 1_600)));
    }
    assert!(cluster.run_until(1_000, |cluster| cluster.running() == 4));
    cluster.send_job("/a/", LARGE, job(stage(4_000, 300)));
    cluster.run_for_ms(1_100);
    cluster.send_job("/a/", SMALL, job(labelled(stage(500, 300))));
    cluster.run_for_ms(100);
    assert_eq!(cluster.job_state(SMALL), "pending", "the small job is not kept waiting by a reservation");
    cluster
}

/// Review case 9: once a large job had started on another worker than the one on which capacity was reserved for it,
/// nobody looked again at a small job that the reservation had held back.
#[test]
fn end_of_a_reservation_wakes_those_that_it_kept_waiting() {
    let mut cluster = cluster_with_denied_job();
    assert!(cluster.run_until_state(LARGE, "running", 1_000), "{}", cluster.job_state(LARGE));
    assert!(cluster.run_until(100, |cluster| cluster.job_state(SMALL) != "pending"));
    cluster.assert_no_violations();
}

/// The same once the large job is cancelled.
#[test]
fn cancel_of_a_reservations_job_wakes_those_that_it_kept_waiting() {
    let mut cluster = cluster_with_denied_job();
    cluster.send_cancel("/a/", LARGE);
    assert!(cluster.run_until(100, |cluster| cluster.job_state(SMALL) != "pending"));
    cluster.assert_no_violations();
}

/// The same once the worker with the reservation drains and another one with its label comes.
#[test]
fn loss_of_a_reservations_worker_wakes_those_that_it_kept_waiting() {
    let mut cluster = cluster_with_denied_job();
    cluster.add_worker("i-late", 12, 4_000);
    cluster.workers.get_mut("i-late").expect("the worker").instance.labels.push(LABEL.to_owned());
    cluster.workers.get_mut(LABELLED).expect("the worker").instance.draining = true;
    assert!(cluster.run_until(2_500, |cluster| cluster.job_state(SMALL) != "pending"));
    cluster.assert_no_violations();
}

/// A job of the first priority takes capacity that is reserved for a later one, before anything is preempted for it.
#[test]
fn reservation_yields_to_the_first_priority_before_preemption() {
    let mut cluster = cluster_with_denied_job();
    cluster.send_job("/u/", SMALL + 1, job(labelled(stage(1_000, 300))));
    assert!(cluster.run_until_state(SMALL + 1, "completed", 600), "{}", cluster.job_state(SMALL + 1));
    let mut running = cluster.workers[LABELLED].running.keys();
    assert!(running.any(|key| key.task.job == LASTING && key.attempt == 1), "an attempt was preempted");
    cluster.assert_no_violations();
}
