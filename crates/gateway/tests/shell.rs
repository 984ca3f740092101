//! Command line, configuration files, log and figures of the gateway, as operators use them.

use gateway_test_support::{ask, file, list, program, Backend, Discovery, Gateway, Setup, LIMIT};
use std::collections::BTreeMap;
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A minimal TOML configuration.
const TOML: &str = r#"
listen = "127.0.0.1:0"
discovery = "DISCOVERY"
ops = "127.0.0.1:0"
[log]
format = "json"
[settings]
dcs = ["hall"]
[[settings.plans]]
name = "basic"
quota_rate = 1000
depth = 1000
value_factor = 1
[[settings.services]]
name = "quote"
on_time = 600_000_000
deadline = 2_500_000_000
effect = "safe"
points = 3
"#;

fn run(arguments: &[&str], configuration: Option<&Path>) -> Output {
    let mut command = Command::new(program("sprucehatch-gateway"));
    for variable in ["LB_CONFIG", "LB_LISTEN", "LB_DISCOVERY", "LB_OPS", "LB_NAME", "LB_INHERITED_FD"] {
        command.env_remove(variable);
    }
    if let Some(path) = configuration {
        command.env("LB_CONFIG", path);
    }
    command.args(arguments).output().expect("the program runs")
}

fn check(text: &str) -> (Option<i32>, String) {
    let path = file("toml", &text.replace("DISCOVERY", "127.0.0.1:1"));
    let out = run(&["check-config", "--config", path.to_str().expect("text")], None);
    fs::remove_file(path).expect("the file exists");
    (out.status.code(), String::from_utf8([out.stdout, out.stderr].concat()).expect("text"))
}

fn discovery_with(backend: &Backend) -> Discovery {
    Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")]))
}

// ---- Command line ----

#[test]
fn commands_print_help_and_return_exit_codes() {
    let text =
        |out: &Output| String::from_utf8([out.stdout.clone(), out.stderr.clone()].concat()).expect("text");
    let help = run(&["--help"], None);
    for word in ["check-config", "print-defaults", "print-schema", "LB_CONFIG", "Exit codes"] {
        assert!(text(&help).contains(word), "{word} in {}", text(&help));
    }
    let version = run(&["--version"], None);
    assert_eq!(
        (version.status.code(), text(&version)),
        (Some(0), format!("sprucehatch-gateway {}\n", env!("CARGO_PKG_VERSION")))
    );
    for wrong in
        [&["fly"][..], &["--fast"], &["check-config", "--config"], &["--config", "a", "--config", "b"]]
    {
        let out = run(wrong, None);
        assert_eq!((out.status.code(), out.stdout.len()), (Some(2), 0), "{wrong:?}: {}", text(&out));
    }
    let none = run(&["check-config"], None);
    assert_eq!(none.status.code(), Some(1));
    assert!(text(&none).contains("LB_CONFIG is not set"), "{}", text(&none));
}

#[test]
fn rejects_two_different_configurations() {
    let (a, b) = (file("toml", TOML), file("toml", TOML));
    let a_text = a.to_str().expect("text");
    let out = run(&["--config", a_text], Some(&b));
    let text = String::from_utf8(out.stderr).expect("text");
    assert!(out.status.code() == Some(1) && text.contains("two configurations are given"), "{text}");
    let same = run(&["check-config", "--config", a_text], Some(&a));
    let text = String::from_utf8(same.stderr).expect("text");
    assert!(text.contains("discovery is \"DISCOVERY\""), "the file is read: {text}");
    [a, b].iter().for_each(|path| fs::remove_file(path).expect("the file exists"));
}

// ---- Configuration ----

