//! For each rule, the oracle detects its violation in a history made by hand and reports no other rule.

mod support;

use messages::job::EndKind;
use scheduler::placement::Resources;
use simulation::history::{
    Answer, CallKind, ClientCall, DrainRead, History, IdleJob, ProcessFault, Span, UnknownOrder,
};
use simulation::oracle::Rule;
use simulation::time::{ms, DAY_BEGINS_MS, SECOND};
use support::*;

fn violations_after(change: impl FnOnce(&mut History)) -> Vec<Rule> {
    let mut history = valid_history();
    change(&mut history);
    violated_rules(&history)
}

#[test]
fn accepts_valid_history() {
    assert_eq!(violated_rules(&valid_history()), []);
}

#[test]
fn detects_two_concurrent_runs() {
    let violated = violations_after(|day| {
        let twin = run(key(0, 0, 2), 13 * SECOND + SECOND / 2);
        day.runs.insert(2, ended(twin, 14 * SECOND, EndKind::STOPPED));
    });
    assert_eq!(violated, [Rule::Twice]);
}

#[test]
fn allows_concurrent_speculative_copies() {
    let violated = violations_after(|day| {
        day.jobs.values_mut().for_each(|job| job.body.stages[0].speculative = true);
        let twin = run(key(0, 0, 2), 13 * SECOND + SECOND / 2);
        day.runs.insert(2, ended(twin, 14 * SECOND, EndKind::STOPPED));
    });
    assert_eq!(violated, []);
}

#[test]
fn detects_run_after_recorded_end() {
    let again = |day: &mut History| {
        let again = run(key(0, 0, 2), 17 * SECOND);
        day.runs.push(ended(again, 18 * SECOND, EndKind::STOPPED));
    };
    assert_eq!(violations_after(again), [Rule::Twice]);
}

#[test]
fn allows_run_after_end_recorded_after_lease_expiry() {
    let violated = violations_after(|day| {
        if let Some(end) = day.runs[0].end.as_mut() {
            end.recorded_after_lapse = end.recorded_at.take();
        }
        let again = run(key(0, 0, 2), 14 * SECOND + SECOND / 2);
        day.runs.insert(2, ended(again, 15 * SECOND, EndKind::DONE));
    });
    assert_eq!(violated, []);
}

#[test]
fn detects_start_after_job_shown_as_completed() {
    let violated = violations_after(|day| {
        day.runs.iter_mut().for_each(|run| {
            if let Some(end) = run.end.as_mut() {
                end.recorded_at = None;
            }
        });
        day.runs.push(ended(run(key(1, 0, 2), 30 * SECOND), 31 * SECOND, EndKind::STOPPED));
    });
    assert_eq!(violated, [Rule::Twice]);
}

#[test]
fn detects_start_before_dependencies() {
    let violated = violations_after(|day| day.runs[2].started_at = 13 * SECOND + SECOND / 2);
    assert_eq!(violated, [Rule::Order]);
}

#[test]
fn detects_start_before_due_time() {
    let due = |seconds: u64| {
        violations_after(move |day| {
            let job = day.jobs.get_mut(&JOB).expect("the history contains the job");
            job.body.repeat = 1;
            job.body.start_at_ms = DAY_BEGINS_MS + seconds * 1_000;
        })
    };
    assert_eq!(due(14), [Rule::Order]);
    assert_eq!(due(13), []);
}

#[test]
fn detects_start_on_wrong_service() {
    assert_eq!(violations_after(|day| day.runs[0].service = 1), [Rule::Route]);
}

#[test]
fn detects_start_without_required_label() {
    let violated = violations_after(|day| {
        day.jobs.values_mut().for_each(|job| job.body.stages[0].constraint = "b".to_owned());
    });
    assert_eq!(violated, [Rule::Route]);
}

#[test]
fn detects_too_many_tasks_of_step_on_worker() {
    let violated = violations_after(|day| {
        day.jobs.values_mut().for_each(|job| job.body.stages[0].anti_affinity = 1);
        day.runs[1].step_tasks_on_worker = 2;
    });
    assert_eq!(violated, [Rule::Route]);
}

