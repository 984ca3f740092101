//! The first seconds of a new leader among many workers: no event costs more than a bounded amount of work,
//! and workers that carry attempts are called before those that carry nothing.

mod cluster;

use cluster::{settings, Cluster, DAY_START_MS, MS};
use messages::job::{JobSpec, Stage};
use scheduler::leader::{CallId, Input, Leader, LeaderRecovery, LeaderWork, Output};
use scheduler::state::State;
use scheduler::worker::CallOutcome;
use std::collections::{BTreeMap, BTreeSet};

const WORKERS: usize = 1_100;
/// Jobs that wait at the change of leaders.
const WAITING_JOBS: u64 = 400;
/// Calls that one event may cause.
const MAX_CALLS_PER_EVENT: usize = 64;
/// How often the shares of waiting steps may be computed for one list of instances.
const MAX_REBUILDS_PER_LIST: u64 = 2;
const LEASE: u64 = 10_000 * MS;

fn job(count: u32, cpu: u64, est_runtime_ms: u64) -> JobSpec {
    let stage = Stage { count, cpu, mem_mb: 16, est_runtime_ms, ..Stage::default() };
    JobSpec { spec: "text".to_owned(), stages: vec![stage], ..JobSpec::default() }
}

/// A cluster in which attempts run on some workers, and jobs wait that no worker has capacity for.
fn busy_cluster() -> Cluster {
    let mut cluster = Cluster::new(WORKERS);
    cluster.run_for_ms(3_000);
    cluster.submit("/a/", 1, job(200, 3_000, 60_000)).expect("a reply");
    assert!(cluster.run_until(5_000, |cluster| cluster.running() == 200), "{} run", cluster.running());
    for id in 2..2 + WAITING_JOBS {
        cluster.submit("/a/", id, job(2, 5_000, 1_000)).expect("a reply");
    }
    cluster
}

/// What one event of a new leader caused.
struct Turn {
    calls: Vec<(CallId, String)>,
    work: LeaderWork,
}

/// A new leader, played event by event.
struct Takeover<'a> {
    state: &'a State,
    leader: Leader,
    now: u64,
    wake_at: Option<u64>,
    turns: Vec<Turn>,
}

impl<'a> Takeover<'a> {
    fn begin(cluster: &'a Cluster) -> Self {
        Self::of(cluster, Leader::new(cluster.term + 1, settings(), &cluster.state, cluster.now, 1))
    }

    fn of(cluster: &'a Cluster, leader: Leader) -> Self {
        let mut takeover =
            Takeover { state: &cluster.state, leader, now: cluster.now, wake_at: None, turns: Vec::new() };
        takeover.leader.take_work();
        takeover.tick();
        takeover
    }

    fn handle(&mut self, input: Input) {
        self.now += 1_000;
        let mut out = Vec::new();
        self.leader.handle(self.state, self.now, input, &mut out);
        self.leader.set_lease(self.now, self.now + LEASE);
        self.leader.flush(self.state, self.now, &mut out);
        let mut turn = Turn { calls: Vec::new(), work: self.leader.take_work() };
        for output in out {
            match output {
                Output::Call { call, instance, .. } => turn.calls.push((call, instance)),
                Output::WakeAt { at } => self.wake_at = Some(at),
                _ => {}
            }
        }
        self.turns.push(turn);
    }

    fn tick(&mut self) {
        self.wake_at = None;
        self.handle(Input::Tick { time_of_day_ms: DAY_START_MS + self.now / MS });
    }

    /// Ticks for as long as the leader asks for one within `span` from now.
    fn tick_while_due(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(at) = self.wake_at.filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.tick();
        }
    }

    fn answer(&mut self, cluster: &Cluster, call: CallId, instance: &str) {
        let outcome = cluster.workers[instance].attempt_lists(self.now);
        self.handle(Input::CallFinished { call, outcome });
    }

    fn list(&mut self, cluster: &Cluster) {
        let instances = cluster.workers.values().map(|worker| worker.instance.clone()).collect();
        self.handle(Input::Instances { instances, as_of: self.now, has_changed: true, is_last: true });
    }

    fn called(&self) -> Vec<(CallId, String)> {
        self.turns.iter().flat_map(|turn| turn.calls.iter().cloned()).collect()
    }

    fn most_calls(&self) -> usize {
        self.turns.iter().map(|turn| turn.calls.len()).max().unwrap_or(0)
    }

    fn most_polls(&self) -> u64 {
        self.turns.iter().map(|turn| turn.work.sessions_polled).max().unwrap_or(0)
    }
}

fn busy_workers(cluster: &Cluster) -> BTreeSet<String> {
    let busy = cluster.workers.iter().filter(|(_, worker)| !worker.running.is_empty());
    busy.map(|(id, _)| id.clone()).collect()
}

#[test]
fn no_event_of_a_new_leader_calls_or_polls_all_workers() {
    let cluster = busy_cluster();
    let mut takeover = Takeover::begin(&cluster);
    takeover.list(&cluster);
    takeover.tick_while_due(50 * MS);
    assert!(takeover.most_calls() <= MAX_CALLS_PER_EVENT, "{} calls in one event", takeover.most_calls());
    assert!(takeover.most_polls() <= MAX_CALLS_PER_EVENT as u64, "{} polls", takeover.most_polls());
}

