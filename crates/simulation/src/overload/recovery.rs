//! Recovery after a fault: time to the first leader, to the first start, and until jobs end on time again.

use std::collections::HashMap;

use messages::job::EndKind;
use scheduler::ids::TaskKey;

use crate::history::{History, Span};
use crate::time::{seconds, SECOND};
use crate::workload::JobPlan;

/// A short job is on time if it ends within this time of its submission, in nanoseconds.
const ON_TIME_LIMIT_NS: u64 = 3 * SECOND;
/// The system has recovered when the fraction of jobs on time is at least this much of the fraction before
/// the fault. A system keeps up with its load if at least this fraction is on time.
const MIN_ON_TIME_FRACTION: f64 = 0.8;
/// A short job has no task with more work than this, in milliseconds.
const SHORT_WORK_MS: u64 = 900;

/// Recovery after a fault. Times are nanoseconds after the time at which all machines were back.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovery {
    /// Starts per second before the fault.
    pub starts_before: f64,
    /// Fraction of short jobs that ended on time before the fault.
    pub on_time_before: f64,
    /// Starts per second at the end of the traffic.
    pub starts_at_end: f64,
    /// Fraction of short jobs that ended on time, by the second of their submission.
    pub on_time: Vec<f64>,
    /// Time of the first leader.
    pub first_leader: Option<u64>,
    /// Number of times that a process started to lead after the fault.
    pub leaders: usize,
    /// Time of the first start of a task.
    pub first_start: Option<u64>,
    /// Time from which jobs ended on time until the end of the measurement; `None` if they did not.
    pub recovered_after: Option<u64>,
}

impl Recovery {
    /// Measures a day. There is no fault during `before`, and `after` begins when all machines are back.
    pub fn measure(history: &History, before: Span, after: Span) -> Recovery {
        let ends = ends_of_tasks(history);
        let on_time_before = on_time_fraction(history, &ends, before).unwrap_or(0.0);
        let on_time: Vec<f64> = seconds_of(after)
            .map(|second| on_time_fraction(history, &ends, second).unwrap_or(on_time_before))
            .collect();
        let recovered_seconds =
            on_time.iter().rev().take_while(|share| **share >= MIN_ON_TIME_FRACTION * on_time_before).count();
        let recovered_after =
            (recovered_seconds > 0).then(|| (on_time.len() - recovered_seconds) as u64 * SECOND);
        let at_end = Span { from: after.until.saturating_sub(4 * SECOND), until: after.until };
        let since = |at: u64| at.saturating_sub(after.from);
        let led = history.leader_changes.iter().filter(|change| change.leads && change.at >= before.until);
        let start = history.start_orders.iter().find(|order| order.at >= after.from);
        Recovery {
            starts_before: starts_per_s(history, before),
            on_time_before,
            starts_at_end: starts_per_s(history, at_end),
            on_time,
            first_leader: led.clone().next().map(|change| since(change.at)),
            leaders: led.count(),
            first_start: start.map(|order| since(order.at)),
            recovered_after,
        }
    }

    /// Whether the system kept up with its load before the fault. Otherwise the day is not meaningful.
    pub fn kept_up_before(&self) -> bool {
        self.on_time_before >= MIN_ON_TIME_FRACTION
    }

    /// Whether the system recovered within the bound, in nanoseconds.
    pub fn recovered_within(&self, bound: u64) -> bool {
        self.recovered_after.is_some_and(|recovered_after| recovered_after <= bound)
    }
}

impl std::fmt::Display for Recovery {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let time = |at: Option<u64>| at.map_or("never".to_owned(), |at| format!("{:.1} s", seconds(at)));
        write!(
            formatter,
            "leader after {} ({} leaders), first start after {}, pace after {}; starts a second {:.0} before, {:.0} at \
             the end; in time {:.2} before, then by second",
            time(self.first_leader),
            self.leaders,
            time(self.first_start),
            time(self.recovered_after),
            self.starts_before,
            self.starts_at_end,
            self.on_time_before,
        )?;
        self.on_time.iter().try_for_each(|share| write!(formatter, " {share:.2}"))
    }
}

fn seconds_of(span: Span) -> impl Iterator<Item = Span> {
    let count = (span.until - span.from) / SECOND;
    (0..count).map(move |second| {
        let from = span.from + second * SECOND;
        Span { from, until: from + SECOND }
    })
}

fn starts_per_s(history: &History, span: Span) -> f64 {
    let starts = history.start_orders.iter().filter(|order| span_contains(span, order.at)).count();
    starts as f64 / seconds(span.until - span.from)
}

pub(super) fn span_contains(span: Span, at: u64) -> bool {
    span.from <= at && at < span.until
}

/// Times at which tasks ended successfully.
pub(super) fn ends_of_tasks(history: &History) -> HashMap<TaskKey, u64> {
    let mut ends = HashMap::new();
    for run in &history.runs {
        if let Some(end) = run.end.as_ref().filter(|end| end.how == Some(EndKind::DONE)) {
            ends.entry(run.key.task).or_insert(end.at);
        }
    }
    ends
}

/// Fraction of the short jobs submitted within a span that ended on time; `None` if there are no such jobs.
fn on_time_fraction(history: &History, ends: &HashMap<TaskKey, u64>, span: Span) -> Option<f64> {
    let jobs: Vec<&JobPlan> =
        history.jobs.values().filter(|job| span_contains(span, job.submit_at) && is_short(job)).collect();
    let is_on_time = |job: &&&JobPlan| {
        job.all_tasks()
            .all(|task| ends.get(&task).is_some_and(|end| *end <= job.submit_at + ON_TIME_LIMIT_NS))
    };
    let on_time = jobs.iter().filter(is_on_time).count();
    (!jobs.is_empty()).then(|| on_time as f64 / jobs.len() as f64)
}

/// Whether a job is a single step of short tasks that only the system can delay.
fn is_short(job: &JobPlan) -> bool {
    let is_plain = job.body.stages.len() == 1 && job.body.repeat == 0 && job.cancel_at.is_none();
    let is_short = job.steps.iter().flat_map(|step| &step.work_ms).all(|work| *work <= SHORT_WORK_MS);
    is_plain && is_short && !job.is_poison() && !job.is_long_running()
}
