//! Segments, the files of the log.
//!
//! A segment consists of a header and records. The first record is the hard state at the time the segment was
//! started.

use crate::codec::{take, take_u32, take_u64};
use crate::record::{self, BatchEncoder, Record};
use crate::types::HardState;

/// Length of the header: magic, segment number and checksum.
pub(crate) const HEADER_BYTES: usize = 20;
/// Maximum size of a batch. A segment may exceed its configured size by at most one batch.
pub(crate) const MAXIMUM_BATCH_BYTES: u64 = 1 << 30;
/// Upper limit of the configured segment size, so that offsets fit into 32 bits.
pub(crate) const MAXIMUM_SEGMENT_BYTES: u64 = 1 << 30;

const MAGIC: &[u8; 8] = b"SHSEGMT1";

/// Encodes the header and the first record of a new segment.
pub(crate) fn encode_start(encoder: &mut BatchEncoder, number: u64, hard_state: &HardState) {
    encoder.begin(number, 0);
    encoder.push_raw(MAGIC);
    encoder.push_raw(&number.to_le_bytes());
    encoder.push_raw(&header_checksum(number).to_le_bytes());
    encoder.push_hard_state(hard_state);
}

fn header_checksum(number: u64) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(MAGIC);
    hasher.update(&number.to_le_bytes());
    hasher.finalize()
}

/// A record and its offset in the segment.
pub(crate) struct RecordAt {
    pub offset: usize,
    pub record: Record,
}

/// Decoded content of a segment.
pub(crate) struct SegmentContent {
    pub records: Vec<RecordAt>,
    pub end: SegmentEnd,
}

/// How the readable part of a segment ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SegmentEnd {
    /// The file ends after the last record.
    Complete,
    /// The bytes from `offset` on are not a valid record, and no later record proves that they were durable.
    Torn { offset: usize },
    /// The bytes from `offset` on were durable and are damaged.
    Damaged { offset: usize, reason: &'static str },
}

/// Decodes the content of a segment.
pub(crate) fn read(number: u64, bytes: &[u8]) -> SegmentContent {
    let mut records = Vec::new();
    if !header_is_valid(number, bytes) {
        return SegmentContent { records, end: classify_invalid(number, bytes, 0) };
    }
    let mut offset = HEADER_BYTES;
    while offset < bytes.len() {
        let Some(raw) = record::read(number, bytes, offset) else {
            return SegmentContent { records, end: classify_invalid(number, bytes, offset) };
        };
        let Some(record) = raw.decode() else {
            let end = SegmentEnd::Damaged { offset, reason: "record of an unknown version" };
            return SegmentContent { records, end };
        };
        records.push(RecordAt { offset, record });
        offset += raw.length();
    }
    let end = match records.first().map(|first| &first.record) {
        Some(Record::HardState(_)) => SegmentEnd::Complete,
        Some(_) => {
            SegmentEnd::Damaged { offset: HEADER_BYTES, reason: "segment does not start with a hard state" }
        }
        None => SegmentEnd::Torn { offset },
    };
    SegmentContent { records, end }
}

fn header_is_valid(number: u64, mut bytes: &[u8]) -> bool {
    let magic = take(&mut bytes, MAGIC.len());
    let found = take_u64(&mut bytes);
    let checksum = take_u32(&mut bytes);
    magic == Some(MAGIC) && found == Some(number) && checksum == Some(header_checksum(number))
}

/// Distinguishes a torn write from damage. A valid record of a later batch proves that all bytes before that
/// batch were synced, so the invalid bytes are damage.
fn classify_invalid(number: u64, bytes: &[u8], offset: usize) -> SegmentEnd {
    let min_batch_start = u32::try_from(offset + 1).unwrap_or(u32::MAX);
    let later_record = (offset + 1..bytes.len())
        .find(|candidate| record::read_after(number, bytes, *candidate, min_batch_start).is_some());
    match later_record {
        Some(_) => SegmentEnd::Damaged { offset, reason: "invalid record before valid ones" },
        None => SegmentEnd::Torn { offset },
    }
}
