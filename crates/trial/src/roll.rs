//! Stand-ins for roll servers: the lab's model behind HTTP/1.1, in real time.

use crate::clock::unix_ms;
use crate::ledger::Seen;
use crate::net::{Far, Wire};
use crate::world::World;
use bytes::Bytes;
use granitehub::{Ending, Time};
use granitehub_protocol::list::State;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use lab::scenario::{ns, MS, SECOND};
use lab::server::{Server, Taken};
use rand::Rng;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::duplex;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

/// What lies between a relay and a server, in bytes.
const PIPE: usize = 64 << 10;

pub struct Roll {
    pub model: RefCell<Server>,
    /// Who waits for its work to be done, by attempt.
    waiting: RefCell<HashMap<u64, oneshot::Sender<()>>>,
    pub life: Cell<u32>,
    pub up: Cell<bool>,
    pub boot_ms: Cell<u64>,
    pub state: Cell<State>,
    /// The chance that a request fails.
    pub fails: Cell<f64>,
    connections: Cell<u32>,
    /// Work since its start, and the part of it from gateways that were told of the start.
    work: Cell<[f64; 2]>,
    fell: Cell<bool>,
}

impl Roll {
    pub fn new(model: Server) -> Self {
        Roll {
            model: RefCell::new(model),
            waiting: RefCell::default(),
            life: Cell::new(0),
            up: Cell::new(true),
            boot_ms: Cell::new(0),
            state: Cell::new(State::Ready),
            fails: Cell::new(0.0),
            connections: Cell::new(0),
            work: Cell::new([0.0; 2]),
            fell: Cell::new(false),
        }
    }

    /// It dies with all that it has in hand.
    pub fn die(&self) {
        self.up.set(false);
        self.life.set(self.life.get() + 1);
        self.waiting.borrow_mut().clear();
    }

    /// It starts anew, cold.
    pub fn start(&self, now: Time) {
        self.model.borrow_mut().restart(now);
        self.up.set(true);
        self.life.set(self.life.get() + 1);
        self.boot_ms.set(unix_ms());
        self.state.set(State::Ready);
        self.work.set([0.0; 2]);
        self.fell.set(false);
    }
}

/// A place among a server's connections.
struct Held(Rc<World>, usize);

impl Drop for Held {
    fn drop(&mut self) {
        let count = &self.0.rolls[self.1].connections;
        count.set(count.get().saturating_sub(1));
    }
}

/// Takes a connection at a server; none if it is not there.
pub fn connect(world: &Rc<World>, n: usize, wire: Rc<Wire>) -> Option<Far> {
    let roll = &world.rolls[n];
    if !roll.up.get() {
        world.in_vain(n);
        return None;
    }
    let (near, far) = duplex(PIPE);
    roll.connections.set(roll.connections.get() + 1);
    let held = Held(world.clone(), n);
    let idle = Duration::from_secs_f64(world.scenario.servers.idle_s);
    spawn_local(async move {
        let world = &held.0;
        let service =
            service_fn(|request| async { Ok::<_, Infallible>(serve(world, n, &wire, request).await) });
        let mut builder = http1::Builder::new();
        if !idle.is_zero() {
            builder.timer(TokioTimer::new()).header_read_timeout(idle);
        }
        // An error is the gateway's, or a fault's.
        let _ = builder.serve_connection(TokioIo::new(far), service).await;
    });
    Some(Far::Here(near))
}

fn say(status: StatusCode) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(Bytes::from_static(b"the roll\n")));
    *answer.status_mut() = status;
    answer
}

async fn serve(
    world: &Rc<World>,
    n: usize,
    wire: &Wire,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let header = |name: &str| request.headers().get(name)?.to_str().ok().map(str::to_string);
    let Some(id) = header("request-id") else { return say(StatusCode::NOT_FOUND) };
    let id = u64::from_str_radix(&id, 16).unwrap_or(0);
    let idle = Duration::from_secs(5);
    let _ = tokio::time::timeout(idle, request.into_body().collect()).await;
    let (roll, sent) = (&world.rolls[n], wire.read.get());
    let Some((work, customer)) = world.arrived(id, n, wire.gateway, sent) else {
        return say(StatusCode::BAD_REQUEST);
    };
    match wire.closed.get() {
        // It was given up on the way.
        Some(at) => world.note(at, Seen::Over { id, sent, ending: Ending::Undone }),
        None => wire.out.set(Some((id, sent))),
    }
    let over = |ending| {
        if wire.out.take().is_some() {
            world.note(world.clock.now(), Seen::Over { id, sent, ending });
        }
    };
    let away = || {
        over(Ending::Full);
        world.figures.borrow_mut().away(world.clock.second());
        if world.rolls[n].model.borrow().refusing {
            world.in_vain(n);
        }
        let mut answer = say(StatusCode::SERVICE_UNAVAILABLE);
        answer.headers_mut().insert("not-started", hyper::header::HeaderValue::from_static("1"));
        answer
    };
    let fresh = wire.fresh.replace(false);
    let most = world.scenario.servers.connections;
    if fresh && most > 0 && roll.connections.get() > most {
        let mut answer = away();
        answer.headers_mut().insert("connection", hyper::header::HeaderValue::from_static("close"));
        return answer;
    }
    let handshake = if fresh { ns(world.scenario.servers.handshake_ms, MS) } else { 0 };
    let [all, told] = roll.work.get();
    let knows = world.knows(wire.gateway, n, roll.boot_ms.get());
    roll.work.set([all + work as f64, told + if knows { work as f64 } else { 0.0 }]);
    let (now, key) = (world.clock.now(), world.number());
    let taken = roll.model.borrow_mut().take(key, work + handshake, now);
    if roll.model.borrow().fallen && !roll.fell.replace(true) {
        let [all, told] = roll.work.get();
        world.figures.borrow_mut().report.fallen += 1;
        world.note(now, Seen::Fell { server: n, told: told / all.max(1.0) });
    }
    let (sender, done) = oneshot::channel();
    match taken {
        Taken::Away => return away(),
        Taken::Begun(at) => drop(spawn_local(work_on(world.clone(), n, key, at))),
        Taken::Waits => {}
    }
    roll.waiting.borrow_mut().insert(key, sender);
    if done.await.is_err() {
        // It died: nobody hears of this any more.
        pending::<()>().await;
    }
    let failed = roll.fails.get() > 0.0 && world.rng.borrow_mut().random::<f64>() < roll.fails.get();
    over(if failed { Ending::Fault } else { Ending::Pass });
    let mut answer = say(if failed { StatusCode::INTERNAL_SERVER_ERROR } else { StatusCode::OK });
    let metered = world.metered(customer).and_then(|share| format!("{:.1}", share * 100.0).parse().ok());
    metered.map(|percent| answer.headers_mut().insert("usage-percent", percent));
    answer
}

/// Ends an attempt's work in its time, and begins with what waited longest.
async fn work_on(world: Rc<World>, n: usize, mut key: u64, mut at: Time) {
    let roll = &world.rolls[n];
    let life = roll.life.get();
    loop {
        sleep_until(world.clock.at(at)).await;
        if roll.life.get() != life {
            return;
        }
        let next = roll.model.borrow_mut().done(world.clock.now());
        // Who has left does not wait any more.
        let waits = roll.waiting.borrow_mut().remove(&key);
        waits.map(|sender| sender.send(()));
        match next {
            Some(begun) => (key, at) = begun,
            None => return,
        }
    }
}

/// Seconds of the play as the servers' model counts them.
pub fn drained() -> Duration {
    Duration::from_nanos(ns(2.0, SECOND))
}
