//! Gangs whose members cannot all start at once. The leader must stop the started members before their gang
//! timeout.

mod cluster;

use cluster::{Cluster, MS};
use messages::job::{JobSpec, Stage};
use messages::peer::Outcome;

const JOB: u64 = 0x2b91_6fd0_83ac_57e4;
/// Number of gang members. They fill three workers and half of a fourth worker.
const MEMBERS: usize = 7;

fn stage(count: u32, cpu: u64, est_runtime_ms: u64) -> Stage {
    Stage { count, cpu, mem_mb: 256, est_runtime_ms, ..Stage::default() }
}

fn gang(est_runtime_ms: u64) -> Stage {
    Stage { gang: true, ..stage(MEMBERS as u32, 2_000, est_runtime_ms) }
}

fn job(stages: Vec<Stage>) -> JobSpec {
    JobSpec { spec: "text".to_owned(), stages, ..JobSpec::default() }
}

/// A cluster of four workers that have all just answered, so that orders are sent to them at once.
fn cluster_with_responsive_workers() -> Cluster {
    let mut cluster = Cluster::new(4);
    cluster.submit("/a/", JOB + 1, job(vec![stage(8, 2_000, 100)]));
    assert!(cluster.run_until_state(JOB + 1, "completed", 3_000));
    cluster
}

fn set_unreachable(cluster: &mut Cluster, instance: &str, unreachable: bool) {
    cluster.workers.get_mut(instance).unwrap().is_unreachable = unreachable;
}

/// Starts a gang while `i-0` is unreachable, and waits until the members on the other workers have started.
fn start_incomplete_gang(cluster: &mut Cluster) {
    set_unreachable(cluster, "i-0", true);
    cluster.submit("/a/", JOB, job(vec![gang(800)]));
    assert!(cluster.run_until(500, |cluster| cluster.running() >= 5), "{} run", cluster.running());
}

fn assert_completes_without_gang_timeouts(cluster: &mut Cluster) {
    set_unreachable(cluster, "i-0", false);
    assert!(cluster.run_until_state(JOB, "completed", 15_000), "{}", cluster.job_state(JOB));
    assert_eq!(cluster.gang_timeouts, 0);
    cluster.assert_no_violations();
}

/// The members have waited since before the election.
#[test]
fn new_leader_stops_members_that_wait_for_others() {
    let mut cluster = cluster_with_responsive_workers();
    start_incomplete_gang(&mut cluster);
    cluster.run_for_ms(1_300);
    cluster.elect_leader();
    cluster.run_for_ms(4_000);
    assert_completes_without_gang_timeouts(&mut cluster);
}

/// Waiting members that resumed from a checkpoint already report progress. The leader must still recognize
/// that they wait.
#[test]
fn stops_waiting_members_that_resumed_from_a_checkpoint() {
    let mut cluster = cluster_with_responsive_workers();
    cluster.add_worker("i-4", 4, 4_000);
    cluster.run_for_ms(1_500);
    for worker in cluster.workers.values_mut() {
        worker.saves_progress = true;
    }
    cluster.submit("/a/", JOB, job(vec![Stage { checkpoints: true, ..gang(6_000) }]));
    assert!(cluster.run_until(1_000, |cluster| cluster.running() == MEMBERS));
    cluster.run_for_ms(1_000);
    let idle = cluster.workers.values().find(|worker| worker.running.is_empty());
    let idle = idle.unwrap().instance.id.clone();
    // The gang is moved from a worker that drains, with its progress saved.
    let hosts = cluster.workers.values().rev().filter(|worker| !worker.running.is_empty());
    let host = hosts.map(|worker| worker.instance.id.clone()).next().unwrap();
    let draining = &mut cluster.workers.get_mut(&host).unwrap().instance;
    (draining.draining, draining.remaining_ms) = (true, Some(2_000));
    assert!(cluster.run_until(1_500, |cluster| cluster.running() == 0));
    set_unreachable(&mut cluster, &idle, true);
    assert!(cluster.run_until(500, |cluster| cluster.running() >= 5), "{} run", cluster.running());
    let resumes =
        |worker: &cluster::ModelWorker| worker.running.values().all(|run| !run.checkpoint.is_empty());
    assert!(cluster.workers.values().all(resumes));
    cluster.run_for_ms(6_000);
    set_unreachable(&mut cluster, &idle, false);
    assert_completes_without_gang_timeouts(&mut cluster);
}

