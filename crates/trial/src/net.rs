//! The links: each gateway reaches each server, and the list, at an address of its own, where a relay stands. So the ends of
//! every connection are known, and what passes between them can be cut, reset and delayed, each way by itself.
//!
//! A relay must not hide a fault. While a way is cut, what was said stays in the relay, as it would stay unconfirmed in the
//! sender's socket, and goes on when the way is open; the other end hears of no close either. New connections do not come up:
//! the relay's queue of new connections is kept full, so that the kernel passes over who asks for one, who asks again after
//! a second, as over a link that loses it. A server that is down refuses: nothing listens.

use crate::clock::Clock;
use crate::list::Tap;
use lab::link::Struck;
use lab::scenario::Trouble;
use shell::config::Wrong;
use socket2::{Domain, SockRef, Socket, Type};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener as Reserved};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{split, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

/// The servers whose addresses fit.
pub const MOST_SERVERS: u32 = 140;
/// What a relay reads at once, and how many of these it holds before the sender has to wait.
const PIECE: usize = 16 << 10;
const PIECES: usize = 8;
/// New connections that wait to be taken.
const LINE: i32 = 1024;

/// Addresses on loopback of all that takes part, at one port.
pub struct Addresses {
    port: u16,
    /// Nobody else gets the port meanwhile.
    _held: Reserved,
}

impl Addresses {
    pub fn new() -> Result<Self, Wrong> {
        let failed = |e: io::Error| Wrong::one(format!("no port on loopback: {e}"));
        let held = Reserved::bind("127.0.0.1:0").map_err(failed)?;
        Ok(Addresses { port: held.local_addr().map_err(failed)?.port(), _held: held })
    }

    fn at(&self, ip: [u8; 4]) -> SocketAddr {
        (Ipv4Addr::from(ip), self.port).into()
    }

    /// Where clients reach a gateway.
    pub fn gateway(&self, n: usize) -> SocketAddr {
        self.at([127, 99, (n / 200) as u8, (n % 200) as u8 + 1])
    }

    /// Where its operators do.
    pub fn operators(&self, n: usize) -> SocketAddr {
        self.at([127, 98, (n / 200) as u8, (n % 200) as u8 + 1])
    }

    /// Where a gateway finds what it calls. The second and third part say who calls.
    pub fn of(&self, gateway: usize, target: Target) -> SocketAddr {
        let last = match target {
            Target::Server(n) => 100 + n as u8,
            Target::List => 250,
        };
        self.at([127, 100 + (gateway / 100) as u8, 100 + (gateway % 100) as u8, last])
    }

    /// Where a server is for anybody: readers of the list get [`Addresses::seen`] of it.
    pub fn anybody(&self, server: usize) -> SocketAddr {
        self.at([127, 199, 199, 100 + server as u8])
    }

    /// The list as a gateway is to see it: no byte longer or shorter.
    pub fn seen(gateway: usize) -> [u8; 12] {
        let text = format!("127.{}.{}.", 100 + gateway / 100, 100 + gateway % 100);
        text.as_bytes().try_into().unwrap_or(*ANYBODY)
    }
}

/// What stands in lists for [`Addresses::seen`].
pub const ANYBODY: &[u8; 12] = b"127.199.199.";

/// What gateways call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    Server(usize),
    List,
}

/// What holds on the ways between a gateway and what it calls: on the way out, and back.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Ways {
    cut: [bool; 2],
    delay: [Duration; 2],
    /// Connections are reset and new ones refused: a fault, or nobody is there.
    refused: bool,
    /// The life of the server that is there.
    life: u32,
}

impl Ways {
    /// A connection needs both ways.
    fn shut(&self) -> bool {
        self.cut[0] || self.cut[1]
    }
}

/// A gateway's address of a server or the list.
struct Gate {
    gateway: usize,
    target: Target,
    address: SocketAddr,
    ways: Cell<Ways>,
    changed: Notify,
}

