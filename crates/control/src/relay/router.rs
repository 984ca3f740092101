//! The leader's side: chooses the machine that calls each worker, and tracks the calls in flight.

use super::fencing_token::{fencing_token, MAX_ROUTE_CHANGES};
use super::session::{RelaySession, ReportCheck};
use super::wire::outcome_from_wire;
use crate::worker_calls::WorkerCall;
use consensus::NodeId;
use messages::peer::{RelayReport, WorkerCallBatch};
use scheduler::leader::CallId;
use scheduler::worker::{CallOutcome, Refusal, WorkerRequest};
use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A leader with fewer workers than this calls them itself: relaying would cost more than it saves.
pub const MIN_RELAYED_WORKERS: usize = 500;

/// A finished call and its outcome, for the leader.
pub type FinishedCall = (CallId, CallOutcome);

/// The process that makes the calls to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Caller {
    /// This process.
    Leader,
    /// Another core process.
    Relay(NodeId),
}

/// The route to one worker.
#[derive(Debug, Clone, Copy)]
struct Route {
    caller: Caller,
    /// Number of changes of the caller in this term.
    changes: u64,
    /// Number of orders (starts and stops) in flight.
    orders: usize,
}

/// A call whose outcome is not known yet.
#[derive(Debug, Clone, Copy)]
struct InFlightCall {
    caller: Caller,
    fencing_token: u64,
    /// Whether the call is a start or a stop.
    is_order: bool,
}

/// Where a cancelled call is being made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancellation {
    /// This process makes the call and must cancel it.
    Local,
    /// The next batch tells the relay that makes the call, or no process has the call any more.
    Remote,
}

/// Routes a leader's calls. Used only after `begin_term`. Times are nanoseconds of the steady clock.
#[derive(Debug, Default)]
pub struct CallRouter {
    own_id: NodeId,
    term: u64,
    min_relayed_workers: usize,
    /// Number of workers that the leader knew when its term began.
    initial_workers: usize,
    relays: BTreeMap<NodeId, RelaySession>,
    /// Routes by the leader's number of the worker.
    routes: HashMap<u64, Route>,
    in_flight: HashMap<CallId, InFlightCall>,
}

impl CallRouter {
    /// Creates the router of process `own_id`, which uses relays from `min_relayed_workers` workers on.
    pub fn new(own_id: NodeId, min_relayed_workers: usize) -> Self {
        CallRouter { own_id, min_relayed_workers, ..CallRouter::default() }
    }

    /// Starts `term`, which this process leads with `workers` known workers.
    pub fn begin_term(&mut self, term: u64, workers: usize) {
        self.end_term();
        self.term = term;
        self.initial_workers = workers;
    }

    /// Ends the term: this process no longer leads, and the outcomes of all calls are ignored.
    pub fn end_term(&mut self) {
        self.relays.clear();
        self.routes.clear();
        self.in_flight.clear();
    }

    /// Sets the members of the group; all except this process are relays. Returns the interrupted calls of
    /// removed relays.
    pub fn set_members(&mut self, now: u64, members: &[NodeId]) -> Vec<FinishedCall> {
        let removed: Vec<NodeId> = self.relays.keys().filter(|id| !members.contains(id)).copied().collect();
        let mut interrupted = Vec::new();
        for id in removed {
            interrupted.extend(self.handle_relay_loss(now, id));
            self.relays.remove(&id);
        }
        for id in members.iter().filter(|id| **id != self.own_id) {
            self.relays.entry(*id).or_insert_with(|| RelaySession::new(now));
        }
        interrupted
    }

    /// Number of relays that accept calls.
    pub fn ready_relays(&self) -> usize {
        self.relays.values().filter(|relay| relay.is_ready()).count()
    }

    /// Number of calls in flight at relays.
    pub fn relayed_calls(&self) -> usize {
        self.in_flight.values().filter(|call| call.caller != Caller::Leader).count()
    }

