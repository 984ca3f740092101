//! Simulated clients that submit jobs to the edges and poll the states of the jobs.

use crate::environment::{HOST, PREFIX};
use crate::http::{call, Call};
use crate::report::{JobOutcome, OutcomeLog};
use hyper::{Method, StatusCode};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// A client gives up a job that is not accepted within this time.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(10);
/// A client gives up a job that is not completed within this time.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay before a failed call is repeated at the next edge.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delay before each poll of a job's state.
const STATE_POLL_DELAY: Duration = Duration::from_millis(100);
/// Number of tasks of a job.
const TASKS_PER_JOB: u32 = 2;
/// CPU demand of a task.
const TASK_CPU_MILLICORES: u64 = 250;
/// Range of the run time of a task.
const TASK_RUN_TIME_MS: std::ops::RangeInclusive<u64> = 150..=600;

/// Submits a job, polls its state until it is completed, and records the outcome.
pub async fn follow_job(edges: Rc<Vec<SocketAddr>>, outcomes: Rc<RefCell<OutcomeLog>>, number: usize) {
    let id = format!("{:016x}", fastrand::u64(..));
    let began = Instant::now();
    let (accepted, failed_calls) = submit(&edges, &id, number).await;
    let accepted_in = accepted.then(|| began.elapsed());
    let completed = accepted && wait_for_completion(&edges, &id, number).await;
    let completed_in = completed.then(|| began.elapsed());
    outcomes.borrow_mut().record(JobOutcome { began, accepted_in, completed_in, failed_calls });
}

/// Sends the job until it is accepted or [`ACCEPT_TIMEOUT`] has passed. Returns whether the job was accepted,
/// and the number of failed calls.
async fn submit(edges: &[SocketAddr], id: &str, first_edge: usize) -> (bool, u32) {
    let run_time_ms = fastrand::u64(TASK_RUN_TIME_MS);
    let job = serde_json::json!({
        "Spec": run_time_ms.to_string(),
        "Stages": [{
            "Count": TASKS_PER_JOB, "Cpu": TASK_CPU_MILLICORES, "MemMb": 64, "EstRuntimeMs": run_time_ms,
        }],
    });
    let body = job.to_string();
    let deadline = Instant::now() + ACCEPT_TIMEOUT;
    let mut failed_calls = 0;
    while Instant::now() < deadline {
        let edge = edges[(first_edge + failed_calls as usize) % edges.len()];
        let request = request(Method::POST, id, body.clone());
        if call(edge, request).await.is_some_and(|response| response.status.is_success()) {
            return (true, failed_calls);
        }
        failed_calls += 1;
        sleep(RETRY_DELAY).await;
    }
    (false, failed_calls)
}

async fn wait_for_completion(edges: &[SocketAddr], id: &str, first_edge: usize) -> bool {
    let deadline = Instant::now() + COMPLETION_TIMEOUT;
    for poll in 0.. {
        if Instant::now() >= deadline {
            break;
        }
        sleep(STATE_POLL_DELAY).await;
        let edge = edges[(first_edge + poll) % edges.len()];
        let response = call(edge, request(Method::GET, id, String::new())).await;
        let Some(response) = response.filter(|response| response.status == StatusCode::OK) else { continue };
        let state: serde_json::Value = serde_json::from_slice(&response.body).unwrap_or_default();
        if state["State"] == "completed" {
            return true;
        }
    }
    false
}

fn request(method: Method, id: &str, body: String) -> Call {
    let path = format!("{PREFIX}{id}");
    Call { method, path, host: HOST.to_owned(), if_match: None, body: body.into() }
}
