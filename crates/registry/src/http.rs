//! The HTTP/1.1 server for the three APIs: for readers, registrars and operators. Each API has its own
//! address.

mod answer;
mod operators;
mod readers;
mod registrars;

use crate::service::Registry;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use std::cell::Cell;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The longest time for receiving a request head, which includes the idle time before it on a kept
/// connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// The longest time that sent data may stay unacknowledged by the caller before the connection is closed.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(30);
/// The interval of checks whether connections have ended, and the pause after a failed accept.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The largest number of connections at one address; further connections wait in the listen queue.
const MAX_CONNECTIONS: usize = 8192;

/// The API that is served at an address. The log shows the name of the variant.
#[derive(Clone, Copy, Debug)]
pub enum Api {
    Readers,
    Registrars,
    Operators,
}

/// Serves one API at the address of `listener` until `closing` is set and all calls in progress are answered.
pub async fn serve(
    listener: TcpListener,
    registry: Rc<Registry>,
    api: Api,
    mut closing: watch::Receiver<bool>,
) {
    let connections = Rc::new(Cell::new(0));
    loop {
        if connections.get() >= MAX_CONNECTIONS {
            sleep(POLL_INTERVAL).await;
            continue;
        }
        let accepted = tokio::select! {
            _ = closing.wait_for(|closing| *closing) => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            // The process has no free file descriptor, or the connection was reset in the listen queue.
            sleep(POLL_INTERVAL).await;
            continue;
        };
        connections.set(connections.get() + 1);
        let (registry, connections, closing) = (registry.clone(), connections.clone(), closing.clone());
        spawn_local(async move {
            serve_connection(stream, registry, api, closing, UNREAD_TIMEOUT).await;
            connections.set(connections.get() - 1);
        });
    }
    while connections.get() > 0 {
        sleep(POLL_INTERVAL).await;
    }
}

async fn serve_connection(
    stream: TcpStream,
    registry: Rc<Registry>,
    api: Api,
    mut closing: watch::Receiver<bool>,
    unread_timeout: Duration,
) {
    // If setting the option fails, responses are only slower.
    let _ = stream.set_nodelay(true);
    // A caller that does not read its response, or whose machine is down, must not hold its connection
    // forever.
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(unread_timeout));
    let service = service_fn(|request| async {
        Ok::<_, Infallible>(match api {
            Api::Readers => readers::handle(&registry, request).await,
            Api::Registrars => registrars::handle(&registry, request).await,
            Api::Operators => operators::handle(&registry, &request),
        })
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    // Errors are caused by the caller, which disconnected or sent invalid HTTP, and are ignored.
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = closing.wait_for(|closing| *closing) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

#[cfg(test)]
mod tests;
