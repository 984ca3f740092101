//! Processor time of core processes: what a turn costs, and the quota that pays for it.

use scheduler::leader::LeaderWork;

use crate::time::MS;

/// Length of one period of the quota, in nanoseconds.
const QUOTA_PERIOD: u64 = 100 * MS;

/// Costs in nanoseconds of processor time, each for one unit of work.
mod cost {
    /// A turn, with the wake-up before it.
    pub const TURN: u64 = 20_000;
    /// Reading a request of a client and writing its answer.
    pub const REQUEST: u64 = 10_000;
    /// Reading and handling a worker's answer.
    pub const WORKER_ANSWER: u64 = 15_000;
    /// Any other event: a frame of a core machine, a ping, a connection that opens or closes.
    pub const OTHER_EVENT: u64 = 5_000;
    /// An instance of the platform's list, read and compared.
    pub const LISTED_INSTANCE: u64 = 30_000;
    /// Reading a list of the platform that has not changed.
    pub const UNCHANGED_LIST: u64 = 100_000;
    /// A command of the log that is applied to the state.
    pub const APPLIED_COMMAND: u64 = 2_000;
    /// A message to another process.
    pub const MESSAGE: u64 = 5_000;
    /// A call to a worker that is sent.
    pub const CALL: u64 = 30_000;
    /// A call to a worker that is given up: its connection is closed, and another one is opened later.
    pub const CANCELLED_CALL: u64 = 60_000;
    /// A write that is handed to the disk.
    pub const DISK_WRITE: u64 = 20_000;
    /// A byte of a snapshot that is taken.
    pub const SNAPSHOT_BYTE: u64 = 3;
    /// A job that a new leader takes over from the state.
    pub const RECOVERED_JOB: u64 = 3_000;
    /// A poll of a worker's session.
    pub const SESSION_POLL: u64 = 8_000;
    /// A pass over the waiting steps of a service.
    pub const ADMISSION_PASS: u64 = 500;
    /// A waiting step for which a worker is searched.
    pub const STEP_EXAMINED: u64 = 1_000;
    /// A worker that such a search examines.
    pub const WORKER_EXAMINED: u64 = 10;
}

/// The processor of each core machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Processor {
    /// Share of a core: full speed until it is spent, then nothing for the rest of the period.
    pub share: f64,
    /// How many times as long work takes as on the usual processor, but for turns, messages and writes, whose number does
    /// not depend on the size of a deployment. One with a part of the workers meets the same load with a slower processor.
    pub slowness: f64,
}

/// Work of one turn of a core process, counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TurnWork {
    /// Turns.
    pub turns: u64,
    /// Requests of clients and of the operator.
    pub requests: u64,
    /// Answers of workers.
    pub worker_answers: u64,
    /// Other events.
    pub other_events: u64,
    /// Instances of lists that were read.
    pub listed_instances: u64,
    /// Lists that had not changed.
    pub unchanged_lists: u64,
    /// Commands applied to the state.
    pub applied_commands: u64,
    /// Messages to other processes.
    pub messages: u64,
    /// Calls sent to workers.
    pub calls: u64,
    /// Calls to workers that were given up.
    pub cancelled_calls: u64,
    /// Writes handed to the disk.
    pub disk_writes: u64,
    /// Bytes of snapshots taken.
    pub snapshot_bytes: u64,
    /// Jobs that a new leader took over.
    pub recovered_jobs: u64,
    /// Work of the leader's decisions.
    pub leader: LeaderWork,
}

impl TurnWork {
    /// Adds the work of another turn.
    pub fn add(&mut self, other: &TurnWork) {
        self.turns += other.turns;
        self.requests += other.requests;
        self.worker_answers += other.worker_answers;
        self.other_events += other.other_events;
        self.listed_instances += other.listed_instances;
        self.unchanged_lists += other.unchanged_lists;
        self.applied_commands += other.applied_commands;
        self.messages += other.messages;
        self.calls += other.calls;
        self.cancelled_calls += other.cancelled_calls;
        self.disk_writes += other.disk_writes;
        self.snapshot_bytes += other.snapshot_bytes;
        self.recovered_jobs += other.recovered_jobs;
        self.add_leader_work(&other.leader);
    }

    /// Adds work of the leader's decisions.
    pub fn add_leader_work(&mut self, done: &LeaderWork) {
        let total = &mut self.leader;
        total.inputs += done.inputs;
        total.admission_passes += done.admission_passes;
        total.steps_examined += done.steps_examined;
        total.workers_examined += done.workers_examined;
        total.sessions_polled += done.sessions_polled;
        total.calls_cancelled += done.calls_cancelled;
    }
}

impl Processor {
    /// Processor time of a turn in nanoseconds.
    pub fn cost_of(&self, work: &TurnWork) -> u64 {
        let fixed =
            work.turns * cost::TURN + work.messages * cost::MESSAGE + work.disk_writes * cost::DISK_WRITE;
        let parts = [
            (work.requests, cost::REQUEST),
            (work.worker_answers, cost::WORKER_ANSWER),
            (work.other_events, cost::OTHER_EVENT),
            (work.listed_instances, cost::LISTED_INSTANCE),
            (work.unchanged_lists, cost::UNCHANGED_LIST),
            (work.applied_commands, cost::APPLIED_COMMAND),
            (work.calls, cost::CALL),
            (work.cancelled_calls, cost::CANCELLED_CALL),
            (work.snapshot_bytes, cost::SNAPSHOT_BYTE),
            (work.recovered_jobs, cost::RECOVERED_JOB),
            (work.leader.sessions_polled, cost::SESSION_POLL),
            (work.leader.admission_passes, cost::ADMISSION_PASS),
            (work.leader.steps_examined, cost::STEP_EXAMINED),
        ];
        let nanos: u64 = parts.iter().map(|(units, each)| units * each).sum();
        // A search among fewer workers examines as many times fewer, beside being rarer.
        let searches =
            (work.leader.workers_examined * cost::WORKER_EXAMINED) as f64 * self.slowness * self.slowness;
        fixed + (nanos as f64 * self.slowness + searches) as u64
    }

    /// Processor time of one period in nanoseconds.
    fn quota(&self) -> u64 {
        ((QUOTA_PERIOD as f64 * self.share) as u64).max(1)
    }
}

/// What a machine has spent of the present period's quota.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuotaUse {
    period: u64,
    spent: u64,
}

impl QuotaUse {
    /// When a process that wants to run at `now` gets processor time.
    pub fn runs_from(&mut self, processor: &Processor, now: u64) -> u64 {
        self.enter(now);
        if self.spent < processor.quota() {
            return now;
        }
        (self.period + 1) * QUOTA_PERIOD
    }

    /// Spends processor time from `now` on; gives when it has been spent.
    pub fn spend(&mut self, processor: &Processor, now: u64, nanos: u64) -> u64 {
        let (mut at, mut left) = (now, nanos);
        loop {
            at = self.runs_from(processor, at);
            self.enter(at);
            let period_end = (self.period + 1) * QUOTA_PERIOD;
            let runs_for = left.min(processor.quota() - self.spent).min(period_end - at);
            self.spent += runs_for;
            at += runs_for;
            left -= runs_for;
            if left == 0 {
                return at;
            }
        }
    }

    fn enter(&mut self, now: u64) {
        let period = now / QUOTA_PERIOD;
        if self.period != period {
            *self = QuotaUse { period, spent: 0 };
        }
    }
}
