//! Client of the workers: makes the leader's calls over persistent connections.
//!
//! A worker has two lanes of connections: one for lease renewals, which wait at the worker for attempts to end, and one
//! for orders (start and stop), so that orders do not queue behind renewals.

use crate::clock::Clock;
use crate::connection_budget::ConnectionBudget;
use crate::events::DriverEvent;
use crate::http::{parse_address, CallError};
use crate::worker_calls::{outcome_of, request_for, WorkerCall};
use crate::worker_lane::{close_excess, Budget, Lane};
use hyper::Request;
use scheduler::leader::CallId;
use scheduler::worker::{CallOutcome, WorkerRequest};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::sleep;

/// Connections in a worker's lane of orders.
const MAX_ORDER_CONNECTIONS: usize = 4;
/// Connections in a worker's lane of lease renewals: one waits for ends, another may be needed while that call is
/// cancelled.
const MAX_LEASE_RENEWAL_CONNECTIONS: usize = 2;

/// How long a call that was sent may still take after the end of its leadership: the longest wait for ends, and some
/// time for the answer. Beyond that its connection closes.
const ABANDONED_CALL_LIMIT: Duration = Duration::from_millis(2_500);

/// A start that waits longer for its connection does not leave: its task may be cancelled by now.
const MAX_START_WAIT: Duration = Duration::from_millis(500);

/// All connections to workers, and the calls in flight.
///
/// A call sends exactly one `CallFinished` event, unless it is cancelled or abandoned first. `generation` keeps outcomes of
/// an earlier leadership from being taken for outcomes of this one, whose calls have the same numbers.
pub struct WorkerClient {
    workers: HashMap<String, Worker>,
    budget: Budget,
    calls: HashMap<CallId, InFlightCall>,
    /// Ends the calls of the last leadership that were sent and have no answer yet.
    abandoned: Option<AbandonedCalls>,
    /// Incremented at the end of each leadership, since the numbers of calls start again with the next.
    generation: u64,
    events: mpsc::Sender<DriverEvent>,
    /// The clock by which orders expire.
    clock: Clock,
}

impl WorkerClient {
    /// No connections and no calls; connections are not limited until `set_max_connections`.
    pub fn new(events: mpsc::Sender<DriverEvent>, clock: Clock) -> Self {
        let budget = Rc::new(RefCell::new(ConnectionBudget::new(usize::MAX)));
        WorkerClient {
            workers: HashMap::new(),
            budget,
            calls: HashMap::new(),
            abandoned: None,
            generation: 0,
            events,
            clock,
        }
    }

    /// Open connections to workers.
    pub fn open_connections(&self) -> usize {
        self.budget.borrow().open()
    }

    /// Sets the number of connections beyond which idle ones are closed.
    pub fn set_max_connections(&mut self, max_connections: usize) {
        self.budget.borrow_mut().set_limit(max_connections);
        close_excess(&self.budget);
    }

    /// Starts a call; its outcome is sent as an event.
    pub fn start(&mut self, call: WorkerCall) {
        let budget = &self.budget;
        let worker = self.workers.entry(call.address.clone()).or_insert_with(|| Worker::new(budget));
        let lane = worker.lane_for(&call.request).clone();
        let id = call.call;
        let (events, generation) = (self.events.clone(), self.generation);
        let leave_by = call.leave_by.map(|limit| self.clock.instant(limit));
        let phase = Rc::new(Cell::new(CallPhase::Waiting));
        let phase_of_task = phase.clone();
        let task = spawn_local(async move {
            let outcome = run_call(&lane, &call, leave_by, &phase_of_task).await;
            let _ = events.send(DriverEvent::CallFinished { generation, call: call.call, outcome }).await;
        });
        self.calls.insert(id, InFlightCall { task: task.abort_handle(), phase });
    }

    /// Cancels a call: its connection closes, and no outcome is sent.
    pub fn cancel(&mut self, call: CallId) {
        if let Some(call) = self.calls.remove(&call) {
            call.task.abort();
        }
    }

    /// Removes a call that has an outcome. False if it had been cancelled before: its outcome must be ignored.
    pub fn finished(&mut self, generation: u64, call: CallId) -> bool {
        generation == self.generation && self.calls.remove(&call).is_some()
    }

    /// Ends a leadership: calls that have not left are cancelled, and the answers to all others are ignored.
    ///
    /// Connections stay open for the next leadership of this process, which often follows within seconds. A call that was
    /// sent keeps its connection until its answer is read, so that no later call gets that answer.
    pub fn abandon_calls(&mut self) {
        self.generation += 1;
        let mut sent = Vec::new();
        for (_, call) in self.calls.drain() {
            match call.phase.replace(CallPhase::Abandoned) {
                CallPhase::Sent => sent.push(call.task),
                CallPhase::Waiting | CallPhase::Abandoned => call.task.abort(),
            }
        }
        self.abandoned = Some(AbandonedCalls::limited(sent.into(), ABANDONED_CALL_LIMIT));
    }