#[test]
fn detects_start_after_last_allowed_failure() {
    let fail = |count: u32| {
        violations_after(move |day| {
            day.runs.truncate(2);
            day.calls.retain(|call| call.kind == CallKind::Submit);
            for attempt in 1..=count {
                let begins = (15 + u64::from(attempt)) * SECOND;
                day.runs.push(ended(run(key(1, 0, attempt), begins), begins + SECOND / 2, EndKind::FAILED));
            }
        })
    };
    assert_eq!(fail(2), []);
    assert_eq!(fail(3), [Rule::Budget]);
}

#[test]
fn detects_lone_gang_member_only_without_faults() {
    let alone = |calm: bool| {
        violations_after(move |day| {
            day.runs[0] = ended(run(key(0, 0, 1), 13 * SECOND), 14 * SECOND, EndKind::ALONE);
            day.runs.insert(2, ended(run(key(0, 0, 2), 14 * SECOND + 1), 15 * SECOND, EndKind::DONE));
            if !calm {
                day.core_faults.push(Span { from: 11 * SECOND, until: 12 * SECOND });
            }
        })
    };
    assert_eq!(alone(true), [Rule::Gang]);
    assert_eq!(alone(false), []);
}

#[test]
fn detects_unrequested_orders() {
    let unknown = |day: &mut History| day.unknown_orders.push(UnknownOrder { at: SECOND, key: key(9, 9, 1) });
    assert_eq!(violations_after(unknown), [Rule::Unasked]);
    assert_eq!(violations_after(|day| day.runs[0].spec_matches = false), [Rule::Unasked]);
    assert_eq!(violations_after(|day| day.runs[0].checkpoint_matches = false), [Rule::Unasked]);
}

#[test]
fn detects_start_long_after_cancellation() {
    let cancelled = |seconds: u64| {
        violations_after(move |day| {
            day.calls.retain(|call| call.kind == CallKind::Submit);
            day.calls.push(call(CallKind::Cancel, seconds * SECOND, Answer::Done));
        })
    };
    assert_eq!(cancelled(11), [Rule::Unasked]);
    assert_eq!(cancelled(13), []);
}

/// A day on which the job is submitted at `submitted` and a cancel, sent at 10 s, is answered with 410. The job
/// runs from 13 s on.
fn cancelled_as_unknown(submitted: u64, further_submission: Option<Answer>) -> Vec<Rule> {
    violations_after(move |day| {
        day.calls.retain(|call| call.kind == CallKind::Submit);
        day.calls[0].sent_at = submitted;
        day.calls.push(call(CallKind::Cancel, 10 * SECOND, Answer::Gone));
        day.calls.extend(further_submission.map(|answer| call(CallKind::Submit, 11 * SECOND, answer)));
    })
}

#[test]
fn detects_start_of_late_submission_after_cancellation_of_unknown_job() {
    assert_eq!(cancelled_as_unknown(9 * SECOND, None), [Rule::Unasked]);
    assert_eq!(cancelled_as_unknown(9 * SECOND, Some(Answer::Rejected)), [Rule::Unasked]);
}

#[test]
fn allows_start_of_job_submitted_anew_after_cancellation_of_unknown_job() {
    assert_eq!(cancelled_as_unknown(12 * SECOND, None), []);
    assert_eq!(cancelled_as_unknown(9 * SECOND, Some(Answer::Done)), []);
    assert_eq!(cancelled_as_unknown(9 * SECOND, Some(Answer::None)), []);
}

#[test]
fn detects_run_continuing_after_cancellation() {
    let violated = violations_after(|day| {
        day.calls.retain(|call| call.kind == CallKind::Submit);
        day.calls.push(call(CallKind::Cancel, 13 * SECOND, Answer::Done));
        day.runs[0] = ended(run(key(0, 0, 1), 13 * SECOND), 20 * SECOND, EndKind::DONE);
        day.runs.truncate(2);
    });
    assert_eq!(violated, [Rule::Unasked]);
}

#[test]
fn detects_start_of_rejected_job() {
    let violated = violations_after(|day| {
        day.calls.clear();
        day.calls.push(call(CallKind::Submit, 12 * SECOND, Answer::Rejected));
    });
    assert_eq!(violated, [Rule::Refused]);
    let unsure = violations_after(|day| {
        day.calls.clear();
        day.calls.push(call(CallKind::Submit, 12 * SECOND, Answer::Rejected));
        day.calls.push(call(CallKind::Submit, 12 * SECOND, Answer::None));
    });
    assert_eq!(unsure, []);
}

