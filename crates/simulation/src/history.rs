//! What clients, workers, operator and platform saw on a day. The oracle judges this and nothing else.

use std::collections::BTreeMap;

use messages::job::EndKind;
use scheduler::ids::{AttemptKey, TaskKey};
use scheduler::placement::Resources;

use crate::script::{DarkMachine, FaultKind};
use crate::workload::JobPlan;

/// Number of a machine of the core or an edge, unique over both.
pub type Machine = usize;

/// A span of world time; an end that has not come is `u64::MAX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// First moment.
    pub from: u64,
    /// Last moment.
    pub until: u64,
}

impl Span {
    /// Whether the span has a moment in common with `from..=until`.
    pub fn touches(&self, from: u64, until: u64) -> bool {
        self.from <= until && self.until >= from
    }
}

/// How a client's call was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// 200 to a submission or a cancelling.
    Done,
    /// 200 with a state.
    State(String),
    /// 200 with a count.
    Count(u64),
    /// 404.
    NoRoute,
    /// 410.
    Gone,
    /// 400.
    Invalid,
    /// 429 or 503: not taken.
    Rejected,
    /// 502 or 504.
    Unsure,
    /// The connection broke, or the client waited no longer.
    None,
}

/// What a client called for.
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

/// One call of a client.
#[derive(Clone, Debug)]
pub struct ClientCall {
    /// What was called for.
    pub kind: CallKind,
    /// Which job; 0 for a count.
    pub job: u64,
    /// Prefix of the queue that was named.
    pub prefix: String,
    /// Which edge it went to.
    pub edge: Machine,
    /// When it was sent.
    pub sent_at: u64,
    /// How long the client waits.
    pub patience: u64,
    /// The answer; `None` while it is awaited.
    pub answer: Option<(u64, Answer)>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunEnd {
    /// When.
    pub at: u64,
    /// How; `None`: its worker crashed or left.
    pub how: Option<EndKind>,
    /// Its number in the worker's list.
    pub sequence: u64,
    /// When it was recorded while the worker's lease had not lapsed in between.
    pub recorded_at: Option<u64>,
    /// The worker's lease lapsed before it was recorded, at this time.
    pub recorded_after_lapse: Option<u64>,
}

/// One run of a task on a worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// Which attempt.
    pub key: AttemptKey,
    /// Position of the worker.
    pub worker: usize,
    /// The worker's incarnation.
    pub instance: String,
    /// Position of its service.
    pub service: usize,
    /// Labels of the worker.
    pub labels: Vec<String>,
    /// Core machine that sent the order.
    pub sender: Machine,
    /// When the order was sent.
    pub ordered_at: u64,
    /// When it began.
    pub started_at: u64,
    /// The order was carried out late.
    pub late: bool,
    /// The checkpoint that the order brought.
    pub checkpoint: String,
    /// The order's text was the one that the client sent.
    pub spec_matches: bool,
    /// The checkpoint was one of the task's, or none.
    pub checkpoint_matches: bool,
    /// What the worker had in use beyond its `Available` at the start.
    pub overload: Option<Resources>,
    /// Tasks of the step that ran on the worker after this start, of the same time.
    pub step_mates: u32,
    /// When a gang's last member was there.
    pub gang_complete_at: Option<u64>,
    /// How it ended.
    pub end: Option<RunEnd>,
}

/// An order to start what no client sent.
#[derive(Clone, Debug)]
pub struct UnknownOrder {
    /// When it arrived.
    pub at: u64,
    /// What it named.
    pub key: AttemptKey,
}

/// An order to start a task, as the core sent it.
#[derive(Clone, Copy, Debug)]
pub struct StartOrder {
    /// When.
    pub at: u64,
    /// Whose task.
    pub job: u64,
    /// To which worker.
    pub worker: usize,
}

/// One reading of the configuration by the operator, from any machine.
#[derive(Clone, Debug)]
pub struct ConfigurationQuery {
    /// When it was sent.
    pub sent_at: u64,
    /// When a configuration came, and which; `None`: another answer or none.
    pub answer: Option<(u64, Vec<u8>)>,
}

/// A change of the configuration as the operator sent it.
#[derive(Clone, Debug)]
pub struct ConfigurationOrder {
    /// Its `Version`.
    pub version: u64,
    /// Its `If-Match`.
    pub builds_on: u64,
    /// Its body.
    pub body: Vec<u8>,
    /// It must not be taken.
    pub invalid: bool,
    /// Prefixes that it has.
    pub prefixes: Vec<String>,
    /// When it was first sent.
    pub sent_at: u64,
    /// When the operator saw its acknowledgement.
    pub acknowledged_at: Option<u64>,
    /// When a 200 left a core machine, seen or not.
    pub taken_at: Option<u64>,
    /// Clear refusals: when, and by which status.
    pub refused: Vec<(u64, u16)>,
    /// When an acknowledged change was sent again.
    pub repeats: Vec<u64>,
    /// When the operator gave it up.
    pub given_up_at: Option<u64>,
}

