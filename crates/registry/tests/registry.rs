//! Runs the registry as a process on loopback, with a gateway, servers and readers.

use gateway_protocol::list::{List, State};
use gateway_test_support::{ask, folder, Backend, Client, Gateway, Message, Setup, LIMIT};
use std::fs::OpenOptions;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::thread;

struct Registry {
    child: Child,
    readers: SocketAddr,
    registrars: SocketAddr,
    operators: SocketAddr,
    log: Receiver<String>,
}

impl Registry {
    /// Starts a registry that follows the one at `address`.
    fn following(address: SocketAddr) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_sprucehatch-registry"));
        command.args(["--follow", &address.to_string(), "--readers", "127.0.0.1:0"]);
        command.args(["--operators", "127.0.0.1:0"]);
        let mut registry = Registry::of(command);
        registry.readers = registry.address_after("Readers call at ");
        registry.operators = registry.address_after("Operators call at ");
        registry
    }
}

/// Writes a configuration file into the folder of the list.
fn file(dir: &Path, text: &str) -> PathBuf {
    let path = dir.join("registry.toml");
    std::fs::write(&path, text).expect("written");
    path
}

fn command(dir: &Path, at: [SocketAddr; 3], more: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sprucehatch-registry"));
    command.arg("--dir").arg(dir);
    let addresses = ["--readers", "--registrars", "--operators"].iter().zip(at);
    for (name, address) in addresses.filter(|(name, _)| !more.contains(name)) {
        command.args([name.to_string(), address.to_string()]);
    }
    command.args(more);
    command
}

const ANY_SERVER: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

impl Registry {
    fn of(mut command: Command) -> Self {
        let mut child = command.stderr(Stdio::piped()).spawn().expect("the registry starts");
        let log = BufReader::new(child.stderr.take().expect("piped"));
        let (line, lines) = channel();
        thread::spawn(move || log.lines().map_while(Result::ok).for_each(|l| drop(line.send(l))));
        Registry { child, readers: ANY_PORT, registrars: ANY_PORT, operators: ANY_PORT, log: lines }
    }

    fn start(dir: &Path, at: [SocketAddr; 3]) -> Self {
        Registry::with(dir, at, &[])
    }

    fn with(dir: &Path, at: [SocketAddr; 3], more: &[&str]) -> Self {
        let mut registry = Registry::of(command(dir, at, more));
        registry.readers = registry.address_after("Readers call at ");
        registry.registrars = registry.address_after("Registrars call at ");
        registry.operators = registry.address_after("Operators call at ");
        registry
    }

    fn new(dir: &Path) -> Self {
        Registry::start(dir, [ANY_PORT; 3])
    }

    fn address_after(&self, what: &str) -> SocketAddr {
        loop {
            let line = self.log.recv_timeout(LIMIT).expect("a line of the log");
            if let Some((_, address)) = line.split_once(what) {
                return address.parse().expect("an address");
            }
        }
    }

    fn call(&self, method: &str, path: &str, body: &str) -> Message {
        let length = body.len();
        Client::to(self.registrars)
            .ask(&format!("{method} {path} HTTP/1.1\r\nHost: r\r\nContent-Length: {length}\r\n\r\n{body}"))
    }

