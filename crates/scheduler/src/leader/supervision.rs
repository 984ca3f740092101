//! Running attempts: those on a worker that is about to end, those that stand still, and how ends speak of workers.

use std::collections::BTreeSet;

use messages::job::{EndKind, WorkerEnd};

use crate::ids::{AttemptKey, TaskKey};
use crate::placement::WorkerKey;
use crate::state::State;

use super::attempts::Attempt;
use super::mechanisms::Mechanism;
use super::timers::Timer;
use super::worker_entry::WorkerEntry;
use super::{Leader, Notice, NANOS_PER_MS};

/// Time between two looks at the running attempts, in nanoseconds.
const INTERVAL: u64 = 200 * NANOS_PER_MS;
/// How much longer than predicted a run may take, as a factor, to be left on a worker that is draining.
const PREDICTION_SLACK: f64 = 1.25;
/// Time that a stop and its end take beside `stop_ms`, in milliseconds.
const EVACUATION_MS: u64 = 300;
/// How long before the end of its patience a gang's member is stopped, in milliseconds.
const GANG_MARGIN_MS: u64 = 1_200;
/// Least time without progress before an attempt stands still, in milliseconds.
const STALL_MS: u64 = 3_000;
/// The same as a share of the client's guess.
const STALL_SHARE: f64 = 0.5;
/// Least time without progress before the lists of a worker that answers show that an attempt of its own stands
/// still, in milliseconds: about two lists after the last that showed progress.
const QUICK_STALL_MS: u64 = 700;
/// The same as a share of the client's guess: slow workers, too, get one part in a hundred further in that time.
const QUICK_STALL_SHARE: f64 = 0.2;
/// A copy of a task that may have one is started when its run takes so many times the client's guess.
const LATE_FACTOR: u64 = 2;
/// And at least so much longer, in milliseconds.
const LATE_MS: u64 = 1_000;

/// What is to be done about an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Remedy {
    /// Its worker ends before it would.
    Evacuate,
    /// Not all members of its gang have come, and it would soon end for that.
    Regroup,
    /// It stands still.
    Move,
    /// It is slow, or nothing is heard of it, and copies are allowed.
    Copy,
}

impl Leader {
    /// Sets the timer of the next look, if there is anything to look after.
    pub(super) fn arm_supervision(&mut self) {
        self.timers.set_no_later(self.now + INTERVAL, Timer::Supervise);
    }

    pub(super) fn supervise(&mut self, state: &State) {
        if self.attempts.is_empty() {
            return;
        }
        self.arm_supervision();
        let draining = self.draining_workers();
        let remedies: Vec<(AttemptKey, Remedy)> = self
            .attempts
            .iter()
            .filter_map(|(key, attempt)| Some((*key, self.remedy(*key, attempt, &draining)?)))
            .collect();
        for (key, remedy) in remedies {
            match remedy {
                Remedy::Evacuate | Remedy::Regroup => self.stop_attempt(key),
                Remedy::Move => self.move_stalled(state, key),
                Remedy::Copy => self.start_copy(state, key),
            }
        }
    }

    /// Workers that are about to end: few, so that most attempts need no look at theirs.
    fn draining_workers(&self) -> BTreeSet<WorkerKey> {
        let is_draining =
            |entry: &WorkerEntry| entry.listing.as_ref().is_some_and(|listing| listing.draining);
        self.workers.iter().filter(|(_, entry)| is_draining(entry)).map(|(key, _)| *key).collect()
    }

    fn remedy(&self, key: AttemptKey, attempt: &Attempt, draining: &BTreeSet<WorkerKey>) -> Option<Remedy> {
        if attempt.stopping || !attempt.committed {
            return None;
        }
        if self.uses(Mechanism::Evacuation)
            && draining.contains(&attempt.worker)
            && self.outlives_worker(attempt)
        {
            return Some(Remedy::Evacuate);
        }
        let copies = self.uses(Mechanism::Copies) && attempt.speculative && !attempt.gang;
        let may_have_copy = copies && self.is_only_attempt(key.task);
        let answers = |entry: &WorkerEntry| entry.reachable && !entry.suspect;
        if may_have_copy && !self.workers.get(&attempt.worker).is_some_and(answers) {
            return Some(Remedy::Copy);
        }
        let started_at = attempt.started_at?;
        if self.waits_in_vain(key, attempt, started_at) {
            return Some(Remedy::Regroup);
        }
        if attempt.lasting {
            return None;
        }
        if self.uses(Mechanism::StallMoves) && self.is_stalled(attempt) {
            return Some(Remedy::Move);
        }
        if !may_have_copy {
            return None;
        }
        let elapsed_ms = self.now.saturating_sub(started_at) / NANOS_PER_MS;
        let late = elapsed_ms > (attempt.estimate_ms * LATE_FACTOR).max(attempt.estimate_ms + LATE_MS);
        let worth = attempt.left_ms(self.now) > attempt.estimate_ms / 2 || attempt.percent == 0;
        (late && worth).then_some(Remedy::Copy)
    }

    /// Whether a gang's member has waited so long for others that it is better stopped than left alone.
    fn waits_in_vain(&self, key: AttemptKey, attempt: &Attempt, started_at: u64) -> bool {
        let patience = self.settings.gang_ms.saturating_sub(GANG_MARGIN_MS) * NANOS_PER_MS;
        if !attempt.gang || attempt.percent > 0 || self.now.saturating_sub(started_at) < patience {
            return false;
        }
        let mut members = self.attempts.of_step(key.task.step_key());
        members.any(|(member, other)| member.attempt == key.attempt && other.started_at.is_none())
    }

