//! The `ctl` commands against a real group on loopback.

#[path = "../../control/tests/support/mod.rs"]
mod support;

mod platform;

use ctl::CtlError;
use messages::job::{JobSpec, Stage};
use messages::peer::mod_ClientRequest::OneOfcall;
use messages::peer::mod_PeerFrame::OneOfbody;
use messages::peer::{ClientRequest, Outcome, SubmitRequest};
use platform::Platform;
use serde_json::Value;
use std::fs;
use support::watcher::Watcher;
use support::{Process, Site};

const FIRST: &str = r#"{"Version":3,"Routes":[{"PathPrefix":"/a/","Name":"r1","Host":"h.example","RouteType":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":1000,"Priority":1,"Backend":"s","MaxRetries":3,"Stretch":2.2}],"Backends":[{"Name":"s","HealthCheck":"/healthz","MaxConnections":64,"Protocol":"h1","Tls":false,"Guards":true}]}"#;
const JOB: u64 = 0x5c0e_7a21_d94b_36f8;

/// Runs a command with the `Control` addresses of all machines of the site; returns its output.
fn ctl(site: &Site, words: &[&str]) -> Result<String, CtlError> {
    let addresses: Vec<String> = (0..3).map(|machine| site.control(machine).to_string()).collect();
    let mut arguments: Vec<String> = words.iter().map(|word| (*word).to_owned()).collect();
    arguments.extend(["--control".to_owned(), addresses.join(","), "--timeout".to_owned(), "60".to_owned()]);
    let mut out = Vec::new();
    ctl::run(&arguments, &mut out)?;
    Ok(String::from_utf8(out).expect("text"))
}

fn document(site: &Site, words: &[&str]) -> Value {
    let words: Vec<&str> = words.iter().copied().chain(["--json"]).collect();
    serde_json::from_str(&ctl(site, &words).expect("a clear answer")).expect("JSON")
}

fn file(site: &Site, name: &str, text: &str) -> String {
    let path = site.folder().join(name);
    fs::write(&path, text).expect("a file");
    path.display().to_string()
}

fn stop(processes: Vec<Process>) {
    processes.into_iter().for_each(Process::stop);
}

fn exit_code(outcome: &Result<String, CtlError>) -> u8 {
    outcome.as_ref().map_or_else(CtlError::exit_code, |_| 0)
}

#[test]
fn members_and_leader_are_shown() {
    let site = Site::new("ctl-members", 3);
    let processes = site.found();
    let leader = document(&site, &["leader"]);
    assert_eq!(leader["Role"], "Leader");
    assert_eq!(leader["Leader"], leader["Id"]);
    let text = ctl(&site, &["leader"]).expect("a leader");
    assert!(text.contains("core-") && text.contains("LEASE MS"), "{text}");

    // On a busy machine a member may answer too late to be shown.
    let members = loop {
        let members = document(&site, &["members"]);
        if members.as_array().expect("a list").iter().all(|member| !member["Status"].is_null()) {
            break members;
        }
    };
    let members = members.as_array().expect("a list");
    assert_eq!(members.len(), 3);
    for member in members {
        assert_eq!(member["Voter"], true);
        assert_eq!(member["Status"]["Id"], member["Id"], "{member}");
        assert_eq!(member["Status"]["Members"].as_array().map(Vec::len), Some(3));
    }
    let text = ctl(&site, &["members"]).expect("members");
    assert!(text.contains("core-0") && text.contains("core-1") && text.contains("core-2"), "{text}");
    stop(processes);
}

#[test]
fn member_that_is_down_is_shown_without_answer() {
    let site = Site::new("ctl-down", 3);
    let mut processes = site.found();
    document(&site, &["leader"]);
    processes.pop().expect("it runs").stop();
    let text = ctl(&site, &["members"]).expect("members");
    let line = text.lines().find(|line| line.contains(&site.control(2).to_string())).expect("its line");
    assert!(line.ends_with("no answer"), "{text}");
    stop(processes);
}

