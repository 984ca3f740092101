//! Rate of lease renewals while an earlier lease renewal gets no answer. A session must not retry them in a
//! busy loop.

mod support;

use scheduler::worker::{CallOutcome, RunningEntry, SessionOutput};

use support::driver::{has_started, lease_renewals, only_lease_renewal, starts, stops, Driver};
use support::{key, order, MS};

/// Lease renewals in half a second at the ordinary rate: one every 100 ms, and two at the beginning.
const MAX_LEASE_RENEWALS_IN_500_MS: usize = 8;

/// Returns a driver with one running attempt and an overdue lease renewal, and the number of the second lease
/// renewal that was sent meanwhile.
fn driver_with_overdue_lease_renewal() -> (Driver, u64) {
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
    let second = only_lease_renewal(&out);
    (driver, second)
}

/// Completes each lease renewal at once with `outcome`. Returns the number of lease renewals sent within the
/// span.
fn count_lease_renewals(driver: &mut Driver, span_ms: u64, first: u64, outcome: &CallOutcome) -> usize {
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

/// A lease renewal that cannot be sent must not be retried in a busy loop.
#[test]
fn unsent_lease_renewal_beside_an_overdue_one_is_retried_later() {
    let (mut driver, second) = driver_with_overdue_lease_renewal();
    let sent = count_lease_renewals(&mut driver, 500, second, &CallOutcome::NotSent);
    assert!(sent <= 3, "{sent} lease renewals in half a second");
}

#[test]
fn unsent_lease_renewal_is_retried_later_without_the_leader_lease() {
    let (mut driver, second) = driver_with_overdue_lease_renewal();
    driver.session.set_leader_lease(0);
    let sent = count_lease_renewals(&mut driver, 500, second, &CallOutcome::NotSent);
    assert!(sent <= 3, "{sent} lease renewals in half a second");
}

#[test]
fn answered_lease_renewals_keep_their_rate_beside_an_overdue_one() {
    let (mut driver, second) = driver_with_overdue_lease_renewal();
    let running = vec![RunningEntry { key: key(0, 1), checkpoint: String::new(), percent: 1 }];
    let lists = CallOutcome::Lists { now_ms: driver.now_ms(), running, finished: Vec::new() };
    let sent = count_lease_renewals(&mut driver, 500, second, &lists);
    assert!(sent <= MAX_LEASE_RENEWALS_IN_500_MS, "{sent} lease renewals in half a second");
}

/// Returns the milliseconds from the answer to a stop until the status query that resolves the attempt.
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
    let stop_answered_at = driver.now;
    let mut out = driver.answer_ok(stops(&out)[0].0);
    while lease_renewals(&out).is_empty() {
        out = driver.poll_for_ms(1);
    }
    (driver.now - stop_answered_at) / MS
}

#[test]
fn status_queries_keep_the_configured_spacing() {
    let (ordinary, slow) = (status_query_after_ms(0), status_query_after_ms(1_000));
    assert!(ordinary <= 50, "{ordinary} ms");
    assert!(slow >= 900, "{slow} ms");
}
