//! The leader's choice of the machine that calls a worker, and the calls that relays make for it.

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

/// A leader calls as many workers itself: for so few, the way over a relay costs more than it saves.
pub const MIN_RELAYED_WORKERS: usize = 500;

/// An outcome for the leader.
pub type FinishedCall = (CallId, CallOutcome);

/// Who makes the calls to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Carrier {
    /// This process.
    Leader,
    /// Another core process.
    Relay(NodeId),
}

/// The way to one worker.
#[derive(Debug, Clone, Copy)]
struct Route {
    carrier: Carrier,
    /// How often the carrier has changed in this term.
    changes: u64,
    /// Starts and stops in flight.
    orders: usize,
}

/// A call without an outcome.
#[derive(Debug, Clone, Copy)]
struct InFlightCall {
    carrier: Carrier,
    fencing_token: u64,
    is_order: bool,
}

/// Whom a cancellation concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancellation {
    /// This process makes the call and must cancel it.
    Here,
    /// A relay is told with the next batch, or nobody has the call any more.
    Elsewhere,
}

/// Routes of a leader's calls. Without a term it routes nothing. Times are nanoseconds of the steady clock.
#[derive(Debug, Default)]
pub struct CallRouter {
    own_id: NodeId,
    term: u64,
    min_relayed_workers: usize,
    /// Workers that the leader knew when its term began.
    initial_workers: usize,
    relays: BTreeMap<NodeId, RelaySession>,
    /// By the leader's number of the worker.
    routes: HashMap<u64, Route>,
    in_flight: HashMap<CallId, InFlightCall>,
}

impl CallRouter {
    /// The router of this process, which calls `min_relayed_workers` itself.
    pub fn new(own_id: NodeId, min_relayed_workers: usize) -> Self {
        CallRouter { own_id, min_relayed_workers, ..CallRouter::default() }
    }

    /// This process leads `term` and knows so many workers.
    pub fn begin_term(&mut self, term: u64, workers: usize) {
        self.end_term();
        self.term = term;
        self.initial_workers = workers;
    }

    /// This process leads no longer: the outcomes of all calls are ignored.
    pub fn end_term(&mut self) {
        self.relays.clear();
        self.routes.clear();
        self.in_flight.clear();
    }

    /// The members of the group: all but this one are relays. Gives the calls of those that are gone.
    pub fn set_members(&mut self, now: u64, members: &[NodeId]) -> Vec<FinishedCall> {
        let gone: Vec<NodeId> = self.relays.keys().filter(|id| !members.contains(id)).copied().collect();
        let mut interrupted = Vec::new();
        for id in gone {
            interrupted.extend(self.relay_lost(now, id));
            self.relays.remove(&id);
        }
        for id in members.iter().filter(|id| **id != self.own_id) {
            self.relays.entry(*id).or_insert_with(|| RelaySession::new(now));
        }
        interrupted
    }

    /// Relays that take calls.
    pub fn ready_relays(&self) -> usize {
        self.relays.values().filter(|relay| relay.is_ready()).count()
    }

    /// Calls that relays make.
    pub fn relayed_calls(&self) -> usize {
        self.in_flight.values().filter(|call| call.carrier != Carrier::Leader).count()
    }

    /// Routes a call, which may leave until `lease_until`. Gives it back, with its fencing token, if this process has to
    /// make it; otherwise it goes with the next batch to its relay.
    pub fn route(&mut self, mut call: WorkerCall, lease_until: u64) -> Option<WorkerCall> {
        let (carrier, changes) = self.carrier_for(&call);
        let token = fencing_token(self.term, changes);
        call.request.set_fencing_token(token);
        let is_order = !matches!(call.request, WorkerRequest::RenewLease { .. });
        if let Some(route) = self.routes.get_mut(&call.call.worker).filter(|_| is_order) {
            route.orders += 1;
        }
        self.in_flight.insert(call.call, InFlightCall { carrier, fencing_token: token, is_order });
        let Carrier::Relay(relay) = carrier else { return Some(call) };
        if let Some(session) = self.relays.get_mut(&relay) {
            let limit = call.leave_by.map_or(lease_until, |expiry| expiry.min(lease_until));
            call.leave_by = Some(session.leave_by(limit));
            session.push(call);
        }
        None
    }

    /// The machine that is to make a call now, and how often it has changed. It stays the same while orders are in
    /// flight, unless it is lost.
    fn carrier_for(&mut self, call: &WorkerCall) -> (Carrier, u64) {
        let wanted = self.wanted_carrier(&call.address);
        let route =
            self.routes.entry(call.call.worker).or_insert(Route { carrier: wanted, changes: 0, orders: 0 });
        let is_lost = match route.carrier {
            Carrier::Leader => false,
            Carrier::Relay(id) => !self.relays.get(&id).is_some_and(RelaySession::is_ready),
        };
        let may_change = (is_lost || route.orders == 0) && route.changes < MAX_ROUTE_CHANGES;
        if route.carrier != wanted && may_change {
            route.carrier = wanted;
            route.changes += 1;
        }
        (route.carrier, route.changes)
    }