/// A connection as it is seen beside its bytes.
pub struct Wire {
    pub gateway: usize,
    /// When the gateway's last byte came, and when it ended its sending.
    pub read: Cell<u64>,
    pub closed: Cell<Option<u64>>,
    /// The request that is out on it, and when its last byte came.
    pub out: Cell<Option<(u64, u64)>>,
    /// Nothing has come on it yet.
    pub fresh: Cell<bool>,
    /// What the list says on it.
    pub tap: RefCell<Tap>,
}

/// Who is behind the links.
pub trait Ends {
    /// A connection has come up; the other end of it, or nobody is there.
    fn connected(self: Rc<Self>, target: Target, wire: Rc<Wire>) -> impl Future<Output = Option<Far>>;
    /// The gateway has ended its sending, or the connection was reset under what is out.
    fn closed(&self, wire: &Wire, reset: bool);
    /// So much was said to a gateway by the list.
    fn told(&self, wire: &Wire, bytes: &[u8]);
    /// A relay cannot work.
    fn broken(&self, what: String);
}

/// The other end of a connection.
pub enum Far {
    Here(DuplexStream),
    There(TcpStream),
}

/// Whether a server is there, and what a fault does to it.
#[derive(Clone, Copy, Default)]
pub struct Presence {
    pub down: bool,
    pub silent: bool,
    pub life: u32,
}

/// All links.
pub struct Net<E> {
    gates: Vec<Rc<Gate>>,
    /// Faults on links by number, with their milliseconds.
    faults: RefCell<Vec<(usize, Trouble, Struck, f64)>>,
    servers: RefCell<Vec<Presence>>,
    list_silent: Cell<u32>,
    clock: Clock,
    ends: Rc<E>,
}

