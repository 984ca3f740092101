//! Processor time of core processes: the cost of a turn, and the processor quota of a machine.

use scheduler::leader::LeaderWork;

use crate::time::MS;

/// Period of the quota, in nanoseconds.
const QUOTA_PERIOD_NS: u64 = 100 * MS;

/// Processor time of one unit of work, in nanoseconds.
mod cost_ns {
    /// A turn, including its wake-up.
    pub const TURN: u64 = 20_000;
    /// Reading a request and writing its answer.
    pub const REQUEST: u64 = 10_000;
    /// Reading and handling a worker's answer.
    pub const WORKER_ANSWER: u64 = 15_000;
    /// Any other event: a frame from a core machine, a ping, or a connection that opens or closes.
    pub const OTHER_EVENT: u64 = 5_000;
    /// Reading and comparing one instance of the platform's list.
    pub const LISTED_INSTANCE: u64 = 30_000;
    /// Reading a platform list that has not changed.
    pub const UNCHANGED_LIST: u64 = 100_000;
    /// Applying a command of the log to the state.
    pub const APPLIED_COMMAND: u64 = 2_000;
    /// Sending a message to another process.
    pub const MESSAGE: u64 = 5_000;
    /// Sending a call to a worker.
    pub const CALL: u64 = 30_000;
    /// Cancelling a call to a worker: its connection is closed and another one is opened later.
    pub const CANCELLED_CALL: u64 = 60_000;
    /// Handing a write to the disk.
    pub const DISK_WRITE: u64 = 20_000;
    /// One byte of a snapshot.
    pub const SNAPSHOT_BYTE: u64 = 3;
    /// Taking over a job from the state as a new leader.
    pub const RECOVERED_JOB: u64 = 3_000;
    /// Going over one attempt of a worker in a poll, beyond the few that are part of the poll's cost.
    pub const ATTEMPT_POLLED: u64 = 100;
    /// Adding a task to the waiting tasks of a service.
    pub const QUEUED_TASK: u64 = 60;
    /// Polling a worker's session.
    pub const SESSION_POLL: u64 = 8_000;
    /// A pass over the waiting steps of a service.
    pub const ADMISSION_PASS: u64 = 500;
    /// Searching a worker for a waiting step.
    pub const STEP_EXAMINED: u64 = 1_000;
    /// Examining one worker in such a search.
    pub const WORKER_EXAMINED: u64 = 10;
}

/// The processor of each core machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Processor {
    /// Share of a processor core. The process runs at full speed until the share is used up, then not at all
    /// for the rest of the period.
    pub share: f64,
    /// Factor by which work takes longer than on the usual processor. Turns, messages and writes are not
    /// slowed, since their number does not depend on the size of a deployment. A deployment with a fraction
    /// of the workers models the same load with a slower processor.
    pub slowness: f64,
}

/// Counted work of a turn of a core process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TurnWork {
    /// Turns.
    pub turns: u64,
    /// Requests from clients and the operator.
    pub requests: u64,
    /// Answers from workers.
    pub worker_answers: u64,
    /// Other events.
    pub other_events: u64,
    /// Instances of platform lists that were read.
    pub listed_instances: u64,
    /// Reads of a platform list that had not changed.
    pub unchanged_lists: u64,
    /// Commands applied to the state.
    pub applied_commands: u64,
    /// Messages sent to other processes.
    pub messages: u64,
    /// Calls sent to workers.
    pub calls: u64,
    /// Cancelled calls to workers.
    pub cancelled_calls: u64,
    /// Writes handed to the disk.
    pub disk_writes: u64,
    /// Bytes of snapshots taken.
    pub snapshot_bytes: u64,
    /// Jobs that a new leader took over from the state.
    pub recovered_jobs: u64,
    /// Work of the leader's decision logic.
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

    /// Adds work of the leader's decision logic.
    pub fn add_leader_work(&mut self, done: &LeaderWork) {
        let total = &mut self.leader;
        total.inputs += done.inputs;
        total.attempts_polled += done.attempts_polled;
        total.tasks_queued += done.tasks_queued;
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
        let fixed = work.turns * cost_ns::TURN
            + work.messages * cost_ns::MESSAGE
            + work.disk_writes * cost_ns::DISK_WRITE;
        let parts = [
            (work.requests, cost_ns::REQUEST),
            (work.worker_answers, cost_ns::WORKER_ANSWER),
            (work.other_events, cost_ns::OTHER_EVENT),
            (work.listed_instances, cost_ns::LISTED_INSTANCE),
            (work.unchanged_lists, cost_ns::UNCHANGED_LIST),
            (work.applied_commands, cost_ns::APPLIED_COMMAND),
            (work.calls, cost_ns::CALL),
            (work.cancelled_calls, cost_ns::CANCELLED_CALL),
            (work.snapshot_bytes, cost_ns::SNAPSHOT_BYTE),
            (work.recovered_jobs, cost_ns::RECOVERED_JOB),
            (work.leader.attempts_polled, cost_ns::ATTEMPT_POLLED),
            (work.leader.tasks_queued, cost_ns::QUEUED_TASK),
            (work.leader.sessions_polled, cost_ns::SESSION_POLL),
            (work.leader.admission_passes, cost_ns::ADMISSION_PASS),
            (work.leader.steps_examined, cost_ns::STEP_EXAMINED),
        ];
        let nanos: u64 = parts.iter().map(|(units, each)| units * each).sum();
        // With fewer workers there are fewer searches, and each search examines fewer workers, hence the
        // square.
        let searches =
            (work.leader.workers_examined * cost_ns::WORKER_EXAMINED) as f64 * self.slowness * self.slowness;
        fixed + (nanos as f64 * self.slowness + searches) as u64
    }

    /// Processor time of one period in nanoseconds.
    fn quota(&self) -> u64 {
        ((QUOTA_PERIOD_NS as f64 * self.share) as u64).max(1)
    }
}

/// Use of the quota in the current period.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuotaUse {
    period: u64,
    spent: u64,
}

impl QuotaUse {
    /// Time at which a process that wants to run at `now` gets processor time.
    pub fn runs_from(&mut self, processor: &Processor, now: u64) -> u64 {
        self.enter_period(now);
        if self.spent < processor.quota() {
            return now;
        }
        (self.period + 1) * QUOTA_PERIOD_NS
    }

    /// Uses processor time from `now` on. Returns the time at which all of it has been used.
    pub fn spend(&mut self, processor: &Processor, now: u64, nanos: u64) -> u64 {
        let (mut at, mut left) = (now, nanos);
        loop {
            at = self.runs_from(processor, at);
            self.enter_period(at);
            let period_end = (self.period + 1) * QUOTA_PERIOD_NS;
            let runs_for = left.min(processor.quota() - self.spent).min(period_end - at);
            self.spent += runs_for;
            at += runs_for;
            left -= runs_for;
            if left == 0 {
                return at;
            }
        }
    }

    fn enter_period(&mut self, now: u64) {
        let period = now / QUOTA_PERIOD_NS;
        if self.period != period {
            *self = QuotaUse { period, spent: 0 };
        }
    }
}
