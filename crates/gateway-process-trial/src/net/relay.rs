//! The relay at one gateway's address for a target: accepts the gateway's connections and forwards bytes as
//! the link's faults allow.

use crate::addresses::{Addresses, Target};
use crate::clock::Clock;
use crate::connection::{Connection, FarEnd, LinkHandler};
use crate::net::rewriter::Rewriter;
use socket2::{Domain, SockRef, Socket, Type};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{split, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

/// The size of one read, and how many chunks a relay holds before the sender has to wait.
const CHUNK_BYTES: usize = 16 << 10;
const MAX_HELD_CHUNKS: usize = 8;
/// The length of the accept queue.
const ACCEPT_BACKLOG: i32 = 1024;

/// The state of a link between a gateway and a target. Index 0 is the direction to the target, 1 the
/// direction back.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkState {
    /// Whether bytes are held back.
    pub cut: [bool; 2],
    /// The added latency.
    pub delay: [Duration; 2],
    /// Open connections are reset and new ones refused, because of a fault or because the server is down.
    pub refused: bool,
    /// The incarnation of the server behind the link.
    pub incarnation: u32,
}

impl LinkState {
    /// Whether a direction is cut. A connection can only be established if both directions are open.
    pub fn is_cut(&self) -> bool {
        self.cut[0] || self.cut[1]
    }
}

/// A link from a gateway to a server or the list service, at its own address.
pub struct RelayedLink {
    pub gateway: usize,
    pub target: Target,
    pub address: SocketAddr,
    pub state: Cell<LinkState>,
    /// Notified when `state` changes.
    pub changed: Notify,
}

/// The relay of one link.
pub struct Relay<E> {
    pub link: Rc<RelayedLink>,
    pub clock: Clock,
    pub handler: Rc<E>,
}

impl<E: LinkHandler + 'static> Relay<E> {
    /// Accepts connections while the link allows it.
    pub async fn accept_connections(self: Rc<Self>, listener: TcpListener) {
        let link = &self.link;
        let mut open = Some(listener);
        let mut queue_fillers = HashSet::new();
        loop {
            let state = link.state.get();
            if state.refused && !state.is_cut() {
                open = None;
                link.changed.notified().await;
                continue;
            }
            let listener = match open.take().map(Ok).unwrap_or_else(|| listen(link.address)) {
                Ok(listener) => open.insert(listener),
                Err(e) => return self.handler.relay_failed(format!("{}: {e}", link.address)),
            };
            if state.is_cut() {
                // A backlog of 0 makes the accept queue hold one connection, and the filler occupies that
                // place.
                let filled = rustix::net::listen(&*listener, 0).map_err(io::Error::from);
                match filled.and_then(|()| queue_filler(link.address)) {
                    Ok(queue_filler) => {
                        let at = queue_filler.local_addr().ok().and_then(|at| at.as_socket());
                        queue_fillers.extend(at);
                        link.changed.notified().await;
                    }
                    Err(e) => {
                        return self
                            .handler
                            .relay_failed(format!("{}: filling the accept queue failed: {e}", link.address))
                    }
                }
                if let Err(e) = rustix::net::listen(&*listener, ACCEPT_BACKLOG) {
                    return self.handler.relay_failed(format!("{}: {e}", link.address));
                }
                continue;
            }
            tokio::select! {
                () = link.changed.notified() => {}
                accepted = listener.accept() => match accepted {
                    Ok((_, peer)) if queue_fillers.remove(&peer) => {}
                    Ok((stream, _)) => drop(spawn_local(self.clone().relay(stream))),
                    // The connection was reset in the queue, or no descriptors are left.
                    Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
                },
            }
        }
    }

    /// Forwards one connection until both sides have closed it or it is reset.
    async fn relay(self: Rc<Self>, near: TcpStream) {
        let link = &self.link;
        let _ = near.set_nodelay(true);
        let connection = Rc::new(Connection {
            gateway: link.gateway,
            last_read_ns: Cell::new(self.clock.now()),
            closed_at_ns: Cell::new(None),
            in_flight: Cell::new(None),
            unused: Cell::new(true),
            list_responses: RefCell::default(),
        });
        let incarnation = link.state.get().incarnation;
        let Some(far) = self.handler.clone().connect(link.target, connection.clone()).await else {
            let _ = SockRef::from(&near).set_linger(Some(Duration::ZERO));
            return;
        };
        let (from_far, to_far) = halves(far);
        let (from_near, mut to_near) = near.into_split();
        let out = async {
            let read = |chunk: Option<&mut Vec<u8>>| match chunk {
                Some(_) => connection.last_read_ns.set(self.clock.now()),
                None => {
                    connection.closed_at_ns.set(Some(self.clock.now()));
                    self.handler.gateway_closed(&connection, false);
                }
            };
            forward(link, 0, from_near, to_far, read, |_| {}).await;
        };
        let back = async {
            let gateway_prefix = Addresses::gateway_prefix(link.gateway);
            let list = link.target == Target::List;
            let mut rewriter = Rewriter::default();
            let read = |chunk: Option<&mut Vec<u8>>| {
                if let Some(chunk) = chunk.filter(|_| list) {
                    rewriter.rewrite(chunk, &gateway_prefix);
                }
            };
            let written = |bytes: &[u8]| {
                if list {
                    self.handler.list_bytes_sent(&connection, bytes);
                }
            };
            forward(link, 1, from_far, &mut to_near, read, written).await;
        };
        let reset = tokio::select! {
            biased;
            () = wait_for_reset(link, incarnation) => true,
            ((), ()) = async { tokio::join!(out, back) } => false,
        };
        if reset {
            self.handler.gateway_closed(&connection, true);
            let _ = SockRef::from(to_near.as_ref()).set_linger(Some(Duration::ZERO));
            // A dropped write half would shut the connection down, and the gateway would see its end before
            // the reset.
            to_near.forget();
        }
    }
}

