//! The state of a session and what its caller asks of it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use messages::job;
use messages::job::Resolution;

use crate::ids::AttemptKey;
use crate::time::NANOS_PER_MS;

use super::attempts::Attempt;
use super::calls::{InFlightCalls, SendTime};
use super::clock::ClockEstimate;
use super::end_watermarks::EndWatermarks;
use super::lease_expiry::WorkerLeaseBound;
use super::lease_schedule::{LeaseRenewalSchedule, MIN_STATUS_QUERY_SPACING};
use super::reachability::Reachability;
use super::response_clock::{ResponseClock, ResponseTime};
use super::round_trip::RoundTripEstimate;
use super::types::{SessionOptions, SessionOutput, StartOrder};

/// Whether the session still acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    Active,
    IncarnationEnded,
    Fenced,
}

/// The state of one incarnation of a worker as its leader knows it. Times are nanoseconds of the steady clock.
#[derive(Debug)]
pub struct WorkerSession {
    incarnation: job::WorkerIncarnation,
    pub(super) options: SessionOptions,
    pub(super) standing: Standing,
    pub(super) clock: ClockEstimate,
    /// How far missing answers may be judged.
    pub(super) response_clock: ResponseClock,
    pub(super) worker_lease: WorkerLeaseBound,
    pub(super) reachability: Reachability,
    /// Whether it was reported that an answer is missing.
    pub(super) suspected: bool,
    pub(super) round_trip: RoundTripEstimate,
    pub(super) calls: InFlightCalls,
    pub(super) lease_renewals: LeaseRenewalSchedule,
    pub(super) attempts: BTreeMap<AttemptKey, Attempt>,
    /// Attempts whose start has not left, in the order in which they were asked for.
    pub(super) start_queue: VecDeque<AttemptKey>,
    /// Attempts whose start waits until the leader releases it.
    pub(super) held_starts: BTreeSet<AttemptKey>,
    pub(super) ends: EndWatermarks,
    /// The highest number of a call whose lists were taken.
    pub(super) newest_lists: u64,
    /// Until when the leader's lease permits calls that start attempts or extend the worker's lease.
    pub(super) leader_lease_until: u64,
    /// Until when starts may leave, in nanoseconds of the steady clock.
    pub(super) start_limit: u64,
    /// How far ahead the worker's lease is set, in milliseconds of the worker's clock.
    pub(super) worker_lease_ms: u64,
    /// Least time between two status queries, in nanoseconds.
    pub(super) status_query_spacing: u64,
    pub(super) outputs: Vec<SessionOutput>,
    /// When the session wants to be polled next, in nanoseconds of the steady clock.
    pub(super) wake_at: u64,
    /// Whether a time limit for an answer has passed that is not judged before more input is read.
    awaits_input: bool,
}

impl WorkerSession {
    /// A session with the given incarnation; ends up to `acknowledged` are durable.
    pub fn new(
        incarnation: job::WorkerIncarnation,
        acknowledged: u64,
        options: SessionOptions,
        now: u64,
    ) -> Self {
        WorkerSession {
            incarnation,
            standing: Standing::Active,
            clock: ClockEstimate::default(),
            response_clock: ResponseClock::default(),
            worker_lease: WorkerLeaseBound::new(&options),
            reachability: Reachability::new(),
            suspected: false,
            round_trip: RoundTripEstimate::default(),
            calls: InFlightCalls::new(),
            lease_renewals: LeaseRenewalSchedule::new(options.lease_renewal_bursts),
            attempts: BTreeMap::new(),
            start_queue: VecDeque::new(),
            held_starts: BTreeSet::new(),
            ends: EndWatermarks::new(acknowledged),
            newest_lists: 0,
            leader_lease_until: 0,
            start_limit: 0,
            worker_lease_ms: options.worker_lease_ms,
            status_query_spacing: MIN_STATUS_QUERY_SPACING,
            outputs: Vec::new(),
            wake_at: now,
            awaits_input: false,
            options,
        }
    }

    /// The incarnation this session is with.
    pub fn incarnation(&self) -> &job::WorkerIncarnation {
        &self.incarnation
    }

    /// Starts an attempt whose intent is committed in this leader's term.
    pub fn start(&mut self, order: StartOrder) {
        let key = order.key;
        if self.enqueue_order(order) {
            self.start_queue.push_back(key);
        }
    }

