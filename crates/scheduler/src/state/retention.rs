//! How long the state retains what has ended, by the replicated clock.

/// How long an ended job is retained, in milliseconds. This is over twice the documented `status_s` (120 s),
/// to allow for clock jumps and for clients that ask at the end of a day.
pub const ENDED_JOB_RETENTION_MS: u64 = 300_000;
/// How long the tombstone of a cancel is retained, in milliseconds: a late submission meets either the record
/// of its cancelled job or a tombstone.
pub const CANCEL_TOMBSTONE_RETENTION_MS: u64 = ENDED_JOB_RETENTION_MS;
