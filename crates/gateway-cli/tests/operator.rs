//! Runs the operators' command line against real gateways and a real registry.

use gateway_test_support::{
    ask, file, folder, list, program, read_logged_address, reserved_address, Backend, Discovery, Gateway,
    Setup,
};
use serde_json::Value;
use std::fs;
use std::io::BufReader;
use std::net::TcpListener;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

fn sprucehatch(arguments: &[&str]) -> Output {
    let mut command = Command::new(program("sprucehatch"));
    command.env_remove("SPRUCEHATCH_CONFIG").args(arguments).output().expect("the program runs")
}

/// The command's stdout followed by its stderr.
fn text(out: &Output) -> String {
    String::from_utf8([out.stdout.clone(), out.stderr.clone()].concat()).expect("text")
}

/// Runs the command and returns its exit code and output (stdout, then stderr).
fn run(arguments: &[&str]) -> (Option<i32>, String) {
    let out = sprucehatch(arguments);
    (out.status.code(), text(&out))
}

/// Runs the command with `--json` and returns its exit code and the parsed stdout.
fn json(arguments: &[&str]) -> (Option<i32>, Value) {
    let out = sprucehatch(&[&["--json"], arguments].concat());
    (out.status.code(), serde_json::from_slice(&out.stdout).unwrap_or_else(|e| panic!("{e}: {}", text(&out))))
}

/// A roll server's name with characters that need escaping in a URL.
const NAME_WITH_SPECIAL_CHARACTERS: &str = "s 1/ü?%&";

/// Starts a gateway that has listed the backend under two names.
fn gateway(backend: &Backend) -> (Discovery, Gateway) {
    let targets =
        [("s-1", backend.address, "Ready"), (NAME_WITH_SPECIAL_CHARACTERS, backend.address, "Ready")];
    let discovery = Discovery::new(list(1, true, &targets));
    let gateway = Gateway::with(&discovery, Setup { ops: true, ..Setup::default() });
    discovery.wait_for_calls(2);
    (discovery, gateway)
}

#[test]
fn status_shows_all_gateways_even_if_one_fails() {
    let backend = Backend::good();
    let (_first, a) = gateway(&backend);
    let (_second, b) = gateway(&backend);
    assert_eq!(a.client().ask(&ask("quote").text()).status(), 200);
    let (a, b, gone) = (a.operators().to_string(), b.operators().to_string(), reserved_address().to_string());
    let (code, all) = run(&["status", "--gateway", &a, "-g", &b]);
    assert_eq!(code, Some(0), "{all}");
    assert_eq!(all.matches(" ready ").count(), 2, "{all}");
    assert!(all.contains("quote") && all.contains("p99 ms"), "{all}");
    let (code, some) = run(&["status", "--gateway", &[a.as_str(), &gone].join(",")]);
    assert!(
        code == Some(3) && some.contains(" ready ") && some.contains("failed: Connection refused"),
        "{some}"
    );
    assert_eq!(run(&["status", "-g", &gone]).0, Some(1));
    let (code, reported) = json(&["status", "-g", &gone, "-g", &a]);
    assert_eq!((code, &reported[0]["ok"], &reported[1]["ok"]), (Some(3), &false.into(), &true.into()));
    assert_eq!((&reported[1]["gateway"], &reported[1]["answer"]["name"]), (&a.as_str().into(), &"n0".into()));
    assert_eq!(reported[1]["answer"]["latency"][0]["count"], 1);
    let (code, output) = run(&["watch", "-g", &a, "--every-ms", "100", "--count", "2"]);
    assert_eq!((code, output.matches("gateway").count()), (Some(0), 2), "{output}");
    assert!(output.contains("served/s"), "{output}");
}

