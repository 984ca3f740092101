//! The clients and the operator, each on its own thread, and the record of their calls.

use crate::http::{call_operator_api, Answer, Connection, Failure};
use crate::soak_run::ATTEMPT_TIMEOUT;
use demo::SERVICE;
use fastrand::Rng;
use std::net::SocketAddr;
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// `Host` of the clients' requests.
pub const HOST: &str = "soak.example";
/// Path prefix of the queue of a service without workers.
const PREFIX: &str = "/jobs/";
/// Path prefix of the queue of the service with workers that has the first priority.
pub const URGENT_PREFIX: &str = "/urgent/";
/// Path prefix of the queue of the service with workers that has the last priority.
pub const BULK_PREFIX: &str = "/bulk/";
/// Path prefix of the queue whose tasks the workers refuse to start.
pub const REFUSED_PREFIX: &str = "/refused/";
/// Path of a core process's own status.
const STATUS_PATH: &str = "/v1/admin/status";
pub const ACCEPTED: u16 = 200;
pub const UNKNOWN_JOB: u16 = 410;
/// The answer to a submission that was not taken.
const UNAVAILABLE: u16 = 503;
/// Shortest and longest time that a client which leaves and cancels waits for its submission's answer.
const PATIENCE_MS: std::ops::Range<u64> = 50..500;
/// Longest time for which a client repeats a cancel.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(20);
/// An answer with this status or a higher one does not tell whether a change took effect.
const FIRST_UNCLEAR_STATUS: u16 = 500;
/// A job of two tasks. It stays pending because its service has no workers.
const JOB: &str = r#"{"Spec":"soak","Stages":[{"Count":2,"Cpu":250,"MemMb":64,"EstRuntimeMs":200}]}"#;

/// The results of all calls of the clients and the operator.
#[derive(Default)]
pub struct CallRecord {
    /// Number of clients' calls that succeeded.
    pub served: u64,
    /// Number of clients' calls that were rejected.
    pub refused: u64,
    /// Number of clients' calls without a complete answer.
    pub cut: u64,
    /// Jobs that were accepted.
    pub accepted: Vec<String>,
    /// Jobs whose cancellation was acknowledged after their client had left without an answer to the
    /// submission, and whether the acknowledgement said that there is no such job.
    pub cancelled: Vec<(String, bool)>,
    /// Urgent jobs that were accepted beside the loads.
    pub urgent: Vec<String>,
    /// Number of times that all loads were in place.
    pub load_rounds: u64,
    /// Number of counts of pending jobs that were checked.
    pub counts: u64,
    /// Whether the loads are to be taken away.
    pub ends_loads: bool,
    /// Whether no load is in place.
    pub has_no_load: bool,
    /// The edge that is paused, if any.
    pub paused_edge: Option<SocketAddr>,
    /// Version of the newest acknowledged configuration.
    pub version: u64,
    /// Number of acknowledged configuration changes.
    pub changes: u64,
    /// Truncated answers: when each ended, and the address of the edge.
    pub truncated: Vec<(Instant, SocketAddr)>,
    /// Violations of the checked properties.
    pub violations: Vec<String>,
    is_finished: bool,
}

/// The call record, shared by all threads.
#[derive(Default)]
pub struct SharedRecord {
    calls: Mutex<CallRecord>,
    changed: Condvar,
}

impl SharedRecord {
    pub fn calls(&self) -> MutexGuard<'_, CallRecord> {
        self.calls.lock().expect("no thread failed")
    }

    /// Changes the record and wakes the threads that wait for a change.
    pub fn update(&self, change: impl FnOnce(&mut CallRecord)) {
        change(&mut self.calls());
        self.changed.notify_all();
    }

    /// Waits until a condition holds; returns false after the timeout.
    pub fn wait_until(&self, timeout: Duration, condition: impl Fn(&CallRecord) -> bool) -> bool {
        let calls = self.calls();
        let waited = self.changed.wait_timeout_while(calls, timeout, |calls| !condition(calls));
        !waited.expect("no thread failed").1.timed_out()
    }

    pub fn finish(&self) {
        self.update(|calls| calls.is_finished = true);
    }

    pub fn is_finished(&self) -> bool {
        self.calls().is_finished
    }
}

impl CallRecord {
    fn record_answer(&mut self, answer: &Answer, call: &ClientCall) {
        match (answer.status, call) {
            (ACCEPTED, ClientCall::Submit(job)) => {
                self.served += 1;
                self.accepted.push(job.clone());
            }
            (ACCEPTED, ClientCall::Read(_)) => self.served += 1,
            (UNKNOWN_JOB, ClientCall::Read(job)) => {
                self.violations.push(format!("job {job} was accepted and is not known"));
            }
            _ => self.refused += 1,
        }
    }