    /// Routes a call, which may be sent until `lease_until`. Returns the call with its fencing token if this
    /// process must make it. Otherwise the next batch carries the call to its relay, and the result is
    /// `None`.
    pub fn route(&mut self, mut call: WorkerCall, lease_until: u64) -> Option<WorkerCall> {
        let (caller, changes) = self.caller_for(&call);
        let token = fencing_token(self.term, changes);
        call.request.set_fencing_token(token);
        let is_order = !matches!(call.request, WorkerRequest::RenewLease { .. });
        if let Some(route) = self.routes.get_mut(&call.call.worker).filter(|_| is_order) {
            route.orders += 1;
        }
        self.in_flight.insert(call.call, InFlightCall { caller, fencing_token: token, is_order });
        let Caller::Relay(relay) = caller else { return Some(call) };
        if let Some(session) = self.relays.get_mut(&relay) {
            let limit = call.send_deadline.map_or(lease_until, |expiry| expiry.min(lease_until));
            call.send_deadline = Some(session.send_deadline(limit));
            session.push(call);
        }
        None
    }

    /// The process that makes a call now, and how often that process has changed. The process stays the same
    /// while orders are in flight, unless it is a lost relay.
    fn caller_for(&mut self, call: &WorkerCall) -> (Caller, u64) {
        let wanted = self.preferred_caller(&call.address);
        let route =
            self.routes.entry(call.call.worker).or_insert(Route { caller: wanted, changes: 0, orders: 0 });
        let is_lost = match route.caller {
            Caller::Leader => false,
            Caller::Relay(id) => !self.relays.get(&id).is_some_and(RelaySession::is_ready),
        };
        let may_change = (is_lost || route.orders == 0) && route.changes < MAX_ROUTE_CHANGES;
        if route.caller != wanted && may_change {
            route.caller = wanted;
            route.changes += 1;
        }
        (route.caller, route.changes)
    }

    /// The relay with the highest weight for this worker. The loss of a relay therefore moves only the routes
    /// over that relay.
    fn preferred_caller(&self, address: &str) -> Caller {
        if !self.uses_relays() {
            return Caller::Leader;
        }
        let ready = self.relays.iter().filter(|(_, relay)| relay.is_ready()).map(|(id, _)| *id);
        ready.max_by_key(|id| (weight(address, *id), *id)).map_or(Caller::Leader, Caller::Relay)
    }

    /// Whether there are enough workers to use relays.
    fn uses_relays(&self) -> bool {
        self.routes.len().max(self.initial_workers) >= self.min_relayed_workers
    }

    /// Cancels a call that is no longer needed.
    pub fn cancel(&mut self, call: CallId) -> Cancellation {
        match self.remove(call).map(|in_flight| in_flight.caller) {
            Some(Caller::Leader) => Cancellation::Local,
            Some(Caller::Relay(id)) => {
                if let Some(relay) = self.relays.get_mut(&id) {
                    relay.cancel(call);
                }
                Cancellation::Remote
            }
            None => Cancellation::Remote,
        }
    }

    /// Handles the end of a call that this process made. Returns the outcome for the leader; `None` if the
    /// call is unknown.
    pub fn finish_local_call(&mut self, call: CallId, outcome: CallOutcome) -> Option<CallOutcome> {
        let known = self.in_flight.get(&call).is_some_and(|in_flight| in_flight.caller == Caller::Leader);
        if !known {
            return None;
        }
        self.finish(call, outcome)
    }

    fn finish(&mut self, call: CallId, outcome: CallOutcome) -> Option<CallOutcome> {
        let in_flight = self.remove(call)?;
        let current =
            self.routes.get(&call.worker).map_or(0, |route| fencing_token(self.term, route.changes));
        let is_stale = matches!(outcome, CallOutcome::Refused { reason: Refusal::StaleFencingToken, .. });
        // The worker has seen the token of its newer route, which belongs to this same leader.
        Some(if is_stale && in_flight.fencing_token < current { CallOutcome::Interrupted } else { outcome })
    }

    fn remove(&mut self, call: CallId) -> Option<InFlightCall> {
        let in_flight = self.in_flight.remove(&call)?;
        if let Some(route) = self.routes.get_mut(&call.worker).filter(|_| in_flight.is_order) {
            route.orders = route.orders.saturating_sub(1);
        }
        Some(in_flight)
    }

