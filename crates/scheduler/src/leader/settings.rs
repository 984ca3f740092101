//! Settings of a leader, and those that follow from a deployment's bounds.

use configuration::Bounds;

use crate::time::NANOS_PER_MS;

use super::mechanisms::Mechanisms;

/// Settings of a leader. Times are in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaderSettings {
    /// How far ahead workers are granted a lease.
    pub worker_lease_ms: u64,
    /// The longest worker lease that workers grant (`HoldMaxMs`).
    pub max_worker_lease_ms: u64,
    /// How long a worker may wait for an end before it answers a lease renewal, where workers are few.
    pub long_poll_wait_ms: u64,
    /// How long a call may take beyond its wait.
    pub call_timeout_ms: u64,
    /// Most orders in flight to one worker.
    pub max_order_calls: usize,
    /// The longest time that a stop takes (`stop_ms`).
    pub stop_ms: u64,
    /// How long a worker still runs after the platform first lists it as draining (`DrainMs`).
    pub drain_ms: u64,
    /// How long a gang's member waits for the others (`gang_ms`).
    pub gang_ms: u64,
    /// How long a start from a checkpoint takes (`restore_ms`).
    pub restore_ms: u64,
    /// Factor by which a task takes longer away from its data (`far_x`).
    pub far_factor: f64,
    /// Time between two reads of the platform's list.
    pub list_interval_ms: u64,
    /// Open tasks above which further jobs are rejected, to bound memory.
    pub max_open_tasks: u64,
    /// Which mechanisms are in use.
    pub mechanisms: Mechanisms,
}

/// Time between a start leaving this process and its arrival at the worker at most, in milliseconds, as a part of
/// `DrainMs` where that is short.
const MAX_START_TRANSIT_MS: u64 = 500;
const START_TRANSIT_DIVISOR: u64 = 4;
/// Time between the choice of a worker and the moment at which the start leaves this process, as for the transit.
const MAX_START_PREPARATION_MS: u64 = 500;
const START_PREPARATION_DIVISOR: u64 = 4;
/// The interval of reads of the platform's list at most and at least, in milliseconds, and as a part of `DrainMs`.
const MAX_LIST_INTERVAL_MS: u64 = 1_000;
const MIN_LIST_INTERVAL_MS: u64 = 250;
const LIST_INTERVAL_DIVISOR: u64 = 3;

/// Longest wait for an end, in milliseconds. A response that gets lost delays reports of ends for that long, and
/// nothing reports progress in the meantime; shorter waits cost more calls.
const MAX_LONG_POLL_WAIT_MS: u64 = 400;
/// With many workers the wait is this long for each of them, in milliseconds: responses without content then stay
/// below a thousand a second.
const LONG_POLL_WAIT_MS_PER_WORKER: u64 = 1;
/// Longest wait for an end however many workers there are, in milliseconds.
const MAX_LONG_POLL_WAIT_AMONG_MANY_MS: u64 = 1_000;
/// Least worker lease that is asked for, in milliseconds.
const MIN_WORKER_LEASE_MS: u64 = 500;

impl LeaderSettings {
    /// The settings that follow from a deployment's bounds.
    pub fn from_bounds(bounds: &Bounds) -> Self {
        let worker_lease_ms = bounds.max_worker_lease_ms.max(MIN_WORKER_LEASE_MS);
        Self {
            worker_lease_ms,
            max_worker_lease_ms: bounds.max_worker_lease_ms,
            long_poll_wait_ms: MAX_LONG_POLL_WAIT_MS.min(worker_lease_ms / 4),
            call_timeout_ms: 600,
            max_order_calls: 4,
            stop_ms: bounds.stop_ms,
            drain_ms: bounds.drain_ms,
            gang_ms: bounds.gang_ms,
            restore_ms: bounds.restore_ms,
            far_factor: bounds.far_factor,
            list_interval_ms: (bounds.drain_ms / LIST_INTERVAL_DIVISOR)
                .clamp(MIN_LIST_INTERVAL_MS, MAX_LIST_INTERVAL_MS),
            max_open_tasks: 400_000,
            mechanisms: Mechanisms::default(),
        }
    }

    /// Until when a start may leave this process for a worker that the list showed as ready at `as_of`, in nanoseconds: the
    /// worker may be draining since then, and takes starts for `drain_ms`.
    pub fn start_limit(&self, as_of: u64) -> u64 {
        let transit_ms = MAX_START_TRANSIT_MS.min(self.drain_ms / START_TRANSIT_DIVISOR);
        as_of.saturating_add(self.drain_ms.saturating_sub(transit_ms).saturating_mul(NANOS_PER_MS))
    }

    /// Until when such a worker may be chosen for a start, in nanoseconds.
    pub fn placement_limit(&self, as_of: u64) -> u64 {
        let preparation_ms = MAX_START_PREPARATION_MS.min(self.drain_ms / START_PREPARATION_DIVISOR);
        self.start_limit(as_of).saturating_sub(preparation_ms.saturating_mul(NANOS_PER_MS))
    }

    /// How long a worker may wait for an end where there are this many workers, in milliseconds.
    pub fn long_poll_wait_ms_among(&self, workers: usize) -> u64 {
        let longest =
            MAX_LONG_POLL_WAIT_AMONG_MANY_MS.min(self.worker_lease_ms / 4).max(self.long_poll_wait_ms);
        (workers as u64).saturating_mul(LONG_POLL_WAIT_MS_PER_WORKER).clamp(self.long_poll_wait_ms, longest)
    }
}
