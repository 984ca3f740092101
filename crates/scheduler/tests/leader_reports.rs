//! Reports on workers, queues and jobs, and worker events of the leader.

mod cluster;

use admin::{AttemptPhase, JobReport, Obstacle, Waiting, WorkerObstacle};
use cluster::{Cluster, DAY_START_MS};
use messages::job::{JobSpec, Stage};
use scheduler::leader::WorkerEvent;

const JOB: u64 = 0x5c0e_7a21_d94b_36f8;

fn stage(count: u32, cpu: u64, est_runtime_ms: u64) -> Stage {
    Stage { count, cpu, mem_mb: 256, est_runtime_ms, ..Stage::default() }
}

fn job(stages: Vec<Stage>) -> JobSpec {
    JobSpec { spec: "text".to_owned(), stages, ..JobSpec::default() }
}

fn job_report_of(cluster: &Cluster, id: u64) -> JobReport {
    let leader = cluster.leader.as_ref().expect("a leader");
    leader.job_report(&cluster.state, id, cluster.now).expect("a known job")
}

#[test]
fn job_report_shows_attempts_and_reasons_for_waiting() {
    let mut cluster = Cluster::new(1);
    cluster.run_for_ms(1_500);
    let stages = vec![stage(3, 2_000, 2_000), Stage { depends_on: vec![0], ..stage(1, 500, 300) }];
    cluster.submit("/a/", JOB, job(stages));
    assert!(cluster.run_until(2_000, |cluster| cluster.running() == 2));
    cluster.run_for_ms(300);

    let report = job_report_of(&cluster, JOB);
    assert_eq!((report.state.as_str(), report.service.as_str(), report.priority), ("running", "service", 1));
    assert_eq!(report.attempts.len(), 2);
    for attempt in &report.attempts {
        assert_eq!(
            (attempt.phase, attempt.attempt, attempt.instance.as_str()),
            (AttemptPhase::Running, 1, "i-0")
        );
        assert!(attempt.running_for_ms.is_some_and(|ms| ms >= 200), "{attempt:?}");
    }
    match &report.steps[0].waiting {
        Waiting::Worker { tasks: 1, obstacles } => {
            assert_eq!(obstacles.len(), 1);
            assert_eq!((&obstacles[0].obstacle, obstacles[0].workers), (&Obstacle::NoCapacity, 1));
        }
        other => panic!("expected one task that waits for capacity, not {other:?}"),
    }
    assert_eq!(report.steps[1].waiting, Waiting::Steps { steps: vec![0] });

    let queues = cluster.leader.as_ref().unwrap().queues_report(cluster.now);
    let service = &queues.services[0];
    assert_eq!((service.service.as_str(), service.workers, service.usable_workers), ("service", 1, 1));
    assert_eq!((service.total.cpu, service.free.cpu), (4_000, 0));
    let plan = service.plans.iter().find(|plan| plan.priority == 1).expect("a plan with a step that waits");
    assert_eq!((plan.waiting_steps, plan.waiting_tasks, plan.steps_without_capacity), (1, 1, 1));
    assert_eq!(plan.first.as_ref().map(|first| first.job.as_str()), Some("5c0e7a21d94b36f8"));

    assert!(cluster.run_until_state(JOB, "completed", 10_000));
    let report = job_report_of(&cluster, JOB);
    assert!(report.attempts.is_empty() && report.steps.is_empty());
    assert_eq!(report.past_attempts.len(), 4);
    assert!(report.past_attempts.iter().all(|past| past.how == "done" && past.ran_for_ms.is_some()));
}

#[test]
fn reports_load_and_work_of_the_leader() {
    let mut cluster = Cluster::new(1);
    cluster.run_for_ms(1_500);
    cluster.leader.as_mut().expect("a leader").take_work();
    cluster.submit("/a/", JOB, job(vec![stage(3, 2_000, 2_000)]));
    assert!(cluster.run_until(2_000, |cluster| cluster.running() == 2));

    let now = cluster.now;
    let leader = cluster.leader.as_mut().expect("a leader");
    let load = leader.load_report(now);
    assert_eq!((load.workers, load.usable_workers, load.unreachable_workers), (1, 1, 0));
    // The third task finds the worker full.
    assert_eq!((load.waiting_steps, load.blocked_steps, load.attempts, load.open_tasks), (1, 1, 2, 3));
    let work = leader.take_work();
    assert!(work.steps_examined >= 2 && work.workers_examined >= 2, "{work:?}");
    assert!(work.inputs > 0 && work.admission_passes > 0 && work.sessions_polled > 0, "{work:?}");
    assert_eq!(leader.take_work().inputs, 0);
}

