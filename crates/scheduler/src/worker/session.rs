//! State of a session, and the operations that its caller uses.

use std::collections::{BTreeSet, VecDeque};

use messages::job;
use messages::job::Resolution;

use crate::ids::AttemptKey;
use crate::time::NANOS_PER_MS;

use super::attempt_table::AttemptTable;
use super::attempts::Attempt;
use super::calls::{InFlightCalls, SendTime};
use super::clock::ClockEstimate;
use super::end_watermarks::EndWatermarks;
use super::lease_expiry::WorkerLeaseBound;
use super::lease_schedule::{LeaseRenewalSchedule, MIN_STATUS_QUERY_SPACING_NS};
use super::reachability::Reachability;
use super::response_clock::{ResponseClock, ResponseTime};
use super::round_trip::RoundTripEstimate;
use super::types::{SessionOptions, SessionOutput, StartOrder};

/// Whether the session is active, or why it is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SessionStatus {
    Active,
    IncarnationEnded,
    Fenced,
}

/// The leader's session with one incarnation of a worker. Times are nanoseconds of the steady clock unless
/// stated otherwise.
#[derive(Debug)]
pub struct WorkerSession {
    incarnation: job::WorkerIncarnation,
    pub(super) options: SessionOptions,
    pub(super) status: SessionStatus,
    pub(super) clock: ClockEstimate,
    /// Clock by which missing answers are judged.
    pub(super) response_clock: ResponseClock,
    pub(super) worker_lease: WorkerLeaseBound,
    pub(super) reachability: Reachability,
    /// Whether the worker was last reported as suspected, that is, an answer was missing.
    pub(super) suspected: bool,
    pub(super) round_trip: RoundTripEstimate,
    pub(super) calls: InFlightCalls,
    pub(super) lease_renewals: LeaseRenewalSchedule,
    pub(super) attempts: AttemptTable,
    /// Attempts whose start has not been sent, in the order in which the starts are to be sent.
    pub(super) start_queue: VecDeque<AttemptKey>,
    /// Attempts whose start is held until the leader releases it.
    pub(super) held_starts: BTreeSet<AttemptKey>,
    pub(super) ends: EndWatermarks,
    /// Highest number of a call whose lists were handled.
    pub(super) newest_lists_call: u64,
    /// Time until which the leader's lease permits calls that start attempts or extend the worker's lease.
    pub(super) leader_lease_until: u64,
    /// Time until which starts may be sent.
    pub(super) start_limit: u64,
    /// How far ahead the worker's lease is set, in milliseconds of the worker's clock.
    pub(super) worker_lease_ms: u64,
    /// Shortest time between two status queries, in nanoseconds.
    pub(super) status_query_spacing: u64,
    pub(super) outputs: Vec<SessionOutput>,
    /// Time at which the session has to be polled next.
    pub(super) wake_at: u64,
    /// Whether a time limit for an answer has passed but is not judged before more input is read.
    awaits_input: bool,
}

impl WorkerSession {
    /// Creates a session with an incarnation whose ends up to `acknowledged` are durable.
    pub fn new(
        incarnation: job::WorkerIncarnation,
        acknowledged: u64,
        options: SessionOptions,
        now: u64,
    ) -> Self {
        WorkerSession {
            incarnation,
            status: SessionStatus::Active,
            clock: ClockEstimate::default(),
            response_clock: ResponseClock::default(),
            worker_lease: WorkerLeaseBound::new(&options),
            reachability: Reachability::new(),
            suspected: false,
            round_trip: RoundTripEstimate::default(),
            calls: InFlightCalls::new(),
            lease_renewals: LeaseRenewalSchedule::new(options.lease_renewal_bursts),
            attempts: AttemptTable::default(),
            start_queue: VecDeque::new(),
            held_starts: BTreeSet::new(),
            ends: EndWatermarks::new(acknowledged),
            newest_lists_call: 0,
            leader_lease_until: 0,
            start_limit: 0,
            worker_lease_ms: options.worker_lease_ms,
            status_query_spacing: MIN_STATUS_QUERY_SPACING_NS,
            outputs: Vec::new(),
            wake_at: now,
            awaits_input: false,
            options,
        }
    }

