//! Large bodies, slow bodies, and every framing of HTTP/1.1.

use gateway_test_support::{ask, list, ok, say, Backend, Discovery, Gateway, Setup};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::Mutex;

const LARGE: usize = 8 << 20;

fn start(backend: &Backend) -> Gateway {
    let discovery = Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")]));
    let gateway = Gateway::with(&discovery, Setup { ops: true, ..Setup::default() });
    discovery.wait_for_calls(2);
    gateway
}

/// Returns bytes without repeated parts.
fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n ^ (n >> 8) ^ (n >> 16)) as u8).collect()
}

fn with_body(class: &'static str, framing: &str) -> String {
    ask(class).text().replace("Content-Length: 5\r\n\r\nhello", &format!("{framing}\r\n\r\n"))
}

/// Reads a client's connection to its end.
fn read_to_end_of_connection(client: &mut gateway_test_support::Client) -> Vec<u8> {
    let mut all = Vec::new();
    let _ = client.stream.read_to_end(&mut all);
    all
}

#[test]
fn streams_large_answer() {
    let (go, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let backend = Backend::new(move |_, s| {
        let body = pattern(LARGE);
        say(s, &format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE}\r\n\r\n"));
        let first = s.write_all(&body[..LARGE / 2]).is_ok();
        // The rest is sent only after the client has read the first half.
        first && wait.lock().expect("kept").recv().is_ok() && s.write_all(&body[LARGE / 2..]).is_ok()
    });
    let gateway = start(&backend);
    let mut client = gateway.client();
    for n in 1..=2 {
        client.send(&ask("quote").text());
        let mut reader = BufReader::new(client.stream.try_clone().expect("a second handle"));
        let mut line = String::new();
        while line != "\r\n" {
            line.clear();
            assert!(reader.read_line(&mut line).expect("a head") > 0);
        }
        let mut got = vec![0; LARGE / 2];
        reader.read_exact(&mut got).expect("the first half");
        assert_eq!(gateway.figure("/outstanding"), 1, "the request has not ended");
        go.send(()).expect("the backend waits");
        let mut rest = vec![0; LARGE - LARGE / 2];
        reader.read_exact(&mut rest).expect("the rest");
        got.extend(rest);
        assert!(got == pattern(LARGE), "unchanged");
        while gateway.figure("/outstanding") > 0 {}
        assert_eq!((gateway.figure("/succeeded/quote"), gateway.figure("/aborted/quote")), (n, 0));
        assert_eq!(backend.next().connection, 0, "the connection is reused");
    }
}

#[test]
fn truncated_large_answer_is_truncated_for_the_client() {
    for framing in [format!("Content-Length: {LARGE}"), "Transfer-Encoding: chunked".to_string()] {
        let head = format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n");
        let chunked = framing.contains("chunked");
        let backend = Backend::new(move |_, s| {
            say(s, &head);
            if chunked {
                say(s, "100000\r\n");
            }
            s.write_all(&pattern(LARGE / 16)).is_ok() && s.shutdown(Shutdown::Both).is_err()
        });
        let gateway = start(&backend);
        let mut client = gateway.client();
        client.send(&ask("quote").text());
        let got = read_to_end_of_connection(&mut client);
        assert!(got.starts_with(b"HTTP/1.1 200") && got.len() < LARGE / 8, "{}", got.len());
        assert!(!got.ends_with(b"0\r\n\r\n"), "the answer does not look complete");
        while gateway.figure("/outstanding") > 0 {}
        assert_eq!((gateway.figure("/succeeded/quote"), gateway.figure("/aborted/quote")), (0, 1));
        assert_eq!(
            backend.requests.try_iter().count(),
            1,
            "an answer that was passed on is not requested again"
        );
    }
}

#[test]
fn relays_answers_in_every_framing() {
    let forms = [
        "HTTP/1.1 200 OK\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabcde",
        "HTTP/1.0 200 OK\r\n\r\nabcde",
        "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\nTrailer: X\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nab\r\n3\r\ncde\r\n0\r\nX: y\r\n\r\n",
    ];
    let next = AtomicUsize::new(0);
    let backend = Backend::new(move |_, s| {
        let form = forms[next.fetch_add(1, Ordering::SeqCst)];
        // Sent in small pieces that ignore the structure of the answer.
        form.as_bytes().chunks(7).all(|piece| s.write_all(piece).is_ok()) && !form.contains("\r\n\r\nabcde")
            || form.contains("Content-Length")
    });
    let gateway = start(&backend);
    for form in forms {
        let answer = gateway.client().ask(&ask("book-slot").text());
        assert_eq!((answer.status(), answer.body), (200, b"abcde".to_vec()), "{form:?}");
    }
}

#[test]
fn relays_large_body_unchanged() {
    let backend = Backend::good();
    let gateway = start(&backend);
    let mut client = gateway.client();
    client.send(&with_body("book-slot", &format!("Content-Length: {LARGE}")));
    for piece in pattern(LARGE).chunks(100_001) {
        client.stream.write_all(piece).expect("the gateway reads");
    }
    let answer = client.answer();
    assert_eq!((answer.status(), answer.header("connection")), (200, None));
    assert!(backend.next().body == pattern(LARGE));
    assert_eq!((gateway.figure("/forwards"), gateway.figure("/succeeded/book-slot")), (1, 1));
}

#[test]
fn forwards_chunked_body_with_trailers() {
    let backend = Backend::good();
    let gateway = start(&backend);
    let mut client = gateway.client();
    let text = with_body("book-slot", "Transfer-Encoding: chunked\r\nTrailer: X")
        + "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nX: y\r\n\r\n";
    for piece in text.as_bytes().chunks(11) {
        client.stream.write_all(piece).expect("the gateway reads");
    }
    assert_eq!(client.answer().status(), 200);
    assert_eq!(backend.next().body, b"abcde");
}

#[test]
fn retries_buffered_body_but_not_relayed_one() {
    // First attempts add to the retry budget that further attempts use.
    let breaks = std::sync::Arc::new(AtomicBool::new(false));
    let once = breaks.clone();
    let backend = Backend::new(move |_, s| !once.swap(false, Ordering::SeqCst) && ok(s, "x"));
    let gateway = start(&backend);
    let mut client = gateway.client();
    for _ in 0..10 {
        assert_eq!(client.ask(&ask("quote").text()).status(), 200);
        backend.next();
    }
    for (length, status, attempts) in [(SMALL, 200, 2), (LARGE, 502, 1)] {
        breaks.store(true, Ordering::SeqCst);
        let mut client = gateway.client();
        client.send(&with_body("confirm", &format!("Content-Length: {length}")));
        client.stream.write_all(&pattern(length)).expect("the gateway reads");
        assert_eq!(client.answer().status(), status, "{length} bytes");
        assert_eq!(backend.requests.try_iter().count(), attempts, "{length} bytes");
    }
}

const SMALL: usize = 200_000;

#[test]
fn answers_100_continue_unless_head_is_invalid() {
    let backend = Backend::good();
    let gateway = start(&backend);
    let head = with_body("book-slot", "Expect: 100-continue\r\nContent-Length: 5");
    let mut client = gateway.client();
    assert_eq!(client.ask(&head).status(), 100);
    assert_eq!(client.ask("hello").status(), 200);
    assert_eq!(backend.next().body, b"hello");
    assert_eq!(gateway.client().ask(&head.replace("Plan: basic", "Plan: none")).status(), 400);
}

#[test]
fn rejects_body_over_32_mb_before_it_is_sent() {
    let backend = Backend::good();
    let gateway = start(&backend);
    let mut client = gateway.client();
    let answer = client.ask(&with_body("book-slot", &format!("Content-Length: {}", (32 << 20) + 1)));
    assert_eq!((answer.status(), answer.header("connection")), (413, Some("close")));
    assert!(backend.untouched());
}

#[test]
fn aborted_large_body_ends_the_attempt() {
    let (length_sender, received_length) = channel();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let mut all = Vec::new();
            let _ = stream.read_to_end(&mut all);
            let _ = length_sender.send(all.len());
        }
    });
    let discovery = Discovery::new(list(1, true, &[("s-1", address, "Ready")]));
    let gateway = Gateway::with(&discovery, Setup { ops: true, ..Setup::default() });
    discovery.wait_for_calls(2);
    let mut client: TcpStream = gateway.client().stream;
    let head = with_body("book-slot", &format!("Content-Length: {LARGE}"));
    client.write_all(head.as_bytes()).expect("the gateway reads");
    client.write_all(&pattern(LARGE / 2)).expect("the gateway reads");
    drop(client);
    let got =
        received_length.recv_timeout(gateway_test_support::LIMIT).expect("the attempt ends with the client");
    assert!(got < LARGE, "{got} bytes");
    assert_eq!(gateway.figure("/forwards"), 0, "the request was never written completely");
}

#[test]
fn forwards_absolute_form_request_in_origin_form() {
    let backend = Backend::good();
    let gateway = start(&backend);
    let text = ask("quote").text().replace("GET /api", "GET http://origin.svc/api");
    assert_eq!(gateway.client().ask(&text).status(), 200);
    assert_eq!(backend.next().start, "GET /api?x=1 HTTP/1.1");
}
