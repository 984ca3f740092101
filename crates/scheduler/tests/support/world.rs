//! Simulation of a worker session, a worker and a network with faults. Compares the outputs of the session
//! with the state of the worker.

use std::collections::{BTreeMap, BTreeSet};

use messages::job::{EndKind, Resolution, WorkerEnd, WorkerIncarnation};
use scheduler::ids::{AttemptKey, TaskKey};
use scheduler::worker::{CallOutcome, Refusal, SessionOutput, WorkerRequest, WorkerSession};

use super::model::Worker;
use super::{incarnation, options, order, MS};

/// Step of the simulated time.
const STEP_NS: u64 = 5 * MS;
/// Time from the report of an end until that end is committed.
const COMMIT_DELAY_NS: u64 = 20 * MS;
/// Upper limit of the delay after which a call whose answer is lost is still executed, in milliseconds.
const MAX_LATE_DELAY_MS: u64 = 12_000;

struct RequestInFlight {
    at: u64,
    session_number: u64,
    call: u64,
    incarnation: u64,
    request: WorkerRequest,
    answers: bool,
}

struct LongPoll {
    until: u64,
    session_number: u64,
    call: u64,
}

struct AnswerInFlight {
    at: u64,
    session_number: u64,
    call: u64,
    outcome: CallOutcome,
}

/// An end that is not durable yet.
struct Commit {
    at: u64,
    sequence: u64,
    /// The attempt that ended, if it was active.
    ended: Option<AttemptKey>,
}

/// Faults and delays of the network.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConditions {
    /// Percentage of calls without an answer: such a call is either lost or executed late.
    pub lost: u64,
    /// Percentage of answers that are lost.
    pub unanswered: u64,
    /// Upper limit of the one-way delay, in milliseconds.
    pub delay_ms: u64,
}

pub const RELIABLE: NetworkConditions = NetworkConditions { lost: 0, unanswered: 0, delay_ms: 60 };

pub struct World {
    pub now: u64,
    pub term: u64,
    /// Number of the current session. Answers to calls of earlier sessions are dropped.
    session_number: u64,
    pub session: WorkerSession,
    pub worker: Worker,
    pub network: NetworkConditions,
    /// End of the network partition. Calls sent before then get no answer and are executed late or never.
    pub partitioned_until: u64,
    /// The leader has no lease until then.
    pub no_lease_until: u64,
    lease_until: u64,
    random: fastrand::Rng,
    requests_in_flight: Vec<RequestInFlight>,
    long_polls: Vec<LongPoll>,
    answers_in_flight: Vec<AnswerInFlight>,
    commits: Vec<Commit>,
    durable_sequence: u64,
    pub active: BTreeSet<AttemptKey>,
    pub started: BTreeSet<AttemptKey>,
    pub resolved: BTreeMap<AttemptKey, Resolution>,
    pub ended: Vec<WorkerEnd>,
    /// Sequence numbers of the ends that the current session reported.
    reported_ends: BTreeSet<u64>,
    pub outputs: Vec<SessionOutput>,
    pub calls: u64,
    pub cancelled: u64,
    pub last_attempt: BTreeMap<TaskKey, u32>,
    pub withholds_commits: bool,
}

/// Returns the session with no limit on when starts may be sent.
fn without_start_limit(mut session: WorkerSession) -> WorkerSession {
    session.extend_start_limit(u64::MAX);
    session
}

impl World {
    pub fn new(seed: u64) -> Self {
        let now = 100_000 * MS;
        World {
            now,
            term: 7,
            session_number: 0,
            session: without_start_limit(WorkerSession::new(incarnation(1), 0, options(7, now), now)),
            worker: Worker::new(1, now - 30_000 * MS, seed % 21, 4),
            network: RELIABLE,
            partitioned_until: 0,
            no_lease_until: 0,
            lease_until: 0,
            random: fastrand::Rng::with_seed(seed),
            requests_in_flight: Vec::new(),
            long_polls: Vec::new(),
            answers_in_flight: Vec::new(),
            commits: Vec::new(),
            durable_sequence: 0,
            active: BTreeSet::new(),
            started: BTreeSet::new(),
            resolved: BTreeMap::new(),
            ended: Vec::new(),
            reported_ends: BTreeSet::new(),
            outputs: Vec::new(),
            calls: 0,
            cancelled: 0,
            last_attempt: BTreeMap::new(),
            withholds_commits: false,
        }
    }