#[test]
fn detects_start_on_draining_worker() {
    let drained = |at: u64| {
        violations_after(move |day| {
            let instance = day.runs[2].instance.clone();
            day.drains.push(DrainRead { reader: 0, instance, at });
        })
    };
    assert_eq!(drained(11 * SECOND), [Rule::Drain]);
    assert_eq!(drained(13 * SECOND), []);
}

#[test]
fn detects_job_shown_as_completed_too_early() {
    assert_eq!(violations_after(|day| day.calls.push(read_showing(15 * SECOND, "completed"))), [Rule::Mixed]);
    assert_eq!(violations_after(|day| day.calls.push(read_showing(40 * SECOND, "finished"))), [Rule::Mixed]);
}

#[test]
fn detects_accepted_job_that_is_gone() {
    let gone =
        |at: u64| violations_after(move |day| day.calls.insert(1, call(CallKind::Read, at, Answer::Gone)));
    assert_eq!(gone(30 * SECOND), [Rule::Lost]);
    assert_eq!(gone(14 * SECOND), []);
}

#[test]
fn detects_job_ended_without_cause() {
    assert_eq!(
        violations_after(|day| day.calls.insert(1, read_showing(14 * SECOND, "failed"))),
        [Rule::Lost]
    );
    assert_eq!(
        violations_after(|day| day.calls.insert(1, read_showing(14 * SECOND, "cancelled"))),
        [Rule::Lost]
    );
}

#[test]
fn detects_job_without_final_answer() {
    let violated = violations_after(|day| {
        day.calls.pop();
        day.calls.push(call(CallKind::Read, 58 * SECOND, Answer::None));
    });
    assert_eq!(violated, [Rule::Lost]);
}

#[test]
fn detects_idle_job() {
    let idle = |day: &mut History| {
        day.idle.push(IdleJob { job: JOB, since: 0, at: 3 * SECOND, worker_was_lost: false });
    };
    assert_eq!(violations_after(idle), [Rule::Lost]);
}

#[test]
fn detects_start_beyond_worker_resources() {
    let load = Resources { cpu: 99_000, mem_mb: 1, gpu: 0 };
    assert_eq!(violations_after(|day| day.runs[0].overload = Some(load)), [Rule::Limit]);
}

#[test]
fn detects_missing_recovery_from_final_fault() {
    let violated = violations_after(|day| {
        day.ended_at = 100 * SECOND;
        day.final_fault = Some(Span { from: 44 * SECOND, until: 46 * SECOND });
        for number in 0..20 {
            day.calls.insert(2, call(CallKind::Submit, 60 * SECOND + ms(number), Answer::None));
        }
    });
    assert_eq!(violated, [Rule::Recover]);
}

#[test]
fn detects_process_fault() {
    let fault = ProcessFault { machine: 0, at: SECOND, text: "busy loop".to_owned() };
    assert_eq!(violations_after(|day| day.process_faults.push(fault)), [Rule::ProcessFault]);
}

/// Violations after a second job is accepted that never begins, and a count that is asked for `after` its acceptance
/// gives `pending`.
fn violations_with_count(after: u64, pending: u64) -> Vec<Rule> {
    violations_after(|day| {
        let accepted_at = 20 * SECOND;
        let waiting = JOB + 1;
        let mut plan = day.jobs[&JOB].clone();
        plan.id = waiting;
        day.jobs.insert(waiting, plan);
        let submission = call(CallKind::Submit, accepted_at, Answer::Done);
        day.calls.push(ClientCall { job: waiting, ..submission });
        let count = call(CallKind::Count, accepted_at + after, Answer::Count(pending));
        day.configurations[0].prefixes.push(count.prefix.clone());
        day.calls.push(ClientCall { job: 0, ..count });
    })
}

#[test]
fn detects_count_under_half_of_the_jobs_that_have_not_begun() {
    assert_eq!(violations_with_count(8 * SECOND, 0), [Rule::Mixed]);
}

#[test]
fn allows_count_of_at_least_half_and_count_that_is_not_due() {
    assert_eq!(violations_with_count(8 * SECOND, 1), []);
    assert_eq!(violations_with_count(3 * SECOND, 0), []);
}
