//! Job IDs: 16 hex digits, chosen by the client.

use crate::job_error::JobError;

/// Number of hex digits in a job ID.
pub const JOB_ID_DIGITS: usize = 16;

/// Parses a job ID. The hex digits must be in lower case: workers receive the ID exactly as the client wrote
/// it, and `format` could not reproduce upper case.
///
/// # Errors
///
/// If the text is not 16 hex digits in lower case.
pub fn parse(text: &str) -> Result<u64, JobError> {
    if text.len() != JOB_ID_DIGITS || !text.bytes().all(is_lower_hex_digit) {
        return Err(JobError::BadId);
    }
    u64::from_str_radix(text, 16).map_err(|_| JobError::BadId)
}

/// Formats a job ID as `parse` reads it.
pub fn format(id: u64) -> String {
    format!("{id:016x}")
}

fn is_lower_hex_digit(byte: u8) -> bool {
    matches!(byte, b'0'..=b'9' | b'a'..=b'f')
}