    /// Orders the next attempt of a task unless an attempt is active. Returns the active attempt.
    pub fn start(&mut self, index: u32, spec: &str) -> AttemptKey {
        let task = super::key(index, 1).task;
        if let Some(active) = self.active.iter().find(|active| active.task == task) {
            return *active;
        }
        let attempt = self.last_attempt.entry(task).or_default();
        *attempt += 1;
        let key = AttemptKey { task, attempt: *attempt };
        self.active.insert(key);
        self.session.start(order(key, spec));
        key
    }

    /// Another leader takes over. It knows only what was durable.
    pub fn change_leader(&mut self) {
        self.term += 1;
        let incarnation = self.session.incarnation().clone();
        let lost = std::mem::take(&mut self.commits);
        self.active.extend(lost.iter().filter_map(|commit| commit.ended));
        self.open_session(incarnation, self.durable_sequence);
        for key in &self.active {
            self.session.adopt(*key);
        }
    }

    /// The worker crashes and restarts as a new incarnation.
    pub fn crash(&mut self) {
        self.long_polls.clear();
        let number = self.worker.incarnation + 1;
        self.worker = Worker::new(number, self.now, self.worker.incarnation * 7 % 21, self.worker.capacity);
    }

    /// Replaces the session by one with the worker's current incarnation.
    pub fn observe_new_incarnation(&mut self) {
        assert!(
            self.active.is_empty(),
            "an attempt of the previous incarnation is still active: {:?}",
            self.active
        );
        self.durable_sequence = 0;
        self.commits.clear();
        self.open_session(incarnation(self.worker.incarnation), 0);
    }

    fn open_session(&mut self, incarnation: WorkerIncarnation, acknowledged: u64) {
        self.session_number += 1;
        self.started.clear();
        self.reported_ends.clear();
        let options = options(self.term, self.now);
        self.session = without_start_limit(WorkerSession::new(incarnation, acknowledged, options, self.now));
    }

    pub fn session_matches_worker(&self) -> bool {
        self.session.incarnation().instance == incarnation(self.worker.incarnation).instance
    }