#[test]
fn a_leader_that_is_built_in_slices_is_the_same_as_one_built_at_once() {
    let cluster = busy_cluster();
    let mut recovery = LeaderRecovery::new(cluster.term + 1, settings(), &cluster.state, cluster.now, 1);
    let mut slices = 1;
    while !recovery.advance(&cluster.state) {
        slices += 1;
    }
    assert!(slices > WAITING_JOBS / 64, "{slices} slices");
    let mut built = Takeover::of(&cluster, recovery.finish());
    let mut at_once = Takeover::begin(&cluster);
    for takeover in [&mut built, &mut at_once] {
        takeover.list(&cluster);
        takeover.tick_while_due(50 * MS);
    }
    assert_eq!(built.called(), at_once.called());
    assert_eq!(built.leader.load_report(built.now), at_once.leader.load_report(at_once.now));
    assert_eq!(built.leader.load_report(built.now).waiting_steps, WAITING_JOBS as usize);
}

#[test]
fn workers_that_carry_attempts_are_called_before_the_others() {
    let cluster = busy_cluster();
    let busy = busy_workers(&cluster);
    assert!(busy.len() > MAX_CALLS_PER_EVENT);
    let mut takeover = Takeover::begin(&cluster);
    takeover.list(&cluster);
    takeover.tick_while_due(50 * MS);
    let first: BTreeSet<String> =
        takeover.called().into_iter().take(busy.len()).map(|(_, instance)| instance).collect();
    assert_eq!(first, busy);
}

#[test]
fn first_contacts_are_paced_by_answers_and_reach_every_worker() {
    let cluster = busy_cluster();
    let busy = busy_workers(&cluster);
    let mut takeover = Takeover::begin(&cluster);
    takeover.list(&cluster);
    let mut answered = BTreeSet::new();
    let mut rounds = 0;
    while answered.len() < WORKERS {
        takeover.tick_while_due(MS);
        let open: BTreeMap<String, CallId> = takeover
            .called()
            .into_iter()
            .filter(|(_, instance)| !answered.contains(instance))
            .map(|(call, instance)| (instance, call))
            .collect();
        assert!(!open.is_empty(), "{} of {WORKERS} workers were called", answered.len());
        let idle = open.keys().filter(|instance| !busy.contains(*instance)).count();
        assert!(idle <= MAX_CALLS_PER_EVENT, "{idle} first contacts in flight");
        for (instance, call) in open {
            takeover.answer(&cluster, call, &instance);
            answered.insert(instance);
        }
        rounds += 1;
        assert!(rounds < 100, "an answer lets the next worker be called at once");
    }
}

#[test]
fn workers_that_do_not_answer_hold_up_first_contacts_for_a_moment_only() {
    let cluster = busy_cluster();
    let mut takeover = Takeover::begin(&cluster);
    takeover.list(&cluster);
    takeover.tick_while_due(2_500 * MS);
    let called: BTreeSet<String> = takeover.called().into_iter().map(|(_, instance)| instance).collect();
    assert_eq!(called.len(), WORKERS);
}

#[test]
fn a_list_of_workers_that_have_answered_computes_the_shares_of_waiting_steps_once() {
    let cluster = busy_cluster();
    let mut takeover = Takeover::begin(&cluster);
    // The attempts' workers answer before the list has come, so that it brings them all into use at once.
    takeover.tick_while_due(50 * MS);
    let calls = takeover.called();
    assert!(calls.len() >= 200);
    for (call, instance) in &calls {
        takeover.answer(&cluster, *call, instance);
    }
    takeover.list(&cluster);
    let work = takeover.turns.last().expect("a turn").work;
    assert!(work.share_updates >= 1, "workers came into use");
    assert!(work.share_updates <= MAX_REBUILDS_PER_LIST, "{} times", work.share_updates);
}

#[test]
fn a_lease_that_is_back_polls_sessions_in_slices() {
    let mut cluster = busy_cluster();
    cluster.run_for_ms(2_000);
    let (now, leader) = (cluster.now + LEASE, cluster.leader.as_mut().expect("a leader"));
    leader.take_work();
    leader.set_lease(now, now + LEASE);
    let mut out = Vec::new();
    leader.handle(&cluster.state, now, Input::InstancesFailed, &mut out);
    let work = leader.take_work();
    assert!(work.sessions_polled <= MAX_CALLS_PER_EVENT as u64, "{} polls", work.sessions_polled);
}

#[test]
fn outcomes_that_come_twice_free_no_more_first_contacts() {
    let cluster = busy_cluster();
    let mut takeover = Takeover::begin(&cluster);
    takeover.list(&cluster);
    let (call, _) = takeover.called().first().cloned().expect("a call");
    takeover.handle(Input::CallFinished { call, outcome: CallOutcome::NotSent });
    takeover.handle(Input::CallFinished { call, outcome: CallOutcome::NoResponse });
    takeover.tick_while_due(50 * MS);
    assert!(takeover.most_calls() <= MAX_CALLS_PER_EVENT);
}
