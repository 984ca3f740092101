//! The clients' listening socket, where the platform holds it and names its descriptor.

use socket2::{Socket, Type};
use std::net::TcpListener;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};

/// Adopts the descriptor. To be called once, before anything else opens descriptors: what is open under the
/// number by then was inherited.
pub fn listener(number: &str) -> Result<TcpListener, String> {
    let wanted = "the number of a listening TCP socket's descriptor is wanted";
    let fd: RawFd = number.parse().map_err(|_| format!("{number:?}: {wanted}"))?;
    // 0 to 2 are the standard streams, which the program writes to.
    let open = std::fs::read_link(format!("/proc/self/fd/{fd}"));
    if fd <= 2 || !open.is_ok_and(|to| to.to_string_lossy().starts_with("socket:")) {
        return Err(format!("{fd} is no open socket: {wanted}"));
    }
    let socket = Socket::from(adopt(fd));
    let listens = socket.is_listener().map_err(|e| format!("{fd}: {e}"))?;
    let address = socket.local_addr().map_err(|e| format!("{fd}: {e}"))?;
    if !listens || address.as_socket().is_none() || socket.r#type().ok() != Some(Type::STREAM) {
        return Err(format!("{fd} does not listen for TCP connections: {wanted}"));
    }
    socket.set_nonblocking(true).map_err(|e| format!("{fd}: {e}"))?;
    Ok(socket.into())
}

#[allow(unsafe_code)]
fn adopt(fd: RawFd) -> OwnedFd {
    // SAFETY: the descriptor is open, as was just seen, and was inherited for this process to own: it is
    // adopted once, at the start, when no other part of the program holds a descriptor above 2.
    unsafe { OwnedFd::from_raw_fd(fd) }
}
