//! Workers as the protocol describes them: fencing tokens, attempts, leases on their own clocks, lists, gangs
//! and checkpoints.

mod gangs;
mod lists;
mod orders;
mod progress;

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

use configuration::Bounds;
use messages::job::{EndKind, Stage, WorkerEnd};
use scheduler::ids::{AttemptKey, StepKey, TaskKey};
use scheduler::placement::Resources;
use scheduler::worker::CallOutcome;

use crate::history::{History, RunEnd};
use crate::time::MS;

pub use orders::Delivery;

/// The effects of faults on a worker.
#[derive(Clone, Copy, Debug)]
pub struct Condition {
    /// Factor by which tasks take longer.
    pub slowness: f64,
    /// Every run that begins fails.
    pub failing: bool,
    /// Runs that begin make no progress.
    pub stalled: bool,
    /// Fraction of the calls that are answered with 503 without any effect.
    pub busy: f64,
    /// Fraction of the calls that are never answered and have no effect.
    pub hanging: f64,
    /// Fraction of the calls that are carried out but never answered.
    pub mute: f64,
}

impl Default for Condition {
    fn default() -> Self {
        Condition { slowness: 1.0, failing: false, stalled: false, busy: 0.0, hanging: 0.0, mute: 0.0 }
    }
}

/// A worker's machine.
#[derive(Debug)]
pub struct Worker {
    /// `ip:port`.
    pub address: String,
    /// Position of the worker's service.
    pub service: usize,
    /// The worker's zone.
    pub zone: usize,
    /// The worker's kind and rack.
    pub labels: Vec<String>,
    /// The worker's resources.
    pub available: Resources,
    /// Whether the worker refuses tasks that do not fit.
    pub guards: bool,
    /// Slowness of the worker's clock, in parts per thousand.
    pub clock_slow_per_mille: u64,
    /// The effects of faults.
    pub condition: Condition,
    /// The current incarnation; `None` while the worker is down.
    pub incarnation: Option<Incarnation>,
    incarnations: u32,
}

/// A worker from its start to its crash or shutdown.
#[derive(Debug)]
pub struct Incarnation {
    /// The incarnation's identifier.
    pub instance: String,
    /// World time at which the incarnation started.
    pub booted_at: u64,
    /// Highest fencing token that a call carried.
    fencing_token: u64,
    /// End of the lease on the worker's clock, in milliseconds.
    worker_lease_until_ms: u64,
    /// Whether a lease was granted and has not lapsed.
    has_lease: bool,
    /// Number of times that the lease lapsed.
    lease_lapses: u64,
    /// Runs that have not ended.
    runs: BTreeMap<AttemptKey, LiveRun>,
    /// Highest attempt of each task that ended or was stopped here; it and earlier ones must not start.
    superseded_attempts: BTreeMap<TaskKey, u32>,
    /// Ended runs that the leader has not recorded yet, by sequence number.
    finished: VecDeque<FinishedRun>,
    next_sequence: u64,
    /// Highest sequence number that the leader has recorded.
    last_seen: u64,
    long_polls: Vec<LongPoll>,
}

/// A pending long poll.
#[derive(Debug)]
struct LongPoll {
    token: u64,
    until: u64,
}

#[derive(Debug)]
struct FinishedRun {
    end: WorkerEnd,
    position: usize,
    lease_lapses: u64,
}

/// A run, as its worker knows it.
#[derive(Debug)]
struct LiveRun {
    /// Position in the history's runs.
    position: usize,
    /// Resources in use by the run.
    need: Resources,
    phase: Phase,
    /// Total work of the task, in milliseconds.
    work_ms: f64,
    /// Work that the checkpoint at the start had saved, in milliseconds.
    began_ms: f64,
    /// Work done so far, including that of the checkpoint, in milliseconds.
    done_ms: f64,
    /// Remaining time to restore the checkpoint, in milliseconds.
    restore_left_ms: f64,
    /// Work done per unit of time.
    rate: f64,
    /// World time up to which the progress is computed.
    updated_at: u64,
    /// Work after which the run fails, in milliseconds; `None` if it does not fail.
    fails_after_ms: Option<f64>,
    long_running: bool,
    /// Whether the task saves checkpoints.
    saves: bool,
    stalled: bool,
    gang: Option<GangKey>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits for the other members of the gang.
    Waiting {
        until: u64,
    },
    Working,
    Stopping {
        until: u64,
    },
}

