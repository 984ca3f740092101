//! The pool with connections that are what the test says they are, on a clock that stands still.

use crate::pool::close_reason::CloseReason;
use crate::pool::connection::{Checkout, LinkState, Open, Pooled, Reusable, Unavailable};
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
    /// All idle connections have idled for so much longer.
    pub fn age(&self, by: Duration) {
        let mut servers = self.servers.borrow_mut();
        servers.values_mut().flat_map(|s| &mut s.idle).for_each(|p| p.last_used -= by);
    }
}

/// A connection that is what the test says it is.
struct Fake {
    number: usize,
    address: SocketAddr,
    /// Which handshake it came from.
    handshake: usize,
    world: Rc<World>,
}

impl Reusable for Fake {
    fn link_state(&mut self) -> LinkState {
        self.world.link_state.borrow()[self.number]
    }
}

impl Drop for Fake {
    fn drop(&mut self) {
        self.world.open.borrow_mut().remove(&self.number);
    }
}

type Handshake = (SocketAddr, oneshot::Sender<io::Result<()>>);

#[derive(Default)]
struct World {
    /// By number, of all connections that ever came up.
    link_state: RefCell<Vec<LinkState>>,
    open: RefCell<HashSet<usize>>,
    handshakes: RefCell<VecDeque<Handshake>>,
    begun: Cell<usize>,
}

impl World {
    /// The oldest handshake under way ends.
    fn answers(&self, how: io::Result<()>) {
        let (_, end) = self.handshakes.borrow_mut().pop_front().expect("one is under way");
        end.send(how).expect("it is waited for");
    }

    fn under_way(&self) -> Vec<SocketAddr> {
        self.handshakes.borrow().iter().map(|h| h.0).collect()
    }
}

struct Opener(Rc<World>);

impl Open for Opener {
    type Link = Fake;

