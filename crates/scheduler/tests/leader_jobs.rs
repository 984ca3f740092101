//! Jobs of all kinds on a simulated cluster.

mod cluster;

use cluster::{Cluster, DAY_START_MS, MS};
use messages::job::{JobSpec, Stage};
use messages::peer::Outcome;
use scheduler::ids::TaskKey;
use scheduler::leader::{Input, Leader, Output};
use scheduler::state::State;

const JOB: u64 = 0x5c0e_7a21_d94b_36f8;

fn stage(count: u32, cpu: u64, est_runtime_ms: u64) -> Stage {
    Stage { count, cpu, mem_mb: 256, est_runtime_ms, ..Stage::default() }
}

fn job(stages: Vec<Stage>) -> JobSpec {
    JobSpec { spec: "text".to_owned(), stages, ..JobSpec::default() }
}

#[test]
fn completes_a_job_of_several_steps() {
    let mut cluster = Cluster::new(3);
    let stages = vec![stage(4, 500, 900), Stage { depends_on: vec![0], ..stage(20, 2_000, 700) }];
    assert_eq!(cluster.submit("/a/", JOB, job(stages)).unwrap().outcome, Outcome::ACCEPTED);
    assert!(cluster.run_until_state(JOB, "completed", 10_000), "{}", cluster.job_state(JOB));
    assert_eq!(cluster.running(), 0);
    assert_eq!(cluster.done.len(), 24);
    cluster.assert_no_violations();
}

#[test]
fn starts_a_job_within_400_ms_of_its_submission() {
    let mut cluster = Cluster::new(1);
    cluster.run_for_ms(1_500);
    let sent = cluster.now;
    cluster.send_job("/a/", JOB, job(vec![stage(1, 500, 300)]));
    assert!(cluster.run_until_state(JOB, "completed", 2_000));
    assert!(cluster.now - sent < 400 * MS, "{} ms", (cluster.now - sent) / MS);
}

#[test]
fn completes_many_small_jobs_at_high_utilization() {
    let mut cluster = Cluster::new(4);
    cluster.run_for_ms(1_500);
    let started = cluster.now;
    for number in 0..80 {
        cluster.send_job("/a/", JOB + number, job(vec![stage(2, 1_000, 1_000)]));
    }
    for number in 0..80 {
        assert!(cluster.run_until_state(JOB + number, "completed", 30_000));
    }
    // 160 tasks of 1 s on 16 cores take at least 10 s.
    assert!(cluster.now - started < 12_500 * MS, "{} ms", (cluster.now - started) / MS);
    cluster.assert_no_violations();
}

#[test]
fn spreads_a_gang_that_fits_no_single_rack() {
    // Racks of two workers with four cores each.
    let mut cluster = Cluster::new(4);
    cluster.run_for_ms(1_500);
    let sent = cluster.now;
    let gang = Stage { gang: true, rack_local: true, ..stage(6, 2_000, 1_000) };
    cluster.send_job("/a/", JOB, job(vec![gang]));
    assert!(cluster.run_until(2_000, |cluster| cluster.running() == 6), "{} run", cluster.running());
    assert!(cluster.now - sent < 1_000 * MS, "{} ms", (cluster.now - sent) / MS);
    assert!(cluster.run_until_state(JOB, "completed", 5_000));
    cluster.assert_no_violations();
}

/// A rack-local gang waits for capacity in one rack only as long as it would lose by running in several
/// racks.
#[test]
fn gang_waits_for_one_rack_as_long_as_spreading_would_cost() {
    let mut cluster = Cluster::new(4);
    cluster.run_for_ms(1_500);
    // One task on each rack, so that no rack is empty.
    let labelled = |rack: &str| Stage { constraint: rack.to_owned(), ..stage(1, 3_000, 20_000) };
    cluster.submit("/a/", JOB, job(vec![labelled("r1-0"), labelled("r1-1")]));
    assert!(cluster.run_until(1_000, |cluster| cluster.running() == 2));
    let sent = cluster.now;
    let gang = Stage { gang: true, rack_local: true, ..stage(4, 2_000, 9_000) };
    cluster.send_job("/a/", JOB + 1, job(vec![gang]));
    assert!(cluster.run_until(2_500, |cluster| cluster.running() == 6), "{} run", cluster.running());
    let waited_ms = (cluster.now - sent) / MS;
    assert!((1_400..2_000).contains(&waited_ms), "{waited_ms} ms");
    cluster.assert_no_violations();
}

