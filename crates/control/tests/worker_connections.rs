//! Connections to workers that end, or receive data, at the wrong moment: no call is sent twice, and an
//! answer reaches its own call or none.

use control::clock::Clock;
use control::events::DriverEvent;
use control::worker_calls::WorkerCall;
use control::worker_client::WorkerClient;
use scheduler::ids::{AttemptKey, TaskKey};
use scheduler::leader::CallId;
use scheduler::worker::{CallOutcome, WorkerRequest};
use std::future::Future;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{yield_now, LocalSet};
use tokio::time::{advance, pause, resume, timeout};

const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of runtime turns within which a second copy of a call would have been sent.
const TURNS: usize = 200;
/// Minimum wait of a call for a busy connection, rounded up to the runtime's timer resolution.
const BUSY_WAIT: Duration = Duration::from_millis(32);

fn on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let limited = async { timeout(TEST_TIMEOUT, test).await.expect("an end in time") };
    LocalSet::new().block_on(&runtime, limited);
}

struct Worker {
    client: WorkerClient,
    events: mpsc::Receiver<DriverEvent>,
    listener: TcpListener,
    next_call: u64,
}

impl Worker {
    async fn new() -> Worker {
        let (sender, events) = mpsc::channel(16);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        Worker { client: WorkerClient::new(sender, Clock::start()), events, listener, next_call: 0 }
    }

    /// Sends an order that must not be repeated.
    fn start(&mut self) {
        self.next_call += 1;
        let task = TaskKey { job: 1, time: 0, step: 0, index: 0 };
        let request = WorkerRequest::Start {
            key: AttemptKey { task, attempt: 1 },
            spec: "text".into(),
            checkpoint: String::new(),
            deadline_ms: 5_000,
            fencing_token: 7,
            expires_at: u64::MAX,
        };
        let address = self.listener.local_addr().expect("an address").to_string();
        let call = CallId { worker: 1, call: self.next_call };
        self.client.start(WorkerCall::new(call, address, "i-1".to_owned(), request));
    }

    async fn accept(&mut self) -> TcpStream {
        self.listener.accept().await.expect("a connection").0
    }

    async fn outcome(&mut self) -> CallOutcome {
        match self.events.recv().await {
            Some(DriverEvent::CallFinished { call, outcome, .. }) => {
                assert_eq!(call.call, self.next_call, "the outcome of another call");
                outcome
            }
            _ => panic!("a call's outcome"),
        }
    }

    /// Whether the client opens no connection for a second copy of a call.
    async fn opens_nothing_more(&mut self) -> bool {
        for _ in 0..TURNS {
            yield_now().await;
        }
        timeout(Duration::ZERO, self.listener.accept()).await.is_err()
    }
}

async fn read_request(stream: &mut TcpStream) {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"}") {
        assert!(stream.read_buf(&mut bytes).await.expect("a request") > 0, "a complete request");
    }
}

fn answer(now_ms: u64) -> String {
    let body = format!("{{\"NowMs\":{now_ms}}}");
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

async fn write(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).await.expect("a reader");
}

/// Truncated answers.
const TRUNCATED_ANSWERS: [&str; 6] = [
    "",
    "HTT",
    "HTTP/1.1 200 OK\r\nContent-Le",
    "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"NowM",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n{\"NowMs\"",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{\"NowMs\":\r\n",
];

#[test]
fn truncated_answer_is_no_response_and_the_order_is_not_resent() {
    on_one_thread(async {
        for truncated in TRUNCATED_ANSWERS {
            let mut worker = Worker::new().await;
            worker.start();
            let mut stream = worker.accept().await;
            read_request(&mut stream).await;
            write(&mut stream, truncated).await;
            drop(stream);
            assert_eq!(worker.outcome().await, CallOutcome::NoResponse, "{truncated:?}");
            assert!(worker.opens_nothing_more().await, "{truncated:?}");
        }
    });
}

#[test]
fn truncated_answer_on_a_reused_connection_is_no_response() {
    on_one_thread(async {
        for truncated in TRUNCATED_ANSWERS {
            let mut worker = Worker::new().await;
            worker.start();
            let mut stream = worker.accept().await;
            read_request(&mut stream).await;
            write(&mut stream, &answer(1)).await;
            assert_eq!(worker.outcome().await, CallOutcome::Answer { now_ms: 1 });
            worker.start();
            read_request(&mut stream).await;
            write(&mut stream, truncated).await;
            drop(stream);
            assert_eq!(worker.outcome().await, CallOutcome::NoResponse, "{truncated:?}");
            assert!(worker.opens_nothing_more().await, "{truncated:?}");
        }
    });
}

/// The worker answers the first call with the texts in `first`. The next call must get its own answer, on a
/// connection of its own.
async fn next_call_has_its_own_answer(first: &[String]) {
    let mut worker = Worker::new().await;
    worker.start();
    let mut stream = worker.accept().await;
    read_request(&mut stream).await;
    for text in first {
        write(&mut stream, text).await;
        for _ in 0..TURNS {
            yield_now().await;
        }
    }
    assert_eq!(worker.outcome().await, CallOutcome::Answer { now_ms: 1 });
    worker.start();
    let mut next = worker.accept().await;
    read_request(&mut next).await;
    write(&mut next, &answer(2)).await;
    assert_eq!(worker.outcome().await, CallOutcome::Answer { now_ms: 2 });
}

#[test]
fn second_answer_in_one_segment_reaches_no_later_call() {
    on_one_thread(async { next_call_has_its_own_answer(&[answer(1) + &answer(99)]).await });
}

#[test]
fn unsolicited_answer_reaches_no_later_call() {
    on_one_thread(async { next_call_has_its_own_answer(&[answer(1), answer(99)]).await });
}

#[test]
fn answer_before_the_request_is_read_reaches_only_that_call() {
    on_one_thread(async {
        let mut worker = Worker::new().await;
        worker.start();
        let mut stream = worker.accept().await;
        // The answer is written before any byte of the request is read; the request may or may not have been
        // sent by then.
        write(&mut stream, &answer(99)).await;
        drop(stream);
        let outcome = worker.outcome().await;
        assert!(
            matches!(
                outcome,
                CallOutcome::NoResponse | CallOutcome::NotSent | CallOutcome::Answer { now_ms: 99 }
            ),
            "{outcome:?}"
        );
        assert!(worker.opens_nothing_more().await);
    });
}

#[test]
fn wait_during_a_stall_opens_no_second_connection() {
    on_one_thread(async {
        let mut worker = Worker::new().await;
        worker.start();
        let _busy = worker.accept().await;
        pause();
        worker.start();
        assert!(worker.opens_nothing_more().await, "the call waits for the busy connection");
        advance(BUSY_WAIT * 4).await;
        assert!(
            worker.opens_nothing_more().await,
            "the process was stalled: the connection may only seem busy"
        );
        advance(BUSY_WAIT).await;
        resume();
        worker.accept().await;
    });
}
