//! Tests of the pool with fake connections, on a paused clock.

use crate::pool::close_reason::CloseReason;
use crate::pool::connection::{Checkout, LinkState, Open, PooledConnection, Reusable, Unavailable};
use crate::pool::Pool;
use gateway_decisions::Scope;
use gateway_protocol::list::{State, Target};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::cell::{Cell, RefCell};
use std::collections::{HashSet, VecDeque};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::{spawn_local, yield_now, JoinHandle};
use tokio::time::{advance, Instant};

pub fn target(uid: &str, address: SocketAddr, boot_ms: u64, state: State) -> Target {
    Target {
        uid: uid.to_string(),
        endpoint: address.to_string(),
        az: String::new(),
        model: String::new(),
        pod_group: 0,
        state,
        capacity_hint: 1.0,
        boot_ms,
    }
}

impl<O: Open> Pool<O> {
    /// Makes all idle connections appear idle for `by` longer.
    pub fn age(&self, by: Duration) {
        let mut servers = self.servers.borrow_mut();
        servers.values_mut().flat_map(|s| &mut s.idle).for_each(|p| p.last_used -= by);
    }
}

/// A fake connection whose state the test sets.
struct Fake {
    number: usize,
    address: SocketAddr,
    /// The number of the handshake that opened it.
    handshake: usize,
    network: Rc<FakeNetwork>,
}

impl Reusable for Fake {
    fn link_state(&mut self) -> LinkState {
        self.network.link_state.borrow()[self.number]
    }
}

impl Drop for Fake {
    fn drop(&mut self) {
        self.network.open.borrow_mut().remove(&self.number);
    }
}

type Handshake = (SocketAddr, oneshot::Sender<io::Result<()>>);

#[derive(Default)]
struct FakeNetwork {
    /// The state of every connection that ever opened, by number.
    link_state: RefCell<Vec<LinkState>>,
    open: RefCell<HashSet<usize>>,
    handshakes: RefCell<VecDeque<Handshake>>,
    begun: Cell<usize>,
}

impl FakeNetwork {
    /// Completes the oldest pending handshake.
    fn answers(&self, how: io::Result<()>) {
        let (_, end) = self.handshakes.borrow_mut().pop_front().expect("a handshake is pending");
        end.send(how).expect("the handshake is awaited");
    }

    fn pending_handshakes(&self) -> Vec<SocketAddr> {
        self.handshakes.borrow().iter().map(|h| h.0).collect()
    }
}

struct Opener(Rc<FakeNetwork>);

impl Open for Opener {
    type Link = Fake;

    async fn open(&self, address: SocketAddr) -> io::Result<Fake> {
        let (end, ended) = oneshot::channel();
        let handshake = self.0.begun.replace(self.0.begun.get() + 1);
        self.0.handshakes.borrow_mut().push_back((address, end));
        // A handshake that the test never completes stays pending.
        ended.await.map_err(io::Error::other)??;
        let mut link_state = self.0.link_state.borrow_mut();
        link_state.push(LinkState::Ready);
        let number = link_state.len() - 1;
        self.0.open.borrow_mut().insert(number);
        Ok(Fake { number, address, handshake, network: self.0.clone() })
    }
}

const CONNECT: Duration = Duration::from_millis(200);
const IDLE: Duration = Duration::from_secs(5);

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn up(uid: &str, port: u16, boot_ms: u64) -> Target {
    target(uid, address(port), boot_ms, State::Ready)
}

/// Runs a test with a new pool on a paused clock.
fn with_pool<F: Future<Output = ()>>(test: impl FnOnce(Rc<Pool<Opener>>, Rc<FakeNetwork>) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build_local(Default::default())
        .expect("a runtime");
    runtime.block_on(async {
        let network = Rc::new(FakeNetwork::default());
        let pool = Pool::new(Opener(network.clone()), 100, CONNECT, IDLE);
        let maintenance = spawn_local(pool.clone().maintain());
        pool.update(Scope::Full, &[up("s", 1, 0), up("t", 2, 0)]);
        test(pool, network).await;
        maintenance.abort();
    });
}

async fn settle() {
    for _ in 0..10 {
        yield_now().await;
    }
}

type Take = JoinHandle<Checkout<Fake>>;

/// Starts a checkout and lets it progress as far as it can.
async fn ask(pool: &Rc<Pool<Opener>>, name: &str) -> Take {
    let (pool, name) = (pool.clone(), name.into());
    let task = spawn_local(async move { pool.checkout(&name).await });
    settle().await;
    task
}

