//! Reads the files of a store and determines the necessary repairs. Does not change any file.

use crate::directory::Directory;
use crate::error::StorageError;
use crate::identity;
use crate::names::{self, FileKind};
use crate::replay::Replay;
use crate::segment::{self, SegmentContent, SegmentEnd};
use crate::snapshot::{self, SnapshotFile};
use crate::types::Identity;

/// Files of the store, grouped by kind.
#[derive(Default)]
struct Listing {
    /// Whether there is an identity file.
    identity: bool,
    /// Numbers in ascending order.
    segments: Vec<u64>,
    /// Indexes in ascending order.
    snapshots: Vec<u64>,
    temporary: Vec<String>,
}

/// Decoded content and size of a file.
struct DecodedFile<T> {
    content: T,
    bytes: u64,
}

/// Recovered state, and the repairs that are necessary before the first write.
pub(crate) struct Scan {
    pub identity: Option<Identity>,
    pub identity_bytes: u64,
    pub snapshot: Option<SnapshotFile>,
    pub snapshot_bytes: u64,
    pub replay: Replay,
    /// Whether the last segment has bytes after its last complete record, which must be truncated.
    pub has_torn_tail: bool,
    /// Files that are not needed and must be removed.
    pub leftovers: Vec<String>,
}

/// Reads and verifies all needed files of the directory.
pub(crate) fn scan<D: Directory>(directory: &D) -> Result<Scan, StorageError> {
    let listing = list(directory)?;
    let identity = read_identity(directory, &listing)?;
    let snapshot = read_newest_snapshot(directory, &listing)?;
    let first_segment = snapshot.as_ref().map_or(FIRST_SEGMENT, |found| found.content.first_segment);
    let snapshot_index = snapshot.as_ref().map_or(0, |found| found.content.snapshot.index);

    let mut scan = Scan {
        identity_bytes: identity.as_ref().map_or(0, |found| found.bytes),
        identity: identity.map(|found| found.content),
        snapshot_bytes: snapshot.as_ref().map_or(0, |found| found.bytes),
        snapshot: snapshot.map(|found| found.content),
        replay: Replay::new(snapshot_index),
        has_torn_tail: false,
        leftovers: collect_leftovers(&listing, first_segment),
    };
    let needed = needed_segments(&listing, first_segment)?;
    for number in &needed {
        scan.read_segment(directory, *number, Some(number) == needed.last())?;
    }
    let must_have_segment = scan.identity.is_some() || scan.snapshot.is_some();
    if must_have_segment && scan.replay.segments.is_none() {
        return Err(StorageError::Missing { file: names::segment(first_segment) });
    }
    Ok(scan)
}

/// Number of the first segment of a new store.
pub(crate) const FIRST_SEGMENT: u64 = 1;

fn list<D: Directory>(directory: &D) -> Result<Listing, StorageError> {
    let found = directory.list().map_err(|error| StorageError::from_io("list", "the data folder", error))?;
    let mut listing = Listing::default();
    for name in found {
        match names::classify(&name) {
            FileKind::Identity => listing.identity = true,
            FileKind::Segment(number) => listing.segments.push(number),
            FileKind::Snapshot(index) => listing.snapshots.push(index),
            FileKind::Temporary => listing.temporary.push(name),
            FileKind::Foreign => {}
        }
    }
    listing.segments.sort_unstable();
    listing.snapshots.sort_unstable();
    Ok(listing)
}

fn read_file<D: Directory>(directory: &D, name: &str) -> Result<Vec<u8>, StorageError> {
    directory.read(name).map_err(|error| StorageError::from_io("read", name, error))
}

fn read_identity<D: Directory>(
    directory: &D,
    listing: &Listing,
) -> Result<Option<DecodedFile<Identity>>, StorageError> {
    if !listing.identity {
        return Ok(None);
    }
    let bytes = read_file(directory, names::IDENTITY)?;
    let content = identity::decode(&bytes)
        .ok_or_else(|| StorageError::corrupt(names::IDENTITY, 0, "wrong checksum of the identity"))?;
    Ok(Some(DecodedFile { content, bytes: bytes.len() as u64 }))
}

// A snapshot is renamed to its final name only after its content is durable, and the files that it replaces
// are removed only after the rename is durable. The newest snapshot is therefore complete. Segments that an
// older snapshot needs may already be removed, so older snapshots are only leftovers.
fn read_newest_snapshot<D: Directory>(
    directory: &D,
    listing: &Listing,
) -> Result<Option<DecodedFile<SnapshotFile>>, StorageError> {
    let Some(index) = listing.snapshots.last() else {
        return Ok(None);
    };
    let name = names::snapshot(*index);
    let bytes = read_file(directory, &name)?;
    let content = snapshot::decode(&bytes)
        .filter(|found| found.snapshot.index == *index)
        .ok_or_else(|| StorageError::corrupt(&name, 0, "wrong checksum of the snapshot"))?;
    Ok(Some(DecodedFile { content, bytes: bytes.len() as u64 }))
}

fn collect_leftovers(listing: &Listing, first_segment: u64) -> Vec<String> {
    let mut leftovers = listing.temporary.clone();
    let older_snapshots = listing.snapshots.len().saturating_sub(1);
    leftovers.extend(listing.snapshots.iter().take(older_snapshots).map(|index| names::snapshot(*index)));
    let older_segments = listing.segments.iter().filter(|number| **number < first_segment);
    leftovers.extend(older_segments.map(|number| names::segment(*number)));
    leftovers
}

/// Numbers of the segments from `first_segment` on. Returns [`StorageError::Missing`] if the numbers are not
/// contiguous.
fn needed_segments(listing: &Listing, first_segment: u64) -> Result<Vec<u64>, StorageError> {
    let needed: Vec<u64> =
        listing.segments.iter().copied().filter(|number| *number >= first_segment).collect();
    let expected = first_segment..;
    for (number, expected) in needed.iter().zip(expected) {
        if *number != expected {
            return Err(StorageError::Missing { file: names::segment(expected) });
        }
    }
    Ok(needed)
}

impl Scan {
    fn read_segment<D: Directory>(
        &mut self,
        directory: &D,
        number: u64,
        is_last: bool,
    ) -> Result<(), StorageError> {
        let name = names::segment(number);
        let bytes = read_file(directory, &name)?;
        let content = segment::read(number, &bytes);
        let length = match content.end {
            SegmentEnd::Complete => bytes.len(),
            SegmentEnd::Damaged { offset, reason } => {
                return Err(StorageError::corrupt(&name, offset as u64, reason));
            }
            SegmentEnd::Torn { offset } if !is_last => {
                return Err(StorageError::corrupt(
                    &name,
                    offset as u64,
                    "invalid record before a later segment",
                ));
            }
            // The first record is incomplete: the creation of the segment was interrupted, and no batch was
            // written to it.
            SegmentEnd::Torn { .. } if content.records.is_empty() => {
                self.leftovers.push(name);
                return Ok(());
            }
            SegmentEnd::Torn { offset } => {
                self.has_torn_tail = true;
                offset
            }
        };
        self.replay.begin_segment(number, length as u64);
        self.apply(&name, content)
    }

    fn apply(&mut self, name: &str, content: SegmentContent) -> Result<(), StorageError> {
        for record_at in content.records {
            let offset = record_at.offset as u64;
            self.replay
                .apply(record_at.record)
                .map_err(|reason| StorageError::corrupt(name, offset, reason))?;
        }
        Ok(())
    }
}
