//! Decoding of little-endian fields from the front of a slice.
//!
//! Each function advances the slice past the bytes that it returns, and returns `None` if too few bytes are
//! left.

/// Takes the first `count` bytes.
pub(crate) fn take<'a>(bytes: &mut &'a [u8], count: usize) -> Option<&'a [u8]> {
    let (front, rest) = bytes.split_at_checked(count)?;
    *bytes = rest;
    Some(front)
}

/// Takes one byte.
pub(crate) fn take_u8(bytes: &mut &[u8]) -> Option<u8> {
    let front = take(bytes, 1)?;
    front.first().copied()
}

/// Takes a little-endian `u32`.
pub(crate) fn take_u32(bytes: &mut &[u8]) -> Option<u32> {
    let front = take(bytes, size_of::<u32>())?;
    Some(u32::from_le_bytes(front.try_into().ok()?))
}

/// Takes a little-endian `u64`.
pub(crate) fn take_u64(bytes: &mut &[u8]) -> Option<u64> {
    let front = take(bytes, size_of::<u64>())?;
    Some(u64::from_le_bytes(front.try_into().ok()?))
}
