//! Model of a worker: it runs attempts, lists ended runs and answers lease renewals.

use std::collections::BTreeMap;
use std::sync::Arc;

use configuration::{Instance, WorkerResources};
use messages::job::{EndKind, WorkerEnd};
use scheduler::ids::{AttemptKey, TaskKey};
use scheduler::worker::{CallOutcome, Refusal, RunningEntry, WorkerRequest};

/// Nanoseconds per millisecond.
pub const MS: u64 = 1_000_000;

/// A run of an attempt on a worker.
#[derive(Debug, Clone)]
pub struct Run {
    pub spec: Arc<str>,
    pub checkpoint: String,
    pub started_at: u64,
    /// When the run ends by itself. `None` for runs without an end and while a gang member waits for the
    /// others.
    pub ends_at: Option<u64>,
    pub kind: EndKind,
    pub stalled: bool,
    /// Whether the run has begun its work. A gang member begins once all members have started.
    pub is_working: bool,
    /// Whether the run saves its progress when it ends.
    pub saves_progress: bool,
}

impl Run {
    /// Progress in percent as workers report it, including the progress of the checkpoint that the run
    /// resumed.
    fn percent(&self, now: u64) -> u32 {
        let resumed = self.checkpoint.parse().unwrap_or(0);
        let Some(ends_at) = self.ends_at.filter(|_| !self.stalled) else { return resumed };
        let total = ends_at.saturating_sub(self.started_at).max(1);
        let share = (now.saturating_sub(self.started_at) * 100 / total).min(99) as u32;
        (resumed + share).min(99)
    }

    /// The checkpoint with which the run ends: its progress in percent, as text.
    fn last_checkpoint(&self, now: u64) -> String {
        match self.percent(now) {
            percent if self.saves_progress && percent > 0 => percent.to_string(),
            _ => self.checkpoint.clone(),
        }
    }
}

/// One incarnation of a worker.
#[derive(Debug, Clone)]
pub struct ModelWorker {
    pub instance: Instance,
    pub is_up: bool,
    pub running: BTreeMap<AttemptKey, Run>,
    pub finished: Vec<WorkerEnd>,
    pub fencing_token: u64,
    pub worker_lease_until: u64,
    pub stalls_runs: bool,
    /// Whether all calls to the worker are lost.
    pub is_unreachable: bool,
    pub fails_all_runs: bool,
    /// How starts are refused, without any effect; `None` if they are not.
    pub refuses_starts: Option<Refusal>,
    /// Whether runs that start from now on save their progress when they end.
    pub saves_progress: bool,
    /// Sequence number of the end of each attempt.
    pub ended: BTreeMap<AttemptKey, u64>,
    /// When the lease last expired.
    pub lease_expired_at: Option<u64>,
    highest_attempts: BTreeMap<TaskKey, u32>,
    last_sequence: u64,
}

impl ModelWorker {
    pub fn new(id: &str, number: usize, cpu: u64) -> Self {
        let instance = Instance {
            id: id.to_owned(),
            service: "service".to_owned(),
            address: format!("10.9.0.{number}:80"),
            zone: "z".to_owned(),
            version: "v1".to_owned(),
            capacity: 8,
            draining: false,
            warmup_left_ms: 0,
            available: WorkerResources { cpu, mem_mb: 65_536, gpu: 0 },
            labels: vec!["a".to_owned(), format!("r1-{}", number / 2)],
            remaining_ms: None,
        };
        Self {
            instance,
            is_up: true,
            running: BTreeMap::new(),
            finished: Vec::new(),
            fencing_token: 0,
            worker_lease_until: 0,
            stalls_runs: false,
            is_unreachable: false,
            fails_all_runs: false,
            refuses_starts: None,
            saves_progress: false,
            ended: BTreeMap::new(),
            lease_expired_at: None,
            highest_attempts: BTreeMap::new(),
            last_sequence: 0,
        }
    }

    fn now_ms(now: u64) -> u64 {
        now / MS
    }

