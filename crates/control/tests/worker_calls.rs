//! The meaning of workers' answers, and the use of connections to workers.

use control::clock::Clock;
use control::events::DriverEvent;
use control::http::Answer;
use control::worker_calls::{outcome_of, WorkerCall};
use control::worker_client::WorkerClient;
use hyper::StatusCode;
use messages::job::EndKind;
use scheduler::ids::{AttemptKey, TaskKey};
use scheduler::leader::CallId;
use scheduler::worker::{CallOutcome, Refusal, WorkerRequest};
use std::future::Future;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{yield_now, LocalSet};
use tokio::time::timeout;

const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Longer than a call waits for a busy connection when another one may be opened.
const BUSY_WAIT: Duration = Duration::from_millis(200);
/// Number of runtime turns within which a call would have been sent.
const TURNS: usize = 200;

fn key() -> AttemptKey {
    AttemptKey { task: TaskKey { job: 0x5c0e_7a21_d94b_36f8, time: 0, step: 1, index: 17 }, attempt: 2 }
}

fn stop() -> WorkerRequest {
    WorkerRequest::Stop { key: key(), fencing_token: 7 }
}

fn lease_renewal() -> WorkerRequest {
    WorkerRequest::RenewLease { fencing_token: 7, last_seen: 57, deadline_ms: Some(486_000), wait_ms: 0 }
}

fn answer(status: u16, body: &'static str) -> Answer {
    Answer { status: StatusCode::from_u16(status).expect("a status"), body: body.into() }
}

fn refused(now_ms: Option<u64>, reason: Refusal) -> CallOutcome {
    CallOutcome::Refused { now_ms, reason }
}

