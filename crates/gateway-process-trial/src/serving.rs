//! HTTP/1.1 front ends of the stand-in servers, in real time.

use crate::connection::{Connection, FarEnd};
use crate::ledger::Event;
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

/// The buffer between a relay and a stand-in server, in bytes.
const PIPE_BYTES: usize = 64 << 10;

/// Counts a connection of a server until it is dropped.
struct ConnectionGuard(Rc<World>, usize);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let count = &self.0.stand_ins[self.1].connections;
        count.set(count.get().saturating_sub(1));
    }
}

/// Opens a connection to a stand-in server; `None` if the server is down.
pub fn connect(world: &Rc<World>, n: usize, connection: Rc<Connection>) -> Option<FarEnd> {
    let stand_in = &world.stand_ins[n];
    if !stand_in.up.get() {
        world.in_vain(n);
        return None;
    }
    let (near, far) = duplex(PIPE_BYTES);
    stand_in.connections.set(stand_in.connections.get() + 1);
    let guard = ConnectionGuard(world.clone(), n);
    let idle = Duration::from_secs_f64(world.scenario.servers.idle_s);
    spawn_local(async move {
        let world = &guard.0;
        let service =
            service_fn(|request| async { Ok::<_, Infallible>(serve(world, n, &connection, request).await) });
        let mut builder = http1::Builder::new();
        if !idle.is_zero() {
            builder.timer(TokioTimer::new()).header_read_timeout(idle);
        }
        // An error is caused by the gateway or by an injected fault.
        let _ = builder.serve_connection(TokioIo::new(far), service).await;
    });
    Some(FarEnd::InProcess(near))
}

fn response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(Bytes::from_static(b"the roll\n")));
    *answer.status_mut() = status;
    answer
}

/// Handles one attempt as the model prescribes, and records what becomes of it.
async fn serve(
    world: &Rc<World>,
    n: usize,
    connection: &Connection,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let header = |name: &str| request.headers().get(name)?.to_str().ok().map(str::to_string);
    let Some(id) = header("request-id") else { return response(StatusCode::NOT_FOUND) };
    let id = u64::from_str_radix(&id, 16).unwrap_or(0);
    let idle = Duration::from_secs(5);
    let _ = tokio::time::timeout(idle, request.into_body().collect()).await;
    let (stand_in, received_at) = (&world.stand_ins[n], connection.last_read_ns.get());
    let Some((work, customer)) = world.attempt_arrived(id, n, connection.gateway, received_at) else {
        return response(StatusCode::BAD_REQUEST);
    };
    match connection.closed_at_ns.get() {
        // The gateway gave the attempt up before it was complete.
        Some(at) => world.record(at, Event::AttemptEnded { id, received_at, ending: Ending::Undone }),
        None => connection.in_flight.set(Some((id, received_at))),
    }
    let record_end = |ending| {
        if connection.in_flight.take().is_some() {
            world.record(world.clock.now(), Event::AttemptEnded { id, received_at, ending });
        }
    };
    let turn_away = || {
        record_end(Ending::Full);
        world.figures.borrow_mut().count_turned_away(world.clock.second());
        if world.stand_ins[n].model.borrow().refusing {
            world.in_vain(n);
        }
        let mut answer = response(StatusCode::SERVICE_UNAVAILABLE);
        answer.headers_mut().insert("not-started", HeaderValue::from_static("1"));
        answer
    };
    let first_request = connection.unused.replace(false);
    let max_connections = world.scenario.servers.connections;
    if first_request && max_connections > 0 && stand_in.connections.get() > max_connections {
        let mut answer = turn_away();
        answer.headers_mut().insert("connection", HeaderValue::from_static("close"));
        return answer;
    }
    let handshake = if first_request { ns(world.scenario.servers.handshake_ms, MS) } else { 0 };
    let [total, informed] = stand_in.work.get();
    let informed_of_start = world.knows_server_start(connection.gateway, n, stand_in.boot_ms.get());
    stand_in.work.set([total + work as f64, informed + if informed_of_start { work as f64 } else { 0.0 }]);
    let (now, key) = (world.clock.now(), world.next_id());
    let taken = stand_in.model.borrow_mut().admit(key, work + handshake, now);
    if stand_in.model.borrow().collapsed && !stand_in.collapse_recorded.replace(true) {
        let [total, informed] = stand_in.work.get();
        world.figures.borrow_mut().report.fallen += 1;
        world.record(now, Event::ServerCollapsed { server: n, informed_share: informed / total.max(1.0) });
    }
    let (sender, done) = oneshot::channel();
    match taken {
        Admission::Rejected => return turn_away(),
        Admission::Started(at) => drop(spawn_local(finish_work(world.clone(), n, key, at))),
        Admission::Queued => {}
    }
    stand_in.waiting.borrow_mut().insert(key, sender);
    if done.await.is_err() {
        // The server crashed: the response is never sent.
        pending::<()>().await;
    }
    let failed = stand_in.failure_probability.get() > 0.0
        && world.rng.borrow_mut().random::<f64>() < stand_in.failure_probability.get();
    record_end(if failed { Ending::Fault } else { Ending::Pass });
    let mut answer = response(if failed { StatusCode::INTERNAL_SERVER_ERROR } else { StatusCode::OK });
    let metered =
        world.metered_usage(customer).and_then(|share| format!("{:.1}", share * 100.0).parse().ok());
    metered.map(|percent| answer.headers_mut().insert("usage-percent", percent));
    answer
}

/// Completes attempts at the times the model sets, then goes on with the attempt that has waited longest.
async fn finish_work(world: Rc<World>, n: usize, mut key: u64, mut at: Time) {
    let stand_in = &world.stand_ins[n];
    let incarnation = stand_in.incarnation.get();
    loop {
        sleep_until(world.clock.instant_at(at)).await;
        if stand_in.incarnation.get() != incarnation {
            return;
        }
        let next = stand_in.model.borrow_mut().complete(world.clock.now());
        // The receiver may be gone if the gateway gave the attempt up.
        let waiter = stand_in.waiting.borrow_mut().remove(&key);
        waiter.map(|sender| sender.send(()));
        match next {
            Some(begun) => (key, at) = begun,
            None => return,
        }
    }
}
