//! The measured rate of starts: how many workers confirmed recently, and after which delay.
//!
//! While starts are confirmed quickly, the rate equals that of arriving jobs and says nothing about the
//! leader's capacity. Once confirmations take long, starts wait for the leader, and the rate is what the
//! leader sustains.

use std::collections::VecDeque;

use crate::time::{NANOS_PER_MS, NANOS_PER_S};

/// Length of an observation window.
const WINDOW_NS: u64 = 250 * NANOS_PER_MS;
/// Number of windows over which the rate is measured.
const PACE_WINDOWS: u64 = 4;
/// Number of windows over which the delay is measured.
const DELAY_WINDOWS: u64 = 2;
/// Width of a delay bucket.
const DELAY_BUCKET_NS: u64 = 20 * NANOS_PER_MS;
/// Number of delay buckets. The last one holds all longer delays.
const DELAY_BUCKETS: usize = 64;
/// The delay is the quantile that one in this many starts does not exceed. The other starts may be slow
/// because of their workers.
const DELAY_QUANTILE_DIVISOR: u32 = 4;
/// Minimum number of confirmations from which the delay is known.
const MIN_CONFIRMATIONS: u32 = 16;

/// Confirmations within one window.
#[derive(Debug, Clone)]
struct Window {
    started_at: u64,
    /// Number of confirmations.
    confirmed: u32,
    /// Number of confirmations by delay bucket.
    by_delay: [u32; DELAY_BUCKETS],
}

/// Recently confirmed starts, and their delays since the choice of the worker. Times are in nanoseconds of
/// the monotonic clock.
#[derive(Debug, Default)]
pub(super) struct StartPace {
    windows: VecDeque<Window>,
}

impl StartPace {
    /// Records that a worker confirmed a start `delay` nanoseconds after it was chosen.
    pub(super) fn record_confirmation(&mut self, now: u64, delay: u64) {
        self.advance(now);
        let Some(window) = self.windows.back_mut() else { return };
        let bucket = usize::try_from(delay / DELAY_BUCKET_NS).unwrap_or(usize::MAX).min(DELAY_BUCKETS - 1);
        window.confirmed += 1;
        window.by_delay[bucket] += 1;
    }

    /// Returns the delay of confirmations in nanoseconds, or `None` if there were too few.
    pub(super) fn delay(&self, now: u64) -> Option<u64> {
        let recent = || self.since(now.saturating_sub(DELAY_WINDOWS * WINDOW_NS));
        let confirmed: u32 = recent().map(|window| window.confirmed).sum();
        if confirmed < MIN_CONFIRMATIONS {
            return None;
        }
        let mut remaining = confirmed / DELAY_QUANTILE_DIVISOR;
        for bucket in 0..DELAY_BUCKETS {
            let count: u32 = recent().map(|window| window.by_delay[bucket]).sum();
            if count > remaining {
                return Some(bucket as u64 * DELAY_BUCKET_NS);
            }
            remaining -= count;
        }
        None
    }

    /// Returns the time that this many starts take at the measured rate in nanoseconds, or `None` if no rate
    /// is known.
    pub(super) fn time_for_starts(&self, now: u64, starts: u64) -> Option<u64> {
        let recent = || self.since(now.saturating_sub(PACE_WINDOWS * WINDOW_NS));
        let started_at = recent().next()?.started_at;
        let confirmed: u64 = recent().map(|window| u64::from(window.confirmed)).sum();
        let elapsed = now.saturating_sub(started_at).max(1);
        (confirmed > 0).then(|| starts.saturating_mul(elapsed) / confirmed)
    }

    /// Returns the confirmed starts per second.
    pub(super) fn confirmed_per_s(&self, now: u64) -> u64 {
        self.time_for_starts(now, 1).map_or(0, |nanos| NANOS_PER_S / nanos.max(1))
    }

    /// Iterates over the windows that began at `oldest` or later, oldest first.
    fn since(&self, oldest: u64) -> impl Iterator<Item = &Window> {
        self.windows.iter().filter(move |window| window.started_at >= oldest)
    }

    fn advance(&mut self, now: u64) {
        let oldest = now.saturating_sub(PACE_WINDOWS * WINDOW_NS);
        while self.windows.front().is_some_and(|window| window.started_at < oldest) {
            self.windows.pop_front();
        }
        let newest = self.windows.back().map(|window| window.started_at);
        if newest.is_some_and(|started_at| now < started_at + WINDOW_NS) {
            return;
        }
        let started_at = newest.map_or(now, |started_at| now - (now - started_at) % WINDOW_NS);
        self.windows.push_back(Window { started_at, confirmed: 0, by_delay: [0; DELAY_BUCKETS] });
    }
}
