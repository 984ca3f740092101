//! What the two ends of a link see, in order, with plain sockets on both.

use super::*;
use crate::net::rewriter::Rewriter;
use crate::wire::{Far, Wire};
use gateway_simulation::link::Link;
use gateway_simulation::Scenario;
use rand::SeedableRng;
use std::io::{self, ErrorKind};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{timeout, Instant};

const LONG: Duration = Duration::from_secs(10);
/// What would have come by now.
const SOON: Duration = Duration::from_millis(150);

/// Servers that hand out their ends of connections.
struct Handed {
    far: mpsc::UnboundedSender<DuplexStream>,
    resets: Cell<u32>,
    ends: Cell<u32>,
}

impl Ends for Handed {
    async fn connected(self: Rc<Self>, _: Target, _: Rc<Wire>) -> Option<Far> {
        let (near, far) = tokio::io::duplex(1 << 10);
        self.far.send(far).ok().map(|()| Far::Here(near))
    }

    fn closed(&self, _: &Wire, reset: bool) {
        let count = if reset { &self.resets } else { &self.ends };
        count.set(count.get() + 1);
    }

    fn told(&self, _: &Wire, _: &[u8]) {}

    fn broken(&self, what: String) {
        panic!("{what}");
    }
}

struct Setup {
    net: Rc<Net<Handed>>,
    ends: Rc<Handed>,
    far: mpsc::UnboundedReceiver<DuplexStream>,
    addresses: Addresses,
    scenario: Scenario,
}

impl Setup {
    fn new() -> Self {
        let (sender, far) = mpsc::unbounded_channel();
        let ends = Rc::new(Handed { far: sender, resets: Cell::new(0), ends: Cell::new(0) });
        let addresses = Addresses::new().unwrap();
        let net = Net::open(&addresses, 2, 2, Clock::default(), ends.clone()).unwrap();
        let scenario = Scenario::from_value(gateway_simulation::find("calm").unwrap()).unwrap();
        Setup { net, ends, far, addresses, scenario }
    }

    fn strike(&self, number: usize, kind: Trouble, words: &str, factor: f64) {
        let link = Link::parse(words, &self.scenario).unwrap();
        let struck = link.resolve(&self.scenario, &mut rand_chacha::ChaCha8Rng::seed_from_u64(1));
        self.net.begin(number, kind, struck, factor);
    }

    async fn connect(&self, gateway: usize, server: usize) -> io::Result<TcpStream> {
        TcpStream::connect(self.addresses.of(gateway, Target::Server(server))).await
    }

    async fn pair(&mut self) -> (TcpStream, DuplexStream) {
        let near = self.connect(0, 0).await.unwrap();
        (near, timeout(LONG, self.far.recv()).await.unwrap().unwrap())
    }
}

async fn heard(from: &mut (impl AsyncRead + Unpin), wait: Duration) -> Option<io::Result<Vec<u8>>> {
    let mut bytes = vec![0; 64];
    let count = timeout(wait, from.read(&mut bytes)).await.ok()?;
    Some(count.map(|count| bytes[..count].to_vec()))
}

async fn hears(from: &mut (impl AsyncRead + Unpin), what: &[u8]) {
    assert_eq!(heard(from, LONG).await.map(|said| said.unwrap()), Some(what.to_vec()));
}

#[tokio::test(flavor = "local")]
async fn a_cut_with_silence_holds_one_way_and_lets_no_connection_come_up_until_it_heals() {
    let mut s = Setup::new();
    let (mut near, mut far) = s.pair().await;
    s.strike(1, Trouble::Cut, "n0 -> s-0", 0.0);
    near.write_all(b"ask").await.unwrap();
    assert!(heard(&mut far, SOON).await.is_none(), "the way out is cut");
    far.write_all(b"word").await.unwrap();
    hears(&mut near, b"word").await;
    assert!(timeout(SOON, s.connect(0, 0)).await.is_err(), "no connection comes up over a cut");
    assert!(timeout(LONG, s.connect(1, 0)).await.unwrap().is_ok(), "another gateway's link is another link");
    assert!(timeout(LONG, s.connect(0, 1)).await.unwrap().is_ok(), "so is that to another server");
    s.net.finish(1);
    hears(&mut far, b"ask").await;
    assert!(timeout(LONG, s.connect(0, 0)).await.unwrap().is_ok());
}

