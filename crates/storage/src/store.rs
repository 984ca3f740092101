//! The store: appends batches to the active segment, starts new segments, and compacts the log into
//! snapshots.

use std::io;

use crate::directory::Directory;
use crate::error::StorageError;
use crate::identity;
use crate::log_index::LogIndex;
use crate::names;
use crate::record::{self, BatchEncoder};
use crate::recovery::{self, Scan, FIRST_SEGMENT};
use crate::segment;
use crate::segment_set::{SegmentInfo, SegmentSet};
use crate::snapshot;
use crate::types::{HardState, Identity, Recovered, StoreOptions, StoredEntry, StoredSnapshot, WriteBatch};

/// The newest durable snapshot.
#[derive(Debug, Clone, Copy)]
struct SnapshotInfo {
    index: u64,
    bytes: u64,
}

/// A file that is no longer needed and may still exist.
#[derive(Debug)]
struct ObsoleteFile {
    name: String,
    bytes: u64,
}

/// Remains of a failed operation on the disk. They are durably removed before anything else is written.
#[derive(Debug, Default)]
struct Repair {
    /// The active segment may be longer than its durable length.
    truncate: bool,
    /// Files that must not exist after a restart.
    remove: Vec<String>,
}

impl Repair {
    fn is_needed(&self) -> bool {
        self.truncate || !self.remove.is_empty()
    }
}

/// Log, snapshot and identity of one node on its disk.
///
/// The active segment is the last one. All segments before the active one are complete and durable. After a
/// failed append, the file of the active segment may be longer than the valid part; the excess is truncated
/// before anything else is written. A failed operation has no effect on the state that the store reports, and
/// its remains on the disk are removed before the next operation.
#[derive(Debug)]
pub struct Store<D: Directory> {
    directory: D,
    segment_bytes: u64,
    /// File of the active segment.
    file: D::File,
    segments: SegmentSet,
    log: LogIndex,
    hard_state: HardState,
    snapshot: Option<SnapshotInfo>,
    identity_bytes: u64,
    obsolete: Vec<ObsoleteFile>,
    repair: Repair,
    encoder: BatchEncoder,
}

impl<D: Directory> Store<D> {
    /// Recovers the state on the disk, or creates a new store in an empty directory.
    ///
    /// The recovered state is durable when the function returns, even if a part of it was only in the page
    /// cache of the operating system before. A torn tail of the last segment is truncated.
    ///
    /// # Errors
    ///
    /// [`StorageError::Corrupt`] or [`StorageError::Missing`] if durable data is damaged or missing,
    /// otherwise the error that the disk reports.
    pub fn open(directory: D, options: StoreOptions) -> Result<(Self, Recovered), StorageError> {
        let mut scan = recovery::scan(&directory)?;
        remove_leftovers(&directory, &scan.leftovers)?;
        let mut encoder = BatchEncoder::default();
        let (file, segments) = match scan.replay.segments.take() {
            Some(segments) => (open_active(&directory, &segments.active(), scan.has_torn_tail)?, segments),
            None => {
                let name = names::segment(FIRST_SEGMENT);
                segment::encode_start(&mut encoder, FIRST_SEGMENT, &HardState::default());
                let bytes = encoder.bytes().len() as u64;
                let first = SegmentInfo { number: FIRST_SEGMENT, bytes, last_index_before: 0 };
                (create_and_sync(&directory, &name, &[encoder.bytes()])?, SegmentSet::new(first))
            }
        };
        sync_names(&directory)?;
        Ok(Self::assemble(directory, options, file, segments, scan))
    }

    fn assemble(
        directory: D,
        options: StoreOptions,
        file: D::File,
        segments: SegmentSet,
        scan: Scan,
    ) -> (Self, Recovered) {
        let snapshot = scan.snapshot.map(|found| found.snapshot);
        let store = Store {
            directory,
            segment_bytes: options.segment_bytes.min(segment::MAXIMUM_SEGMENT_BYTES),
            file,
            segments,
            log: scan.replay.log,
            hard_state: scan.replay.hard_state,
            snapshot: snapshot
                .as_ref()
                .map(|found| SnapshotInfo { index: found.index, bytes: scan.snapshot_bytes }),
            identity_bytes: scan.identity_bytes,
            obsolete: Vec::new(),
            repair: Repair::default(),
            encoder: BatchEncoder::default(),
        };
        let recovered = Recovered {
            identity: scan.identity,
            hard_state: store.hard_state,
            snapshot,
            entries: scan.replay.entries,
        };
        (store, recovered)
    }

