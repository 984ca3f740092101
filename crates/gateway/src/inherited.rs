//! The clients' listening socket, if the platform opened it and passes its descriptor number.

use quick_error::quick_error;
use socket2::{Socket, Type};
use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};

const EXPECTED: &str = "expected the descriptor number of a listening TCP socket";

quick_error! {
    /// Why a descriptor cannot be adopted.
    #[derive(Debug)]
    pub enum InheritedError {
        /// The text is not a descriptor number.
        NotANumber(text: String) {
            display("{text:?}: {EXPECTED}")
        }
        /// The descriptor is not an open socket, or it is one of the standard streams.
        NotASocket(fd: RawFd) {
            display("{fd} is not an open socket: {EXPECTED}")
        }
        /// The socket does not listen, or not for TCP.
        NotListening(fd: RawFd) {
            display("{fd} does not listen for TCP connections: {EXPECTED}")
        }
        /// The socket cannot be examined or set up.
        Io(fd: RawFd, error: io::Error) {
            display("{fd}: {error}")
            source(error)
        }
    }
}

/// Adopts the descriptor. Must be called once, before anything else opens descriptors: a descriptor that is
/// open by then was inherited.
///
/// # Errors
/// The text does not name an open socket that listens for TCP connections.
pub fn listener(number: &str) -> Result<TcpListener, InheritedError> {
    let fd: RawFd = number.parse().map_err(|_| InheritedError::NotANumber(number.to_string()))?;
    let io_error = |e| InheritedError::Io(fd, e);
    // 0 to 2 are the standard streams, which the program writes to.
    let open = std::fs::read_link(format!("/proc/self/fd/{fd}"));
    if fd <= 2 || !open.is_ok_and(|to| to.to_string_lossy().starts_with("socket:")) {
        return Err(InheritedError::NotASocket(fd));
    }
    let socket = Socket::from(adopt(fd));
    let listens = socket.is_listener().map_err(io_error)?;
    let address = socket.local_addr().map_err(io_error)?;
    if !listens || address.as_socket().is_none() || socket.r#type().ok() != Some(Type::STREAM) {
        return Err(InheritedError::NotListening(fd));
    }
    socket.set_nonblocking(true).map_err(io_error)?;
    Ok(socket.into())
}

#[allow(unsafe_code)]
fn adopt(fd: RawFd) -> OwnedFd {
    // SAFETY: the descriptor is open, as the caller has checked, and was inherited for this process to own: it
    // is adopted once, at the start, when no other part of the program holds a descriptor above 2.
    unsafe { OwnedFd::from_raw_fd(fd) }
}
