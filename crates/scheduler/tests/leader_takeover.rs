//! First seconds of a new leader with many workers. Each event must cause a bounded amount of work, and
//! workers with attempts must be called before workers without attempts.

mod cluster;

use cluster::{settings, Cluster, DAY_START_MS, MS};
use messages::job::{JobSpec, Stage};
use scheduler::leader::{CallId, Input, Leader, LeaderRecovery, LeaderWork, Output};
use scheduler::state::State;
use scheduler::worker::CallOutcome;
use std::collections::{BTreeMap, BTreeSet};

const WORKERS: usize = 1_100;
/// Number of jobs that wait when the new leader begins.
const WAITING_JOBS: u64 = 400;
/// Maximum number of calls that one event may cause.
const MAX_CALLS_PER_EVENT: usize = 64;
/// Maximum number of times that one list of instances may update the shares of waiting steps.
const MAX_SHARE_UPDATES_PER_LIST: u64 = 2;
const LEADER_LEASE_NS: u64 = 10_000 * MS;

fn job(count: u32, cpu: u64, est_runtime_ms: u64) -> JobSpec {
    let stage = Stage { count, cpu, mem_mb: 16, est_runtime_ms, ..Stage::default() };
    JobSpec { spec: "text".to_owned(), stages: vec![stage], ..JobSpec::default() }
}

/// A cluster in which attempts run on 200 workers and jobs wait for which no worker has capacity.
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

/// Calls and work caused by one event of a new leader.
struct Turn {
    calls: Vec<(CallId, String)>,
    work: LeaderWork,
}

/// A new leader that the test drives event by event.
struct NewLeader<'a> {
    state: &'a State,
    leader: Leader,
    now: u64,
    wake_at: Option<u64>,
    turns: Vec<Turn>,
}

impl<'a> NewLeader<'a> {
    fn after_election(cluster: &'a Cluster) -> Self {
        Self::with_leader(cluster, Leader::new(cluster.term + 1, settings(), &cluster.state, cluster.now, 1))
    }

    fn with_leader(cluster: &'a Cluster, leader: Leader) -> Self {
        let mut new_leader =
            NewLeader { state: &cluster.state, leader, now: cluster.now, wake_at: None, turns: Vec::new() };
        new_leader.leader.take_work();
        new_leader.tick();
        new_leader
    }

