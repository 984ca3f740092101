//! The format on disk must stay compatible: a folder written by an earlier version must be read as the same
//! list, accept further changes, and be written with the same bytes today.
//!
//! `golden/empty` is a folder after the very first start. `golden/list` has a snapshot and a log, created
//! from it by the calls below. `golden/list.json` is the list that its readers get, and `golden/appended.txt`
//! the record of one more call. None may change. `GOLDEN=write cargo test -p sprucehatch-registry --test
//! golden_folder` rewrites all but the first, which is only valid after an intended change of the format.

use gateway_test_support::golden::assert_golden;
use gateway_test_support::{folder, read_logged_address, Client};
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::thread;

const PROGRAM: &str = env!("CARGO_BIN_EXE_sprucehatch-registry");
const FILES: [&str; 2] = ["snapshot", "log"];
/// The length of a record header.
const HEADER_BYTES: usize = 12;
/// A snapshot replaces the log when the log has this many records.
const SNAPSHOT_RECORDS: u64 = 4096;

fn golden(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn writes() -> bool {
    std::env::var("GOLDEN").is_ok_and(|what| what == "write")
}

/// A folder for one test, removed when dropped.
struct TestFolder(PathBuf);

impl TestFolder {
    fn copy(name: &str) -> Self {
        let folder_copy = TestFolder(folder());
        for file in FILES {
            fs::copy(golden(name).join(file), folder_copy.0.join(file)).expect("a copy");
        }
        folder_copy
    }

    fn read(&self, file: &str) -> Vec<u8> {
        fs::read(self.0.join(file)).expect("a file")
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn command(dir: &Path) -> Command {
    let mut command = Command::new(PROGRAM);
    command.arg("--dir").arg(dir).args(["--readers", "127.0.0.1:0", "--registrars", "127.0.0.1:0"]);
    command
}

struct Registry {
    child: Child,
    readers: SocketAddr,
    registrars: Client,
}

impl Registry {
    fn start(dir: &Path) -> Self {
        let mut child = command(dir).stderr(Stdio::piped()).spawn().expect("it starts");
        let mut log = BufReader::new(child.stderr.take().expect("piped"));
        let mut first = String::new();
        log.read_line(&mut first).expect("a line");
        assert!(first.contains("version "), "{first}");
        let readers = read_logged_address(&mut log, "Readers call at ");
        let registrars = Client::to(read_logged_address(&mut log, "Registrars call at "));
        thread::spawn(move || log.lines().for_each(drop));
        Registry { child, readers, registrars }
    }

    fn call(&mut self, method: &str, path: &str, body: &str) {
        let head = format!("{method} /v1/registrations/{path} HTTP/1.1\r\nHost: r\r\nContent-Length: ");
        let answer = self.registrars.ask(&format!("{head}{}\r\n\r\n{body}", body.len()));
        assert_eq!(answer.status(), 200, "{method} {path} {body}");
    }

    fn register(&mut self, number: u64, boot_ms: u64) {
        let body = format!(
            r#"{{"endpoint":"10.0.0.{number}:80","az":"hall","model":"m{number}","pod_group":{number},"capacity_hint":{number}.5,"boot_ms":{boot_ms},"lease_ms":600000}}"#
        );
        self.call("PUT", &format!("s-{number}"), &body);
    }

    fn list(&self) -> String {
        let answer = Client::to(self.readers).ask("GET /v1/endpoints HTTP/1.1\r\nHost: r\r\n\r\n");
        assert_eq!(answer.status(), 200);
        String::from_utf8(answer.body).expect("text") + "\n"
    }
}

impl Drop for Registry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Makes the calls that lead from the empty folder to the golden one: a snapshot, and a log with records of
/// each kind.
fn fill(registry: &mut Registry) {
    for start in 0..SNAPSHOT_RECORDS {
        registry.register(1 + start % 3, 1 + start);
    }
    registry.call("POST", "s-2/drain", "");
    registry.register(4, 7);
    registry.call("DELETE", "s-3", "");
}

#[test]
fn same_calls_write_the_same_bytes() {
    let folder_copy = TestFolder::copy("empty");
    let mut registry = Registry::start(&folder_copy.0);
    fill(&mut registry);
    drop(registry);
    for file in FILES {
        if writes() {
            fs::create_dir_all(golden("list")).expect("a folder");
            fs::copy(folder_copy.0.join(file), golden("list").join(file)).expect("a copy");
        }
        assert!(folder_copy.read(file) == fs::read(golden("list").join(file)).expect("committed"), "{file}");
    }
    assert!(folder_copy.read("snapshot").len() > 200 && folder_copy.read("log").len() > 3 * HEADER_BYTES);
}

#[test]
fn folder_of_an_earlier_version_is_read_and_extended() {
    let folder_copy = TestFolder::copy("list");
    let before = folder_copy.read("log");
    let mut registry = Registry::start(&folder_copy.0);
    assert_golden(env!("CARGO_MANIFEST_DIR"), "list.json", &registry.list());
    registry.register(5, 8);
    let after = folder_copy.read("log");
    assert!(after.starts_with(&before));
    let record = &after[before.len()..];
    let (header, payload) = record.split_at(HEADER_BYTES);
    let hex: String = header.iter().map(|byte| format!("{byte:02x}")).collect();
    let text = format!("{hex}\n{}\n", std::str::from_utf8(payload).expect("JSON"));
    assert_golden(env!("CARGO_MANIFEST_DIR"), "appended.txt", &text);
    let list = registry.list();
    drop(registry);
    assert_eq!(Registry::start(&folder_copy.0).list(), list);
}

/// Runs the program on a folder that it must reject, and returns its output.
fn refused(folder_copy: &TestFolder) -> Output {
    let output = command(&folder_copy.0).output().expect("it runs");
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    output
}

#[test]
fn rejects_a_folder_that_is_damaged_or_not_its_own() {
    for file in FILES {
        let folder_copy = TestFolder::copy("list");
        let mut bytes = folder_copy.read(file);
        bytes[..HEADER_BYTES].copy_from_slice(b"not of ours!");
        fs::write(folder_copy.0.join(file), bytes).expect("written");
        let stderr = String::from_utf8(refused(&folder_copy).stderr).expect("text");
        assert!(stderr.contains("is damaged"), "{file}: {stderr}");
    }
    let folder_copy = TestFolder::copy("list");
    fs::remove_file(folder_copy.0.join("snapshot")).expect("it is there");
    let stderr = String::from_utf8(refused(&folder_copy).stderr).expect("text");
    assert!(stderr.contains("no snapshot"), "{stderr}");
}
