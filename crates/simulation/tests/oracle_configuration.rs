//! For each part of the rule CONFIG, the oracle detects its violation in a history made by hand.

mod support;

use simulation::history::{Answer, CallKind, ClientCall, ConfigurationQuery, History, Span};
use simulation::oracle::Rule;
use simulation::time::SECOND;
use support::*;

fn violations_after(change: impl FnOnce(&mut History)) -> Vec<Rule> {
    let mut history = valid_history();
    change(&mut history);
    violated_rules(&history)
}

/// Adds version 2, based on version 1, and reads it back at the end.
fn add_second_version(day: &mut History) {
    let second = configuration(2, 1, 20 * SECOND);
    day.read_back = Some(second.body.clone());
    day.configurations.push(second);
}

fn count_call(prefix: &str, sent_at: u64, answer: Answer) -> ClientCall {
    ClientCall { prefix: prefix.to_owned(), job: 0, ..call(CallKind::Count, sent_at, answer) }
}

#[test]
fn accepts_change_in_force() {
    assert_eq!(violations_after(add_second_version), []);
}

#[test]
fn detects_acknowledged_invalid_configuration() {
    let violated = violations_after(|day| {
        let mut bad = configuration(5, 1, 20 * SECOND);
        bad.invalid = true;
        day.configurations.push(bad);
    });
    assert_eq!(violated, [Rule::Config]);
}

#[test]
fn detects_two_acknowledged_changes_of_one_version() {
    let violated = violations_after(|day| {
        add_second_version(day);
        let conflicting = configuration(3, 1, 20 * SECOND);
        day.read_back = Some(conflicting.body.clone());
        day.configurations.push(conflicting);
    });
    assert_eq!(violated, [Rule::Config]);
}

#[test]
fn detects_refusal_of_acknowledged_change() {
    let refuse = |superseded: bool| {
        violations_after(move |day| {
            add_second_version(day);
            day.configurations[0].refused.push((if superseded { 25 } else { 15 } * SECOND, 412));
        })
    };
    assert_eq!(refuse(false), [Rule::Config]);
    assert_eq!(refuse(true), []);
}

#[test]
fn detects_older_configuration_read_back() {
    let violated = violations_after(|day| {
        add_second_version(day);
        day.read_back = Some(day.configurations[0].body.clone());
    });
    assert_eq!(violated, [Rule::Config]);
}

#[test]
fn detects_unknown_or_missing_read_back() {
    assert_eq!(violations_after(|day| day.read_back = Some(b"other".to_vec())), [Rule::Config]);
    assert_eq!(violations_after(|day| day.read_back = None), [Rule::Config]);
}

#[test]
fn detects_refused_configuration_in_force() {
    let violated = violations_after(|day| {
        let mut refused = configuration(2, 1, 20 * SECOND);
        (refused.acknowledged_at, refused.accepted_at) = (None, None);
        refused.refused.push((21 * SECOND, 412));
        day.read_back = Some(refused.body.clone());
        day.configurations.push(refused);
    });
    assert_eq!(violated, [Rule::Config]);
}

#[test]
fn allows_either_outcome_of_unanswered_change() {
    let unclear = |in_force: bool| {
        violations_after(move |day| {
            let mut unclear = configuration(2, 1, 20 * SECOND);
            (unclear.acknowledged_at, unclear.accepted_at) = (None, None);
            if in_force {
                day.read_back = Some(unclear.body.clone());
            }
            day.configurations.push(unclear);
        })
    };
    assert_eq!(unclear(true), []);
    assert_eq!(unclear(false), []);
}

#[test]
fn detects_removed_queue_served_too_long() {
    let served = |at: u64| {
        violations_after(move |day| {
            add_second_version(day);
            day.calls.push(count_call("/extra1/", at, Answer::Count(0)));
        })
    };
    assert_eq!(served(21 * SECOND), []);
    assert_eq!(served(25 * SECOND), [Rule::Config]);
}

#[test]
fn detects_new_queue_refused_too_long_only_in_contact() {
    let refused = |fault: bool| {
        violations_after(move |day| {
            add_second_version(day);
            day.calls.push(count_call("/extra2/", 25 * SECOND, Answer::NoRoute));
            if fault {
                day.core_faults.push(Span { from: 21 * SECOND, until: 23 * SECOND });
            }
        })
    };
    assert_eq!(refused(false), [Rule::Config]);
    assert_eq!(refused(true), []);
}

/// Adds a read of the given version from `sent_at` to `at`.
fn add_read(day: &mut History, version: usize, sent_at: u64, at: u64) {
    let body = day.configurations[version - 1].body.clone();
    day.configuration_queries.push(ConfigurationQuery { sent_at, answer: Some((at, body)) });
}

#[test]
fn allows_either_version_for_read_overlapping_change() {
    let violated = violations_after(|day| {
        add_second_version(day);
        let acknowledged = day.configurations[1].accepted_at.expect("the change was acknowledged");
        add_read(day, 1, acknowledged - 1, acknowledged + SECOND);
        add_read(day, 2, acknowledged - 1, acknowledged + SECOND);
        add_read(day, 2, acknowledged + 1, acknowledged + SECOND);
    });
    assert_eq!(violated, []);
}

#[test]
fn detects_read_older_than_acknowledged_version() {
    let violated = violations_after(|day| {
        add_second_version(day);
        let acknowledged = day.configurations[1].acknowledged_at.expect("the change was acknowledged");
        add_read(day, 1, acknowledged + 1, acknowledged + 2);
    });
    assert_eq!(violated, [Rule::Config]);
}

#[test]
fn detects_reads_going_back_in_version() {
    let violated = violations_after(|day| {
        add_second_version(day);
        let sent = day.configurations[1].sent_at;
        day.configurations[1].acknowledged_at = None;
        day.configurations[1].accepted_at = None;
        add_read(day, 2, sent + 1, sent + 2);
        add_read(day, 1, sent + 3, sent + 4);
    });
    assert_eq!(violated, [Rule::Config]);
}

#[test]
fn detects_read_of_unknown_configuration() {
    let violated = violations_after(|day| {
        day.configuration_queries
            .push(ConfigurationQuery { sent_at: 5 * SECOND, answer: Some((6 * SECOND, vec![1])) });
    });
    assert_eq!(violated, [Rule::Config]);
}
