//! Goodput: jobs that end on time count with their full value, late jobs with a part of it, others not at
//! all.

use std::collections::HashMap;

use scheduler::ids::TaskKey;

use super::recovery::{ends_of_tasks, span_contains};
use crate::history::{Answer, CallKind, History, Span};
use crate::time::{ms, seconds};
use crate::workload::{JobPlan, STRETCH, TARGET_LATENCY_MS};

/// Value of a job, by the position of its queue.
const QUEUE_VALUES: [f64; 4] = [2.0, 1.0, 2.0, 1.0];
/// Fraction of its value that a late job yields.
const LATE_VALUE_FRACTION: f64 = 0.3;
/// A job that takes longer than this many times its objective yields nothing.
const MAX_LATENESS_FACTOR: u64 = 3;

/// Goodput of the jobs that were submitted during a span.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Goodput {
    /// Total value of all jobs.
    pub offered_value: f64,
    /// Total value that the jobs yielded.
    pub yielded_value: f64,
    /// Length of the span, in seconds.
    pub seconds: f64,
    /// Number of jobs.
    pub jobs: usize,
    /// Number of jobs that were rejected at least once and never accepted.
    pub rejected: usize,
    /// Longest time until a client received a rejection, in nanoseconds.
    pub longest_rejection: u64,
    /// Number of tasks of these jobs that ended successfully.
    pub tasks_done: usize,
}

impl Goodput {
    /// Measures the jobs that were submitted during `span`, apart from jobs with due times, cancelled jobs
    /// and jobs that never end by themselves or cannot complete.
    pub fn measure(history: &History, span: Span) -> Goodput {
        let ends = ends_of_tasks(history);
        let seconds = seconds(span.until - span.from);
        let mut goodput = Goodput { seconds, ..Goodput::default() };
        let mut answers: HashMap<u64, Vec<(u64, &Answer)>> = HashMap::new();
        for call in history.calls.iter().filter(|call| call.kind == CallKind::Submit) {
            if let Some((at, answer)) = &call.answer {
                answers.entry(call.job).or_default().push((at - call.sent_at, answer));
            }
        }
        for job in history
            .jobs
            .values()
            .filter(|job| span_contains(span, job.submit_at) && is_delayed_only_by_system(job))
        {
            goodput.add_job(job, &ends, answers.get(&job.id).map_or(&[][..], Vec::as_slice));
        }
        goodput
    }

    /// Value yielded per second.
    pub fn value_per_s(&self) -> f64 {
        self.yielded_value / self.seconds
    }

    /// Value yielded per completed task.
    pub fn value_per_task(&self) -> f64 {
        self.yielded_value / (self.tasks_done as f64).max(1.0)
    }

    fn add_job(&mut self, job: &JobPlan, ends: &HashMap<TaskKey, u64>, answers: &[(u64, &Answer)]) {
        let value = QUEUE_VALUES[job.queue];
        self.jobs += 1;
        self.offered_value += value;
        self.tasks_done += job.all_tasks().filter(|task| ends.contains_key(task)).count();
        let last_end =
            job.all_tasks().map(|task| ends.get(&task).copied()).max_by_key(|end| end.unwrap_or(u64::MAX));
        if let Some(Some(end)) = last_end {
            self.yielded_value += value * value_fraction(job, end.saturating_sub(job.submit_at));
        }
        let rejections = || answers.iter().filter(|(_, answer)| **answer == Answer::Rejected);
        let was_accepted = answers.iter().any(|(_, answer)| **answer == Answer::Done);
        self.rejected += usize::from(!was_accepted && rejections().next().is_some());
        let slowest = rejections().map(|(after, _)| *after).max().unwrap_or(0);
        self.longest_rejection = self.longest_rejection.max(slowest);
    }
}

/// Fraction of its value that a job yields after the given time, in nanoseconds.
fn value_fraction(job: &JobPlan, duration: u64) -> f64 {
    let objective = ms((STRETCH * longest_chain_ms(job) as f64) as u64 + TARGET_LATENCY_MS);
    if duration <= objective {
        return 1.0;
    }
    if duration <= MAX_LATENESS_FACTOR * objective {
        return LATE_VALUE_FRACTION;
    }
    0.0
}

/// Longest chain of work among steps that depend on each other, in milliseconds.
fn longest_chain_ms(job: &JobPlan) -> u64 {
    let mut ends_ms: Vec<u64> = Vec::with_capacity(job.steps.len());
    for (stage, step) in job.body.stages.iter().zip(&job.steps) {
        let earlier = stage.depends_on.iter().filter_map(|earlier| ends_ms.get(*earlier as usize));
        let begins_ms = earlier.copied().max().unwrap_or(0);
        ends_ms.push(begins_ms + step.work_ms.iter().copied().max().unwrap_or(0));
    }
    ends_ms.into_iter().max().unwrap_or(0)
}

/// Whether only the system can delay the job: it has no due times, is not cancelled, ends by itself
/// and can complete.
fn is_delayed_only_by_system(job: &JobPlan) -> bool {
    job.body.repeat == 0 && job.cancel_at.is_none() && !job.is_poison() && !job.is_long_running()
}
