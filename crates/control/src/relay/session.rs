//! The leader's session with one relay.

use crate::clock::MILLISECOND;
use crate::relay::wire::{call_id_to_wire, call_to_wire};
use crate::worker_calls::WorkerCall;
use consensus::NodeId;
use messages::peer::{RelayReport, WorkerCallBatch};
use scheduler::leader::CallId;
use std::collections::VecDeque;

/// A relay is lost if it has not reported a batch for this long, counting only input that the leader has
/// read.
pub const RELAY_TIMEOUT_NS: u64 = 400 * MILLISECOND;
/// Maximum time between two batches to a relay while calls are in flight.
const KEEPALIVE_INTERVAL_NS: u64 = 100 * MILLISECOND;
/// Maximum time between two batches while no calls are in flight, so that the reading of the relay's clock
/// stays recent.
const IDLE_KEEPALIVE_INTERVAL_NS: u64 = 1_000 * MILLISECOND;
/// Delay before the next session after a lost one. The delay doubles with each session that got no report.
const MIN_BACKOFF_NS: u64 = 250 * MILLISECOND;
/// Maximum delay before the next session.
const MAX_BACKOFF_NS: u64 = 4_000 * MILLISECOND;
/// The rates of two steady clocks differ by at most one part in this number.
const DRIFT_DIVISOR: u64 = 50;

/// State of the session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Status {
    /// No session; the next one begins at `until`.
    Backoff { until: u64 },
    /// The first batch was sent and has not been answered.
    Opening,
    /// The relay has answered and accepts calls.
    Ready,
}

/// A reading of the relay's steady clock, taken from a report.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    /// Value of the relay's clock.
    relay: u64,
    /// When the leader read the report, by the leader's clock. The relay's clock showed that value at this
    /// time or earlier.
    read_at: u64,
}

/// A batch that no report has acknowledged.
#[derive(Debug, Clone, Copy)]
struct PendingBatch {
    number: u64,
    sent_at: u64,
}

/// The leader's session with one relay, and the calls for the next batch. Times are nanoseconds of the
/// leader's steady clock.
#[derive(Debug)]
pub(super) struct RelaySession {
    number: u64,
    status: Status,
    backoff: u64,
    last_batch: u64,
    last_report: u64,
    pending: VecDeque<PendingBatch>,
    sent_at: u64,
    clock: Option<ClockReading>,
    calls: Vec<WorkerCall>,
    cancelled: Vec<CallId>,
}

impl RelaySession {
    /// Creates the state for a relay whose first session begins at once.
    pub(super) fn new(now: u64) -> Self {
        RelaySession {
            number: 0,
            status: Status::Backoff { until: now },
            backoff: MIN_BACKOFF_NS,
            last_batch: 0,
            last_report: 0,
            pending: VecDeque::new(),
            sent_at: 0,
            clock: None,
            calls: Vec::new(),
            cancelled: Vec::new(),
        }
    }

    /// Whether the relay accepts calls.
    pub(super) fn is_ready(&self) -> bool {
        self.status == Status::Ready
    }

    /// Converts `limit` of this machine's clock to a time of the relay's clock that is never later, whatever
    /// the rates of the two clocks within `DRIFT_DIVISOR`. Returns 0 if the relay's clock is unknown.
    pub(super) fn send_deadline(&self, limit: u64) -> u64 {
        let Some(reading) = self.clock else { return 0 };
        let left = limit.saturating_sub(reading.read_at);
        reading.relay.saturating_add(left - left / DRIFT_DIVISOR)
    }

    /// Adds a call to the next batch.
    pub(super) fn push(&mut self, call: WorkerCall) {
        self.calls.push(call);
    }

    /// Cancels a call: removes it if it still waits for the next batch, otherwise adds a cancellation to that
    /// batch.
    pub(super) fn cancel(&mut self, call: CallId) {
        match self.calls.iter().position(|waiting| waiting.call == call) {
            Some(position) => drop(self.calls.remove(position)),
            None => self.cancelled.push(call),
        }
    }

    /// Takes the due batch: the first batch of a session, a batch with calls or cancellations, or an empty
    /// keepalive batch.
    pub(super) fn take_batch(
        &mut self,
        now: u64,
        from: NodeId,
        term: u64,
        has_calls: bool,
    ) -> Option<WorkerCallBatch> {
        match self.status {
            Status::Backoff { until } if until <= now => self.open(),
            Status::Backoff { .. } | Status::Opening => return None,
            Status::Ready => {
                let is_empty = self.calls.is_empty() && self.cancelled.is_empty();
                if is_empty && !(self.pending.is_empty() && now >= self.keepalive_at(has_calls)) {
                    return None;
                }
            }
        }
        self.last_batch += 1;
        self.sent_at = now;
        self.pending.push_back(PendingBatch { number: self.last_batch, sent_at: now });
        Some(WorkerCallBatch {
            from,
            term,
            session: self.number,
            number: self.last_batch,
            calls: self.calls.drain(..).map(call_to_wire).collect(),
            cancelled: self.cancelled.drain(..).map(call_id_to_wire).collect(),
        })
    }

    fn open(&mut self) {
        self.number += 1;
        self.status = Status::Opening;
        self.last_batch = 0;
        self.last_report = 0;
        self.pending.clear();
        self.clock = None;
    }

    /// Checks a report's session and number, and updates the session if the report is the expected one.
    pub(super) fn receive_report(&mut self, now: u64, report: &RelayReport) -> ReportCheck {
        let is_open = !matches!(self.status, Status::Backoff { .. });
        if !is_open || report.session != self.number {
            return ReportCheck::OtherSession;
        }
        if report.lost_batches || report.number != self.last_report + 1 {
            return ReportCheck::Gap;
        }
        self.last_report = report.number;
        self.status = Status::Ready;
        self.backoff = MIN_BACKOFF_NS;
        self.clock = Some(ClockReading { relay: report.clock, read_at: now });
        while self.pending.front().is_some_and(|batch| batch.number <= report.received) {
            self.pending.pop_front();
        }
        ReportCheck::Expected
    }

    /// Ends the session. The next one begins after the backoff.
    pub(super) fn end(&mut self, now: u64) {
        self.status = Status::Backoff { until: now + self.backoff };
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF_NS);
        self.calls.clear();
        self.cancelled.clear();
        self.pending.clear();
    }

    /// Whether a session is open.
    pub(super) fn is_open(&self) -> bool {
        !matches!(self.status, Status::Backoff { .. })
    }

    /// When the report for the oldest pending batch becomes overdue.
    pub(super) fn overdue_at(&self) -> Option<u64> {
        self.pending.front().map(|batch| batch.sent_at + RELAY_TIMEOUT_NS)
    }

    /// When the next batch is due if no call arrives before.
    pub(super) fn next_batch_at(&self, has_calls: bool) -> Option<u64> {
        match self.status {
            Status::Backoff { until } => Some(until),
            Status::Ready if self.pending.is_empty() => Some(self.keepalive_at(has_calls)),
            Status::Opening | Status::Ready => None,
        }
    }

    fn keepalive_at(&self, has_calls: bool) -> u64 {
        self.sent_at + if has_calls { KEEPALIVE_INTERVAL_NS } else { IDLE_KEEPALIVE_INTERVAL_NS }
    }
}

/// How a report relates to the session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReportCheck {
    /// The report is the next one of this session.
    Expected,
    /// The report belongs to another session.
    OtherSession,
    /// A report or a batch of this session was lost.
    Gap,
}