#[test]
fn config_commands_check_put_show_compare_and_list_versions() {
    let site = Site::new("ctl-config", 3);
    let processes = site.found();
    let first = file(&site, "first.json", FIRST);
    let second =
        FIRST.replace("\"Version\":3", "\"Version\":7").replace("\"TimeoutMs\":3000", "\"TimeoutMs\":4000");
    let second = file(&site, "second.json", &second);
    let broken = file(&site, "broken.json", &FIRST.replace("\"Backend\":\"s\"", "\"Backend\":\"t\""));

    let none = ctl(&site, &["config", "show"]);
    assert_eq!(exit_code(&none), 1);
    assert!(none.unwrap_err().to_string().contains("config put"));
    assert!(ctl(&site, &["config", "check", &first]).expect("valid").contains("may follow version 0"));
    ctl(&site, &["config", "put", &first]).expect("taken");
    assert_eq!(ctl(&site, &["config", "show"]).expect("shown").trim_end(), FIRST);

    let refused = ctl(&site, &["config", "check", &broken]);
    assert_eq!(exit_code(&refused), 1);
    assert!(refused.unwrap_err().to_string().contains("not among Backends"));
    let refused = ctl(&site, &["config", "check", &first]);
    assert!(refused.unwrap_err().to_string().contains("choose a higher number"));
    let refused = ctl(&site, &["config", "put", &second, "--on", "2"]);
    assert_eq!(exit_code(&refused), 1);
    assert!(refused.unwrap_err().to_string().contains("3 is current"));

    let changes = ctl(&site, &["config", "diff", &second]).expect("differences");
    assert!(changes.contains("~ Configuration Version: 3 -> 7"), "{changes}");
    assert!(changes.contains("~ Routes r1 TimeoutMs: 3000 -> 4000"), "{changes}");
    assert_eq!(changes.lines().count(), 2, "{changes}");

    ctl(&site, &["config", "put", &second]).expect("taken");
    ctl(&site, &["config", "put", &second, "--on", "3"]).expect("a repeated change succeeds");
    let history = document(&site, &["config", "history"]);
    let versions = history["Versions"].as_array().expect("a list");
    let pairs: Vec<(u64, u64)> = versions
        .iter()
        .map(|accepted| (accepted["Version"].as_u64().unwrap(), accepted["BuildsOn"].as_u64().unwrap()))
        .collect();
    assert_eq!(pairs, [(3, 0), (7, 3)]);
    assert!(ctl(&site, &["config", "history"]).expect("history").contains("BUILDS ON"));
    stop(processes);
}

#[test]
fn leadership_is_transferred() {
    let site = Site::new("ctl-transfer", 3);
    let processes = site.found();
    let before = document(&site, &["leader"]);
    let next = document(&site, &["transfer"]);
    assert!(next["Term"].as_u64() > before["Term"].as_u64(), "{before} {next}");
    assert_eq!(next["Role"], "Leader");
    stop(processes);
}

#[test]
fn snapshot_command_takes_a_snapshot() {
    let site = Site::new("ctl-snapshot", 3);
    let processes = site.found();
    ctl(&site, &["config", "put", &file(&site, "first.json", FIRST)]).expect("taken");
    let start = document(&site, &["snapshot"]);
    assert_eq!(start["Begun"], true, "{start}");
    let index = start["Index"].as_u64().expect("an index");
    // The snapshot is written in the background. Waits until the process reports it as its newest.
    loop {
        let members = document(&site, &["members"]);
        let members = members.as_array().expect("a list").clone();
        let member = members.iter().find(|member| member["Id"] == start["Id"]).expect("a member");
        if member["Status"]["SnapshotIndex"].as_u64() >= Some(index) {
            break;
        }
    }
    stop(processes);
}

#[test]
fn every_process_serves_its_metrics() {
    let site = Site::new("ctl-metrics", 3);
    let processes = site.found();
    ctl(&site, &["config", "put", &file(&site, "first.json", FIRST)]).expect("taken");
    let mut leaders = 0;
    for machine in 0..3 {
        let arguments = ["metrics", "--control", &site.control(machine).to_string()].map(str::to_owned);
        let mut out = Vec::new();
        ctl::run(&arguments, &mut out).expect("metrics");
        let text = String::from_utf8(out).expect("text");
        assert!(text.ends_with("# EOF\n"), "{text}");
        assert!(text.lines().any(|line| line == "sprucehatch_voters 3"), "{text}");
        let families: Vec<&str> = text.lines().filter(|line| line.starts_with("# TYPE")).collect();
        let distinct: std::collections::BTreeSet<&str> = families.iter().copied().collect();
        assert_eq!(families.len(), distinct.len(), "each family once");
        let committed = |line: &str| {
            let count = line.strip_prefix("sprucehatch_commit_latency_seconds_count ");
            count.is_some_and(|count| count != "0")
        };
        leaders += u32::from(text.lines().any(committed));
    }
    assert!(leaders >= 1, "the leader that accepted the configuration has measured its commit");
    stop(processes);
}

#[test]
fn inspect_reads_the_disk_of_a_stopped_process() {
    let site = Site::new("ctl-inspect", 3);
    let processes = site.found();
    ctl(&site, &["config", "put", &file(&site, "first.json", FIRST)]).expect("taken");
    stop(processes);
    let mut holders = 0;
    for machine in 0..3 {
        let mut out = Vec::new();
        ctl::inspect::run(&site.disk(machine), true, &mut out).expect("a sound folder");
        let report: Value = serde_json::from_slice(&out).expect("JSON");
        let log = &report["Log"];
        let identity = format!("{:x}", u32::from(site.ip(machine)));
        assert_eq!(log["Identity"], identity.as_str());
        assert_eq!(log["Members"].as_array().map(Vec::len), Some(3), "{report}");
        assert!(report["Files"]
            .as_array()
            .is_some_and(|files| files.iter().all(|file| file["Sound"] == true)));

        let mut out = Vec::new();
        // A follower may have been stopped before the configuration reached it.
        if ctl::inspect::configuration(&site.disk(machine), &mut out).is_ok() {
            holders += 1;
            assert_eq!(String::from_utf8_lossy(&out).trim_end(), FIRST);
        }

        let mut out = Vec::new();
        ctl::inspect::run(&site.disk(machine), false, &mut out).expect("a sound folder");
        let text = String::from_utf8(out).expect("text");
        assert!(text.contains("A start would find") && text.contains(&identity), "{text}");
    }
    assert!(holders >= 2, "an acknowledged configuration is on a majority of the disks");
}

