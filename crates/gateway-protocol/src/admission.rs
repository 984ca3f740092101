//! Admission control of a list service. Calls are limited to a fixed rate; a call that would wait too long in
//! the queue is rejected with a Retry-After delay. The queue limit is shorter for watches, so that calls for
//! the full list go first. Each rejected call gets a retry time of its own, so that retries arrive at the
//! service's rate.
//!
//! Reads no clock: all times are durations since one fixed instant that the caller chooses.

use std::time::Duration;

/// The kind of a call to a list service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A request for the full list, from a reader without a list.
    FullList,
    /// A long poll for changes, from a reader with a list.
    Watch,
}

/// A rate limiter with a bounded queue.
pub struct Admission {
    /// The interval between two admitted calls, that is 1 / rate; zero without a rate limit.
    service_time: Duration,
    /// The longest queueing delay of a call for the full list.
    max_wait_full_list: Duration,
    /// The longest queueing delay of a watch.
    max_wait_watch: Duration,
    /// The time at which the last admitted call is done and the queue is empty.
    free_at: Duration,
    /// The latest retry time that was assigned to a rejected call.
    last_retry_at: Duration,
}

impl Admission {
    /// Admits `calls_per_s` calls a second. Rejects a call for the full list that would wait longer than
    /// `max_wait_full_list`, and a watch that would wait longer than `max_wait_watch`. With a rate of 0 or
    /// less there is no limit: each call is admitted at once.
    pub fn new(calls_per_s: f64, max_wait_full_list: Duration, max_wait_watch: Duration) -> Self {
        let service_time =
            if calls_per_s > 0.0 { Duration::from_secs_f64(1.0 / calls_per_s) } else { Duration::ZERO };
        Admission {
            service_time,
            max_wait_full_list,
            max_wait_watch,
            free_at: Duration::ZERO,
            last_retry_at: Duration::ZERO,
        }
    }

    /// Returns the time at which the call is done. Rejected calls get successive retry times after the end of
    /// the queue, so that the retries arrive evenly spaced.
    ///
    /// # Errors
    ///
    /// The call is rejected: the delay after which the caller should retry.
    pub fn admit(&mut self, now: Duration, call: CallKind) -> Result<Duration, Duration> {
        if self.service_time.is_zero() {
            return Ok(now);
        }
        let begin = self.free_at.max(now);
        let max_wait = match call {
            CallKind::FullList => self.max_wait_full_list,
            CallKind::Watch => self.max_wait_watch,
        };
        if begin - now <= max_wait {
            self.free_at = begin + self.service_time;
            return Ok(self.free_at);
        }
        self.last_retry_at = self.last_retry_at.max(begin) + self.service_time;
        Err(self.last_retry_at - now)
    }
}

#[cfg(test)]
mod tests;
