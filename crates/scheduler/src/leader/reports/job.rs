//! Report of one job.

use std::collections::BTreeMap;

use admin::{
    AttemptPhase, AttemptReport, JobReport, Obstacle, ObstacleCount, PastAttempt, StepReport, Waiting,
};
use messages::job::{EndKind, Resolution, Stage};

use crate::ids::{AttemptKey, StepKey, TaskKey};
use crate::leader::attempts::Attempt;
use crate::leader::demand::demand_of;
use crate::leader::event_loop::Leader;
use crate::leader::history::FinishedAttempt;
use crate::placement::PlacementObstacle;
use crate::state::{AttemptOutcome, State, Work};
use crate::time::NANOS_PER_MS;

/// Maximum number of reported steps. A job may have 100,000 occurrences.
const MAX_STEPS: usize = 200;
/// Maximum number of reported attempts of a job.
const MAX_ATTEMPTS: usize = 1_000;

impl Leader {
    /// Returns the report of a job, or `None` if the job is not known.
    pub fn job_report(&self, state: &State, id: u64, now: u64) -> Option<JobReport> {
        let job = state.job(id)?;
        let work = job.work();
        let submit = work.map(Work::submit);
        let past_attempts = self.history.of_job(id).map(|attempt| past_report(attempt, now));
        Some(JobReport {
            id: configuration::job_id::format(id),
            state: self.state_text(id, job).to_owned(),
            queue: job.prefix_key().to_owned(),
            service: submit.map_or_else(String::new, |submit| submit.service.clone()),
            priority: submit.map_or(0, |submit| submit.priority),
            max_retries: submit.map_or(0, |submit| submit.max_retries),
            accepted_at_ms: submit.map_or(0, |submit| submit.accepted_at_ms),
            ended_at_ms: job.ended_at_ms(),
            steps: job.open_work().map_or_else(Vec::new, |work| self.step_reports(state, id, work)),
            attempts: self.attempt_reports(id, now),
            past_attempts: past_attempts.collect(),
        })
    }

    fn step_reports(&self, state: &State, job: u64, work: &Work) -> Vec<StepReport> {
        let mut reports = Vec::new();
        let mut time = work.next_open_repeat(0);
        while time < work.repeat_count() && reports.len() < MAX_STEPS {
            for (step, stage) in work.stages().iter().enumerate() {
                let key = StepKey { job, time, step: step as u32 };
                reports.push(self.step_report(state, work, stage, key));
            }
            if self.is_not_due(state, work, time) {
                break;
            }
            time = work.next_open_repeat(time + 1);
        }
        reports
    }

    fn step_report(&self, state: &State, work: &Work, stage: &Stage, key: StepKey) -> StepReport {
        StepReport {
            time: key.time,
            step: key.step,
            count: stage.count,
            done: work.done_in_step(key),
            active: work.active_in_step(key) as u32,
            failures: work.failures_in_step(key),
            waiting: self.waiting_of(state, work, stage, key),
        }
    }

    /// Returns whether an occurrence of a scheduled job is not yet due.
    fn is_not_due(&self, state: &State, work: &Work, time: u32) -> bool {
        if !work.is_scheduled() {
            return false;
        }
        let now_ms =
            if self.clock.is_known() { self.clock.time_of_day_ms(self.now) } else { state.clock_ms() };
        work.due_ms(time) > now_ms
    }

    fn waiting_of(&self, state: &State, work: &Work, stage: &Stage, key: StepKey) -> Waiting {
        if work.done_in_step(key) >= stage.count {
            return Waiting::Done;
        }
        if self.is_not_due(state, work, key.time) {
            return Waiting::DueTime { at_ms: work.due_ms(key.time) };
        }
        if self.schedule.is_held(key.job, key.time) && work.active_in_step(key) == 0 {
            return Waiting::Occurrences;
        }
        if !work.is_step_ready(key) {
            let open = |step: &&u32| {
                let earlier = StepKey { step: **step, ..key };
                work.done_in_step(earlier) < work.stage(**step).map_or(u32::MAX, |stage| stage.count)
            };
            return Waiting::Steps { steps: stage.depends_on.iter().filter(open).copied().collect() };
        }
        let position = self.service_positions.get(work.submit().service.as_str());
        let ready = position.and_then(|position| self.services[*position].ready(key));
        match (position, ready) {
            (Some(position), Some(ready)) => Waiting::Worker {
                tasks: ready.tasks.len() as u32,
                obstacles: self.count_obstacles(*position, stage, key),
            },
            _ => Waiting::Attempts,
        }
    }

