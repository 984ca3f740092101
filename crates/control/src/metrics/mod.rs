//! Counters of this process since its start, and their text format.
//!
//! Counting costs a few additions per applied command; the text is written on request.

pub mod histogram;
pub mod text;
pub mod turns;

use histogram::Histogram;
use messages::job::{EndKind, JobPhase, Resolution};
use scheduler::leader::WorkerEvent;
use scheduler::state::{AttemptOutcome, StateChange};
use std::collections::{HashMap, VecDeque};
use text::MetricsText;
use turns::Turns;

/// Outcomes of attempts, as values of the metric's label.
const OUTCOMES: [&str; 12] = [
    "unknown",
    "done",
    "failed",
    "stopped",
    "lapsed",
    "broken",
    "alone",
    "rejected_room",
    "rejected",
    "never_ran",
    "hold_lapsed",
    "life_over",
];

/// A change of this process's leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Leadership {
    /// It became the leader.
    Gained,
    /// It stepped down.
    Lost,
}

/// Counters since the start of the process. The counters of jobs and attempts cover the log as applied by
/// this process.
#[derive(Debug, Default)]
pub struct Metrics {
    leader_changes: u64,
    membership_changes: u64,
    terms_led: u64,
    snapshots: u64,
    configurations: u64,
    jobs_accepted: u64,
    jobs_ended: [u64; 3],
    attempts_started: u64,
    attempts_finished: [u64; OUTCOMES.len()],
    task_failures: u64,
    workers_ejected: u64,
    workers_reinstated: u64,
    workers_timed_out: u64,
    workers_lost: u64,
    commit_latency: Histogram,
    start_latency: Histogram,
    /// Proposal times of this leader's batches that are not applied yet.
    proposed_at: VecDeque<u64>,
    /// Acceptance times by job, for jobs that this leader accepted and that have not started.
    accepted_at: HashMap<u64, u64>,
    /// Turns of the driver.
    pub turns: Turns,
}

impl Metrics {
    /// Counts a change of the known leader, possibly to none.
    pub fn leader_changed(&mut self) {
        self.leader_changes += 1;
    }

    /// Counts a change of the membership.
    pub fn membership_changed(&mut self) {
        self.membership_changes += 1;
    }

    /// Counts a durable snapshot.
    pub fn snapshot_taken(&mut self) {
        self.snapshots += 1;
    }

    /// Records that this process became the leader or stepped down. Latencies of batches and jobs in flight
    /// are not measured.
    pub fn leadership_changed(&mut self, role: Leadership) {
        self.terms_led += u64::from(role == Leadership::Gained);
        self.proposed_at.clear();
        self.accepted_at.clear();
    }

    /// Records that the local leader proposed a batch.
    pub fn proposed(&mut self, now: u64) {
        self.proposed_at.push_back(now);
    }

    /// Records that the last proposed batch was not accepted into the log.
    pub fn proposal_dropped(&mut self) {
        self.proposed_at.pop_back();
    }

    /// Counts the changes made by an applied batch. `is_leader`: whether this process leads.
    /// `starts_at_once`: whether a job is not scheduled for a later time.
    pub fn applied(
        &mut self,
        now: u64,
        changes: &[StateChange],
        is_leader: bool,
        starts_at_once: impl Fn(u64) -> bool,
    ) {
        if let Some(proposed_at) = self.proposed_at.pop_front() {
            self.commit_latency.observe(now.saturating_sub(proposed_at));
        }
        for change in changes {
            match change {
                StateChange::ConfigurationAccepted { .. } => self.configurations += 1,
                StateChange::JobAccepted { job } => {
                    self.jobs_accepted += 1;
                    if is_leader && starts_at_once(*job) {
                        self.accepted_at.insert(*job, now);
                    }
                }
                StateChange::JobEnded { job, phase } => {
                    self.accepted_at.remove(job);
                    self.job_ended(*phase);
                }
                StateChange::TaskFailed { .. } => self.task_failures += 1,
                StateChange::AttemptStarted { key, .. } => {
                    self.attempts_started += 1;
                    if let Some(accepted_at) = self.accepted_at.remove(&key.task.job) {
                        self.start_latency.observe(now.saturating_sub(accepted_at));
                    }
                }
                StateChange::AttemptFinished { outcome, .. } => {
                    self.attempts_finished[outcome_index(*outcome)] += 1;
                }
                _ => {}
            }
        }
    }

