//! Options of sockets between processes, and connecting with a timeout.

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// Maximum time to establish a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// The connection ends if sent bytes stay unacknowledged for this long.
const USER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Idle time after which a connection is probed.
const KEEPALIVE_TIME: Duration = Duration::from_secs(8);
/// Interval of the probes of an idle connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Sets the options of a persistent connection.
///
/// # Errors
///
/// Fails if the operating system refuses an option.
pub fn set_options(socket: SockRef<'_>) -> io::Result<()> {
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_TIME).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}

/// Connects to `address` and sets the options of a persistent connection.
///
/// # Errors
///
/// Fails if the connection is refused or not established within `CONNECT_TIMEOUT`.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    set_options(SockRef::from(&socket))?;
    socket.set_nonblocking(true)?;
    let socket = TcpSocket::from_std_stream(socket.into());
    match timeout(CONNECT_TIMEOUT, socket.connect(address)).await {
        Ok(connected) => connected,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}
