//! The leader's session with one relay.

use crate::clock::MILLISECOND;
use crate::relay::wire::{call_id_to_wire, call_to_wire};
use crate::worker_calls::WorkerCall;
use consensus::NodeId;
use messages::peer::{RelayReport, WorkerCallBatch};
use scheduler::leader::CallId;
use std::collections::VecDeque;

/// A relay that has not reported a batch for this long, of input that the leader has read, is taken for lost.
pub const RELAY_TIMEOUT: u64 = 400 * MILLISECOND;
/// While calls are in flight, a relay gets a batch at least this often, in nanoseconds.
const KEEPALIVE_INTERVAL: u64 = 100 * MILLISECOND;
/// The same while no calls are in flight, so that the relay's clock stays known.
const IDLE_KEEPALIVE_INTERVAL: u64 = 1_000 * MILLISECOND;
/// Time until the next session after one that was lost, in nanoseconds; it doubles with each one that was never used.
const MIN_BACKOFF: u64 = 250 * MILLISECOND;
/// The longest such time, in nanoseconds.
const MAX_BACKOFF: u64 = 4_000 * MILLISECOND;
/// The rates of two steady clocks differ by this part at most.
const DRIFT_DIVISOR: u64 = 50;

/// Whether the relay takes calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Status {
    /// The session begins at this time.
    Waiting { until: u64 },
    /// The first batch was sent and is not answered yet.
    Opening,
    /// The relay has answered.
    Ready,
}

/// What a report showed of the relay's steady clock.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    /// The relay's clock.
    relay: u64,
    /// When the report was read, by the leader's clock: not before the relay's clock showed that.
    read_at: u64,
}

/// A batch that no report has answered.
#[derive(Debug, Clone, Copy)]
struct PendingBatch {
    number: u64,
    sent_at: u64,
}

/// The leader's session with one relay, and the calls for its next batch. Times are nanoseconds of the leader's steady
/// clock.
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
    /// The first session begins at once.
    pub(super) fn new(now: u64) -> Self {
        RelaySession {
            number: 0,
            status: Status::Waiting { until: now },
            backoff: MIN_BACKOFF,
            last_batch: 0,
            last_report: 0,
            pending: VecDeque::new(),
            sent_at: 0,
            clock: None,
            calls: Vec::new(),
            cancelled: Vec::new(),
        }
    }

    /// Whether the relay takes calls.
    pub(super) fn is_ready(&self) -> bool {
        self.status == Status::Ready
    }

    /// The moment of the relay's clock that is not after `limit` of this machine's clock, whatever either clock's rate.
    pub(super) fn leave_by(&self, limit: u64) -> u64 {
        let Some(reading) = self.clock else { return 0 };
        let left = limit.saturating_sub(reading.read_at);
        reading.relay.saturating_add(left - left / DRIFT_DIVISOR)
    }

    /// Adds a call to the next batch.
    pub(super) fn push(&mut self, call: WorkerCall) {
        self.calls.push(call);
    }

    /// Adds a cancellation to the next batch; a call that has not left yet never does.
    pub(super) fn cancel(&mut self, call: CallId) {
        match self.calls.iter().position(|waiting| waiting.call == call) {
            Some(position) => drop(self.calls.remove(position)),
            None => self.cancelled.push(call),
        }
    }

    /// The batch that is due: the first one of a session, one with calls, or one that asks whether the relay is there.
    pub(super) fn take_batch(
        &mut self,
        now: u64,
        from: NodeId,
        term: u64,
        has_calls: bool,
    ) -> Option<WorkerCallBatch> {
        match self.status {
            Status::Waiting { until } if until <= now => self.open(),
            Status::Waiting { .. } | Status::Opening => return None,
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

    /// Takes the head of a report. False if it is of another session, or if one before it was lost.
    pub(super) fn take_report(&mut self, now: u64, report: &RelayReport) -> ReportCheck {
        let is_open = !matches!(self.status, Status::Waiting { .. });
        if !is_open || report.session != self.number {
            return ReportCheck::Foreign;
        }
        if report.lost_batches || report.number != self.last_report + 1 {
            return ReportCheck::Gap;
        }
        self.last_report = report.number;
        self.status = Status::Ready;
        self.backoff = MIN_BACKOFF;
        self.clock = Some(ClockReading { relay: report.clock, read_at: now });
        while self.pending.front().is_some_and(|batch| batch.number <= report.received) {
            self.pending.pop_front();
        }
        ReportCheck::Expected
    }

    /// Ends the session. The next one begins after a while.
    pub(super) fn lose(&mut self, now: u64) {
        self.status = Status::Waiting { until: now + self.backoff };
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.calls.clear();
        self.cancelled.clear();
        self.pending.clear();
    }

    /// Whether a session is under way.
    pub(super) fn is_open(&self) -> bool {
        !matches!(self.status, Status::Waiting { .. })
    }

    /// When the oldest batch without a report is overdue.
    pub(super) fn overdue_at(&self) -> Option<u64> {
        self.pending.front().map(|batch| batch.sent_at + RELAY_TIMEOUT)
    }

    /// When a batch is due if no call comes.
    pub(super) fn next_batch_at(&self, has_calls: bool) -> Option<u64> {
        match self.status {
            Status::Waiting { until } => Some(until),
            Status::Ready if self.pending.is_empty() => Some(self.keepalive_at(has_calls)),
            Status::Opening | Status::Ready => None,
        }
    }

    fn keepalive_at(&self, has_calls: bool) -> u64 {
        self.sent_at + if has_calls { KEEPALIVE_INTERVAL } else { IDLE_KEEPALIVE_INTERVAL }
    }
}

/// How a report relates to the session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReportCheck {
    /// It is the next one.
    Expected,
    /// It is of another session.
    Foreign,
    /// A report or a batch of this session was lost.
    Gap,
}
