//! Late lists of the platform: the leader places or sends no start based on a listing that is too old, as the
//! worker may have begun to drain meanwhile.

mod cluster;

use cluster::{settings, Cluster, MS};
use messages::job::{JobSpec, Stage};
use scheduler::leader::{LeaderSettings, WorkerEvent};

const WORKERS: usize = 2;
/// Time during which starts may still reach a draining worker.
const DRAIN_NS: u64 = 3_000 * MS;
const FIRST_JOB: u64 = 0x100;

fn short_job() -> JobSpec {
    let stage = Stage { count: 1, cpu: 3_000, mem_mb: 64, est_runtime_ms: 150, ..Stage::default() };
    JobSpec { spec: "150".to_owned(), stages: vec![stage], ..JobSpec::default() }
}

/// Submits a job every 100 ms for `span_ms`.
fn submit_for(cluster: &mut Cluster, first_job: u64, span_ms: u64) {
    for number in 0..span_ms / 100 {
        cluster.submit("/a/", first_job + number, short_job());
        cluster.run_for_ms(100);
    }
}

#[test]
fn no_starts_after_the_drain_time_while_the_list_is_late() {
    let mut cluster = Cluster::new(WORKERS);
    cluster.run_for_ms(2_000);
    submit_for(&mut cluster, FIRST_JOB, 2_000);
    assert!(!cluster.starts_on("i-0").is_empty() && !cluster.starts_on("i-1").is_empty());
    // From now on reading the list takes longer than a draining worker accepts starts.
    cluster.list_delay = 8_000 * MS;
    cluster.run_for_ms(1_100);
    for worker in cluster.workers.values_mut() {
        worker.instance.draining = true;
    }
    let drained_at = cluster.now;
    submit_for(&mut cluster, FIRST_JOB + 0x100, 6_000);
    for worker in ["i-0", "i-1"] {
        let late: Vec<u64> =
            cluster.starts_on(worker).into_iter().filter(|at| *at > drained_at + DRAIN_NS).collect();
        assert!(late.is_empty(), "{worker} was started on {} times after its drain time", late.len());
    }
    let events = cluster.leader.as_mut().expect("a leader").take_worker_events();
    assert!(events.iter().any(|event| matches!(event, WorkerEvent::ListingsExpired { workers: 2, .. })));
    cluster.assert_no_violations();
}

#[test]
fn jobs_that_waited_for_a_late_list_run_after_it_arrives() {
    let mut cluster = Cluster::new(WORKERS);
    cluster.run_for_ms(2_000);
    cluster.list_delay = 6_000 * MS;
    cluster.run_for_ms(4_500);
    let submitted_at = cluster.now;
    cluster.submit("/a/", FIRST_JOB, short_job());
    cluster.run_for_ms(500);
    let work = cluster.state.open_work(FIRST_JOB).expect("an open job");
    assert_eq!(work.active_attempts().count(), 0, "no worker is chosen from a list that is too old");
    cluster.list_delay = 20 * MS;
    assert!(cluster.run_until_state(FIRST_JOB, "completed", 6_000));
    assert!(cluster.now > submitted_at);
    cluster.assert_no_violations();
}

#[test]
fn applies_a_page_before_the_list_is_complete() {
    let mut cluster = Cluster::new(WORKERS);
    cluster.run_for_ms(2_000);
    let mut draining = cluster.workers["i-0"].instance.clone();
    draining.draining = true;
    cluster.deliver_list_page(draining);
    let handed_in_at = cluster.now;
    submit_for(&mut cluster, FIRST_JOB, 500);
    let late = cluster.starts_on("i-0").into_iter().filter(|at| *at > handed_in_at).count();
    assert_eq!(late, 0, "a worker that drains on the page got a start");
    assert!(!cluster.starts_on("i-1").is_empty());
}

#[test]
fn withheld_start_on_a_draining_worker_is_placed_elsewhere() {
    let mut cluster = Cluster::new(1);
    cluster.run_for_ms(2_000);
    cluster.withholds_starts = true;
    cluster.submit("/a/", FIRST_JOB, short_job());
    cluster.run_for_ms(20);
    cluster.workers.get_mut("i-0").expect("a worker").instance.draining = true;
    cluster.deliver_list_page(cluster.workers["i-0"].instance.clone());
    cluster.withholds_starts = false;
    cluster.run_for_ms(800);
    assert!(cluster.starts_on("i-0").is_empty(), "a draining worker got a start");
    cluster.add_worker("i-1", 1, 4_000);
    assert!(cluster.run_until_state(FIRST_JOB, "completed", 4_000));
    assert!(cluster.starts_on("i-0").is_empty(), "a draining worker got a start");
}

#[test]
fn start_limits_leave_time_for_delivery() {
    for drain_ms in [0, 400, 1_000, 3_000, 4_000, 60_000] {
        let settings = LeaderSettings { drain_ms, ..settings() };
        let as_of = 7_000 * MS;
        let (placement, start) = (settings.placement_limit(as_of), settings.start_limit(as_of));
        let end = as_of + drain_ms * MS;
        assert!(as_of <= placement && placement <= start && start <= end, "{drain_ms}");
        let delivery = (drain_ms / 4).min(500) * MS;
        assert!(start + delivery <= end && placement + delivery <= start, "{drain_ms}");
    }
}
