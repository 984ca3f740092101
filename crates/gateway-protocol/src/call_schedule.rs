//! The call schedule of a reader of the list: exponential backoff with jitter and Retry-After hints, so that
//! the calls of all readers together adapt to the capacity of the list service, which the readers do not
//! know.
//!
//! All readers may start at the same instant, without coordination. Each reader makes its first call at a
//! random time within a short window. A reader whose call fails calls again at a random time in the next
//! window, which begins at the end of the last one and is twice as long. The call rate thus halves with each
//! window until the service can serve it; each reader calls once a window, and the last window is at most
//! twice as long as the service needs to serve all readers. A reader follows the Retry-After hints of the
//! service; after a hint that led to another rejection it adds a random delay to the next one. A service that
//! does not answer may still work on calls that timed out, so timeouts back off like rejections.
//!
//! Reads no clock: all times are durations since one fixed instant that the caller chooses.

use std::time::Duration;

/// The length of the first window, multiplied by the number of readers. It fits a service that serves 200
/// calls a second.
const FIRST_WINDOW_PER_READER: Duration = Duration::from_millis(5);
/// The longest window, multiplied by the number of readers.
const MAX_WINDOW_PER_READER: Duration = Duration::from_millis(800);
/// The longest window for any number of readers, and the longest Retry-After hint that is accepted.
const MAX_WINDOW: Duration = Duration::from_secs(60);
/// The pause between a response without changes and the next call. It is shorter than the 200 ms after which
/// a watch counts as abandoned.
pub const EMPTY_ANSWER_PAUSE: Duration = Duration::from_millis(100);
/// The mean time that a watch waits for an update.
pub const WATCH_WAIT: Duration = Duration::from_secs(20);
/// The largest random deviation of a watch's wait from [`WATCH_WAIT`], in either direction.
const WATCH_WAIT_JITTER: Duration = Duration::from_secs(10);
/// The additional wait of a watch for each overload level: while the service rejects readers, a watch that
/// ends without an update causes an unnecessary call. A list service lets a watch wait for 60 s at most.
const WATCH_WAIT_PER_OVERLOAD_LEVEL: Duration = Duration::from_secs(15);
/// The overload level after a rejection.
const MAX_OVERLOAD_LEVEL: u32 = 2;
/// A response that took longer than this has waited in the service's queue.
const QUEUED_THRESHOLD: Duration = Duration::from_millis(250);
/// The longest delay before the first watch of a reader that got its list from an overloaded service, so that
/// readers without a list go first. The content of a list counts as known 6 s later, whether or not the
/// reader has received it.
const MAX_WATCH_DELAY: Duration = Duration::from_secs(4);
/// The number of the first window for a reader with a list, so that readers without a list go first.
const FIRST_WINDOW_WITH_LIST: u32 = 3;
/// The largest random delay added to a Retry-After hint, as a fraction of the hint, so that readers with the
/// same hint do not call at the same time.
const HINT_JITTER: f64 = 0.1;

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The service rejected the call, with the delay from its Retry-After header if there was one.
    Rejected(Option<Duration>),
    /// No response arrived before the timeout.
    TimedOut,
    /// The connection failed, or the response was invalid.
    Other,
}

/// How many readers share the list service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListService {
    /// A service shared by many readers, where each call is load for the others.
    Shared {
        /// The number of readers.
        readers: u32,
    },
    /// An agent that serves only this reader, at no cost. The agent's list counts as known to the reader: a
    /// long pause must not delay the news that a server drains.
    OwnAgent,
}

/// Whether a reader has a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderState {
    /// The reader has a list, of any age.
    WithList,
    /// The reader has no list; its calls take precedence.
    WithoutList,
}

impl ReaderState {
    /// The state of a reader with the list of this version; `None` means no list.
    pub fn from_version(version: Option<u64>) -> Self {
        match version {
            Some(_) => ReaderState::WithList,
            None => ReaderState::WithoutList,
        }
    }
}

/// Parses a `Retry-After` header: seconds, whole or decimal. Returns `None` unless the delay is above 0 and
/// at most 60 s.
pub fn retry_after(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    let usable = seconds.is_finite() && seconds > 0.0 && seconds <= MAX_WINDOW.as_secs_f64();
    usable.then(|| Duration::from_secs_f64(seconds))
}

/// A backoff window, in which each reader calls once at a random time.
#[derive(Clone, Copy)]
struct BackoffWindow {
    /// The number of consecutive windows before this one; the window length doubles with each.
    number: u32,
    end: Duration,
}