#[test]
fn job_report_shows_why_no_worker_fits() {
    let mut cluster = Cluster::new(2);
    cluster.run_for_ms(1_500);
    let labelled = Stage { constraint: "gpu-kind".to_owned(), ..stage(1, 500, 300) };
    cluster.submit("/a/", JOB, job(vec![stage(1, 9_000, 300), labelled]));
    cluster.run_for_ms(500);
    let report = job_report_of(&cluster, JOB);
    assert_eq!(report.state, "pending");
    let obstacle = |step: usize| match &report.steps[step].waiting {
        Waiting::Worker { obstacles, .. } => obstacles[0].obstacle.clone(),
        other => panic!("expected to wait for a worker, not {other:?}"),
    };
    assert_eq!(obstacle(0), Obstacle::TooSmall);
    assert_eq!(obstacle(1), Obstacle::LacksLabel { label: "gpu-kind".to_owned() });
}

#[test]
fn job_report_shows_the_due_time() {
    let mut cluster = Cluster::new(1);
    let start_at_ms = DAY_START_MS + 60_000;
    let later = JobSpec { start_at_ms, interval_ms: 1_000, repeat: 50, ..job(vec![stage(1, 500, 300)]) };
    cluster.submit("/a/", JOB, later);
    let report = job_report_of(&cluster, JOB);
    assert_eq!(report.steps.len(), 1, "only the next repeat is reported");
    assert_eq!(report.steps[0].waiting, Waiting::DueTime { at_ms: start_at_ms });
}

#[test]
fn reports_a_failing_worker_as_ejected() {
    let mut cluster = Cluster::new(4);
    cluster.workers.get_mut("i-2").unwrap().fails_all_runs = true;
    let is_ejected = |cluster: &Cluster| {
        let workers = cluster.leader.as_ref().unwrap().workers_report(cluster.now).workers;
        let Some(failing) = workers.iter().find(|worker| worker.instance == "i-2") else { return false };
        let ejected = matches!(failing.obstacles[..], [WorkerObstacle::Ejected { left_ms: 1.. }, ..]);
        assert!(
            !ejected || (!failing.usable && failing.trust_percent < 100 && failing.consecutive_failures >= 3),
            "{failing:?}"
        );
        ejected
    };
    for number in 0..60 {
        cluster.send_job("/a/", JOB + number, job(vec![stage(2, 1_000, 500)]));
    }
    assert!(cluster.run_until(20_000, is_ejected));
    let workers = cluster.leader.as_ref().unwrap().workers_report(cluster.now).workers;
    let healthy = workers.iter().filter(|worker| worker.obstacles.is_empty()).count();
    assert_eq!((workers.len(), healthy), (4, 3));
}

#[test]
fn reports_ejections_and_timeouts_as_events() {
    let mut cluster = Cluster::new(4);
    cluster.workers.get_mut("i-2").unwrap().fails_all_runs = true;
    for number in 0..60 {
        cluster.send_job("/a/", JOB + number, job(vec![stage(2, 1_000, 500)]));
    }
    let has_obstacles = |cluster: &Cluster| {
        let workers = cluster.leader.as_ref().unwrap().workers_report(cluster.now).workers;
        workers.iter().any(|worker| worker.instance == "i-2" && !worker.obstacles.is_empty())
    };
    assert!(cluster.run_until(20_000, has_obstacles));
    let events = cluster.leader.as_mut().unwrap().take_worker_events();
    let ejection_times: Vec<u64> = events
        .iter()
        .filter_map(|event| match event {
            WorkerEvent::Ejected { instance, ejection_ms } if &**instance == "i-2" => Some(*ejection_ms),
            _ => None,
        })
        .collect();
    assert_eq!(ejection_times, [3_000], "{events:?}");
    assert!(cluster.leader.as_mut().unwrap().take_worker_events().is_empty(), "each event is returned once");
    // Failures of attempts that already ran on the worker when it was ejected do not extend the ejection.
    cluster.run_for_ms(2_000);
    let events = cluster.leader.as_mut().unwrap().take_worker_events();
    assert!(!events.iter().any(|event| matches!(event, WorkerEvent::Ejected { .. })), "{events:?}");

    cluster.crash_worker("i-1");
    cluster.run_for_ms(10_000);
    let events = cluster.leader.as_mut().unwrap().take_worker_events();
    // The crashed worker stops responding, but nothing shows that its incarnation has ended.
    let timed_out = |event: &&WorkerEvent| matches!(event, WorkerEvent::TimedOut { instance, attempts: 1.. } if &**instance == "i-1");
    assert_eq!(events.iter().filter(timed_out).count(), 1, "{events:?}");
}

#[test]
fn unknown_job_has_no_report() {
    let cluster = Cluster::new(1);
    assert!(cluster.leader.as_ref().unwrap().job_report(&cluster.state, JOB, cluster.now).is_none());
}