#[test]
fn ejected_worker_runs_tasks_that_fit_no_other_worker() {
    let mut cluster = Cluster::new(4);
    let label = "only-here";
    cluster.workers.get_mut("i-2").unwrap().instance.labels.push(label.to_owned());
    cluster.workers.get_mut("i-2").unwrap().fails_all_runs = true;
    for number in 0..60 {
        cluster.send_job("/a/", JOB + number, job(vec![stage(2, 1_000, 500)]));
    }
    let is_ejected = |cluster: &Cluster| {
        let workers = cluster.leader.as_ref().unwrap().workers_report(cluster.now).workers;
        workers.iter().any(|worker| worker.instance == "i-2" && !worker.obstacles.is_empty())
    };
    assert!(cluster.run_until(20_000, is_ejected));
    cluster.workers.get_mut("i-2").unwrap().fails_all_runs = false;
    let sent = cluster.now;
    let labelled = Stage { constraint: label.to_owned(), ..stage(1, 500, 300) };
    cluster.send_job("/u/", JOB + 100, job(vec![labelled]));
    assert!(cluster.run_until_state(JOB + 100, "completed", 2_500), "{}", cluster.job_state(JOB + 100));
    assert!(cluster.now - sent < 2_500 * MS, "{} ms", (cluster.now - sent) / MS);
    cluster.assert_no_violations();
}

#[test]
fn runs_a_gang_once_and_then_its_dependent_step() {
    let mut cluster = Cluster::new(3);
    let gang = Stage { gang: true, ..stage(5, 2_000, 800) };
    cluster.submit("/a/", JOB, job(vec![gang, Stage { depends_on: vec![0], ..stage(1, 100, 100) }]));
    assert!(cluster.run_until_state(JOB, "completed", 6_000), "{}", cluster.job_state(JOB));
    let first = TaskKey { job: JOB, time: 0, step: 0, index: 0 };
    assert_eq!(cluster.runs[&first], 1);
    cluster.assert_no_violations();
}

#[test]
fn restarts_the_whole_gang_after_a_worker_crash() {
    let mut cluster = Cluster::new(4);
    cluster.submit("/a/", JOB, job(vec![Stage { gang: true, ..stage(5, 2_000, 2_000) }]));
    assert!(cluster.run_until(3_000, |cluster| cluster.running() == 5));
    let crashed = cluster.workers.values().find(|worker| !worker.running.is_empty()).unwrap();
    let crashed = crashed.instance.id.clone();
    cluster.crash_worker(&crashed);
    assert!(cluster.run_until_state(JOB, "completed", 25_000), "{}", cluster.job_state(JOB));
    cluster.assert_no_violations();
}

#[test]
fn failing_job_fails_after_its_retries() {
    let mut cluster = Cluster::new(3);
    cluster.failing_jobs.insert(JOB);
    cluster.submit(
        "/a/",
        JOB,
        job(vec![stage(1, 500, 200), Stage { depends_on: vec![0], ..stage(1, 1, 1) }]),
    );
    assert!(cluster.run_until_state(JOB, "failed", 10_000));
    cluster.run_for_ms(2_000);
    let only = TaskKey { job: JOB, time: 0, step: 0, index: 0 };
    assert_eq!(cluster.runs[&only], 3);
    assert_eq!(cluster.runs.len(), 1);
}

#[test]
fn failing_job_ejects_no_worker() {
    let mut cluster = Cluster::new(1);
    cluster.failing_jobs.insert(JOB);
    cluster.submit("/a/", JOB, job(vec![stage(4, 500, 200)]));
    assert!(cluster.run_until_state(JOB, "failed", 10_000));
    cluster.submit("/a/", JOB + 1, job(vec![stage(1, 500, 200)]));
    assert!(cluster.run_until_state(JOB + 1, "completed", 1_000));
}

#[test]
fn failing_worker_gets_few_starts() {
    let mut cluster = Cluster::new(4);
    cluster.workers.get_mut("i-2").unwrap().fails_all_runs = true;
    for number in 0..150 {
        cluster.send_job("/a/", JOB + number, job(vec![stage(1, 1_000, 300)]));
        cluster.run_for_ms(50);
    }
    cluster.run_for_ms(5_000);
    let completed = (0..150).filter(|number| cluster.job_state(JOB + number) == "completed").count();
    assert!(completed >= 148, "{completed} of 150 jobs completed");
    let retries: u32 = cluster.runs.values().sum::<u32>() - cluster.runs.len() as u32;
    assert!(retries < 30, "{retries} retries");
    cluster.assert_no_violations();
}

