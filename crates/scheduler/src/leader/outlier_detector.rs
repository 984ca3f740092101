//! Outlier ejection: a worker that performs worse than its peers gets no starts for a while.
//!
//! A job that fails on every worker and a service that fails on all its workers do not eject a worker. A
//! worker is ejected for consecutive failed or stalled attempts of several jobs, without a success in
//! between, while its peers do better.

use crate::time::NANOS_PER_S;

/// Weight of the newest sample in moving averages.
const NEWEST_SAMPLE_WEIGHT: f64 = 0.2;
/// Number of consecutive failures that eject a worker.
const MIN_CONSECUTIVE_FAILURES: u32 = 3;
/// Minimum number of different jobs among these failures.
const MIN_FAILED_JOBS: usize = 2;
/// The first ejection time. The time doubles with each further ejection.
const BASE_EJECTION_TIME_NS: u64 = 3 * NANOS_PER_S;
/// The maximum ejection time.
const MAX_EJECTION_TIME_NS: u64 = 48 * NANOS_PER_S;
/// Lower bound of the relative pace.
const MIN_RELATIVE_PACE: f64 = 0.05;
/// A worker is ejected only if its failure rate is at least this multiple of its peers' failure rate.
const MIN_FAILURE_RATE_RATIO: f64 = 2.0;

/// An exponentially weighted moving average over ended attempts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct MovingAverage {
    value: f64,
}

impl MovingAverage {
    pub(super) fn new(value: f64) -> Self {
        Self { value }
    }

    pub(super) fn add(&mut self, sample: f64) {
        self.value += NEWEST_SAMPLE_WEIGHT * (sample - self.value);
    }

    pub(super) fn value(&self) -> f64 {
        self.value
    }
}

/// Statistics and ejections of one worker.
#[derive(Debug, Clone)]
pub(super) struct OutlierDetector {
    /// Ratio of the client's estimate to the actual run time; 0 before the first success.
    pace: MovingAverage,
    /// Share of failed attempts.
    failure_rate: MovingAverage,
    consecutive_failures: u32,
    /// Different jobs among the consecutive failures, at most `MIN_FAILED_JOBS`.
    failed_jobs: Vec<u64>,
    /// Count of recent ejections, which decreases by one with each success.
    ejections: u32,
    ejected_until: u64,
    /// When the last ejection began.
    ejected_at: u64,
    /// Whether the worker is limited to one attempt at a time after an ejection, until an attempt succeeds.
    on_probation: bool,
}

impl Default for OutlierDetector {
    fn default() -> Self {
        Self {
            pace: MovingAverage::new(0.0),
            failure_rate: MovingAverage::new(0.0),
            consecutive_failures: 0,
            failed_jobs: Vec::new(),
            ejections: 0,
            ejected_until: 0,
            ejected_at: 0,
            on_probation: false,
        }
    }
}

impl OutlierDetector {
    /// Records an attempt that ended `done`. `pace` is the ratio of the client's estimate to the actual run
    /// time.
    pub(super) fn record_success(&mut self, pace: f64) {
        if self.pace.value() == 0.0 {
            self.pace = MovingAverage::new(pace);
        } else {
            self.pace.add(pace);
        }
        self.failure_rate.add(0.0);
        self.consecutive_failures = 0;
        self.failed_jobs.clear();
        self.on_probation = false;
        self.ejections = self.ejections.saturating_sub(1);
    }

    /// Records a failed or stalled attempt that was placed on the worker at `placed_at`, and ejects the
    /// worker if the conditions are met. Attempts placed before the last ejection do not count as new
    /// evidence.
    pub(super) fn record_failure(&mut self, job: u64, placed_at: u64, peers_failure_rate: f64, now: u64) {
        self.failure_rate.add(1.0);
        if self.on_probation && placed_at <= self.ejected_at {
            return;
        }
        self.consecutive_failures += 1;
        if !self.failed_jobs.contains(&job) && self.failed_jobs.len() < MIN_FAILED_JOBS {
            self.failed_jobs.push(job);
        }
        let is_repeated = self.consecutive_failures >= MIN_CONSECUTIVE_FAILURES
            && self.failed_jobs.len() >= MIN_FAILED_JOBS;
        let is_worse = self.failure_rate.value() >= MIN_FAILURE_RATE_RATIO * peers_failure_rate;
        if !(is_worse && (is_repeated || self.on_probation)) {
            return;
        }
        self.ejected_until =
            now.saturating_add((BASE_EJECTION_TIME_NS << self.ejections.min(8)).min(MAX_EJECTION_TIME_NS));
        self.ejections += 1;
        self.ejected_at = now;
        self.on_probation = true;
    }

    /// Returns whether the worker may take another start while it has `assigned_count` attempts.
    pub(super) fn allows_start(&self, now: u64, assigned_count: u32) -> bool {
        now >= self.ejected_until && (!self.on_probation || assigned_count == 0)
    }

    /// When the last ejection ends.
    pub(super) fn ejected_until(&self) -> u64 {
        self.ejected_until
    }

    /// Number of failures since the last success.
    pub(super) fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// Returns whether the worker is limited to one attempt at a time until an attempt succeeds.
    pub(super) fn is_on_probation(&self) -> bool {
        self.on_probation
    }

    /// Returns the worker's pace relative to that of its peers, at most 1. Returns 1 if no pace is known.
    pub(super) fn relative_pace(&self, peers: f64) -> f64 {
        if self.pace.value() == 0.0 || peers <= 0.0 {
            return 1.0;
        }
        (self.pace.value() / peers).clamp(MIN_RELATIVE_PACE, 1.0)
    }

    /// Share of attempts that did not fail.
    pub(super) fn success_rate(&self) -> f64 {
        1.0 - self.failure_rate.value()
    }
}

/// Moving averages over all workers of a service.
#[derive(Debug, Clone)]
pub(super) struct PeerAverages {
    pub(super) pace: MovingAverage,
    pub(super) failure_rate: MovingAverage,
}

impl Default for PeerAverages {
    fn default() -> Self {
        Self { pace: MovingAverage::new(1.0), failure_rate: MovingAverage::new(0.0) }
    }
}

/// Factor by which one attempt weighs less in the averages of a service than in those of one worker.
const SERVICE_DAMPING: u32 = 8;

impl PeerAverages {
    /// Adds an ended attempt: its pace if it succeeded, `None` if it failed.
    pub(super) fn record(&mut self, success_pace: Option<f64>) {
        let dampen = |average: &MovingAverage, sample: f64| {
            average.value() + (sample - average.value()) / f64::from(SERVICE_DAMPING)
        };
        if let Some(pace) = success_pace {
            let damped = dampen(&self.pace, pace);
            self.pace.add(damped);
        }
        let damped = dampen(&self.failure_rate, if success_pace.is_some() { 0.0 } else { 1.0 });
        self.failure_rate.add(damped);
    }
}
