//! Loads that once stopped the whole service or a queue of it: a scheduled job of which far more is due than can run,
//! jobs that no worker can run, bulk jobs, large tasks that wait beside a lasting one on the only worker of a label, and
//! tasks whose starts are refused. They come and go beside the faults, and urgent jobs come beside them.

use crate::clients::{SharedRecord, ACCEPTED, BULK_PREFIX, HOST, REFUSED_PREFIX, UNKNOWN_JOB, URGENT_PREFIX};
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
/// Urgent tasks that only the worker of the lasting task can run.
const PINNED_URGENT: &str =
    r#"{"Spec":"100","Stages":[{"Count":2,"Cpu":100,"MemMb":16,"EstRuntimeMs":100,"Constraints":"rack-1"}]}"#;
const LASTING: &str = r#"{"Spec":"600000","Stages":[{"Count":1,"Cpu":100,"MemMb":16,"EstRuntimeMs":100,"LongRunning":true,"Constraints":"rack-1"}]}"#;
const LARGE: &str = r#"{"Spec":"300","Stages":[{"Count":1,"Cpu":4000,"MemMb":16,"EstRuntimeMs":300}]}"#;
const PINNED_LARGE: &str = r#"{"Spec":"300","Stages":[{"Count":1,"Cpu":4000,"MemMb":16,"EstRuntimeMs":300,"Constraints":"rack-1"}]}"#;
/// Tasks whose starts the stand-in of a worker refuses.
const REFUSED: &str = r#"{"Spec":"refused","Stages":[{"Count":1,"Cpu":100,"MemMb":16,"EstRuntimeMs":100,"Constraints":"rack-4"}]}"#;
const REFUSED_JOBS: usize = 4;
/// Time after which an accepted job that has not begun must be counted (rule MIXED).
const COUNTED_AFTER: Duration = Duration::from_secs(5);
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
    /// When the last of the refused jobs was accepted, if all were.
    refused_since: Option<Instant>,
}

/// Puts the loads in place, submits urgent jobs beside them, and takes the loads away, until the run is finished.
pub fn run_load_client(record: &SharedRecord, edges: &[SocketAddr], rng: Rng) {
    let mut client = LoadClient { record, edges, rng, in_place: Vec::new(), refused_since: None };
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
        self.put_refused_in_place();
        let loads = [SCHEDULED, LASTING, PINNED_LARGE, LARGE, PINNED_LARGE].into_iter();
        let loads = loads.chain([HOPELESS; HOPELESS_JOBS]).chain([BULK; BULK_JOBS]);
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

    fn put_refused_in_place(&mut self) {
        let mut accepted = 0;
        for _ in 0..REFUSED_JOBS {
            let path = format!("{REFUSED_PREFIX}{:016x}", self.rng.u64(..));
            self.in_place.push(path.clone());
            accepted += usize::from(self.submit(&path, REFUSED));
        }
        self.refused_since = (accepted == REFUSED_JOBS).then(Instant::now);
    }

    /// Checks that refused jobs are counted as pending.
    fn check_count(&mut self) {
        let is_due = self.refused_since.is_some_and(|since| since.elapsed() > COUNTED_AFTER);
        let edge = self.edges[self.rng.usize(0..self.edges.len())];
        let Some(answer) = call(edge, "GET", REFUSED_PREFIX, "").filter(|_| is_due) else { return };
        let digits: String = answer.body.chars().filter(char::is_ascii_digit).collect();
        let Some(pending) = digits.parse::<usize>().ok().filter(|_| answer.status == ACCEPTED) else {
            return;
        };
        self.record.update(|calls| {
            calls.counts += 1;
            if pending * 2 < REFUSED_JOBS {
                calls
                    .violations
                    .push(format!("{pending} jobs are pending, and {REFUSED_JOBS} have not begun"));
            }
        });
    }

    fn submit_urgent_jobs(&mut self) {
        let until = Instant::now() + Duration::from_millis(self.rng.u64(LOAD_MS));
        while Instant::now() < until && !self.ends() {
            let path = format!("{URGENT_PREFIX}{:016x}", self.rng.u64(..));
            let body = if self.rng.bool() { URGENT } else { PINNED_URGENT };
            if self.submit(&path, body) {
                self.record.update(|calls| calls.urgent.push(path));
            }
            self.check_count();
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