#[test]
fn moves_stalled_tasks() {
    let mut cluster = Cluster::new(3);
    cluster.workers.get_mut("i-0").unwrap().stalls_runs = true;
    for number in 0..12 {
        cluster.send_job("/a/", JOB + number, job(vec![stage(1, 1_000, 2_000)]));
    }
    for number in 0..12 {
        assert!(cluster.run_until_state(JOB + number, "completed", 25_000), "{number}");
    }
    cluster.assert_no_violations();
}

#[test]
fn cancelling_stops_running_tasks_and_drops_waiting_tasks() {
    let mut cluster = Cluster::new(1);
    cluster.submit("/a/", JOB, job(vec![stage(10, 2_000, 2_000)]));
    assert!(cluster.run_until(2_000, |cluster| cluster.running() == 2));
    assert_eq!(cluster.cancel("/a/", JOB).unwrap().outcome, Outcome::CANCEL_DONE);
    assert!(cluster.run_until(500, |cluster| cluster.running() == 0));
    cluster.run_for_ms(5_000);
    assert_eq!(cluster.runs.values().sum::<u32>(), 2);
    assert_eq!(cluster.job_state(JOB), "cancelled");
    assert_eq!(cluster.cancel("/a/", JOB).unwrap().outcome, Outcome::CANCEL_DONE);
}

#[test]
fn restarts_long_running_tasks_until_cancelled() {
    let mut cluster = Cluster::new(2);
    let long_running_stage = Stage { long_running: true, ..stage(2, 1_000, 500) };
    cluster.submit("/a/", JOB, job(vec![long_running_stage]));
    assert!(cluster.run_until(2_000, |cluster| cluster.running() == 2));
    let crashed = cluster.workers.values().find(|worker| !worker.running.is_empty()).unwrap();
    let crashed = crashed.instance.id.clone();
    cluster.crash_worker(&crashed);
    assert!(cluster.run_until(20_000, |cluster| cluster.running() == 2));
    cluster.cancel("/a/", JOB);
    assert!(cluster.run_until(500, |cluster| cluster.running() == 0));
    cluster.assert_no_violations();
}

#[test]
fn repeats_start_when_due_and_may_overlap() {
    let mut cluster = Cluster::new(2);
    let start_at_ms = DAY_START_MS + cluster.now / MS + 2_000;
    let scheduled_job =
        JobSpec { repeat: 4, start_at_ms, interval_ms: 300, ..job(vec![stage(1, 500, 1_000)]) };
    cluster.submit("/a/", JOB, scheduled_job);
    cluster.run_for_ms(1_800);
    assert_eq!(cluster.running(), 0);
    assert_eq!(cluster.job_state(JOB), "pending");
    assert!(cluster.run_until(1_500, |cluster| cluster.running() == 4));
    assert!(cluster.run_until_state(JOB, "completed", 3_000));
    cluster.assert_no_violations();
}

#[test]
fn highest_priority_preempts_others() {
    let mut cluster = Cluster::new(2);
    cluster.submit("/a/", JOB, job(vec![stage(8, 1_000, 20_000)]));
    assert!(cluster.run_until(2_000, |cluster| cluster.running() == 8));
    let sent = cluster.now;
    cluster.send_job("/u/", JOB + 1, job(vec![stage(2, 1_000, 300)]));
    assert!(cluster.run_until_state(JOB + 1, "completed", 3_000));
    assert!(cluster.now - sent < 700 * MS, "{} ms", (cluster.now - sent) / MS);
    assert!(cluster.run_until_state(JOB, "completed", 60_000));
    // Eight and two tasks, and second runs of the two tasks that were preempted.
    assert_eq!(cluster.runs.values().sum::<u32>(), 12);
    cluster.assert_no_violations();
}

