//! Errors of the data plane role.

use quick_error::quick_error;
use std::io;
use std::net::SocketAddr;

quick_error! {
    /// Why the data plane role cannot run.
    #[derive(Debug)]
    pub enum DataPlaneError {
        /// `ListenAddrs` lacks an address that the role requires.
        NoListenAddress(name: &'static str) {
            display("ListenAddrs.{name} is missing in the settings: the data plane role requires this address")
        }
        /// A listening socket cannot be opened.
        Listen(address: SocketAddr, error: io::Error) {
            display("cannot listen on {address} ({error}): check that no other process uses the address and that it belongs to this machine")
        }
        /// The runtime or the signals cannot be set up.
        Runtime(error: io::Error) {
            from()
            display("cannot set up the runtime ({error}): check that the limits on file descriptors and memory are high enough")
        }
    }
}