    fn job_ended(&mut self, phase: JobPhase) {
        match phase {
            JobPhase::OPEN => {}
            JobPhase::COMPLETED => self.jobs_ended[0] += 1,
            JobPhase::JOB_FAILED => self.jobs_ended[1] += 1,
            JobPhase::CANCELLED => self.jobs_ended[2] += 1,
        }
    }

    /// Counts a decision or observation of the local leader about a worker.
    pub fn worker_event(&mut self, event: &WorkerEvent) {
        match event {
            WorkerEvent::Ejected { .. } => self.workers_ejected += 1,
            WorkerEvent::Reinstated { .. } => self.workers_reinstated += 1,
            WorkerEvent::TimedOut { .. } => self.workers_timed_out += 1,
            WorkerEvent::Lost { .. } => self.workers_lost += 1,
            WorkerEvent::Recovered { .. }
            | WorkerEvent::GangMemberTimedOut { .. }
            | WorkerEvent::ListingsExpired { .. }
            | WorkerEvent::Fenced { .. } => {}
        }
    }

    /// Appends all counters to `text`.
    pub fn write(&self, text: &mut MetricsText) {
        text.counter("leader_changes", "Changes of the known leader, to none included.", self.leader_changes);
        text.counter("membership_changes", "Changes of the members.", self.membership_changes);
        text.counter("terms_led", "Terms in which this process led.", self.terms_led);
        text.counter("snapshots", "Snapshots that became durable.", self.snapshots);
        text.counter("configurations", "Configurations that were taken.", self.configurations);
        text.counter("jobs_accepted", "Jobs that were accepted.", self.jobs_accepted);
        let [completed, failed, cancelled] = self.jobs_ended;
        let ended = [("completed", completed), ("failed", failed), ("cancelled", cancelled)];
        text.counters("jobs_ended", "Jobs that ended.", "how", ended);
        text.counter("attempts_started", "Attempts whose start was decided.", self.attempts_started);
        let finished = OUTCOMES.into_iter().zip(self.attempts_finished);
        text.counters("attempts_over", "Attempts that no longer occupy a worker.", "how", finished);
        text.counter("task_failures", "Failed runs that count against their jobs.", self.task_failures);
        text.counter("workers_convicted", "Convictions of workers.", self.workers_ejected);
        text.counter("workers_released", "Convicted workers that proved sound.", self.workers_reinstated);
        text.counter("workers_silent", "Workers that stopped answering.", self.workers_timed_out);
        text.counter("workers_lost", "Lives of workers that were found to be over.", self.workers_lost);
        let commit = "Time from a proposal of this leader to its application.";
        text.histogram("commit_latency_seconds", commit, &self.commit_latency);
        let start = "Time from the acceptance of a job to the decision on its first start.";
        text.histogram("accept_to_start_seconds", start, &self.start_latency);
        self.turns.write(text);
    }
}

/// Index of an outcome in `OUTCOMES`.
fn outcome_index(outcome: AttemptOutcome) -> usize {
    match outcome {
        AttemptOutcome::Ended(EndKind::DONE) => 1,
        AttemptOutcome::Ended(EndKind::FAILED) => 2,
        AttemptOutcome::Ended(EndKind::STOPPED) => 3,
        AttemptOutcome::Ended(EndKind::LAPSED) => 4,
        AttemptOutcome::Ended(EndKind::BROKEN) => 5,
        AttemptOutcome::Ended(EndKind::ALONE) => 6,
        AttemptOutcome::Resolved(Resolution::REJECTED_NO_CAPACITY) => 7,
        AttemptOutcome::Resolved(Resolution::REJECTED) => 8,
        AttemptOutcome::Resolved(Resolution::NEVER_RAN) => 9,
        AttemptOutcome::Resolved(Resolution::LEASE_EXPIRED) => 10,
        AttemptOutcome::Resolved(Resolution::INCARNATION_ENDED) => 11,
        AttemptOutcome::Ended(EndKind::END_UNKNOWN)
        | AttemptOutcome::Resolved(Resolution::RESOLUTION_UNKNOWN) => 0,
    }
}
