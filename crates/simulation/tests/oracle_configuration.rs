//! For each part of the rule CONFIG, the oracle detects its violation in a history made by hand.

mod support;

use simulation::history::{Answer, CallKind, ClientCall, ConfigurationQuery, History, Span};
use simulation::oracle::Rule;
use simulation::time::SECOND;
use support::*;

fn changed(change: impl FnOnce(&mut History)) -> Vec<Rule> {
    let mut history = good_day();
    change(&mut history);
    broken(&history)
}

/// Adds version 2, based on version 1, and reads it back at the end.
fn with_second(day: &mut History) {
    let second = configuration(2, 1, 20 * SECOND);
    day.read_back = Some(second.body.clone());
    day.configurations.push(second);
}

fn count(prefix: &str, sent_at: u64, answer: Answer) -> ClientCall {
    ClientCall { prefix: prefix.to_owned(), job: 0, ..call(CallKind::Count, sent_at, answer) }
}

#[test]
fn a_change_that_is_in_force_breaks_nothing() {
    assert_eq!(changed(with_second), []);
}

#[test]
fn an_invalid_configuration_that_is_acknowledged_is_caught() {
    let found = changed(|day| {
        let mut bad = configuration(5, 1, 20 * SECOND);
        bad.invalid = true;
        day.configurations.push(bad);
    });
    assert_eq!(found, [Rule::Config]);
}

#[test]
fn two_changes_on_one_version_that_are_both_acknowledged_are_caught() {
    let found = changed(|day| {
        with_second(day);
        let rival = configuration(3, 1, 20 * SECOND);
        day.read_back = Some(rival.body.clone());
        day.configurations.push(rival);
    });
    assert_eq!(found, [Rule::Config]);
}

#[test]
fn an_acknowledged_change_that_is_refused_is_caught() {
    let refuse = |superseded: bool| {
        changed(move |day| {
            with_second(day);
            day.configurations[0].refused.push((if superseded { 25 } else { 15 } * SECOND, 412));
        })
    };
    assert_eq!(refuse(false), [Rule::Config]);
    assert_eq!(refuse(true), []);
}

#[test]
fn an_older_configuration_that_is_read_back_is_caught() {
    let found = changed(|day| {
        with_second(day);
        day.read_back = Some(day.configurations[0].body.clone());
    });
    assert_eq!(found, [Rule::Config]);
}

#[test]
fn what_was_never_sent_or_does_not_come_is_caught() {
    assert_eq!(changed(|day| day.read_back = Some(b"other".to_vec())), [Rule::Config]);
    assert_eq!(changed(|day| day.read_back = None), [Rule::Config]);
}

#[test]
fn a_refused_configuration_that_is_in_force_is_caught() {
    let found = changed(|day| {
        let mut refused = configuration(2, 1, 20 * SECOND);
        (refused.acknowledged_at, refused.accepted_at) = (None, None);
        refused.refused.push((21 * SECOND, 412));
        day.read_back = Some(refused.body.clone());
        day.configurations.push(refused);
    });
    assert_eq!(found, [Rule::Config]);
}

#[test]
fn a_change_without_a_clear_answer_may_be_in_force_or_not() {
    let unclear = |in_force: bool| {
        changed(move |day| {
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
fn a_dropped_queue_that_is_served_for_too_long_is_caught() {
    let served = |at: u64| {
        changed(move |day| {
            with_second(day);
            day.calls.push(count("/extra1/", at, Answer::Count(0)));
        })
    };
    assert_eq!(served(21 * SECOND), []);
    assert_eq!(served(25 * SECOND), [Rule::Config]);
}

#[test]
fn a_new_queue_that_is_refused_for_too_long_is_caught_in_touch_only() {
    let refused = |fault: bool| {
        changed(move |day| {
            with_second(day);
            day.calls.push(count("/extra2/", 25 * SECOND, Answer::NoRoute));
            if fault {
                day.core_faults.push(Span { from: 21 * SECOND, until: 23 * SECOND });
            }
        })
    };
    assert_eq!(refused(false), [Rule::Config]);
    assert_eq!(refused(true), []);
}

/// Adds a read of the given version from `sent_at` to `at`.
fn read(day: &mut History, version: usize, sent_at: u64, at: u64) {
    let body = day.configurations[version - 1].body.clone();
    day.configuration_queries.push(ConfigurationQuery { sent_at, answer: Some((at, body)) });
}

#[test]
fn a_reading_that_overlaps_a_change_may_see_either_version() {
    let found = changed(|day| {
        with_second(day);
        let acknowledged = day.configurations[1].accepted_at.expect("it was");
        read(day, 1, acknowledged - 1, acknowledged + SECOND);
        read(day, 2, acknowledged - 1, acknowledged + SECOND);
        read(day, 2, acknowledged + 1, acknowledged + SECOND);
    });
    assert_eq!(found, []);
}

#[test]
fn a_reading_that_is_older_than_what_was_acknowledged_before_it_is_caught() {
    let found = changed(|day| {
        with_second(day);
        let acknowledged = day.configurations[1].acknowledged_at.expect("it was");
        read(day, 1, acknowledged + 1, acknowledged + 2);
    });
    assert_eq!(found, [Rule::Config]);
}

#[test]
fn readings_that_go_back_are_caught() {
    let found = changed(|day| {
        with_second(day);
        let sent = day.configurations[1].sent_at;
        day.configurations[1].acknowledged_at = None;
        day.configurations[1].accepted_at = None;
        read(day, 2, sent + 1, sent + 2);
        read(day, 1, sent + 3, sent + 4);
    });
    assert_eq!(found, [Rule::Config]);
}

#[test]
fn a_reading_of_what_was_never_sent_is_caught() {
    let found = changed(|day| {
        day.configuration_queries
            .push(ConfigurationQuery { sent_at: 5 * SECOND, answer: Some((6 * SECOND, vec![1])) });
    });
    assert_eq!(found, [Rule::Config]);
}
