//! Which way arrows point: between the gateway's modules, and from its program to libraries.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

/// The gateway's modules, each with those that it uses outside its tests.
fn modules() -> BTreeMap<String, BTreeSet<String>> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let files = fs::read_dir(folder).expect("the sources").map(|f| f.expect("a file").path());
    let rust = files.filter(|f| f.extension().is_some_and(|e| e == "rs"));
    let arrows = |text: &str| {
        let code = text.split("#[cfg(test)]\nmod tests").next().unwrap_or_default();
        let used = code.split("crate::").skip(1);
        used.map(|rest| rest.chars().take_while(|c| c.is_ascii_lowercase() || *c == '_').collect()).collect()
    };
    rust.map(|f| {
        let name = f.file_stem().expect("a name").to_string_lossy().into_owned();
        let text = fs::read_to_string(&f).expect("text");
        (name, arrows(&text))
    })
    .collect()
}

#[test]
fn no_module_of_the_gateway_leads_back_to_itself() {
    let mut left = modules();
    assert!(left.len() > 10 && left["server"].contains("driver"), "the sources are read: {left:?}");
    while !left.is_empty() {
        let names: BTreeSet<String> = left.keys().cloned().collect();
        let before = left.len();
        left.retain(|_, used| used.iter().any(|u| names.contains(u)));
        assert!(left.len() < before, "these import each other in a circle: {left:?}");
    }
}

/// What the operators' program, the lab or tests bring in for themselves.
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
    "lab",
];

#[test]
fn no_heavy_crate_reaches_the_gateways_binary() {
    let mut cargo = std::process::Command::new(env!("CARGO"));
    cargo.args(["tree", "--locked", "--offline", "-p", "granitethread", "-e", "normal", "--prefix", "none"]);
    let out = cargo.current_dir(env!("CARGO_MANIFEST_DIR")).output().expect("cargo runs");
    let tree = String::from_utf8(out.stdout).expect("text");
    let used: BTreeSet<&str> = tree.lines().filter_map(|line| line.split(' ').next()).collect();
    assert!(out.status.success() && used.contains("hyper") && used.contains("shell"), "{tree}");
    let heavy: Vec<&&str> = HEAVY.iter().filter(|name| used.contains(**name)).collect();
    assert!(heavy.is_empty(), "{heavy:?}");
}