#[test]
fn moves_tasks_from_a_draining_worker() {
    let mut cluster = Cluster::new(2);
    cluster.submit("/a/", JOB, job(vec![stage(2, 2_000, 8_000)]));
    assert!(cluster.run_until(2_000, |cluster| cluster.running() == 2));
    let busy =
        cluster.workers.values().find(|worker| !worker.running.is_empty()).unwrap().instance.id.clone();
    let worker = cluster.workers.get_mut(&busy).unwrap();
    worker.instance.draining = true;
    worker.instance.remaining_ms = Some(3_000);
    cluster.run_for_ms(2_500);
    assert!(cluster.workers[&busy].running.is_empty());
    cluster.crash_worker(&busy);
    assert!(cluster.run_until_state(JOB, "completed", 12_000));
    cluster.assert_no_violations();
}

#[test]
fn short_run_completes_on_a_draining_worker() {
    let mut cluster = Cluster::new(1);
    cluster.submit("/a/", JOB, job(vec![stage(1, 2_000, 2_500)]));
    assert!(cluster.run_until(2_000, |cluster| cluster.running() == 1));
    let worker = cluster.workers.get_mut("i-0").unwrap();
    worker.instance.draining = true;
    worker.instance.remaining_ms = Some(6_000);
    assert!(cluster.run_until_state(JOB, "completed", 4_000));
    assert_eq!(cluster.runs.values().sum::<u32>(), 1);
}

#[test]
fn new_leader_adopts_running_attempts() {
    let mut cluster = Cluster::new(3);
    let stages = vec![stage(6, 1_000, 1_500), Stage { depends_on: vec![0], ..stage(6, 1_000, 500) }];
    cluster.submit("/a/", JOB, job(stages));
    for _ in 0..5 {
        cluster.run_for_ms(430);
        cluster.elect_leader();
    }
    assert!(cluster.run_until_state(JOB, "completed", 20_000), "{}", cluster.job_state(JOB));
    assert_eq!(cluster.done.len(), 12);
    cluster.assert_no_violations();
}

#[test]
fn reruns_tasks_of_a_crashed_worker() {
    let mut cluster = Cluster::new(2);
    cluster.submit("/a/", JOB, job(vec![stage(4, 2_000, 2_000)]));
    assert!(cluster.run_until(2_000, |cluster| cluster.running() == 4));
    cluster.crash_worker("i-1");
    assert!(cluster.run_until_state(JOB, "completed", 20_000), "{}", cluster.job_state(JOB));
    cluster.assert_no_violations();
}

/// Submits small jobs faster than the workers can run them, with one job of the stage `large` among them.
fn run_beside_small_jobs(large: Stage) -> Cluster {
    let mut cluster = Cluster::new(3);
    cluster.run_for_ms(1_500);
    for number in 1..=60 {
        cluster.send_job("/a/", JOB + number, job(vec![stage(2, 1_000, 700)]));
    }
    cluster.run_for_ms(1_000);
    cluster.send_job("/a/", JOB, job(vec![large]));
    for number in 61..=400 {
        cluster.send_job("/a/", JOB + number, job(vec![stage(2, 1_000, 700)]));
        cluster.run_for_ms(50);
    }
    cluster
}

#[test]
fn large_task_gets_capacity_despite_many_small_tasks() {
    let cluster = run_beside_small_jobs(stage(1, 4_000, 700));
    assert_eq!(cluster.job_state(JOB), "completed");
    cluster.assert_no_violations();
}

#[test]
fn gang_gets_capacity_despite_many_small_tasks() {
    let cluster = run_beside_small_jobs(Stage { gang: true, ..stage(6, 1_500, 700) });
    assert_eq!(cluster.job_state(JOB), "completed");
    cluster.assert_no_violations();
}

#[test]
fn starts_only_while_the_leader_holds_its_lease() {
    let mut cluster = Cluster::new(2);
    cluster.run_for_ms(1_500);
    cluster.has_lease = false;
    cluster.run_for_ms(1_000);
    cluster.send_job("/a/", JOB, job(vec![stage(4, 1_000, 300)]));
    cluster.run_for_ms(2_000);
    assert!(cluster.runs.is_empty());
    cluster.has_lease = true;
    cluster.flush(Vec::new());
    assert!(cluster.run_until(30, |cluster| cluster.running() == 4));
    assert!(cluster.run_until_state(JOB, "completed", 1_000));
    cluster.assert_no_violations();
}

