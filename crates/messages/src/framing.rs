//! Encoding of messages, and framing on a byte stream: each frame is a length (`u32`, little endian) and one
//! message.

use bytes::{Buf, BytesMut};
use quick_error::quick_error;
use quick_protobuf::{BytesReader, MessageRead, MessageWrite, Writer};

/// Size of the length field before each message.
pub const FRAME_HEADER_BYTES: usize = 4;
/// Maximum length of a message. No process of this system sends a longer message.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

quick_error! {
    /// Error in reading a message.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum FrameError {
        /// The length of a frame exceeds `MAX_FRAME_BYTES`.
        TooLong(bytes: usize) {
            display("a frame of {bytes} bytes exceeds the maximum of {MAX_FRAME_BYTES}: \
                close the connection, the peer does not belong to this system")
        }
        /// The bytes are not a valid message of the expected type.
        Malformed(reason: String) {
            display("a message cannot be read ({reason}): \
                close the connection, and check that both sides run compatible versions")
        }
    }
}

/// Returns the number of bytes of a message without a length field.
pub fn encoded_len<M: MessageWrite>(message: &M) -> usize {
    message.get_size()
}

/// Encodes one message without a length field.
pub fn encode<M: MessageWrite>(message: &M) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(message.get_size());
    let mut writer = Writer::new(&mut bytes);
    message.write_message(&mut writer).expect("writing to memory cannot fail");
    bytes
}

/// Decodes a message that fills all of `bytes`. Unknown fields of newer versions are skipped.
///
/// # Errors
///
/// [`FrameError::Malformed`] if the bytes are not a message of this type.
pub fn decode<'a, M: MessageRead<'a>>(bytes: &'a [u8]) -> Result<M, FrameError> {
    let mut reader = BytesReader::from_bytes(bytes);
    M::from_reader(&mut reader, bytes).map_err(|error| FrameError::Malformed(error.to_string()))
}

/// Appends a frame with `message` to `out`.
pub fn encode_frame<M: MessageWrite>(message: &M, out: &mut Vec<u8>) {
    let length = message.get_size();
    out.reserve(FRAME_HEADER_BYTES + length);
    out.extend_from_slice(&(length as u32).to_le_bytes());
    let mut writer = Writer::new(out);
    message.write_message(&mut writer).expect("writing to memory cannot fail");
}

/// Splits a byte stream into frames.
///
/// The caller appends received bytes to [`buffer`](Self::buffer) in chunks of any size.
/// [`next_frame`](Self::next_frame) removes complete frames one by one. After an error, the position of the
/// next frame is unknown and the connection must be closed.
#[derive(Debug, Default)]
pub struct FrameReader {
    buffer: BytesMut,
}

impl FrameReader {
    /// Creates a reader at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the buffer to which the caller appends received bytes.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Removes the next complete frame and returns its message. Returns `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// [`FrameError::TooLong`] if the length of the frame exceeds [`MAX_FRAME_BYTES`].
    pub fn next_frame(&mut self) -> Result<Option<BytesMut>, FrameError> {
        let Some(header) = self.buffer.first_chunk::<FRAME_HEADER_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*header) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong(length));
        }
        if self.buffer.len() < FRAME_HEADER_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(FRAME_HEADER_BYTES);
        Ok(Some(self.buffer.split_to(length)))
    }
}
