//! A small cluster in simulated time: a leader, a log that commits after a while, and modelled workers. Each start is
//! checked against the rules of the pages.

#![allow(dead_code)]

mod lateness;
mod requests;
mod rules;
pub mod worker;

use std::collections::{BTreeMap, BTreeSet};

use configuration::Instance;
use messages::job::{CommandBatch, EndKind, JobSpec, Stage};
use messages::peer::ClientReply;
use scheduler::ids::{AttemptKey, TaskKey};
use scheduler::leader::{CallId, ConfigurationReply, Input, Leader, LeaderSettings, Mechanisms, Output};
use scheduler::state::State;
use scheduler::worker::{CallOutcome, WorkerRequest};

pub use worker::{ModelWorker, MS};

const LATENCY: u64 = 2 * MS;
const COMMIT: u64 = 6 * MS;
const LIST: u64 = 20 * MS;
/// How long a start is held back that is withheld in the end.
const HELD_BACK: u64 = 200 * MS;
/// The longest delay of a call.
const LATEST: u64 = 4_000 * MS;
/// Time between two rounds of the log's heartbeats, which renew the lease.
const HEARTBEAT: u64 = 100 * MS;
/// How long a leader's lease lasts after the responses of a majority.
const LEASE: u64 = 400 * MS;
/// How long a gang's member waits for the others.
const GANG: u64 = 3_000 * MS;
/// Time of day at the start of the steady clock, in ms.
pub const DAY_START_MS: u64 = 1_700_000_000_000;
pub const HOST: &str = "host.example";

/// What happens at a time.
#[derive(Debug, Clone)]
enum Event {
    Tick,
    Heartbeat { term: u64 },
    Commit { term: u64, batch: CommandBatch },
    List { term: u64, asked_at: u64 },
    Arrive { term: u64, call: CallId, instance: String, request: WorkerRequest },
    LeaseRenewalDue { term: u64, call: CallId, instance: String },
    Answer { term: u64, call: CallId, outcome: CallOutcome },
    RunOver { instance: String, key: AttemptKey },
    Alone { instance: String, key: AttemptKey },
    ReadUntil { term: u64, at: u64 },
}

/// An end `done` as the worker saw it.
#[derive(Debug, Clone)]
struct DoneEnd {
    key: AttemptKey,
    at: u64,
    instance: String,
    /// Whether it was acknowledged to the worker before its lease expired.
    acknowledged: bool,
}

/// A lease renewal that waits at a worker for an end.
#[derive(Debug, Clone)]
struct WaitingLeaseRenewal {
    term: u64,
    call: CallId,
    instance: String,
    last_seen: u64,
}

pub struct Cluster {
    pub now: u64,
    pub state: State,
    pub leader: Option<Leader>,
    pub term: u64,
    pub workers: BTreeMap<String, ModelWorker>,
    pub replies: BTreeMap<u64, ClientReply>,
    pub configuration_replies: BTreeMap<u64, ConfigurationReply>,
    /// Ends `done` that took place, by task.
    pub done: BTreeSet<TaskKey>,
    /// How often each task began to run.
    pub runs: BTreeMap<TaskKey, u32>,
    /// Jobs all of whose runs fail.
    pub poisoned: BTreeSet<u64>,
    pub broken_rules: Vec<String>,
    pub calls: u64,
    /// How many of a hundred calls are lost, lose their response, or arrive late.
    pub loss_percent: u8,
    /// Whether the leader hears from a majority.
    pub has_lease: bool,
    /// Runs of gangs that ended since not all members started.
    pub alone: u32,
    /// Whether all answers of workers are lost on their way.
    pub loses_answers: bool,
    /// How long the platform's list takes to come.
    pub list_delay: u64,
    /// Whether starts are held back and withheld in the end, as by a driver that is late.
    pub withholds_starts: bool,
    /// Which worker a run began on, and when.
    pub run_starts: Vec<(String, u64)>,
    /// A late leader handles what comes only at multiples of this time; 0: at once.
    pub leader_period: u64,
    random: fastrand::Rng,
    jobs: BTreeMap<u64, JobSpec>,
    done_ends: Vec<DoneEnd>,
    starts: Vec<(AttemptKey, u64)>,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    next_token: u64,
    lease_renewals: Vec<WaitingLeaseRenewal>,
    /// The list that the leader of a term got last.
    reported_list: Option<(u64, Vec<Instance>)>,
}

