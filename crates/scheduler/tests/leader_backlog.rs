//! What a turn of a large fleet's leader costs, in units of work that do not depend on the machine.

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
/// Longer than any of these plays.
const LEASE: u64 = 3_600_000 * MS;
/// Two thirds of a worker's memory: each takes one task, and what is left fits no other.
const TASK_MEM_MB: u64 = 8_000;
const WORKER_MEM_MB: u64 = 12_000;
const STEPS_PER_JOB: usize = 5;
const TASKS_PER_STEP: u32 = 4;
/// Prefixes of the routes, with their priorities.
const ROUTES: [(&str, u32); 4] = [("/a/", 1), ("/b/", 2), ("/c/", 3), ("/d/", 4)];
/// The kinds of workers, by turns.
const KINDS: [&str; 2] = ["first-kind", "second-kind"];

/// A lease renewal that waits for an end.
#[derive(Debug, Clone, Copy)]
struct LeaseRenewal {
    call: CallId,
    until: u64,
}

/// What a worker of the model runs and has listed.
#[derive(Debug, Default)]
struct Worker {
    kind: String,
    lease_renewal: Option<LeaseRenewal>,
    running: Vec<AttemptKey>,
    finished: Vec<WorkerEnd>,
}

/// A leader, a log that commits at once, and workers that answer at once, lease renewals after their wait.
struct Site {
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

impl Site {
    /// A leader that knows all workers and has been answered by each.
    fn new(workers: usize) -> Self {
        let now = 1_000 * MS;
        let state = State::new();
        let settings = LeaderSettings { max_open_tasks: 1_000_000, ..settings() };
        let leader = Leader::new(1, settings, &state, now, 1);
        let mut site = Site { now, state, leader, workers: BTreeMap::new(), jobs: 0, starts: 0 };
        site.leader.set_lease(now, now + LEASE);
        let body = configuration(1, &ROUTES);
        site.turn(vec![Input::Tick { time_of_day_ms: DAY_START_MS }]);
        site.turn(vec![Input::PutConfiguration { token: 0, if_match: Some(0), body }]);
        let instances: Vec<Instance> = (0..workers).map(instance).collect();
        let worker = |listed: &Instance| Worker { kind: listed.labels[0].clone(), ..Worker::default() };
        site.workers = instances.iter().map(|listed| (listed.id.clone(), worker(listed))).collect();
        let instances = instances.into();
        site.turn(vec![Input::Instances { instances, as_of: u64::MAX, has_changed: true, is_last: true }]);
        let lists: Vec<Input> = site.workers.values_mut().filter_map(|worker| worker.lists(now)).collect();
        site.turn(lists);
        site
    }

    /// Handles these inputs in one turn, and what follows from them in the next ones.
    fn turn(&mut self, inputs: Vec<Input>) {
        let mut inputs = inputs;
        while !inputs.is_empty() {
            let mut out = Vec::new();
            for input in inputs.drain(..) {
                self.leader.handle(&self.state, self.now, input, &mut out);
            }
            self.leader.flush(&self.state, self.now, &mut out);
            for output in out {
                inputs.extend(self.carry_out(output));
            }
        }
    }

    /// Turns at which only time passes and lease renewals without an end are answered.
    fn idle_turns(&mut self, turns: usize) {
        for _ in 0..turns {
            self.now += 2 * MS;
            let now = self.now;
            let mut inputs = vec![Input::Tick { time_of_day_ms: DAY_START_MS + now / MS }];
            let due = |worker: &&mut Worker| worker.lease_renewal.is_some_and(|waiting| waiting.until <= now);
            inputs.extend(self.workers.values_mut().filter(due).filter_map(|worker| worker.lists(now)));
            self.turn(inputs);
        }
    }

    /// Carries an output out; gives the input that follows at once.
    fn carry_out(&mut self, output: Output) -> Option<Input> {
        match output {
            Output::Propose { batch } => {
                Some(Input::BatchApplied { changes: self.state.apply(&batch), batch })
            }
            Output::Call { call, instance, request, .. } => self.call(call, &instance, &request),
            _ => None,
        }
    }

    fn call(&mut self, call: CallId, instance: &str, request: &WorkerRequest) -> Option<Input> {
        let worker = self.workers.get_mut(instance).expect("a listed worker");
        match request {
            WorkerRequest::RenewLease { last_seen, wait_ms, .. } => {
                worker.lease_renewal = Some(LeaseRenewal { call, until: self.now + wait_ms * MS });
                worker.finished.retain(|end| end.sequence > *last_seen);
                return None;
            }
            WorkerRequest::Start { key, .. } => worker.running.push(*key),
            WorkerRequest::Stop { .. } => panic!("nothing is stopped here"),
        }
        self.starts += 1;
        Some(Input::CallFinished { call, outcome: CallOutcome::Answer { now_ms: self.now / MS } })
    }

