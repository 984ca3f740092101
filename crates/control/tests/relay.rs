//! Calls to workers over relays: which process makes a call, with which fencing token and deadline, and what
//! happens to calls whose relay fails. The tests connect the two sides directly, so that messages can be
//! lost, delayed or come from another session.

use control::clock::{MILLISECOND, SECOND};
use control::relay::{fencing_token, AgentAction, CallRouter, Cancellation, RelayAgent, RELAY_TIMEOUT_NS};
use control::worker_calls::WorkerCall;
use messages::peer::{RelayReport, WorkerCallBatch};
use scheduler::ids::{AttemptKey, TaskKey};
use scheduler::leader::CallId;
use scheduler::worker::{CallOutcome, Refusal, RunningEntry, WorkerRequest};

const LEADER: u64 = 1;
const RELAYS: [u64; 2] = [2, 3];
const TERM: u64 = 7;
/// How far the relays' clocks are ahead of the leader's clock.
const CLOCK_OFFSET_NS: u64 = 1_000 * SECOND;
const LEASE_UNTIL: u64 = 60 * SECOND;

fn address(worker: u64) -> String {
    format!("10.0.0.{worker}:8080")
}

fn attempt() -> AttemptKey {
    AttemptKey { task: TaskKey { job: 5, time: 1, step: 2, index: 3 }, attempt: 4 }
}

fn call_of(worker: u64, call: u64, request: WorkerRequest) -> WorkerCall {
    WorkerCall::new(CallId { worker, call }, address(worker), format!("i-{worker}"), request)
}

fn start(worker: u64, call: u64, expires_at: u64) -> WorkerCall {
    let request = WorkerRequest::Start {
        key: attempt(),
        spec: "text".into(),
        checkpoint: "saved".to_owned(),
        deadline_ms: 5_000,
        fencing_token: TERM,
        expires_at,
    };
    call_of(worker, call, request)
}

fn renewal(worker: u64, call: u64) -> WorkerCall {
    let request = WorkerRequest::RenewLease {
        fencing_token: TERM,
        last_seen: 9,
        deadline_ms: Some(7_000),
        wait_ms: 1_000,
    };
    call_of(worker, call, request)
}

fn stop(worker: u64, call: u64) -> WorkerCall {
    call_of(worker, call, WorkerRequest::Stop { key: attempt(), fencing_token: TERM })
}

/// An action of a relay.
type RelayAction = (u64, AgentAction);
/// A finished call and its outcome, for the leader.
type FinishedCall = (CallId, CallOutcome);

/// A leader's router and the agents of its relays.
struct Group {
    now: u64,
    router: CallRouter,
    agents: Vec<RelayAgent>,
}

impl Group {
    /// A leader with two relays that have answered; all calls are relayed.
    fn ready() -> Group {
        let mut group = Group::unanswered(0);
        group.exchange();
        assert_eq!(group.router.ready_relays(), RELAYS.len());
        group
    }

    fn unanswered(min_relayed_workers: usize) -> Group {
        let mut router = CallRouter::new(LEADER, min_relayed_workers);
        router.begin_term(TERM, 0);
        let group = [LEADER].into_iter().chain(RELAYS).collect::<Vec<u64>>();
        assert!(router.set_members(SECOND, &group).is_empty());
        let agents = RELAYS.map(RelayAgent::new).into();
        Group { now: SECOND, router, agents }
    }

    fn agent(&mut self, id: u64) -> &mut RelayAgent {
        let position = RELAYS.iter().position(|relay| *relay == id).expect("a relay");
        &mut self.agents[position]
    }

    fn batches(&mut self) -> Vec<(u64, WorkerCallBatch)> {
        self.router.take_batches(self.now)
    }

    fn deliver(&mut self, relay: u64, batch: WorkerCallBatch) -> Vec<AgentAction> {
        self.agent(relay).receive_batch(TERM, batch)
    }

    fn report_of(&mut self, relay: u64) -> Option<RelayReport> {
        let clock = self.now + CLOCK_OFFSET_NS;
        let (leader, report) = self.agent(relay).take_report(clock)?;
        assert_eq!(leader, LEADER);
        Some(report)
    }

