//! Key paths for error messages and lists of changes, such as `pool.idle_ms`.

/// Returns the path of `key` under `path`; an empty path is the root.
pub(super) fn join(path: &str, key: &str) -> String {
    // A key with other characters is quoted and escaped, so that the error stays on one line.
    let is_bare = key.chars().all(|c| c.is_ascii_alphanumeric() || "_-".contains(c)) && !key.is_empty();
    let key = if is_bare { key.to_string() } else { format!("{key:?}") };
    match path {
        "" => key,
        path => format!("{path}.{key}"),
    }
}
