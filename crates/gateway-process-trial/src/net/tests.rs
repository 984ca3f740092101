//! Tests of what the two ends of a link observe under faults, with plain sockets.

use super::*;
use crate::connection::{Connection, FarEnd};
use crate::net::rewriter::Rewriter;
use gateway_simulation::link::Link;
use gateway_simulation::Scenario;
use rand::SeedableRng;
use std::io::{self, ErrorKind};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{timeout, Instant};

/// How long a test waits for an event that must happen.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a test waits for bytes that must not arrive.
const QUIET_PERIOD: Duration = Duration::from_millis(150);

/// Passes the far end of each connection to the test.
struct TestHandler {
    far: mpsc::UnboundedSender<DuplexStream>,
    resets: Cell<u32>,
    closes: Cell<u32>,
}

impl LinkHandler for TestHandler {
    async fn connect(self: Rc<Self>, _: Target, _: Rc<Connection>) -> Option<FarEnd> {
        let (near, far) = tokio::io::duplex(1 << 10);
        self.far.send(far).ok().map(|()| FarEnd::InProcess(near))
    }

    fn gateway_closed(&self, _: &Connection, reset: bool) {
        let count = if reset { &self.resets } else { &self.closes };
        count.set(count.get() + 1);
    }

    fn list_bytes_sent(&self, _: &Connection, _: &[u8]) {}

    fn relay_failed(&self, error: String) {
        panic!("{error}");
    }
}

struct Setup {
    net: Rc<Net<TestHandler>>,
    handler: Rc<TestHandler>,
    far: mpsc::UnboundedReceiver<DuplexStream>,
    addresses: Addresses,
    scenario: Scenario,
}

impl Setup {
    fn new() -> Self {
        let (sender, far) = mpsc::unbounded_channel();
        let handler = Rc::new(TestHandler { far: sender, resets: Cell::new(0), closes: Cell::new(0) });
        let addresses = Addresses::new().unwrap();
        let net = Net::open(&addresses, 2, 2, Clock::default(), handler.clone()).unwrap();
        let scenario = Scenario::from_value(gateway_simulation::find("calm").unwrap()).unwrap();
        Setup { net, handler, far, addresses, scenario }
    }

    fn begin_fault(&self, number: usize, kind: Trouble, words: &str, factor: f64) {
        let link = Link::parse(words, &self.scenario).unwrap();
        let struck = link.resolve(&self.scenario, &mut rand_chacha::ChaCha8Rng::seed_from_u64(1));
        self.net.begin_fault(number, kind, struck, factor);
    }

    async fn connect(&self, gateway: usize, server: usize) -> io::Result<TcpStream> {
        TcpStream::connect(self.addresses.relay(gateway, Target::Server(server))).await
    }

    async fn open_connection(&mut self) -> (TcpStream, DuplexStream) {
        let near = self.connect(0, 0).await.unwrap();
        (near, timeout(EVENT_TIMEOUT, self.far.recv()).await.unwrap().unwrap())
    }
}

/// Reads what arrives within a time; `None` if nothing arrives.
async fn read_within(from: &mut (impl AsyncRead + Unpin), wait: Duration) -> Option<io::Result<Vec<u8>>> {
    let mut bytes = vec![0; 64];
    let count = timeout(wait, from.read(&mut bytes)).await.ok()?;
    Some(count.map(|count| bytes[..count].to_vec()))
}

/// Asserts that exactly these bytes arrive next; no bytes mean the end of the stream.
async fn expect_bytes(from: &mut (impl AsyncRead + Unpin), what: &[u8]) {
    assert_eq!(read_within(from, EVENT_TIMEOUT).await.map(|read| read.unwrap()), Some(what.to_vec()));
}

#[tokio::test(flavor = "local")]
async fn cut_holds_one_direction_and_blocks_new_connections_until_healed() {
    let mut s = Setup::new();
    let (mut near, mut far) = s.open_connection().await;
    s.begin_fault(1, Trouble::Cut, "n0 -> s-0", 0.0);
    near.write_all(b"ask").await.unwrap();
    assert!(read_within(&mut far, QUIET_PERIOD).await.is_none(), "the direction to the server is cut");
    far.write_all(b"word").await.unwrap();
    expect_bytes(&mut near, b"word").await;
    assert!(timeout(QUIET_PERIOD, s.connect(0, 0)).await.is_err(), "no connection is established over a cut");
    assert!(
        timeout(EVENT_TIMEOUT, s.connect(1, 0)).await.unwrap().is_ok(),
        "the link of another gateway is not cut"
    );
    assert!(
        timeout(EVENT_TIMEOUT, s.connect(0, 1)).await.unwrap().is_ok(),
        "the link to another server is not cut"
    );
    s.net.end_fault(1);
    expect_bytes(&mut far, b"ask").await;
    assert!(timeout(EVENT_TIMEOUT, s.connect(0, 0)).await.unwrap().is_ok());
}

