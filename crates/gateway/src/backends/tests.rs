//! Tests of attempts at scripted backends on loopback.

use crate::backends::outcome::{outcome, ServedBody};
use crate::backends::outgoing::Outgoing;
use crate::backends::Backends;
use crate::bodies::{Budget, RequestBody, SMALL_BODY_BYTES};
use crate::link::{Dialer, Progress};
use crate::pool::close_reason::CloseReason;
use crate::pool::tests::target;
use crate::pool::Pool;
use bytes::Bytes;
use gateway_decisions::{Ending, Scope};
use gateway_protocol::list::State;
use hyper::header::HeaderValue;
use hyper::{Method, Response, Uri};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::spawn_local;
use tokio::time::{timeout, Instant};

fn outgoing(body: usize) -> Outgoing {
    Outgoing {
        method: Method::POST,
        uri: Uri::from_static("/api?x=1"),
        request_id: HeaderValue::from_static("9b1f03aa5c7e2d41"),
        idempotency_key: Some(HeaderValue::from_static("k")),
        content_type: None,
        host: HeaderValue::from_static("origin.svc"),
        body: RequestBody::Buffered(Bytes::from(vec![b'x'; body])),
        wait: Duration::from_secs(1),
    }
}

fn backends(listener: &TcpListener) -> Rc<Backends> {
    let dialer = Dialer { forwards: Rc::default() };
    let limit = Duration::from_secs(5);
    let pool = Pool::new(dialer, 10, limit, limit);
    let backends = Rc::new(Backends { pool, memory: Budget::new(SMALL_BODY_BYTES) });
    let address = listener.local_addr().unwrap();
    backends.pool.update(Scope::Full, &[target("s-1", address, 0, State::Ready)]);
    backends
}

async fn attempt(b: &Rc<Backends>, request: &Outgoing) -> (Ending, Rc<Progress>) {
    let progress = Rc::default();
    let limit = Instant::now() + Duration::from_secs(20);
    (b.attempt(&"s-1".into(), request, limit, &progress).await.ending, progress)
}

/// `size` returns exactly the number of bytes that reach the backend: with a larger value, a request that has
/// run would count as unwritten.
#[tokio::test(flavor = "local")]
async fn size_equals_bytes_written() {
    for body in [0, 5, SMALL_BODY_BYTES] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (b, request) = (backends(&listener), outgoing(body));
        let backend = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            let (mut got, mut buffer) = (Vec::new(), [0; 4096]);
            loop {
                let n = stream.read(&mut buffer).await.unwrap();
                got.extend_from_slice(&buffer[..n]);
                let head = got.windows(4).position(|w| w == b"\r\n\r\n");
                if head.is_some_and(|h| got.len() == h + 4 + body) {
                    break;
                }
            }
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
            got.len()
        };
        let ((ending, progress), got) = tokio::join!(attempt(&b, &request), backend);
        assert_eq!((ending, progress.required.get(), progress.written.get()), (Ending::Pass, got, got));
    }
}

/// The connection breaks when only part of the request has been written: it cannot have run.
#[tokio::test(flavor = "local")]
async fn request_broken_before_its_last_byte_counts_as_not_run() {
    let socket = TcpSocket::new_v4().unwrap();
    // Small buffers, so that the rest of the body cannot be written.
    socket.set_recv_buffer_size(2048).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(8).unwrap();
    let b = backends(&listener);
    let request = outgoing(64 << 20);
    let backend = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.read_exact(&mut [0; 100]).await.unwrap();
    };
    let ((ending, progress), ()) = tokio::join!(attempt(&b, &request), backend);
    assert_eq!(ending, Ending::NoRoute);
    assert!(progress.written.get() > 0 && !progress.may_have_run());
}

/// A backend drops idle connections long before the configured time, and signals this only when a request is
/// written. After a few resets such connections are closed before they are used.
#[tokio::test(flavor = "local")]
async fn stops_writing_to_connections_that_go_stale_early() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (b, request) = (backends(&listener), outgoing(0));
    let accepts = async {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let mut buffer = [0; 4096];
                let _ = stream.read(&mut buffer).await;
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
                // The next request on this connection is reset.
                let _ = stream.read(&mut buffer).await;
            });
        }
    };
    let asks = async {
        let mut cut = 0;
        for _ in 0..20 {
            b.pool.age(Duration::from_millis(200));
            cut += u32::from(attempt(&b, &request).await.0 != Ending::Pass);
        }
        cut
    };
    tokio::select! {
        () = accepts => unreachable!("the backend never stops"),
        cut = asks => assert!((1..=3).contains(&cut), "{cut} of 20 requests met a stale connection"),
    }
}

const GOOD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Answers requests without a body from the script, in the order of their arrival on all connections; after
/// the last answer of the script, requests get none.
fn answers(listener: TcpListener, script: &[&str]) -> Rc<Cell<usize>> {
    let accepted = Rc::new(Cell::new(0));
    let count = accepted.clone();
    let script: VecDeque<String> = script.iter().map(ToString::to_string).collect();
    let script = Rc::new(RefCell::new(script));
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            count.set(count.get() + 1);
            let script = script.clone();
            spawn_local(async move {
                let (mut got, mut buffer) = (Vec::new(), [0; 4096]);
                while let Ok(n @ 1..) = stream.read(&mut buffer).await {
                    got.extend_from_slice(&buffer[..n]);
                    if !got.ends_with(b"\r\n\r\n") {
                        continue;
                    }
                    got.clear();
                    let Some(answer) = script.borrow_mut().pop_front() else { continue };
                    stream.write_all(answer.as_bytes()).await.unwrap();
                    if answer.ends_with("...") {
                        return;
                    }
                }
            });
        }
    });
    accepted
}

