//! Checks of the rules on starts and runs of tasks.

use std::collections::{BTreeMap, HashMap};

use messages::job::{EndKind, Stage};
use scheduler::ids::{AttemptKey, TaskKey};

use super::{Connectivity, Rule, Violation};
use crate::history::{Answer, CallKind, History, Run, RunEnd};
use crate::time::{ms, DAY_BEGINS_MS, MS, SECOND};
use crate::workload::Queue;

/// Additional tolerance of due times on days on which clocks jump, in nanoseconds.
const CLOCK_SLACK_NS: u64 = 5 * SECOND;
/// Time after the recording of an end from which no machine may start the task again, in nanoseconds.
const RECORDED_SLACK_NS: u64 = SECOND;

fn by_task(history: &History) -> BTreeMap<TaskKey, Vec<&Run>> {
    let mut tasks: BTreeMap<TaskKey, Vec<&Run>> = BTreeMap::new();
    for run in &history.runs {
        tasks.entry(run.key.task).or_default().push(run);
    }
    tasks
}

fn ended_by(run: &Run, at: u64) -> bool {
    run.end.as_ref().is_some_and(|end| end.at <= at)
}

fn end_of_kind(run: &Run, kind: EndKind) -> Option<&RunEnd> {
    run.end.as_ref().filter(|end| end.how == Some(kind))
}

fn describe(run: &Run) -> String {
    format!("{} on worker {} ({}), ordered by core {}", run.key, run.worker, run.instance, run.sender)
}

/// TWICE: a task must not run twice at the same time, nor after its recorded end.
pub fn twice(connectivity: &Connectivity<'_>, history: &History, out: &mut Vec<Violation>) {
    let shown = completion_times(history);
    for runs in by_task(history).into_values() {
        let may_overlap = history.is_speculative(&runs[0].key);
        for (position, run) in runs.iter().enumerate() {
            for earlier in &runs[..position] {
                if may_overlap {
                    continue;
                }
                if !ended_by(earlier, run.started_at) {
                    let text = format!("{} while {} runs", describe(run), describe(earlier));
                    out.push(Violation::new(Rule::Twice, run.started_at, text));
                } else if end_of_kind(earlier, EndKind::DONE).is_some_and(|end| end.recorded_at.is_some()) {
                    let text = format!("{} although {} was done", describe(run), describe(earlier));
                    out.push(Violation::new(Rule::Twice, run.started_at, text));
                }
            }
            start_long_after_end(connectivity, history, &runs[..position], run, &shown, out);
        }
    }
}

/// TWICE: a machine in contact must not order a start more than a second after the task's end was recorded,
/// or after its job was shown as completed.
fn start_long_after_end(
    connectivity: &Connectivity<'_>,
    history: &History,
    earlier: &[&Run],
    run: &Run,
    shown: &HashMap<u64, u64>,
    out: &mut Vec<Violation>,
) {
    if run.late || !connectivity.is_in_contact(run.sender, run.ordered_at) {
        return;
    }
    let recorded =
        earlier.iter().filter_map(|earlier| end_of_kind(earlier, EndKind::DONE)?.recorded_at).min();
    let completed = shown.get(&run.key.task.job).copied();
    let speculative = history.is_speculative(&run.key);
    for since in [recorded, completed].into_iter().flatten() {
        if speculative && run.ordered_at > since + RECORDED_SLACK_NS {
            let text = format!("{} long after the task was done", describe(run));
            out.push(Violation::new(Rule::Twice, run.started_at, text));
        }
    }
    if !speculative && completed.is_some_and(|since| run.ordered_at > since + RECORDED_SLACK_NS) {
        let text = format!("{} after the job was shown as completed", describe(run));
        out.push(Violation::new(Rule::Twice, run.started_at, text));
    }
}

/// Time at which each job was first shown as completed.
fn completion_times(history: &History) -> HashMap<u64, u64> {
    let mut shown = HashMap::new();
    for call in &history.calls {
        if let (CallKind::Read, Some((at, Answer::State(state)))) = (call.kind, &call.answer) {
            if state == "completed" {
                let first = shown.entry(call.job).or_insert(*at);
                *first = (*first).min(*at);
            }
        }
    }
    shown
}

fn stage<'a>(history: &'a History, key: &AttemptKey) -> Option<&'a Stage> {
    history.jobs.get(&key.task.job)?.body.stages.get(key.task.step as usize)
}

/// ORDER: a task must not start before the steps that it depends on are done, nor before its due time.
pub fn order(connectivity: &Connectivity<'_>, history: &History, out: &mut Vec<Violation>) {
    let done = done_times(history);
    for run in &history.runs {
        let Some(stage) = stage(history, &run.key) else { continue };
        let task = &run.key.task;
        let job = &history.jobs[&task.job];
        for before in &stage.depends_on {
            let missing = job
                .step_tasks(task.time, *before)
                .find(|needed| done.get(needed).is_none_or(|at| *at > run.started_at));
            if let Some(missing) = missing {
                let text = format!("{} before {missing} was done", describe(run));
                out.push(Violation::new(Rule::Order, run.started_at, text));
            }
        }
        let due = job.due_ms(task.time).saturating_sub(DAY_BEGINS_MS) * MS;
        let slack = ms(connectivity.bounds.early_ms) + if history.clocks_jump { CLOCK_SLACK_NS } else { 0 };
        if run.started_at + slack < due {
            let text = format!("{} before its time", describe(run));
            out.push(Violation::new(Rule::Order, run.started_at, text));
        }
    }
}

