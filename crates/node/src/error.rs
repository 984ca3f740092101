//! Why the program ends without having done its work.

use configuration::SettingsError;
use ctl::CtlError;
use demo::DemoError;
use quick_error::quick_error;
use std::io;
use std::path::PathBuf;

/// Exit codes, after sysexits.h.
const EXIT_USAGE: u8 = 64;
const EXIT_SOFTWARE: u8 = 70;
const EXIT_CONFIGURATION: u8 = 78;

quick_error! {
    /// Why the program ends without having done its work.
    #[derive(Debug)]
    pub enum NodeError {
        /// The command line is not understood.
        Usage(reason: String) {
            display("{reason}: see --help")
        }
        /// The variable with the path of the settings is missing.
        NoSettingsPath {
            display("SPRUCEHATCH_CONFIG is not set: let it hold the path of the settings file")
        }
        /// The settings file cannot be read.
        ReadSettings(path: PathBuf, error: io::Error) {
            display("{} cannot be read ({error}): see that SPRUCEHATCH_CONFIG names a readable settings file", path.display())
        }
        /// The settings file holds something wrong.
        Settings(path: PathBuf, error: SettingsError) {
            display("{}: {error}", path.display())
        }
        /// A file that is to be checked cannot be read.
        ReadFile(path: PathBuf, error: io::Error) {
            display("{} cannot be read ({error}): name a readable file", path.display())
        }
        /// A file that was checked would not do.
        Problems(path: PathBuf, problems: Vec<String>) {
            display("{}: {}", path.display(), problems.join("\n  and: "))
        }
        /// What was found cannot be printed.
        Output(error: io::Error) {
            display("the output cannot be written ({error}): see where it is directed to")
        }
        /// The specification of what is logged is not understood.
        LogSpecification(reason: String) {
            display("--log is not understood ({reason}): give a level, or as in info,control=debug; see --help")
        }
        /// The logger cannot be set up.
        Logger(reason: String) {
            display("cannot log to standard error ({reason}): see that it is open")
        }
        /// A command on a running group did not do what was asked.
        Ctl(error: CtlError) {
            from()
            display("{error}")
        }
        /// The demonstration could not be played.
        Demo(error: DemoError) {
            from()
            display("{error}")
        }
        /// The program does not know where it is.
        OwnPath(error: io::Error) {
            display("the program cannot be found ({error}): start it by its path")
        }
        /// The runtime cannot start.
        Runtime(error: io::Error) {
            display("the runtime cannot start ({error}): see whether descriptors or threads run out")
        }
        /// The role ended with an error.
        Role(reason: String) {
            display("{reason}")
        }
    }
}

impl NodeError {
    /// The exit code that tells callers what kind of error it is.
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
