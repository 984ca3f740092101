//! Errors of the demonstration.

use quick_error::quick_error;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

quick_error! {
    /// Error that ends the demonstration.
    #[derive(Debug)]
    pub enum DemoError {
        /// The runtime cannot start.
        Runtime(error: io::Error) {
            display("the demonstration cannot start ({error}): see whether descriptors run out")
        }
        /// A file or directory of the demonstration cannot be written.
        WriteFile(path: PathBuf, error: io::Error) {
            display("{} cannot be written ({error}): set TMPDIR to a folder with room", path.display())
        }
        /// A simulated server cannot listen.
        Listen(error: io::Error) {
            display("a stand-in cannot listen on loopback ({error}): \
                see whether addresses 127.x.y.z may be used here")
        }
        /// The thread of the simulated servers ended before they were started.
        StandInsEnded {
            display("the stand-ins ended before they were started: see what their thread reported")
        }
        /// A child process cannot be started.
        Start(program: PathBuf, error: io::Error) {
            display("{} cannot be started ({error}): see that it may be run", program.display())
        }
        /// A child process cannot be killed.
        Kill(error: io::Error) {
            display("the leader cannot be killed ({error}): see whether it ended by itself")
        }
        /// A child process ended unexpectedly.
        ChildEnded(name: String, log: String) {
            display("{name} ended by itself; the end of its log:\n{log}")
        }
        /// The demonstration exceeded its time limit.
        TimedOut(limit: Duration) {
            display("the play took longer than {} s: try again while the machine is less busy",
                limit.as_secs())
        }
    }
}
