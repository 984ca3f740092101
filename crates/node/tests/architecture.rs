//! Checks that the files of a crate do not import each other in a cycle.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

/// Crates without import cycles. A crate is added once it has none, and no crate is removed.
const ACYCLIC_CRATES: &[&str] = &[
    "admin",
    "configuration",
    "consensus",
    "control",
    "ctl",
    "data-plane",
    "demo",
    "gateway-cli",
    "gateway-protocol",
    "log-records",
    "messages",
    "mqos",
    "node",
    "process-signals",
    "program-support",
    "registry",
    "scheduler",
    "simulator-adapter",
    "storage",
];

/// The files that each file of a crate imports from the same crate, by module path.
type Imports = BTreeMap<String, BTreeSet<String>>;

/// Reads the text of each file below `folder` into `sources`, by module path. `a/mod.rs` is the module `a`;
/// files named `tests` are left out.
fn read_sources(folder: &Path, parent: &str, sources: &mut BTreeMap<String, String>) {
    for entry in fs::read_dir(folder).expect("the sources are there") {
        let path = entry.expect("the folder is readable").path();
        let stem = path.file_stem().expect("a file has a name").to_string_lossy().into_owned();
        let module = if parent.is_empty() { stem.clone() } else { format!("{parent}::{stem}") };
        if path.is_dir() {
            read_sources(&path, &module, sources);
        } else if path.extension().is_some_and(|extension| extension == "rs") && stem != "tests" {
            let module = if stem == "mod" { parent.to_owned() } else { module };
            sources.insert(module, fs::read_to_string(&path).expect("a source is text"));
        }
    }
}

fn is_identifier_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || c == '_'
}

/// Expands the path at the beginning of a text: `a::{b, c::d}` into `a::b` and `a::c::d`.
fn expand(text: &str) -> Vec<String> {
    let path: String = text.chars().take_while(|c| is_identifier_char(*c) || *c == ':').collect();
    let Some(group) = text[path.len()..].strip_prefix('{') else { return vec![path] };
    let mut depth = 0;
    let (mut items, mut start) = (Vec::new(), 0);
    for (at, c) in group.char_indices() {
        match c {
            '{' => depth += 1,
            '}' if depth > 0 => depth -= 1,
            '}' => {
                items.push(&group[start..at]);
                break;
            }
            ',' if depth == 0 => {
                items.push(&group[start..at]);
                start = at + 1;
            }
            _ => {}
        }
    }
    let expanded = items.into_iter().flat_map(|item| expand(item.trim()));
    expanded.map(|item| format!("{path}{item}")).collect()
}

/// Returns the paths in the code that follow a prefix such as `crate::`. Skips occurrences where the prefix
/// is the end of a longer path or name, and visibilities such as `pub(in crate::a)`, which import nothing.
fn paths_after(code: &str, prefix: &str) -> Vec<String> {
    let begins_path = |at: &usize| {
        let before = &code[..*at];
        let continues = before.ends_with(|c: char| is_identifier_char(c) || c == ':' || c == '$');
        !continues && !before.ends_with("pub(in ")
    };
    let found = code.match_indices(prefix).map(|(at, _)| at).filter(begins_path);
    found.flat_map(|at| expand(&code[at + prefix.len()..])).collect()
}

fn parent_of(module: &str) -> &str {
    module.rsplit_once("::").map_or("", |(parent, _)| parent)
}

/// Returns the absolute paths, without `crate::`, that a module uses: through `crate::`, `super::` or
/// `self::`, or from a module that it declares itself.
fn absolute_paths(module: &str, code: &str) -> Vec<String> {
    let is_root = module == "lib" || module == "main";
    let join =
        |parent: &str, path: String| if parent.is_empty() { path } else { format!("{parent}::{path}") };
    let own = if is_root { "" } else { module };
    let mut paths = paths_after(code, "crate::");
    paths.extend(paths_after(code, "super::").iter().map(|path| {
        let mut base = parent_of(own);
        let mut rest = path.as_str();
        while let Some(above) = rest.strip_prefix("super::") {
            (base, rest) = (parent_of(base), above);
        }
        join(base, rest.to_owned())
    }));
    paths.extend(paths_after(code, "self::").into_iter().map(|path| join(own, path)));
    let declarations = code.lines().filter_map(|line| line.trim_start_matches("pub ").strip_prefix("mod "));
    for child in declarations.filter_map(|rest| rest.strip_suffix(';')) {
        if !paths_after(code, &format!("{child}::")).is_empty() {
            paths.push(join(own, child.to_owned()));
        }
    }
    paths
}

