//! The operators' address: words their calls and the answers, and decides nothing.
//!
//! One call a connection, each in a task of its own under one short time limit, so that half a call, or none,
//! delays nobody else's.

use crate::backends::Backends;
use crate::config::MOST_CALLS;
use crate::driver::Driver;
use crate::notes::Note;
use crate::server::Server;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use percent_encoding::percent_decode_str;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, timeout};

/// A whole call is answered at once, so only half a call ever meets this.
const CALL_TIME: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(5);
const SERVERS: &str = "/-/roll-servers/";

pub struct Ops {
    pub driver: Rc<Driver>,
    pub backends: Rc<Backends>,
    pub server: Rc<Server>,
}

impl Ops {
    pub async fn accept(self: Rc<Self>, listener: TcpListener) -> Infallible {
        let mut calls: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(PAUSE).await;
                continue;
            };
            calls.retain(|call| !call.is_finished());
            if calls.len() >= MOST_CALLS {
                calls.pop_front().inspect(AbortHandle::abort);
            }
            let ops = self.clone();
            calls.push_back(spawn_local(async move { ops.call(stream).await }).abort_handle());
        }
    }

    async fn call(self: Rc<Self>, stream: TcpStream) {
        // Without it an answer is only slower.
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| async { Ok::<_, Infallible>(self.answer(request).await) });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .keep_alive(false)
            .serve_connection(TokioIo::new(stream), service);
        // An error is the caller's: it left, or sent what is no HTTP.
        let _ = timeout(CALL_TIME, connection).await;
    }

    async fn answer<B>(&self, request: Request<B>) -> Response<Full<Bytes>> {
        let path = request.uri().path();
        let wanted = match path {
            "/-/ready" | "/-/metrics" => Method::GET,
            "/-/drain" | "/-/resume" => Method::POST,
            _ if action(path).is_some() => Method::POST,
            _ => return plain(StatusCode::NOT_FOUND, "no such call\n"),
        };
        if request.method() != wanted {
            let mut no = plain(StatusCode::METHOD_NOT_ALLOWED, "wrong method\n");
            let allow = if wanted == Method::GET { "GET" } else { "POST" };
            no.headers_mut().insert(ALLOW, HeaderValue::from_static(allow));
            return no;
        }
        match path {
            "/-/ready" if self.server.can_serve() => plain(StatusCode::OK, "ready\n"),
            "/-/ready" => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            "/-/metrics" => self.metrics(),
            "/-/drain" => {
                self.driver.tell(Note::Away { on: true });
                self.server.send_away(true);
                plain(StatusCode::OK, "draining\n")
            }
            "/-/resume" => {
                self.driver.tell(Note::Away { on: false });
                self.server.send_away(false);
                plain(StatusCode::OK, "resumed\n")
            }
            _ => self.by_hand(path).await,
        }
    }

    fn metrics(&self) -> Response<Full<Bytes>> {
        let (forwards, listed) = (self.backends.forwards(), self.backends.pool.listed());
        let connections = self.backends.pool.figures();
        match self.driver.figures.json(
            forwards,
            listed,
            self.driver.ejected(),
            &connections,
            self.driver.list_age(),
        ) {
            Ok(json) => {
                let mut answer = Response::new(Full::new(json.into()));
                answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                answer
            }
            Err(_) => plain(StatusCode::INTERNAL_SERVER_ERROR, "the figures cannot be worded\n"),
        }
    }

    async fn by_hand(&self, path: &str) -> Response<Full<Bytes>> {
        let known = action(path).and_then(|(id, out)| {
            let id = percent_decode_str(id).decode_utf8().ok()?;
            self.backends.pool.knows(&id).then(|| (id.as_ref().into(), out))
        });
        match known {
            Some((server, true)) => {
                self.driver.disable(server).await;
                plain(StatusCode::OK, "disabled\n")
            }
            Some((server, false)) => {
                self.driver.enable(server).await;
                plain(StatusCode::OK, "enabled\n")
            }
            None => plain(StatusCode::NOT_FOUND, "no such roll server\n"),
        }
    }
}

/// The server that a path names, and whether it goes out.
fn action(path: &str) -> Option<(&str, bool)> {
    let (id, verb) = path.strip_prefix(SERVERS)?.split_once('/')?;
    match verb {
        _ if id.is_empty() => None,
        "disable" => Some((id, true)),
        "enable" => Some((id, false)),
        _ => None,
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *answer.status_mut() = status;
    answer
}
