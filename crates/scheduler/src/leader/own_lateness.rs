//! Compensation for delays of the leader's own process: time in which the process could neither send nor read
//! does not count against workers that have not responded.
//!
//! A driver that may be late passes in `Input::ReadUntil` and calls `Leader::record_process_pause`. Response
//! timeouts of workers are then evaluated accordingly. Leases and everything else use the monotonic clock
//! without compensation.

use std::collections::BTreeSet;

use crate::placement::WorkerKey;
use crate::time::NANOS_PER_S;
use crate::worker::ResponseClock;

/// Maximum pause that is credited in full.
const MAX_PAUSE_CREDIT_NS: u64 = NANOS_PER_S;
/// Share of the elapsed time, in percent, that may be credited as pauses in the long run. With it, a leader
/// that is always late still detects unresponsive workers, in twice the time.
const PAUSE_CREDIT_PERCENT: u64 = 50;

/// The pause time that may still be credited.
#[derive(Debug)]
struct PauseCredit {
    remaining_ns: u64,
    /// When the credit was last refilled.
    refilled_at: u64,
}

impl PauseCredit {
    /// Takes the part of `pause_ns` that may be credited at `now`.
    fn take(&mut self, now: u64, pause_ns: u64) -> u64 {
        let refill = now.saturating_sub(self.refilled_at) / 100 * PAUSE_CREDIT_PERCENT;
        self.refilled_at = now;
        self.remaining_ns = self.remaining_ns.saturating_add(refill).min(MAX_PAUSE_CREDIT_NS);
        let taken = pause_ns.min(self.remaining_ns);
        self.remaining_ns -= taken;
        taken
    }
}

/// Process pauses and unread input of the leader.
#[derive(Debug)]
pub(super) struct OwnLateness {
    pub(super) response_clock: ResponseClock,
    credit: PauseCredit,
    /// Workers whose sessions wait until more input has been read.
    awaiting_input: BTreeSet<WorkerKey>,
}

impl OwnLateness {
    pub(super) fn new(now: u64) -> Self {
        OwnLateness {
            response_clock: ResponseClock::default(),
            credit: PauseCredit { remaining_ns: MAX_PAUSE_CREDIT_NS, refilled_at: now },
            awaiting_input: BTreeSet::new(),
        }
    }

    /// Records a process pause of `pause_ns` nanoseconds up to `now`.
    pub(super) fn record_process_pause(&mut self, now: u64, pause_ns: u64) {
        let credited = self.credit.take(now, pause_ns);
        self.response_clock.add_absence(credited);
    }

    /// Records that everything that arrived before `at` has been passed in. Returns the workers whose
    /// sessions waited for this.
    pub(super) fn read_until(&mut self, at: u64) -> BTreeSet<WorkerKey> {
        self.response_clock.set_read_until(at);
        std::mem::take(&mut self.awaiting_input)
    }

    /// Returns whether any session waits until more input has been read.
    pub(super) fn awaits_input(&self) -> bool {
        !self.awaiting_input.is_empty()
    }

    /// Marks the session of this worker to be polled once more input has been read.
    pub(super) fn await_input(&mut self, worker: WorkerKey) {
        self.awaiting_input.insert(worker);
    }
}
