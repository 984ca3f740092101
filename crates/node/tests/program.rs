//! The program as the platform runs it: arguments, settings, exit codes, log lines, and signals.

use gateway_test_support::{reserved_address, start_process};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::thread::yield_now;

const PROGRAM: &str = env!("CARGO_BIN_EXE_sprucehatch-node");
const SETTINGS: &str = "SPRUCEHATCH_CONFIG";
const EXIT_REFUSED: i32 = 1;
const EXIT_UNREACHABLE: i32 = 2;
const EXIT_USAGE: i32 = 64;
const EXIT_CONFIGURATION: i32 = 78;

/// Starts a process that inherits none of the addresses that other tests reserve.
fn start(command: &mut Command) -> Child {
    start_process(command).unwrap()
}

fn run(command: &mut Command) -> ExitStatus {
    start(command).wait().unwrap()
}

fn run_for_output(command: &mut Command) -> Output {
    start(command.stdout(Stdio::piped()).stderr(Stdio::piped())).wait_with_output().unwrap()
}

fn program(arguments: &[&str]) -> Output {
    run_for_output(Command::new(PROGRAM).args(arguments).env_remove(SETTINGS))
}

fn error_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn help_is_printed_with_success() {
    let output = program(&["--help"]);
    assert!(output.status.success());
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(text.contains("data-plane|control") && text.contains("--log"), "{text}");
}

#[test]
fn invalid_command_line_refers_to_the_help() {
    for arguments in
        [&[][..], &["other"], &["data-plane", "control"], &["data-plane", "--log", "loud"], &["--odd"]]
    {
        let output = program(arguments);
        assert_eq!(output.status.code(), Some(EXIT_USAGE), "{arguments:?}");
        assert!(error_text(&output).contains("--help"), "{arguments:?}");
    }
}

#[test]
fn missing_or_invalid_settings_are_reported() {
    let output = program(&["data-plane"]);
    assert_eq!(output.status.code(), Some(EXIT_CONFIGURATION));
    assert!(error_text(&output).contains(SETTINGS));

    let nowhere =
        run_for_output(Command::new(PROGRAM).arg("data-plane").env(SETTINGS, "/nowhere/settings.json"));
    assert_eq!(nowhere.status.code(), Some(EXIT_CONFIGURATION));
    assert!(error_text(&nowhere).contains("/nowhere/settings.json"));

    let path = settings_file("bad", "{");
    let bad = run_for_output(Command::new(PROGRAM).arg("data-plane").env(SETTINGS, &path));
    std::fs::remove_file(&path).unwrap();
    assert_eq!(bad.status.code(), Some(EXIT_CONFIGURATION));
    assert!(error_text(&bad).contains("settings"));
}

#[test]
fn data_plane_serves_until_sigterm_and_exits_with_success() {
    let (front, readiness) = (reserved_address(), reserved_address());
    let text = format!(
        r#"{{"NodeId":"edge-1","Ip":"127.0.0.1","PortRange":[1,1],"SeedNodes":["127.0.0.1:2"],
            "ListenAddrs":{{"Front":"{front}","Readiness":"{readiness}"}},"Bounds":{{"GraceS":1}}}}"#
    );
    let path = settings_file("serve", &text);
    let mut child = start(Command::new(PROGRAM).arg("data-plane").env(SETTINGS, &path));
    let answer = request_once_listening(&mut child, readiness, "/v1/readyz");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    let answer = request_once_listening(&mut child, front, "/queue/none");
    assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");

    let signalled = run(Command::new("kill").arg(child.id().to_string()));
    assert!(signalled.success());
    assert_eq!(child.wait().unwrap().code(), Some(0));
    std::fs::remove_file(path).unwrap();
}

