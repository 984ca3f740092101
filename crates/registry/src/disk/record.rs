//! The encoding of records in the log and the snapshot: a header followed by a payload. The header holds the
//! length and the CRC-32 of the payload, and a CRC-32 of these two fields, each as a little-endian `u32`.

/// The length of a record header.
pub const HEADER_BYTES: usize = 12;
/// The longest payload of a log record. A record holds one entry; a longer one is treated as damage.
pub const MAX_PAYLOAD_BYTES: usize = 64 << 10;

/// Encodes the header of a payload.
pub fn header(payload: &[u8]) -> [u8; HEADER_BYTES] {
    let mut header = [0; HEADER_BYTES];
    header[..4].copy_from_slice(&(payload.len() as u32).to_le_bytes());
    header[4..8].copy_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let own = crc32fast::hash(&header[..8]);
    header[8..].copy_from_slice(&own.to_le_bytes());
    header
}

/// Returns the payload of a file that consists of one record of any length, or `None` if the file is damaged.
pub fn single_payload(bytes: &[u8]) -> Option<&[u8]> {
    let (head, payload) = bytes.split_at_checked(HEADER_BYTES)?;
    (head == header(payload)).then_some(payload)
}

/// What was found at the start of the remaining bytes of a log.
pub enum Next<'a> {
    /// A complete record with this payload.
    Record(&'a [u8]),
    /// The end of the log.
    End,
    /// A partial record, as left by a crash during a write.
    Torn,
    /// Damage that a crash during a write cannot cause.
    Damaged,
}

/// Decodes the record at the start of `rest`, the remaining bytes of a log.
pub fn next_record(rest: &[u8]) -> Next<'_> {
    if rest.is_empty() {
        return Next::End;
    }
    // After a crash a file may have its new length but zeros instead of the written bytes.
    let unwritten = rest.iter().all(|b| *b == 0);
    let Some((head, rest)) = rest.split_at_checked(HEADER_BYTES) else { return Next::Torn };
    let (length, sum) = (little_endian(&head[..4]) as usize, little_endian(&head[4..8]));
    if crc32fast::hash(&head[..8]) != little_endian(&head[8..]) || length > MAX_PAYLOAD_BYTES {
        return if unwritten { Next::Torn } else { Next::Damaged };
    }
    match rest.get(..length) {
        None => Next::Torn,
        Some(payload) if crc32fast::hash(payload) == sum => Next::Record(payload),
        Some(_) if rest.len() == length => Next::Torn,
        Some(_) => Next::Damaged,
    }
}

fn little_endian(bytes: &[u8]) -> u32 {
    bytes.iter().rev().fold(0, |n, b| n << 8 | u32::from(*b))
}
