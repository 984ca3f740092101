//! Encoding of a snapshot file: magic, CRC-32 of the rest, fixed fields, membership, data.

use std::sync::Arc;

use crate::codec::{take, take_u32, take_u64};
use crate::types::StoredSnapshot;

const MAGIC: &[u8; 8] = b"SHSNAPS1";

/// The content of a snapshot file.
pub(crate) struct SnapshotFile {
    pub snapshot: StoredSnapshot,
    /// Number of the first segment that is needed together with this snapshot.
    pub first_segment: u64,
}

/// Encodes the part of the file before the data. The caller writes the data after it, which avoids a copy of
/// the data.
pub(crate) fn encode_header(snapshot: &StoredSnapshot, first_segment: u64) -> Vec<u8> {
    let mut body = Vec::with_capacity(64 + snapshot.membership.len());
    body.extend_from_slice(&snapshot.index.to_le_bytes());
    body.extend_from_slice(&snapshot.term.to_le_bytes());
    body.extend_from_slice(&first_segment.to_le_bytes());
    body.extend_from_slice(&(snapshot.membership.len() as u64).to_le_bytes());
    body.extend_from_slice(&(snapshot.data.len() as u64).to_le_bytes());
    body.extend_from_slice(&snapshot.membership);
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&body);
    hasher.update(&snapshot.data);
    let mut header = MAGIC.to_vec();
    header.extend_from_slice(&hasher.finalize().to_le_bytes());
    header.extend_from_slice(&body);
    header
}

/// Decodes a snapshot file. Returns `None` if the content is damaged.
pub(crate) fn decode(mut bytes: &[u8]) -> Option<SnapshotFile> {
    if take(&mut bytes, MAGIC.len())? != MAGIC {
        return None;
    }
    let checksum = take_u32(&mut bytes)?;
    if crc32fast::hash(bytes) != checksum {
        return None;
    }
    let index = take_u64(&mut bytes)?;
    let term = take_u64(&mut bytes)?;
    let first_segment = take_u64(&mut bytes)?;
    let membership_length = usize::try_from(take_u64(&mut bytes)?).ok()?;
    let data_length = usize::try_from(take_u64(&mut bytes)?).ok()?;
    let membership = take(&mut bytes, membership_length)?.to_vec();
    let data = Arc::new(take(&mut bytes, data_length)?.to_vec());
    let snapshot = StoredSnapshot { index, term, membership, data };
    bytes.is_empty().then_some(SnapshotFile { snapshot, first_segment })
}