fn settings_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("sprucehatch-node-{}-{name}.json", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

fn request_once_listening(child: &mut Child, address: SocketAddr, path: &str) -> String {
    let mut stream = loop {
        if let Ok(stream) = TcpStream::connect(address) {
            break stream;
        }
        assert!(child.try_wait().unwrap().is_none(), "the program has ended");
        yield_now();
    };
    let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

#[test]
fn ctl_commands_are_run_by_the_same_program() {
    let output = program(&["ctl", "--help"]);
    assert!(output.status.success());
    assert!(String::from_utf8_lossy(&output.stdout).contains("job explain ID"));

    let output = program(&["ctl", "odd"]);
    assert_eq!(output.status.code(), Some(EXIT_USAGE));
    assert!(error_text(&output).contains("ctl --help"));

    let nowhere = reserved_address().to_string();
    let output = program(&["ctl", "leader", "--timeout", "1", "--control", &nowhere]);
    assert_eq!(output.status.code(), Some(EXIT_UNREACHABLE));
    assert!(error_text(&output).contains("--control"));
}

/// Settings of a control process with everything that the role requires.
const CONTROL_SETTINGS: &str = r#"{"NodeId":"core-1","Role":"control","Ip":"127.0.0.1","PortRange":[7660,7675],
    "SeedNodes":["127.0.0.1:8146"],"ListenAddrs":{"Control":"127.0.0.1:8146"},"DataDir":"/data",
    "Discovery":"cloud_api","CloudApi":{"Address":"127.0.0.1:8142"},"Commands":"rpc"}"#;

#[test]
fn settings_are_checked_for_the_role() {
    let path = settings_file("check-sound", CONTROL_SETTINGS);
    let output = program(&["check-settings", path.to_str().unwrap()]);
    assert!(output.status.success(), "{}", error_text(&output));
    assert!(String::from_utf8_lossy(&output.stdout).contains("valid, checked for control"));

    // All missing settings of another role are reported together.
    let output = program(&["check-settings", path.to_str().unwrap(), "--role", "data-plane"]);
    assert_eq!(output.status.code(), Some(EXIT_CONFIGURATION));
    let text = error_text(&output);
    assert!(text.contains("ListenAddrs.Front") && text.contains("ListenAddrs.Readiness"), "{text}");
    std::fs::remove_file(path).unwrap();

    let poor = CONTROL_SETTINGS.replace("/data", "").replace("\"rpc\"", "\"heartbeat\"");
    let path = settings_file("check-poor", &poor);
    let output = program(&["check-settings", path.to_str().unwrap()]);
    std::fs::remove_file(path).unwrap();
    assert_eq!(output.status.code(), Some(EXIT_CONFIGURATION));
    assert!(error_text(&output).contains("Commands is heartbeat"), "{}", error_text(&output));

    let path = settings_file("check-broken", &CONTROL_SETTINGS.replace("7675", "0"));
    let output = program(&["check-settings", path.to_str().unwrap()]);
    std::fs::remove_file(path).unwrap();
    assert_eq!(output.status.code(), Some(EXIT_CONFIGURATION));
    assert!(error_text(&output).contains("PortRange"), "{}", error_text(&output));
}

#[test]
fn invalid_configurations_are_reported_with_a_remedy() {
    let sound = r#"{"Version":3,"Routes":[{"PathPrefix":"/a/","Name":"r1","Host":"h.example","TimeoutMs":3000,"Backend":"s"}],"Backends":[{"Name":"s"}]}"#;
    let cases = [
        (sound.to_owned(), None),
        (sound.replace("3000", "0"), Some("give a time in milliseconds")),
        (sound.replace("\"Backend\":\"s\"", "\"Backend\":\"t\""), Some("not among Backends")),
        (sound.replace("\"Version\":3", "\"Version\":0"), Some("choose one above")),
        ("{".to_owned(), Some("cannot be read")),
    ];
    for (number, (text, problem)) in cases.into_iter().enumerate() {
        let path = settings_file(&format!("config-{number}"), &text);
        let output = program(&["check-config", path.to_str().unwrap()]);
        std::fs::remove_file(path).unwrap();
        match problem {
            None => {
                assert!(output.status.success(), "{}", error_text(&output));
                assert!(String::from_utf8_lossy(&output.stdout).contains("version 3, 1 routes, 1 services"));
            }
            Some(problem) => {
                assert_eq!(output.status.code(), Some(EXIT_CONFIGURATION), "{text}");
                assert!(error_text(&output).contains(problem), "{}", error_text(&output));
            }
        }
    }
    let output = program(&["check-config", "/nowhere/config.json"]);
    assert_eq!(output.status.code(), Some(EXIT_CONFIGURATION));
}

#[test]
fn unknown_mechanism_names_are_rejected_with_the_known_ones() {
    let output = program(&["control", "--without", "copies,telepathy"]);
    assert_eq!(output.status.code(), Some(EXIT_USAGE));
    let text = error_text(&output);
    assert!(text.contains("telepathy") && text.contains("hold-by-need"), "{text}");
}

#[test]
fn options_of_other_commands_are_rejected() {
    for arguments in [
        &["control", "--json"][..],
        &["control", "--log", "info,control=loud"],
        &["inspect", "/data", "--log", "info"],
        &["check-config", "file", "--role", "control"],
        &["check-settings", "file", "--role", "other"],
        &["inspect"],
    ] {
        let output = program(arguments);
        assert_eq!(output.status.code(), Some(EXIT_USAGE), "{arguments:?}");
    }
}

#[test]
fn inspect_reports_a_missing_or_damaged_folder() {
    let output = program(&["inspect", "/nowhere/data"]);
    assert_eq!(output.status.code(), Some(EXIT_REFUSED));
    assert!(error_text(&output).contains("/nowhere/data"));

    let folder = std::env::temp_dir().join(format!("sprucehatch-node-{}-inspect", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("identity"), "odd").unwrap();
    let output = program(&["inspect", folder.to_str().unwrap(), "--json"]);
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!(output.status.code(), Some(EXIT_REFUSED));
    assert!(error_text(&output).contains("damaged"), "{}", error_text(&output));
    assert!(String::from_utf8_lossy(&output.stdout).contains("\"Sound\":false"));
}

/// Runs a core of one process on an address that no other test uses.
#[test]
fn decisions_are_logged_with_their_fields() {
    let ip = "127.77.1.9";
    let folder = std::env::temp_dir().join(format!("sprucehatch-node-{}-core", std::process::id()));
    let settings = format!(
        r#"{{"NodeId":"core-1","Role":"control","Ip":"{ip}","PortRange":[7660,7675],"SeedNodes":["{ip}:8146"],
            "ListenAddrs":{{"Control":"{ip}:8146"}},"Bootstrap":true,"DataDir":{:?},"Discovery":"cloud_api",
            "CountsForQuorum":true,"FaultTolerance":{{"Machines":0}}}}"#,
        folder.display().to_string()
    );
    let settings = settings_file("core", &settings);
    let configuration = settings_file(
        "core-config",
        r#"{"Version":3,"Routes":[{"PathPrefix":"/a/","Name":"r1","Host":"h.example","TimeoutMs":3000,"Backend":"s"}],"Backends":[{"Name":"s"}]}"#,
    );
    let mut command = Command::new(PROGRAM);
    command.args(["control", "--log", "warn,control=info"]).env(SETTINGS, &settings).stderr(Stdio::piped());
    let child = start(&mut command);
    let control = format!("{ip}:8146");
    let put =
        ["ctl", "config", "put", configuration.to_str().unwrap(), "--control", &control, "--timeout", "60"];
    let output = program(&put);
    let signalled = run(Command::new("kill").arg(child.id().to_string()));
    let ended = child.wait_with_output().unwrap();
    for path in [settings, configuration] {
        std::fs::remove_file(path).unwrap();
    }
    std::fs::remove_dir_all(folder).unwrap();
    assert!(output.status.success() && signalled.success(), "{}", error_text(&output));
    let log = error_text(&ended);
    for words in ["leader changed term=", "leads term=", "configuration taken version=3 builds_on=0"] {
        let line = log.lines().find(|line| line.contains(words));
        assert!(line.is_some_and(|line| line.contains(" INFO control::")), "{words}\n{log}");
    }
}