    /// Delivers all due batches and reports once. Returns the relays' actions and the finished calls for the
    /// leader.
    fn exchange(&mut self) -> (Vec<RelayAction>, Vec<FinishedCall>) {
        let mut actions = Vec::new();
        for (relay, batch) in self.batches() {
            let of_relay = self.deliver(relay, batch);
            actions.extend(of_relay.into_iter().map(|action| (relay, action)));
        }
        let mut outcomes = Vec::new();
        for relay in RELAYS {
            if let Some(report) = self.report_of(relay) {
                outcomes.extend(self.router.receive_report(self.now, report));
            }
        }
        (actions, outcomes)
    }

    /// Routes a call, which must go to a relay. Returns the relay and the call as it arrives there.
    fn relay(&mut self, call: WorkerCall) -> (u64, WorkerCall) {
        assert!(self.router.route(call, LEASE_UNTIL).is_none(), "the call goes to a relay");
        let (mut actions, _) = self.exchange();
        match actions.pop() {
            Some((relay, AgentAction::Start(call))) if actions.is_empty() => (relay, call),
            other => panic!("one call: {other:?} after {actions:?}"),
        }
    }

    fn lose(&mut self, relay: u64) -> Vec<FinishedCall> {
        self.router.handle_relay_loss(self.now, relay)
    }
}

fn token_of(call: &WorkerCall) -> u64 {
    call.request.fencing_token()
}

#[test]
fn relaying_changes_only_the_token_and_the_deadline_of_calls() {
    let mut group = Group::ready();
    for (number, call) in [start(4, 1, LEASE_UNTIL), renewal(4, 2), stop(4, 3)].into_iter().enumerate() {
        let (_, mut arrived) = group.relay(call.clone());
        assert!(token_of(&arrived) > TERM);
        arrived.request.set_fencing_token(TERM);
        if let WorkerRequest::Start { expires_at, .. } = &mut arrived.request {
            assert_eq!(Some(*expires_at), arrived.send_deadline);
            *expires_at = LEASE_UNTIL;
        }
        arrived.send_deadline = call.send_deadline;
        assert_eq!(arrived, call, "call {number}");
    }
    let running = vec![RunningEntry { key: attempt(), checkpoint: "c".to_owned(), percent: 40 }];
    let outcomes = [
        CallOutcome::Answer { now_ms: 5 },
        CallOutcome::Lists { now_ms: 6, running, finished: vec![Default::default()] },
        CallOutcome::Refused { now_ms: None, reason: Refusal::NoCapacity },
    ];
    for (number, outcome) in outcomes.iter().enumerate() {
        let id = CallId { worker: 4, call: number as u64 + 1 };
        for relay in RELAYS {
            group.agent(relay).call_finished(id, outcome.clone());
        }
        let (_, finished) = group.exchange();
        assert_eq!(finished, [(id, outcome.clone())], "only from the relay that makes the call");
    }
}

#[test]
fn leader_with_few_workers_or_without_relays_makes_calls_itself() {
    let mut few = Group::unanswered(500);
    assert!(few.batches().is_empty(), "relays that are not needed get nothing");
    assert_eq!(few.router.next_timer(few.now), u64::MAX);
    let call = few.router.route(renewal(4, 1), LEASE_UNTIL).expect("made by the leader");
    assert_eq!(token_of(&call), fencing_token(TERM, 0));
    let mut unanswered = Group::unanswered(0);
    assert!(unanswered.router.route(renewal(4, 1), LEASE_UNTIL).is_some(), "no relay has answered");
    let mut alone = CallRouter::new(LEADER, 0);
    alone.begin_term(TERM, 10_000);
    assert!(alone.set_members(0, &[LEADER]).is_empty());
    assert!(alone.take_batches(0).is_empty());
    assert!(alone.route(renewal(4, 1), LEASE_UNTIL).is_some());
    let outcome = CallOutcome::Answer { now_ms: 1 };
    let id = CallId { worker: 4, call: 1 };
    assert_eq!(alone.finish_local_call(id, outcome.clone()), Some(outcome));
}