    fn register(&self, uid: &str, address: SocketAddr, boot_ms: u64, lease_ms: u64) -> Message {
        let body =
            format!(r#"{{"endpoint":"{address}","az":"hall","boot_ms":{boot_ms},"lease_ms":{lease_ms}}}"#);
        self.call("PUT", &format!("/v1/registrations/{uid}"), &body)
    }

    /// Sends a reader's call without waiting for the response.
    fn reader(&self, query: &str) -> Client {
        let mut reader = Client::to(self.readers);
        reader.send(&format!("GET /v1/endpoints{query} HTTP/1.1\r\nHost: r\r\n\r\n"));
        reader
    }

    fn list(&self, query: &str) -> List {
        parse_list(&self.reader(query).answer())
    }

    fn figure(&self, name: &str) -> u64 {
        let answer = Client::to(self.operators).ask("GET /-/metrics HTTP/1.1\r\nHost: r\r\n\r\n");
        let json: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
        json[name].as_u64().unwrap_or_else(|| panic!("{name} in {json}"))
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill runs").success());
    }
}

impl Drop for Registry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn parse_list(answer: &Message) -> List {
    assert_eq!(answer.status(), 200, "{answer:?}");
    List::parse(&answer.body).expect("a list")
}

/// A folder for the list, removed when dropped.
struct TestFolder(PathBuf);

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

const LONG_LEASE_MS: u64 = 600_000;

#[test]
fn gateway_loses_no_request_over_drains_and_a_killed_registry() {
    let folder_guard = TestFolder(folder());
    let mut registry = Registry::new(&folder_guard.0);
    let (one, two) = (Backend::good(), Backend::good());
    assert_eq!(registry.register("s-1", one.address, 1, LONG_LEASE_MS).status(), 200);
    let gateway = Gateway::at(registry.readers, Setup::default());
    let mut client = gateway.client();
    let mut served = |n: usize| {
        for _ in 0..n {
            assert_eq!(client.ask(&ask("quote").text()).status(), 200);
        }
    };
    // Requests wait for a server until the gateway has the list.
    served(5);
    registry.register("s-2", two.address, 1, LONG_LEASE_MS);
    while two.untouched() {
        served(1);
    }
    let before = registry.list("").rev;
    let at = [registry.readers, registry.registrars, registry.operators];
    // After a SIGKILL the gateway continues with its list, and the restarted registry with the list on disk.
    registry.child.kill().expect("it runs");
    registry.child.wait().expect("it ends");
    served(20);
    registry = Registry::start(&folder_guard.0, at);
    let after = registry.list("");
    assert_eq!((after.rev, after.targets.len()), (before, 2));
    assert_eq!(registry.call("POST", "/v1/registrations/s-1/drain", r#"{"boot_ms":1}"#).status(), 200);
    let drained = registry.list("");
    assert!(drained.rev > before && drained.targets[0].state == State::Terminating);
    // The gateway reconnects by itself; once it has the update, it sends nothing to the drained server.
    while registry.figure("watchers") == 0 {
        served(1);
    }
    served(1);
    while one.requests.try_iter().count() > 0 {
        served(5);
    }
    served(20);
    assert!(one.untouched() && !two.untouched());
    assert_eq!(registry.call("DELETE", "/v1/registrations/s-1", r#"{"boot_ms":1}"#).status(), 200);
    served(5);
    assert_eq!(registry.list("").targets.len(), 1);
}

#[test]
fn invalid_calls_get_a_reason_and_change_nothing() {
    let folder_guard = TestFolder(folder());
    let registry = Registry::new(&folder_guard.0);
    registry.register("s-1", ANY_PORT, 5, LONG_LEASE_MS);
    let rev = registry.list("").rev;
    let good = r#"{"endpoint":"127.0.0.1:1","boot_ms":5,"lease_ms":1000}"#;
    let one = "/v1/registrations/s-1";
    let large = format!(r#"{{"model":"{}"}}"#, "x".repeat(70_000));
    for (method, path, body, status) in [
        ("PUT", one, "", 400),
        ("PUT", one, "{", 400),
        ("PUT", one, &good.replace("127.0.0.1:1", "nowhere"), 400),
        ("PUT", one, &good.replace("1000", "1"), 400),
        ("PUT", one, &good.replace("5", "-5"), 400),
        ("PUT", one, &good.replace("{", r#"{"capacity_hint":-1,"#), 400),
        ("PUT", one, &large, 413),
        ("PUT", one, &good.replace("\"boot_ms\":5", "\"boot_ms\":4"), 409),
        ("PUT", "/v1/registrations/", good, 404),
        ("POST", "/v1/registrations/s-1/renew", r#"{"boot_ms":4}"#, 409),
        ("POST", "/v1/registrations/s-1/renew", r#"{"boot_ms":6}"#, 404),
        ("POST", "/v1/registrations/s-1/renew", "", 400),
        ("POST", "/v1/registrations/s-1/drain", r#"{"boot_ms":"5"}"#, 400),
        ("POST", "/v1/registrations/s-9/drain", "", 404),
        ("POST", "/v1/registrations/s-1/praise", "", 404),
        ("DELETE", "/v1/registrations/s-9", "", 404),
        ("DELETE", one, r#"{"boot_ms":4}"#, 409),
        ("PATCH", one, "", 405),
        ("GET", "/v1/registrations/s-1/drain", "", 405),
        ("DELETE", "/v1/registrations", "", 405),
        ("GET", "/v2", "", 404),
    ] {
        let answer = registry.call(method, path, body);
        assert_eq!(answer.status(), status, "{method} {path} {}", &body[..body.len().min(60)]);
        assert!(answer.body.len() > 5, "{method} {path}: a reason");
    }
    for (query, status) in
        [("?since=x", 400), ("?since=-1&timeout_ms=5", 400), ("?since=1&timeout_ms=soon", 400)]
    {
        assert_eq!(registry.reader(query).answer().status(), status, "{query}");
    }
    // A repeated call and a renewal create no new version either.
    assert_eq!(registry.register("s-1", ANY_PORT, 5, LONG_LEASE_MS).status(), 200);
    assert_eq!(registry.call("POST", "/v1/registrations/s-1/renew", r#"{"boot_ms":5}"#).status(), 200);
    assert_eq!((registry.list("").rev, registry.figure("renewals")), (rev, 1));
}

#[test]
fn change_is_encoded_once_for_all_watchers_and_watches_are_answered_at_shutdown() {
    let folder_guard = TestFolder(folder());
    let mut registry = Registry::new(&folder_guard.0);
    let rev = registry.list("").rev;
    let query = format!("?since={rev}&timeout_ms=60000");
    let mut watchers: Vec<Client> = (0..300).map(|_| registry.reader(&query)).collect();
    while registry.figure("watchers") < 300 {}
    let encodings = registry.figure("encodings");
    registry.register("s-1", ANY_PORT, 5, LONG_LEASE_MS);
    for w in &mut watchers {
        let list = parse_list(&w.answer());
        assert_eq!((list.all, list.rev, list.targets.len()), (false, rev + 1, 1));
    }
    assert_eq!(registry.figure("encodings"), encodings + 1);
    // A reader with a version from another history gets the full list, also if its version is a later one.
    for other in [1, rev + 1000] {
        assert!(registry.list(&format!("?since={other}&timeout_ms=60000")).all);
    }
    // Without a change the watch ends with an empty list of changes.
    let list = registry.list(&format!("?since={}&timeout_ms=10", rev + 1));
    assert_eq!((list.all, list.rev, list.targets.len()), (false, rev + 1, 0));
    let mut waits = registry.reader(&format!("?since={}&timeout_ms=60000", rev + 1));
    while registry.figure("watchers") == 0 {}
    registry.signal("-TERM");
    assert_eq!(parse_list(&waits.answer()).rev, rev + 1);
    assert!(registry.child.wait().expect("it ends").success());
}

#[test]
fn rate_limit_spreads_retries_of_simultaneous_readers_and_prefers_full_lists() {
    let dir = folder();
    // At 2 calls a second, three calls wait no longer than 1 s.
    let registry = Registry::with(&dir, [ANY_PORT; 3], &["--calls-per-s", "2"]);
    assert_eq!(registry.register("s-1", ANY_SERVER, 7, 60_000).status(), 200);
    let calls: Vec<Client> = (0..12).map(|_| registry.reader("")).collect();
    let answers: Vec<Message> = calls.into_iter().map(|mut call| call.answer()).collect();
    let served = answers.iter().filter(|answer| answer.status() == 200).count();
    let mut turns: Vec<f64> =
        answers.iter().filter_map(|answer| answer.header("retry-after")?.parse().ok()).collect();
    turns.sort_by(f64::total_cmp);
    // On a busy machine the calls arrive later, and more of them are served.
    assert!((3..12).contains(&served) && served + turns.len() == 12, "{served} served, {turns:?}");
    assert!(turns.windows(2).all(|two| two[1] > two[0]), "all delays differ: {turns:?}");
    assert_eq!(registry.figure("turned_away"), turns.len() as u64);
    // The queue is longer than the limit for watches, so a watch is rejected.
    let (first, watch) = (registry.reader(""), registry.reader("?since=1&timeout_ms=1"));
    let status = |mut call: Client| call.answer().status();
    assert!(status(watch) == 503 || status(first) == 200, "full lists go first");
}

/// A gateway reads from a follower of a follower and continues after the loss of either and of the first
/// registry.
#[test]
fn followers_serve_the_list_and_keep_it_while_the_followed_registry_is_down() {
    let folder_guard = TestFolder(folder());
    let mut first = Registry::new(&folder_guard.0);
    let (one, two) = (Backend::good(), Backend::good());
    first.register("s-1", one.address, 1, LONG_LEASE_MS);
    let second = Registry::following(first.readers);
    let third = Registry::following(second.readers);
    let fallbacks = vec![second.readers];
    let gateway = Gateway::at(third.readers, Setup { ops: true, fallbacks, ..Setup::default() });
    let mut client = gateway.client();
    let mut served = |n: usize| {
        for _ in 0..n {
            assert_eq!(client.ask(&ask("quote").text()).status(), 200);
        }
    };
    served(5);
    // The versions are the same, and the path names the three registries that the list passed through.
    let rev = first.list("").rev;
    let answer = third.reader("").answer();
    assert_eq!(parse_list(&answer).rev, rev);
    assert_eq!(answer.header("list-path").expect("a path").split(',').count(), 3);
    let at = [first.readers, first.registrars, first.operators];
    first.child.kill().expect("it runs");
    first.child.wait().expect("it ends");
    served(10);
    assert_eq!(second.list("").rev, rev);
    let before = second.figure("confirmed_ms");
    while second.figure("confirmed_ms") <= before {}
    first = Registry::start(&folder_guard.0, at);
    first.register("s-2", two.address, 1, LONG_LEASE_MS);
    while two.untouched() {
        served(1);
    }
    assert_eq!(third.list("").rev, rev + 1);
    // The gateway's first list address is down: it uses the fallback.
    drop(third);
    first.call("DELETE", "/v1/registrations/s-1", "");
    while gateway.figure("/list/version") < rev + 2 {
        served(1);
    }
    served(5);
    assert_eq!(gateway.figure("/discovered"), 1);
}

/// After a kill all watchers call the restarted registry at the same time.
#[test]
fn watchers_continue_from_their_version_after_the_registry_was_killed() {
    let folder_guard = TestFolder(folder());
    let mut registry = Registry::new(&folder_guard.0);
    registry.register("s-1", ANY_PORT, 1, LONG_LEASE_MS);
    let rev = registry.list("").rev;
    let query = format!("?since={rev}&timeout_ms=60000");
    let watchers: Vec<Client> = (0..300).map(|_| registry.reader(&query)).collect();
    while registry.figure("watchers") < 300 {}
    let at = [registry.readers, registry.registrars, registry.operators];
    registry.child.kill().expect("it runs");
    registry.child.wait().expect("it ends");
    drop(watchers);
    registry = Registry::start(&folder_guard.0, at);
    let mut watchers: Vec<Client> = (0..300).map(|_| registry.reader(&query)).collect();
    while registry.figure("watchers") < 300 {}
    assert_eq!(registry.figure("encodings"), 0, "no watcher needs the full list again");
    registry.register("s-2", ANY_PORT, 1, LONG_LEASE_MS);
    for w in &mut watchers {
        assert_eq!(parse_list(&w.answer()).targets.len(), 1);
    }
    assert_eq!(registry.figure("encodings"), 1);
}

/// A reader sends many requests and reads no response: other readers are served, and the pending responses do
/// not pile up in memory.
#[test]
fn reader_that_reads_nothing_does_not_delay_others_or_use_much_memory() {
    let folder_guard = TestFolder(folder());
    let registry = Registry::new(&folder_guard.0);
    for n in 0..200 {
        registry.register(&format!("s-{n}"), ANY_PORT, 1, LONG_LEASE_MS);
    }
    let mut stuck = Client::to(registry.readers);
    stuck.send(&"GET /v1/endpoints HTTP/1.1\r\nHost: r\r\n\r\n".repeat(3000));
    let size = registry.reader("").answer().body.len();
    for _ in 0..50 {
        assert_eq!(registry.list("").targets.len(), 200);
    }
    let status = std::fs::read_to_string(format!("/proc/{}/status", registry.child.id())).expect("it runs");
    let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).expect("a line");
    let rss: usize = rss.trim().trim_end_matches(" kB").parse().expect("a number");
    assert!(size * 3000 > 64 << 20 && rss < 32 << 10, "{rss} kB for answers of {size} bytes");
}

#[test]
fn watchers_that_disconnect_or_half_close_are_removed() {
    let folder_guard = TestFolder(folder());
    let registry = Registry::new(&folder_guard.0);
    let query = format!("?since={}&timeout_ms=60000", registry.list("").rev);
    let (left, half, stays) = (registry.reader(&query), registry.reader(&query), registry.reader(&query));
    while registry.figure("watchers") < 3 {}
    drop(left);
    half.stream.shutdown(std::net::Shutdown::Write).expect("it is up");
    while registry.figure("watchers") > 1 {}
    drop(stays);
    while registry.figure("watchers") > 0 {}
}

/// A server restarts under its name at another address while the lease of its old incarnation is still valid.
#[test]
fn new_incarnation_takes_over_and_calls_of_the_old_one_are_rejected() {
    let folder_guard = TestFolder(folder());
    let registry = Registry::new(&folder_guard.0);
    let (old, new) = (Backend::good(), Backend::good());
    registry.register("s-1", old.address, 1, LONG_LEASE_MS);
    let gateway = Gateway::at(registry.readers, Setup { ops: true, ..Setup::default() });
    let mut client = gateway.client();
    assert_eq!(client.ask(&ask("quote").text()).status(), 200);
    assert_eq!(registry.register("s-1", new.address, 2, LONG_LEASE_MS).status(), 200);
    let rev = registry.list("").rev;
    for (method, path) in [
        ("POST", "/v1/registrations/s-1/renew"),
        ("POST", "/v1/registrations/s-1/drain"),
        ("DELETE", "/v1/registrations/s-1"),
    ] {
        assert_eq!(registry.call(method, path, r#"{"boot_ms":1}"#).status(), 409, "{method} {path}");
    }
    assert_eq!(registry.register("s-1", old.address, 1, LONG_LEASE_MS).status(), 409);
    while gateway.figure("/list/version") < rev {}
    let _ = old.requests.try_iter().count();
    for _ in 0..10 {
        assert_eq!(client.ask(&ask("quote").text()).status(), 200);
    }
    assert!(old.untouched() && !new.untouched() && registry.list("").rev == rev);
}

/// A file size limit simulates a full disk.
#[test]
fn full_disk_rejects_changes_serves_readers_and_loses_nothing_confirmed() {
    let folder_guard = TestFolder(folder());
    let program = command(&folder_guard.0, [ANY_PORT; 3], &[]);
    let mut shell = Command::new("/bin/sh");
    // The limit is 8 blocks of 512 bytes; with XFSZ ignored a write beyond it fails with an error, not a
    // signal.
    shell.args(["-c", "trap '' XFSZ; ulimit -f 8; exec \"$0\" \"$@\""]).arg(program.get_program());
    shell.args(program.get_args());
    let mut registry = Registry::of(shell);
    registry.readers = registry.address_after("Readers call at ");
    registry.registrars = registry.address_after("Registrars call at ");
    registry.operators = registry.address_after("Operators call at ");
    let mut confirmed = 0;
    while registry.register(&format!("s-{confirmed}"), ANY_PORT, 1, LONG_LEASE_MS).status() == 200 {
        confirmed += 1;
        assert!(confirmed < 1000, "the disk never fills");
    }
    assert!(confirmed > 0);
    let before = registry.list("");
    assert_eq!(registry.register("late", ANY_PORT, 1, LONG_LEASE_MS).status(), 507);
    assert_eq!(registry.call("DELETE", "/v1/registrations/s-0", "").status(), 507);
    assert_eq!(registry.call("POST", "/v1/registrations/s-0/renew", r#"{"boot_ms":1}"#).status(), 200);
    assert_eq!((registry.list(""), registry.figure("disk_failures")), (before.clone(), 3));
    drop(registry);
    let registry = Registry::new(&folder_guard.0);
    assert_eq!((registry.list(""), before.targets.len()), (before, confirmed));
    assert_eq!(registry.register("late", ANY_PORT, 1, LONG_LEASE_MS).status(), 200, "there is room again");
}

/// A watch begins between two changes, before the first is published.
#[test]
fn watch_from_an_unpublished_version_waits_for_the_next_change() {
    let folder_guard = TestFolder(folder());
    let registry = Registry::new(&folder_guard.0);
    let mut rev = registry.list("").rev;
    for n in 0..10 {
        registry.register("s-1", ANY_PORT, n, LONG_LEASE_MS);
        rev += 1;
        let mut reader = registry.reader(&format!("?since={rev}&timeout_ms=60000"));
        registry.register("s-2", ANY_PORT, n, LONG_LEASE_MS);
        rev += 1;
        let list = parse_list(&reader.answer());
        assert_eq!((list.rev, list.all), (rev, false));
        assert_eq!(list.targets.iter().map(|t| t.uid.as_str()).collect::<Vec<_>>(), ["s-2"]);
    }
}

#[test]
fn server_without_renewals_is_removed_from_the_list() {
    let folder_guard = TestFolder(folder());
    let registry = Registry::new(&folder_guard.0);
    registry.register("s-1", ANY_PORT, 5, LONG_LEASE_MS);
    registry.register("s-2", ANY_PORT, 5, 100);
    let mut rev = 0;
    loop {
        let list = registry.list(&format!("?since={rev}&timeout_ms=60000"));
        rev = list.rev;
        if list.targets.iter().any(|t| t.uid == "s-2" && t.state == State::Gone) {
            break;
        }
    }
    assert_eq!(registry.figure("expiries"), 1);
    assert_eq!(registry.list("").targets.len(), 1);
}

#[test]
fn start_fails_with_a_message_for_invalid_options_or_a_damaged_log() {
    let folder_guard = TestFolder(folder());
    let run = |dir: &Path, more: &[&str]| {
        let out = command(dir, [ANY_PORT; 3], more).output().expect("it runs");
        assert!(!out.status.success());
        String::from_utf8(out.stderr).expect("text")
    };
    for (more, expected) in [
        (&["--grace-ms", "soon"][..], "invalid value 'soon' for '--grace-ms <N>'"),
        (&["--grace-ms", "600001"], "600001 is not in 0..=600000"),
        (&["--readers", "nowhere"], "readers is \"nowhere\": an address and port are wanted"),
        (&["--fast"], "unexpected argument '--fast'"),
        (&["--follow", "127.0.0.1:1"], "follow goes without dir, registrars and grace_ms"),
        (&["more"], "unrecognized subcommand 'more'"),
    ] {
        let text = run(&folder_guard.0, more);
        assert!(text.contains(expected), "{more:?}: {text}");
    }
    let registry = Registry::new(&folder_guard.0);
    registry.register("s-1", ANY_PORT, 5, LONG_LEASE_MS);
    registry.register("s-2", ANY_PORT, 5, LONG_LEASE_MS);
    drop(registry);
    let log = folder_guard.0.join("log");
    let mut text = std::fs::read(&log).expect("a log");
    text[20] ^= 1;
    OpenOptions::new().write(true).open(&log).and_then(|mut f| f.write_all(&text)).expect("written");
    assert!(run(&folder_guard.0, &[]).contains("the log is damaged at byte 0"));
}

#[test]
fn check_config_reports_all_errors_and_the_command_line_overrides_the_file() {
    let folder_guard = TestFolder(folder());
    let check = |text: &str, more: &[&str]| {
        let path = file(&folder_guard.0, text);
        let mut command = Command::new(env!("CARGO_BIN_EXE_sprucehatch-registry"));
        let out = command.arg("check-config").arg("--config").arg(path).args(more).output().expect("it runs");
        let text = [out.stdout, out.stderr].concat();
        (out.status.code(), String::from_utf8(text).expect("text"))
    };
    assert_eq!(check("dir = \"list\"\n[log]\nlevel = \"debug\"\n", &[]), (Some(0), "ok\n".to_string()));
    let (code, text) = check("dir = 5\ngrace_ms = 600001\nfast = true\n[log]\nlevel = \"loud\"\n", &[]);
    assert_eq!((code, text.lines().count()), (Some(1), 4), "{text}");
    for expected in [
        "registry.toml: dir is 5: a text is wanted",
        "registry.toml: grace_ms is 600001: a whole number from 0 to 600000 is wanted",
        "registry.toml: fast is no key here: calls_per_s, dir, follow",
        "registry.toml: log.level is \"loud\": \"off\" or \"error\"",
    ] {
        assert!(text.contains(expected), "{expected} in {text}");
    }
    let wrong = "dir = \"list\"\nreaders = \"nowhere\"\n";
    assert_eq!(check(wrong, &[]).0, Some(1));
    assert_eq!(check(wrong, &["--readers", "127.0.0.1:0"]).0, Some(0));
    assert!(!folder_guard.0.join("list").exists(), "nothing was started");
}

#[test]
fn log_level_can_be_changed_at_run_time() {
    let folder_guard = TestFolder(folder());
    let registry = Registry::new(&folder_guard.0);
    let call = |method: &str, path: &str| {
        Client::to(registry.operators).ask(&format!("{method} {path} HTTP/1.1\r\nHost: r\r\n\r\n"))
    };
    let level =
        || -> serde_json::Value { serde_json::from_slice(&call("GET", "/-/log").body).expect("JSON") };
    assert_eq!(level()["level"], "info");
    for bad in ["/-/log", "/-/log?level=loud", "/-/log?level=warn&module=", "/-/log?level=warn&module=a%0Ab"]
    {
        assert_eq!(call("POST", bad).status(), 400, "{bad}");
    }
    assert_eq!(call("DELETE", "/-/log").status(), 405);
    assert_eq!(call("POST", "/-/log?level=error").status(), 200);
    assert_eq!(call("POST", "/-/log?level=debug&module=sprucehatch_registry%3A%3Aservice").status(), 200);
    let status = level();
    assert_eq!(
        (&status["level"], &status["modules"]["sprucehatch_registry::service"]),
        (&"error".into(), &"debug".into())
    );
}
