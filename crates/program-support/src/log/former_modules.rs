//! Maps the module paths of renamed crates: settings and calls with former paths still work.

use super::level::Level;
use super::rate_limit::TARGET;
use std::collections::BTreeMap;

/// The former first segment of a module path and the current one.
const FORMER_MODULES: [(&str, &str); 6] = [
    ("granitethread", "sprucehatch_gateway"),
    ("granitehub", "gateway_decisions"),
    ("granitehub_protocol", "gateway_protocol"),
    ("granitehub_registry", "sprucehatch_registry"),
    ("granitehub_adapter", "sprucehatch_simulator_adapter"),
    ("shell", "program_support"),
];

/// A former module path that was found in settings or in a call, and the current paths for it.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct RenamedModule {
    pub(super) former: String,
    pub(super) current: Vec<String>,
}

impl RenamedModule {
    /// Logs a warning that the current path should be used.
    pub(super) fn warn(&self) {
        let current = self.current.join(", ");
        tracing::warn!(
            target: TARGET,
            former = self.former,
            current,
            "a module of the log has a former name: its present one is wanted"
        );
    }
}

/// Returns the current paths for a former path, or `None` if `path` is not a former path.
///
/// Only the first segment is compared. A level applies to all paths that begin with its path, so a crate name
/// alone also stands for the crates whose former names begin with it.
pub(super) fn current_paths(path: &str) -> Option<RenamedModule> {
    let (first, rest) = match path.split_once("::") {
        Some((first, rest)) => (first, Some(rest)),
        None => (path, None),
    };
    let (_, exact) = FORMER_MODULES.iter().find(|(former, _)| *former == first)?;
    let current = match rest {
        Some(rest) => vec![format!("{exact}::{rest}")],
        None => {
            let begun = FORMER_MODULES.iter().filter(|(former, _)| former.starts_with(first));
            begun.map(|(_, current)| current.to_string()).collect()
        }
    };
    Some(RenamedModule { former: path.to_string(), current })
}

/// Replaces former paths by current ones and returns the replaced paths. If several paths set the level of
/// one current path, a current path takes precedence over former ones, and a longer former path over a
/// shorter one.
pub(super) fn replace_former_paths(modules: &mut BTreeMap<String, Level>) -> Vec<RenamedModule> {
    let mut renamed: Vec<RenamedModule> = modules.keys().filter_map(|path| current_paths(path)).collect();
    // Longest first: `granitehub_protocol` is more specific for `gateway_protocol` than `granitehub`.
    renamed.sort_by_key(|module| std::cmp::Reverse(module.former.len()));
    for module in &renamed {
        let Some(level) = modules.remove(&module.former) else { continue };
        for path in &module.current {
            modules.entry(path.clone()).or_insert(level);
        }
    }
    renamed
}
