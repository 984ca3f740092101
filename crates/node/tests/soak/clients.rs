//! The clients and the operator, each on its own thread, and the record of their calls.

use crate::http::{call_operator_api, Answer, Connection, Failure};
use fastrand::Rng;
use std::net::SocketAddr;
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// `Host` of the clients' requests.
const HOST: &str = "soak.example";
/// Path prefix of the only queue.
const PREFIX: &str = "/jobs/";
/// Path of a core process's own status.
const STATUS_PATH: &str = "/v1/admin/status";
const ACCEPTED: u16 = 200;
const UNKNOWN_JOB: u16 = 410;
/// An answer with this status or a higher one does not tell whether a change took effect.
const FIRST_UNCLEAR_STATUS: u16 = 500;
/// A job of two tasks. It stays pending because there are no workers.
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
    fn update(&self, change: impl FnOnce(&mut CallRecord)) {
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

    fn is_finished(&self) -> bool {
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

fn configuration(version: u64) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"r","Host":"{HOST}","PathPrefix":"{PREFIX}","RouteType":"non_idempotent","TimeoutMs":{},"TargetLatencyMs":1000,"Priority":1,"Backend":"s","MaxRetries":3,"Stretch":2.2}}],"Backends":[{{"Name":"s","HealthCheck":"/healthz","MaxConnections":64,"Protocol":"h1","Tls":false,"Guards":true}}]}}"#,
        3_000 + version % 7,
    )
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
