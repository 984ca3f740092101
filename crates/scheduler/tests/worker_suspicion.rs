//! Suspicion of a worker whose answer is missing, and expiry of the worker's lease.

mod support;

use scheduler::worker::{CallOutcome, SessionOutput, WorkerRequest};

use support::driver::{calls, lease_renewals, resolutions, starts, Driver, SESSION_START_MS};
use support::{key, order, MS};

/// Returns a driver whose worker answered before but not the one start sent, and the number of the query that
/// follows.
fn driver_with_unanswered_start() -> (Driver, u64) {
    let mut driver = Driver::new();
    driver.session.start(order(key(0, 1), "text"));
    let out = driver.answer_first_query(&[], &[]);
    let start = starts(&out)[0];
    driver.advance_ms(300);
    let out = driver.answer(start, CallOutcome::NoResponse);
    assert!(out.contains(&SessionOutput::SuspicionChanged { suspected: true }), "{out:?}");
    assert!(deadlines(&out).is_empty(), "{out:?}");
    let query = *lease_renewals(&out).last().expect("a status query follows");
    (driver, query)
}

fn deadlines(out: &[SessionOutput]) -> Vec<u64> {
    let deadline = |(_, request)| match request {
        WorkerRequest::RenewLease { deadline_ms, .. } => deadline_ms,
        WorkerRequest::Start { deadline_ms, .. } => Some(deadline_ms),
        WorkerRequest::Stop { .. } => None,
    };
    calls(out).into_iter().filter_map(deadline).collect()
}

#[test]
fn suspected_worker_gets_no_start_and_no_lease_extension() {
    let (mut driver, query) = driver_with_unanswered_start();
    driver.session.start(order(key(1, 1), "text"));
    let out = driver.poll_for_ms(200);
    assert!(starts(&out).is_empty(), "{out:?}");
    assert!(deadlines(&out).is_empty(), "{out:?}");
    let out = driver.answer_with_lists(query, &[key(0, 1)], &[]);
    assert!(out.contains(&SessionOutput::SuspicionChanged { suspected: false }), "{out:?}");
    assert_eq!(starts(&out).len(), 1, "the queued start is sent: {out:?}");
    assert!(!deadlines(&out).is_empty(), "{out:?}");
}

#[test]
fn starts_for_an_unreachable_worker_are_rejected() {
    let (mut driver, _) = driver_with_unanswered_start();
    driver.session.start(order(key(1, 1), "text"));
    let out = driver.poll_for_ms(1_500);
    assert!(out.contains(&SessionOutput::ReachabilityChanged { reachable: false }), "{out:?}");
    assert!(resolutions(&out).iter().any(|(attempt, _)| *attempt == key(1, 1)), "{out:?}");
}

#[test]
fn unsent_call_raises_no_suspicion() {
    let mut driver = Driver::new();
    driver.session.start(order(key(0, 1), "text"));
    let out = driver.answer_first_query(&[], &[]);
    let out = driver.answer(starts(&out)[0], CallOutcome::NotSent);
    assert!(!out.contains(&SessionOutput::SuspicionChanged { suspected: true }), "{out:?}");
}

#[test]
fn new_worker_lease_applies_from_the_next_call() {
    let mut driver = Driver::new();
    driver.session.set_worker_lease(2_500);
    driver.session.start(order(key(0, 1), "text"));
    let out = driver.answer_first_query(&[], &[]);
    assert_eq!(deadlines(&out), [SESSION_START_MS + 2_500, SESSION_START_MS + 2_500]);
}

/// Returns the time from the worker's last answer until the session regards its lease as expired, in
/// milliseconds. The worker lease is `first_ms` at first and `second_ms` later.
fn lease_expiry_ms(first_ms: u64, second_ms: u64) -> u64 {
    let mut driver = Driver::new();
    driver.session.set_worker_lease(first_ms);
    driver.session.start(order(key(0, 1), "text"));
    let out = driver.answer_first_query(&[], &[]);
    driver.answer_ok(starts(&out)[0]);
    driver.session.set_worker_lease(second_ms);
    let lease_renewal = lease_renewals(&out)[0];
    driver.advance_ms(100);
    driver.answer_with_lists(lease_renewal, &[key(0, 1)], &[]);
    let last_answer_at = driver.now;
    loop {
        let out = driver.poll_for_ms(10);
        if !resolutions(&out).is_empty() {
            return (driver.now - last_answer_at) / MS;
        }
        assert!(driver.now - last_answer_at < 20_000 * MS, "the worker's lease never expires");
    }
}

#[test]
fn lease_expiry_follows_the_greatest_deadline_sent() {
    // Earlier leaders may have granted leases of the longest length (6 s) until this session began.
    let earlier = lease_expiry_ms(1_000, 1_000);
    assert!((5_900..6_400).contains(&earlier), "{earlier}");
    assert!(lease_expiry_ms(5_000, 1_000) >= earlier);
    let mut driver = Driver::new();
    driver.session.start(order(key(0, 1), "text"));
    let out = driver.answer_first_query(&[], &[]);
    driver.answer_ok(starts(&out)[0]);
    // Long after the election only the deadlines of this session count. The first deadline, 5 s ahead, is
    // still in force when a shorter one follows.
    let mut lease_renewal = lease_renewals(&out)[0];
    for _ in 0..10 {
        driver.advance_ms(900);
        let out = driver.answer_with_lists(lease_renewal, &[key(0, 1)], &[]);
        lease_renewal = *lease_renewals(&out).last().unwrap_or(&lease_renewal);
    }
    let longest_sent = driver.now_ms() + 5_000;
    driver.session.set_worker_lease(1_000);
    driver.advance_ms(500);
    let out = driver.answer_with_lists(lease_renewal, &[key(0, 1)], &[]);
    assert!(
        deadlines(&out).iter().all(|deadline| *deadline >= longest_sent),
        "a deadline was shortened: {out:?}"
    );
    while driver.now_ms() < longest_sent {
        assert_eq!(resolutions(&driver.poll_for_ms(10)), []);
    }
    assert_eq!(resolutions(&driver.poll_for_ms(400)).len(), 1);
}