pub fn settings() -> LeaderSettings {
    LeaderSettings {
        worker_lease_ms: 6_000,
        max_worker_lease_ms: 6_000,
        long_poll_wait_ms: 400,
        call_timeout_ms: 600,
        max_order_calls: 4,
        stop_ms: 400,
        drain_ms: 3_000,
        gang_ms: 3_000,
        restore_ms: 250,
        far_factor: 1.5,
        list_interval_ms: 1_000,
        max_open_tasks: 5_000,
        mechanisms: Mechanisms::default(),
    }
}

pub fn configuration(version: u64, prefixes: &[(&str, u32)]) -> Vec<u8> {
    let route = |(prefix, priority): &(&str, u32)| {
        format!(
            "{{\"Name\":\"r{prefix}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{prefix}\",\"RouteType\":\"non_idempotent\",\
             \"TimeoutMs\":3000,\"TargetLatencyMs\":1000,\"Priority\":{priority},\"Backend\":\"service\",\
             \"MaxRetries\":3,\"Stretch\":2.0}}"
        )
    };
    let routes: Vec<String> = prefixes.iter().map(route).collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Backends\":[{{\"Name\":\"service\",\"HealthCheck\":\"/\",\
         \"MaxConnections\":64,\"Protocol\":\"h1\",\"Tls\":false,\"Guards\":false}}],\"Limits\":{{}}}}",
        routes.join(",")
    )
    .into_bytes()
}

impl Cluster {
    /// Workers of four cores each, a leader, and a configuration with the prefixes `/a/` (priority 1) and `/u/` (0).
    pub fn new(workers: usize) -> Self {
        let mut cluster = Self::without_configuration(workers);
        let reply = cluster.configure(configuration(1, &[("/a/", 1), ("/u/", 0)]), Some(0));
        assert_eq!(reply, Some(ConfigurationReply::Accepted));
        cluster
    }

    pub fn without_configuration(workers: usize) -> Self {
        let mut cluster = Self {
            now: 1_000 * MS,
            state: State::new(),
            leader: None,
            term: 0,
            workers: BTreeMap::new(),
            replies: BTreeMap::new(),
            configuration_replies: BTreeMap::new(),
            done: BTreeSet::new(),
            runs: BTreeMap::new(),
            poisoned: BTreeSet::new(),
            broken_rules: Vec::new(),
            calls: 0,
            loss_percent: 0,
            has_lease: true,
            alone: 0,
            loses_answers: false,
            list_delay: LIST,
            withholds_starts: false,
            run_starts: Vec::new(),
            leader_period: 0,
            random: fastrand::Rng::with_seed(7),
            jobs: BTreeMap::new(),
            done_ends: Vec::new(),
            starts: Vec::new(),
            events: BTreeMap::new(),
            next_event: 0,
            next_token: 0,
            lease_renewals: Vec::new(),
            reported_list: None,
        };
        for number in 0..workers {
            cluster.add_worker(&format!("i-{number}"), number, 4_000);
        }
        cluster.elect();
        cluster
    }

    pub fn add_worker(&mut self, id: &str, number: usize, cpu: u64) {
        self.workers.insert(id.to_owned(), ModelWorker::new(id, number, cpu));
    }

    /// The leader crashes, with everything it proposed that is not committed, and another one starts.
    pub fn elect(&mut self) {
        self.term += 1;
        let term = self.term;
        self.events.retain(|_, event| !matches!(event, Event::Commit { .. }));
        self.leader = Some(Leader::new(term, settings(), &self.state, self.now, term));
        self.at(self.now, Event::Heartbeat { term });
        self.handle(Input::Tick { time_of_day_ms: self.time_of_day_ms() });
    }

    pub fn time_of_day_ms(&self) -> u64 {
        DAY_START_MS + self.now / MS
    }

