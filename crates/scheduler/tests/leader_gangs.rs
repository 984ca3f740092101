//! Gangs whose members cannot all start at once: none of them may wait for the others until it ends alone.

mod cluster;

use cluster::{Cluster, MS};
use messages::job::{JobSpec, Stage};
use messages::peer::Outcome;

const JOB: u64 = 0x2b91_6fd0_83ac_57e4;
/// Members of the gangs: they fill three workers and half of a fourth.
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

/// Four workers that have all just answered, so that orders leave at once.
fn cluster_at_work() -> Cluster {
    let mut cluster = Cluster::new(4);
    cluster.submit("/a/", JOB + 1, job(vec![stage(8, 2_000, 100)]));
    assert!(cluster.run_until_state(JOB + 1, "completed", 3_000));
    cluster
}

fn mute(cluster: &mut Cluster, instance: &str, is_mute: bool) {
    cluster.workers.get_mut(instance).unwrap().is_unreachable = is_mute;
}

/// Starts a gang of which the members on `i-0` never arrive, and waits until the others are there.
fn gang_with_missing_members(cluster: &mut Cluster) {
    mute(cluster, "i-0", true);
    cluster.submit("/a/", JOB, job(vec![gang(800)]));
    assert!(cluster.run_until(500, |cluster| cluster.running() >= 5), "{} run", cluster.running());
}

fn finishes_without_a_member_alone(cluster: &mut Cluster) {
    mute(cluster, "i-0", false);
    assert!(cluster.run_until_state(JOB, "completed", 15_000), "{}", cluster.job_state(JOB));
    assert_eq!(cluster.gang_timeouts, 0);
    cluster.assert_no_violations();
}

#[test]
fn a_new_leader_stops_members_that_have_waited_under_the_former_one() {
    let mut cluster = cluster_at_work();
    gang_with_missing_members(&mut cluster);
    cluster.run_for_ms(1_300);
    cluster.elect_leader();
    cluster.run_for_ms(4_000);
    finishes_without_a_member_alone(&mut cluster);
}

#[test]
fn members_that_resume_from_a_checkpoint_are_stopped_before_they_end_alone() {
    let mut cluster = cluster_at_work();
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
    // The gang leaves a worker that is about to end, with its work saved.
    let hosts = cluster.workers.values().rev().filter(|worker| !worker.running.is_empty());
    let host = hosts.map(|worker| worker.instance.id.clone()).next().unwrap();
    let draining = &mut cluster.workers.get_mut(&host).unwrap().instance;
    (draining.draining, draining.remaining_ms) = (true, Some(2_000));
    assert!(cluster.run_until(1_500, |cluster| cluster.running() == 0));
    mute(&mut cluster, &idle, true);
    assert!(cluster.run_until(500, |cluster| cluster.running() >= 5), "{} run", cluster.running());
    let resumes =
        |worker: &cluster::ModelWorker| worker.running.values().all(|run| !run.checkpoint.is_empty());
    assert!(cluster.workers.values().all(resumes));
    cluster.run_for_ms(6_000);
    mute(&mut cluster, &idle, false);
    finishes_without_a_member_alone(&mut cluster);
}

#[test]
fn members_of_which_no_answer_arrives_are_stopped_before_they_end_alone() {
    let mut cluster = cluster_at_work();
    mute(&mut cluster, "i-0", true);
    cluster.send_job("/a/", JOB, job(vec![gang(800)]));
    cluster.loses_answers = true;
    assert!(cluster.run_until(500, |cluster| cluster.running() >= 5), "{} run", cluster.running());
    cluster.run_for_ms(1_450);
    cluster.loses_answers = false;
    cluster.run_for_ms(4_000);
    finishes_without_a_member_alone(&mut cluster);
}

#[test]
fn no_member_starts_while_the_order_of_another_cannot_leave() {
    let mut cluster = cluster_at_work();
    mute(&mut cluster, "i-0", true);
    // Their starts get no answer and take all places for orders to that worker.
    let labelled = Stage { constraint: "r1-0".to_owned(), ..stage(4, 100, 100) };
    cluster.send_job("/a/", JOB + 2, job(vec![labelled]));
    cluster.run_for_ms(30);
    cluster.send_job("/a/", JOB, job(vec![gang(800)]));
    cluster.run_for_ms(250);
    let members = cluster.runs.keys().filter(|task| task.job == JOB).count();
    assert_eq!(members, 0, "members that run by themselves");
    finishes_without_a_member_alone(&mut cluster);
    assert!(cluster.run_until_state(JOB + 2, "completed", 15_000));
}

#[test]
fn a_job_cancelled_while_its_gang_waits_for_its_orders_to_leave_never_runs() {
    let mut cluster = cluster_at_work();
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
    // Its capacity is free for others.
    cluster.submit("/a/", JOB + 3, job(vec![stage(8, 2_000, 100)]));
    assert!(cluster.run_until_state(JOB + 3, "completed", 1_000));
    cluster.assert_no_violations();
}

#[test]
fn a_gang_starts_once_the_lease_returns() {
    let mut cluster = cluster_at_work();
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
fn a_gang_of_whole_gpu_workers_moves_together_when_a_rack_leaves() {
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
fn a_job_cancelled_while_members_wait_for_others_is_stopped() {
    let mut cluster = cluster_at_work();
    gang_with_missing_members(&mut cluster);
    assert_eq!(cluster.cancel("/a/", JOB).unwrap().outcome, Outcome::CANCEL_DONE);
    assert!(cluster.run_until(500, |cluster| cluster.running() == 0), "{} run", cluster.running());
    mute(&mut cluster, "i-0", false);
    cluster.run_for_ms(5_000);
    assert_eq!((cluster.running(), cluster.gang_timeouts), (0, 0));
    assert_eq!(cluster.job_state(JOB), "cancelled");
    cluster.assert_no_violations();
}

#[test]
fn a_complete_gang_runs_on_under_a_new_leader_that_hears_of_it_late() {
    let mut cluster = cluster_at_work();
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

/// Plays a gang of which one worker's orders get lost under a leader that handles what comes only at
/// multiples of `period_ms`; a new one takes over `takeover_ms` after the job was accepted. Gives the members
/// that ended alone.
fn alone_under_late_leader(period_ms: u64, takeover_ms: u64) -> u32 {
    let mut cluster = cluster_at_work();
    cluster.leader_period = period_ms * MS;
    mute(&mut cluster, "i-0", true);
    cluster.submit("/a/", JOB, job(vec![gang(800)]));
    cluster.run_for_ms(takeover_ms);
    cluster.elect_leader();
    cluster.run_for_ms(5_000);
    cluster.leader_period = 0;
    mute(&mut cluster, "i-0", false);
    assert!(cluster.run_until_state(JOB, "completed", 15_000), "{}", cluster.job_state(JOB));
    cluster.assert_no_violations();
    cluster.gang_timeouts
}

#[test]
fn no_member_ends_alone_under_leaders_that_are_late_with_everything() {
    for period_ms in [0, 60, 150, 300, 450, 700] {
        for takeover_ms in [100, 400, 700, 1_000, 1_300, 1_700, 3_000] {
            let alone = alone_under_late_leader(period_ms, takeover_ms);
            assert_eq!(alone, 0, "{period_ms} ms late, a new leader after {takeover_ms} ms");
        }
    }
}