    /// Total size in bytes of the files of the store.
    pub fn disk_usage_bytes(&self) -> u64 {
        let obsolete: u64 = self.obsolete.iter().map(|file| file.bytes).sum();
        let snapshot = self.snapshot.map_or(0, |snapshot| snapshot.bytes);
        self.segments.bytes() + snapshot + self.identity_bytes + obsolete
    }

    /// Index of the last entry, or of the snapshot if that is greater; 0 in a new store.
    pub fn last_index(&self) -> u64 {
        self.log.last()
    }

    /// Writes the identity of the node. The identity is durable when the function returns.
    ///
    /// # Errors
    ///
    /// The error that the disk reports. After an error, the disk holds either the old or the new identity.
    pub fn write_identity(&mut self, identity: &Identity) -> Result<(), StorageError> {
        self.repair()?;
        let bytes = identity::encode(identity);
        let temporary = names::temporary(names::IDENTITY);
        self.write_temporary(&temporary, &[&bytes])?;
        self.directory
            .rename(&temporary, names::IDENTITY)
            .map_err(|error| StorageError::from_io("rename to", names::IDENTITY, error))?;
        sync_names(&self.directory)?;
        self.identity_bytes = bytes.len() as u64;
        Ok(())
    }

    /// Appends the batch with one write and one sync. The batch is durable when the function returns.
    ///
    /// # Errors
    ///
    /// [`StorageError::OutOfOrder`] or [`StorageError::TooLarge`] if the batch cannot be appended, otherwise
    /// the error that the disk reports. After an error, no part of the batch has an effect.
    pub fn write(&mut self, batch: &WriteBatch) -> Result<(), StorageError> {
        let truncate_from = self.effective_truncation(batch);
        self.validate(batch, truncate_from)?;
        if batch.hard_state.is_none() && truncate_from.is_none() && batch.entries.is_empty() {
            return Ok(());
        }
        self.repair()?;
        if self.segments.active().bytes >= self.segment_bytes {
            self.roll()?;
        }
        self.encode(batch, truncate_from);
        self.append_encoded()?;
        self.record_batch(batch, truncate_from);
        Ok(())
    }

    /// Index from which the batch removes entries; `None` if there are no entries to remove.
    fn effective_truncation(&self, batch: &WriteBatch) -> Option<u64> {
        let snapshot_index = self.snapshot.map_or(0, |snapshot| snapshot.index);
        let from = batch.truncate_from?.max(snapshot_index.saturating_add(1));
        (from <= self.log.last()).then_some(from)
    }

    fn validate(&self, batch: &WriteBatch, truncate_from: Option<u64>) -> Result<(), StorageError> {
        let mut expected = truncate_from.unwrap_or(self.log.last().saturating_add(1));
        let mut bytes = 0;
        for entry in &batch.entries {
            if entry.index != expected {
                return Err(StorageError::OutOfOrder { expected, found: entry.index });
            }
            expected = expected.saturating_add(1);
            bytes += encoded_bytes(entry);
        }
        if bytes > segment::MAXIMUM_BATCH_BYTES {
            return Err(StorageError::TooLarge { bytes, limit: segment::MAXIMUM_BATCH_BYTES });
        }
        Ok(())
    }

    fn encode(&mut self, batch: &WriteBatch, truncate_from: Option<u64>) {
        // The offset fits into 32 bits: no batch starts beyond `MAXIMUM_SEGMENT_BYTES`, the limit of
        // `segment_bytes`.
        let active = self.segments.active();
        self.encoder.begin(active.number, active.bytes as u32);
        if let Some(state) = &batch.hard_state {
            self.encoder.push_hard_state(state);
        }
        if let Some(from) = truncate_from {
            self.encoder.push_truncation(from);
        }
        for entry in &batch.entries {
            self.encoder.push_entry(entry);
        }
    }

