//! Simulated worker: runs each task for the time that its specification gives, under a lease and a fencing
//! token.

use crate::error::DemoError;
use crate::platform::ListedWorker;
use crate::server::{serve, ReceivedRequest, Reply};
use hyper::StatusCode;
use serde::Deserialize;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// `Spec` of tasks whose starts workers refuse, as an unhealthy worker does.
const REFUSED_SPEC: &str = "refused";
/// Maximum duration of the worker lease.
const MAX_WORKER_LEASE_MS: u64 = 6_000;
/// Interval of polling for ended attempts while a lease renewal waits.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Run time of a task whose specification is not a number.
const DEFAULT_RUN_TIME_MS: u64 = 300;

/// Task name and attempt number.
type AttemptKey = (String, u32);

/// Body of a request from the leader. Fields that a request does not use are absent and default to 0 or
/// empty.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", default)]
#[derive(Default)]
struct WorkerRequest {
    task_id: String,
    attempt: u32,
    spec: String,
    deadline_ms: u64,
    fencing_token: u64,
    last_seen: u64,
    wait_ms: u64,
}

/// A running attempt. Times are in milliseconds of the clock of the worker.
struct RunningAttempt {
    began_ms: u64,
    ends_ms: u64,
}

/// An ended attempt that the leader has not acknowledged.
struct EndedAttempt {
    sequence: u64,
    key: AttemptKey,
    outcome: &'static str,
}

/// State of a simulated worker. Its clock counts milliseconds since `started`.
struct Worker {
    instance: String,
    started: Instant,
    /// Highest fencing token received so far. Requests with a lower one are rejected.
    fencing_token: u64,
    /// Time at which the lease expires.
    deadline_ms: u64,
    running: BTreeMap<AttemptKey, RunningAttempt>,
    /// Highest attempt number of each task that ended or was stopped on this worker.
    highest_attempts: BTreeMap<String, u32>,
    /// Ended attempts that the leader has not acknowledged, oldest first.
    ended: Vec<EndedAttempt>,
    last_sequence: u64,
}

/// Starts a worker and returns its entry for the list of the platform.
pub async fn start(instance: &str) -> Result<ListedWorker, DemoError> {
    let worker = Rc::new(RefCell::new(Worker::new(instance)));
    let address = serve(move |http_request| serve_call(worker.clone(), http_request)).await?;
    Ok(ListedWorker { instance: instance.to_owned(), address })
}

async fn serve_call(worker: Rc<RefCell<Worker>>, http_request: ReceivedRequest) -> Reply {
    let request: WorkerRequest = match serde_json::from_slice(&http_request.body) {
        Ok(request) => request,
        Err(_) => return Reply { status: StatusCode::BAD_REQUEST, body: "{}".to_owned() },
    };
    let is_other_instance =
        http_request.expected_instance.is_some_and(|expected| expected != worker.borrow().instance);
    if is_other_instance {
        return Reply { status: StatusCode::MISDIRECTED_REQUEST, body: "{}".to_owned() };
    }
    if request.fencing_token < worker.borrow().fencing_token {
        return worker.borrow().refuse("fence");
    }
    worker.borrow_mut().fencing_token = request.fencing_token;
    match http_request.path.as_str() {
        "/v1/run-start" => worker.borrow_mut().start(request),
        "/v1/run-stop" => worker.borrow_mut().stop(request),
        "/v1/hold" => renew_lease(worker, &request).await,
        _ => Reply { status: StatusCode::NOT_FOUND, body: "{}".to_owned() },
    }
}

/// Extends the lease. Answers with the running and the ended attempts once an attempt has ended or the wait
/// is over.
async fn renew_lease(worker: Rc<RefCell<Worker>>, request: &WorkerRequest) -> Reply {
    worker.borrow_mut().extend_worker_lease(request.deadline_ms);
    worker.borrow_mut().ended.retain(|end| end.sequence > request.last_seen);
    let until = Instant::now() + Duration::from_millis(request.wait_ms);
    loop {
        worker.borrow_mut().advance();
        if !worker.borrow().ended.is_empty() || Instant::now() >= until {
            return worker.borrow().lists();
        }
        sleep(POLL_INTERVAL).await;
    }
}