    /// Counts the workers of the service by the obstacle that prevents a start there.
    fn count_obstacles(&self, position: usize, stage: &Stage, key: StepKey) -> Vec<ObstacleCount> {
        let demand = demand_of(key, stage, &[]);
        let mut counts: BTreeMap<Obstacle, ObstacleCount> = BTreeMap::new();
        for (worker, entry) in self.workers.iter().filter(|(_, entry)| entry.service == position) {
            let obstacle = match self.services[position].fleet.obstacle(&demand, *worker) {
                Some(PlacementObstacle::NotUsable) => Obstacle::NotUsable,
                Some(PlacementObstacle::LacksLabel) => {
                    Obstacle::LacksLabel { label: stage.constraint.clone() }
                }
                Some(PlacementObstacle::TooSmall) => Obstacle::TooSmall,
                Some(PlacementObstacle::NoCapacity) => Obstacle::NoCapacity,
                Some(PlacementObstacle::AntiAffinity) => Obstacle::AntiAffinity,
                None => Obstacle::None,
            };
            let count = counts.entry(obstacle.clone()).or_insert_with(|| ObstacleCount {
                obstacle,
                workers: 0,
                example: entry.instance.to_string(),
            });
            count.workers += 1;
        }
        counts.into_values().collect()
    }

    fn attempt_reports(&self, job: u64, now: u64) -> Vec<AttemptReport> {
        let first = AttemptKey { task: TaskKey { job, time: 0, step: 0, index: 0 }, attempt: 0 };
        let of_job = self.attempts.starting_at(first).take_while(|(key, _)| key.task.job == job);
        of_job.take(MAX_ATTEMPTS).map(|(key, attempt)| self.attempt_report(*key, attempt, now)).collect()
    }

    fn attempt_report(&self, key: AttemptKey, attempt: &Attempt, now: u64) -> AttemptReport {
        let address = self.workers.get(&attempt.worker).map(|entry| entry.incarnation().address.clone());
        let avoided = self.failed_on.get(&key.task).map_or(&[][..], Vec::as_slice);
        AttemptReport {
            task: key.task.to_string(),
            attempt: key.attempt,
            instance: self.instance_name(attempt.worker),
            address: address.unwrap_or_default(),
            phase: phase_of(attempt),
            running_for_ms: attempt.started_at.map(|at| ms_between(at, now)),
            percent: attempt.percent,
            quiet_for_ms: ms_between(attempt.progress_at, now),
            saved: !attempt.checkpoint.is_empty(),
            avoided: avoided.iter().map(|worker| self.instance_name(*worker)).collect(),
        }
    }
}

fn ms_between(from: u64, to: u64) -> u64 {
    to.saturating_sub(from) / NANOS_PER_MS
}

fn phase_of(attempt: &Attempt) -> AttemptPhase {
    if attempt.stopping {
        AttemptPhase::Stopping
    } else if !attempt.committed {
        AttemptPhase::Proposed
    } else if attempt.started_at.is_none() {
        AttemptPhase::Ordered
    } else {
        AttemptPhase::Running
    }
}

fn past_report(attempt: &FinishedAttempt, now: u64) -> PastAttempt {
    PastAttempt {
        task: attempt.key.task.to_string(),
        attempt: attempt.key.attempt,
        instance: attempt.instance.to_string(),
        how: outcome_text(attempt.outcome).to_owned(),
        ended_ago_ms: ms_between(attempt.ended_at, now),
        ran_for_ms: attempt.started_at.map(|at| ms_between(at, attempt.ended_at)),
        percent: attempt.percent,
    }
}

fn outcome_text(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Ended(EndKind::DONE) => "done",
        AttemptOutcome::Ended(EndKind::FAILED) => "failed",
        AttemptOutcome::Ended(EndKind::STOPPED) => "stopped",
        AttemptOutcome::Ended(EndKind::LAPSED) => "its hold lapsed on the worker",
        AttemptOutcome::Ended(EndKind::BROKEN) => "another member of its gang ended",
        AttemptOutcome::Ended(EndKind::ALONE) => "the others of its gang did not come in time",
        AttemptOutcome::Ended(EndKind::END_UNKNOWN) => "ended in a way that this version does not know",
        AttemptOutcome::Resolved(Resolution::REJECTED_NO_CAPACITY) => "the worker had no room",
        AttemptOutcome::Resolved(Resolution::REJECTED) => "the worker did not take it",
        AttemptOutcome::Resolved(Resolution::NEVER_RAN) => "it was stopped before it ran",
        AttemptOutcome::Resolved(Resolution::LEASE_EXPIRED) => {
            "the worker was silent until its hold had surely lapsed"
        }
        AttemptOutcome::Resolved(Resolution::INCARNATION_ENDED) => "the worker crashed or left",
        AttemptOutcome::Resolved(Resolution::RESOLUTION_UNKNOWN) => {
            "resolved in a way that this version does not know"
        }
    }
}