/// The read and write half of the far end.
fn halves(far: FarEnd) -> (Box<dyn AsyncRead + Unpin>, Box<dyn AsyncWrite + Unpin>) {
    match far {
        FarEnd::InProcess(stream) => {
            let (read, write) = split(stream);
            (Box::new(read), Box::new(write))
        }
        FarEnd::Tcp(stream) => {
            let (read, write) = stream.into_split();
            (Box::new(read), Box::new(write))
        }
    }
}

/// Waits until a connection to this incarnation of the server has to be reset, because of a fault or because
/// the server was restarted. A cut hides the reset until it heals.
async fn wait_for_reset(link: &RelayedLink, incarnation: u32) {
    loop {
        let state = link.state.get();
        if !state.is_cut() && (state.refused || state.incarnation != incarnation) {
            return;
        }
        link.changed.notified().await;
    }
}

/// Forwards bytes in one direction. Each chunk is held for the direction's delay and while the direction is
/// cut. `read` is called with each chunk as it arrives and with `None` at the end, `written` with each chunk
/// that was sent.
async fn forward(
    link: &RelayedLink,
    direction: usize,
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut read: impl FnMut(Option<&mut Vec<u8>>),
    mut written: impl FnMut(&[u8]),
) {
    let (sender, held) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_HELD_CHUNKS);
    let reading = async {
        loop {
            let mut chunk = Vec::with_capacity(1024);
            let count = (&mut from).take(CHUNK_BYTES as u64).read_buf(&mut chunk).await;
            if !matches!(count, Ok(1..)) {
                break read(None);
            }
            read(Some(&mut chunk));
            let due = Instant::now() + link.state.get().delay[direction];
            if sender.send((due, chunk)).await.is_err() {
                break;
            }
        }
        drop(sender);
        // The end of the stream is delayed like the bytes before it.
        sleep_until(Instant::now() + link.state.get().delay[direction]).await;
    };
    let writing = async {
        // The receiver is dropped when writing fails, so that reading stops as well.
        let mut held = held;
        while let Some((due, chunk)) = held.recv().await {
            sleep_until(due).await;
            wait_while_cut(link, direction).await;
            if to.write_all(&chunk).await.is_err() {
                return;
            }
            written(&chunk);
        }
    };
    tokio::join!(reading, writing);
    wait_while_cut(link, direction).await;
    // The peer may have closed the connection already.
    let _ = to.shutdown().await;
}

/// Waits while the direction is cut.
async fn wait_while_cut(link: &RelayedLink, direction: usize) {
    while link.state.get().cut[direction] {
        link.changed.notified().await;
    }
}

/// Listens at an address.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Opens a connection whose only purpose is to occupy a place in the accept queue.
fn queue_filler(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    match socket.connect(&address.into()) {
        Err(e) if e.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => Err(e),
        _ => Ok(socket),
    }
}
