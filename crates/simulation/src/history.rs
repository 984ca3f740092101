//! What clients, workers, operator and platform observed on a day. The oracle uses nothing else.

use std::collections::BTreeMap;

use messages::job::EndKind;
use scheduler::ids::{AttemptKey, TaskKey};
use scheduler::placement::Resources;

use crate::script::{FaultKind, PowerOutage};
use crate::workload::JobPlan;

/// Number of a core or edge machine, unique among both.
pub type Machine = usize;

/// A span of world time. The end of an open span is `u64::MAX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// First time of the span.
    pub from: u64,
    /// Last time of the span.
    pub until: u64,
}

impl Span {
    /// Whether the span overlaps `from..=until`.
    pub fn touches(&self, from: u64, until: u64) -> bool {
        self.from <= until && self.until >= from
    }
}

/// How a client's call was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// 200 for a submission or a cancellation.
    Done,
    /// 200 with the state of the job.
    State(String),
    /// 200 with the number of pending jobs.
    Count(u64),
    /// 404: no route matches the path.
    NoRoute,
    /// 410: the job is not known.
    Gone,
    /// 400: the request is invalid.
    Invalid,
    /// 429 or 503: the request was not accepted.
    Rejected,
    /// 502 or 504: the outcome is unknown.
    Unsure,
    /// The connection broke, or the client stopped waiting.
    None,
}

/// Kind of a client's call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// POST of a job.
    Submit,
    /// GET of a job.
    Read,
    /// DELETE of a job.
    Cancel,
    /// GET of a queue's count.
    Count,
}

/// A client's call.
#[derive(Clone, Debug)]
pub struct ClientCall {
    /// Kind of the call.
    pub kind: CallKind,
    /// The job; 0 for a count.
    pub job: u64,
    /// Prefix of the queue.
    pub prefix: String,
    /// The edge that received the call.
    pub edge: Machine,
    /// When it was sent.
    pub sent_at: u64,
    /// How long the client waits for an answer, in nanoseconds.
    pub timeout: u64,
    /// Time and content of the answer; `None` while the call is pending.
    pub answer: Option<(u64, Answer)>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunEnd {
    /// When the run ended.
    pub at: u64,
    /// The kind of end; `None` if the worker crashed or left.
    pub how: Option<EndKind>,
    /// Sequence number of the end in the worker's list.
    pub sequence: u64,
    /// When the end was recorded by the leader, provided the worker's lease did not expire before that.
    pub recorded_at: Option<u64>,
    /// When the end was recorded by the leader, if the worker's lease expired before that.
    pub recorded_after_lapse: Option<u64>,
}

/// One run of a task on a worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// The attempt.
    pub key: AttemptKey,
    /// The worker's position.
    pub worker: usize,
    /// The worker's incarnation.
    pub instance: String,
    /// Position of the worker's service.
    pub service: usize,
    /// Labels of the worker.
    pub labels: Vec<String>,
    /// The core machine that sent the order.
    pub sender: Machine,
    /// When the order was sent.
    pub ordered_at: u64,
    /// When the run started.
    pub started_at: u64,
    /// The order was carried out late on purpose.
    pub late: bool,
    /// The checkpoint in the order.
    pub checkpoint: String,
    /// The specification in the order equals the one that the client sent.
    pub spec_matches: bool,
    /// The checkpoint in the order is empty or was issued for the task.
    pub checkpoint_matches: bool,
    /// Resources in use on the worker after the start, if they exceed its available resources.
    pub overload: Option<Resources>,
    /// Number of tasks of the same step and repetition on the worker, including this one.
    pub step_tasks_on_worker: u32,
    /// When the last member of the gang started.
    pub gang_complete_at: Option<u64>,
    /// The end of the run; `None` while it goes on.
    pub end: Option<RunEnd>,
}

/// An order to start a task that no client submitted.
#[derive(Clone, Debug)]
pub struct UnknownOrder {
    /// When the order arrived.
    pub at: u64,
    /// The attempt that the order named.
    pub key: AttemptKey,
}

/// A start order, as a core machine sent it.
#[derive(Clone, Copy, Debug)]
pub struct StartOrder {
    /// When the order was sent.
    pub at: u64,
    /// The job of the task.
    pub job: u64,
    /// The worker's position.
    pub worker: usize,
}

/// A read of the configuration by the operator, from any machine.
#[derive(Clone, Debug)]
pub struct ConfigurationQuery {
    /// When the read was sent.
    pub sent_at: u64,
    /// When a configuration arrived, and its body; `None` if there was no answer or another answer.
    pub answer: Option<(u64, Vec<u8>)>,
}

/// A configuration change, as the operator sent it.
#[derive(Clone, Debug)]
pub struct ConfigurationOrder {
    /// The value of `Version`.
    pub version: u64,
    /// The value of `If-Match`.
    pub builds_on: u64,
    /// The request body.
    pub body: Vec<u8>,
    /// The change must not be accepted.
    pub invalid: bool,
    /// Path prefixes of the configuration.
    pub prefixes: Vec<String>,
    /// When it was first sent.
    pub sent_at: u64,
    /// When the operator received the acknowledgement.
    pub acknowledged_at: Option<u64>,
    /// When a core machine first answered 200, whether or not the answer arrived.
    pub accepted_at: Option<u64>,
    /// Definite refusals: time and status.
    pub refused: Vec<(u64, u16)>,
    /// Times at which an acknowledged change was sent again.
    pub repeats: Vec<u64>,
    /// When the operator gave up.
    pub given_up_at: Option<u64>,
}