/// Identifies one attempt of a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GangKey {
    step: StepKey,
    attempt: u32,
}

#[derive(Debug, Default)]
struct Gang {
    members: BTreeMap<u32, usize>,
    complete: bool,
}

/// All workers of the deployment.
#[derive(Debug)]
pub struct Fleet {
    /// The workers; other fields and callers refer to them by position.
    pub workers: Vec<Worker>,
    bounds: Bounds,
    gangs: BTreeMap<GangKey, Gang>,
    /// Next timers: time and worker position.
    due: BTreeSet<(u64, usize)>,
    /// Next timer of each worker; `u64::MAX` if none.
    due_by_worker: Vec<u64>,
    /// Checkpoints that workers issued, by the task that owns them.
    checkpoints: HashSet<(TaskKey, String)>,
    /// Answers to long polls, ready to be sent, with the token of each call.
    pub answered: Vec<(u64, CallOutcome)>,
}

impl Fleet {
    /// Creates workers that are not started yet.
    pub fn new(workers: Vec<Worker>, bounds: Bounds) -> Fleet {
        let due_by_worker = vec![u64::MAX; workers.len()];
        Fleet {
            workers,
            bounds,
            gangs: BTreeMap::new(),
            due: BTreeSet::new(),
            due_by_worker,
            checkpoints: HashSet::new(),
            answered: Vec::new(),
        }
    }

    /// Adds a worker and returns its position.
    pub fn add(&mut self, worker: Worker) -> usize {
        self.workers.push(worker);
        self.due_by_worker.push(u64::MAX);
        self.workers.len() - 1
    }

    /// Starts a new incarnation of a worker.
    pub fn boot(&mut self, position: usize, now: u64) {
        let worker = &mut self.workers[position];
        worker.incarnations += 1;
        worker.incarnation = Some(Incarnation {
            instance: format!("i-{position:03}-{}", worker.incarnations),
            booted_at: now,
            fencing_token: 0,
            worker_lease_until_ms: 0,
            has_lease: false,
            lease_lapses: 0,
            runs: BTreeMap::new(),
            superseded_attempts: BTreeMap::new(),
            finished: VecDeque::new(),
            next_sequence: 1,
            last_seen: 0,
            long_polls: Vec::new(),
        });
    }

    /// Crashes a worker. All of its runs end without a listed end.
    pub fn crash(&mut self, position: usize, now: u64, history: &mut History) {
        self.advance(now, history);
        let Some(incarnation) = self.workers[position].incarnation.take() else { return };
        for (key, run) in &incarnation.runs {
            history.runs[run.position].end = Some(RunEnd {
                at: now,
                how: None,
                sequence: 0,
                recorded_at: None,
                recorded_after_lapse: None,
            });
            if let Some(gang) = run.gang {
                self.member_left(now, gang, key.task.index, history);
            }
        }
        self.reschedule(position);
    }

    /// Time of the next timer.
    pub fn next_timer(&self) -> u64 {
        self.due.first().map_or(u64::MAX, |(at, _)| *at)
    }

    /// Handles all timers up to `now`, in order.
    pub fn advance(&mut self, now: u64, history: &mut History) {
        while let Some((at, position)) = self.due.first().copied() {
            if at > now {
                return;
            }
            self.due.pop_first();
            self.due_by_worker[position] = u64::MAX;
            self.advance_worker(position, at, history);
            self.reschedule(position);
        }
    }

    fn reschedule(&mut self, position: usize) {
        let due = self.workers[position].next_due();
        let before = std::mem::replace(&mut self.due_by_worker[position], due);
        if before == due {
            return;
        }
        if before != u64::MAX {
            self.due.remove(&(before, position));
        }
        if due != u64::MAX {
            self.due.insert((due, position));
        }
    }