    async fn open(&self, address: SocketAddr) -> io::Result<Fake> {
        let (end, ended) = oneshot::channel();
        let handshake = self.0.begun.replace(self.0.begun.get() + 1);
        self.0.handshakes.borrow_mut().push_back((address, end));
        // One that nobody ever ends stays under way.
        ended.await.map_err(io::Error::other)??;
        let mut link_state = self.0.link_state.borrow_mut();
        link_state.push(LinkState::Ready);
        let number = link_state.len() - 1;
        self.0.open.borrow_mut().insert(number);
        Ok(Fake { number, address, handshake, world: self.0.clone() })
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

/// A pool of its own on a clock that stands still.
fn with_pool<F: Future<Output = ()>>(test: impl FnOnce(Rc<Pool<Opener>>, Rc<World>) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build_local(Default::default())
        .expect("a runtime");
    runtime.block_on(async {
        let world = Rc::new(World::default());
        let pool = Pool::new(Opener(world.clone()), 100, CONNECT, IDLE);
        let keeper = spawn_local(pool.clone().maintain());
        pool.update(Scope::Full, &[up("s", 1, 0), up("t", 2, 0)]);
        test(pool, world).await;
        keeper.abort();
    });
}

async fn settle() {
    for _ in 0..10 {
        yield_now().await;
    }
}

type Take = JoinHandle<Checkout<Fake>>;

/// Asks for a connection, as far as that gets by itself.
async fn ask(pool: &Rc<Pool<Opener>>, name: &str) -> Take {
    let (pool, name) = (pool.clone(), name.into());
    let task = spawn_local(async move { pool.checkout(&name).await });
    settle().await;
    task
}

async fn opened(pool: &Rc<Pool<Opener>>, world: &World, name: &str) -> Pooled<Fake> {
    let task = ask(pool, name).await;
    world.answers(Ok(()));
    task.await.expect("no panic").expect("it comes up")
}

fn closed(pool: &Rc<Pool<Opener>>, cause: CloseReason) -> u64 {
    pool.figures().closed.get(&cause).copied().unwrap_or(0)
}

fn missing(given: Result<Checkout<Fake>, tokio::task::JoinError>) -> Unavailable {
    given.expect("no panic").err().expect("no connection")
}

// ---- Reuse ----

#[test]
fn the_connection_used_last_goes_first_and_the_others_age_out() {
    with_pool(|pool, world| async move {
        let (a, b) = (opened(&pool, &world, "s").await, opened(&pool, &world, "s").await);
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
        assert!(!world.open.borrow().contains(&first), "nobody asked for it in its time");
        let f = pool.figures();
        assert_eq!((f.open, f.idle, f.opened, f.reused, f.waits), (1, 1, 2, 8, 2));
        assert_eq!(closed(&pool, CloseReason::Expired), 1);
    });
}

#[test]
fn what_comes_free_first_is_taken_and_the_handshake_in_vain_is_kept() {
    with_pool(|pool, world| async move {
        let busy = opened(&pool, &world, "s").await;
        let waits = ask(&pool, "s").await;
        assert_eq!(world.under_way().len(), 1);
        advance(Duration::from_millis(30)).await;
        let number = busy.link.number;
        pool.give_back(busy);
        let got = waits.await.unwrap().unwrap();
        assert_eq!((got.link.number, got.idle_time), (number, Some(Duration::ZERO)));
        assert!((30_000..33_000).contains(&pool.figures().waited_us), "{}", pool.figures());
        world.answers(Ok(()));
        settle().await;
        assert_eq!(pool.figures().idle, 1, "for the next");
        let next = ask(&pool, "s").await.await.unwrap().unwrap();
        assert_eq!((next.link.number, next.idle_time), (1, None), "nothing was ever written to it");
    });
}

#[test]
fn a_handshake_in_vain_is_closed_where_there_is_no_room() {
    with_pool(|pool, world| async move {
        let busy = opened(&pool, &world, "s").await;
        let waits = ask(&pool, "s").await;
        pool.set_server_limit(&"s".into(), 1);
        pool.give_back(busy);
        let _got = waits.await.unwrap().unwrap();
        world.answers(Ok(()));
        settle().await;
        assert_eq!((pool.figures().open, closed(&pool, CloseReason::Room)), (1, 1));
    });
}

#[test]
fn when_the_client_leaves_its_handshake_serves_the_next() {
    with_pool(|pool, world| async move {
        let left = ask(&pool, "s").await;
        left.abort();
        settle().await;
        let next = ask(&pool, "s").await;
        assert_eq!(world.under_way().len(), 1, "one is under way, and one is enough");
        world.answers(Ok(()));
        assert_eq!(next.await.unwrap().unwrap().link.number, 0);
        assert_eq!(pool.figures().opened, 1);
    });
}

/// One who leaves with a connection already given to it does not take it along.
#[test]
fn a_connection_given_to_one_who_has_left_goes_back() {
    with_pool(|pool, world| async move {
        let busy = opened(&pool, &world, "s").await;
        let waits = ask(&pool, "s").await;
        pool.give_back(busy);
        // Before it could run.
        waits.abort();
        settle().await;
        assert_eq!((pool.figures().open, pool.figures().idle), (1, 1));
    });
}

// ---- Stale links ----

#[test]
fn what_the_server_closed_or_spoke_on_unasked_is_not_handed_out() {
    with_pool(|pool, world| async move {
        for found in [LinkState::Closed, LinkState::Broken] {
            let p = opened(&pool, &world, "s").await;
            let number = p.link.number;
            pool.give_back(p);
            world.link_state.borrow_mut()[number] = found;
            let next = opened(&pool, &world, "s").await;
            assert_ne!(next.link.number, number);
        }
        assert_eq!(closed(&pool, CloseReason::Closed), 2);
    });
}

#[test]
fn an_answer_that_was_the_last_ends_its_connection() {
    with_pool(|pool, world| async move {
        let p = opened(&pool, &world, "s").await;
        world.link_state.borrow_mut()[p.link.number] = LinkState::Closed;
        pool.give_back(p);
        assert_eq!((pool.figures().open, closed(&pool, CloseReason::Ended)), (0, 1));
    });
}

#[test]
fn closes_in_time_teach_the_idle_limit_of_their_server() {
    with_pool(|pool, world| async move {
        // Some time passes, a close is found, a new one is opened.
        for _ in 0..2 {
            let p = opened(&pool, &world, "s").await;
            let number = p.link.number;
            pool.give_back(p);
            advance(Duration::from_millis(300)).await;
            world.link_state.borrow_mut()[number] = LinkState::Closed;
            let p = opened(&pool, &world, "s").await;
            p.close(CloseReason::GivenUp);
        }
        let p = opened(&pool, &world, "s").await;
        pool.give_back(p);
        advance(Duration::from_millis(280)).await;
        let waits = ask(&pool, "s").await;
        assert_eq!(closed(&pool, CloseReason::Expired), 1, "it is about to be closed");
        waits.abort();
    });
}

#[test]
fn a_server_that_says_nothing_loses_its_idle_connections_unless_it_spoke_elsewhere() {
    with_pool(|pool, world| async move {
        let (a, b) = (opened(&pool, &world, "s").await, opened(&pool, &world, "s").await);
        let written = Instant::now();
        advance(Duration::from_millis(50)).await;
        pool.record_answer(&a, written);
        pool.give_back(a);
        pool.handle_timeout(&"s".into(), written);
        assert_eq!(pool.figures().idle, 1, "it answers others");
        pool.handle_timeout(&"s".into(), Instant::now() + Duration::from_millis(1));
        assert_eq!((pool.figures().idle, closed(&pool, CloseReason::Silent)), (0, 1));
        drop(b);
    });
}

// ---- The list and operators ----

#[test]
fn after_a_restart_nothing_of_the_old_process_is_handed_out_or_kept() {
    for again in [up("s", 1, 7), up("s", 9, 0)] {
        with_pool(|pool, world| async move {
            let (idle, busy) = (opened(&pool, &world, "s").await, opened(&pool, &world, "s").await);
            pool.give_back(idle);
            // A third attempt finds the idle one, a fourth is on its way to the old process.
            let third = ask(&pool, "s").await.await.unwrap().unwrap();
            let fourth = ask(&pool, "s").await;
            pool.give_back(third);
            let fifth = ask(&pool, "s").await;
            pool.update(Scope::Changes, std::slice::from_ref(&again));
            settle().await;
            pool.give_back(busy);
            world.answers(Ok(()));
            settle().await;
            let end: SocketAddr = again.endpoint.parse().unwrap();
            assert!(world.under_way().iter().all(|a| *a == end), "{:?}", world.under_way());
            while !world.under_way().is_empty() {
                world.answers(Ok(()));
                settle().await;
            }
            let got = [fourth.await.unwrap().unwrap(), fifth.await.unwrap().unwrap()];
            assert!(got.iter().filter(|p| p.idle_time.is_none()).all(|p| p.link.address == end));
            assert!(
                got.iter().any(|p| p.idle_time.is_none()),
                "the one who waited goes on to the new process"
            );
            assert!(closed(&pool, CloseReason::Listed) >= 2);
            assert_eq!(pool.figures().idle, 0);
        });
    }
}

#[test]
fn a_drain_or_a_ban_in_the_middle_of_a_handshake_ends_the_wait_at_once() {
    let calls: [fn(&Rc<Pool<Opener>>); 3] = [
        |pool| pool.update(Scope::Changes, &[target("s", address(1), 0, State::Terminating)]),
        |pool| pool.update(Scope::Full, &[up("t", 2, 0)]),
        |pool| pool.disable(&"s".into()),
    ];
    for call in calls {
        with_pool(|pool, world| async move {
            let waits = ask(&pool, "s").await;
            call(&pool);
            assert_eq!(missing(waits.await), Unavailable::NotAccepting);
            world.answers(Ok(()));
            settle().await;
            assert_eq!((pool.figures().open, closed(&pool, CloseReason::Listed)), (0, 1));
            assert_eq!(missing(ask(&pool, "s").await.await), Unavailable::NotAccepting);
            assert!(world.under_way().is_empty());
        });
    }
}

/// The list speaks between the handing over and the taking.
#[test]
fn what_was_handed_over_before_a_drain_is_not_used_after_it() {
    with_pool(|pool, world| async move {
        let busy = opened(&pool, &world, "s").await;
        let waits = ask(&pool, "s").await;
        pool.give_back(busy);
        pool.update(Scope::Changes, &[target("s", address(1), 0, State::Terminating)]);
        assert_eq!(missing(waits.await), Unavailable::NotAccepting);
        assert_eq!(pool.figures().open, 0);
    });
}

// ---- Limits ----

#[test]
fn at_a_servers_limit_the_next_waits_for_what_comes_free() {
    with_pool(|pool, world| async move {
        pool.set_server_limit(&"s".into(), 1);
        let busy = opened(&pool, &world, "s").await;
        let (second, third) = (ask(&pool, "s").await, ask(&pool, "s").await);
        assert!(world.under_way().is_empty());
        let other = opened(&pool, &world, "t").await;
        pool.give_back(busy);
        let busy = second.await.unwrap().unwrap();
        assert_eq!(busy.link.number, 0, "in turn");
        // Its place is free, not the connection.
        busy.close(CloseReason::Broken);
        settle().await;
        world.answers(Ok(()));
        assert_eq!(third.await.unwrap().unwrap().link.number, 2);
        drop(other);
    });
}

#[test]
fn a_wait_at_the_limits_ends_in_the_time_of_a_handshake_and_is_not_the_servers_fault() {
    with_pool(|pool, world| async move {
        pool.set_server_limit(&"s".into(), 1);
        let busy = opened(&pool, &world, "s").await;
        let start = Instant::now();
        assert_eq!(missing(ask(&pool, "s").await.await), Unavailable::AtCapacity);
        assert!(start.elapsed() <= CONNECT + Duration::from_millis(2), "{:?}", start.elapsed());
        drop(busy);
        settle().await;
        let silent = ask(&pool, "s").await;
        assert_eq!(missing(silent.await), Unavailable::ConnectTimeout, "it never came up");
        advance(CONNECT).await;
        settle().await;
        assert_eq!((pool.figures().opening, pool.connections_to(&"s".into())), (0, 0));
    });
}

#[test]
fn the_longest_idle_makes_room_under_the_limit_over_all_servers() {
    with_pool(|pool, world| async move {
        pool.set_limit(2);
        let (a, b) = (opened(&pool, &world, "s").await, opened(&pool, &world, "t").await);
        let (first, second) = (a.link.number, b.link.number);
        pool.give_back(a);
        advance(Duration::from_millis(5)).await;
        pool.give_back(b);
        // "t" needs a second one.
        let one = ask(&pool, "t").await.await.unwrap().unwrap();
        let two = opened(&pool, &world, "t").await;
        assert_eq!(one.link.number, second);
        assert!(!world.open.borrow().contains(&first));
        assert_eq!(closed(&pool, CloseReason::Room), 1);
        pool.give_back(two);
        pool.set_limit(1);
        assert_eq!(pool.figures().open, 1, "what is idle goes, what is in use stays");
        drop(one);
    });
}

#[test]
fn a_refused_handshake_ends_the_longest_wait_and_leaves_the_others_theirs() {
    with_pool(|pool, world| async move {
        let (first, second) = (ask(&pool, "s").await, ask(&pool, "s").await);
        world.answers(Err(io::ErrorKind::ConnectionRefused.into()));
        assert_eq!(missing(first.await), Unavailable::Refused);
        world.answers(Ok(()));
        assert!(second.await.unwrap().is_ok());
        assert_eq!(pool.figures().failed, 1);
    });
}

#[test]
fn out_of_descriptors_idle_connections_make_room_and_nothing_leaks() {
    with_pool(|pool, world| async move {
        let spare = opened(&pool, &world, "t").await;
        pool.give_back(spare);
        let out = || io::Error::from_raw_os_error(24);
        let waits = ask(&pool, "s").await;
        world.answers(Err(out()));
        settle().await;
        assert_eq!(closed(&pool, CloseReason::Room), 1);
        world.answers(Ok(()));
        let got = waits.await.unwrap().unwrap();
        let waits = ask(&pool, "t").await;
        world.answers(Err(out()));
        assert_eq!(missing(waits.await), Unavailable::OutOfDescriptors, "nothing is idle any more");
        drop(got);
        let f = pool.figures();
        assert_eq!((f.open, f.opening, pool.counts.total.get()), (0, 0, 0));
    });
}

// ---- Any sequence ----

#[derive(Clone, Debug)]
enum Step {
    Ask(usize),
    /// One who waits leaves.
    Leave(usize),
    Handshake(usize, u8),
    /// An attempt ends: its connection goes back, or not.
    End(usize, bool),
    /// A server closes a connection, or speaks unasked.
    Server(usize, bool),
    Pass(u64),
    MostAt(usize, usize),
    Most(usize),
    /// What the list says: ready, draining, gone, moved or restarted.
    List(usize, u8),
    Ban(usize, bool),
}

const SERVERS: [&str; 3] = ["s", "t", "u"];

fn step() -> impl Strategy<Value = Step> {
    let (one, some) = (0..SERVERS.len(), 0..8usize);
    prop_oneof![
        6 => one.clone().prop_map(Step::Ask),
        1 => some.clone().prop_map(Step::Leave),
        5 => (some.clone(), 0..6u8).prop_map(|(n, how)| Step::Handshake(n, how)),
        5 => (some.clone(), any::<bool>()).prop_map(|(n, back)| Step::End(n, back)),
        1 => (some.clone(), any::<bool>()).prop_map(|(n, closes)| Step::Server(n, closes)),
        2 => (0..2500u64).prop_map(Step::Pass),
        1 => (one.clone(), 1..4usize).prop_map(|(s, n)| Step::MostAt(s, n)),
        1 => (1..7usize).prop_map(Step::Most),
        2 => (one.clone(), 0..5u8).prop_map(|(s, what)| Step::List(s, what)),
        1 => (one, any::<bool>()).prop_map(|(s, on)| Step::Ban(s, on)),
    ]
}

/// What the test knows of a server.
#[derive(Clone)]
struct Known {
    address: SocketAddr,
    boot_ms: u64,
    ready: bool,
    disabled: bool,
    most: usize,
    /// Handshakes that had begun by its last change.
    since: usize,
}

async fn play(steps: Vec<Step>, pool: Rc<Pool<Opener>>, world: Rc<World>) {
    let mut known: Vec<Known> = (0..SERVERS.len())
        .map(|n| Known {
            address: address(n as u16 + 1),
            boot_ms: 0,
            ready: true,
            disabled: false,
            most: usize::MAX,
            since: 0,
        })
        .collect();
    let list = |n: usize, k: &Known, state| target(SERVERS[n], k.address, k.boot_ms, state);
    let all: Vec<Target> = known.iter().enumerate().map(|(n, k)| list(n, k, State::Ready)).collect();
    pool.update(Scope::Full, &all);
    let (mut most, mut port) = (100, 100);
    let mut waiting: Vec<(usize, Take)> = Vec::new();
    let mut held: Vec<Pooled<Fake>> = Vec::new();
    for step in steps {
        let before: Vec<usize> = SERVERS.iter().map(|s| pool.connections_to(&(*s).into())).collect();
        let all_before = pool.counts.total.get();
        match &step {
            Step::Ask(s) => {
                let task = ask(&pool, SERVERS[*s]).await;
                waiting.push((*s, task));
            }
            Step::Leave(n) if *n < waiting.len() => {
                let (_, task) = waiting.remove(*n);
                if !task.is_finished() {
                    task.abort();
                } else if let Ok(Ok(p)) = task.await {
                    held.push(p);
                }
            }
            Step::Handshake(n, how) if *n < world.under_way().len() => {
                let (_, end) = world.handshakes.borrow_mut().remove(*n).expect("seen");
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
                if let Some(f) = world.link_state.borrow_mut().get_mut(*n) {
                    *f = found;
                }
            }
            Step::Pass(ms) => advance(Duration::from_millis(*ms)).await,
            Step::MostAt(s, n) => {
                known[*s].most = *n;
                pool.set_server_limit(&SERVERS[*s].into(), *n);
            }
            Step::Most(n) => {
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
                    k.since = world.begun.get();
                }
                let state = [State::Ready, State::Terminating, State::Gone, State::Ready, State::Ready];
                pool.update(Scope::Changes, &[list(*s, k, state[*what as usize])]);
            }
            Step::Ban(s, on) => {
                known[*s].disabled = *on;
                if *on {
                    known[*s].since = world.begun.get();
                    pool.disable(&SERVERS[*s].into());
                } else {
                    pool.enable(&SERVERS[*s].into());
                }
            }
            Step::Leave(_) | Step::Handshake(..) | Step::End(..) => {}
        }
        settle().await;
        // What attempts got: fit, of the server as it is now, and nobody else's.
        let (done, open): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|(_, t)| t.is_finished());
        waiting = open;
        for (s, task) in done {
            if let Ok(p) = task.await.expect("no panic") {
                let k = &known[s];
                assert!(k.ready && !k.disabled && p.link.address == k.address, "after {step:?}");
                assert!(p.link.handshake >= k.since, "after {step:?}");
                assert_eq!(world.link_state.borrow()[p.link.number], LinkState::Ready, "after {step:?}");
                assert!(p.idle_time.is_none_or(|idle| idle < IDLE), "after {step:?}");
                assert!(held.iter().all(|h| h.link.number != p.link.number), "after {step:?}");
                held.push(p);
            }
        }
        // The counts are what is there.
        let f = pool.figures();
        assert_eq!(f.open, world.open.borrow().len(), "after {step:?}");
        assert_eq!(f.open, f.idle + held.len(), "after {step:?}");
        let closed: u64 = f.closed.values().sum();
        assert_eq!(f.opened, f.open as u64 + closed, "after {step:?}");
        assert_eq!(pool.counts.total.get(), f.open + f.opening, "after {step:?}");
        // No limit is passed, and one that has been lowered is neared.
        assert!(pool.counts.total.get() <= most.max(all_before), "after {step:?}");
        for (n, name) in SERVERS.iter().enumerate() {
            let now = pool.connections_to(&(*name).into());
            assert!(now <= known[n].most.max(before[n]), "{name} after {step:?}");
            let (opening, line, usable) = {
                let servers = pool.servers.borrow();
                let Some(s) = servers.get(*name) else {
                    // Forgotten with its limit: whoever names it again tells that again.
                    known[n].most = usize::MAX;
                    continue;
                };
                assert!(s.idle.is_empty() || now <= known[n].most, "{name} after {step:?}");
                let line = s.waiting.iter().filter(|w| !w.is_closed()).count();
                (s.opening.get(), line, pool.usable(&(*name).into(), s))
            };
            // Nobody waits where a connection could be opened, or for a server that wants nothing.
            let full = now >= known[n].most || pool.counts.total.get() >= most && f.idle == 0;
            assert!(line <= opening || usable && full, "{name} after {step:?}: {line} wait, {opening}");
        }
    }
    held.clear();
    waiting.into_iter().for_each(|(_, task)| task.abort());
}

#[test]
fn no_sequence_breaks_counts_limits_or_the_state_of_what_is_handed_out() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let run = runner.run(&vec(step(), 1..80), |steps| {
        with_pool(|pool, world| play(steps, pool, world));
        Ok(())
    });
    run.unwrap_or_else(|e| panic!("{e}"));
}
