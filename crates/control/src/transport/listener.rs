//! Accepts connections of other processes.

use super::connection::carry;
use super::outbox::{Outbox, Overflow};
use super::socket::tune;
use crate::event_queue::EventSender;
use crate::events::{ConnectionId, DriverEvent, FIRST_ACCEPTED};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Connections that may wait to be accepted: a full queue drops opening packets, which come again only after seconds.
const BACKLOG: i32 = 1_024;
/// Backoff after a failed accept, such as for lack of descriptors.
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

/// Accepts connections until the driver is gone.
pub async fn accept(listener: TcpListener, events: EventSender) {
    let mut next = FIRST_ACCEPTED;
    while !events.is_closed() {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, next, events.clone()));
                next += 1;
            }
            Err(error) => {
                log::warn!("cannot accept a connection ({error}): see whether descriptors run out");
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve(mut stream: TcpStream, connection: ConnectionId, events: EventSender) {
    if let Err(error) = tune(SockRef::from(&stream)) {
        log::debug!("options of an accepted connection: {error}");
    }
    let outbox = Arc::new(Outbox::new(Overflow::Close));
    let accepted = DriverEvent::Accepted { connection, outbox: outbox.clone() };
    if events.send(accepted).await.is_err() {
        return;
    }
    let error = carry(&mut stream, Vec::new(), &outbox, connection, &events).await;
    log::debug!("accepted connection {connection}: {error}");
    let _ = events.send(DriverEvent::Closed { connection }).await;
}
