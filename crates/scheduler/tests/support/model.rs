//! Model of one worker: fencing token, runs, ended runs, lease and a monotonic clock that may be slow.

use std::collections::BTreeMap;

use messages::job::{EndKind, WorkerEnd};
use scheduler::ids::{AttemptKey, TaskKey};
use scheduler::worker::{CallOutcome, Refusal, RunningEntry, WorkerRequest};

use super::{MAX_WORKER_LEASE_MS, MS};

/// A run of an attempt. Times are milliseconds of the worker's clock. The spec of the attempt is the duration
/// of the run in milliseconds, followed by `f` if the run fails.
#[derive(Clone, Debug)]
struct Run {
    started_at: u64,
    ends_at: u64,
    kind: EndKind,
}

/// An end, with the number of lease expiries before it.
#[derive(Clone, Debug)]
pub struct ListedEnd {
    pub end: WorkerEnd,
    pub expiries_before: u64,
}

#[derive(Clone, Debug)]
pub struct Worker {
    pub incarnation: u64,
    booted_at: u64,
    /// Thousandths by which the clock is slow.
    clock_slow_permille: u64,
    fencing_token: u64,
    worker_lease_until: u64,
    expiry_counted: bool,
    pub expiries: u64,
    runs: BTreeMap<AttemptKey, Run>,
    barred_attempts: BTreeMap<TaskKey, u32>,
    pub finished: Vec<ListedEnd>,
    next_sequence: u64,
    pub last_seen: u64,
    pub capacity: usize,
    pub starts: u64,
    pub unhealthy: bool,
}

impl Worker {
    pub fn new(incarnation: u64, booted_at: u64, clock_slow_permille: u64, capacity: usize) -> Self {
        Worker {
            incarnation,
            booted_at,
            clock_slow_permille,
            fencing_token: 0,
            worker_lease_until: 0,
            expiry_counted: true,
            expiries: 0,
            runs: BTreeMap::new(),
            barred_attempts: BTreeMap::new(),
            finished: Vec::new(),
            next_sequence: 1,
            last_seen: 0,
            capacity,
            starts: 0,
            unhealthy: false,
        }
    }

    /// Time of the worker's clock, in milliseconds since the worker booted.
    pub fn clock_ms(&self, now: u64) -> u64 {
        let passed = now - self.booted_at;
        (passed - passed / 1_000 * self.clock_slow_permille) / MS
    }

    pub fn runs(&self, key: &AttemptKey) -> bool {
        self.runs.contains_key(key)
    }

    pub fn running(&self) -> usize {
        self.runs.len()
    }

    pub fn has_unseen_ends(&self) -> bool {
        self.finished.iter().any(|listed| listed.end.sequence > self.last_seen)
    }

    /// Ends the runs that are due by the worker's clock, and all runs if the lease has expired.
    pub fn advance(&mut self, now: u64) {
        let clock = self.clock_ms(now);
        let until = clock.min(self.worker_lease_until);
        let mut due: Vec<(u64, AttemptKey)> = self
            .runs
            .iter()
            .filter(|(_, run)| run.ends_at <= until)
            .map(|(key, run)| (run.ends_at, *key))
            .collect();
        due.sort_unstable();
        for (_, key) in due {
            let kind = self.runs[&key].kind;
            self.end(key, kind);
        }
        if clock < self.worker_lease_until {
            return;
        }
        let left: Vec<AttemptKey> = self.runs.keys().copied().collect();
        for key in left {
            self.end(key, EndKind::LAPSED);
        }
        if !self.expiry_counted {
            self.expiry_counted = true;
            self.expiries += 1;
        }
    }

    fn end(&mut self, key: AttemptKey, kind: EndKind) {
        self.runs.remove(&key);
        self.bar_up_to_attempt(key);
        let end = WorkerEnd {
            sequence: self.next_sequence,
            task: Some(key.task.into()),
            attempt: key.attempt,
            kind,
            checkpoint: String::new(),
            counted: false,
        };
        self.next_sequence += 1;
        self.finished.push(ListedEnd { end, expiries_before: self.expiries });
    }

    /// Makes the worker refuse this and all lower attempts of the task.
    fn bar_up_to_attempt(&mut self, key: AttemptKey) {
        let barred = self.barred_attempts.entry(key.task).or_default();
        *barred = key.attempt.max(*barred);
    }