/// A draining worker in a list that a core machine read.
#[derive(Clone, Debug)]
pub struct DrainRead {
    /// The machine that read the list.
    pub reader: Machine,
    /// The incarnation that is listed as draining.
    pub instance: String,
    /// When the machine received the list.
    pub at: u64,
}

/// A job of which nothing ran for too long although a task could have run.
#[derive(Clone, Debug)]
pub struct IdleJob {
    /// The job.
    pub job: u64,
    /// When the job became idle.
    pub since: u64,
    /// When the idle time exceeded its limit.
    pub at: u64,
    /// The job's last run ended because its worker or the worker's lease was lost.
    pub worker_was_lost: bool,
}

/// A fault of a process itself, not caused by fault injection.
#[derive(Clone, Debug)]
pub struct ProcessFault {
    /// The machine of the process.
    pub machine: Machine,
    /// When the fault was observed.
    pub at: u64,
    /// What happened.
    pub text: String,
}

/// A core process started or stopped leading.
#[derive(Clone, Copy, Debug)]
pub struct LeaderChange {
    /// When the change took effect.
    pub at: u64,
    /// The machine of the process.
    pub machine: Machine,
    /// The term.
    pub term: u64,
    /// Whether the process leads from now on.
    pub leads: bool,
}

/// Everything that was observed on a day.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Jobs of the day by identifier.
    pub jobs: BTreeMap<u64, JobPlan>,
    /// Calls of clients, in the order of sending.
    pub calls: Vec<ClientCall>,
    /// Runs in the order of their starts.
    pub runs: Vec<Run>,
    /// Start orders, as core machines sent them.
    pub start_orders: Vec<StartOrder>,
    /// Orders to start tasks that no client submitted.
    pub unknown_orders: Vec<UnknownOrder>,
    /// Configuration changes, in the order of first sending.
    pub configurations: Vec<ConfigurationOrder>,
    /// The configuration read back at the end of the day; `None` if the read failed.
    pub read_back: Option<Vec<u8>>,
    /// The operator's reads of the configuration during the day.
    pub configuration_queries: Vec<ConfigurationQuery>,
    /// Draining workers, as core machines saw them listed.
    pub drains: Vec<DrainRead>,
    /// Jobs that stayed idle without a reason.
    pub idle: Vec<IdleJob>,
    /// Faults of machines.
    pub machine_faults: Vec<(Machine, Span)>,
    /// Spans in which the core was not stable, without the time that it needs to recover.
    pub core_faults: Vec<Span>,
    /// Faults of workers or of their network.
    pub worker_faults: Vec<(usize, Span, FaultKind)>,
    /// Spans in which workers may carry out orders late.
    pub late_orders: Vec<Span>,
    /// Spans in which machines have no power.
    pub power_outages: Vec<PowerOutage>,
    /// Whether clocks jump on this day.
    pub clocks_jump: bool,
    /// Faults of processes themselves, not caused by fault injection.
    pub process_faults: Vec<ProcessFault>,
    /// The final fault, until all machines were back.
    pub final_fault: Option<Span>,
    /// Changes of the leader, on days that simulate processor time.
    pub leader_changes: Vec<LeaderChange>,
    /// When traffic began and ended.
    pub traffic: Option<Span>,
    /// When the day ended.
    pub ended_at: u64,
}

impl History {
    /// Runs of a job's tasks, in the order of their starts.
    pub fn runs_of(&self, job: u64) -> impl Iterator<Item = &Run> {
        self.runs.iter().filter(move |run| run.key.task.job == job)
    }

    /// Start orders for tasks of a job.
    pub fn orders_of(&self, job: u64) -> impl Iterator<Item = &StartOrder> {
        self.start_orders.iter().filter(move |order| order.job == job)
    }

    /// Whether copies of a task of this step may run at the same time.
    pub fn is_speculative(&self, key: &AttemptKey) -> bool {
        self.stage_flag(key, |stage| stage.speculative)
    }

    /// Whether a step is a gang.
    pub fn is_gang(&self, key: &AttemptKey) -> bool {
        self.stage_flag(key, |stage| stage.gang)
    }

    /// Whether a step's tasks run until the job is cancelled.
    pub fn is_long_running(&self, key: &AttemptKey) -> bool {
        self.stage_flag(key, |stage| stage.long_running)
    }

    /// The task to which a run's failure counts. All members of a gang fail as one task.
    pub fn failure_owner(&self, key: &AttemptKey) -> TaskKey {
        let index = if self.is_gang(key) { 0 } else { key.task.index };
        TaskKey { index, ..key.task }
    }

    fn stage_flag(&self, key: &AttemptKey, flag: impl Fn(&messages::job::Stage) -> bool) -> bool {
        let job = self.jobs.get(&key.task.job);
        job.and_then(|job| job.body.stages.get(key.task.step as usize)).is_some_and(flag)
    }
}
