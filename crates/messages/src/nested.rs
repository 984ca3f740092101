//! Bounded reading of nested messages.
//!
//! `BytesReader::read_message` of quick-protobuf 0.8.1 does not check the length of a nested message. If a
//! nested message or its last field ends beyond the parent message, the reader of the parent is left past its
//! own end. Skipping an unknown field in this state subtracts with overflow, which panics with overflow
//! checks and wraps around without them. The generated code calls [`read_message`] of this module instead,
//! which limits each message to its own bytes.

use quick_protobuf::{BytesReader, MessageRead, Result};

/// Reads a length and then a message of exactly this length.
///
/// # Errors
///
/// `UnexpectedEndOfBuffer` if the message ends beyond its parent or a field ends beyond the message.
pub(crate) fn read_message<'a, M: MessageRead<'a>>(reader: &mut BytesReader, bytes: &'a [u8]) -> Result<M> {
    let message_bytes = reader.read_bytes(bytes)?;
    let mut message_reader = BytesReader::from_bytes(message_bytes);
    M::from_reader(&mut message_reader, message_bytes)
}