#[test]
fn reports_all_configuration_errors_and_does_not_start() {
    assert_eq!(check(TOML).0, Some(0), "{}", check(TOML).1);
    let bad = TOML
        .replace("format = \"json\"", "format = \"xml\"\nlevel = 5\ncolour = true")
        .replace("quota_rate = 1000", "quota_rate = -1")
        .replace("effect = \"safe\"", "effect = \"quick\"")
        .replace("[log]", "[limits]\nsockets = 3\n[pool]\nidle_ms = 0\n[log]");
    let (code, text) = check(&bad);
    assert_eq!((code, text.lines().count()), (Some(1), 7), "{text}");
    for expected in [
        "log.format is \"xml\": \"text\" or \"json\" is wanted",
        "log.level is 5: \"off\" or \"error\"",
        "log.colour is no key here: format, level, modules are",
        "settings.plans[0].quota_rate is -1: a number from 0.0 to 1000000000.0 is wanted",
        "settings.services[0].effect is \"quick\": \"safe\" or \"keyed\" or \"unsafe\" is wanted",
        "limits.sockets is 3: a whole number from 80 to 1048576 is wanted",
        "pool.idle_ms is 0: a whole number from 1 to 3600000 is wanted",
    ] {
        let line =
            text.lines().find(|l| l.contains(expected)).unwrap_or_else(|| panic!("{expected} in {text}"));
        assert!(line.starts_with("sprucehatch-gateway: ") && line.contains(".toml: "), "{line}");
    }
    let (code, text) = check("listen = \"nowhere\"\nseed = \"xyz\"\n");
    assert_eq!(code, Some(1));
    for expected in ["settings.plans is missing: a list", "settings.services is missing: a list"] {
        assert!(text.contains(expected), "{expected} in {text}");
    }
    let (_, text) = check(
        &TOML.replace("DISCOVERY", "x").replace("listen = \"127.0.0.1:0\"", "listen = \"y\"\nseed = \"z\""),
    );
    for expected in ["discovery is \"x\"", "listen is \"y\"", "seed is \"z\": up to 16 hex digits"] {
        assert!(text.contains(expected), "{expected} in {text}");
    }
}

/// The printed defaults form a valid configuration once the commented-out examples of plans and classes are
/// included.
#[test]
fn printed_defaults_are_valid_and_schema_has_every_key() {
    let printed = |command: &str| String::from_utf8(run(&[command], None).stdout).expect("text");
    let defaults = printed("print-defaults");
    let examples: String =
        defaults.lines().map(|l| format!("{}\n", l.strip_prefix("# ").unwrap_or(l))).collect();
    let examples =
        examples.split_once("What a gateway").map(|(_, rest)| format!("# {rest}")).expect("a head");
    let first = examples.find("`settings.plans`").expect("the head has an examples section");
    let body = examples[first..].split_once('\n').expect("lines").1;
    let (code, text) = check(body);
    assert_eq!(code, Some(0), "the examples are valid: {text}");
    let schema: serde_json::Value = serde_json::from_str(&printed("print-schema")).expect("JSON");
    for key in ["listen", "discovery", "ops", "limits", "pool", "log", "settings", "known", "seed"] {
        assert!(schema["properties"][key].is_object(), "{key}");
        assert!(key == "known" || defaults.contains(key), "{key}");
    }
    assert_eq!(schema.pointer("/properties/limits/properties/sockets/minimum"), Some(&80.into()));
}

#[test]
fn serves_with_toml_configuration() {
    let backend = Backend::good();
    let discovery = discovery_with(&backend);
    let setup = Setup { toml: Some(TOML.to_string()), ops: true, ..Setup::default() };
    let gateway = Gateway::with(&discovery, setup);
    discovery.wait_for_calls(2);
    assert_eq!(gateway.client().ask(&ask("quote").text()).status(), 200);
}

#[test]
fn reload_logs_applied_keys_and_keys_that_need_a_restart() {
    let backend = Backend::good();
    let discovery = discovery_with(&backend);
    let setup = Setup { toml: Some(TOML.to_string()), ops: true, ..Setup::default() };
    let gateway = Gateway::with(&discovery, setup);
    let text = gateway.configuration();
    let reload = |change: &dyn Fn(&str) -> String| {
        gateway.reconfigure(&change(&text));
        let line = gateway.wait_for_log_line("configuration");
        let line: serde_json::Value = serde_json::from_str(&line).expect("a line of JSON");
        let field = |name: &str| line[name].as_str().unwrap_or_default().to_string();
        (field("taken"), field("from_a_restart_on"), field("message"))
    };
    let again = "configuration read again: changed keys".to_string();
    let (none, all) = ("none".to_string(), |t: &str| t.to_string());
    assert_eq!(reload(&all), (none.clone(), none.clone(), again.clone()));
    let level = |t: &str| t.replace("[log]", "[pool]\nidle_ms = 9\n[log]\nlevel = \"debug\"");
    assert_eq!(reload(&level), ("log.level".to_string(), "pool.idle_ms".to_string(), again.clone()));
    // Changes are compared with the last valid file; an invalid one does not count.
    let (_, _, message) = reload(&|t| t.replace("points = 3", "points = \"many\""));
    assert!(message.contains("not taken") && message.contains("points is \"many\""), "{message}");
    let reverted = reload(&all);
    assert_eq!(reverted, ("log.level".to_string(), "pool.idle_ms".to_string(), again));
    assert_eq!(gateway.client().ask(&ask("quote").text()).status(), 200);
}