fn closed(b: &Backends, cause: CloseReason) -> u64 {
    b.pool.figures().closed.get(&cause).copied().unwrap_or(0)
}

/// Whether the next request uses the connection of an answer, or a new one.
#[tokio::test(flavor = "local")]
async fn does_not_reuse_connection_after_irregular_answer() {
    let long = format!("HTTP/1.1 200 OK\r\nX: {}\r\nContent-Length: 0\r\n\r\n", "x".repeat(20_000));
    let cases: [(&str, Ending, Option<CloseReason>); 8] = [
        (GOOD, Ending::Pass, None),
        ("HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno", Ending::Fault, None),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n",
            Ending::Pass,
            Some(CloseReason::Closed),
        ),
        (
            "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
            Ending::Pass,
            Some(CloseReason::Ended),
        ),
        ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut...", Ending::Cut, Some(CloseReason::Broken)),
        ("HTTP/1.1 200 OK\r\nContent-...", Ending::Cut, Some(CloseReason::Broken)),
        ("what is this\r\n\r\n", Ending::Cut, Some(CloseReason::Broken)),
        (&long, Ending::Cut, Some(CloseReason::Broken)),
    ];
    for (n, (answer, ending, cause)) in cases.into_iter().enumerate() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (b, request) = (backends(&listener), outgoing(0));
        let accepted = answers(listener, &[answer, GOOD]);
        assert_eq!(attempt(&b, &request).await.0, ending, "case {n}");
        assert_eq!(attempt(&b, &request).await.0, Ending::Pass, "case {n}");
        assert_eq!(accepted.get(), 1 + usize::from(cause.is_some()), "case {n}");
        if let Some(cause) = cause {
            assert_eq!(closed(&b, cause), 1, "case {n}: {:?}", b.pool.figures());
        }
    }
}

/// The close has arrived, but the event loop has not run since: only peeking at the socket shows it.
#[tokio::test(flavor = "local")]
async fn sees_close_before_event_loop_reports_it() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (b, request) = (backends(&listener), outgoing(0));
    let serve = async || {
        let (mut stream, _) = listener.accept().await.unwrap();
        assert_ne!(stream.read(&mut [0; 4096]).await.unwrap(), 0);
        stream.write_all(GOOD.as_bytes()).await.unwrap();
        stream
    };
    let ((ending, _), stream) = tokio::join!(attempt(&b, &request), serve());
    assert_eq!(ending, Ending::Pass);
    // Closed immediately, without a turn of the event loop before the next attempt checks the connection.
    stream.into_std().unwrap().shutdown(std::net::Shutdown::Both).unwrap();
    let reconnected = async { tokio::join!(attempt(&b, &request), serve()) };
    let reconnected = timeout(Duration::from_secs(5), reconnected).await;
    let ((ending, _), _stream) = reconnected.expect("the request uses a new connection");
    assert_eq!((ending, closed(&b, CloseReason::Closed)), (Ending::Pass, 1));
}

#[tokio::test(flavor = "local")]
async fn does_not_reuse_connection_given_up_during_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (b, request) = (backends(&listener), outgoing(0));
    let accepted = answers(listener, &["HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", GOOD]);
    let limit = Instant::now() + Duration::from_millis(100);
    let ending = b.attempt(&"s-1".into(), &request, limit, &Rc::default()).await.ending;
    assert_eq!(ending, Ending::Late);
    assert_eq!(attempt(&b, &request).await.0, Ending::Pass);
    assert_eq!((accepted.get(), closed(&b, CloseReason::GivenUp)), (2, 1));
}

/// A server that does not respond any more: its idle connections are closed.
#[tokio::test(flavor = "local")]
async fn reconnects_to_unresponsive_server() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (b, request) = (backends(&listener), outgoing(0));
    let accepted = answers(listener, &[GOOD, GOOD]);
    let both = tokio::join!(attempt(&b, &request), attempt(&b, &request));
    assert_eq!((both.0 .0, both.1 .0, b.pool.figures().idle), (Ending::Pass, Ending::Pass, 2));
    let limit = Instant::now() + Duration::from_millis(100);
    let ending = b.attempt(&"s-1".into(), &request, limit, &Rc::default()).await.ending;
    assert_eq!((ending, b.pool.figures().idle), (Ending::Late, 0));
    assert_eq!((accepted.get(), closed(&b, CloseReason::Silent)), (2, 1));
}

/// The header holds the simulator's value less 1, in percent; units are the actual ones.
#[test]
fn usage_and_billed_units_are_converted_for_engine() {
    let answer = |status: u16| {
        let answer = Response::builder().status(status).header("usage-percent", "85");
        let (head, ()) = answer.header("billed-units", "3").body(()).unwrap().into_parts();
        outcome(&head, Some(ServedBody::Buffered(Bytes::from_static(b"x"))))
    };
    let good = answer(200);
    assert_eq!((good.metered_share, good.actual_units, good.ending), (Some(0.85), 3.0, Ending::Pass));
    let bad = answer(500);
    assert_eq!((bad.metered_share, bad.actual_units, bad.ending), (Some(0.85), 0.0, Ending::Fault));
    assert!(bad.served.is_none());
}