impl<E: Ends + 'static> Net<E> {
    /// Opens all addresses.
    pub fn open(
        addresses: &Addresses,
        gateways: usize,
        servers: usize,
        clock: Clock,
        ends: Rc<E>,
    ) -> Result<Rc<Self>, Wrong> {
        let targets = || (0..servers).map(Target::Server).chain([Target::List]);
        let gates = (0..gateways).flat_map(|gateway| targets().map(move |target| (gateway, target)));
        let gates = gates.map(|(gateway, target)| {
            let (address, ways) = (addresses.of(gateway, target), Cell::default());
            Rc::new(Gate { gateway, target, address, ways, changed: Notify::new() })
        });
        let net = Rc::new(Net {
            gates: gates.collect(),
            faults: RefCell::default(),
            servers: RefCell::new(vec![Presence::default(); servers]),
            list_silent: Cell::new(0),
            clock,
            ends,
        });
        for gate in &net.gates {
            let listener = listen(gate.address).map_err(|e| Wrong::one(format!("{}: {e}", gate.address)))?;
            spawn_local(net.clone().stand(gate.clone(), listener));
        }
        Ok(net)
    }

    pub fn begin(&self, number: usize, kind: Trouble, struck: Struck, factor: f64) {
        self.faults.borrow_mut().push((number, kind, struck, factor));
        self.refresh();
    }

    pub fn finish(&self, number: usize) {
        self.faults.borrow_mut().retain(|(n, ..)| *n != number);
        self.refresh();
    }

    /// The list says nothing, until as many ends of it have been told.
    pub fn list_silent(&self, on: bool) {
        let count = self.list_silent.get();
        self.list_silent.set(if on { count + 1 } else { count.saturating_sub(1) });
        self.refresh();
    }

    /// Whether a fault has a server say nothing.
    pub fn is_silent(&self, n: usize) -> bool {
        self.servers.borrow()[n].silent
    }

    pub fn server(&self, n: usize, change: impl FnOnce(&mut Presence)) {
        change(&mut self.servers.borrow_mut()[n]);
        self.refresh();
    }

    fn refresh(&self) {
        for gate in &self.gates {
            let ways = self.ways(gate);
            if gate.ways.replace(ways) != ways {
                gate.changed.notify_waiters();
            }
        }
    }

    fn ways(&self, gate: &Gate) -> Ways {
        let mut ways = Ways::default();
        match gate.target {
            Target::Server(n) => {
                let server = self.servers.borrow()[n];
                (ways.cut, ways.refused, ways.life) = ([server.silent; 2], server.down, server.life);
            }
            Target::List => ways.cut = [self.list_silent.get() > 0; 2],
        }
        for (_, kind, struck, factor) in self.faults.borrow().iter() {
            for (way, out) in [(0, true), (1, false)] {
                let hit = match gate.target {
                    Target::Server(n) => struck.server(gate.gateway, n, out),
                    Target::List => struck.list(gate.gateway, out),
                };
                match kind {
                    Trouble::Cut if hit => ways.cut[way] = true,
                    Trouble::Reset if hit => ways.refused = true,
                    Trouble::Delay if hit => ways.delay[way] += Duration::from_secs_f64(factor / 1000.0),
                    _ => {}
                }
            }
        }
        ways
    }

    /// Takes connections at a gate, as the ways allow.
    async fn stand(self: Rc<Self>, gate: Rc<Gate>, listener: TcpListener) {
        let mut open = Some(listener);
        let mut fillers = HashSet::new();
        loop {
            let ways = gate.ways.get();
            if ways.refused && !ways.shut() {
                open = None;
                gate.changed.notified().await;
                continue;
            }
            let listener = match open.take().map(Ok).unwrap_or_else(|| listen(gate.address)) {
                Ok(listener) => open.insert(listener),
                Err(e) => return self.ends.broken(format!("{}: {e}", gate.address)),
            };
            if ways.shut() {
                // The queue is as long as one, which takes it.
                let filled = rustix::net::listen(&*listener, 0).map_err(io::Error::from);
                match filled.and_then(|()| filler(gate.address)) {
                    Ok(filler) => {
                        let at = filler.local_addr().ok().and_then(|at| at.as_socket());
                        fillers.extend(at);
                        gate.changed.notified().await;
                    }
                    Err(e) => return self.ends.broken(format!("{} cannot be cut: {e}", gate.address)),
                }
                if let Err(e) = rustix::net::listen(&*listener, LINE) {
                    return self.ends.broken(format!("{}: {e}", gate.address));
                }
                continue;
            }
            tokio::select! {
                () = gate.changed.notified() => {}
                accepted = listener.accept() => match accepted {
                    Ok((_, peer)) if fillers.remove(&peer) => {}
                    Ok((stream, _)) => drop(spawn_local(self.clone().relay(gate.clone(), stream))),
                    // It was reset in the queue, or there are no descriptors.
                    Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
                },
            }
        }
    }

    /// Carries one connection until both of its ends are done with it.
    async fn relay(self: Rc<Self>, gate: Rc<Gate>, near: TcpStream) {
        let _ = near.set_nodelay(true);
        let wire = Rc::new(Wire {
            gateway: gate.gateway,
            read: Cell::new(self.clock.now()),
            closed: Cell::new(None),
            out: Cell::new(None),
            fresh: Cell::new(true),
            tap: RefCell::default(),
        });
        let life = gate.ways.get().life;
        let Some(far) = self.ends.clone().connected(gate.target, wire.clone()).await else {
            let _ = SockRef::from(&near).set_linger(Some(Duration::ZERO));
            return;
        };
        let (from_far, to_far): (Box<dyn AsyncRead + Unpin>, Box<dyn AsyncWrite + Unpin>) = match far {
            Far::Here(stream) => {
                let (read, write) = split(stream);
                (Box::new(read), Box::new(write))
            }
            Far::There(stream) => {
                let (read, write) = stream.into_split();
                (Box::new(read), Box::new(write))
            }
        };
        let (from_near, mut to_near) = near.into_split();
        // Who is gone for this connection: a fault resets it, or the server was started anew.
        let gone = async {
            loop {
                let ways = gate.ways.get();
                if !ways.shut() && (ways.refused || ways.life != life) {
                    return;
                }
                gate.changed.notified().await;
            }
        };
        let out = async {
            let read = |piece: Option<&mut Vec<u8>>| match piece {
                Some(_) => wire.read.set(self.clock.now()),
                None => {
                    wire.closed.set(Some(self.clock.now()));
                    self.ends.closed(&wire, false);
                }
            };
            carry(&gate, 0, from_near, to_far, read, |_| {}).await;
        };
        let back = async {
            let seen = Addresses::seen(gate.gateway);
            let list = gate.target == Target::List;
            let mut rewriter = Rewriter::default();
            let read = |piece: Option<&mut Vec<u8>>| {
                if let Some(piece) = piece.filter(|_| list) {
                    rewriter.rewrite(piece, &seen);
                }
            };
            let told = |bytes: &[u8]| {
                if list {
                    self.ends.told(&wire, bytes);
                }
            };
            carry(&gate, 1, from_far, &mut to_near, read, told).await;
        };
        let reset = tokio::select! {
            biased;
            () = gone => true,
            ((), ()) = async { tokio::join!(out, back) } => false,
        };
        if reset {
            self.ends.closed(&wire, true);
            let _ = SockRef::from(to_near.as_ref()).set_linger(Some(Duration::ZERO));
            // Else its end would be told before the reset.
            to_near.forget();
        }
    }
}