    fn record_failure(&mut self, failure: &Failure, address: SocketAddr) {
        self.cut += 1;
        // A truncated answer is a fault unless the process was killed, which is checked at the end of the
        // run.
        if *failure == Failure::Truncated {
            self.truncated.push((Instant::now(), address));
        }
    }
}

/// A call of a client.
enum ClientCall {
    Submit(String),
    Read(String),
    Cancel(String),
}

impl ClientCall {
    /// Randomly chooses between reading the newest of `own_jobs` and submitting a new job.
    fn random(own_jobs: &[String], rng: &mut Rng) -> Self {
        match own_jobs.last() {
            Some(job) if rng.u8(0..3) > 0 => ClientCall::Read(job.clone()),
            _ => ClientCall::Submit(format!("{:016x}", rng.u64(..))),
        }
    }

    fn send(&self, connection: &mut Connection) -> Result<Answer, Failure> {
        let head = format!("Host: {HOST}\r\nX-Deadline-Ms: 3000\r\n");
        match self {
            ClientCall::Submit(job) => connection.call("POST", &format!("{PREFIX}{job}"), &head, JOB),
            ClientCall::Read(job) => connection.call("GET", &format!("{PREFIX}{job}"), &head, ""),
            ClientCall::Cancel(job) => connection.call("DELETE", &format!("{PREFIX}{job}"), &head, ""),
        }
    }
}

/// Makes calls to random edges until the run is finished. Uses each connection until the edge closes it.
pub fn run_client(record: &SharedRecord, edges: &[SocketAddr], mut rng: Rng) {
    let mut connection: Option<Connection> = None;
    let mut own_jobs: Vec<String> = Vec::new();
    while !record.is_finished() {
        let Some(open) = &mut connection else {
            connection = Connection::open(edges[rng.usize(0..edges.len())]).ok();
            continue;
        };
        let call = ClientCall::random(&own_jobs, &mut rng);
        let is_open = match call.send(open) {
            Ok(answer) => {
                record.update(|calls| calls.record_answer(&answer, &call));
                if let (ACCEPTED, ClientCall::Submit(job)) = (answer.status, call) {
                    own_jobs.push(job);
                }
                !answer.closes
            }
            Err(failure) => {
                record.update(|calls| calls.record_failure(&failure, open.address()));
                false
            }
        };
        if !is_open {
            connection = None;
        }
    }
}

/// Submits jobs until the run is finished. Leaves if the answer does not arrive soon, and cancels the job at
/// other edges. Prefers the edge that is paused.
pub fn run_departing_client(record: &SharedRecord, edges: &[SocketAddr], mut rng: Rng) {
    while !record.is_finished() {
        let paused_edge = record.calls().paused_edge;
        let edge = paused_edge.filter(|_| rng.bool()).unwrap_or(edges[rng.usize(0..edges.len())]);
        let job = format!("{:016x}", rng.u64(..));
        let patience = Duration::from_millis(rng.u64(PATIENCE_MS));
        let Ok(mut connection) = Connection::open_with_timeout(edge, patience) else { continue };
        let submission = ClientCall::Submit(job.clone());
        match submission.send(&mut connection) {
            Ok(answer) => record.update(|calls| calls.record_answer(&answer, &submission)),
            Err(Failure::Timeout) => {
                drop(connection);
                cancel_elsewhere(record, edges, edge, job, &mut rng);
            }
            Err(failure) => record.update(|calls| calls.record_failure(&failure, edge)),
        }
    }
}

/// Cancels a job at other edges than `edge` until the cancellation is acknowledged.
fn cancel_elsewhere(
    record: &SharedRecord,
    edges: &[SocketAddr],
    edge: SocketAddr,
    job: String,
    rng: &mut Rng,
) {
    let deadline = Instant::now() + CANCEL_TIMEOUT;
    let call = ClientCall::Cancel(job.clone());
    while Instant::now() < deadline && !record.is_finished() {
        let other = edges[rng.usize(0..edges.len())];
        if other == edge {
            continue;
        }
        let Ok(mut connection) = Connection::open_with_timeout(other, ATTEMPT_TIMEOUT) else { continue };
        let Ok(answer) = call.send(&mut connection) else { continue };
        if matches!(answer.status, ACCEPTED | UNKNOWN_JOB) {
            record.update(|calls| calls.cancelled.push((job, answer.status == UNKNOWN_JOB)));
            return;
        }
    }
}

