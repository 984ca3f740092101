//! Turns of core processes on days that simulate processor time. Events wait until the process begins its
//! next turn, and the outputs of a turn are sent at its end.

use std::collections::VecDeque;

use super::event::Event;
use super::World;
use crate::core_process::{CoreEvent, CoreOutput, CoreProcess, MAX_EVENTS_PER_TURN};
use crate::processor::{Processor, QuotaUse, TurnWork};
use crate::time::{seconds, DAY_BEGINS_MS, MS};

/// Time between two trace lines on the load of a leader, in nanoseconds.
const TRACE_INTERVAL_NS: u64 = 500 * MS;

/// Events that wait for a core process, and the state of its turns.
#[derive(Default)]
pub(super) struct Turns {
    waiting: VecDeque<CoreEvent>,
    /// The disk has finished its pending write. A turn of its own handles that first.
    disk_done: bool,
    /// A turn is in progress, or waits for processor time.
    is_busy: bool,
    quota: QuotaUse,
    /// Processor time used since the last trace line, in nanoseconds.
    busy: u64,
    /// Work done since the last trace line.
    work: TurnWork,
    /// Longest turn since the last trace line, in nanoseconds.
    longest: u64,
    traced_at: u64,
}

impl Turns {
    /// Drops all waiting events after the process has ended.
    pub(super) fn clear(&mut self) {
        self.waiting.clear();
        self.disk_done = false;
        self.is_busy = false;
    }

    /// Drops waiting answers to a cancelled call.
    pub(super) fn drop_answers_to(&mut self, given_up: (u64, scheduler::leader::CallId)) {
        self.waiting.retain(
            |event| !matches!(event, CoreEvent::CallFinished { term, call, .. } if (*term, *call) == given_up),
        );
    }

    fn push(&mut self, event: CoreEvent) {
        match event {
            CoreEvent::DiskDone => self.disk_done = true,
            event => self.waiting.push_back(event),
        }
    }

    fn has_events(&self) -> bool {
        self.disk_done || !self.waiting.is_empty()
    }

    /// Takes the events of the next turn.
    fn take_events(&mut self) -> Vec<CoreEvent> {
        if std::mem::take(&mut self.disk_done) {
            return vec![CoreEvent::DiskDone];
        }
        let count = self.waiting.len().min(MAX_EVENTS_PER_TURN);
        self.waiting.drain(..count).collect()
    }
}

impl World {
    /// Queues an event for the next turn of a process.
    pub(super) fn enqueue_core_event(&mut self, machine: usize, event: CoreEvent) {
        if self.cores[machine].process.is_none() {
            return;
        }
        self.cores[machine].turns.push(event);
        if !self.cores[machine].turns.is_busy {
            self.begin_turn_at(machine, self.now);
        }
    }

    fn begin_turn_at(&mut self, machine: usize, at: u64) {
        let core = &mut self.cores[machine];
        core.turns.is_busy = true;
        self.queue.push(at, Event::TurnBegins { machine, incarnation: core.incarnation });
    }

    /// Whether this incarnation of the process still runs.
    fn is_running(&self, machine: usize, incarnation: u32) -> bool {
        self.cores[machine].incarnation == incarnation && self.cores[machine].process.is_some()
    }

    pub(super) fn turn_begins(&mut self, machine: usize, incarnation: u32) {
        let Some(processor) = self.site.processor else { return };
        if !self.is_running(machine, incarnation) {
            return;
        }
        let now = self.now;
        let core = &mut self.cores[machine];
        let runs_from = core.frozen_until.max(core.turns.quota.runs_from(&processor, now));
        if runs_from > now {
            self.begin_turn_at(machine, runs_from);
            return;
        }
        self.run_turn(machine, &processor);
    }

    fn run_turn(&mut self, machine: usize, processor: &Processor) {
        let now = self.now;
        let core = &mut self.cores[machine];
        let monotonic_now = now + core.monotonic_offset;
        let time_of_day_ms = (DAY_BEGINS_MS + now / MS).saturating_add_signed(core.wall_clock_offset_ms);
        let Some(process) = core.process.as_mut() else { return };
        let events = core.turns.take_events();
        let was_leading = process.is_leading();
        let mut outputs = Vec::new();
        let work = process.run_turn(monotonic_now, time_of_day_ms, events, &mut outputs);
        let (leads, term) = (process.is_leading(), process.node().term());
        let cost = processor.cost_of(&work);
        let until = core.turns.quota.spend(processor, now, cost);
        core.turns.busy += cost;
        core.turns.work.add(&work);
        core.turns.longest = core.turns.longest.max(until - now);
        let incarnation = core.incarnation;
        self.queue.push(until, Event::TurnEnds { machine, incarnation, outputs });
        if leads != was_leading {
            self.history.leader_changes.push(crate::history::LeaderChange {
                at: until,
                machine,
                term,
                leads,
            });
            let what = if leads { "leads" } else { "leads no longer" };
            self.trace(|| format!("core {machine} {what} in term {term} from {:.4}", seconds(until)));
        }
    }

    pub(super) fn turn_ends(&mut self, machine: usize, incarnation: u32, outputs: Vec<CoreOutput>) {
        if !self.is_running(machine, incarnation) {
            return;
        }
        let thaws_at = self.cores[machine].frozen_until;
        if thaws_at > self.now {
            self.queue.push(thaws_at, Event::TurnEnds { machine, incarnation, outputs });
            return;
        }
        for output in outputs {
            self.core_output(machine, output);
            if !self.is_running(machine, incarnation) {
                return;
            }
        }
        self.trace_load(machine);
        self.check_held_lease(machine);
        if self.cores[machine].turns.has_events() {
            self.begin_turn_at(machine, self.now);
            return;
        }
        self.cores[machine].turns.is_busy = false;
        self.schedule_core(machine);
    }

    fn check_held_lease(&mut self, machine: usize) {
        let core = &self.cores[machine];
        let monotonic_now = self.now + core.monotonic_offset;
        if core.process.as_ref().is_some_and(|process| process.holds_lease(monotonic_now)) {
            self.check_leases(machine);
        }
    }

    /// Traces the load of a leader, twice a second.
    fn trace_load(&mut self, machine: usize) {
        let now = self.now;
        let turns = &mut self.cores[machine].turns;
        if !self.trace || now < turns.traced_at + TRACE_INTERVAL_NS {
            return;
        }
        turns.traced_at = now;
        let (busy, longest) = (std::mem::take(&mut turns.busy) / MS, std::mem::take(&mut turns.longest) / MS);
        let work = std::mem::take(&mut turns.work);
        let waiting = turns.waiting.len();
        let report = self.cores[machine].process.as_ref().and_then(CoreProcess::load_report);
        if let Some(report) = report {
            self.trace(|| {
                format!("core {machine}: busy {busy} ms, longest turn {longest} ms, {waiting} events wait, {report:?} {work:?}")
            });
        }
    }
}
