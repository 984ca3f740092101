//! The gateway on loopback sockets, as its clients, backends and discovery see it.

use gateway_test_support::{
    ask, config_file, list, listener_with_full_queue, ok, say, Backend, Discovery, Gateway, Setup, LIMIT,
};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

fn discovery_with(backend: &Backend) -> Discovery {
    Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")]))
}

/// Sends a text and closes the connection.
fn say_and_close(to: &mut TcpStream, text: &str) -> bool {
    say(to, text);
    false
}

/// Returns whether the answer is a refusal: 429 or 503 with a `Retry-After`.
fn refused(answer: &gateway_test_support::Message) -> bool {
    let advice = answer.header("retry-after").and_then(|v| v.parse::<f64>().ok());
    matches!(answer.status(), 429 | 503) && advice.is_some_and(|a| a > 0.0 && a <= 2.0)
}

// ---- The ordinary path ----

#[test]
fn forwards_request_unchanged_and_returns_complete_answer() {
    let backend = Backend::good();
    let gateway = Gateway::start(&discovery_with(&backend));
    let mut client = gateway.client();
    for class in ["quote", "confirm", "book-slot"] {
        let a = ask(class);
        let answer = client.ask(&a.text());
        assert_eq!((answer.status(), answer.body), (200, format!("for {}", a.id).into_bytes()));
        let m = backend.next();
        let method = if class == "quote" { "GET" } else { "POST" };
        assert_eq!(m.start, format!("{method} /api?x=1 HTTP/1.1"));
        assert_eq!(m.header("request-id"), Some(a.id.as_str()));
        assert_eq!(m.header("idempotency-key"), (class == "confirm").then_some("k-1"));
        assert_eq!(m.body, if class == "quote" { b"".to_vec() } else { b"hello".to_vec() });
        let wait: f64 = m.header("request-timeout").expect("told").parse().expect("seconds");
        assert!(wait > 0.0 && wait < 2.0, "{wait} is not within the client's 2 s");
        assert_eq!(m.connection, 0, "the connection is reused");
    }
}