/// The call schedule of one reader. In all methods `random` is a random number from 0 to 1.
pub struct CallSchedule {
    service: ListService,
    /// The current backoff window; `None` while calls succeed.
    window: Option<BackoffWindow>,
    /// The number of Retry-After hints that were followed since the last response.
    hints_followed: u32,
    /// Set to [`MAX_OVERLOAD_LEVEL`] by a rejection, decreased by each response to a watch.
    overload_level: u32,
    /// Whether the last call to the reader's own agent failed.
    agent_failed: bool,
}

impl CallSchedule {
    /// The schedule of a reader that has not called yet.
    pub fn new(service: ListService) -> Self {
        CallSchedule { service, window: None, hints_followed: 0, overload_level: 0, agent_failed: false }
    }

    /// Returns the delay before the first call.
    pub fn first_call_delay(&mut self, now: Duration, random: f64) -> Duration {
        let ListService::Shared { readers } = self.service else { return Duration::ZERO };
        let length = window_length(readers, 0);
        self.window = Some(BackoffWindow { number: 0, end: now + length });
        length.mul_f64(random)
    }

    /// Returns the delay before the next call after a failed call.
    pub fn delay_after_failure(
        &mut self,
        now: Duration,
        failure: CallFailure,
        reader: ReaderState,
        random: f64,
    ) -> Duration {
        let ListService::Shared { readers } = self.service else {
            let again = std::mem::replace(&mut self.agent_failed, true);
            let span = if again { EMPTY_ANSWER_PAUSE * 2 } else { EMPTY_ANSWER_PAUSE };
            return EMPTY_ANSWER_PAUSE / 2 + span.mul_f64(random);
        };
        if matches!(failure, CallFailure::Rejected(_)) {
            self.overload_level = MAX_OVERLOAD_LEVEL;
        }
        if let CallFailure::Rejected(Some(hint)) = failure {
            // After a hint that led to another rejection, the service may have given all readers the same
            // hint: from then on a random time within a backoff window is added.
            let jitter = match self.hints_followed {
                0 => Duration::ZERO,
                n => window_length(readers, n - 1),
            };
            self.hints_followed += 1;
            return hint.min(MAX_WINDOW).mul_f64(1.0 + HINT_JITTER * random) + jitter.mul_f64(random);
        }
        let (number, begin) = match (self.window, reader) {
            (Some(last), _) => (last.number + 1, last.end.max(now)),
            (None, ReaderState::WithList) => (FIRST_WINDOW_WITH_LIST, now),
            (None, ReaderState::WithoutList) => (0, now),
        };
        let length = window_length(readers, number).max(EMPTY_ANSWER_PAUSE);
        self.window = Some(BackoffWindow { number, end: begin + length });
        (begin - now) + EMPTY_ANSWER_PAUSE / 2 + length.mul_f64(random)
    }

    /// Returns the delay before the next call after a successful call. `waited` is the time that the call was
    /// queued; `reader` is the state of the reader before the response.
    pub fn delay_after_answer(&mut self, waited: Duration, reader: ReaderState, random: f64) -> Duration {
        let overloaded = self.window.is_some_and(|window| window.number > 0)
            || self.hints_followed > 0
            || waited > QUEUED_THRESHOLD;
        (self.window, self.hints_followed, self.agent_failed) = (None, 0, false);
        match (self.service, reader) {
            (ListService::Shared { readers }, ReaderState::WithoutList) if overloaded => {
                self.overload_level = MAX_OVERLOAD_LEVEL;
                window_length(readers, 2).min(MAX_WATCH_DELAY).mul_f64(random)
            }
            (_, reader) => {
                self.overload_level =
                    self.overload_level.saturating_sub(u32::from(reader == ReaderState::WithList));
                Duration::ZERO
            }
        }
    }

    /// Returns the time that the next watch may wait for an update, with jitter so that watches that began
    /// together end at different times.
    pub fn watch_wait(&self, random: f64) -> Duration {
        match self.service {
            ListService::Shared { .. } => {
                WATCH_WAIT - WATCH_WAIT_JITTER
                    + WATCH_WAIT_PER_OVERLOAD_LEVEL * self.overload_level
                    + (WATCH_WAIT_JITTER * 2).mul_f64(random)
            }
            ListService::OwnAgent => WATCH_WAIT,
        }
    }
}

/// Returns the length of the window with this number for this many readers.
fn window_length(readers: u32, number: u32) -> Duration {
    let max_length = (MAX_WINDOW_PER_READER * readers).clamp(EMPTY_ANSWER_PAUSE, MAX_WINDOW);
    let first = FIRST_WINDOW_PER_READER * readers;
    first.saturating_mul(1 << number.min(20)).min(max_length)
}

#[cfg(test)]
mod tests;