    fn append_encoded(&mut self) -> Result<(), StorageError> {
        let appended = self.directory.append(&mut self.file, self.encoder.bytes());
        let written = appended.and_then(|()| self.directory.sync(&mut self.file));
        let Err(error) = written else {
            return Ok(());
        };
        self.repair.truncate = true;
        self.try_repair();
        Err(StorageError::from_io("append to", &self.segments.active().name(), error))
    }

    /// Applies a durable batch to the state in memory.
    fn record_batch(&mut self, batch: &WriteBatch, truncate_from: Option<u64>) {
        let bytes = self.encoder.bytes().len() as u64;
        self.segments.grow(bytes);
        if let Some(state) = batch.hard_state {
            self.hard_state = state;
        }
        if let Some(from) = truncate_from {
            self.log.truncate(from);
        }
        for entry in &batch.entries {
            self.log.append(entry.index, entry.term);
        }
    }

    /// Starts a new segment. The previous segment is completely durable at this point; recovery relies on
    /// this.
    fn roll(&mut self) -> Result<(), StorageError> {
        let number = self.segments.active().number + 1;
        let name = names::segment(number);
        segment::encode_start(&mut self.encoder, number, &self.hard_state);
        let created = create_and_sync(&self.directory, &name, &[self.encoder.bytes()]);
        let synced = created.and_then(|file| sync_names(&self.directory).map(|()| file));
        match synced {
            Ok(file) => {
                let bytes = self.encoder.bytes().len() as u64;
                self.file = file;
                self.segments.push(SegmentInfo { number, bytes, last_index_before: self.log.last() });
                Ok(())
            }
            Err(error) => {
                // If a restart found the new segment, a torn tail of the previous one would be treated as
                // damage.
                self.repair.remove.push(name);
                self.try_repair();
                Err(error)
            }
        }
    }

    /// Writes a snapshot, then removes the files that it replaces. The snapshot is durable when the function
    /// returns.
    ///
    /// Entries after the snapshot's index are kept, unless the log has an entry of a different term at that
    /// index: in this case all entries are removed. A snapshot that is not newer than the current one is
    /// ignored.
    ///
    /// # Errors
    ///
    /// The error that the disk reports. After an error, the snapshot has no effect.
    pub fn save_snapshot(&mut self, snapshot: &StoredSnapshot) -> Result<(), StorageError> {
        if self.snapshot.is_some_and(|current| current.index >= snapshot.index) {
            return Ok(());
        }
        self.repair()?;
        let diverged = self.log.term_at(snapshot.index).is_some_and(|term| term != snapshot.term);
        if diverged {
            self.roll()?;
        }
        let first_segment = if diverged {
            self.segments.active().number
        } else {
            self.segments.first_needed_after(snapshot.index)
        };
        let bytes = self.write_snapshot_file(snapshot, first_segment)?;
        self.record_snapshot(SnapshotInfo { index: snapshot.index, bytes }, first_segment, diverged);
        self.remove_obsolete();
        Ok(())
    }

    fn write_snapshot_file(
        &mut self,
        snapshot: &StoredSnapshot,
        first_segment: u64,
    ) -> Result<u64, StorageError> {
        let name = names::snapshot(snapshot.index);
        let temporary = names::temporary(&name);
        let header = snapshot::encode_header(snapshot, first_segment);
        self.write_temporary(&temporary, &[&header, &snapshot.data])?;
        let renamed = self
            .directory
            .rename(&temporary, &name)
            .map_err(|error| StorageError::from_io("rename to", &name, error));
        let synced = renamed.and_then(|()| sync_names(&self.directory));
        if let Err(error) = synced {
            // If a restart found the snapshot, it would not match a log that was continued without it.
            self.repair.remove.extend([name, temporary]);
            self.try_repair();
            return Err(error);
        }
        Ok((header.len() + snapshot.data.len()) as u64)
    }

    /// Applies a durable snapshot to the state in memory.
    fn record_snapshot(&mut self, snapshot: SnapshotInfo, first_segment: u64, diverged: bool) {
        if let Some(older) = self.snapshot.replace(snapshot) {
            self.obsolete.push(ObsoleteFile { name: names::snapshot(older.index), bytes: older.bytes });
        }
        let dropped = self.segments.drop_before(first_segment);
        self.obsolete.extend(dropped.iter().map(ObsoleteFile::from));
        if diverged {
            self.log.reset(snapshot.index);
        } else {
            self.log.compact(snapshot.index);
        }
    }