    /// Extends the lease to the deadline, at most to the longest lease from now. Never shortens the lease.
    fn renew_lease(&mut self, deadline_ms: u64, clock: u64) {
        let deadline = deadline_ms.min(clock + MAX_WORKER_LEASE_MS);
        if deadline > self.worker_lease_until && deadline > clock {
            self.worker_lease_until = deadline;
            self.expiry_counted = false;
        }
    }

    fn accepts_fencing_token(&mut self, fencing_token: u64) -> bool {
        let is_accepted = fencing_token >= self.fencing_token;
        self.fencing_token = self.fencing_token.max(fencing_token);
        is_accepted
    }

    /// Executes a call. The response to a lease renewal is created separately, by `attempt_lists`.
    pub fn handle_call(&mut self, now: u64, request: &WorkerRequest) -> CallOutcome {
        self.advance(now);
        let now_ms = self.clock_ms(now);
        let refused = |reason| CallOutcome::Refused { now_ms: Some(now_ms), reason };
        match request {
            WorkerRequest::Start { key, spec, deadline_ms, fencing_token, .. } => {
                if self.unhealthy {
                    return refused(Refusal::Unhealthy);
                }
                if !self.accepts_fencing_token(*fencing_token) {
                    return refused(Refusal::StaleFencingToken);
                }
                self.start(*key, spec, *deadline_ms, now_ms)
            }
            WorkerRequest::Stop { key, fencing_token } => {
                if !self.accepts_fencing_token(*fencing_token) {
                    return refused(Refusal::StaleFencingToken);
                }
                self.stop(*key, now_ms);
                CallOutcome::Answer { now_ms }
            }
            WorkerRequest::RenewLease { fencing_token, last_seen, deadline_ms, .. } => {
                if !self.accepts_fencing_token(*fencing_token) {
                    return refused(Refusal::StaleFencingToken);
                }
                if let Some(deadline_ms) = deadline_ms {
                    self.renew_lease(*deadline_ms, now_ms);
                }
                self.last_seen = self.last_seen.max(*last_seen);
                CallOutcome::Answer { now_ms }
            }
        }
    }

    fn start(&mut self, key: AttemptKey, spec: &str, deadline_ms: u64, now_ms: u64) -> CallOutcome {
        let refused = |reason| CallOutcome::Refused { now_ms: Some(now_ms), reason };
        if deadline_ms <= now_ms {
            return refused(Refusal::DeadlinePassed);
        }
        self.renew_lease(deadline_ms, now_ms);
        if self.runs.contains_key(&key) {
            return CallOutcome::Answer { now_ms };
        }
        if self.barred_attempts.get(&key.task).is_some_and(|barred| key.attempt <= *barred) {
            return refused(Refusal::SupersededAttempt);
        }
        if self.runs.len() >= self.capacity {
            return refused(Refusal::NoCapacity);
        }
        let fails = spec.ends_with('f');
        let length: u64 = spec.trim_end_matches('f').parse().expect("a length in milliseconds");
        let kind = if fails { EndKind::FAILED } else { EndKind::DONE };
        self.runs.insert(key, Run { started_at: now_ms, ends_at: now_ms + length, kind });
        self.starts += 1;
        CallOutcome::Answer { now_ms }
    }

    fn stop(&mut self, key: AttemptKey, now_ms: u64) {
        self.bar_up_to_attempt(key);
        if let Some(run) = self.runs.get_mut(&key) {
            let stops = now_ms + super::STOP_MS / 2;
            if stops < run.ends_at {
                run.ends_at = stops;
                run.kind = EndKind::STOPPED;
            }
        }
    }

    /// The response to a lease renewal: the running attempts and at most 500 ends that are not acknowledged.
    pub fn attempt_lists(&self, now: u64) -> CallOutcome {
        let now_ms = self.clock_ms(now);
        let running = self
            .runs
            .iter()
            .map(|(key, run)| RunningEntry {
                key: *key,
                checkpoint: String::new(),
                percent: ((now_ms - run.started_at) * 100 / (run.ends_at - run.started_at).max(1)).min(99)
                    as u32,
            })
            .collect();
        let unseen = self.finished.iter().filter(|listed| listed.end.sequence > self.last_seen);
        let finished = unseen.take(500).map(|listed| listed.end.clone()).collect();
        CallOutcome::Lists { now_ms, running, finished }
    }
}
