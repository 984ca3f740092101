//! Hashes what clients, workers, operator and platform observed.

use messages::encode;

use super::{worker_calls, DayDigest};
use crate::history::{
    Answer, CallKind, ClientCall, ConfigurationOrder, ConfigurationQuery, History, Run, RunEnd, Span,
};
use crate::script::FaultKind;
use crate::workload::JobPlan;

/// Represents a fault kind that is not in `FaultKind::ALL`.
const OTHER_FAULT: u64 = 255;

/// Hashes a history.
pub(super) fn history(digest: &mut DayDigest, history: &History) {
    digest.number(history.jobs.len() as u64);
    history.jobs.values().for_each(|plan| job(digest, plan));
    digest.each(&history.calls, call);
    digest.each(&history.runs, run);
    digest.each(&history.start_orders, |digest, order| {
        digest.numbers(&[order.at, order.job, order.worker as u64]);
    });
    digest.each(&history.unknown_orders, |digest, order| {
        digest.number(order.at);
        worker_calls::attempt(digest, &order.key);
    });
    digest.each(&history.configurations, configuration);
    optional_bytes(digest, history.read_back.as_deref());
    digest.each(&history.configuration_queries, query);
    digest.each(&history.drains, |digest, read| {
        digest.numbers(&[read.reader as u64, read.at]);
        digest.text(&read.instance);
    });
    digest.each(&history.idle, |digest, idle| {
        digest.numbers(&[idle.job, idle.since, idle.at, u64::from(idle.worker_was_lost)]);
    });
    faults(digest, history);
    digest.each(&history.process_faults, |digest, fault| {
        digest.numbers(&[fault.machine as u64, fault.at]);
    });
    optional_span(digest, history.final_fault.as_ref());
    optional_span(digest, history.traffic.as_ref());
    digest.number(history.ended_at);
}

fn faults(digest: &mut DayDigest, history: &History) {
    digest.each(&history.machine_faults, |digest, (machine, during)| {
        digest.number(*machine as u64);
        span(digest, during);
    });
    digest.each(&history.core_faults, span);
    digest.each(&history.worker_faults, |digest, (worker, during, kind)| {
        digest.numbers(&[*worker as u64, fault(*kind)]);
        span(digest, during);
    });
    digest.each(&history.late_orders, span);
    digest.each(&history.power_outages, |digest, (machine, during)| {
        digest.number(*machine as u64);
        span(digest, during);
    });
    digest.flag(history.clocks_jump);
}

fn fault(kind: FaultKind) -> u64 {
    let position = FaultKind::ALL.iter().position(|known| *known == kind);
    position.map_or(OTHER_FAULT, |position| position as u64)
}

fn span(digest: &mut DayDigest, span: &Span) {
    digest.numbers(&[span.from, span.until]);
}

fn optional_span(digest: &mut DayDigest, span: Option<&Span>) {
    digest.optional(span.map(|span| span.from));
    digest.optional(span.map(|span| span.until));
}

fn optional_bytes(digest: &mut DayDigest, bytes: Option<&[u8]>) {
    digest.flag(bytes.is_some());
    digest.bytes(bytes.unwrap_or_default());
}

fn job(digest: &mut DayDigest, job: &JobPlan) {
    digest.numbers(&[job.id, job.queue as u64, job.submit_at, job.timeout]);
    digest.optional(job.cancel_at);
    digest.bytes(&encode(&job.body));
    digest.each(&job.steps, |digest, step| {
        digest.each(&step.work_ms, |digest, work| digest.number(*work));
        digest.numbers(&[step.fail_chance.to_bits(), u64::from(step.poison)]);
    });
}

fn call(digest: &mut DayDigest, call: &ClientCall) {
    let kind = match call.kind {
        CallKind::Submit => 1,
        CallKind::Read => 2,
        CallKind::Cancel => 3,
        CallKind::Count => 4,
    };
    digest.numbers(&[kind, call.job, call.edge as u64, call.sent_at, call.timeout]);
    digest.text(&call.prefix);
    digest.optional(call.answer.as_ref().map(|(at, _)| *at));
    if let Some((_, given)) = &call.answer {
        answer(digest, given);
    }
}

/// Hashes an answer to a client.
pub(super) fn answer(digest: &mut DayDigest, answer: &Answer) {
    match answer {
        Answer::Done => digest.number(1),
        Answer::State(state) => {
            digest.number(2);
            digest.text(state);
        }
        Answer::Count(count) => digest.numbers(&[3, *count]),
        Answer::NoRoute => digest.number(4),
        Answer::Gone => digest.number(5),
        Answer::Invalid => digest.number(6),
        Answer::Rejected => digest.number(7),
        Answer::Unsure => digest.number(8),
        Answer::None => digest.number(9),
    }
}

fn run(digest: &mut DayDigest, run: &Run) {
    worker_calls::attempt(digest, &run.key);
    digest.numbers(&[run.worker as u64, run.service as u64, run.sender as u64, run.ordered_at]);
    digest.text(&run.instance);
    digest.each(&run.labels, |digest, label| digest.text(label));
    digest.numbers(&[run.started_at, run.step_tasks_on_worker.into()]);
    digest.text(&run.checkpoint);
    digest.flag(run.late);
    digest.flag(run.spec_matches);
    digest.flag(run.checkpoint_matches);
    match &run.overload {
        Some(load) => digest.numbers(&[1, load.cpu, load.mem_mb, load.gpu]),
        None => digest.number(0),
    }
    digest.optional(run.gang_complete_at);
    digest.flag(run.end.is_some());
    if let Some(end) = &run.end {
        run_end(digest, end);
    }
}

fn run_end(digest: &mut DayDigest, end: &RunEnd) {
    digest.numbers(&[end.at, end.sequence]);
    digest.optional(end.how.map(|kind| kind as u64));
    digest.optional(end.recorded_at);
    digest.optional(end.recorded_after_lapse);
}

fn configuration(digest: &mut DayDigest, order: &ConfigurationOrder) {
    digest.numbers(&[order.version, order.builds_on, u64::from(order.invalid), order.sent_at]);
    digest.bytes(&order.body);
    digest.each(&order.prefixes, |digest, prefix| digest.text(prefix));
    digest.optional(order.acknowledged_at);
    digest.optional(order.accepted_at);
    digest.optional(order.given_up_at);
    digest.each(&order.refused, |digest, (at, status)| digest.numbers(&[*at, (*status).into()]));
    digest.each(&order.repeats, |digest, at| digest.number(*at));
}

fn query(digest: &mut DayDigest, query: &ConfigurationQuery) {
    digest.number(query.sent_at);
    digest.optional(query.answer.as_ref().map(|(at, _)| *at));
    optional_bytes(digest, query.answer.as_ref().map(|(_, body)| body.as_slice()));
}