/// The members start, but the leader gets no answers, neither to starts nor to lease renewals.
#[test]
fn stops_waiting_members_whose_answers_are_lost() {
    let mut cluster = cluster_with_responsive_workers();
    set_unreachable(&mut cluster, "i-0", true);
    cluster.send_job("/a/", JOB, job(vec![gang(800)]));
    cluster.loses_answers = true;
    assert!(cluster.run_until(500, |cluster| cluster.running() >= 5), "{} run", cluster.running());
    cluster.run_for_ms(1_450);
    cluster.loses_answers = false;
    cluster.run_for_ms(4_000);
    assert_completes_without_gang_timeouts(&mut cluster);
}

/// A member that starts while the order of another member waits for a slot would wait for that member.
#[test]
fn starts_no_member_while_another_order_is_queued() {
    let mut cluster = cluster_with_responsive_workers();
    set_unreachable(&mut cluster, "i-0", true);
    // The starts of these tasks get no answer and take up all order slots of that worker.
    let labelled = Stage { constraint: "r1-0".to_owned(), ..stage(4, 100, 100) };
    cluster.send_job("/a/", JOB + 2, job(vec![labelled]));
    cluster.run_for_ms(30);
    cluster.send_job("/a/", JOB, job(vec![gang(800)]));
    cluster.run_for_ms(250);
    let members = cluster.runs.keys().filter(|task| task.job == JOB).count();
    assert_eq!(members, 0, "a member runs without the others");
    assert_completes_without_gang_timeouts(&mut cluster);
    assert!(cluster.run_until_state(JOB + 2, "completed", 15_000));
}

#[test]
fn gang_cancelled_before_its_orders_are_sent_never_runs() {
    let mut cluster = cluster_with_responsive_workers();
    cluster.run_for_ms(1_000);
    cluster.has_lease = false;
    cluster.run_for_ms(1_000);
    cluster.send_job("/a/", JOB, job(vec![gang(800)]));
    cluster.run_for_ms(100);
    assert_eq!(cluster.cancel("/a/", JOB).unwrap().outcome, Outcome::CANCEL_DONE);
    cluster.has_lease = true;
    cluster.run_for_ms(3_000);
    assert_eq!(cluster.runs.keys().filter(|task| task.job == JOB).count(), 0);
    assert_eq!(cluster.job_state(JOB), "cancelled");
    // The capacity of the cancelled gang is free for other jobs.
    cluster.submit("/a/", JOB + 3, job(vec![stage(8, 2_000, 100)]));
    assert!(cluster.run_until_state(JOB + 3, "completed", 1_000));
    cluster.assert_no_violations();
}

#[test]
fn starts_a_gang_when_the_leader_regains_its_lease() {
    let mut cluster = cluster_with_responsive_workers();
    cluster.run_for_ms(1_000);
    cluster.has_lease = false;
    cluster.run_for_ms(1_000);
    cluster.send_job("/a/", JOB, job(vec![gang(800)]));
    cluster.run_for_ms(2_000);
    assert_eq!(cluster.running(), 0);
    let sent = cluster.now;
    cluster.has_lease = true;
    assert!(cluster.run_until_state(JOB, "completed", 3_000), "{}", cluster.job_state(JOB));
    assert!(cluster.now - sent < 1_500 * MS, "{} ms", (cluster.now - sent) / MS);
    cluster.assert_no_violations();
}

