//! Sequence of the demonstration.

use crate::children::Children;
use crate::clients::follow_job;
use crate::environment::{configuration, Environment, CORE_MACHINES, EDGES};
use crate::error::DemoError;
use crate::http::{call, Call};
use crate::report::{OutcomeLog, Report};
use crate::{platform, worker};
use admin::{paths, ProcessRole, ProcessStatus};
use hyper::Method;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::{interval, sleep};

/// Number of simulated workers.
const WORKERS: usize = 4;
/// Time between the submissions of two jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of polling for a leader or for an edge that answers.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the demonstration for `duration` and kills the leader after half of the time.
pub async fn run_demo(program: &Path, duration: Duration) -> Result<Report, DemoError> {
    let environment = Environment::new()?;
    let mut children = Children::default();
    start(program, &environment, &mut children).await?;
    let mut leader = find_leader(&environment, &mut children, None).await?;
    configure(&environment, &mut children, &mut leader).await?;
    let edges: Rc<Vec<SocketAddr>> =
        Rc::new((0..EDGES).map(|edge| environment.front_address(edge)).collect());
    wait_for_edges(&edges, &mut children).await?;

    let outcomes = Rc::new(RefCell::new(OutcomeLog::default()));
    let mut jobs = JoinSet::new();
    let began = Instant::now();
    submit_jobs(&mut jobs, &edges, &outcomes, began + duration / 2).await;
    let killed_leader = find_leader(&environment, &mut children, None).await?;
    let killed_at = began.elapsed();
    children.kill(&killed_leader.node_name)?;
    submit_jobs(&mut jobs, &edges, &outcomes, began + duration).await;
    while jobs.join_next().await.is_some() {}
    let final_leader = find_leader(&environment, &mut children, Some(&killed_leader.id)).await?;
    let report =
        outcomes.borrow().report(began, killed_at, &killed_leader.node_name, &final_leader.node_name);
    Ok(report)
}

async fn start(program: &Path, environment: &Environment, children: &mut Children) -> Result<(), DemoError> {
    let mut workers = Vec::with_capacity(WORKERS);
    for number in 0..WORKERS {
        workers.push(worker::start(&format!("worker-{}", number + 1)).await?);
    }
    let platform = platform::start(&workers).await?;
    for machine in 0..CORE_MACHINES {
        children.start(program, "control", &environment.write_core_settings(machine, platform)?)?;
    }
    for edge in 0..EDGES {
        children.start(program, "data-plane", &environment.write_edge_settings(edge)?)?;
    }
    Ok(())
}

/// Waits until a core process other than `former` reports that it is the leader.
async fn find_leader(
    environment: &Environment,
    children: &mut Children,
    former: Option<&str>,
) -> Result<ProcessStatus, DemoError> {
    loop {
        children.check()?;
        for machine in 0..CORE_MACHINES {
            let Some(status) = status_of(environment.control_address(machine)).await else { continue };
            if status.role == ProcessRole::Leader && Some(status.id.as_str()) != former {
                return Ok(status);
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn status_of(address: SocketAddr) -> Option<ProcessStatus> {
    let response = call(address, request(Method::GET, paths::STATUS, address)).await?;
    serde_json::from_slice(&response.body).ok()
}

fn request(method: Method, path: &str, address: SocketAddr) -> Call {
    let (path, host) = (path.to_owned(), address.to_string());
    Call { method, path, host, if_match: None, body: bytes::Bytes::new() }
}

/// Sends the configuration to the leader until it is accepted.
async fn configure(
    environment: &Environment,
    children: &mut Children,
    leader: &mut ProcessStatus,
) -> Result<(), DemoError> {
    loop {
        if let Some(address) = leader.leader_control.as_deref().and_then(|control| control.parse().ok()) {
            let request = request(Method::PUT, paths::CONFIGURATION, address);
            let request = Call { if_match: Some(0), body: configuration().into(), ..request };
            if call(address, request).await.is_some_and(|response| response.status.is_success()) {
                return Ok(());
            }
        }
        sleep(POLL_INTERVAL).await;
        *leader = find_leader(environment, children, None).await?;
    }
}

/// Waits until every edge answers requests for the queue.
async fn wait_for_edges(edges: &[SocketAddr], children: &mut Children) -> Result<(), DemoError> {
    for edge in edges {
        loop {
            children.check()?;
            let queue_call = Call {
                host: crate::environment::HOST.to_owned(),
                ..request(Method::GET, crate::environment::PREFIX, *edge)
            };
            if call(*edge, queue_call).await.is_some_and(|response| response.status.is_success()) {
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

/// Submits a job at each [`JOB_INTERVAL`] until `until`.
async fn submit_jobs(
    jobs: &mut JoinSet<()>,
    edges: &Rc<Vec<SocketAddr>>,
    outcomes: &Rc<RefCell<OutcomeLog>>,
    until: Instant,
) {
    let mut ticks = interval(JOB_INTERVAL);
    while Instant::now() < until {
        ticks.tick().await;
        let number = jobs.len();
        jobs.spawn_local(follow_job(edges.clone(), outcomes.clone(), number));
    }
}
