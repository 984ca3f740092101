//! Steps that find no capacity hide no step behind them, whatever their number and the reason.

mod cluster;

use cluster::Cluster;
use messages::job::{JobSpec, Stage};

/// More than one scan examines.
const HOPELESS: u64 = 40;
const FIRST_HOPELESS: u64 = 0x100;
const ORDINARY: u64 = 0x10_000;

fn job(stage: Stage) -> JobSpec {
    JobSpec { spec: "text".to_owned(), stages: vec![stage], ..JobSpec::default() }
}

fn stage(cpu: u64) -> Stage {
    Stage { count: 2, cpu, mem_mb: 256, est_runtime_ms: 300, ..Stage::default() }
}

fn labelled(label: &str) -> Stage {
    Stage { constraint: label.to_owned(), ..stage(500) }
}

/// A cluster in which `count` jobs wait that cannot start.
fn cluster_behind(prefix: &str, count: u64, hopeless: &Stage) -> Cluster {
    let mut cluster = Cluster::new(4);
    cluster.run_for_ms(1_500);
    for number in 0..count {
        cluster.send_job(prefix, FIRST_HOPELESS + number, job(hopeless.clone()));
    }
    cluster.run_for_ms(500);
    cluster
}

fn assert_ordinary_job_completes(cluster: &mut Cluster, prefix: &str) {
    cluster.send_job(prefix, ORDINARY, job(stage(500)));
    assert!(cluster.run_until_state(ORDINARY, "completed", 1_000), "{}", cluster.job_state(ORDINARY));
    cluster.assert_no_violations();
}

/// From the 32nd job on that asked for a label of no server, no job of the queue started.
#[test]
fn jobs_behind_many_that_ask_for_an_unknown_label_start() {
    let mut cluster = cluster_behind("/a/", HOPELESS, &labelled("no-such-label"));
    assert_ordinary_job_completes(&mut cluster, "/a/");
}

/// The same for a label whose workers are all full.
#[test]
fn jobs_behind_many_that_wait_for_full_workers_start() {
    let mut cluster = Cluster::new(4);
    cluster.run_for_ms(1_500);
    let filling = Stage { constraint: "r1-0".to_owned(), est_runtime_ms: 20_000, ..stage(4_000) };
    cluster.send_job("/a/", FIRST_HOPELESS - 1, job(filling));
    assert!(cluster.run_until(1_000, |cluster| cluster.running() == 2));
    for number in 0..HOPELESS {
        cluster.send_job("/a/", FIRST_HOPELESS + number, job(labelled("r1-0")));
    }
    cluster.run_for_ms(500);
    assert_ordinary_job_completes(&mut cluster, "/a/");
}

/// The same for tasks and gangs that are larger than what is free in all workers together, which the scan skips
/// without a search.
#[test]
fn jobs_behind_many_that_need_more_than_there_is_start() {
    let mut cluster = cluster_behind("/a/", HOPELESS, &stage(1_000_000));
    assert_ordinary_job_completes(&mut cluster, "/a/");
    let gang = Stage { count: 50, gang: true, ..stage(1_000) };
    let mut cluster = cluster_behind("/a/", HOPELESS, &gang);
    assert_ordinary_job_completes(&mut cluster, "/a/");
}

/// The same for many more, each of them with a demand of its own.
#[test]
fn jobs_behind_thousands_of_hopeless_ones_start() {
    let mut cluster = cluster_behind("/a/", 1, &labelled("no-such-label"));
    for number in 1..1_000 {
        let own_demand = Stage { cpu: 500 + number, ..labelled("no-such-label") };
        cluster.send_job("/a/", FIRST_HOPELESS + number, job(own_demand));
    }
    cluster.run_for_ms(500);
    assert_ordinary_job_completes(&mut cluster, "/a/");
}

/// Work a pass does for hopeless steps must not grow with their number.
#[test]
fn blocked_steps_are_not_examined_again_without_cause() {
    let mut cluster = cluster_behind("/a/", 1_000, &labelled("no-such-label"));
    cluster.leader.as_mut().expect("a leader").take_work();
    for number in 0..20 {
        cluster.send_job("/a/", ORDINARY + 1 + number, job(stage(500)));
        cluster.run_for_ms(400);
    }
    let examined = cluster.leader.as_mut().expect("a leader").take_work().steps_examined;
    assert!(examined < 400, "{examined} steps examined for 20 jobs of two tasks");
}