    /// As `start`, but the order leaves only after `release_start`; until then the session gets ready for it.
    pub fn hold_start(&mut self, order: StartOrder) {
        let key = order.key;
        if self.enqueue_order(order) {
            self.held_starts.insert(key);
        }
    }

    /// Whether the attempt's order is held.
    pub fn holds_start(&self, key: AttemptKey) -> bool {
        self.held_starts.contains(&key) && self.attempts.contains_key(&key)
    }

    /// Lets an order leave that was held, ahead of all others.
    pub fn release_start(&mut self, key: AttemptKey) {
        if self.held_starts.remove(&key) && self.attempts.contains_key(&key) {
            self.wake_at = 0;
            self.start_queue.push_front(key);
        }
    }

    /// Takes an order; false if it is not to be sent.
    fn enqueue_order(&mut self, order: StartOrder) -> bool {
        let key = order.key;
        self.wake_at = 0;
        if self.standing == Standing::IncarnationEnded {
            self.report_resolved(key, Resolution::INCARNATION_ENDED, String::new());
            return false;
        }
        if self.attempts.contains_key(&key) {
            return false;
        }
        self.attempts.insert(key, Attempt::queued(order));
        true
    }

    /// Finds out about an attempt whose intent an earlier leader committed: it may run, have ended or never arrive.
    pub fn adopt(&mut self, key: AttemptKey) {
        self.wake_at = 0;
        if self.standing == Standing::IncarnationEnded {
            self.report_resolved(key, Resolution::INCARNATION_ENDED, String::new());
            return;
        }
        self.attempts.entry(key).or_insert_with(Attempt::adopted);
    }

    /// How many attempts the session knows of.
    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Stops an attempt that is no longer wanted; it ends with `Ended` or `Resolved`.
    pub fn stop(&mut self, key: AttemptKey) {
        self.wake_at = 0;
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        attempt.unwanted = true;
        if attempt.is_queued() {
            self.resolve(key, Resolution::NEVER_RAN);
        }
    }

    /// Ends up to `sequence` are durable: the worker may forget them.
    pub fn acknowledge_ends(&mut self, sequence: u64) {
        if self.ends.acknowledge(sequence) {
            self.lease_renewals.ends_acknowledged();
            self.wake_at = 0;
        }
    }

    /// How long the worker may wait for an end from the next lease renewal on, in milliseconds.
    pub fn set_long_poll_wait(&mut self, wait_ms: u64) {
        self.options.long_poll_wait_ms = wait_ms;
    }

    /// How far ahead the worker's lease is set from the next call on, in milliseconds of the worker's clock. What was
    /// sent before stays in force at the worker, and counts until it has certainly expired.
    pub fn set_worker_lease(&mut self, worker_lease_ms: u64) {
        self.worker_lease_ms = worker_lease_ms.min(self.options.worker_lease_ms);
    }

    /// Least time between two status queries from the next poll on, in nanoseconds; never below
    /// `MIN_STATUS_QUERY_SPACING`. Lease renewals that the worker's lease rests on are not affected.
    pub fn set_status_query_spacing(&mut self, spacing: u64) {
        self.status_query_spacing = spacing.max(MIN_STATUS_QUERY_SPACING);
    }

    /// The leader's lease lasts until then, in nanoseconds of the steady clock: so long, calls that start attempts or
    /// extend the worker's lease may leave.
    pub fn set_leader_lease(&mut self, until: u64) {
        if until != self.leader_lease_until {
            self.leader_lease_until = until;
            self.wake_at = 0;
        }
    }

    /// Starts may leave until then, in nanoseconds of the steady clock, or until the latest limit set before: what is
    /// known of the worker is too old afterwards. Returns whether the session has starts to send and is to be polled.
    pub fn extend_start_limit(&mut self, until: u64) -> bool {
        self.start_limit = self.start_limit.max(until);
        let has_starts = !self.start_queue.is_empty();
        if has_starts {
            self.wake_at = 0;
        }
        has_starts
    }

    /// How far missing answers may be judged from the next poll on. Without it, `poll` is taken to be called in time
    /// and after all that has arrived was handed in.
    pub fn set_response_clock(&mut self, clock: ResponseClock) {
        self.response_clock = clock;
    }

