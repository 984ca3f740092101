//! Errors of the commands, and their exit codes.

use quick_error::quick_error;
use std::io;
use std::path::PathBuf;

const EXIT_REFUSED: u8 = 1;
const EXIT_UNREACHABLE: u8 = 2;
const EXIT_USAGE: u8 = 64;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum CtlError {
        /// The command line is invalid.
        Usage(reason: String) {
            display("{reason}: see sprucehatch-node ctl --help")
        }
        /// The group rejected the command for this reason.
        Refused(text: String) {
            display("refused: {text}")
        }
        /// No process gave a clear answer in time. Holds the last failure.
        Unreachable(last: String) {
            display("no process gave a clear answer (last failure: {last}): give other addresses with --control, or check that a majority of the core is running")
        }
        /// The command was sent and may have been carried out.
        OutcomeUnknown(reason: String) {
            display("the command was sent, but its answer was lost ({reason}): check with `ctl leader` whether it was carried out before you repeat it")
        }
        /// An answer is not a document of this version.
        UnreadableAnswer(reason: String) {
            display("the answer cannot be read ({reason}): use the command line of the version that the core runs")
        }
        /// A file cannot be read.
        ReadFile(path: PathBuf, error: io::Error) {
            display("{} cannot be read ({error}): check the path and the permissions", path.display())
        }
        /// A file holds an invalid configuration.
        InvalidFile(path: PathBuf, text: String) {
            display("{}: {text}", path.display())
        }
        /// A data folder is damaged.
        Damaged(path: PathBuf, text: String) {
            display("{}: {text}", path.display())
        }
        /// The runtime cannot start.
        Runtime(error: io::Error) {
            display("cannot start the runtime ({error}): check the limit on file descriptors")
        }
        /// The output cannot be written.
        Output(error: io::Error) {
            display("cannot write the output ({error}): check where the output is directed to")
        }
    }
}

impl CtlError {
    /// The exit code: 1 rejected or invalid, 2 unreachable or outcome unknown, 64 usage.
    pub fn exit_code(&self) -> u8 {
        match self {
            CtlError::Usage(_) => EXIT_USAGE,
            CtlError::Unreachable(_)
            | CtlError::OutcomeUnknown(_)
            | CtlError::UnreadableAnswer(_)
            | CtlError::Runtime(_) => EXIT_UNREACHABLE,
            CtlError::Refused(_)
            | CtlError::ReadFile(..)
            | CtlError::InvalidFile(..)
            | CtlError::Damaged(..)
            | CtlError::Output(_) => EXIT_REFUSED,
        }
    }
}
