//! Accepts connections from other processes.

use super::connection::run_connection;
use super::outbox::{Outbox, OverflowPolicy};
use super::socket::set_options;
use crate::event_queue::EventSender;
use crate::events::{ConnectionId, DriverEvent, FIRST_ACCEPTED};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Length of the queue of connections to be accepted. A full queue drops SYN packets, which are sent again
/// only after seconds.
const BACKLOG: i32 = 1_024;
/// Backoff after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Binds a listener to `address`.
///
/// # Errors
///
/// Fails if the address is in use or is not one of this machine.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Accepts connections until the driver has ended.
pub async fn accept(listener: TcpListener, events: EventSender) {
    let mut next = FIRST_ACCEPTED;
    while !events.is_closed() {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, next, events.clone()));
                next += 1;
            }
            Err(error) => {
                log::warn!(
                    "cannot accept a connection ({error}): check whether file descriptors are exhausted"
                );
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Runs one accepted connection until it ends.
async fn serve(mut stream: TcpStream, connection: ConnectionId, events: EventSender) {
    if let Err(error) = set_options(SockRef::from(&stream)) {
        log::debug!("cannot set the options of an accepted connection: {error}");
    }
    let outbox = Arc::new(Outbox::new(OverflowPolicy::Close));
    let accepted = DriverEvent::Accepted { connection, outbox: outbox.clone() };
    if events.send(accepted).await.is_err() {
        return;
    }
    let error = run_connection(&mut stream, Vec::new(), &outbox, connection, &events).await;
    log::debug!("accepted connection {connection}: {error}");
    let _ = events.send(DriverEvent::Closed { connection }).await;
}
