//! Lease renewals and the lists that answer them: running tasks, ended tasks, and which ends the leader
//! recorded.

use scheduler::worker::{CallOutcome, RunningEntry};

use super::{Fleet, Incarnation};
use crate::history::{History, RunEnd};
use crate::time::ms;

/// Maximum number of ends in one answer.
const MAX_LISTED_ENDS: usize = 500;

impl Incarnation {
    fn has_unrecorded_ends(&self) -> bool {
        !self.finished.is_empty()
    }

    /// Drops ends up to `last_seen`, which the leader has recorded.
    pub(super) fn drop_recorded_ends(&mut self, now: u64, last_seen: u64, history: &mut History) {
        self.last_seen = self.last_seen.max(last_seen);
        while self.finished.front().is_some_and(|finished| finished.end.sequence <= self.last_seen) {
            let Some(finished) = self.finished.pop_front() else { return };
            let lapsed = finished.lease_lapses != self.lease_lapses;
            if let Some(end) = history.runs[finished.position].end.as_mut() {
                record(end, now, lapsed);
            }
        }
    }
}

fn record(end: &mut RunEnd, now: u64, lapsed: bool) {
    if lapsed {
        end.recorded_after_lapse.get_or_insert(now);
    } else {
        end.recorded_at.get_or_insert(now);
    }
}

impl Fleet {
    /// Answers a lease renewal. If there are no ends to list, the call waits as a long poll and `None` is
    /// returned.
    pub(super) fn answer_lease_renewal(
        &mut self,
        position: usize,
        now: u64,
        wait_ms: u64,
        token: u64,
    ) -> Option<CallOutcome> {
        let incarnation = self.workers[position].incarnation.as_mut()?;
        if wait_ms > 0 && !incarnation.has_unrecorded_ends() {
            incarnation.long_polls.push(super::LongPoll { token, until: now + ms(wait_ms) });
            return None;
        }
        self.answer_with_lists(position, now)
    }

    /// Answers long polls whose time is over, or all of them if there are ends to list.
    pub(super) fn answer_long_polls(&mut self, position: usize, now: u64) {
        let Some(incarnation) = self.workers[position].incarnation.as_mut() else { return };
        let all = incarnation.has_unrecorded_ends();
        let due: Vec<u64> = incarnation
            .long_polls
            .iter()
            .filter(|long_poll| all || long_poll.until <= now)
            .map(|long_poll| long_poll.token)
            .collect();
        incarnation.long_polls.retain(|long_poll| !all && long_poll.until > now);
        for token in due {
            if let Some(outcome) = self.answer_with_lists(position, now) {
                self.answered.push((token, outcome));
            }
        }
    }

    /// Number of ends that the worker lists because the leader has not recorded them yet.
    pub fn listed_ends(&self, position: usize) -> usize {
        self.workers[position].incarnation.as_ref().map_or(0, |incarnation| incarnation.finished.len())
    }

    /// Removes the long poll of a caller that no longer waits.
    pub fn drop_long_poll(&mut self, position: usize, token: u64) {
        if let Some(incarnation) = self.workers[position].incarnation.as_mut() {
            incarnation.long_polls.retain(|long_poll| long_poll.token != token);
        }
        self.reschedule(position);
    }

    fn answer_with_lists(&mut self, position: usize, now: u64) -> Option<CallOutcome> {
        let now_ms = self.workers[position].clock_ms(now);
        let save_ms = self.bounds.save_ms as f64;
        let incarnation = self.workers[position].incarnation.as_mut()?;
        let mut running = Vec::with_capacity(incarnation.runs.len());
        let mut issued = Vec::new();
        for (key, run) in &mut incarnation.runs {
            run.update(now);
            let checkpoint = run.checkpoint(key, run.saved_ms(save_ms));
            if !checkpoint.is_empty() {
                issued.push((*key, run.gang.is_some(), checkpoint.clone()));
            }
            running.push(RunningEntry { key: *key, checkpoint, percent: run.percent() });
        }
        let ends = incarnation.finished.iter().take(MAX_LISTED_ENDS);
        let finished = ends.map(|finished| finished.end.clone()).collect();
        for (key, gang, text) in issued {
            self.issue_checkpoint(&key, gang, text);
        }
        Some(CallOutcome::Lists { now_ms, running, finished })
    }
}

impl Incarnation {
    /// Tasks that run here, including those that are being stopped.
    pub fn running_tasks(&self) -> impl Iterator<Item = scheduler::ids::TaskKey> + '_ {
        self.runs.keys().map(|key| key.task)
    }
}
