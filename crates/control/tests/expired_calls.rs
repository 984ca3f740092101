//! Calls that expire: no byte of them is sent, wherever they wait.

use bytes::Bytes;
use control::clock::{Clock, SECOND};
use control::events::DriverEvent;
use control::http::{CallError, HttpConnection};
use control::worker_calls::WorkerCall;
use control::worker_client::WorkerClient;
use http_body_util::Full;
use hyper::Request;
use scheduler::ids::{AttemptKey, TaskKey};
use scheduler::leader::CallId;
use scheduler::worker::{CallOutcome, WorkerRequest};
use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::timeout;

const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"NowMs\":1}";

fn on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let limited = async { timeout(TEST_TIMEOUT, test).await.expect("an end in time") };
    LocalSet::new().block_on(&runtime, limited);
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

fn request() -> Request<Full<Bytes>> {
    Request::post("/v1/run-start").body(Full::new(Bytes::from_static(b"{}"))).expect("a request")
}

async fn read_request(stream: &mut TcpStream) {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"}") {
        assert!(stream.read_buf(&mut bytes).await.expect("a request") > 0, "a complete request");
    }
}

#[test]
fn request_that_expires_before_the_write_is_not_sent() {
    on_one_thread(async {
        let (listener, address) = listener().await;
        let mut connection = HttpConnection::open(address).await.expect("a connection");
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let outcome = connection.call_with_deadline(request(), Some(Instant::now())).await;
        assert!(matches!(outcome, Err(CallError::Expired)), "{outcome:?}");
        drop(connection);
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await.expect("an end");
        assert!(bytes.is_empty(), "{bytes:?}");
    });
}

#[test]
fn deadline_applies_to_one_request_and_not_to_its_answer() {
    on_one_thread(async {
        let (listener, address) = listener().await;
        let server = spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            for _ in 0..2 {
                read_request(&mut stream).await;
                stream.write_all(ANSWER).await.expect("a reader");
            }
        });
        let mut connection = HttpConnection::open(address).await.expect("a connection");
        let in_time = Some(Instant::now() + TEST_TIMEOUT);
        connection.call_with_deadline(request(), in_time).await.expect("an answer");
        connection.call(request()).await.expect("an answer to a request without a limit");
        server.await.expect("both requests arrived");
    });
}

fn start(call: u64, address: SocketAddr, expires_at: u64) -> WorkerCall {
    let task = TaskKey { job: 1, time: 0, step: 0, index: 0 };
    let request = WorkerRequest::Start {
        key: AttemptKey { task, attempt: 1 },
        spec: "text".into(),
        checkpoint: String::new(),
        deadline_ms: 5_000,
        fencing_token: 7,
        expires_at,
    };
    let call = CallId { worker: 1, call };
    WorkerCall::new(call, address.to_string(), "i-1".to_owned(), request)
}

async fn outcome(events: &mut mpsc::Receiver<DriverEvent>) -> (u64, CallOutcome) {
    match events.recv().await {
        Some(DriverEvent::CallFinished { call, outcome, .. }) => (call.call, outcome),
        _ => panic!("a call's outcome"),
    }
}

#[test]
fn expired_start_is_withheld_and_the_next_one_is_sent() {
    on_one_thread(async {
        let (listener, address) = listener().await;
        let (sender, mut events) = mpsc::channel(4);
        let clock = Clock::start();
        let mut client = WorkerClient::new(sender, clock);
        client.start(start(1, address, clock.now()));
        assert_eq!(outcome(&mut events).await, (1, CallOutcome::Withheld));
        client.start(start(2, address, clock.now() + 60 * SECOND));
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_request(&mut stream).await;
        stream.write_all(ANSWER).await.expect("a reader");
        assert_eq!(outcome(&mut events).await, (2, CallOutcome::Answer { now_ms: 1 }));
    });
}