#[test]
fn route_changes_with_a_higher_token_and_not_during_orders() {
    let mut group = Group::unanswered(0);
    let order = group.router.route(stop(4, 1), LEASE_UNTIL).expect("no relay has answered");
    group.exchange();
    let renewed =
        group.router.route(renewal(4, 2), LEASE_UNTIL).expect("an order of the leader is in flight");
    assert_eq!(token_of(&renewed), token_of(&order));
    group.router.finish_local_call(CallId { worker: 4, call: 1 }, CallOutcome::Answer { now_ms: 1 });
    let (_, relayed) = group.relay(renewal(4, 3));
    assert_eq!(token_of(&relayed), fencing_token(TERM, 1));
    assert!(fencing_token(TERM, 1) > token_of(&order));
    assert!(
        fencing_token(TERM + 1, 0) > fencing_token(TERM, u64::MAX),
        "tokens of a later term are higher than all of them"
    );
}

#[test]
fn token_of_a_newer_route_does_not_fence_the_same_leader() {
    let mut group = Group::unanswered(0);
    let id = CallId { worker: 4, call: 1 };
    group.router.route(renewal(4, 1), LEASE_UNTIL).expect("no relay has answered");
    group.exchange();
    let (relay, _) = group.relay(renewal(4, 2));
    let stale = CallOutcome::Refused { now_ms: Some(1), reason: Refusal::StaleFencingToken };
    assert_eq!(group.router.finish_local_call(id, stale.clone()), Some(CallOutcome::Interrupted));
    // The worker rejected a call with the newest token: it has seen another leader.
    group.agent(relay).call_finished(CallId { worker: 4, call: 2 }, stale.clone());
    assert_eq!(group.exchange().1, [(CallId { worker: 4, call: 2 }, stale)]);
}

#[test]
fn calls_of_a_lost_relay_are_interrupted_and_routes_move_with_higher_tokens() {
    let mut group = Group::ready();
    let (relay, ordered) = group.relay(start(4, 1, LEASE_UNTIL));
    assert_eq!(group.lose(relay), [(CallId { worker: 4, call: 1 }, CallOutcome::Interrupted)]);
    assert!(group.lose(relay).is_empty(), "once");
    let (other, moved) = group.relay(stop(4, 2));
    assert_ne!(other, relay);
    assert!(token_of(&moved) > token_of(&ordered));
    group.lose(other);
    let direct = group.router.route(renewal(4, 3), LEASE_UNTIL).expect("no relay is left");
    assert!(token_of(&direct) > token_of(&moved));
}

#[test]
fn loss_of_a_relay_keeps_routes_over_the_other_relay() {
    let mut group = Group::ready();
    let routes: Vec<(u64, u64)> =
        (1..=40).map(|worker| (worker, group.relay(renewal(worker, 1)).0)).collect();
    let over_first = routes.iter().filter(|(_, relay)| *relay == RELAYS[0]).count();
    assert!((8..=32).contains(&over_first), "both relays get workers: {over_first} of 40");
    group.lose(RELAYS[0]);
    for (worker, relay) in routes {
        let (_, call) = group.relay(renewal(worker, 2));
        let changes = u64::from(relay == RELAYS[0]);
        assert_eq!(token_of(&call), fencing_token(TERM, changes), "worker {worker}");
    }
}

#[test]
fn frozen_relay_is_lost_only_after_input_was_read() {
    let mut group = Group::ready();
    let (relay, _) = group.relay(renewal(4, 1));
    group.now += SECOND;
    assert!(group.router.route(renewal(4, 2), LEASE_UNTIL).is_none());
    let sent_at = group.now;
    group.batches();
    let overdue_at = sent_at + RELAY_TIMEOUT_NS;
    // The leader itself was stalled: the report may have arrived unread.
    group.now = overdue_at + 5 * SECOND;
    assert!(group.router.awaits_input(group.now));
    assert!(group.router.expire_overdue_relays(group.now, overdue_at - 1).is_empty());
    let interrupted = group.router.expire_overdue_relays(group.now, overdue_at);
    let calls: Vec<u64> = interrupted.iter().map(|(call, _)| call.call).collect();
    assert_eq!(calls, [1, 2]);
    assert!(interrupted.iter().all(|(_, outcome)| *outcome == CallOutcome::Interrupted));
    assert!(!group.router.awaits_input(group.now) || group.router.ready_relays() < RELAYS.len());
    assert_ne!(group.router.ready_relays(), RELAYS.len(), "{relay}");
}

