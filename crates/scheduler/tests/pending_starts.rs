//! Starts that are committed and not confirmed: their number is bounded, so that a new leader finds few attempts
//! in doubt, and what a poll costs does not grow with the attempts of a worker.

mod cluster;

use cluster::Cluster;
use messages::job::{JobSpec, Stage};
use scheduler::ids::AttemptKey;
use scheduler::state::Work;

const BULK: u64 = 0x10;
const URGENT: u64 = 0x1000;
const WORKERS: usize = 4;
/// Most starts that one worker may have to confirm.
const MAX_PENDING_PER_WORKER: usize = 32;
/// Tasks of the bulk job, for all of which there is capacity at once.
const BULK_TASKS: u32 = 4_900;

fn job(count: u32, cpu: u64, est_runtime_ms: u64) -> JobSpec {
    let stage = Stage { count, cpu, mem_mb: 8, est_runtime_ms, ..Stage::default() };
    JobSpec { spec: "text".to_owned(), stages: vec![stage], ..JobSpec::default() }
}

/// A cluster in which the tasks of a bulk job are being started for 300 ms.
fn cluster_starting_a_bulk_job() -> Cluster {
    let mut cluster = Cluster::new(WORKERS);
    cluster.run_for_ms(1_500);
    cluster.send_job("/a/", BULK, job(BULK_TASKS, 3, 20_000));
    cluster.run_for_ms(300);
    cluster
}

fn unconfirmed(cluster: &Cluster) -> usize {
    cluster.leader.as_ref().map_or(0, |leader| leader.load_report(cluster.now).unconfirmed)
}

/// Committed attempts of which no worker knows.
fn in_doubt(cluster: &Cluster) -> usize {
    let attempts = cluster.state.jobs().filter_map(|(_, job)| job.work()).flat_map(Work::active_attempts);
    let is_known = |key: &AttemptKey| {
        let knows = |worker: &cluster::ModelWorker| {
            worker.running.contains_key(key) || worker.ended.contains_key(key)
        };
        cluster.workers.values().any(knows)
    };
    let keys = attempts.map(|(task, active)| AttemptKey { task, attempt: active.attempt });
    keys.filter(|key| !is_known(key)).count()
}

/// Thousands of starts were committed that had never been sent, and the next leader took each for one in doubt.
#[test]
fn starts_that_are_not_confirmed_are_bounded() {
    let mut cluster = cluster_starting_a_bulk_job();
    for _ in 0..500 {
        cluster.run_for_ms(1);
        let (unconfirmed, in_doubt) = (unconfirmed(&cluster), in_doubt(&cluster));
        assert!(unconfirmed <= WORKERS * MAX_PENDING_PER_WORKER, "{unconfirmed} starts are not confirmed");
        assert!(in_doubt <= WORKERS * MAX_PENDING_PER_WORKER, "{in_doubt} attempts are in doubt");
    }
    assert!(cluster.running() > 500, "{} run", cluster.running());
}

/// The bound must not spread a step over all workers: the loss of one worker then harms few jobs.
#[test]
fn step_stays_packed_on_its_worker() {
    let mut cluster = Cluster::new(WORKERS);
    cluster.run_for_ms(1_500);
    cluster.send_job("/a/", BULK, job(500, 3, 20_000));
    assert!(cluster.run_until(3_000, |cluster| cluster.running() == 500), "{} run", cluster.running());
    let most = cluster.workers.values().map(|worker| worker.running.len()).max();
    assert_eq!(most, Some(500), "the step is spread over several workers");
}

/// After a change of leader, jobs of the first priority waited for seconds behind the attempts in doubt.
#[test]
fn new_leader_starts_urgent_jobs_beside_a_bulk_job() {
    let mut cluster = cluster_starting_a_bulk_job();
    cluster.elect_leader();
    let calls_before = cluster.calls;
    cluster.send_job("/u/", URGENT, job(2, 50, 100));
    assert!(cluster.run_until_state(URGENT, "completed", 1_500), "{}", cluster.job_state(URGENT));
    // A stop and a start for each attempt that was in doubt, and starts of further tasks for 1.5 s.
    let calls = cluster.calls - calls_before;
    assert!(calls < 8_000, "{calls} calls");
    assert!(cluster.run_until(10_000, |cluster| cluster.running() == BULK_TASKS as usize));
    cluster.assert_no_violations();
}

/// An urgent job must not wait for the whole bulk job's starts.
#[test]
fn urgent_job_starts_ahead_of_the_waiting_tasks_of_a_bulk_job() {
    let mut cluster = cluster_starting_a_bulk_job();
    cluster.send_job("/u/", URGENT, job(2, 50, 100));
    assert!(cluster.run_until_state(URGENT, "completed", 400), "{}", cluster.job_state(URGENT));
    assert!(cluster.running() < BULK_TASKS as usize / 2, "the bulk job is still being started");
    cluster.assert_no_violations();
}

/// One worker that does not answer keeps the others from nothing.
#[test]
fn silent_worker_stops_only_its_own_starts() {
    let mut cluster = Cluster::new(WORKERS);
    cluster.run_for_ms(1_500);
    cluster.workers.get_mut("i-0").expect("the worker").is_unreachable = true;
    cluster.send_job("/a/", BULK, job(2_000, 3, 20_000));
    assert!(cluster.run_until(3_000, |cluster| cluster.running() >= 1_900), "{} run", cluster.running());
}

/// The starts of a gang leave together, whatever their number.
#[test]
fn gang_larger_than_the_bound_starts_as_a_whole() {
    let mut cluster = Cluster::new(WORKERS);
    cluster.run_for_ms(1_500);
    let mut gang = job(400, 10, 1_000);
    gang.stages[0].gang = true;
    cluster.send_job("/a/", BULK, gang);
    assert!(cluster.run_until_state(BULK, "completed", 6_000), "{}", cluster.job_state(BULK));
    assert_eq!(cluster.gang_timeouts, 0);
    cluster.assert_no_violations();
}

/// Many jobs that are cancelled at once stop in time: each stop must not cost a pass over all attempts.
#[test]
fn cancelled_bulk_job_stops_in_time() {
    let mut cluster = cluster_starting_a_bulk_job();
    assert!(cluster.run_until(10_000, |cluster| cluster.running() == BULK_TASKS as usize));
    cluster.send_cancel("/a/", BULK);
    assert!(cluster.run_until(3_400, |cluster| cluster.running() == 0), "{} run", cluster.running());
    cluster.assert_no_violations();
}

/// A job that waits only because the worker has too many starts to confirm starts once the worker has confirmed some.
#[test]
fn confirmed_starts_wake_the_steps_that_waited_for_them() {
    let mut cluster = Cluster::new(1);
    cluster.run_for_ms(1_500);
    let lasting = |count| JobSpec {
        spec: "text".to_owned(),
        stages: vec![Stage { count, cpu: 10, mem_mb: 1, est_runtime_ms: 600_000, ..Stage::default() }],
        ..JobSpec::default()
    };
    cluster.send_job("/a/", 0x100, lasting(32));
    cluster.send_job("/a/", 0x200, lasting(1));
    assert!(cluster.run_until(1_000, |cluster| cluster.running() == 33), "{} run", cluster.running());
    cluster.assert_no_violations();
}