/// Time at which each task first ended successfully. The end of one gang member counts for the gang.
fn done_times(history: &History) -> HashMap<TaskKey, u64> {
    let mut done: HashMap<TaskKey, u64> = HashMap::new();
    for run in &history.runs {
        let Some(end) = end_of_kind(run, EndKind::DONE) else { continue };
        let first = done.entry(run.key.task).or_insert(end.at);
        *first = (*first).min(end.at);
    }
    done
}

/// ROUTE: service, label, and number of tasks of a step on one worker.
pub fn route(_connectivity: &Connectivity<'_>, history: &History, out: &mut Vec<Violation>) {
    for run in &history.runs {
        let Some(stage) = stage(history, &run.key) else { continue };
        let service = Queue::ALL[history.jobs[&run.key.task.job].queue].service;
        if run.service != service {
            let text = format!("{} is of another service", describe(run));
            out.push(Violation::new(Rule::Route, run.started_at, text));
        }
        if !stage.constraint.is_empty() && !run.labels.contains(&stage.constraint) {
            let text = format!("{} lacks the label {}", describe(run), stage.constraint);
            out.push(Violation::new(Rule::Route, run.started_at, text));
        }
        if stage.anti_affinity > 0 && run.step_tasks_on_worker > stage.anti_affinity {
            let text = format!(
                "{} makes {} tasks there, {} are allowed",
                describe(run),
                run.step_tasks_on_worker,
                stage.anti_affinity
            );
            out.push(Violation::new(Rule::Route, run.started_at, text));
        }
    }
}

/// BUDGET: a task must not start after the last allowed failure was recorded. The members of a gang fail
/// together.
pub fn budget(connectivity: &Connectivity<'_>, history: &History, out: &mut Vec<Violation>) {
    let mut failing: BTreeMap<TaskKey, Vec<&Run>> = BTreeMap::new();
    for run in &history.runs {
        failing.entry(history.failure_owner(&run.key)).or_default().push(run);
    }
    for runs in failing.into_values().filter(|runs| !history.is_long_running(&runs[0].key)) {
        let limit = Queue::ALL[history.jobs[&runs[0].key.task.job].queue].max_retries as usize;
        let speculative = history.is_speculative(&runs[0].key);
        for (position, run) in runs.iter().enumerate() {
            let failures = recorded_failures(&runs[..position], run);
            let Some(last) = failures.get(limit - 1).copied() else { continue };
            if speculative {
                let allowed = !connectivity.is_in_contact(run.sender, run.ordered_at)
                    || run.ordered_at <= last + RECORDED_SLACK_NS;
                if allowed || run.late {
                    continue;
                }
            }
            let text = format!("{} after {} failures", describe(run), failures.len());
            out.push(Violation::new(Rule::Budget, run.started_at, text));
        }
    }
}

/// Times at which failures before a run were recorded, in order. Each attempt counts once.
fn recorded_failures(earlier: &[&Run], run: &Run) -> Vec<u64> {
    let mut attempts = BTreeMap::new();
    for before in earlier.iter().filter(|before| ended_by(before, run.started_at)) {
        if let Some(recorded) = end_of_kind(before, EndKind::FAILED).and_then(|end| end.recorded_at) {
            attempts.entry(before.key.attempt).or_insert(recorded);
        }
    }
    let mut recorded: Vec<u64> = attempts.into_values().collect();
    recorded.sort_unstable();
    recorded
}

/// GANG: a gang member must not time out waiting for the others, unless a fault, a drain or a cancellation
/// explains it.
pub fn gang(connectivity: &Connectivity<'_>, history: &History, out: &mut Vec<Violation>) {
    let first_cancels_by_job = first_cancels(history);
    let drained: Vec<u64> = history.drains.iter().map(|read| read.at).collect();
    for run in &history.runs {
        let Some(end) = end_of_kind(run, EndKind::ALONE) else { continue };
        let cancelled = first_cancels_by_job.get(&run.key.task.job).is_some_and(|at| *at <= end.at);
        let from = run.started_at.saturating_sub(ms(connectivity.bounds.contact_ms));
        let drains = drained.iter().any(|at| *at + ms(10_000) >= from && *at <= end.at);
        if cancelled
            || drains
            || !connectivity.is_in_contact(run.sender, run.ordered_at)
            || !connectivity.is_fault_free(from, end.at)
        {
            continue;
        }
        out.push(Violation::new(Rule::Gang, end.at, format!("{} ended alone", describe(run))));
    }
}

