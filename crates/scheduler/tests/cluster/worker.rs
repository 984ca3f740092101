//! A small model of a worker: it runs what it is asked to, lists ends and answers lease renewals.

use std::collections::BTreeMap;
use std::sync::Arc;

use configuration::{Instance, WorkerResources};
use messages::job::{EndKind, WorkerEnd};
use scheduler::ids::{AttemptKey, TaskKey};
use scheduler::worker::{CallOutcome, Refusal, RunningEntry, WorkerRequest};

pub const MS: u64 = 1_000_000;

/// One run on a worker.
#[derive(Debug, Clone)]
pub struct Run {
    pub spec: Arc<str>,
    pub checkpoint: String,
    pub started_at: u64,
    /// When it ends by itself; none while a gang's member waits, or for ever.
    pub ends_at: Option<u64>,
    pub kind: EndKind,
    pub stalled: bool,
    /// Whether it works: of a gang once all members are there.
    pub begun: bool,
    /// Whether it saves its progress when it ends.
    pub saves: bool,
}

impl Run {
    /// The share of its work that is done, what it resumes from included, as workers count it.
    fn percent(&self, now: u64) -> u32 {
        let resumed = self.checkpoint.parse().unwrap_or(0);
        let Some(ends_at) = self.ends_at.filter(|_| !self.stalled) else { return resumed };
        let total = ends_at.saturating_sub(self.started_at).max(1);
        let share = (now.saturating_sub(self.started_at) * 100 / total).min(99) as u32;
        (resumed + share).min(99)
    }

    /// The checkpoint with which it ends: the percentage as a text.
    fn last_checkpoint(&self, now: u64) -> String {
        match self.percent(now) {
            percent if self.saves && percent > 0 => percent.to_string(),
            _ => self.checkpoint.clone(),
        }
    }
}

/// One incarnation of a worker.
#[derive(Debug, Clone)]
pub struct ModelWorker {
    pub instance: Instance,
    pub up: bool,
    pub running: BTreeMap<AttemptKey, Run>,
    pub finished: Vec<WorkerEnd>,
    pub fencing_token: u64,
    pub worker_lease_until: u64,
    pub stalls: bool,
    /// Calls are lost on their way.
    pub mute: bool,
    pub fails_all: bool,
    /// Whether its runs save their progress when they end.
    pub saves: bool,
    /// Sequence of each end.
    pub ended: BTreeMap<AttemptKey, u64>,
    /// When the lease last expired.
    pub lapsed_at: Option<u64>,
    highest: BTreeMap<TaskKey, u32>,
    sequence: u64,
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
            up: true,
            running: BTreeMap::new(),
            finished: Vec::new(),
            fencing_token: 0,
            worker_lease_until: 0,
            stalls: false,
            mute: false,
            fails_all: false,
            saves: false,
            ended: BTreeMap::new(),
            lapsed_at: None,
            highest: BTreeMap::new(),
            sequence: 0,
        }
    }

    fn now_ms(now: u64) -> u64 {
        now / MS
    }

    /// Everything is killed once the lease has expired.
    pub fn lapse(&mut self, now: u64) {
        if now < self.worker_lease_until {
            return;
        }
        if self.lapsed_at.is_none_or(|at| at < self.worker_lease_until) {
            self.lapsed_at = Some(self.worker_lease_until);
        }
        let keys: Vec<AttemptKey> = self.running.keys().copied().collect();
        for key in keys {
            self.end(now, key, EndKind::LAPSED);
        }
    }

    pub fn end(&mut self, now: u64, key: AttemptKey, kind: EndKind) {
        let Some(run) = self.running.remove(&key) else { return };
        self.sequence += 1;
        self.ended.insert(key, self.sequence);
        self.finished.push(WorkerEnd {
            sequence: self.sequence,
            task: Some(key.task.into()),
            attempt: key.attempt,
            kind,
            checkpoint: run.last_checkpoint(now),
            counted: false,
        });
    }

    /// Whether a lease renewal with this `last_seen` is to be answered at once.
    pub fn has_unacknowledged_ends(&self, last_seen: u64) -> bool {
        self.finished.iter().any(|end| end.sequence > last_seen)
    }

    pub fn lists(&self, now: u64) -> CallOutcome {
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

    /// Carries out a call. Of a start that begins a run, its key is given too.
    pub fn call(&mut self, now: u64, request: &WorkerRequest) -> (CallOutcome, Option<AttemptKey>) {
        self.lapse(now);
        let refused =
            |reason| (CallOutcome::Refused { now_ms: Some(Self::now_ms(now)), reason }, None::<AttemptKey>);
        let answer = CallOutcome::Answer { now_ms: Self::now_ms(now) };
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
                let highest = self.highest.entry(key.task).or_default();
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
                    stalled: self.stalls,
                    begun: false,
                    saves: self.saves,
                };
                self.running.insert(*key, run);
                (answer, Some(*key))
            }
            WorkerRequest::Stop { key, .. } => {
                let highest = self.highest.entry(key.task).or_default();
                *highest = (*highest).max(key.attempt);
                self.end(now, *key, EndKind::STOPPED);
                (answer, None)
            }
            WorkerRequest::RenewLease { last_seen, deadline_ms, .. } => {
                if let Some(deadline_ms) = deadline_ms {
                    self.worker_lease_until = self.worker_lease_until.max(deadline_ms * MS);
                }
                self.finished.retain(|end| end.sequence > *last_seen);
                (self.lists(now), None)
            }
        }
    }
}
