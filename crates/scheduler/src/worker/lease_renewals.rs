//! Sending of lease renewals. Usually a single one is in flight as a long poll. Further ones are sent only
//! to settle whether an uncertain attempt runs, or to replace one that is overdue.
//!
//! A lease renewal is one call with three uses. It extends the worker's lease if the leader's own lease and
//! the state of the worker permit this. It acknowledges ends. Its answer brings the lists of running and
//! ended attempts. A lease renewal that is sent for its lists alone is called a status query.

use crate::time::NANOS_PER_MS;

use super::calls::{CallKind, InFlightCall};
use super::response_clock::ResponseTime;
use super::session::{SessionStatus, WorkerSession};
use super::types::{SessionOutput, WorkerRequest};

/// Most lease renewals in flight at one time.
const MAX_LEASE_RENEWALS_IN_FLIGHT: usize = 3;
/// Time between two lease renewals to a worker that runs no attempt of this leader and does not answer.
const PROBE_INTERVAL_NS: u64 = 2_000 * NANOS_PER_MS;
/// The longest wait that the protocol allows.
const MAX_WAIT_MS: u64 = 2_000;
/// The worker's lease divided by this number is the longest wait of a lease renewal, and also the most that
/// clock drift may take off a lease before a start.
const WORKER_LEASE_DIVISOR: u64 = 4;
/// The worker's clock has to be observed again before starts once drift may have taken one part in
/// `WORKER_LEASE_DIVISOR` of the lease. This is the case after this many such parts have passed.
const MAX_CLOCK_AGE_PARTS: u64 = 25;

impl WorkerSession {
    /// Whether the leader's lease permits calls that start attempts or extend the worker's lease.
    pub(super) fn has_leader_lease(&self, now: u64) -> bool {
        now < self.leader_lease_until
    }

    /// Whether the worker's clock is known precisely enough for starts.
    pub(super) fn clock_is_fresh(&self, now: u64) -> bool {
        let part = self.options.worker_lease_ms.saturating_mul(NANOS_PER_MS) / WORKER_LEASE_DIVISOR;
        let age = now.saturating_sub(self.clock.last_observed_at());
        self.clock.is_known() && age <= part.saturating_mul(MAX_CLOCK_AGE_PARTS)
    }

    /// Sends a lease renewal if one is due.
    pub(super) fn send_lease_renewal(&mut self, now: u64) {
        if self.lease_renewal_due(now).is_none_or(|at| at > now) {
            return;
        }
        let wait_ms = self.lease_renewal_wait_ms(now);
        let deadline_ms = match self.may_extend_worker_lease(now) {
            true => self.worker_lease.next_deadline(&self.clock, now, self.worker_lease_ms),
            false => None,
        };
        let last_seen = self.ends.acknowledged();
        let wait = wait_ms.saturating_mul(NANOS_PER_MS);
        let (sent, timeout) = (self.send_time(now), self.call_timeout());
        let call = self.calls.open(CallKind::RenewLease { last_seen }, sent, wait, timeout);
        self.lease_renewals.record_sent(now, deadline_ms.is_some());
        let request = WorkerRequest::RenewLease {
            fencing_token: self.options.fencing_token,
            last_seen,
            deadline_ms,
            wait_ms,
        };
        self.outputs.push(SessionOutput::Call { call, request });
    }

    /// When the next lease renewal is due, in nanoseconds of the steady clock; `None` if none is due by
    /// time alone.
    pub(super) fn lease_renewal_due(&self, now: u64) -> Option<u64> {
        if let Some(newest) = self.calls.lease_renewals().next_back() {
            return self.hedged_lease_renewal_due(newest, now);
        }
        if self.is_idle() {
            let probing = !self.reachability.is_reachable() || !self.clock.is_known();
            return probing.then(|| self.lease_renewals.after_spacing(PROBE_INTERVAL_NS));
        }
        let earliest = if self.lacks_deadline(now) {
            0
        } else if self.status_query_needed().is_some() {
            self.lease_renewals.after_spacing(self.status_query_spacing)
        } else if self.ends.has_unacknowledged() {
            self.lease_renewals.next_paced_while_unacknowledged()
        } else {
            self.lease_renewals.next_paced()
        };
        Some(earliest.max(self.lease_renewals.not_before()))
    }

    /// Whether a lease renewal may carry a deadline and so extend the worker's lease. A suspected or
    /// unreachable worker gets none; otherwise its lease would expire later, or never certainly.
    fn may_extend_worker_lease(&self, now: u64) -> bool {
        self.clock.is_known()
            && self.has_leader_lease(now)
            && self.reachability.is_reachable()
            && !self.suspected
    }

    /// Whether a lease renewal may carry a deadline but the last one did not.
    fn lacks_deadline(&self, now: u64) -> bool {
        self.may_extend_worker_lease(now) && !self.lease_renewals.carried_deadline()
    }

    /// When a hedged lease renewal is due beside the newest one in flight, in nanoseconds of the steady
    /// clock; `None` if none may be sent. Lease renewals that failed or were answered in the meantime keep
    /// their usual pace.
    fn hedged_lease_renewal_due(&self, newest: &InFlightCall, now: u64) -> Option<u64> {
        if !self.options.hedged_lease_renewals
            || self.calls.lease_renewals().count() >= MAX_LEASE_RENEWALS_IN_FLIGHT
            || self.is_idle()
        {
            return None;
        }
        let overdue = self.missing_at(newest.expected_by(self.answer_timeout()), now);
        let overdue = overdue.max(self.lease_renewals.next_paced());
        let earliest = match self.status_query_needed() {
            _ if self.lacks_deadline(now) => 0,
            Some(conclusive_from) if newest.id < conclusive_from => {
                self.lease_renewals.after_spacing(self.status_query_spacing).min(overdue)
            }
            _ => overdue,
        };
        Some(earliest.max(self.lease_renewals.not_before()))
    }

    /// When the newest lease renewal in flight is overdue; `None` if another one may not be sent beside it.
    pub(super) fn lease_renewal_overdue(&self) -> Option<ResponseTime> {
        let may_hedge = self.options.hedged_lease_renewals && !self.is_idle();
        let newest = self.calls.lease_renewals().next_back().filter(|_| may_hedge)?;
        Some(newest.expected_by(self.answer_timeout()))
    }

    /// Whether the session sends status queries beyond the usual pace, because it is uncertain whether an
    /// attempt runs on the worker.
    pub fn needs_status_queries(&self) -> bool {
        self.status == SessionStatus::Active && self.status_query_needed().is_some()
    }

    /// How long the worker may wait for an end before it answers, in milliseconds; 0 if the answer itself
    /// is needed.
    fn lease_renewal_wait_ms(&self, now: u64) -> u64 {
        let in_flight = self.calls.lease_renewals().next().is_some();
        let answer_wanted = !self.clock_is_fresh(now) || self.status_query_needed().is_some();
        if in_flight || answer_wanted || self.attempts.is_empty() || !self.reachability.is_reachable() {
            return 0;
        }
        let part = self.worker_lease_ms / WORKER_LEASE_DIVISOR;
        self.options.long_poll_wait_ms.min(MAX_WAIT_MS).min(part)
    }

    /// Number of the first call whose lists settle all that is uncertain; `None` if nothing is.
    fn status_query_needed(&self) -> Option<u64> {
        self.attempts.needing_calls().filter_map(|(_, attempt)| attempt.status_query_needed()).max()
    }
}