/// Returns the imports of each file of the crate in `crates/NAME`.
fn imports(crate_name: &str) -> Imports {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(crate_name).join("src");
    let mut sources = BTreeMap::new();
    read_sources(&folder, "", &mut sources);
    let root = if sources.contains_key("lib") { "lib" } else { "main" };
    // The longest prefix of the path that is a file defines the item; without such a prefix the root file
    // does.
    let file = |path: String| {
        let ends = path.match_indices("::").map(|(at, _)| at).chain([path.len()]);
        let longest = ends.map(|end| &path[..end]).filter(|part| sources.contains_key(*part)).last();
        longest.unwrap_or(root).to_owned()
    };
    let imports_of = |module: &String, text: &String| -> BTreeSet<String> {
        let code: Vec<&str> = text.lines().filter(|line| !line.trim_start().starts_with("//")).collect();
        let files = absolute_paths(module, &code.join("\n")).into_iter().map(file);
        files.filter(|imported| imported != module).collect()
    };
    sources.iter().map(|(module, text)| (module.clone(), imports_of(module, text))).collect()
}

/// Returns the files that are part of an import cycle or lead to one.
fn cycles(mut remaining: Imports) -> Imports {
    loop {
        let names: BTreeSet<String> = remaining.keys().cloned().collect();
        let before = remaining.len();
        remaining.retain(|_, imported| imported.iter().any(|name| names.contains(name)));
        if remaining.len() == before {
            return remaining;
        }
    }
}

#[test]
fn acyclic_crates_have_no_import_cycles() {
    let crates: Vec<(&str, Imports)> = ACYCLIC_CRATES.iter().map(|name| (*name, imports(name))).collect();
    let found = crates.into_iter().map(|(name, imports)| (name, cycles(imports)));
    let found: Vec<(&str, Imports)> = found.filter(|(_, remaining)| !remaining.is_empty()).collect();
    assert!(found.is_empty(), "these files import each other in a cycle, or lead to one: {found:#?}");
}

#[test]
fn visibility_paths_are_not_imports() {
    assert_eq!(paths_after("pub(in crate::a) fn b() -> crate::c::D", "crate::"), ["c::D"]);
}

#[test]
fn imports_are_read() {
    let consensus = imports("consensus");
    assert!(consensus["node"].contains("role") && consensus["role"].contains("leadership"), "{consensus:?}");
    assert!(consensus["lib"].contains("message") && consensus["message"].contains("types"), "{consensus:?}");
    let storage = imports("storage");
    assert!(storage["model"].contains("model::state"), "imports of child modules: {storage:?}");
    assert!(storage["model::state"].contains("model::inode"), "imports of sibling modules: {storage:?}");
    assert!(storage["recovery"].contains("names"), "imports in groups: {storage:?}");
}

#[test]
fn cycles_are_detected() {
    let set = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect::<BTreeSet<String>>();
    let edges = [("a", set(&["b"])), ("b", set(&["c"])), ("c", set(&["b"])), ("d", set(&[]))];
    let remaining = cycles(edges.map(|(name, imported)| (name.to_owned(), imported)).into());
    assert_eq!(remaining.into_keys().collect::<Vec<_>>(), ["a", "b", "c"], "a leads to the cycle of b and c");
}

#[test]
fn paths_in_groups_are_expanded() {
    assert_eq!(expand("a::{b, c::{d, e}}; f"), ["a::b", "a::c::d", "a::c::e"]);
    assert_eq!(paths_after("use crate::a; x(my_crate::b, crate::c::D)", "crate::"), ["a", "c::D"]);
}