async fn opened(pool: &Rc<Pool<Opener>>, network: &FakeNetwork, name: &str) -> PooledConnection<Fake> {
    let task = ask(pool, name).await;
    network.answers(Ok(()));
    task.await.expect("no panic").expect("the connection opens")
}

fn closed(pool: &Rc<Pool<Opener>>, cause: CloseReason) -> u64 {
    pool.figures().closed.get(&cause).copied().unwrap_or(0)
}

fn missing(given: Result<Checkout<Fake>, tokio::task::JoinError>) -> Unavailable {
    given.expect("no panic").err().expect("no connection")
}

// ---- Reuse ----

#[test]
fn checkout_takes_most_recently_used_connection_and_others_expire() {
    with_pool(|pool, network| async move {
        let (a, b) = (opened(&pool, &network, "s").await, opened(&pool, &network, "s").await);
        let (first, second) = (a.link.number, b.link.number);
        pool.give_back(a);
        advance(Duration::from_millis(5)).await;
        pool.give_back(b);
        for _ in 0..8 {
            advance(Duration::from_secs(1)).await;
            settle().await;
            let p = ask(&pool, "s").await.await.unwrap().unwrap();
            assert_eq!((p.link.number, p.idle_time), (second, Some(Duration::from_secs(1))));
            pool.give_back(p);
        }
        assert!(!network.open.borrow().contains(&first), "it was not used before its idle timeout");
        let f = pool.figures();
        assert_eq!((f.open, f.idle, f.opened, f.reused, f.waits), (1, 1, 2, 8, 2));
        assert_eq!(closed(&pool, CloseReason::Expired), 1);
    });
}

#[test]
fn checkout_takes_first_free_connection_and_keeps_unneeded_handshake() {
    with_pool(|pool, network| async move {
        let busy = opened(&pool, &network, "s").await;
        let waits = ask(&pool, "s").await;
        assert_eq!(network.pending_handshakes().len(), 1);
        advance(Duration::from_millis(30)).await;
        let number = busy.link.number;
        pool.give_back(busy);
        let got = waits.await.unwrap().unwrap();
        assert_eq!((got.link.number, got.idle_time), (number, Some(Duration::ZERO)));
        assert!((30_000..33_000).contains(&pool.figures().waited_us), "{}", pool.figures());
        network.answers(Ok(()));
        settle().await;
        assert_eq!(pool.figures().idle, 1, "the new connection is kept idle");
        let next = ask(&pool, "s").await.await.unwrap().unwrap();
        assert_eq!((next.link.number, next.idle_time), (1, None), "the connection has not been used before");
    });
}

#[test]
fn closes_unneeded_new_connection_over_server_limit() {
    with_pool(|pool, network| async move {
        let busy = opened(&pool, &network, "s").await;
        let waits = ask(&pool, "s").await;
        pool.set_server_limit(&"s".into(), 1);
        pool.give_back(busy);
        let _got = waits.await.unwrap().unwrap();
        network.answers(Ok(()));
        settle().await;
        assert_eq!((pool.figures().open, closed(&pool, CloseReason::Room)), (1, 1));
    });
}

#[test]
fn handshake_of_cancelled_checkout_serves_next_one() {
    with_pool(|pool, network| async move {
        let left = ask(&pool, "s").await;
        left.abort();
        settle().await;
        let next = ask(&pool, "s").await;
        assert_eq!(network.pending_handshakes().len(), 1, "no second handshake is started");
        network.answers(Ok(()));
        assert_eq!(next.await.unwrap().unwrap().link.number, 0);
        assert_eq!(pool.figures().opened, 1);
    });
}

/// An attempt is cancelled after a connection has been assigned to it: the connection returns to the pool.
#[test]
fn connection_assigned_to_cancelled_checkout_returns_to_pool() {
    with_pool(|pool, network| async move {
        let busy = opened(&pool, &network, "s").await;
        let waits = ask(&pool, "s").await;
        pool.give_back(busy);
        // Aborted before the task could run.
        waits.abort();
        settle().await;
        assert_eq!((pool.figures().open, pool.figures().idle), (1, 1));
    });
}

// ---- Stale links ----