    /// The incarnation has certainly ended.
    pub fn incarnation_ended(&mut self, _now: u64) {
        if self.standing == Standing::IncarnationEnded {
            return;
        }
        self.standing = Standing::IncarnationEnded;
        self.wake_at = 0;
        self.cancel_calls();
        self.start_queue.clear();
        self.held_starts.clear();
        for (key, attempt) in std::mem::take(&mut self.attempts) {
            if !attempt.orphan {
                self.report_resolved(key, Resolution::INCARNATION_ENDED, attempt.checkpoint);
            }
        }
        self.outputs.push(SessionOutput::IncarnationEnded);
    }

    /// Gives what is due at `now`: facts and calls, in their order.
    pub fn poll(&mut self, now: u64, out: &mut Vec<SessionOutput>) {
        if self.standing == Standing::Active {
            self.expire_calls(now);
            self.resolve_expired(now);
            self.check_health(now);
            self.send_stops(now);
            self.send_starts(now);
            self.send_lease_renewal(now);
        }
        out.append(&mut self.outputs);
        self.wake_at = self.next_due(now);
        let limits = [self.response_due(), self.lease_renewal_overdue()];
        self.awaits_input =
            limits.into_iter().flatten().any(|limit| self.response_clock.awaits_input(limit, now));
    }

    /// When `poll` has something to do, unless something else happens before; `u64::MAX`: never.
    pub fn next_timer(&self) -> u64 {
        self.wake_at
    }

    /// Whether the session has to be polled once more input is read: a time limit for an answer has passed, but the
    /// answer may have arrived.
    pub fn awaits_input(&self) -> bool {
        self.awaits_input
    }

    /// When the newest lists came, in nanoseconds of the steady clock; 0: none came.
    pub fn last_lists_at(&self) -> u64 {
        self.lease_renewals.last_lists_at()
    }

    /// Whether the worker has answered this session at least once.
    pub fn has_answered(&self) -> bool {
        self.clock.is_known()
    }

    /// Whether there are no attempts and no ends left to be acknowledged there, so that no call is needed.
    pub fn is_idle(&self) -> bool {
        let is_active = self.standing == Standing::Active;
        !is_active || (self.attempts.is_empty() && self.ends.all_confirmed())
    }

    /// How long a call may take beyond its wait.
    pub(super) fn call_timeout(&self) -> u64 {
        self.options.call_timeout_ms.saturating_mul(NANOS_PER_MS)
    }

    /// How long an answer that is given at once may take before it is missing.
    pub(super) fn answer_timeout(&self) -> u64 {
        self.round_trip.answer_timeout(self.call_timeout())
    }

    /// How long the answer to a start may take before it is missing.
    pub(super) fn start_answer_timeout(&self) -> u64 {
        self.round_trip.start_answer_timeout(self.call_timeout())
    }

    /// The moment of a call that leaves at `now`.
    pub(super) fn send_time(&self, now: u64) -> SendTime {
        SendTime { steady: now, response: self.response_clock.at(now) }
    }

    /// From when on, by the steady clock, an answer that is due at `due` is missing; `u64::MAX`: not before more input
    /// is read.
    pub(super) fn missing_at(&self, due: ResponseTime, now: u64) -> u64 {
        match self.response_clock.awaits_input(due, now) {
            true => u64::MAX,
            false => self.response_clock.steady(due),
        }
    }

    /// The next time limit for an answer that changes what is known of the worker.
    fn response_due(&self) -> Option<ResponseTime> {
        if self.standing != Standing::Active {
            return None;
        }
        let due = [
            self.calls.iter().map(|call| call.expires).min(),
            self.reachability.overdue_at(&self.calls),
            self.suspicion_due(),
        ];
        due.into_iter().flatten().min()
    }

    fn next_due(&self, now: u64) -> u64 {
        if self.standing != Standing::Active {
            return u64::MAX;
        }
        let due = [
            self.response_due().map(|due| self.missing_at(due, now)),
            self.reachability.healthy_at(),
            self.lease_expiry_due(),
            self.stop_due(),
            self.start_due(now),
            self.lease_renewal_due(now),
        ];
        due.into_iter().flatten().min().unwrap_or(u64::MAX)
    }
}
