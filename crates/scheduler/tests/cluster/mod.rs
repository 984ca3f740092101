//! Simulated cluster: a leader, a replicated log with a commit delay, and modelled workers. Checks each start
//! against the guarantees of the scheduler (see `rules`). Times are in nanoseconds unless a name ends in `_ms`.

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

/// One-way delay between the leader and a worker.
const LATENCY_NS: u64 = 2 * MS;
/// Time from a proposal to its commit.
const COMMIT_DELAY_NS: u64 = 6 * MS;
/// Usual time to read the platform's list of instances.
const LIST_DELAY_NS: u64 = 20 * MS;
/// Time after which the driver reports a withheld start.
const WITHHELD_START_DELAY_NS: u64 = 200 * MS;
/// Upper limit of the delay of a late call.
const MAX_CALL_DELAY_NS: u64 = 4_000 * MS;
/// Interval of the consensus heartbeats, which renew the leader's lease.
const HEARTBEAT_INTERVAL_NS: u64 = 100 * MS;
/// Duration of the leader's lease after the responses of a majority.
const LEADER_LEASE_NS: u64 = 400 * MS;
/// Time that a gang member waits for the other members before it ends.
const GANG_TIMEOUT_NS: u64 = 3_000 * MS;
/// Time of day at monotonic time 0, in milliseconds since the Unix epoch.
pub const DAY_START_MS: u64 = 1_700_000_000_000;
pub const HOST: &str = "host.example";

/// A scheduled event of the simulation.
#[derive(Debug, Clone)]
enum Event {
    Tick,
    Heartbeat { term: u64 },
    Commit { term: u64, batch: CommandBatch },
    InstanceList { term: u64, requested_at: u64 },
    RequestArrival { term: u64, call: CallId, instance: String, request: WorkerRequest },
    LongPollTimeout { term: u64, call: CallId, instance: String },
    Answer { term: u64, call: CallId, outcome: CallOutcome },
    RunFinished { instance: String, key: AttemptKey },
    GangTimeout { instance: String, key: AttemptKey },
    ReadUntil { term: u64, at: u64 },
}

/// An end of kind `done` on a worker.
#[derive(Debug, Clone)]
struct DoneEnd {
    key: AttemptKey,
    at: u64,
    instance: String,
    /// Whether the leader acknowledged the end to the worker before the worker's lease expired.
    acknowledged: bool,
}