#[test]
fn does_not_hand_out_closed_or_broken_connections() {
    with_pool(|pool, network| async move {
        for found in [LinkState::Closed, LinkState::Broken] {
            let p = opened(&pool, &network, "s").await;
            let number = p.link.number;
            pool.give_back(p);
            network.link_state.borrow_mut()[number] = found;
            let next = opened(&pool, &network, "s").await;
            assert_ne!(next.link.number, number);
        }
        assert_eq!(closed(&pool, CloseReason::Closed), 2);
    });
}

#[test]
fn closes_connection_after_last_answer() {
    with_pool(|pool, network| async move {
        let p = opened(&pool, &network, "s").await;
        network.link_state.borrow_mut()[p.link.number] = LinkState::Closed;
        pool.give_back(p);
        assert_eq!((pool.figures().open, closed(&pool, CloseReason::Ended)), (0, 1));
    });
}

#[test]
fn learns_idle_limit_from_closes_by_server() {
    with_pool(|pool, network| async move {
        // Twice: a connection is found closed after it was idle, and a new one is opened.
        for _ in 0..2 {
            let p = opened(&pool, &network, "s").await;
            let number = p.link.number;
            pool.give_back(p);
            advance(Duration::from_millis(300)).await;
            network.link_state.borrow_mut()[number] = LinkState::Closed;
            let p = opened(&pool, &network, "s").await;
            p.close(CloseReason::GivenUp);
        }
        let p = opened(&pool, &network, "s").await;
        pool.give_back(p);
        advance(Duration::from_millis(280)).await;
        let waits = ask(&pool, "s").await;
        assert_eq!(closed(&pool, CloseReason::Expired), 1, "the server is about to close the connection");
        waits.abort();
    });
}

#[test]
fn unresponsive_server_loses_idle_connections_unless_it_answered_elsewhere() {
    with_pool(|pool, network| async move {
        let (a, b) = (opened(&pool, &network, "s").await, opened(&pool, &network, "s").await);
        let written = Instant::now();
        advance(Duration::from_millis(50)).await;
        pool.record_answer(&a, written);
        pool.give_back(a);
        pool.handle_timeout(&"s".into(), written);
        assert_eq!(pool.figures().idle, 1, "the server answered on another connection");
        pool.handle_timeout(&"s".into(), Instant::now() + Duration::from_millis(1));
        assert_eq!((pool.figures().idle, closed(&pool, CloseReason::Silent)), (0, 1));
        drop(b);
    });
}

// ---- The list and operators ----

#[test]
fn connections_to_old_process_are_dropped_after_restart_or_move() {
    for again in [up("s", 1, 7), up("s", 9, 0)] {
        with_pool(|pool, network| async move {
            let (idle, busy) = (opened(&pool, &network, "s").await, opened(&pool, &network, "s").await);
            pool.give_back(idle);
            // A third attempt gets the idle connection, a fourth waits for a handshake with the old process.
            let third = ask(&pool, "s").await.await.unwrap().unwrap();
            let fourth = ask(&pool, "s").await;
            pool.give_back(third);
            let fifth = ask(&pool, "s").await;
            pool.update(Scope::Changes, std::slice::from_ref(&again));
            settle().await;
            pool.give_back(busy);
            network.answers(Ok(()));
            settle().await;
            let end: SocketAddr = again.endpoint.parse().unwrap();
            assert!(
                network.pending_handshakes().iter().all(|a| *a == end),
                "{:?}",
                network.pending_handshakes()
            );
            while !network.pending_handshakes().is_empty() {
                network.answers(Ok(()));
                settle().await;
            }
            let got = [fourth.await.unwrap().unwrap(), fifth.await.unwrap().unwrap()];
            assert!(got.iter().filter(|p| p.idle_time.is_none()).all(|p| p.link.address == end));
            assert!(
                got.iter().any(|p| p.idle_time.is_none()),
                "waiting checkouts continue with the new process"
            );
            assert!(closed(&pool, CloseReason::Listed) >= 2);
            assert_eq!(pool.figures().idle, 0);
        });
    }
}

#[test]
fn drain_or_disable_during_handshake_ends_wait_immediately() {
    let calls: [fn(&Rc<Pool<Opener>>); 3] = [
        |pool| pool.update(Scope::Changes, &[target("s", address(1), 0, State::Terminating)]),
        |pool| pool.update(Scope::Full, &[up("t", 2, 0)]),
        |pool| pool.disable(&"s".into()),
    ];
    for call in calls {
        with_pool(|pool, network| async move {
            let waits = ask(&pool, "s").await;
            call(&pool);
            assert_eq!(missing(waits.await), Unavailable::NotAccepting);
            network.answers(Ok(()));
            settle().await;
            assert_eq!((pool.figures().open, closed(&pool, CloseReason::Listed)), (0, 1));
            assert_eq!(missing(ask(&pool, "s").await.await), Unavailable::NotAccepting);
            assert!(network.pending_handshakes().is_empty());
        });
    }
}

