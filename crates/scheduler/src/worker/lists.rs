//! Handling of the two lists in the answer to a lease renewal: running attempts and ends.

use messages::job::{EndKind, Resolution, WorkerEnd};

use crate::ids::{AttemptKey, TaskKey};

use super::attempts::{Attempt, AttemptPhase, StopProgress};
use super::session::WorkerSession;
use super::types::{RunningEntry, SessionOutput};

/// Most ends that a worker lists at once. A list of this length may be incomplete.
const MAX_LISTED_ENDS: usize = 500;

/// Both lists of one answer.
///
/// The worker creates both lists at one moment between the call and its answer. An attempt that was on the
/// worker when the call was sent is therefore in one of them, unless its end was acknowledged or the list
/// of ends is full. Only lists of a call that was sent after an attempt's last event can show that the
/// attempt is absent.
pub(super) struct Lists {
    /// Number of the call that the lists answer.
    pub(super) call: u64,
    pub(super) running: Vec<RunningEntry>,
    pub(super) finished: Vec<WorkerEnd>,
}

impl WorkerSession {
    /// Handles both lists; true if they contain an end that was not reported before.
    pub(super) fn handle_lists(&mut self, lists: Lists, now: u64) -> bool {
        let is_newest = lists.call > self.newest_lists_call;
        self.newest_lists_call = self.newest_lists_call.max(lists.call);
        let may_lack_ends = lists.finished.len() >= MAX_LISTED_ENDS;
        let mut listed: Vec<AttemptKey> = lists.running.iter().map(|entry| entry.key).collect();
        listed.sort_unstable();
        for entry in lists.running {
            self.handle_running(entry, is_newest, now);
        }
        let has_new_ends = self.handle_ends(lists.finished);
        if !may_lack_ends {
            self.record_absent(lists.call, &listed);
        }
        has_new_ends
    }

    fn handle_running(&mut self, entry: RunningEntry, is_newest: bool, now: u64) {
        let conclusive_from = self.calls.next_id();
        let Some(attempt) = self.attempts.get_listed(&entry.key) else {
            if is_newest {
                self.attempts.insert_new(entry.key, Attempt::orphan(conclusive_from));
            }
            return;
        };
        let mut repeats_stop = false;
        if let StopProgress::Answered { repeat_at, .. } = attempt.stop {
            if repeat_at <= now {
                attempt.stop = StopProgress::Idle;
                repeats_stop = true;
            }
        }
        if !matches!(attempt.phase, AttemptPhase::Running { .. }) {
            attempt.phase = AttemptPhase::Running { conclusive_from };
        }
        let has_moved = attempt.checkpoint != entry.checkpoint || attempt.percent != entry.percent;
        let reports_progress = has_moved && is_newest && !attempt.orphan;
        if reports_progress {
            attempt.checkpoint.clone_from(&entry.checkpoint);
            attempt.percent = entry.percent;
        }
        if repeats_stop {
            self.attempts.mark_changed(entry.key);
        }
        self.report_started(entry.key);
        if reports_progress {
            let RunningEntry { key, checkpoint, percent } = entry;
            self.outputs.push(SessionOutput::Progress { key, checkpoint, percent });
        }
    }

    fn handle_ends(&mut self, mut finished: Vec<WorkerEnd>) -> bool {
        finished.sort_unstable_by_key(|end| end.sequence);
        let expired = finished.iter().rev().find(|end| end.kind == EndKind::LAPSED);
        let last_expired = expired.map_or(0, |end| end.sequence);
        let reported_before = self.ends.reported();
        for end in finished {
            if end.sequence > self.ends.reported() {
                self.handle_end(end, last_expired);
            }
        }
        self.ends.reported() > reported_before
    }

    /// Reports an end. The end does not count if the worker's lease has certainly expired since: either an
    /// attempt that ended by lease expiry has a later sequence number, or this attempt was resolved before.
    fn handle_end(&mut self, mut end: WorkerEnd, last_expired: u64) {
        self.ends.report(end.sequence);
        let Some(task) = end.task.as_ref().map(TaskKey::from) else {
            return;
        };
        let key = AttemptKey { task, attempt: end.attempt };
        let was_pending = self.attempts.remove(&key).is_some_and(|attempt| !attempt.orphan);
        let expired_since = end.kind != EndKind::LAPSED && end.sequence < last_expired;
        end.counted = was_pending && !expired_since;
        self.outputs.push(SessionOutput::Ended { end });
    }

    /// Records which attempts the lists of a call lack, and resolves stopped ones among them.
    fn record_absent(&mut self, call: u64, listed: &[AttemptKey]) {
        let mut gone = Vec::new();
        self.attempts.change_each(|key, attempt| {
            if attempt.is_queued() || listed.binary_search(key).is_ok() {
                return false;
            }
            if matches!(
                attempt.stop,
                StopProgress::Answered { conclusive_from, .. } if conclusive_from <= call
            ) {
                gone.push(*key);
                return false;
            }
            match attempt.phase {
                AttemptPhase::Running { conclusive_from }
                | AttemptPhase::Uncertain { conclusive_from, .. }
                    if conclusive_from <= call =>
                {
                    attempt.phase = AttemptPhase::Uncertain { conclusive_from, absent: true };
                    true
                }
                _ => false,
            }
        });
        for key in gone {
            self.resolve(key, Resolution::NEVER_RAN);
        }
    }
}