#[test]
fn moves_a_gang_from_a_draining_rack() {
    let mut cluster = Cluster::new(6);
    for worker in cluster.workers.values_mut() {
        worker.instance.available.gpu = 8;
        worker.saves_progress = true;
    }
    cluster.run_for_ms(1_500);
    let member = Stage { gpu: 8, gang: true, checkpoints: true, ..stage(4, 2_000, 6_000) };
    cluster.submit("/a/", JOB, job(vec![member]));
    assert!(cluster.run_until(1_000, |cluster| cluster.running() == 4), "{} run", cluster.running());
    cluster.run_for_ms(1_000);
    let host = cluster.workers.values().find(|worker| !worker.running.is_empty()).unwrap();
    let rack = host.instance.labels[1].clone();
    let leaving: Vec<String> = cluster
        .workers
        .values()
        .filter(|worker| worker.instance.labels[1] == rack)
        .map(|worker| worker.instance.id.clone())
        .collect();
    for instance in &leaving {
        let instance = &mut cluster.workers.get_mut(instance).unwrap().instance;
        (instance.draining, instance.remaining_ms) = (true, Some(3_000));
    }
    let is_elsewhere = |cluster: &Cluster| {
        cluster.running() == 4 && leaving.iter().all(|instance| cluster.workers[instance].running.is_empty())
    };
    assert!(cluster.run_until(3_000, is_elsewhere), "{} run", cluster.running());
    for instance in &leaving {
        cluster.crash_worker(instance);
    }
    assert!(cluster.run_until_state(JOB, "completed", 8_000), "{}", cluster.job_state(JOB));
    assert_eq!(cluster.gang_timeouts, 0);
    cluster.assert_no_violations();
}

#[test]
fn stops_waiting_members_of_a_cancelled_job() {
    let mut cluster = cluster_with_responsive_workers();
    start_incomplete_gang(&mut cluster);
    assert_eq!(cluster.cancel("/a/", JOB).unwrap().outcome, Outcome::CANCEL_DONE);
    assert!(cluster.run_until(500, |cluster| cluster.running() == 0), "{} run", cluster.running());
    set_unreachable(&mut cluster, "i-0", false);
    cluster.run_for_ms(5_000);
    assert_eq!((cluster.running(), cluster.gang_timeouts), (0, 0));
    assert_eq!(cluster.job_state(JOB), "cancelled");
    cluster.assert_no_violations();
}

/// The new leader gets no answers for 2 s. It must not stop a complete gang as if members were missing.
#[test]
fn complete_gang_continues_under_a_new_leader() {
    let mut cluster = cluster_with_responsive_workers();
    cluster.submit("/a/", JOB, job(vec![gang(5_000)]));
    assert!(cluster.run_until(500, |cluster| cluster.running() == MEMBERS));
    cluster.run_for_ms(300);
    cluster.loses_answers = true;
    cluster.elect_leader();
    cluster.run_for_ms(2_000);
    cluster.loses_answers = false;
    assert!(cluster.run_until_state(JOB, "completed", 6_000), "{}", cluster.job_state(JOB));
    let runs = cluster.runs.iter().filter(|(task, _)| task.job == JOB);
    assert!(runs.clone().all(|(_, runs)| *runs == 1), "{:?}", runs.collect::<Vec<_>>());
    cluster.assert_no_violations();
}

/// Runs a gang while one worker is unreachable and the leader handles its input only at multiples of
/// `period_ms`. A new leader takes over `takeover_ms` after the job was accepted. Returns the number of gang
/// timeouts.
fn gang_timeouts_under_late_leader(period_ms: u64, takeover_ms: u64) -> u32 {
    let mut cluster = cluster_with_responsive_workers();
    cluster.leader_period = period_ms * MS;
    set_unreachable(&mut cluster, "i-0", true);
    cluster.submit("/a/", JOB, job(vec![gang(800)]));
    cluster.run_for_ms(takeover_ms);
    cluster.elect_leader();
    cluster.run_for_ms(5_000);
    cluster.leader_period = 0;
    set_unreachable(&mut cluster, "i-0", false);
    assert!(cluster.run_until_state(JOB, "completed", 15_000), "{}", cluster.job_state(JOB));
    cluster.assert_no_violations();
    cluster.gang_timeouts
}

/// Late input shortens the time that is left to stop waiting members.
#[test]
fn no_member_times_out_under_late_leaders() {
    for period_ms in [0, 60, 150, 300, 450, 700] {
        for takeover_ms in [100, 400, 700, 1_000, 1_300, 1_700, 3_000] {
            let gang_timeouts = gang_timeouts_under_late_leader(period_ms, takeover_ms);
            assert_eq!(
                gang_timeouts, 0,
                "leader up to {period_ms} ms late, new leader after {takeover_ms} ms"
            );
        }
    }
}
