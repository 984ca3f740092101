//! For each rule, the oracle detects its violation in a history made by hand and reports no other rule.

mod support;

use messages::job::EndKind;
use scheduler::placement::Resources;
use simulation::history::{Answer, CallKind, DrainRead, History, IdleJob, ProcessFault, Span, UnknownOrder};
use simulation::oracle::Rule;
use simulation::time::{ms, DAY_BEGINS_MS, SECOND};
use support::*;

fn changed(change: impl FnOnce(&mut History)) -> Vec<Rule> {
    let mut history = good_day();
    change(&mut history);
    broken(&history)
}

#[test]
fn a_good_day_breaks_nothing() {
    assert_eq!(broken(&good_day()), []);
}

#[test]
fn two_runs_side_by_side_are_caught() {
    let found = changed(|day| {
        let twin = run(key(0, 0, 2), 13 * SECOND + SECOND / 2);
        day.runs.insert(2, ended(twin, 14 * SECOND, EndKind::STOPPED));
    });
    assert_eq!(found, [Rule::Twice]);
}

#[test]
fn copies_of_a_speculative_step_may_run_side_by_side() {
    let found = changed(|day| {
        day.jobs.values_mut().for_each(|job| job.body.stages[0].speculative = true);
        let twin = run(key(0, 0, 2), 13 * SECOND + SECOND / 2);
        day.runs.insert(2, ended(twin, 14 * SECOND, EndKind::STOPPED));
    });
    assert_eq!(found, []);
}

#[test]
fn a_run_after_an_end_that_was_noted_is_caught() {
    let again = |day: &mut History| {
        let again = run(key(0, 0, 2), 17 * SECOND);
        day.runs.push(ended(again, 18 * SECOND, EndKind::STOPPED));
    };
    assert_eq!(changed(again), [Rule::Twice]);
}

#[test]
fn a_run_after_an_end_that_lapsed_before_it_was_noted_is_allowed() {
    let found = changed(|day| {
        if let Some(end) = day.runs[0].end.as_mut() {
            end.recorded_after_lapse = end.recorded_at.take();
        }
        let again = run(key(0, 0, 2), 14 * SECOND + SECOND / 2);
        day.runs.insert(2, ended(again, 15 * SECOND, EndKind::DONE));
    });
    assert_eq!(found, []);
}

#[test]
fn a_start_after_the_job_was_shown_as_completed_is_caught() {
    let found = changed(|day| {
        day.runs.iter_mut().for_each(|run| {
            if let Some(end) = run.end.as_mut() {
                end.recorded_at = None;
            }
        });
        day.runs.push(ended(run(key(1, 0, 2), 30 * SECOND), 31 * SECOND, EndKind::STOPPED));
    });
    assert_eq!(found, [Rule::Twice]);
}

#[test]
fn a_start_before_its_dependencies_are_done_is_caught() {
    let found = changed(|day| day.runs[2].started_at = 13 * SECOND + SECOND / 2);
    assert_eq!(found, [Rule::Order]);
}

#[test]
fn a_start_before_its_time_is_caught() {
    let due = |seconds: u64| {
        changed(move |day| {
            let job = day.jobs.get_mut(&JOB).expect("the job is there");
            job.body.repeat = 1;
            job.body.start_at_ms = DAY_BEGINS_MS + seconds * 1_000;
        })
    };
    assert_eq!(due(14), [Rule::Order]);
    assert_eq!(due(13), []);
}

#[test]
fn a_start_on_another_service_is_caught() {
    assert_eq!(changed(|day| day.runs[0].service = 1), [Rule::Route]);
}

#[test]
fn a_start_without_the_label_is_caught() {
    let found = changed(|day| {
        day.jobs.values_mut().for_each(|job| job.body.stages[0].constraint = "b".to_owned());
    });
    assert_eq!(found, [Rule::Route]);
}

#[test]
fn too_many_tasks_of_a_step_on_a_worker_are_caught() {
    let found = changed(|day| {
        day.jobs.values_mut().for_each(|job| job.body.stages[0].anti_affinity = 1);
        day.runs[1].step_tasks_on_worker = 2;
    });
    assert_eq!(found, [Rule::Route]);
}