#[test]
fn returns_complete_chunked_answer() {
    let backend = Backend::new(|_, s| {
        say(s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
    });
    let gateway = Gateway::start(&discovery_with(&backend));
    let answer = gateway.client().ask(&ask("book-slot").text());
    assert_eq!((answer.status(), answer.body), (200, b"abcde".to_vec()));
}

#[test]
fn refuses_requests_beyond_quota_immediately_with_retry_after() {
    let backend = Backend::good();
    let gateway = Gateway::start(&discovery_with(&backend));
    let mut client = gateway.client();
    // The token bucket holds one unit and refills in 100 s.
    let (mut served, mut rejected) = (0, 0);
    for _ in 0..40 {
        let mut a = ask("quote");
        a.plan = "tight";
        let answer = client.ask(&a.text());
        if answer.status() == 200 {
            served += 1;
        } else {
            assert!(refused(&answer), "{answer:?}");
            rejected += 1;
        }
    }
    assert!(served >= 1 && rejected >= 20, "{served} served, {rejected} refused");
    assert_eq!(backend.requests.try_iter().count(), served);
}

// ---- Bad input ----

#[test]
fn rejects_invalid_requests_and_keeps_the_connection() {
    let backend = Backend::good();
    let gateway = Gateway::start(&discovery_with(&backend));
    let mut client = gateway.client();
    let good = ask("book-slot").text();
    let without = |name: &str| {
        let lines = good.split("\r\n").filter(|l| !l.starts_with(name));
        lines.collect::<Vec<_>>().join("\r\n")
    };
    for name in ["Request-Id", "Request-Class", "Plan", "Account", "Request-Timeout", "Quota-Info"] {
        assert_eq!(client.ask(&without(name)).status(), 400, "without {name}");
    }
    let changes = [
        ("book-slot", "lottery"),
        ("basic", "gold"),
        ("Request-Timeout: 2.0", "Request-Timeout: soon"),
        ("Request-Timeout: 2.0", "Request-Timeout: -1"),
        ("Request-Timeout: 2.0", "Request-Timeout: NaN"),
        ("Request-Timeout: 2.0", "Request-Timeout: 0"),
        ("00000000b4d65521", "me"),
        ("units=1", "units=inf"),
        ("units=1", "units=-1"),
        ("units=1", "units=0"),
        ("units=1", "units=9"),
        ("units=1", "units=1000000000000"),
        ("spread=1", "spread=0"),
        ("spread=1", "spread=2"),
        ("spread=1", "spread=70000"),
        ("first=0", "first=1"),
        (",first=0", ""),
        ("00000000b4d65521", "0969875fe8106a82"),
        ("Request-Class: book-slot", "Request-Class: confirm"),
        ("Request-Class: book-slot", "Request-Class: quote"),
        ("Plan:", "Idempotency-Key: k\r\nPlan:"),
        ("POST", "PUT"),
    ];
    for (from, to) in changes {
        assert!(good.contains(from));
        assert_eq!(client.ask(&good.replace(from, to)).status(), 400, "{from} -> {to}");
    }
    let unknown = good.replace("/api?x=1", "/else");
    assert_eq!(client.ask(&unknown).status(), 404);
    assert!(backend.untouched(), "nothing was forwarded");
    assert_eq!(client.ask(&good).status(), 200, "the connection still serves");
}

#[test]
fn incomplete_and_malformed_requests_do_not_affect_other_clients() {
    let backend = Backend::good();
    let gateway = Gateway::start(&discovery_with(&backend));
    let text = ask("book-slot").text();
    let mut incomplete = gateway.client();
    incomplete.send(&text[..text.len() / 2]);
    let mut body = gateway.client();
    body.send(&text[..text.len() - 2]);
    let mut noise = gateway.client();
    noise.send("\u{1}\u{2} what is this\r\n\r\n");
    assert_eq!(noise.answer().status(), 400);
    assert_eq!(gateway.client().ask(&ask("quote").text()).status(), 200);
    backend.next();
    drop(incomplete);
    assert_eq!(body.answer().status(), 408, "waiting for the rest of a body times out");
    assert!(backend.untouched());
}

/// Every peer gets an answer or a close within 3 s; a client that has been served may pause for longer.
#[test]
fn disconnects_peer_without_complete_request_in_time() {
    let backend = Backend::good();
    let gateway = Gateway::start(&discovery_with(&backend));
    let text = ask("book-slot").text();
    let head = text.find("\r\n\r\n").expect("a head") + 4;
    let mut served = gateway.client();
    assert_eq!(served.ask(&ask("quote").text()).status(), 200);
    let start = Instant::now();
    let mut peers = [gateway.client(), gateway.client(), gateway.client()];
    peers[1].send(&text[..head / 2]);
    peers[2].send(&text[..head + 2]);
    assert!(peers[0].closed() && peers[1].closed());
    assert_eq!(peers[2].answer().status(), 408);
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
    assert_eq!(served.ask(&ask("quote").text()).status(), 200);
}

#[test]
fn rejects_request_with_pending_id() {
    let (go, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let backend = Backend::new(move |_, s| wait.lock().expect("kept").recv().is_ok() && ok(s, "once"));
    let gateway = Gateway::start(&discovery_with(&backend));
    let a = ask("book-slot").text();
    let (mut first, mut second) = (gateway.client(), gateway.client());
    first.send(&a);
    backend.next();
    assert_eq!(second.ask(&a).status(), 400);
    go.send(()).expect("the backend waits");
    assert_eq!(first.answer().body, b"once");
    assert!(backend.untouched());
}

// ---- Outcomes: may it have run? ----

#[test]
fn unsafe_request_that_may_have_run_fails_without_retry() {
    let scripts: [fn(&mut TcpStream) -> bool; 7] = [
        |_| false,
        |s| say(s, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"),
        |s| say(s, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
        // `Not-Started` counts only with status 503 or 504.
        |s| say(s, "HTTP/1.1 500 Oops\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"),
        // Cut off in the body, in the head and in a chunk.
        |s| say_and_close(s, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"),
        |s| say_and_close(s, "HTTP/1.1 200 OK\r\nContent-Len"),
        |s| say_and_close(s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf"),
    ];
    for (n, script) in scripts.into_iter().enumerate() {
        let backend = Backend::new(move |_, s| script(s));
        let gateway = Gateway::start(&discovery_with(&backend));
        let answer = gateway.client().ask(&ask("book-slot").text());
        assert_eq!((answer.status(), answer.body.len()), (502, 0), "script {n}");
        backend.next();
        assert!(backend.untouched(), "script {n}: a second attempt");
    }
}

#[test]
fn retries_unsafe_request_that_was_not_started() {
    let first = AtomicBool::new(true);
    let backend = Backend::new(move |_, s| {
        if first.swap(false, Ordering::SeqCst) {
            return say(s, "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
        }
        ok(s, "x")
    });
    let gateway = Gateway::start(&discovery_with(&backend));
    assert_eq!(gateway.client().ask(&ask("book-slot").text()).status(), 200);
    let ids: Vec<_> =
        backend.requests.try_iter().map(|m| m.header("request-id").map(str::to_owned)).collect();
    assert!(ids.len() == 2 && ids[0] == ids[1], "{ids:?}");
}

#[test]
fn refuses_request_that_never_ran() {
    let full =
        Backend::new(|_, s| say(s, "HTTP/1.1 504 Over\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"));
    let gateway = Gateway::start(&discovery_with(&full));
    let answer = gateway.client().ask(&ask("book-slot").text());
    assert!(refused(&answer), "{answer:?}");
    assert!(full.requests.try_iter().count() <= 3, "more attempts than the settings allow");

    let closed = gateway_test_support::reserved_address();
    let gateway = Gateway::start(&Discovery::new(list(1, true, &[("s-1", closed, "Ready")])));
    let answer = gateway.client().ask(&ask("book-slot").text());
    assert!(refused(&answer), "{answer:?}");
}

#[test]
fn retries_safe_request_after_reset() {
    // First attempts add to the retry budget that further attempts use, so the reset comes after some of
    // them.
    let count = AtomicUsize::new(0);
    let backend = Backend::new(move |_, s| count.fetch_add(1, Ordering::SeqCst) != 10 && ok(s, "x"));
    let gateway = Gateway::start(&discovery_with(&backend));
    let mut client = gateway.client();
    for n in 0..12 {
        assert_eq!(client.ask(&ask("quote").text()).status(), 200, "request {n}");
    }
    assert_eq!(backend.requests.try_iter().count(), 13);
}

// ---- Time ----

#[test]
fn unresponsive_backend_times_out_and_its_late_answer_is_dropped() {
    let first = AtomicBool::new(true);
    let (go, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let backend = Backend::new(move |m, s| {
        if first.swap(false, Ordering::SeqCst) {
            let _ = wait.lock().expect("kept").recv();
            return ok(s, "late");
        }
        ok(s, m.header("request-id").unwrap_or(""))
    });
    let gateway = Gateway::start(&discovery_with(&backend));
    let mut client = gateway.client();
    let mut a = ask("book-slot");
    a.timeout = "0.6";
    let answer = client.ask(&a.text());
    assert_eq!(answer.status(), 504, "the request may have run");
    // The gateway's own deadline leaves time to send the answer.
    let m = backend.next();
    let wait: f64 = m.header("request-timeout").expect("told").parse().expect("seconds");
    assert!(wait <= 0.581 && m.connection == 0, "{m:?}");
    go.send(()).expect("the backend waits");
    for _ in 0..3 {
        let next = ask("book-slot");
        assert_eq!(client.ask(&next.text()).body, next.id.as_bytes());
    }
    let connections: Vec<usize> = backend.requests.try_iter().map(|m| m.connection).collect();
    assert_eq!(connections, [1, 1, 1], "the connection of the timed-out attempt is not reused");
}

#[test]
fn refuses_request_in_time_without_ready_backend() {
    let backend = Backend::good();
    let discovery = Discovery::new(list(1, true, &[("s-1", backend.address, "Terminating")]));
    let gateway = Gateway::start(&discovery);
    let mut client = gateway.client();
    assert_eq!(client.ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 503);
    let mut a = ask("book-slot");
    a.timeout = "0.5";
    let answer = client.ask(&a.text());
    assert!(refused(&answer), "{answer:?}");
    discovery.publish(2, list(2, false, &[("s-1", backend.address, "Ready")]));
    discovery.wait_for_calls(3);
    assert_eq!(client.ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
    assert!(backend.untouched());
}

#[test]
fn cancels_attempt_when_client_disconnects() {
    let (go, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let backend = Backend::new(move |_, s| wait.lock().expect("kept").recv().is_ok() && ok(s, "x"));
    let gateway = Gateway::start(&discovery_with(&backend));
    let mut client = gateway.client();
    client.send(&ask("book-slot").text());
    backend.next();
    drop(client);
    go.send(()).expect("the backend waits");
    assert_eq!(backend.ended.recv_timeout(LIMIT).expect("the gateway ends the connection"), 0);
    assert!(backend.untouched());
}

// ---- Connections to backends ----

#[test]
fn does_not_reuse_connection_closed_by_backend() {
    let (close, closed) = channel();
    let backend = Backend::new(move |_, s| {
        ok(s, "x");
        let _ = s.shutdown(Shutdown::Both);
        close.send(()).is_err()
    });
    let gateway = Gateway::start(&discovery_with(&backend));
    let mut client = gateway.client();
    for n in 0..5 {
        assert_eq!(client.ask(&ask("book-slot").text()).status(), 200, "request {n}");
        assert_eq!(backend.next().connection, n);
        closed.recv_timeout(LIMIT).expect("the backend closes");
    }
}

#[test]
fn closes_idle_connection_before_the_backend_does() {
    let backend = Backend::good();
    let discovery = discovery_with(&backend);
    let gateway = Gateway::with(&discovery, Setup { keepalive_ms: 2_000, ..Setup::default() });
    discovery.wait_for_calls(2);
    assert_eq!(gateway.client().ask(&ask("quote").text()).status(), 200);
    assert_eq!(backend.ended.recv_timeout(LIMIT).expect("the gateway closes the connection"), 0);
}

#[test]
fn figures_report_connections() {
    let backend = Backend::good();
    let discovery = discovery_with(&backend);
    let gateway = Gateway::with(&discovery, Setup { ops: true, ..Setup::default() });
    discovery.wait_for_calls(2);
    let mut client = gateway.client();
    for _ in 0..3 {
        assert_eq!(client.ask(&ask("quote").text()).status(), 200);
    }
    for (path, expected) in
        [("opened", 1), ("open", 1), ("idle", 1), ("opening", 0), ("reused", 2), ("waits", 1)]
    {
        assert_eq!(gateway.figure(&format!("/connections/{path}")), expected, "{path}");
    }
    assert_eq!(gateway.call("POST", "/-/roll-servers/s-1/disable").status(), 200);
    assert_eq!(gateway.figure("/connections/closed/listed"), 1);
    assert_eq!(gateway.figure("/connections/open"), 0);
}

#[test]
fn uses_new_endpoint_after_list_update() {
    let (old, new) = (Backend::good(), Backend::good());
    let discovery = discovery_with(&old);
    let gateway = Gateway::start(&discovery);
    let mut client = gateway.client();
    assert_eq!(client.ask(&ask("quote").text()).status(), 200);
    discovery.publish(2, list(2, false, &[("s-1", new.address, "Ready")]));
    discovery.wait_for_calls(3);
    assert_eq!(client.ask(&ask("quote").text()).status(), 200);
    assert_eq!((old.requests.try_iter().count(), new.requests.try_iter().count()), (1, 1));
}

// ---- Discovery ----

#[test]
fn sends_no_requests_to_drained_backend() {
    let (draining, staying) = (Backend::good(), Backend::good());
    let both = [("s-1", draining.address, "Ready"), ("s-2", staying.address, "Ready")];
    for state in ["Terminating", "Gone"] {
        let discovery = Discovery::new(list(1, true, &both));
        let gateway = Gateway::start(&discovery);
        discovery.publish(2, list(2, false, &[("s-1", draining.address, state)]));
        discovery.wait_for_calls(3);
        let mut client = gateway.client();
        let _ = draining.requests.try_iter().count();
        for _ in 0..20 {
            assert_eq!(client.ask(&ask("book-slot").text()).status(), 200);
        }
        assert!(draining.untouched(), "{state}");
    }
}

#[test]
fn does_not_send_connecting_attempt_after_drain() {
    let (listener, fill) = listener_with_full_queue();
    let address = listener.local_addr().expect("an address");
    let discovery = Discovery::new(list(1, true, &[("s-1", address, "Ready")]));
    let gateway = Gateway::with(&discovery, Setup { connect_ms: 15_000, ..Setup::default() });
    discovery.wait_for_calls(2);
    let mut client = gateway.client();
    let mut a = ask("book-slot");
    a.timeout = "2.5";
    client.send(&a.text());
    // The attempt has started once this later request is answered.
    assert_eq!(gateway.client().ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
    discovery.publish(2, list(2, false, &[("s-1", address, "Terminating")]));
    discovery.wait_for_calls(3);
    drop(fill);
    let reader = std::thread::spawn(move || {
        let mut got = Vec::new();
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            stream.set_read_timeout(Some(LIMIT)).expect("a limit");
            let mut bytes = Vec::new();
            let _ = stream.read_to_end(&mut bytes);
            got.extend(bytes);
            if got.ends_with(b"end") {
                break;
            }
        }
        got
    });
    let answer = client.answer();
    assert!(refused(&answer), "{answer:?}");
    drop(gateway);
    let mut last = TcpStream::connect(address).expect("the listener's queue has space again");
    last.write_all(b"end").expect("the end mark is written");
    drop(last);
    assert_eq!(reader.join().expect("no panic"), b"end", "nothing was written to the drained backend");
}

#[test]
fn keeps_old_list_after_invalid_answer_from_discovery() {
    let backend = Backend::good();
    let discovery = discovery_with(&backend);
    let gateway = Gateway::start(&discovery);
    let mut client = gateway.client();
    let twice =
        r#"{"rev":2,"all":true,"targets":[{"uid":"s-9","state":"Ready"},{"uid":"s-9","state":"Ready"}]}"#;
    for garbage in
        ["", "{", "[]", r#"{"rev":2,"all":true}"#, r#"{"rev":2,"all":true,"targets":[{"uid":7}]}"#, twice]
    {
        let calls = discovery.calls();
        discovery.publish(2, garbage.to_string());
        discovery.wait_for_calls(calls + 1);
        assert_eq!(client.ask(&ask("quote").text()).status(), 200, "after {garbage:?}");
        discovery.retract_latest();
    }
    let other = Backend::good();
    discovery.publish(3, list(3, true, &[("s-2", other.address, "Ready")]));
    let started = Instant::now();
    while other.untouched() {
        assert_eq!(client.ask(&ask("quote").text()).status(), 200);
        assert!(started.elapsed() < LIMIT, "the new list is never applied");
    }
}

#[test]
fn fails_over_to_next_list_address_and_rejects_older_list() {
    let (old, now) = (Backend::good(), Backend::good());
    let first = discovery_with(&now);
    first.retract_latest();
    first.publish(5, list(5, true, &[("s-2", now.address, "Ready")]));
    // This service lags behind: its list names a server that is gone.
    let (lagging, third) = (discovery_with(&old), discovery_with(&old));
    lagging.publish(6, list(3, true, &[("s-1", old.address, "Ready")]));
    third.publish(6, list(6, true, &[("s-3", now.address, "Ready")]));
    let fallbacks = vec![lagging.address, third.address];
    let known = Some(list(4, true, &[("s-2", now.address, "Ready")]));
    let gateway = Gateway::with(&first, Setup { ops: true, fallbacks, known, ..Setup::default() });
    first.wait_for_calls(2);
    assert_eq!(gateway.figure("/list/version"), 5);
    // An answer that is not a list counts as a failed call.
    first.publish(7, "{".to_string());
    lagging.wait_for_calls(1);
    third.wait_for_calls(2);
    let mut client = gateway.client();
    for _ in 0..20 {
        assert_eq!(client.ask(&ask("quote").text()).status(), 200);
    }
    assert!(old.untouched(), "the older list is rejected");
    assert_eq!((gateway.figure("/list/version"), gateway.figure("/discovered")), (6, 1));
}

#[test]
fn start_with_fallbacks_rejects_list_older_than_cached_one() {
    let (old, now) = (Backend::good(), Backend::good());
    let (lagging, second) =
        (discovery_with(&old), Discovery::new(list(6, true, &[("s-3", now.address, "Ready")])));
    let known = Some(list(4, true, &[("s-2", now.address, "Ready")]));
    let fallbacks = vec![second.address];
    let gateway = Gateway::with(&lagging, Setup { ops: true, fallbacks, known, ..Setup::default() });
    second.wait_for_calls(2);
    assert_eq!(gateway.client().ask(&ask("quote").text()).status(), 200);
    assert!(old.untouched() && gateway.figure("/list/version") == 6);
}

#[test]
fn applies_empty_list_and_serves_again_when_backend_returns() {
    let backend = Backend::good();
    let discovery = discovery_with(&backend);
    let gateway = Gateway::start(&discovery);
    let mut client = gateway.client();
    assert_eq!(client.ask(&ask("quote").text()).status(), 200);
    backend.next();
    discovery.publish(2, list(2, true, &[]));
    discovery.wait_for_calls(3);
    let mut a = ask("quote");
    a.timeout = "0.3";
    assert!(refused(&client.ask(&a.text())));
    assert!(backend.untouched());
    discovery.publish(3, list(3, false, &[("s-1", backend.address, "Ready")]));
    discovery.wait_for_calls(4);
    assert_eq!(client.ask(&ask("quote").text()).status(), 200);
}

#[test]
fn start_with_cached_list_requests_only_changes_from_shared_discovery() {
    let (known, new) = (Backend::good(), Backend::good());
    // This discovery service has no full list.
    let discovery = Discovery::new(String::new());
    discovery.retract_latest();
    discovery.publish(2, list(2, false, &[("s-1", known.address, "Gone"), ("s-2", new.address, "Ready")]));
    let setup = Setup {
        known: Some(list(1, true, &[("s-1", known.address, "Ready")])),
        subscribe: true,
        ..Setup::default()
    };
    let gateway = Gateway::with(&discovery, setup);
    discovery.wait_for_calls(2);
    assert_eq!(gateway.client().ask(&ask("quote").text()).status(), 200);
    assert!(known.untouched() && !new.untouched());
}

// ---- Start and end ----

#[test]
fn reports_missing_or_invalid_configuration() {
    let run = |path: Option<&std::path::Path>| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_sprucehatch-gateway"));
        command.env_remove("LB_CONFIG").env_remove("LB_LISTEN").env_remove("LB_DISCOVERY");
        if let Some(path) = path {
            command.env("LB_CONFIG", path);
        }
        let out = command.output().expect("the program runs");
        let text = String::from_utf8(out.stderr).expect("text");
        assert!(!out.status.success(), "{text}");
        assert!(!text.is_empty() && text.lines().all(|l| l.starts_with("sprucehatch-gateway: ")), "{text}");
    };
    run(None);
    run(Some(std::path::Path::new("/nowhere/config.json")));
    for text in ["", "{}", "[1]", r#"{"listen":"127.0.0.1:0"}"#] {
        let path = config_file(text);
        run(Some(&path));
        let _ = std::fs::remove_file(path);
    }
}

#[test]
fn option_out_of_range_fails_start_with_key_and_range() {
    let backend = Backend::good();
    let gateway = Gateway::start(&discovery_with(&backend));
    let text = gateway.configuration();
    let run = |pool: &str| {
        let bare = r#""discovery_fallbacks":[],"pool":{}"#;
        assert!(text.contains(bare));
        let path = config_file(&text.replace(bare, &format!(r#""pool":{pool}"#)));
        let mut command = Command::new(env!("CARGO_BIN_EXE_sprucehatch-gateway"));
        let out =
            command.env("LB_CONFIG", &path).env("LB_LISTEN", "nowhere").output().expect("the program runs");
        let _ = std::fs::remove_file(path);
        assert!(!out.status.success());
        String::from_utf8(out.stderr).expect("text")
    };
    for (pool, expected) in [
        (r#"{"per_server":0}"#, "pool.per_server is 0: a whole number from 1 to 100000 is wanted"),
        (r#"{"per_server":"many"}"#, r#"pool.per_server is "many": a whole number from 1 to 100000"#),
        (r#"{"idle_ms":-5}"#, "pool.idle_ms is -5: a whole number from 1 to 3600000 is wanted"),
        (r#"{"idle":5}"#, "pool.idle is no key here: idle_ms, per_server are"),
        ("[5]", "pool is [5]: a table is wanted"),
        (r#"{},"discovery_fallbacks":["there"]"#, "discovery_fallbacks[0] is \"there\": an address"),
        // Valid options: the start fails only because of the address.
        (r#"{"per_server":3,"idle_ms":500}"#, "LB_LISTEN is \"nowhere\""),
    ] {
        let text = run(pool);
        assert!(text.contains(expected), "{pool}: {text}");
    }
}

#[test]
fn pool_options_limit_idle_connections() {
    let backend = Backend::good();
    let discovery = discovery_with(&backend);
    let pool = Some(r#"{"per_server":1,"idle_ms":100}"#);
    let gateway = Gateway::with(&discovery, Setup { ops: true, pool, ..Setup::default() });
    discovery.wait_for_calls(2);
    assert_eq!(gateway.client().ask(&ask("quote").text()).status(), 200);
    assert_eq!(backend.ended.recv_timeout(LIMIT).expect("the gateway closes the connection"), 0);
    assert_eq!(gateway.figure("/connections/closed/expired"), 1);
}

#[test]
fn reload_applies_new_discovery_address_and_ignores_invalid_file() {
    let (old, new) = (Backend::good(), Backend::good());
    let (first, second) = (discovery_with(&old), discovery_with(&new));
    let gateway = Gateway::start(&first);
    let mut client = gateway.client();
    assert_eq!(client.ask(&ask("quote").text()).status(), 200);
    old.next();
    let text = gateway.configuration();
    let moved = text.replace(&first.address.to_string(), &second.address.to_string());
    for bad in ["", "{", &moved.replace("quota_rate", "rate"), &moved.replace("127.0.0.1", "nowhere")] {
        gateway.reconfigure(bad);
        gateway.wait_for_log_line("the old one stands");
        assert_eq!(client.ask(&ask("quote").text()).status(), 200);
        old.next();
    }
    gateway.reconfigure(&moved);
    second.wait_for_calls(2);
    assert_eq!(client.ask(&ask("quote").text()).status(), 200, "the same connection continues to serve");
    new.next();
    assert!(old.untouched(), "the new list is in use");
}

#[test]
fn restart_after_kill_serves_from_cached_list_without_discovery() {
    let backend = Backend::good();
    let known = Some(list(1, true, &[("s-1", backend.address, "Ready")]));
    let unresponsive = Discovery::silent();
    let first = Gateway::with(&unresponsive, Setup { known: known.clone(), ..Setup::default() });
    let address = first.address;
    let mut client = first.client();
    assert_eq!(client.ask(&ask("quote").text()).status(), 200);
    drop(first);
    // Started immediately on the same address, while connections of the killed process remain in the kernel.
    let again = Gateway::with(&unresponsive, Setup { known, listen: Some(address), ..Setup::default() });
    assert_eq!(again.address, address);
    assert_eq!(again.client().ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
    assert_eq!(again.client().ask(&ask("book-slot").text()).status(), 200);
}

#[test]
fn answers_during_accept_window_after_sigterm_and_exits_cleanly() {
    let (go, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let held = Arc::new(AtomicBool::new(true));
    let hold = held.clone();
    let backend = Backend::new(move |_, s| {
        if hold.swap(false, Ordering::SeqCst) {
            let _ = wait.lock().expect("kept").recv();
        }
        ok(s, "x")
    });
    let mut gateway = Gateway::start(&discovery_with(&backend));
    let (mut busy, mut idle) = (gateway.client(), gateway.client());
    busy.send(&ask("book-slot").text());
    backend.next();
    assert_eq!(idle.ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
    gateway.signal("-TERM");
    // The listener is still open: a client whose request arrives just as its connection closes can use a new
    // connection.
    assert!(idle.closed());
    assert_eq!(gateway.client().ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 503);
    let mut new = gateway.client();
    let answer = new.ask(&ask("quote").text());
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    go.send(()).expect("the backend waits");
    let answer = busy.answer();
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(gateway.child.wait().expect("the process ends").success());
}

// ---- Descriptors ----

#[test]
fn closes_idle_clients_for_new_ones() {
    let backend = Backend::good();
    let discovery = discovery_with(&backend);
    let gateway = Gateway::with(&discovery, Setup { sockets: 100, ..Setup::default() });
    discovery.wait_for_calls(2);
    let mut kept = Vec::new();
    for n in 0..150 {
        let mut client = gateway.client();
        assert_eq!(client.ask(&ask("quote").text()).status(), 200, "client {n}");
        kept.push(client);
    }
    assert!(kept[0].closed(), "the connection idle for longest is closed");
    assert_eq!(kept[149].ask(&ask("quote").text()).status(), 200);
}

#[test]
fn survives_running_out_of_descriptors() {
    let backend = Backend::good();
    let discovery = discovery_with(&backend);
    let gateway = Gateway::with(&discovery, Setup { ulimit: Some(40), ..Setup::default() });
    discovery.wait_for_calls(2);
    let mut clients: Vec<_> = (0..100).map(|_| gateway.client()).collect();
    // All are connected, but few are accepted; each of these gets its turn.
    for client in &mut clients[60..] {
        client.send(&ask("quote").text());
    }
    for client in &mut clients[60..] {
        assert!(matches!(client.answer().status(), 200 | 429 | 502 | 503 | 504));
    }
    drop(clients);
    assert_eq!(gateway.client().ask(&ask("quote").text()).status(), 200);
}

// ---- Operators ----

const READY: &str = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";

fn with_ops(discovery: &Discovery) -> Gateway {
    let gateway = Gateway::with(discovery, Setup { ops: true, ..Setup::default() });
    discovery.wait_for_calls(2);
    gateway
}

#[test]
fn answers_operators_despite_incomplete_calls_and_rejects_unknown_calls() {
    let backend = Backend::good();
    let gateway = with_ops(&discovery_with(&backend));
    // More incomplete calls than the limit, and connections without any data: none delays another call.
    let mut incomplete_calls: Vec<_> = (0..20).map(|_| gateway.operator()).collect();
    incomplete_calls.iter_mut().skip(5).for_each(|h| h.send("GET /-/rea"));
    let started = Instant::now();
    assert_eq!(gateway.call("GET", "/-/ready").status(), 200);
    assert_eq!(gateway.call("GET", "/-/nothing").status(), 404);
    assert_eq!(gateway.call("POST", "/-/roll-servers/nobody/disable").status(), 404);
    assert_eq!(gateway.call("POST", "/-/roll-servers/nobody/enable").status(), 404);
    assert_eq!(gateway.call("POST", "/-/roll-servers//enable").status(), 404);
    assert_eq!(gateway.call("GET", "/-/drain").status(), 405);
    assert_eq!(gateway.call("POST", "/-/metrics").header("allow"), Some("GET"));
    assert!(started.elapsed() < Duration::from_secs(2), "incomplete calls delay other calls");
    for incomplete in &mut incomplete_calls {
        assert!(incomplete.closed(), "incomplete calls are ended");
    }
    assert_eq!(gateway.client().ask("GET /-/metrics HTTP/1.1\r\nHost: x\r\n\r\n").status(), 404);
}

#[test]
fn invalid_operators_address_fails_start_with_message() {
    let backend = Backend::good();
    let discovery = discovery_with(&backend);
    let gateway = Gateway::start(&discovery);
    let taken = gateway.address.to_string();
    for bad in ["nowhere", "", &taken] {
        let path = config_file(&gateway.configuration());
        let mut command = Command::new(env!("CARGO_BIN_EXE_sprucehatch-gateway"));
        command.env_remove("LB_LISTEN").env("LB_CONFIG", &path).env("LB_OPS", bad);
        let out = command.output().expect("the program runs");
        let _ = std::fs::remove_file(path);
        let text = String::from_utf8(out.stderr).expect("text");
        let expected = if bad == taken { "ops: " } else { "LB_OPS is " };
        assert!(!out.status.success() && text.contains(expected), "{bad:?}: {text}");
    }
}

#[test]
fn figures_count_every_outcome_once() {
    let (go, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let backend = Backend::new(move |m, s| {
        if m.start.starts_with("POST") {
            let _ = wait.lock().expect("kept").recv();
            return say(s, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
        }
        ok(s, "x")
    });
    let gateway = with_ops(&discovery_with(&backend));
    assert_eq!((gateway.figure("/succeeded/confirm"), gateway.figure("/discovered")), (0, 1));
    let mut client = gateway.client();
    for _ in 0..3 {
        assert_eq!(client.ask(&ask("quote").text()).status(), 200);
    }
    let mut tight = ask("quote");
    tight.plan = "tight";
    let refusals = (0..3).filter(|_| refused(&client.ask(&tight.again().text()))).count() as u64;
    assert!(refusals > 0);
    client.send(&ask("book-slot").text());
    while backend.next().start.starts_with("GET") {}
    assert_eq!(gateway.figure("/outstanding"), 1);
    assert_eq!(
        gateway.figure("/forwards"),
        3 + (3 - refusals) + 1,
        "the request is written but not answered"
    );
    go.send(()).expect("the backend waits");
    assert_eq!(client.answer().status(), 502);
    let figures =
        ["/succeeded/quote", "/declined/quote", "/aborted/book-slot", "/aborted/quote", "/outstanding"];
    assert_eq!(figures.map(|f| gateway.figure(f)), [6 - refusals, refusals, 1, 0, 0]);
}

#[test]
fn disabled_server_gets_no_requests_until_enabled() {
    let (disabled, other) = (Backend::good(), Backend::good());
    let both = [("s-1", disabled.address, "Ready"), ("s-2", other.address, "Ready")];
    let discovery = Discovery::new(list(1, true, &both));
    let gateway = with_ops(&discovery);
    let mut client = gateway.client();
    // Disabling twice is undone by enabling once.
    for _ in 0..2 {
        assert_eq!(gateway.call("POST", "/-/roll-servers/s-1/disable").status(), 200);
    }
    assert_eq!((gateway.figure("/ejected"), gateway.figure("/discovered")), (1, 2));
    let lists = [vec![both[1]], both.to_vec()];
    for (rev, l) in (2..).zip(&lists) {
        discovery.publish(rev, list(rev, true, l));
        discovery.wait_for_calls(1 + rev as usize);
        assert_eq!(
            gateway.call("POST", "/-/roll-servers/s-1/disable").status(),
            200,
            "the server's name is known"
        );
        assert_eq!(gateway.figure("/ejected"), rev - 2, "only listed servers count");
        let _ = disabled.requests.try_iter().count();
        for _ in 0..20 {
            assert_eq!(client.ask(&ask("book-slot").text()).status(), 200);
        }
        assert!(disabled.untouched());
    }
    for _ in 0..2 {
        assert_eq!(gateway.call("POST", "/-/roll-servers/s-1/enable").status(), 200);
    }
    assert_eq!(gateway.figure("/ejected"), 0);
    let mut asked = 0;
    while disabled.untouched() {
        assert_eq!(client.ask(&ask("book-slot").text()).status(), 200);
        asked += 1;
        assert!(asked < 500, "the enabled server never gets a request");
    }
}

#[test]
fn drain_closes_client_connections_and_resume_reverts_it() {
    let backend = Backend::good();
    let gateway = with_ops(&discovery_with(&backend));
    let (mut used, mut idle, mut incomplete) = (gateway.client(), gateway.client(), gateway.client());
    for client in [&mut used, &mut idle, &mut incomplete] {
        assert_eq!(client.ask(&ask("quote").text()).status(), 200);
    }
    let text = ask("quote").text();
    assert_eq!(gateway.call("POST", "/-/drain").status(), 200);
    assert_eq!(gateway.client().ask(READY).status(), 503, "readiness fails immediately");
    incomplete.send(&text[..40]);
    let answer = used.ask(&ask("quote").text());
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(used.closed() && idle.closed(), "one closes with its answer, one because it is idle");
    incomplete.send(&text[40..]);
    let answer = incomplete.answer();
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close")),
        "a request that was arriving"
    );
    assert_eq!(gateway.call("POST", "/-/resume").status(), 200);
    let mut client = gateway.client();
    assert_eq!(client.ask(READY).status(), 200);
    for _ in 0..2 {
        let answer = client.ask(&ask("quote").text());
        assert_eq!((answer.status(), answer.header("connection")), (200, None));
    }
}
