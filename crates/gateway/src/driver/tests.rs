//! Tests of the driver with a decision engine that decides too little or too much.

use crate::backends::outgoing::Outgoing;
use crate::backends::Backends;
use crate::bodies::RequestBody;
use crate::config::Config;
use crate::driver::clock::Clock;
use crate::driver::request::{Answer, ClientRequest};
use crate::driver::Driver;
use bytes::Bytes;
use gateway_decisions::{Class, Effect, Group, Plan, Settings, Time};
use hyper::header::HeaderValue;
use hyper::{Method, Uri};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

fn driver() -> Rc<Driver> {
    let aim = 1_000_000_000;
    let config = Config {
        name: String::new(),
        listen: ([127, 0, 0, 1], 0).into(),
        discovery: vec![([127, 0, 0, 1], 0).into()],
        ops: None,
        seed: 7,
        cached_list: None,
        settings: Settings {
            classes: vec![Class::new("book-slot", aim, 2 * aim, Effect::Unsafe, Group::All)],
            plans: vec![Plan::new("basic", 10.0, 10.0)],
            ..Settings::default()
        },
        zones: Vec::new(),
        body_memory: 1 << 20,
        connect_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_millis(500),
        client_sockets: 10,
        backend_sockets: 10,
        log: Default::default(),
        document: Default::default(),
    };
    Driver::new(&config, Backends::new(&config)).unwrap()
}

fn incoming(class: usize) -> ClientRequest {
    ClientRequest {
        id: 1,
        class,
        plan: 0,
        customer: "c".into(),
        arrived: Instant::now(),
        timeout: Duration::from_millis(300),
        units: 1.0,
        spread: 1,
        is_retry: false,
        outgoing: Outgoing {
            method: Method::POST,
            uri: Uri::from_static("/api"),
            request_id: HeaderValue::from_static("1"),
            idempotency_key: None,
            content_type: None,
            host: HeaderValue::from_static("h"),
            body: RequestBody::Buffered(Bytes::new()),
            wait: Duration::from_millis(300),
        },
    }
}

/// The engine ignores an unknown class and decides nothing: the driver answers the request by its deadline.
#[tokio::test]
async fn answers_request_in_time_without_engine_decision() {
    let driver = driver();
    let (r, undecided) = (incoming(0), incoming(99));
    let pending = driver.submit(undecided).unwrap();
    let limit = driver.state.borrow().requests[&1].deadline;
    assert!(
        limit < Instant::now() + Duration::from_millis(300),
        "the deadline leaves time to send the answer"
    );
    assert!(driver.submit(r).is_none(), "the id is still pending");
    let answer = tokio::select! {
        never = driver.run() => match never {},
        answer = pending => answer,
    };
    assert!(matches!(answer, Answer::Refused { tried: false, .. }), "no attempt was sent");
    assert!(Instant::now() >= limit, "the engine may decide until the deadline");
    assert!(driver.state.borrow().requests.is_empty());
}

/// Once an attempt may have run, the request is not refused, even if the engine rejects it.
#[tokio::test]
async fn never_refuses_request_that_may_have_run() {
    let driver = driver();
    let pending = driver.submit(incoming(0)).unwrap();
    {
        let mut state = driver.state.borrow_mut();
        state.requests.get_mut(&1).unwrap().may_have_run = true;
        driver.finish(&mut state, 1, true, 0);
        // A second final answer is discarded.
        driver.finish(&mut state, 1, false, 0);
    }
    assert!(matches!(pending.await, Answer::Failed { timed_out: false }));
}

/// Discovery gives a backend's start in Unix milliseconds, and the engine compares it with its own clock.
#[test]
fn clock_is_unix_time() {
    let clock = Clock::new();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as Time;
    let now = Instant::now();
    assert!(clock.time(now).abs_diff(unix) < 1_000_000_000);
    assert_eq!(clock.instant(clock.time(now)), now);
}