    /// Removes obsolete files. Files that cannot be removed now are removed after the next snapshot or at the
    /// next start.
    fn remove_obsolete(&mut self) {
        let directory = &self.directory;
        self.obsolete.retain(|file| remove_if_present(directory, &file.name).is_err());
    }

    /// Writes and syncs a file under a temporary name. Removes the file if writing or syncing fails.
    fn write_temporary(&self, name: &str, parts: &[&[u8]]) -> Result<(), StorageError> {
        remove_if_present(&self.directory, name)?;
        let created = create_and_sync(&self.directory, name, parts);
        if created.is_err() {
            // Frees the space now. If the removal fails, the next attempt or the next start removes the file.
            let _ = self.directory.remove(name);
        }
        created.map(|_| ())
    }

    fn try_repair(&mut self) {
        // The caller reports the error that made the repair necessary. If the repair fails, the next
        // operation repeats it and reports the error of the repair.
        let _ = self.repair();
    }

    /// Durably removes the remains of a failed operation.
    fn repair(&mut self) -> Result<(), StorageError> {
        if !self.repair.is_needed() {
            return Ok(());
        }
        if !self.repair.remove.is_empty() {
            for name in &self.repair.remove {
                remove_if_present(&self.directory, name)?;
            }
            sync_names(&self.directory)?;
            self.repair.remove.clear();
        }
        if self.repair.truncate {
            let active = self.segments.active();
            truncate(&self.directory, &mut self.file, &active.name(), active.bytes)?;
            self.repair.truncate = false;
        }
        Ok(())
    }
}

impl From<&SegmentInfo> for ObsoleteFile {
    fn from(segment: &SegmentInfo) -> Self {
        ObsoleteFile { name: segment.name(), bytes: segment.bytes }
    }
}

fn encoded_bytes(entry: &StoredEntry) -> u64 {
    const FIXED_FIELDS_BYTES: usize = 17;
    (record::HEADER_BYTES + FIXED_FIELDS_BYTES + entry.payload.len()) as u64
}

/// Removes files that are not needed. Syncs the directory first: after a kill, the name of the snapshot that
/// makes these files obsolete may not be durable yet.
fn remove_leftovers<D: Directory>(directory: &D, leftovers: &[String]) -> Result<(), StorageError> {
    if leftovers.is_empty() {
        return Ok(());
    }
    sync_names(directory)?;
    for name in leftovers {
        remove_if_present(directory, name)?;
    }
    Ok(())
}

/// Opens the last segment, truncates a torn tail, and makes the valid part durable.
fn open_active<D: Directory>(
    directory: &D,
    active: &SegmentInfo,
    has_torn_tail: bool,
) -> Result<D::File, StorageError> {
    let name = active.name();
    let mut file = directory.open(&name).map_err(|error| StorageError::from_io("open", &name, error))?;
    if has_torn_tail {
        truncate(directory, &mut file, &name, active.bytes)?;
    } else {
        directory.sync(&mut file).map_err(|error| StorageError::from_io("sync", &name, error))?;
    }
    Ok(file)
}

fn truncate<D: Directory>(
    directory: &D,
    file: &mut D::File,
    name: &str,
    length: u64,
) -> Result<(), StorageError> {
    let truncated = directory.truncate(file, length);
    let synced = truncated.and_then(|()| directory.sync(file));
    synced.map_err(|error| StorageError::from_io("truncate", name, error))
}

fn create_and_sync<D: Directory>(
    directory: &D,
    name: &str,
    parts: &[&[u8]],
) -> Result<D::File, StorageError> {
    let create = || -> io::Result<D::File> {
        let mut file = directory.create(name)?;
        for part in parts {
            directory.append(&mut file, part)?;
        }
        directory.sync(&mut file)?;
        Ok(file)
    };
    create().map_err(|error| StorageError::from_io("write", name, error))
}

fn remove_if_present<D: Directory>(directory: &D, name: &str) -> Result<(), StorageError> {
    match directory.remove(name) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => {
            Err(StorageError::from_io("remove", name, error))
        }
        _ => Ok(()),
    }
}

fn sync_names<D: Directory>(directory: &D) -> Result<(), StorageError> {
    directory.sync_directory().map_err(|error| StorageError::from_io("sync", "the data folder", error))
}