#[tokio::test(flavor = "local")]
async fn an_answer_that_crosses_a_cut_comes_when_it_heals_and_a_close_is_not_heard_meanwhile() {
    let mut s = Setup::new();
    let (mut near, mut far) = s.pair().await;
    s.strike(1, Trouble::Cut, "servers -> gateways", 0.0);
    near.write_all(b"ask").await.unwrap();
    hears(&mut far, b"ask").await;
    far.write_all(b"answer").await.unwrap();
    assert!(heard(&mut near, SOON).await.is_none());
    s.strike(2, Trouble::Cut, "gateways -> servers", 0.0);
    drop(near);
    assert!(heard(&mut far, SOON).await.is_none(), "half open: the far end hears nothing of the end");
    assert_eq!(s.ends.ends.get(), 1, "though it is seen");
    s.net.finish(1);
    s.net.finish(2);
    hears(&mut far, b"").await;
}

async fn is_reset(mut from: OwnedReadHalf) -> bool {
    match heard(&mut from, LONG).await {
        Some(Err(e)) => e.kind() == ErrorKind::ConnectionReset,
        _ => false,
    }
}

#[tokio::test(flavor = "local")]
async fn a_reset_ends_what_is_open_and_refuses_what_is_new() {
    let mut s = Setup::new();
    let (near, _far) = s.pair().await;
    s.strike(1, Trouble::Reset, "n0 <-> s-0", 0.0);
    assert!(is_reset(near.into_split().0).await);
    assert_eq!(s.ends.resets.get(), 1);
    // Until the relay has heard of it a connection may still come up, and is reset.
    let refused = async {
        while s.connect(0, 0).await.is_ok() {
            tokio::task::yield_now().await;
        }
    };
    timeout(LONG, refused).await.expect("it goes on coming up");
    s.net.finish(1);
    let back = async {
        while s.connect(0, 0).await.is_err() {
            tokio::task::yield_now().await;
        }
    };
    timeout(LONG, back).await.expect("it does not come up again");
}

#[tokio::test(flavor = "local")]
async fn a_server_that_dies_behind_a_cut_is_silent_and_resets_once_the_cut_heals() {
    let mut s = Setup::new();
    let (near, _far) = s.pair().await;
    s.strike(1, Trouble::Cut, "n0 <-> s-0", 0.0);
    s.net.server(0, |server| (server.down, server.life) = (true, 1));
    let mut half = near.into_split().0;
    assert!(heard(&mut half, SOON).await.is_none());
    assert!(timeout(SOON, s.connect(0, 0)).await.is_err(), "silence, no refusal");
    // It is back when the cut heals; what was open to the one before it is not.
    s.net.server(0, |server| (server.down, server.life) = (false, 2));
    s.net.finish(1);
    assert!(is_reset(half).await);
    assert!(timeout(LONG, s.connect(0, 0)).await.unwrap().is_ok());
}

#[tokio::test(flavor = "local")]
async fn a_delay_is_of_one_way_and_keeps_the_order() {
    let mut s = Setup::new();
    let (mut near, mut far) = s.pair().await;
    s.strike(1, Trouble::Delay, "n0 -> s-0", 120.0);
    let begun = Instant::now();
    near.write_all(b"one").await.unwrap();
    hears(&mut far, b"one").await;
    assert!(begun.elapsed() >= Duration::from_millis(120));
    near.write_all(b"two").await.unwrap();
    drop(near);
    hears(&mut far, b"two").await;
    hears(&mut far, b"").await;
    assert!(begun.elapsed() >= Duration::from_millis(240));
}

#[test]
fn addresses_in_a_list_are_rewritten_wherever_it_is_cut() {
    let text = b"{\"endpoint\":\"127.199.199.105:40000\"},{\"endpoint\":\"127.199.199.1\"} 127.199";
    let whole = String::from_utf8_lossy(text).replace("127.199.199.", "127.102.117.");
    for size in 1..text.len() {
        let mut rewriter = Rewriter::default();
        let mut out = Vec::new();
        for piece in text.chunks(size) {
            let mut piece = piece.to_vec();
            rewriter.rewrite(&mut piece, &Addresses::seen(217));
            out.extend(piece);
        }
        out.append(&mut rewriter.kept);
        assert_eq!(String::from_utf8(out).unwrap(), whole, "in pieces of {size}");
    }
}
