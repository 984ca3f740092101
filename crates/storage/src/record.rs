//! Records of a segment.
//!
//! A record consists of a CRC-32 checksum, the length of its payload, the offset at which its batch starts
//! (all three `u32`, little endian), a kind byte and the payload. The checksum covers all other fields, the
//! number of the segment and the offset of the record, so that stale bytes from another offset or segment are
//! never accepted as a record.
//!
//! A batch is written only after the previous batch was synced. A valid record therefore proves that
//! everything before the start of its batch was durable.

use crate::codec::{take, take_u32, take_u64, take_u8};
use crate::types::{HardState, StoredEntry};

/// Length of the fields before the payload.
pub(crate) const HEADER_BYTES: usize = 13;

const CHECKSUM_BYTES: usize = 4;
const KIND_HARD_STATE: u8 = 1;
const KIND_ENTRY: u8 = 2;
const KIND_TRUNCATION: u8 = 3;
const LAST_KIND: u8 = KIND_TRUNCATION;

/// A decoded record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Record {
    HardState(HardState),
    Entry(StoredEntry),
    /// Removes the entries from this index on.
    Truncation(u64),
}

/// A record whose checksum is valid and whose payload is not decoded yet.
pub(crate) struct RawRecord<'a> {
    kind: u8,
    payload: &'a [u8],
}

impl RawRecord<'_> {
    /// Length of the record in bytes, including the header.
    pub(crate) fn length(&self) -> usize {
        HEADER_BYTES + self.payload.len()
    }

    /// Decodes the payload. Returns `None` if this version does not support the kind or the layout.
    pub(crate) fn decode(&self) -> Option<Record> {
        let mut bytes = self.payload;
        let record = match self.kind {
            KIND_HARD_STATE => Record::HardState(decode_hard_state(&mut bytes)?),
            KIND_ENTRY => Record::Entry(decode_entry(&mut bytes)?),
            KIND_TRUNCATION => Record::Truncation(take_u64(&mut bytes)?),
            _ => return None,
        };
        bytes.is_empty().then_some(record)
    }
}

fn decode_hard_state(bytes: &mut &[u8]) -> Option<HardState> {
    let term = take_u64(bytes)?;
    let has_vote = take_u8(bytes)?;
    let vote = take_u64(bytes)?;
    Some(HardState { term, vote: (has_vote != 0).then_some(vote) })
}

fn decode_entry(bytes: &mut &[u8]) -> Option<StoredEntry> {
    let index = take_u64(bytes)?;
    let term = take_u64(bytes)?;
    let kind = take_u8(bytes)?;
    let payload = std::mem::take(bytes).to_vec();
    Some(StoredEntry { index, term, kind, payload })
}

/// Reads the record at `offset` of a segment. Returns `None` if there is no complete, undamaged record.
pub(crate) fn read(segment: u64, bytes: &[u8], offset: usize) -> Option<RawRecord<'_>> {
    read_after(segment, bytes, offset, 0)
}

/// Like [`read`], but accepts only a record whose batch starts at `min_batch_start` or later.
///
/// The header fields are checked first, which excludes most offsets without a valid record before a checksum
/// is computed.
pub(crate) fn read_after(
    segment: u64,
    bytes: &[u8],
    offset: usize,
    min_batch_start: u32,
) -> Option<RawRecord<'_>> {
    let record = bytes.get(offset..)?;
    let mut fields = record;
    let checksum = take_u32(&mut fields)?;
    let length = usize::try_from(take_u32(&mut fields)?).ok()?;
    let batch_start = take_u32(&mut fields)?;
    let kind = take_u8(&mut fields)?;
    let position = u32::try_from(offset).ok()?;
    if kind == 0 || kind > LAST_KIND || batch_start > position || batch_start < min_batch_start {
        return None;
    }
    let payload = take(&mut fields, length)?;
    let checksummed = record.get(CHECKSUM_BYTES..HEADER_BYTES + length)?;
    if checksum != compute_checksum(segment, position, checksummed) {
        return None;
    }
    Some(RawRecord { kind, payload })
}

fn compute_checksum(segment: u64, offset: u32, checksummed: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&segment.to_le_bytes());
    hasher.update(&offset.to_le_bytes());
    hasher.update(checksummed);
    hasher.finalize()
}

/// Encodes the records of one batch into a buffer that is reused for later batches.
#[derive(Debug, Default)]
pub(crate) struct BatchEncoder {
    bytes: Vec<u8>,
    segment: u64,
    batch_start: u32,
}

/// Capacity to which the buffer shrinks before the next batch.
const MAX_IDLE_BUFFER_BYTES: usize = 1 << 20;

impl BatchEncoder {
    /// Starts a batch at offset `batch_start` of a segment.
    pub(crate) fn begin(&mut self, segment: u64, batch_start: u32) {
        self.bytes.clear();
        self.bytes.shrink_to(MAX_IDLE_BUFFER_BYTES);
        self.segment = segment;
        self.batch_start = batch_start;
    }

    /// The bytes of the batch encoded so far.
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Adds bytes that are not a record. Used for the segment header.
    pub(crate) fn push_raw(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Adds a hard state record.
    pub(crate) fn push_hard_state(&mut self, state: &HardState) {
        let start = self.begin_record();
        self.bytes.extend_from_slice(&state.term.to_le_bytes());
        self.bytes.push(u8::from(state.vote.is_some()));
        self.bytes.extend_from_slice(&state.vote.unwrap_or(0).to_le_bytes());
        self.finish_record(start, KIND_HARD_STATE);
    }

    /// Adds an entry record.
    pub(crate) fn push_entry(&mut self, entry: &StoredEntry) {
        let start = self.begin_record();
        self.bytes.extend_from_slice(&entry.index.to_le_bytes());
        self.bytes.extend_from_slice(&entry.term.to_le_bytes());
        self.bytes.push(entry.kind);
        self.bytes.extend_from_slice(&entry.payload);
        self.finish_record(start, KIND_ENTRY);
    }

    /// Adds a record that removes all entries from index `from` on.
    pub(crate) fn push_truncation(&mut self, from: u64) {
        let start = self.begin_record();
        self.bytes.extend_from_slice(&from.to_le_bytes());
        self.finish_record(start, KIND_TRUNCATION);
    }

    fn begin_record(&mut self) -> usize {
        let start = self.bytes.len();
        self.bytes.resize(start + HEADER_BYTES, 0);
        start
    }

    // Lengths fit into 32 bits: the store rejects batches larger than `segment::MAXIMUM_BATCH_BYTES`.
    fn finish_record(&mut self, start: usize, kind: u8) {
        let length = (self.bytes.len() - start - HEADER_BYTES) as u32;
        let offset = self.batch_start + start as u32;
        let record = &mut self.bytes[start..];
        record[4..8].copy_from_slice(&length.to_le_bytes());
        record[8..12].copy_from_slice(&self.batch_start.to_le_bytes());
        record[12] = kind;
        let checksum = compute_checksum(self.segment, offset, &record[CHECKSUM_BYTES..]);
        record[..CHECKSUM_BYTES].copy_from_slice(&checksum.to_le_bytes());
    }
}
