//! Graceful restarts: two processes of one gateway, on the clients' socket that the platform holds.

use gateway_test_support::{ask, config_file, folder, list, Backend, Discovery, Gateway, Setup};
use std::net::TcpListener;
use std::os::unix::net::UnixListener;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const READY: &str = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";

fn socket() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port")
}

fn start(discovery: &Discovery, held: &TcpListener, folder: &Path) -> Gateway {
    let inherited = Some(held.try_clone().expect("a second handle"));
    let folder = Some(folder.to_path_buf());
    Gateway::with(discovery, Setup { ops: true, inherited, folder, ..Setup::default() })
}

#[test]
fn successor_takes_over_disabled_servers_and_drains_without_losing_requests() {
    let (disabled, backend) = (Backend::good(), Backend::good());
    let both = [("s-1", disabled.address, "Ready"), ("s-2", backend.address, "Ready")];
    let discovery = Discovery::new(list(1, true, &both));
    let (held, folder) = (socket(), folder());
    let mut old = start(&discovery, &held, &folder);
    discovery.wait_for_calls(2);
    assert_eq!(old.call("POST", "/-/roll-servers/s-1/disable").status(), 200);
    let mut client = old.client();
    assert_eq!(client.ask(&ask("quote").text()).header("connection"), None);

    let new = start(&discovery, &held, &folder);
    old.wait_for_log_line("a successor serves");
    assert_eq!((new.call("GET", "/-/ready").status(), new.figure("/ejected")), (200, 1));
    // The open connection is served until it closes; new connections go to the successor.
    let answer = client.ask(&ask("quote").text());
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(client.closed());
    for _ in 0..5 {
        assert_eq!(new.client().ask(&ask("quote").text()).header("connection"), None);
    }
    assert_eq!((new.figure("/succeeded/quote"), old.figure("/succeeded/quote")), (5, 2));

    // Operators' calls to either process apply to both.
    assert_eq!(old.call("POST", "/-/drain").status(), 200);
    new.wait_for_log_line("client drain started");
    assert_eq!(new.client().ask(READY).status(), 503);
    assert_eq!(new.call("POST", "/-/resume").status(), 200);
    old.wait_for_log_line("client drain ended");
    assert_eq!(old.call("POST", "/-/roll-servers/s-2/disable").status(), 200);
    let started = Instant::now();
    while new.figure("/ejected") != 2 {
        assert!(
            started.elapsed() < gateway_test_support::LIMIT,
            "the successor is not told that the server is disabled"
        );
    }
    assert_eq!(new.call("POST", "/-/roll-servers/s-2/enable").status(), 200);

    old.signal("-TERM");
    assert!(old.child.wait().expect("the process ends").success());
    assert_eq!(new.client().ask(&ask("quote").text()).status(), 200);
    assert_eq!(new.figure("/ejected"), 1, "the server stays disabled after the old process ends");
    assert!(disabled.untouched());

    // A third process takes over from the successor.
    let next = start(&discovery, &held, &folder);
    new.wait_for_log_line("a successor serves");
    assert_eq!(next.figure("/ejected"), 1);
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn old_process_accepts_clients_again_after_successor_dies() {
    let backend = Backend::good();
    let discovery = Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")]));
    let (held, folder) = (socket(), folder());
    let old = start(&discovery, &held, &folder);
    discovery.wait_for_calls(2);
    let new = start(&discovery, &held, &folder);
    old.wait_for_log_line("a successor serves");
    drop(new);
    assert_eq!(old.client().ask(&ask("quote").text()).status(), 200);
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn old_process_answers_request_in_progress_after_sigterm() {
    let (go, wait) = std::sync::mpsc::channel::<()>();
    let wait = std::sync::Mutex::new(wait);
    let backend = Backend::new(move |_, s| {
        wait.lock().expect("kept").recv().is_ok() && gateway_test_support::ok(s, "x")
    });
    let discovery = Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")]));
    let (held, folder) = (socket(), folder());
    let mut old = start(&discovery, &held, &folder);
    discovery.wait_for_calls(2);
    let mut busy = old.client();
    busy.send(&ask("book-slot").text());
    backend.next();
    let _new = start(&discovery, &held, &folder);
    old.wait_for_log_line("a successor serves");
    old.signal("-TERM");
    old.wait_for_log_line("handing clients over");
    go.send(()).expect("the backend waits");
    assert_eq!(busy.answer().status(), 200);
    assert!(old.child.wait().expect("the process ends").success());
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn stale_socket_or_unresponsive_peer_barely_delays_start() {
    let backend = Backend::good();
    let discovery = Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")]));
    for unresponsive in [false, true] {
        let (held, folder) = (socket(), folder());
        let peer = UnixListener::bind(folder.join("n0.handover")).expect("a socket");
        let peer = Some(peer).filter(|_| unresponsive);
        let started = Instant::now();
        let gateway = start(&discovery, &held, &folder);
        assert_eq!(gateway.client().ask(&ask("quote").text()).status(), 200);
        assert!(started.elapsed() < Duration::from_secs(3), "unresponsive: {unresponsive}");
        drop(peer);
        let _ = std::fs::remove_dir_all(folder);
    }
}

#[test]
fn handover_works_with_long_folder_path() {
    let backend = Backend::good();
    let discovery = Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")]));
    let (held, top) = (socket(), folder());
    let long = top.join("x".repeat(150));
    std::fs::create_dir(&long).expect("a folder");
    let old = start(&discovery, &held, &long);
    discovery.wait_for_calls(2);
    let _new = start(&discovery, &held, &long);
    old.wait_for_log_line("a successor serves");
    let _ = std::fs::remove_dir_all(top);
}

#[test]
fn invalid_descriptor_fails_start_with_message() {
    let backend = Backend::good();
    let discovery = Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")]));
    let gateway = Gateway::start(&discovery);
    let bound = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    for (bad, stdin) in [
        ("", Stdio::null()),
        ("four", Stdio::null()),
        ("-1", Stdio::null()),
        ("2", Stdio::null()),
        ("99", Stdio::null()),
        ("4", Stdio::null()),
        ("4", Stdio::from(std::os::fd::OwnedFd::from(bound))),
    ] {
        let path = config_file(&gateway.configuration());
        let mut command = Command::new("/bin/sh");
        command.args(["-c", "exec \"$0\" 4<&0 </dev/null", env!("CARGO_BIN_EXE_sprucehatch-gateway")]);
        command.env("LB_CONFIG", &path).env("LB_INHERITED_FD", bad).stdin(stdin);
        let out = command.output().expect("the program runs");
        let _ = std::fs::remove_file(path);
        let text = String::from_utf8(out.stderr).expect("text");
        assert!(!out.status.success() && text.contains("LB_INHERITED_FD"), "{bad:?}: {text}");
    }
}

/// The configuration changes while two processes of one gateway run: each reads its own file, and no request
/// is lost.
#[test]
fn reload_during_handover_reaches_both_processes_and_loses_no_request() {
    let (first, second) = (Backend::good(), Backend::good());
    let (a, b) = (
        Discovery::new(list(1, true, &[("s-1", first.address, "Ready")])),
        Discovery::new(list(1, true, &[("s-2", second.address, "Ready")])),
    );
    let (held, folder) = (socket(), folder());
    let mut old = start(&a, &held, &folder);
    a.wait_for_calls(2);
    let mut client = old.client();
    assert_eq!(client.ask(&ask("quote").text()).status(), 200);
    let new = start(&a, &held, &folder);
    old.wait_for_log_line("a successor serves");
    for process in [&old, &new] {
        process.reconfigure("{");
        process.wait_for_log_line("the old one stands");
    }
    let good = gateway_test_support::configuration(b.address, &Setup { ops: true, ..Setup::default() });
    for process in [&old, &new] {
        process.reconfigure(&good);
        process.wait_for_log_line("configuration read again");
    }
    // Both call the new discovery address: for the full list, and then for changes.
    b.wait_for_calls(4);
    assert_eq!(client.ask(&ask("quote").text()).status(), 200);
    assert_eq!(new.client().ask(&ask("quote").text()).status(), 200);
    second.next();
    second.next();
    old.signal("-TERM");
    assert!(old.child.wait().expect("the process ends").success());
    assert_eq!(new.client().ask(&ask("quote").text()).status(), 200);
    let _ = std::fs::remove_dir_all(folder);
}
