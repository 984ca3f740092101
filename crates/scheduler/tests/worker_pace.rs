//! The pace of lease renewals beside one that gets no answer.

mod support;

use scheduler::worker::{CallOutcome, RunningEntry, SessionOutput};

use support::driver::{has_started, lease_renewals, only_lease_renewal, starts, stops, Driver};
use support::{key, order, MS};

/// Lease renewals of half a second at the ordinary pace: one every 100 ms, and two ahead of it.
const ORDINARY_PACE: usize = 8;

/// A driver with one running attempt whose lease renewal in flight is overdue, and the one that was sent
/// beside it.
fn with_overdue_lease_renewal() -> (Driver, u64) {
    let mut driver = Driver::new();
    driver.session.adopt(key(0, 1));
    let out = driver.answer_first_query(&[key(0, 1)], &[]);
    assert!(has_started(&out, key(0, 1)));
    only_lease_renewal(&out);
    let mut out = Vec::new();
    while lease_renewals(&out).is_empty() {
        driver.advance_ms(10);
        out = driver.poll();
    }
    let beside = only_lease_renewal(&out);
    (driver, beside)
}

/// Lets each lease renewal that is sent meet `outcome` at once; gives how many were sent within the span.
fn lease_renewals_within_ms(driver: &mut Driver, span_ms: u64, first: u64, outcome: &CallOutcome) -> usize {
    let until = driver.now + span_ms * MS;
    let mut waiting = vec![first];
    let mut sent = 1;
    while driver.now < until && sent < 1_000 {
        let out: Vec<SessionOutput> = match waiting.pop() {
            Some(call) => driver.answer(call, outcome.clone()),
            None => {
                driver.advance_ms(1);
                driver.poll()
            }
        };
        waiting.extend(lease_renewals(&out));
        sent += lease_renewals(&out).len();
    }
    sent
}

#[test]
fn a_lease_renewal_that_is_not_sent_beside_an_overdue_one_is_not_retried_at_once() {
    let (mut driver, beside) = with_overdue_lease_renewal();
    let sent = lease_renewals_within_ms(&mut driver, 500, beside, &CallOutcome::NotSent);
    assert!(sent <= 3, "{sent} lease renewals in half a second");
}

#[test]
fn without_the_leaders_lease_a_lease_renewal_that_is_not_sent_is_not_retried_at_once() {
    let (mut driver, beside) = with_overdue_lease_renewal();
    driver.session.set_leader_lease(0);
    let sent = lease_renewals_within_ms(&mut driver, 500, beside, &CallOutcome::NotSent);
    assert!(sent <= 3, "{sent} lease renewals in half a second");
}

#[test]
fn lease_renewals_that_are_answered_beside_an_overdue_one_keep_their_pace() {
    let (mut driver, beside) = with_overdue_lease_renewal();
    let running = vec![RunningEntry { key: key(0, 1), checkpoint: String::new(), percent: 1 }];
    let lists = CallOutcome::Lists { now_ms: driver.now_ms(), running, finished: Vec::new() };
    let sent = lease_renewals_within_ms(&mut driver, 500, beside, &lists);
    assert!(sent <= ORDINARY_PACE, "{sent} lease renewals in half a second");
}

/// Milliseconds from a stop's answer to the status query that settles the attempt, with the given spacing.
fn status_query_after_ms(spacing_ms: u64) -> u64 {
    let mut driver = Driver::new();
    driver.session.set_status_query_spacing(spacing_ms * MS);
    driver.session.start(order(key(0, 1), "text"));
    let out = driver.answer_first_query(&[], &[]);
    let ordinary = only_lease_renewal(&out);
    driver.answer(starts(&out)[0], CallOutcome::NoResponse);
    let mut out = driver.answer_with_lists(ordinary, &[], &[]);
    while stops(&out).is_empty() {
        let lists = *lease_renewals(&out).first().unwrap_or(&0);
        out = if lists > 0 { driver.answer_with_lists(lists, &[], &[]) } else { driver.poll_for_ms(1) };
    }
    let began = driver.now;
    let mut out = driver.answer_ok(stops(&out)[0].0);
    while lease_renewals(&out).is_empty() {
        out = driver.poll_for_ms(1);
    }
    (driver.now - began) / MS
}

#[test]
fn status_queries_follow_each_other_as_slowly_as_the_leader_can_bear() {
    let (ordinary, slow) = (status_query_after_ms(0), status_query_after_ms(1_000));
    assert!(ordinary <= 50, "{ordinary} ms");
    assert!(slow >= 900, "{slow} ms");
}