    fn at(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    fn handle(&mut self, input: Input) {
        let Some(leader) = self.leader.as_mut() else { return };
        let mut out = Vec::new();
        leader.handle(&self.state, self.now, input, &mut out);
        self.flush(out);
    }

    /// Hands in a page of the list with this instance alone, of a list that is not complete.
    pub fn hand_in_page(&mut self, instance: Instance) {
        let (instances, as_of) = ([instance].into(), self.now);
        self.handle(Input::Instances { instances, as_of, has_changed: true, is_last: false });
    }

    /// When runs began on a worker.
    pub fn starts_on(&self, instance: &str) -> Vec<u64> {
        self.run_starts.iter().filter(|(worker, _)| worker == instance).map(|(_, at)| *at).collect()
    }

    /// Sets the lease and lets the leader propose, as the driver does once a turn.
    pub fn flush(&mut self, mut out: Vec<Output>) {
        let Some(leader) = self.leader.as_mut() else { return };
        if self.has_lease {
            leader.set_lease(self.now, self.now + LEASE);
        }
        leader.flush(&self.state, self.now, &mut out);
        let awaits_input = leader.awaits_input();
        for output in out {
            self.output(output);
        }
        if awaits_input {
            self.at(self.now, Event::ReadUntil { term: self.term, at: self.now });
        }
    }

    fn output(&mut self, output: Output) {
        let (now, term) = (self.now, self.term);
        match output {
            Output::Propose { batch } => self.at(now + COMMIT, Event::Commit { term, batch }),
            Output::Reply { token, reply } => {
                assert!(self.replies.insert(token, reply).is_none(), "token {token} was answered twice");
            }
            Output::ConfigurationReply { token, reply } => {
                assert!(
                    self.configuration_replies.insert(token, reply).is_none(),
                    "order {token} was answered twice"
                );
            }
            Output::Call { call, instance, request, .. } => {
                self.calls += 1;
                if let Err(error) = self.state.check_call(&instance, &request) {
                    self.broken_rules.push(format!("UNBACKED: {error}"));
                }
                if self.withholds_starts && matches!(request, WorkerRequest::Start { .. }) {
                    let outcome = CallOutcome::Withheld;
                    return self.at(now + HELD_BACK, Event::Answer { term, call, outcome });
                }
                let arrive = Event::Arrive { term, call, instance, request };
                match self.random.u8(..100) {
                    luck if luck >= self.loss_percent => self.at(now + LATENCY, arrive),
                    luck if luck % 2 == 0 => {}
                    _ => {
                        let late = self.random.u64(0..LATEST);
                        self.at(now + late, arrive);
                    }
                }
            }
            Output::CancelCall { call } => {
                self.lease_renewals.retain(|lease_renewal| lease_renewal.call != call);
            }
            Output::ReadInstances => self.at(now + self.list_delay, Event::List { term, asked_at: now }),
            Output::WakeAt { at } => self.at(at.max(now), Event::Tick),
        }
    }

    /// Plays until `until` says so, or for `limit_ms` at most. Returns whether it said so.
    pub fn run_until(&mut self, limit_ms: u64, until: impl Fn(&Self) -> bool) -> bool {
        let limit = self.now + limit_ms * MS;
        while !until(self) {
            let Some(((at, number), event)) = self.events.pop_first() else { return false };
            if at > limit {
                self.events.insert((at, number), event);
                self.now = limit;
                return until(self);
            }
            self.now = self.now.max(at);
            match self.leader_handles_at(&event) {
                later if later > self.now => self.at(later, event),
                _ => self.play(event),
            }
        }
        true
    }

    pub fn seed(&mut self, seed: u64) {
        self.random = fastrand::Rng::with_seed(seed);
    }

    pub fn run(&mut self, ms: u64) {
        self.run_until(ms, |_| false);
    }

    /// When the leader handles an event that is due now, if it is one for the leader.
    fn leader_handles_at(&self, event: &Event) -> u64 {
        let is_for_leader =
            matches!(event, Event::Tick | Event::Commit { .. } | Event::List { .. } | Event::Answer { .. });
        match is_for_leader && self.leader_period > 0 {
            true => self.now.next_multiple_of(self.leader_period),
            false => self.now,
        }
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::Tick => self.handle(Input::Tick { time_of_day_ms: self.time_of_day_ms() }),
            Event::Heartbeat { term } if term == self.term => {
                self.flush(Vec::new());
                self.at(self.now + HEARTBEAT, Event::Heartbeat { term });
            }
            Event::Commit { term, batch } if term == self.term => {
                let changes = self.state.apply(&batch);
                self.handle(Input::BatchApplied { changes, batch });
            }
            Event::List { term, asked_at } if term == self.term => {
                let listed = self.workers.values().filter(|worker| worker.up);
                let instances: Vec<Instance> = listed.map(|worker| worker.instance.clone()).collect();
                let reported = Some((term, instances.clone()));
                let has_changed = self.reported_list != reported;
                self.reported_list = reported;
                let instances = instances.into();
                self.handle(Input::Instances { instances, as_of: asked_at, has_changed, is_last: true });
            }
            Event::Arrive { term, call, instance, request } => self.arrive(term, call, instance, request),
            Event::LeaseRenewalDue { term, call, instance } => {
                if self
                    .lease_renewals
                    .iter()
                    .any(|lease_renewal| lease_renewal.call == call && lease_renewal.term == term)
                {
                    self.lease_renewals
                        .retain(|lease_renewal| lease_renewal.call != call || lease_renewal.term != term);
                    self.answer_lease_renewal(term, call, &instance);
                }
            }
            Event::Answer { term, call, outcome } if term == self.term => {
                self.handle(Input::CallFinished { call, outcome });
            }
            Event::ReadUntil { term, at } if term == self.term => self.handle(Input::ReadUntil { at }),
            Event::RunOver { instance, key } => self.run_over(&instance, key),
            Event::Alone { instance, key } => self.alone(&instance, key),
            Event::Heartbeat { .. }
            | Event::Commit { .. }
            | Event::List { .. }
            | Event::Answer { .. }
            | Event::ReadUntil { .. } => {}
        }
    }

