//! The cost of the driver's turns: time by part, and the longest turn. A turn is one iteration of the
//! driver's event loop.

use super::histogram::Histogram;
use super::text::MetricsText;

/// A part of a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TurnPart {
    /// Client requests.
    Requests,
    /// Outcomes of calls to workers.
    WorkerCalls,
    /// The platform's list of instances.
    Instances,
    /// All other events: frames from peers, connections, operator calls, completed disk writes.
    OtherEvents,
    /// Timers of consensus and of the leader.
    Timers,
    /// Outputs: applying entries, proposing commands, starting calls.
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

/// The cost of one part: number of events and time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PartCost {
    /// Number of events handled.
    pub events: u64,
    /// Time spent on the events, in nanoseconds.
    pub nanos: u64,
}

/// The cost of turns since the last load log line.
#[derive(Debug, Clone, Default)]
pub struct TurnSpan {
    /// Number of turns.
    pub turns: u64,
    /// Total time of the turns, in nanoseconds.
    pub busy_ns: u64,
    /// Duration of the longest turn, in nanoseconds.
    pub longest_ns: u64,
    parts: [PartCost; PARTS.len()],
}

impl TurnSpan {
    /// The cost of a part.
    pub fn part(&self, part: TurnPart) -> PartCost {
        self.parts[part as usize]
    }

    fn add_part(&mut self, part: TurnPart, events: u64, nanos: u64) {
        let cost = &mut self.parts[part as usize];
        cost.events += events;
        cost.nanos += nanos;
    }
}

/// The cost of turns since the start of the process, and since the last load log line.
#[derive(Debug, Default)]
pub struct Turns {
    durations: Histogram,
    total: TurnSpan,
    span: TurnSpan,
}

impl Turns {
    /// Records that a part of the current turn handled `events` events in `nanos` nanoseconds.
    pub fn record_part(&mut self, part: TurnPart, events: u64, nanos: u64) {
        self.total.add_part(part, events, nanos);
        self.span.add_part(part, events, nanos);
    }

    /// Records the end of a turn that took `nanos` nanoseconds.
    pub fn record_turn(&mut self, nanos: u64) {
        self.durations.observe(nanos);
        for span in [&mut self.total, &mut self.span] {
            span.turns += 1;
            span.busy_ns += nanos;
            span.longest_ns = span.longest_ns.max(nanos);
        }
    }

    /// Takes the cost of turns since the last call.
    pub fn take_span(&mut self) -> TurnSpan {
        std::mem::take(&mut self.span)
    }

    /// Appends the metrics of turns to `text`.
    pub fn write(&self, text: &mut MetricsText) {
        let events = PARTS.map(|(part, label)| (label, self.total.part(part).events));
        text.counters("turn_events", "Events handled, by part of a turn.", "part", events);
        let busy = PARTS.map(|(part, label)| (label, self.total.part(part).nanos / 1_000));
        text.counters("turn_busy_microseconds", "Time that turns took, by part.", "part", busy);
        text.histogram("turn_seconds", "How long a turn takes.", &self.durations);
    }
}