fn submit(watcher: &mut Watcher, request_id: u64) -> Outcome {
    let stage = Stage { count: 2, cpu: 500, mem_mb: 64, est_runtime_ms: 500, ..Stage::default() };
    let job = JobSpec { spec: "text".to_owned(), stages: vec![stage], ..JobSpec::default() };
    let call = OneOfcall::submit(SubmitRequest { id: JOB, job: Some(job) });
    let (host, path) = ("h.example".to_owned(), format!("/a/{JOB:016x}"));
    watcher.send(OneOfbody::request(ClientRequest { request_id, host, path, time_left_ms: 3_000, call }));
    loop {
        if let OneOfbody::reply(reply) = watcher.next() {
            return reply.outcome;
        }
    }
}

/// Submits the job to all machines in turn until the leader accepts it.
fn submit_until_accepted(site: &Site) {
    let mut watchers: Vec<Watcher> = (0..3).map(|machine| site.watch(machine)).collect();
    for request_id in 1.. {
        for watcher in &mut watchers {
            if submit(watcher, request_id) == Outcome::ACCEPTED {
                return;
            }
        }
    }
}

#[test]
fn workers_queues_and_jobs_are_shown() {
    let platform = Platform::start(&[("i-1", "127.0.0.1:9", "s")]);
    let site = Site::new("ctl-jobs", 3).with_platform(platform.address());
    let processes = site.found();
    ctl(&site, &["config", "put", &file(&site, "first.json", FIRST)]).expect("taken");
    submit_until_accepted(&site);

    let workers = loop {
        let workers = document(&site, &["workers"]);
        if workers["Workers"].as_array().is_some_and(|workers| !workers.is_empty()) {
            break workers;
        }
    };
    let worker = &workers["Workers"][0];
    assert_eq!((&worker["Instance"], &worker["Service"]), (&Value::from("i-1"), &Value::from("s")));
    assert_eq!(worker["Capacity"]["Cpu"], 16_000);
    assert!(ctl(&site, &["workers"]).expect("workers").contains("127.0.0.1:9"));

    let queues = document(&site, &["queues"]);
    assert_eq!(queues["Services"][0]["Service"], "s");
    assert!(ctl(&site, &["queues"]).expect("queues").contains("DEFICIT"));

    let id = format!("{JOB:016x}");
    let report = document(&site, &["job", "explain", &id]);
    assert_eq!((&report["Id"], &report["Queue"]), (&Value::from(id.as_str()), &Value::from("h.example/a/")));
    let text = ctl(&site, &["job", "explain", &id]).expect("a known job");
    assert!(text.contains(&format!("job {id} is ")) && text.contains("WAITS FOR"), "{text}");
    let unknown = ctl(&site, &["job", "explain", "00000000000000aa"]);
    assert_eq!(exit_code(&unknown), 1);
    stop(processes);
}

#[test]
fn group_that_is_down_is_unreachable() {
    let free = gateway_test_support::reserved_address();
    let arguments = ["members", "--control", &free.to_string(), "--timeout", "1"].map(str::to_owned);
    let outcome = ctl::run(&arguments, &mut Vec::new());
    let error = outcome.expect_err("nobody listens there");
    assert_eq!(error.exit_code(), 2);
    assert!(error.to_string().contains("--control"), "{error}");
}

#[test]
fn invalid_command_lines_refer_to_the_help() {
    let lines: [&[&str]; 7] = [
        &[],
        &["members"],
        &["members", "--control", "nowhere"],
        &["config", "put", "--control", "127.0.0.1:9"],
        &["leader", "--on", "3", "--control", "127.0.0.1:9"],
        &["job", "explain", "xyz", "--control", "127.0.0.1:9"],
        &["leader", "--timeout", "0", "--control", "127.0.0.1:9"],
    ];
    for line in lines {
        let words: Vec<String> = line.iter().map(|word| (*word).to_owned()).collect();
        let error = ctl::run(&words, &mut Vec::new()).expect_err("not understood");
        assert_eq!(error.exit_code(), 64, "{line:?}");
        assert!(error.to_string().contains("--help"), "{line:?}");
    }
}