    /// Whether the attempt would not end before its draining worker does.
    fn outlives_worker(&self, attempt: &Attempt) -> bool {
        let Some(entry) = self.workers.get(&attempt.worker) else { return false };
        let Some(listing) = entry.listing.as_ref().filter(|listing| listing.draining) else { return false };
        let Some(ends_at) = listing.ends_at else { return false };
        let remaining_ms = ends_at.saturating_sub(self.now) / NANOS_PER_MS;
        if attempt.lasting {
            return true;
        }
        let left_ms = attempt.left_ms(self.now) as f64 * PREDICTION_SLACK;
        left_ms as u64 + EVACUATION_MS > remaining_ms
    }

    /// Whether the attempt has not got further for long, though its worker answers and others do get further.
    fn is_stalled(&self, attempt: &Attempt) -> bool {
        let Some(entry) = self.workers.get(&attempt.worker).filter(|entry| entry.reachable) else {
            return false;
        };
        if !self.services[attempt.service].saw_progress {
            return false;
        }
        let still_for = |until: u64| until.saturating_sub(attempt.progress_at) / NANOS_PER_MS;
        if !attempt.gang && self.uses(Mechanism::QuickStalls) {
            let share_ms = (attempt.estimate_ms as f64 * QUICK_STALL_SHARE) as u64;
            return still_for(entry.session.listed_at()) > share_ms.max(QUICK_STALL_MS);
        }
        let share_ms = (attempt.estimate_ms as f64 * STALL_SHARE) as u64;
        let gang_ms = if attempt.gang { self.settings.gang_ms + STALL_MS } else { 0 };
        still_for(self.now) > STALL_MS.max(share_ms) + gang_ms
    }

    /// Stops an attempt that stands still, so that it is started elsewhere, or starts a copy first.
    fn move_stalled(&mut self, state: &State, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(&key) else { return };
        let (worker, placed_at) = (attempt.worker, attempt.placed_at);
        let copies = self.uses(Mechanism::Copies) && attempt.speculative && !attempt.gang;
        self.avoid(key.task, worker);
        self.bad_end(worker, key.task.job, placed_at);
        if copies {
            self.start_copy(state, key);
        }
        self.stop_attempt(key);
    }

    /// Starts a second attempt of a task on another worker, if there is room.
    fn start_copy(&mut self, state: &State, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(&key) else { return };
        let (worker, service) = (attempt.worker, attempt.service);
        self.avoid(key.task, worker);
        if self.is_only_attempt(key.task) {
            self.start_task(state, service, key.task);
        }
    }

    fn is_only_attempt(&self, task: TaskKey) -> bool {
        self.attempts.of_task(task).count() == 1
    }

    /// What an end tells of its worker.
    pub(super) fn judge_end(&mut self, _state: &State, worker: WorkerKey, end: &WorkerEnd) {
        let Some(task) = end.task.as_ref().map(TaskKey::from) else { return };
        match end.kind {
            EndKind::DONE => self.good_end(worker, AttemptKey { task, attempt: end.attempt }),
            EndKind::FAILED if end.counted => {
                self.avoid(task, worker);
                let key = AttemptKey { task, attempt: end.attempt };
                let placed_at = self.attempts.get(&key).map_or(self.now, |attempt| attempt.placed_at);
                self.bad_end(worker, task.job, placed_at);
            }
            _ => {}
        }
    }

    fn good_end(&mut self, worker: WorkerKey, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(&key) else { return };
        let Some(started_at) = attempt.started_at else { return };
        if attempt.gang || attempt.lasting || !attempt.fresh || attempt.estimate_ms == 0 {
            return;
        }
        let elapsed_ms = (self.now.saturating_sub(started_at) / NANOS_PER_MS).max(1);
        let pace = (attempt.estimate_ms as f64 / elapsed_ms as f64).min(MAX_PACE);
        self.peers[attempt.service].ended(Some(pace));
        if let Some(entry) = self.workers.get_mut(&worker) {
            let was_on_probation = entry.verdict.is_on_probation();
            entry.verdict.good_end(pace);
            if was_on_probation {
                self.notices.push(Notice::WorkerReleased { instance: entry.instance.clone() });
            }
        }
        self.tell_placement(worker);
    }

    fn bad_end(&mut self, worker: WorkerKey, job: u64, placed_at: u64) {
        let now = self.now;
        let convicts = self.uses(Mechanism::Conviction);
        let Some(entry) = self.workers.get_mut(&worker) else { return };
        let peers = &mut self.peers[entry.service];
        let peers_bad = peers.bad.value();
        peers.ended(None);
        let rested_until = entry.verdict.rests_until();
        if convicts {
            entry.verdict.bad_end(job, placed_at, peers_bad, now);
        }
        if entry.verdict.rests_until() != rested_until {
            let rest_ms = entry.verdict.rests_until().saturating_sub(now) / NANOS_PER_MS;
            self.notices.push(Notice::WorkerConvicted { instance: entry.instance.clone(), rest_ms });
        }
        self.reconsider_worker(worker);
    }
}

/// A pace above this tells only of a poor guess.
const MAX_PACE: f64 = 4.0;
