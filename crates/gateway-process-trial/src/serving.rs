//! Stand-ins for roll servers behind HTTP/1.1, in real time.

use crate::ledger::Seen;
use crate::wire::{Far, Wire};
use crate::world::World;
use bytes::Bytes;
use gateway_decisions::{Ending, Time};
use gateway_simulation::server::Admission;
use gateway_simulation::units::{ns, MS};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::Rng;
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

/// A place among a server's connections.
struct ConnectionGuard(Rc<World>, usize);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let count = &self.0.stand_ins[self.1].connections;
        count.set(count.get().saturating_sub(1));
    }
}

/// Takes a connection at a server; none if it is not there.
pub fn connect(world: &Rc<World>, n: usize, wire: Rc<Wire>) -> Option<Far> {
    let stand_in = &world.stand_ins[n];
    if !stand_in.up.get() {
        world.in_vain(n);
        return None;
    }
    let (near, far) = duplex(PIPE);
    stand_in.connections.set(stand_in.connections.get() + 1);
    let held = ConnectionGuard(world.clone(), n);
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
    let (stand_in, sent) = (&world.stand_ins[n], wire.read.get());
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
        if world.stand_ins[n].model.borrow().refusing {
            world.in_vain(n);
        }
        let mut answer = say(StatusCode::SERVICE_UNAVAILABLE);
        answer.headers_mut().insert("not-started", HeaderValue::from_static("1"));
        answer
    };
    let fresh = wire.fresh.replace(false);
    let most = world.scenario.servers.connections;
    if fresh && most > 0 && stand_in.connections.get() > most {
        let mut answer = away();
        answer.headers_mut().insert("connection", HeaderValue::from_static("close"));
        return answer;
    }
    let handshake = if fresh { ns(world.scenario.servers.handshake_ms, MS) } else { 0 };
    let [all, told] = stand_in.work.get();
    let knows = world.knows(wire.gateway, n, stand_in.boot_ms.get());
    stand_in.work.set([all + work as f64, told + if knows { work as f64 } else { 0.0 }]);
    let (now, key) = (world.clock.now(), world.number());
    let taken = stand_in.model.borrow_mut().admit(key, work + handshake, now);
    if stand_in.model.borrow().collapsed && !stand_in.fell.replace(true) {
        let [all, told] = stand_in.work.get();
        world.figures.borrow_mut().report.fallen += 1;
        world.note(now, Seen::Fell { server: n, told: told / all.max(1.0) });
    }
    let (sender, done) = oneshot::channel();
    match taken {
        Admission::Rejected => return away(),
        Admission::Started(at) => drop(spawn_local(work_on(world.clone(), n, key, at))),
        Admission::Queued => {}
    }
    stand_in.waiting.borrow_mut().insert(key, sender);
    if done.await.is_err() {
        // It died: nobody hears of this any more.
        pending::<()>().await;
    }
    let failed = stand_in.fails.get() > 0.0 && world.rng.borrow_mut().random::<f64>() < stand_in.fails.get();
    over(if failed { Ending::Fault } else { Ending::Pass });
    let mut answer = say(if failed { StatusCode::INTERNAL_SERVER_ERROR } else { StatusCode::OK });
    let metered = world.metered(customer).and_then(|share| format!("{:.1}", share * 100.0).parse().ok());
    metered.map(|percent| answer.headers_mut().insert("usage-percent", percent));
    answer
}

/// Ends an attempt's work in its time, and begins with what waited longest.
async fn work_on(world: Rc<World>, n: usize, mut key: u64, mut at: Time) {
    let stand_in = &world.stand_ins[n];
    let life = stand_in.life.get();
    loop {
        sleep_until(world.clock.at(at)).await;
        if stand_in.life.get() != life {
            return;
        }
        let next = stand_in.model.borrow_mut().complete(world.clock.now());
        // Who has left does not wait any more.
        let waits = stand_in.waiting.borrow_mut().remove(&key);
        waits.map(|sender| sender.send(()));
        match next {
            Some(begun) => (key, at) = begun,
            None => return,
        }
    }
}