#[test]
fn demonstration_loses_no_job_when_the_leader_is_killed() {
    let output = program(&["demo", "--seconds", "4"]);
    assert!(output.status.success(), "{}", error_text(&output));
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(text.contains("<- the leader was killed"), "{text}");
    let totals = text.lines().find(|line| line.ends_with(" completed")).expect("a line of totals");
    let numbers: Vec<u32> = totals.split(' ').filter_map(|word| word.parse().ok()).collect();
    assert!(numbers[0] > 0 && numbers.iter().all(|number| *number == numbers[0]), "{text}");

    let output = program(&["demo", "--seconds", "0"]);
    assert_eq!(output.status.code(), Some(EXIT_USAGE));
}

/// A process that waits for its settings, which the test writes into a named pipe.
struct StartingProcess {
    child: Child,
    settings: std::fs::File,
}

/// Starts a role with a named pipe as its settings file, and returns once the process has opened the pipe.
fn start_without_settings(role: &str, name: &str) -> (StartingProcess, PathBuf) {
    let path = std::env::temp_dir().join(format!("sprucehatch-node-{}-{name}.json", std::process::id()));
    let _ = std::fs::remove_file(&path);
    assert!(run(Command::new("mkfifo").arg(&path)).success());
    let child = start(Command::new(PROGRAM).arg(role).env(SETTINGS, &path));
    // Opening a named pipe for writing returns once the other side has opened it for reading.
    let settings = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
    (StartingProcess { child, settings }, path)
}