    fn advance_worker(&mut self, position: usize, now: u64, history: &mut History) {
        if self.workers[position].worker_lease_is_over(now) {
            self.lapse_lease(position, now, history);
        }
        while let Some((key, kind)) = self.workers[position].next_end(now) {
            self.end_run(position, key, kind, now, history);
        }
        self.answer_long_polls(position, now);
    }

    fn lapse_lease(&mut self, position: usize, now: u64, history: &mut History) {
        let Some(incarnation) = self.workers[position].incarnation.as_mut() else { return };
        incarnation.has_lease = false;
        incarnation.lease_lapses += 1;
        let keys: Vec<AttemptKey> = incarnation.runs.keys().copied().collect();
        for key in keys {
            self.end_run(position, key, EndKind::LAPSED, now, history);
        }
    }

    /// Ends a run, adds the end to the worker's list and notifies the other members of the gang.
    fn end_run(&mut self, position: usize, key: AttemptKey, kind: EndKind, now: u64, history: &mut History) {
        let save_ms = self.bounds.save_ms as f64;
        let Some(incarnation) = self.workers[position].incarnation.as_mut() else { return };
        let Some(mut run) = incarnation.runs.remove(&key) else { return };
        run.update(now);
        let saved = if kind == EndKind::STOPPED { run.done_ms } else { run.saved_ms(save_ms) };
        let checkpoint = run.checkpoint(&key, saved);
        let superseded_attempt = incarnation.superseded_attempts.entry(key.task).or_insert(0);
        *superseded_attempt = (*superseded_attempt).max(key.attempt);
        let sequence = incarnation.next_sequence;
        incarnation.next_sequence += 1;
        let end = WorkerEnd {
            sequence,
            task: Some(key.task.into()),
            attempt: key.attempt,
            kind,
            checkpoint: checkpoint.clone(),
            counted: false,
        };
        incarnation.finished.push_back(FinishedRun {
            end,
            position: run.position,
            lease_lapses: incarnation.lease_lapses,
        });
        history.runs[run.position].end = Some(RunEnd {
            at: now,
            how: Some(kind),
            sequence,
            recorded_at: None,
            recorded_after_lapse: None,
        });
        self.issue_checkpoint(&key, run.gang.is_some(), checkpoint);
        self.answer_long_polls(position, now);
        if let Some(gang) = run.gang {
            if kind == EndKind::DONE {
                self.finish_gang(now, gang, key.task.index, history);
            } else {
                self.member_left(now, gang, key.task.index, history);
            }
        }
        self.reschedule(position);
    }

    fn issue_checkpoint(&mut self, key: &AttemptKey, gang: bool, text: String) {
        if !text.is_empty() {
            self.checkpoints.insert((checkpoint_owner(&key.task, gang), text));
        }
    }

    /// Whether a checkpoint is empty or was issued for this task.
    fn is_issued_checkpoint(&self, key: &AttemptKey, gang: bool, text: &str) -> bool {
        text.is_empty() || self.checkpoints.contains(&(checkpoint_owner(&key.task, gang), text.to_owned()))
    }

    /// Changes the effects of faults on a worker. Its runs go on at the new speed.
    pub fn set_condition(&mut self, position: usize, now: u64, change: impl FnOnce(&mut Condition)) {
        let worker = &mut self.workers[position];
        let before = worker.condition.slowness;
        change(&mut worker.condition);
        let factor = before / worker.condition.slowness;
        if let Some(incarnation) = worker.incarnation.as_mut() {
            for run in incarnation.runs.values_mut() {
                run.update(now);
                run.rate *= factor;
            }
        }
        self.reschedule(position);
    }

    /// Position of the worker at an address.
    pub fn worker_at_address(&self, address: &str) -> Option<usize> {
        self.workers.iter().position(|worker| worker.address == address)
    }