/// Carries bytes one way: what is read is held until the way lets it through. `read` sees each piece as it comes, none at
/// the end, and `written` what went out.
async fn carry(
    gate: &Gate,
    way: usize,
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut read: impl FnMut(Option<&mut Vec<u8>>),
    mut written: impl FnMut(&[u8]),
) {
    let (sender, held) = mpsc::channel::<(Instant, Vec<u8>)>(PIECES);
    let reading = async {
        loop {
            let mut piece = Vec::with_capacity(1024);
            let count = (&mut from).take(PIECE as u64).read_buf(&mut piece).await;
            if !matches!(count, Ok(1..)) {
                break read(None);
            }
            read(Some(&mut piece));
            let due = Instant::now() + gate.ways.get().delay[way];
            if sender.send((due, piece)).await.is_err() {
                break;
            }
        }
        drop(sender);
        // The end takes as long as what was said before it.
        sleep_until(Instant::now() + gate.ways.get().delay[way]).await;
    };
    let writing = async {
        // Gone with its end, so that nothing more is read for nobody.
        let mut held = held;
        while let Some((due, piece)) = held.recv().await {
            sleep_until(due).await;
            through(gate, way).await;
            if to.write_all(&piece).await.is_err() {
                return;
            }
            written(&piece);
        }
    };
    tokio::join!(reading, writing);
    through(gate, way).await;
    // It may be gone by now.
    let _ = to.shutdown().await;
}

/// Waits until the way is not cut.
async fn through(gate: &Gate, way: usize) {
    while gate.ways.get().cut[way] {
        gate.changed.notified().await;
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(LINE)?;
    TcpListener::from_std(socket.into())
}

/// A connection that only takes a place in the queue.
fn filler(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    match socket.connect(&address.into()) {
        Err(e) if e.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => Err(e),
        _ => Ok(socket),
    }
}

/// Puts a gateway's own addresses in place of [`ANYBODY`], also where that is split between two pieces.
#[derive(Default)]
struct Rewriter {
    /// The end of the last piece that may be the begin of one.
    kept: Vec<u8>,
}

impl Rewriter {
    fn rewrite(&mut self, piece: &mut Vec<u8>, seen: &[u8; 12]) {
        if !self.kept.is_empty() {
            let mut whole = std::mem::take(&mut self.kept);
            whole.append(piece);
            *piece = whole;
        }
        let mut at = 0;
        while at + ANYBODY.len() <= piece.len() {
            if &piece[at..at + ANYBODY.len()] == ANYBODY {
                piece[at..at + ANYBODY.len()].copy_from_slice(seen);
            }
            at += 1;
        }
        let begin = (1..ANYBODY.len()).rev().find(|n| piece.ends_with(&ANYBODY[..*n]));
        if let Some(begin) = begin {
            self.kept = piece.split_off(piece.len() - begin);
        }
    }
}

#[cfg(test)]
mod tests;
