//! Golden tests of names that others rely on: setting keys, metrics, status fields and the command line.

use gateway_test_support::golden::{assert_golden, keys, schema_rules};
use gateway_test_support::{ask, list, Backend, Discovery, Gateway, Setup};
use std::collections::BTreeSet;
use std::process::Command;

fn golden(name: &str, text: &str) {
    assert_golden(env!("CARGO_MANIFEST_DIR"), name, text);
}

/// Returns the program's standard output.
fn printed(arguments: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sprucehatch-gateway"));
    for variable in ["LB_CONFIG", "LB_LISTEN", "LB_DISCOVERY", "LB_OPS", "LB_NAME", "LB_INHERITED_FD"] {
        command.env_remove(variable);
    }
    let output = command.args(arguments).output().expect("the program runs");
    assert!(output.status.success(), "{arguments:?}");
    String::from_utf8(output.stdout).expect("text")
}

#[test]
fn settings_keep_their_keys_and_bounds() {
    let schema = serde_json::from_str(&printed(&["print-schema"])).expect("JSON");
    golden("settings_schema.json", &schema_rules(&schema));
}

#[test]
fn settings_keep_their_defaults() {
    golden("defaults.toml", &printed(&["print-defaults"]));
}

#[test]
fn command_line_help_is_unchanged() {
    golden("help.txt", &printed(&["--help"]));
}

/// Starts a gateway that has served a request.
fn gateway_after_request() -> (Gateway, Backend, Discovery) {
    let backend = Backend::good();
    let discovery = Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")]));
    let gateway = Gateway::with(&discovery, Setup { ops: true, ..Setup::default() });
    discovery.wait_for_calls(2);
    assert_eq!(gateway.client().ask(&ask("quote").text()).status(), 200);
    // The end of a request is counted when its answer has been sent.
    while gateway.figure("/outstanding") > 0 {
        std::thread::yield_now();
    }
    (gateway, backend, discovery)
}

fn body(gateway: &Gateway, path: &str) -> String {
    let answer = gateway.call("GET", path);
    assert_eq!(answer.status(), 200, "{path}");
    String::from_utf8(answer.body).expect("text")
}

/// Returns metric families with their types, and samples with their label names, without values.
fn names(text: &str) -> String {
    let mut names = BTreeSet::new();
    for line in text.lines().filter(|line| !line.starts_with("# HELP")) {
        let sample = line.split(' ').next().unwrap_or_default();
        match (line.strip_prefix("# "), sample.split_once('{')) {
            (Some(comment), _) => names.insert(comment.to_string()),
            (None, None) => names.insert(sample.to_string()),
            (None, Some((name, labels))) => {
                let labels = labels.trim_end_matches('}').split(',');
                let labels: Vec<_> = labels.filter_map(|l| Some(l.split_once('=')?.0)).collect();
                names.insert(format!("{name}{{{}}}", labels.join(",")))
            }
        };
    }
    names.into_iter().map(|name| name + "\n").collect()
}

#[test]
fn metrics_and_status_keep_their_names() {
    let (gateway, _backend, _discovery) = gateway_after_request();
    golden("metrics_openmetrics.txt", &names(&body(&gateway, "/-/metrics?format=openmetrics")));
    for (path, name) in
        [("/-/metrics", "metrics_json.txt"), ("/-/status", "status.txt"), ("/-/log", "log.txt")]
    {
        let document = serde_json::from_str(&body(&gateway, path)).expect("JSON");
        golden(name, &keys(&document));
    }
}
