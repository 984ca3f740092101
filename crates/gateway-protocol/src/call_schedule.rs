//! When a reader of the list calls: so that the calls of all readers together follow what the list service can bear,
//! which nobody tells them. Reads no clock: times are since any instant that stays the same.
//!
//! All readers may begin at one instant, each alone. The first call of each comes at a time of its own within a short
//! phase; whoever is rejected calls again in the next phase, which begins where this one ends and is twice as long. So
//! calls come ever more thinly until the service bears them, each reader calls once a phase, and the last phase is no
//! longer than twice the time that the service needs. A service that says when to come again is taken at its word,
//! while that holds. One that says nothing, and may do work for callers that have given up, is called as thinly as one
//! that rejects them.

use std::time::Duration;

/// The length of the first phase for each reader: short enough for a service that bears 200 calls a second.
const FIRST_PHASE_PER_READER: Duration = Duration::from_millis(5);
/// The longest phase for each reader.
const MAX_PHASE_PER_READER: Duration = Duration::from_millis(800);
/// The longest phase of any number of readers, and the longest hint that is followed.
const MAX_PHASE: Duration = Duration::from_secs(60);
/// Between an answer with nothing new and the next call: under the 200 ms after which a watch counts as given up.
pub const EMPTY_ANSWER_PAUSE: Duration = Duration::from_millis(100);
/// How long a watch may wait for an update, in the mean.
pub const WATCH_WAIT: Duration = Duration::from_secs(20);
/// How far the wait of a watch is from the mean at most.
const WATCH_WAIT_SPREAD: Duration = Duration::from_secs(10);
/// How much longer a watch waits for each degree of strain: where readers are rejected, a watch that ends is a call that
/// nobody needs. A list service lets one wait for 60 s at most.
const WATCH_WAIT_PER_STRAIN: Duration = Duration::from_secs(15);
/// The degree of strain after a rejection.
const MAX_STRAIN: u32 = 2;
/// An answer that took longer has been queued.
const QUEUED: Duration = Duration::from_millis(250);
/// How long a reader with a new list leaves the service to those without, at most: what the list says counts as known
/// 6 s later, heard of or not.
const MAX_YIELD: Duration = Duration::from_secs(4);
/// The phase that a reader with a list begins with, so that those without one go first.
const FIRST_PHASE_WITH_LIST: u32 = 3;
/// How much later than a hint says callers come, as a share of it, so that those who got the same do not come together.
const HINT_SPREAD: f64 = 0.1;

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The service rejected it, and said after what time to come again if it did.
    Rejected(Option<Duration>),
    /// Nothing came in time.
    TimedOut,
    /// There was no connection, or an answer that is none.
    Other,
}

/// Who else calls the list service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListService {
    /// So many readers: each call is a load on a service that all share.
    Shared {
        /// How many readers call it.
        readers: u32,
    },
    /// An agent of the reader's own, which answers at no cost. What it has counts as known: a drain must not be heard of
    /// late for a long pause.
    OwnAgent,
}

/// Whether a reader has a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderState {
    /// It has one, of whatever age.
    WithList,
    /// It has none, and goes first.
    WithoutList,
}

impl ReaderState {
    /// A reader that has the list of this version, or none.
    pub fn from_version(version: Option<u64>) -> Self {
        match version {
            Some(_) => ReaderState::WithList,
            None => ReaderState::WithoutList,
        }
    }
}

/// The delay that an answer asks for in its `Retry-After`: seconds, whole or decimal. None if it cannot be meant.
pub fn retry_after(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    let meant = seconds.is_finite() && seconds > 0.0 && seconds <= MAX_PHASE.as_secs_f64();
    meant.then(|| Duration::from_secs_f64(seconds))
}

/// A phase of calls, in which each reader calls once.
#[derive(Clone, Copy)]
struct Phase {
    number: u32,
    end: Duration,
}

/// The times of one reader's calls. `random` is from 0 to 1 in all methods.
pub struct CallSchedule {
    service: ListService,
    /// The phase that goes on; none while calls are answered.
    phase: Option<Phase>,
    /// Hints that were followed since the last answer.
    hints_followed: u32,
    strain: u32,
    agent_failed: bool,
}

impl CallSchedule {
    /// The schedule of a reader that has not called yet.
    pub fn new(service: ListService) -> Self {
        CallSchedule { service, phase: None, hints_followed: 0, strain: 0, agent_failed: false }
    }

    /// The pause before the first call.
    pub fn first_call_delay(&mut self, now: Duration, random: f64) -> Duration {
        let ListService::Shared { readers } = self.service else { return Duration::ZERO };
        let length = phase_length(readers, 0);
        self.phase = Some(Phase { number: 0, end: now + length });
        length.mul_f64(random)
    }

    /// The pause before the call after one that failed.
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
            self.strain = MAX_STRAIN;
        }
        if let CallFailure::Rejected(Some(hint)) = failure {
            // A hint that did not hold may be what all got: the next one is taken with a phase of one's own.
            let spread = match self.hints_followed {
                0 => Duration::ZERO,
                n => phase_length(readers, n - 1),
            };
            self.hints_followed += 1;
            return hint.min(MAX_PHASE).mul_f64(1.0 + HINT_SPREAD * random) + spread.mul_f64(random);
        }
        let (number, begin) = match (self.phase, reader) {
            (Some(last), _) => (last.number + 1, last.end.max(now)),
            (None, ReaderState::WithList) => (FIRST_PHASE_WITH_LIST, now),
            (None, ReaderState::WithoutList) => (0, now),
        };
        let length = phase_length(readers, number).max(EMPTY_ANSWER_PAUSE);
        self.phase = Some(Phase { number, end: begin + length });
        (begin - now) + EMPTY_ANSWER_PAUSE / 2 + length.mul_f64(random)
    }

    /// The pause before the call after one that was answered. `waited` is how long the call was queued; `reader` is what
    /// it was before the answer.
    pub fn delay_after_answer(&mut self, waited: Duration, reader: ReaderState, random: f64) -> Duration {
        let pressed =
            self.phase.is_some_and(|phase| phase.number > 0) || self.hints_followed > 0 || waited > QUEUED;
        (self.phase, self.hints_followed, self.agent_failed) = (None, 0, false);
        match (self.service, reader) {
            (ListService::Shared { readers }, ReaderState::WithoutList) if pressed => {
                self.strain = MAX_STRAIN;
                phase_length(readers, 2).min(MAX_YIELD).mul_f64(random)
            }
            (_, reader) => {
                self.strain = self.strain.saturating_sub(u32::from(reader == ReaderState::WithList));
                Duration::ZERO
            }
        }
    }

    /// How long the next watch may wait. Those that began together do not end together.
    pub fn watch_wait(&self, random: f64) -> Duration {
        match self.service {
            ListService::Shared { .. } => {
                WATCH_WAIT - WATCH_WAIT_SPREAD
                    + WATCH_WAIT_PER_STRAIN * self.strain
                    + (WATCH_WAIT_SPREAD * 2).mul_f64(random)
            }
            ListService::OwnAgent => WATCH_WAIT,
        }
    }
}

/// How long a phase of so many readers is.
fn phase_length(readers: u32, number: u32) -> Duration {
    let most = (MAX_PHASE_PER_READER * readers).clamp(EMPTY_ANSWER_PAUSE, MAX_PHASE);
    let first = FIRST_PHASE_PER_READER * readers;
    first.saturating_mul(1 << number.min(20)).min(most)
}

#[cfg(test)]
mod tests;