    /// The relay with the highest weight for this worker: the loss of one moves the routes over it alone.
    fn wanted_carrier(&self, address: &str) -> Carrier {
        if !self.uses_relays() {
            return Carrier::Leader;
        }
        let ready = self.relays.iter().filter(|(_, relay)| relay.is_ready()).map(|(id, _)| *id);
        ready.max_by_key(|id| (weight(address, *id), *id)).map_or(Carrier::Leader, Carrier::Relay)
    }

    /// Whether there are so many workers that relays call them.
    fn uses_relays(&self) -> bool {
        self.routes.len().max(self.initial_workers) >= self.min_relayed_workers
    }

    /// A call is no longer needed.
    pub fn cancel(&mut self, call: CallId) -> Cancellation {
        match self.remove(call).map(|in_flight| in_flight.carrier) {
            Some(Carrier::Leader) => Cancellation::Here,
            Some(Carrier::Relay(id)) => {
                if let Some(relay) = self.relays.get_mut(&id) {
                    relay.cancel(call);
                }
                Cancellation::Elsewhere
            }
            None => Cancellation::Elsewhere,
        }
    }

    /// What the outcome of a call that this process made means for the leader; `None` if the call is no longer known.
    pub fn finished_here(&mut self, call: CallId, outcome: CallOutcome) -> Option<CallOutcome> {
        let known = self.in_flight.get(&call).is_some_and(|in_flight| in_flight.carrier == Carrier::Leader);
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
        // The worker has seen the token of its new route, which is this leader's own.
        Some(if is_stale && in_flight.fencing_token < current { CallOutcome::Interrupted } else { outcome })
    }

    fn remove(&mut self, call: CallId) -> Option<InFlightCall> {
        let in_flight = self.in_flight.remove(&call)?;
        if let Some(route) = self.routes.get_mut(&call.worker).filter(|_| in_flight.is_order) {
            route.orders = route.orders.saturating_sub(1);
        }
        Some(in_flight)
    }

    /// The batches that are due, with their relays.
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

    /// Takes a relay's report. Gives the outcomes for the leader.
    pub fn take_report(&mut self, now: u64, report: RelayReport) -> Vec<FinishedCall> {
        if report.term != self.term {
            return Vec::new();
        }
        let Some(relay) = self.relays.get_mut(&report.from) else { return Vec::new() };
        match relay.take_report(now, &report) {
            ReportCheck::Foreign => return Vec::new(),
            ReportCheck::Gap => return self.relay_lost(now, report.from),
            ReportCheck::Expected => {}
        }
        let carrier = Carrier::Relay(report.from);
        let mut finished = Vec::with_capacity(report.outcomes.len());
        for outcome in report.outcomes {
            let Some((call, outcome)) = outcome_from_wire(outcome) else { continue };
            if self.in_flight.get(&call).is_none_or(|in_flight| in_flight.carrier != carrier) {
                continue;
            }
            finished.extend(self.finish(call, outcome).map(|outcome| (call, outcome)));
        }
        finished
    }

    /// A relay is lost, or cannot be reached. Gives the calls whose outcomes are unknown now.
    pub fn relay_lost(&mut self, now: u64, id: NodeId) -> Vec<FinishedCall> {
        let Some(relay) = self.relays.get_mut(&id).filter(|relay| relay.is_open()) else { return Vec::new() };
        let was_ready = relay.is_ready();
        relay.lose(now);
        let calls = self.in_flight.iter().filter(|(_, in_flight)| in_flight.carrier == Carrier::Relay(id));
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

    /// Everything that arrived before `read_until` was handed in: relays whose report should have come by then are lost.
    pub fn judge_relays(&mut self, now: u64, read_until: u64) -> Vec<FinishedCall> {
        let is_overdue = |relay: &RelaySession| relay.overdue_at().is_some_and(|at| at <= read_until);
        let overdue = self.relays.iter().filter(|(_, relay)| is_overdue(relay)).map(|(id, _)| *id);
        let overdue: Vec<NodeId> = overdue.collect();
        overdue.into_iter().flat_map(|id| self.relay_lost(now, id)).collect()
    }

    /// Whether a report is overdue but may have arrived: `judge_relays` is to be called once input has been read.
    pub fn awaits_input(&self, now: u64) -> bool {
        self.relays.values().filter_map(RelaySession::overdue_at).any(|at| at <= now)
    }

    /// When `take_batches` or `judge_relays` has something to do, if nothing else happens before. What waits for input to be
    /// read has no time.
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

/// The weight of a relay for a worker, the same at every leader, so that connections stay of use.
fn weight(address: &str, relay: NodeId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (address, relay).hash(&mut hasher);
    hasher.finish()
}