#[test]
fn each_order_status_maps_to_its_outcome() {
    let cases = [
        (200, r#"{"NowMs":5}"#, CallOutcome::Answer { now_ms: 5 }),
        (409, r#"{"NowMs":5,"Reason":"fence"}"#, refused(Some(5), Refusal::StaleFencingToken)),
        (409, r#"{"NowMs":5,"Reason":"old"}"#, refused(Some(5), Refusal::SupersededAttempt)),
        (409, r#"{"NowMs":5,"Reason":"late"}"#, refused(Some(5), Refusal::DeadlinePassed)),
        (409, r#"{"NowMs":5,"Reason":"room"}"#, refused(Some(5), Refusal::NoCapacity)),
        (409, "no json", refused(None, Refusal::Unknown)),
        (400, "", refused(None, Refusal::BadRequest)),
        (421, "", refused(None, Refusal::WrongIncarnation)),
        (429, "", refused(None, Refusal::Unhealthy)),
        (503, "", refused(None, Refusal::Unhealthy)),
        (404, "", refused(None, Refusal::Unknown)),
        (500, "", CallOutcome::NoResponse),
        (200, "no json", CallOutcome::NoResponse),
        (200, "", CallOutcome::NoResponse),
    ];
    for (status, body, outcome) in cases {
        assert_eq!(outcome_of(&stop(), &answer(status, body)), outcome, "{status} {body}");
    }
}

#[test]
fn lease_renewal_returns_both_lists() {
    let body = r#"{"NowMs":9,"Running":[["5c0e7a21d94b36f8.0.1.17",2,"cp",41],["foreign",1,"",0]],
        "Finished":[[58,"5c0e7a21d94b36f8.0.1.17",1,"lapsed","c"]]}"#;
    let CallOutcome::Lists { now_ms, running, finished } = outcome_of(&lease_renewal(), &answer(200, body))
    else {
        panic!("both lists");
    };
    assert_eq!((now_ms, running.len(), finished.len()), (9, 1, 1));
    assert_eq!((running[0].key, running[0].checkpoint.as_str(), running[0].percent), (key(), "cp", 41));
    assert_eq!((finished[0].sequence, finished[0].kind, finished[0].counted), (58, EndKind::LAPSED, false));
    assert_eq!(
        outcome_of(&lease_renewal(), &answer(200, r#"{"NowMs":9,"Running":[5]}"#)),
        CallOutcome::NoResponse
    );
}

/// Runs a test on a single thread, as the driver runs.
fn on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let limited = async { timeout(TEST_TIMEOUT, test).await.expect("an end in time") };
    LocalSet::new().block_on(&runtime, limited);
}

/// Creates a client, its event receiver, and a worker's listener.
async fn worker() -> (WorkerClient, mpsc::Receiver<DriverEvent>, TcpListener) {
    let (sender, events) = mpsc::channel(16);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    (WorkerClient::new(sender, Clock::start()), events, listener)
}

fn call(number: u64, listener: &TcpListener, request: WorkerRequest) -> WorkerCall {
    let address = listener.local_addr().expect("an address").to_string();
    WorkerCall::new(CallId { worker: 1, call: number }, address, "i-1".to_owned(), request)
}

async fn outcome(events: &mut mpsc::Receiver<DriverEvent>) -> (u64, CallOutcome) {
    match events.recv().await {
        Some(DriverEvent::CallFinished { call, outcome, .. }) => (call.call, outcome),
        _ => panic!("a call's outcome"),
    }
}

/// Reads one request whose body ends with a brace.
async fn read_request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"}") {
        assert!(stream.read_buf(&mut bytes).await.expect("a request") > 0, "a complete request");
    }
    String::from_utf8(bytes).expect("text")
}

async fn reply(stream: &mut TcpStream, body: &str) {
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).await.expect("a reader");
}

#[test]
fn persistent_connection_is_reused_for_the_next_order() {
    on_one_thread(async {
        let (mut client, mut events, listener) = worker().await;
        client.start(call(1, &listener, stop()));
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let request = read_request(&mut stream).await;
        assert!(request.starts_with("POST /v1/run-stop HTTP/1.1\r\n"), "{request}");
        assert!(request.to_lowercase().contains("x-expect-instance: i-1\r\n"), "{request}");
        assert!(request.contains(r#""TaskId":"5c0e7a21d94b36f8.0.1.17""#), "{request}");
        reply(&mut stream, r#"{"NowMs":1}"#).await;
        assert_eq!(outcome(&mut events).await, (1, CallOutcome::Answer { now_ms: 1 }));

        client.start(call(2, &listener, stop()));
        read_request(&mut stream).await;
        reply(&mut stream, r#"{"NowMs":2}"#).await;
        assert_eq!(outcome(&mut events).await, (2, CallOutcome::Answer { now_ms: 2 }));
    });
}

#[test]
fn lost_connection_is_no_response_and_refused_connection_is_not_sent() {
    on_one_thread(async {
        let (mut client, mut events, listener) = worker().await;
        client.start(call(1, &listener, stop()));
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_request(&mut stream).await;
        drop(stream);
        assert_eq!(outcome(&mut events).await, (1, CallOutcome::NoResponse));

        let refused = call(2, &listener, stop());
        drop(listener);
        client.start(refused);
        assert_eq!(outcome(&mut events).await, (2, CallOutcome::NotSent));
    });
}

#[test]
fn cancelled_call_closes_its_connection() {
    on_one_thread(async {
        let (mut client, mut events, listener) = worker().await;
        client.start(call(1, &listener, lease_renewal()));
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_request(&mut stream).await;
        client.cancel(CallId { worker: 1, call: 1 });
        assert_eq!(stream.read(&mut [0; 16]).await.expect("an orderly end"), 0);

        client.start(call(2, &listener, lease_renewal()));
        let (mut stream, _) = listener.accept().await.expect("a connection of its own");
        read_request(&mut stream).await;
        reply(&mut stream, r#"{"NowMs":2}"#).await;
        assert_eq!(outcome(&mut events).await.0, 2);
    });
}

#[test]
fn outcomes_of_an_earlier_leadership_are_ignored() {
    on_one_thread(async {
        let (mut client, _events, listener) = worker().await;
        let id = CallId { worker: 1, call: 1 };
        client.start(call(1, &listener, stop()));
        client.abandon_calls();
        client.start(call(1, &listener, stop()));
        assert!(!client.finished(0, id));
        assert!(client.finished(1, id));
        assert!(!client.finished(1, id), "each call ends once");
    });
}

/// Completes one call over a new connection, which the client then keeps as idle.
async fn complete_call(
    client: &mut WorkerClient,
    events: &mut mpsc::Receiver<DriverEvent>,
    call: WorkerCall,
    listener: &TcpListener,
) -> TcpStream {
    client.start(call);
    let (mut stream, _) = listener.accept().await.expect("a connection");
    read_request(&mut stream).await;
    reply(&mut stream, r#"{"NowMs":1}"#).await;
    outcome(events).await;
    stream
}

/// Completes one call over an already open connection.
async fn complete_call_on(
    client: &mut WorkerClient,
    events: &mut mpsc::Receiver<DriverEvent>,
    call: WorkerCall,
    stream: &mut TcpStream,
) {
    let number = call.call.call;
    client.start(call);
    read_request(stream).await;
    reply(stream, r#"{"NowMs":2}"#).await;
    assert_eq!(outcome(events).await.0, number);
}

/// Above the limit, the connection that has been idle for longest (the one of `oldest`) closes and the others
/// stay usable.
async fn longest_idle_closes(oldest: WorkerRequest, newer: WorkerRequest) {
    let (mut client, mut events, first) = worker().await;
    let second = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    client.set_max_connections(3);
    let mut oldest_stream =
        complete_call(&mut client, &mut events, call(1, &first, oldest.clone()), &first).await;
    let mut newer_stream =
        complete_call(&mut client, &mut events, call(2, &first, newer.clone()), &first).await;
    let mut newest = complete_call(&mut client, &mut events, call(3, &second, stop()), &second).await;
    let mut last = complete_call(&mut client, &mut events, call(4, &second, lease_renewal()), &second).await;
    assert_eq!(oldest_stream.read(&mut [0; 16]).await.expect("an orderly end"), 0);

    complete_call_on(&mut client, &mut events, call(5, &second, lease_renewal()), &mut last).await;
    complete_call_on(&mut client, &mut events, call(6, &second, stop()), &mut newest).await;
    complete_call_on(&mut client, &mut events, call(7, &first, newer), &mut newer_stream).await;
    complete_call(&mut client, &mut events, call(8, &first, oldest), &first).await;
}

#[test]
fn longest_idle_connection_closes_above_the_limit_for_either_kind_of_call() {
    on_one_thread(async {
        longest_idle_closes(stop(), lease_renewal()).await;
        longest_idle_closes(lease_renewal(), stop()).await;
    });
}

#[test]
fn connections_in_use_stay_open_above_the_limit() {
    on_one_thread(async {
        let (mut client, mut events, first) = worker().await;
        client.set_max_connections(1);
        client.start(call(1, &first, lease_renewal()));
        let (mut waiting, _) = first.accept().await.expect("a connection");
        read_request(&mut waiting).await;
        let mut order = complete_call(&mut client, &mut events, call(2, &first, stop()), &first).await;
        assert_eq!(order.read(&mut [0; 16]).await.expect("an orderly end"), 0);
        reply(&mut waiting, r#"{"NowMs":1}"#).await;
        assert_eq!(outcome(&mut events).await.0, 1);
        complete_call_on(&mut client, &mut events, call(3, &first, lease_renewal()), &mut waiting).await;
    });
}

#[test]
fn busy_pool_opens_no_connection_at_the_limit() {
    on_one_thread(async {
        let (mut client, mut events, listener) = worker().await;
        client.set_max_connections(1);
        client.start(call(1, &listener, stop()));
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_request(&mut stream).await;
        client.start(call(2, &listener, stop()));
        assert!(timeout(BUSY_WAIT, listener.accept()).await.is_err(), "the second call waits for the first");
        reply(&mut stream, r#"{"NowMs":1}"#).await;
        assert_eq!(outcome(&mut events).await.0, 1);
        read_request(&mut stream).await;
        reply(&mut stream, r#"{"NowMs":2}"#).await;
        assert_eq!(outcome(&mut events).await.0, 2);
    });
}

#[test]
fn connections_stay_open_for_the_next_leadership() {
    on_one_thread(async {
        let (mut client, mut events, listener) = worker().await;
        let mut idle = complete_call(&mut client, &mut events, call(1, &listener, stop()), &listener).await;
        client.start(call(2, &listener, lease_renewal()));
        let (mut waiting, _) = listener.accept().await.expect("a connection");
        read_request(&mut waiting).await;
        client.abandon_calls();
        reply(&mut waiting, r#"{"NowMs":99}"#).await;
        let late = events.recv().await;
        assert!(
            matches!(late, Some(DriverEvent::CallFinished { generation: 0, call, .. }) if !client.finished(0, call))
        );

        complete_call_on(&mut client, &mut events, call(1, &listener, stop()), &mut idle).await;
        complete_call_on(&mut client, &mut events, call(2, &listener, lease_renewal()), &mut waiting).await;
    });
}

#[test]
fn answer_of_an_earlier_leadership_reaches_no_later_call() {
    on_one_thread(async {
        let (mut client, mut events, listener) = worker().await;
        client.start(call(1, &listener, lease_renewal()));
        let (mut earlier, _) = listener.accept().await.expect("a connection");
        read_request(&mut earlier).await;
        client.abandon_calls();
        client.start(call(1, &listener, lease_renewal()));
        let (mut later, _) = listener.accept().await.expect("a connection of its own");
        read_request(&mut later).await;
        reply(&mut earlier, r#"{"NowMs":99}"#).await;
        reply(&mut later, r#"{"NowMs":2}"#).await;
        let outcomes = [events.recv().await, events.recv().await];
        let counted = outcomes.into_iter().flatten().filter_map(|event| match event {
            DriverEvent::CallFinished { generation, call, outcome } if client.finished(generation, call) => {
                Some(outcome)
            }
            _ => None,
        });
        let expected = CallOutcome::Lists { now_ms: 2, running: Vec::new(), finished: Vec::new() };
        assert_eq!(counted.collect::<Vec<_>>(), [expected]);
    });
}

#[test]
fn waiting_call_is_not_sent_after_its_leadership() {
    on_one_thread(async {
        let (mut client, _events, listener) = worker().await;
        client.start(call(1, &listener, lease_renewal()));
        client.abandon_calls();
        for _ in 0..TURNS {
            yield_now().await;
        }
        assert!(timeout(Duration::ZERO, listener.accept()).await.is_err(), "no connection is opened for it");
    });
}