    /// The worker's incarnation.
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

    /// Like `start`, but the start is sent only after `release_start`. Until then the session prepares for
    /// it.
    pub fn hold_start(&mut self, order: StartOrder) {
        let key = order.key;
        if self.enqueue_order(order) {
            self.held_starts.insert(key);
        }
    }

    /// Whether the attempt's start is held.
    pub fn holds_start(&self, key: AttemptKey) -> bool {
        self.held_starts.contains(&key) && self.attempts.contains_key(&key)
    }

    /// Releases a held start. It is sent ahead of all queued starts.
    pub fn release_start(&mut self, key: AttemptKey) {
        if self.held_starts.remove(&key) && self.attempts.contains_key(&key) {
            self.wake_at = 0;
            self.start_queue.push_front(key);
        }
    }

    /// Records the attempt of an order; false if the order must not be sent.
    fn enqueue_order(&mut self, order: StartOrder) -> bool {
        let key = order.key;
        self.wake_at = 0;
        if self.status == SessionStatus::IncarnationEnded {
            self.report_resolved(key, Resolution::INCARNATION_ENDED, String::new());
            return false;
        }
        if self.attempts.contains_key(&key) {
            return false;
        }
        self.attempts.insert_new(key, Attempt::queued(order));
        true
    }

    /// Adopts an attempt whose intent an earlier leader committed, and determines its state: it may be
    /// running, have ended, or never have reached the worker.
    pub fn adopt(&mut self, key: AttemptKey) {
        self.wake_at = 0;
        if self.status == SessionStatus::IncarnationEnded {
            self.report_resolved(key, Resolution::INCARNATION_ENDED, String::new());
            return;
        }
        self.attempts.insert_new(key, Attempt::adopted());
    }

    /// Number of attempts that the session tracks.
    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Stops an attempt that is no longer wanted. The session later reports `Ended` or `Resolved` for it.
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

    /// Records that ends up to `sequence` are durable, so that the worker may forget them.
    pub fn acknowledge_ends(&mut self, sequence: u64) {
        if self.ends.acknowledge(sequence) {
            self.lease_renewals.record_acknowledgement();
            self.wake_at = 0;
        }
    }

    /// Sets how long the worker may wait for an end from the next lease renewal on, in milliseconds.
    pub fn set_long_poll_wait(&mut self, wait_ms: u64) {
        self.options.long_poll_wait_ms = wait_ms;
    }

    /// Sets how far ahead the worker's lease is set from the next call on, in milliseconds of the worker's
    /// clock. Deadlines sent before stay in force on the worker, and count until they have certainly
    /// expired.
    pub fn set_worker_lease(&mut self, worker_lease_ms: u64) {
        self.worker_lease_ms = worker_lease_ms.min(self.options.worker_lease_ms);
    }

    /// Sets the shortest time between two status queries from the next poll on, in nanoseconds; at least
    /// `MIN_STATUS_QUERY_SPACING_NS`. Lease renewals that keep up the worker's lease are not affected.
    pub fn set_status_query_spacing(&mut self, spacing: u64) {
        self.status_query_spacing = spacing.max(MIN_STATUS_QUERY_SPACING_NS);
    }

    /// Sets the end of the leader's lease, in nanoseconds of the steady clock. Calls that start attempts or
    /// extend the worker's lease may be sent until then.
    pub fn set_leader_lease(&mut self, until: u64) {
        if until != self.leader_lease_until {
            self.leader_lease_until = until;
            self.wake_at = 0;
        }
    }

