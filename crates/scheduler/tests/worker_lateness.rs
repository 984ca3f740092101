//! Lateness of the caller's process: a session decides on missing answers by the time up to which its caller
//! has read input, and on lease expiry by the monotonic clock.

mod support;

use messages::job::Resolution;
use scheduler::worker::{CallOutcome, ResponseClock, SessionOutput};

use support::driver::{calls, lease_renewals, resolutions, starts, Driver};
use support::{key, order, MS};

/// Longest time that a session waits for the answer to a start, in milliseconds.
const MAX_START_TIMEOUT_MS: u64 = 2_000;

/// Returns a driver whose session has one start in flight, and the number of that call. All input up to now
/// has been read.
fn driver_with_start_in_flight() -> (Driver, u64) {
    let mut driver = Driver::new();
    driver.session.start(order(key(0, 1), "text"));
    let out = driver.answer_first_query(&[], &[]);
    (driver, starts(&out)[0])
}

fn read_until(at: u64) -> ResponseClock {
    let mut clock = ResponseClock::default();
    clock.set_read_until(at);
    clock
}

/// Whether an output shows that the session regards an answer of the worker as missing.
fn reports_missing_answer(out: &[SessionOutput]) -> bool {
    out.iter().any(|output| {
        matches!(
            output,
            SessionOutput::SuspicionChanged { suspected: true }
                | SessionOutput::ReachabilityChanged { reachable: false }
                | SessionOutput::CancelCall { .. }
        )
    })
}

#[test]
fn answer_that_may_be_unread_is_not_missing() {
    let (mut driver, start) = driver_with_start_in_flight();
    driver.session.set_response_clock(read_until(driver.now));
    let out = driver.poll_for_ms(MAX_START_TIMEOUT_MS);
    assert!(!reports_missing_answer(&out), "{out:?}");
    assert!(driver.session.awaits_input());
    let out = driver.answer_ok(start);
    assert!(out.contains(&SessionOutput::Started { key: key(0, 1) }), "{out:?}");
    assert!(resolutions(&out).is_empty());
}

#[test]
fn answer_is_missing_once_all_timely_input_was_read() {
    let (mut driver, _) = driver_with_start_in_flight();
    driver.session.set_response_clock(read_until(driver.now));
    driver.poll_for_ms(MAX_START_TIMEOUT_MS);
    driver.session.set_response_clock(read_until(driver.now));
    let out = driver.poll();
    assert!(reports_missing_answer(&out), "{out:?}");
    assert!(!driver.session.awaits_input());
}

#[test]
fn session_that_awaits_input_sets_no_timer() {
    let (mut driver, _) = driver_with_start_in_flight();
    driver.session.set_response_clock(read_until(driver.now));
    driver.poll_for_ms(MAX_START_TIMEOUT_MS);
    assert!(driver.session.next_timer() > driver.now, "the session would be polled in a busy loop");
}

#[test]
fn sends_no_second_lease_renewal_while_input_is_unread() {
    let (mut driver, start) = driver_with_start_in_flight();
    driver.answer_ok(start);
    driver.session.set_response_clock(read_until(driver.now));
    let out = driver.poll_for_ms(MAX_START_TIMEOUT_MS);
    assert!(lease_renewals(&out).is_empty(), "{out:?}");
}

#[test]
fn process_pauses_do_not_count_for_calls_in_flight() {
    let (mut driver, _) = driver_with_start_in_flight();
    let mut expected = Driver::new();
    expected.session.start(order(key(0, 1), "text"));
    expected.answer_first_query(&[], &[]);
    let suspected_after_ms = ms_until_suspected(&mut expected);
    let mut clock = ResponseClock::default();
    clock.add_absence(700 * MS);
    driver.advance_ms(700);
    driver.session.set_response_clock(clock);
    assert_eq!(ms_until_suspected(&mut driver), suspected_after_ms);
}

fn ms_until_suspected(driver: &mut Driver) -> u64 {
    let started_at = driver.now;
    while !driver.poll().contains(&SessionOutput::SuspicionChanged { suspected: true }) {
        assert!(
            driver.now < started_at + MAX_START_TIMEOUT_MS * MS,
            "the session never regards the answer as missing"
        );
        driver.advance_ms(1);
    }
    (driver.now - started_at) / MS
}

#[test]
fn worker_lease_expires_without_input() {
    let (mut driver, _) = driver_with_start_in_flight();
    let mut clock = read_until(driver.now);
    clock.add_absence(60_000 * MS);
    driver.session.set_response_clock(clock);
    driver.session.set_leader_lease(driver.now);
    let out = driver.poll_for_ms(10_000);
    assert_eq!(resolutions(&out), [(key(0, 1), Resolution::LEASE_EXPIRED)]);
}

#[test]
fn withheld_calls_do_not_make_a_worker_unreachable() {
    let (mut driver, start) = driver_with_start_in_flight();
    driver.advance_ms(5);
    let mut out = driver.answer(start, CallOutcome::Withheld);
    for _ in 0..20 {
        out.extend(driver.poll_for_ms(50));
        for (call, _) in calls(&out) {
            out.extend(driver.answer(call, CallOutcome::Withheld));
        }
        assert!(!reports_missing_answer(&out), "{out:?}");
        assert_eq!(resolutions(&out), [], "a withheld start must not be resolved");
    }
}

#[test]
fn resends_a_withheld_start() {
    let (mut driver, start) = driver_with_start_in_flight();
    driver.answer(start, CallOutcome::Withheld);
    let out = driver.poll_for_ms(200);
    assert_eq!(starts(&out).len(), 1, "{out:?}");
}

#[test]
fn stopped_withheld_start_never_ran() {
    let (mut driver, start) = driver_with_start_in_flight();
    driver.session.stop(key(0, 1));
    let out = driver.answer(start, CallOutcome::Withheld);
    assert_eq!(resolutions(&out), [(key(0, 1), Resolution::NEVER_RAN)]);
}