fn send_signal(child: &Child, signal: &str) {
    assert!(run(Command::new("kill").args([signal, &child.id().to_string()])).success());
}

#[test]
fn hangup_before_the_settings_are_read_does_not_end_the_process() {
    let (front, readiness) = (reserved_address(), reserved_address());
    let text = format!(
        r#"{{"NodeId":"edge-1","Ip":"127.0.0.1","PortRange":[1,1],"SeedNodes":["127.0.0.1:2"],
            "ListenAddrs":{{"Front":"{front}","Readiness":"{readiness}"}},"Bounds":{{"GraceS":1}}}}"#
    );
    let (mut starting, path) = start_without_settings("data-plane", "early-hup");
    for _ in 0..3 {
        send_signal(&starting.child, "-HUP");
    }
    // Replaces the named pipe by a regular file, which the process reads again.
    let file = settings_file("early-hup-file", &text);
    std::fs::rename(file, &path).unwrap();
    starting.settings.write_all(text.as_bytes()).unwrap();
    drop(starting.settings);
    let answer = request_once_listening(&mut starting.child, readiness, "/v1/readyz");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    send_signal(&starting.child, "-TERM");
    assert_eq!(starting.child.wait().unwrap().code(), Some(0));
    std::fs::remove_file(path).unwrap();
}

#[test]
fn core_process_survives_a_full_disk_at_its_start() {
    let (control, folder) = (reserved_address(), std::env::temp_dir());
    let disk = folder.join(format!("sprucehatch-node-{}-full-disk", std::process::id()));
    let text = format!(
        r#"{{"NodeId":"core-1","Ip":"127.0.0.1","PortRange":[{port},{port}],"SeedNodes":["{control}"],"Bootstrap":true,
            "ListenAddrs":{{"Control":"{control}"}},"DataDir":{disk:?},"Discovery":"cloud_api"}}"#,
        port = reserved_address().port(),
    );
    let path = settings_file("full-disk", &text);
    // A file size limit of 0 simulates a full disk: writes fail, and SIGXFSZ is ignored.
    let script = format!("trap '' XFSZ; ulimit -S -f 0; exec {PROGRAM} control --log info");
    let mut child =
        start(Command::new("sh").args(["-c", &script]).env(SETTINGS, &path).stderr(Stdio::piped()));
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let mut wait_for = |text: &str| {
        let found = lines.by_ref().map_while(Result::ok).any(|line| line.contains(text));
        assert!(found, "the program has ended without logging {text:?}");
    };
    wait_for("disk full");
    wait_for("disk full");
    let limit = ["--pid", &child.id().to_string(), "--fsize=unlimited"];
    assert!(run(Command::new("prlimit").args(limit)).success());
    wait_for("leads term");
    send_signal(&child, "-TERM");
    assert_eq!(child.wait().unwrap().code(), Some(0));
    std::fs::remove_file(path).unwrap();
    std::fs::remove_dir_all(disk).unwrap();
}

#[test]
fn sigterm_before_the_settings_are_read_ends_the_process_with_success() {
    let (control, folder) = (reserved_address(), std::env::temp_dir());
    let disk = folder.join(format!("sprucehatch-node-{}-early-stop-disk", std::process::id()));
    let text = format!(
        r#"{{"NodeId":"core-1","Ip":"127.0.0.1","PortRange":[{port},{port}],"SeedNodes":["{control}"],"Bootstrap":true,
            "ListenAddrs":{{"Control":"{control}"}},"DataDir":{disk:?},"Discovery":"cloud_api"}}"#,
        port = reserved_address().port(),
    );
    let (mut starting, path) = start_without_settings("control", "early-stop");
    send_signal(&starting.child, "-TERM");
    starting.settings.write_all(text.as_bytes()).unwrap();
    drop(starting.settings);
    assert_eq!(starting.child.wait().unwrap().code(), Some(0));
    std::fs::remove_file(path).unwrap();
    std::fs::remove_dir_all(disk).unwrap();
}