#[test]
fn stops_members_of_an_incomplete_gang_before_their_timeout() {
    let mut cluster = Cluster::new(4);
    // All workers have just answered, so that orders are sent to them at once.
    cluster.submit("/a/", JOB + 1, job(vec![stage(8, 2_000, 100)]));
    assert!(cluster.run_until_state(JOB + 1, "completed", 3_000));
    cluster.workers.get_mut("i-0").unwrap().is_unreachable = true;
    cluster.submit("/a/", JOB, job(vec![Stage { gang: true, ..stage(7, 2_000, 800) }]));
    assert!(cluster.run_until(500, |cluster| cluster.running() >= 5));
    cluster.run_for_ms(5_000);
    assert_eq!(cluster.running(), 0);
    cluster.workers.get_mut("i-0").unwrap().is_unreachable = false;
    assert!(cluster.run_until_state(JOB, "completed", 15_000), "{}", cluster.job_state(JOB));
    cluster.assert_no_violations();
}

#[test]
fn new_leader_measures_progress_from_its_first_report() {
    let mut cluster = Cluster::new(2);
    cluster.submit("/a/", JOB, job(vec![stage(1, 2_000, 10_000)]));
    assert!(cluster.run_until(2_000, |cluster| cluster.running() == 1));
    let busy =
        cluster.workers.values().find(|worker| !worker.running.is_empty()).unwrap().instance.id.clone();
    cluster.run_for_ms(4_000);
    cluster.elect_leader();
    cluster.run_for_ms(1_500);
    // The run takes about 4.5 s more, but its worker serves only 3 s more.
    let worker = cluster.workers.get_mut(&busy).unwrap();
    worker.instance.draining = true;
    worker.instance.remaining_ms = Some(3_000);
    assert!(cluster.run_until(1_500, |cluster| cluster.workers[&busy].running.is_empty()));
    cluster.assert_no_violations();
}

#[test]
fn new_leader_starts_only_on_workers_that_answered_it() {
    let mut cluster = Cluster::new(6);
    cluster.run_for_ms(2_000);
    // Half of the workers stop responding just before the election. The list still shows these workers.
    let timed_out: Vec<String> = cluster.workers.keys().take(3).cloned().collect();
    for instance in &timed_out {
        cluster.workers.get_mut(instance).unwrap().is_unreachable = true;
    }
    cluster.elect_leader();
    cluster.submit("/a/", JOB, job(vec![stage(12, 1_000, 300)]));
    assert!(cluster.run_until_state(JOB, "completed", 1_000), "{}", cluster.job_state(JOB));
    cluster.assert_no_violations();
}

/// A job that occupies rack `r1-0`, two workers of four cores, for `ms` milliseconds.
fn job_on_first_rack(ms: u64) -> JobSpec {
    job(vec![Stage { constraint: "r1-0".to_owned(), ..stage(2, 4_000, ms) }])
}

/// Returns the worker on which the only task of a job runs.
fn host_of(cluster: &Cluster, id: u64) -> Option<&str> {
    let runs_there = |worker: &&cluster::ModelWorker| worker.running.keys().any(|key| key.task.job == id);
    cluster.workers.values().find(runs_there).map(|worker| worker.instance.id.as_str())
}

/// The task waits because the rack has capacity again sooner than the longer run in another rack would cost.
#[test]
fn task_waits_for_capacity_in_the_rack_of_its_data() {
    let mut cluster = Cluster::new(4);
    cluster.submit("/a/", JOB, job_on_first_rack(600));
    assert!(cluster.run_until(2_000, |cluster| cluster.running() == 2));
    let near = Stage { affinity: "r1-0".to_owned(), ..stage(1, 1_000, 2_000) };
    cluster.submit("/a/", JOB + 1, job(vec![near]));
    assert!(cluster.run_until(2_000, |cluster| host_of(cluster, JOB + 1).is_some()));
    let host = host_of(&cluster, JOB + 1);
    assert!(host == Some("i-0") || host == Some("i-1"), "{host:?}");
    assert_eq!(cluster.job_state(JOB), "completed");
    cluster.assert_no_violations();
}

