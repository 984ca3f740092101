//! What the turns of the driver cost: time by part, and the longest turn.

use super::histogram::Histogram;
use super::text::MetricsText;

/// A part of a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TurnPart {
    /// Requests of clients.
    Requests,
    /// Outcomes of calls to workers.
    WorkerCalls,
    /// The platform's list of instances.
    Instances,
    /// All other events: frames of peers, connections, the operator, writes to disk.
    OtherEvents,
    /// Timers of consensus and of the leader.
    Timers,
    /// Outputs: entries applied, commands proposed, calls started.
    Outputs,
}

/// All parts, with their labels.
const PARTS: [(TurnPart, &str); 6] = [
    (TurnPart::Requests, "requests"),
    (TurnPart::WorkerCalls, "worker_calls"),
    (TurnPart::Instances, "instances"),
    (TurnPart::OtherEvents, "other_events"),
    (TurnPart::Timers, "timers"),
    (TurnPart::Outputs, "outputs"),
];

/// Time and number of events by part.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PartCost {
    /// Events that were handled.
    pub events: u64,
    /// Time that they took, in nanoseconds.
    pub nanos: u64,
}

/// What turns cost since the last record in the log.
#[derive(Debug, Clone, Default)]
pub struct TurnSpan {
    /// Turns.
    pub turns: u64,
    /// Time that they took together, in nanoseconds.
    pub busy: u64,
    /// The longest of them, in nanoseconds.
    pub longest: u64,
    parts: [PartCost; PARTS.len()],
}

impl TurnSpan {
    /// What a part cost.
    pub fn part(&self, part: TurnPart) -> PartCost {
        self.parts[part as usize]
    }

    fn add_part(&mut self, part: TurnPart, events: u64, nanos: u64) {
        let cost = &mut self.parts[part as usize];
        cost.events += events;
        cost.nanos += nanos;
    }
}

/// Turns since the start of the process, and since the last record.
#[derive(Debug, Default)]
pub struct Turns {
    durations: Histogram,
    total: TurnSpan,
    span: TurnSpan,
}

impl Turns {
    /// A part of the current turn handled so many events in so many nanoseconds.
    pub fn part(&mut self, part: TurnPart, events: u64, nanos: u64) {
        self.total.add_part(part, events, nanos);
        self.span.add_part(part, events, nanos);
    }

    /// A turn ended that took so many nanoseconds.
    pub fn ended(&mut self, nanos: u64) {
        self.durations.observe(nanos);
        for span in [&mut self.total, &mut self.span] {
            span.turns += 1;
            span.busy += nanos;
            span.longest = span.longest.max(nanos);
        }
    }

    /// What turns cost since the last call.
    pub fn take_span(&mut self) -> TurnSpan {
        std::mem::take(&mut self.span)
    }

    /// Appends all figures to a text.
    pub fn write(&self, text: &mut MetricsText) {
        let events = PARTS.map(|(part, label)| (label, self.total.part(part).events));
        text.counters("turn_events", "Events handled, by part of a turn.", "part", events);
        let busy = PARTS.map(|(part, label)| (label, self.total.part(part).nanos / 1_000));
        text.counters("turn_busy_microseconds", "Time that turns took, by part.", "part", busy);
        text.histogram("turn_seconds", "How long a turn takes.", &self.durations);
    }
}
