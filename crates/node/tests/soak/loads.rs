//! Loads that once stopped the whole service or a queue of it: a scheduled job of which far more is due than can run,
//! jobs that no worker can run, and bulk jobs. They come and go beside the faults, and urgent jobs come beside them.

use crate::clients::{SharedRecord, ACCEPTED, BULK_PREFIX, HOST, UNKNOWN_JOB, URGENT_PREFIX};
use crate::http::{Answer, Connection};
use crate::soak_run::ATTEMPT_TIMEOUT;
use fastrand::Rng;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// More jobs than a scan of a queue examines.
const HOPELESS_JOBS: usize = 40;
const BULK_JOBS: usize = 2;
const SCHEDULED: &str = r#"{"Spec":"100","Repeat":10000,"IntervalMs":1000,"Stages":[{"Count":3000,"Cpu":100,"MemMb":16,"EstRuntimeMs":100}]}"#;
const HOPELESS: &str = r#"{"Spec":"100","Stages":[{"Count":2,"Cpu":100,"MemMb":16,"EstRuntimeMs":100,"Constraints":"no-such-label"}]}"#;
const BULK: &str = r#"{"Spec":"1000","Stages":[{"Count":9900,"Cpu":4,"MemMb":1,"EstRuntimeMs":1000}]}"#;
const URGENT: &str = r#"{"Spec":"100","Stages":[{"Count":2,"Cpu":100,"MemMb":16,"EstRuntimeMs":100}]}"#;
/// Status of a request that was refused for now.
const OVERLOADED: u16 = 429;
/// How long the loads stay in place.
const LOAD_MS: std::ops::Range<u64> = 1_000..6_000;
/// Time between two urgent jobs.
const URGENT_INTERVAL: Duration = Duration::from_millis(100);

struct LoadClient<'a> {
    record: &'a SharedRecord,
    edges: &'a [SocketAddr],
    rng: Rng,
    /// Paths of the loads that are in place or may be.
    in_place: Vec<String>,
}

/// Puts the loads in place, submits urgent jobs beside them, and takes the loads away, until the run is finished.
pub fn run_load_client(record: &SharedRecord, edges: &[SocketAddr], rng: Rng) {
    let mut client = LoadClient { record, edges, rng, in_place: Vec::new() };
    while !record.is_finished() {
        if client.ends() {
            record.wait_until(URGENT_INTERVAL, |calls| !calls.ends_loads);
            continue;
        }
        client.put_in_place();
        client.submit_urgent_jobs();
        client.take_away();
    }
}

impl LoadClient<'_> {
    fn ends(&self) -> bool {
        self.record.is_finished() || self.record.calls().ends_loads
    }

    fn put_in_place(&mut self) {
        self.record.update(|calls| calls.has_no_load = false);
        let loads = [SCHEDULED].into_iter().chain([HOPELESS; HOPELESS_JOBS]).chain([BULK; BULK_JOBS]);
        for (number, body) in loads.enumerate() {
            let prefix = if number % 2 == 0 { BULK_PREFIX } else { URGENT_PREFIX };
            // The large jobs must not be urgent: they would rightly come before the others.
            let prefix = if body == HOPELESS { prefix } else { BULK_PREFIX };
            let path = format!("{prefix}{:016x}", self.rng.u64(..));
            self.in_place.push(path.clone());
            self.submit(&path, body);
        }
        self.record.update(|calls| calls.load_rounds += 1);
    }

    fn submit_urgent_jobs(&mut self) {
        let until = Instant::now() + Duration::from_millis(self.rng.u64(LOAD_MS));
        while Instant::now() < until && !self.ends() {
            let path = format!("{URGENT_PREFIX}{:016x}", self.rng.u64(..));
            if self.submit(&path, URGENT) {
                self.record.update(|calls| calls.urgent.push(path));
            }
            self.record.wait_until(URGENT_INTERVAL, |calls| calls.ends_loads);
        }
    }

    fn take_away(&mut self) {
        for path in std::mem::take(&mut self.in_place) {
            let is_gone = |status| matches!(status, ACCEPTED | UNKNOWN_JOB);
            while !self.record.is_finished() && !self.call("DELETE", &path, "").is_some_and(is_gone) {}
        }
        self.record.update(|calls| calls.has_no_load = true);
    }

    /// Submits a job until it is clear whether it was accepted. Returns whether it was.
    fn submit(&mut self, path: &str, body: &str) -> bool {
        while !self.ends() {
            match self.call("POST", path, body) {
                Some(ACCEPTED) => return true,
                Some(OVERLOADED) => return false,
                _ => {}
            }
        }
        false
    }

    fn call(&mut self, method: &str, path: &str, body: &str) -> Option<u16> {
        let edge = self.edges[self.rng.usize(0..self.edges.len())];
        call(edge, method, path, body).map(|answer| answer.status)
    }
}

fn call(edge: SocketAddr, method: &str, path: &str, body: &str) -> Option<Answer> {
    let mut connection = Connection::open_with_timeout(edge, ATTEMPT_TIMEOUT).ok()?;
    connection.call(method, path, &format!("Host: {HOST}\r\nX-Deadline-Ms: 3000\r\n"), body).ok()
}

/// Whether an edge shows a job as completed; `None` without a clear answer.
pub fn is_completed(edge: SocketAddr, path: &str) -> Option<bool> {
    let answer = call(edge, "GET", path, "").filter(|answer| answer.status == ACCEPTED)?;
    Some(answer.body.contains("completed"))
}
