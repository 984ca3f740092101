//! Read-only inspection of a directory: verifies the checksums of every file and reports the state that a
//! start would recover.

use crate::directory::Directory;
use crate::error::StorageError;
use crate::identity;
use crate::names::{self, FileKind};
use crate::record::Record;
use crate::recovery;
use crate::segment::{self, SegmentContent, SegmentEnd};
use crate::snapshot;
use crate::types::{HardState, Identity, StoredEntry, StoredSnapshot};

/// Content of a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FileContent {
    /// The identity of the node.
    Identity(Identity),
    /// A snapshot.
    Snapshot {
        /// Index of the last entry that the snapshot covers.
        index: u64,
        /// Term of the entry at `index`.
        term: u64,
        /// Number of the first segment that is needed together with the snapshot.
        first_segment: u64,
        /// Size of the state in bytes.
        data_bytes: usize,
    },
    /// A segment of the log.
    Segment {
        /// Number of complete records.
        records: usize,
        /// Indexes of the first and the last entry in the order of writing; `None` if there are no entries.
        entries: Option<(u64, u64)>,
        /// How the readable part of the segment ends.
        end: SegmentHealth,
    },
    /// An incomplete file that was being written. The next start removes it.
    Temporary,
    /// A file that does not belong to the store.
    Foreign,
    /// The file cannot be read or its checksum is wrong.
    Damaged(&'static str),
}

/// How the readable part of a segment ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SegmentHealth {
    /// The file ends after the last record.
    Complete,
    /// The bytes from `offset` on are an incomplete write that was never reported durable. This is normal in
    /// the last segment after a power loss.
    Torn {
        /// Where the readable part ends.
        offset: u64,
    },
    /// The bytes from `offset` on were durable and are damaged.
    Damaged {
        /// Where the readable part ends.
        offset: u64,
    },
}

/// A file of the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InspectedFile {
    /// Name of the file.
    pub name: String,
    /// Size of the file.
    pub bytes: u64,
    /// Content of the file.
    pub content: FileContent,
}

/// State that a start would recover.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InspectedLog {
    /// The node that owns the disk; `None` if the first start did not complete.
    pub identity: Option<Identity>,
    /// The last durable term and vote.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<StoredSnapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<StoredEntry>,
    /// Whether a start would truncate a torn tail of the last segment.
    pub truncates_torn_tail: bool,
    /// Files that a start would remove because they are not needed.
    pub leftovers: Vec<String>,
}

/// Result of the inspection of a directory.
#[derive(Debug)]
pub struct Inspection {
    /// All files, sorted by name.
    pub files: Vec<InspectedFile>,
    /// State that a start would recover, or the error with which the start would fail.
    pub log: Result<InspectedLog, StorageError>,
}

/// Reads all files of a directory without changing any.
///
/// If a running process changes the directory during the inspection, the result may be inconsistent and the
/// inspection must be repeated.
///
/// # Errors
///
/// Fails only if the directory cannot be listed. Problems of single files are part of the result.
pub fn inspect<D: Directory>(directory: &D) -> Result<Inspection, StorageError> {
    let mut names =
        directory.list().map_err(|error| StorageError::from_io("list", "the data folder", error))?;
    names.sort_unstable();
    let files = names.into_iter().map(|name| inspect_file(directory, name)).collect();
    Ok(Inspection { files, log: inspect_log(directory) })
}

fn inspect_log<D: Directory>(directory: &D) -> Result<InspectedLog, StorageError> {
    let scan = recovery::scan(directory)?;
    Ok(InspectedLog {
        identity: scan.identity,
        hard_state: scan.replay.hard_state,
        snapshot: scan.snapshot.map(|found| found.snapshot),
        entries: scan.replay.entries,
        truncates_torn_tail: scan.has_torn_tail,
        leftovers: scan.leftovers,
    })
}

fn inspect_file<D: Directory>(directory: &D, name: String) -> InspectedFile {
    let kind = names::classify(&name);
    let Ok(bytes) = directory.read(&name) else {
        // A subdirectory, or a file without read permission.
        let content =
            if kind == FileKind::Foreign { FileContent::Foreign } else { FileContent::Damaged("unreadable") };
        return InspectedFile { name, bytes: 0, content };
    };
    let content = match kind {
        FileKind::Identity => inspect_identity(&bytes),
        FileKind::Snapshot(index) => inspect_snapshot(index, &bytes),
        FileKind::Segment(number) => inspect_segment(segment::read(number, &bytes)),
        FileKind::Temporary => FileContent::Temporary,
        FileKind::Foreign => FileContent::Foreign,
    };
    InspectedFile { name, bytes: bytes.len() as u64, content }
}

fn inspect_identity(bytes: &[u8]) -> FileContent {
    identity::decode(bytes).map_or(FileContent::Damaged("wrong checksum"), FileContent::Identity)
}

fn inspect_snapshot(index: u64, bytes: &[u8]) -> FileContent {
    match snapshot::decode(bytes) {
        Some(found) if found.snapshot.index == index => FileContent::Snapshot {
            index,
            term: found.snapshot.term,
            first_segment: found.first_segment,
            data_bytes: found.snapshot.data.len(),
        },
        Some(_) => FileContent::Damaged("its name is of another index"),
        None => FileContent::Damaged("wrong checksum"),
    }
}

fn inspect_segment(content: SegmentContent) -> FileContent {
    let indexes = content.records.iter().filter_map(|record_at| match &record_at.record {
        Record::Entry(entry) => Some(entry.index),
        Record::HardState(_) | Record::Truncation(_) => None,
    });
    let entries = indexes.fold(None, |range: Option<(u64, u64)>, index| {
        Some((range.map_or(index, |(first, _)| first), index))
    });
    let end = match content.end {
        SegmentEnd::Complete => SegmentHealth::Complete,
        SegmentEnd::Torn { offset } => SegmentHealth::Torn { offset: offset as u64 },
        SegmentEnd::Damaged { offset, .. } => SegmentHealth::Damaged { offset: offset as u64 },
    };
    FileContent::Segment { records: content.records.len(), entries, end }
}