#[test]
fn relay_with_calls_in_flight_gets_keepalives() {
    let mut group = Group::ready();
    let (relay, _) = group.relay(renewal(4, 1));
    assert!(group.batches().is_empty());
    let due = group.router.next_timer(group.now);
    assert!(due > group.now && due <= group.now + 100 * MILLISECOND);
    group.now = due;
    let asked: Vec<u64> = group.batches().into_iter().map(|(id, _)| id).collect();
    assert!(asked.contains(&relay));
}

#[test]
fn first_call_after_an_idle_hour_does_not_expire_in_transit() {
    let mut group = Group::ready();
    for _ in 0..3_600 {
        group.now = group.router.next_timer(group.now);
        assert!(group.now < 10_000 * SECOND, "a timer");
        group.exchange();
    }
    let lease_until = group.now + 300 * MILLISECOND;
    assert!(group.router.route(renewal(4, 1), lease_until).is_none());
    let batch = group.batches().into_iter().find(|(_, batch)| !batch.calls.is_empty()).expect("a batch").1;
    assert!(batch.calls[0].leave_by > group.now + 200 * MILLISECOND + CLOCK_OFFSET_NS);
}

#[test]
fn lost_report_ends_the_session() {
    let mut group = Group::ready();
    let (relay, _) = group.relay(renewal(4, 1));
    group.agent(relay).call_finished(CallId { worker: 4, call: 1 }, CallOutcome::Answer { now_ms: 1 });
    group.report_of(relay).expect("a report, which is lost");
    group.agent(relay).call_finished(CallId { worker: 9, call: 1 }, CallOutcome::NoResponse);
    let (_, outcomes) = group.exchange();
    assert_eq!(outcomes, [(CallId { worker: 4, call: 1 }, CallOutcome::Interrupted)]);
}

#[test]
fn lost_batch_ends_the_session_before_later_calls_are_made() {
    let mut group = Group::ready();
    assert!(group.router.route(renewal(4, 1), LEASE_UNTIL).is_none());
    let lost: Vec<u64> = group.batches().into_iter().map(|(relay, _)| relay).collect();
    assert!(group.router.route(renewal(4, 2), LEASE_UNTIL).is_none());
    let (actions, outcomes) = group.exchange();
    assert!(actions.is_empty(), "{actions:?}");
    assert_eq!(outcomes.len(), 2, "{lost:?}");
    group.now += SECOND;
    let (actions, _) = group.exchange();
    assert!(matches!(actions[..], [(_, AgentAction::AbandonCalls)]), "a new session: {actions:?}");
    let (relay, call) = group.relay(renewal(4, 3));
    assert_eq!((vec![relay], token_of(&call)), (lost, fencing_token(TERM, 0)));
}

#[test]
fn restarted_relay_accepts_no_call_with_a_deadline_of_its_previous_clock() {
    let mut group = Group::ready();
    let (relay, _) = group.relay(renewal(4, 1));
    *group.agent(relay) = RelayAgent::new(relay);
    assert!(group.router.route(start(4, 2, LEASE_UNTIL), LEASE_UNTIL).is_none());
    let (actions, outcomes) = group.exchange();
    assert!(actions.is_empty(), "{actions:?}");
    assert_eq!(outcomes.len(), 2, "both calls are interrupted");
}

#[test]
fn relayed_calls_expire_with_the_lease_or_their_own_expiry() {
    let mut group = Group::ready();
    let read_at = group.now;
    // The rates of the two clocks differ by at most two percent.
    let latest = |limit: u64| limit + CLOCK_OFFSET_NS - (limit - read_at) / 50;
    group.now += 100 * MILLISECOND;
    for (call, limit) in
        [(start(4, 1, 3 * SECOND), 3 * SECOND), (renewal(4, 2), LEASE_UNTIL), (stop(4, 3), LEASE_UNTIL)]
    {
        assert!(group.router.route(call, LEASE_UNTIL).is_none());
        let batch =
            group.batches().into_iter().find(|(_, batch)| !batch.calls.is_empty()).expect("a batch").1;
        let leave_by = batch.calls[0].leave_by;
        assert!(leave_by <= latest(limit), "{leave_by}");
        assert!(leave_by + 100 * MILLISECOND >= latest(limit), "and not much earlier: {leave_by}");
    }
    assert!(group.router.route(start(4, 4, read_at - 1), LEASE_UNTIL).is_none());
    let batch = group.batches().into_iter().find(|(_, batch)| !batch.calls.is_empty()).expect("a batch").1;
    assert!(batch.calls[0].leave_by <= read_at + CLOCK_OFFSET_NS, "the call has expired when it arrives");
}