/// What a core machine read of the platform's list.
#[derive(Clone, Debug)]
pub struct DrainRead {
    /// Which machine.
    pub reader: Machine,
    /// Which incarnation stands there as draining.
    pub instance: String,
    /// When the machine had the answer.
    pub at: u64,
}

/// A job for which nothing ran although it could have.
#[derive(Clone, Debug)]
pub struct IdleJob {
    /// Which job.
    pub job: u64,
    /// Since when.
    pub since: u64,
    /// When the bound was over.
    pub at: u64,
    /// Its last run ended with its worker, or with the worker's lease.
    pub worker_was_lost: bool,
}

/// A machine's own faults, apart from what was done to it.
#[derive(Clone, Debug)]
pub struct ProcessFault {
    /// Which machine.
    pub machine: Machine,
    /// When.
    pub at: u64,
    /// What happened.
    pub text: String,
}

/// A core process began to lead, or leads no longer.
#[derive(Clone, Copy, Debug)]
pub struct LeaderChange {
    /// When.
    pub at: u64,
    /// Which machine.
    pub machine: Machine,
    /// In which term.
    pub term: u64,
    /// Whether it leads now.
    pub leads: bool,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Jobs of the day by identity.
    pub jobs: BTreeMap<u64, JobPlan>,
    /// Calls of clients in the order in which they were sent.
    pub calls: Vec<ClientCall>,
    /// Runs in the order of their starts.
    pub runs: Vec<Run>,
    /// Orders to start as the core sent them.
    pub start_orders: Vec<StartOrder>,
    /// Orders that name unknown tasks.
    pub unknown_orders: Vec<UnknownOrder>,
    /// Changes of the configuration in the order in which they were first sent.
    pub configurations: Vec<ConfigurationOrder>,
    /// The configuration as it was read back at the end; `None`: it did not come.
    pub read_back: Option<Vec<u8>>,
    /// Configurations that the operator read now and then.
    pub configuration_queries: Vec<ConfigurationQuery>,
    /// Draining workers as core machines saw them listed.
    pub drains: Vec<DrainRead>,
    /// Jobs that waited for no reason.
    pub idle: Vec<IdleJob>,
    /// Faults of machines.
    pub machine_faults: Vec<(Machine, Span)>,
    /// Spans in which the core was not stable, without what follows them.
    pub core_faults: Vec<Span>,
    /// Faults of workers or of what reaches them.
    pub worker_faults: Vec<(usize, Span, FaultKind)>,
    /// Spans in which workers carry orders out late.
    pub late_orders: Vec<Span>,
    /// Spans in which machines have no power.
    pub dark: Vec<DarkMachine>,
    /// Clocks of this day jump.
    pub clocks_jump: bool,
    /// Faults of processes themselves.
    pub process_faults: Vec<ProcessFault>,
    /// The final fault, until the machines were back.
    pub final_fault: Option<Span>,
    /// Changes of leaders, on days on which work takes processor time.
    pub leader_changes: Vec<LeaderChange>,
    /// When traffic began and ended.
    pub traffic: Option<Span>,
    /// When the day ended.
    pub ended_at: u64,
}

impl History {
    /// Runs that a task had, in the order of their starts.
    pub fn runs_of(&self, job: u64) -> impl Iterator<Item = &Run> {
        self.runs.iter().filter(move |run| run.key.task.job == job)
    }

    /// Orders to start tasks of a job.
    pub fn orders_of(&self, job: u64) -> impl Iterator<Item = &StartOrder> {
        self.start_orders.iter().filter(move |order| order.job == job)
    }

    /// Whether a step may have copies side by side.
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

    /// The task whose failures a run's failure counts among: a gang fails as one.
    pub fn counted_as(&self, key: &AttemptKey) -> TaskKey {
        let index = if self.is_gang(key) { 0 } else { key.task.index };
        TaskKey { index, ..key.task }
    }

    fn stage_flag(&self, key: &AttemptKey, flag: impl Fn(&messages::job::Stage) -> bool) -> bool {
        let job = self.jobs.get(&key.task.job);
        job.and_then(|job| job.body.stages.get(key.task.step as usize)).is_some_and(flag)
    }
}
