//! The list on disk: a snapshot and a write-ahead log of the changes since the snapshot.
//!
//! Both consist of JSON records (see [`record`]). A change is durable once it is written and synced. A crash
//! may leave a torn record at the end of the log, which is truncated at the next start. Damage before the end
//! makes the start fail, since the list would otherwise continue from a state that was never confirmed to a
//! caller. A new snapshot is written to a temporary file and renamed over the old one. Log records that the
//! snapshot already contains are skipped, so a crash between the rename and the truncation of the log is
//! harmless.

mod error;
mod record;

pub use error::DiskError;

use crate::store::Change;
use error::ContentError;
use gateway_protocol::list::Target;
use record::{header, next_record, single_payload, Next, HEADER_BYTES, MAX_PAYLOAD_BYTES};
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

const SNAPSHOT: &str = "snapshot";
const LOG: &str = "log";
/// A snapshot replaces the log when the log has this many records.
const SNAPSHOT_RECORDS: usize = 4096;

/// The JSON payload of one log record: the change and the version that it creates.
#[derive(Serialize, Deserialize)]
struct Record {
    rev: u64,
    change: Change,
}

/// The list as stored on disk. Each entry has the length of its lease in milliseconds.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SavedList {
    pub rev: u64,
    pub entries: Vec<(Target, u64)>,
}

/// The folder of the list, open for appending changes.
pub struct Disk {
    dir: PathBuf,
    log: File,
    /// The length of the log up to the last synced record.
    durable_bytes: u64,
    /// The number of records in the log.
    records: usize,
    /// Whether a failed write may have left a partial record behind `durable_bytes`. It must be truncated
    /// before the next append.
    torn: bool,
}

impl SavedList {
    fn apply(&mut self, record: Record) {
        self.rev = record.rev;
        let uid = match &record.change {
            Change::Put { target, .. } => &target.uid,
            Change::Remove { uid } => uid,
        };
        self.entries.retain(|(target, _)| target.uid != *uid);
        if let Change::Put { target, lease_ms } = record.change {
            self.entries.push((target, lease_ms));
        }
    }
}

/// The complete part of a log.
struct Replayed {
    bytes: usize,
    records: usize,
}

/// Applies the complete records of `log` to `list`, which was read from the snapshot.
fn replay(list: &mut SavedList, log: &[u8]) -> Result<Replayed, ContentError> {
    let mut complete = Replayed { bytes: 0, records: 0 };
    loop {
        let at = complete.bytes;
        let payload = match next_record(&log[at..]) {
            Next::Record(payload) => payload,
            Next::End | Next::Torn => return Ok(complete),
            Next::Damaged => return Err(ContentError::LogDamaged(at)),
        };
        let record: Record = serde_json::from_slice(payload).map_err(|e| ContentError::LogRecord(at, e))?;
        if record.rev > list.rev + 1 {
            return Err(ContentError::VersionMissing(list.rev + 1, at));
        }
        if record.rev == list.rev + 1 {
            list.apply(record);
        }
        complete.bytes += HEADER_BYTES + payload.len();
        complete.records += 1;
    }
}

fn parse_snapshot(bytes: &[u8]) -> Result<SavedList, ContentError> {
    let payload = single_payload(bytes).ok_or(ContentError::SnapshotDamaged)?;
    serde_json::from_slice(payload).map_err(ContentError::Snapshot)
}

fn read_if_present(path: &Path) -> Result<Option<Vec<u8>>, DiskError> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(DiskError::Io(path.to_path_buf(), e)),
    }
}

impl Disk {
    /// Opens the list in the folder `dir`, which is created if missing. `first` is the initial version of a
    /// new list.
    pub fn open(dir: &Path, first: u64) -> Result<(Self, SavedList), DiskError> {
        let io = |e: io::Error| DiskError::Io(dir.to_path_buf(), e);
        let content = |e: ContentError| DiskError::Content(dir.to_path_buf(), e);
        fs::create_dir_all(dir).map_err(io)?;
        let mut list = match read_if_present(&dir.join(SNAPSHOT))? {
            Some(bytes) => parse_snapshot(&bytes).map_err(content)?,
            None => SavedList { rev: first, entries: Vec::new() },
        };
        let is_new = !dir.join(SNAPSHOT).exists();
        let log = read_if_present(&dir.join(LOG))?.unwrap_or_default();
        if is_new && !log.is_empty() {
            return Err(content(ContentError::NoSnapshot));
        }
        let Replayed { bytes, records } = replay(&mut list, &log).map_err(content)?;
        let mut options = OpenOptions::new();
        let log = options.create(true).truncate(false).read(true).write(true).open(dir.join(LOG));
        let log = log.map_err(io)?;
        let mut disk =
            Disk { dir: dir.to_path_buf(), log, durable_bytes: bytes as u64, records, torn: false };
        disk.truncate().map_err(io)?;
        if is_new {
            // The initial version must be durable before a reader receives it.
            disk.snapshot(&list).map_err(io)?;
        }
        Ok((disk, list))
    }

    /// Truncates the log after the last durable record.
    fn truncate(&mut self) -> io::Result<()> {
        self.torn = true;
        self.log.set_len(self.durable_bytes)?;
        self.log.seek(SeekFrom::Start(self.durable_bytes))?;
        self.log.sync_data()?;
        self.torn = false;
        Ok(())
    }

    /// Appends a change to the log and syncs it. If this fails, nothing of the change takes effect.
    pub fn append(&mut self, rev: u64, change: &Change) -> io::Result<()> {
        if self.torn {
            self.truncate()?;
        }
        let payload = serde_json::to_vec(&Record { rev, change: change.clone() })?;
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Err(io::Error::other("the entry is too long"));
        }
        let mut record = header(&payload).to_vec();
        record.extend(payload);
        let written = self.log.write_all(&record).and_then(|()| self.log.sync_data());
        if let Err(e) = written {
            // If this truncation fails too, the next append truncates before it writes.
            let _ = self.truncate();
            return Err(e);
        }
        self.durable_bytes += record.len() as u64;
        self.records += 1;
        Ok(())
    }

    /// Whether the log is long enough that a snapshot should replace it.
    pub fn needs_snapshot(&self) -> bool {
        self.records >= SNAPSHOT_RECORDS
    }

    /// Writes `list` as the new snapshot and empties the log.
    pub fn snapshot(&mut self, list: &SavedList) -> io::Result<()> {
        let payload = serde_json::to_vec(list)?;
        let temporary = self.dir.join("snapshot.new");
        let mut file = File::create(&temporary)?;
        file.write_all(&header(&payload))?;
        file.write_all(&payload)?;
        file.sync_all()?;
        fs::rename(&temporary, self.dir.join(SNAPSHOT))?;
        File::open(&self.dir)?.sync_all()?;
        // The snapshot now contains all records of the log.
        (self.durable_bytes, self.records) = (0, 0);
        self.truncate()
    }
}

/// The initial version of a new list. It is the current time, so that it is later than any version of an
/// earlier list whose disk was lost.
pub fn first_version(unix_ms: u64) -> u64 {
    unix_ms
}

#[cfg(test)]
mod tests;
