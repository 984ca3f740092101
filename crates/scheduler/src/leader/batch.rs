//! Commands that are collected until the next flush and then proposed together.

use messages::encoded_len;
use messages::job::mod_Command::OneOfkind;
use messages::job::{
    AdvanceClock, AttemptResolved, AttemptStart, Command, CommandBatch, ForgetWorkers, RecordEnds,
    ResolveAttempts, StartAttempts, WorkerEnd, WorkerIncarnation,
};

use super::command_size::split_by_size;

/// Commands of the next proposal.
#[derive(Debug, Default)]
pub(super) struct Batch {
    commands: Vec<Command>,
    ends: Vec<RecordEnds>,
    resolved: Vec<AttemptResolved>,
    starts: Vec<AttemptStart>,
    incarnations: Vec<WorkerIncarnation>,
    forget: Vec<String>,
    clock_ms: Option<u64>,
}

impl Batch {
    /// Adds a command of a client or the operator.
    pub(super) fn command(&mut self, kind: OneOfkind) {
        self.commands.push(Command { kind });
    }

    /// Adds ends that a worker reported, in the order of their sequence numbers.
    pub(super) fn ends(&mut self, instance: &str, ends: Vec<WorkerEnd>) {
        for ends in split_by_size(ends, encoded_len) {
            self.ends.push(RecordEnds { instance: instance.to_owned(), ends });
        }
    }

    /// Adds an attempt that is proven not to run.
    pub(super) fn resolved(&mut self, resolved: AttemptResolved) {
        self.resolved.push(resolved);
    }

    /// Adds the start of an attempt. The members of a gang must be added consecutively.
    pub(super) fn start(&mut self, start: AttemptStart) {
        self.starts.push(start);
    }

    /// Adds the address of an incarnation. Must be called once, before any other command on that incarnation.
    pub(super) fn incarnation(&mut self, incarnation: &WorkerIncarnation) {
        self.incarnations.push(incarnation.clone());
    }

    /// Removes an incarnation that has ended.
    pub(super) fn forget_worker(&mut self, instance: String) {
        self.forget.push(instance);
    }

    /// Adds the time of day.
    pub(super) fn clock(&mut self, now_ms: u64) {
        self.clock_ms = Some(now_ms);
    }

    /// Returns whether there is nothing to propose. Incarnation addresses are only sent along with other
    /// commands.
    pub(super) fn is_empty(&self) -> bool {
        let no_requests = self.commands.is_empty() && self.starts.is_empty() && self.clock_ms.is_none();
        no_requests && self.ends.is_empty() && self.resolved.is_empty() && self.forget.is_empty()
    }

    /// Takes the collected commands in this order: events that have already happened, requests, starts.
    pub(super) fn take(&mut self) -> CommandBatch {
        let mut kinds = Vec::with_capacity(self.commands.len() + self.ends.len() + 4);
        if let Some(now_ms) = self.clock_ms.take() {
            kinds.push(OneOfkind::advance_clock(AdvanceClock { now_ms }));
        }
        if !self.incarnations.is_empty() {
            let incarnations = std::mem::take(&mut self.incarnations);
            kinds.push(OneOfkind::start_attempts(StartAttempts { starts: Vec::new(), incarnations }));
        }
        kinds.extend(self.ends.drain(..).map(OneOfkind::record_ends));
        for resolved in split_by_size(std::mem::take(&mut self.resolved), encoded_len) {
            kinds.push(OneOfkind::resolve_attempts(ResolveAttempts { resolved }));
        }
        let mut commands: Vec<Command> = kinds.into_iter().map(|kind| Command { kind }).collect();
        commands.append(&mut self.commands);
        if !self.starts.is_empty() {
            let starts = std::mem::take(&mut self.starts);
            let start = StartAttempts { starts, incarnations: Vec::new() };
            commands.push(Command { kind: OneOfkind::start_attempts(start) });
        }
        if !self.forget.is_empty() {
            let instances = std::mem::take(&mut self.forget);
            commands.push(Command { kind: OneOfkind::forget_workers(ForgetWorkers { instances }) });
        }
        CommandBatch { commands }
    }
}