    /// Cancels all calls and closes all connections.
    fn clear(&mut self) {
        self.generation += 1;
        for (_, call) in self.calls.drain() {
            call.task.abort();
        }
        self.abandoned = None;
        self.workers.clear();
    }

    /// Closes connections to workers whose addresses are not listed, once they have no calls in flight.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.workers.retain(|address, worker| is_listed(address) || worker.is_busy());
    }
}

impl Drop for WorkerClient {
    fn drop(&mut self) {
        self.clear();
    }
}

/// How far a call has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallPhase {
    /// It waits for a connection: no byte of it has left.
    Waiting,
    /// It was handed to an open connection.
    Sent,
    /// Its leadership has ended: it is not sent again.
    Abandoned,
}

/// A call whose outcome is awaited.
struct InFlightCall {
    task: AbortHandle,
    phase: Rc<Cell<CallPhase>>,
}

/// Calls of an earlier leadership that end by themselves, or at a time limit, or when this is dropped.
struct AbandonedCalls {
    calls: Rc<[AbortHandle]>,
    limit: AbortHandle,
}

impl AbandonedCalls {
    fn limited(calls: Rc<[AbortHandle]>, limit: Duration) -> Self {
        let limited = calls.clone();
        let limit = spawn_local(async move {
            sleep(limit).await;
            limited.iter().for_each(AbortHandle::abort);
        });
        AbandonedCalls { calls, limit: limit.abort_handle() }
    }
}

impl Drop for AbandonedCalls {
    fn drop(&mut self) {
        self.limit.abort();
        self.calls.iter().for_each(AbortHandle::abort);
    }
}

/// The connections to one worker.
struct Worker {
    lease_renewals: Rc<Lane>,
    orders: Rc<Lane>,
}

impl Worker {
    fn new(budget: &Budget) -> Self {
        Worker {
            lease_renewals: Rc::new(Lane::new(MAX_LEASE_RENEWAL_CONNECTIONS, budget)),
            orders: Rc::new(Lane::new(MAX_ORDER_CONNECTIONS, budget)),
        }
    }

    fn lane_for(&self, request: &WorkerRequest) -> &Rc<Lane> {
        match request {
            WorkerRequest::RenewLease { .. } => &self.lease_renewals,
            WorkerRequest::Start { .. } | WorkerRequest::Stop { .. } => &self.orders,
        }
    }

    fn is_busy(&self) -> bool {
        self.lease_renewals.is_busy() || self.orders.is_busy()
    }
}

async fn run_call(
    lane: &Rc<Lane>,
    call: &WorkerCall,
    leave_by: Option<Instant>,
    phase: &Cell<CallPhase>,
) -> CallOutcome {
    match send_call(lane, call, leave_by, phase).await {
        Ok(outcome) => outcome,
        Err(CallError::Expired) => CallOutcome::Withheld,
        Err(CallError::ConnectionLost(reason)) => {
            log::debug!("call to {} at {}: {reason}", call.instance, call.address);
            CallOutcome::NoResponse
        }
        Err(error) => {
            log::debug!("call to {} at {}: {error}", call.instance, call.address);
            CallOutcome::NotSent
        }
    }
}

/// Sends the call, and retries it if an idle connection turns out to have been closed: then no byte of it has left.
async fn send_call(
    lane: &Rc<Lane>,
    call: &WorkerCall,
    leave_by: Option<Instant>,
    phase: &Cell<CallPhase>,
) -> Result<CallOutcome, CallError> {
    let address = parse_address(&call.address)?;
    let (parts, body) = request_for(call)?.into_parts();
    let connected_by = connection_limit(call, leave_by);
    loop {
        let mut connection = lane.acquire().await;
        let is_reused = connection.is_open();
        let request = Request::from_parts(parts.clone(), body.clone());
        let result = match connection.prepare(address).await {
            Ok(()) if connected_by.is_some_and(|limit| Instant::now() >= limit) => {
                connection.release();
                return Err(CallError::Expired);
            }
            Ok(()) => {
                phase.set(CallPhase::Sent);
                connection.call(request, leave_by).await
            }
            Err(error) => Err(error),
        };
        match result {
            Ok(answer) => {
                connection.release();
                return Ok(outcome_of(&call.request, &answer));
            }
            Err(CallError::NotSent) if is_reused && phase.get() != CallPhase::Abandoned => {
                phase.set(CallPhase::Waiting);
            }
            Err(error) => return Err(error),
        }
    }
}

/// Until when a call may wait for its connection.
fn connection_limit(call: &WorkerCall, leave_by: Option<Instant>) -> Option<Instant> {
    match call.request {
        WorkerRequest::Start { .. } => {
            let longest = Instant::now() + MAX_START_WAIT;
            Some(leave_by.map_or(longest, |limit| limit.min(longest)))
        }
        WorkerRequest::Stop { .. } | WorkerRequest::RenewLease { .. } => leave_by,
    }
}
