//! Checks of the rules on jobs, as clients observe them.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use messages::job::EndKind;
use scheduler::ids::TaskKey;

use super::{Connectivity, Rule, Violation};
use crate::history::{Answer, CallKind, ClientCall, History};
use crate::time::{ms, SECOND};
use crate::workload::Queue;

/// Window at the end of the day that contains all final reads of a job, in nanoseconds. One answered read is
/// enough.
const FINAL_READ_WINDOW_NS: u64 = 4 * SECOND;

/// REFUSED: no task may start if every submission of its job was rejected.
pub fn refused(_connectivity: &Connectivity<'_>, history: &History, out: &mut Vec<Violation>) {
    let mut may_be_taken = BTreeSet::new();
    for call in history.calls.iter().filter(|call| call.kind == CallKind::Submit) {
        let rejected =
            matches!(&call.answer, Some((_, Answer::Rejected | Answer::NoRoute | Answer::Invalid)));
        if !rejected {
            may_be_taken.insert(call.job);
        }
    }
    let mut reported = BTreeSet::new();
    for run in &history.runs {
        let job = run.key.task.job;
        if !may_be_taken.contains(&job) && reported.insert(job) {
            let text = format!("{} started although every try of its job was rejected", run.key);
            out.push(Violation::new(Rule::Refused, run.started_at, text));
        }
    }
}

/// Time in addition to `visible_ms` after which an accepted job must be counted as pending until it has begun.
const COUNTED_AFTER_NS: u64 = 2 * SECOND;

/// MIXED: a job must not be shown as completed before all of its tasks have ended successfully, and a count of pending
/// jobs must not be under half of the jobs that have not begun.
pub fn mixed(connectivity: &Connectivity<'_>, history: &History, out: &mut Vec<Violation>) {
    completed_too_early(history, out);
    undercounted(connectivity, history, out);
}

/// MIXED: a machine in contact must not give under half of the jobs without due times that were accepted a while
/// before and have not begun.
fn undercounted(connectivity: &Connectivity<'_>, history: &History, out: &mut Vec<Violation>) {
    let counts: Vec<_> = history
        .calls
        .iter()
        .filter_map(|call| match (call.kind, &call.answer) {
            (CallKind::Count, Some((at, Answer::Count(pending)))) => Some((call, *at, *pending)),
            _ => None,
        })
        .collect();
    if counts.is_empty() {
        return;
    }
    let waits = pending_spans(history);
    for (call, at, pending) in counts {
        if !connectivity.is_in_contact_through(call.edge, call.sent_at, at) {
            continue;
        }
        let visible = ms(connectivity.bounds.visible_ms) + COUNTED_AFTER_NS;
        let counted = |(queue, accepted_at, until): &&(usize, u64, u64)| {
            Queue::ALL[*queue].prefix == call.prefix && accepted_at + visible < call.sent_at && *until > at
        };
        let waiting = waits.iter().filter(counted).count() as u64;
        if pending * 2 < waiting {
            let text =
                format!("a count of {} gives {pending}, and {waiting} jobs have not begun", call.prefix);
            out.push(Violation::new(Rule::Mixed, at, text));
        }
    }
}

/// For each accepted job without due times: its queue, its acceptance, and when it had begun or a client first asked to
/// cancel it (`u64::MAX` if neither).
fn pending_spans(history: &History) -> Vec<(usize, u64, u64)> {
    let mut until: HashMap<u64, u64> = HashMap::new();
    let starts = history.runs.iter().map(|run| (run.key.task.job, run.started_at));
    let cancels = history.calls.iter().filter(|call| call.kind == CallKind::Cancel);
    for (job, at) in starts.chain(cancels.map(|call| (call.job, call.sent_at))) {
        let first = until.entry(job).or_insert(at);
        *first = (*first).min(at);
    }
    let untimed = acceptances(history).into_iter().filter_map(|(id, accepted_at)| {
        let plan = history.jobs.get(&id).filter(|plan| plan.body.repeat == 0)?;
        Some((plan.queue, accepted_at, until.get(&id).copied().unwrap_or(u64::MAX)))
    });
    untimed.collect()
}

fn completed_too_early(history: &History, out: &mut Vec<Violation>) {
    let mut reported = BTreeSet::new();
    let mut done: HashMap<TaskKey, u64> = HashMap::new();
    for run in &history.runs {
        if let Some(end) = run.end.as_ref().filter(|end| end.how == Some(EndKind::DONE)) {
            let first = done.entry(run.key.task).or_insert(end.at);
            *first = (*first).min(end.at);
        }
    }
    for (call, at, state) in shown_states(history) {
        let known = ["pending", "running", "completed", "failed", "cancelled"].contains(&state);
        if !known {
            out.push(Violation::new(Rule::Mixed, at, format!("job {:016x} shows as {state:?}", call.job)));
        }
        let Some(job) = history.jobs.get(&call.job).filter(|_| state == "completed") else { continue };
        let missing = job.all_tasks().find(|task| done.get(task).is_none_or(|done| *done > at));
        if let Some(task) = missing.filter(|_| reported.insert(call.job)) {
            out.push(Violation::new(Rule::Mixed, at, format!("shown as completed, but {task} was not done")));
        }
    }
}

