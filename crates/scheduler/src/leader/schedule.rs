//! The occurrences of scheduled jobs: the next one of each job, and the open ones.
//!
//! An occurrence is open from the time at which its steps are queued until all of its tasks are done. A job may
//! have 100,000 occurrences that are due, each with thousands of tasks. What is queued is therefore bounded: per
//! job, and over all jobs together. An occurrence beyond the bounds is held until others are done. Each job may
//! always have one open occurrence, whose tasks were counted when the job was accepted.

use std::collections::{BTreeSet, HashMap};

use messages::job::Stage;

/// Size of a queued step apart from its tasks, in tasks.
const STEP_SIZE: u64 = 8;
/// Maximum size of the open occurrences of a job that has several.
const MAX_OPEN_SIZE_OF_JOB: u64 = 32_000;
/// Maximum size of all open occurrences except the first one of each job.
const MAX_FURTHER_SIZE: u64 = 128_000;

/// An occurrence of a job and its due time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DueTime {
    /// Time of day in milliseconds since 1970.
    pub(super) due_ms: u64,
    pub(super) job: u64,
    /// Index of the occurrence among the job's repeats, counted from 0.
    pub(super) time: u32,
}

/// The decision on the occurrence that is due first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DueDecision {
    /// The occurrence is open from now on: its steps must be queued, and the job's next one scheduled.
    Open(DueTime),
    /// The occurrence is held until others are done.
    Held,
}

/// Where the next occurrence of a job waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextOccurrence {
    /// There is none.
    Nothing,
    /// It waits for its due time or for its turn.
    Scheduled(DueTime),
    /// It is due, and waits until an open occurrence of the job is done.
    HeldByJob(DueTime),
    /// It is due, and waits until the open occurrences of all jobs together are smaller.
    HeldByTotal(DueTime),
}

/// A scheduled job.
#[derive(Debug)]
struct ScheduledJob {
    /// Size of one occurrence.
    size: u64,
    /// Indices of the open occurrences.
    open: BTreeSet<u32>,
    next: NextOccurrence,
}

/// All open scheduled jobs.
#[derive(Debug, Default)]
pub(super) struct Schedule {
    jobs: HashMap<u64, ScheduledJob>,
    /// The next occurrence of each job of which it is `Scheduled`.
    by_due_time: BTreeSet<DueTime>,
    /// The next occurrence of each job of which it is `HeldByTotal`.
    held_by_total: BTreeSet<DueTime>,
    /// Size of all open occurrences except the first one of each job.
    further_size: u64,
}

/// Returns the size of an occurrence with these steps: what its queued steps and tasks take.
pub(super) fn occurrence_size(stages: &[Stage]) -> u64 {
    stages.iter().map(|stage| STEP_SIZE + u64::from(stage.count)).sum()
}

impl ScheduledJob {
    fn new(size: u64) -> Self {
        Self { size, open: BTreeSet::new(), next: NextOccurrence::Nothing }
    }

    /// Size of the open occurrences except the first one.
    fn further_size(&self) -> u64 {
        self.size * (self.open.len() as u64).saturating_sub(1)
    }

    /// Whether one more occurrence may be open as far as the job itself is concerned.
    fn may_open_another(&self) -> bool {
        self.open.is_empty() || self.size * (self.open.len() as u64 + 1) <= MAX_OPEN_SIZE_OF_JOB
    }
}

impl Schedule {
    /// Sets the next occurrence of a job. `size` is the size of each of its occurrences.
    pub(super) fn set_next(&mut self, next: DueTime, size: u64) {
        self.withdraw_next(next.job);
        let job = self.jobs.entry(next.job).or_insert_with(|| ScheduledJob::new(size));
        job.next = NextOccurrence::Scheduled(next);
        self.by_due_time.insert(next);
    }

    /// Returns the due time of the occurrence that is next by time, in milliseconds since 1970.
    pub(super) fn next_due_ms(&self) -> Option<u64> {
        self.by_due_time.first().map(|next| next.due_ms)
    }

    /// Decides on the occurrence whose turn is next: one that is due at `now_ms`, or one that was held and now
    /// keeps within the bounds. Returns `None` if there is no such occurrence.
    pub(super) fn decide_next(&mut self, now_ms: u64) -> Option<DueDecision> {
        let due = self.by_due_time.first().copied().filter(|next| next.due_ms <= now_ms);
        if let Some(due) = due {
            self.by_due_time.remove(&due);
            return Some(self.decide(due));
        }
        let held = self.held_by_total.first().copied()?;
        let size = self.jobs.get(&held.job).map_or(0, |job| job.size);
        if self.further_size + size > MAX_FURTHER_SIZE {
            return None;
        }
        self.held_by_total.remove(&held);
        Some(self.decide(held))
    }

    fn decide(&mut self, due: DueTime) -> DueDecision {
        let Some(job) = self.jobs.get_mut(&due.job) else { return DueDecision::Held };
        if !job.may_open_another() {
            job.next = NextOccurrence::HeldByJob(due);
            return DueDecision::Held;
        }
        if !job.open.is_empty() && self.further_size + job.size > MAX_FURTHER_SIZE {
            job.next = NextOccurrence::HeldByTotal(due);
            self.held_by_total.insert(due);
            return DueDecision::Held;
        }
        let former_size = job.further_size();
        job.next = NextOccurrence::Nothing;
        job.open.insert(due.time);
        self.further_size += job.further_size() - former_size;
        DueDecision::Open(due)
    }

    /// Records that an occurrence is done. Returns whether one that was held may have its turn now.
    pub(super) fn occurrence_done(&mut self, job: u64, time: u32) -> bool {
        let Some(scheduled) = self.jobs.get_mut(&job) else { return false };
        let former_size = scheduled.further_size();
        if !scheduled.open.remove(&time) {
            return false;
        }
        self.further_size -= former_size - scheduled.further_size();
        match scheduled.next {
            NextOccurrence::HeldByJob(next) => {
                scheduled.next = NextOccurrence::Scheduled(next);
                self.by_due_time.insert(next);
                return true;
            }
            NextOccurrence::HeldByTotal(next) if scheduled.open.is_empty() => {
                scheduled.next = NextOccurrence::Scheduled(next);
                self.held_by_total.remove(&next);
                self.by_due_time.insert(next);
                return true;
            }
            _ => {}
        }
        !self.held_by_total.is_empty()
    }

    /// Removes a job that has ended. Returns whether an occurrence that was held may have its turn now.
    pub(super) fn remove_job(&mut self, job: u64) -> bool {
        self.withdraw_next(job);
        let Some(scheduled) = self.jobs.remove(&job) else { return false };
        self.further_size -= scheduled.further_size();
        !self.held_by_total.is_empty()
    }

    /// Returns whether an occurrence is held although it is due, or comes after one that is.
    pub(super) fn is_held(&self, job: u64, time: u32) -> bool {
        self.jobs.get(&job).is_some_and(|scheduled| match scheduled.next {
            NextOccurrence::HeldByJob(next) | NextOccurrence::HeldByTotal(next) => time >= next.time,
            NextOccurrence::Nothing | NextOccurrence::Scheduled(_) => false,
        })
    }

    fn withdraw_next(&mut self, job: u64) {
        let Some(scheduled) = self.jobs.get_mut(&job) else { return };
        match std::mem::replace(&mut scheduled.next, NextOccurrence::Nothing) {
            NextOccurrence::Scheduled(next) => self.by_due_time.remove(&next),
            NextOccurrence::HeldByTotal(next) => self.held_by_total.remove(&next),
            NextOccurrence::HeldByJob(_) | NextOccurrence::Nothing => false,
        };
    }
}