#[test]
fn relay_abandons_and_rejects_calls_of_a_replaced_leader() {
    let mut group = Group::ready();
    let (relay, _) = group.relay(start(4, 1, LEASE_UNTIL));
    assert!(group.router.route(start(4, 2, LEASE_UNTIL), LEASE_UNTIL).is_none());
    let delayed = group.batches().into_iter().find(|(id, _)| *id == relay).expect("a batch").1;
    let first = WorkerCallBatch { from: 3, term: TERM + 1, session: 1, number: 1, ..Default::default() };
    let actions = group.agent(relay).receive_batch(TERM + 1, first);
    assert!(matches!(actions[..], [AgentAction::AbandonCalls]), "{actions:?}");
    assert!(group.agent(relay).receive_batch(TERM + 1, delayed.clone()).is_empty());
    let mut knows_of_newer_term = RelayAgent::new(relay);
    assert!(knows_of_newer_term.receive_batch(TERM + 1, delayed).is_empty());
    assert!(!knows_of_newer_term.is_report_due());
}

#[test]
fn newer_term_ends_the_session_of_a_relay() {
    let mut group = Group::ready();
    let (relay, _) = group.relay(start(4, 1, LEASE_UNTIL));
    assert!(!group.agent(relay).end_session_before(TERM));
    assert!(group.agent(relay).end_session_before(TERM + 1), "its calls must be abandoned");
    assert!(!group.agent(relay).end_session_before(TERM + 1));
    group.agent(relay).call_finished(CallId { worker: 4, call: 1 }, CallOutcome::NoResponse);
    assert!(group.report_of(relay).is_none());
}

#[test]
fn cancellation_reaches_the_calling_process_and_removes_unsent_calls() {
    let mut group = Group::ready();
    let id = |call| CallId { worker: 4, call };
    group.relay(renewal(4, 1));
    assert_eq!(group.router.cancel(id(1)), Cancellation::Remote);
    let (actions, _) = group.exchange();
    assert!(matches!(actions[..], [(_, AgentAction::Cancel(call))] if call == id(1)), "{actions:?}");
    assert!(group.router.route(renewal(4, 2), LEASE_UNTIL).is_none());
    assert_eq!(group.router.cancel(id(2)), Cancellation::Remote);
    assert!(group.exchange().0.is_empty());
    for relay in RELAYS {
        group.lose(relay);
    }
    group.router.route(renewal(4, 3), LEASE_UNTIL).expect("no relay is left");
    assert_eq!(group.router.cancel(id(3)), Cancellation::Local);
    assert_eq!(group.router.finish_local_call(id(3), CallOutcome::NoResponse), None);
}

#[test]
fn removed_member_is_no_longer_a_relay() {
    let mut group = Group::ready();
    let (relay, _) = group.relay(renewal(4, 1));
    let left: Vec<u64> = [LEADER].into_iter().chain(RELAYS).filter(|id| *id != relay).collect();
    let interrupted = group.router.set_members(group.now, &left);
    assert_eq!(interrupted, [(CallId { worker: 4, call: 1 }, CallOutcome::Interrupted)]);
    assert_ne!(group.relay(renewal(4, 2)).0, relay);
}

#[test]
fn outcome_of_an_ended_term_is_ignored() {
    let mut group = Group::ready();
    let (relay, _) = group.relay(renewal(4, 1));
    group.agent(relay).call_finished(CallId { worker: 4, call: 1 }, CallOutcome::Answer { now_ms: 1 });
    let late = group.report_of(relay).expect("a report");
    group.router.end_term();
    assert!(group.router.receive_report(group.now, late.clone()).is_empty());
    group.router.begin_term(TERM + 1, 0);
    assert!(group.router.set_members(group.now, &[LEADER, RELAYS[0], RELAYS[1]]).is_empty());
    assert!(group.router.receive_report(group.now, late).is_empty());
}