/// The list changes after a connection was assigned to an attempt and before the attempt takes it.
#[test]
fn connection_assigned_before_drain_is_not_used_after_it() {
    with_pool(|pool, network| async move {
        let busy = opened(&pool, &network, "s").await;
        let waits = ask(&pool, "s").await;
        pool.give_back(busy);
        pool.update(Scope::Changes, &[target("s", address(1), 0, State::Terminating)]);
        assert_eq!(missing(waits.await), Unavailable::NotAccepting);
        assert_eq!(pool.figures().open, 0);
    });
}

// ---- Limits ----

#[test]
fn checkout_at_server_limit_waits_for_free_slot() {
    with_pool(|pool, network| async move {
        pool.set_server_limit(&"s".into(), 1);
        let busy = opened(&pool, &network, "s").await;
        let (second, third) = (ask(&pool, "s").await, ask(&pool, "s").await);
        assert!(network.pending_handshakes().is_empty());
        let other = opened(&pool, &network, "t").await;
        pool.give_back(busy);
        let busy = second.await.unwrap().unwrap();
        assert_eq!(busy.link.number, 0, "checkouts are served in order");
        // Only its slot becomes free: the connection itself is closed.
        busy.close(CloseReason::Broken);
        settle().await;
        network.answers(Ok(()));
        assert_eq!(third.await.unwrap().unwrap().link.number, 2);
        drop(other);
    });
}

#[test]
fn wait_at_limits_times_out_and_is_not_blamed_on_server() {
    with_pool(|pool, network| async move {
        pool.set_server_limit(&"s".into(), 1);
        let busy = opened(&pool, &network, "s").await;
        let start = Instant::now();
        assert_eq!(missing(ask(&pool, "s").await.await), Unavailable::AtCapacity);
        assert!(start.elapsed() <= CONNECT + Duration::from_millis(2), "{:?}", start.elapsed());
        drop(busy);
        settle().await;
        let unanswered = ask(&pool, "s").await;
        assert_eq!(
            missing(unanswered.await),
            Unavailable::ConnectTimeout,
            "the connection was not established"
        );
        advance(CONNECT).await;
        settle().await;
        assert_eq!((pool.figures().opening, pool.connections_to(&"s".into())), (0, 0));
    });
}

#[test]
fn evicts_longest_idle_connection_at_total_limit() {
    with_pool(|pool, network| async move {
        pool.set_limit(2);
        let (a, b) = (opened(&pool, &network, "s").await, opened(&pool, &network, "t").await);
        let (first, second) = (a.link.number, b.link.number);
        pool.give_back(a);
        advance(Duration::from_millis(5)).await;
        pool.give_back(b);
        // "t" needs a second connection.
        let one = ask(&pool, "t").await.await.unwrap().unwrap();
        let two = opened(&pool, &network, "t").await;
        assert_eq!(one.link.number, second);
        assert!(!network.open.borrow().contains(&first));
        assert_eq!(closed(&pool, CloseReason::Room), 1);
        pool.give_back(two);
        pool.set_limit(1);
        assert_eq!(pool.figures().open, 1, "idle connections are closed, those in use stay");
        drop(one);
    });
}

#[test]
fn refused_handshake_fails_only_longest_waiting_checkout() {
    with_pool(|pool, network| async move {
        let (first, second) = (ask(&pool, "s").await, ask(&pool, "s").await);
        network.answers(Err(io::ErrorKind::ConnectionRefused.into()));
        assert_eq!(missing(first.await), Unavailable::Refused);
        network.answers(Ok(()));
        assert!(second.await.unwrap().is_ok());
        assert_eq!(pool.figures().failed, 1);
    });
}

