//! Starts of gangs. The start orders of all members are sent together, and the leader stops a gang that is
//! not complete in time before its members end by themselves.
//!
//! A member waits on its worker for the other members and ends after `gang_ms`. Therefore the order of a
//! member is held until every worker of the gang can be sent an order immediately. The time limit for a
//! complete gang counts from the moment the orders are sent: late or missing responses do not extend it.

use std::collections::BTreeMap;

use crate::ids::AttemptKey;
use crate::placement::WorkerKey;
use crate::time::NANOS_PER_MS;

use super::attempts::Attempt;
use super::event_loop::Leader;
use super::held_gangs::HeldGang;
use super::timers::Timer;

/// How long orders are held until all members can start. After that the gang is placed again.
const MAX_HOLD_NS: u64 = 500 * NANOS_PER_MS;
/// Time between two checks of whether all members can start.
const CHECK_INTERVAL_NS: u64 = 5 * NANOS_PER_MS;
/// A gang is stopped once `gang_ms` divided by this value has passed since its orders were sent. The
/// remaining time is reserved for stopping its members.
const GANG_DEADLINE_DIVISOR: u64 = 2;
/// The same for a gang of an earlier leader, counted from the takeover. Its members may already have waited
/// as long as that leader allowed, plus the time of the election.
const ADOPTED_GANG_DEADLINE_DIVISOR: u64 = 5;
/// Time after which the status lists of a worker show the progress of a running member.
const PROGRESS_REPORT_DELAY_NS: u64 = 500 * NANOS_PER_MS;

/// Whether the orders of a gang can be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Readiness {
    Ready,
    /// Some member cannot start at this moment.
    NotYet,
    /// A member is gone or is being stopped, so that the gang cannot become complete.
    Incomplete,
}

impl Leader {
    /// Holds the committed start of a gang member until the orders of all members can be sent.
    pub(super) fn hold_gang_member(&mut self, key: AttemptKey) {
        self.held_gangs.add(key, self.now);
        self.timers.set_no_later(self.now, Timer::ReleaseGangs);
    }

    /// Sends the orders of gangs whose members can all start, and withdraws gangs that were held too long.
    pub(super) fn release_gangs(&mut self) {
        for gang in self.held_gangs.take() {
            match self.readiness(&gang) {
                Readiness::Ready => self.release_gang(&gang),
                Readiness::NotYet if self.now < gang.since + MAX_HOLD_NS => self.held_gangs.put_back(gang),
                Readiness::NotYet | Readiness::Incomplete => self.withdraw_gang(&gang),
            }
        }
        if !self.held_gangs.is_empty() {
            self.timers.set_no_later(self.now + CHECK_INTERVAL_NS, Timer::ReleaseGangs);
        }
    }

    fn readiness(&self, gang: &HeldGang) -> Readiness {
        let mut starts_on: BTreeMap<WorkerKey, usize> = BTreeMap::new();
        for key in &gang.members {
            let Some(worker) = self.worker_holding_start(*key) else { return Readiness::Incomplete };
            *starts_on.entry(worker).or_default() += 1;
        }
        let can_start = |(worker, starts): (WorkerKey, usize)| {
            self.workers.get(&worker).is_some_and(|entry| entry.session.can_send_starts(starts, self.now))
        };
        match self.now < self.lease_until && starts_on.into_iter().all(can_start) {
            true => Readiness::Ready,
            false => Readiness::NotYet,
        }
    }

    /// Returns the worker whose session holds the order of a member, or `None` if the member is not to run.
    fn worker_holding_start(&self, key: AttemptKey) -> Option<WorkerKey> {
        let attempt = self.attempts.get(&key).filter(|attempt| !attempt.stopping)?;
        let entry = self.workers.get(&attempt.worker)?;
        entry.session.holds_start(key).then_some(attempt.worker)
    }

    fn release_gang(&mut self, gang: &HeldGang) {
        let deadline = self.now + self.settings.gang_ms * NANOS_PER_MS / GANG_DEADLINE_DIVISOR;
        // Each order goes to the front of its worker's queue, so that the first member is released last.
        for key in gang.members.iter().rev() {
            let Some(attempt) = self.attempts.get_mut(key) else { continue };
            attempt.gang_deadline = Some(deadline);
            let worker = attempt.worker;
            if let Some(entry) = self.workers.get_mut(&worker) {
                entry.session.release_start(*key);
            }
            self.schedule_poll(worker);
        }
    }

    /// Stops the members of a gang of which no order has been sent.
    fn withdraw_gang(&mut self, gang: &HeldGang) {
        for key in &gang.members {
            self.stop_attempt(*key);
        }
    }

    /// Limits how long an attempt of an earlier leader may wait for the other members of its gang.
    pub(super) fn limit_adopted_gang(&mut self, key: AttemptKey) {
        let deadline = self.now + self.settings.gang_ms * NANOS_PER_MS / ADOPTED_GANG_DEADLINE_DIVISOR;
        if let Some(attempt) = self.attempts.get_mut(&key).filter(|attempt| attempt.gang) {
            attempt.gang_deadline = Some(deadline);
        }
    }

    /// Returns whether the deadline of the attempt's gang has passed while the gang is not known to be
    /// complete.
    pub(super) fn is_gang_overdue(&self, key: AttemptKey, attempt: &Attempt) -> bool {
        if attempt.gang_deadline.is_none_or(|deadline| self.now < deadline) || attempt.has_progressed() {
            return false;
        }
        let (mut has_unstarted_members, mut may_wait) = (false, false);
        for (_, member) in self.attempts.of_gang_run(key) {
            if member.has_progressed() {
                return false;
            }
            has_unstarted_members |= member.started_at.is_none();
            may_wait |= self.may_wait_for_members(member);
        }
        has_unstarted_members && may_wait
    }

    /// Returns whether a member without progress may be waiting for other members. A member of an earlier
    /// leader may be running although it has not been reported yet, so that it must have been listed without
    /// progress for a while.
    fn may_wait_for_members(&self, member: &Attempt) -> bool {
        let shows_no_progress = |since: u64| self.now >= since + PROGRESS_REPORT_DELAY_NS;
        !member.adopted || member.started_at.is_some_and(shows_no_progress)
    }
}
