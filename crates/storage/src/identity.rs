//! Encoding of the identity file: magic, CRC-32 of the rest, node identifier.

use crate::codec::{take, take_u32, take_u64};
use crate::types::Identity;

const MAGIC: &[u8; 8] = b"SHIDENT1";

/// Encodes the content of the identity file.
pub(crate) fn encode(identity: &Identity) -> Vec<u8> {
    let body = identity.node_id.to_le_bytes();
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Decodes the content of the identity file. Returns `None` if the content is damaged.
pub(crate) fn decode(mut bytes: &[u8]) -> Option<Identity> {
    if take(&mut bytes, MAGIC.len())? != MAGIC {
        return None;
    }
    let checksum = take_u32(&mut bytes)?;
    if crc32fast::hash(bytes) != checksum {
        return None;
    }
    let node_id = take_u64(&mut bytes)?;
    bytes.is_empty().then_some(Identity { node_id })
}