    /// Submits jobs of `STEPS_PER_JOB` steps, on all routes by turns, until so many steps are submitted, and
    /// lets the leader admit what it can. The tasks ask for workers of a kind, or for any.
    fn submit(&mut self, steps: usize, kind: Option<&str>) {
        let inputs = self.submissions(steps, kind);
        inputs.into_iter().for_each(|input| self.turn(vec![input]));
        self.idle_turns(50);
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

    /// One attempt ends at each of the first `count` workers of a kind; the leader gets their lists in one
    /// turn.
    fn end_attempts(&mut self, kind: &str, count: usize) {
        let is_of_kind = |worker: &&mut Worker| worker.kind == kind && !worker.running.is_empty();
        let busy = self.workers.values_mut().filter(is_of_kind);
        let now = self.now;
        let lists: Vec<Input> = busy.take(count).filter_map(|worker| worker.end_one(now)).collect();
        assert_eq!(lists.len(), count);
        self.turn(lists);
        self.idle_turns(20);
    }

    fn waiting_steps(&self) -> usize {
        self.leader.load_report(self.now).waiting_steps
    }
}

impl Worker {
    /// The answer to the lease renewal that waits.
    fn lists(&mut self, now: u64) -> Option<Input> {
        let LeaseRenewal { call, .. } = self.lease_renewal.take()?;
        let entry = |key: &AttemptKey| RunningEntry { key: *key, checkpoint: String::new(), percent: 1 };
        let running = self.running.iter().map(entry).collect();
        let outcome = CallOutcome::Lists { now_ms: now / MS, running, finished: self.finished.clone() };
        Some(Input::CallFinished { call, outcome })
    }

    /// Ends an attempt, and answers the lease renewal that waits.
    fn end_one(&mut self, now: u64) -> Option<Input> {
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

/// The work of so many ends on workers of the first kind while the fleet is full. Of the steps that wait,
/// half ask for the second kind, on which nothing ends.
fn work_of_ends(waiting_steps: usize, ends: usize) -> LeaderWork {
    let mut site = Site::new(WORKERS);
    site.submit(WORKERS / TASKS_PER_STEP as usize, None);
    assert_eq!(site.starts, WORKERS, "the fleet is full");
    for _ in 0..waiting_steps / 100 {
        site.submit(50, None);
        site.submit(50, Some(KINDS[1]));
    }
    assert_eq!((site.waiting_steps(), site.starts), (waiting_steps, WORKERS));
    site.leader.take_work();
    site.end_attempts(KINDS[0], ends);
    let started = site.starts - WORKERS;
    assert!(started + 1 >= ends, "{started} of {ends}: one worker at most is reserved for a step");
    site.leader.take_work()
}

#[test]
fn a_backlog_does_not_raise_the_cost_of_a_finished_attempt() {
    const ENDS: usize = 50;
    let few = work_of_ends(100, ENDS);
    let many = work_of_ends(2_500, ENDS);
    // Less than one look at each worker for each end.
    assert!(many.workers_examined < (ENDS * WORKERS) as u64, "{many:?} beside {few:?}");
    assert!(many.workers_examined < 2 * few.workers_examined, "{many:?} beside {few:?}");
}

#[test]
fn a_burst_of_jobs_is_started_over_several_turns() {
    const STARTS_PER_TURN: usize = 128;
    const MAX_TURNS: usize = 64;
    let mut site = Site::new(WORKERS);
    let burst = site.submissions(WORKERS / TASKS_PER_STEP as usize, None);
    // All that follows at the same time belongs to one turn.
    site.turn(burst);
    let mut before = site.starts;
    assert!((1..=STARTS_PER_TURN).contains(&before), "{before} in the first turn");
    // Turns that only poll sessions lie between those that start something.
    for _ in 0..MAX_TURNS {
        site.idle_turns(1);
        let started = site.starts - before;
        assert!(started <= STARTS_PER_TURN, "{started} in a turn, {before} before it");
        before = site.starts;
    }
    assert_eq!(site.waiting_steps(), 0, "all are started within {MAX_TURNS} turns");
    assert_eq!(site.starts, WORKERS);
}
