//! Cost of a leader's turns with many workers, counted in units of work that do not depend on the machine.

mod cluster;

use std::collections::BTreeMap;

use cluster::{configuration, settings, HOST, MS};
use configuration::{Instance, WorkerResources};
use messages::job::{EndKind, JobSpec, Stage, WorkerEnd};
use messages::peer::mod_ClientRequest::OneOfcall;
use messages::peer::{ClientRequest, SubmitRequest};
use scheduler::ids::AttemptKey;
use scheduler::leader::{CallId, Input, Leader, LeaderSettings, LeaderWork, Output};
use scheduler::state::State;
use scheduler::worker::{CallOutcome, RunningEntry, WorkerRequest};

const WORKERS: usize = 1_100;
const DAY_START_MS: u64 = 1_700_000_000_000;
/// Lease of the leader, longer than any of these tests.
const LEADER_LEASE_NS: u64 = 3_600_000 * MS;
/// Two thirds of a worker's memory, so that a worker has capacity for one task only.
const TASK_MEM_MB: u64 = 8_000;
const WORKER_MEM_MB: u64 = 12_000;
const STEPS_PER_JOB: usize = 5;
const TASKS_PER_STEP: u32 = 4;
/// Prefixes of the routes, with their priorities.
const ROUTES: [(&str, u32); 4] = [("/a/", 1), ("/b/", 2), ("/c/", 3), ("/d/", 4)];
/// Labels of the workers: the first for even numbers, the second for odd numbers.
const KINDS: [&str; 2] = ["first-kind", "second-kind"];

/// A lease renewal that a worker holds as a long poll until there is an end to report.
#[derive(Debug, Clone, Copy)]
struct LeaseRenewal {
    call: CallId,
    until: u64,
}

/// A modelled worker.
#[derive(Debug, Default)]
struct Worker {
    kind: String,
    lease_renewal: Option<LeaseRenewal>,
    running: Vec<AttemptKey>,
    finished: Vec<WorkerEnd>,
}

/// A leader with a log that commits at once and workers that answer at once, except lease renewals, which are
/// answered when their wait is over.
struct LargeCluster {
    now: u64,
    state: State,
    leader: Leader,
    workers: BTreeMap<String, Worker>,
    jobs: u64,
    starts: usize,
}

fn instance(number: usize) -> Instance {
    Instance {
        id: format!("i-{number}"),
        service: "service".to_owned(),
        address: format!("10.9.{}.{}:80", number / 250, number % 250),
        zone: "z".to_owned(),
        version: "v1".to_owned(),
        capacity: 8,
        draining: false,
        warmup_left_ms: 0,
        available: WorkerResources { cpu: 8_000, mem_mb: WORKER_MEM_MB, gpu: 0 },
        labels: vec![KINDS[number % 2].to_owned(), format!("r1-{}", number / 20)],
        remaining_ms: None,
    }
}

impl LargeCluster {
    /// A leader that has got a list of all workers and an answer from each.
    fn new(workers: usize) -> Self {
        let now = 1_000 * MS;
        let state = State::new();
        let settings = LeaderSettings { max_open_tasks: 1_000_000, ..settings() };
        let leader = Leader::new(1, settings, &state, now, 1);
        let mut cluster = LargeCluster { now, state, leader, workers: BTreeMap::new(), jobs: 0, starts: 0 };
        cluster.leader.set_lease(now, now + LEADER_LEASE_NS);
        let body = configuration(1, &ROUTES);
        cluster.process_turn(vec![Input::Tick { time_of_day_ms: DAY_START_MS }]);
        cluster.process_turn(vec![Input::PutConfiguration { token: 0, if_match: Some(0), body }]);
        let instances: Vec<Instance> = (0..workers).map(instance).collect();
        let worker = |listed: &Instance| Worker { kind: listed.labels[0].clone(), ..Worker::default() };
        cluster.workers = instances.iter().map(|listed| (listed.id.clone(), worker(listed))).collect();
        let instances = instances.into();
        cluster.process_turn(vec![Input::Instances {
            instances,
            as_of: u64::MAX,
            has_changed: true,
            is_last: true,
        }]);
        let lists: Vec<Input> = cluster.workers.values_mut().filter_map(|worker| worker.lists(now)).collect();
        cluster.process_turn(lists);
        cluster
    }