/// The file is truncated at various lengths and reloaded each time.
#[test]
fn reload_applies_truncated_file_completely_or_not_at_all() {
    let backend = Backend::good();
    let discovery = discovery_with(&backend);
    let setup = Setup { toml: Some(TOML.to_string()), ops: true, ..Setup::default() };
    let gateway = Gateway::with(&discovery, setup);
    discovery.wait_for_calls(2);
    let text = gateway.configuration();
    for cut in (0..text.len()).step_by(97) {
        gateway.reconfigure(&text[..cut]);
        gateway.wait_for_log_line("configuration");
    }
    gateway.reconfigure(&text);
    gateway.wait_for_log_line("configuration read again");
    assert_eq!(gateway.client().ask(&ask("quote").text()).status(), 200);
}

// ---- Log ----

fn json_lines(level: &str) -> Setup {
    let log = match level {
        "info" => r#"{"format":"json"}"#,
        _ => r#"{"format":"json","level":"debug"}"#,
    };
    Setup { ops: true, log: Some(log), ..Setup::default() }
}

#[test]
fn log_lines_carry_request_id_and_operators_change_the_level() {
    let backend = Backend::good();
    let discovery = discovery_with(&backend);
    let gateway = Gateway::with(&discovery, json_lines("info"));
    discovery.wait_for_calls(2);
    let mut client = gateway.client();
    let unlogged = ask("quote");
    assert_eq!(client.ask(&unlogged.text()).status(), 200);
    for bad in ["/-/log", "/-/log?level=loud", "/-/log?level=debug&module=a%20b"] {
        assert_eq!(gateway.call("POST", bad).status(), 400, "{bad}");
    }
    assert_eq!(gateway.call("POST", "/-/log?level=debug").status(), 200);
    let logged = ask("quote");
    assert_eq!(client.ask(&logged.text()).status(), 200);
    let mut seen = BTreeMap::new();
    while !seen.contains_key("answered") {
        let line = gateway.wait_for_log_line("\"request\"");
        let line: serde_json::Value = serde_json::from_str(&line).expect("a line of JSON");
        assert_eq!(line["request"], logged.id.as_str(), "the request before logged nothing: {}", unlogged.id);
        seen.insert(line["message"].as_str().expect("a message").to_string(), line);
    }
    let names: Vec<&str> = seen.keys().map(String::as_str).collect();
    assert_eq!(names, ["answered", "attempt", "attempt ended", "taken"]);
    assert_eq!(
        (&seen["attempt"]["server"], &seen["attempt ended"]["ending"]),
        (&"s-1".into(), &"Pass".into())
    );
    assert_eq!((&seen["answered"]["status"], &seen["taken"]["class"]), (&200.into(), &"quote".into()));
    let log: serde_json::Value = serde_json::from_slice(&gateway.call("GET", "/-/log").body).expect("JSON");
    assert_eq!((&log["level"], &log["lines"]["lost"]), (&"debug".into(), &0.into()));
    assert_eq!(gateway.call("POST", "/-/log?level=info").status(), 200);
}

/// The log is not read: the pipe fills, then the queue, and requests are still served.
#[test]
fn blocked_or_closed_log_reader_delays_no_request_and_lost_lines_are_counted() {
    let backend = Backend::good();
    let discovery = discovery_with(&backend);
    let setup = Setup { unread: true, ..json_lines("debug") };
    let mut gateway = Gateway::with(&discovery, setup);
    discovery.wait_for_calls(2);
    let mut client = gateway.client();
    let lost = |gateway: &Gateway| {
        let log: serde_json::Value =
            serde_json::from_slice(&gateway.call("GET", "/-/log").body).expect("JSON");
        log["lines"]["lost"].as_u64().expect("a count")
    };
    let started = Instant::now();
    while lost(&gateway) == 0 {
        for _ in 0..100 {
            let asked = Instant::now();
            assert_eq!(client.ask(&ask("quote").text()).status(), 200);
            assert!(asked.elapsed() < Duration::from_secs(2), "the log delays the request");
        }
        assert!(started.elapsed() < 3 * LIMIT, "the log queue never fills");
    }
    let before = lost(&gateway);
    gateway.close_log();
    assert_eq!(client.ask(&ask("quote").text()).status(), 200);
    let started = Instant::now();
    while lost(&gateway) < before + 1000 {
        assert!(started.elapsed() < LIMIT, "lines that waited for the reader are never counted as lost");
    }
    gateway.signal("-TERM");
    let ended = Instant::now();
    assert!(gateway.child.wait().expect("the process ends").success());
    assert!(ended.elapsed() < Duration::from_secs(10));
}

