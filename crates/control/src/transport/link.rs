//! A persistent connection to one address, opened again whenever it ends.

use super::connection::{carry, ConnectionError};
use super::outbox::{Outbox, Overflow};
use super::socket::connect;
use crate::event_queue::EventSender;
use crate::events::{ConnectionId, DriverEvent};
use messages::encode_frame;
use messages::peer::{mod_PeerFrame::OneOfbody, Hello, PeerFrame};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::select;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::{sleep, Instant};

/// Backoff after the first failed connection.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// The longest backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Keeps a connection to one address and writes what is pushed. Dropped, it ends its task and closes the connection.
#[derive(Debug)]
pub struct Link {
    outbox: Arc<Outbox>,
    peer_seen: Arc<Notify>,
    task: AbortHandle,
}

impl Link {
    /// Starts to connect to `address`; `hello` is the first frame on each connection.
    pub fn open(address: SocketAddr, hello: &Hello, connection: ConnectionId, events: EventSender) -> Self {
        let outbox = Arc::new(Outbox::new(Overflow::Drop));
        let mut greeting = Vec::new();
        encode_frame(&PeerFrame { body: OneOfbody::hello(hello.clone()) }, &mut greeting);
        let peer_seen = Arc::new(Notify::new());
        let task = LinkTask {
            address,
            greeting,
            outbox: outbox.clone(),
            peer_seen: peer_seen.clone(),
            connection,
            events,
        };
        let task = tokio::spawn(task.run()).abort_handle();
        Link { outbox, peer_seen, task }
    }

    /// Connects at once, since the process there is known to run: neither the backoff nor an attempt whose opening packet
    /// was sent before it ran is waited for.
    pub fn connect_now(&self) {
        if !self.outbox.is_connected() {
            self.peer_seen.notify_one();
        }
    }

    /// Queues one frame. It is lost if the connection ends before it is written.
    pub fn push(&self, body: OneOfbody) {
        self.outbox.push(body);
    }

    /// Whether nothing waits to be written.
    pub fn is_flushed(&self) -> bool {
        self.outbox.is_flushed()
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The task of a link.
struct LinkTask {
    address: SocketAddr,
    greeting: Vec<u8>,
    outbox: Arc<Outbox>,
    peer_seen: Arc<Notify>,
    connection: ConnectionId,
    events: EventSender,
}

impl LinkTask {
    async fn run(self) {
        let mut backoff = MIN_BACKOFF;
        let mut was_connected = false;
        loop {
            let started = Instant::now();
            match self.connect_and_carry().await {
                Err(ConnectionError::Stopped) => return,
                Err(ConnectionError::Io(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                    let refused = DriverEvent::Refused { connection: self.connection };
                    if was_connected && self.events.send(refused).await.is_err() {
                        return;
                    }
                    was_connected = false;
                }
                _ => {}
            }
            if started.elapsed() > MAX_BACKOFF * 4 {
                // No backoff: whether the process still listens shows whether a leader is lost.
                was_connected = true;
                backoff = MIN_BACKOFF;
                continue;
            }
            self.wait_before_retry(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Waits for the backoff to pass, or until the peer is known to run.
    async fn wait_before_retry(&self, backoff: Duration) {
        select! {
            () = sleep(backoff) => {}
            () = self.peer_seen.notified() => {}
        }
    }

    /// Opens a connection; starts again if the peer is found to run meanwhile.
    async fn connect(&self) -> io::Result<TcpStream> {
        loop {
            select! {
                biased;
                connected = connect(self.address) => return connected,
                () = self.peer_seen.notified() => {}
            }
        }
    }

    /// One connection, from its opening to its end.
    async fn connect_and_carry(&self) -> Result<(), ConnectionError> {
        let mut stream = self.connect().await?;
        let error =
            carry(&mut stream, self.greeting.clone(), &self.outbox, self.connection, &self.events).await;
        log::debug!("connection to {}: {error}", self.address);
        let closed = DriverEvent::Closed { connection: self.connection };
        self.events.send(closed).await.map_err(|_| ConnectionError::Stopped)?;
        Err(error)
    }
}
