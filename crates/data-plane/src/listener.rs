//! Opens listening sockets and accepts connections.

use crate::error::DataPlaneError;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::sleep;

/// Length of the queue of connections that wait to be accepted. If the queue is full, the client's operating
/// system retries the connection only after seconds.
const BACKLOG: u32 = 1_024;
/// Wait after a failed accept, for example if the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Listens on `address`. `SO_REUSEADDR` allows this while connections of an earlier process are in
/// `TIME_WAIT`.
pub fn listen(address: SocketAddr) -> Result<TcpListener, DataPlaneError> {
    try_listen(address).map_err(|error| DataPlaneError::Listen(address, error))
}

fn try_listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Clears the readiness that the runtime assumes of an accepted socket. Must be called before the runtime polls
/// for events, or it would clear a reported readiness.
fn clear_assumed_readiness(stream: &TcpStream) {
    let nothing_read = || Err::<(), _>(io::ErrorKind::WouldBlock.into());
    // Always fails with `WouldBlock`, which is what clears the readiness.
    let _ = stream.try_io(Interest::READABLE, nothing_read);
}

/// Waits for the next connection; retries after a failure.
///
/// The first read of the returned stream waits until the operating system has reported its state, which tells
/// whether the peer has closed the connection behind the bytes that it sent.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                clear_assumed_readiness(&stream);
                return stream;
            }
            Err(error) => {
                log::debug!("cannot accept a connection ({error}), retrying");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
