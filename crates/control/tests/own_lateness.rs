//! A stalled process does not treat input that it has not read yet as missing.

use control::absence::StallMeter;
use control::clock::Clock;
use control::events::DriverEvent;
use control::input_marker::send_input_marker;
use control::punctual_timeout::stall_tolerant_timeout;
use control::worker_calls::WorkerCall;
use control::worker_client::WorkerClient;
use scheduler::leader::CallId;
use scheduler::worker::{CallOutcome, WorkerRequest};
use std::future::{pending, poll_fn, Future};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::pin::pin;
use std::sync::mpsc as blocking;
use std::task::Poll;
use std::thread;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{advance, pause, timeout};

const MS: u64 = 1_000_000;
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const LIMIT: Duration = Duration::from_millis(30);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 45\r\nContent-Type: application/json\r\n\r\n\
                        {\"NowMs\":7,\"Running\":[],\"Finished\":[]}       ";

fn on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Workers on a thread of their own, which all answer at once on command.
struct SlowWorkers {
    addresses: Vec<SocketAddr>,
    answer: blocking::Sender<()>,
    answered: blocking::Receiver<()>,
}

impl SlowWorkers {
    fn start(count: usize) -> SlowWorkers {
        let bind = |_| TcpListener::bind("127.0.0.1:0").expect("a free port");
        let listeners: Vec<TcpListener> = (0..count).map(bind).collect();
        let address = |listener: &TcpListener| listener.local_addr().expect("an address");
        let addresses = listeners.iter().map(address).collect();
        let (answer, command) = blocking::channel();
        let (done, answered) = blocking::channel();
        thread::spawn(move || {
            let accept = |listener: &TcpListener| listener.accept().expect("a connection").0;
            let mut streams: Vec<_> = listeners.iter().map(accept).collect();
            for stream in &mut streams {
                let read = stream.read(&mut [0; 4_096]).expect("a call");
                assert!(read > 0, "a call has arrived");
            }
            done.send(()).expect("the test goes on");
            command.recv().expect("the test says when to answer");
            for stream in &mut streams {
                stream.write_all(ANSWER).expect("an answer is sent");
            }
            done.send(()).expect("the test goes on");
            // The connections stay open until the test ends.
            let _ = command.recv();
        });
        SlowWorkers { addresses, answer, answered }
    }
}

fn call(number: u64, address: SocketAddr) -> WorkerCall {
    let request = WorkerRequest::RenewLease { fencing_token: 7, last_seen: 0, deadline_ms: None, wait_ms: 0 };
    let call = CallId { worker: number, call: 1 };
    WorkerCall::new(call, address.to_string(), "i-1".to_owned(), request)
}

#[test]
fn marker_arrives_after_all_earlier_answers() {
    const WORKERS: usize = 300;
    let scenario = async {
        let workers = SlowWorkers::start(WORKERS);
        // Small capacity, so that answers wait for room as they do under load.
        let (sender, mut events) = mpsc::channel(16);
        let mut client = WorkerClient::new(sender.clone(), Clock::start());
        for (number, address) in workers.addresses.iter().enumerate() {
            client.start(call(number as u64, *address));
        }
        while workers.answered.try_recv().is_err() {
            tokio::task::yield_now().await;
        }
        workers.answer.send(()).expect("the workers wait");
        // This process is stalled while the answers arrive.
        workers.answered.recv().expect("the workers have answered");
        spawn_local(send_input_marker(5, sender));
        let mut answers = 0;
        loop {
            match events.recv().await {
                Some(DriverEvent::CallFinished { outcome: CallOutcome::Lists { .. }, .. }) => answers += 1,
                Some(DriverEvent::InputMarker { at: 5 }) => break,
                _ => panic!("an answer or the marker"),
            }
        }
        assert_eq!(answers, WORKERS, "answers before the marker");
    };
    on_one_thread(async { timeout(TEST_TIMEOUT, scenario).await.expect("an end in time") });
}

#[test]
fn timeout_restarts_if_the_process_was_stalled() {
    on_one_thread(async {
        pause();
        let mut waiting = pin!(stall_tolerant_timeout(LIMIT, pending::<()>()));
        let mut is_over =
            async || poll_fn(|context| Poll::Ready(waiting.as_mut().poll(context).is_ready())).await;
        assert!(!is_over().await);
        advance(LIMIT * 4).await;
        assert!(!is_over().await, "the process was stalled");
        advance(LIMIT + Duration::from_millis(2)).await;
        assert!(is_over().await, "the process was not stalled");
    });
}

#[test]
fn timeout_ends_even_if_the_process_is_always_stalled() {
    on_one_thread(async {
        pause();
        let mut waiting = pin!(stall_tolerant_timeout(LIMIT, pending::<()>()));
        let mut is_over =
            async || poll_fn(|context| Poll::Ready(waiting.as_mut().poll(context).is_ready())).await;
        let mut rounds = 0;
        while !is_over().await {
            rounds += 1;
            assert!(rounds < 20, "the timeout never ends");
            advance(LIMIT * 4).await;
        }
    });
}

#[test]
fn long_turns_and_late_timers_count_as_stalls_and_idle_time_does_not() {
    let mut meter = StallMeter::default();
    assert_eq!(meter.begin_turn(1_000 * MS, 1_000 * MS), 0);
    meter.end_turn(1_002 * MS);
    assert_eq!(meter.begin_turn(1_500 * MS, 1_500 * MS), 0, "nothing was due before");
    meter.end_turn(1_580 * MS);
    assert_eq!(meter.begin_turn(1_581 * MS, 1_600 * MS), 80 * MS, "a long turn");
    meter.end_turn(1_582 * MS);
    assert_eq!(
        meter.begin_turn(1_700 * MS, 1_590 * MS),
        111 * MS,
        "a timer was due, and the turn before took 1 ms"
    );
    meter.end_turn(1_701 * MS);
    assert_eq!(meter.begin_turn(1_705 * MS, 1_690 * MS), 0, "ordinary turns");
}
