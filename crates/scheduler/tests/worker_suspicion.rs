//! What a session does while an answer of its worker is missing, and when the worker's lease expires.

mod support;

use scheduler::worker::{CallOutcome, SessionOutput, WorkerRequest};

use support::driver::{calls, lease_renewals, resolutions, starts, Driver, SESSION_START_MS};
use support::{key, order, MS};

/// A driver whose session has sent one start that got no answer; the worker has answered before. Gives the
/// query that follows, too.
fn with_unanswered_start() -> (Driver, u64) {
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
fn a_suspected_worker_gets_no_start_and_no_longer_lease_until_it_answers() {
    let (mut driver, query) = with_unanswered_start();
    driver.session.start(order(key(1, 1), "text"));
    let out = driver.poll_for_ms(200);
    assert!(starts(&out).is_empty(), "{out:?}");
    assert!(deadlines(&out).is_empty(), "{out:?}");
    let out = driver.answer_with_lists(query, &[key(0, 1)], &[]);
    assert!(out.contains(&SessionOutput::SuspicionChanged { suspected: false }), "{out:?}");
    assert_eq!(starts(&out).len(), 1, "what waited leaves: {out:?}");
    assert!(!deadlines(&out).is_empty(), "{out:?}");
}

#[test]
fn starts_that_wait_for_a_suspected_worker_are_rejected_once_it_is_unreachable() {
    let (mut driver, _) = with_unanswered_start();
    driver.session.start(order(key(1, 1), "text"));
    let out = driver.poll_for_ms(1_500);
    assert!(out.contains(&SessionOutput::ReachabilityChanged { reachable: false }), "{out:?}");
    assert!(resolutions(&out).iter().any(|(attempt, _)| *attempt == key(1, 1)), "{out:?}");
}

#[test]
fn a_call_that_was_never_sent_raises_no_suspicion() {
    let mut driver = Driver::new();
    driver.session.start(order(key(0, 1), "text"));
    let out = driver.answer_first_query(&[], &[]);
    let out = driver.answer(starts(&out)[0], CallOutcome::NotSent);
    assert!(!out.contains(&SessionOutput::SuspicionChanged { suspected: true }), "{out:?}");
}

#[test]
fn the_worker_lease_is_as_long_as_the_caller_says_from_the_next_call_on() {
    let mut driver = Driver::new();
    driver.session.set_worker_lease(2_500);
    driver.session.start(order(key(0, 1), "text"));
    let out = driver.answer_first_query(&[], &[]);
    assert_eq!(deadlines(&out), [SESSION_START_MS + 2_500, SESSION_START_MS + 2_500]);
}

/// When the session takes the worker's lease as expired, in milliseconds after the last call that it could
/// answer.
fn expiry_after(first_ms: u64, then_ms: u64) -> u64 {
    let mut driver = Driver::new();
    driver.session.set_worker_lease(first_ms);
    driver.session.start(order(key(0, 1), "text"));
    let out = driver.answer_first_query(&[], &[]);
    driver.answer_ok(starts(&out)[0]);
    driver.session.set_worker_lease(then_ms);
    let lease_renewal = lease_renewals(&out)[0];
    driver.advance_ms(100);
    driver.answer_with_lists(lease_renewal, &[key(0, 1)], &[]);
    let begin = driver.now;
    loop {
        let out = driver.poll_for_ms(10);
        if !resolutions(&out).is_empty() {
            return (driver.now - begin) / MS;
        }
        assert!(driver.now - begin < 20_000 * MS, "the worker's lease never expires");
    }
}

#[test]
fn lease_expiry_is_computed_from_the_greatest_deadline_that_was_sent() {
    // Earlier leaders may have set leases of the longest length (6 s) until this one began.
    let earlier = expiry_after(1_000, 1_000);
    assert!((5_900..6_400).contains(&earlier), "{earlier}");
    assert!(expiry_after(5_000, 1_000) >= earlier);
    let mut driver = Driver::new();
    driver.session.start(order(key(0, 1), "text"));
    let out = driver.answer_first_query(&[], &[]);
    driver.answer_ok(starts(&out)[0]);
    // Long after the election only own deadlines count: the first one, 5 s ahead, is in force when a shorter
    // one follows.
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
    assert!(deadlines(&out).iter().all(|deadline| *deadline >= longest_sent), "never shortened: {out:?}");
    while driver.now_ms() < longest_sent {
        assert_eq!(resolutions(&driver.poll_for_ms(10)), []);
    }
    assert_eq!(resolutions(&driver.poll_for_ms(400)).len(), 1);
}