#[test]
fn runs_with_closed_standard_error() {
    let backend = Backend::good();
    let discovery = discovery_with(&backend);
    let port = gateway_test_support::reserved_address();
    let text = TOML.replace("listen = \"127.0.0.1:0\"", &format!("listen = \"{port}\""));
    let path = file("toml", &text.replace("DISCOVERY", &discovery.address.to_string()));
    let mut command = Command::new("/bin/sh");
    command.args(["-c", "exec \"$0\" --config \"$1\" 2>&-"]).arg(program("sprucehatch-gateway")).arg(&path);
    let mut child = command.env_remove("LB_CONFIG").stdin(Stdio::null()).spawn().expect("the program starts");
    discovery.wait_for_calls(2);
    let answer = gateway_test_support::Client::to(port).ask(&ask("quote").text());
    assert_eq!(answer.status(), 200);
    assert!(child.try_wait().expect("a child").is_none());
    child.kill().and_then(|()| child.wait()).expect("the process ends");
    fs::remove_file(path).expect("the file exists");
}

// ---- Figures ----

#[test]
fn reports_openmetrics_and_latencies() {
    let backend = Backend::good();
    let discovery = discovery_with(&backend);
    let gateway = Gateway::with(&discovery, json_lines("info"));
    discovery.wait_for_calls(2);
    let mut client = gateway.client();
    for _ in 0..3 {
        assert_eq!(client.ask(&ask("quote").text()).status(), 200);
    }
    let answer = gateway.call("GET", "/-/metrics?format=openmetrics");
    let kind = answer.header("content-type").expect("a type").to_string();
    assert!(kind.starts_with("application/openmetrics-text"), "{kind}");
    let text = String::from_utf8(answer.body).expect("text");
    let line = "granitethread_request_duration_seconds_count{class=\"quote\",outcome=\"succeeded\"} 3";
    assert!(text.lines().any(|l| l == line) && text.ends_with("# EOF\n"), "{text}");
    assert_eq!(gateway.call("GET", "/-/metrics?format=xml").status(), 400);
    let status: serde_json::Value =
        serde_json::from_slice(&gateway.call("GET", "/-/status").body).expect("JSON");
    assert_eq!((&status["name"], &status["ready"]), (&"n0".into(), &true.into()));
    let latency = &status["latency"][0];
    assert_eq!((&latency["class"], &latency["count"]), (&"quote".into(), &3.into()));
    assert!(latency["p99_ms"].as_f64() >= latency["p50_ms"].as_f64(), "{latency}");
}

/// Operators' calls are answered within a second under any load.
#[test]
fn answers_operators_within_a_second_under_load() {
    let backend = Backend::new(|_, s| {
        std::thread::sleep(Duration::from_millis(1));
        gateway_test_support::ok(s, "x")
    });
    let discovery = discovery_with(&backend);
    let gateway = Gateway::with(&discovery, json_lines("info"));
    discovery.wait_for_calls(2);
    let done = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..32)
        .map(|_| {
            let (done, mut client) = (done.clone(), gateway.client());
            std::thread::spawn(move || {
                let mut asked = 0u64;
                while !done.load(Ordering::Relaxed) {
                    assert!(matches!(client.ask(&ask("quote").text()).status(), 200 | 429 | 503));
                    asked += 1;
                }
                asked
            })
        })
        .collect();
    let calls = ["/-/metrics", "/-/metrics?format=openmetrics", "/-/status", "/-/log", "/-/ready"];
    for path in calls.iter().cycle().take(50) {
        let started = Instant::now();
        assert_eq!(gateway.call("GET", path).status(), 200, "{path}");
        assert!(started.elapsed() < Duration::from_secs(1), "{path} took {:?}", started.elapsed());
    }
    done.store(true, Ordering::Relaxed);
    let asked: u64 = clients.into_iter().map(|c| c.join().expect("a client")).sum();
    assert!(asked > 100, "too little load: {asked}");
}

/// A file with an incomplete entry at its end is rejected, and the errors name that entry.
#[test]
fn rejects_partially_written_configuration() {
    let path = file("toml", TOML);
    let mut growing = OpenOptions::new().append(true).open(&path).expect("the file exists");
    growing.write_all(b"[[settings.services]]\nname = \"late\"\n").expect("written");
    let out = run(&["check-config", "--config", path.to_str().expect("text")], None);
    let text = String::from_utf8(out.stderr).expect("text");
    assert_eq!(out.status.code(), Some(1));
    assert_eq!(text.matches("settings.services[1].").count(), 4, "{text}");
    fs::remove_file(path).expect("the file exists");
}