/// A lease renewal that a worker holds as a long poll until there is an end to report.
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
    /// Tasks with an end of kind `done` on some worker.
    pub done: BTreeSet<TaskKey>,
    /// Number of runs of each task.
    pub runs: BTreeMap<TaskKey, u32>,
    /// Jobs of which every run fails.
    pub failing_jobs: BTreeSet<u64>,
    pub immediate_violations: Vec<String>,
    pub calls: u64,
    /// Percentage of calls that are lost or arrive late. Half this percentage of the answers is lost, too.
    pub call_loss_percent: u8,
    /// Length of the longest command that was proposed.
    pub largest_command_bytes: usize,
    /// Whether the leader holds its lease.
    pub has_lease: bool,
    /// Number of gang members that ended because not all members started in time.
    pub gang_timeouts: u32,
    /// Whether all answers of workers are lost.
    pub loses_answers: bool,
    /// Time to read the platform's list of instances.
    pub list_delay: u64,
    /// Whether starts are withheld after a delay, as a late driver does.
    pub withholds_starts: bool,
    /// Worker and time of each start of a run.
    pub run_starts: Vec<(String, u64)>,
    /// A late leader handles its input only at multiples of this period. 0 means at once.
    pub leader_period: u64,
    random: fastrand::Rng,
    jobs: BTreeMap<u64, JobSpec>,
    done_ends: Vec<DoneEnd>,
    starts: Vec<(AttemptKey, u64)>,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    next_token: u64,
    lease_renewals: Vec<WaitingLeaseRenewal>,
    /// The list of instances reported last, with the term of the leader that got it.
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
    /// A cluster with workers of four cores each, a leader, and a configuration with the prefixes `/a/`
    /// (priority 1) and `/u/` (priority 0).
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
            failing_jobs: BTreeSet::new(),
            immediate_violations: Vec::new(),
            calls: 0,
            call_loss_percent: 0,
            largest_command_bytes: 0,
            has_lease: true,
            gang_timeouts: 0,
            loses_answers: false,
            list_delay: LIST_DELAY_NS,
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
        cluster.elect_leader();
        cluster
    }

    pub fn add_worker(&mut self, id: &str, number: usize, cpu: u64) {
        self.workers.insert(id.to_owned(), ModelWorker::new(id, number, cpu));
    }

    /// The leader crashes and another one is elected. Proposals that are not committed are lost.
    pub fn elect_leader(&mut self) {
        self.term += 1;
        let term = self.term;
        self.events.retain(|_, event| !matches!(event, Event::Commit { .. }));
        self.leader = Some(Leader::new(term, settings(), &self.state, self.now, term));
        self.schedule(self.now, Event::Heartbeat { term });
        self.handle(Input::Tick { time_of_day_ms: self.time_of_day_ms() });
    }

    pub fn time_of_day_ms(&self) -> u64 {
        DAY_START_MS + self.now / MS
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    fn handle(&mut self, input: Input) {
        let Some(leader) = self.leader.as_mut() else { return };
        let mut out = Vec::new();
        leader.handle(&self.state, self.now, input, &mut out);
        self.flush(out);
    }

    /// Delivers a page with only this instance, of a list that is not complete yet.
    pub fn deliver_list_page(&mut self, instance: Instance) {
        let (instances, as_of) = ([instance].into(), self.now);
        self.handle(Input::Instances { instances, as_of, has_changed: true, is_last: false });
    }

    /// Times at which runs started on a worker.
    pub fn starts_on(&self, instance: &str) -> Vec<u64> {
        self.run_starts.iter().filter(|(worker, _)| worker == instance).map(|(_, at)| *at).collect()
    }

    /// Sets the leader's lease, flushes the leader's proposals and handles all outputs, as the driver does
    /// once a turn.
    pub fn flush(&mut self, mut out: Vec<Output>) {
        let Some(leader) = self.leader.as_mut() else { return };
        if self.has_lease {
            leader.set_lease(self.now, self.now + LEADER_LEASE_NS);
        }
        leader.flush(&self.state, self.now, &mut out);
        if let Some(missed) = leader.missed_wake_up(&self.state) {
            self.immediate_violations.push(format!("MISSED WAKE-UP: {missed}"));
        }
        let awaits_input = leader.awaits_input();
        for output in out {
            self.handle_output(output);
        }
        if awaits_input {
            self.schedule(self.now, Event::ReadUntil { term: self.term, at: self.now });
        }
    }

    fn handle_output(&mut self, output: Output) {
        let (now, term) = (self.now, self.term);
        match output {
            Output::Propose { batch } => {
                let longest = batch.commands.iter().map(messages::encoded_len).max().unwrap_or(0);
                self.largest_command_bytes = self.largest_command_bytes.max(longest);
                self.schedule(now + COMMIT_DELAY_NS, Event::Commit { term, batch });
            }
            Output::Reply { token, reply } => {
                assert!(self.replies.insert(token, reply).is_none(), "token {token} was answered twice");
            }
            Output::ConfigurationReply { token, reply } => {
                assert!(
                    self.configuration_replies.insert(token, reply).is_none(),
                    "configuration change {token} was answered twice"
                );
            }
            Output::Call { call, instance, request, .. } => {
                self.calls += 1;
                if let Err(error) = self.state.check_call(&instance, &request) {
                    self.immediate_violations.push(format!("UNCOMMITTED: {error}"));
                }
                if self.withholds_starts && matches!(request, WorkerRequest::Start { .. }) {
                    let outcome = CallOutcome::Withheld;
                    return self
                        .schedule(now + WITHHELD_START_DELAY_NS, Event::Answer { term, call, outcome });
                }
                let arrive = Event::RequestArrival { term, call, instance, request };
                match self.random.u8(..100) {
                    draw if draw >= self.call_loss_percent => self.schedule(now + LATENCY_NS, arrive),
                    draw if draw % 2 == 0 => {}
                    _ => {
                        let late = self.random.u64(0..MAX_CALL_DELAY_NS);
                        self.schedule(now + late, arrive);
                    }
                }
            }
            Output::CancelCall { call } => {
                self.lease_renewals.retain(|lease_renewal| lease_renewal.call != call);
            }
            Output::ReadInstances => {
                self.schedule(now + self.list_delay, Event::InstanceList { term, requested_at: now });
            }
            Output::WakeAt { at } => self.schedule(at.max(now), Event::Tick),
        }
    }

    /// Processes events until `until` returns true, for at most `limit_ms`. Returns whether `until` returned
    /// true.
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
            match self.leader_handling_time(&event) {
                later if later > self.now => self.schedule(later, event),
                _ => self.process_event(event),
            }
        }
        true
    }

    pub fn set_seed(&mut self, seed: u64) {
        self.random = fastrand::Rng::with_seed(seed);
    }

    pub fn run_for_ms(&mut self, ms: u64) {
        self.run_until(ms, |_| false);
    }

    /// When an event that is due now is processed: events for a late leader wait for its next period.
    fn leader_handling_time(&self, event: &Event) -> u64 {
        let is_for_leader = matches!(
            event,
            Event::Tick | Event::Commit { .. } | Event::InstanceList { .. } | Event::Answer { .. }
        );
        match is_for_leader && self.leader_period > 0 {
            true => self.now.next_multiple_of(self.leader_period),
            false => self.now,
        }
    }

    fn process_event(&mut self, event: Event) {
        match event {
            Event::Tick => self.handle(Input::Tick { time_of_day_ms: self.time_of_day_ms() }),
            Event::Heartbeat { term } if term == self.term => {
                self.flush(Vec::new());
                self.schedule(self.now + HEARTBEAT_INTERVAL_NS, Event::Heartbeat { term });
            }
            Event::Commit { term, batch } if term == self.term => {
                let changes = self.state.apply(&batch);
                self.handle(Input::BatchApplied { changes, batch });
            }
            Event::InstanceList { term, requested_at } if term == self.term => {
                let listed = self.workers.values().filter(|worker| worker.is_up);
                let instances: Vec<Instance> = listed.map(|worker| worker.instance.clone()).collect();
                let reported = Some((term, instances.clone()));
                let has_changed = self.reported_list != reported;
                self.reported_list = reported;
                let instances = instances.into();
                self.handle(Input::Instances { instances, as_of: requested_at, has_changed, is_last: true });
            }
            Event::RequestArrival { term, call, instance, request } => {
                self.deliver_request(term, call, instance, request);
            }
            Event::LongPollTimeout { term, call, instance } => {
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
            Event::RunFinished { instance, key } => self.finish_run(&instance, key),
            Event::GangTimeout { instance, key } => self.time_out_gang_member(&instance, key),
            Event::Heartbeat { .. }
            | Event::Commit { .. }
            | Event::InstanceList { .. }
            | Event::Answer { .. }
            | Event::ReadUntil { .. } => {}
        }
    }

    fn deliver_request(&mut self, term: u64, call: CallId, instance: String, request: WorkerRequest) {
        let now = self.now;
        if self.workers.get(&instance).is_some_and(|worker| worker.is_unreachable) {
            return;
        }
        let Some(worker) = self.workers.get_mut(&instance).filter(|worker| worker.is_up) else {
            // No process listens at the address any more.
            return self
                .schedule(now + LATENCY_NS, Event::Answer { term, call, outcome: CallOutcome::NotSent });
        };
        let (outcome, started) = worker.handle_call(now, &request);
        if let WorkerRequest::RenewLease { last_seen, .. } = &request {
            let is_accepted = matches!(outcome, CallOutcome::Lists { .. });
            self.acknowledge_ends(&instance, if is_accepted { *last_seen } else { 0 });
        }
        self.end_incomplete_gangs();
        if let Some(key) = started {
            self.record_start(&instance, key);
        }
        if let WorkerRequest::RenewLease { last_seen, wait_ms, .. } = request {
            let has_no_ends =
                self.workers.get(&instance).is_some_and(|worker| !worker.has_unacknowledged_ends(last_seen));
            if has_no_ends && wait_ms > 0 && matches!(outcome, CallOutcome::Lists { .. }) {
                self.lease_renewals.push(WaitingLeaseRenewal {
                    term,
                    call,
                    instance: instance.clone(),
                    last_seen,
                });
                return self.schedule(now + wait_ms * MS, Event::LongPollTimeout { term, call, instance });
            }
        }
        self.answer(term, call, outcome);
        self.wake_lease_renewals(&instance);
    }

    /// Sends an answer to the leader, or loses it.
    fn answer(&mut self, term: u64, call: CallId, outcome: CallOutcome) {
        if self.random.u8(..100) >= self.call_loss_percent / 2 && !self.loses_answers {
            self.schedule(self.now + LATENCY_NS, Event::Answer { term, call, outcome });
        }
    }

    fn answer_lease_renewal(&mut self, term: u64, call: CallId, instance: &str) {
        let Some(worker) = self.workers.get(instance).filter(|worker| worker.is_up) else { return };
        let outcome = worker.attempt_lists(self.now);
        self.answer(term, call, outcome);
    }

    /// Answers the lease renewals that wait for an end, if there is one.
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

    /// Records a start of a run, checks the guarantees and begins the work. Gang members begin once all
    /// members have started.
    fn record_start(&mut self, instance: &str, key: AttemptKey) {
        *self.runs.entry(key.task).or_default() += 1;
        self.run_starts.push((instance.to_owned(), self.now));
        let stage = self.stage(key.task);
        self.check_start(instance, key, &stage);
        if !stage.gang {
            return self.begin_work(instance, key, &stage);
        }
        self.schedule(self.now + GANG_TIMEOUT_NS, Event::GangTimeout { instance: instance.to_owned(), key });
        let members: Vec<(String, AttemptKey)> = self.started_gang_members(key);
        if members.len() == stage.count as usize {
            for (instance, member) in members {
                self.begin_work(&instance, member, &stage);
            }
        }
    }

    /// The members of this gang attempt that have started.
    fn started_gang_members(&self, key: AttemptKey) -> Vec<(String, AttemptKey)> {
        let same =
            |other: &AttemptKey| other.task.step_key() == key.task.step_key() && other.attempt == key.attempt;
        let of_worker = |worker: &ModelWorker| {
            let id = worker.instance.id.clone();
            worker.running.keys().copied().filter(same).map(|key| (id.clone(), key)).collect::<Vec<_>>()
        };
        self.workers.values().filter(|worker| worker.is_up).flat_map(of_worker).collect()
    }

    fn begin_work(&mut self, instance: &str, key: AttemptKey, stage: &Stage) {
        let fails = self.failing_jobs.contains(&key.task.job);
        let now = self.now;
        let Some(worker) = self.workers.get_mut(instance) else { return };
        let fails = fails || worker.fails_all_runs;
        let Some(run) = worker.running.get_mut(&key) else { return };
        run.is_working = true;
        run.kind = if fails { EndKind::FAILED } else { EndKind::DONE };
        if run.stalled || (stage.long_running && !fails) {
            return;
        }
        let runtime = stage.est_runtime_ms * MS / if fails { 2 } else { 1 };
        run.ends_at = Some(now + runtime);
        self.schedule(now + runtime, Event::RunFinished { instance: instance.to_owned(), key });
    }

    fn finish_run(&mut self, instance: &str, key: AttemptKey) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(instance).filter(|worker| worker.is_up) else { return };
        worker.enforce_lease(now);
        let Some(run) = worker.running.get(&key) else { return };
        let kind = run.kind;
        let members = if self.stage(key.task).gang {
            self.started_gang_members(key)
        } else {
            vec![(instance.to_owned(), key)]
        };
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
        self.end_incomplete_gangs();
    }

    /// Ends a gang member that still waits for the other members.
    fn time_out_gang_member(&mut self, instance: &str, key: AttemptKey) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(instance).filter(|worker| worker.is_up) else { return };
        if worker.running.get(&key).is_some_and(|run| run.ends_at.is_none() && !run.stalled) {
            worker.end(now, key, EndKind::ALONE);
            self.gang_timeouts += 1;
            self.wake_lease_renewals(instance);
        }
    }

    /// Crashes a worker.
    pub fn crash_worker(&mut self, instance: &str) {
        let Some(worker) = self.workers.get_mut(instance) else { return };
        worker.is_up = false;
        worker.running.clear();
        self.lease_renewals.retain(|lease_renewal| lease_renewal.instance != instance);
        self.end_incomplete_gangs();
    }

    /// Ends gang members that have begun their work and of whose gang a member is gone.
    fn end_incomplete_gangs(&mut self) {
        let now = self.now;
        loop {
            let working_runs = |worker: &ModelWorker| {
                let runs = worker.running.iter().filter(|(_, run)| run.is_working);
                runs.map(|(key, _)| (worker.instance.id.clone(), *key)).collect::<Vec<_>>()
            };
            let running: Vec<_> =
                self.workers.values().filter(|worker| worker.is_up).flat_map(working_runs).collect();
            let broken: Vec<_> = running
                .into_iter()
                .filter(|(_, key)| {
                    let stage = self.stage(key.task);
                    stage.gang && self.started_gang_members(*key).len() < stage.count as usize
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

    pub fn job_state(&self, id: u64) -> &'static str {
        self.state.job(id).map_or("unknown", |job| job.state_text())
    }

    /// Runs until the job has this state, for at most `limit_ms`. Returns whether the state was reached.
    pub fn run_until_state(&mut self, id: u64, state: &str, limit_ms: u64) -> bool {
        self.run_until(limit_ms, |cluster| cluster.job_state(id) == state)
    }

    pub fn running(&self) -> usize {
        self.workers.values().map(|worker| worker.running.len()).sum()
    }
}