    /// Ends all runs once the lease has expired.
    pub fn enforce_lease(&mut self, now: u64) {
        if now < self.worker_lease_until {
            return;
        }
        if self.lease_expired_at.is_none_or(|at| at < self.worker_lease_until) {
            self.lease_expired_at = Some(self.worker_lease_until);
        }
        let keys: Vec<AttemptKey> = self.running.keys().copied().collect();
        for key in keys {
            self.end(now, key, EndKind::LAPSED);
        }
    }

    pub fn end(&mut self, now: u64, key: AttemptKey, kind: EndKind) {
        let Some(run) = self.running.remove(&key) else { return };
        self.last_sequence += 1;
        self.ended.insert(key, self.last_sequence);
        self.finished.push(WorkerEnd {
            sequence: self.last_sequence,
            task: Some(key.task.into()),
            attempt: key.attempt,
            kind,
            checkpoint: run.last_checkpoint(now),
            counted: false,
        });
    }

    /// Whether there are ends after `last_seen`, so that a lease renewal is answered at once.
    pub fn has_unacknowledged_ends(&self, last_seen: u64) -> bool {
        self.finished.iter().any(|end| end.sequence > last_seen)
    }

    pub fn attempt_lists(&self, now: u64) -> CallOutcome {
        let running = self.running.iter().map(|(key, run)| RunningEntry {
            key: *key,
            checkpoint: run.checkpoint.clone(),
            percent: run.percent(now),
        });
        CallOutcome::Lists {
            now_ms: Self::now_ms(now),
            running: running.collect(),
            finished: self.finished.clone(),
        }
    }

    /// Executes a call. Also returns the key of the attempt if the call started a run.
    pub fn handle_call(&mut self, now: u64, request: &WorkerRequest) -> (CallOutcome, Option<AttemptKey>) {
        self.enforce_lease(now);
        let refused =
            |reason| (CallOutcome::Refused { now_ms: Some(Self::now_ms(now)), reason }, None::<AttemptKey>);
        let answer = CallOutcome::Answer { now_ms: Self::now_ms(now) };
        if let (WorkerRequest::Start { .. }, Some(reason)) = (request, self.refuses_starts) {
            return refused(reason);
        }
        let fencing_token = match request {
            WorkerRequest::Start { fencing_token, .. }
            | WorkerRequest::Stop { fencing_token, .. }
            | WorkerRequest::RenewLease { fencing_token, .. } => *fencing_token,
        };
        if fencing_token < self.fencing_token {
            return refused(Refusal::StaleFencingToken);
        }
        self.fencing_token = fencing_token;
        match request {
            WorkerRequest::Start { key, spec, checkpoint, deadline_ms, .. } => {
                if *deadline_ms <= Self::now_ms(now) {
                    return refused(Refusal::DeadlinePassed);
                }
                self.worker_lease_until = self.worker_lease_until.max(deadline_ms * MS);
                if self.running.contains_key(key) {
                    return (answer, None);
                }
                let highest = self.highest_attempts.entry(key.task).or_default();
                if key.attempt <= *highest {
                    return refused(Refusal::SupersededAttempt);
                }
                *highest = key.attempt;
                let run = Run {
                    spec: spec.clone(),
                    checkpoint: checkpoint.clone(),
                    started_at: now,
                    ends_at: None,
                    kind: EndKind::DONE,
                    stalled: self.stalls_runs,
                    is_working: false,
                    saves_progress: self.saves_progress,
                };
                self.running.insert(*key, run);
                (answer, Some(*key))
            }
            WorkerRequest::Stop { key, .. } => {
                let highest = self.highest_attempts.entry(key.task).or_default();
                *highest = (*highest).max(key.attempt);
                self.end(now, *key, EndKind::STOPPED);
                (answer, None)
            }
            WorkerRequest::RenewLease { last_seen, deadline_ms, .. } => {
                if let Some(deadline_ms) = deadline_ms {
                    self.worker_lease_until = self.worker_lease_until.max(deadline_ms * MS);
                }
                self.finished.retain(|end| end.sequence > *last_seen);
                (self.attempt_lists(now), None)
            }
        }
    }
}