    /// Permits starts until `until`, in nanoseconds of the steady clock, or until the latest limit set
    /// before. After that the information about the worker is too old for starts. Returns whether the
    /// session has starts to send and has to be polled.
    pub fn extend_start_limit(&mut self, until: u64) -> bool {
        self.start_limit = self.start_limit.max(until);
        let has_starts = !self.start_queue.is_empty();
        if has_starts {
            self.wake_at = 0;
        }
        has_starts
    }

    /// Sets the clock by which missing answers are judged from the next poll on. Without this call, `poll`
    /// is assumed to be called in time and after all input that has arrived was passed in.
    pub fn set_response_clock(&mut self, clock: ResponseClock) {
        self.response_clock = clock;
    }

    /// Records that the incarnation has certainly ended, and resolves all its attempts.
    pub fn incarnation_ended(&mut self, _now: u64) {
        if self.status == SessionStatus::IncarnationEnded {
            return;
        }
        self.status = SessionStatus::IncarnationEnded;
        self.wake_at = 0;
        self.cancel_calls();
        self.start_queue.clear();
        self.held_starts.clear();
        for (key, attempt) in self.attempts.take() {
            if !attempt.orphan {
                self.report_resolved(key, Resolution::INCARNATION_ENDED, attempt.checkpoint);
            }
        }
        self.outputs.push(SessionOutput::IncarnationEnded);
    }

    /// Appends the reports and calls that are due at `now` to `out`, in their order.
    pub fn poll(&mut self, now: u64, out: &mut Vec<SessionOutput>) {
        if self.status == SessionStatus::Active {
            self.attempts.prune();
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

    /// Time at which `poll` has to be called next unless something else happens before; `u64::MAX` if
    /// never.
    pub fn next_timer(&self) -> u64 {
        self.wake_at
    }

    /// Whether the session has to be polled once more input is read: a time limit for an answer has passed,
    /// but the answer may have arrived without having been read.
    pub fn awaits_input(&self) -> bool {
        self.awaits_input
    }

    /// Time at which the newest lists were received, in nanoseconds of the steady clock; 0 if none were.
    pub fn last_lists_at(&self) -> u64 {
        self.lease_renewals.last_lists_at()
    }

    /// Whether the worker has answered this session at least once.
    pub fn has_answered(&self) -> bool {
        self.clock.is_known()
    }

    /// Whether the session needs no calls: it is not active, or it has no attempts and the worker has
    /// confirmed all ends.
    pub fn is_idle(&self) -> bool {
        let is_active = self.status == SessionStatus::Active;
        !is_active || (self.attempts.is_empty() && self.ends.all_confirmed())
    }

    /// How long a call may take beyond its wait, in nanoseconds.
    pub(super) fn call_timeout(&self) -> u64 {
        self.options.call_timeout_ms.saturating_mul(NANOS_PER_MS)
    }

    /// How long an answer without a wait may take before it is missing, in nanoseconds.
    pub(super) fn answer_timeout(&self) -> u64 {
        self.round_trip.answer_timeout(self.call_timeout())
    }

    /// How long the answer to a start may take before it is missing, in nanoseconds.
    pub(super) fn start_answer_timeout(&self) -> u64 {
        self.round_trip.start_answer_timeout(self.call_timeout())
    }

    /// The send time of a call that is sent at `now`.
    pub(super) fn send_time(&self, now: u64) -> SendTime {
        SendTime { steady: now, response: self.response_clock.at(now) }
    }

    /// Time of the steady clock from which an answer that is due at `due` is missing; `u64::MAX` if this
    /// cannot be judged before more input is read.
    pub(super) fn missing_at(&self, due: ResponseTime, now: u64) -> u64 {
        match self.response_clock.awaits_input(due, now) {
            true => u64::MAX,
            false => self.response_clock.steady(due),
        }
    }

    /// The next time limit for an answer after which the session's view of the worker changes.
    fn response_due(&self) -> Option<ResponseTime> {
        if self.status != SessionStatus::Active {
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
        if self.status != SessionStatus::Active {
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