/// Time at which each job's client first asked to cancel it.
fn first_cancels(history: &History) -> HashMap<u64, u64> {
    let mut cancels = HashMap::new();
    for call in history.calls.iter().filter(|call| call.kind == CallKind::Cancel) {
        cancels.entry(call.job).or_insert(call.sent_at);
    }
    cancels
}

/// Time at which the cancellation of each job was first acknowledged: by 200, or by 410, which says that there
/// is no such job. The latter does not bind if the client submitted the job anew afterwards and was not
/// rejected.
fn acknowledged_cancels(history: &History) -> HashMap<u64, u64> {
    let last_submissions = last_submissions(history);
    let mut cancels: HashMap<u64, u64> = HashMap::new();
    for call in history.calls.iter().filter(|call| call.kind == CallKind::Cancel) {
        let Some((at, answer)) = &call.answer else { continue };
        let submitted_anew = last_submissions.get(&call.job).is_some_and(|sent_at| sent_at >= at);
        let binds = match answer {
            Answer::Done => true,
            Answer::Gone => !submitted_anew,
            _ => false,
        };
        if binds {
            let first = cancels.entry(call.job).or_insert(*at);
            *first = (*first).min(*at);
        }
    }
    cancels
}

/// Time at which each job's last submission was sent, apart from rejected ones.
fn last_submissions(history: &History) -> HashMap<u64, u64> {
    let mut submissions = HashMap::new();
    let calls = history.calls.iter().filter(|call| call.kind == CallKind::Submit);
    for call in calls.filter(|call| !matches!(call.answer, Some((_, Answer::Rejected)))) {
        let last = submissions.entry(call.job).or_insert(call.sent_at);
        *last = call.sent_at.max(*last);
    }
    submissions
}

/// UNASKED: a task must not start if no client submitted it, with a changed specification, with a checkpoint
/// of another task, or after its cancellation.
pub fn unasked(connectivity: &Connectivity<'_>, history: &History, out: &mut Vec<Violation>) {
    for order in &history.unknown_orders {
        out.push(Violation::new(Rule::Unasked, order.at, format!("{} is no client's task", order.key)));
    }
    let cancels = acknowledged_cancels(history);
    for run in &history.runs {
        if !run.spec_matches {
            out.push(Violation::new(
                Rule::Unasked,
                run.started_at,
                format!("{} has another text", describe(run)),
            ));
        }
        if !run.checkpoint_matches {
            let text = format!("{} brings a foreign checkpoint {:?}", describe(run), run.checkpoint);
            out.push(Violation::new(Rule::Unasked, run.started_at, text));
        }
        if let Some(at) = cancels.get(&run.key.task.job) {
            after_cancel(connectivity, history, run, *at, out);
        }
    }
}

fn after_cancel(
    connectivity: &Connectivity<'_>,
    history: &History,
    run: &Run,
    cancelled: u64,
    out: &mut Vec<Violation>,
) {
    let bound = cancelled + ms(connectivity.bounds.cancel_ms);
    if !run.late && run.ordered_at > bound && connectivity.is_in_contact(run.sender, run.ordered_at) {
        let text = format!("{} long after the cancelling", describe(run));
        out.push(Violation::new(Rule::Unasked, run.started_at, text));
    }
    let over = bound + ms(connectivity.bounds.stop_ms);
    let ended = run.end.as_ref().map_or(history.ended_at, |end| end.at);
    let calm = connectivity.is_fault_free(run.started_at.min(cancelled), over + SECOND);
    if run.started_at <= over && ended > over && over < history.ended_at && calm {
        let text = format!("{} runs on long after the cancelling", describe(run));
        out.push(Violation::new(Rule::Unasked, over, text));
    }
}

/// DRAIN: a task must not start on a worker that a machine in contact knows to be draining.
pub fn drain(connectivity: &Connectivity<'_>, history: &History, out: &mut Vec<Violation>) {
    let mut known: HashMap<&str, u64> = HashMap::new();
    for read in &history.drains {
        if connectivity.is_in_contact(read.reader, read.at) {
            let first = known.entry(&read.instance).or_insert(read.at);
            *first = (*first).min(read.at);
        }
    }
    for run in history.runs.iter().filter(|run| !run.late) {
        let Some(at) = known.get(run.instance.as_str()) else { continue };
        let bound = at + ms(connectivity.bounds.drain_ms);
        if run.ordered_at > bound && connectivity.is_in_contact(run.sender, run.ordered_at) {
            out.push(Violation::new(Rule::Drain, run.started_at, format!("{} is leaving", describe(run))));
        }
    }
}

/// LIMIT: a task must not start beyond the resources of an unguarded worker.
pub fn limit(_connectivity: &Connectivity<'_>, history: &History, out: &mut Vec<Violation>) {
    for run in &history.runs {
        if let Some(load) = &run.overload {
            let text = format!("{} takes the worker to {load:?}", describe(run));
            out.push(Violation::new(Rule::Limit, run.started_at, text));
        }
    }
}