/// Blocked steps of one demand are started one after another as capacity is freed, oldest first.
#[test]
fn waiting_jobs_of_one_demand_start_in_order_as_capacity_is_freed() {
    let mut cluster = Cluster::new(2);
    cluster.run_for_ms(1_500);
    for number in 0..60 {
        cluster.send_job("/a/", FIRST_HOPELESS + number, job(stage(4_000)));
    }
    assert!(cluster.run_until_state(FIRST_HOPELESS + 29, "completed", 12_000));
    let state = |number| cluster.job_state(FIRST_HOPELESS + number);
    assert!((0..29).all(|number| state(number) == "completed"), "an earlier job waits");
    assert_eq!(state(59), "pending");
    assert!(cluster.run_until_state(FIRST_HOPELESS + 59, "completed", 12_000));
    cluster.assert_no_violations();
}

/// A step that no worker could carry starts once a worker with its label has come.
#[test]
fn hopeless_jobs_start_once_a_worker_with_their_label_comes() {
    let mut cluster = cluster_behind("/a/", HOPELESS, &labelled("late-label"));
    cluster.add_worker("i-late", 40, 4_000);
    cluster.workers.get_mut("i-late").expect("the worker").instance.labels.push("late-label".to_owned());
    for number in 0..HOPELESS {
        let id = FIRST_HOPELESS + number;
        assert!(cluster.run_until_state(id, "completed", 12_000), "{number}: {}", cluster.job_state(id));
    }
    cluster.assert_no_violations();
}

/// Four steps of the highest priority that nothing can be preempted for ended preemption for all others.
#[test]
fn preemption_goes_on_behind_steps_that_it_cannot_help() {
    let mut cluster = cluster_behind("/u/", HOPELESS, &labelled("no-such-label"));
    let filling = Stage { count: 4, est_runtime_ms: 20_000, ..stage(4_000) };
    cluster.send_job("/a/", ORDINARY + 1, job(filling));
    assert!(cluster.run_until(1_000, |cluster| cluster.running() == 4));
    cluster.send_job("/u/", ORDINARY, job(stage(500)));
    assert!(cluster.run_until_state(ORDINARY, "completed", 2_000), "{}", cluster.job_state(ORDINARY));
    cluster.assert_no_violations();
}

/// A hopeless step at the head of a plan kept large steps behind it from getting capacity reserved.
#[test]
fn capacity_is_reserved_behind_hopeless_steps() {
    let mut cluster = Cluster::new(1);
    cluster.run_for_ms(1_500);
    cluster.send_job("/a/", FIRST_HOPELESS, job(labelled("no-such-label")));
    for number in 0..200 {
        if number == 40 {
            cluster.run_for_ms(300);
            let large = Stage { count: 1, ..stage(4_000) };
            cluster.send_job("/a/", ORDINARY, job(large));
        }
        let small = Stage { count: 1, est_runtime_ms: 500 + number % 7, ..stage(500) };
        cluster.send_job("/a/", ORDINARY + 1 + number, job(small));
    }
    // 40 small tasks of 0.5 s come before it, eight at a time.
    assert!(cluster.run_until_state(ORDINARY, "completed", 8_000), "{}", cluster.job_state(ORDINARY));
    cluster.assert_no_violations();
}

/// A worker that gains a label, or becomes larger, wakes the steps that it suits now.
#[test]
fn changed_properties_of_a_worker_wake_blocked_steps() {
    let mut cluster = cluster_behind("/a/", 1, &labelled("late-label"));
    cluster.send_job("/a/", ORDINARY, job(stage(6_000)));
    cluster.run_for_ms(500);
    cluster.workers.get_mut("i-1").expect("the worker").instance.labels.push("late-label".to_owned());
    cluster.workers.get_mut("i-2").expect("the worker").instance.available.cpu = 6_000;
    assert!(cluster.run_until_state(FIRST_HOPELESS, "completed", 4_000), "the labelled job waits");
    assert!(cluster.run_until_state(ORDINARY, "completed", 4_000), "the large job waits");
    cluster.assert_no_violations();
}

/// While the total capacity has grown by less than makes the shares be computed again, a task that fits on the only free
/// worker counted as larger than all that is free.
#[test]
fn task_starts_on_the_last_free_worker_after_a_small_growth_of_the_service() {
    let mut cluster = Cluster::new(10);
    cluster.run_for_ms(1_500);
    cluster.add_worker("i-late", 40, 4_000);
    cluster.run_for_ms(2_500);
    let whole_worker = Stage { count: 1, est_runtime_ms: 60_000, ..stage(4_000) };
    for number in 0..10 {
        cluster.send_job("/a/", FIRST_HOPELESS + number, job(whole_worker.clone()));
    }
    assert!(cluster.run_until(1_000, |cluster| cluster.running() == 10));
    cluster.send_job("/a/", ORDINARY, job(whole_worker));
    assert!(cluster.run_until(1_000, |cluster| cluster.running() == 11), "{}", cluster.job_state(ORDINARY));
    cluster.assert_no_violations();
}
