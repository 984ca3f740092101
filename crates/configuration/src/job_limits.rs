//! Limits on the size of jobs.

/// Maximum length of `Spec` in characters. The API documents 4,000 bytes; a text that exceeds the limit only
/// in bytes is accepted too.
pub const MAX_SPEC_CHARS: usize = 4_000;
/// Maximum number of steps of a job.
pub const MAX_STEPS: usize = 1_000;
/// Maximum number of tasks of a job, in all steps of one occurrence together.
pub const MAX_TASKS: u64 = 10_000;
/// Maximum value of `Repeat`.
pub const MAX_REPEAT: u32 = 100_000;
/// Maximum amount of one resource that a task may request, in the unit of the resource. Keeps sums over all
/// tasks of a job far below 2^64.
pub const MAX_RESOURCE: u64 = 1 << 40;
