//! File names of a store.

/// Name of the identity file.
pub(crate) const IDENTITY: &str = "identity";
/// Suffix of files that are still being written.
pub(crate) const TEMPORARY_SUFFIX: &str = ".tmp";

const SEGMENT_PREFIX: &str = "segment-";
const SNAPSHOT_PREFIX: &str = "snapshot-";

/// Returns the file name of the segment with this number.
pub(crate) fn segment(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:020}")
}

/// Returns the file name of the snapshot up to this index.
pub(crate) fn snapshot(index: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{index:020}")
}

/// Returns the name under which a file is written before it is renamed to `name`.
pub(crate) fn temporary(name: &str) -> String {
    format!("{name}{TEMPORARY_SUFFIX}")
}

/// Kind of a file, determined by its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FileKind {
    Identity,
    /// The segment with this number.
    Segment(u64),
    /// The snapshot up to this index.
    Snapshot(u64),
    /// An incomplete file that was being written.
    Temporary,
    /// A file that does not belong to the store. The store never changes it.
    Foreign,
}

/// Determines the kind of the file with this name.
pub(crate) fn classify(name: &str) -> FileKind {
    if name == IDENTITY {
        return FileKind::Identity;
    }
    if let Some(stem) = name.strip_suffix(TEMPORARY_SUFFIX) {
        return match classify(stem) {
            FileKind::Foreign => FileKind::Foreign,
            _ => FileKind::Temporary,
        };
    }
    if let Some(number) = parse_numbered(name, SEGMENT_PREFIX) {
        return FileKind::Segment(number);
    }
    match parse_numbered(name, SNAPSHOT_PREFIX) {
        Some(index) => FileKind::Snapshot(index),
        None => FileKind::Foreign,
    }
}

fn parse_numbered(name: &str, prefix: &str) -> Option<u64> {
    let digits = name.strip_prefix(prefix)?;
    let number = digits.parse().ok()?;
    // Accepts only the zero-padded spelling, so that formatting the number gives the name of the file again.
    (format!("{number:020}") == digits).then_some(number)
}
