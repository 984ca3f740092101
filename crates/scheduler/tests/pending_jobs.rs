//! The count of pending jobs, and the state `pending`: a job is pending until a worker has begun one of its tasks.

mod cluster;

use cluster::Cluster;
use messages::job::{JobSpec, Stage};
use scheduler::worker::Refusal;

const FIRST: u64 = 0x100;
const JOBS: u64 = 10;

fn job(stage: Stage) -> JobSpec {
    JobSpec { spec: "text".to_owned(), stages: vec![stage], ..JobSpec::default() }
}

fn stage() -> Stage {
    Stage { count: 1, cpu: 100, mem_mb: 64, est_runtime_ms: 5_000, ..Stage::default() }
}

fn refuse_starts(cluster: &mut Cluster, refusal: Option<Refusal>) {
    cluster.workers.values_mut().for_each(|worker| worker.refuses_starts = refusal);
}

fn send_jobs(cluster: &mut Cluster, stage: &Stage) {
    for number in 0..JOBS {
        cluster.send_job("/a/", FIRST + number, job(stage.clone()));
    }
}

fn pending(cluster: &mut Cluster) -> u64 {
    cluster.count("/a/").expect("a reply").pending
}

fn state(cluster: &mut Cluster, number: u64) -> String {
    cluster.read("/a/", FIRST + number).expect("a reply").state
}

/// Asserts at many moments that all jobs are counted and shown as pending.
fn assert_all_stay_pending(cluster: &mut Cluster, ms: u64) {
    for _ in 0..ms / 7 {
        cluster.run_for_ms(7);
        assert_eq!(pending(cluster), JOBS, "at {}", cluster.now);
        assert_eq!(state(cluster, 3), "pending");
    }
}

/// Review case 8: jobs whose starts the workers refused were no longer counted from the commit of the first start on.
#[test]
fn jobs_whose_starts_are_refused_stay_pending() {
    let refusals = [
        Refusal::Unhealthy,
        Refusal::NoCapacity,
        Refusal::DeadlinePassed,
        Refusal::BadRequest,
        Refusal::Unknown,
    ];
    for refusal in refusals {
        let mut cluster = Cluster::new(2);
        cluster.run_for_ms(1_500);
        refuse_starts(&mut cluster, Some(refusal));
        send_jobs(&mut cluster, &stage());
        cluster.run_for_ms(100);
        assert_all_stay_pending(&mut cluster, 4_000);
        refuse_starts(&mut cluster, None);
        assert!(cluster.run_until(10_000, |cluster| cluster.running() == JOBS as usize), "{refusal:?}");
        cluster.run_for_ms(100);
        assert_eq!(pending(&mut cluster), 0, "{refusal:?}");
        assert_eq!(state(&mut cluster, 3), "running");
        cluster.assert_no_violations();
    }
}

/// The same for gangs and for steps with many tasks.
#[test]
fn gangs_and_wide_jobs_whose_starts_are_refused_stay_pending() {
    for stage in [Stage { gang: true, count: 3, ..stage() }, Stage { count: 40, ..stage() }] {
        let mut cluster = Cluster::new(2);
        cluster.run_for_ms(1_500);
        refuse_starts(&mut cluster, Some(Refusal::Unhealthy));
        send_jobs(&mut cluster, &stage);
        cluster.run_for_ms(100);
        assert_all_stay_pending(&mut cluster, 2_000);
    }
}

/// A new leader does not know whether the starts that its predecessor committed have taken place.
#[test]
fn jobs_whose_starts_are_refused_stay_pending_at_a_new_leader() {
    let mut cluster = Cluster::new(2);
    cluster.run_for_ms(1_500);
    refuse_starts(&mut cluster, Some(Refusal::Unhealthy));
    send_jobs(&mut cluster, &stage());
    cluster.run_for_ms(500);
    for _ in 0..3 {
        cluster.elect_leader();
        assert_all_stay_pending(&mut cluster, 1_000);
    }
}

/// Starts whose answers are lost may have taken place. They count as begun once a worker lists them.
#[test]
fn jobs_on_unreachable_workers_stay_pending() {
    let mut cluster = Cluster::new(2);
    cluster.run_for_ms(1_500);
    cluster.workers.values_mut().for_each(|worker| worker.is_unreachable = true);
    send_jobs(&mut cluster, &stage());
    cluster.run_for_ms(100);
    assert_all_stay_pending(&mut cluster, 4_000);
    cluster.workers.values_mut().for_each(|worker| worker.is_unreachable = false);
    assert!(cluster.run_until(20_000, |cluster| cluster.running() == JOBS as usize));
    cluster.run_for_ms(500);
    assert_eq!(pending(&mut cluster), 0);
}

/// A job that has begun is not pending again: not between two attempts, nor at a new leader that sees its traces.
#[test]
fn begun_jobs_do_not_become_pending_again() {
    let mut cluster = Cluster::new(2);
    cluster.run_for_ms(1_500);
    send_jobs(&mut cluster, &Stage { est_runtime_ms: 700, count: 2, ..stage() });
    cluster.failing_jobs.extend(FIRST..FIRST + JOBS);
    assert!(cluster.run_until(1_000, |cluster| cluster.running() == 2 * JOBS as usize));
    cluster.run_for_ms(50);
    assert_eq!(pending(&mut cluster), 0);
    cluster.run_for_ms(400);
    refuse_starts(&mut cluster, Some(Refusal::Unhealthy));
    for _ in 0..2 {
        for _ in 0..50 {
            cluster.run_for_ms(10);
            assert_eq!(pending(&mut cluster), 0);
        }
        cluster.elect_leader();
    }
}

/// A new leader counts running jobs as pending only until their workers have listed them.
#[test]
fn new_leader_learns_which_jobs_have_begun() {
    let mut cluster = Cluster::new(2);
    cluster.run_for_ms(1_500);
    send_jobs(&mut cluster, &stage());
    assert!(cluster.run_until(1_000, |cluster| cluster.running() == JOBS as usize));
    cluster.elect_leader();
    cluster.run_for_ms(500);
    assert_eq!(pending(&mut cluster), 0);
}

/// Jobs that end leave the count, whether or not they have begun.
#[test]
fn ended_jobs_are_not_pending() {
    let mut cluster = Cluster::new(2);
    cluster.run_for_ms(1_500);
    refuse_starts(&mut cluster, Some(Refusal::Unhealthy));
    send_jobs(&mut cluster, &stage());
    cluster.run_for_ms(300);
    for number in 0..JOBS / 2 {
        cluster.cancel("/a/", FIRST + number);
    }
    cluster.run_for_ms(50);
    assert_eq!(pending(&mut cluster), JOBS / 2);
    assert_eq!(state(&mut cluster, 0), "cancelled");
    refuse_starts(&mut cluster, None);
    assert!(cluster.run_until_state(FIRST + JOBS - 1, "completed", 10_000));
    cluster.run_for_ms(1_000);
    assert_eq!(pending(&mut cluster), 0);
}