impl Worker {
    fn new(instance: &str) -> Self {
        Worker {
            instance: instance.to_owned(),
            started: Instant::now(),
            fencing_token: 0,
            deadline_ms: 0,
            running: BTreeMap::new(),
            highest_attempts: BTreeMap::new(),
            ended: Vec::new(),
            last_sequence: 0,
        }
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn extend_worker_lease(&mut self, deadline_ms: u64) {
        let latest = self.now_ms() + MAX_WORKER_LEASE_MS;
        self.deadline_ms = self.deadline_ms.max(deadline_ms.min(latest));
    }

    /// Ends the attempts whose run time is over, and all attempts once the lease has expired.
    fn advance(&mut self) {
        let now_ms = self.now_ms();
        let lease_expired = now_ms >= self.deadline_ms;
        let is_ended = |run: &RunningAttempt| run.ends_ms <= now_ms.min(self.deadline_ms) || lease_expired;
        let ended_keys: Vec<AttemptKey> =
            self.running.iter().filter(|(_, run)| is_ended(run)).map(|(key, _)| key.clone()).collect();
        for key in ended_keys {
            let done = self.running.get(&key).is_some_and(|run| run.ends_ms <= self.deadline_ms);
            self.end(key, if done { "done" } else { "lapsed" });
        }
    }

    fn end(&mut self, key: AttemptKey, outcome: &'static str) {
        if self.running.remove(&key).is_some() {
            self.last_sequence += 1;
            self.reject_attempts_up_to(&key);
            self.ended.push(EndedAttempt { sequence: self.last_sequence, key, outcome });
        }
    }

    /// Rejects later starts of the task with this or a lower attempt number.
    fn reject_attempts_up_to(&mut self, (task, attempt): &AttemptKey) {
        let highest = self.highest_attempts.entry(task.clone()).or_insert(0);
        *highest = (*highest).max(*attempt);
    }

    fn start(&mut self, request: WorkerRequest) -> Reply {
        self.advance();
        let now_ms = self.now_ms();
        if request.spec == REFUSED_SPEC {
            return Reply { status: StatusCode::SERVICE_UNAVAILABLE, body: "{}".to_owned() };
        }
        if request.deadline_ms <= now_ms {
            return self.refuse("late");
        }
        self.extend_worker_lease(request.deadline_ms);
        let key = (request.task_id, request.attempt);
        if self.running.contains_key(&key) {
            return self.accept();
        }
        if self.highest_attempts.get(&key.0).is_some_and(|highest| *highest >= key.1) {
            return self.refuse("old");
        }
        let run_time_ms = request.spec.parse().unwrap_or(DEFAULT_RUN_TIME_MS);
        self.running.insert(key, RunningAttempt { began_ms: now_ms, ends_ms: now_ms + run_time_ms });
        self.accept()
    }

    fn stop(&mut self, request: WorkerRequest) -> Reply {
        self.advance();
        let key = (request.task_id, request.attempt);
        self.reject_attempts_up_to(&key);
        self.end(key, "stopped");
        self.accept()
    }

    fn accept(&self) -> Reply {
        let body = serde_json::json!({"NowMs": self.now_ms()}).to_string();
        Reply { status: StatusCode::OK, body }
    }

    fn refuse(&self, reason: &str) -> Reply {
        let body = serde_json::json!({"NowMs": self.now_ms(), "Reason": reason}).to_string();
        Reply { status: StatusCode::CONFLICT, body }
    }

    fn lists(&self) -> Reply {
        let now_ms = self.now_ms();
        let percent = |run: &RunningAttempt| {
            (now_ms - run.began_ms).saturating_mul(100) / (run.ends_ms - run.began_ms).max(1)
        };
        let running: Vec<serde_json::Value> = self
            .running
            .iter()
            .map(|((task, attempt), run)| serde_json::json!([task, attempt, "", percent(run).min(99)]))
            .collect();
        let finished: Vec<serde_json::Value> = self
            .ended
            .iter()
            .map(|end| serde_json::json!([end.sequence, end.key.0, end.key.1, end.outcome, ""]))
            .collect();
        let lists = serde_json::json!({"NowMs": now_ms, "Running": running, "Finished": finished});
        Reply { status: StatusCode::OK, body: lists.to_string() }
    }
}