    fn arrive(&mut self, term: u64, call: CallId, instance: String, request: WorkerRequest) {
        let now = self.now;
        if self.workers.get(&instance).is_some_and(|worker| worker.mute) {
            return;
        }
        let Some(worker) = self.workers.get_mut(&instance).filter(|worker| worker.up) else {
            // Nothing listens there any longer.
            return self.at(now + LATENCY, Event::Answer { term, call, outcome: CallOutcome::NotSent });
        };
        let (outcome, started) = worker.call(now, &request);
        if let WorkerRequest::RenewLease { last_seen, .. } = &request {
            let taken = matches!(outcome, CallOutcome::Lists { .. });
            self.acknowledge_ends(&instance, if taken { *last_seen } else { 0 });
        }
        self.break_gangs();
        if let Some(key) = started {
            self.started(&instance, key);
        }
        if let WorkerRequest::RenewLease { last_seen, wait_ms, .. } = request {
            let quiet =
                self.workers.get(&instance).is_some_and(|worker| !worker.has_unacknowledged_ends(last_seen));
            if quiet && wait_ms > 0 && matches!(outcome, CallOutcome::Lists { .. }) {
                self.lease_renewals.push(WaitingLeaseRenewal {
                    term,
                    call,
                    instance: instance.clone(),
                    last_seen,
                });
                return self.at(now + wait_ms * MS, Event::LeaseRenewalDue { term, call, instance });
            }
        }
        self.answer(term, call, outcome);
        self.wake_lease_renewals(&instance);
    }

    /// An answer comes back, or is lost.
    fn answer(&mut self, term: u64, call: CallId, outcome: CallOutcome) {
        if self.random.u8(..100) >= self.loss_percent / 2 && !self.loses_answers {
            self.at(self.now + LATENCY, Event::Answer { term, call, outcome });
        }
    }

    fn answer_lease_renewal(&mut self, term: u64, call: CallId, instance: &str) {
        let Some(worker) = self.workers.get(instance).filter(|worker| worker.up) else { return };
        let outcome = worker.lists(self.now);
        self.answer(term, call, outcome);
    }

    /// Answers the lease renewals that waited for an end.
    fn wake_lease_renewals(&mut self, instance: &str) {
        let Some(worker) = self.workers.get(instance) else { return };
        let is_due = |lease_renewal: &WaitingLeaseRenewal| {
            lease_renewal.instance == instance && worker.has_unacknowledged_ends(lease_renewal.last_seen)
        };
        let due: Vec<WaitingLeaseRenewal> =
            self.lease_renewals.iter().filter(|lease_renewal| is_due(lease_renewal)).cloned().collect();
        for lease_renewal in due {
            self.lease_renewals
                .retain(|other| other.call != lease_renewal.call || other.term != lease_renewal.term);
            self.answer_lease_renewal(lease_renewal.term, lease_renewal.call, instance);
        }
    }

    fn stage(&self, task: TaskKey) -> Stage {
        self.jobs[&task.job].stages[task.step as usize].clone()
    }

    /// A run began: the rules are checked, and its end is scheduled.
    fn started(&mut self, instance: &str, key: AttemptKey) {
        *self.runs.entry(key.task).or_default() += 1;
        self.run_starts.push((instance.to_owned(), self.now));
        let stage = self.stage(key.task);
        self.check_start(instance, key, &stage);
        if !stage.gang {
            return self.begin(instance, key, &stage);
        }
        self.at(self.now + GANG, Event::Alone { instance: instance.to_owned(), key });
        let members: Vec<(String, AttemptKey)> = self.gang(key);
        if members.len() == stage.count as usize {
            for (instance, member) in members {
                self.begin(&instance, member, &stage);
            }
        }
    }

