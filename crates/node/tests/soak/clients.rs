//! Clients and an operator, each on a thread of its own, and what they were told.

use crate::http::{call_operator_api, Answer, Connection, Failure};
use fastrand::Rng;
use std::net::SocketAddr;
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// What the clients' requests name as host.
const HOST: &str = "soak.example";
/// The queue of the play.
const PREFIX: &str = "/jobs/";
/// What a core process tells of itself.
const STATUS_PATH: &str = "/v1/admin/status";
const ACCEPTED: u16 = 200;
const UNKNOWN_JOB: u16 = 410;
/// Answers from here on leave open what became of an order.
const UNCLEAR: u16 = 500;
/// A job of two tasks. There are no workers: it waits.
const JOB: &str = r#"{"Spec":"soak","Stages":[{"Count":2,"Cpu":250,"MemMb":64,"EstRuntimeMs":200}]}"#;

/// What clients and operator were told.
#[derive(Default)]
pub struct Ledger {
    /// Answers to clients with a success.
    pub served: u64,
    /// Answers to clients that say to come back.
    pub refused: u64,
    /// Connections that ended without an answer.
    pub cut: u64,
    /// Jobs that were accepted.
    pub accepted: Vec<String>,
    /// The newest configuration that was acknowledged, and how many were.
    pub version: u64,
    pub changes: u64,
    /// Answers that ended in the middle: when, and at which edge.
    pub torn: Vec<(Instant, SocketAddr)>,
    /// What must not happen.
    pub violations: Vec<String>,
    is_over: bool,
}

/// The ledger, as all threads share it.
#[derive(Default)]
pub struct Observations {
    ledger: Mutex<Ledger>,
    changed: Condvar,
}

impl Observations {
    pub fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().expect("no thread failed")
    }

    /// Changes the ledger and wakes those who wait for it.
    fn record(&self, change: impl FnOnce(&mut Ledger)) {
        change(&mut self.ledger());
        self.changed.notify_all();
    }

    /// Waits until a condition holds; false if it does not in time.
    pub fn wait_until(&self, patience: Duration, condition: impl Fn(&Ledger) -> bool) -> bool {
        let ledger = self.ledger();
        let waited = self.changed.wait_timeout_while(ledger, patience, |ledger| !condition(ledger));
        !waited.expect("no thread failed").1.timed_out()
    }

    pub fn finish(&self) {
        self.record(|ledger| ledger.is_over = true);
    }

    fn is_over(&self) -> bool {
        self.ledger().is_over
    }
}

impl Ledger {
    fn note_answer(&mut self, answer: &Answer, call: &ClientCall) {
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

    fn note_failure(&mut self, failure: &Failure, address: SocketAddr) {
        self.cut += 1;
        // A killed process may leave half an answer behind; the play counts those that were not killed.
        if *failure == Failure::Torn {
            self.torn.push((Instant::now(), address));
        }
    }
}

/// What a client asks.
enum ClientCall {
    Submit(String),
    Read(String),
}

impl ClientCall {
    /// A question for a job that was accepted, or a new job.
    fn draw(own_jobs: &[String], rng: &mut Rng) -> Self {
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

/// Uses connections to the edges, each until the other side closes it.
pub fn run_client(observations: &Observations, edges: &[SocketAddr], mut rng: Rng) {
    let mut connection: Option<Connection> = None;
    let mut own_jobs: Vec<String> = Vec::new();
    while !observations.is_over() {
        let Some(open) = &mut connection else {
            connection = Connection::open(edges[rng.usize(0..edges.len())]).ok();
            continue;
        };
        let call = ClientCall::draw(&own_jobs, &mut rng);
        let is_open = match call.send(open) {
            Ok(answer) => {
                observations.record(|ledger| ledger.note_answer(&answer, &call));
                if let (ACCEPTED, ClientCall::Submit(job)) = (answer.status, call) {
                    own_jobs.push(job);
                }
                !answer.closes
            }
            Err(failure) => {
                observations.record(|ledger| ledger.note_failure(&failure, open.address()));
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

/// Changes the configuration, each time until the change is acknowledged.
pub fn run_operator(observations: &Observations, controls: &[SocketAddr], mut rng: Rng) {
    let mut version = 0;
    while !observations.is_over() {
        let next = version + rng.u64(1..4);
        let (head, body) = (format!("If-Match: {version}\r\n"), configuration(next));
        let mut status = None;
        while status.is_none() && !observations.is_over() {
            let address = controls[rng.usize(0..controls.len())];
            let answer = call_operator_api(address, "PUT", &head, &body);
            status = answer.map(|answer| answer.status).filter(|status| *status < UNCLEAR);
        }
        match status {
            Some(ACCEPTED) => observations.record(|ledger| {
                ledger.version = next;
                ledger.changes += 1;
            }),
            Some(status) => observations.record(|ledger| {
                ledger.violations.push(format!("change {next} on {version} was refused with {status}"));
                ledger.is_over = true;
            }),
            None => {}
        }
        version = next;
    }
}

/// What a core process tells of its place in the group.
pub struct MemberStatus {
    /// It leads or follows as a voter, under its own identity.
    pub is_voter: bool,
    /// Members that it knows.
    pub members: usize,
}

/// Asks a core process for its place in the group.
pub fn read_member_status(control: SocketAddr) -> Option<MemberStatus> {
    let mut connection = Connection::open(control).ok()?;
    let answer = connection.call("GET", STATUS_PATH, &format!("Host: {control}\r\n"), "").ok()?;
    let has_role = |role: &str| answer.body.contains(&format!("\"Role\":\"{role}\""));
    let members = answer.body.matches("\"Voter\":").count();
    Some(MemberStatus { is_voter: has_role("Leader") || has_role("Follower"), members })
}

/// The version that is read back, asked until somebody answers.
pub fn read_version(controls: &[SocketAddr], patience: Duration) -> Option<u64> {
    let deadline = Instant::now() + patience;
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

/// Whether an edge knows a job; `None` if it does not say so in time.
pub fn knows_job(edge: SocketAddr, job: &str, patience: Duration) -> Option<bool> {
    let deadline = Instant::now() + patience;
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
