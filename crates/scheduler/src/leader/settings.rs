//! Settings of a leader, and their derivation from the bounds of a deployment.

use configuration::Bounds;

use crate::time::NANOS_PER_MS;

use super::mechanisms::Mechanisms;

/// Settings of a leader. Times are in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaderSettings {
    /// Duration of the leases granted to workers.
    pub worker_lease_ms: u64,
    /// The longest lease that workers accept (`HoldMaxMs`).
    pub max_worker_lease_ms: u64,
    /// How long a worker may wait for an end before it responds to a lease renewal, in a fleet of few
    /// workers.
    pub long_poll_wait_ms: u64,
    /// How long a call may take beyond its wait.
    pub call_timeout_ms: u64,
    /// Maximum number of orders in flight to one worker.
    pub max_order_calls: usize,
    /// The longest time that a stop takes (`stop_ms`).
    pub stop_ms: u64,
    /// How long a worker still runs after the platform first lists it as draining (`DrainMs`).
    pub drain_ms: u64,
    /// How long a gang member waits for the other members (`gang_ms`).
    pub gang_ms: u64,
    /// How long a start from a checkpoint takes (`restore_ms`).
    pub restore_ms: u64,
    /// Factor by which a task takes longer away from its data (`far_x`).
    pub far_factor: f64,
    /// Time between two reads of the platform's instance list.
    pub list_interval_ms: u64,
    /// Number of open tasks above which further jobs are rejected, to bound memory.
    pub max_open_tasks: u64,
    /// The enabled mechanisms.
    pub mechanisms: Mechanisms,
}

/// Maximum time from sending a start until its arrival at the worker. With a short `DrainMs` the maximum is
/// `DrainMs` divided by `START_TRANSIT_DIVISOR`.
const MAX_START_TRANSIT_MS: u64 = 500;
const START_TRANSIT_DIVISOR: u64 = 4;
/// Maximum time from the choice of a worker until its start is sent. With a short `DrainMs` the maximum is
/// `DrainMs` divided by `START_PREPARATION_DIVISOR`.
const MAX_START_PREPARATION_MS: u64 = 500;
const START_PREPARATION_DIVISOR: u64 = 4;
/// The interval between reads of the platform's instance list is `DrainMs` divided by
/// `LIST_INTERVAL_DIVISOR`, limited to this range.
const MAX_LIST_INTERVAL_MS: u64 = 1_000;
const MIN_LIST_INTERVAL_MS: u64 = 250;
const LIST_INTERVAL_DIVISOR: u64 = 3;

/// Maximum wait for an end in a fleet of few workers. A lost response delays reports of ends for that long,
/// and no progress is reported in the meantime. Shorter waits cost more calls.
const MAX_LONG_POLL_WAIT_MS: u64 = 400;
/// In a fleet of many workers the wait is this value times the number of workers, so that responses without
/// content stay below a thousand per second.
const LONG_POLL_WAIT_MS_PER_WORKER: u64 = 1;
/// Maximum wait for an end, regardless of the number of workers.
const MAX_LONG_POLL_WAIT_AMONG_MANY_MS: u64 = 1_000;
/// Minimum duration of the worker leases that the leader requests.
const MIN_WORKER_LEASE_MS: u64 = 500;

impl LeaderSettings {
    /// Derives the settings from the bounds of a deployment.
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

    /// Returns the time, in nanoseconds, until which a start may be sent to a worker that the list showed as
    /// ready at `as_of`. The worker may have started draining at that moment and accepts starts for
    /// `drain_ms`.
    pub fn start_limit(&self, as_of: u64) -> u64 {
        let transit_ms = MAX_START_TRANSIT_MS.min(self.drain_ms / START_TRANSIT_DIVISOR);
        as_of.saturating_add(self.drain_ms.saturating_sub(transit_ms).saturating_mul(NANOS_PER_MS))
    }

    /// Returns the time, in nanoseconds, until which such a worker may be chosen for a start.
    pub fn placement_limit(&self, as_of: u64) -> u64 {
        let preparation_ms = MAX_START_PREPARATION_MS.min(self.drain_ms / START_PREPARATION_DIVISOR);
        self.start_limit(as_of).saturating_sub(preparation_ms.saturating_mul(NANOS_PER_MS))
    }

    /// Returns how long a worker may wait for an end in a fleet of this size, in milliseconds.
    pub fn long_poll_wait_ms_among(&self, workers: usize) -> u64 {
        let longest =
            MAX_LONG_POLL_WAIT_AMONG_MANY_MS.min(self.worker_lease_ms / 4).max(self.long_poll_wait_ms);
        (workers as u64).saturating_mul(LONG_POLL_WAIT_MS_PER_WORKER).clamp(self.long_poll_wait_ms, longest)
    }
}
