//! Load shedding over all servers: which share of their concurrency limits stays open, and how long the
//! gateway pauses between attempts if it may have less than one in flight. Not in the paper.

use crate::decide::averages::{FLEET_DAMPING, GAIN};
use crate::decide::observed_end::ObservedEnd;
use crate::interface::Time;
use crate::state::secs;

/// Upper bound of the share by which one late answer lowers the open share.
const MAX_WEIGHT: f64 = 0.5;
/// With this many gateways per server, one answer weighs at most `GAIN`; with others, in proportion to their
/// number.
const GATEWAYS_PER_GAIN: f64 = 8.0;
/// A timely answer raises the open share by a third of what a late one takes away. The open share is steady
/// when one answer in four is late.
const RECOVERY_DIVISOR: f64 = 3.0;
/// Lower bound of the random factor of a pause. The upper bound is this plus 1.
const MIN_PAUSE_FACTOR: f64 = 0.5;
/// Longest pause, before the random factor, of a gateway that may have less than one attempt in flight.
const MAX_PAUSE_SECONDS: f64 = 1.0;

/// The open share of the servers' concurrency limits, and the last end of an attempt, which determines the
/// pause before the next attempt.
pub(super) struct LoadShedding {
    /// 1 while answers are in time. Late answers from any server lower it, timely ones raise it.
    pub(super) open_share: f64,
    /// When an attempt last ended.
    last_end: Time,
    /// Duration of that attempt, in seconds.
    last_seconds: f64,
    /// Random factor of the pause after that attempt. Without it, gateways that stopped at the same time
    /// would continue at the same time.
    pause_factor: f64,
}

impl LoadShedding {
    pub(super) fn new(now: Time) -> Self {
        LoadShedding { open_share: 1.0, last_end: now, last_seconds: 0.0, pause_factor: 1.0 }
    }

    /// Sets the factor of the next pause from a random number in 0..1.
    pub(super) fn draw_pause(&mut self, draw: f64) {
        self.pause_factor = MIN_PAUSE_FACTOR + draw;
    }

    /// Updates the open share with the end of an attempt. Not in the paper: late answers of one server lower
    /// that server's limit; if more than one answer in four is late over all servers, the whole fleet is
    /// overloaded, and every limit is lowered. Protects against overload that sustains itself, whatever
    /// caused it. Cost: lowers the limits although the servers are idle if a class is always late.
    pub(super) fn observe(&mut self, end: &ObservedEnd, gateways_per_server: f64) {
        let min_weight = GAIN / FLEET_DAMPING;
        // An answer stands for the time since the previous answer, to a bound that grows with the number of
        // gateways per server. A gateway that gets few answers then reacts as fast as one that gets many.
        let max_weight = (gateways_per_server * GAIN / GATEWAYS_PER_GAIN).clamp(min_weight, MAX_WEIGHT);
        let weight = secs(end.now - self.last_end).clamp(min_weight, max_weight);
        if end.unanswered || end.is_late() || end.full {
            let min_open_share = (1.0 / gateways_per_server).min(min_weight);
            self.open_share = (self.open_share * (1.0 - weight)).max(min_open_share);
        } else if end.succeeded {
            self.open_share = (self.open_share + weight / RECOVERY_DIVISOR).min(1.0);
        }
        self.last_end = end.now;
        self.last_seconds = end.seconds;
    }

    /// Whether the pause after the last attempt is over. Not in the paper: a capacity below one attempt is
    /// kept as an average over time, by a pause after each attempt. Protects the servers of a large fleet in
    /// which every gateway could otherwise have one attempt in flight. Cost: requests wait although there may
    /// be capacity.
    pub(super) fn pause_is_over(&self, now: Time, attempts_capacity: f64) -> bool {
        let pause = self.last_seconds * (1.0 / attempts_capacity.max(1e-9) - 1.0);
        secs(now - self.last_end) >= pause.min(MAX_PAUSE_SECONDS) * self.pause_factor
    }
}