#[test]
fn evicts_idle_connections_when_out_of_descriptors_without_leaks() {
    with_pool(|pool, network| async move {
        let spare = opened(&pool, &network, "t").await;
        pool.give_back(spare);
        let out_of_descriptors = || io::Error::from_raw_os_error(24);
        let waits = ask(&pool, "s").await;
        network.answers(Err(out_of_descriptors()));
        settle().await;
        assert_eq!(closed(&pool, CloseReason::Room), 1);
        network.answers(Ok(()));
        let got = waits.await.unwrap().unwrap();
        let waits = ask(&pool, "t").await;
        network.answers(Err(out_of_descriptors()));
        assert_eq!(missing(waits.await), Unavailable::OutOfDescriptors, "no idle connection is left");
        drop(got);
        let f = pool.figures();
        assert_eq!((f.open, f.opening, pool.counts.total.get()), (0, 0, 0));
    });
}

// ---- Any sequence ----

#[derive(Clone, Debug)]
enum Step {
    Ask(usize),
    /// A waiting attempt is cancelled.
    Cancel(usize),
    Handshake(usize, u8),
    /// An attempt ends: its connection is returned or broken.
    End(usize, bool),
    /// A server closes a connection, or sends unexpected data.
    Server(usize, bool),
    Advance(u64),
    ServerLimit(usize, usize),
    TotalLimit(usize),
    /// An update of the list: ready, draining, gone, moved or restarted.
    List(usize, u8),
    Disable(usize, bool),
}

const SERVERS: [&str; 3] = ["s", "t", "u"];

fn step() -> impl Strategy<Value = Step> {
    let (one, some) = (0..SERVERS.len(), 0..8usize);
    prop_oneof![
        6 => one.clone().prop_map(Step::Ask),
        1 => some.clone().prop_map(Step::Cancel),
        5 => (some.clone(), 0..6u8).prop_map(|(n, how)| Step::Handshake(n, how)),
        5 => (some.clone(), any::<bool>()).prop_map(|(n, back)| Step::End(n, back)),
        1 => (some.clone(), any::<bool>()).prop_map(|(n, closes)| Step::Server(n, closes)),
        2 => (0..2500u64).prop_map(Step::Advance),
        1 => (one.clone(), 1..4usize).prop_map(|(s, n)| Step::ServerLimit(s, n)),
        1 => (1..7usize).prop_map(Step::TotalLimit),
        2 => (one.clone(), 0..5u8).prop_map(|(s, what)| Step::List(s, what)),
        1 => (one, any::<bool>()).prop_map(|(s, on)| Step::Disable(s, on)),
    ]
}

/// The expected state of a server.
#[derive(Clone)]
struct ExpectedServer {
    address: SocketAddr,
    boot_ms: u64,
    ready: bool,
    disabled: bool,
    most: usize,
    /// The number of handshakes that had begun at its last change.
    since: usize,
}

