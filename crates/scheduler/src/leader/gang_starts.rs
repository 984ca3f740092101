//! Starts of gangs. The orders of all members leave together, and a gang that is not complete in time is stopped by its
//! leader before its members end by themselves.
//!
//! A member waits at its worker for the others, and ends once `gang_ms` have passed. So its order is held until every
//! worker of the gang can be sent one at once, and the time for a gang to be complete is counted from when the orders
//! left: answers that come late, or not at all, do not extend it.

use std::collections::BTreeMap;

use crate::ids::AttemptKey;
use crate::placement::WorkerKey;
use crate::time::NANOS_PER_MS;

use super::attempts::Attempt;
use super::event_loop::Leader;
use super::held_gangs::HeldGang;
use super::timers::Timer;

/// How long orders are held until all members can start, in nanoseconds. Afterwards the gang is placed anew.
const MAX_HOLD_NS: u64 = 500 * NANOS_PER_MS;
/// Time between two checks of whether all members can start, in nanoseconds.
const CHECK_INTERVAL_NS: u64 = 5 * NANOS_PER_MS;
/// A gang is given up once this part of `gang_ms` has passed since its orders left: the rest is left for its stops.
const GANG_DEADLINE_DIVISOR: u64 = 2;
/// The same for a gang of an earlier leader, since the takeover: its members may have waited as long as that leader
/// permitted, and through the election.
const ADOPTED_GANG_DEADLINE_DIVISOR: u64 = 5;
/// After this time the lists of a worker show the progress of a member that is at work, in nanoseconds.
const PROGRESS_REPORT_DELAY_NS: u64 = 500 * NANOS_PER_MS;

/// Whether the orders of a gang may leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Readiness {
    Ready,
    /// Some member can't start at this moment.
    NotYet,
    /// A member is gone, or is to be stopped: the gang can't be complete.
    Incomplete,
}

impl Leader {
    /// The intent to start a gang's member is durable: its order is held until those of all members can leave.
    pub(super) fn hold_gang_member(&mut self, key: AttemptKey) {
        self.held_gangs.add(key, self.now);
        self.timers.set_no_later(self.now, Timer::ReleaseGangs);
    }

    /// Lets the orders of those gangs leave whose members can all start, and gives up those that were held too long.
    pub(super) fn release_gangs(&mut self) {
        for gang in self.held_gangs.take() {
            match self.readiness(&gang) {
                Readiness::Ready => self.release_gang(&gang),
                Readiness::NotYet if self.now < gang.held_since + MAX_HOLD_NS => {
                    self.held_gangs.put_back(gang)
                }
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

    /// The worker whose session holds the order of a member that is to run.
    fn worker_holding_start(&self, key: AttemptKey) -> Option<WorkerKey> {
        let attempt = self.attempts.get(&key).filter(|attempt| !attempt.stopping)?;
        let entry = self.workers.get(&attempt.worker)?;
        entry.session.holds_start(key).then_some(attempt.worker)
    }

    fn release_gang(&mut self, gang: &HeldGang) {
        let deadline = self.now + self.settings.gang_ms * NANOS_PER_MS / GANG_DEADLINE_DIVISOR;
        // Each one goes to the front of its worker's queue: the first member last.
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

    /// Gives up a gang of which no order has left.
    fn withdraw_gang(&mut self, gang: &HeldGang) {
        for key in &gang.members {
            self.stop_attempt(*key);
        }
    }

    /// Limits how long an attempt of an earlier leader may wait for the others of its gang.
    pub(super) fn limit_adopted_gang(&mut self, key: AttemptKey) {
        let deadline = self.now + self.settings.gang_ms * NANOS_PER_MS / ADOPTED_GANG_DEADLINE_DIVISOR;
        if let Some(attempt) = self.attempts.get_mut(&key).filter(|attempt| attempt.gang) {
            attempt.gang_deadline = Some(deadline);
        }
    }

    /// Whether the time for the attempt's gang to be complete is over, and the gang is not known to be.
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

    /// Whether a member without progress may be waiting for others. One of an earlier leader may be at work though
    /// nothing was heard of it yet: it has to be listed for a while without progress.
    fn may_wait_for_members(&self, member: &Attempt) -> bool {
        let shows_no_progress = |since: u64| self.now >= since + PROGRESS_REPORT_DELAY_NS;
        !member.adopted || member.started_at.is_some_and(shows_no_progress)
    }
}