    /// Takes the due batches, each with its relay.
    pub fn take_batches(&mut self, now: u64) -> Vec<(NodeId, WorkerCallBatch)> {
        if !self.uses_relays() {
            return Vec::new();
        }
        let (own_id, term, has_calls) = (self.own_id, self.term, !self.in_flight.is_empty());
        let batches = self.relays.iter_mut();
        batches
            .filter_map(|(id, relay)| Some((*id, relay.take_batch(now, own_id, term, has_calls)?)))
            .collect()
    }

    /// Handles a relay's report. Returns the finished calls for the leader.
    pub fn receive_report(&mut self, now: u64, report: RelayReport) -> Vec<FinishedCall> {
        if report.term != self.term {
            return Vec::new();
        }
        let Some(relay) = self.relays.get_mut(&report.from) else { return Vec::new() };
        match relay.receive_report(now, &report) {
            ReportCheck::OtherSession => return Vec::new(),
            ReportCheck::Gap => return self.handle_relay_loss(now, report.from),
            ReportCheck::Expected => {}
        }
        let caller = Caller::Relay(report.from);
        let mut finished = Vec::with_capacity(report.outcomes.len());
        for outcome in report.outcomes {
            let Some((call, outcome)) = outcome_from_wire(outcome) else { continue };
            if self.in_flight.get(&call).is_none_or(|in_flight| in_flight.caller != caller) {
                continue;
            }
            finished.extend(self.finish(call, outcome).map(|outcome| (call, outcome)));
        }
        finished
    }

    /// Ends the session with a relay that is lost or unreachable. Returns its calls, whose outcomes are now
    /// unknown.
    pub fn handle_relay_loss(&mut self, now: u64, id: NodeId) -> Vec<FinishedCall> {
        let Some(relay) = self.relays.get_mut(&id).filter(|relay| relay.is_open()) else { return Vec::new() };
        let was_ready = relay.is_ready();
        relay.end(now);
        let calls = self.in_flight.iter().filter(|(_, in_flight)| in_flight.caller == Caller::Relay(id));
        let mut calls: Vec<CallId> = calls.map(|(call, _)| *call).collect();
        calls.sort_unstable();
        for call in &calls {
            self.remove(*call);
        }
        if was_ready {
            log::warn!("relay lost id={id:x} calls={}", calls.len());
        }
        calls.into_iter().map(|call| (call, CallOutcome::Interrupted)).collect()
    }

    /// Ends the sessions of relays whose reports are overdue. Everything that arrived before `read_until` has
    /// been handled, so a report due by then is missing. Returns the interrupted calls.
    pub fn expire_overdue_relays(&mut self, now: u64, read_until: u64) -> Vec<FinishedCall> {
        let is_overdue = |relay: &RelaySession| relay.overdue_at().is_some_and(|at| at <= read_until);
        let overdue = self.relays.iter().filter(|(_, relay)| is_overdue(relay)).map(|(id, _)| *id);
        let overdue: Vec<NodeId> = overdue.collect();
        overdue.into_iter().flat_map(|id| self.handle_relay_loss(now, id)).collect()
    }

    /// Whether a report is overdue but may have arrived unread: `expire_overdue_relays` must be called once
    /// the input has been read.
    pub fn awaits_input(&self, now: u64) -> bool {
        self.relays.values().filter_map(RelaySession::overdue_at).any(|at| at <= now)
    }

    /// When `take_batches` or `expire_overdue_relays` is next due, if nothing else happens before. Relays
    /// that are overdue already are left out, because they wait for input to be read.
    pub fn next_timer(&self, now: u64) -> u64 {
        if !self.uses_relays() {
            return u64::MAX;
        }
        let has_calls = !self.in_flight.is_empty();
        let batches = self.relays.values().filter_map(|relay| relay.next_batch_at(has_calls));
        let overdue = self.relays.values().filter_map(RelaySession::overdue_at).filter(|at| *at > now);
        batches.chain(overdue).min().unwrap_or(u64::MAX)
    }
}

/// The weight of a relay for a worker. Every leader computes the same weight, so that a relay's connections
/// stay useful after a change of leaders.
fn weight(address: &str, relay: NodeId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (address, relay).hash(&mut hasher);
    hasher.finish()
}
