//! The leader's own lateness: time in which its process could not send or read is not a worker's silence.
//!
//! A driver that may be late hands in `Input::ReadUntil` and calls `Leader::record_process_pause`; time limits for answers of
//! workers are then judged by what it says. Leases and everything else keep the steady clock.

use std::collections::BTreeSet;

use crate::placement::WorkerKey;
use crate::time::NANOS_PER_S;
use crate::worker::ResponseClock;

/// The longest absence that is credited in full, in nanoseconds.
const MAX_PAUSE_CREDIT_NS: u64 = NANOS_PER_S;
/// Over longer times, this share of the time may be credited as absence, in percent: a leader that is always late
/// still finds out which workers are silent, half as fast.
const PAUSE_CREDIT_PERCENT: u64 = 50;

/// How much absence may still be credited.
#[derive(Debug)]
struct PauseCredit {
    remaining_ns: u64,
    refilled_at: u64,
}

impl PauseCredit {
    /// Takes as much of `pause_ns` as may be credited at `now`.
    fn take(&mut self, now: u64, pause_ns: u64) -> u64 {
        let refill = now.saturating_sub(self.refilled_at) / 100 * PAUSE_CREDIT_PERCENT;
        self.refilled_at = now;
        self.remaining_ns = self.remaining_ns.saturating_add(refill).min(MAX_PAUSE_CREDIT_NS);
        let taken = pause_ns.min(self.remaining_ns);
        self.remaining_ns -= taken;
        taken
    }
}

/// What a leader knows of its own lateness.
#[derive(Debug)]
pub(super) struct OwnLateness {
    pub(super) response_clock: ResponseClock,
    credit: PauseCredit,
    /// Workers whose sessions wait until more input is read.
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

    /// This process was absent for `pause_ns` nanoseconds up to `now`.
    pub(super) fn record_process_pause(&mut self, now: u64, pause_ns: u64) {
        let credited = self.credit.take(now, pause_ns);
        self.response_clock.add_absence(credited);
    }

    /// Everything that arrived before `at` was handed in. Gives the workers whose sessions waited for that.
    pub(super) fn read_until(&mut self, at: u64) -> BTreeSet<WorkerKey> {
        self.response_clock.set_read_until(at);
        std::mem::take(&mut self.awaiting_input)
    }

    /// Whether any session waits until more input is read.
    pub(super) fn awaits_input(&self) -> bool {
        !self.awaiting_input.is_empty()
    }

    /// The session of this worker has to be polled once more input is read.
    pub(super) fn await_input(&mut self, worker: WorkerKey) {
        self.awaiting_input.insert(worker);
    }
}
