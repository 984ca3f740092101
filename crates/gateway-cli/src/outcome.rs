//! The result of a command over everything that it called or played, and the exit code for it.

use std::process::ExitCode;

/// How many of a command's calls or plays succeeded.
#[derive(Clone, Copy)]
pub enum Outcome {
    /// All succeeded: exit code 0.
    Success,
    /// Some succeeded and some failed: exit code 3.
    PartialSuccess,
    /// None succeeded: exit code 1.
    Failure,
}

impl Outcome {
    /// The outcome for `succeeded` successes out of `total`. No successes give `Failure`, also if
    /// `total` is 0.
    pub fn from_counts(succeeded: usize, total: usize) -> Self {
        match succeeded {
            0 => Outcome::Failure,
            succeeded if succeeded == total => Outcome::Success,
            _ => Outcome::PartialSuccess,
        }
    }
}

impl From<Outcome> for ExitCode {
    fn from(outcome: Outcome) -> Self {
        ExitCode::from(match outcome {
            Outcome::Success => 0,
            Outcome::Failure => 1,
            Outcome::PartialSuccess => 3,
        })
    }
}
