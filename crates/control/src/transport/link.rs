//! A persistent connection to one address, which is opened again whenever it ends.

use super::connection::{run_connection, ConnectionError};
use super::outbox::{Outbox, OverflowPolicy};
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
/// Maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Handle of a persistent connection to one address. Dropping the handle ends the task and closes the
/// connection.
#[derive(Debug)]
pub struct Link {
    outbox: Arc<Outbox>,
    peer_seen: Arc<Notify>,
    task: AbortHandle,
}

impl Link {
    /// Starts to connect to `address`; `hello` is the first frame on each connection.
    pub fn open(address: SocketAddr, hello: &Hello, connection: ConnectionId, events: EventSender) -> Self {
        let outbox = Arc::new(Outbox::new(OverflowPolicy::Drop));
        let mut hello_frame = Vec::new();
        encode_frame(&PeerFrame { body: OneOfbody::hello(hello.clone()) }, &mut hello_frame);
        let peer_seen = Arc::new(Notify::new());
        let task = LinkTask {
            address,
            hello_frame,
            outbox: outbox.clone(),
            peer_seen: peer_seen.clone(),
            connection,
            events,
        };
        let task = tokio::spawn(task.run()).abort_handle();
        Link { outbox, peer_seen, task }
    }

    /// Connects at once, because the process at the address is known to run. Ends a backoff, and restarts a
    /// connection attempt whose first packet may have been sent before that process listened.
    pub fn connect_now(&self) {
        if !self.outbox.is_connected() {
            self.peer_seen.notify_one();
        }
    }

    /// Queues one frame. The frame is lost if the connection ends before it is written.
    pub fn push(&self, body: OneOfbody) {
        self.outbox.push(body);
    }

    /// Whether all queued frames have been written.
    pub fn is_flushed(&self) -> bool {
        self.outbox.is_flushed()
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The task that opens and runs the connections of a link.
struct LinkTask {
    address: SocketAddr,
    hello_frame: Vec<u8>,
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
            match self.connect_and_run().await {
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
                // No backoff: a refused connection shows at once that the process, possibly the leader, is
                // gone.
                was_connected = true;
                backoff = MIN_BACKOFF;
                continue;
            }
            self.wait_before_retry(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Waits until the backoff has passed or the peer is known to run.
    async fn wait_before_retry(&self, backoff: Duration) {
        select! {
            () = sleep(backoff) => {}
            () = self.peer_seen.notified() => {}
        }
    }

    /// Opens a connection. Starts the attempt again if the peer is found to run meanwhile.
    async fn connect(&self) -> io::Result<TcpStream> {
        loop {
            select! {
                biased;
                connected = connect(self.address) => return connected,
                () = self.peer_seen.notified() => {}
            }
        }
    }

    /// Opens one connection and runs it until it ends.
    async fn connect_and_run(&self) -> Result<(), ConnectionError> {
        let mut stream = self.connect().await?;
        let error = run_connection(
            &mut stream,
            self.hello_frame.clone(),
            &self.outbox,
            self.connection,
            &self.events,
        )
        .await;
        log::debug!("connection to {}: {error}", self.address);
        let closed = DriverEvent::Closed { connection: self.connection };
        self.events.send(closed).await.map_err(|_| ConnectionError::Stopped)?;
        Err(error)
    }
}