#[tokio::test(flavor = "local")]
async fn cut_holds_back_answers_and_closes_until_healed() {
    let mut s = Setup::new();
    let (mut near, mut far) = s.open_connection().await;
    s.begin_fault(1, Trouble::Cut, "servers -> gateways", 0.0);
    near.write_all(b"ask").await.unwrap();
    expect_bytes(&mut far, b"ask").await;
    far.write_all(b"answer").await.unwrap();
    assert!(read_within(&mut near, QUIET_PERIOD).await.is_none());
    s.begin_fault(2, Trouble::Cut, "gateways -> servers", 0.0);
    drop(near);
    assert!(
        read_within(&mut far, QUIET_PERIOD).await.is_none(),
        "half open: the far end does not see the close"
    );
    assert_eq!(s.handler.closes.get(), 1, "the handler sees the close");
    s.net.end_fault(1);
    s.net.end_fault(2);
    expect_bytes(&mut far, b"").await;
}

async fn reads_reset(mut from: OwnedReadHalf) -> bool {
    match read_within(&mut from, EVENT_TIMEOUT).await {
        Some(Err(e)) => e.kind() == ErrorKind::ConnectionReset,
        _ => false,
    }
}

#[tokio::test(flavor = "local")]
async fn reset_closes_open_connections_and_refuses_new_ones() {
    let mut s = Setup::new();
    let (near, _far) = s.open_connection().await;
    s.begin_fault(1, Trouble::Reset, "n0 <-> s-0", 0.0);
    assert!(reads_reset(near.into_split().0).await);
    assert_eq!(s.handler.resets.get(), 1);
    // A connection may still be established, and then reset, until the relay has noticed the fault.
    let refused = async {
        while s.connect(0, 0).await.is_ok() {
            tokio::task::yield_now().await;
        }
    };
    timeout(EVENT_TIMEOUT, refused).await.expect("connections are refused");
    s.net.end_fault(1);
    let recovered = async {
        while s.connect(0, 0).await.is_err() {
            tokio::task::yield_now().await;
        }
    };
    timeout(EVENT_TIMEOUT, recovered).await.expect("connections are accepted again");
}

#[tokio::test(flavor = "local")]
async fn crash_behind_a_cut_resets_connections_only_after_the_cut_heals() {
    let mut s = Setup::new();
    let (near, _far) = s.open_connection().await;
    s.begin_fault(1, Trouble::Cut, "n0 <-> s-0", 0.0);
    s.net.update_server(0, |server| (server.down, server.incarnation) = (true, 1));
    let mut half = near.into_split().0;
    assert!(read_within(&mut half, QUIET_PERIOD).await.is_none());
    assert!(timeout(QUIET_PERIOD, s.connect(0, 0)).await.is_err(), "no answer, rather than a refusal");
    // The server is up again when the cut heals; connections to its previous incarnation are not.
    s.net.update_server(0, |server| (server.down, server.incarnation) = (false, 2));
    s.net.end_fault(1);
    assert!(reads_reset(half).await);
    assert!(timeout(EVENT_TIMEOUT, s.connect(0, 0)).await.unwrap().is_ok());
}

#[tokio::test(flavor = "local")]
async fn delay_affects_one_direction_and_keeps_order() {
    let mut s = Setup::new();
    let (mut near, mut far) = s.open_connection().await;
    s.begin_fault(1, Trouble::Delay, "n0 -> s-0", 120.0);
    let begun = Instant::now();
    near.write_all(b"one").await.unwrap();
    expect_bytes(&mut far, b"one").await;
    assert!(begun.elapsed() >= Duration::from_millis(120));
    near.write_all(b"two").await.unwrap();
    drop(near);
    expect_bytes(&mut far, b"two").await;
    expect_bytes(&mut far, b"").await;
    assert!(begun.elapsed() >= Duration::from_millis(240));
}

#[test]
fn rewrites_addresses_for_every_chunk_size() {
    let text = b"{\"endpoint\":\"127.199.199.105:40000\"},{\"endpoint\":\"127.199.199.1\"} 127.199";
    let whole = String::from_utf8_lossy(text).replace("127.199.199.", "127.102.117.");
    for size in 1..text.len() {
        let mut rewriter = Rewriter::default();
        let mut out = Vec::new();
        for chunk in text.chunks(size) {
            let mut chunk = chunk.to_vec();
            rewriter.rewrite(&mut chunk, &Addresses::gateway_prefix(217));
            out.extend(chunk);
        }
        out.append(&mut rewriter.partial_match);
        assert_eq!(String::from_utf8(out).unwrap(), whole, "in chunks of {size} bytes");
    }
}