    /// Handles these inputs in one turn, and the inputs that result from them in further turns.
    fn process_turn(&mut self, inputs: Vec<Input>) {
        let mut inputs = inputs;
        while !inputs.is_empty() {
            let mut out = Vec::new();
            for input in inputs.drain(..) {
                self.leader.handle(&self.state, self.now, input, &mut out);
            }
            self.leader.flush(&self.state, self.now, &mut out);
            for output in out {
                inputs.extend(self.handle_output(output));
            }
        }
    }

    /// Processes turns of 2 ms in which only ticks and answers to due lease renewals arrive.
    fn run_idle_turns(&mut self, turns: usize) {
        for _ in 0..turns {
            self.now += 2 * MS;
            let now = self.now;
            let mut inputs = vec![Input::Tick { time_of_day_ms: DAY_START_MS + now / MS }];
            let due = |worker: &&mut Worker| worker.lease_renewal.is_some_and(|waiting| waiting.until <= now);
            inputs.extend(self.workers.values_mut().filter(due).filter_map(|worker| worker.lists(now)));
            self.process_turn(inputs);
        }
    }

    /// Executes an output. Returns the input that results from it, if any.
    fn handle_output(&mut self, output: Output) -> Option<Input> {
        match output {
            Output::Propose { batch } => {
                Some(Input::BatchApplied { changes: self.state.apply(&batch), batch })
            }
            Output::Call { call, instance, request, .. } => self.call(call, &instance, &request),
            _ => None,
        }
    }

    fn call(&mut self, call: CallId, instance: &str, request: &WorkerRequest) -> Option<Input> {
        let worker = self.workers.get_mut(instance).expect("the worker is listed");
        match request {
            WorkerRequest::RenewLease { last_seen, wait_ms, .. } => {
                worker.lease_renewal = Some(LeaseRenewal { call, until: self.now + wait_ms * MS });
                worker.finished.retain(|end| end.sequence > *last_seen);
                return None;
            }
            WorkerRequest::Start { key, .. } => worker.running.push(*key),
            WorkerRequest::Stop { .. } => panic!("unexpected stop"),
        }
        self.starts += 1;
        Some(Input::CallFinished { call, outcome: CallOutcome::Answer { now_ms: self.now / MS } })
    }

    /// Submits jobs with `steps` steps in total, `STEPS_PER_JOB` each, on all routes in turn, and runs 50
    /// turns. The tasks require workers of a kind if `kind` is given.
    fn submit(&mut self, steps: usize, kind: Option<&str>) {
        let inputs = self.submissions(steps, kind);
        inputs.into_iter().for_each(|input| self.process_turn(vec![input]));
        self.run_idle_turns(50);
    }

    fn submissions(&mut self, steps: usize, kind: Option<&str>) -> Vec<Input> {
        let stage = Stage {
            count: TASKS_PER_STEP,
            cpu: 1_000,
            mem_mb: TASK_MEM_MB,
            est_runtime_ms: 60_000,
            constraint: kind.unwrap_or_default().to_owned(),
            ..Stage::default()
        };
        let stages = vec![stage; STEPS_PER_JOB];
        let mut inputs = Vec::new();
        for (prefix, _) in ROUTES.into_iter().cycle().take(steps / STEPS_PER_JOB) {
            self.jobs += 1;
            let job = JobSpec { spec: "text".to_owned(), stages: stages.clone(), ..JobSpec::default() };
            let path = format!("{prefix}{:016x}", self.jobs);
            let call = OneOfcall::submit(SubmitRequest { id: self.jobs, job: Some(job) });
            let host = HOST.to_owned();
            let request = ClientRequest { request_id: self.jobs, host, path, time_left_ms: 3_000, call };
            inputs.push(Input::Client { token: self.jobs, request });
        }
        inputs
    }