    /// The members of a gang's run that have started.
    fn gang(&self, key: AttemptKey) -> Vec<(String, AttemptKey)> {
        let same =
            |other: &AttemptKey| other.task.step_key() == key.task.step_key() && other.attempt == key.attempt;
        let of_worker = |worker: &ModelWorker| {
            let id = worker.instance.id.clone();
            worker.running.keys().copied().filter(same).map(|key| (id.clone(), key)).collect::<Vec<_>>()
        };
        self.workers.values().filter(|worker| worker.up).flat_map(of_worker).collect()
    }

    fn begin(&mut self, instance: &str, key: AttemptKey, stage: &Stage) {
        let fails = self.poisoned.contains(&key.task.job);
        let now = self.now;
        let Some(worker) = self.workers.get_mut(instance) else { return };
        let fails = fails || worker.fails_all;
        let Some(run) = worker.running.get_mut(&key) else { return };
        run.begun = true;
        run.kind = if fails { EndKind::FAILED } else { EndKind::DONE };
        if run.stalled || (stage.long_running && !fails) {
            return;
        }
        let runtime = stage.est_runtime_ms * MS / if fails { 2 } else { 1 };
        run.ends_at = Some(now + runtime);
        self.at(now + runtime, Event::RunOver { instance: instance.to_owned(), key });
    }

    fn run_over(&mut self, instance: &str, key: AttemptKey) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(instance).filter(|worker| worker.up) else { return };
        worker.lapse(now);
        let Some(run) = worker.running.get(&key) else { return };
        let kind = run.kind;
        let members =
            if self.stage(key.task).gang { self.gang(key) } else { vec![(instance.to_owned(), key)] };
        for (instance, member) in members {
            let of_member = if member == key || kind == EndKind::DONE { kind } else { EndKind::BROKEN };
            if let Some(worker) = self.workers.get_mut(&instance) {
                worker.end(now, member, of_member);
            }
            if kind == EndKind::DONE {
                self.done.insert(member.task);
                self.done_ends.push(DoneEnd {
                    key: member,
                    at: now,
                    instance: instance.clone(),
                    acknowledged: false,
                });
            }
            self.wake_lease_renewals(&instance);
        }
        self.break_gangs();
    }

    /// A gang's member that still waits for the others ends.
    fn alone(&mut self, instance: &str, key: AttemptKey) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(instance).filter(|worker| worker.up) else { return };
        if worker.running.get(&key).is_some_and(|run| run.ends_at.is_none() && !run.stalled) {
            worker.end(now, key, EndKind::ALONE);
            self.alone += 1;
            self.wake_lease_renewals(instance);
        }
    }

    /// A worker dies; whether the list shows it does not matter here.
    pub fn crash(&mut self, instance: &str) {
        let Some(worker) = self.workers.get_mut(instance) else { return };
        worker.up = false;
        worker.running.clear();
        self.lease_renewals.retain(|lease_renewal| lease_renewal.instance != instance);
        self.break_gangs();
    }

    /// A gang's run that has begun ends once a member is gone.
    fn break_gangs(&mut self) {
        let now = self.now;
        loop {
            let begun = |worker: &ModelWorker| {
                let runs = worker.running.iter().filter(|(_, run)| run.begun);
                runs.map(|(key, _)| (worker.instance.id.clone(), *key)).collect::<Vec<_>>()
            };
            let running: Vec<_> = self.workers.values().filter(|worker| worker.up).flat_map(begun).collect();
            let broken: Vec<_> = running
                .into_iter()
                .filter(|(_, key)| {
                    let stage = self.stage(key.task);
                    stage.gang && self.gang(*key).len() < stage.count as usize
                })
                .collect();
            if broken.is_empty() {
                return;
            }
            for (instance, key) in broken {
                if let Some(worker) = self.workers.get_mut(&instance) {
                    worker.end(now, key, EndKind::BROKEN);
                }
                self.wake_lease_renewals(&instance);
            }
        }
    }

    pub fn state_of(&self, id: u64) -> &'static str {
        self.state.job(id).map_or("unknown", |job| job.state_text())
    }

    /// Plays until the job shows this state.
    pub fn reaches(&mut self, id: u64, state: &str, limit_ms: u64) -> bool {
        self.run_until(limit_ms, |cluster| cluster.state_of(id) == state)
    }

    pub fn running(&self) -> usize {
        self.workers.values().map(|worker| worker.running.len()).sum()
    }
}