async fn play(steps: Vec<Step>, pool: Rc<Pool<Opener>>, network: Rc<FakeNetwork>) {
    let mut known: Vec<ExpectedServer> = (0..SERVERS.len())
        .map(|n| ExpectedServer {
            address: address(n as u16 + 1),
            boot_ms: 0,
            ready: true,
            disabled: false,
            most: usize::MAX,
            since: 0,
        })
        .collect();
    let list = |n: usize, k: &ExpectedServer, state| target(SERVERS[n], k.address, k.boot_ms, state);
    let all: Vec<Target> = known.iter().enumerate().map(|(n, k)| list(n, k, State::Ready)).collect();
    pool.update(Scope::Full, &all);
    let (mut most, mut port) = (100, 100);
    let mut waiting: Vec<(usize, Take)> = Vec::new();
    let mut held: Vec<PooledConnection<Fake>> = Vec::new();
    for step in steps {
        let before: Vec<usize> = SERVERS.iter().map(|s| pool.connections_to(&(*s).into())).collect();
        let all_before = pool.counts.total.get();
        match &step {
            Step::Ask(s) => {
                let task = ask(&pool, SERVERS[*s]).await;
                waiting.push((*s, task));
            }
            Step::Cancel(n) if *n < waiting.len() => {
                let (_, task) = waiting.remove(*n);
                if !task.is_finished() {
                    task.abort();
                } else if let Ok(Ok(p)) = task.await {
                    held.push(p);
                }
            }
            Step::Handshake(n, how) if *n < network.pending_handshakes().len() => {
                let (_, end) = network.handshakes.borrow_mut().remove(*n).expect("seen");
                let _ = end.send(match how {
                    0 => Err(io::ErrorKind::ConnectionRefused.into()),
                    1 => Err(io::Error::from_raw_os_error(24)),
                    _ => Ok(()),
                });
            }
            Step::End(n, back) if *n < held.len() => {
                let p = held.remove(*n);
                if *back {
                    pool.give_back(p);
                } else {
                    pool.close_broken(p, Instant::now());
                }
            }
            Step::Server(n, closes) => {
                let found = if *closes { LinkState::Closed } else { LinkState::Broken };
                if let Some(f) = network.link_state.borrow_mut().get_mut(*n) {
                    *f = found;
                }
            }
            Step::Advance(ms) => advance(Duration::from_millis(*ms)).await,
            Step::ServerLimit(s, n) => {
                known[*s].most = *n;
                pool.set_server_limit(&SERVERS[*s].into(), *n);
            }
            Step::TotalLimit(n) => {
                most = *n;
                pool.set_limit(*n);
            }
            Step::List(s, what) => {
                let k = &mut known[*s];
                k.ready = !matches!(what, 1 | 2);
                port += 1;
                match what {
                    3 => k.address = address(port),
                    4 => k.boot_ms += 1,
                    _ => {}
                }
                if *what != 0 {
                    k.since = network.begun.get();
                }
                let state = [State::Ready, State::Terminating, State::Gone, State::Ready, State::Ready];
                pool.update(Scope::Changes, &[list(*s, k, state[*what as usize])]);
            }
            Step::Disable(s, on) => {
                known[*s].disabled = *on;
                if *on {
                    known[*s].since = network.begun.get();
                    pool.disable(&SERVERS[*s].into());
                } else {
                    pool.enable(&SERVERS[*s].into());
                }
            }
            Step::Cancel(_) | Step::Handshake(..) | Step::End(..) => {}
        }
        settle().await;
        // Each attempt got a ready connection to the current server, which no other attempt holds.
        let (done, open): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|(_, t)| t.is_finished());
        waiting = open;
        for (s, task) in done {
            if let Ok(p) = task.await.expect("no panic") {
                let k = &known[s];
                assert!(k.ready && !k.disabled && p.link.address == k.address, "after {step:?}");
                assert!(p.link.handshake >= k.since, "after {step:?}");
                assert_eq!(network.link_state.borrow()[p.link.number], LinkState::Ready, "after {step:?}");
                assert!(p.idle_time.is_none_or(|idle| idle < IDLE), "after {step:?}");
                assert!(held.iter().all(|h| h.link.number != p.link.number), "after {step:?}");
                held.push(p);
            }
        }
        // The counts match the connections.
        let f = pool.figures();
        assert_eq!(f.open, network.open.borrow().len(), "after {step:?}");
        assert_eq!(f.open, f.idle + held.len(), "after {step:?}");
        let closed: u64 = f.closed.values().sum();
        assert_eq!(f.opened, f.open as u64 + closed, "after {step:?}");
        assert_eq!(pool.counts.total.get(), f.open + f.opening, "after {step:?}");
        // No limit is exceeded, and the number of connections does not grow above a limit that was lowered.
        assert!(pool.counts.total.get() <= most.max(all_before), "after {step:?}");
        for (n, name) in SERVERS.iter().enumerate() {
            let now = pool.connections_to(&(*name).into());
            assert!(now <= known[n].most.max(before[n]), "{name} after {step:?}");
            let (opening, line, usable) = {
                let servers = pool.servers.borrow();
                let Some(s) = servers.get(*name) else {
                    // The pool forgot this server and its limit; the engine sets the limit again when the
                    // server is listed again.
                    known[n].most = usize::MAX;
                    continue;
                };
                assert!(s.idle.is_empty() || now <= known[n].most, "{name} after {step:?}");
                let line = s.waiting.iter().filter(|w| !w.is_closed()).count();
                (s.opening.get(), line, pool.usable(&(*name).into(), s))
            };
            // No attempt waits while a connection could be opened for it, or for a server that accepts no
            // requests.
            let full = now >= known[n].most || pool.counts.total.get() >= most && f.idle == 0;
            assert!(
                line <= opening || usable && full,
                "{name} after {step:?}: {line} waiting, {opening} being opened"
            );
        }
    }
    held.clear();
    waiting.into_iter().for_each(|(_, task)| task.abort());
}

#[test]
fn random_sequences_keep_counts_limits_and_connection_states() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let run = runner.run(&vec(step(), 1..80), |steps| {
        with_pool(|pool, network| play(steps, pool, network));
        Ok(())
    });
    run.unwrap_or_else(|e| panic!("{e}"));
}