/// Checks a job whose cancellation was acknowledged: it must be unknown or cancelled, and a submission after
/// "no such job" must not be accepted. `None` without a clear answer.
pub fn check_cancelled_job(edge: SocketAddr, job: &str, was_unknown: bool) -> Option<Result<(), String>> {
    let ask = |call: ClientCall| {
        let mut connection = Connection::open_with_timeout(edge, ATTEMPT_TIMEOUT).ok()?;
        call.send(&mut connection).ok()
    };
    let shown = ask(ClientCall::Read(job.to_owned()))?;
    let is_cancelled = shown.status == UNKNOWN_JOB || shown.body.contains("cancelled");
    if shown.status != ACCEPTED && shown.status != UNKNOWN_JOB {
        return None;
    }
    if !is_cancelled {
        return Some(Err(format!("job {job} was cancelled and is shown as {}", shown.body)));
    }
    if !was_unknown || shown.status != UNKNOWN_JOB {
        return Some(Ok(()));
    }
    match ask(ClientCall::Submit(job.to_owned()))?.status {
        ACCEPTED => Some(Err(format!("job {job} is accepted after its cancellation as an unknown job"))),
        UNAVAILABLE => Some(Ok(())),
        _ => None,
    }
}

fn configuration(version: u64) -> String {
    let routes = [
        (PREFIX, 1, "s"),
        (URGENT_PREFIX, 0, SERVICE),
        (BULK_PREFIX, 2, SERVICE),
        (REFUSED_PREFIX, 3, SERVICE),
    ];
    let timeout_ms = 3_000 + version % 7;
    let route = |(prefix, priority, service): (&str, u32, &str)| {
        format!(
            r#"{{"Name":"r{priority}","Host":"{HOST}","PathPrefix":"{prefix}","RouteType":"non_idempotent","TimeoutMs":{timeout_ms},"TargetLatencyMs":1000,"Priority":{priority},"Backend":"{service}","MaxRetries":3,"Stretch":2.2}}"#
        )
    };
    let service = |name| {
        format!(
            r#"{{"Name":"{name}","HealthCheck":"/healthz","MaxConnections":64,"Protocol":"h1","Tls":false,"Guards":true}}"#
        )
    };
    let routes = routes.map(route).join(",");
    let services = ["s", SERVICE].map(service).join(",");
    format!(r#"{{"Version":{version},"Routes":[{routes}],"Backends":[{services}]}}"#)
}

/// Changes the configuration repeatedly until the run is finished; retries each change until it is
/// acknowledged.
pub fn run_operator(record: &SharedRecord, controls: &[SocketAddr], mut rng: Rng) {
    let mut version = 0;
    while !record.is_finished() {
        let next = version + rng.u64(1..4);
        let (head, body) = (format!("If-Match: {version}\r\n"), configuration(next));
        let mut status = None;
        while status.is_none() && !record.is_finished() {
            let address = controls[rng.usize(0..controls.len())];
            let answer = call_operator_api(address, "PUT", &head, &body);
            status = answer.map(|answer| answer.status).filter(|status| *status < FIRST_UNCLEAR_STATUS);
        }
        match status {
            Some(ACCEPTED) => record.update(|calls| {
                calls.version = next;
                calls.changes += 1;
            }),
            Some(status) => record.update(|calls| {
                calls.violations.push(format!("change {next} on {version} was rejected with {status}"));
                calls.is_finished = true;
            }),
            None => {}
        }
        version = next;
    }
}

/// The role of a core process in the group, as the process reports it.
pub struct MemberStatus {
    /// Whether it is a voting member: the leader or a follower.
    pub is_voter: bool,
    /// Number of members that it knows.
    pub members: usize,
}

/// Asks a core process for its role in the group.
pub fn read_member_status(control: SocketAddr) -> Option<MemberStatus> {
    let mut connection = Connection::open(control).ok()?;
    let answer = connection.call("GET", STATUS_PATH, &format!("Host: {control}\r\n"), "").ok()?;
    let has_role = |role: &str| answer.body.contains(&format!("\"Role\":\"{role}\""));
    let members = answer.body.matches("\"Voter\":").count();
    Some(MemberStatus { is_voter: has_role("Leader") || has_role("Follower"), members })
}

/// Reads the version of the configuration, retrying at all addresses until one answers.
pub fn read_version(controls: &[SocketAddr], timeout: Duration) -> Option<u64> {
    let deadline = Instant::now() + timeout;
    for address in controls.iter().cycle() {
        if Instant::now() > deadline {
            return None;
        }
        let Some(answer) = call_operator_api(*address, "GET", "", "") else { continue };
        if answer.status == ACCEPTED {
            let digits = answer.body.split("\"Version\":").nth(1)?.split(',').next()?.to_owned();
            return digits.parse().ok();
        }
    }
    None
}

/// Whether an edge knows a job; `None` without a clear answer in time.
pub fn knows_job(edge: SocketAddr, job: &str, timeout: Duration) -> Option<bool> {
    let deadline = Instant::now() + timeout;
    while Instant::now() < deadline {
        let Ok(mut connection) = Connection::open(edge) else { continue };
        match ClientCall::Read(job.to_owned()).send(&mut connection) {
            Ok(answer) if answer.status == ACCEPTED => return Some(true),
            Ok(answer) if answer.status == UNKNOWN_JOB => return Some(false),
            _ => {}
        }
    }
    None
}