fn shown_states(history: &History) -> impl Iterator<Item = (&ClientCall, u64, &str)> {
    history.calls.iter().filter_map(|call| match (&call.kind, &call.answer) {
        (CallKind::Read, Some((at, Answer::State(state)))) => Some((call, *at, state.as_str())),
        _ => None,
    })
}

/// Time at which each job's acceptance was first observed.
fn acceptances(history: &History) -> BTreeMap<u64, u64> {
    let mut accepted: BTreeMap<u64, u64> = BTreeMap::new();
    for call in history.calls.iter().filter(|call| call.kind == CallKind::Submit) {
        if let Some((at, Answer::Done)) = &call.answer {
            let first = accepted.entry(call.job).or_insert(*at);
            *first = (*first).min(*at);
        }
    }
    accepted
}

/// LOST: an accepted job must stay known, must not end without a cause, must answer the final reads, and must
/// not stay idle without a reason.
pub fn lost(connectivity: &Connectivity<'_>, history: &History, out: &mut Vec<Violation>) {
    let accepted = acceptances(history);
    let cancelled: HashSet<u64> =
        history.calls.iter().filter(|call| call.kind == CallKind::Cancel).map(|call| call.job).collect();
    gone_after_acceptance(connectivity, history, &accepted, &cancelled, out);
    ended_without_cause(history, &cancelled, out);
    unanswered_final_reads(history, &accepted, out);
    for idle in &history.idle {
        let since = crate::time::seconds(idle.since);
        let cause = if idle.worker_was_lost { " (its worker was lost)" } else { "" };
        let text =
            format!("nothing of job {:016x} runs since {since:.3} s, though it could{cause}", idle.job);
        out.push(Violation::new(Rule::Lost, idle.at, text));
    }
}

/// LOST: a read of an accepted job must not be answered with 410.
fn gone_after_acceptance(
    connectivity: &Connectivity<'_>,
    history: &History,
    accepted: &BTreeMap<u64, u64>,
    cancelled: &HashSet<u64>,
    out: &mut Vec<Violation>,
) {
    for call in history.calls.iter().filter(|call| call.kind == CallKind::Read) {
        let (Some(taken), Some((at, Answer::Gone))) = (accepted.get(&call.job), &call.answer) else {
            continue;
        };
        let late = call.sent_at > taken + ms(connectivity.bounds.visible_ms);
        if late
            && !cancelled.contains(&call.job)
            && connectivity.is_in_contact_through(call.edge, call.sent_at, *at)
        {
            out.push(Violation::new(Rule::Lost, *at, format!("410 for the accepted job {:016x}", call.job)));
        }
    }
}

/// LOST: a job must not be shown as failed or cancelled without a cause.
fn ended_without_cause(history: &History, cancelled: &HashSet<u64>, out: &mut Vec<Violation>) {
    let mut failures: BTreeMap<TaskKey, u32> = BTreeMap::new();
    let mut counted = HashSet::new();
    for run in &history.runs {
        let failed = run.end.as_ref().is_some_and(|end| end.how == Some(EndKind::FAILED));
        let task = history.failure_owner(&run.key);
        if failed && (!history.is_gang(&run.key) || counted.insert((task, run.key.attempt))) {
            *failures.entry(task).or_insert(0) += 1;
        }
    }
    let mut reported = BTreeSet::new();
    for (call, at, state) in shown_states(history) {
        let Some(job) = history.jobs.get(&call.job) else { continue };
        let allowed = match state {
            "cancelled" => cancelled.contains(&call.job),
            "failed" => {
                let limit = Queue::ALL[job.queue].max_retries;
                failures.iter().any(|(task, count)| task.job == call.job && *count >= limit)
            }
            _ => true,
        };
        if !allowed && reported.insert(call.job) {
            out.push(Violation::new(
                Rule::Lost,
                at,
                format!("job {:016x} shows as {state} without cause", call.job),
            ));
        }
    }
}

/// LOST: at least one of an accepted job's final reads must return its state.
fn unanswered_final_reads(history: &History, accepted: &BTreeMap<u64, u64>, out: &mut Vec<Violation>) {
    let last_read = history.calls.iter().rev().find(|call| call.kind == CallKind::Read);
    let from = last_read.map_or(0, |call| call.sent_at.saturating_sub(FINAL_READ_WINDOW_NS));
    let mut answered = HashSet::new();
    let mut asked = BTreeSet::new();
    for call in history.calls.iter().filter(|call| call.kind == CallKind::Read && call.sent_at >= from) {
        asked.insert(call.job);
        if matches!(call.answer, Some((_, Answer::State(_)))) {
            answered.insert(call.job);
        }
    }
    for job in accepted.keys().filter(|job| asked.contains(job) && !answered.contains(job)) {
        let text = format!("asked for at the end, job {job:016x} is not known or gets no answer");
        out.push(Violation::new(Rule::Lost, history.ended_at, text));
    }
}
