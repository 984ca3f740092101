//! Errors with which the program ends, and their exit codes.

use configuration::SettingsError;
use ctl::CtlError;
use demo::DemoError;
use quick_error::quick_error;
use std::io;
use std::path::PathBuf;

/// Exit codes as in sysexits.h.
const EXIT_USAGE: u8 = 64;
const EXIT_SOFTWARE: u8 = 70;
const EXIT_CONFIGURATION: u8 = 78;

quick_error! {
    /// An error with which the program ends.
    #[derive(Debug)]
    pub enum NodeError {
        /// The command line is invalid.
        Usage(reason: String) {
            display("{reason}: see --help")
        }
        /// The environment variable with the path of the settings file is not set.
        NoSettingsPath {
            display("SPRUCEHATCH_CONFIG is not set: set it to the path of the settings file")
        }
        /// The settings file cannot be read.
        ReadSettings(path: PathBuf, error: io::Error) {
            display("{} cannot be read ({error}): set SPRUCEHATCH_CONFIG to the path of a readable settings file", path.display())
        }
        /// The settings file is invalid.
        Settings(path: PathBuf, error: SettingsError) {
            display("{}: {error}", path.display())
        }
        /// A file that is to be checked cannot be read.
        ReadFile(path: PathBuf, error: io::Error) {
            display("{} cannot be read ({error}): check the path and the permissions", path.display())
        }
        /// A file that was checked has problems.
        Problems(path: PathBuf, problems: Vec<String>) {
            display("{}: {}", path.display(), problems.join("\n  and: "))
        }
        /// Standard output cannot be written.
        Output(error: io::Error) {
            display("cannot write to standard output ({error}): check where the output is directed to")
        }
        /// The log specification is invalid.
        LogSpecification(reason: String) {
            display("--log is invalid ({reason}): give a level or a list such as info,control=debug; see --help")
        }
        /// The logger cannot be set up.
        Logger(reason: String) {
            display("cannot log to standard error ({reason}): check that it is open")
        }
        /// A `ctl` or `inspect` command failed.
        Ctl(error: CtlError) {
            from()
            display("{error}")
        }
        /// The demonstration failed.
        Demo(error: DemoError) {
            from()
            display("{error}")
        }
        /// The path of the program's executable cannot be determined.
        OwnPath(error: io::Error) {
            display("cannot determine the path of the executable ({error}): start the program by its path")
        }
        /// The runtime cannot start.
        Runtime(error: io::Error) {
            display("cannot start the runtime ({error}): check the limits on file descriptors and threads")
        }
        /// The role ended with an error.
        Role(reason: String) {
            display("{reason}")
        }
    }
}

impl NodeError {
    /// The exit code for the kind of this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            NodeError::Usage(_) | NodeError::LogSpecification(_) => EXIT_USAGE,
            NodeError::Ctl(error) => error.exit_code(),
            NodeError::NoSettingsPath
            | NodeError::ReadSettings(..)
            | NodeError::ReadFile(..)
            | NodeError::Problems(..)
            | NodeError::Settings(..) => EXIT_CONFIGURATION,
            NodeError::Logger(_)
            | NodeError::Runtime(_)
            | NodeError::Role(_)
            | NodeError::Demo(_)
            | NodeError::OwnPath(_)
            | NodeError::Output(_) => EXIT_SOFTWARE,
        }
    }
}
