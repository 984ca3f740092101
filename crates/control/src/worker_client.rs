//! Client of the workers: makes calls to workers over persistent connections.
//!
//! Each worker has two connection pools. One is for lease renewals, which the worker answers only once an
//! attempt ends or the requested wait is over. The other one is for orders (start and stop), so that orders
//! do not queue behind renewals.

use crate::clock::Clock;
use crate::connection_budget::ConnectionBudget;
use crate::events::DriverEvent;
use crate::http::{parse_address, CallError};
use crate::worker_calls::{outcome_of, request_for, WorkerCall};
use crate::worker_lane::{close_excess, Budget, ConnectionPool};
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

/// Maximum number of connections in a worker's pool for orders.
const MAX_ORDER_CONNECTIONS: usize = 4;
/// Maximum number of connections in a worker's pool for lease renewals. One connection waits for attempts to
/// end; another may be needed while that call is being cancelled.
const MAX_LEASE_RENEWAL_CONNECTIONS: usize = 2;

/// How long a call that was sent may still run after the end of its leadership: the longest wait of a lease
/// renewal, plus time for the answer. The connection of a longer call is closed.
const ABANDONED_CALL_LIMIT: Duration = Duration::from_millis(2_500);

/// A start that waits longer than this for a connection is not sent, because its task may have been
/// cancelled.
const MAX_START_WAIT: Duration = Duration::from_millis(500);

/// All connections to workers, and the calls in flight.
///
/// Each call sends exactly one `CallFinished` event, unless it is cancelled or abandoned first. `generation`
/// distinguishes outcomes of an earlier leadership from outcomes of the current one, because both number
/// their calls from the start.
pub struct WorkerClient {
    workers: HashMap<String, Worker>,
    budget: Budget,
    calls: HashMap<CallId, InFlightCall>,
    /// Calls of the last leadership that were sent and have no answer yet.
    abandoned: Option<AbandonedCalls>,
    /// Incremented at the end of each leadership, because the next one numbers its calls from the start
    /// again.
    generation: u64,
    events: mpsc::Sender<DriverEvent>,
    /// The clock of the calls' deadlines.
    clock: Clock,
}

impl WorkerClient {
    /// Creates a client without connections or calls. The number of connections is unlimited until
    /// `set_max_connections`.
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

    /// Number of open connections to workers.
    pub fn open_connections(&self) -> usize {
        self.budget.borrow().open()
    }

    /// Sets the number of connections above which idle ones are closed.
    pub fn set_max_connections(&mut self, max_connections: usize) {
        self.budget.borrow_mut().set_limit(max_connections);
        close_excess(&self.budget);
    }

    /// Starts a call, whose outcome is sent as an event.
    pub fn start(&mut self, call: WorkerCall) {
        let budget = &self.budget;
        let worker = self.workers.entry(call.address.clone()).or_insert_with(|| Worker::new(budget));
        let pool = worker.pool_for(&call.request).clone();
        let id = call.call;
        let (events, generation) = (self.events.clone(), self.generation);
        let send_deadline = call.send_deadline.map(|limit| self.clock.instant(limit));
        let phase = Rc::new(Cell::new(CallPhase::Waiting));
        let phase_of_task = phase.clone();
        let task = spawn_local(async move {
            let outcome = run_call(&pool, &call, send_deadline, &phase_of_task).await;
            let _ = events.send(DriverEvent::CallFinished { generation, call: call.call, outcome }).await;
        });
        self.calls.insert(id, InFlightCall { task: task.abort_handle(), phase });
    }

    /// Cancels a call: its connection is closed and no outcome is sent.
    pub fn cancel(&mut self, call: CallId) {
        if let Some(call) = self.calls.remove(&call) {
            call.task.abort();
        }
    }

    /// Removes a finished call. Returns false if the call was cancelled or abandoned before; its outcome must
    /// then be ignored.
    pub fn finished(&mut self, generation: u64, call: CallId) -> bool {
        generation == self.generation && self.calls.remove(&call).is_some()
    }

    /// Ends a leadership: calls that have not been sent are cancelled, and the answers to all others are
    /// ignored.
    ///
    /// Connections stay open for the next leadership of this process, which often follows within seconds. A
    /// call that was sent keeps its connection until its answer is read, so that no later call gets that
    /// answer.
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

    /// Closes the connections to workers for which `is_listed` is false, once these have no calls in flight.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.workers.retain(|address, worker| is_listed(address) || worker.is_busy());
    }
}

impl Drop for WorkerClient {
    fn drop(&mut self) {
        self.clear();
    }
}

/// The progress of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallPhase {
    /// The call waits for a connection: no byte of it has been sent.
    Waiting,
    /// The call was handed to an open connection.
    Sent,
    /// The leadership of the call has ended: the call is not sent again.
    Abandoned,
}

/// A call that has not finished.
struct InFlightCall {
    task: AbortHandle,
    phase: Rc<Cell<CallPhase>>,
}

/// Calls of an earlier leadership. Each ends by itself, or is aborted when a time limit passes or this value
/// is dropped.
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
    lease_renewals: Rc<ConnectionPool>,
    orders: Rc<ConnectionPool>,
}

impl Worker {
    fn new(budget: &Budget) -> Self {
        Worker {
            lease_renewals: Rc::new(ConnectionPool::new(MAX_LEASE_RENEWAL_CONNECTIONS, budget)),
            orders: Rc::new(ConnectionPool::new(MAX_ORDER_CONNECTIONS, budget)),
        }
    }

    fn pool_for(&self, request: &WorkerRequest) -> &Rc<ConnectionPool> {
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
    pool: &Rc<ConnectionPool>,
    call: &WorkerCall,
    send_deadline: Option<Instant>,
    phase: &Cell<CallPhase>,
) -> CallOutcome {
    match send_call(pool, call, send_deadline, phase).await {
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

/// Sends the call. Retries it if a reused connection turns out to have been closed; no byte of the call was
/// sent then.
async fn send_call(
    pool: &Rc<ConnectionPool>,
    call: &WorkerCall,
    send_deadline: Option<Instant>,
    phase: &Cell<CallPhase>,
) -> Result<CallOutcome, CallError> {
    let address = parse_address(&call.address)?;
    let (parts, body) = request_for(call)?.into_parts();
    let connected_by = connection_deadline(call, send_deadline);
    loop {
        let mut connection = pool.acquire().await;
        let is_reused = connection.is_open();
        let request = Request::from_parts(parts.clone(), body.clone());
        let result = match connection.prepare(address).await {
            Ok(()) if connected_by.is_some_and(|limit| Instant::now() >= limit) => {
                connection.release();
                return Err(CallError::Expired);
            }
            Ok(()) => {
                phase.set(CallPhase::Sent);
                connection.call(request, send_deadline).await
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

/// Latest time until which a call may wait for its connection.
fn connection_deadline(call: &WorkerCall, send_deadline: Option<Instant>) -> Option<Instant> {
    match call.request {
        WorkerRequest::Start { .. } => {
            let longest = Instant::now() + MAX_START_WAIT;
            Some(send_deadline.map_or(longest, |limit| limit.min(longest)))
        }
        WorkerRequest::Stop { .. } | WorkerRequest::RenewLease { .. } => send_deadline,
    }
}
