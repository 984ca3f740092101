//! One worker: fencing token, runs, ends, lease and a steady clock that may be slow.

use std::collections::BTreeMap;

use messages::job::{EndKind, WorkerEnd};
use scheduler::ids::{AttemptKey, TaskKey};
use scheduler::worker::{CallOutcome, Refusal, RunningEntry, WorkerRequest};

use super::{MAX_WORKER_LEASE_MS, MS};

/// A run; times are milliseconds of the worker's clock. Its spec is its length in milliseconds, with an `f` behind
/// it if it fails.
#[derive(Clone, Debug)]
struct Run {
    started: u64,
    ends: u64,
    kind: EndKind,
}

/// An end with how often the lease had expired before it.
#[derive(Clone, Debug)]
pub struct ListedEnd {
    pub end: WorkerEnd,
    pub expiries_before: u64,
}

#[derive(Clone, Debug)]
pub struct Worker {
    pub incarnation: u64,
    booted: u64,
    /// Parts in a thousand by which the clock is slow.
    slow_permille: u64,
    fencing_token: u64,
    worker_lease_until: u64,
    expiry_counted: bool,
    pub expiries: u64,
    runs: BTreeMap<AttemptKey, Run>,
    barred: BTreeMap<TaskKey, u32>,
    pub finished: Vec<ListedEnd>,
    next_sequence: u64,
    pub last_seen: u64,
    pub capacity: usize,
    pub starts: u64,
    pub unhealthy: bool,
}

impl Worker {
    pub fn new(incarnation: u64, booted: u64, slow_permille: u64, capacity: usize) -> Self {
        Worker {
            incarnation,
            booted,
            slow_permille,
            fencing_token: 0,
            worker_lease_until: 0,
            expiry_counted: true,
            expiries: 0,
            runs: BTreeMap::new(),
            barred: BTreeMap::new(),
            finished: Vec::new(),
            next_sequence: 1,
            last_seen: 0,
            capacity,
            starts: 0,
            unhealthy: false,
        }
    }

    pub fn clock_ms(&self, now: u64) -> u64 {
        let passed = now - self.booted;
        (passed - passed / 1_000 * self.slow_permille) / MS
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

    /// Ends runs whose time has come, and all of them if the lease has expired.
    pub fn advance(&mut self, now: u64) {
        let clock = self.clock_ms(now);
        let until = clock.min(self.worker_lease_until);
        let mut due: Vec<(u64, AttemptKey)> = self
            .runs
            .iter()
            .filter(|(_, run)| run.ends <= until)
            .map(|(key, run)| (run.ends, *key))
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
        self.bar(key);
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

    fn bar(&mut self, key: AttemptKey) {
        let barred = self.barred.entry(key.task).or_default();
        *barred = key.attempt.max(*barred);
    }

    fn renew_lease(&mut self, deadline_ms: u64, clock: u64) {
        let deadline = deadline_ms.min(clock + MAX_WORKER_LEASE_MS);
        if deadline > self.worker_lease_until && deadline > clock {
            self.worker_lease_until = deadline;
            self.expiry_counted = false;
        }
    }

    fn accepts_fencing_token(&mut self, fencing_token: u64) -> bool {
        let takes = fencing_token >= self.fencing_token;
        self.fencing_token = self.fencing_token.max(fencing_token);
        takes
    }

    /// Carries out a call; a lease renewal is answered apart, by `lists`.
    pub fn carry_out(&mut self, now: u64, request: &WorkerRequest) -> CallOutcome {
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
        if self.barred.get(&key.task).is_some_and(|barred| key.attempt <= *barred) {
            return refused(Refusal::SupersededAttempt);
        }
        if self.runs.len() >= self.capacity {
            return refused(Refusal::NoCapacity);
        }
        let fails = spec.ends_with('f');
        let length: u64 = spec.trim_end_matches('f').parse().expect("a length in milliseconds");
        let kind = if fails { EndKind::FAILED } else { EndKind::DONE };
        self.runs.insert(key, Run { started: now_ms, ends: now_ms + length, kind });
        self.starts += 1;
        CallOutcome::Answer { now_ms }
    }

    fn stop(&mut self, key: AttemptKey, now_ms: u64) {
        self.bar(key);
        if let Some(run) = self.runs.get_mut(&key) {
            let stops = now_ms + super::STOP_MS / 2;
            if stops < run.ends {
                run.ends = stops;
                run.kind = EndKind::STOPPED;
            }
        }
    }

    pub fn lists(&self, now: u64) -> CallOutcome {
        let now_ms = self.clock_ms(now);
        let running = self
            .runs
            .iter()
            .map(|(key, run)| RunningEntry {
                key: *key,
                checkpoint: String::new(),
                percent: ((now_ms - run.started) * 100 / (run.ends - run.started).max(1)).min(99) as u32,
            })
            .collect();
        let unseen = self.finished.iter().filter(|listed| listed.end.sequence > self.last_seen);
        let finished = unseen.take(500).map(|listed| listed.end.clone()).collect();
        CallOutcome::Lists { now_ms, running, finished }
    }
}