    fn handle(&mut self, input: Input) {
        self.now += 1_000;
        let mut out = Vec::new();
        self.leader.handle(self.state, self.now, input, &mut out);
        self.leader.set_lease(self.now, self.now + LEADER_LEASE_NS);
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

    /// Delivers the ticks that the leader requests within the next `span` nanoseconds.
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

    fn deliver_list(&mut self, cluster: &Cluster) {
        let instances = cluster.workers.values().map(|worker| worker.instance.clone()).collect();
        self.handle(Input::Instances { instances, as_of: self.now, has_changed: true, is_last: true });
    }

    fn sent_calls(&self) -> Vec<(CallId, String)> {
        self.turns.iter().flat_map(|turn| turn.calls.iter().cloned()).collect()
    }

    fn max_calls_per_turn(&self) -> usize {
        self.turns.iter().map(|turn| turn.calls.len()).max().unwrap_or(0)
    }

    fn max_polls_per_turn(&self) -> u64 {
        self.turns.iter().map(|turn| turn.work.sessions_polled).max().unwrap_or(0)
    }
}

fn busy_workers(cluster: &Cluster) -> BTreeSet<String> {
    let busy = cluster.workers.iter().filter(|(_, worker)| !worker.running.is_empty());
    busy.map(|(id, _)| id.clone()).collect()
}

#[test]
fn bounds_calls_and_polls_of_each_event() {
    let cluster = busy_cluster();
    let mut new_leader = NewLeader::after_election(&cluster);
    new_leader.deliver_list(&cluster);
    new_leader.tick_while_due(50 * MS);
    assert!(
        new_leader.max_calls_per_turn() <= MAX_CALLS_PER_EVENT,
        "{} calls in one event",
        new_leader.max_calls_per_turn()
    );
    assert!(
        new_leader.max_polls_per_turn() <= MAX_CALLS_PER_EVENT as u64,
        "{} polls",
        new_leader.max_polls_per_turn()
    );
}

#[test]
fn recovery_in_slices_gives_the_same_leader() {
    let cluster = busy_cluster();
    let mut recovery = LeaderRecovery::new(cluster.term + 1, settings(), &cluster.state, cluster.now, 1);
    let mut slices = 1;
    while !recovery.advance(&cluster.state) {
        slices += 1;
    }
    assert!(slices > WAITING_JOBS / 64, "{slices} slices");
    let mut built_in_slices = NewLeader::with_leader(&cluster, recovery.finish());
    let mut at_once = NewLeader::after_election(&cluster);
    for new_leader in [&mut built_in_slices, &mut at_once] {
        new_leader.deliver_list(&cluster);
        new_leader.tick_while_due(50 * MS);
    }
    assert_eq!(built_in_slices.sent_calls(), at_once.sent_calls());
    assert_eq!(
        built_in_slices.leader.load_report(built_in_slices.now),
        at_once.leader.load_report(at_once.now)
    );
    assert_eq!(built_in_slices.leader.load_report(built_in_slices.now).waiting_steps, WAITING_JOBS as usize);
}

#[test]
fn calls_workers_with_attempts_first() {
    let cluster = busy_cluster();
    let busy = busy_workers(&cluster);
    assert!(busy.len() > MAX_CALLS_PER_EVENT);
    let mut new_leader = NewLeader::after_election(&cluster);
    new_leader.deliver_list(&cluster);
    new_leader.tick_while_due(50 * MS);
    let first: BTreeSet<String> =
        new_leader.sent_calls().into_iter().take(busy.len()).map(|(_, instance)| instance).collect();
    assert_eq!(first, busy);
}

#[test]
fn first_contacts_are_paced_and_reach_every_worker() {
    let cluster = busy_cluster();
    let busy = busy_workers(&cluster);
    let mut new_leader = NewLeader::after_election(&cluster);
    new_leader.deliver_list(&cluster);
    let mut answered = BTreeSet::new();
    let mut rounds = 0;
    while answered.len() < WORKERS {
        new_leader.tick_while_due(MS);
        let open: BTreeMap<String, CallId> = new_leader
            .sent_calls()
            .into_iter()
            .filter(|(_, instance)| !answered.contains(instance))
            .map(|(call, instance)| (instance, call))
            .collect();
        assert!(!open.is_empty(), "{} of {WORKERS} workers were called", answered.len());
        let idle = open.keys().filter(|instance| !busy.contains(*instance)).count();
        assert!(idle <= MAX_CALLS_PER_EVENT, "{idle} first contacts in flight");
        for (instance, call) in open {
            new_leader.answer(&cluster, call, &instance);
            answered.insert(instance);
        }
        rounds += 1;
        assert!(rounds < 100, "answers do not lead to further first contacts");
    }
}

#[test]
fn missing_answers_do_not_block_first_contacts() {
    let cluster = busy_cluster();
    let mut new_leader = NewLeader::after_election(&cluster);
    new_leader.deliver_list(&cluster);
    new_leader.tick_while_due(2_500 * MS);
    let sent_calls: BTreeSet<String> =
        new_leader.sent_calls().into_iter().map(|(_, instance)| instance).collect();
    assert_eq!(sent_calls.len(), WORKERS);
}

#[test]
fn updates_shares_at_most_twice_for_a_list_of_answered_workers() {
    let cluster = busy_cluster();
    let mut new_leader = NewLeader::after_election(&cluster);
    // Workers with attempts answer before the list arrives, so that the list makes all of them usable at
    // once.
    new_leader.tick_while_due(50 * MS);
    let calls = new_leader.sent_calls();
    assert!(calls.len() >= 200);
    for (call, instance) in &calls {
        new_leader.answer(&cluster, *call, instance);
    }
    new_leader.deliver_list(&cluster);
    let work = new_leader.turns.last().expect("a turn").work;
    assert!(work.share_updates >= 1, "the list made workers usable");
    assert!(work.share_updates <= MAX_SHARE_UPDATES_PER_LIST, "{} updates", work.share_updates);
}

#[test]
fn regained_lease_polls_sessions_in_slices() {
    let mut cluster = busy_cluster();
    cluster.run_for_ms(2_000);
    let (now, leader) = (cluster.now + LEADER_LEASE_NS, cluster.leader.as_mut().expect("a leader"));
    leader.take_work();
    leader.set_lease(now, now + LEADER_LEASE_NS);
    let mut out = Vec::new();
    leader.handle(&cluster.state, now, Input::InstancesFailed, &mut out);
    let work = leader.take_work();
    assert!(work.sessions_polled <= MAX_CALLS_PER_EVENT as u64, "{} polls", work.sessions_polled);
}

#[test]
fn duplicate_outcomes_free_no_further_first_contacts() {
    let cluster = busy_cluster();
    let mut new_leader = NewLeader::after_election(&cluster);
    new_leader.deliver_list(&cluster);
    let (call, _) = new_leader.sent_calls().first().cloned().expect("a call");
    new_leader.handle(Input::CallFinished { call, outcome: CallOutcome::NotSent });
    new_leader.handle(Input::CallFinished { call, outcome: CallOutcome::NoResponse });
    new_leader.tick_while_due(50 * MS);
    assert!(new_leader.max_calls_per_turn() <= MAX_CALLS_PER_EVENT);
}