    /// Ends one attempt on each of the first `count` workers of a kind. The leader gets all lists in one
    /// turn.
    fn end_attempts(&mut self, kind: &str, count: usize) {
        let is_of_kind = |worker: &&mut Worker| worker.kind == kind && !worker.running.is_empty();
        let busy = self.workers.values_mut().filter(is_of_kind);
        let now = self.now;
        let lists: Vec<Input> = busy.take(count).filter_map(|worker| worker.end_attempt(now)).collect();
        assert_eq!(lists.len(), count);
        self.process_turn(lists);
        self.run_idle_turns(20);
    }

    fn waiting_steps(&self) -> usize {
        self.leader.load_report(self.now).waiting_steps
    }
}

impl Worker {
    /// Answers the waiting lease renewal. Returns `None` if no lease renewal waits.
    fn lists(&mut self, now: u64) -> Option<Input> {
        let LeaseRenewal { call, .. } = self.lease_renewal.take()?;
        let entry = |key: &AttemptKey| RunningEntry { key: *key, checkpoint: String::new(), percent: 1 };
        let running = self.running.iter().map(entry).collect();
        let outcome = CallOutcome::Lists { now_ms: now / MS, running, finished: self.finished.clone() };
        Some(Input::CallFinished { call, outcome })
    }

    /// Ends an attempt and answers the waiting lease renewal.
    fn end_attempt(&mut self, now: u64) -> Option<Input> {
        let key = self.running.pop()?;
        self.finished.push(WorkerEnd {
            sequence: self.finished.last().map_or(1, |end| end.sequence + 1),
            task: Some(key.task.into()),
            attempt: key.attempt,
            kind: EndKind::DONE,
            checkpoint: String::new(),
            counted: false,
        });
        self.lists(now)
    }
}

/// Returns the leader's work for `ends` ended attempts on workers of the first kind, while no worker has free
/// capacity and `waiting_steps` steps wait. Half of these steps require the second kind, on which no attempt
/// ends.
fn work_for_ended_attempts(waiting_steps: usize, ends: usize) -> LeaderWork {
    let mut cluster = LargeCluster::new(WORKERS);
    cluster.submit(WORKERS / TASKS_PER_STEP as usize, None);
    assert_eq!(cluster.starts, WORKERS, "each worker runs a task");
    for _ in 0..waiting_steps / 100 {
        cluster.submit(50, None);
        cluster.submit(50, Some(KINDS[1]));
    }
    assert_eq!((cluster.waiting_steps(), cluster.starts), (waiting_steps, WORKERS));
    cluster.leader.take_work();
    cluster.end_attempts(KINDS[0], ends);
    let started = cluster.starts - WORKERS;
    assert!(
        started + 1 >= ends,
        "{started} starts after {ends} ends: at most one worker may be reserved for a step"
    );
    cluster.leader.take_work()
}

#[test]
fn backlog_does_not_raise_the_cost_of_finished_attempts() {
    const ENDS: usize = 50;
    let few = work_for_ended_attempts(100, ENDS);
    let many = work_for_ended_attempts(2_500, ENDS);
    // Fewer than one examination of each worker per end.
    assert!(
        many.workers_examined < (ENDS * WORKERS) as u64,
        "{many:?} with many waiting steps, {few:?} with few"
    );
    assert!(
        many.workers_examined < 2 * few.workers_examined,
        "{many:?} with many waiting steps, {few:?} with few"
    );
}

#[test]
fn spreads_the_starts_of_a_burst_over_several_turns() {
    const STARTS_PER_TURN: usize = 128;
    const MAX_TURNS: usize = 64;
    let mut cluster = LargeCluster::new(WORKERS);
    let burst = cluster.submissions(WORKERS / TASKS_PER_STEP as usize, None);
    // All inputs at the same time belong to one turn.
    cluster.process_turn(burst);
    let mut before = cluster.starts;
    assert!((1..=STARTS_PER_TURN).contains(&before), "{before} starts in the first turn");
    // Some turns only poll sessions and start nothing.
    for _ in 0..MAX_TURNS {
        cluster.run_idle_turns(1);
        let started = cluster.starts - before;
        assert!(started <= STARTS_PER_TURN, "{started} starts in a turn, {before} before");
        before = cluster.starts;
    }
    assert_eq!(cluster.waiting_steps(), 0, "all steps start within {MAX_TURNS} turns");
    assert_eq!(cluster.starts, WORKERS);
}