    /// Whether any task of a job runs on a worker that is up.
    pub fn runs_any_of(&self, job: u64) -> bool {
        let incarnations = self.workers.iter().filter_map(|worker| worker.incarnation.as_ref());
        incarnations.into_iter().any(|incarnation| incarnation.runs.keys().any(|key| key.task.job == job))
    }
}

/// All members of a gang share checkpoints.
fn checkpoint_owner(task: &TaskKey, gang: bool) -> TaskKey {
    TaskKey { index: if gang { u32::MAX } else { task.index }, ..*task }
}

impl Worker {
    /// Creates a worker that is down.
    pub fn new(address: String, service: usize, zone: usize, labels: Vec<String>) -> Worker {
        Worker {
            address,
            service,
            zone,
            labels,
            available: Resources::ZERO,
            guards: true,
            clock_slow_per_mille: 0,
            condition: Condition::default(),
            incarnation: None,
            incarnations: 0,
        }
    }

    /// The worker's clock, in milliseconds since the start of the incarnation.
    fn clock_ms(&self, now: u64) -> u64 {
        let booted_at = self.incarnation.as_ref().map_or(0, |incarnation| incarnation.booted_at);
        let passed = now.saturating_sub(booted_at);
        (passed - passed / 1_000 * self.clock_slow_per_mille) / MS
    }

    /// World time at which the worker's clock shows `clock_ms`.
    fn world_time_of_clock(&self, clock_ms: u64) -> u64 {
        let booted_at = self.incarnation.as_ref().map_or(0, |incarnation| incarnation.booted_at);
        booted_at
            + (clock_ms as f64 * MS as f64 * 1_000.0 / (1_000 - self.clock_slow_per_mille) as f64) as u64
            + 1
    }

    fn worker_lease_is_over(&self, now: u64) -> bool {
        let clock = self.clock_ms(now);
        self.incarnation
            .as_ref()
            .is_some_and(|incarnation| incarnation.has_lease && clock >= incarnation.worker_lease_until_ms)
    }

    /// Resources in use, including those of tasks that are being stopped.
    pub fn used(&self) -> Resources {
        let mut used = Resources::ZERO;
        for run in self.incarnation.iter().flat_map(|incarnation| incarnation.runs.values()) {
            used = add(used, run.need);
        }
        used
    }

    /// Free resources.
    pub fn free(&self) -> Resources {
        let used = self.used();
        Resources {
            cpu: self.available.cpu.saturating_sub(used.cpu),
            mem_mb: self.available.mem_mb.saturating_sub(used.mem_mb),
            gpu: self.available.gpu.saturating_sub(used.gpu),
        }
    }

    fn next_due(&self) -> u64 {
        let Some(incarnation) = &self.incarnation else { return u64::MAX };
        let mut due =
            incarnation.long_polls.iter().map(|long_poll| long_poll.until).min().unwrap_or(u64::MAX);
        if incarnation.has_lease {
            due = due.min(self.world_time_of_clock(incarnation.worker_lease_until_ms));
        }
        incarnation.runs.values().map(LiveRun::ends_at).fold(due, u64::min)
    }

    /// A run that is over by `now`, and how it ends.
    fn next_end(&self, now: u64) -> Option<(AttemptKey, EndKind)> {
        let incarnation = self.incarnation.as_ref()?;
        let (key, run) = incarnation.runs.iter().find(|(_, run)| run.ends_at() <= now)?;
        Some((*key, run.end_kind()))
    }
}

/// The resources that a task of the stage needs.
pub fn need_of(stage: &Stage) -> Resources {
    Resources { cpu: stage.cpu, mem_mb: stage.mem_mb, gpu: stage.gpu }
}

/// The sum of two amounts of resources.
pub fn add(left: Resources, right: Resources) -> Resources {
    Resources { cpu: left.cpu + right.cpu, mem_mb: left.mem_mb + right.mem_mb, gpu: left.gpu + right.gpu }
}

/// Whether a need fits into the free resources.
pub fn fits(need: Resources, left: Resources) -> bool {
    need.cpu <= left.cpu && need.mem_mb <= left.mem_mb && need.gpu <= left.gpu
}