    pub fn run_ms(&mut self, span_ms: u64) {
        let end = self.now + span_ms * MS;
        while self.now < end {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now += STEP_NS;
        self.worker.advance(self.now);
        self.commit();
        self.deliver_requests();
        self.answer_long_polls();
        self.deliver_answers();
        if self.now >= self.no_lease_until {
            self.lease_until = self.now + 300 * MS;
            self.session.set_leader_lease(self.lease_until);
        }
        if self.session.next_timer() <= self.now {
            self.poll();
        }
        self.assert_resolved_attempts_do_not_run();
    }

    fn poll(&mut self) {
        let mut out = Vec::new();
        self.session.poll(self.now, &mut out);
        assert!(self.session.next_timer() > self.now, "a busy loop at {}", self.now);
        for output in out {
            self.handle_output(output);
        }
    }

    fn handle_output(&mut self, output: SessionOutput) {
        match &output {
            SessionOutput::Call { call, request } => self.send(*call, request.clone()),
            SessionOutput::CancelCall { .. } => self.cancelled += 1,
            SessionOutput::Started { key } => {
                assert!(self.started.insert(*key), "reported as started twice: {key}");
                assert!(self.active.contains(key), "reported as started, but not active: {key}");
            }
            SessionOutput::Ended { end } => self.handle_end(end),
            SessionOutput::Resolved { key, resolution, .. } => {
                assert!(self.active.remove(key), "resolved, but not active: {key}");
                self.resolved.insert(*key, *resolution);
            }
            _ => {}
        }
        self.outputs.push(output);
    }

    fn handle_end(&mut self, end: &WorkerEnd) {
        let task = TaskKey::from(end.task.as_ref().expect("an end names its task"));
        let key = AttemptKey { task, attempt: end.attempt };
        let was_active = self.active.remove(&key);
        let listed = self.worker.finished.iter().find(|listed| listed.end.sequence == end.sequence);
        if let Some(listed) = listed.filter(|_| self.session_matches_worker()) {
            let expired_since = self.worker.expiries > listed.expiries_before;
            let may_not_count = expired_since || end.kind == EndKind::LAPSED;
            assert!(end.counted || may_not_count, "an end was not counted although it had to be: {end:?}");
        }
        assert!(was_active || !end.counted, "an end of a resolved attempt was counted: {end:?}");
        assert!(self.reported_ends.insert(end.sequence), "an end was reported twice: {end:?}");
        self.ended.push(end.clone());
        if !self.withholds_commits {
            let ended = was_active.then_some(key);
            self.commits.push(Commit { at: self.now + COMMIT_DELAY_NS, sequence: end.sequence, ended });
        }
    }

    fn send(&mut self, call: u64, request: WorkerRequest) {
        self.calls += 1;
        let extends = match &request {
            WorkerRequest::Start { .. } => true,
            WorkerRequest::Stop { .. } => false,
            WorkerRequest::RenewLease { last_seen, deadline_ms, .. } => {
                assert!(*last_seen <= self.durable_sequence, "LastSeen exceeds the durable sequence number");
                deadline_ms.is_some()
            }
        };
        assert!(
            !extends || self.now < self.lease_until,
            "a call that needs the leader's lease was sent without it"
        );
        let is_lost = self.now < self.partitioned_until || self.random.u64(..100) < self.network.lost;
        let carried_out = !is_lost || self.random.bool();
        if !carried_out {
            return;
        }
        let delay_ms = if is_lost {
            self.random.u64(..MAX_LATE_DELAY_MS)
        } else {
            self.random.u64(..self.network.delay_ms.max(1))
        };
        let incarnation = self.incarnation_number();
        let at = self.now + delay_ms * MS;
        let session_number = self.session_number;
        self.requests_in_flight.push(RequestInFlight {
            at,
            session_number,
            call,
            incarnation,
            request,
            answers: !is_lost,
        });
    }

    fn incarnation_number(&self) -> u64 {
        let digits = self.session.incarnation().instance.trim_start_matches("i-");
        digits.parse().expect("the number of an incarnation")
    }

    fn deliver_requests(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.requests_in_flight).into_iter().partition(|call| call.at <= now);
        self.requests_in_flight = later;
        let due: Vec<RequestInFlight> = due;
        for call in due {
            let outcome = if call.incarnation == self.worker.incarnation {
                self.worker.handle_call(now, &call.request)
            } else {
                CallOutcome::Refused { now_ms: None, reason: Refusal::WrongIncarnation }
            };
            if !call.answers {
                continue;
            }
            match (&call.request, &outcome) {
                (WorkerRequest::RenewLease { wait_ms, .. }, CallOutcome::Answer { .. }) => {
                    let until = now + wait_ms * MS;
                    self.long_polls.push(LongPoll {
                        until,
                        session_number: call.session_number,
                        call: call.call,
                    });
                }
                _ => self.send_back(call.session_number, call.call, outcome),
            }
        }
    }

    fn answer_long_polls(&mut self) {
        let ready = self.worker.has_unseen_ends();
        let now = self.now;
        let long_polls = std::mem::take(&mut self.long_polls);
        for call in long_polls {
            if ready || call.until <= now {
                let outcome = self.worker.attempt_lists(now);
                self.send_back(call.session_number, call.call, outcome);
            } else {
                self.long_polls.push(call);
            }
        }
    }

    fn send_back(&mut self, session_number: u64, call: u64, outcome: CallOutcome) {
        let is_lost = self.now < self.partitioned_until || self.random.u64(..100) < self.network.unanswered;
        if !is_lost {
            let at = self.now + self.random.u64(..self.network.delay_ms.max(1)) * MS;
            self.answers_in_flight.push(AnswerInFlight { at, session_number, call, outcome });
        }
    }

    fn deliver_answers(&mut self) {
        let now = self.now;
        let mut later = Vec::new();
        for answer in std::mem::take(&mut self.answers_in_flight) {
            if answer.at > now {
                later.push(answer);
            } else if answer.session_number == self.session_number {
                self.session.complete_call(now, answer.call, answer.outcome);
            }
        }
        self.answers_in_flight = later;
    }

    fn commit(&mut self) {
        let now = self.now;
        for commit in &self.commits {
            if commit.at <= now {
                self.durable_sequence = self.durable_sequence.max(commit.sequence);
            }
        }
        self.commits.retain(|commit| commit.at > now);
        self.session.acknowledge_ends(self.durable_sequence);
    }

    /// Asserts that no resolved attempt runs. Called at each step, so that a later run is found, too.
    fn assert_resolved_attempts_do_not_run(&self) {
        if !self.session_matches_worker() {
            return;
        }
        for key in self.resolved.keys() {
            assert!(!self.worker.runs(key), "resolved as {:?}, but still running: {key}", self.resolved[key]);
        }
    }
}
