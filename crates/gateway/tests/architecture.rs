//! Checks of the dependencies between the gateway's modules, and of its program on libraries.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

/// The other files of the crate that each file uses, by module path. Files named `tests` are left out.
type Dependencies = BTreeMap<String, BTreeSet<String>>;

/// Collects the text of each file below `folder` by module path.
fn sources(folder: &Path, prefix: &str, found: &mut BTreeMap<String, String>) {
    for entry in fs::read_dir(folder).expect("the source folder") {
        let path = entry.expect("a file").path();
        let name = path.file_stem().expect("a name").to_string_lossy().into_owned();
        let module = format!("{prefix}{name}");
        if path.is_dir() {
            sources(&path, &format!("{module}::"), found);
        } else if path.extension().is_some_and(|e| e == "rs") && name != "tests" {
            found.insert(module, fs::read_to_string(&path).expect("text"));
        }
    }
}

fn is_identifier_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || c == '_'
}

/// Returns the paths after `crate::` in a file, with groups in braces expanded.
fn absolute_paths(code: &str) -> Vec<String> {
    let mut paths = Vec::new();
    for rest in code.split("crate::").skip(1) {
        let path: String = rest.chars().take_while(|c| is_identifier_char(*c) || *c == ':').collect();
        match rest[path.len()..].strip_prefix('{') {
            Some(group) => {
                let group = group.split('}').next().unwrap_or_default();
                assert!(!group.contains('{'), "nested braces are not supported: {group}");
                paths.extend(group.split(',').map(|name| format!("{path}{}", name.trim())));
            }
            None => paths.push(path),
        }
    }
    paths
}

/// Returns the submodules that a file declares and uses by relative path.
fn children_used(code: &str) -> Vec<String> {
    let declared = code.lines().filter_map(|line| line.trim_start_matches("pub ").strip_prefix("mod "));
    let declared = declared.filter_map(|rest| rest.strip_suffix(';'));
    let used = declared.filter(|name| {
        let marks = code.match_indices(&format!("{name}::")).map(|(at, _)| at).collect::<Vec<_>>();
        marks.into_iter().any(|at| !code[..at].ends_with(|c| is_identifier_char(c) || c == ':'))
    });
    used.map(str::to_string).collect()
}

/// Returns the files of the crate in `crates/NAME`, each with the files that it uses outside its tests.
fn modules(crate_name: &str) -> Dependencies {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(crate_name).join("src");
    let mut texts = BTreeMap::new();
    sources(&folder, "", &mut texts);
    let files: BTreeSet<String> = texts.keys().cloned().collect();
    let dependencies = |module: &String, text: &String| {
        let code: Vec<&str> = text.lines().filter(|line| !line.trim_start().starts_with("//")).collect();
        let code = code.join("\n");
        assert!(
            !code.contains("super::") && !code.contains("mod tests {"),
            "{module}: unsupported form of dependency"
        );
        let below = children_used(&code).into_iter().map(|name| match module.as_str() {
            "lib" | "main" => name,
            _ => format!("{module}::{name}"),
        });
        let paths = absolute_paths(&code).into_iter().chain(below);
        // The longest prefix that is a file; a path without one belongs to the root.
        let file = |path: String| {
            let ends = path.match_indices("::").map(|(at, _)| at).chain([path.len()]);
            let longest = ends.map(|end| &path[..end]).filter(|part| files.contains(*part)).last();
            longest.unwrap_or("lib").to_string()
        };
        paths.map(file).collect()
    };
    texts.iter().map(|(module, text)| (module.clone(), dependencies(module, text))).collect()
}

/// Fails if files use each other in a cycle.
fn assert_acyclic(mut left: Dependencies) {
    while !left.is_empty() {
        let names: BTreeSet<String> = left.keys().cloned().collect();
        let before = left.len();
        left.retain(|_, used| used.iter().any(|u| names.contains(u)));
        assert!(left.len() < before, "cyclic imports: {left:?}");
    }
}

#[test]
fn gateway_has_no_module_cycles() {
    let left = modules("gateway");
    assert!(left.len() > 10 && left["server"].contains("driver"), "the sources are read: {left:?}");
    assert!(left["driver::event_loop"].contains("driver::state"), "submodules in folders are read: {left:?}");
    assert!(left["driver"].contains("driver::clock"), "uses of submodules are read: {left:?}");
    assert_acyclic(left);
}

#[test]
fn simulation_and_process_trial_have_no_module_cycles() {
    let (lab, trial) = (modules("gateway-simulation"), modules("gateway-process-trial"));
    assert!(lab["customer"].contains("scenario") && trial["ledger"].is_empty(), "{lab:?}, {trial:?}");
    assert_acyclic(lab);
    assert_acyclic(trial);
}

#[test]
fn decisions_have_no_module_cycles() {
    let left = modules("gateway-decisions");
    assert!(left["decide::server_choice"].contains("decide::slow_start"), "the sources are read: {left:?}");
    assert!(left["interface::events"].contains("state"), "the interface's files are read: {left:?}");
    assert_acyclic(left);
}

/// Crates that only the operators' program, the simulation or tests need.
const HEAVY: [&str; 10] = [
    "clap_complete",
    "comfy-table",
    "indicatif",
    "jsonschema",
    "plotters",
    "proptest",
    "rand",
    "rayon",
    "regex",
    "gateway-simulation",
];

#[test]
fn gateway_binary_has_no_heavy_dependencies() {
    let mut cargo = std::process::Command::new(env!("CARGO"));
    cargo.args([
        "tree",
        "--locked",
        "--offline",
        "-p",
        "sprucehatch-gateway",
        "-e",
        "normal",
        "--prefix",
        "none",
    ]);
    let out = cargo.current_dir(env!("CARGO_MANIFEST_DIR")).output().expect("cargo runs");
    let tree = String::from_utf8(out.stdout).expect("text");
    let used: BTreeSet<&str> = tree.lines().filter_map(|line| line.split(' ').next()).collect();
    assert!(out.status.success() && used.contains("hyper") && used.contains("program-support"), "{tree}");
    let heavy: Vec<&&str> = HEAVY.iter().filter(|name| used.contains(**name)).collect();
    assert!(heavy.is_empty(), "{heavy:?}");
}
