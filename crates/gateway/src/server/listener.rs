//! Listening sockets for clients and operators.

use quick_error::quick_error;
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

const LISTEN_BACKLOG: u32 = 1024;

quick_error! {
    /// Why a socket cannot be listened on.
    #[derive(Debug)]
    pub enum ListenError {
        /// The socket that the platform opened cannot be used.
        Inherited(error: io::Error) {
            display("cannot listen on the inherited socket: {error}")
            source(error)
        }
        /// The address cannot be used.
        Address(address: SocketAddr, error: io::Error) {
            display("cannot listen on {address}: {error}")
            source(error)
        }
    }
}

/// Adopts the clients' listening socket that the platform opened.
pub fn adopt(inherited: std::net::TcpListener) -> Result<TcpListener, ListenError> {
    TcpListener::from_std(inherited).map_err(ListenError::Inherited)
}

/// Opens a listening socket.
pub fn listen(address: SocketAddr) -> Result<TcpListener, ListenError> {
    let open = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        // After a restart, connections of the old process may still be in TIME_WAIT.
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    open().map_err(|e| ListenError::Address(address, e))
}