#[test]
fn a_start_after_the_last_allowed_failure_is_caught() {
    let fail = |count: u32| {
        changed(move |day| {
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
fn a_gang_that_ends_alone_is_caught_in_calm_only() {
    let alone = |calm: bool| {
        changed(move |day| {
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
fn orders_that_nobody_sent_are_caught() {
    let unknown = |day: &mut History| day.unknown_orders.push(UnknownOrder { at: SECOND, key: key(9, 9, 1) });
    assert_eq!(changed(unknown), [Rule::Unasked]);
    assert_eq!(changed(|day| day.runs[0].spec_matches = false), [Rule::Unasked]);
    assert_eq!(changed(|day| day.runs[0].checkpoint_matches = false), [Rule::Unasked]);
}

#[test]
fn a_start_long_after_the_cancelling_is_caught() {
    let cancelled = |seconds: u64| {
        changed(move |day| {
            day.calls.retain(|call| call.kind == CallKind::Submit);
            day.calls.push(call(CallKind::Cancel, seconds * SECOND, Answer::Done));
        })
    };
    assert_eq!(cancelled(11), [Rule::Unasked]);
    assert_eq!(cancelled(13), []);
}

#[test]
fn a_run_that_goes_on_after_the_cancelling_is_caught() {
    let found = changed(|day| {
        day.calls.retain(|call| call.kind == CallKind::Submit);
        day.calls.push(call(CallKind::Cancel, 13 * SECOND, Answer::Done));
        day.runs[0] = ended(run(key(0, 0, 1), 13 * SECOND), 20 * SECOND, EndKind::DONE);
        day.runs.truncate(2);
    });
    assert_eq!(found, [Rule::Unasked]);
}

#[test]
fn a_start_of_a_rejected_job_is_caught() {
    let found = changed(|day| {
        day.calls.clear();
        day.calls.push(call(CallKind::Submit, 12 * SECOND, Answer::Rejected));
    });
    assert_eq!(found, [Rule::Refused]);
    let unsure = changed(|day| {
        day.calls.clear();
        day.calls.push(call(CallKind::Submit, 12 * SECOND, Answer::Rejected));
        day.calls.push(call(CallKind::Submit, 12 * SECOND, Answer::None));
    });
    assert_eq!(unsure, []);
}

#[test]
fn a_start_on_a_worker_that_is_leaving_is_caught() {
    let drained = |at: u64| {
        changed(move |day| {
            let instance = day.runs[2].instance.clone();
            day.drains.push(DrainRead { reader: 0, instance, at });
        })
    };
    assert_eq!(drained(11 * SECOND), [Rule::Drain]);
    assert_eq!(drained(13 * SECOND), []);
}

#[test]
fn a_job_shown_as_completed_too_early_is_caught() {
    assert_eq!(changed(|day| day.calls.push(sees(15 * SECOND, "completed"))), [Rule::Mixed]);
    assert_eq!(changed(|day| day.calls.push(sees(40 * SECOND, "finished"))), [Rule::Mixed]);
}

#[test]
fn an_accepted_job_that_is_gone_is_caught() {
    let gone = |at: u64| changed(move |day| day.calls.insert(1, call(CallKind::Read, at, Answer::Gone)));
    assert_eq!(gone(30 * SECOND), [Rule::Lost]);
    assert_eq!(gone(14 * SECOND), []);
}

#[test]
fn an_end_without_cause_is_caught() {
    assert_eq!(changed(|day| day.calls.insert(1, sees(14 * SECOND, "failed"))), [Rule::Lost]);
    assert_eq!(changed(|day| day.calls.insert(1, sees(14 * SECOND, "cancelled"))), [Rule::Lost]);
}

#[test]
fn a_job_that_is_not_known_at_the_end_is_caught() {
    let found = changed(|day| {
        day.calls.pop();
        day.calls.push(call(CallKind::Read, 58 * SECOND, Answer::None));
    });
    assert_eq!(found, [Rule::Lost]);
}

#[test]
fn a_job_that_waits_for_no_reason_is_caught() {
    let idle = |day: &mut History| {
        day.idle.push(IdleJob { job: JOB, since: 0, at: 3 * SECOND, worker_was_lost: false });
    };
    assert_eq!(changed(idle), [Rule::Lost]);
}

#[test]
fn a_start_beyond_what_a_worker_has_is_caught() {
    let load = Resources { cpu: 99_000, mem_mb: 1, gpu: 0 };
    assert_eq!(changed(|day| day.runs[0].overload = Some(load)), [Rule::Limit]);
}

#[test]
fn a_final_fault_that_is_not_recovered_from_is_caught() {
    let found = changed(|day| {
        day.ended_at = 100 * SECOND;
        day.final_fault = Some(Span { from: 44 * SECOND, until: 46 * SECOND });
        for number in 0..20 {
            day.calls.insert(2, call(CallKind::Submit, 60 * SECOND + ms(number), Answer::None));
        }
    });
    assert_eq!(found, [Rule::Recover]);
}

#[test]
fn a_process_that_fails_is_caught() {
    let fault = ProcessFault { machine: 0, at: SECOND, text: "it spins".to_owned() };
    assert_eq!(changed(|day| day.process_faults.push(fault)), [Rule::ProcessFault]);
}