#[test]
fn gateway_commands_take_effect_and_rejections_are_reported() {
    let backend = Backend::good();
    let (_discovery, gateway) = gateway(&backend);
    let at = gateway.operators().to_string();
    let call = |arguments: &[&str]| run(&[arguments, &["-g", &at]].concat());
    let status = || json(&["status", "-g", &at]).1[0]["answer"].clone();
    assert_eq!(call(&["drain"]).0, Some(0));
    assert_eq!(status()["draining"], true);
    assert!(call(&["status"]).1.contains("draining"));
    assert_eq!(call(&["resume"]).0, Some(0));
    assert_eq!(status()["draining"], false);
    for name in ["s-1", NAME_WITH_SPECIAL_CHARACTERS] {
        let (code, output) = call(&["disable", name]);
        assert!(code == Some(0) && output.contains("disabled"), "{output}");
        assert_eq!(status()["out_by_hand"], Value::from(vec![name]));
        assert_eq!(call(&["enable", name]).0, Some(0));
    }
    let (code, output) = call(&["disable", "nobody"]);
    assert!(code == Some(1) && output.contains("404: no such roll server"), "{output}");
    assert_eq!(call(&["log", "--level", "debug", "--module", "sprucehatch_gateway::pool"]).0, Some(0));
    let (code, output) = call(&["log"]);
    assert!(code == Some(0) && output.contains(r#""sprucehatch_gateway::pool": "debug""#), "{output}");
    let (code, figures) = call(&["metrics", "--format", "openmetrics"]);
    assert!(code == Some(0) && figures.ends_with("# EOF\n"), "{figures}");
    assert_eq!(json(&["metrics", "-g", &at]).1[0]["answer"]["discovered"], 2);
}

/// The silent gateway is a listener that never accepts: the kernel completes the connection and nothing
/// answers.
#[test]
fn silent_gateway_does_not_delay_other_answers_beyond_the_timeout() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let silent_at = silent.local_addr().expect("an address").to_string();
    let backend = Backend::good();
    let (_discovery, gateway) = gateway(&backend);
    let at = gateway.operators().to_string();
    let started = Instant::now();
    let (code, output) = run(&["status", "-g", &silent_at, "-g", &at, "--timeout-ms", "300"]);
    assert!(
        code == Some(3) && output.contains("failed: no answer within 300 ms") && output.contains(" ready "),
        "{output}"
    );
    assert!(started.elapsed() < Duration::from_secs(5));
}

/// A registry's process, killed on drop.
struct Registry(Child);

impl Drop for Registry {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn registry_commands_read_and_change_the_list() {
    let dir = folder();
    let mut command = Command::new(program("sprucehatch-registry"));
    command.arg("--dir").arg(&dir).args(["--readers", "127.0.0.1:0", "--registrars", "127.0.0.1:0"]);
    let mut child = command.stderr(Stdio::piped()).spawn().expect("the registry starts");
    let mut log = BufReader::new(child.stderr.take().expect("piped"));
    let _registry = Registry(child);
    let mut line = String::new();
    std::io::BufRead::read_line(&mut log, &mut line).expect("the line with the version");
    read_logged_address(&mut log, "Readers call at ");
    let at = read_logged_address(&mut log, "Registrars call at ").to_string();
    let call = |arguments: &[&str]| run(&[&["registry"], arguments, &["--registrars", &at]].concat());
    let register = [
        "register",
        NAME_WITH_SPECIAL_CHARACTERS,
        "--endpoint",
        "127.0.0.1:7",
        "--zone",
        "hall",
        "--boot-ms",
        "5",
        "--lease-ms",
        "600000",
    ];
    let (code, output) = call(&register);
    assert!(code == Some(0) && output.contains("\"rev\""), "{output}");
    let (code, page) = call(&["list"]);
    assert!(
        code == Some(0) && page.contains("Ready") && page.contains("s 1/ü?%&") && page.contains("10 min"),
        "{page}"
    );
    assert_eq!(call(&["drain", NAME_WITH_SPECIAL_CHARACTERS]).0, Some(0));
    let all = json(&["registry", "list", "--registrars", &at]).1;
    let entry = &all["registrations"][0];
    assert_eq!(
        (&entry["state"], &entry["az"], &entry["uid"]),
        (&"Terminating".into(), &"hall".into(), &NAME_WITH_SPECIAL_CHARACTERS.into())
    );
    assert_eq!(call(&["remove", NAME_WITH_SPECIAL_CHARACTERS]).0, Some(0));
    let (code, output) = call(&["remove", NAME_WITH_SPECIAL_CHARACTERS]);
    assert!(code == Some(1) && output.contains("404: no such registration"), "{output}");
    let (code, output) = run(&["registry", "list"]);
    assert!(code == Some(1) && output.contains("no registry is named"), "{output}");
    fs::remove_dir_all(dir).expect("the path exists");
}

#[test]
fn reads_gateways_from_the_configuration_and_reports_all_its_errors() {
    let backend = Backend::good();
    let (_discovery, gateway) = gateway(&backend);
    let good = file("toml", &format!("gateways = [\"{}\"]\ntimeout_ms = 5000\n", gateway.operators()));
    let path = good.to_str().expect("text");
    assert_eq!(run(&["status", "--config", path]).0, Some(0));
    let bad = file("toml", "gateways = [\"x\", 5]\ntimeout_ms = 0\nspeed = 1\n");
    let (code, output) = run(&["check-config", "--config", bad.to_str().expect("text")]);
    assert_eq!((code, output.lines().count()), (Some(1), 3), "{output}");
    for reported in [
        "gateways[1] is 5: a text",
        "timeout_ms is 0: a whole number from 1 to 600000",
        "speed is no key here",
    ] {
        assert!(output.contains(reported), "{reported} in {output}");
    }
    let address = file("toml", "gateways = [\"x\"]\n");
    let (code, output) = run(&["status", "--config", address.to_str().expect("text")]);
    assert!(
        code == Some(1) && output.contains("gateways[0] is \"x\": an address and port are wanted"),
        "{output}"
    );
    [good, bad, address].iter().for_each(|path| fs::remove_file(path).expect("the path exists"));
}

#[test]
fn exit_codes_distinguish_wrong_arguments_from_failures_and_completions_are_printed() {
    for wrong in
        [&["fly"][..], &["status", "-g", "nowhere"], &["disable"], &["watch", "--every-ms", "5"], &[]]
    {
        let (code, output) = run(wrong);
        assert_eq!(code, Some(2), "{wrong:?}: {output}");
    }
    let (code, output) = run(&["status"]);
    assert!(code == Some(1) && output.contains("no gateway is named"), "{output}");
    for shell in ["bash", "zsh", "fish"] {
        let (code, output) = run(&["completions", shell]);
        assert!(code == Some(0) && output.contains("check-config") && output.contains("registry"), "{shell}");
    }
    assert_eq!(run(&["--help"]).0, Some(0));
    assert!(run(&["--version"]).1.starts_with("sprucehatch "));
}

// ---- The lab ----

/// Command lines of the processes whose command line contains this text.
fn running(text_part: &str) -> Vec<String> {
    let all = fs::read_dir("/proc").expect("processes").filter_map(|entry| {
        let line = fs::read(entry.ok()?.path().join("cmdline")).ok()?;
        Some(String::from_utf8_lossy(&line).replace('\0', " "))
    });
    all.filter(|line| line.contains(text_part)).collect()
}

#[test]
fn demo_shows_the_complete_system_and_leaves_nothing_behind() {
    let mut command = Command::new(program("sprucehatch"));
    command
        .args(["lab", "demo", "--seconds", "4", "--rate", "50"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let started = Instant::now();
    let child = command.spawn().expect("the program starts");
    let folder = format!("sprucehatch-demo-{}", child.id());
    let out = child.wait_with_output().expect("the program ends");
    let output = text(&out);
    assert!(out.status.success() && started.elapsed() < Duration::from_secs(30), "{output}");
    for expected in ["s-1 is killed", "s-1 starts again", "n2", "served/s", "everything is ended"] {
        assert!(output.contains(expected), "{expected} in {output}");
    }
    assert!(!output.contains("in all 0 served"), "{output}");
    assert_eq!(running(&folder), Vec::<String>::new());
    assert!(!std::env::temp_dir().join(folder).exists());
}

#[test]
fn stopped_demo_ends_all_processes_that_it_started() {
    for signal in ["-INT", "-TERM"] {
        let mut command = Command::new(program("sprucehatch"));
        command
            .args(["lab", "demo", "--seconds", "60", "--rate", "50"])
            .stdout(Stdio::piped())
            .stderr(Stdio::null());
        let mut child = command.spawn().expect("the program starts");
        let mut output = BufReader::new(child.stdout.take().expect("piped"));
        let mut line = String::new();
        std::io::BufRead::read_line(&mut output, &mut line).expect("the first line of the output");
        assert!(line.contains("registry at"), "{line}");
        let folder = format!("sprucehatch-demo-{}", child.id());
        assert_eq!(running(&folder).len(), 4, "the registry and three gateways");
        let stopped =
            Command::new("kill").args([signal, &child.id().to_string()]).status().expect("kill runs");
        assert!(stopped.success() && !child.wait().expect("the program ends").success());
        assert_eq!(running(&folder), Vec::<String>::new());
        assert!(!std::env::temp_dir().join(folder).exists());
    }
}

/// Writes a version of the scenario `calm` that is small enough for a build without optimization.
fn scenario(change: impl Fn(String) -> String) -> std::path::PathBuf {
    let (_, calm) = run(&["lab", "print", "calm"]);
    let calm = calm.replace("seconds = 30", "seconds = 3").replace("uncounted_s = 5", "uncounted_s = 1");
    file("toml", &change(calm.replace("[gateways]\ncount = 30", "[gateways]\ncount = 4")))
}

#[test]
fn lab_lists_checks_plays_and_compares_scenarios() {
    let (code, listed) = run(&["lab", "list"]);
    assert!(code == Some(0) && listed.contains("zone-loss") && listed.contains("falls silent"), "{listed}");
    let (base, slow) = (scenario(|t| t), scenario(|t| t.replace("work_ms = 20", "work_ms = 60")));
    let bad = scenario(|t| t.replace("cores = 4", "cores = 0"));
    let path = |p: &std::path::Path| p.to_str().expect("text").to_string();
    assert_eq!(run(&["lab", "check", &path(&base), &path(&slow)]), (Some(0), "ok\n".to_string()));
    for command in [&["lab", "check", &path(&bad)][..], &["lab", "run", "calm", &path(&bad)]] {
        let (code, output) = run(command);
        assert!(
            code == Some(1) && output.contains("servers.cores is 0: a whole number from 1 to 256"),
            "{output}"
        );
    }
    let (code, output) = run(&["lab", "run", "nothing"]);
    assert!(code == Some(1) && output.contains("\"nothing\" is no scenario"), "{output}");
    let out = sprucehatch(&["--json", "lab", "run", &path(&base), "--seeds", "3", "--first", "5"]);
    let lines: Vec<Value> =
        text(&out).lines().map(|l| serde_json::from_str(l).expect("a line of JSON")).collect();
    let seeds: Vec<u64> = lines.iter().map(|l| l["seed"].as_u64().expect("a seed")).collect();
    assert_eq!(seeds, [5, 6, 7]);
    assert!(lines.iter().all(|l| l["worth"].as_f64() > Some(0.9)), "{lines:?}");
    let (code, reported) = json(&["lab", "compare", &path(&base), &path(&slow), "--seeds", "4"]);
    let p99 = reported
        .as_array()
        .and_then(|a| a.iter().find(|f| f["figure"] == "p99 ms"))
        .expect("p99 is compared");
    assert!(code == Some(0) && p99["difference_95"][0].as_f64() > Some(20.0), "three times the work: {p99}");
    let (_, same) = json(&["lab", "compare", &path(&base), &path(&base), "--seeds", "2"]);
    assert_eq!(same[0]["difference_95"], serde_json::json!([0.0, 0.0]));
    [base, slow, bad].iter().for_each(|path| fs::remove_file(path).expect("the path exists"));
}

#[test]
fn experiment_is_played_resumed_after_a_stop_and_written_as_a_page() {
    let base = scenario(|t| t);
    let experiment = format!(
        "name = \"work\"\nquestion = \"Does <more> work take longer?\"\nbase = \"{}\"\nseeds = 3\n\
         [[variants]]\nname = \"as it is\"\n\
         [[variants]]\nname = \"more\"\nset = {{ \"classes.*.work_ms\" = 60, \"servers.count\" = 40 }}\n",
        base.display()
    );
    let (file, dir) = (file("toml", &experiment), folder());
    let (path, to) = (file.to_str().expect("text"), dir.to_str().expect("text"));
    let (code, output) = run(&["lab", "experiment", path, "--to", to]);
    assert!(code == Some(0) && output.contains("as it is") && output.contains("work.html"), "{output}");
    let plays = |dir: &std::path::Path| fs::read_to_string(dir.join("work.jsonl")).expect("plays");
    let whole = plays(&dir);
    let page = fs::read_to_string(dir.join("work.html")).expect("a page");
    assert!(
        page.matches("<svg").count() >= 10
            && page.contains("Does &lt;more&gt; work")
            && !page.contains("<script")
    );
    let csv = fs::read_to_string(dir.join("work.csv")).expect("a table");
    assert_eq!(csv.lines().count(), 7, "{csv}");
    // Simulates a run that stopped within a line, after another line for a scenario that has changed since.
    let lines: Vec<&str> = whole.lines().collect();
    let old = lines[1].replace("\"scenario\":", "\"scenario\":1");
    let stopped = format!("{}\n{old}\n{}", lines[0], &lines[2][..40]);
    fs::write(dir.join("work.jsonl"), stopped).expect("written");
    assert_eq!(run(&["lab", "experiment", path, "--to", to]).0, Some(0));
    let sorted = |text: &str| {
        let mut lines: Vec<String> = text.lines().map(str::to_string).collect();
        lines.sort();
        lines
    };
    assert_eq!(sorted(&plays(&dir)), sorted(&whole), "the same plays as without a stop");
    assert_eq!(fs::read_to_string(dir.join("work.csv")).expect("a table"), csv);
    // A run of a complete experiment plays nothing again.
    let before = fs::metadata(dir.join("work.jsonl")).and_then(|m| m.modified()).expect("a time");
    assert_eq!(run(&["lab", "experiment", path, "--to", to]).0, Some(0));
    assert!(fs::metadata(dir.join("work.jsonl")).and_then(|m| m.modified()).expect("a time") >= before);
    for (from, to, reported) in [
        ("servers.count\" = 40", "servers.count\" = 0", "variants[1]: servers.count is 0: a whole number"),
        ("classes.*.work_ms", "classes.9.work_ms", "is no place of"),
        ("name = \"more\"", "name = \"as it is\"", "variants[1].name is \"as it is\": each name once"),
        ("name = \"work\"", "name = \"../work\"", "name is \"../work\": letters, digits"),
        ("servers.count", "servers.size", "servers.size is no key here"),
    ] {
        let bad = gateway_test_support::file("toml", &experiment.replace(from, to));
        let (code, output) = run(&["lab", "experiment", bad.to_str().expect("text")]);
        assert!(code == Some(1) && output.contains(reported), "{reported} in {output}");
        fs::remove_file(bad).expect("the path exists");
    }
    fs::remove_dir_all(dir).expect("the path exists");
    [base, file].iter().for_each(|path| fs::remove_file(path).expect("the path exists"));
}

const TRIAL: &str = r#"
name = "small"
claim = "A server dies and a link is cut one way, and each request gets its answer"
seconds = 5
zones = ["a", "b"]
[gateways]
count = 4
[servers]
count = 6
cores = 8
cold_s = 1
cold_from = 0.5
[[classes]]
name = "look"
work_ms = 5
spread = "fixed"
aim_ms = 800
deadline_ms = 2000
[[plans]]
name = "basic"
customers = 20
demand = 3
rate = 8
depth = 16
spread = 2
[[faults]]
kind = "kill"
at_s = 1.5
for_s = 1.5
share = 0.3
[[faults]]
kind = "cut"
link = "zone a except n2 -> zone b"
at_s = 2
for_s = 1.5
[[faults]]
kind = "restart"
at_s = 2.5
share = 0.25
[[faults]]
kind = "pause"
at_s = 3
for_s = 1
share = 0.25
"#;

#[test]
fn trial_with_faults_keeps_the_rules_and_leaves_nothing_behind() {
    for registry in ["false", "true"] {
        let file = file("toml", &format!("{TRIAL}[list]\nregistry = {registry}\n"));
        let child = Command::new(program("sprucehatch"))
            .args(["--json", "trial", "run", file.to_str().expect("a path")])
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let pid = child.id();
        let out = child.wait_with_output().expect("the program ends");
        // On a busy machine the figures may be void, but no rule may be broken.
        let reported: Value =
            serde_json::from_slice(&out.stdout).unwrap_or_else(|e| panic!("{e}: {}", text(&out)));
        assert_eq!(reported["breach"], Value::Null, "{}", text(&out));
        assert!(matches!(out.status.code(), Some(0 | 3)), "{}", text(&out));
        let figure = |name: &str| reported["trial"][name].as_u64().unwrap_or(0);
        assert!(figure("requests") > 100 && figure("on_time") * 2 > figure("requests"), "{reported}");
        assert_eq!(
            reported["trial"]["ready_s"].as_array().map(Vec::len),
            Some(5),
            "four starts and one restart"
        );
        let folder = std::env::temp_dir().join(format!("sprucehatch-trial-{pid}"));
        assert!(!folder.exists() && !runs_from(&folder), "files or processes are left behind");
    }
}

/// Eight gateways and four servers. For three seconds all servers are four times slower, one of them rejects
/// all requests, and half of the gateways cannot reach server s-1. Clients repeat failed requests.
const STORM: &str = r#"
name = "small-storm"
claim = "Gateways repeat little of what servers turn away, and bring no wave after it"
seconds = 7
zones = ["a", "b"]
[gateways]
count = 8
[servers]
count = 4
cores = 2
waiting = 4
[[classes]]
name = "look"
work_ms = 20
aim_ms = 400
deadline_ms = 1500
[[plans]]
name = "basic"
customers = 40
demand = 5
rate = 20
depth = 40
spread = 4
[clients]
repeats = 6
pause_ms = 100
heeds = 0
[[faults]]
kind = "slow"
at_s = 2
for_s = 3
factor = 4
[[faults]]
kind = "refuse"
at_s = 2
for_s = 3
share = 0.25
[[faults]]
kind = "cut"
link = "50% of gateways -> s-1"
at_s = 2
for_s = 3
"#;

#[test]
fn gateways_as_processes_retry_little_of_what_overloaded_servers_reject() {
    let file = file("toml", STORM);
    let out = Command::new(program("sprucehatch"))
        .args(["--json", "trial", "run", file.to_str().expect("a path")])
        .output()
        .expect("the program runs");
    let reported: Value =
        serde_json::from_slice(&out.stdout).unwrap_or_else(|e| panic!("{e}: {}", text(&out)));
    assert_eq!(reported["breach"], Value::Null, "{}", text(&out));
    // Sums over the seconds up to the end of the faults: attempts, first attempts, rejected attempts.
    let sum = |column: usize| -> u64 {
        (0..5).map(|second| reported["trial"]["flow"][second][column].as_u64().unwrap_or(0)).sum()
    };
    let (all, first, rejected) = (sum(0), sum(1), sum(2));
    assert!(first > 100 && rejected > 10, "{all} attempts, {first} first attempts, {rejected} rejected");
    // Each gateway starts with a retry budget of up to 1.2 retries and adds a fifth of its first attempts.
    assert!(all - first <= first / 5 + 10, "{all} attempts, {first} first attempts, {rejected} rejected");
}

/// Whether the command line of any running process contains the folder's path.
fn runs_from(folder: &std::path::Path) -> bool {
    let name = folder.to_str().expect("a path");
    let all = fs::read_dir("/proc").expect("processes").filter_map(Result::ok);
    all.filter_map(|p| fs::read(p.path().join("cmdline")).ok())
        .any(|line| String::from_utf8_lossy(&line).contains(name))
}

#[test]
fn trial_reports_wrong_keys_and_ends_all_processes_when_stopped() {
    let trial_file = |from: &str, to: &str| file("toml", &TRIAL.replace(from, to));
    for (from, to, why) in [
        ("zone a except n2 -> zone b", "zone a -> moon", "faults[1].link"),
        ("at_s = 2.5", "at_s = -1", "faults[2].at_s"),
        ("\"pause\"", "\"rolling\"", "faults[3] restarts gateways while faults[2]"),
        ("count = 6", "count = 200", "servers.count is 200"),
    ] {
        let (code, reported) = run(&["trial", "run", trial_file(from, to).to_str().expect("a path")]);
        assert!(code == Some(1) && reported.contains(why), "{why}: {reported}");
    }
    let file = trial_file("seconds = 5", "seconds = 60");
    let mut child = Command::new(program("sprucehatch"))
        .args(["trial", "run", file.to_str().expect("a path")])
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let folder = std::env::temp_dir().join(format!("sprucehatch-trial-{}", child.id()));
    let limit = Instant::now() + Duration::from_secs(20);
    while !runs_from(&folder) && Instant::now() < limit {
        std::thread::sleep(Duration::from_millis(10));
    }
    let pid = child.id().to_string();
    Command::new("kill").args(["-INT", &pid]).status().expect("a signal");
    assert!(!child.wait().expect("the program ends").success());
    assert!(!folder.exists() && !runs_from(&folder), "files or processes are left behind");
}

/// Runs trials with a faulty gateway program in place of the real one.
#[test]
fn trial_detects_each_fault_of_a_faulty_gateway_and_a_failed_start() {
    let programs = folder();
    let link = |to: &str| {
        let _ = fs::remove_file(programs.join("sprucehatch-gateway"));
        std::os::unix::fs::symlink(to, programs.join("sprucehatch-gateway")).expect("a link");
    };
    link(program("examples/spoilt-gateway").to_str().expect("a path"));
    let plain =
        TRIAL.split("[[faults]]").next().expect("the scenario").replace("seconds = 5", "seconds = 1.5");
    let drained = format!("{plain}[[faults]]\nkind = \"release\"\nat_s = 0\nfor_s = 0.1\n");
    // Work of 600 ms keeps the first attempt in flight when the second one is sent.
    let long = plain.replace("work_ms = 5", "work_ms = 600");
    let once = plain.replace("work_ms = 5", "work_ms = 5\neffect = \"unsafe\"");
    for (fault, scenario, rule) in [
        ("", &plain, ""),
        ("silent", &plain, "OneAnswer"),
        ("invented", &plain, "Invented"),
        ("twice", &long, "Attempts"),
        ("again", &once, "Effects"),
        ("", &drained, "Drains"),
    ] {
        let scenario = file("toml", scenario);
        let out = Command::new(program("sprucehatch"))
            .env("SPOILT", fault)
            .args(["trial", "run", scenario.to_str().expect("a path")])
            .args(["--programs", programs.to_str().expect("a path")])
            .output()
            .expect("the program runs");
        let reported = text(&out);
        if rule.is_empty() {
            assert!(reported.contains("rules kept"), "{reported}");
        } else {
            let breach = format!("rule {rule} is broken");
            assert!(reported.contains(&breach) && out.status.code() == Some(1), "{fault}: {reported}");
        }
    }
    // A gateway program that exits at once, and one that does not exist.
    let scenario = file("toml", &plain);
    for (to, why) in [("/bin/false", "ended with"), ("/nowhere", "sprucehatch-gateway")] {
        link(to);
        let arguments = ["trial", "run", scenario.to_str().expect("a path"), "--programs"];
        let (code, reported) = run(&[&arguments[..], &[programs.to_str().expect("a path")]].concat());
        assert!(code == Some(1) && reported.contains(why), "{reported}");
    }
    fs::remove_dir_all(programs).expect("the path exists");
}
