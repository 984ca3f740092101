//! The deploy file lists every file that holds decisions, and these files are easy to read.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Maximum number of lines of a function, from its signature to its closing brace.
const MAX_FUNCTION_LINES: usize = 50;
const MAX_COLUMNS: usize = 110;
/// Files of the crate without decisions: interface types, settings, data structures and the crate root.
const WITHOUT_DECISIONS: [&str; 15] = [
    "interface.rs",
    "interface/events.rs",
    "interface/names.rs",
    "interface/requests.rs",
    "interface/servers.rs",
    "interface/settings.rs",
    "interface/shares.rs",
    "lib.rs",
    "settings.rs",
    "state.rs",
    "state/customer.rs",
    "state/request.rs",
    "state/server.rs",
    "state/snapshot.rs",
    "state/units.rs",
];
/// The file of the library `mqos` that the decisions use.
const SHARED: &str = "crates/mqos/src/deficits.rs";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn text(path: &str) -> String {
    fs::read_to_string(root().join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// The quoted paths in the `policy` list of the deploy file.
fn listed() -> BTreeSet<String> {
    let deploy = text("deploy/balancer.toml");
    let (_, after) = deploy.split_once("\npolicy = [").expect("a list of policy files");
    let (list, _) = after.split_once(']').expect("the end of the list");
    list.split('"').skip(1).step_by(2).map(str::to_owned).collect()
}

/// The paths of all source files below a folder of the repository.
fn sources(folder: &str) -> Vec<String> {
    let entries = fs::read_dir(root().join(folder)).expect("the folder can be read");
    let mut found = Vec::new();
    for entry in entries {
        let entry = entry.expect("the folder can be read");
        let path = format!("{folder}/{}", entry.file_name().to_string_lossy());
        if entry.path().is_dir() {
            found.extend(sources(&path));
        } else if path.ends_with(".rs") {
            found.push(path);
        }
    }
    found
}

/// The functions of a formatted source: the line of each signature, and its number of lines.
fn function_lengths(text: &str) -> Vec<(&str, usize)> {
    let lines: Vec<&str> = text.lines().collect();
    let mut found = Vec::new();
    for (at, line) in lines.iter().enumerate() {
        let code = line.trim_start();
        let is_function = code.starts_with("fn ") || code.starts_with("pub") && code.contains(" fn ");
        if !is_function || code.ends_with('}') {
            continue;
        }
        let end = format!("{}}}", &line[..line.len() - code.len()]);
        let length = lines[at..].iter().position(|line| *line == end).expect("a formatted function ends");
        found.push((code, length + 1));
    }
    found
}

#[test]
fn functions_and_lines_with_decisions_are_short() {
    let mut functions_seen = 0;
    for path in listed() {
        let text = text(&path);
        let long = text.lines().find(|line| line.chars().count() > MAX_COLUMNS);
        assert!(long.is_none(), "{path} has a line of more than {MAX_COLUMNS} characters: {long:?}");
        for (name, lines) in function_lengths(&text) {
            assert!(lines <= MAX_FUNCTION_LINES, "{path}: {lines} lines in {name}");
            functions_seen += 1;
        }
    }
    assert!(
        functions_seen > 50,
        "only {functions_seen} functions were found: this test does not parse the sources correctly"
    );
}

#[test]
fn deploy_file_lists_all_files_with_decisions() {
    let listed = listed();
    for path in sources("crates/gateway-decisions/src") {
        let without =
            WITHOUT_DECISIONS.iter().any(|name| path == format!("crates/gateway-decisions/src/{name}"));
        assert!(without != listed.contains(&path), "{path}: listed if and only if it holds decisions");
        assert!(!without || !text(&path).contains("impl Gateway"), "{path} holds decisions");
    }
    assert!(listed.contains(SHARED), "{SHARED} is used by the decisions");
}