#[test]
fn task_leaves_the_rack_of_its_data_after_a_bounded_wait() {
    let mut cluster = Cluster::new(4);
    cluster.submit("/a/", JOB, job_on_first_rack(5_000));
    assert!(cluster.run_until(2_000, |cluster| cluster.running() == 2));
    let near = Stage { affinity: "r1-0".to_owned(), ..stage(1, 1_000, 800) };
    let sent = cluster.now;
    cluster.submit("/a/", JOB + 1, job(vec![near]));
    assert!(cluster.run_until(2_000, |cluster| host_of(cluster, JOB + 1).is_some()));
    let waited_ms = (cluster.now - sent) / MS;
    // In another rack the task takes 1.5 times as long, 400 ms more.
    assert!((400..500).contains(&waited_ms), "{waited_ms} ms");
    let host = host_of(&cluster, JOB + 1);
    assert!(host == Some("i-2") || host == Some("i-3"), "{host:?}");
    cluster.assert_no_violations();
}

/// A job may run nothing for 2 s at most, even if a task of it would lose more time in another rack.
#[test]
fn long_task_waits_for_the_rack_of_its_data_two_seconds() {
    let mut cluster = Cluster::new(4);
    cluster.submit("/a/", JOB, job_on_first_rack(20_000));
    assert!(cluster.run_until(2_000, |cluster| cluster.running() == 2));
    // In another rack the task would take 10 s more.
    let near = Stage { affinity: "r1-0".to_owned(), ..stage(1, 1_000, 20_000) };
    let sent = cluster.now;
    cluster.submit("/a/", JOB + 1, job(vec![near]));
    assert!(cluster.run_until(3_000, |cluster| host_of(cluster, JOB + 1).is_some()));
    let waited_ms = (cluster.now - sent) / MS;
    assert!((2_000..2_200).contains(&waited_ms), "{waited_ms} ms");
}

#[test]
fn task_starts_at_once_if_no_worker_is_in_the_rack_of_its_data() {
    let mut cluster = Cluster::new(4);
    cluster.run_for_ms(1_500);
    let sent = cluster.now;
    let in_unknown_rack = Stage { affinity: "r9-9".to_owned(), ..stage(1, 1_000, 2_000) };
    cluster.submit("/a/", JOB, job(vec![in_unknown_rack]));
    assert!(cluster.run_until(2_000, |cluster| host_of(cluster, JOB).is_some()));
    assert!(cluster.now - sent < 100 * MS, "{} ms", (cluster.now - sent) / MS);
}

#[test]
fn dependent_steps_start_without_delay() {
    let mut cluster = Cluster::new(1);
    cluster.run_for_ms(1_500);
    let chain =
        (0..10u32).map(|step| Stage { depends_on: (0..step).rev().take(1).collect(), ..stage(1, 500, 50) });
    let sent = cluster.now;
    cluster.submit("/a/", JOB, job(chain.collect()));
    assert!(cluster.run_until_state(JOB, "completed", 5_000));
    // Ten steps of 50 ms. For each step: a report of the end within 100 ms, two commits and a round trip.
    let took_ms = (cluster.now - sent) / MS;
    assert!(took_ms < 1_500, "{took_ms} ms");
    cluster.assert_no_violations();
}

/// A page that has not changed since the last read is still new to a leader that never received it.
#[test]
fn unchanged_list_page_is_new_to_a_new_leader() {
    let state = State::new();
    let mut leader = Leader::new(1, cluster::settings(), &state, MS, 1);
    let mut out = Vec::new();
    leader.handle(&state, MS, Input::Tick { time_of_day_ms: 1 }, &mut out);
    assert!(out.contains(&Output::ReadInstances));
    let instances = [cluster::ModelWorker::new("i-1", 1, 4_000).instance].into();
    let page = Input::Instances { instances, as_of: MS, has_changed: false, is_last: true };
    leader.handle(&state, 2 * MS, page, &mut out);
    out.clear();
    leader.set_lease(2 * MS, 1_000 * MS);
    leader.flush(&state, 2 * MS, &mut out);
    assert!(out.iter().any(|output| matches!(output, Output::Call { .. })), "{out:?}");
}

#[test]
fn starts_waiting_job_on_the_first_usable_worker() {
    let mut cluster = Cluster::new(1);
    cluster.run_for_ms(2_000);
    cluster.workers.get_mut("i-0").expect("a worker").instance.draining = true;
    cluster.run_for_ms(1_500);
    cluster.submit("/a/", JOB, job(vec![stage(1, 3_000, 150)]));
    cluster.run_for_ms(1_500);
    cluster.add_worker("i-1", 1, 4_000);
    assert!(cluster.run_until_state(JOB, "completed", 3_000));
    cluster.assert_no_violations();
}
