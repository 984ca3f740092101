//! Conversion of calls to workers into HTTP requests, and of the answers into call outcomes.

use crate::http::{Answer, CallError};
use bytes::Bytes;
use configuration::worker_calls::{
    FinishedEntry, LeaseRenewalAnswer, LeaseRenewalBody, OrderAnswer, RejectReason, RunningEntry, StartBody,
    StopBody,
};
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Request, StatusCode};
use messages::job;
use scheduler::ids::{AttemptKey, TaskKey};
use scheduler::leader::CallId;
use scheduler::worker::{self, CallOutcome, Refusal, WorkerRequest};

const START_PATH: &str = "/v1/run-start";
const STOP_PATH: &str = "/v1/run-stop";
const LEASE_RENEWAL_PATH: &str = "/v1/hold";
/// Header with the incarnation that a call is meant for; any other incarnation answers 421.
const EXPECT_INSTANCE: &str = "X-Expect-Instance";
const JSON: &str = "application/json";

/// A call to a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerCall {
    /// The leader's number of the call.
    pub call: CallId,
    /// `ip:port` of the worker.
    pub address: String,
    /// The incarnation that the call is meant for.
    pub instance: String,
    /// The request.
    pub request: WorkerRequest,
    /// No byte of the call may be sent at or after this time, in nanoseconds of this process's steady clock;
    /// `None`: no deadline.
    pub send_deadline: Option<u64>,
}

impl WorkerCall {
    /// Creates a call for the leader. Only starts have a deadline.
    pub fn new(call: CallId, address: String, instance: String, request: WorkerRequest) -> Self {
        let send_deadline = match &request {
            WorkerRequest::Start { expires_at, .. } => Some(*expires_at),
            WorkerRequest::Stop { .. } | WorkerRequest::RenewLease { .. } => None,
        };
        WorkerCall { call, address, instance, request, send_deadline }
    }
}

/// Builds the HTTP request of a call.
///
/// # Errors
///
/// Fails if the address or the instance contains bytes that HTTP does not allow in a header.
pub fn request_for(call: &WorkerCall) -> Result<Request<Full<Bytes>>, CallError> {
    let (path, body) = path_and_body(&call.request);
    let request = Request::post(path)
        .header(HOST, &call.address)
        .header(CONTENT_TYPE, JSON)
        .header(EXPECT_INSTANCE, &call.instance)
        .body(Full::new(Bytes::from(body)))?;
    Ok(request)
}

fn path_and_body(request: &WorkerRequest) -> (&'static str, String) {
    match request {
        WorkerRequest::Start { key, spec, checkpoint, deadline_ms, fencing_token, expires_at: _ } => {
            let task = key.task.to_string();
            let (attempt, deadline_ms, fencing_token) = (key.attempt, *deadline_ms, *fencing_token);
            let body = StartBody { task: &task, attempt, spec, deadline_ms, fencing_token, checkpoint };
            (START_PATH, body.to_json())
        }
        WorkerRequest::Stop { key, fencing_token } => {
            let task = key.task.to_string();
            let body = StopBody { task: &task, attempt: key.attempt, fencing_token: *fencing_token };
            (STOP_PATH, body.to_json())
        }
        WorkerRequest::RenewLease { fencing_token, last_seen, deadline_ms, wait_ms } => {
            let wait_ms = Some(*wait_ms).filter(|wait_ms| *wait_ms > 0);
            let body = LeaseRenewalBody {
                deadline_ms: *deadline_ms,
                fencing_token: *fencing_token,
                last_seen: *last_seen,
                wait_ms,
            };
            (LEASE_RENEWAL_PATH, body.to_json())
        }
    }
}

/// Converts an answer to the outcome of the call. An answer that cannot be parsed counts as no response.
pub fn outcome_of(request: &WorkerRequest, answer: &Answer) -> CallOutcome {
    let is_lease_renewal = matches!(request, WorkerRequest::RenewLease { .. });
    match answer.status {
        StatusCode::OK if is_lease_renewal => read_lists(&answer.body),
        StatusCode::OK => read_acknowledgement(&answer.body),
        StatusCode::CONFLICT => rejected(&answer.body, None),
        StatusCode::BAD_REQUEST => rejected(&answer.body, Some(Refusal::BadRequest)),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            rejected(&answer.body, Some(Refusal::Unhealthy))
        }
        StatusCode::MISDIRECTED_REQUEST => rejected(&answer.body, Some(Refusal::WrongIncarnation)),
        status if status.is_client_error() => rejected(&answer.body, Some(Refusal::Unknown)),
        _ => CallOutcome::NoResponse,
    }
}

fn read_acknowledgement(body: &[u8]) -> CallOutcome {
    match OrderAnswer::read(body) {
        Ok(OrderAnswer { now_ms: Some(now_ms), .. }) => CallOutcome::Answer { now_ms },
        _ => CallOutcome::NoResponse,
    }
}

/// A rejection for the `known` reason, or else for the reason given in the body.
fn rejected(body: &[u8], known: Option<Refusal>) -> CallOutcome {
    let answer = OrderAnswer::read(body).unwrap_or_default();
    let named = match answer.reason {
        Some(RejectReason::StaleFencingToken) => Refusal::StaleFencingToken,
        Some(RejectReason::SupersededAttempt) => Refusal::SupersededAttempt,
        Some(RejectReason::DeadlinePassed) => Refusal::DeadlinePassed,
        Some(RejectReason::NoCapacity) => Refusal::NoCapacity,
        Some(RejectReason::Other) | None => Refusal::Unknown,
    };
    CallOutcome::Refused { now_ms: answer.now_ms, reason: known.unwrap_or(named) }
}

fn read_lists(body: &[u8]) -> CallOutcome {
    let answer = match LeaseRenewalAnswer::read(body) {
        Ok(answer) => answer,
        Err(error) => {
            log::warn!("{error}");
            return CallOutcome::NoResponse;
        }
    };
    let running = answer.running.into_iter().filter_map(running_entry).collect();
    let finished = answer.finished.into_iter().filter_map(finished_entry).collect();
    CallOutcome::Lists { now_ms: answer.now_ms, running, finished }
}

/// Parses a task's key; `None` for a task that this system did not name. Such a task is ignored.
fn task_key(text: &str) -> Option<TaskKey> {
    let key = text.parse();
    if key.is_err() {
        log::warn!("a worker lists {text:?}, which is no task of this system");
    }
    key.ok()
}

fn running_entry(entry: RunningEntry) -> Option<worker::RunningEntry> {
    let task = task_key(&entry.task)?;
    let key = AttemptKey { task, attempt: entry.attempt };
    Some(worker::RunningEntry { key, checkpoint: entry.checkpoint, percent: entry.percent })
}

fn finished_entry(entry: FinishedEntry) -> Option<job::WorkerEnd> {
    let task = task_key(&entry.task)?;
    Some(job::WorkerEnd {
        sequence: entry.sequence,
        task: Some(task.into()),
        attempt: entry.attempt,
        kind: entry.kind,
        checkpoint: entry.checkpoint,
        counted: false,
    })
}
